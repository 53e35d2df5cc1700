/* Runs the planner's thread and the work after each plan: write-back, pushes to workers, and the
 * autoscaler. The longer plans, write-backs and autoscaler runs take, the less often they are run,
 * so that workers and users are still answered in time with a large fleet or on a slow machine. */
#include "base/clock.h"
#include "base/crash_report.h"
#include "internal.h"

/* The interval from the start of a plan to the start of the next is the mean duration of a plan
 * times the factor, within these limits. */
#define PLAN_INTERVAL_MIN_S 0.03
#define PLAN_INTERVAL_FACTOR 8
#define PLAN_INTERVAL_MAX_S 0.6
/* The pause from the end of an autoscaler run or a write-back to the start of the next is the
 * duration of the work times the factor, up to the maximum. */
#define AUTOSCALER_PAUSE_FACTOR 15
#define AUTOSCALER_PAUSE_MAX_S 1
#define COMMIT_PAUSE_FACTOR 6
#define COMMIT_PAUSE_MAX_S 0.05
#define TIMER_MIN_S 0.002          /* the shortest delay of a timer */
#define LATEST_DURATION_WEIGHT 0.3 /* of the latest duration in a moving average */
/* Without an answer for longer than this, the state service counts as not writable. */
#define STORE_SILENCE_MAX_S 1.5

/* Returns the moving average, updated with the latest value. */
static double update_mean(double mean_s, double latest_s)
{
    return mean_s * (1 - LATEST_DURATION_WEIGHT) + latest_s * LATEST_DURATION_WEIGHT;
}

static void restart_timer(struct ev_loop *loop, ev_timer *timer, double seconds)
{
    ev_timer_stop(loop, timer);
    ev_timer_set(timer, MAX(seconds, TIMER_MIN_S), 0.);
    ev_timer_start(loop, timer);
}

bool pm_controller_is_store_writable(const struct pm_controller *controller, double now)
{
    return !pm_store_is_refusing(controller->store) &&
           now - pm_store_last_served_at(controller->store) < STORE_SILENCE_MAX_S;
}

/* ---- the planner's thread ---- */

/* One build for tests overflows this thread's stack once the cluster's first leader has led for a
 * while. src/soak must detect that its process ends. */
#ifdef PM_PLANTED_STACK_OVERFLOW
#define PLANTED_OVERFLOW_AFTER_S 2.0
enum { FIRST_EPOCH = 1 };

static int overflow_stack(int depth)
{
    volatile char frame[4096];

    frame[0] = (char)depth;
    return depth < G_MAXINT ? overflow_stack(depth + 1) + frame[0] : 0;
}
#endif

static void plan(struct pm_controller *controller)
{
    struct pm_scheduler *scheduler = controller->scheduler;
    double now = pm_clock_monotonic();

#ifdef PM_PLANTED_STACK_OVERFLOW
    if (controller->is_leader && pm_election_epoch(controller->election) == FIRST_EPOCH &&
        now - controller->elected_at > PLANTED_OVERFLOW_AFTER_S)
        overflow_stack(0);
#endif
    pm_scheduler_set_sees_all_teams(scheduler, controller->is_leader);
    pm_scheduler_set_writable(scheduler, pm_controller_is_store_writable(controller, now));
    pm_scheduler_begin_plan(scheduler, now, pm_clock_wall());
    if (controller->is_leader)
        pm_shards_assign_jobs(controller->shards, now);
    pm_scheduler_place(scheduler, now);
    if (controller->is_leader)
        pm_shards_assign_machines(controller->shards, now);
    pm_scheduler_preempt(scheduler, now);
}

static void wait_until_due(struct pm_controller_planning *planning)
{
    g_mutex_lock(&planning->wake_lock);
    while (!planning->is_due)
        g_cond_wait(&planning->wake, &planning->wake_lock);
    planning->is_due = false;
    g_mutex_unlock(&planning->wake_lock);
}

static gpointer run_planner(gpointer data)
{
    struct pm_controller *controller = data;
    struct pm_controller_planning *planning = &controller->planning;

    pm_crash_report_protect_thread();
    for (;;) {
        wait_until_due(planning);
        g_mutex_lock(&controller->lock);
        if (controller->is_active && controller->tables.type_count) {
            double started_at = pm_clock_monotonic();
            double duration_s;
            plan(controller);
            duration_s = pm_clock_monotonic() - started_at;
            planning->mean_duration_s = update_mean(planning->mean_duration_s, duration_s);
            planning->longest_s = MAX(planning->longest_s, duration_s);
        }
        g_mutex_unlock(&controller->lock);
        ev_async_send(controller->loop, &planning->done);
    }
    return NULL;
}

static void on_plan_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    struct pm_controller *controller = watcher->data;
    struct pm_controller_planning *planning = &controller->planning;

    (void)loop;
    (void)events;
    planning->woken_at = pm_clock_monotonic();
    g_mutex_lock(&planning->wake_lock);
    planning->is_due = true;
    g_cond_signal(&planning->wake);
    g_mutex_unlock(&planning->wake_lock);
}

void pm_controller_plan_soon(struct pm_controller *controller)
{
    struct pm_controller_planning *planning = &controller->planning;
    double interval_s;

    if (!controller->is_active || ev_is_active(&planning->timer))
        return;
    interval_s = MIN(MAX(PLAN_INTERVAL_MIN_S, PLAN_INTERVAL_FACTOR * planning->mean_duration_s),
                     PLAN_INTERVAL_MAX_S);
    restart_timer(controller->loop, &planning->timer,
                  planning->woken_at + interval_s - pm_clock_monotonic());
}

/* ---- write-back ---- */

static struct pm_commit_conditions commit_conditions(const struct pm_controller *controller)
{
    struct pm_commit_conditions conditions = {
        .epoch_revision = pm_election_epoch_revision(controller->election),
    };

    if (!controller->is_leader) {
        conditions.shard_key = controller->own_shard_key;
        conditions.shard_revision = pm_shards_owned_revision(controller->shards);
    }
    return conditions;
}

void pm_controller_commit(struct pm_controller *controller)
{
    struct pm_controller_commit_schedule *commit_schedule = &controller->commit_schedule;
    double now = pm_clock_monotonic();
    double pause_s =
        MIN(COMMIT_PAUSE_FACTOR * commit_schedule->mean_duration_s, COMMIT_PAUSE_MAX_S);
    struct pm_commit_conditions conditions;
    double next_at;

    if (!controller->is_active)
        return;
    if (now < commit_schedule->ended_at + pause_s) {
        /* Changes that are made during the pause are written together after it. */
        restart_timer(controller->loop, &commit_schedule->timer,
                      commit_schedule->ended_at + pause_s - now);
        return;
    }
    pm_scheduler_recheck_quota(controller->scheduler, now);
    conditions = commit_conditions(controller);
    next_at = pm_commit_run(controller->commit, &conditions, now, pm_clock_wall());
    commit_schedule->ended_at = pm_clock_monotonic();
    commit_schedule->mean_duration_s =
        update_mean(commit_schedule->mean_duration_s, commit_schedule->ended_at - now);
    ev_timer_stop(controller->loop, &commit_schedule->timer);
    if (next_at > 0)
        restart_timer(controller->loop, &commit_schedule->timer, next_at - now);
}

static void on_commit_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    pm_controller_commit(watcher->data);
}

/* ---- work after a plan ---- */

static void run_autoscaler(struct pm_controller *controller)
{
    struct pm_controller_autoscaler_schedule *autoscaler_schedule =
        &controller->autoscaler_schedule;
    double now = pm_clock_monotonic();
    double pause_s =
        MIN(AUTOSCALER_PAUSE_FACTOR * autoscaler_schedule->last_duration_s, AUTOSCALER_PAUSE_MAX_S);
    bool may_terminate_silent;

    if (now < autoscaler_schedule->ended_at + pause_s)
        return;
    /* If this process was suspended, it has missed heartbeats through no fault of the machines, so
     * no machine is terminated for its silence. */
    may_terminate_silent = pm_controller_is_store_writable(controller, now) &&
                           !pm_links_was_paused_recently(controller->links, now);
    pm_autoscaler_set_writable(controller->autoscaler, may_terminate_silent, now);
    pm_autoscaler_run(controller->autoscaler, now, pm_clock_wall());
    autoscaler_schedule->ended_at = pm_clock_monotonic();
    autoscaler_schedule->last_duration_s = autoscaler_schedule->ended_at - now;
    autoscaler_schedule->longest_s =
        MAX(autoscaler_schedule->longest_s, autoscaler_schedule->last_duration_s);
}

static void on_plan_done(struct ev_loop *loop, ev_async *watcher, int events)
{
    struct pm_controller *controller = watcher->data;

    (void)loop;
    (void)events;
    if (!controller->is_active)
        return;
    pm_controller_commit(controller);
    pm_controller_push_all_commands(controller);
    if (!controller->is_leader ||
        !pm_election_is_confirmed(controller->election, pm_clock_monotonic()))
        return;
    pm_shards_exchange(controller->shards, pm_clock_monotonic());
    run_autoscaler(controller);
}

void pm_controller_init_planner(struct pm_controller *controller)
{
    struct pm_controller_planning *planning = &controller->planning;
    struct pm_controller_commit_schedule *commit_schedule = &controller->commit_schedule;

    g_mutex_init(&planning->wake_lock);
    g_cond_init(&planning->wake);
    ev_async_init(&planning->done, on_plan_done);
    ev_timer_init(&planning->timer, on_plan_timer, 0., 0.);
    ev_timer_init(&commit_schedule->timer, on_commit_timer, 0., 0.);
    planning->done.data = controller;
    planning->timer.data = controller;
    commit_schedule->timer.data = controller;
    ev_async_start(controller->loop, &planning->done);
}

void pm_controller_start_planner(struct pm_controller *controller)
{
    controller->planning.thread = g_thread_new("planner", run_planner, controller);
}
