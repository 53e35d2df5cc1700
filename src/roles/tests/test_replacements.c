/* Real controller processes whose holder of the duties is paused or killed at each step between
 * deciding, intending, sending, being answered and recording, replaced, and back.
 *
 * What the cloud carried out is checked against what the state service held. PM_REPLACEMENTS and
 * PM_SEED make longer runs, outside CI; PM_FIRST_DAEMON is run in place of controller 0, say with a
 * wall clock that jumps. */
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

#define SOON_S 60.0    /* within this what is to come about does, on a busy machine too */
#define REACHED_S 12.0 /* a step that is not reached within this is left out */
#define ACTS_S 0.7     /* for which the next holder acts before the one before is back */
#define SILENT_S 2.0
#define LOAD_S 0.5 /* between two jobs */
#define LATE_S 7.0 /* longer than the cloud's answer is awaited */
#define BACK_S 0.3

enum { CONTROLLERS = 3, REPLACEMENTS = 20, SEED = 1 };

static const char fenced[] = "leader_ttl_s: 1\nconfirm_s: 0.6\nidle_return_s: 1\n"
                             "duties:\n  fence: true\n  ttl_s: 1.5\n";

/* Where the holder is when it is stopped. */
enum step {
    STEP_INTENDING, /* its intent is on the way, and arrives late */
    STEP_INTENDED,  /* the intent is durable, the answer waits in the holder's socket */
    STEP_SENT,      /* the cloud has carried the request out, its answer waits */
    STEP_UNANSWERED,
    STEP_RECORDED, /* the intent was dropped, the answer waits */
    STEPS
};

struct replacing {
    struct cluster *cluster;
    struct call_checker *calls;
    enum step step;
    enum pm_role duty;
    bool armed, killed;
    int stopped;       /* the controller, -1: none */
    double stopped_at; /* steady, 0: another one has taken the duty since */
    GArray *gaps[2];   /* seconds without a holder: after pauses, after ends */
};

/* ---- stopping the holder ---- */

static void stop_holder(struct replacing *r)
{
    int leader = cluster_leader(r->cluster);

    if (!r->armed || leader < 0)
        return;
    r->armed = false;
    r->stopped = leader;
    r->stopped_at = pm_clock_monotonic();
    cluster_pause(r->cluster, leader, true); /* at once: nothing more of it gets out */
}

static bool is_of_duty(const struct replacing *r, const char *key)
{
    const char *name = key + strlen(PM_INTENT_KEY_PREFIX);

    return g_str_has_prefix(key, PM_INTENT_KEY_PREFIX) &&
           g_str_has_prefix(name, pm_role_name(r->duty));
}

static void note_holder(struct replacing *r)
{
    double gap = pm_clock_monotonic() - r->stopped_at;

    if (r->stopped_at > 0)
        g_array_append_val(r->gaps[r->killed], gap);
    r->stopped_at = 0;
}

static void on_state_change(void *arg, const char *key, const cbor_item_t *data, uint64_t revision)
{
    struct replacing *r = arg;

    call_checker_on_state_change(r->calls, key, data, revision, pm_clock_monotonic());
    if (data && !strcmp(key, PM_ROLE_KEY_PREFIX "rent"))
        note_holder(r);
    if (is_of_duty(r, key) &&
        ((r->step == STEP_INTENDED && data) || (r->step == STEP_RECORDED && !data)))
        stop_holder(r);
}

static void on_call(void *arg, const struct fleet_call *call)
{
    struct replacing *r = arg;
    bool rental = call->booking != NULL;

    call_checker_on_call(r->calls, call);
    if (rental != (r->duty == PM_ROLE_SCALE_OUT) || !r->armed)
        return;
    if (r->step == STEP_UNANSWERED)
        fleet_lose_answer(cluster_fleet(r->cluster), rental);
    if (r->step == STEP_SENT || r->step == STEP_UNANSWERED)
        stop_holder(r);
}

static struct replacing *current; /* for what cluster_until asks */

static bool is_stopped(struct cluster *c)
{
    if (current->armed && current->step == STEP_INTENDING && fake_state_has_late(cluster_state(c)))
        stop_holder(current);
    return current->stopped >= 0;
}

static bool another_holds(struct cluster *c)
{
    int leader = cluster_leader(c);

    return leader >= 0 && leader != current->stopped;
}

/* ---- one replacement ---- */

static void resume(struct replacing *r)
{
    if (r->killed) {
        cluster_kill(r->cluster, r->stopped);
        cluster_start(r->cluster, r->stopped);
    } else {
        cluster_pause(r->cluster, r->stopped, false);
    }
    if (fake_state_has_late(cluster_state(r->cluster)))
        fake_state_deliver(cluster_state(r->cluster));
    r->stopped = -1;
}

static int next_holder; /* for a_third_holds */

static bool a_third_holds(struct cluster *c)
{
    int leader = cluster_leader(c);

    return leader >= 0 && leader != current->stopped && leader != next_holder;
}

/* The next holder ends too, so that the first one wakes after two changes. */
static void replace_again(struct replacing *r)
{
    next_holder = cluster_leader(r->cluster);
    cluster_kill(r->cluster, next_holder);
    assert_true(cluster_until(r->cluster, a_third_holds, SOON_S));
    cluster_start(r->cluster, next_holder);
}

/* False: the step was not reached. */
static bool replace(struct replacing *r, enum step step, enum pm_role duty, bool killed, bool twice)
{
    char key[64];

    r->step = step;
    r->duty = duty;
    r->killed = killed;
    r->armed = true;
    snprintf(key, sizeof key, PM_INTENT_KEY_PREFIX "%s", pm_role_name(duty));
    if (step == STEP_INTENDING)
        fake_state_put_off(cluster_state(r->cluster), key);
    fleet_fail_machine(cluster_fleet(r->cluster)); /* it goes back, and another is rented */
    if (!cluster_until(r->cluster, is_stopped, REACHED_S)) {
        r->armed = false;
        fake_state_put_off(cluster_state(r->cluster), "");
        return false;
    }
    assert_true(cluster_until(r->cluster, another_holds, SOON_S));
    cluster_run(r->cluster, ACTS_S);
    if (twice)
        replace_again(r);
    resume(r);
    return true;
}

static bool all_settled(struct cluster *c)
{
    return cluster_is_idle(c) && !call_checker_open_intents(current->calls);
}

static void begin_with(struct replacing *r, const char *operator, const char * old_daemon)
{
    *r = (struct replacing){.stopped = -1, .calls = call_checker_new(SILENT_S)};
    for (int killed = 0; killed < 2; killed++)
        r->gaps[killed] = g_array_new(FALSE, FALSE, sizeof(double));
    current = r;
    r->cluster = cluster_new(&(struct cluster_settings){.controllers = CONTROLLERS,
                                                        .daemon = PM_DAEMON,
                                                        .operator= operator,
                                                        .old_daemon = old_daemon,
                                                        .quiet = !g_getenv("PM_TEST_LOG")});
    cluster_observe(r->cluster, on_state_change, r);
    fleet_observe(cluster_fleet(r->cluster), on_call, r);
}

static void begin(struct replacing *r, const char *operator)
{
    begin_with(r, operator, NULL);
}

static void end(struct replacing *r)
{
    cluster_free(r->cluster);
    call_checker_free(r->calls);
    for (int killed = 0; killed < 2; killed++)
        g_array_free(r->gaps[killed], TRUE);
}

static void finish(struct replacing *r)
{
    cluster_load(r->cluster, 0);
    cluster_heal(r->cluster);
    cluster_until(r->cluster, all_settled, SOON_S);
    history_close(cluster_history(r->cluster));
    assert_string_equal(call_checker_violations(r->calls), "");
    assert_string_equal(history_violations(cluster_history(r->cluster)), "");
    assert_int_equal(call_checker_open_intents(r->calls),
                     0); /* whoever holds the duties finishes what is open */
    end(r);
}

static bool has_returned(struct cluster *c)
{
    (void)c;
    return call_checker_terminated(current->calls) > 0 && call_checker_rented(current->calls) > 0;
}

static bool is_held(struct cluster *c)
{
    (void)c;
    return call_checker_acquisitions(current->calls) > 0;
}

static bool is_begun(struct cluster *c)
{
    return history_starts(cluster_history(c)) >= 4;
}

/* Nothing is rented before all controllers are known to know duties. */
static void begin_fenced(struct replacing *r)
{
    begin_with(r, fenced, g_getenv("PM_FIRST_DAEMON"));
    assert_true(cluster_until(r->cluster, is_held, SOON_S));
    cluster_load(r->cluster, LOAD_S);
    assert_true(cluster_until(r->cluster, is_begun, SOON_S));
}

static long number_from(const char *variable, long otherwise)
{
    const char *text = g_getenv(variable);

    return text ? strtol(text, NULL, 10) : otherwise;
}

static gint by_size(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

static void print_gaps(const struct replacing *r)
{
    static const char *const names[] = {"paused", "ended"};

    for (int killed = 0; killed < 2; killed++) {
        GArray *gaps = r->gaps[killed];
        g_array_sort(gaps, by_size);
        if (gaps->len)
            printf("without a holder, %s: median %.2f s, most %.2f s of %u\n", names[killed],
                   g_array_index(gaps, double, gaps->len / 2),
                   g_array_index(gaps, double, gaps->len - 1), gaps->len);
    }
}

/* Every step, of both duties, paused and killed in turn; the seed says in what order. */
static void holders_are_replaced_at_every_step(void **arg)
{
    long wanted = number_from("PM_REPLACEMENTS", REPLACEMENTS);
    GRand *random = g_rand_new_with_seed((guint32)number_from("PM_SEED", SEED));
    struct replacing r;
    long done = 0;
    long missed = 0;

    (void)arg;
    begin_fenced(&r);
    for (long i = 0; done < wanted && missed < wanted; i++) {
        enum step step = (enum step)(i % STEPS);
        enum pm_role duty = g_rand_boolean(random) ? PM_ROLE_SCALE_OUT : PM_ROLE_SCALE_IN;
        bool killed = g_rand_int_range(random, 0, 3) == 0;
        bool reached = replace(&r, step, duty, killed, g_rand_int_range(random, 0, 5) == 0);
        done += reached;
        missed += !reached;
        if (*call_checker_violations(r.calls))
            break;
    }
    printf("%ld replacements, %ld steps not reached; %u machines rented, %u returned, %u holders\n",
           done, missed, call_checker_rented(r.calls), call_checker_terminated(r.calls),
           call_checker_acquisitions(r.calls));
    print_gaps(&r);
    assert_true(done >= wanted || *call_checker_violations(r.calls));
    assert_true(call_checker_acquisitions(r.calls) > (unsigned)done / 2);
    finish(&r);
    g_rand_free(random);
}

/* The checker has something to find: without duties, nobody intends anything. */
static void without_duties_nothing_is_intended(void **arg)
{
    struct replacing r;

    (void)arg;
    begin(&r, "idle_return_s: 1\n");
    cluster_load(r.cluster, LOAD_S);
    assert_true(cluster_until(r.cluster, is_begun, SOON_S));
    fleet_fail_machine(cluster_fleet(r.cluster));
    assert_true(cluster_until(r.cluster, has_returned, SOON_S));
    assert_non_null(strstr(call_checker_violations(r.calls), "which nobody intended"));
    assert_non_null(strstr(call_checker_violations(r.calls), "no open intent says so"));
    end(&r);
}

/* Requests that are refused, not answered, or carried out after they were given up. */
static void the_cloud_refuses_and_is_late(void **arg)
{
    struct replacing r;
    struct fleet *fleet;
    unsigned returned;

    (void)arg;
    begin_fenced(&r);
    fleet = cluster_fleet(r.cluster);
    fleet_refuse(fleet, 429, 3);
    fleet_fail_machine(fleet);
    cluster_run(r.cluster, REACHED_S / 3);
    fleet_refuse(fleet, 503, 3);
    fleet_fail_machine(fleet);
    cluster_run(r.cluster, REACHED_S / 3);
    returned = call_checker_terminated(r.calls);
    fleet_delay_return(fleet, LATE_S);
    fleet_fail_machine(fleet);
    cluster_run(r.cluster, 2 * LATE_S); /* sent again, and then the first one comes */
    assert_true(call_checker_terminated(r.calls) > returned);
    finish(&r);
}

/* All controllers end while a request is under way, and are back within a fraction of a second. */
static void all_end_at_once(void **arg)
{
    struct replacing r;

    (void)arg;
    begin_fenced(&r);
    for (int step = STEP_INTENDED; step < STEPS; step++) {
        r.step = (enum step)step;
        r.duty = PM_ROLE_SCALE_IN;
        r.armed = true;
        fleet_fail_machine(cluster_fleet(r.cluster));
        assert_true(cluster_until(r.cluster, is_stopped, SOON_S));
        for (int i = 0; i < CONTROLLERS; i++)
            cluster_kill(r.cluster, i);
        cluster_run(r.cluster, BACK_S);
        for (int i = 0; i < CONTROLLERS; i++)
            cluster_start(r.cluster, i);
        r.stopped = -1;
        assert_true(cluster_until(r.cluster, another_holds, SOON_S));
        cluster_run(r.cluster, ACTS_S);
    }
    finish(&r);
}

/* An operator asks the holder to give up a duty, and it ends at that moment; then one that is well
 * is asked, twice. */
static void a_holder_is_drained_and_ends(void **arg)
{
    static const char drain[] = PM_ROLE_DRAIN_KEY_PREFIX "return";
    static const char duty[] = PM_ROLE_KEY_PREFIX "return";
    struct replacing r;
    struct fake_state *state;
    uint64_t token;

    (void)arg;
    begin_fenced(&r);
    state = cluster_state(r.cluster);
    token = fake_state_revision(state, duty);
    r.stopped = cluster_leader(r.cluster);
    fake_state_put_number(state, drain, "token", token);
    cluster_kill(r.cluster, r.stopped);
    assert_true(cluster_until(r.cluster, another_holds, SOON_S));
    cluster_start(r.cluster, r.stopped);
    cluster_run(r.cluster, ACTS_S);
    assert_true(fake_state_revision(state, duty) > token);
    assert_int_equal(fake_state_revision(state, drain), 0); /* the next holder took it away */
    token = fake_state_revision(state, duty);
    r.stopped = cluster_leader(r.cluster);
    fake_state_put_number(state, drain, "token", token);
    fake_state_put_number(state, drain, "token", token);
    assert_true(cluster_until(r.cluster, another_holds, SOON_S));
    cluster_run(r.cluster, ACTS_S);
    assert_true(fake_state_revision(state, duty) > token);
    finish(&r);
}

static bool old_one_leads(struct cluster *c)
{
    return cluster_leader(c) == 0;
}

/* A controller of an earlier version beside new ones, PM_OLD_DAEMON: outside CI, which builds only
 * one version. Nothing of duties is written until it is replaced as well, whoever leads. */
static void an_earlier_version_runs_beside(void **arg)
{
    struct replacing r;

    (void)arg;
    begin_with(&r, fenced, g_getenv("PM_OLD_DAEMON"));
    cluster_load(r.cluster, LOAD_S);
    assert_true(cluster_until(r.cluster, is_begun, SOON_S));
    for (int turn = 0; turn < CONTROLLERS && !old_one_leads(r.cluster); turn++) {
        int leader = cluster_leader(r.cluster);
        cluster_kill(r.cluster, leader);
        cluster_until(r.cluster, old_one_leads, REACHED_S);
        cluster_start(r.cluster, leader);
    }
    assert_int_equal(cluster_leader(r.cluster), 0);
    cluster_run(r.cluster, REACHED_S / 2);
    assert_int_equal(call_checker_acquisitions(r.calls), 0);
    cluster_upgrade(r.cluster);
    assert_true(cluster_until(r.cluster, is_held, SOON_S));
    call_checker_clear_violations(r.calls); /* what was rented without intents is no violation */
    for (int step = 0; step < STEPS; step++)
        replace(&r, (enum step)step, PM_ROLE_SCALE_IN, step % 2 == 0, false);
    finish(&r);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(holders_are_replaced_at_every_step),
        cmocka_unit_test(the_cloud_refuses_and_is_late),
        cmocka_unit_test(all_end_at_once),
        cmocka_unit_test(a_holder_is_drained_and_ends),
        cmocka_unit_test(without_duties_nothing_is_intended),
    };
    const struct CMUnitTest upgrades[] = {cmocka_unit_test(an_earlier_version_runs_beside)};

    if (g_getenv("PM_OLD_DAEMON"))
        return cmocka_run_group_tests(upgrades, NULL, NULL);
    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
