#include "soak/soak.h"
#include "../roles/tests/provider_call_checker.h"
#include "base/clock.h"
#include "soak/workload.h"

#include <glib/gstdio.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BEGIN_S 30.0  /* a cluster that starts no task by then does not start */
#define SETTLE_S 90.0 /* once troubles are over, every job is over within this */
#define STEP_S 0.05
#define OPEN_MOST 40 /* jobs that users wait for at a time */
#define LATE_SHARE 0.3

enum { MACHINES_AT_ONCE = 4, CANCELS_MOST = 6, MACHINE_CPUS = 8, MACHINES_USUAL = 10 };

/* Short leases, so that much happens in a minute. */
#define OWN_OPERATOR "leader_ttl_s: 1.5\nconfirm_s: 0.8\nidle_return_s: 3\n"
static const char duties_operator[] =
    OWN_OPERATOR "links:\n  observe: true\n  decide: true\n  probe_s: 0.5\n"
                 "  down_s: 1\n  expire_s: 4\nduties:\n  fence: true\n  ttl_s: 2\n";

/* A machine that nobody answered for this long may be returned with what runs there. */
#define SILENT_S 2.0
#define DEAF_FOR_S 5.0 /* so long after commands were held up, machines may be taken for deaf */

/* With the short one much happens in a minute; within the long one commands may be held up for
 * longer than they are waited for. */
static const double leases[] = {4, 15};

struct soak {
    const struct soak_settings *settings;
    struct cluster *cluster;
    GRand *random; /* of the workload, and of what the stand-ins delay */
    GArray *schedule;
    char *log_file;             /* the caller's, or one that goes with the run */
    GArray *active;             /* of struct active */
    struct call_checker *calls; /* NULL: rents and returns are not checked */
    size_t calls_said;
    double began, lease_s, stall_s;
    double delayed_until; /* seconds of the run: until then commands are, or were, held up */
    size_t said;          /* length of the violations that were told already */
    GString *violations;
    FILE *log;
};

/* A trouble that goes on. */
struct active {
    struct trouble trouble;
    int controller; /* -1: it concerns none */
    double until;   /* seconds of the run */
};

static double elapsed(const struct soak *s)
{
    return pm_clock_monotonic() - s->began;
}

/* A line in the controllers' log, between theirs. */
static void mark(struct soak *s, const char *what, const struct active *a)
{
    if (!s->log)
        return;
    fprintf(s->log, "soak %.2f %s %s of %d\n", elapsed(s), what, trouble_name(a->trouble.kind),
            a->controller);
    fflush(s->log);
}

static int find_target(const struct soak *s, const struct trouble *trouble)
{
    int controllers = s->settings->controllers;
    int target = -1;

    if (trouble->target == TARGET_LEADER)
        target = cluster_leader(s->cluster);
    else if (trouble->target == TARGET_HOLDER)
        target = cluster_shard_owner(s->cluster);
    return target >= 0 ? target : (int)(trouble->choice % (unsigned)controllers);
}

/* Lost both ways, one way or the other, or refused. */
static struct relay_fault cut_of(const struct trouble *trouble, bool on)
{
    static const struct relay_fault cuts[] = {
        {true, true, false}, {true, false, false}, {false, true, false}, {false, false, true}};

    return on ? cuts[trouble->choice / 16 % G_N_ELEMENTS(cuts)] : (struct relay_fault){0};
}

static void cut_all(struct soak *s, const struct active *a, enum cluster_link link, int ends,
                    bool on)
{
    for (int to = 0; to < ends; to++)
        if (link != CLUSTER_LINK_PEER || to != a->controller)
            cluster_set_link_fault(s->cluster, a->controller, link, to, cut_of(&a->trouble, on));
}

static void cancel_some(struct soak *s, const struct trouble *trouble)
{
    unsigned count = 1 + trouble->choice % CANCELS_MOST;

    for (unsigned i = 0; i < count; i++)
        cluster_cancel_any(s->cluster, g_rand_int(s->random));
}

static void machines(struct soak *s, const struct trouble *trouble, bool on)
{
    struct fake_provider *fleet = cluster_provider(s->cluster);

    for (unsigned i = 0; i < 1 + trouble->choice / 64 % MACHINES_AT_ONCE; i++) {
        if (trouble->kind == TROUBLE_MACHINE_CUT)
            fake_provider_cut_machine(fleet, trouble->choice + i, on);
        else
            fake_provider_hang_machine(fleet, trouble->choice + i, on);
    }
}

static void delay_write(struct soak *s, const struct trouble *trouble, bool on)
{
    static const char *const keys[] = {"p/t/", "p/b/", "p/j/", "p/epoch"};
    struct fake_store *state = cluster_store(s->cluster);

    if (on)
        fake_store_delay_next_txn(state, keys[trouble->choice % G_N_ELEMENTS(keys)]);
    else if (fake_store_has_delayed_txn(state))
        fake_store_execute_delayed_txn(state);
}

static void switch_controller(struct soak *s, const struct active *a, bool on)
{
    if (a->trouble.kind == TROUBLE_PAUSE)
        cluster_pause(s->cluster, a->controller, on);
    else if (a->trouble.kind == TROUBLE_REFUSED_ALONE)
        cluster_set_refused(s->cluster, a->controller, on);
    else if (on)
        cluster_kill(s->cluster, a->controller);
    else
        cluster_start(s->cluster, a->controller);
}

/* The trouble begins, or ends. */
static void switch_trouble(struct soak *s, const struct active *a, bool on)
{
    struct fake_store *state = cluster_store(s->cluster);

    mark(s, on ? "begin" : "end", a);
    switch (a->trouble.kind) {
    case TROUBLE_KILL:
    case TROUBLE_PAUSE:
    case TROUBLE_REFUSED_ALONE:
        switch_controller(s, a, on);
        break;
    case TROUBLE_CUT_STATE:
        cut_all(s, a, CLUSTER_LINK_STORE, 1, on);
        break;
    case TROUBLE_CUT_PEERS:
        cut_all(s, a, CLUSTER_LINK_PEER, s->settings->controllers, on);
        break;
    case TROUBLE_CUT_WORKERS:
        cut_all(s, a, CLUSTER_LINK_ZONE, CLUSTER_ZONES, on);
        break;
    case TROUBLE_CUT_CLOUD:
        cut_all(s, a, CLUSTER_LINK_PROVIDER, 1, on);
        break;
    case TROUBLE_OUTAGE:
        fake_store_set_outage(state, on);
        break;
    case TROUBLE_STATE_HANGS:
        fake_store_set_hanging(state, on);
        break;
    case TROUBLE_LATE_WRITE:
        delay_write(s, &a->trouble, on);
        break;
    case TROUBLE_LOST_ANSWER:
        if (on)
            fake_store_lose_next_answer(state);
        break;
    case TROUBLE_WATCH_TOO_OLD:
        if (on)
            fake_store_reject_next_watch(state);
        break;
    case TROUBLE_LATE_MESSAGES:
        s->delayed_until = MAX(s->delayed_until, a->until);
        fake_provider_delay_messages(cluster_provider(s->cluster), on ? LATE_SHARE : 0,
                                     on ? LATE_SHARE : 0);
        break;
    case TROUBLE_MACHINE_HANGS:
        /* What was sent to it meanwhile is carried out and never answered. */
        s->delayed_until = MAX(s->delayed_until, on ? a->until : elapsed(s));
        machines(s, &a->trouble, on);
        break;
    case TROUBLE_MACHINE_CUT:
        machines(s, &a->trouble, on);
        break;
    case TROUBLE_MACHINE_FAILS:
        if (on)
            fake_provider_fail_machine(cluster_provider(s->cluster));
        break;
    case TROUBLE_CANCELLATIONS:
        if (on)
            cancel_some(s, &a->trouble);
        break;
    case TROUBLE_KINDS:
        break;
    }
}

/* Whether the same trouble goes on already at that controller: ending one must not end both. */
static bool is_active(const struct soak *s, const struct active *wanted)
{
    for (guint i = 0; i < s->active->len; i++) {
        const struct active *a = &g_array_index(s->active, struct active, i);
        bool process = a->trouble.kind <= TROUBLE_PAUSE && wanted->trouble.kind <= TROUBLE_PAUSE;
        if ((a->trouble.kind == wanted->trouble.kind || process) &&
            a->controller == wanted->controller)
            return true;
    }
    return false;
}

static bool concerns_controller(enum trouble_kind kind)
{
    return kind <= TROUBLE_REFUSED_ALONE;
}

static void begin_trouble(struct soak *s, const struct trouble *trouble)
{
    struct active a = {*trouble, -1, elapsed(s) + trouble->for_s};

    if (concerns_controller(trouble->kind))
        a.controller = find_target(s, trouble);
    if (is_active(s, &a))
        return;
    switch_trouble(s, &a, true);
    g_array_append_val(s->active, a);
}

static void end_troubles(struct soak *s, double now)
{
    for (guint i = 0; i < s->active->len;) {
        struct active a = g_array_index(s->active, struct active, i);
        if (a.until > now) {
            i++;
            continue;
        }
        g_array_remove_index(s->active, i);
        switch_trouble(s, &a, false);
    }
}

/* Violations come with the second at which they were seen; `said` is how much was told before. */
static void note_new(struct soak *s, const char *all, size_t *said)
{
    char **lines;

    if (strlen(all) == *said)
        return;
    lines = g_strsplit(all + *said, "\n", -1);
    *said = strlen(all);
    for (char **line = lines; *line; line++) {
        if (!**line)
            continue;
        g_string_append_printf(s->violations, "%.2f s: %s\n", elapsed(s), *line);
        if (s->log) {
            fprintf(s->log, "soak %.2f violation %s\n", elapsed(s), *line);
            fflush(s->log);
        }
    }
    g_strfreev(lines);
}

static void note_violations(struct soak *s)
{
    note_new(s, history_violations(cluster_history(s->cluster)), &s->said);
    if (s->calls)
        note_new(s, call_checker_violations(s->calls), &s->calls_said);
}

static void on_state_change(void *arg, const char *key, const cbor_item_t *data, uint64_t revision)
{
    call_checker_on_state_change(((struct soak *)arg)->calls, key, data, revision,
                                 pm_clock_monotonic());
}

/* A machine whose commands got no answer lately was right to be taken for deaf, and is returned
 * with what it runs, though its reports were answered. */
static void on_call(void *arg, const struct fake_provider_call *call)
{
    const struct soak *s = arg;
    struct fake_provider_call seen = *call;

    if (elapsed(s) < s->delayed_until + DEAF_FOR_S)
        seen.unanswered_s = INFINITY;
    call_checker_on_call(s->calls, &seen);
}

static const char *operators_of(const struct soak_settings *settings)
{
    if (settings->operator)
        return settings->operator;
    return settings->duties ? duties_operator : OWN_OPERATOR;
}

static void check_calls(struct soak *s)
{
    s->calls = call_checker_new(SILENT_S);
    cluster_observe(s->cluster, on_state_change, s);
    fake_provider_observe(cluster_provider(s->cluster), on_call, s);
}

static void step(struct soak *s)
{
    double began = elapsed(s);

    cluster_run(s->cluster, STEP_S);
    s->stall_s = MAX(s->stall_s, elapsed(s) - began - STEP_S);
    note_violations(s);
    end_troubles(s, elapsed(s));
}

/* Work grows with the machines. */
static unsigned scale_of(const struct soak_settings *settings)
{
    return (unsigned)MAX(1, settings->machines / MACHINES_USUAL);
}

/* Controller 0 is given the new version, unless a trouble has its process now. */
static bool upgrade(struct soak *s)
{
    const struct active process = {{.kind = TROUBLE_KILL}, 0, 0};

    if (elapsed(s) < s->settings->seconds / 2 || is_active(s, &process))
        return false;
    cluster_upgrade(s->cluster);
    return true;
}

static void play(struct soak *s)
{
    guint next = 0;
    double submit_at = 0;
    bool upgraded = !s->settings->old_daemon;

    while (elapsed(s) < s->settings->seconds) {
        while (next < s->schedule->len &&
               g_array_index(s->schedule, struct trouble, next).at_s <= elapsed(s))
            begin_trouble(s, &g_array_index(s->schedule, struct trouble, next++));
        if (elapsed(s) >= submit_at && cluster_open_job_count(s->cluster) < OPEN_MOST) {
            workload_submit(s->cluster, s->random, scale_of(s->settings));
            submit_at = elapsed(s) + g_rand_double(s->random) * 0.8;
        }
        upgraded = upgraded || upgrade(s);
        step(s);
    }
}

/* The controllers hold the limits against what workers report, and check each start at its write:
 * what they say of that is a violation too. */
static void note_logged_violations(struct soak *s)
{
    /* The last two are the names that a daemon before an upgrade gives these events. */
    static const char *const events[] = {" quota.exceeded ", " quota.start_rejected ",
                                         " quota.over ", " quota.refused "};
    char *text = NULL;
    char **lines;

    if (!g_file_get_contents(s->log_file, &text, NULL, NULL))
        return;
    lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line; line++)
        for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
            if (strstr(*line, events[i]))
                g_string_append_printf(s->violations, "logged: %s\n", *line);
    g_strfreev(lines);
    g_free(text);
}

/* Troubles are over, services are cancelled: every job is over in time. */
static void settle(struct soak *s)
{
    double until;

    end_troubles(s, INFINITY);
    cluster_clear_link_faults(s->cluster);
    fake_provider_restore_machines(cluster_provider(s->cluster));
    until = elapsed(s) + SETTLE_S;
    while (elapsed(s) < until && !cluster_is_idle(s->cluster)) {
        cluster_cancel_services(s->cluster);
        step(s);
    }
    history_close(cluster_history(s->cluster));
    note_violations(s);
}

static struct soak *current; /* for what cluster_run_until asks */

/* With duties: once all controllers speak of them, and one was taken. */
static bool has_begun(struct cluster *c)
{
    return history_start_count(cluster_history(c)) > 0 &&
           (!current->calls || call_checker_acquisitions(current->calls) > 0);
}

static void print_schedule(const GArray *schedule)
{
    for (guint i = 0; i < schedule->len; i++) {
        const struct trouble *t = &g_array_index(schedule, struct trouble, i);
        printf("  %3u at %6.2f s for %5.2f s: %s, %s, %u\n", i + 1, t->at_s, t->for_s,
               trouble_name(t->kind), target_name(t->target), t->choice);
    }
}

static bool prepare(struct soak *s)
{
    const struct soak_settings *settings = s->settings;
    GRand *draws = g_rand_new_with_seed(settings->seed);

    s->schedule = schedule_draw(draws, settings->seconds, settings->kinds);
    s->random = g_rand_new_with_seed(g_rand_int(draws));
    s->lease_s = settings->lease_s > 0 ? settings->lease_s : leases[g_rand_int_range(draws, 0, 2)];
    g_rand_free(draws);
    if (settings->print)
        print_schedule(s->schedule);
    if (settings->only && !schedule_keep(s->schedule, settings->only))
        return false;
    s->active = g_array_new(FALSE, FALSE, sizeof(struct active));
    s->violations = g_string_new("");
    s->log_file = settings->log_file
                      ? g_strdup(settings->log_file)
                      : g_strdup_printf("%s/pumicemount-soak-%d-%u.log", g_get_tmp_dir(),
                                        (int)getpid(), settings->seed);
    s->log = fopen(s->log_file, "a");
    return true;
}

bool soak_run(const struct soak_settings *settings, struct soak_result *result)
{
    struct soak s = {.settings = settings};
    bool begun;

    if (!prepare(&s))
        return false;
    s.cluster = cluster_new(
        &(struct cluster_settings){.controller_count = settings->controllers,
                                   .daemon = settings->daemon,
                                   .old_daemon = settings->old_daemon,
                                   .operator_yaml = operators_of(settings),
                                   .log_file = s.log_file,
                                   .max_machines = settings->machines,
                                   .lease_s = s.lease_s,
                                   .teams = workload_teams(settings->machines * MACHINE_CPUS),
                                   .team_count = WORKLOAD_TEAMS,
                                   .random = s.random});
    if (settings->duties)
        check_calls(&s);
    workload_submit(s.cluster, s.random, scale_of(settings));
    current = &s;
    begun = cluster_run_until(s.cluster, has_begun, BEGIN_S);
    s.began = pm_clock_monotonic();
    if (s.calls) /* what was rented before all controllers spoke of duties */
        call_checker_clear_violations(s.calls);
    if (begun) {
        play(&s);
        settle(&s);
    }
    note_logged_violations(&s);
    *result = (struct soak_result){.troubles = s.schedule->len,
                                   .starts = history_start_count(cluster_history(s.cluster)),
                                   .jobs = cluster_job_count(s.cluster),
                                   .seconds = elapsed(&s),
                                   .stall_s = s.stall_s,
                                   .violations = g_string_free(s.violations, FALSE)};
    cluster_free(s.cluster);
    if (s.calls)
        call_checker_free(s.calls);
    if (s.log)
        fclose(s.log);
    if (!settings->log_file)
        g_unlink(s.log_file);
    g_free(s.log_file);
    g_array_free(s.schedule, TRUE);
    g_array_free(s.active, TRUE);
    return begun;
}
