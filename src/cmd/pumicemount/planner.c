/* The planner's thread, and what follows from a plan: what is written, sent and rented. */
#include "base/clock.h"
#include "base/log.h"
#include "internal.h"

#include <math.h>
#include <string.h>

#define PLAN_PACE_S 0.03 /* plans no more often than this, */
#define PLAN_REST 8      /* nor before this many times as long as the last one took, */
#define PLAN_REST_S 0.6  /* if that is not longer than this */
#define FLEET_REST 15    /* the same for the sizing of the fleet */
#define COMMIT_REST 6 /* and for looking for what is to be written, which every report asks for */
#define COMMIT_REST_S 0.05

bool pm_controller_is_store_writable(const struct pm_controller *n, double now)
{
    return !pm_store_is_refusing(n->store) && now - pm_store_last_served_at(n->store) < 1.5;
}

static void plan(struct pm_controller *n)
{
    double now = pm_clock_monotonic();

    pm_scheduler_set_full_view(n->plan, n->leading);
    pm_scheduler_set_writable(n->plan, pm_controller_is_store_writable(n, now));
    pm_scheduler_begin(n->plan, now, pm_clock_wall());
    if (n->leading)
        pm_shards_assign_jobs(n->blocks, now);
    pm_scheduler_place(n->plan, now);
    if (n->leading)
        pm_shards_assign_machines(n->blocks, now);
    pm_scheduler_preempt(n->plan, now);
}

gpointer pm_controller_planner(gpointer data)
{
    struct pm_controller *n = data;

    for (;;) {
        g_mutex_lock(&n->wake_lock);
        while (!n->due)
            g_cond_wait(&n->wake, &n->wake_lock);
        n->due = false;
        g_mutex_unlock(&n->wake_lock);
        g_mutex_lock(&n->lock);
        if (n->ruling && n->tables.type_count) {
            double began = pm_clock_monotonic();
            plan(n);
            n->plan_cost = n->plan_cost * 0.7 + (pm_clock_monotonic() - began) * 0.3;
        }
        g_mutex_unlock(&n->lock);
        ev_async_send(n->loop, &n->planned);
    }
    return NULL;
}

void pm_controller_on_pace(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_controller *n = w->data;

    (void)loop;
    (void)events;
    n->plan_at = pm_clock_monotonic();
    g_mutex_lock(&n->wake_lock);
    n->due = true;
    g_cond_signal(&n->wake);
    g_mutex_unlock(&n->wake_lock);
}

void pm_controller_plan_soon(struct pm_controller *n)
{
    double left;

    if (!n->ruling || ev_is_active(&n->pace))
        return;
    /* On a large fleet, or a slow machine, plans take long: workers and users must not wait. */
    left = n->plan_at + MIN(MAX(PLAN_PACE_S, PLAN_REST * n->plan_cost), PLAN_REST_S) -
           pm_clock_monotonic();
    ev_timer_set(&n->pace, MAX(left, 0.002), 0.);
    ev_timer_start(n->loop, &n->pace);
}

static void commit_at(struct pm_controller *n, double at, double now)
{
    ev_timer_stop(n->loop, &n->commit_timer);
    ev_timer_set(&n->commit_timer, MAX(at - now, 0.002), 0.);
    ev_timer_start(n->loop, &n->commit_timer);
}

void pm_controller_commit(struct pm_controller *n)
{
    double now = pm_clock_monotonic();
    double rested = n->commit_ended + MIN(COMMIT_REST * n->commit_cost, COMMIT_REST_S);
    double next;
    struct pm_commit_conditions grounds = {0};

    if (!n->ruling)
        return;
    if (now < rested) { /* what came since is written together */
        commit_at(n, rested, now);
        return;
    }
    pm_scheduler_recheck_quota(n->plan, now);
    grounds.epoch_revision = pm_election_epoch_revision(n->lead);
    if (!n->leading) {
        grounds.shard_key = n->block_key;
        grounds.shard_revision = pm_shards_owned_revision(n->blocks);
    }
    next = pm_commit_run(n->commit, &grounds, now, pm_clock_wall());
    n->commit_ended = pm_clock_monotonic();
    n->commit_cost = n->commit_cost * 0.7 + (n->commit_ended - now) * 0.3;
    ev_timer_stop(n->loop, &n->commit_timer);
    if (next > 0)
        commit_at(n, next, now);
}

void pm_controller_on_commit_timer(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_controller *n = w->data;

    (void)loop;
    (void)events;
    pm_controller_commit(n);
}

static void fleet_run(struct pm_controller *n)
{
    double now = pm_clock_monotonic();

    if (now < n->fleet_at + MIN(FLEET_REST * n->fleet_cost, 1))
        return;
    /* Who stood still, or lags, has not heard who spoke meanwhile: nobody is given up for that. */
    pm_autoscaler_set_writable(
        n->fleet, pm_controller_is_store_writable(n, now) && !pm_links_is_lagging(n->links, now),
        now);
    pm_autoscaler_run(n->fleet, now, pm_clock_wall());
    n->fleet_at = pm_clock_monotonic();
    n->fleet_cost = n->fleet_at - now;
}

void pm_controller_on_planned(struct ev_loop *loop, ev_async *w, int events)
{
    struct pm_controller *n = w->data;

    (void)loop;
    (void)events;
    if (n->ruling) {
        pm_controller_commit(n);
        pm_controller_push_all_commands(n);
        if (n->leading && pm_election_is_confirmed(n->lead, pm_clock_monotonic())) {
            pm_shards_exchange(n->blocks, pm_clock_monotonic());
            fleet_run(n);
        }
    }
}
