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

bool pm_node_writable(const struct pm_node *n, double now)
{
    return !pm_store_refusing(n->store) && now - pm_store_served(n->store) < 1.5;
}

static void plan(struct pm_node *n)
{
    double now = pm_clock_steady();

    pm_plan_set_sees_all(n->plan, n->leading);
    pm_plan_set_writable(n->plan, pm_node_writable(n, now));
    pm_plan_begin(n->plan, now, pm_clock_day());
    if (n->leading)
        pm_blocks_assign(n->blocks, now);
    pm_plan_place(n->plan, now);
    if (n->leading)
        pm_blocks_allot(n->blocks, now);
    pm_plan_preempt(n->plan, now);
}

gpointer pm_node_planner(gpointer data)
{
    struct pm_node *n = data;

    for (;;) {
        g_mutex_lock(&n->wake_lock);
        while (!n->due)
            g_cond_wait(&n->wake, &n->wake_lock);
        n->due = false;
        g_mutex_unlock(&n->wake_lock);
        g_mutex_lock(&n->lock);
        if (n->ruling && n->tables.ntypes) {
            double began = pm_clock_steady();
            plan(n);
            n->plan_cost = n->plan_cost * 0.7 + (pm_clock_steady() - began) * 0.3;
        }
        g_mutex_unlock(&n->lock);
        ev_async_send(n->loop, &n->planned);
    }
    return NULL;
}

void pm_node_on_pace(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_node *n = w->data;

    (void)loop;
    (void)events;
    n->plan_at = pm_clock_steady();
    g_mutex_lock(&n->wake_lock);
    n->due = true;
    g_cond_signal(&n->wake);
    g_mutex_unlock(&n->wake_lock);
}

void pm_node_plan_soon(struct pm_node *n)
{
    double left;

    if (!n->ruling || ev_is_active(&n->pace))
        return;
    /* On a large fleet, or a slow machine, plans take long: workers and users must not wait. */
    left = n->plan_at + MIN(MAX(PLAN_PACE_S, PLAN_REST * n->plan_cost), PLAN_REST_S) -
           pm_clock_steady();
    ev_timer_set(&n->pace, MAX(left, 0.002), 0.);
    ev_timer_start(n->loop, &n->pace);
}

static void commit_at(struct pm_node *n, double at, double now)
{
    ev_timer_stop(n->loop, &n->commit_timer);
    ev_timer_set(&n->commit_timer, MAX(at - now, 0.002), 0.);
    ev_timer_start(n->loop, &n->commit_timer);
}

void pm_node_commit(struct pm_node *n)
{
    double now = pm_clock_steady();
    double rested = n->commit_ended + MIN(COMMIT_REST * n->commit_cost, COMMIT_REST_S);
    double next;
    struct pm_grounds grounds = {0};

    if (!n->ruling)
        return;
    if (now < rested) { /* what came since is written together */
        commit_at(n, rested, now);
        return;
    }
    pm_plan_check_starts(n->plan, now);
    grounds.epoch_revision = pm_leader_revision(n->lead);
    if (!n->leading) {
        grounds.block_key = n->block_key;
        grounds.block_revision = pm_blocks_mine(n->blocks);
    }
    next = pm_commit_run(n->commit, &grounds, now, pm_clock_day());
    n->commit_ended = pm_clock_steady();
    n->commit_cost = n->commit_cost * 0.7 + (n->commit_ended - now) * 0.3;
    ev_timer_stop(n->loop, &n->commit_timer);
    if (next > 0)
        commit_at(n, next, now);
}

void pm_node_on_commit_timer(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_node *n = w->data;

    (void)loop;
    (void)events;
    pm_node_commit(n);
}

static void fleet_run(struct pm_node *n)
{
    double now = pm_clock_steady();

    if (now < n->fleet_at + MIN(FLEET_REST * n->fleet_cost, 1))
        return;
    /* Who stood still, or lags, has not heard who spoke meanwhile: nobody is given up for that. */
    pm_fleet_set_writable(n->fleet, pm_node_writable(n, now) && !pm_links_lagging(n->links, now),
                          now);
    pm_fleet_run(n->fleet, now, pm_clock_day());
    n->fleet_at = pm_clock_steady();
    n->fleet_cost = n->fleet_at - now;
}

void pm_node_on_planned(struct ev_loop *loop, ev_async *w, int events)
{
    struct pm_node *n = w->data;

    (void)loop;
    (void)events;
    if (n->ruling) {
        pm_node_commit(n);
        pm_node_direct_all(n);
        if (n->leading && pm_leader_confirmed(n->lead, pm_clock_steady())) {
            pm_blocks_run(n->blocks, pm_clock_steady());
            fleet_run(n);
        }
    }
}
