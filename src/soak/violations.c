/* Collects the violations that the checkers find, each with its time since the start of the run,
 * and the violations that the controllers log. */
#include "soak/soak_internal.h"
#include "base/clock.h"

#include <math.h>
#include <string.h>

/* A machine that runs tasks may be terminated only if no controller has answered its heartbeats for
 * at least this time. */
#define MIN_UNANSWERED_S 2.0
/* Commands that were delayed are never answered, so a controller may still consider a machine
 * unreachable for this time after the delays have ended. */
#define UNREACHABLE_AFTER_DELAY_S 5.0

void violations_init(struct violations *violations)
{
    violations->text = g_string_new("");
}

static void append_line(struct soak *soak, const char *line)
{
    g_string_append_printf(soak->violations.text, "%.2f s: %s\n", soak_elapsed_s(soak), line);
    if (!soak->log)
        return;
    fprintf(soak->log, "soak %.2f s: violation: %s\n", soak_elapsed_s(soak), line);
    fflush(soak->log);
}

/* Appends the lines of `all` that follow its first `*copied_bytes` bytes, which were appended
 * before. Sets `*copied_bytes` to the length of `all`. */
static void append_new_lines(struct soak *soak, const char *all, size_t *copied_bytes)
{
    char **lines;

    if (strlen(all) == *copied_bytes)
        return;
    lines = g_strsplit(all + *copied_bytes, "\n", -1);
    *copied_bytes = strlen(all);
    for (char **line = lines; *line; line++)
        if (**line)
            append_line(soak, *line);
    g_strfreev(lines);
}

void violations_collect(struct soak *soak)
{
    struct violations *violations = &soak->violations;

    append_new_lines(soak, history_violations(cluster_history(soak->cluster)),
                     &violations->history_bytes_copied);
    if (violations->checker)
        append_new_lines(soak, call_checker_violations(violations->checker),
                         &violations->checker_bytes_copied);
}

/* ---- calls to the provider ---- */

static void on_store_change(void *arg, const char *key, const cbor_item_t *data, uint64_t revision)
{
    const struct soak *soak = arg;

    call_checker_on_state_change(soak->violations.checker, key, data, revision,
                                 pm_clock_monotonic());
}

/* While commands are delayed, and for UNREACHABLE_AFTER_DELAY_S after that, some commands get no
 * answer. A controller may then rightly consider a machine unreachable and terminate it together
 * with its tasks, although the machine's heartbeats are answered. During this time, the call is
 * therefore passed to the checker as if no heartbeat had ever been answered. */
static void on_provider_call(void *arg, const struct fake_provider_call *call)
{
    const struct soak *soak = arg;
    struct fake_provider_call adjusted = *call;

    if (soak_elapsed_s(soak) < soak->injection.delayed_until_s + UNREACHABLE_AFTER_DELAY_S)
        adjusted.unanswered_s = INFINITY;
    call_checker_on_call(soak->violations.checker, &adjusted);
}

void violations_observe_provider_calls(struct soak *soak)
{
    soak->violations.checker = call_checker_new(MIN_UNANSWERED_S);
    cluster_observe(soak->cluster, on_store_change, soak);
    fake_provider_observe(cluster_provider(soak->cluster), on_provider_call, soak);
}

/* ---- logs ---- */

/* Returns whether a log line reports a violation. The last two events are the first two under the
 * names that they had in earlier versions of the daemon; a run with an upgrade may log the old and
 * the new names. */
static bool is_logged_violation(const char *line)
{
    static const char *const events[] = {" quota.exceeded ", " quota.start_rejected ",
                                         " quota.over ", " quota.refused "};

    for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
        if (strstr(line, events[i]))
            return true;
    return false;
}

/* The controllers compare the usage that workers report with the quotas, and check the quota again
 * when they write the start of a task. They log a failure of either check, which counts as a
 * violation, too. */
void violations_collect_logged(struct soak *soak)
{
    char *text = NULL;
    char **lines;

    if (!g_file_get_contents(soak->log_path, &text, NULL, NULL))
        return;
    lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line; line++)
        if (is_logged_violation(*line))
            g_string_append_printf(soak->violations.text, "logged: %s\n", *line);
    g_strfreev(lines);
    g_free(text);
}
