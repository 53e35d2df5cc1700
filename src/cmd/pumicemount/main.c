/* The daemon: reads its settings and runs one controller until it is killed. */
#include "controller.h"
#include "base/crash_report.h"
#include "base/log.h"

#include <ev.h>
#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum { EXIT_BAD_INPUT = 2 };

struct options {
    char *config, *check, *operator_file; /* paths of files; NULL: not given */
    gboolean version;                     /* print the version and exit */
};

/* Reads the options. Prints the error and returns false if they are invalid. */
static bool read_options(struct options *options, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"config", 0, 0, G_OPTION_ARG_FILENAME, &options->config, "the platform's settings (TOML)",
         "FILE"},
        {"check-config", 0, 0, G_OPTION_ARG_FILENAME, &options->check,
         "read these settings and exit", "FILE"},
        {"operator", 0, 0, G_OPTION_ARG_FILENAME, &options->operator_file,
         "the operators' settings (YAML)", "FILE"},
        {"version", 0, 0, G_OPTION_ARG_NONE, &options->version, "print the version and exit", NULL},
        {0}};
    GOptionContext *context = g_option_context_new("- cluster scheduler, one controller");
    GError *error = NULL;
    bool ok;

    g_option_context_add_main_entries(context, entries, NULL);
    ok = g_option_context_parse(context, &argc, &argv, &error) && argc == 1;
    g_option_context_free(context);
    if (!ok)
        fprintf(stderr, "pumicemount: %s\n", error ? error->message : "unexpected argument");
    else if (!options->version && !options->config && !options->check)
        fprintf(stderr, "pumicemount: --config FILE is needed (see --help)\n");
    return ok && (options->version || options->config || options->check);
}

/* Reads the files that the options name. Prints the error and returns false if one is invalid. */
static bool load_settings(const struct options *options, struct pm_settings *settings,
                          struct pm_operator_settings *operator_settings)
{
    const char *config = options->check ? options->check : options->config;
    const char *operator_file = options->operator_file;
    char err[512];

    pm_operator_settings_defaults(operator_settings);
    if (!pm_settings_load(settings, config, err, sizeof err))
        fprintf(stderr, "pumicemount: %s: %s\n", config, err);
    else if (operator_file &&
             !pm_operator_settings_load(operator_settings, operator_file, err, sizeof err))
        fprintf(stderr, "pumicemount: %s: %s\n", operator_file, err);
    else
        return true;
    return false;
}

/* Logs why the process ends by itself, and returns the exit status. */
static int report_exit(const char *cause)
{
    pm_error("controller.exit", "%s", cause);
    return EXIT_FAILURE;
}

static void log_start(const struct pm_settings *settings)
{
    for (int i = 0; i < settings->team_count; i++)
        pm_info("controller.team",
                "%s: guaranteed %g cpus, limit %g; guaranteed %g accelerators, limit %g",
                settings->teams[i].name, settings->teams[i].cpus, settings->teams[i].cpus_max,
                settings->teams[i].gpus, settings->teams[i].gpus_max);
    pm_info("controller.start", "version %s, serving users and workers on %s", PM_VERSION,
            settings->listen_addr);
}

static int run_controller(const struct pm_settings *settings,
                          const struct pm_operator_settings *operator_settings)
{
    struct ev_loop *loop;

    /* One malloc arena keeps memory usage bounded; the two threads rarely contend for it. */
    mallopt(M_ARENA_MAX, 1);
    signal(SIGPIPE, SIG_IGN);
    pm_log_setup(getenv("LOG_LEVEL"), settings->name);
    pm_crash_report_install(settings->name, PM_VERSION);
    loop = ev_default_loop(EVFLAG_AUTO);
    if (!loop)
        return report_exit("the event loop can't be created");
    if (!pm_controller_new(loop, settings, operator_settings))
        return report_exit("an address to listen on is not available");
    log_start(settings);
    ev_run(loop, 0);
    return report_exit("the event loop has ended");
}

int main(int argc, char **argv)
{
    static struct pm_settings settings;
    static struct pm_operator_settings operator_settings;
    struct options options = {0};

    if (!read_options(&options, argc, argv))
        return EXIT_BAD_INPUT;
    if (options.version) {
        printf("pumicemount %s\n", PM_VERSION);
        return EXIT_SUCCESS;
    }
    if (!load_settings(&options, &settings, &operator_settings))
        return EXIT_BAD_INPUT;
    if (options.check)
        return EXIT_SUCCESS;
    return run_controller(&settings, &operator_settings);
}
