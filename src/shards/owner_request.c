/* The leader's requests to the owners, POST /block, and the handling of their responses. */
#include "base/clock.h"
#include "shard.pb-c.h"
#include "shards/internal.h"
#include "workers/failures.h"

#define REQUEST_TIMEOUT_S 0.8         /* a request fails after this; a later response is ignored */
#define ACTIVE_REQUEST_INTERVAL_S 0.4 /* requests to an owner with machines or jobs */
#define IDLE_REQUEST_INTERVAL_S 1.0   /* requests to an owner without machines and jobs */
/* If two reports that a machine is unreachable are further apart than this, the machine was
 * reachable in between, and the later report begins a new silence. */
#define SILENCE_REPORT_GAP_S 2.0

enum { RESPONSE_BYTES_MAX = 64 * 1024 };

/* Context of one request in flight; freed by its completion callback. */
struct owner_request {
    struct pm_shards *shards;
    struct pm_shard *shard;
    uint64_t term;
};

static struct pm_shard_machine *find_machine(const struct pm_shards *shards, struct pm_shard *shard,
                                             const char *name)
{
    int index = pm_names_find(shards->tables->machine_names, name);

    for (guint i = 0; i < shard->target.machines->len; i++)
        if (pm_shard_machine_at(shard, i)->index == index)
            return pm_shard_machine_at(shard, i);
    return NULL;
}

/* Marks drained machines for removal from the shard by its next write. */
static void apply_drained(struct pm_shards *shards, struct pm_shard *shard,
                          const Pm__ShardResponse *response)
{
    for (size_t i = 0; i < response->n_drained; i++) {
        struct pm_shard_machine *entry = find_machine(shards, shard, response->drained[i]);
        if (!entry || entry->state != PM_SHARD_MACHINE_REVOKING)
            continue;
        entry->state = PM_SHARD_MACHINE_REMOVING;
        entry->write_serial = 0;
        shard->target.needs_write = true;
    }
}

static void apply_quarantined(struct pm_shards *shards, struct pm_shard *shard,
                              const Pm__ShardResponse *response)
{
    for (size_t i = 0; i < response->n_quarantined; i++) {
        struct pm_shard_machine *entry = find_machine(shards, shard, response->quarantined[i]);
        struct pm_machine *machine;
        if (!entry || entry->state > PM_SHARD_MACHINE_OWNED)
            continue;
        entry->state = PM_SHARD_MACHINE_REVOKING;
        entry->preempt = true;
        machine = pm_workers_at(shards->workers, entry->index);
        if (machine)
            shards->hooks.machine_quarantined(shards->hooks.arg, machine);
    }
}

static void apply_unreachable(struct pm_shards *shards, const Pm__ShardResponse *response)
{
    for (size_t i = 0; i < response->n_unreachable; i++) {
        struct pm_machine *machine = pm_workers_find(shards->workers, response->unreachable[i]);
        double now = pm_clock_monotonic();
        if (!machine || !machine->shard.assigned_to)
            continue;
        if (now - machine->shard.reported_silent_at > SILENCE_REPORT_GAP_S)
            machine->shard.silent_since = now;
        machine->shard.reported_silent_at = now;
    }
}

/* Records which jobs of the shard the owner reports as failing, and clears all others. */
static void apply_failing(struct pm_shard *shard, const Pm__ShardResponse *response, double now)
{
    for (guint i = 0; i < shard->target.jobs->len; i++) {
        struct pm_job *job = g_ptr_array_index(shard->target.jobs, i);
        if (pm_shard_message_has_name(response->failing, response->n_failing, job->id))
            pm_failures_mark_job_failing(job, now);
        else
            pm_failures_clear_job_mark(job);
    }
}

static void apply_response(struct pm_shards *shards, struct pm_shard *shard,
                           const Pm__ShardResponse *response)
{
    struct pm_shard_owner *owner = &shard->owner;

    g_strlcpy(owner->incarnation_id, response->incarnation_id, sizeof owner->incarnation_id);
    owner->is_ready = response->ready;
    shards->has_unknown_launch_outcome |= response->launch_outcome_unknown;
    if (!response->workers_unreachable)
        owner->last_response_at = pm_clock_monotonic();
    apply_drained(shards, shard, response);
    apply_quarantined(shards, shard, response);
    apply_unreachable(shards, response);
    apply_failing(shard, response, pm_clock_monotonic());
}

static void on_response(void *arg, int status, const unsigned char *body, size_t size)
{
    struct owner_request *request = arg;
    struct pm_shards *shards = request->shards;
    struct pm_shard *shard = request->shard;
    bool is_current = shards->is_leader && shards->term == request->term;
    Pm__ShardResponse *response = NULL;

    g_free(request);
    if (!is_current)
        return;
    shard->owner.request_in_flight = false;
    if (status == PM_SHARD_HTTP_OK)
        response = pm__shard_response__unpack(NULL, size, body);
    if (!response)
        return;
    apply_response(shards, shard, response);
    pm__shard_response__free_unpacked(response, NULL);
    pm_shards_exchange(shards, pm_clock_monotonic());
}

/* Adds to the message the names of the machines that the owner must drain, and of those on which it
 * must preempt all tasks. The message's lists must have space for all machines of the shard. */
static void add_revoking(const struct pm_shards *shards, const struct pm_shard *shard,
                         Pm__ShardRequest *message)
{
    for (guint i = 0; i < shard->target.machines->len; i++) {
        const struct pm_shard_machine *entry = pm_shard_machine_at(shard, i);
        char *name;
        if (entry->state != PM_SHARD_MACHINE_REVOKING)
            continue;
        name = (char *)pm_names_text(shards->tables->machine_names, entry->index);
        message->revoking[message->n_revoking++] = name;
        if (entry->preempt)
            message->stop[message->n_stop++] = name;
    }
}

static void send_request(struct pm_shards *shards, struct pm_shard *shard, double now)
{
    const struct pm_settings *settings = shards->tables->settings;
    const char *addr = settings->peers[shard - shards->shard].addr;
    Pm__ShardRequest message = PM__SHARD_REQUEST__INIT;
    struct owner_request *request = g_new0(struct owner_request, 1);
    unsigned char *data;
    size_t size;

    shard->owner.requested_at = now;
    shard->owner.request_in_flight = true;
    message.from = (char *)settings->name;
    message.epoch = pm_election_epoch(shards->election);
    message.revoking = g_new0(char *, shard->target.machines->len + 1);
    message.stop = g_new0(char *, shard->target.machines->len + 1);
    add_revoking(shards, shard, &message);
    data = pm_shard_message_pack(&message.base, &size);
    *request = (struct owner_request){shards, shard, shards->term};
    pm_http_call(shards->http, addr, "POST", "/block", data, size, REQUEST_TIMEOUT_S,
                 RESPONSE_BYTES_MAX, on_response, request);
    g_free(data);
    g_free(message.revoking);
    g_free(message.stop);
}

void pm_shard_request_if_due(struct pm_shards *shards, struct pm_shard *shard, double now)
{
    bool is_in_use = shard->target.machines->len || shard->target.jobs->len;
    double interval_s = is_in_use ? ACTIVE_REQUEST_INTERVAL_S : IDLE_REQUEST_INTERVAL_S;

    if (!shard->owner.request_in_flight && now - shard->owner.requested_at > interval_s)
        send_request(shards, shard, now);
}
