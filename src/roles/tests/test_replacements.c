/* Guards against a controller that rents or terminates machines after another one has acquired its
 * role, and against intents that are lost or carried out twice when the role's holder changes.
 *
 * Runs real controller processes. The holder is paused at each step between writing an intent and
 * deleting it, and another controller replaces it. Then the first one is resumed, or killed and
 * restarted. The calls that the machine provider executes are checked against what the state
 * service contains at that time.
 *
 * Environment variables for runs outside CI: PM_REPLACEMENTS sets the number of replacements and
 * PM_SEED the seed. PM_FIRST_DAEMON is a program to run as controller 0, for example with a wall
 * clock that jumps. PM_OLD_DAEMON is an earlier version of the daemon, for
 * earlier_version_runs_alongside, which is then the only test that runs. PM_TEST_FILTER selects
 * tests by name. PM_TEST_LOG shows the controllers' logs. */
#include "base/keys.h"
#include "testing/cluster.h"
#include "base/clock.h"
#include "provider_call_checker.h"
#include "roles/roles.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define DEADLINE_S 60.0      /* limit of each wait, ample even on a busy machine */
#define STEP_DEADLINE_S 12.0 /* a step that is not reached within this time is skipped */
#define SUCCESSOR_RUN_S 0.7  /* the new holder runs for this long before the old one resumes */
/* A machine that runs a task may be terminated if its heartbeats were unanswered for this long. */
#define LOST_AFTER_S 2.0
#define JOB_INTERVAL_S 0.5   /* time between two submissions */
#define PROVIDER_DELAY_S 7.0 /* longer than a controller waits for the provider's answer */
#define DOWNTIME_S 0.3       /* time during which no controller runs */

enum { CONTROLLERS = 3, REPLACEMENTS = 20, SEED = 1 };

static const char roles_enabled_settings[] = "leader_ttl_s: 1\nconfirm_s: 0.6\nidle_return_s: 1\n"
                                             "duties:\n  fence: true\n  ttl_s: 1.5\n";

/* The step at which the holder is paused. */
enum step {
    STEP_INTENT_IN_FLIGHT, /* the write of its intent is in flight, and executed late */
    STEP_INTENT_DURABLE,   /* the intent is durable; the answer is unread in the holder's socket */
    STEP_CALL_EXECUTED,    /* the provider has executed the call; the answer is unread */
    STEP_CALL_ANSWER_LOST, /* the provider has executed the call; its answer is lost */
    STEP_INTENT_DELETED,   /* the intent is deleted; the answer is unread in the holder's socket */
    STEP_COUNT
};

/* A cluster under test, and the current replacement of a holder. */
struct scenario {
    struct cluster *cluster;
    struct call_checker *checker;
    enum step step;
    enum pm_role role;      /* the role whose intent or call reaches the step */
    bool is_armed,          /* the holder is to be paused once it reaches the step */
        should_kill;        /* the paused holder is later killed and restarted, not resumed */
    int stopped_controller; /* index of the paused or killed controller, -1 if there is none */
    double stopped_at;      /* monotonic time of the pause, 0 once scale-out has a new holder */
    GArray *vacancies[2];   /* seconds without a holder of scale-out, by `should_kill` */
};

/* ---- pausing the holder ---- */

/* Pauses the leader, which holds both scale-out and scale-in, if `is_armed`. */
static void pause_leader_if_armed(struct scenario *scenario)
{
    int leader = cluster_leader(scenario->cluster);

    if (!scenario->is_armed || leader < 0)
        return;
    scenario->is_armed = false;
    scenario->stopped_controller = leader;
    scenario->stopped_at = pm_clock_monotonic();
    /* From here on the leader sends nothing more. */
    cluster_pause_controller(scenario->cluster, leader, true);
}

static bool is_intent_of_role(const struct scenario *scenario, const char *key)
{
    const char *name = key + strlen(PM_KEY_INTENT_PREFIX);

    return g_str_has_prefix(key, PM_KEY_INTENT_PREFIX) &&
           g_str_has_prefix(name, pm_role_name(scenario->role));
}

static void record_vacancy(struct scenario *scenario)
{
    double vacancy_s = pm_clock_monotonic() - scenario->stopped_at;

    if (scenario->stopped_at > 0)
        g_array_append_val(scenario->vacancies[scenario->should_kill], vacancy_s);
    scenario->stopped_at = 0;
}

static void on_state_change(void *arg, const char *key, const cbor_item_t *data, uint64_t revision)
{
    struct scenario *scenario = arg;

    call_checker_on_state_change(scenario->checker, key, data, revision, pm_clock_monotonic());
    if (data && !strcmp(key, PM_KEY_ROLE_PREFIX "rent"))
        record_vacancy(scenario);
    if (is_intent_of_role(scenario, key) && ((scenario->step == STEP_INTENT_DURABLE && data) ||
                                             (scenario->step == STEP_INTENT_DELETED && !data)))
        pause_leader_if_armed(scenario);
}

static void on_call(void *arg, const struct fake_provider_call *call)
{
    struct scenario *scenario = arg;
    bool rental = call->idempotency_key != NULL;

    call_checker_on_call(scenario->checker, call);
    if (rental != (scenario->role == PM_ROLE_SCALE_OUT) || !scenario->is_armed)
        return;
    if (scenario->step == STEP_CALL_ANSWER_LOST)
        fake_provider_lose_next_answer(cluster_provider(scenario->cluster), rental);
    if (scenario->step == STEP_CALL_EXECUTED || scenario->step == STEP_CALL_ANSWER_LOST)
        pause_leader_if_armed(scenario);
}

static struct scenario *current; /* the scenario that the predicates of cluster_run_until use */

static bool pause_holder_if_due(struct cluster *cluster)
{
    if (current->is_armed && current->step == STEP_INTENT_IN_FLIGHT &&
        fake_store_has_delayed_txn(cluster_store(cluster)))
        pause_leader_if_armed(current);
    return current->stopped_controller >= 0;
}

static bool running_controller_leads(struct cluster *cluster)
{
    int leader = cluster_leader(cluster);

    return leader >= 0 && leader != current->stopped_controller;
}

/* ---- one replacement ---- */

/* Resumes or restarts the stopped controller, then executes the transaction that the fake state
 * service has delayed, if there is one. */
static void bring_back_stopped_controller(struct scenario *scenario)
{
    if (scenario->should_kill) {
        cluster_kill_controller(scenario->cluster, scenario->stopped_controller);
        cluster_start_controller(scenario->cluster, scenario->stopped_controller);
    } else {
        cluster_pause_controller(scenario->cluster, scenario->stopped_controller, false);
    }
    if (fake_store_has_delayed_txn(cluster_store(scenario->cluster)))
        fake_store_execute_delayed_txn(cluster_store(scenario->cluster));
    scenario->stopped_controller = -1;
}

static int next_leader; /* the leader that replaced the paused one, for third_controller_leads */

static bool third_controller_leads(struct cluster *cluster)
{
    int leader = cluster_leader(cluster);

    return leader >= 0 && leader != current->stopped_controller && leader != next_leader;
}

/* Kills the next leader too, so that the paused one resumes after two changes of leader. */
static void replace_next_leader(struct scenario *scenario)
{
    next_leader = cluster_leader(scenario->cluster);
    cluster_kill_controller(scenario->cluster, next_leader);
    assert_true(cluster_run_until(scenario->cluster, third_controller_leads, DEADLINE_S));
    cluster_start_controller(scenario->cluster, next_leader);
}

/* Pauses the holder at the step, waits for its replacement, and resumes or restarts it. With
 * `replace_twice` its successor is replaced as well. Returns false if the step was not reached, so
 * that nothing was replaced. */
static bool replace_holder(struct scenario *scenario, enum step step, enum pm_role role,
                           bool should_kill, bool replace_twice)
{
    char key[64];

    scenario->step = step;
    scenario->role = role;
    scenario->should_kill = should_kill;
    scenario->is_armed = true;
    snprintf(key, sizeof key, PM_KEY_INTENT_PREFIX "%s", pm_role_name(role));
    if (step == STEP_INTENT_IN_FLIGHT)
        fake_store_delay_next_txn(cluster_store(scenario->cluster), key);
    /* Makes the holder write intents: it terminates the failed machine and rents another one. */
    fake_provider_fail_machine(cluster_provider(scenario->cluster));
    if (!cluster_run_until(scenario->cluster, pause_holder_if_due, STEP_DEADLINE_S)) {
        scenario->is_armed = false;
        fake_store_delay_next_txn(cluster_store(scenario->cluster), "");
        return false;
    }
    assert_true(cluster_run_until(scenario->cluster, running_controller_leads, DEADLINE_S));
    cluster_run(scenario->cluster, SUCCESSOR_RUN_S);
    if (replace_twice)
        replace_next_leader(scenario);
    bring_back_stopped_controller(scenario);
    return true;
}

static bool has_no_work(struct cluster *cluster)
{
    return cluster_is_idle(cluster) && !call_checker_open_intents(current->checker);
}

/* `old_daemon` is the program that controller 0 runs, or NULL for the same as the others. */
static void start_cluster_with(struct scenario *scenario, const char *operator_settings,
                               const char *old_daemon)
{
    *scenario =
        (struct scenario){.stopped_controller = -1, .checker = call_checker_new(LOST_AFTER_S)};
    for (int should_kill = 0; should_kill < 2; should_kill++)
        scenario->vacancies[should_kill] = g_array_new(FALSE, FALSE, sizeof(double));
    current = scenario;
    scenario->cluster = cluster_new(&(struct cluster_settings){.controller_count = CONTROLLERS,
                                                               .daemon = PM_DAEMON,
                                                               .operator_yaml = operator_settings,
                                                               .old_daemon = old_daemon,
                                                               .quiet = !g_getenv("PM_TEST_LOG")});
    cluster_observe(scenario->cluster, on_state_change, scenario);
    fake_provider_observe(cluster_provider(scenario->cluster), on_call, scenario);
}

static void start_cluster(struct scenario *scenario, const char *operator_settings)
{
    start_cluster_with(scenario, operator_settings, NULL);
}

static void free_scenario(struct scenario *scenario)
{
    cluster_free(scenario->cluster);
    call_checker_free(scenario->checker);
    for (int should_kill = 0; should_kill < 2; should_kill++)
        g_array_free(scenario->vacancies[should_kill], TRUE);
}

static void finish_and_check(struct scenario *scenario)
{
    cluster_set_load(scenario->cluster, 0);
    cluster_clear_link_faults(scenario->cluster);
    cluster_run_until(scenario->cluster, has_no_work, DEADLINE_S);
    history_report_open_jobs(cluster_history(scenario->cluster));
    assert_string_equal(call_checker_violations(scenario->checker), "");
    assert_string_equal(history_violations(cluster_history(scenario->cluster)), "");
    /* The current holders of the roles have completed all open intents. */
    assert_int_equal(call_checker_open_intents(scenario->checker), 0);
    free_scenario(scenario);
}

static bool has_rented_and_terminated(struct cluster *cluster)
{
    (void)cluster;
    return call_checker_terminated(current->checker) > 0 &&
           call_checker_rented(current->checker) > 0;
}

static bool has_acquisition(struct cluster *cluster)
{
    (void)cluster;
    return call_checker_acquisitions(current->checker) > 0;
}

static bool has_started_tasks(struct cluster *cluster)
{
    return history_start_count(cluster_history(cluster)) >= 4;
}

/* Starts the load only after the scale-out role was acquired, because machines that are rented
 * before then are rented without intents. */
static void start_cluster_with_roles(struct scenario *scenario)
{
    start_cluster_with(scenario, roles_enabled_settings, g_getenv("PM_FIRST_DAEMON"));
    assert_true(cluster_run_until(scenario->cluster, has_acquisition, DEADLINE_S));
    cluster_set_load(scenario->cluster, JOB_INTERVAL_S);
    assert_true(cluster_run_until(scenario->cluster, has_started_tasks, DEADLINE_S));
}

static long read_number(const char *variable, long default_value)
{
    const char *text = g_getenv(variable);

    return text ? strtol(text, NULL, 10) : default_value;
}

static gint compare_numbers(gconstpointer left, gconstpointer right)
{
    double first = *(const double *)left;
    double second = *(const double *)right;

    return first < second ? -1 : first > second;
}

static void print_vacancies(const struct scenario *scenario)
{
    static const char *const names[] = {"holder paused", "holder paused and killed"};

    for (int should_kill = 0; should_kill < 2; should_kill++) {
        GArray *vacancies = scenario->vacancies[should_kill];
        g_array_sort(vacancies, compare_numbers);
        if (vacancies->len)
            printf(
                "time without a scale-out holder (%s): median %.2f s, maximum %.2f s, %u times\n",
                names[should_kill], g_array_index(vacancies, double, vacancies->len / 2),
                g_array_index(vacancies, double, vacancies->len - 1), vacancies->len);
    }
}

/* Replaces the holder at each step in turn. The seed chooses the role whose intent or call is
 * waited for, whether the holder is killed, and whether its successor is replaced too. */
static void holders_are_replaced_at_every_step(void **arg)
{
    long wanted_count = read_number("PM_REPLACEMENTS", REPLACEMENTS);
    GRand *random = g_rand_new_with_seed((guint32)read_number("PM_SEED", SEED));
    struct scenario scenario;
    long done_count = 0;
    long missed_count = 0;

    (void)arg;
    start_cluster_with_roles(&scenario);
    for (long i = 0; done_count < wanted_count && missed_count < wanted_count; i++) {
        enum step step = (enum step)(i % STEP_COUNT);
        enum pm_role role = g_rand_boolean(random) ? PM_ROLE_SCALE_OUT : PM_ROLE_SCALE_IN;
        bool should_kill = g_rand_int_range(random, 0, 3) == 0;
        bool is_reached =
            replace_holder(&scenario, step, role, should_kill, g_rand_int_range(random, 0, 5) == 0);
        done_count += is_reached;
        missed_count += !is_reached;
        if (*call_checker_violations(scenario.checker))
            break;
    }
    printf("%ld replacements, %ld steps not reached; %u machines rented, %u terminated, role "
           "acquired %u times\n",
           done_count, missed_count, call_checker_rented(scenario.checker),
           call_checker_terminated(scenario.checker), call_checker_acquisitions(scenario.checker));
    print_vacancies(&scenario);
    assert_true(done_count >= wanted_count || *call_checker_violations(scenario.checker));
    assert_true(call_checker_acquisitions(scenario.checker) > (unsigned)done_count / 2);
    finish_and_check(&scenario);
    g_rand_free(random);
}

/* Guards against a checker to which no calls are reported. With roles disabled, no intents are
 * written, so that every call is a violation. */
static void checker_finds_violations_without_roles(void **arg)
{
    struct scenario scenario;

    (void)arg;
    start_cluster(&scenario, "idle_return_s: 1\n");
    cluster_set_load(scenario.cluster, JOB_INTERVAL_S);
    assert_true(cluster_run_until(scenario.cluster, has_started_tasks, DEADLINE_S));
    fake_provider_fail_machine(cluster_provider(scenario.cluster));
    assert_true(cluster_run_until(scenario.cluster, has_rented_and_terminated, DEADLINE_S));
    assert_non_null(strstr(call_checker_violations(scenario.checker), "which no intent contains"));
    assert_non_null(
        strstr(call_checker_violations(scenario.checker), "terminated without an open intent"));
    free_scenario(&scenario);
}

/* Guards against machines that are terminated without an open intent if the provider refuses calls,
 * or executes a call after the controller has stopped waiting for the answer. */
static void provider_refuses_and_executes_late(void **arg)
{
    struct scenario scenario;
    struct fake_provider *provider;
    unsigned terminated_before;

    (void)arg;
    start_cluster_with_roles(&scenario);
    provider = cluster_provider(scenario.cluster);
    fake_provider_refuse_requests(provider, 429, 3);
    fake_provider_fail_machine(provider);
    cluster_run(scenario.cluster, STEP_DEADLINE_S / 3);
    fake_provider_refuse_requests(provider, 503, 3);
    fake_provider_fail_machine(provider);
    cluster_run(scenario.cluster, STEP_DEADLINE_S / 3);
    terminated_before = call_checker_terminated(scenario.checker);
    fake_provider_delay_next_termination(provider, PROVIDER_DELAY_S);
    fake_provider_fail_machine(provider);
    /* The controller repeats the call, and later the provider executes the first one too. */
    cluster_run(scenario.cluster, 2 * PROVIDER_DELAY_S);
    assert_true(call_checker_terminated(scenario.checker) > terminated_before);
    finish_and_check(&scenario);
}

/* Guards against open intents that are lost when all controllers stop at once. Pauses the holder at
 * each step from STEP_INTENT_DURABLE to the last, then kills and restarts all controllers. */
static void all_controllers_are_killed_at_once(void **arg)
{
    struct scenario scenario;

    (void)arg;
    start_cluster_with_roles(&scenario);
    for (int step = STEP_INTENT_DURABLE; step < STEP_COUNT; step++) {
        scenario.step = (enum step)step;
        scenario.role = PM_ROLE_SCALE_IN;
        scenario.is_armed = true;
        fake_provider_fail_machine(cluster_provider(scenario.cluster));
        assert_true(cluster_run_until(scenario.cluster, pause_holder_if_due, DEADLINE_S));
        for (int i = 0; i < CONTROLLERS; i++)
            cluster_kill_controller(scenario.cluster, i);
        cluster_run(scenario.cluster, DOWNTIME_S);
        for (int i = 0; i < CONTROLLERS; i++)
            cluster_start_controller(scenario.cluster, i);
        scenario.stopped_controller = -1;
        assert_true(cluster_run_until(scenario.cluster, running_controller_leads, DEADLINE_S));
        cluster_run(scenario.cluster, SUCCESSOR_RUN_S);
    }
    finish_and_check(&scenario);
}

/* An operator drains a role, and its holder is killed at that moment. Then an operator drains the
 * role of a running holder, with two requests. */
static void holder_is_killed_while_drained(void **arg)
{
    static const char drain_key[] = PM_KEY_DRAIN_PREFIX "return";
    static const char holder_key[] = PM_KEY_ROLE_PREFIX "return";
    struct scenario scenario;
    struct fake_store *state;
    uint64_t token;

    (void)arg;
    start_cluster_with_roles(&scenario);
    state = cluster_store(scenario.cluster);
    token = fake_store_revision(state, holder_key);
    scenario.stopped_controller = cluster_leader(scenario.cluster);
    fake_store_put_number(state, drain_key, "token", token);
    cluster_kill_controller(scenario.cluster, scenario.stopped_controller);
    assert_true(cluster_run_until(scenario.cluster, running_controller_leads, DEADLINE_S));
    cluster_start_controller(scenario.cluster, scenario.stopped_controller);
    cluster_run(scenario.cluster, SUCCESSOR_RUN_S);
    assert_true(fake_store_revision(state, holder_key) > token);
    assert_int_equal(fake_store_revision(state, drain_key), 0); /* deleted by the next holder */
    token = fake_store_revision(state, holder_key);
    scenario.stopped_controller = cluster_leader(scenario.cluster);
    fake_store_put_number(state, drain_key, "token", token);
    fake_store_put_number(state, drain_key, "token", token);
    assert_true(cluster_run_until(scenario.cluster, running_controller_leads, DEADLINE_S));
    cluster_run(scenario.cluster, SUCCESSOR_RUN_S);
    assert_true(fake_store_revision(state, holder_key) > token);
    finish_and_check(&scenario);
}

static bool old_version_leads(struct cluster *cluster)
{
    return cluster_leader(cluster) == 0;
}

/* Controller 0 runs an earlier version (PM_OLD_DAEMON), the others the current one. No role is
 * acquired until controller 0 is upgraded as well, whichever controller leads. Runs outside CI,
 * which builds only one version. */
static void earlier_version_runs_alongside(void **arg)
{
    struct scenario scenario;

    (void)arg;
    start_cluster_with(&scenario, roles_enabled_settings, g_getenv("PM_OLD_DAEMON"));
    cluster_set_load(scenario.cluster, JOB_INTERVAL_S);
    assert_true(cluster_run_until(scenario.cluster, has_started_tasks, DEADLINE_S));
    for (int attempt = 0; attempt < CONTROLLERS && !old_version_leads(scenario.cluster);
         attempt++) {
        int leader = cluster_leader(scenario.cluster);
        cluster_kill_controller(scenario.cluster, leader);
        cluster_run_until(scenario.cluster, old_version_leads, STEP_DEADLINE_S);
        cluster_start_controller(scenario.cluster, leader);
    }
    assert_int_equal(cluster_leader(scenario.cluster), 0);
    cluster_run(scenario.cluster, STEP_DEADLINE_S / 2);
    assert_int_equal(call_checker_acquisitions(scenario.checker), 0);
    cluster_upgrade_controller(scenario.cluster);
    assert_true(cluster_run_until(scenario.cluster, has_acquisition, DEADLINE_S));
    /* Machines that were rented before the upgrade had no intents, and are no violation. */
    call_checker_clear_violations(scenario.checker);
    for (int step = 0; step < STEP_COUNT; step++)
        replace_holder(&scenario, (enum step)step, PM_ROLE_SCALE_IN, step % 2 == 0, false);
    finish_and_check(&scenario);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(holders_are_replaced_at_every_step),
        cmocka_unit_test(provider_refuses_and_executes_late),
        cmocka_unit_test(all_controllers_are_killed_at_once),
        cmocka_unit_test(holder_is_killed_while_drained),
        cmocka_unit_test(checker_finds_violations_without_roles),
    };
    const struct CMUnitTest upgrades[] = {cmocka_unit_test(earlier_version_runs_alongside)};

    if (g_getenv("PM_OLD_DAEMON"))
        return cmocka_run_group_tests(upgrades, NULL, NULL);
    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
