/* Checks that a short soak finds no violation, that a soak detects a daemon which undercounts a
 * team's usage by one task, and one which ends by itself, and that the soak program rejects bad
 * input. */
#include "soak/soak.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

enum { SEED = 7, VARIED_SEED = 1, EXIT_BAD_INPUT = 2 };

static const struct soak_settings default_settings = {.seed = SEED,
                                                      .seconds = 25,
                                                      .controller_count = 4,
                                                      .max_machines = 10,
                                                      .lease_s = 4,
                                                      .daemon = PM_DAEMON};

static char *run_soak(struct soak_settings settings, const char *kinds)
{
    struct soak_result result;

    settings.kinds = fault_schedule_parse_kinds(kinds);
    assert_true(soak_run(&settings, &result));
    assert_true(result.task_start_count > 20);
    return result.violations;
}

static void short_soak_is_clean(void **arg)
{
    char *violations = run_soak(default_settings, NULL);

    (void)arg;
    assert_string_equal(violations, "");
    g_free(violations);
}

/* Without the bound of a sizing, the leader and its successors ended with this seed. */
static void short_soak_with_varied_jobs_is_clean(void **arg)
{
    struct soak_settings settings = default_settings;
    char *violations;

    (void)arg;
    settings.seed = VARIED_SEED;
    settings.with_varied_jobs = true;
    settings.max_machines = 40;
    violations = run_soak(settings, NULL);
    assert_string_equal(violations, "");
    g_free(violations);
}

static void quota_off_by_one_is_found(void **arg)
{
    struct soak_settings settings = default_settings;
    char *violations;
    char *log = g_strdup_printf("%s/pumicemount-test-soak-%d.log", g_get_tmp_dir(), (int)getpid());

    (void)arg;
    /* Whether a controller logs the exceeded quota depends on when its workers report. To test that
     * logged violations are found, the log begins with two such lines: one with the current name of
     * the event, and one with its name in earlier versions. */
    assert_true(g_file_set_contents(
        log, "error node-9 quota.exceeded planted\nerror node-8 quota.over planted\n", -1, NULL));
    settings.log_file = log;
    settings.daemon = PM_PLANTED_DAEMON;
    settings.seconds = 10;
    violations = run_soak(settings, "machine-fails");
    assert_non_null(strstr(violations, "quota: "));
    assert_non_null(strstr(violations, "logged: error node-9 quota.exceeded planted"));
    assert_non_null(strstr(violations, "logged: error node-8 quota.over planted"));
    g_unlink(log);
    g_free(log);
    g_free(violations);
}

static void end_of_a_controller_by_itself_is_found(void **arg)
{
    struct soak_settings settings = default_settings;
    char *violations;

    (void)arg;
    settings.daemon = PM_ENDING_DAEMON;
    settings.seconds = 8;
    violations = run_soak(settings, "cancellations");
    assert_non_null(strstr(violations, " ended by itself: signal SIGSEGV"));
    g_free(violations);
}

/* Runs the program and returns its exit code. Sets `is_one_line_error` to whether standard error is
 * one line that begins with "soak: ". */
static int run_program(const char *const *argv, bool *is_one_line_error)
{
    char *message = NULL;
    int status = 0;

    assert_true(g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_STDOUT_TO_DEV_NULL, NULL, NULL,
                             NULL, &message, &status, NULL));
    *is_one_line_error = g_str_has_prefix(message, "soak: ") &&
                         strchr(message, '\n') == message + strlen(message) - 1;
    g_free(message);
    return WEXITSTATUS(status);
}

static void bad_input_is_refused_in_one_line(void **arg)
{
    const char *const inputs[][5] = {
        {PM_SOAK, "--no-such-flag", NULL},    {PM_SOAK, "stray argument", NULL},
        {PM_SOAK, "--seed", "x", NULL},       {PM_SOAK, "--seed", "-1", NULL},
        {PM_SOAK, "--count", "0", NULL},      {PM_SOAK, "--controllers", "2", NULL},
        {PM_SOAK, "--machines", "0", NULL},   {PM_SOAK, "--seconds", "-3", NULL},
        {PM_SOAK, "--lease", "100", NULL},    {PM_SOAK, "--kinds", "flood", NULL},
        {PM_SOAK, "--only", "0,9999", NULL},  {PM_SOAK, "--daemon", "/nowhere", NULL},
        {PM_SOAK, "--operator", "/no", NULL}, {PM_SOAK, "--daemon", "/bin/false", NULL},
    };

    (void)arg;
    for (size_t i = 0; i < G_N_ELEMENTS(inputs); i++) {
        bool is_one_line_error;
        assert_int_equal(run_program(inputs[i], &is_one_line_error), EXIT_BAD_INPUT);
        assert_true(is_one_line_error);
    }
}

/* The same seed gives the same faults, and the selection of some faults does not change them.
 * Faults are numbered from 1. */
static void schedule_is_reproducible_and_selectable(void **arg)
{
    GRand *first = g_rand_new_with_seed(SEED);
    GRand *second = g_rand_new_with_seed(SEED);
    GArray *whole = fault_schedule_draw(first, 60, fault_schedule_parse_kinds(NULL));
    GArray *part = fault_schedule_draw(second, 60, fault_schedule_parse_kinds(NULL));

    (void)arg;
    assert_true(whole->len > 10);
    assert_int_equal(part->len, whole->len);
    assert_memory_equal(part->data, whole->data, whole->len * sizeof(struct fault));
    assert_true(fault_schedule_select(part, "2,5"));
    assert_int_equal(part->len, 2);
    assert_memory_equal(part->data, &g_array_index(whole, struct fault, 1), sizeof(struct fault));
    assert_memory_equal(&g_array_index(part, struct fault, 1),
                        &g_array_index(whole, struct fault, 4), sizeof(struct fault));
    g_array_free(whole, TRUE);
    g_array_free(part, TRUE);
    g_rand_free(first);
    g_rand_free(second);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(schedule_is_reproducible_and_selectable),
        cmocka_unit_test(bad_input_is_refused_in_one_line),
        cmocka_unit_test(quota_off_by_one_is_found),
        cmocka_unit_test(end_of_a_controller_by_itself_is_found),
        cmocka_unit_test(short_soak_is_clean),
        cmocka_unit_test(short_soak_with_varied_jobs_is_clean),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Disables leak detection: a cluster's memory is kept until the process ends, because calls in
 * flight outlive the cluster. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
