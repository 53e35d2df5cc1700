/* A randomized fault test on real processes: controllers over loopback with the stand-ins. Exit
 * code 0: clean; 1: a rule was broken; 2: bad input, or a program that does not start. */
#include "soak/soak.h"

#include <glib.h>
#include <stdio.h>
#include <unistd.h>

enum { EXIT_CLEAN, EXIT_VIOLATION, EXIT_INPUT, SEEDS_MOST = 100000 };

struct options {
    int seed, count, controllers, machines;
    double seconds, lease_s;
    gboolean duties;
    char *daemon, *old_daemon, *only, *kinds, *operator_file, *logs;
};

static bool read_options(struct options *o, int argc, char **argv, GError **error)
{
    const GOptionEntry entries[] = {
        {"seed", 's', 0, G_OPTION_ARG_INT, &o->seed, "the first seed", "N"},
        {"count", 'n', 0, G_OPTION_ARG_INT, &o->count, "how many seeds, one after another", "N"},
        {"seconds", 't', 0, G_OPTION_ARG_DOUBLE, &o->seconds, "length of a run's troubles", "S"},
        {"controllers", 'c', 0, G_OPTION_ARG_INT, &o->controllers, "3 to 8", "N"},
        {"machines", 'm', 0, G_OPTION_ARG_INT, &o->machines, "at most so many", "N"},
        {"daemon", 'd', 0, G_OPTION_ARG_FILENAME, &o->daemon, "the program", "FILE"},
        {"duties", 0, 0, G_OPTION_ARG_NONE, &o->duties, "links and duties are on", NULL},
        {"old-daemon", 0, 0, G_OPTION_ARG_FILENAME, &o->old_daemon, "runs first, once", "FILE"},
        {"operator", 0, 0, G_OPTION_ARG_FILENAME, &o->operator_file, "operators' settings", "FILE"},
        {"lease", 0, 0, G_OPTION_ARG_DOUBLE, &o->lease_s, "the workers' lease; drawn", "S"},
        {"kinds", 0, 0, G_OPTION_ARG_STRING, &o->kinds, "only such troubles", "NAME,NAME"},
        {"only", 0, 0, G_OPTION_ARG_STRING, &o->only, "only these troubles, by number", "N,N"},
        {"logs", 0, 0, G_OPTION_ARG_FILENAME, &o->logs, "a directory for logs", "DIR"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *context = g_option_context_new("- a randomized fault test");
    bool ok;

    g_option_context_add_main_entries(context, entries, NULL);
    ok = g_option_context_parse(context, &argc, &argv, error) && argc == 1;
    g_option_context_free(context);
    return ok;
}

static const char *find_fault(const struct options *o)
{
    if (o->seed < 0)
        return "the seed is below 0";
    if (o->count < 1 || o->count > SEEDS_MOST)
        return "the count is not from 1 to 100000";
    if (o->controllers < 3 || o->controllers > 8)
        return "the controllers are not from 3 to 8";
    if (o->machines < 1 || o->machines > 400)
        return "the machines are not from 1 to 400";
    if (!(o->seconds > 0 && o->seconds <= 3600))
        return "the seconds are not above 0, and 3600 at most";
    if (!(o->lease_s >= 0 && o->lease_s <= 60))
        return "the lease is not from 0 to 60 seconds";
    if (!schedule_read_kinds(o->kinds))
        return "no such kind of trouble";
    if (access(o->daemon, X_OK) || (o->old_daemon && access(o->old_daemon, X_OK)))
        return "the daemon can't be run";
    return NULL;
}

/* One seed; its exit code. */
static int run_seed(const struct options *o, const char *operators, guint32 seed)
{
    char *log = o->logs ? g_strdup_printf("%s/soak-%u.log", o->logs, seed) : NULL;
    struct soak_settings settings = {.seed = seed,
                                     .seconds = o->seconds,
                                     .controllers = o->controllers,
                                     .machines = o->machines,
                                     .daemon = o->daemon,
                                     .old_daemon = o->old_daemon,
                                     .lease_s = o->lease_s,
                                     .kinds = schedule_read_kinds(o->kinds),
                                     .duties = o->duties,
                                     .only = o->only,
                                     .operator= operators,
                                     .log_file = log,
                                     .print = o->count == 1};
    struct soak_result result;
    int code;

    if (!soak_run(&settings, &result)) {
        fprintf(stderr, "soak: seed %u: the list of troubles can't be read, or no task starts\n",
                seed);
        g_free(log);
        return EXIT_INPUT;
    }
    printf("seed %u: %u troubles in %.0f s, %u jobs, %u starts, stand-ins stalled %.2f s: %s\n",
           seed, result.troubles, result.seconds, result.jobs, result.starts, result.stall_s,
           result.violations[0] ? "violated" : "clean");
    code = result.violations[0] ? EXIT_VIOLATION : EXIT_CLEAN;
    if (code)
        printf("%slog: %s\n", result.violations, log ? log : "none kept (--logs DIR)");
    fflush(stdout);
    g_free(result.violations);
    g_free(log);
    return code;
}

int main(int argc, char **argv)
{
    struct options o = {.seed = 1, .count = 1, .controllers = 4, .machines = 10, .seconds = 40};
    GError *error = NULL;
    const char *fault = NULL;
    char *operators = NULL;
    int worst = EXIT_CLEAN;

    o.daemon = g_strdup(PM_DAEMON);
    if (!read_options(&o, argc, argv, &error) || (fault = find_fault(&o)) ||
        (o.operator_file && !g_file_get_contents(o.operator_file, &operators, NULL, &error))) {
        fprintf(stderr, "soak: %s\n",
                error ? error->message : (fault ? fault : "an argument that is not known"));
        return EXIT_INPUT;
    }
    for (int i = 0; i < o.count; i++) {
        int code = run_seed(&o, operators, (guint32)(o.seed + i));
        worst = MAX(worst, code);
    }
    return worst;
}

/* Clusters last as long as the process: what is under way in them outlives them. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
