/* pumicectl, the operators' tool: shows the state of a cluster, and drains a singleton role. This
 * file parses the options, runs the command and prints its report. */
#include "base/log.h"
#include "base/settings.h"
#include "commands.h"
#include "render.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_TIMEOUT_S 3.0
#define MAX_TIMEOUT_S 60.0

enum { ERROR_SIZE = 512 };

/* The description that --help shows. */
static const char summary[] =
    "Commands:\n"
    "  status                    show the leader, the controllers that answer, and counts of\n"
    "                            jobs, tasks and machines\n"
    "  links                     show the state of each controller's links, and how long ago it\n"
    "                            was observed\n"
    "  duties                    show the holder and the open intents (unsettled requests to the\n"
    "                            machine provider) of each duty, and the fitness of each\n"
    "                            controller\n"
    "  why JOB                   show why a job does not run\n"
    "  duty drain NAME           ask the holder of a duty to release the duty; NAME is 'rent'\n"
    "                            (scale-out), 'return' (scale-in) or 'clean' (garbage\n"
    "                            collection). 'rent' and 'return' are held by the leader, which\n"
    "                            then steps down as leader\n"
    "  cleanup --dry-run         list the obsolete keys that garbage collection will delete from\n"
    "                            the state service, and which of them may be deleted now\n"
    "  record list FILE...       list the entries of audit log files\n"
    "  record verify FILE...     check that audit log files are complete\n"
    "\n"
    "The settings file may be that of any controller: pumicectl queries this controller, its\n"
    "peers and the state service at the same time. If a controller does not answer, its links\n"
    "and fitness are shown as it last reported them to another controller, with the name of\n"
    "that controller and the age of the report. 'record list' and 'record verify' do not need\n"
    "--config.\n"
    "\n"
    "'duty drain' is the only command that changes anything. It stores a request for the holder\n"
    "of the duty, unless the holder has changed since it was read. The command fails if the\n"
    "state service can't be reached or does not confirm the request; it can safely be repeated.\n"
    "\n"
    "Exit status:\n"
    "  0  no problems\n"
    "  1  the report lists problems, 'duty drain' failed, or an audit log file is not\n"
    "     complete\n"
    "  2  invalid command line, or the settings can't be loaded\n"
    "  3  no controller answered\n";

struct options {
    char *config, *format;
    double timeout_s;
    gboolean dry_run;
};

static int fail_usage(const char *problem)
{
    fprintf(stderr, "pumicectl: %s (see --help)\n", problem);
    return PM_EXIT_USAGE;
}

/* Returns false if the document could not be rendered. */
static bool print_text(const json_t *document, const struct pm_command *command)
{
    char *template_text = pm_command_template(command);
    char *text = pm_render(template_text, document);

    g_free(template_text);
    if (!text)
        return false;
    fputs(text, stdout);
    free(text);
    return true;
}

static bool print_json(const json_t *document)
{
    bool is_printed = !json_dumpf(document, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);

    putchar('\n');
    return is_printed;
}

/* Returns the exit status: the report's, or PM_EXIT_PROBLEMS if the report could not be printed. */
static int print_report(const struct pm_report *report, const struct pm_command *command,
                        const char *format)
{
    bool is_printed = !strcmp(format, "json") ? print_json(report->document)
                                              : print_text(report->document, command);

    return !is_printed || fflush(stdout) ? PM_EXIT_PROBLEMS : (int)report->exit;
}

/* Returns NULL, or an error message if an option is missing or has an invalid value. */
static const char *check_options(const struct options *options, const struct pm_command *command)
{
    if (!options->config && pm_command_needs_settings(command))
        return "--config FILE is required";
    if (strcmp(options->format, "text") != 0 && strcmp(options->format, "json") != 0)
        return "--format must be text or json";
    if (!(options->timeout_s > 0 && options->timeout_s <= MAX_TIMEOUT_S))
        return "--timeout must be greater than 0 and at most 60 seconds";
    return NULL;
}

/* Runs the command that the arguments name. Returns the exit status. */
static int run(struct options *options, int argc, char **argv)
{
    static struct pm_settings settings;
    struct pm_invocation invocation = {.dry_run = options->dry_run,
                                       .timeout_s = options->timeout_s};
    const char *problem = pm_invocation_parse(&invocation, argc, argv);
    struct pm_report report;
    char error[ERROR_SIZE];
    int status;

    if (!options->format)
        options->format = g_strdup("text");
    if (!problem)
        problem = check_options(options, invocation.command);
    if (problem)
        return fail_usage(problem);
    pm_log_setup("error", "pumicectl");
    signal(SIGPIPE, SIG_IGN);
    if (pm_command_needs_settings(invocation.command) &&
        !pm_settings_load(&settings, options->config, error, sizeof error)) {
        fprintf(stderr, "pumicectl: %s: %s\n", options->config, error);
        return PM_EXIT_USAGE;
    }
    report = pm_invocation_run(&invocation, &settings);
    status = print_report(&report, invocation.command, options->format);
    json_decref(report.document);
    return status;
}

int main(int argc, char **argv)
{
    struct options options = {.timeout_s = DEFAULT_TIMEOUT_S};
    GOptionEntry entries[] = {{"config", 0, 0, G_OPTION_ARG_FILENAME, &options.config,
                               "settings file of any controller (TOML)", "FILE"},
                              {"format", 0, 0, G_OPTION_ARG_STRING, &options.format,
                               "output format: text (default) or json", "FORMAT"},
                              {"timeout", 0, 0, G_OPTION_ARG_DOUBLE, &options.timeout_s,
                               "how long to wait for answers, or after 'duty drain' for the next "
                               "holder; 3 by default",
                               "SECONDS"},
                              {"dry-run", 0, 0, G_OPTION_ARG_NONE, &options.dry_run,
                               "required by cleanup: list the keys, delete nothing", NULL},
                              {0}};
    GOptionContext *context = g_option_context_new("COMMAND - inspect a cluster");
    GError *error = NULL;
    int status;

    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(context, summary);
    if (g_option_context_parse(context, &argc, &argv, &error))
        status = run(&options, argc, argv);
    else
        status = fail_usage(error->message);
    g_clear_error(&error);
    g_option_context_free(context);
    g_free(options.config);
    g_free(options.format);
    return status;
}
