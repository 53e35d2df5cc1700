/* The planner's thread, and what follows from a plan: what is written back, pushed to workers and
 * requested of the provider. Each of these runs again only after a rest that grows with its cost,
 * so that on a large fleet, or a slow machine, workers and users are still answered. */
#include "base/clock.h"
#include "internal.h"

#define PLAN_INTERVAL_S 0.03 /* plans are made no more often than this, */
#define PLAN_REST_FACTOR 8   /* nor before this many times as long as they take, */
#define PLAN_REST_MAX_S 0.6  /* if that is not longer than this */
#define SIZING_REST_FACTOR 15
#define SIZING_REST_MAX_S 1
#define COMMIT_REST_FACTOR 6
#define COMMIT_REST_MAX_S 0.05
#define TIMER_MIN_S 0.002
#define COST_WEIGHT 0.3 /* of the latest cost in the moving average */
#define STORE_SILENCE_MAX_S 1.5

static double update_cost(double average_s, double latest_s)
{
    return average_s * (1 - COST_WEIGHT) + latest_s * COST_WEIGHT;
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

static void plan(struct pm_controller *controller)
{
    struct pm_scheduler *scheduler = controller->scheduler;
    double now = pm_clock_monotonic();

    pm_scheduler_set_full_view(scheduler, controller->is_leader);
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

    for (;;) {
        wait_until_due(planning);
        g_mutex_lock(&controller->lock);
        if (controller->is_active && controller->tables.type_count) {
            double started_at = pm_clock_monotonic();
            plan(controller);
            planning->cost_s = update_cost(planning->cost_s, pm_clock_monotonic() - started_at);
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
    planning->started_at = pm_clock_monotonic();
    g_mutex_lock(&planning->wake_lock);
    planning->is_due = true;
    g_cond_signal(&planning->wake);
    g_mutex_unlock(&planning->wake_lock);
}

void pm_controller_plan_soon(struct pm_controller *controller)
{
    struct pm_controller_planning *planning = &controller->planning;
    double rest;

    if (!controller->is_active || ev_is_active(&planning->timer))
        return;
    rest = MIN(MAX(PLAN_INTERVAL_S, PLAN_REST_FACTOR * planning->cost_s), PLAN_REST_MAX_S);
    restart_timer(controller->loop, &planning->timer,
                  planning->started_at + rest - pm_clock_monotonic());
}

/* ---- write-back ---- */

static struct pm_commit_conditions conditions_of(const struct pm_controller *controller)
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
    struct pm_controller_committing *committing = &controller->committing;
    double now = pm_clock_monotonic();
    double rest = MIN(COMMIT_REST_FACTOR * committing->cost_s, COMMIT_REST_MAX_S);
    struct pm_commit_conditions conditions;
    double next_at;

    if (!controller->is_active)
        return;
    if (now < committing->ended_at + rest) { /* what has come since is written together */
        restart_timer(controller->loop, &committing->timer, committing->ended_at + rest - now);
        return;
    }
    pm_scheduler_recheck_quota(controller->scheduler, now);
    conditions = conditions_of(controller);
    next_at = pm_commit_run(controller->commit, &conditions, now, pm_clock_wall());
    committing->ended_at = pm_clock_monotonic();
    committing->cost_s = update_cost(committing->cost_s, committing->ended_at - now);
    ev_timer_stop(controller->loop, &committing->timer);
    if (next_at > 0)
        restart_timer(controller->loop, &committing->timer, next_at - now);
}

static void on_commit_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    pm_controller_commit(watcher->data);
}

/* ---- what follows from a plan ---- */

static void run_autoscaler(struct pm_controller *controller)
{
    struct pm_controller_sizing *sizing = &controller->sizing;
    double now = pm_clock_monotonic();
    double rest = MIN(SIZING_REST_FACTOR * sizing->cost_s, SIZING_REST_MAX_S);
    bool may_give_up;

    if (now < sizing->ended_at + rest)
        return;
    /* A process that was not run for a while has missed heartbeats: no machine is given up for
     * that. */
    may_give_up = pm_controller_is_store_writable(controller, now) &&
                  !pm_links_was_paused_recently(controller->links, now);
    pm_autoscaler_set_writable(controller->autoscaler, may_give_up, now);
    pm_autoscaler_run(controller->autoscaler, now, pm_clock_wall());
    sizing->ended_at = pm_clock_monotonic();
    sizing->cost_s = sizing->ended_at - now;
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
    struct pm_controller_committing *committing = &controller->committing;

    g_mutex_init(&planning->wake_lock);
    g_cond_init(&planning->wake);
    ev_async_init(&planning->done, on_plan_done);
    ev_timer_init(&planning->timer, on_plan_timer, 0., 0.);
    ev_timer_init(&committing->timer, on_commit_timer, 0., 0.);
    planning->done.data = controller;
    planning->timer.data = controller;
    committing->timer.data = controller;
    ev_async_start(controller->loop, &planning->done);
}

void pm_controller_start_planner(struct pm_controller *controller)
{
    controller->planning.thread = g_thread_new("planner", run_planner, controller);
}
