/* pumicectl, the operators' tool: shows the state of a cluster, and drains a singleton role. */
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

static const char summary[] =
    "Commands:\n"
    "  status                    who leads, who answers, how much work there is\n"
    "  links                     who reaches whom, and since when that is known\n"
    "  duties                    who holds which duty, and how fit each controller is for it\n"
    "  why JOB                   why a job does not run\n"
    "  duty drain NAME           asks the holder of rent, return or clean to give it up; who\n"
    "                            rents and returns leads, and leaves the lead\n"
    "  cleanup --dry-run         which stored keys the holder of clean takes away, and when\n"
    "  record list FILE...       the entries of the record of duties\n"
    "  record verify FILE...     whether its files are whole\n"
    "\n"
    "The settings file is that of any controller: its own address, its peers' and the state\n"
    "service's are asked at the same time. What a controller that does not answer would say is\n"
    "taken from the others where they know it, marked with who told it and how old it is. record\n"
    "needs no settings.\n"
    "\n"
    "duty drain is the only command that changes something: on the condition that the duty is\n"
    "still held as it was read. Without the state service it refuses; repeating it is harmless.\n"
    "\n"
    "Exit status:\n"
    "  0  all is well\n"
    "  1  something is wrong in the cluster; the last lines say what\n"
    "  2  wrong use, or settings that can't be read\n"
    "  3  no controller was reached\n";

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

/* ---- output ---- */

/* False: there is no text for the document. */
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

/* Returns the exit status. */
static int print_report(const struct pm_report *report, const struct pm_command *command,
                        const char *format)
{
    bool is_printed = !strcmp(format, "json") ? print_json(report->document)
                                              : print_text(report->document, command);

    return !is_printed || fflush(stdout) ? PM_EXIT_PROBLEMS : (int)report->exit;
}

/* ---- running ---- */

/* NULL, or what is wrong with the options. */
static const char *check_options(const struct options *options, const struct pm_command *command)
{
    if (!options->config && pm_command_needs_settings(command))
        return "--config FILE is needed";
    if (strcmp(options->format, "text") != 0 && strcmp(options->format, "json") != 0)
        return "--format: text or json";
    if (!(options->timeout_s > 0 && options->timeout_s <= MAX_TIMEOUT_S))
        return "--timeout: above 0, at most 60 seconds";
    return NULL;
}

/* Returns the exit status. */
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
    GOptionEntry entries[] = {
        {"config", 0, 0, G_OPTION_ARG_FILENAME, &options.config, "a controller's settings (TOML)",
         "FILE"},
        {"format", 0, 0, G_OPTION_ARG_STRING, &options.format, "text (default) or json", "FORMAT"},
        {"timeout", 0, 0, G_OPTION_ARG_DOUBLE, &options.timeout_s,
         "how long to wait for answers, 3 by default", "SECONDS"},
        {"dry-run", 0, 0, G_OPTION_ARG_NONE, &options.dry_run, "with cleanup: only tell", NULL},
        {0}};
    GOptionContext *context = g_option_context_new("COMMAND - look into a cluster");
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
