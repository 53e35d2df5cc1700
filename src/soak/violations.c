/* Collects what the checkers find, and what the controllers log, with the second of the run. */
#include "soak/soak_internal.h"
#include "base/clock.h"

#include <math.h>
#include <string.h>

/* A machine that no controller has answered for this long may be terminated with what runs there.
 */
#define UNANSWERED_S 2.0
/* For so long after commands were delayed, workers may be taken for unreachable. */
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
    fprintf(soak->log, "soak %.2f violation %s\n", soak_elapsed_s(soak), line);
    fflush(soak->log);
}

/* Appends the lines of `all` behind its first `*known` bytes. */
static void append_new_lines(struct soak *soak, const char *all, size_t *known)
{
    char **lines;

    if (strlen(all) == *known)
        return;
    lines = g_strsplit(all + *known, "\n", -1);
    *known = strlen(all);
    for (char **line = lines; *line; line++)
        if (**line)
            append_line(soak, *line);
    g_strfreev(lines);
}

void violations_collect(struct soak *soak)
{
    struct violations *violations = &soak->violations;

    append_new_lines(soak, history_violations(cluster_history(soak->cluster)),
                     &violations->history_length);
    if (violations->calls)
        append_new_lines(soak, call_checker_violations(violations->calls),
                         &violations->calls_length);
}

/* ---- calls to the provider ---- */

static void on_store_change(void *arg, const char *key, const cbor_item_t *data, uint64_t revision)
{
    const struct soak *soak = arg;

    call_checker_on_state_change(soak->violations.calls, key, data, revision, pm_clock_monotonic());
}

/* A machine whose commands got no answer lately was rightly taken for unreachable, and is
 * terminated with what it runs, though its heartbeats were answered. */
static void on_provider_call(void *arg, const struct fake_provider_call *call)
{
    const struct soak *soak = arg;
    struct fake_provider_call adjusted = *call;

    if (soak_elapsed_s(soak) < soak->injection.delayed_until_s + UNREACHABLE_AFTER_DELAY_S)
        adjusted.unanswered_s = INFINITY;
    call_checker_on_call(soak->violations.calls, &adjusted);
}

void violations_check_calls(struct soak *soak)
{
    soak->violations.calls = call_checker_new(UNANSWERED_S);
    cluster_observe(soak->cluster, on_store_change, soak);
    fake_provider_observe(cluster_provider(soak->cluster), on_provider_call, soak);
}

/* ---- logs ---- */

/* The last two are the names that a daemon before an upgrade gives these events. */
static bool is_logged_violation(const char *line)
{
    static const char *const events[] = {" quota.exceeded ", " quota.start_rejected ",
                                         " quota.over ", " quota.refused "};

    for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
        if (strstr(line, events[i]))
            return true;
    return false;
}

/* The controllers compare quotas with what workers report, and check each start at its write: what
 * they log of that is a violation too. */
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
