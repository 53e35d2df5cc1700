/* The leader writes what it gives, asks the holders, and takes back what a holder lost. */
#include "base/clock.h"
#include "base/log.h"
#include "shard.pb-c.h"
#include "shards/internal.h"
#include "workers/failures.h"

#include <string.h>

#define ASK_S 0.8       /* a holder's answer counts only within this */
#define ASK_PACE_S 0.4  /* while it holds a block */
#define IDLE_PACE_S 1.0 /* while it holds none */
#define DEAD_S 2.4      /* a holder silent for this long loses its block */
#define WRITE_PACE_S 0.06
#define REFUSED_S 3.0 /* what the state service refuses is not sent again before this */

/* Takes a block back from a holder that is not heard of. The epoch is raised in the same
 * transaction: its commands die with the old token, its placements fail on the block's key. */
static void lose_block(struct pm_shards *b, struct block *k, const char *why, double now)
{
    if (k->in_flight || (k->losing && now - k->losing_at < 1) || !pm_shards_revision(k))
        return;
    if (!k->losing)
        pm_info("shard.revoked", "%s: %s", k->name, why);
    k->losing = true;
    k->losing_at = now;
    pm_election_advance_epoch(b->lead, k->key, pm_shards_revision(k));
}

struct flight {
    struct pm_shards *blocks;
    int index;
    uint64_t round, serial;
};

static void settle_written(struct pm_shards *b, struct block *k, uint64_t serial)
{
    for (guint i = 0; i < k->entries->len;) {
        struct entry *e = &g_array_index(k->entries, struct entry, i);
        struct pm_machine *m = pm_workers_at(b->workers, e->machine);
        if (e->state == ADDING && e->serial && e->serial <= serial) {
            e->state = HELD;
        } else if (e->state == REMOVING && e->serial && e->serial <= serial) {
            if (m) {
                m->shard.owner = 0;
                m->heartbeat.is_known = false; /* its worker has to come back to us first */
                m->lease.lower_bound = m->heartbeat.last_message_at = pm_clock_monotonic();
                m->provider.idle_since = 0;
            }
            g_array_remove_index(k->entries, i);
            b->hooks.changed(b->hooks.arg);
            continue;
        }
        i++;
    }
}

static void on_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                       const cbor_item_t *failed)
{
    struct flight *f = arg;
    struct pm_shards *b = f->blocks;
    struct block *k = &b->block[f->index];

    (void)failed;
    if (b->leading && b->round == f->round) {
        k->in_flight = false;
        if (result == PM_STORE_UNKNOWN_OUTCOME)
            k->unsure = pm_election_epoch(b->lead);
        if (result == PM_STORE_OK) {
            k->unsure = 0; /* it fails on this one's revision */
            k->wrote = store_revision;
            pm_election_confirm_epoch(b->lead, k->written, store_revision);
            settle_written(b, k, f->serial);
        } else {
            k->dirty = true; /* the watch tells the revision; a copy applied late fails on it */
            if (result == PM_STORE_REJECTED) { /* too large, most likely */
                pm_error("shard.write_rejected", "the state service refuses %s", k->key);
                k->written = pm_clock_monotonic() + REFUSED_S;
            }
            if (result == PM_STORE_CONFLICT)
                pm_election_recheck_epoch(b->lead);
        }
    }
    g_free(f);
}

static void write_block(struct pm_shards *b, struct block *k, double now)
{
    const struct pm_settings *s = b->tables->settings;
    struct pm_txn txn = {0};
    struct flight *f = g_new0(struct flight, 1);

    k->serial++;
    *f = (struct flight){b, (int)(k - b->block), b->round, k->serial};
    pm_txn_compare(&txn, "p/epoch", pm_election_epoch_revision(b->lead));
    pm_txn_compare(&txn, k->key, pm_shards_revision(k));
    pm_txn_put(&txn, k->key);
    pm_put_map(&txn.writes);
    pm_put_pair_text(&txn.writes, "boot", k->boot);
    pm_put_pair_count(&txn.writes, "serial", k->serial);
    pm_put_text(&txn.writes, "hosts");
    pm_put_list(&txn.writes);
    for (guint i = 0; i < k->entries->len; i++) {
        struct entry *e = &g_array_index(k->entries, struct entry, i);
        const struct pm_machine *m = pm_workers_at(b->workers, e->machine);
        if (!e->serial || e->state == REMOVING)
            e->serial = k->serial;
        if (e->state == REMOVING || !m)
            continue;
        pm_put_map(&txn.writes);
        pm_put_pair_text(&txn.writes, "host", m->name);
        pm_put_pair_text(&txn.writes, "endpoint", m->endpoint);
        if (m->type >= 0)
            pm_put_pair_text(&txn.writes, "model", pm_names_text(b->tables->type_names, m->type));
        if (m->zone >= 0)
            pm_put_pair_text(&txn.writes, "room", s->zone_names[m->zone]);
        pm_put_pair_flag(&txn.writes, "borrowed", m->spot);
        pm_put_pair_count(&txn.writes, "shift", m->heartbeat.incarnation);
        pm_put_end(&txn.writes);
    }
    pm_put_end(&txn.writes);
    pm_put_text(&txn.writes, "jobs");
    pm_put_list(&txn.writes);
    for (guint i = 0; i < k->given->len;) {
        struct pm_job *job = g_ptr_array_index(k->given, i);
        if (!job->spec) { /* over, and nothing of it is left */
            g_ptr_array_remove_index_fast(k->given, i);
            continue;
        }
        pm_put_map(&txn.writes);
        pm_put_pair_text(&txn.writes, "id", job->id);
        pm_put_pair_count(&txn.writes, "width", job->parallelism);
        pm_put_end(&txn.writes);
        i++;
    }
    pm_put_end(&txn.writes);
    pm_put_end(&txn.writes);
    pm_txn_put_end(&txn, 0);
    k->dirty = false;
    k->in_flight = true;
    k->written = now;
    pm_store_commit(b->store, &txn, on_written, f);
}

/* ---- leader: asking ---- */

/* A block that was never written, as far as the replica tells, may yet appear while a write of it
 * is under way: its holder would place jobs that the leader has begun to place itself. Such a write
 * dies with the epoch; what was carried out before that is in the replica by then. */
static bool never_written(struct pm_shards *b, const struct block *k)
{
    if (k->in_flight || pm_shards_revision(k))
        return false;
    if (!k->unsure)
        return true;
    if (pm_election_epoch(b->lead) <= k->unsure) {
        pm_election_advance_epoch(b->lead, NULL, 0);
        return false;
    }
    return pm_store_revision(b->store) >= pm_election_epoch_revision(b->lead);
}

static struct entry *find_entry(const struct pm_shards *b, struct block *k, const char *machine)
{
    int index = pm_names_find(b->tables->machine_names, machine);

    for (guint i = 0; i < k->entries->len; i++)
        if (g_array_index(k->entries, struct entry, i).machine == index)
            return &g_array_index(k->entries, struct entry, i);
    return NULL;
}

/* Which of its jobs the holder finds failing, and which no more. */
static void take_failing(struct block *k, const Pm__ShardResponse *tell, double now)
{
    for (guint i = 0; i < k->given->len; i++) {
        struct pm_job *job = g_ptr_array_index(k->given, i);
        bool failing = false;
        for (size_t j = 0; j < tell->n_failing; j++)
            failing |= !strcmp(tell->failing[j], job->id);
        if (failing)
            pm_failures_report_job(job, now);
        else
            pm_failures_clear_job(job);
    }
}

static void on_told(void *arg, int status, const unsigned char *body, size_t size)
{
    struct flight *f = arg;
    struct pm_shards *b = f->blocks;
    struct block *k = &b->block[f->index];
    Pm__ShardResponse *tell = NULL;

    if (b->leading && b->round == f->round) {
        k->asking = false;
        tell = status == 200 ? pm__shard_response__unpack(NULL, size, body) : NULL;
    }
    g_free(f);
    if (!tell)
        return;
    g_strlcpy(k->boot, tell->incarnation_id, sizeof k->boot);
    k->ready = tell->ready;
    b->doubt |= tell->launch_outcome_unknown;
    if (!tell->workers_unreachable)
        k->alive = pm_clock_monotonic();
    for (size_t i = 0; i < tell->n_drained; i++) {
        struct entry *e = find_entry(b, k, tell->drained[i]);
        if (!e || e->state != LEAVING)
            continue;
        e->state = REMOVING;
        e->serial = 0;
        k->dirty = true;
    }
    for (size_t i = 0; i < tell->n_quarantined; i++) {
        struct entry *e = find_entry(b, k, tell->quarantined[i]);
        if (!e || e->state > HELD)
            continue;
        e->state = LEAVING;
        e->stop = true;
        if (pm_workers_at(b->workers, e->machine))
            b->hooks.machine_quarantined(b->hooks.arg, pm_workers_at(b->workers, e->machine));
    }
    for (size_t i = 0; i < tell->n_unreachable; i++) {
        struct pm_machine *m = pm_workers_find(b->workers, tell->unreachable[i]);
        if (!m || !m->shard.owner)
            continue;
        if (pm_clock_monotonic() - m->shard.reported_silent_at > 2)
            m->shard.silent_since = pm_clock_monotonic();
        m->shard.reported_silent_at = pm_clock_monotonic();
    }
    take_failing(k, tell, pm_clock_monotonic());
    pm__shard_response__free_unpacked(tell, NULL);
    pm_shards_exchange(b, pm_clock_monotonic());
}

static void ask(struct pm_shards *b, struct block *k, double now)
{
    Pm__ShardRequest call = PM__SHARD_REQUEST__INIT;
    struct flight *f = g_new0(struct flight, 1);
    char **leaving = g_new0(char *, k->entries->len + 1);
    char **stop = g_new0(char *, k->entries->len + 1);
    unsigned char *data;
    size_t size;

    k->asked = now;
    k->asking = true;
    call.from = (char *)b->tables->settings->name;
    call.epoch = pm_election_epoch(b->lead);
    call.revoking = leaving;
    call.stop = stop;
    for (guint i = 0; i < k->entries->len; i++) {
        struct entry *e = &g_array_index(k->entries, struct entry, i);
        if (e->state != LEAVING)
            continue;
        leaving[call.n_revoking++] = (char *)pm_names_text(b->tables->machine_names, e->machine);
        if (e->stop)
            stop[call.n_stop++] = (char *)pm_names_text(b->tables->machine_names, e->machine);
    }
    size = pm__shard_request__get_packed_size(&call);
    data = g_malloc(size + 1);
    pm__shard_request__pack(&call, data);
    *f = (struct flight){b, (int)(k - b->block), b->round, 0};
    pm_http_call(b->http, b->tables->settings->peers[f->index].addr, "POST", "/block", data, size,
                 ASK_S, 64 * 1024, on_told, f);
    g_free(data);
    g_free(leaving);
    g_free(stop);
}

/* A machine whose release was confirmed, or that vanished from the replica, leaves its block. */
static void drop_vanished(struct pm_shards *b, struct block *k)
{
    for (guint i = 0; i < k->entries->len; i++) {
        struct entry *e = &g_array_index(k->entries, struct entry, i);
        if (!pm_workers_at(b->workers, e->machine) && e->state != REMOVING) {
            e->state = REMOVING;
            e->serial = 0;
            k->dirty = true;
        }
    }
}

void pm_shards_exchange(struct pm_shards *b, double now)
{
    if (!b->leading || !pm_election_is_confirmed(b->lead, now))
        return;
    for (int i = 0; i < b->n - 1; i++) {
        struct block *k = &b->block[i];
        bool holds = k->entries->len || k->given->len;
        drop_vanished(b, k);
        if (!k->asking && now - k->asked > (holds ? ASK_PACE_S : IDLE_PACE_S))
            ask(b, k, now);
        if (k->losing) { /* again until it is known to be gone, though its holder is heard again */
            lose_block(b, k, "", now);
            continue;
        }
        if (k->revision && k->revision >= k->wrote && k->boot[0] && strcmp(k->boot, k->boot_seen)) {
            lose_block(b, k, "its process is a new one", now);
            continue;
        }
        if (holds && now - k->alive > DEAD_S) {
            if (pm_shards_revision(k)) {
                lose_block(b, k, "not heard of", now);
            } else if (never_written(b, k)) { /* what was to be given stays here */
                k->losing = k->lost = true;
                pm_shards_caught_up(b);
            }
            continue;
        }
        if (k->dirty && !k->in_flight && !k->losing && now - k->written > WRITE_PACE_S &&
            pm_store_write_budget(b->store, now) >= 1)
            write_block(b, k, now);
    }
    if (b->doubt) {
        b->doubt = false;
        pm_election_advance_epoch(b->lead, NULL, 0);
    }
}
