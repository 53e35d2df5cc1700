/* The table of pumicectl's commands: parses the command line and runs a command. The only state is
 * the text of the last error message. */
#ifndef PM_CMD_PUMICECTL_COMMANDS_H
#define PM_CMD_PUMICECTL_COMMANDS_H

#include "base/settings.h"
#include "report.h"

#include <stdbool.h>

struct pm_command;

/* A command with its arguments and options, as given on the command line. */
struct pm_invocation {
    const struct pm_command *command;
    char *const *arguments; /* without the word or words that name the command; borrowed */
    int argument_count;
    bool dry_run;
    double timeout_s; /* for each request; for `duty drain`, for the wait for the next holder */
};

/* Parses the command and its arguments from `argv`, from which the options have been removed, into
 * `out`. The caller sets `out->dry_run` before the call, because the arguments are checked against
 * it. Returns NULL, or an error message that is valid until the next call. */
const char *pm_invocation_parse(struct pm_invocation *out, int argc, char **argv);
/* Whether the command needs the settings file of a controller. */
bool pm_command_needs_settings(const struct pm_command *command);
/* Returns the Mustache template for the command's text output; owned by the caller. */
char *pm_command_template(const struct pm_command *command);
/* Runs the command. `settings` is read only if pm_command_needs_settings(). */
struct pm_report pm_invocation_run(const struct pm_invocation *invocation,
                                   const struct pm_settings *settings);

#endif
