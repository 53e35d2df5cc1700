/* The commands of pumicectl: which there are, what arguments they need, and running one. No state
 * but constants. */
#ifndef PM_CMD_PUMICECTL_COMMANDS_H
#define PM_CMD_PUMICECTL_COMMANDS_H

#include "base/settings.h"
#include "report.h"

#include <stdbool.h>

struct pm_command;

/* A command of the command line, with what follows it. */
struct pm_invocation {
    const struct pm_command *command;
    char *const *arguments; /* that follow the command's own words; borrowed */
    int argument_count;
    bool dry_run;
    double timeout_s; /* for each request to a controller */
};

/* Finds the command that the words after the options name, and sets `out` to it and to its
 * arguments. `out->dry_run` is set before. NULL, or what is wrong with the words: a text that is
 * valid until the next call. */
const char *pm_invocation_parse(struct pm_invocation *out, int argc, char **argv);
/* Whether the command needs the settings of a controller. */
bool pm_command_needs_settings(const struct pm_command *command);
/* The template of the command's text; owned by the caller. */
char *pm_command_template(const struct pm_command *command);
/* Runs the command. `settings` is not read unless the command needs settings. */
struct pm_report pm_invocation_run(const struct pm_invocation *invocation,
                                   const struct pm_settings *settings);

#endif
