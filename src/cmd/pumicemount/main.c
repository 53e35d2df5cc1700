/* The daemon: reads its settings and runs one controller until it is killed. */
#include "controller.h"
#include "base/log.h"

#include <ev.h>
#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* Prints the error and returns the exit status. */
static int report_bad_settings(const char *path, const char *err)
{
    fprintf(stderr, "pumicemount: %s: %s\n", path, err);
    return 2;
}

int main(int argc, char **argv)
{
    static struct pm_settings settings;
    static struct pm_operator_settings operator_settings;
    char *config = NULL;
    char *check = NULL;
    char *operator_file = NULL;
    char err[512];
    gboolean version = FALSE;
    GOptionEntry entries[] = {
        {"config", 0, 0, G_OPTION_ARG_FILENAME, &config, "the platform's settings (TOML)", "FILE"},
        {"check-config", 0, 0, G_OPTION_ARG_FILENAME, &check, "read these settings and exit",
         "FILE"},
        {"operator", 0, 0, G_OPTION_ARG_FILENAME, &operator_file, "the operators' settings (YAML)",
         "FILE"},
        {"version", 0, 0, G_OPTION_ARG_NONE, &version, "print the version and exit", NULL},
        {0}};
    GOptionContext *context = g_option_context_new("- cluster scheduler, one controller");
    GError *error = NULL;
    struct ev_loop *loop;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) || argc > 1) {
        fprintf(stderr, "pumicemount: %s\n", error ? error->message : "unexpected argument");
        return 2;
    }
    g_option_context_free(context);
    if (version) {
        printf("pumicemount %s\n", PM_VERSION);
        return 0;
    }
    if (!config && !check) {
        fprintf(stderr, "pumicemount: --config FILE is needed (see --help)\n");
        return 2;
    }
    if (!pm_settings_load(&settings, check ? check : config, err, sizeof err))
        return report_bad_settings(check ? check : config, err);
    pm_operator_settings_defaults(&operator_settings);
    if (operator_file &&
        !pm_operator_settings_load(&operator_settings, operator_file, err, sizeof err))
        return report_bad_settings(operator_file, err);
    if (check)
        return 0;
    /* One malloc arena keeps memory usage bounded; the two threads rarely contend for it. */
    mallopt(M_ARENA_MAX, 1);
    signal(SIGPIPE, SIG_IGN);
    pm_log_setup(getenv("LOG_LEVEL"), settings.name);
    loop = ev_default_loop(EVFLAG_AUTO);
    if (!loop || !pm_controller_new(loop, &settings, &operator_settings))
        return 1;
    for (int i = 0; i < settings.team_count; i++)
        pm_info("controller.team",
                "%s: guaranteed %g cpus, limit %g; guaranteed %g accelerators, limit %g",
                settings.teams[i].name, settings.teams[i].cpus, settings.teams[i].cpus_max,
                settings.teams[i].gpus, settings.teams[i].gpus_max);
    pm_info("controller.start", "version %s, serving users and workers on %s", PM_VERSION,
            settings.listen_addr);
    ev_run(loop, 0);
    return 0;
}
