/* pumicectl: what operators ask of a cluster. */
#include "base/log.h"
#include "base/settings.h"
#include "drain.h"
#include "roles/intent.h"
#include "jobs/jobs.h"
#include "record_files.h"
#include "render.h"
#include "report.h"
#include "templates.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_PATH "/toolbox/status"
#define CLEANUP_PATH "/toolbox/cleanup"
#define TIMEOUT_S 3.0
#define TIMEOUT_MOST_S 60.0

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
    const struct command *command;
    char **words; /* that follow the command's own */
    int count;
};

/* A command of one or two words, and what it takes after them. */
struct command {
    const char *name, *second; /* NULL: of one word */
    int least, most;           /* words that follow */
    const char *needs;         /* what these are */
    bool offline;              /* needs no settings */
    const char *template_text;
    bool framed; /* the template stands between those of the begin and the end */
    /* What all controllers are asked, and what is made of their answers; NULL: `run` is called. */
    const char *target;
    struct pm_report (*report)(const struct pm_gathered *gathered);
    struct pm_report (*run)(const struct options *options, const struct pm_settings *settings);
};

static struct pm_report run_why(const struct options *options, const struct pm_settings *settings)
{
    struct pm_gathered gathered;
    struct pm_report out;
    char target[64];

    snprintf(target, sizeof target, "/toolbox/job/%s", options->words[0]);
    pm_gather(&gathered, settings, target, options->timeout_s);
    out = pm_report_why(&gathered, options->words[0]);
    pm_gathered_free(&gathered);
    return out;
}

static struct pm_report run_drain(const struct options *options, const struct pm_settings *settings)
{
    return pm_drain(settings, options->words[0], options->timeout_s);
}

static struct pm_report run_record_list(const struct options *options,
                                        const struct pm_settings *settings)
{
    (void)settings;
    return pm_record_files(options->words, options->count, true);
}

static struct pm_report run_record_verify(const struct options *options,
                                          const struct pm_settings *settings)
{
    (void)settings;
    return pm_record_files(options->words, options->count, false);
}

enum { FILES_MOST = 4096 };

static const struct command commands[] = {
    {.name = "status",
     .target = STATUS_PATH,
     .template_text = template_status,
     .framed = true,
     .report = pm_report_status},
    {.name = "links",
     .target = STATUS_PATH,
     .template_text = template_links,
     .framed = true,
     .report = pm_report_links},
    {.name = "duties",
     .target = STATUS_PATH,
     .template_text = template_duties,
     .framed = true,
     .report = pm_report_duties},
    {.name = "cleanup",
     .target = CLEANUP_PATH,
     .template_text = template_cleanup,
     .framed = true,
     .report = pm_report_cleanup},
    {.name = "why",
     .least = 1,
     .most = 1,
     .needs = "one job",
     .template_text = template_why,
     .framed = true,
     .run = run_why},
    {.name = "duty",
     .second = "drain",
     .least = 1,
     .most = 1,
     .needs = "one duty",
     .template_text = template_drain,
     .run = run_drain},
    {.name = "record",
     .second = "list",
     .least = 1,
     .most = FILES_MOST,
     .needs = "files",
     .offline = true,
     .template_text = template_record,
     .run = run_record_list},
    {.name = "record",
     .second = "verify",
     .least = 1,
     .most = FILES_MOST,
     .needs = "files",
     .offline = true,
     .template_text = template_record,
     .run = run_record_verify},
};

static int fail_usage(const char *what)
{
    fprintf(stderr, "pumicectl: %s (see --help)\n", what);
    return PM_EXIT_USAGE;
}

static int print_text(const json_t *document, const struct command *command)
{
    char *whole = g_strconcat(command->framed ? template_begin : "", command->template_text,
                              command->framed ? template_end : "", NULL);
    char *text = pm_render(whole, document);

    g_free(whole);
    if (!text)
        return -1;
    fputs(text, stdout);
    free(text);
    return 0;
}

static int print_report(const struct pm_report *report, const struct options *options)
{
    int failed;

    if (!strcmp(options->format, "json")) {
        failed = json_dumpf(report->document, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
        putchar('\n');
    } else {
        failed = print_text(report->document, options->command);
    }
    return failed || fflush(stdout) ? PM_EXIT_WRONG : (int)report->exit;
}

static struct pm_report make_report(const struct options *options,
                                    const struct pm_settings *settings)
{
    const struct command *command = options->command;
    struct pm_gathered gathered;
    struct pm_report out;

    if (!command->target)
        return command->run(options, settings);
    pm_gather(&gathered, settings, command->target, options->timeout_s);
    out = command->report(&gathered);
    pm_gathered_free(&gathered);
    return out;
}

static int run_command(const struct options *options, const struct pm_settings *settings)
{
    struct pm_report report = make_report(options, settings);
    int code = print_report(&report, options);

    json_decref(report.document);
    return code;
}

static const struct command *find_command(int argc, char **argv)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
        if (!strcmp(commands[i].name, argv[1]) &&
            (!commands[i].second || (argc > 2 && !strcmp(commands[i].second, argv[2]))))
            return &commands[i];
    return NULL;
}

/* NULL, or what is wrong with the words after the options. */
static const char *read_command(struct options *options, int argc, char **argv)
{
    static char wrong[96];
    const struct command *command;
    enum pm_role role;
    int own;

    if (argc < 2)
        return "a command is needed";
    command = find_command(argc, argv);
    if (!command)
        return "no such command";
    own = command->second ? 3 : 2;
    options->command = command;
    options->words = argv + own;
    options->count = argc - own;
    if (options->count >= command->least && options->count <= command->most) {
        if (!strcmp(command->name, "why") && !pm_job_id_is_valid(options->words[0]))
            return "why: not the id of a job";
        if (!strcmp(command->name, "duty") && !pm_role_from_name(options->words[0], &role))
            return "duty drain: rent, return or clean";
        if ((strcmp(command->name, "cleanup") == 0) != options->dry_run)
            return "--dry-run goes with cleanup, which does nothing else";
        return NULL;
    }
    if (!command->most)
        return "unexpected argument";
    snprintf(wrong, sizeof wrong, "%s: needs %s", command->name, command->needs);
    return wrong;
}

static const char *check_options(const struct options *options)
{
    if (!options->config && !options->command->offline)
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
    if (!options->command->offline &&
        pm_settings_load(&settings, options->config, err, sizeof err)) {
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
        {"dry-run", 0, 0, G_OPTION_ARG_NONE, &options.dry_run, "with cleanup: only tell", NULL},
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
