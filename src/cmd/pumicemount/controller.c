/* One controller: the loop's thread does all I/O, the planner's thread decides what runs where.
 * The loop holds the node's lock while it handles the events at hand, and lets go of it around
 * every wait; the planner takes it for one plan. Sockets never block, so nobody waits with the
 * lock. */
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "internal.h"
#include "workers/failures.h"

#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Of the sockets: one in so many for our own requests. Users and workers have the rest, but for
 * what peers need and a little that stays free. */
#define CLIENT_SHARE 5
#define SOCKETS_SPARE_SHARE 20 /* and one in so many, and a few more, stay free */
#define SOCKETS_SPARE 8
#define STORE_SHARE 0.36 /* of the state service's requests: for the watches, and for freshness */
#define YIELDED_S 1.0    /* a task that was stopped to make room rests for this long */

/* ---- what the slices tell ---- */

static void on_durable(void *arg, struct pm_placement *place)
{
    struct pm_controller *n = arg;

    if (n->ruling)
        pm_controller_push_commands(n, place->machine, false);
}

static void on_commit_confirmed(void *arg, double sent, uint64_t store_revision)
{
    struct pm_controller *n = arg;

    pm_election_confirm_epoch(n->lead, sent, store_revision);
    pm_controller_commit(n);
    pm_controller_plan_soon(n);
}

static void on_commit_doubt(void *arg)
{
    pm_election_recheck_epoch(((struct pm_controller *)arg)->lead);
}

static void on_ended(void *arg, struct pm_placement *place, enum pm_task_exit end, bool saved,
                     double now)
{
    static const char *const ends[] = {"",        "done",     "stopped", "failed",
                                       "refused", "its gang", "gone"};
    struct pm_controller *n = arg;
    struct pm_job *job = place->job;
    struct pm_task *task = pm_job_task(job, place->task_index);
    struct pm_machine *m = place->machine;

    pm_debug("task.exited", "%s/%u try %u on %s: %s%s", job->id, place->task_index, place->attempt,
             m->name, ends[end], saved ? " saved" : "");
    if (end != PM_TASK_EXIT_DONE && place->running_since && job->spec->checkpoint_interval_s > 0)
        task->was_resumed = true;
    /* What was stopped to make room does not compete for that room at once. */
    if (end != PM_TASK_EXIT_DONE && place->should_stop && job->spec->kind == PM_WORKLOAD_ARRAY)
        pm_job_back_off(job, place->task_index, now + YIELDED_S);
    if (end == PM_TASK_EXIT_DONE) {
        if (place->running_since && !task->was_resumed)
            pm_scheduler_record_run_time(n->plan, job, now - place->running_since);
        if (job->spec->kind == PM_WORKLOAD_GANG) { /* its tasks complete together */
            for (uint32_t i = 0; i < job->task_count; i++)
                pm_job_task(job, i)->done = true;
            job->work.done_count = job->task_count;
        }
    }
}

static void on_ran(void *arg, struct pm_placement *place, double now)
{
    (void)arg;
    pm_debug("task.running", "%s/%u try %u on %s after %.2f", place->job->id, place->task_index,
             place->attempt, place->machine->name, now - place->placed_at);
}

static void on_gone(void *arg, struct pm_machine *m)
{
    struct pm_controller *n = arg;

    pm_workers_mark_lost(n->workers, m, pm_clock_monotonic());
    pm_workers_remove(n->workers, m);
    pm_controller_plan_soon(n);
}

/* The replica changed. */
static void on_changed(void *arg)
{
    pm_controller_plan_soon(arg);
}

static void on_types_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                             const cbor_item_t *failed)
{
    (void)result;
    (void)store_revision;
    (void)failed;
    ((struct pm_controller *)arg)->types_busy = false;
}

static void on_types(void *arg, const cbor_item_t *models)
{
    struct pm_controller *n = arg;
    struct pm_txn txn = {0};

    if (!pm_machine_types_decode(&n->tables, models)) {
        pm_error("autoscaler.machine_types", "unreadable machine types");
        return;
    }
    pm_controller_plan_soon(n);
    if (!n->leading || n->types_busy || n->types_revision)
        return;
    /* Kept in the state service, for controllers that start while the cloud has an outage. */
    n->types_busy = true;
    pm_txn_compare(&txn, "p/epoch", pm_election_epoch_revision(n->lead));
    pm_txn_compare(&txn, "p/types", 0);
    pm_txn_put(&txn, "p/types");
    pm_put_item(&txn.writes, models);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(n->store, &txn, on_types_written, n);
}

/* ---- the lead ---- */

/* Finds a job's places again in what the state service says. */
static int find_places(struct pm_controller *n, struct pm_job *job, double now)
{
    int places = 0;

    for (int k = 0; job->spec && k < job->chunk_count; k++) {
        GArray *stored_places =
            job->chunks[k] && job->chunks[k]->stored ? job->chunks[k]->stored_placements : NULL;
        for (guint s = 0; stored_places && s < stored_places->len; s++) {
            struct pm_stored_placement *spot =
                &g_array_index(stored_places, struct pm_stored_placement, s);
            struct pm_machine *m =
                pm_workers_add(n->workers, pm_names_text(n->tables.machine_names, spot->machine));
            pm_workers_add_placement(n->workers, job,
                                     (uint32_t)k * PM_CHUNK_TASKS + spot->task_in_chunk, m,
                                     spot->attempt, spot->incarnation, PM_PLACEMENT_DURABLE, now);
            if (m->state ==
                PM_MACHINE_BOOTING) { /* its worker may be silent by now: counted from here */
                m->state = PM_MACHINE_UP;
                m->heartbeat.last_message_at = now;
            }
            places++;
        }
    }
    return places;
}

static void start_anew(struct pm_controller *n)
{
    pm_workers_reset(n->workers);
    pm_jobs_reset_work(n->jobs);
    pm_commit_reset(n->commit);
    pm_scheduler_reset(n->plan);
    pm_scheduler_set_reserve(n->plan, 0);
}

/* Rebuilds the working state from the state service: what is done, and every place that is not
 * proven gone. Tasks are then found again in workers' reports rather than started anew. */
static void on_took(void *arg, uint64_t epoch)
{
    struct pm_controller *n = arg;
    GPtrArray *active = pm_jobs_active(n->jobs);
    double now = pm_clock_monotonic();
    cbor_item_t *ledger;
    int places = 0;

    start_anew(n);
    pm_jobs_set_delegated(n->jobs, false);
    pm_autoscaler_reset(n->fleet, epoch);
    pm_shards_adopt(n->blocks, now);
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->delegated)
            places += find_places(n, job, now);
    }
    ledger = pm_cbor_parse(n->ledger.data, n->ledger.size);
    pm_scheduler_decode_cached_images(n->plan, ledger);
    pm_scheduler_decode_failing_jobs(n->plan, ledger, now);
    pm_autoscaler_decode_silent_zones(n->fleet, ledger, now, pm_clock_wall());
    pm_cbor_free(ledger);
    pm_autoscaler_adopt_intents(n->fleet);
    n->ruling = n->leading = true;
    n->took_at = now;
    pm_controller_tick_roles(n, now);
    pm_store_set_write_share(n->store, 0.5, 0.9);
    pm_info("controller.active", "epoch %llu, %u jobs, %d places", (unsigned long long)epoch,
            active->len, places);
    pm_controller_plan_soon(n);
}

/* Who does not lead writes users' requests and its block's placements. */
static void share_of_others(struct pm_controller *n)
{
    double share = 0.8 / MAX(2, n->settings->cluster_size - 1);

    pm_store_set_write_share(n->store, share, share);
}

static void on_lost(void *arg)
{
    struct pm_controller *n = arg;

    n->ruling = n->leading = false;
    share_of_others(n);
    pm_autoscaler_reset(n->fleet, 0);
    pm_shards_step_down(n->blocks);
    start_anew(n);
    pm_controller_tick_roles(n, pm_clock_monotonic());
}

static void on_raised(void *arg, uint64_t epoch)
{
    (void)epoch;
    pm_controller_tick_roles(arg, pm_clock_monotonic());
    pm_controller_plan_soon(arg);
}

static void on_lead_confirmed(void *arg)
{
    struct pm_controller *n = arg;

    if (!n->ruling)
        return;
    pm_controller_probe_workers(n, pm_clock_monotonic());
    pm_controller_plan_soon(n);
}

/* ---- blocks ---- */

static void on_job_back(void *arg, struct pm_job *job)
{
    struct pm_controller *n = arg;

    pm_job_reset_work(job);
    find_places(n, job, pm_clock_monotonic());
}

static void on_machine_bad(void *arg, struct pm_machine *m)
{
    (void)arg;
    pm_failures_quarantine_machine(m);
}

/* This controller holds a block now, or a different one, or none. */
static void on_block_mine(void *arg, bool granted)
{
    struct pm_controller *n = arg;

    if (n->leading)
        return;
    if (!granted) {
        pm_election_set_owned_shard(n->lead, n->block_key, 0);
        if (n->ruling)
            start_anew(n);
        n->ruling = false;
        return;
    }
    if (!n->ruling) {
        pm_commit_reset(n->commit);
        pm_scheduler_reset(n->plan);
    }
    n->ruling = true;
    pm_election_set_owned_shard(n->lead, n->block_key, pm_shards_owned_revision(n->blocks));
    pm_controller_plan_soon(n);
}

/* ---- the replica's feed ---- */

static void on_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    struct pm_controller *n = arg;
    const struct pm_job *job;

    if (!strcmp(key, "p/epoch") || !strcmp(key, "p/lead") || !strncmp(key, "p/speaks", 8)) {
        pm_election_apply_put(n->lead, key, value, revision);
        n->tables.protocol_version = pm_election_protocol_version(n->lead);
        pm_api_enable_dependencies(n->intake,
                                   n->tables.protocol_version >= PM_PROTOCOL_DEPENDENCIES);
    } else if (pm_roles_apply_put(n->duties, key, value, revision)) {
        pm_gc_apply_put(n->clean, key, value, revision, pm_clock_monotonic());
    } else if (!strncmp(key, "p/b/", 4)) {
        n->blocks_changed |= n->ruling;
        pm_shards_apply_put(n->blocks, key, value, revision);
    } else if (!strncmp(key, PM_LINKS_PREFIX, strlen(PM_LINKS_PREFIX))) {
        pm_links_apply_put(n->links, key, value, revision, pm_clock_monotonic());
        pm_gc_apply_put(n->clean, key, value, revision, pm_clock_monotonic());
    } else if (!strncmp(key, "p/seen/", 7)) {
        pm_cancel_quorum_apply_put(n->cancels, key, value);
        pm_gc_apply_put(n->clean, key, value, revision, pm_clock_monotonic());
    } else if (!strcmp(key, "p/ledger")) {
        n->ledger_revision = MAX(n->ledger_revision, revision);
        if (!n->leading) {
            pm_scheduler_decode_ledger(n->plan, value);
            n->ledger.size = 0; /* kept for the images, should this controller take the lead */
            pm_put_item(&n->ledger, value);
        }
    } else if (!strcmp(key, "p/types")) {
        n->types_revision = revision;
        if (!n->tables.type_count && !pm_machine_types_decode(&n->tables, value))
            pm_error("autoscaler.machine_types", "unreadable machine types in the state service");
    } else if ((job = pm_jobs_apply_put(n->jobs, key, value, revision))) {
        if (job->cancellation_revision == revision && pm_store_is_ready(n->store))
            pm_cancel_quorum_note_read(n->cancels, revision);
        pm_controller_plan_soon(n);
    }
}

static void on_drop(void *arg, const char *key, uint64_t revision)
{
    struct pm_controller *n = arg;

    pm_election_apply_delete(n->lead, key, revision);
    pm_roles_apply_delete(n->duties, key, revision);
    pm_gc_apply_delete(n->clean, key, revision);
    pm_shards_apply_delete(n->blocks, key, revision);
    pm_jobs_apply_delete(n->jobs, key, revision);
}

static void on_begin(void *arg)
{
    struct pm_controller *n = arg;

    pm_election_snapshot_begin(n->lead);
    pm_roles_snapshot_begin(n->duties);
    pm_gc_snapshot_begin(n->clean);
    pm_shards_snapshot_begin(n->blocks);
    pm_jobs_snapshot_begin(n->jobs);
}

static void on_listed(void *arg)
{
    struct pm_controller *n = arg;

    pm_roles_snapshot_end(n->duties);
    pm_gc_snapshot_end(n->clean);
    pm_info("controller.synced", "edition %llu", (unsigned long long)pm_store_revision(n->store));
}

static void on_caught_up(void *arg, uint64_t store_revision)
{
    struct pm_controller *n = arg;

    (void)store_revision;
    pm_shards_caught_up(n->blocks);
    if (n->blocks_changed) {
        n->blocks_changed = false;
        pm_controller_probe_workers(n, pm_clock_monotonic());
        pm_controller_plan_soon(n);
    }
}

/* ---- cancellations that others tell of ---- */

static void on_cancelled(void *arg, const char *id, uint64_t revision)
{
    struct pm_controller *n = arg;

    if (pm_jobs_apply_cancellation(n->jobs, id, revision)) {
        pm_info("controller.cancelled", "%s, by a peer's word", id);
        pm_controller_plan_soon(n); /* its tasks are killed at once */
    }
}

static const struct pm_cancellation *on_list_cancelled(void *arg, uint64_t revision, size_t most,
                                                       size_t *count, bool *more)
{
    return pm_jobs_list_cancellations(((struct pm_controller *)arg)->jobs, revision, most, count,
                                      more);
}

static void on_peer_reached(void *arg, int peer, uint64_t store_revision)
{
    pm_cancel_quorum_note_peer_revision(((struct pm_controller *)arg)->cancels, peer,
                                        store_revision);
}

static void on_front(void *arg, struct pm_http_request *req)
{
    struct pm_controller *n = arg;

    if (!strcmp(req->path, "/v1/report")) {
        if (req->method == PM_HTTP_POST)
            pm_controller_handle_heartbeat(n, req);
        else
            pm_http_reply(req, 405, NULL, 0, 0);
    } else if (!strcmp(req->path, "/ready")) {
        pm_api_handle_readiness_probe(n->intake, req,
                                      pm_election_is_refused_alone(n->lead, pm_clock_monotonic()) ||
                                          pm_links_is_cut_off(n->links));
    } else if (!strcmp(req->path, "/work") || !strncmp(req->path, "/work/", 6)) {
        pm_api_handle_job_request(n->intake, req);
    } else {
        pm_http_reply(req, 404, NULL, 0, 0);
    }
}

static void on_back(void *arg, struct pm_http_request *req)
{
    struct pm_controller *n = arg;

    if (!strcmp(req->path, "/peer") && req->method == PM_HTTP_POST)
        pm_election_handle_peer_request(n->lead, req);
    else if (!strcmp(req->path, "/cancelled") && req->method == PM_HTTP_POST)
        pm_cancel_quorum_handle_peer_request(n->cancels, req);
    else if (!strcmp(req->path, "/block") && req->method == PM_HTTP_POST)
        pm_shards_handle_peer_request(n->blocks, req);
    else if (!pm_controller_handle_admin_request(n, req))
        pm_http_reply(req, 404, NULL, 0, 0);
}

static void before_wait(struct ev_loop *loop)
{
    g_mutex_unlock(&((struct pm_controller *)ev_userdata(loop))->lock);
}

static void after_wait(struct ev_loop *loop)
{
    g_mutex_lock(&((struct pm_controller *)ev_userdata(loop))->lock);
}

static void make_names(struct pm_name_tables *tables, const struct pm_settings *settings)
{
    tables->settings = settings;
    tables->class_names = pm_names_new();
    tables->image_names = pm_names_new();
    tables->type_names = pm_names_new();
    tables->machine_names = pm_names_new();
    tables->dependency_ids = pm_names_new();
}

/* The loop's thread has the lock but for its waits. */
static void make_locks(struct pm_controller *n)
{
    g_mutex_init(&n->lock);
    ev_set_userdata(n->loop, n);
    ev_set_loop_release_cb(n->loop, before_wait, after_wait);
    g_mutex_init(&n->wake_lock);
    g_cond_init(&n->wake);
}

/* What decides: no I/O of its own but for the fleet's calls to the cloud. */
static void make_planning(struct pm_controller *n)
{
    n->jobs = pm_jobs_new(&n->tables);
    n->workers =
        pm_workers_new(&n->tables, n->jobs, &(struct pm_workers_hooks){on_ended, on_ran, n});
    n->plan = pm_scheduler_new(&n->tables, n->jobs, n->workers, n->op);
    n->fleet = pm_autoscaler_new(n->http, &n->tables, n->jobs, n->workers, n->plan, n->op,
                                 &(struct pm_autoscaler_hooks){on_types, on_gone, on_changed, n});
}

/* What rests on the state service. */
static void make_replication(struct pm_controller *n)
{
    const struct pm_settings *settings = n->settings;

    n->store = pm_store_new(
        n->loop, n->http, settings->store_addr, settings->store_write_rps,
        &(struct pm_store_observer){on_put, on_drop, on_begin, on_listed, on_caught_up, n});
    share_of_others(n);
    pm_store_set_request_rate(n->store, STORE_SHARE * settings->store_rps / settings->cluster_size);
    n->lead = pm_election_new(n->loop, n->store, n->http, settings, n->op,
                              &(struct pm_election_hooks){on_took, on_lost, on_raised,
                                                          on_lead_confirmed, on_cancelled,
                                                          on_list_cancelled, on_peer_reached, n});
    n->cancels = pm_cancel_quorum_new(n->loop, n->store, n->http, settings,
                                      &(struct pm_cancel_quorum_hooks){on_cancelled, n});
    n->commit = pm_commit_new(
        &n->tables, n->jobs, n->store,
        &(struct pm_commit_hooks){on_durable, on_commit_confirmed, on_commit_doubt, n});
    snprintf(n->block_key, sizeof n->block_key, "p/b/%s", settings->name);
    n->blocks = pm_shards_new(
        &n->tables, n->jobs, n->workers, n->plan, n->store, n->http, n->lead,
        &(struct pm_shards_hooks){on_changed, on_job_back, on_machine_bad, on_block_mine, n});
    n->intake = pm_api_new(n->loop, n->store, n->jobs, &n->tables, n->cancels, n->op);
}

static void start_timers(struct pm_controller *n)
{
    ev_async_init(&n->planned, pm_controller_on_planned);
    ev_timer_init(&n->pace, pm_controller_on_pace, 0., 0.);
    ev_timer_init(&n->commit_timer, pm_controller_on_commit_timer, 0., 0.);
    ev_timer_init(&n->round, pm_controller_on_reconcile_timer, 0.05, ROUND_S);
    n->planned.data = n->pace.data = n->commit_timer.data = n->round.data = n;
    ev_async_start(n->loop, &n->planned);
    ev_timer_start(n->loop, &n->round);
}

static struct pm_http_server *listen_on(struct pm_controller *n, const char *addr, int connections,
                                        pm_http_handler *handler)
{
    struct pm_http_server *server = pm_http_server_new(n->loop, addr, connections, handler, n);

    if (!server)
        pm_error("controller.listen", "%s: %s", addr, strerror(errno));
    return server;
}

/* Peers get up to a sixteenth of the sockets, users and workers what is left but for a few. */
static bool start_servers(struct pm_controller *n)
{
    const struct pm_settings *settings = n->settings;
    int back = MAX(16, MIN(settings->sockets / 16, 8 * settings->peer_count));
    int front = settings->sockets - settings->sockets / CLIENT_SHARE - back -
                settings->sockets / SOCKETS_SPARE_SHARE - SOCKETS_SPARE;

    n->front = listen_on(n, settings->listen_addr, MAX(8, front), on_front);
    if (n->front)
        n->back = listen_on(n, settings->peer_listen_addr, back, on_back);
    return n->front && n->back;
}

struct pm_controller *pm_controller_new(struct ev_loop *loop, const struct pm_settings *settings,
                                        const struct pm_operator_settings *op)
{
    struct pm_controller *n = g_new0(struct pm_controller, 1);

    n->loop = loop;
    n->settings = settings;
    n->op = op;
    make_names(&n->tables, settings);
    make_locks(n);
    n->http = pm_http_client_new(loop, settings->sockets / CLIENT_SHARE);
    pm_controller_init_links(n);
    make_planning(n);
    make_replication(n);
    pm_controller_attach_links(n);
    pm_controller_init_roles(n);
    start_timers(n);
    if (!start_servers(n))
        return NULL;
    g_mutex_lock(&n->lock); /* the loop's thread has it until its first wait */
    n->planner = g_thread_new("planner", pm_controller_planner, n);
    return n;
}
