/* The simulated users: they submit and cancel jobs, poll the status of each job until it has ended,
 * and record each answer in the history. */
#include "testing/cluster_internal.h"
#include "base/clock.h"
#include "testing/http_status.h"

#include <stdio.h>
#include <string.h>

#define TICK_S 0.1
#define STATUS_POLL_S 0.5
#define RETRY_S 0.5
#define REQUEST_TIMEOUT_S 2.0
/* If settings.random is set: the probability that a user's next request repeats the submission of
 * an accepted job. */
#define RESUBMIT_PROBABILITY 0.1
#define UNKNOWN_JOB "job-999999"
#define UNKNOWN_JOB_EVERY_S 1.0
#define LOAD_TASK_RUN_S 1

enum { LOAD_TASKS = 2, ANSWER_MAX = 64 * 1024, CLIENT_CONNECTIONS_MAX = 64 };

/* Properties of submitted tasks that are the same in all tests. */
#define TASK_RAM_GB 4
#define TASK_IMAGE_GB 0.1
#define ARRAY_TASK_CPUS 2

/* A submitted job. */
struct user_job {
    struct cluster *cluster;
    char id[32];
    /* The caller's description. Its `team` and `dependency` are not used: the caller may free these
     * strings, so copies are kept below. */
    struct cluster_job wanted;
    char team[32], dependency[32];
    bool is_accepted, has_ended;
    bool cancel_requested; /* the test wants the job cancelled; the job may not have ended yet */
    bool in_flight;        /* a request for the job awaits its answer */
    bool resubmit;         /* the next request repeats the submission, although it was accepted */
    int controller;        /* the controller that the next request goes to */
    double next_at;        /* when the next request is sent */
};

/* The default team's quota equals the CPUs of all machines of a cluster of the default size. */
static const struct cluster_team default_team = {"team", 64, 64, 0};

const struct cluster_team *cluster_default_team(void)
{
    return &default_team;
}

/* ---- requests ---- */

static void put_submission(const struct user_job *job, struct pm_buffer *out)
{
    const struct cluster_job *wanted = &job->wanted;
    char zone[16];
    char image[16];

    snprintf(zone, sizeof zone, "zone-%d", wanted->zone);
    snprintf(image, sizeof image, "image-%d", wanted->image);
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "name_id", job->id);
    pm_cbor_put_pair_text(out, "ledger", "batch");
    pm_cbor_put_pair_text(out, "desk", job->team);
    pm_cbor_put_pair_text(out, "form", wanted->kind);
    pm_cbor_put_pair_text(out, "urgency", wanted->priority);
    pm_cbor_put_pair_uint(out, "entries", wanted->task_count);
    pm_cbor_put_pair_number(out, "cpus", wanted->cpus);
    pm_cbor_put_pair_number(out, "accelerators", wanted->accelerators);
    pm_cbor_put_pair_number(out, "ram_gb", wanted->ram_gb > 0 ? wanted->ram_gb : TASK_RAM_GB);
    pm_cbor_put_pair_text(out, "bundle", image);
    pm_cbor_put_pair_number(out, "size_gb",
                            wanted->image_gb > 0 ? wanted->image_gb : TASK_IMAGE_GB);
    pm_cbor_put_pair_flag(out, "same_place", wanted->same_zone);
    pm_cbor_put_pair_flag(out, "spread", wanted->spread_zones);
    pm_cbor_put_pair_flag(out, "borrowed", !wanted->ordinary_only);
    if (wanted->deadline_s > 0)
        pm_cbor_put_pair_number(out, "due_s", wanted->deadline_s);
    if (wanted->zone >= 0)
        pm_cbor_put_pair_text(out, "room", zone);
    if (wanted->machine_type) {
        pm_cbor_put_text(out, "models");
        pm_cbor_put_list(out);
        pm_cbor_put_text(out, wanted->machine_type);
        pm_cbor_put_end(out);
    }
    pm_cbor_put_pair_number(out, "expected_s",
                            wanted->estimated_run_s > 0 ? wanted->estimated_run_s : wanted->run_s);
    pm_cbor_put_pair_number(out, "bookmark_s", wanted->checkpoint_interval_s);
    pm_cbor_put_pair_number(out, "filing_s", wanted->checkpoint_duration_s);
    if (job->dependency[0]) {
        pm_cbor_put_text(out, "awaits");
        pm_cbor_put_list(out);
        pm_cbor_put_text(out, job->dependency);
        pm_cbor_put_end(out);
    }
    pm_cbor_put_end(out);
}

/* If settings.random is set, sends the next request to a random controller and up to STATUS_POLL_S
 * earlier, and sometimes lets it repeat the submission of an accepted job. */
static void randomize_next_request(struct user_job *job)
{
    const struct cluster_settings *settings = &job->cluster->settings;

    if (!settings->random)
        return;
    job->controller = g_rand_int_range(settings->random, 0, settings->controller_count);
    job->resubmit = job->is_accepted && g_rand_double(settings->random) < RESUBMIT_PROBABILITY;
    job->next_at -= g_rand_double(settings->random) * STATUS_POLL_S;
}

static void record_status(struct user_job *job, const char *status, double now)
{
    history_status_reported(job->cluster->history, job->id, job->wanted.task_count, status, now);
}

static void handle_answer(struct user_job *job, int http_status, const cbor_item_t *answer)
{
    double now = pm_clock_monotonic();
    bool is_success = http_status == HTTP_OK || http_status == HTTP_CREATED;
    char status[16] = "";

    job->in_flight = false;
    job->next_at = now + STATUS_POLL_S;
    if (is_success && pm_cbor_read_text(pm_cbor_get(answer, "status"), status, sizeof status)) {
        record_status(job, status, now);
        job->is_accepted = true;
        job->has_ended |= !strcmp(status, "done") || !strcmp(status, "cancelled");
        return;
    }
    if (http_status == HTTP_NOT_FOUND && job->is_accepted)
        record_status(job, "unknown", now);
    job->controller = (job->controller + 1) % job->cluster->settings.controller_count;
    job->next_at = now + RETRY_S;
}

static void on_answer(void *arg, int http_status, const unsigned char *body, size_t size)
{
    struct user_job *job = arg;
    cbor_item_t *answer = size ? pm_cbor_parse(body, size) : NULL;

    handle_answer(job, http_status, answer);
    randomize_next_request(job);
    pm_cbor_free(answer);
}

/* Submits the job, cancels it, or asks for its status. */
static void send_request(struct user_job *job)
{
    const struct cluster *cluster = job->cluster;
    bool is_submission = !job->is_accepted || job->resubmit;
    struct pm_buffer body = {0};
    char target[64] = "/work";

    if (is_submission)
        put_submission(job, &body);
    else
        snprintf(target, sizeof target, "/work/%s%s", job->id,
                 job->cancel_requested ? "/abort" : "");
    job->in_flight = true;
    pm_http_call(cluster->users.client, cluster->nodes[job->controller].worker_addr,
                 is_submission || job->cancel_requested ? "POST" : "GET", target, body.data,
                 body.size, REQUEST_TIMEOUT_S, ANSWER_MAX, on_answer, job);
    pm_buffer_free(&body);
}

static void on_unknown_job_answer(void *arg, int http_status, const unsigned char *body,
                                  size_t size)
{
    struct cluster *cluster = arg;

    (void)body;
    (void)size;
    if (http_status == HTTP_OK)
        history_unknown_job_reported(cluster->history, UNKNOWN_JOB);
}

static void request_unknown_job(struct cluster *cluster, double now)
{
    const struct cluster_settings *settings = &cluster->settings;
    int controller = g_rand_int_range(settings->random, 0, settings->controller_count);

    cluster->users.unknown_job_requested_at = now;
    pm_http_call(cluster->users.client, cluster->nodes[controller].worker_addr, "GET",
                 "/work/" UNKNOWN_JOB, NULL, 0, REQUEST_TIMEOUT_S, ANSWER_MAX,
                 on_unknown_job_answer, cluster);
}

/* ---- timer ---- */

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct cluster *cluster = timer->data;
    struct cluster_users *users = &cluster->users;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    if (users->submit_every_s > 0 && now >= users->next_submission_at) {
        cluster_submit_array(cluster, LOAD_TASKS, LOAD_TASK_RUN_S);
        users->next_submission_at = now + users->submit_every_s;
    }
    if (cluster->settings.random && now - users->unknown_job_requested_at > UNKNOWN_JOB_EVERY_S)
        request_unknown_job(cluster, now);
    for (guint i = 0; i < users->jobs->len; i++) {
        struct user_job *job = g_ptr_array_index(users->jobs, i);
        if (!job->has_ended && !job->in_flight && now >= job->next_at)
            send_request(job);
    }
}

void cluster_users_start(struct cluster *cluster)
{
    struct cluster_users *users = &cluster->users;

    users->jobs = g_ptr_array_new();
    users->client = pm_http_client_new(cluster->loop, CLIENT_CONNECTIONS_MAX);
    ev_timer_init(&users->tick, on_tick, TICK_S, TICK_S);
    users->tick.data = cluster;
    ev_timer_start(cluster->loop, &users->tick);
}

void cluster_users_stop(struct cluster *cluster)
{
    ev_timer_stop(cluster->loop, &cluster->users.tick);
}

void cluster_set_load(struct cluster *cluster, double every_s)
{
    cluster->users.submit_every_s = every_s;
    cluster->users.next_submission_at = 0;
}

/* ---- jobs ---- */

/* Registers the job with the history, which checks it, and with the fake workers, which run it. */
static void register_job(const struct cluster *cluster, const struct user_job *job)
{
    const struct cluster_job *wanted = &job->wanted;

    history_job_submitted(cluster->history, job->id,
                          (struct history_job){.team = job->team,
                                               .cpus = wanted->cpus,
                                               .accelerators = wanted->accelerators,
                                               .zone = wanted->zone,
                                               .machine_type = wanted->machine_type,
                                               .ordinary_only = wanted->ordinary_only,
                                               .same_zone = wanted->same_zone,
                                               .zone_tasks_max = wanted->spread_zones
                                                                     ? (wanted->task_count + 1) / 2
                                                                     : 0});
    fake_provider_describe_job(cluster->provider, job->id,
                               (struct fake_provider_job){.tasks = wanted->task_count,
                                                          .cpus = wanted->cpus,
                                                          .gang = !strcmp(wanted->kind, "group")});
}

const char *cluster_submit_job(struct cluster *cluster, const struct cluster_job *wanted)
{
    GPtrArray *jobs = cluster->users.jobs;
    struct user_job *job = g_new0(struct user_job, 1);

    job->cluster = cluster;
    job->wanted = *wanted;
    g_strlcpy(job->team, wanted->team, sizeof job->team);
    if (wanted->dependency)
        g_strlcpy(job->dependency, wanted->dependency, sizeof job->dependency);
    job->controller = (int)jobs->len % cluster->settings.controller_count;
    /* The id ends with the run time in tenths of a second, which the fake workers read from it
     * (fake_provider_task_run_s). */
    snprintf(job->id, sizeof job->id, "job-%04u%02d", jobs->len + 1, (int)(wanted->run_s * 10));
    register_job(cluster, job);
    g_ptr_array_add(jobs, job);
    return job->id;
}

const char *cluster_submit_array(struct cluster *cluster, unsigned tasks, double run_s)
{
    int zone = (int)(cluster->users.jobs->len + 1) % CLUSTER_ZONES;

    return cluster_submit_job(cluster, &(struct cluster_job){.team = default_team.name,
                                                             .kind = "array",
                                                             .priority = "normal",
                                                             .task_count = tasks,
                                                             .cpus = ARRAY_TASK_CPUS,
                                                             .run_s = run_s,
                                                             .zone = zone});
}

void cluster_cancel_job(struct cluster *cluster, const char *id)
{
    for (guint i = 0; i < cluster->users.jobs->len; i++) {
        struct user_job *job = g_ptr_array_index(cluster->users.jobs, i);
        job->cancel_requested |= !strcmp(job->id, id);
    }
}

void cluster_cancel_any_job(struct cluster *cluster, unsigned choice)
{
    unsigned open = cluster_open_job_count(cluster);
    unsigned skip = open ? choice % open : 0;

    for (guint i = 0; open && i < cluster->users.jobs->len; i++) {
        struct user_job *job = g_ptr_array_index(cluster->users.jobs, i);
        if (job->has_ended || skip--)
            continue;
        job->cancel_requested = true;
        return;
    }
}

void cluster_cancel_endless_jobs(struct cluster *cluster)
{
    for (guint i = 0; i < cluster->users.jobs->len; i++) {
        struct user_job *job = g_ptr_array_index(cluster->users.jobs, i);
        job->cancel_requested |= job->wanted.run_s <= 0;
    }
}

unsigned cluster_job_count(const struct cluster *cluster)
{
    return cluster->users.jobs->len;
}

unsigned cluster_open_job_count(const struct cluster *cluster)
{
    unsigned open = 0;

    for (guint i = 0; i < cluster->users.jobs->len; i++) {
        const struct user_job *job = g_ptr_array_index(cluster->users.jobs, i);
        open += !job->has_ended;
    }
    return open;
}
