/* A short soak, which is to be clean; a program whose account of a team's use is off by one task,
 * which is to be found; and the soak's own input. */
#include "soak/soak.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

enum { SEED = 7, EXIT_INPUT = 2 };

static const struct soak_settings usual = {.seed = SEED,
                                           .seconds = 25,
                                           .controllers = 4,
                                           .machines = 10,
                                           .lease_s = 4,
                                           .daemon = PM_DAEMON};

static char *violations_of(struct soak_settings settings, const char *kinds)
{
    struct soak_result result;

    settings.kinds = schedule_read_kinds(kinds);
    assert_true(soak_run(&settings, &result));
    assert_true(result.starts > 20);
    return result.violations;
}

static void a_short_soak_is_clean(void **arg)
{
    char *violations = violations_of(usual, NULL);

    (void)arg;
    assert_string_equal(violations, "");
    g_free(violations);
}

static void an_account_off_by_one_is_found(void **arg)
{
    struct soak_settings settings = usual;
    char *violations;
    char *log = g_strdup_printf("%s/pumicemount-test-soak-%d.log", g_get_tmp_dir(), (int)getpid());

    (void)arg;
    /* Whether a controller sees it hangs on when its workers report: what it would log stands here.
     */
    assert_true(g_file_set_contents(
        log, "error node-9 quota.exceeded planted\nerror node-8 quota.over planted\n", -1, NULL));
    settings.log_file = log;
    settings.daemon = PM_PLANTED_DAEMON;
    settings.seconds = 10;
    violations = violations_of(settings, "machine-fails");
    assert_non_null(strstr(violations, "quota: "));
    assert_non_null(strstr(violations, "logged: error node-9 quota.exceeded planted"));
    assert_non_null(strstr(violations, "logged: error node-8 quota.over planted"));
    g_unlink(log);
    g_free(log);
    g_free(violations);
}

/* Runs the program; its exit code, and whether it says why in a line. */
static int run(const char *const *argv, bool *explained)
{
    char *said = NULL;
    int status = 0;

    assert_true(g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_STDOUT_TO_DEV_NULL, NULL, NULL,
                             NULL, &said, &status, NULL));
    *explained = g_str_has_prefix(said, "soak: ") && strchr(said, '\n') == said + strlen(said) - 1;
    g_free(said);
    return WEXITSTATUS(status);
}

static void bad_input_is_refused_in_a_line(void **arg)
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
        bool explained;
        assert_int_equal(run(inputs[i], &explained), EXIT_INPUT);
        assert_true(explained);
    }
}

/* The same seed gives the same troubles, and a part of them keeps its numbers' times. */
static void a_schedule_repeats_and_shortens(void **arg)
{
    GRand *first = g_rand_new_with_seed(SEED);
    GRand *second = g_rand_new_with_seed(SEED);
    GArray *whole = schedule_draw(first, 60, schedule_read_kinds(NULL));
    GArray *part = schedule_draw(second, 60, schedule_read_kinds(NULL));

    (void)arg;
    assert_true(whole->len > 10);
    assert_int_equal(part->len, whole->len);
    assert_memory_equal(part->data, whole->data, whole->len * sizeof(struct trouble));
    assert_true(schedule_keep(part, "2,5"));
    assert_int_equal(part->len, 2);
    assert_memory_equal(part->data, &g_array_index(whole, struct trouble, 1),
                        sizeof(struct trouble));
    assert_memory_equal(&g_array_index(part, struct trouble, 1),
                        &g_array_index(whole, struct trouble, 4), sizeof(struct trouble));
    g_array_free(whole, TRUE);
    g_array_free(part, TRUE);
    g_rand_free(first);
    g_rand_free(second);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_schedule_repeats_and_shortens),
        cmocka_unit_test(bad_input_is_refused_in_a_line),
        cmocka_unit_test(an_account_off_by_one_is_found),
        cmocka_unit_test(a_short_soak_is_clean),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Clusters last as long as the process. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
