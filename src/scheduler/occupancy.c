/* The ratio ledger: what each team occupied within the window, what it uses now, and the value
 * that a new leader reads. */
#include "scheduler/internal.h"

#include <math.h>
#include <string.h>

enum {
    HALF_WINDOW = BUCKETS / 2, /* buckets */
    FAILING_MAX = 32,          /* jobs named as failing */
    FAILING_SIZE = 6           /* bytes that a name takes beside itself */
};

/* Best-effort work declares a minimum runtime of zero: it is unallocated and free of charge, until
 * it has waited too long to begin: from then on it is charged, and does not yield at once. */
bool pm_scheduler_is_unallocated(const struct pm_job *job)
{
    return job->priority == PM_PRIORITY_BEST_EFFORT && !job->scheduling.is_overdue_start;
}

static double machine_share(const struct pm_name_tables *tables, const struct pm_spec *spec,
                            const struct pm_machine *m)
{
    const struct pm_type *t = &tables->types[m->type];
    double share = MAX(spec->cpus / MAX(t->cpus, EPS), spec->ram_gb / MAX(t->ram_gb, EPS));

    return t->gpus > 0 ? MAX(share, spec->gpus / t->gpus) : share;
}

static void turn_buckets(struct pm_scheduler *p, double day)
{
    double width = p->op->window_h * 3600 / BUCKETS;
    /* Counted from a window before the epoch of time, so that no index is below zero. */
    long bucket = (long)(day / width) + BUCKETS;

    if (bucket - p->bucket > BUCKETS)
        p->bucket = bucket - BUCKETS;
    while (p->bucket < bucket) {
        p->bucket++;
        for (int t = 0; t < p->tables->settings->team_count; t++) {
            double *old = &p->ledger[t].bucket[p->bucket % BUCKETS];
            p->ledger[t].sum -= *old;
            *old = 0;
        }
    }
}

static void charge(struct pm_scheduler *p, const struct pm_job *job, const struct pm_machine *m,
                   double span)
{
    struct ledger *l = &p->ledger[job->spec->team];
    double amount = span * machine_share(p->tables, job->spec, m);

    if (pm_scheduler_is_unallocated(job))
        return;
    l->bucket[p->bucket % BUCKETS] += amount;
    l->sum += amount;
}

/* Jobs that holders place: what the replica says of them counts for the guarantees and the ledger.
 */
static void account_away(struct pm_scheduler *p, double span)
{
    GPtrArray *active = pm_jobs_active(p->jobs);

    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        const struct pm_spec *spec = job->spec;
        if (!job->delegated || !spec || job->parallelism == UINT32_MAX)
            continue;
        for (int k = 0; k < job->chunk_count; k++) {
            const GArray *stored_places = job->chunks[k] ? job->chunks[k]->stored_placements : NULL;
            for (guint s = 0; stored_places && s < stored_places->len; s++) {
                const struct pm_machine *m = pm_workers_at(
                    p->workers,
                    g_array_index(stored_places, struct pm_stored_placement, s).machine);
                p->actual[spec->team] += spec->cpus;
                if (m && m->type >= 0)
                    charge(p, job, m, span);
            }
        }
    }
}

/* Adds what ran since the last run to the teams' occupied time, and counts what they use now. */
void pm_scheduler_charge_occupancy(struct pm_scheduler *p, double now, double day)
{
    GPtrArray *all = pm_workers_all(p->workers);
    double span = p->charged_at ? MIN(now - p->charged_at, 5) : 0;

    turn_buckets(p, day);
    for (int t = 0; t < p->tables->settings->team_count; t++)
        p->actual[t] = p->yielding[t] = p->promised[t] = 0;
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        for (guint j = 0; m && j < m->placements->len; j++) {
            const struct pm_placement *place = g_ptr_array_index(m->placements, j);
            const struct pm_spec *spec = place->job->spec;
            if (place->state == PM_PLACEMENT_ENDED)
                continue;
            p->actual[spec->team] += spec->cpus;
            if (place->should_stop)
                p->yielding[spec->team] += spec->cpus;
            if (m->type >= 0 && place->state >= PM_PLACEMENT_DURABLE)
                charge(p, place->job, m, span);
        }
    }
    account_away(p, span);
    pm_quota_count(p, now);
    p->charged_at = now;
}

double pm_scheduler_usage_ratio(struct pm_scheduler *p, int team)
{
    const struct pm_settings *s = p->tables->settings;
    double total = 0;
    double mine;

    for (int t = 0; t < s->team_count; t++)
        total += s->teams[t].cpus;
    mine = total > 0 ? s->teams[team].cpus / total : 1.0 / s->team_count;
    return p->ledger[team].sum / MAX(mine, 1e-3);
}

/* As JSON, so far as it fits the value: a table of the images, and for each machine their places in
 * it, ordinary machines first, for those are the services'. */
static void write_images(const struct pm_scheduler *p, size_t others, struct pm_buf *out)
{
    GPtrArray *all = pm_workers_all(p->workers);
    size_t most = (size_t)(p->tables->settings->store_value_kb * 1024 * 0.85);
    size_t used = 100 + others;
    int count = pm_names_count(p->tables->image_names);
    int known = 0;
    int *place = g_new(int, count + 1);
    struct pm_buf machines = {0};

    for (int i = 0; i < count; i++)
        place[i] = -1;
    for (int t = 0; t < p->tables->settings->team_count; t++)
        used += strlen(p->tables->settings->teams[t].name) + 24;
    for (int z = 0; z < p->tables->settings->zone_count; z++)
        used += strlen(p->tables->settings->zone_names[z]) + 24;
    pm_put_text(out, "table");
    pm_put_list(out);
    for (int spot = 0; spot < 2; spot++)
        for (guint i = 0; i < all->len && used < most; i++) {
            const struct pm_machine *m = g_ptr_array_index(all, i);
            if (!m || !m->images.count || m->state != PM_MACHINE_UP || m->spot != spot)
                continue;
            pm_put_text(&machines, m->name);
            pm_put_list(&machines);
            used += strlen(m->name) + 6;
            for (int k = 0; k < m->images.count && used < most; k++) {
                const struct pm_cached_image *c = &m->images.cached[k];
                if (place[c->image] < 0) {
                    const char *image = pm_names_text(p->tables->image_names, c->image);
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

void pm_scheduler_decode_cached_images(struct pm_scheduler *p, const cbor_item_t *value)
{
    GPtrArray *all = pm_workers_all(p->workers);
    cbor_item_t *images = pm_cbor_get(value, "images");
    cbor_item_t *table = pm_cbor_get(value, "table");
    char name[PM_NAME_MAX];
    uint64_t place;

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        cbor_item_t *list = m ? pm_cbor_get(images, m->name) : NULL;
        if (!list || m->images.count)
            continue;
        for (size_t k = 0; k < pm_cbor_length(list) && m->images.count < PM_CACHED_IMAGES_MAX;
             k++) {
            struct pm_cached_image *c = &m->images.cached[m->images.count];
            if (!pm_cbor_read_count(pm_cbor_at(list, k), &place) ||
                place >= pm_cbor_length(table) / 2 ||
                !pm_cbor_read_text(pm_cbor_at(table, 2 * place), name, sizeof name) ||
                !pm_cbor_read_number(pm_cbor_at(table, 2 * place + 1), &c->gb))
                continue;
            c->image = pm_names_intern(p->tables->image_names, name);
            m->images.count++;
        }
    }
}

/* When each zone was last heard, in time of day: a new leader that never hears one can tell from it
 * when the leases there ran out. */
static void write_heard(const struct pm_scheduler *p, double now, double day, struct pm_buf *out)
{
    const struct pm_settings *s = p->tables->settings;
    GPtrArray *all = pm_workers_all(p->workers);
    double heard[PM_ZONES_MAX] = {0};

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && m->heartbeat.is_known && m->zone >= 0 && !m->shard.owner)
            heard[m->zone] = MAX(heard[m->zone], m->heartbeat.last_message_at);
    }
    pm_put_text(out, "heard");
    pm_put_map(out);
    for (int z = 0; z < s->zone_count; z++)
        if (heard[z] > 0)
            pm_put_pair_number(out, s->zone_names[z], day - (now - heard[z]));
    pm_put_end(out);
}

/* The jobs that keep failing, so that a new leader need not learn it at the others' cost. Nothing
 * is written where there are none. Returns about how many bytes of JSON that takes. */
static size_t write_failing(const struct pm_scheduler *p, struct pm_buf *out)
{
    GPtrArray *active = pm_jobs_active(p->jobs);
    size_t used = 0;
    int n = 0;

    for (guint i = 0; i < active->len && n < FAILING_MAX; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (job->state != PM_JOB_LIVE || !job->spec || !pm_failures_is_job_failing(job))
            continue;
        if (n++ == 0) {
            pm_put_text(out, "failing");
            pm_put_list(out);
        }
        pm_put_text(out, job->id);
        used += strlen(job->id) + FAILING_SIZE;
    }
    if (n)
        pm_put_end(out);
    return used;
}

void pm_scheduler_decode_failing_jobs(struct pm_scheduler *p, const cbor_item_t *value, double now)
{
    cbor_item_t *failing = pm_cbor_get(value, "failing");
    char id[PM_ID_MAX];

    for (size_t i = 0; i < pm_cbor_length(failing); i++) {
        struct pm_job *job;
        if (!pm_cbor_read_text(pm_cbor_at(failing, i), id, sizeof id))
            continue;
        job = pm_jobs_find(p->jobs, id);
        if (job && job->state == PM_JOB_LIVE && job->spec)
            pm_failures_report_job(job, now);
    }
}

void pm_scheduler_encode_ledger(const struct pm_scheduler *p, double now, double day,
                                struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_pair_number(out, "day", day);
    pm_put_text(out, "teams");
    pm_put_map(out);
    for (int t = 0; t < p->tables->settings->team_count; t++)
        pm_put_pair_number(out, p->tables->settings->teams[t].name, p->ledger[t].sum);
    pm_put_end(out);
    write_heard(p, now, day, out);
    write_images(p, write_failing(p, out), out);
    pm_put_end(out);
}

void pm_scheduler_decode_ledger(struct pm_scheduler *p, const cbor_item_t *value)
{
    cbor_item_t *teams = pm_cbor_get(value, "teams");
    double day;

    if (!pm_cbor_read_number(pm_cbor_get(value, "day"), &day))
        return;
    memset(p->ledger, 0, sizeof p->ledger[0] * (size_t)p->tables->settings->team_count);
    p->bucket = (long)(day / (p->op->window_h * 3600 / BUCKETS)) + BUCKETS;
    for (int t = 0; t < p->tables->settings->team_count; t++) {
        struct ledger *l = &p->ledger[t];
        if (!pm_cbor_read_number(pm_cbor_get(teams, p->tables->settings->teams[t].name), &l->sum))
            l->sum = 0;
        /* The total alone is kept: its age is taken to be even over half the window. */
        for (int b = 0; b < HALF_WINDOW; b++)
            l->bucket[(p->bucket - b + BUCKETS) % BUCKETS] = l->sum / HALF_WINDOW;
    }
}

void pm_scheduler_record_run_time(struct pm_scheduler *p, struct pm_job *job, double seconds)
{
    int c = job->spec->class_index;
    double ratio;

    job->scheduling.run_time_sum_s += seconds;
    job->scheduling.run_time_samples++;
    if (c >= CLASSES_MAX || job->spec->estimated_run_s <= 0)
        return;
    /* Slowly: the tasks of one job are all off by much the same. */
    ratio = CLAMP(seconds / job->spec->estimated_run_s, 0.1, 10);
    p->factor[c] = (p->factor[c] > 0 ? p->factor[c] : 1) * 0.99 + ratio * 0.01;
}

double pm_scheduler_estimate_remaining_s(const struct pm_scheduler *p, const struct pm_job *job)
{
    int c = job->spec->class_index;
    double factor = c < CLASSES_MAX && p->factor[c] > 0 ? p->factor[c] : 1;

    return (job->spec->estimated_run_s * factor + job->scheduling.run_time_sum_s) /
           (1 + job->scheduling.run_time_samples);
}
