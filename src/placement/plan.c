#include "placement/plan.h"
#include "base/log.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { DRAINING_MAX = 3, BUCKETS = 96, CLASSES_MAX = 256, STEPS_MAX = 400 };
#define EPS 1e-6
#define CLAIM_S 8.0        /* room cleared for a gang is kept for it so long */
#define CROWDED 0.25       /* of a machine: see crowded() */
#define YOUNG_S 35.0       /* a replica is not moved within this of its start */
#define LATE_S 1.0         /* where no objective says how soon a class is to start */
#define BEGIN_S 215.0      /* within which every job is to have begun whole: see mark_overdue */
#define OLD_S 150.0        /* what has waited for less is not looked at for that */
#define OVERDUE_SHARE 0.75 /* of the machines that may go to what would be late for that */
#define GANG_ROOM_S 45.0   /* a gang's room takes so long to come free */
#define SURE_SHARE 0.7     /* of the machines' time, to be counted on for that */
#define NO_DUE 1e12        /* more than any work */
#define FETCH_WEIGHT 0.3   /* of a second of fetching in a service's score */
#define LEAVE_EXTRA_S 1.0  /* granted beyond filing_s, so that the save ends in time */

struct ledger { /* a team's occupied machine-seconds in a window of buckets */
    double bucket[BUCKETS];
    double sum;
};

struct pm_plan {
    struct pm_books *books;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    const struct pm_operator *op;
    struct ledger ledger[PM_TEAMS_MAX];
    long bucket; /* the bucket in force, counted in time of day */
    double charged_at;
    double cpus[PM_TEAMS_MAX], gpus[PM_TEAMS_MAX]; /* in use, or leased out: for the limits */
    double actual[PM_TEAMS_MAX];                   /* processors in use: for the guarantees */
    double yielding[PM_TEAMS_MAX];                 /* processors of tasks that are being stopped */
    double promised[PM_TEAMS_MAX]; /* processors that are being made free for the team */
    GArray *wants;
    GPtrArray *queue;
    double ratio[PM_TEAMS_MAX];
    double factor[CLASSES_MAX]; /* measured run time over the owner's estimate, 0: unknown */
    double reserve;             /* processors on ordinary machines kept for services */
    int steps;
    bool sees_all, writable;
    double day;        /* time of day of the run under way */
    double cold_until; /* steady: no service ran a while before this */
    bool cold;
    /* Of the run under way, so that its work goes with what can change, not with all there is. */
    GPtrArray *room;  /* machines that may be used and are not full */
    GArray *hopeless; /* of struct need: found no room, and room only shrinks within a run */
    bool soon[PM_TYPES_MAX][PM_ZONES_MAX][2]; /* one boots: type, zone, spot */
    double spare;                             /* see pm_plan_whole, below 0: not counted yet */
    struct totals {
        double at, spare, largest, pool; /* as of that time; see pm_plan_spare and its kin */
    } totals;
    GPtrArray *whole; /* see pm_plan_find_whole */
};

/* What decides whether a task finds room, as far as jobs share it. */
struct need {
    uint64_t types;
    uint32_t zones; /* bit i: may start in zone i */
    int team;       /* -1: whichever */
    enum pm_priority priority;
    bool spot;
    double cpus, gpus, ram_gb;
};

struct pm_plan *pm_plan_new(struct pm_books *books, struct pm_jobs *jobs,
                            struct pm_workers *workers, const struct pm_operator *op)
{
    struct pm_plan *p = g_new0(struct pm_plan, 1);

    p->books = books;
    p->jobs = jobs;
    p->workers = workers;
    p->op = op;
    p->sees_all = p->writable = true;
    p->wants = g_array_new(FALSE, FALSE, sizeof(struct pm_want));
    p->queue = g_ptr_array_new();
    p->room = g_ptr_array_new();
    p->whole = g_ptr_array_new();
    p->hopeless = g_array_new(FALSE, TRUE, sizeof(struct need));
    return p;
}

void pm_plan_free(struct pm_plan *p)
{
    g_array_free(p->wants, TRUE);
    g_ptr_array_free(p->queue, TRUE);
    g_ptr_array_free(p->room, TRUE);
    g_ptr_array_free(p->whole, TRUE);
    g_array_free(p->hopeless, TRUE);
    g_free(p);
}

void pm_plan_reset(struct pm_plan *p)
{
    p->charged_at = 0;
    g_array_set_size(p->wants, 0);
}

const GArray *pm_plan_wants(const struct pm_plan *p)
{
    return p->wants;
}

void pm_plan_set_reserve(struct pm_plan *p, double cpus)
{
    p->reserve = cpus;
}

void pm_plan_set_sees_all(struct pm_plan *p, bool sees_all)
{
    p->sees_all = sees_all;
}

void pm_plan_set_writable(struct pm_plan *p, bool writable)
{
    p->writable = writable;
}

/* ---- the ledger ---- */

/* Best-effort work declares a minimum runtime of zero: it is unallocated and free of charge. */
static bool unallocated(const struct pm_job *job)
{
    return job->spec->priority == PM_BEST_EFFORT;
}

static double machine_share(const struct pm_books *books, const struct pm_spec *spec,
                            const struct pm_machine *m)
{
    const struct pm_type *t = &books->type[m->type];
    double share = MAX(spec->cpus / MAX(t->cpus, EPS), spec->ram_gb / MAX(t->ram_gb, EPS));

    return t->gpus > 0 ? MAX(share, spec->gpus / t->gpus) : share;
}

static void turn_buckets(struct pm_plan *p, double day)
{
    double width = p->op->window_h * 3600 / BUCKETS;
    /* Counted from a window before the epoch of time, so that no index is below zero. */
    long bucket = (long)(day / width) + BUCKETS;

    if (bucket - p->bucket > BUCKETS)
        p->bucket = bucket - BUCKETS;
    while (p->bucket < bucket) {
        p->bucket++;
        for (int t = 0; t < p->books->settings->teams; t++) {
            double *old = &p->ledger[t].bucket[p->bucket % BUCKETS];
            p->ledger[t].sum -= *old;
            *old = 0;
        }
    }
}

static void charge(struct pm_plan *p, const struct pm_job *job, const struct pm_machine *m,
                   double span)
{
    struct ledger *l = &p->ledger[job->spec->team];
    double amount = span * machine_share(p->books, job->spec, m);

    if (unallocated(job))
        return;
    l->bucket[p->bucket % BUCKETS] += amount;
    l->sum += amount;
}

/* Jobs that holders place: their leases' width counts for the limits, what the replica says of them
 * for the guarantees and the ledger. */
static void account_away(struct pm_plan *p, double span)
{
    GPtrArray *active = pm_jobs_active(p->jobs);

    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        const struct pm_spec *spec = job->spec;
        uint32_t done, placed, width;
        if (!job->away || !spec || job->width == UINT32_MAX)
            continue;
        /* What is done, durably, never runs again: it takes nothing of the limit any more. */
        pm_jobs_count(job, &done, &placed);
        width = MIN(job->width, job->entries - MIN(done, job->entries));
        p->cpus[spec->team] += width * spec->cpus;
        p->gpus[spec->team] += width * spec->gpus;
        for (int k = 0; k < job->nchunks; k++) {
            const GArray *spots = job->chunk[k] ? job->chunk[k]->spots : NULL;
            for (guint s = 0; spots && s < spots->len; s++) {
                const struct pm_machine *m =
                    pm_workers_at(p->workers, g_array_index(spots, struct pm_spot, s).machine);
                p->actual[spec->team] += spec->cpus;
                if (m && m->type >= 0)
                    charge(p, job, m, span);
            }
        }
    }
}

/* Adds what ran since the last run to the teams' occupied time, and counts what they use now. */
static void account(struct pm_plan *p, double now, double day)
{
    GPtrArray *all = pm_workers_all(p->workers);
    double span = p->charged_at ? MIN(now - p->charged_at, 5) : 0;

    turn_buckets(p, day);
    for (int t = 0; t < p->books->settings->teams; t++)
        p->cpus[t] = p->gpus[t] = p->actual[t] = p->yielding[t] = p->promised[t] = 0;
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        for (guint j = 0; m && j < m->places->len; j++) {
            const struct pm_place *place = g_ptr_array_index(m->places, j);
            const struct pm_spec *spec = place->job->spec;
            if (place->state == PM_ENDED)
                continue;
            p->cpus[spec->team] += spec->cpus;
            p->gpus[spec->team] += spec->gpus;
            p->actual[spec->team] += spec->cpus;
            if (place->stop)
                p->yielding[spec->team] += spec->cpus;
            if (m->type >= 0 && place->state >= PM_DURABLE)
                charge(p, place->job, m, span);
        }
    }
    account_away(p, span);
    p->charged_at = now;
}

double pm_plan_ratio(struct pm_plan *p, int team)
{
    const struct pm_settings *s = p->books->settings;
    double total = 0, mine;

    for (int t = 0; t < s->teams; t++)
        total += s->team[t].cpus;
    mine = total > 0 ? s->team[team].cpus / total : 1.0 / s->teams;
    return p->ledger[team].sum / MAX(mine, 1e-3);
}

/* As JSON, so far as it fits the value: a table of the images, and for each machine their places in
 * it, ordinary machines first, for those are the services'. */
static void write_images(const struct pm_plan *p, struct pm_buf *out)
{
    GPtrArray *all = pm_workers_all(p->workers);
    size_t most = (size_t)(p->books->settings->value_kb * 1024 * 0.85), used = 100;
    int count = pm_names_count(p->books->images), known = 0;
    int *place = g_new(int, count + 1);
    struct pm_buf machines = {0};

    for (int i = 0; i < count; i++)
        place[i] = -1;
    for (int t = 0; t < p->books->settings->teams; t++)
        used += strlen(p->books->settings->team[t].name) + 24;
    for (int z = 0; z < p->books->settings->zones; z++)
        used += strlen(p->books->settings->zone_name[z]) + 24;
    pm_put_text(out, "table");
    pm_put_list(out);
    for (int spot = 0; spot < 2; spot++)
        for (guint i = 0; i < all->len && used < most; i++) {
            const struct pm_machine *m = g_ptr_array_index(all, i);
            if (!m || !m->ncached || m->state != PM_UP || m->spot != spot)
                continue;
            pm_put_text(&machines, m->name);
            pm_put_list(&machines);
            used += strlen(m->name) + 6;
            for (int k = 0; k < m->ncached && used < most; k++) {
                const struct pm_cached *c = &m->cached[k];
                if (place[c->image] < 0) {
                    const char *image = pm_names_text(p->books->images, c->image);
                    place[c->image] = known++;
                    pm_put_text(out, image);
                    pm_put_number(out, ceil(c->gb * 100) / 100);
                    used += strlen(image) + 12;
                }
                pm_put_count(&machines, (uint64_t)place[c->image]);
                used += 4;
            }
            pm_put_end(&machines);
        }
    pm_put_end(out);
    pm_put_text(out, "images");
    pm_put_map(out);
    pm_buf_add(out, machines.data, machines.size);
    pm_put_end(out);
    pm_buf_free(&machines);
    g_free(place);
}

void pm_plan_read_images(struct pm_plan *p, const cbor_item_t *value)
{
    GPtrArray *all = pm_workers_all(p->workers);
    cbor_item_t *images = pm_cbor_get(value, "images"), *table = pm_cbor_get(value, "table");
    char name[PM_NAME_MAX];
    uint64_t place;

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        cbor_item_t *list = m ? pm_cbor_get(images, m->name) : NULL;
        if (!list || m->ncached)
            continue;
        for (size_t k = 0; k < pm_cbor_length(list) && m->ncached < PM_CACHE_MAX; k++) {
            struct pm_cached *c = &m->cached[m->ncached];
            if (pm_cbor_count(pm_cbor_at(list, k), &place) || place >= pm_cbor_length(table) / 2 ||
                pm_cbor_text(pm_cbor_at(table, 2 * place), name, sizeof name) ||
                pm_cbor_number(pm_cbor_at(table, 2 * place + 1), &c->gb))
                continue;
            c->image = pm_names_add(p->books->images, name);
            m->ncached++;
        }
    }
}

/* When each zone was last heard, in time of day: a new leader that never hears one can tell from it
 * when the leases there ran out. */
static void write_heard(const struct pm_plan *p, double now, double day, struct pm_buf *out)
{
    const struct pm_settings *s = p->books->settings;
    GPtrArray *all = pm_workers_all(p->workers);
    double heard[PM_ZONES_MAX] = {0};

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && m->reported && m->zone >= 0 && !m->lent)
            heard[m->zone] = MAX(heard[m->zone], m->heard);
    }
    pm_put_text(out, "heard");
    pm_put_map(out);
    for (int z = 0; z < s->zones; z++)
        if (heard[z] > 0)
            pm_put_pair_number(out, s->zone_name[z], day - (now - heard[z]));
    pm_put_end(out);
}

void pm_plan_write_ledger(const struct pm_plan *p, double now, double day, struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_pair_number(out, "day", day);
    pm_put_text(out, "teams");
    pm_put_map(out);
    for (int t = 0; t < p->books->settings->teams; t++)
        pm_put_pair_number(out, p->books->settings->team[t].name, p->ledger[t].sum);
    pm_put_end(out);
    write_heard(p, now, day, out);
    write_images(p, out);
    pm_put_end(out);
}

void pm_plan_read_ledger(struct pm_plan *p, const cbor_item_t *value)
{
    cbor_item_t *teams = pm_cbor_get(value, "teams");
    double day;

    if (pm_cbor_number(pm_cbor_get(value, "day"), &day))
        return;
    memset(p->ledger, 0, sizeof p->ledger[0] * (size_t)p->books->settings->teams);
    p->bucket = (long)(day / (p->op->window_h * 3600 / BUCKETS)) + BUCKETS;
    for (int t = 0; t < p->books->settings->teams; t++) {
        struct ledger *l = &p->ledger[t];
        if (pm_cbor_number(pm_cbor_get(teams, p->books->settings->team[t].name), &l->sum))
            l->sum = 0;
        /* The total alone is kept: its age is taken to be even over half the window. */
        for (int b = 0; b < BUCKETS / 2; b++)
            l->bucket[(p->bucket - b + BUCKETS) % BUCKETS] = l->sum / (BUCKETS / 2);
    }
}

/* ---- run times ---- */

void pm_plan_learn(struct pm_plan *p, struct pm_job *job, double seconds)
{
    int c = job->spec->class_index;
    double ratio;

    job->ran_sum += seconds;
    job->ran_n++;
    if (c >= CLASSES_MAX || job->spec->expected_s <= 0)
        return;
    /* Slowly: the tasks of one job are all off by much the same. */
    ratio = CLAMP(seconds / job->spec->expected_s, 0.1, 10);
    p->factor[c] = (p->factor[c] > 0 ? p->factor[c] : 1) * 0.99 + ratio * 0.01;
}

double pm_plan_expected(const struct pm_plan *p, const struct pm_job *job)
{
    int c = job->spec->class_index;
    double factor = c < CLASSES_MAX && p->factor[c] > 0 ? p->factor[c] : 1;

    return (job->spec->expected_s * factor + job->ran_sum) / (1 + job->ran_n);
}

/* ---- fit ---- */

bool pm_plan_allows(const struct pm_books *books, const struct pm_job *job, int type, int zone,
                    bool spot)
{
    const struct pm_spec *spec = job->spec;

    return type >= 0 && type < books->ntypes && zone >= 0 && (spec->types >> type & 1) &&
           (spec->zone < 0 || spec->zone == zone) && (!spot || spec->spot);
}

/* Heard as lately as reports come on a quiet day: a machine that misses one may be dead. */
static bool usable(const struct pm_plan *p, const struct pm_machine *m, double now)
{
    return m->state == PM_UP && m->reported && !m->lent && !m->leaving && !m->draining &&
           !m->recall_at && m->errors < 3 && !m->unheard && pm_workers_proven(m) &&
           m->strays->len == 0 && !pm_workers_silent(m, p->books->settings, now);
}

static bool has_room(const struct pm_machine *m, const struct pm_spec *spec)
{
    return m->cpus + EPS >= spec->cpus && m->gpus + EPS >= spec->gpus &&
           m->ram_gb + EPS >= spec->ram_gb;
}

static bool has_image(const struct pm_machine *m, int image)
{
    for (int i = 0; i < m->ncached; i++)
        if (m->cached[i].image == image)
            return true;
    return false;
}

/* Where the job's tasks are that are not proven gone: per zone, and on one machine. */
struct spread {
    uint32_t zone[PM_ZONES_MAX];
    uint32_t unknown; /* on machines that a new leader has not heard of yet: in any zone */
    uint32_t total;
};

static void count_zones(const struct pm_job *job, struct spread *out)
{
    memset(out, 0, sizeof *out);
    if (!job->nplaced || !(job->spec->spread || job->spec->same_place))
        return; /* nobody asks */
    for (uint32_t i = 0; i < job->entries; i++) {
        const struct pm_task *task = pm_job_peek(job, i);
        if (!task || !task->place || task->place->state == PM_ENDED)
            continue;
        if (task->place->machine->zone >= 0)
            out->zone[task->place->machine->zone]++;
        else
            out->unknown++;
        out->total++;
    }
}

static bool zone_ok(const struct pm_job *job, const struct spread *at, int zone)
{
    const struct pm_spec *spec = job->spec;

    if (spec->same_place && at->total && at->zone[zone] < at->total)
        return false;
    return !spec->spread || at->zone[zone] + at->unknown < (spec->entries + 1) / 2;
}

static struct need need_of(const struct pm_plan *p, const struct pm_job *job,
                           const struct spread *at, int team)
{
    const struct pm_spec *spec = job->spec;
    struct need need;

    memset(&need, 0, sizeof need); /* compared byte by byte */
    need.types = spec->types;
    need.team = team;
    need.priority = spec->priority;
    need.spot = spec->spot;
    need.cpus = spec->cpus;
    need.gpus = spec->gpus;
    need.ram_gb = spec->ram_gb;
    for (int z = 0; z < p->books->settings->zones; z++)
        if ((spec->zone < 0 || spec->zone == z) && zone_ok(job, at, z))
            need.zones |= 1u << z;
    return need;
}

static bool hopeless(const struct pm_plan *p, const struct need *need)
{
    for (guint i = 0; i < p->hopeless->len; i++)
        if (!memcmp(&g_array_index(p->hopeless, struct need, i), need, sizeof *need))
            return true;
    return false;
}

static uint32_t of_job(const struct pm_machine *m, const struct pm_job *job)
{
    uint32_t n = 0;

    for (guint j = 0; j < m->places->len; j++) {
        const struct pm_place *place = g_ptr_array_index(m->places, j);
        n += place->job == job && place->state != PM_ENDED;
    }
    return n;
}

/* Processors on the machine that a production task could have at once: free, or yielding. */
static double yielding_room(const struct pm_machine *m)
{
    double room = m->cpus;

    for (guint j = 0; j < m->places->len; j++) {
        const struct pm_place *place = g_ptr_array_index(m->places, j);
        if (place->state != PM_ENDED && place->job->spec->priority < PM_PRODUCTION)
            room += place->job->spec->cpus;
    }
    return room;
}

/* How soon the users want the class to start. */
static double promise(const struct pm_plan *p, const struct pm_job *job)
{
    const struct pm_settings *s = p->books->settings;
    const char *name = pm_names_text(p->books->classes, job->spec->class_index);

    for (int i = 0; i < s->aims; i++)
        if (!strcmp(s->aim[i].kind, "wait") && !strcmp(s->aim[i].class_name, name) &&
            s->aim[i].within_s > 0)
            return s->aim[i].within_s;
    return LATE_S;
}

/* Whether the job has waited so long that a fetch more or less is no matter, and yet not so long
 * that its replicas are missed: the time to bring its image to one more machine. */
static bool may_fetch(const struct pm_plan *p, const struct pm_machine *m, const struct pm_job *job)
{
    const struct pm_type *t = &p->books->type[m->type];
    double waited = p->day - job->spec->submitted;

    return waited > promise(p, job) &&
           waited + 1.5 * job->spec->image_gb / MAX(t->pull_gb_per_s, EPS) < p->op->replica_due_s;
}

/* Whether the task would take of the last part of the machine, which is left for services that can
 * still start in time, and keeps the loss small should the machine end. */
static bool crowded(const struct pm_plan *p, const struct pm_machine *m, const struct pm_spec *spec)
{
    return yielding_room(m) - spec->cpus < CROWDED * p->books->type[m->type].cpus - EPS;
}

bool pm_plan_boots_soon(const struct pm_books *books, const struct pm_machine *m, double now)
{
    return now - m->rented < 1.4 * books->type[m->type].ready_s + 3;
}

/* Whether a machine that the job may run on is to come up soon. */
static bool boot_expected(const struct pm_plan *p, const struct pm_job *job)
{
    for (int type = 0; type < p->books->ntypes; type++)
        for (int zone = 0; zone < p->books->settings->zones; zone++)
            for (int spot = 0; spot < 2; spot++)
                if (p->soon[type][zone][spot] && pm_plan_allows(p->books, job, type, zone, spot))
                    return true;
    return false;
}

/* On a cold start a replica, late already, rather waits for a machine that boots than crowds the
 * first ones that are up: they would take all, and most machines would never hold most images. */
static bool rather_waits(const struct pm_plan *p, const struct pm_machine *m,
                         const struct pm_job *job)
{
    return job->spec->form == PM_SERVICE && p->cold && crowded(p, m, job->spec) &&
           p->day - job->spec->submitted >= promise(p, job) && boot_expected(p, job);
}

/* Seconds that the machine's fetches of other images take, which an image has to wait for there. */
static double fetches_before(const struct pm_plan *p, const struct pm_machine *m,
                             const struct pm_spec *spec)
{
    double gb = 0;

    for (guint j = 0; j < m->places->len; j++) {
        const struct pm_place *place = g_ptr_array_index(m->places, j);
        const struct pm_spec *other = place->job->spec;
        if (place->state <= PM_FETCHING && other->image != spec->image &&
            !has_image(m, other->image))
            gb += other->image_gb;
    }
    return gb / MAX(p->books->type[m->type].pull_gb_per_s, EPS);
}

static double score(struct pm_plan *p, const struct pm_machine *m, const struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;
    const struct pm_type *t = &p->books->type[m->type];
    bool image = has_image(m, spec->image);
    double value = -2.0 * m->errors;

    if (spec->form == PM_SERVICE) {
        /* Spread: then every machine comes to hold every image, and has some room to start the next
         * service at once. Array tasks use that room meanwhile. */
        if (may_fetch(p, m, job))
            value += image ? 0 : 4;
        else
            value += image ? 10 : -MIN(FETCH_WEIGHT * fetches_before(p, m, spec), 10);
        if (p->cold && crowded(p, m, spec) && p->day - spec->submitted > promise(p, job))
            value -= 8;
        return value - 2.0 * of_job(m, job) + 3 * yielding_room(m) / MAX(t->cpus, EPS);
    }
    value += image ? 3 : 0;
    value += m->spot == spec->spot ? 5 : 0; /* ordinary room is dearer, and services' */
    /* Fill what is fullest, so that others come free and can go back. */
    return value - 2 * (m->cpus - spec->cpus) / MAX(t->cpus, EPS);
}

/* One walk over the machines counts them all: whoever sizes the fleet asks for each of them. */
static const struct totals *count_totals(struct pm_plan *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    struct totals *t = &p->totals;

    if (t->at == now)
        return t;
    *t = (struct totals){.at = now};
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        const struct pm_type *type = m && m->type >= 0 ? &p->books->type[m->type] : NULL;
        double room;
        if (!type || m->state == PM_RELEASING)
            continue;
        if (m->lent || (m->state == PM_BOOTING && pm_plan_boots_soon(p->books, m, now)))
            t->pool += type->cpus;
        if (!usable(p, m, now))
            continue;
        room = yielding_room(m);
        t->pool += room;
        if (m->spot)
            continue;
        t->spare += room;
        t->largest = MAX(t->largest, type->cpus - room);
    }
    return t;
}

double pm_plan_spare(struct pm_plan *p, double now)
{
    return count_totals(p, now)->spare;
}

double pm_plan_largest(struct pm_plan *p, double now)
{
    return count_totals(p, now)->largest;
}

double pm_plan_pool(struct pm_plan *p, double now)
{
    return count_totals(p, now)->pool;
}

/* Whether the machine's room is being cleared for a gang that comes before the job. */
static bool claimed_by_other(const struct pm_machine *m, const struct pm_job *job, double now)
{
    return m->claim && m->claim != job && m->claim->state == PM_LIVE && m->claim->spec &&
           !m->claim->nplaced && now < m->claim->claims_until &&
           job->spec->priority <= m->claim->spec->priority;
}

/* In any zone that the job allows, or in `only_zone` (-1: any). */
static struct pm_machine *best_machine(struct pm_plan *p, const struct pm_job *job,
                                       const struct spread *at, int only_zone, double now)
{
    struct pm_machine *best = NULL;
    double best_score = -INFINITY;

    for (guint i = 0; i < p->room->len; i++) {
        struct pm_machine *m = g_ptr_array_index(p->room, i);
        double value;
        if (!has_room(m, job->spec) || (only_zone >= 0 && m->zone != only_zone) ||
            !pm_plan_allows(p->books, job, m->type, m->zone, m->spot) ||
            !zone_ok(job, at, m->zone) || claimed_by_other(m, job, now))
            continue;
        value = score(p, m, job);
        if (value > best_score) {
            best_score = value;
            best = m;
        }
    }
    return best;
}

/* A production task that would have to fetch its image here, though elsewhere a machine holds it
 * and only lower work has to yield: that one starts it within the second. */
static bool better_cleared(struct pm_plan *p, const struct pm_machine *m, const struct pm_job *job,
                           const struct spread *at, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);

    if (job->spec->priority != PM_PRODUCTION || has_image(m, job->spec->image) ||
        may_fetch(p, m, job) || p->day - job->spec->submitted > 3 * promise(p, job))
        return false;
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *other = g_ptr_array_index(all, i);
        if (other && other->ncached && has_image(other, job->spec->image) &&
            usable(p, other, now) &&
            pm_plan_allows(p->books, job, other->type, other->zone, other->spot) &&
            zone_ok(job, at, other->zone) && yielding_room(other) + EPS >= job->spec->cpus)
            return true;
    }
    return false;
}

/* ---- placing ---- */

/* Within the team's limit, and, if asked, its guarantee. */
static bool within(const struct pm_plan *p, const struct pm_job *job, uint32_t tasks,
                   bool guarantee)
{
    const struct pm_team_setting *team = &p->books->settings->team[job->spec->team];

    if (job->nplaced + tasks > job->width)
        return false; /* the block's lease allows no more at once */
    if (guarantee && (p->actual[job->spec->team] + tasks * job->spec->cpus > team->cpus + EPS ||
                      p->gpus[job->spec->team] + tasks * job->spec->gpus > team->gpus + EPS))
        return false;
    /* Always the limit too: leases out count for it, though they are not in use yet. */
    return p->cpus[job->spec->team] + tasks * job->spec->cpus <= team->cpus_max + EPS &&
           p->gpus[job->spec->team] + tasks * job->spec->gpus <= team->gpus_max + EPS;
}

static void put_task(struct pm_plan *p, struct pm_job *job, uint32_t index, struct pm_machine *m,
                     uint32_t attempt, struct spread *at, double now)
{
    pm_workers_place(p->workers, job, index, m, attempt, m->session, PM_INTENT, now);
    pm_job_touch(job, index);
    p->cpus[job->spec->team] += job->spec->cpus;
    p->gpus[job->spec->team] += job->spec->gpus;
    p->actual[job->spec->team] += job->spec->cpus;
    at->zone[m->zone]++;
    at->total++;
    p->steps++;
    if (m->cpus < EPS)
        g_ptr_array_remove(p->room, m);
    pm_debug("plan.place", "%s/%u try %u on %s, %s uses %g", job->id, index, attempt, m->name,
             p->books->settings->team[job->spec->team].name, p->cpus[job->spec->team]);
}

/* The next waiting task from `from` on, or `entries`. Those that rest after errors are skipped. */
static uint32_t next_waiting(struct pm_job *job, uint32_t from, double now)
{
    for (uint32_t i = from; i < job->entries; i++) {
        const struct pm_task *task = pm_job_peek(job, i);
        if (!task || (!task->done && !task->place && task->not_before <= now))
            return i;
    }
    return job->entries;
}

static uint32_t place_tasks(struct pm_plan *p, struct pm_job *job, bool guarantee, double now)
{
    struct pm_machine *m = NULL;
    struct spread at;
    uint32_t placed = 0, i;
    const struct pm_task *task;

    while (job->hint < job->entries && (task = pm_job_peek(job, job->hint)) &&
           (task->done || task->place))
        job->hint++;
    i = job->hint;
    count_zones(job, &at);
    while (p->steps < STEPS_MAX) {
        i = next_waiting(job, i, now);
        if (i >= job->entries || !within(p, job, 1, guarantee))
            break;
        /* Array tasks fill a machine before the next one is looked for. */
        if (!m || job->spec->form != PM_ARRAY || job->spec->spread || !has_room(m, job->spec)) {
            struct need need = need_of(p, job, &at, -1);
            if (hopeless(p, &need))
                break;
            m = best_machine(p, job, &at, -1, now);
            if (!m)
                g_array_append_val(p->hopeless, need);
        }
        if (!m || better_cleared(p, m, job, &at, now) || rather_waits(p, m, job))
            break;
        put_task(p, job, i, m, ++job->last_try, &at, now);
        placed++;
        i++;
    }
    return placed;
}

/* A gang starts whole: every task gets its machine in this run, or none does. */
static bool place_gang(struct pm_plan *p, struct pm_job *job, int only_zone, bool guarantee,
                       double now)
{
    struct spread at = {0};
    struct pm_machine **chosen;
    bool ok = true;

    if (!within(p, job, job->entries, guarantee))
        return false;
    chosen = g_new0(struct pm_machine *, job->entries);
    for (uint32_t i = 0; ok && i < job->entries; i++) {
        chosen[i] = best_machine(p, job, &at, only_zone, now);
        ok = chosen[i] != NULL;
        if (ok) { /* taken for the time being, so that the next task sees it */
            chosen[i]->cpus -= job->spec->cpus;
            chosen[i]->gpus -= job->spec->gpus;
            chosen[i]->ram_gb -= job->spec->ram_gb;
            at.zone[chosen[i]->zone]++;
            at.total++;
        }
    }
    for (uint32_t i = 0; i < job->entries && chosen[i]; i++) {
        chosen[i]->cpus += job->spec->cpus;
        chosen[i]->gpus += job->spec->gpus;
        chosen[i]->ram_gb += job->spec->ram_gb;
    }
    if (ok) {
        job->last_try++;
        for (uint32_t i = 0; i < job->entries; i++)
            put_task(p, job, i, chosen[i], job->last_try, &at, now);
    }
    g_free(chosen);
    return ok;
}

/* How many tasks of the gang the machine has room for once its array tasks have ended, and what is
 * being stopped is gone. */
static uint32_t room_to_come(struct pm_plan *p, const struct pm_machine *m,
                             const struct pm_job *job, int only_zone, double now)
{
    double room[3] = {m->cpus, m->gpus, m->ram_gb};

    if (!usable(p, m, now) || (only_zone >= 0 && m->zone != only_zone) ||
        claimed_by_other(m, job, now) || !pm_plan_allows(p->books, job, m->type, m->zone, m->spot))
        return 0;
    for (guint j = 0; j < m->places->len; j++) {
        const struct pm_place *place = g_ptr_array_index(m->places, j);
        const struct pm_spec *spec = place->job->spec;
        if (place->state == PM_ENDED || (spec->form != PM_ARRAY && !place->stop))
            continue;
        room[0] += spec->cpus;
        room[1] += spec->gpus;
        room[2] += spec->ram_gb;
    }
    return pm_spec_fit(job->spec, room[0], room[1], room[2]);
}

/* A gang that waited too long to begin, and may stop nothing: machines where it would fit but for
 * array tasks, which end by themselves, are kept from other work until all of it has its room. */
static bool await_room(struct pm_plan *p, struct pm_job *job, int only_zone, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    uint32_t n = 0, fit;

    for (guint i = 0; i < all->len && n < job->entries; i++)
        if (g_ptr_array_index(all, i))
            n += room_to_come(p, g_ptr_array_index(all, i), job, only_zone, now);
    if (n < job->entries)
        return false;
    n = 0;
    for (guint i = 0; i < all->len && n < job->entries; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || !(fit = room_to_come(p, m, job, only_zone, now)))
            continue;
        m->claim = job;
        n += fit;
    }
    job->claims_until = now + CLAIM_S;
    return true;
}

static uint32_t place_job(struct pm_plan *p, struct pm_job *job, bool guarantee, double now)
{
    int zones;

    if (job->spec->form != PM_GANG)
        return place_tasks(p, job, guarantee, now);
    /* The old attempt's tasks hold their machines, and their zones, until they are gone. */
    if (job->nplaced || job->ndone || next_waiting(job, 0, now) > 0)
        return 0;
    for (uint32_t i = 0; i < job->entries; i++) {
        const struct pm_task *task = pm_job_peek(job, i);
        if (task && task->not_before > now)
            return 0;
    }
    zones = job->spec->same_place ? p->books->settings->zones : 1;
    for (int zone = 0; zone < zones; zone++)
        if (place_gang(p, job, job->spec->same_place ? zone : -1, guarantee, now))
            return job->entries;
    for (int zone = 0; zone < zones; zone++)
        if (job->overdue && now > job->claims_until - CLAIM_S / 2 &&
            await_room(p, job, job->spec->same_place ? zone : -1, now))
            break;
    return 0;
}

/* ---- preemption ---- */

/* Whether `job` may have `place` stopped to make room.
 *
 * The design's ordinary path: unallocated work yields at once to charged work; a charged task is
 * shielded for its minimum runtime, then yields, if it can resume, to a team of a lower ratio.
 * The rules add two that come first: work of a lower priority yields to a higher one, and work
 * beyond its team's guarantee yields to a team that is within its own. They also forbid stopping
 * work of equal or higher priority in every other case, so ratio alone is not enough. */
static bool may_preempt(struct pm_plan *p, const struct pm_job *job, const struct pm_place *place,
                        double now)
{
    const struct pm_spec *mine = job->spec, *theirs = place->job->spec;
    const struct pm_settings *s = p->books->settings;
    bool is_protected;

    if (place->stop || place->state == PM_ENDED || place->job == job)
        return false;
    if (unallocated(place->job) && !unallocated(job))
        return true;
    if (unallocated(job))
        return false;
    if (p->sees_all && mine->team != theirs->team && theirs->priority < PM_PRODUCTION &&
        p->actual[mine->team] + p->promised[mine->team] + mine->cpus <=
            s->team[mine->team].cpus + EPS &&
        p->actual[theirs->team] - p->yielding[theirs->team] > s->team[theirs->team].cpus + EPS)
        return true;
    if (theirs->priority >= mine->priority)
        return false;
    if (mine->priority >= PM_URGENT)
        return true;
    is_protected = now - place->since < p->op->min_runtime_s;
    return !is_protected && theirs->bookmark_s > 0 && p->ratio[mine->team] < p->ratio[theirs->team];
}

/* What is lost when the task is stopped now, in seconds of its work. */
static double loss(const struct pm_place *place, double now)
{
    const struct pm_spec *spec = place->job->spec;
    double ran = place->ran_from ? now - place->ran_from : 0;

    return spec->bookmark_s > 0 ? spec->filing_s + fmod(ran, spec->bookmark_s) : ran;
}

static double leave_for(const struct pm_place *place, bool hurry)
{
    const struct pm_spec *spec = place->job->spec;

    return spec->bookmark_s > 0 && !hurry ? spec->filing_s + LEAVE_EXTRA_S : 0;
}

struct victim {
    struct pm_place *place;
    double loss;
};

static int by_loss(const void *a, const void *b)
{
    const struct victim *x = a, *y = b;

    return x->loss < y->loss ? -1 : x->loss > y->loss;
}

/* Room on each machine that is spoken for: processors, accelerators, memory. */
typedef double spoken[3];

enum { VICTIMS_MAX = 64 };

/* Whether one more task of the job finds room on the machine once the first `*n` of `victims` are
 * stopped, besides what is being stopped already; `cost` is what that loses. */
static bool can_clear(struct pm_plan *p, const struct pm_job *job, const struct pm_machine *m,
                      const spoken *spoken_for, struct victim victims[VICTIMS_MAX], int *n,
                      double *cost, double now)
{
    const struct pm_spec *need = job->spec;
    double room[3] = {m->cpus, m->gpus, m->ram_gb};
    int found = 0;

    *cost = 0;
    if (!has_image(m, need->image))
        *cost = 1e4 * (1 + fetches_before(p, m, need) +
                       need->image_gb / MAX(p->books->type[m->type].pull_gb_per_s, EPS));
    for (guint j = 0; j < m->places->len && found < VICTIMS_MAX; j++) {
        struct pm_place *place = g_ptr_array_index(m->places, j);
        const struct pm_spec *spec = place->job->spec;
        if (place->stop && place->state != PM_ENDED) {
            room[0] += spec->cpus;
            room[1] += spec->gpus;
            room[2] += spec->ram_gb;
        } else if (may_preempt(p, job, place, now)) {
            victims[found++] = (struct victim){place, loss(place, now)};
        }
    }
    qsort(victims, (size_t)found, sizeof victims[0], by_loss);
    for (int k = 0; k < 3; k++)
        room[k] -= spoken_for[m->index][k];
    for (*n = 0;
         room[0] + EPS < need->cpus || room[1] + EPS < need->gpus || room[2] + EPS < need->ram_gb;
         (*n)++) {
        const struct pm_spec *spec;
        if (*n == found)
            return false;
        spec = victims[*n].place->job->spec;
        room[0] += spec->cpus;
        room[1] += spec->gpus;
        room[2] += spec->ram_gb;
        *cost += 1 + victims[*n].loss * spec->cpus;
    }
    return true;
}

/* Makes room for one task of the job where that loses least, and speaks for it; a machine where
 * enough is being stopped already serves without more. With `dry`, only the latter. */
static struct pm_machine *clear_one(struct pm_plan *p, struct pm_job *job, spoken *spoken_for,
                                    struct spread *at, int only_zone, bool dry, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    struct pm_machine *best = NULL;
    double cost, best_cost = INFINITY;
    struct victim victims[VICTIMS_MAX];
    int n;

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || !usable(p, m, now) || (only_zone >= 0 && m->zone != only_zone) ||
            !pm_plan_allows(p->books, job, m->type, m->zone, m->spot) ||
            !zone_ok(job, at, m->zone) || claimed_by_other(m, job, now) ||
            !can_clear(p, job, m, spoken_for, victims, &n, &cost, now) || cost >= best_cost)
            continue;
        best = m;
        best_cost = cost;
    }
    if (!best)
        return NULL;
    if (!dry) {
        can_clear(p, job, best, spoken_for, victims, &n, &cost, now);
        for (int v = 0; v < n; v++) {
            struct pm_place *place = victims[v].place;
            pm_info("plan.preempt", "%s/%u on %s for %s", place->job->id, place->index, best->name,
                    job->id);
            pm_workers_stop(place, leave_for(place, job->spec->priority == PM_PRODUCTION));
            p->yielding[place->job->spec->team] += place->job->spec->cpus;
            p->steps++;
        }
        p->promised[job->spec->team] += job->spec->cpus;
    }
    spoken_for[best->index][0] += job->spec->cpus;
    spoken_for[best->index][1] += job->spec->gpus;
    spoken_for[best->index][2] += job->spec->ram_gb;
    at->zone[best->zone]++;
    at->total++;
    return best;
}

/* A gang of high priority gets room for all of its tasks or for none, and claims it until it is
 * there: a part of a gang's room would be of use to nobody. */
static void clear_gang(struct pm_plan *p, struct pm_job *job, spoken *spoken_for, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    size_t size = sizeof(spoken) * (all->len + 1);
    int zones = job->spec->same_place ? p->books->settings->zones : 1;

    if (job->spec->priority < PM_URGENT || now < job->claims_until)
        return;
    for (int zone = 0; zone < zones; zone++) {
        int only = job->spec->same_place ? zone : -1;
        spoken *trial = g_memdup2(spoken_for, size);
        struct spread at = {0};
        uint32_t n = 0;
        while (n < job->entries && clear_one(p, job, trial, &at, only, true, now))
            n++;
        g_free(trial);
        if (n < job->entries)
            continue;
        memset(&at, 0, sizeof at);
        job->claims_until = now + CLAIM_S;
        for (n = 0; n < job->entries; n++) {
            struct pm_machine *m = clear_one(p, job, spoken_for, &at, only, false, now);
            if (!m)
                break;
            m->claim = job;
        }
        return;
    }
}

/* The lowest priority of anything that runs. */
static enum pm_priority lowest_priority(struct pm_plan *p)
{
    GPtrArray *all = pm_workers_all(p->workers);
    enum pm_priority lowest = PM_PRODUCTION;

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        for (guint j = 0; m && j < m->places->len; j++) {
            const struct pm_place *place = g_ptr_array_index(m->places, j);
            lowest = MIN(lowest, place->job->spec->priority);
        }
    }
    return lowest;
}

/* Whether a team other than this one uses more than its guarantee. */
static bool beyond_others(const struct pm_plan *p, int team)
{
    const struct pm_settings *s = p->books->settings;

    for (int t = 0; t < s->teams; t++)
        if (t != team && p->actual[t] - p->yielding[t] > s->team[t].cpus + EPS)
            return true;
    return false;
}

void pm_plan_preempt(struct pm_plan *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    enum pm_priority lowest;
    spoken *spoken_for;

    if (!p->writable)
        return;
    lowest = lowest_priority(p);
    spoken_for = g_malloc0(sizeof(spoken) * (all->len + 1));
    for (guint i = 0; i < p->wants->len && p->steps < STEPS_MAX; i++) {
        struct pm_want *want = &g_array_index(p->wants, struct pm_want, i);
        struct pm_job *job = want->job;
        struct spread at;
        uint32_t made = 0;
        /* A replica that rather waits than crowds a machine (rather_waits) would not take the room:
         * what was stopped for it would take it again, and so on without end. */
        if (p->cold && job->spec->form == PM_SERVICE && boot_expected(p, job))
            continue;
        if (job->away)
            continue; /* the leader calls machines back for it */
        if (job->spec->form == PM_GANG) {
            clear_gang(p, job, spoken_for, now);
            continue;
        }
        if (job->spec->priority <= lowest && !(p->sees_all && beyond_others(p, job->spec->team)))
            continue; /* nothing that runs may be stopped for it */
        count_zones(job, &at);
        while (made < MIN(want->tasks, 16)) {
            struct need need = need_of(p, job, &at, job->spec->team);
            if (hopeless(p, &need))
                break;
            if (!clear_one(p, job, spoken_for, &at, -1, false, now)) {
                g_array_append_val(p->hopeless, need);
                break;
            }
            made++;
        }
    }
    g_free(spoken_for);
}

/* ---- notices, gangs that lost a task, cancelled jobs ---- */

static void stop_gang(struct pm_plan *p, struct pm_job *job, double leave_s)
{
    for (uint32_t i = 0; i < job->entries; i++) {
        const struct pm_task *task = pm_job_peek(job, i);
        if (task && task->place && !task->place->stop) {
            pm_workers_stop(task->place, leave_s);
            p->steps++;
        }
    }
}

/* A machine that will be taken: what can save does so now, gangs stop whole, a replica moves, and
 * a task that cannot save runs on only where it may well end in time. */
static void heed_notice(struct pm_plan *p, struct pm_machine *m, double now)
{
    double left = m->recall_at - now;

    for (guint j = 0; j < m->places->len; j++) {
        struct pm_place *place = g_ptr_array_index(m->places, j);
        const struct pm_spec *spec = place->job->spec;
        double remains =
            pm_plan_expected(p, place->job) - (place->ran_from ? now - place->ran_from : 0);
        if (place->stop || place->state == PM_ENDED || place->state == PM_INTENT)
            continue;
        /* The notice may be off by half. */
        if (spec->form != PM_SERVICE && place->ran_from && remains > -10 && remains < left * 0.4)
            continue;
        if (spec->form == PM_GANG) {
            stop_gang(p, place->job, leave_for(place, false));
            continue;
        }
        pm_workers_stop(place, leave_for(place, false));
        p->steps++;
    }
}

/* One whose job is cancelled goes at once; a gang whose attempt lost a task goes whole. */
static void stop_the_lost(struct pm_plan *p, double now)
{
    GPtrArray *active = pm_jobs_active(p->jobs), *all = pm_workers_all(p->workers);

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (job->spec && !job->away && job->spec->form == PM_GANG && job->nplaced &&
            job->state == PM_LIVE && !job->ndone && job->nplaced < job->entries)
            stop_gang(p, job, 0);
    }
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        for (guint j = 0; m && j < m->places->len;) {
            struct pm_place *place = g_ptr_array_index(m->places, j);
            if (place->state == PM_INTENT && (place->job->state != PM_LIVE || place->stop)) {
                /* Never launched: nothing needs proof. */
                uint32_t index = place->index;
                struct pm_job *job = place->job;
                pm_workers_unplace(p->workers, place);
                pm_job_touch(job, index);
                p->steps++;
                continue;
            }
            if (place->job->state != PM_LIVE && place->state != PM_ENDED &&
                !(place->stop && place->leave_s <= 0)) {
                pm_workers_stop(place, 0);
                p->steps++;
            }
            j++;
        }
        if (m && m->recall_at && m->state == PM_UP)
            heed_notice(p, m, now);
    }
}

/* ---- ranking ---- */

static struct pm_plan *ranking; /* qsort has no argument for its comparison */

static int by_rank(const void *a, const void *b)
{
    const struct pm_job *x = *(struct pm_job *const *)a, *y = *(struct pm_job *const *)b;
    double rx, ry;

    /* Production first, whatever the ratios: the rules let it preempt the rest, so ranking it lower
     * would only start work in order to stop it. Unallocated work takes what is left. */
    if ((x->spec->priority == PM_PRODUCTION) != (y->spec->priority == PM_PRODUCTION))
        return x->spec->priority == PM_PRODUCTION ? -1 : 1;
    if (unallocated(x) != unallocated(y))
        return unallocated(x) ? 1 : -1;
    if (x->overdue != y->overdue)
        return x->overdue ? -1 : 1;
    if (x->overdue && x->spec->submitted != y->spec->submitted)
        return x->spec->submitted < y->spec->submitted ? -1 : 1;
    rx = ranking->ratio[x->spec->team];
    ry = ranking->ratio[y->spec->team];
    if (rx != ry)
        return rx < ry ? -1 : 1;
    if (x->spec->priority != y->spec->priority)
        return x->spec->priority > y->spec->priority ? -1 : 1;
    if (x->left != y->left)
        return x->left < y->left ? -1 : 1;
    if (x->spec->submitted != y->spec->submitted)
        return x->spec->submitted < y->spec->submitted ? -1 : 1;
    return strcmp(x->id, y->id);
}

void pm_plan_rank(struct pm_plan *p, GPtrArray *jobs)
{
    ranking = p;
    g_ptr_array_sort(jobs, by_rank);
}

/* The work of each array job that is left: what has least goes first within its team and priority.
 * When there is more than the machines can do, that keeps most jobs in time, whichever time the
 * users reckon by, and needs no estimate of what the machines will do, which a few late jobs would
 * upset for all behind them. Without any time to keep, a job goes after those that have one. */
static void measure_left(struct pm_plan *p)
{
    GPtrArray *active = pm_jobs_active(p->jobs);

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        uint32_t done = job->ndone, placed = job->nplaced;
        job->left = 0;
        if (!job->spec || job->spec->form != PM_ARRAY)
            continue;
        if (job->away) /* the leader knows of these what their holders wrote down */
            pm_jobs_count(job, &done, &placed);
        job->left = (job->entries - MIN(done, job->entries) - 0.5 * placed) * job->spec->cpus *
                    (pm_plan_expected(p, job) + 1);
        if (job->spec->due_s < 0)
            job->left += NO_DUE;
    }
}

static int by_age(const void *a, const void *b)
{
    const struct pm_job *x = *(struct pm_job *const *)a, *y = *(struct pm_job *const *)b;

    if (x->spec->submitted != y->spec->submitted)
        return x->spec->submitted < y->spec->submitted ? -1 : 1;
    return strcmp(x->id, y->id);
}

/* Ratio and size order what waits, and each could hold a job back for ever: a team with a high
 * ratio, the job with most work while others keep coming, a gang that never finds its room in one
 * piece. What would else not begin whole within a bound goes first until it has, the oldest before
 * the others: as late as the machines, with what else is as old, can still do it in time. Never on
 * all of the machines: when there is more than they can do, all would end up waiting for that
 * bound, and hardly anything would be in time. */
static void mark_overdue(struct pm_plan *p, double now)
{
    GPtrArray *active = pm_jobs_active(p->jobs), *old = g_ptr_array_new();
    double pool = MAX(pm_plan_pool(p, now), 1), work = 0, cpus = 0;
    guint overdue = 0;

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        job->overdue = false;
        if (job->spec && job->hurried)
            cpus += job->nplaced * job->spec->cpus;
        if (job->spec && !unallocated(job) && !job->away && pm_job_waiting(job) &&
            p->day - job->spec->submitted > OLD_S)
            g_ptr_array_add(old, job);
    }
    g_ptr_array_sort(old, by_age);
    for (guint i = 0; i < old->len; i++) {
        const struct pm_job *job = g_ptr_array_index(old, i);
        double left = BEGIN_S - (p->day - job->spec->submitted);
        if (job->spec->form == PM_GANG) /* finds its room in one piece, or waits on */
            left -= GANG_ROOM_S;
        else if (job->spec->form == PM_ARRAY)
            work += pm_job_waiting(job) * (pm_plan_expected(p, job) + 1) * job->spec->cpus;
        if (work >= left * pool * SURE_SHARE)
            overdue = i + 1;
    }
    for (guint i = 0; i < overdue && cpus < OVERDUE_SHARE * pool; i++) {
        struct pm_job *job = g_ptr_array_index(old, i);
        job->overdue = job->hurried = true;
        cpus += pm_job_waiting(job) * job->spec->cpus;
    }
    g_ptr_array_free(old, TRUE);
}

static void note_cold_start(struct pm_plan *p, double now)
{
    GPtrArray *active = pm_jobs_active(p->jobs);

    p->cold = now < p->cold_until;
    if (p->cold)
        return;
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (job->spec && job->spec->form == PM_SERVICE && job->nplaced)
            return;
    }
    p->cold_until = now + 2 * p->op->replica_due_s;
    p->cold = true;
}

/* What the run at hand looks at again and again, looked at once. */
static void survey(struct pm_plan *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);

    g_ptr_array_set_size(p->room, 0);
    g_array_set_size(p->hopeless, 0);
    memset(p->soon, 0, sizeof p->soon);
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->type < 0 || m->zone < 0)
            continue;
        if (m->state == PM_BOOTING && pm_plan_boots_soon(p->books, m, now))
            p->soon[m->type][m->zone][m->spot] = true;
        else if (m->cpus > EPS && usable(p, m, now))
            g_ptr_array_add(p->room, m);
    }
}

void pm_plan_begin(struct pm_plan *p, double now, double day)
{
    p->steps = 0;
    p->totals.at = -1;
    p->day = day;
    account(p, now, day);
    stop_the_lost(p, now);
    measure_left(p);
    mark_overdue(p, now);
    note_cold_start(p, now);
    survey(p, now);
    for (int t = 0; t < p->books->settings->teams; t++)
        p->ratio[t] = pm_plan_ratio(p, t);
}

int pm_plan_place(struct pm_plan *p, double now)
{
    GPtrArray *active = pm_jobs_active(p->jobs);
    double held_cpus[PM_TEAMS_MAX] = {0};

    g_ptr_array_set_size(p->queue, 0);
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->away && pm_job_waiting(job))
            g_ptr_array_add(p->queue, job);
    }
    pm_plan_rank(p, p->queue);
    g_array_set_size(p->wants, 0);
    /* What is within a guarantee goes before what is beyond one; ratio order rules in both. Else
     * work that was stopped for a guarantee would be the first to take the room again. */
    for (guint i = 0; i < p->queue->len && p->steps < STEPS_MAX; i++) {
        struct pm_job *job = g_ptr_array_index(p->queue, i);
        if (!unallocated(job))
            place_job(p, job, job->spec->priority != PM_PRODUCTION, now);
    }
    for (guint i = 0; i < p->queue->len; i++) {
        struct pm_job *job = g_ptr_array_index(p->queue, i);
        const struct pm_team_setting *team = &p->books->settings->team[job->spec->team];
        uint32_t left;
        double room;
        if (p->steps < STEPS_MAX)
            place_job(p, job, false, now);
        left = pm_job_waiting(job);
        if (!left || (job->spec->form == PM_GANG && job->nplaced))
            continue;
        /* More than the team's limit allows is no reason to rent or to stop anything. */
        room = team->cpus_max - p->cpus[job->spec->team] - held_cpus[job->spec->team];
        if (job->spec->cpus > 0)
            left = (uint32_t)MIN((double)left, MAX(0, floor((room + EPS) / job->spec->cpus)));
        if (job->spec->form == PM_GANG && left < job->entries)
            continue;
        if (!left)
            continue;
        held_cpus[job->spec->team] += left * job->spec->cpus;
        pm_plan_add_want(p, job, left);
    }
    return p->steps;
}

int pm_plan_run(struct pm_plan *p, double now, double day)
{
    pm_plan_begin(p, now, day);
    pm_plan_place(p, now);
    pm_plan_preempt(p, now);
    return p->steps;
}

/* ---- emptying machines ---- */

/* Whether all that runs on the machine are array tasks and replicas that may move: a start counts
 * only if nothing stops it for a while, so young ones stay. */
static bool movable(const struct pm_machine *m, double now)
{
    for (guint j = 0; j < m->places->len; j++) {
        const struct pm_place *place = g_ptr_array_index(m->places, j);
        if (place->job->spec->form == PM_ARRAY)
            continue; /* ends by itself */
        if (place->job->spec->form != PM_SERVICE || place->state != PM_RUNNING || place->stop ||
            now - place->ran_from < YOUNG_S || now - place->since < YOUNG_S)
            return false;
    }
    return true;
}

/* Whether another machine with the image has room for the place; takes it in `room`. */
static bool takes(struct pm_plan *p, const struct pm_machine *from, const struct pm_place *place,
                  double (*room)[2], double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    const struct pm_spec *spec = place->job->spec;
    struct spread at;

    count_zones(place->job, &at);
    at.zone[from->zone]--;
    at.total--;
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m == from || m->spot || !m->places->len || !has_image(m, spec->image) ||
            !usable(p, m, now) || spec->gpus > 0 ||
            room[i][0] - spec->cpus < CROWDED * p->books->type[m->type].cpus - EPS ||
            room[i][1] + EPS < spec->ram_gb || !zone_ok(place->job, &at, m->zone) ||
            !pm_plan_allows(p->books, place->job, m->type, m->zone, m->spot))
            continue;
        room[i][0] -= spec->cpus;
        room[i][1] -= spec->ram_gb;
        return true;
    }
    return false;
}

/* Moves one replica from the machine with most of them to one with the image and much more room, so
 * that no machine's end takes more than the reserve can hold. */
static void balance(struct pm_plan *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    struct pm_place *best = NULL;
    double best_gain = 0, *room = g_new(double, all->len + 1); /* NAN: not to be used */

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        room[i] = m && !m->spot && usable(p, m, now) ? yielding_room(m) : NAN;
    }
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *from = g_ptr_array_index(all, i);
        double here;
        if (isnan(room[i]))
            continue;
        here = room[i];
        for (guint j = 0; j < from->places->len; j++) {
            struct pm_place *place = g_ptr_array_index(from->places, j);
            const struct pm_spec *spec = place->job->spec;
            if (spec->form != PM_SERVICE || place->state != PM_RUNNING || place->stop ||
                now - place->ran_from < YOUNG_S || spec->spread || spec->same_place)
                continue;
            for (guint k = 0; k < all->len; k++) {
                const struct pm_machine *to = g_ptr_array_index(all, k);
                double gain;
                gain = room[k] - here - 2 * spec->cpus - p->books->type[from->type].cpus * 0.25;
                if (!(gain > best_gain) || !has_image(to, spec->image) || !has_room(to, spec) ||
                    !pm_plan_allows(p->books, place->job, to->type, to->zone, to->spot) ||
                    of_job(to, place->job) >= of_job(from, place->job))
                    continue;
                best_gain = gain;
                best = place;
            }
        }
    }
    g_free(room);
    if (!best)
        return;
    pm_debug("plan.balance", "%s/%u leaves %s", best->job->id, best->index, best->machine->name);
    pm_workers_stop(best, 0);
}

/* Empties the ordinary machine that costs most for what it does, if its replicas find room and
 * their images elsewhere and the reserve stays: each is gone for the blink of a restart. */
void pm_plan_consolidate(struct pm_plan *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    struct pm_machine *worst = NULL;
    double worst_value = 0, spare = 0;
    double(*room)[2];
    int draining = 0;

    if (!p->writable)
        return;
    room = g_malloc0(sizeof(double[2]) * (all->len + 1));
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->state != PM_UP || m->lent)
            continue;
        if (m->draining && m->places->len && ++draining >= DRAINING_MAX)
            goto out;
        if (m->spot || !usable(p, m, now))
            continue;
        spare += yielding_room(m);
        room[i][0] = m->cpus;
        room[i][1] = m->ram_gb;
    }
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        double used, value;
        bool fits = true;
        double(*left)[2];
        if (!m || m->spot || !usable(p, m, now) || m->type < 0 || !m->places->len ||
            now - m->rented < 60 || !movable(m, now))
            continue;
        used = p->books->type[m->type].cpus - yielding_room(m);
        value = p->books->type[m->type].price * (1 - used / MAX(p->books->type[m->type].cpus, EPS));
        if (value <= worst_value || spare - p->books->type[m->type].cpus < MAX(p->reserve, EPS))
            continue;
        left = g_memdup2(room, sizeof(double[2]) * (all->len + 1));
        for (guint j = 0; j < m->places->len && fits; j++)
            fits =
                ((struct pm_place *)g_ptr_array_index(m->places, j))->job->spec->form == PM_ARRAY ||
                takes(p, m, g_ptr_array_index(m->places, j), left, now);
        g_free(left);
        if (!fits)
            continue;
        worst = m;
        worst_value = value;
    }
    if (worst) {
        pm_info("plan.empty", "%s: %u tasks move or end", worst->name, worst->places->len);
        worst->draining = true;
        for (guint j = 0; j < worst->places->len; j++) {
            struct pm_place *place = g_ptr_array_index(worst->places, j);
            if (place->job->spec->form == PM_SERVICE)
                pm_workers_stop(place, 0);
        }
    } else {
        balance(p, now);
    }
out:
    g_free(room);
}

/* ---- for the leasing of blocks ---- */

void pm_plan_add_want(struct pm_plan *p, struct pm_job *job, uint32_t tasks)
{
    g_array_append_vals(p->wants, &(struct pm_want){job, tasks}, 1);
}

/* What is below a limit, less a share of it that is kept; all of it where there is no limit. */
static double below(double most, double used, double kept)
{
    return most < 1e9 ? most * (1 - kept) - used : most;
}

uint32_t pm_plan_lease_tasks(const struct pm_plan *p, const struct pm_spec *spec, double kept)
{
    const struct pm_team_setting *team = &p->books->settings->team[spec->team];

    return pm_spec_fit(spec, below(team->cpus_max, p->cpus[spec->team], kept),
                       below(team->gpus_max, p->gpus[spec->team], kept), INFINITY);
}

void pm_plan_lease(struct pm_plan *p, const struct pm_spec *spec, uint32_t tasks)
{
    p->cpus[spec->team] += tasks * spec->cpus;
    p->gpus[spec->team] += tasks * spec->gpus;
}

uint32_t pm_plan_within_guarantee(struct pm_plan *p, const struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;
    double left = p->books->settings->team[spec->team].cpus - p->actual[spec->team];
    uint32_t done, placed, n;

    pm_jobs_count(job, &done, &placed);
    if (left <= 0 || spec->cpus <= 0)
        return 0;
    n = (uint32_t)MIN(floor((left + EPS) / spec->cpus),
                      job->entries - MIN(done + placed, job->entries));
    p->actual[spec->team] += n * spec->cpus;
    return n;
}

GPtrArray *pm_plan_find_whole(struct pm_plan *p, uint64_t epoch, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);

    g_ptr_array_set_size(p->whole, 0);
    p->spare = -1;
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && m->type >= 0 && m->zone >= 0 && !m->places->len && usable(p, m, now) &&
            pm_workers_clean(m, epoch))
            g_ptr_array_add(p->whole, m);
    }
    return p->whole;
}

bool pm_plan_whole(struct pm_plan *p, const struct pm_machine *m, const struct pm_job *job,
                   double now)
{
    if (m->lent || !pm_plan_allows(p->books, job, m->type, m->zone, m->spot) ||
        !has_room(m, job->spec))
        return false;
    if (m->spot)
        return true;
    if (p->spare < 0) {
        p->totals.at = -1; /* counted anew: this run has placed since */
        p->spare = pm_plan_spare(p, now);
    }
    return p->spare - m->cpus >= p->reserve;
}

struct pm_machine *pm_plan_whole_machine(struct pm_plan *p, const struct pm_job *job,
                                         uint32_t tasks, double now)
{
    struct pm_machine *best = NULL;
    double best_score = -INFINITY;

    for (guint i = 0; i < p->whole->len; i++) {
        struct pm_machine *m = g_ptr_array_index(p->whole, i);
        double value;
        if (!pm_plan_whole(p, m, job, now))
            continue;
        value = (has_image(m, job->spec->image) ? 3 : 0) + (m->spot ? 5 : 0) -
                2 * MAX(0, m->cpus - tasks * job->spec->cpus) / MAX(m->cpus, EPS);
        if (value > best_score) {
            best_score = value;
            best = m;
        }
    }
    if (best && !best->spot)
        p->spare -= best->cpus; /* leased from now on */
    return best;
}

bool pm_plan_may_clear(struct pm_plan *p, const struct pm_job *job, int machine)
{
    GPtrArray *active = pm_jobs_active(p->jobs);

    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *other = g_ptr_array_index(active, i);
        const struct pm_team_setting *team;
        bool there = false;
        if (!other->away || !other->spec)
            continue;
        for (int k = 0; k < other->nchunks && !there; k++) {
            const GArray *spots = other->chunk[k] ? other->chunk[k]->spots : NULL;
            for (guint s = 0; spots && s < spots->len && !there; s++)
                there = g_array_index(spots, struct pm_spot, s).machine == machine;
        }
        if (!there)
            continue;
        team = &p->books->settings->team[other->spec->team];
        if (other->spec->team == job->spec->team || other->spec->priority == PM_PRODUCTION ||
            p->actual[other->spec->team] - p->yielding[other->spec->team] <= team->cpus + EPS)
            return false;
        p->yielding[other->spec->team] += other->spec->cpus;
    }
    return true;
}

void pm_plan_yield(struct pm_place *place)
{
    if (!place->stop && place->state != PM_ENDED)
        pm_workers_stop(place, leave_for(place, false));
}
