/* pumicectl: what operators ask of a cluster. Reads only. */
#include "base/log.h"
#include "base/settings.h"
#include "jobs/jobs.h"
#include "render.h"
#include "report.h"
#include "templates.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_S 3.0
#define TIMEOUT_MOST_S 60.0

static const char summary[] =
    "Commands:\n"
    "  status      who leads, who answers, how much work there is\n"
    "  links       who reaches whom, and since when that is known\n"
    "  duties      who holds which duty, and how fit each controller is for it\n"
    "  why JOB     why a job does not run\n"
    "\n"
    "The settings file is that of any controller: its own address, its peers' and the state\n"
    "service's are asked at the same time. What a controller that does not answer would say is\n"
    "taken from the others where they know it, marked with who told it and how old it is.\n"
    "\n"
    "Exit status:\n"
    "  0  all is well\n"
    "  1  something is wrong in the cluster; the last lines say what\n"
    "  2  wrong use, or settings that can't be read\n"
    "  3  no controller was reached\n";

struct options {
    char *config, *format;
    double timeout_s;
    const char *command, *job;
};

struct command {
    const char *name, *target, *template_text;
    struct pm_report (*report)(const struct pm_gathered *gathered);
};

static const struct command commands[] = {
    {"status", "/toolbox/status", template_status, pm_report_status},
    {"links", "/toolbox/status", template_links, pm_report_links},
    {"duties", "/toolbox/status", template_duties, pm_report_duties},
};

static int fail_usage(const char *what)
{
    fprintf(stderr, "pumicectl: %s (see --help)\n", what);
    return PM_EXIT_USAGE;
}

static const struct command *find_command(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
        if (!strcmp(commands[i].name, name))
            return &commands[i];
    return NULL;
}

static int print_text(const json_t *document, const char *template_text)
{
    char *whole = g_strconcat(template_begin, template_text, template_end, NULL);
    char *text = pm_render(whole, document);

    g_free(whole);
    if (!text)
        return -1;
    fputs(text, stdout);
    free(text);
    return 0;
}

static int print_report(const struct pm_report *report, const struct options *options,
                        const char *template_text)
{
    int failed;

    if (!strcmp(options->format, "json")) {
        failed = json_dumpf(report->document, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
        putchar('\n');
    } else {
        failed = print_text(report->document, template_text);
    }
    return failed || fflush(stdout) ? PM_EXIT_WRONG : (int)report->exit;
}

static int run_command(const struct options *options, const struct pm_settings *settings)
{
    const struct command *command = find_command(options->command);
    struct pm_gathered gathered;
    struct pm_report report;
    char target[64];
    int code;

    if (command) {
        pm_gather(&gathered, settings, command->target, options->timeout_s);
        report = command->report(&gathered);
    } else {
        snprintf(target, sizeof target, "/toolbox/job/%s", options->job);
        pm_gather(&gathered, settings, target, options->timeout_s);
        report = pm_report_why(&gathered, options->job);
    }
    code = print_report(&report, options, command ? command->template_text : template_why);
    json_decref(report.document);
    pm_gathered_free(&gathered);
    return code;
}

/* NULL, or what is wrong with the words after the options. */
static const char *read_command(struct options *options, int argc, char **argv)
{
    if (argc < 2)
        return "a command is needed";
    options->command = argv[1];
    if (find_command(argv[1]))
        return argc > 2 ? "unexpected argument" : NULL;
    if (strcmp(argv[1], "why") != 0)
        return "no such command";
    if (argc != 3)
        return "why: one job is needed";
    options->job = argv[2];
    return pm_jobs_id_valid(argv[2]) ? NULL : "why: not the id of a job";
}

static const char *check_options(const struct options *options)
{
    if (!options->config)
        return "--config FILE is needed";
    if (strcmp(options->format, "text") != 0 && strcmp(options->format, "json") != 0)
        return "--format: text or json";
    if (!(options->timeout_s > 0 && options->timeout_s <= TIMEOUT_MOST_S))
        return "--timeout: above 0, at most 60 seconds";
    return NULL;
}

static int run(struct options *options, int argc, char **argv)
{
    static struct pm_settings settings;
    const char *wrong = read_command(options, argc, argv);
    char err[512];

    if (!options->format)
        options->format = g_strdup("text");
    if (!wrong)
        wrong = check_options(options);
    if (wrong)
        return fail_usage(wrong);
    pm_log_setup("error", "pumicectl");
    signal(SIGPIPE, SIG_IGN);
    if (pm_settings_load(&settings, options->config, err, sizeof err)) {
        fprintf(stderr, "pumicectl: %s: %s\n", options->config, err);
        return PM_EXIT_USAGE;
    }
    return run_command(options, &settings);
}

int main(int argc, char **argv)
{
    struct options options = {.timeout_s = TIMEOUT_S};
    GOptionEntry entries[] = {
        {"config", 0, 0, G_OPTION_ARG_FILENAME, &options.config, "a controller's settings (TOML)",
         "FILE"},
        {"format", 0, 0, G_OPTION_ARG_STRING, &options.format, "text (default) or json", "FORMAT"},
        {"timeout", 0, 0, G_OPTION_ARG_DOUBLE, &options.timeout_s,
         "how long to wait for answers, 3 by default", "SECONDS"},
        {0}};
    GOptionContext *context = g_option_context_new("COMMAND - look into a cluster");
    GError *error = NULL;
    int code;

    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(context, summary);
    if (g_option_context_parse(context, &argc, &argv, &error))
        code = run(&options, argc, argv);
    else
        code = fail_usage(error->message);
    g_clear_error(&error);
    g_option_context_free(context);
    g_free(options.config);
    g_free(options.format);
    return code;
}
