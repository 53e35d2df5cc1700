/* Replays the recorded traces of the workers and scheduler slices (*.trace).
 *
 * Each line of a trace is a command with its arguments. trace_inputs.h has the commands that change
 * something, trace_checks.h those that print what the controller has decided or knows. The lines
 * after a command that begin with "> " are the output that is expected of it. Blank lines and lines
 * that begin with # are ignored. Time passes only by commands, so a replay always gives the same
 * result. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "trace_checks.h"
#include "trace_inputs.h"

static void run_command(struct trace_world *world, char **words)
{
    static const struct {
        const char *name;
        void (*run)(struct trace_world *world, char **words);
    } commands[] = {
        {"machine_type", run_machine_type},
        {"team", run_team},
        {"booting", run_booting},
        {"terminated", run_terminated},
        {"job", run_job},
        {"job_done", run_job_done},
        {"cancel", run_cancel},
        {"stored_placement", run_stored_placement},
        {"new_leader", run_new_leader},
        {"epoch", run_epoch},
        {"peer_cancellation", run_peer_cancellation},
        {"delegate", run_delegate},
        {"heartbeat", run_heartbeat},
        {"push_reply", run_push_reply},
        {"ack", run_ack},
        {"push_unanswered", run_push_unanswered},
        {"push_answered", run_push_answered},
        {"lost", run_lost},
        {"wait", run_wait},
        {"plan", run_plan},
        {"durable", run_durable},
        {"commands", run_commands},
        {"cancel_kills", run_cancel_kills},
        {"placements", run_placements},
        {"unmet_demand", run_unmet_demand},
        {"recheck_quota", run_recheck_quota},
        {"leasable_tasks", run_leasable_tasks},
        {"lease", run_lease},
        {"is_reporting", run_is_reporting},
        {"is_reachable", run_is_reachable},
        {"machine_health", run_machine_health},
        {"job_health", run_job_health},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (!strcmp(commands[i].name, words[0])) {
            commands[i].run(world, words);
            return;
        }
    }
    fail_msg("unknown command in a trace: %s", words[0]);
}

static void run_line(struct trace_world *world, const char *line)
{
    char **words = g_strsplit(line, " ", -1);

    g_string_truncate(world->output, 0);
    run_command(world, words);
    g_strfreev(words);
}

/* Runs the commands of a trace, and fails at the first one whose output is not the expected one. */
static void replay(const char *path)
{
    struct trace_world world;
    char *text;
    char **lines;
    GString *expected = g_string_new("");
    int checks = 0;

    assert_true(g_file_get_contents(path, &text, NULL, NULL));
    lines = g_strsplit(text, "\n", -1);
    trace_world_init(&world);
    for (int i = 0; lines[i]; i++) {
        if (!lines[i][0] || lines[i][0] == '#')
            continue;
        run_line(&world, lines[i]);
        g_string_truncate(expected, 0);
        while (lines[i + 1] && lines[i + 1][0] == '>')
            g_string_append_printf(expected, "%s\n", lines[++i]);
        checks += expected->len > 0;
        if (strcmp(world.output->str, expected->str))
            fail_msg("%s:%d: printed\n%sexpected\n%s", path, i + 1, world.output->str,
                     expected->str);
    }
    assert_true(checks > 0); /* a trace without expected output would check nothing */
    trace_world_clear(&world);
    g_string_free(expected, TRUE);
    g_strfreev(lines);
    g_free(text);
}

/* Replays all traces in the tests of that slice. */
static void replay_slice(const char *slice)
{
    char *path = g_strdup_printf("src/%s/tests", slice);
    GDir *directory = g_dir_open(path, 0, NULL);
    const char *name;
    int replayed = 0;

    assert_non_null(directory);
    while ((name = g_dir_read_name(directory))) {
        char *trace;
        if (!g_str_has_suffix(name, ".trace"))
            continue;
        trace = g_build_filename(path, name, NULL);
        print_message("%s\n", trace);
        replay(trace);
        g_free(trace);
        replayed++;
    }
    assert_true(replayed > 0);
    g_dir_close(directory);
    g_free(path);
}

static void traces_of_workers(void **state)
{
    (void)state;
    replay_slice("workers");
}

static void traces_of_scheduler(void **state)
{
    (void)state;
    replay_slice("scheduler");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(traces_of_workers),
        cmocka_unit_test(traces_of_scheduler),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
