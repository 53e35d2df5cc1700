/* A holder: its own block, and what it tells the leader. */
#include "base/clock.h"
#include "shard.pb-c.h"
#include "shards/internal.h"
#include "workers/failures.h"

#include <string.h>

static bool listed(const GArray *list, int index)
{
    for (guint i = 0; i < list->len; i++)
        if (g_array_index(list, int, i) == index)
            return true;
    return false;
}

/* What left the block is proven gone: the leader lets go of a machine only when it is clean, or its
 * release was confirmed. */
static void leave_machines(struct pm_shards *b, double now)
{
    GPtrArray *all = pm_workers_all(b->workers);

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || listed(pm_shards_own(b)->machines, m->index))
            continue;
        pm_workers_mark_lost(b->workers, m, now);
        pm_workers_remove(b->workers, m);
    }
}

static void join_machine(struct pm_shards *b, const cbor_item_t *host, double now)
{
    char name[PM_NAME_MAX];
    char text[PM_NAME_MAX];
    struct pm_machine *m;
    uint64_t session = 0;

    if (!pm_cbor_read_text(pm_cbor_get(host, "host"), name, sizeof name) ||
        pm_workers_find(b->workers, name))
        return;
    m = pm_workers_add(b->workers, name);
    m->state = PM_MACHINE_UP;
    m->provider.is_listed = true;
    m->heartbeat.last_message_at = m->lease.lower_bound =
        now;                     /* the leader answered it no later than this */
    m->provider.rented_at = now; /* the leader has proof of it */
    pm_cbor_read_text(pm_cbor_get(host, "endpoint"), m->endpoint, sizeof m->endpoint);
    pm_cbor_read_flag(pm_cbor_get(host, "borrowed"), &m->spot);
    pm_cbor_read_count(pm_cbor_get(host, "shift"), &session);
    m->heartbeat.incarnation = session;
    if (pm_cbor_read_text(pm_cbor_get(host, "room"), text, sizeof text))
        m->zone = pm_settings_find_zone(b->tables->settings, text);
    if (pm_cbor_read_text(pm_cbor_get(host, "model"), text, sizeof text))
        pm_workers_set_type(b->workers, m, pm_names_find(b->tables->type_names, text));
}

void pm_shards_join(struct pm_shards *b, const cbor_item_t *value, double now)
{
    cbor_item_t *hosts = pm_cbor_get(value, "hosts");
    bool granted = pm_shards_own(b)->machines->len || pm_shards_own(b)->jobs->len;

    if (granted && !b->mine_granted)
        pm_jobs_set_delegated(b->jobs, true);
    leave_machines(b, now);
    for (size_t i = 0; i < pm_cbor_length(hosts); i++)
        join_machine(b, pm_cbor_at(hosts, i), now);
    b->mine_granted = granted;
    b->hooks.owned(b->hooks.arg, granted);
}

void pm_shards_leave_all(struct pm_shards *b)
{
    if (!b->mine_granted)
        return;
    b->mine_granted = false;
    b->hooks.owned(b->hooks.arg, false);
}

uint64_t pm_shards_owned_revision(const struct pm_shards *b)
{
    return b->mine_granted && !b->leading ? b->block[b->n - 1].revision : 0;
}

/* A job's own key may be told after the block that lists it. */
void pm_shards_join_jobs(struct pm_shards *b)
{
    for (guint i = 0; i < pm_shards_own(b)->jobs->len; i++) {
        struct seen_job *seen = &g_array_index(pm_shards_own(b)->jobs, struct seen_job, i);
        struct pm_job *job = pm_jobs_find(b->jobs, seen->id);
        if (!job || !job->spec)
            continue;
        job->delegated = false;
        job->parallelism = seen->parallelism;
    }
}

static void add_name(char ***list, size_t *n, const char *name)
{
    *list = g_renew(char *, *list, *n + 1);
    (*list)[(*n)++] = (char *)name;
}

/* The jobs of the block that keep failing. */
static void tell_failing(struct pm_shards *b, Pm__ShardResponse *tell)
{
    const GArray *jobs = pm_shards_own(b)->jobs;

    for (guint i = 0; i < jobs->len; i++) {
        const struct pm_job *job =
            pm_jobs_find(b->jobs, g_array_index(jobs, struct seen_job, i).id);
        if (job && job->state == PM_JOB_LIVE && pm_failures_is_job_failing(job))
            add_name(&tell->failing, &tell->n_failing, job->id);
    }
}

void pm_shards_handle_peer_request(struct pm_shards *b, struct pm_http_request *req)
{
    Pm__ShardRequest *call = pm__shard_request__unpack(NULL, req->body_size, req->body);
    Pm__ShardResponse tell = PM__SHARD_RESPONSE__INIT;
    GPtrArray *all = pm_workers_all(b->workers);
    double now = pm_clock_monotonic();
    unsigned char *data;
    size_t size;
    int up = 0;
    int heard = 0;

    if (!call) {
        pm_http_reply(req, 400, NULL, 0, 0);
        return;
    }
    tell.incarnation_id = b->boot;
    tell.ready = pm_store_is_ready(b->store) && !pm_store_is_refusing(b->store) &&
                 now - pm_store_last_served_at(b->store) < 7 && b->tables->type_count > 0;
    for (size_t i = 0; !b->leading && b->mine_granted && i < call->n_revoking; i++) {
        struct pm_machine *m = pm_workers_find(b->workers, call->revoking[i]);
        if (!m)
            continue;
        m->shard.revoking = true;
        for (guint j = 0; j < m->placements->len; j++)
            for (size_t s = 0; s < call->n_stop; s++)
                if (!strcmp(call->stop[s], m->name))
                    pm_scheduler_preempt_placement(g_ptr_array_index(m->placements, j));
        /* Said once, and kept: a clean machine that is leaving is answered no more. */
        if (pm_machine_is_drained(m, pm_election_epoch(b->lead)))
            m->shard.returned = true;
        if (m->shard.returned)
            add_name(&tell.drained, &tell.n_drained, m->name);
    }
    for (guint i = 0; !b->leading && b->mine_granted && i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m)
            continue;
        up++;
        heard += now - m->heartbeat.last_message_at < 6;
        tell.launch_outcome_unknown |= m->push.unknown_outcome_epoch &&
                                       m->push.unknown_outcome_epoch >= pm_election_epoch(b->lead);
        if (pm_failures_is_machine_faulty(m))
            add_name(&tell.quarantined, &tell.n_quarantined, m->name);
        if (m->heartbeat.is_known && (pm_machine_is_unreachable(m, now) ||
                                      pm_machine_missed_heartbeat(m, b->tables->settings, now)))
            add_name(&tell.unreachable, &tell.n_unreachable, m->name);
    }
    if (!b->leading && b->mine_granted)
        tell_failing(b, &tell);
    tell.workers_unreachable = (up > 1 && !heard) || (b->mine_granted && !tell.ready);
    size = pm__shard_response__get_packed_size(&tell);
    data = g_malloc(size + 1);
    pm__shard_response__pack(&tell, data);
    pm_http_reply(req, 200, data, size, 0);
    g_free(data);
    g_free(tell.drained);
    g_free(tell.quarantined);
    g_free(tell.unreachable);
    g_free(tell.failing);
    pm__shard_request__free_unpacked(call, NULL);
}
