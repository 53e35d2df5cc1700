#include "commands.h"
#include "audit_files.h"
#include "drain.h"
#include "jobs/jobs.h"
#include "roles/role.h"
#include "templates.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define STATUS_PATH "/toolbox/status"
#define CLEANUP_PATH "/toolbox/cleanup"
#define JOB_PATH "/toolbox/job/%s"

enum { FILES_MAX = 4096, TARGET_SIZE = 64, PROBLEM_SIZE = 96 };

/* An entry of the command table. */
struct pm_command {
    const char *name, *second_word; /* `second_word` is NULL if the name is one word */
    int min_arguments, max_arguments;
    const char *expected_arguments; /* for the message about a wrong number of arguments */
    bool is_offline;                /* sends no requests, and so needs no settings */
    const char *template_text;
    bool is_framed; /* the template is put between begin.mustache and end.mustache */
    /* The path that is requested from all controllers, and the function that makes the report from
     * their answers. If `target` is NULL, `run` is called instead. */
    const char *target;
    struct pm_report (*report)(const struct pm_gathered *gathered);
    struct pm_report (*run)(const struct pm_invocation *invocation,
                            const struct pm_settings *settings);
};

static struct pm_report run_why(const struct pm_invocation *invocation,
                                const struct pm_settings *settings)
{
    const char *job = invocation->arguments[0];
    struct pm_gathered gathered;
    struct pm_report report;
    char target[TARGET_SIZE];

    snprintf(target, sizeof target, JOB_PATH, job);
    pm_gather(&gathered, settings, target, invocation->timeout_s);
    report = pm_report_why(&gathered, job);
    pm_gathered_free(&gathered);
    return report;
}

static struct pm_report run_drain(const struct pm_invocation *invocation,
                                  const struct pm_settings *settings)
{
    return pm_drain_role(settings, invocation->arguments[0], invocation->timeout_s);
}

static struct pm_report run_audit_list(const struct pm_invocation *invocation,
                                       const struct pm_settings *settings)
{
    (void)settings;
    return pm_report_audit_files(invocation->arguments, invocation->argument_count, true);
}

static struct pm_report run_audit_verify(const struct pm_invocation *invocation,
                                         const struct pm_settings *settings)
{
    (void)settings;
    return pm_report_audit_files(invocation->arguments, invocation->argument_count, false);
}

static const struct pm_command commands[] = {
    {.name = "status",
     .target = STATUS_PATH,
     .template_text = template_status,
     .is_framed = true,
     .report = pm_report_status},
    {.name = "links",
     .target = STATUS_PATH,
     .template_text = template_links,
     .is_framed = true,
     .report = pm_report_links},
    {.name = "duties",
     .target = STATUS_PATH,
     .template_text = template_duties,
     .is_framed = true,
     .report = pm_report_roles},
    {.name = "cleanup",
     .target = CLEANUP_PATH,
     .template_text = template_cleanup,
     .is_framed = true,
     .report = pm_report_cleanup},
    {.name = "why",
     .min_arguments = 1,
     .max_arguments = 1,
     .expected_arguments = "one job id",
     .template_text = template_why,
     .is_framed = true,
     .run = run_why},
    {.name = "duty",
     .second_word = "drain",
     .min_arguments = 1,
     .max_arguments = 1,
     .expected_arguments = "one duty name",
     .template_text = template_drain,
     .run = run_drain},
    {.name = "record",
     .second_word = "list",
     .min_arguments = 1,
     .max_arguments = FILES_MAX,
     .expected_arguments = "1 to 4096 files",
     .is_offline = true,
     .template_text = template_record,
     .run = run_audit_list},
    {.name = "record",
     .second_word = "verify",
     .min_arguments = 1,
     .max_arguments = FILES_MAX,
     .expected_arguments = "1 to 4096 files",
     .is_offline = true,
     .template_text = template_record,
     .run = run_audit_verify},
};

/* Returns the command that the first words after the program's name select, or NULL. */
static const struct pm_command *find_command(int argc, char **argv)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const struct pm_command *command = &commands[i];
        if (strcmp(command->name, argv[1]) != 0)
            continue;
        if (!command->second_word || (argc > 2 && !strcmp(command->second_word, argv[2])))
            return command;
    }
    return NULL;
}

/* Returns NULL, or an error message if the number of arguments is wrong. */
static const char *check_argument_count(const struct pm_command *command, int count)
{
    static char problem[PROBLEM_SIZE];

    if (count >= command->min_arguments && count <= command->max_arguments)
        return NULL;
    if (!command->max_arguments)
        return "the command takes no arguments";
    snprintf(problem, sizeof problem, "%s: expected %s", command->name,
             command->expected_arguments);
    return problem;
}

/* Returns NULL, or an error message if an argument or --dry-run is wrong for the command. The
 * number of arguments has been checked before. */
static const char *check_arguments(const struct pm_invocation *invocation)
{
    const char *name = invocation->command->name;
    enum pm_role role;

    if (!strcmp(name, "why") && !pm_job_id_is_valid(invocation->arguments[0]))
        return "why: not a valid job id";
    if (!strcmp(name, "duty") && !pm_role_from_name(invocation->arguments[0], &role))
        return "duty drain: the duty must be 'rent', 'return' or 'clean'";
    if (!strcmp(name, "cleanup") != invocation->dry_run)
        return "--dry-run is required by cleanup and accepted by no other command";
    return NULL;
}

const char *pm_invocation_parse(struct pm_invocation *out, int argc, char **argv)
{
    const char *problem;
    int command_words;

    if (argc < 2)
        return "no command given";
    out->command = find_command(argc, argv);
    if (!out->command)
        return "unknown command";
    command_words = out->command->second_word ? 3 : 2; /* counts the program's name */
    out->arguments = argv + command_words;
    out->argument_count = argc - command_words;
    problem = check_argument_count(out->command, out->argument_count);
    return problem ? problem : check_arguments(out);
}

bool pm_command_needs_settings(const struct pm_command *command)
{
    return !command->is_offline;
}

char *pm_command_template(const struct pm_command *command)
{
    if (!command->is_framed)
        return g_strdup(command->template_text);
    return g_strconcat(template_begin, command->template_text, template_end, NULL);
}

struct pm_report pm_invocation_run(const struct pm_invocation *invocation,
                                   const struct pm_settings *settings)
{
    const struct pm_command *command = invocation->command;
    struct pm_gathered gathered;
    struct pm_report report;

    if (!command->target)
        return command->run(invocation, settings);
    pm_gather(&gathered, settings, command->target, invocation->timeout_s);
    report = command->report(&gathered);
    pm_gathered_free(&gathered);
    return report;
}
