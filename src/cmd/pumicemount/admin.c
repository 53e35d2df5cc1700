/* Answers the requests of operators' tools, on the address for peers:
 *
 * - GET /toolbox/status: which controller leads, this controller's links to the others, and counts
 *   of machines, jobs and tasks
 * - GET /toolbox/cleanup: which stored keys garbage collection would delete, and why
 * - GET /toolbox/job/ID: why a job does not run, as far as this controller knows
 *
 * Changes nothing, and runs in the event-loop thread. Each answer is a CBOR map, which
 * src/cmd/pumicectl decodes. Its version may differ, so the texts in answers must not change. */
#include "base/clock.h"
#include "internal.h"

#include <string.h>

#define ADMIN_PREFIX "/toolbox/"
#define ADMIN_JOB_PREFIX ADMIN_PREFIX "job/"

void pm_controller_encode_source(struct pm_controller *controller, struct pm_buffer *out,
                                 double now)
{
    pm_cbor_put_pair_text(out, "controller", controller->settings->name);
    pm_cbor_put_pair_flag(out, "leads", controller->is_leader);
    pm_cbor_put_pair_flag(out, "confirmed", pm_election_is_confirmed(controller->election, now));
}

static void encode_counts(struct pm_controller *controller, struct pm_buffer *out, double now)
{
    struct pm_controller_counts counts = pm_controller_count(controller, now);

    pm_cbor_put_text(out, "counts");
    pm_cbor_put_map(out);
    pm_cbor_put_pair_uint(out, "machines_up", (uint64_t)counts.machines_up);
    pm_cbor_put_pair_uint(out, "machines_silent", (uint64_t)counts.machines_silent);
    pm_cbor_put_pair_uint(out, "machines_leased_out", (uint64_t)counts.machines_assigned);
    pm_cbor_put_pair_uint(out, "machines_booting", (uint64_t)counts.machines_booting);
    pm_cbor_put_pair_uint(out, "jobs_live", counts.jobs);
    pm_cbor_put_pair_uint(out, "tasks_placed", counts.tasks_placed);
    pm_cbor_put_pair_uint(out, "tasks_waiting", counts.tasks_waiting);
    pm_cbor_put_pair_uint(out, "tasks_at_holders", counts.tasks_delegated);
    pm_cbor_put_end(out);
}

/* Encodes how many machines each other controller owns in its shard. Only the leader knows this; on
 * other controllers the list is empty. */
static void encode_shard_owners(struct pm_controller *controller, struct pm_buffer *out)
{
    GPtrArray *all = pm_workers_all(controller->workers);
    uint64_t owned[PM_PEERS_MAX] = {0};

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(all, i);
        if (machine && machine->shard.assigned_to > 0 &&
            machine->shard.assigned_to <= controller->settings->peer_count)
            owned[machine->shard.assigned_to - 1]++;
    }
    pm_cbor_put_text(out, "holders");
    pm_cbor_put_list(out);
    for (int i = 0; i < controller->settings->peer_count; i++) {
        if (!owned[i])
            continue;
        pm_cbor_put_map(out);
        pm_cbor_put_pair_text(out, "controller", controller->settings->peers[i].name);
        pm_cbor_put_pair_uint(out, "machines", owned[i]);
        pm_cbor_put_end(out);
    }
    pm_cbor_put_end(out);
}

static void encode_store_state(struct pm_controller *controller, struct pm_buffer *out, double now)
{
    pm_cbor_put_text(out, "state_service");
    pm_cbor_put_map(out);
    pm_cbor_put_pair_flag(out, "refuses", pm_store_is_refusing(controller->store));
    pm_cbor_put_pair_number(out, "served_ago_s", now - pm_store_last_served_at(controller->store));
    pm_cbor_put_pair_flag(out, "replica_ready", pm_store_is_ready(controller->store));
    pm_cbor_put_pair_uint(out, "replica_revision", pm_store_revision(controller->store));
    pm_cbor_put_end(out);
}

static void encode_status(struct pm_controller *controller, struct pm_buffer *out, double now)
{
    const char *leader = controller->is_leader ? controller->settings->name
                                               : pm_election_other_leader(controller->election);

    pm_cbor_put_map(out);
    pm_controller_encode_source(controller, out, now);
    pm_cbor_put_pair_text(out, "version", PM_VERSION);
    pm_cbor_put_pair_text(out, "process", pm_election_incarnation_id(controller->election));
    pm_cbor_put_pair_uint(out, "protocol_version",
                          pm_election_protocol_version(controller->election));
    pm_cbor_put_pair_text(out, "leader", leader ? leader : "");
    pm_cbor_put_pair_flag(out, "holds_block", controller->is_active && !controller->is_leader);
    pm_cbor_put_pair_uint(out, "epoch", pm_election_epoch(controller->election));
    encode_store_state(controller, out, now);
    encode_counts(controller, out, now);
    encode_shard_owners(controller, out);
    pm_cbor_put_text(out, "single_duties");
    pm_roles_encode_status(controller->roles, out, now);
    pm_cbor_put_text(out, "links");
    pm_links_encode_status(controller->links, out, now);
    pm_cbor_put_end(out);
}

static void encode_garbage(struct pm_controller *controller, struct pm_buffer *out, double now)
{
    pm_cbor_put_map(out);
    pm_controller_encode_source(controller, out, now);
    pm_cbor_put_pair_flag(out, "cleans",
                          pm_roles_is_holder(controller->roles, PM_ROLE_GARBAGE_COLLECTION, now));
    pm_cbor_put_text(out, "keys");
    pm_gc_encode_status(controller->gc, out, now);
    pm_cbor_put_end(out);
}

bool pm_controller_handle_admin_request(struct pm_controller *controller,
                                        struct pm_http_request *request)
{
    struct pm_buffer body = {0};
    double now = pm_clock_monotonic();

    if (strncmp(request->path, ADMIN_PREFIX, strlen(ADMIN_PREFIX)) != 0)
        return false;
    if (request->method != PM_HTTP_GET) {
        pm_http_reply(request, 405, NULL, 0, 0);
        return true;
    }
    if (!strcmp(request->path, ADMIN_PREFIX "status"))
        encode_status(controller, &body, now);
    else if (!strcmp(request->path, ADMIN_PREFIX "cleanup"))
        encode_garbage(controller, &body, now);
    else if (!strncmp(request->path, ADMIN_JOB_PREFIX, strlen(ADMIN_JOB_PREFIX)) &&
             pm_job_id_is_valid(request->path + strlen(ADMIN_JOB_PREFIX)))
        pm_controller_encode_job_reasons(controller, request->path + strlen(ADMIN_JOB_PREFIX),
                                         &body, now);
    else
        return false;
    pm_http_reply(request, 200, body.data, body.size, 0);
    pm_buffer_free(&body);
    return true;
}
