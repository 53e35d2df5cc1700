/* Runs the randomized fault test: real controller processes over loopback, with fake services. The
 * exit code is 0 if no violation was found, 1 if at least one was found, and 2 if the input is bad
 * or the cluster did not start in time. */
#include "soak/soak.h"

#include <glib.h>
#include <stdio.h>
#include <unistd.h>

enum { EXIT_CLEAN, EXIT_VIOLATION, EXIT_BAD_INPUT };

enum { SEEDS_MAX = 100000, CONTROLLERS_MIN = 3, CONTROLLERS_MAX = 8, MACHINES_MAX = 400 };
#define SECONDS_MAX 3600
#define LEASE_MAX_S 60

struct options {
    int seed, count, controllers, machines;
    double seconds, lease_s;
    gboolean with_roles, with_varied_jobs, repeats_pushes;
    char *daemon, *old_daemon, *selected_faults, *kinds, *operator_file, *log_directory;
};

static bool read_options(struct options *options, int argc, char **argv, GError **error)
{
    const GOptionEntry entries[] = {
        {"seed", 's', 0, G_OPTION_ARG_INT, &options->seed, "first seed", "N"},
        {"count", 'n', 0, G_OPTION_ARG_INT, &options->count,
         "number of seeds to run, one after another", "N"},
        {"seconds", 't', 0, G_OPTION_ARG_DOUBLE, &options->seconds, "length of the fault schedule",
         "S"},
        {"controllers", 'c', 0, G_OPTION_ARG_INT, &options->controllers,
         "number of controllers, 3 to 8", "N"},
        {"machines", 'm', 0, G_OPTION_ARG_INT, &options->machines, "maximum number of machines",
         "N"},
        {"daemon", 'd', 0, G_OPTION_ARG_FILENAME, &options->daemon,
         "daemon that the controllers run", "FILE"},
        {"duties", 0, 0, G_OPTION_ARG_NONE, &options->with_roles, "enable links and duties", NULL},
        {"varied", 0, 0, G_OPTION_ARG_NONE, &options->with_varied_jobs,
         "draw jobs over the whole range of the protocol's fields", NULL},
        {"repeat-pushes", 0, 0, G_OPTION_ARG_NONE, &options->repeats_pushes,
         "repeat each executed push to its worker again and again", NULL},
        {"old-daemon", 0, 0, G_OPTION_ARG_FILENAME, &options->old_daemon,
         "earlier daemon, which controller 0 runs for the first half", "FILE"},
        {"operator", 0, 0, G_OPTION_ARG_FILENAME, &options->operator_file,
         "file with the operators' settings", "FILE"},
        {"lease", 0, 0, G_OPTION_ARG_DOUBLE, &options->lease_s,
         "length of the workers' leases; 0: drawn from the seed", "S"},
        {"kinds", 0, 0, G_OPTION_ARG_STRING, &options->kinds, "draw only these kinds of fault",
         "NAME,NAME"},
        {"only", 0, 0, G_OPTION_ARG_STRING, &options->selected_faults,
         "inject only these faults, by number", "N,N"},
        {"logs", 0, 0, G_OPTION_ARG_FILENAME, &options->log_directory,
         "directory in which logs are kept", "DIR"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *context = g_option_context_new("- a randomized fault test");
    bool ok;

    g_option_context_add_main_entries(context, entries, NULL);
    ok = g_option_context_parse(context, &argc, &argv, error) && argc == 1;
    g_option_context_free(context);
    return ok;
}

/* Returns what is wrong with the options, or NULL if they are valid. */
static const char *find_bad_option(const struct options *options)
{
    if (options->seed < 0)
        return "--seed is negative";
    if (options->count < 1 || options->count > SEEDS_MAX)
        return "--count is not from 1 to 100000";
    if (options->controllers < CONTROLLERS_MIN || options->controllers > CONTROLLERS_MAX)
        return "--controllers is not from 3 to 8";
    if (options->machines < 1 || options->machines > MACHINES_MAX)
        return "--machines is not from 1 to 400";
    if (!(options->seconds > 0 && options->seconds <= SECONDS_MAX))
        return "--seconds is not above 0 and at most 3600";
    if (!(options->lease_s >= 0 && options->lease_s <= LEASE_MAX_S))
        return "--lease is not from 0 to 60 seconds";
    if (!fault_schedule_parse_kinds(options->kinds))
        return "--kinds contains an unknown kind of fault";
    if (access(options->daemon, X_OK) || (options->old_daemon && access(options->old_daemon, X_OK)))
        return "--daemon or --old-daemon is not an executable file";
    return NULL;
}

static void print_result(guint32 seed, const struct soak_result *result, const char *log)
{
    bool is_clean = !result->violations[0];

    printf("seed %u: %u faults scheduled, %.0f s, %u jobs, %u task starts, "
           "fake services stalled for at most %.2f s: %s\n",
           seed, result->fault_count, result->seconds, result->job_count, result->task_start_count,
           result->max_stall_s, is_clean ? "clean" : "violated");
    if (!is_clean)
        printf("%slog: %s\n", result->violations, log ? log : "not kept (use --logs DIR)");
    fflush(stdout);
}

/* Runs the soak with one seed and returns its exit code. */
static int run_seed(const struct options *options, const char *operator_yaml, guint32 seed)
{
    char *log = options->log_directory
                    ? g_strdup_printf("%s/soak-%u.log", options->log_directory, seed)
                    : NULL;
    const struct soak_settings settings = {.seed = seed,
                                           .seconds = options->seconds,
                                           .controller_count = options->controllers,
                                           .max_machines = options->machines,
                                           .daemon = options->daemon,
                                           .old_daemon = options->old_daemon,
                                           .lease_s = options->lease_s,
                                           .kinds = fault_schedule_parse_kinds(options->kinds),
                                           .with_roles = options->with_roles,
                                           .with_varied_jobs = options->with_varied_jobs,
                                           .repeats_pushes = options->repeats_pushes,
                                           .selected_faults = options->selected_faults,
                                           .operator_yaml = operator_yaml,
                                           .log_file = log,
                                           .print_schedule = options->count == 1};
    struct soak_result result;
    int code;

    if (soak_run(&settings, &result)) {
        code = result.violations[0] ? EXIT_VIOLATION : EXIT_CLEAN;
        print_result(seed, &result, log);
        g_free(result.violations);
    } else {
        code = EXIT_BAD_INPUT;
        fprintf(stderr,
                "soak: seed %u: --only does not list faults of the schedule, "
                "or the cluster failed to start\n",
                seed);
    }
    g_free(log);
    return code;
}

int main(int argc, char **argv)
{
    struct options options = {
        .seed = 1, .count = 1, .controllers = 4, .machines = 10, .seconds = 40};
    GError *error = NULL;
    const char *bad_option = NULL;
    char *operator_yaml = NULL;
    int worst = EXIT_CLEAN;

    options.daemon = g_strdup(PM_DAEMON);
    if (!read_options(&options, argc, argv, &error) || (bad_option = find_bad_option(&options)) ||
        (options.operator_file &&
         !g_file_get_contents(options.operator_file, &operator_yaml, NULL, &error))) {
        fprintf(stderr, "soak: %s\n",
                error ? error->message : (bad_option ? bad_option : "unexpected argument"));
        return EXIT_BAD_INPUT;
    }
    for (int i = 0; i < options.count; i++) {
        int code = run_seed(&options, operator_yaml, (guint32)(options.seed + i));
        worst = MAX(worst, code);
    }
    return worst;
}

/* Disables leak detection: a cluster's memory is kept until the process ends, because calls in
 * flight outlive the cluster. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
