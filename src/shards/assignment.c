/* The leader gives jobs, and machines to place them on, to holders. */
#include "base/log.h"
#include "shards/internal.h"
#include "workers/failures.h"

#include <math.h>
#include <string.h>

#define ALIVE_S 1.6     /* how old a holder's answer may be to give it anything */
#define IDLE_BACK_S 2.0 /* a machine without tasks is called back after this */
/* Of a team's limits, no lease takes this share: what a holder has is out of reach for the team's
 * services until it is done. */
#define KEPT_SHARE 0.25

static bool delegable(const struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;

    return job->state == PM_JOB_LIVE && spec && spec->kind == PM_WORKLOAD_ARRAY && spec->spot &&
           !job->dependencies.unmet && job->priority != PM_PRIORITY_PRODUCTION &&
           job->priority != PM_PRIORITY_BEST_EFFORT && !spec->same_zone && !spec->spread_zones &&
           !pm_failures_is_job_failing(job) && !job->delegated && !job->work.placed_count &&
           !job->work.done_count && !job->write_back.attempted;
}

static bool alive(const struct block *k, double now)
{
    return k->ready && k->boot[0] && now - k->alive < ALIVE_S && !k->losing &&
           (!k->revision || k->revision < k->wrote || !strcmp(k->boot, k->boot_seen));
}

/* Bytes of JSON that the block's value takes at most; kept below the limit of a value. */
static double value_size(const struct pm_shards *b, const struct block *k)
{
    (void)b;
    return 100 + 150.0 * k->entries->len + 44.0 * k->given->len;
}

/* Whether it holds one more job, with so many machines. */
static bool has_space(const struct pm_shards *b, const struct block *k, unsigned machines)
{
    return value_size(b, k) + 50 + 150.0 * machines < b->tables->settings->store_value_kb * 1024;
}

static double load(const struct block *k)
{
    double tasks = 0;

    for (guint i = 0; i < k->given->len; i++) {
        const struct pm_job *job = g_ptr_array_index(k->given, i);
        if (job->state == PM_JOB_LIVE && job->spec)
            tasks += job->task_count * job->spec->cpus;
    }
    return tasks;
}

/* A lease that the team's limit kept narrow grows as the limit allows. */
static void widen(struct pm_shards *b)
{
    for (int i = 0; i < b->n - 1; i++)
        for (guint j = 0; j < b->block[i].given->len; j++) {
            struct pm_job *job = g_ptr_array_index(b->block[i].given, j);
            uint32_t more;
            if (!job->spec || job->state != PM_JOB_LIVE || job->parallelism >= job->task_count)
                continue;
            more = MIN(pm_scheduler_leasable_tasks(b->plan, job->spec, KEPT_SHARE),
                       job->task_count - job->parallelism);
            if (!more)
                continue;
            job->parallelism += more;
            pm_scheduler_charge_lease(b->plan, job->spec, more);
            b->block[i].dirty = true;
            pm_debug("shard.parallelism_raised", "%s to %u", job->id, job->parallelism);
        }
}

static uint32_t room_fit(const double *room, const struct pm_spec *spec)
{
    return pm_spec_tasks_that_fit(spec, room[0], room[1], room[2]);
}

static void take_off(double *free_room, const struct pm_spec *spec, uint32_t tasks)
{
    free_room[0] -= tasks * spec->cpus;
    free_room[1] -= tasks * spec->gpus;
    free_room[2] -= tasks * spec->ram_gb;
}

/* Tasks of the job that whole machines of the leader's own block have room for now; those it takes
 * are marked with `mark`, and counted. */
static uint32_t whole_room(struct pm_shards *b, const struct pm_job *job, const GPtrArray *whole,
                           guint *taken, guint mark, unsigned *machines, double now)
{
    uint32_t n = 0;

    *machines = 0;

    for (guint i = 0; i < whole->len && n < job->parallelism; i++) {
        struct pm_machine *m = g_ptr_array_index(whole, i);
        double room[3];
        if (taken[i] || !pm_scheduler_is_machine_leasable(b->plan, m, job, now))
            continue;
        room[0] = m->free.cpus;
        room[1] = m->free.gpus;
        room[2] = m->free.ram_gb;
        n += room_fit(room, job->spec);
        taken[i] = mark;
        ++*machines;
    }
    return n;
}

/* A job goes to a holder where whole machines are free for as much of it as may run at once, and
 * its block's value holds them; one that has to be squeezed in between others stays with the
 * leader, which sees all the room. */
void pm_shards_assign_jobs(struct pm_shards *b, double now)
{
    GPtrArray *active = pm_jobs_active(b->jobs);
    const GPtrArray *whole =
        pm_scheduler_find_idle_machines(b->plan, pm_election_epoch(b->lead), now);
    guint *taken = g_new0(guint, whole->len + 1);

    widen(b);
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        struct block *best = NULL;
        unsigned machines = 0;
        if (!delegable(job))
            continue;
        /* What its lease allows at once counts against the limit as long as it is delegated. */
        job->parallelism =
            MIN(pm_scheduler_leasable_tasks(b->plan, job->spec, KEPT_SHARE), job->task_count);
        if (job->parallelism &&
            whole_room(b, job, whole, taken, i + 1, &machines, now) >= job->parallelism)
            for (int j = 0; j < b->n - 1; j++) {
                struct block *k = &b->block[j];
                if (alive(k, now) && has_space(b, k, machines) && (!best || load(k) < load(best)))
                    best = k;
            }
        if (!best) {
            job->parallelism = UINT32_MAX;
            continue;
        }
        job->delegated = true;
        pm_scheduler_charge_lease(b->plan, job->spec, job->parallelism);
        g_ptr_array_add(best->given, job);
        best->dirty = true;
        pm_debug("shard.job_assigned", "%s of %s to %s, %u at once", job->id,
                 b->tables->settings->teams[job->spec->team].name, best->name, job->parallelism);
    }
    g_free(taken);
}

static struct block *block_of(struct pm_shards *b, const struct pm_job *job)
{
    for (int i = 0; i < b->n - 1; i++)
        if (g_ptr_array_find(b->block[i].given, job, NULL))
            return &b->block[i];
    return NULL;
}

struct shortage {
    struct pm_job *job;
    struct block *block;
    uint32_t waiting; /* tasks that could run now */
};

/* Room on each machine that is away, by what the replica says is there. */
static double (*room_away(struct pm_shards *b, uint32_t *tasks_on))[3]
{
    GPtrArray *all = pm_workers_all(b->workers);
    GPtrArray *active = pm_jobs_active(b->jobs);
    double(*room)[3] = g_malloc0(sizeof(double[3]) * (all->len + 1));

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || !m->shard.owner || m->type < 0)
            continue;
        room[i][0] = b->tables->types[m->type].cpus;
        room[i][1] = b->tables->types[m->type].gpus;
        room[i][2] = b->tables->types[m->type].ram_gb;
    }
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->delegated || !job->spec)
            continue;
        for (int k = 0; k < job->chunk_count; k++) {
            const GArray *stored_places = job->chunks[k] ? job->chunks[k]->stored_placements : NULL;
            for (guint s = 0; stored_places && s < stored_places->len; s++) {
                int index = g_array_index(stored_places, struct pm_stored_placement, s).machine;
                if (index < 0 || index >= (int)all->len)
                    continue;
                take_off(room[index], job->spec, 1);
                tasks_on[index]++;
            }
        }
    }
    return room;
}

static void use_held(struct pm_shards *b, struct shortage *s, double (*room)[3], bool *used)
{
    for (guint i = 0; i < s->block->entries->len && s->waiting; i++) {
        struct entry *e = &g_array_index(s->block->entries, struct entry, i);
        const struct pm_machine *m = pm_workers_at(b->workers, e->machine);
        uint32_t n;
        if (!m || e->state > HELD ||
            !pm_scheduler_is_machine_allowed(b->tables, s->job, m->type, m->zone, m->spot))
            continue;
        n = MIN(room_fit(room[e->machine], s->job->spec), s->waiting);
        take_off(room[e->machine], s->job->spec, n);
        s->waiting -= n;
        used[e->machine] |= n > 0;
    }
}

static void use_new(struct pm_shards *b, struct shortage *s, double (*room)[3], bool *used,
                    double now)
{
    while (s->waiting && alive(s->block, now) && has_space(b, s->block, 1)) {
        struct pm_machine *m = pm_scheduler_pick_idle_machine(b->plan, s->job, s->waiting, now);
        struct entry e = {.state = ADDING};
        uint32_t n;
        if (!m)
            return;
        e.machine = m->index;
        m->shard.owner = (int)(s->block - b->block) + 1;
        room[m->index][0] = m->free.cpus;
        room[m->index][1] = m->free.gpus;
        room[m->index][2] = m->free.ram_gb;
        n = MIN(room_fit(room[m->index], s->job->spec), s->waiting);
        take_off(room[m->index], s->job->spec, n);
        s->waiting -= n;
        used[m->index] = true;
        g_array_append_val(s->block->entries, e);
        s->block->dirty = true;
        pm_debug("shard.machine_assigned", "%s to %s", m->name, s->block->name);
    }
}

/* Work beyond its team's guarantee yields to a team within its own, across blocks: the leader calls
 * machines back on which only such work runs. */
static void call_back_for(struct pm_shards *b, const struct shortage *s, const bool *used)
{
    uint32_t missing = s->waiting;

    for (int i = 0; missing && i < b->n - 1; i++) {
        struct block *k = &b->block[i];
        for (guint j = 0; missing && j < k->entries->len; j++) {
            struct entry *e = &g_array_index(k->entries, struct entry, j);
            const struct pm_machine *m = pm_workers_at(b->workers, e->machine);
            double room[3];
            uint32_t n;
            if (!m || m->type < 0 || e->state != HELD || used[e->machine] ||
                !pm_scheduler_is_machine_allowed(b->tables, s->job, m->type, m->zone, m->spot) ||
                !pm_scheduler_may_preempt_machine(b->plan, s->job, e->machine))
                continue;
            room[0] = b->tables->types[m->type].cpus;
            room[1] = b->tables->types[m->type].gpus;
            room[2] = b->tables->types[m->type].ram_gb;
            n = room_fit(room, s->job->spec);
            if (!n)
                continue;
            e->state = LEAVING;
            e->stop = true;
            k->asked = 0;
            missing -= MIN(n, missing);
            pm_info("shard.machine_recalled", "%s back from %s for %s", m->name, k->name,
                    s->job->id);
        }
    }
}

static bool being_called(const struct pm_shards *b)
{
    for (int i = 0; i < b->n - 1; i++)
        for (guint j = 0; j < b->block[i].entries->len; j++) {
            const struct entry *e = &g_array_index(b->block[i].entries, struct entry, j);
            if (e->state >= LEAVING && e->stop)
                return true;
        }
    return false;
}

/* Machines without tasks, and without any coming, go back to the leader. */
static void call_idle(struct pm_shards *b, const uint32_t *tasks_on, const bool *used, double now)
{
    for (int i = 0; i < b->n - 1; i++) {
        struct block *k = &b->block[i];
        for (guint j = 0; j < k->entries->len; j++) {
            struct entry *e = &g_array_index(k->entries, struct entry, j);
            if (e->state != HELD || tasks_on[e->machine] || used[e->machine]) {
                e->idle_since = 0;
                continue;
            }
            if (!e->idle_since)
                e->idle_since = now;
            if (now - e->idle_since >= IDLE_BACK_S)
                e->state = LEAVING;
        }
    }
}

void pm_shards_assign_machines(struct pm_shards *b, double now)
{
    GPtrArray *all = pm_workers_all(b->workers);
    GPtrArray *queue = g_ptr_array_new();
    uint32_t *tasks_on = g_new0(uint32_t, all->len + 1);
    bool *used = g_new0(bool, all->len + 1), called = being_called(b);
    double(*room)[3] = room_away(b, tasks_on);
    struct shortage *short_of;

    pm_scheduler_find_idle_machines(b->plan, pm_election_epoch(b->lead), now);
    for (int i = 0; i < b->n - 1; i++)
        for (guint j = 0; j < b->block[i].given->len; j++) {
            struct pm_job *job = g_ptr_array_index(b->block[i].given, j);
            if (job->state == PM_JOB_LIVE && job->spec)
                g_ptr_array_add(queue, job);
        }
    pm_scheduler_rank(b->plan, queue);
    short_of = g_new0(struct shortage, queue->len + 1);
    for (guint i = 0; i < queue->len; i++) {
        struct pm_job *job = g_ptr_array_index(queue, i);
        uint32_t done;
        uint32_t placed;
        uint32_t left;
        pm_job_count_tasks(job, &done, &placed);
        left = job->task_count - MIN(job->task_count, done + placed);
        short_of[i].job = job;
        short_of[i].waiting = MIN(left, job->parallelism - MIN(job->parallelism, placed));
        short_of[i].block = block_of(b, job);
        if (pm_failures_is_job_failing(job)) /* its holder tries it with one task at a time */
            short_of[i].waiting = placed ? 0 : MIN(short_of[i].waiting, 1);
        use_held(b, &short_of[i], room, used);
    }
    /* What is within a guarantee goes first, ratio order in both. */
    for (int pass = 0; pass < 2; pass++)
        for (guint i = 0; i < queue->len; i++) {
            struct shortage part = short_of[i];
            if (!part.waiting)
                continue;
            if (pass == 0)
                part.waiting =
                    MIN(part.waiting, pm_scheduler_tasks_within_guarantee(b->plan, part.job));
            short_of[i].waiting -= part.waiting;
            use_new(b, &part, room, used, now);
            short_of[i].waiting += part.waiting;
            if (pass == 0 && part.waiting && !called)
                call_back_for(b, &part, used);
        }
    for (guint i = 0; i < queue->len; i++)
        if (short_of[i].waiting && !pm_failures_is_job_failing(short_of[i].job))
            pm_scheduler_add_unmet_demand(b->plan, short_of[i].job, short_of[i].waiting);
    call_idle(b, tasks_on, used, now);
    g_free(short_of);
    g_free(room);
    g_free(used);
    g_free(tasks_on);
    g_ptr_array_free(queue, TRUE);
}
