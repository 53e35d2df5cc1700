/* What operators' tools ask of a controller, on its back address:
 *
 * - GET /toolbox/status: who leads, what this controller sees of the others, counts
 * - GET /toolbox/cleanup: which stored keys a cleaning run would take away, and why
 * - GET /toolbox/job/ID: why a job does not run, as far as this controller knows
 *
 * Reads only. Answers are CBOR maps; src/cmd/pumicectl reads them. */
#include "base/clock.h"
#include "internal.h"
#include "workers/failures.h"

#include <string.h>

#define TOOLBOX "/toolbox/"
#define TOOLBOX_JOB TOOLBOX "job/"

enum { NAMED_MOST = 20 }; /* jobs named in one reason */

/* Who tells this, and how much its word counts: every answer begins with it. */
static void put_teller(struct pm_controller *n, struct pm_buf *out, double now)
{
    pm_put_pair_text(out, "controller", n->settings->name);
    pm_put_pair_flag(out, "leads", n->leading);
    pm_put_pair_flag(out, "confirmed", pm_election_is_confirmed(n->lead, now));
}

static void put_counts(struct pm_controller *n, struct pm_buf *out, double now)
{
    struct pm_controller_counts counts = pm_controller_count(n, now);

    pm_put_text(out, "counts");
    pm_put_map(out);
    pm_put_pair_count(out, "machines_up", (uint64_t)counts.up);
    pm_put_pair_count(out, "machines_silent", (uint64_t)counts.silent);
    pm_put_pair_count(out, "machines_leased_out", (uint64_t)counts.lent);
    pm_put_pair_count(out, "machines_booting", (uint64_t)counts.booting);
    pm_put_pair_count(out, "jobs_live", counts.live);
    pm_put_pair_count(out, "tasks_placed", counts.placed);
    pm_put_pair_count(out, "tasks_waiting", counts.waiting);
    pm_put_pair_count(out, "tasks_at_holders", counts.delegated);
    pm_put_end(out);
}

/* Machines leased out, by holder; the leader knows them. */
static void put_holders(struct pm_controller *n, struct pm_buf *out)
{
    GPtrArray *all = pm_workers_all(n->workers);
    uint64_t held[PM_PEERS_MAX] = {0};

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && m->shard.owner > 0 && m->shard.owner <= n->settings->peer_count)
            held[m->shard.owner - 1]++;
    }
    pm_put_text(out, "holders");
    pm_put_list(out);
    for (int i = 0; i < n->settings->peer_count; i++) {
        if (!held[i])
            continue;
        pm_put_map(out);
        pm_put_pair_text(out, "controller", n->settings->peers[i].name);
        pm_put_pair_count(out, "machines", held[i]);
        pm_put_end(out);
    }
    pm_put_end(out);
}

static void put_state_service(struct pm_controller *n, struct pm_buf *out, double now)
{
    pm_put_text(out, "state_service");
    pm_put_map(out);
    pm_put_pair_flag(out, "refuses", pm_store_is_refusing(n->store));
    pm_put_pair_number(out, "served_ago_s", now - pm_store_last_served_at(n->store));
    pm_put_pair_flag(out, "replica_ready", pm_store_is_ready(n->store));
    pm_put_pair_count(out, "replica_revision", pm_store_revision(n->store));
    pm_put_end(out);
}

static void put_status(struct pm_controller *n, struct pm_buf *out, double now)
{
    const char *leader = n->leading ? n->settings->name : pm_election_other_leader(n->lead);

    pm_put_map(out);
    put_teller(n, out, now);
    pm_put_pair_text(out, "version", PM_VERSION);
    pm_put_pair_text(out, "process", pm_election_incarnation_id(n->lead));
    pm_put_pair_count(out, "protocol_version", pm_election_protocol_version(n->lead));
    pm_put_pair_text(out, "leader", leader ? leader : "");
    pm_put_pair_flag(out, "holds_block", n->ruling && !n->leading);
    pm_put_pair_count(out, "epoch", pm_election_epoch(n->lead));
    put_state_service(n, out, now);
    put_counts(n, out, now);
    put_holders(n, out);
    pm_put_text(out, "single_duties");
    pm_roles_encode_status(n->duties, out, now);
    pm_put_text(out, "links");
    pm_links_encode_status(n->links, out, now);
    pm_put_end(out);
}

static void put_cleanup(struct pm_controller *n, struct pm_buf *out, double now)
{
    pm_put_map(out);
    put_teller(n, out, now);
    pm_put_pair_flag(out, "cleans", pm_roles_holds(n->duties, PM_ROLE_GARBAGE_COLLECTION, now));
    pm_put_text(out, "keys");
    pm_gc_encode_status(n->clean, out, now);
    pm_put_end(out);
}

/* ---- why a job does not run ---- */

static void put_reason(struct pm_buf *out, const char *reason, const char *detail)
{
    pm_put_map(out);
    pm_put_pair_text(out, "reason", reason);
    pm_put_pair_text(out, "detail", detail);
    pm_put_end(out);
}

static void put_unmet(struct pm_controller *n, const struct pm_job *job, struct pm_buf *out)
{
    GString *names = g_string_new(NULL);
    unsigned named = 0;

    for (uint32_t i = 0; job->spec && i < job->spec->dependency_count && named < NAMED_MOST; i++) {
        const char *id = pm_names_text(n->tables.dependency_ids, job->spec->dependencies[i]);
        const struct pm_job *needed = pm_jobs_find(n->jobs, id);
        if (needed && needed->state == PM_JOB_DONE)
            continue;
        g_string_append_printf(names, "%s%s", named++ ? ", " : "", id);
    }
    if (job->dependencies.unmet > named)
        g_string_append_printf(names, " and %u more", job->dependencies.unmet - named);
    put_reason(out, "waits-for-jobs", names->str);
    g_string_free(names, TRUE);
}

/* What the machines that the job may use have free, as the leader or a holder sees them. */
static void put_room(struct pm_controller *n, const struct pm_job *job, struct pm_buf *out)
{
    GPtrArray *all = pm_workers_all(n->workers);
    const struct pm_spec *spec = job->spec;
    unsigned allowed = 0;
    unsigned booting = 0;
    uint32_t fit = 0;
    char detail[128];

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->type < 0 ||
            !pm_scheduler_is_machine_allowed(&n->tables, job, m->type, m->zone, m->spot))
            continue;
        booting += m->state == PM_MACHINE_BOOTING;
        if (m->state != PM_MACHINE_UP || m->shard.owner)
            continue;
        allowed++;
        fit += pm_spec_tasks_that_fit(spec, m->free.cpus, m->free.gpus, m->free.ram_gb);
    }
    snprintf(detail, sizeof detail,
             "%u machines may run it, with room for %u of its tasks; %u boot", allowed, fit,
             booting);
    put_reason(out, fit ? "about-to-be-placed" : "no-room", detail);
}

static void put_cut_zone(struct pm_controller *n, const struct pm_job *job, struct pm_buf *out)
{
    const struct pm_view *own = &pm_links_matrix(n->links)->view[0];
    int zone = job->spec->zone;

    if (zone >= 0 && own->zone[zone] != PM_LINK_UNKNOWN && !pm_link_usable(own->zone[zone]))
        put_reason(out, "zone-not-reached", n->settings->zone_names[zone]);
}

static void put_reasons(struct pm_controller *n, const struct pm_job *job, struct pm_buf *out,
                        double now)
{
    if (job->state != PM_JOB_LIVE)
        return;
    if (!pm_controller_is_store_writable(n, now))
        put_reason(out, "not-recorded",
                   "this controller does not reach the state service; it places nothing");
    if (job->dependencies.incomplete || job->dependencies.unmet) {
        put_unmet(n, job, out);
        return;
    }
    if (!job->spec) {
        put_reason(out, "unreadable", "its value in the state service can't be read");
        return;
    }
    put_cut_zone(n, job, out);
    if (job->delegated) {
        put_reason(out, "delegated", "another controller places it on its block");
        return;
    }
    if (!n->ruling) {
        put_reason(out, "not-placed-here", "this controller neither leads nor holds the job");
        return;
    }
    if (!pm_job_waiting_tasks(job))
        return;
    if (pm_failures_is_job_failing(job)) {
        put_reason(out, "failing", "its tasks fail wherever they run; tried one at a time");
        return;
    }
    if (!pm_scheduler_leasable_tasks(n->plan, job->spec, 0))
        put_reason(out, "team-limit", n->settings->teams[job->spec->team].name);
    else
        put_room(n, job, out);
}

static const char *state_name(const struct pm_job *job, uint32_t running)
{
    if (job->state == PM_JOB_DONE)
        return "done";
    if (job->state == PM_JOB_CANCELLED)
        return "cancelled";
    return running ? "running" : "queued";
}

static void put_job(struct pm_controller *n, const char *id, struct pm_buf *out, double now)
{
    const struct pm_job *job = pm_jobs_find(n->jobs, id);
    uint32_t done = 0;
    uint32_t running = 0;

    pm_put_map(out);
    put_teller(n, out, now);
    pm_put_pair_text(out, "job", id);
    pm_put_pair_flag(out, "known", job != NULL);
    if (job) {
        pm_job_count_tasks(job, &done, &running);
        pm_put_pair_text(out, "state", state_name(job, running));
        pm_put_pair_count(out, "tasks", job->task_count);
        pm_put_pair_count(out, "done", done);
        pm_put_pair_count(out, "running", running);
    }
    pm_put_pair_number(out, "replica_age_s", now - pm_store_last_served_at(n->store));
    pm_put_text(out, "reasons");
    pm_put_list(out);
    if (job)
        put_reasons(n, job, out, now);
    pm_put_end(out);
    pm_put_end(out);
}

bool pm_controller_handle_admin_request(struct pm_controller *n, struct pm_http_request *req)
{
    struct pm_buf body = {0};
    double now = pm_clock_monotonic();

    if (strncmp(req->path, TOOLBOX, strlen(TOOLBOX)) != 0)
        return false;
    if (req->method != PM_HTTP_GET) {
        pm_http_reply(req, 405, NULL, 0, 0);
        return true;
    }
    if (!strcmp(req->path, TOOLBOX "status"))
        put_status(n, &body, now);
    else if (!strcmp(req->path, TOOLBOX "cleanup"))
        put_cleanup(n, &body, now);
    else if (!strncmp(req->path, TOOLBOX_JOB, strlen(TOOLBOX_JOB)) &&
             pm_job_id_is_valid(req->path + strlen(TOOLBOX_JOB)))
        put_job(n, req->path + strlen(TOOLBOX_JOB), &body, now);
    else
        return false;
    pm_http_reply(req, 200, body.data, body.size, 0);
    pm_buf_free(&body);
    return true;
}
