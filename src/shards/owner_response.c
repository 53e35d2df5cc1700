/* The owner's response to the leader's request, POST /block. */
#include "base/clock.h"
#include "shard.pb-c.h"
#include "shards/internal.h"
#include "workers/failures.h"

/* A controller is not ready to own a shard if the state service has served none of its requests for
 * this long. */
#define STORE_TIMEOUT_S 7.0
/* A worker that has sent no message for this long counts as unable to reach this controller. */
#define HEARTBEAT_TIMEOUT_S 6.0

static bool is_ready(const struct pm_shards *shards, double now)
{
    return pm_store_is_ready(shards->store) && !pm_store_is_refusing(shards->store) &&
           now - pm_store_last_served_at(shards->store) < STORE_TIMEOUT_S &&
           shards->tables->type_count > 0;
}

static void preempt_all(const struct pm_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++)
        pm_scheduler_preempt_placement(g_ptr_array_index(machine->placements, i));
}

static void revoke_machine(const struct pm_shards *shards, struct pm_machine *machine, bool preempt,
                           Pm__ShardResponse *response)
{
    machine->shard.revoking = true;
    if (preempt)
        preempt_all(machine);
    /* A machine that was reported as drained stays drained, because this controller no longer
     * answers its worker. */
    if (pm_machine_is_drained(machine, pm_election_tokens(shards->election)))
        machine->shard.returned_to_leader = true;
    if (machine->shard.returned_to_leader)
        pm_shard_message_add_name(&response->drained, &response->n_drained, machine->name);
}

static void revoke_machines(const struct pm_shards *shards, const Pm__ShardRequest *request,
                            Pm__ShardResponse *response)
{
    for (size_t i = 0; i < request->n_revoking; i++) {
        struct pm_machine *machine = pm_workers_find(shards->workers, request->revoking[i]);
        if (machine)
            revoke_machine(shards, machine,
                           pm_shard_message_has_name(request->stop, request->n_stop, machine->name),
                           response);
    }
}

static void report_machine(const struct pm_shards *shards, const struct pm_machine *machine,
                           double now, Pm__ShardResponse *response)
{
    uint64_t unknown_token = machine->push.unknown_outcome_token;

    if (unknown_token && unknown_token >= pm_election_tokens(shards->election).first)
        response->launch_outcome_unknown = true;
    if (pm_failures_is_machine_faulty(machine))
        pm_shard_message_add_name(&response->quarantined, &response->n_quarantined, machine->name);
    if (machine->heartbeat.has_reported &&
        (pm_machine_is_unreachable(machine, now) ||
         pm_machine_missed_heartbeat(machine, shards->tables->settings, now)))
        pm_shard_message_add_name(&response->unreachable, &response->n_unreachable, machine->name);
}

/* Reports on all machines. If this controller has several machines and all are silent, it counts as
 * cut off from them. If its only machine is silent, the fault may be the machine's own. */
static void report_machines(const struct pm_shards *shards, double now, Pm__ShardResponse *response)
{
    const GPtrArray *machines = pm_workers_all(shards->workers);
    int machine_count = 0;
    int reachable_count = 0;

    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!machine)
            continue;
        machine_count++;
        reachable_count += now - machine->heartbeat.last_message_at < HEARTBEAT_TIMEOUT_S;
        report_machine(shards, machine, now, response);
    }
    response->workers_unreachable = machine_count > 1 && !reachable_count;
}

static void report_failing_jobs(struct pm_shards *shards, Pm__ShardResponse *response)
{
    const GArray *jobs = pm_shards_own_shard(shards)->stored.jobs;

    for (guint i = 0; i < jobs->len; i++) {
        const char *id = g_array_index(jobs, struct pm_shard_stored_job, i).id;
        const struct pm_job *job = pm_jobs_find(shards->jobs, id);
        if (job && job->state == PM_JOB_LIVE && pm_failures_is_job_failing(job))
            pm_shard_message_add_name(&response->failing, &response->n_failing, job->id);
    }
}

static void reply(struct pm_http_request *req, const Pm__ShardResponse *response)
{
    size_t size;
    unsigned char *data = pm_shard_message_pack(&response->base, &size);

    pm_http_reply(req, PM_SHARD_HTTP_OK, data, size, 0);
    g_free(data);
}

void pm_shards_handle_peer_request(struct pm_shards *shards, struct pm_http_request *req)
{
    Pm__ShardRequest *request = pm__shard_request__unpack(NULL, req->body_size, req->body);
    Pm__ShardResponse response = PM__SHARD_RESPONSE__INIT;
    double now = pm_clock_monotonic();

    if (!request) {
        pm_http_reply(req, PM_SHARD_HTTP_BAD_REQUEST, NULL, 0, 0);
        return;
    }
    response.incarnation_id = shards->incarnation_id;
    response.ready = is_ready(shards, now);
    if (!shards->is_leader && shards->is_owner) {
        revoke_machines(shards, request, &response);
        report_machines(shards, now, &response);
        report_failing_jobs(shards, &response);
    }
    if (shards->is_owner && !response.ready)
        response.workers_unreachable = true;
    reply(req, &response);
    g_free(response.drained);
    g_free(response.quarantined);
    g_free(response.unreachable);
    g_free(response.failing);
    pm__shard_request__free_unpacked(request, NULL);
}
