/* The cost of traversing the dependency graph grows with the number of its edges, not with the
 * number of paths, and no traversal is recursive. */
#include "dependency_fixture.h"

/* Applies a live job, accepted at revision `at`, with an estimated run time of `seconds`. */
static void put_live_with_run_time(uint64_t at, const char *id, const char *dependencies,
                                   double seconds)
{
    struct pm_spec spec = two_tasks(PM_PRIORITY_NORMAL, -1);

    spec.estimated_run_s = seconds;
    put_spec_at(at, id, dependencies, spec, PM_JOB_LIVE);
}

enum {
    LADDER_LEVELS = 200,  /* the number of levels of the ladder */
    WIDE_GRAPH_JOBS = 300 /* the number of jobs on each side of the wide graph */
};

/* Returns the estimated run time, in seconds, of the longer of a level's two sides. The difference
 * between the two sides doubles from each level to the next, for 20 levels. A traversal that
 * followed every path would therefore find an earlier deadline on most paths, of which there are
 * more than 2^20. */
static double longer_side_run_s(int level)
{
    return 1 + (1 << level % 20);
}

/* Applies a ladder of diamonds: each level's join depends on the level's two sides, and each side
 * depends on the join of the level below. With `is_last_first`, the highest level arrives first. */
static void put_ladder(bool is_last_first)
{
    for (int i = 0; i < LADDER_LEVELS; i++) {
        int level = is_last_first ? LADDER_LEVELS - 1 - i : i;
        char join[16];
        char left[16];
        char right[16];
        char below[16];
        char sides[40];
        uint64_t at = 1 + 3 * (uint64_t)level;
        snprintf(join, sizeof join, "job-%d", 1000 + 10 * level);
        snprintf(left, sizeof left, "job-%d", 1000 + 10 * level - 2);
        snprintf(right, sizeof right, "job-%d", 1000 + 10 * level - 1);
        snprintf(below, sizeof below, "job-%d", 1000 + 10 * (level - 1));
        snprintf(sides, sizeof sides, "%s %s", left, right);
        if (!level) {
            put_live_with_run_time(at, join, "", 1);
            continue;
        }
        if (is_last_first)
            put_live_with_run_time(at + 2, join, sides, 1);
        put_live_with_run_time(at, left, below, level % 2 ? longer_side_run_s(level) : 1);
        put_live_with_run_time(at + 1, right, below, level % 2 ? 1 : longer_side_run_s(level));
        if (!is_last_first)
            put_live_with_run_time(at + 2, join, sides, 1);
    }
}

/* The deadline of the last job is passed down the ladder, along the longer side of each level. The
 * cost grows with the number of edges, not with the number of paths, from whichever end the jobs
 * arrive. */
static void assert_ladder(bool is_last_first)
{
    const uint64_t edges = 4 * LADDER_LEVELS;
    double deadline = 1000 + 1e9 - TASK_SECONDS; /* of the highest level's join */
    char top[16];
    uint64_t before;

    snprintf(top, sizeof top, "job-%d", 1000 + 10 * (LADDER_LEVELS - 1));
    if (is_last_first)
        put_job_at(10000, "job-9", top, PM_PRIORITY_URGENT, 1e9, PM_JOB_LIVE);
    put_ladder(is_last_first);
    before = pm_jobs_dependency_edges_visited(jobs);
    if (!is_last_first)
        put_job_at(10000, "job-9", top, PM_PRIORITY_URGENT, 1e9, PM_JOB_LIVE);
    assert_int_equal(pm_jobs_find(jobs, "job-1000")->priority, PM_PRIORITY_URGENT);
    for (int level = 1; level < LADDER_LEVELS; level++)
        deadline -= 1 + longer_side_run_s(level);
    assert_true(pm_jobs_find(jobs, "job-1000")->deadline_wall == deadline);
    if (!is_last_first)
        assert_true(pm_jobs_dependency_edges_visited(jobs) - before <= 2 * edges);
    assert_true(pm_jobs_dependency_edges_visited(jobs) <= 8 * edges);
    /* The later deadline of another last job changes nothing, and is not passed down. */
    before = pm_jobs_dependency_edges_visited(jobs);
    put_job_at(10001, "job-8", top, PM_PRIORITY_NORMAL, 2e9, PM_JOB_LIVE);
    assert_true(pm_jobs_dependency_edges_visited(jobs) - before <= 4);
    /* The cost of cancelling the whole ladder is also bounded by the number of edges. */
    before = pm_jobs_dependency_edges_visited(jobs);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-1000", 20000));
    assert_int_equal(pm_jobs_find(jobs, "job-9")->state, PM_JOB_CANCELLED);
    assert_true(pm_jobs_dependency_edges_visited(jobs) - before <= 4 * edges);
}

static void cost_of_a_ladder_grows_with_its_edges(void **state)
{
    (void)state;
    assert_ladder(false);
}

/* After a restart, a listing has the jobs in the order of their keys: the last may arrive first. */
static void cost_of_a_ladder_grows_with_its_edges_last_first(void **state)
{
    (void)state;
    assert_ladder(true);
}

/* Each of several hundred jobs depends on each of several hundred others. The cost of all ends
 * together is bounded by the number of edges, whichever side arrives first. */
static void assert_wide_graph(bool is_last_first)
{
    const uint64_t edges = (uint64_t)WIDE_GRAPH_JOBS * WIDE_GRAPH_JOBS;
    GString *all = g_string_new("");
    char id[16];

    for (int i = 0; i < WIDE_GRAPH_JOBS; i++)
        g_string_append_printf(all, "%sjob-%d", i ? " " : "", 1000 + i);
    for (int i = 0; i < 2 * WIDE_GRAPH_JOBS; i++) {
        bool is_first = is_last_first ? i >= WIDE_GRAPH_JOBS : i < WIDE_GRAPH_JOBS;
        snprintf(id, sizeof id, "job-%d", (is_first ? 1000 : 5000) + i % WIDE_GRAPH_JOBS);
        put_job_at((is_first ? 1 : 1000) + (uint64_t)i, id, is_first ? "" : all->str,
                   is_first ? PM_PRIORITY_NORMAL : PM_PRIORITY_URGENT, is_first ? -1 : 1e6 - i,
                   PM_JOB_LIVE);
    }
    assert_int_equal(pm_jobs_find(jobs, "job-1000")->priority, PM_PRIORITY_URGENT);
    for (int i = 0; i < WIDE_GRAPH_JOBS; i++) {
        assert_int_equal(pm_job_waiting_tasks(pm_jobs_find(jobs, "job-5007")), 0);
        snprintf(id, sizeof id, "job-%d", 1000 + i);
        put_job_at(5000 + (uint64_t)i, id, "", PM_PRIORITY_NORMAL, -1, PM_JOB_DONE);
    }
    assert_int_equal(pm_job_waiting_tasks(pm_jobs_find(jobs, "job-5007")), 2);
    assert_true(pm_jobs_dependency_edges_visited(jobs) <= 6 * edges);
    g_string_free(all, TRUE);
}

static void hundreds_depend_on_hundreds(void **state)
{
    (void)state;
    assert_wide_graph(false);
}

static void hundreds_depend_on_hundreds_last_first(void **state)
{
    (void)state;
    assert_wide_graph(true);
}

/* A chain of thousands of jobs, and hundreds of jobs that depend on its last one: no traversal is
 * recursive. */
static void a_long_chain_and_many_dependents(void **state)
{
    char id[32];
    char before[32];

    (void)state;
    put_live("job-0", "");
    for (int i = 1; i < 5000; i++) {
        snprintf(id, sizeof id, "job-%d", i);
        snprintf(before, sizeof before, "job-%d", i - 1);
        put_live(id, before);
    }
    for (int i = 5000; i < 5500; i++) {
        snprintf(id, sizeof id, "job-%d", i);
        put_live(id, "job-4999");
    }
    put_job_at(++revision, "job-6000", "job-5400", PM_PRIORITY_URGENT, 1e6, PM_JOB_LIVE);
    assert_int_equal(pm_jobs_find(jobs, "job-0")->priority, PM_PRIORITY_URGENT);
    assert_int_equal(pm_jobs_find(jobs, "job-5001")->priority, PM_PRIORITY_NORMAL);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-0", 9999));
    for (int i = 0; i < 5500; i += 11) {
        snprintf(id, sizeof id, "job-%d", i);
        assert_int_equal(pm_jobs_find(jobs, id)->state, PM_JOB_CANCELLED);
    }
    assert_int_equal(pm_jobs_find(jobs, "job-6000")->state, PM_JOB_CANCELLED);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(cost_of_a_ladder_grows_with_its_edges, set_up, tear_down),
        cmocka_unit_test_setup_teardown(cost_of_a_ladder_grows_with_its_edges_last_first, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(hundreds_depend_on_hundreds, set_up, tear_down),
        cmocka_unit_test_setup_teardown(hundreds_depend_on_hundreds_last_first, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_long_chain_and_many_dependents, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
