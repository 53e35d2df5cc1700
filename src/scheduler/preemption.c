/* What is stopped to make room, because of a notice, or because its job is over. */
#include "scheduler/internal.h"
#include "base/log.h"

#include <math.h>

#define CLEARING_S 4.0    /* what is stopped is gone within this, for the most part */
#define LEAVE_EXTRA_S 1.0 /* granted beyond filing_s, so that the save ends in time */

static bool gets_guarantee(const struct pm_scheduler *p, const struct pm_job *job)
{
    int team = job->spec->team;

    return p->actual[team] + p->promised[team] + job->spec->cpus <=
           p->tables->settings->teams[team].cpus + EPS;
}

static bool beyond_guarantee(const struct pm_scheduler *p, int team)
{
    return p->actual[team] - p->yielding[team] > p->tables->settings->teams[team].cpus + EPS;
}

/* Urgent work beyond its team's guarantee leaves alone what another team has within its own: that
 * may stop it in turn, and so on without end. */
static bool may_urge(const struct pm_scheduler *p, const struct pm_job *job,
                     const struct pm_placement *place)
{
    int theirs = place->job->spec->team;

    return !p->sees_all || theirs == job->spec->team || gets_guarantee(p, job) ||
           beyond_guarantee(p, theirs);
}

bool pm_scheduler_yields_to(const struct pm_scheduler *p, const struct pm_job *job,
                            const struct pm_job *other)
{
    int team = job->spec->team;

    if (job->priority == PM_PRIORITY_PRODUCTION)
        return false;
    return job->priority < other->priority ||
           (p->sees_all && team != other->spec->team && beyond_guarantee(p, team));
}

/* Whether `job` may have `place` stopped to make room.
 *
 * The design's ordinary path: unallocated work yields at once to charged work; a charged task is
 * shielded for its minimum runtime, then yields, if it can resume, to a team of a lower ratio.
 * The rules add two that come first: work of a lower priority yields to a higher one, and work
 * beyond its team's guarantee yields to a team that is within its own. They also forbid stopping
 * work of equal or higher priority in every other case, so ratio alone is not enough. */
static bool may_preempt(struct pm_scheduler *p, const struct pm_job *job,
                        const struct pm_placement *place, double now)
{
    const struct pm_spec *mine = job->spec;
    const struct pm_spec *theirs = place->job->spec;
    bool is_protected;

    if (place->should_stop || place->state == PM_PLACEMENT_ENDED || place->job == job)
        return false;
    if (pm_scheduler_is_unallocated(place->job) && job->priority > place->job->priority)
        return true;
    if (pm_scheduler_is_unallocated(job))
        return false;
    if (p->sees_all && mine->team != theirs->team &&
        place->job->priority < PM_PRIORITY_PRODUCTION && gets_guarantee(p, job) &&
        beyond_guarantee(p, theirs->team))
        return true;
    if (place->job->priority >= job->priority)
        return false;
    if (job->priority == PM_PRIORITY_PRODUCTION ||
        (job->priority >= PM_PRIORITY_URGENT && may_urge(p, job, place)))
        return true;
    if (job->priority >= PM_PRIORITY_URGENT)
        return false;
    is_protected = now - place->placed_at < p->op->min_runtime_s;
    return !is_protected && theirs->checkpoint_interval_s > 0 &&
           p->ratio[mine->team] < p->ratio[theirs->team];
}

/* What is lost when the task is stopped now, in seconds of its work. */
static double loss(const struct pm_placement *place, double now)
{
    const struct pm_spec *spec = place->job->spec;
    double ran = place->running_since ? now - place->running_since : 0;

    return spec->checkpoint_interval_s > 0
               ? spec->checkpoint_duration_s + fmod(ran, spec->checkpoint_interval_s)
               : ran;
}

double pm_scheduler_leave_for(const struct pm_placement *place, bool hurry)
{
    const struct pm_spec *spec = place->job->spec;

    return spec->checkpoint_interval_s > 0 && !hurry ? spec->checkpoint_duration_s + LEAVE_EXTRA_S
                                                     : 0;
}

struct victim {
    struct pm_placement *place;
    double loss;
};

static int by_loss(const void *a, const void *b)
{
    const struct victim *x = a;
    const struct victim *y = b;

    return x->loss < y->loss ? -1 : x->loss > y->loss;
}

static const struct victim *victim_at(const struct pm_scheduler *p, guint i)
{
    return &g_array_index(p->victims, struct victim, i);
}

/* Whether one more task of the job finds room on the machine once the first `*n` of p->victims are
 * stopped, besides what is being stopped already; `cost` is what that loses. */
static bool can_clear(struct pm_scheduler *p, const struct pm_job *job, const struct pm_machine *m,
                      const spoken *spoken_for, guint *n, double *cost, double now)
{
    const struct pm_spec *need = job->spec;
    double room[3] = {m->free.cpus, m->free.gpus, m->free.ram_gb};

    *cost = 0;
    g_array_set_size(p->victims, 0);
    if (!pm_scheduler_has_image(m, need->image))
        *cost = 1e4 * (1 + pm_scheduler_fetches_before(p, m, need) +
                       need->image_gb / MAX(p->tables->types[m->type].pull_gb_per_s, EPS));
    for (guint j = 0; j < m->placements->len; j++) {
        struct pm_placement *place = g_ptr_array_index(m->placements, j);
        const struct pm_spec *spec = place->job->spec;
        if (place->should_stop && place->state != PM_PLACEMENT_ENDED) {
            room[0] += spec->cpus;
            room[1] += spec->gpus;
            room[2] += spec->ram_gb;
        } else if (may_preempt(p, job, place, now)) {
            g_array_append_vals(p->victims, &(struct victim){place, loss(place, now)}, 1);
        }
    }
    g_array_sort(p->victims, by_loss);
    for (int k = 0; k < 3; k++)
        room[k] -= spoken_for[m->index][k];
    for (*n = 0;
         room[0] + EPS < need->cpus || room[1] + EPS < need->gpus || room[2] + EPS < need->ram_gb;
         (*n)++) {
        const struct pm_spec *spec;
        if (*n == p->victims->len)
            return false;
        spec = victim_at(p, *n)->place->job->spec;
        room[0] += spec->cpus;
        room[1] += spec->gpus;
        room[2] += spec->ram_gb;
        *cost += 1 + victim_at(p, *n)->loss * spec->cpus;
    }
    return true;
}

/* A machine where something may be stopped, and the processors on it that work of a priority could
 * have at most: what is free, is being stopped, or runs at a lower one. Looked at once a run, so
 * that each task that wants room passes over most machines without a look at their places. */
struct candidate {
    struct pm_machine *machine;
    double room[PM_PRIORITY_PRODUCTION + 1];
};

void pm_scheduler_preempt_begin(struct pm_scheduler *p)
{
    p->candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    p->victims = g_array_new(FALSE, FALSE, sizeof(struct victim));
}

void pm_scheduler_preempt_end(struct pm_scheduler *p)
{
    g_array_free(p->candidates, TRUE);
    g_array_free(p->victims, TRUE);
}

static void add_candidate(struct pm_scheduler *p, struct pm_machine *m)
{
    struct candidate candidate = {.machine = m};
    bool any = m->free.cpus > EPS; /* free room serves without stopping anything */

    for (int k = 0; k <= PM_PRIORITY_PRODUCTION; k++)
        candidate.room[k] = m->free.cpus;
    for (guint j = 0; j < m->placements->len; j++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, j);
        int from = place->should_stop ? PM_PRIORITY_BEST_EFFORT : (int)place->job->priority + 1;
        if (place->state == PM_PLACEMENT_ENDED)
            continue;
        any |= from <= PM_PRIORITY_PRODUCTION;
        for (int k = from; k <= PM_PRIORITY_PRODUCTION; k++)
            candidate.room[k] += place->job->spec->cpus;
    }
    if (any)
        g_array_append_val(p->candidates, candidate);
}

static void find_candidates(struct pm_scheduler *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);

    g_array_set_size(p->candidates, 0);
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && pm_scheduler_is_machine_usable(p, m, now))
            add_candidate(p, m);
    }
}

/* The priority below which the job may stop work, whatever else has to hold. */
static enum pm_priority stops_below(const struct pm_scheduler *p, const struct pm_job *job)
{
    bool guarantee = p->sees_all && !pm_scheduler_is_unallocated(job);

    return guarantee ? PM_PRIORITY_PRODUCTION : job->priority;
}

/* Makes room for one task of the job where that loses least, and speaks for it; a machine where
 * enough is being stopped already serves without more. With `dry`, only the latter. */
struct pm_machine *pm_scheduler_clear_one(struct pm_scheduler *p, struct pm_job *job,
                                          spoken *spoken_for, struct spread *at, int only_zone,
                                          bool dry, double now)
{
    struct pm_machine *best = NULL;
    enum pm_priority below = stops_below(p, job);
    double cost;
    double best_cost = INFINITY;
    guint n;

    for (guint i = 0; i < p->candidates->len; i++) {
        const struct candidate *candidate = &g_array_index(p->candidates, struct candidate, i);
        struct pm_machine *m = candidate->machine;
        if (candidate->room[below] - spoken_for[m->index][0] + EPS < job->spec->cpus ||
            (only_zone >= 0 && m->zone != only_zone) ||
            !pm_scheduler_is_machine_allowed(p->tables, job, m->type, m->zone, m->spot) ||
            !pm_scheduler_zone_ok(job, at, m->zone) || pm_scheduler_claimed_by_other(m, job, now) ||
            !can_clear(p, job, m, spoken_for, &n, &cost, now) || cost >= best_cost)
            continue;
        best = m;
        best_cost = cost;
    }
    if (!best)
        return NULL;
    if (!dry) {
        can_clear(p, job, best, spoken_for, &n, &cost, now);
        for (guint v = 0; v < n; v++) {
            struct pm_placement *place = victim_at(p, v)->place;
            pm_info("scheduler.preempted", "%s/%u on %s for %s", place->job->id, place->task_index,
                    best->name, job->id);
            pm_placement_stop(
                place, pm_scheduler_leave_for(place, job->priority == PM_PRIORITY_PRODUCTION));
            p->yielding[place->job->spec->team] += place->job->spec->cpus;
            p->steps++;
        }
        p->promised[job->spec->team] += job->spec->cpus;
        best->reservation.job = job;
        best->reservation.until = now + CLEARING_S;
    }
    spoken_for[best->index][0] += job->spec->cpus;
    spoken_for[best->index][1] += job->spec->gpus;
    spoken_for[best->index][2] += job->spec->ram_gb;
    at->zone[best->zone]++;
    at->total++;
    return best;
}

/* The lowest priority of anything that runs. */
static enum pm_priority lowest_priority(struct pm_scheduler *p)
{
    GPtrArray *all = pm_workers_all(p->workers);
    enum pm_priority lowest = PM_PRIORITY_PRODUCTION;

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        for (guint j = 0; m && j < m->placements->len; j++) {
            const struct pm_placement *place = g_ptr_array_index(m->placements, j);
            lowest = MIN(lowest, place->job->priority);
        }
    }
    return lowest;
}

/* Whether a team other than this one uses more than its guarantee. */
static bool beyond_others(const struct pm_scheduler *p, int team)
{
    const struct pm_settings *s = p->tables->settings;

    for (int t = 0; t < s->team_count; t++)
        if (t != team && beyond_guarantee(p, t))
            return true;
    return false;
}

void pm_scheduler_preempt(struct pm_scheduler *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    enum pm_priority lowest;
    spoken *spoken_for;

    if (!p->writable)
        return;
    lowest = lowest_priority(p);
    find_candidates(p, now);
    spoken_for = g_malloc0(sizeof(spoken) * (all->len + 1));
    for (guint i = 0; i < p->wants->len && p->steps < STEPS_MAX; i++) {
        struct pm_unmet_demand *want = &g_array_index(p->wants, struct pm_unmet_demand, i);
        struct pm_job *job = want->job;
        struct spread at;
        uint32_t made = 0;
        /* A replica that rather waits than crowds a machine (rather_waits) would not take the room:
         * what was stopped for it would take it again, and so on without end. */
        if (pm_scheduler_awaits_boot(p, job))
            continue;
        if (job->delegated)
            continue; /* the leader calls machines back for it */
        if (job->spec->kind == PM_WORKLOAD_GANG) {
            pm_scheduler_clear_gang(p, job, spoken_for, now);
            continue;
        }
        if (job->priority <= lowest && !(p->sees_all && beyond_others(p, job->spec->team)))
            continue; /* nothing that runs may be stopped for it */
        pm_scheduler_count_zones(job, &at);
        while (made < MIN(want->tasks, 16)) {
            struct need need = pm_scheduler_need_of(p, job, &at, job->spec->team);
            if (pm_scheduler_is_unschedulable(p, &need))
                break;
            if (!pm_scheduler_clear_one(p, job, spoken_for, &at, -1, false, now)) {
                g_array_append_val(p->hopeless, need);
                break;
            }
            made++;
        }
    }
    g_free(spoken_for);
}

static void stop_gang(struct pm_scheduler *p, struct pm_job *job, double leave_s)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        const struct pm_task *task = pm_job_find_task(job, i);
        if (task && task->placement && !task->placement->should_stop) {
            pm_placement_stop(task->placement, leave_s);
            p->steps++;
        }
    }
}

/* A machine that will be taken: what can save does so now, gangs stop whole, a replica moves, and
 * a task that cannot save runs on only where it may well end in time. */
static void heed_notice(struct pm_scheduler *p, struct pm_machine *m, double now)
{
    double left = m->heartbeat.spot_interruption_at - now;

    for (guint j = 0; j < m->placements->len; j++) {
        struct pm_placement *place = g_ptr_array_index(m->placements, j);
        const struct pm_spec *spec = place->job->spec;
        double remains = pm_scheduler_estimate_remaining_s(p, place->job) -
                         (place->running_since ? now - place->running_since : 0);
        if (place->should_stop || place->state == PM_PLACEMENT_ENDED ||
            place->state == PM_PLACEMENT_PROPOSED)
            continue;
        /* The notice may be off by half. */
        if (spec->kind != PM_WORKLOAD_SERVICE && place->running_since && remains > -10 &&
            remains < left * 0.4)
            continue;
        if (spec->kind == PM_WORKLOAD_GANG) {
            stop_gang(p, place->job, pm_scheduler_leave_for(place, false));
            continue;
        }
        pm_placement_stop(place, pm_scheduler_leave_for(place, false));
        p->steps++;
    }
}

/* One whose job is cancelled goes at once; a gang whose attempt lost a task goes whole. */
void pm_scheduler_stop_disallowed_tasks(struct pm_scheduler *p, double now)
{
    GPtrArray *active = pm_jobs_active(p->jobs);
    GPtrArray *all = pm_workers_all(p->workers);

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (job->spec && !job->delegated && job->spec->kind == PM_WORKLOAD_GANG &&
            job->work.placed_count && job->state == PM_JOB_LIVE && !job->work.done_count &&
            job->work.placed_count < job->task_count)
            stop_gang(p, job, 0);
    }
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        for (guint j = 0; m && j < m->placements->len;) {
            struct pm_placement *place = g_ptr_array_index(m->placements, j);
            if (place->state == PM_PLACEMENT_PROPOSED &&
                (place->job->state != PM_JOB_LIVE || place->should_stop)) {
                /* Never launched: nothing needs proof. */
                uint32_t index = place->task_index;
                struct pm_job *job = place->job;
                pm_workers_remove_placement(p->workers, place);
                pm_job_mark_dirty(job, index);
                p->steps++;
                continue;
            }
            if (place->job->state != PM_JOB_LIVE && place->state != PM_PLACEMENT_ENDED &&
                !(place->should_stop && place->grace_s <= 0)) {
                pm_placement_stop(place, 0);
                p->steps++;
            }
            j++;
        }
        if (m && m->heartbeat.spot_interruption_at && m->state == PM_MACHINE_UP)
            heed_notice(p, m, now);
    }
}
