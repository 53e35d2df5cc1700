#include "api/api.h"
#include "base/clock.h"
#include "base/log.h"

#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

enum { TRIES_MAX = 6, IN_FLIGHT_MAX = 4 };
#define GIVE_UP_S 3.0 /* the client waits 5 s: it hears before that */
#define SERVED_S 4.0  /* the state service counts as reachable for this long after an answer */

enum kind { SUBMIT, POLL, ABORT };

struct item { /* a request in progress */
    struct pm_api *intake;
    struct pm_http_request *req;
    enum kind kind;
    char id[PM_ID_MAX];
    struct pm_spec *spec;     /* of a submission */
    GPtrArray *dependencies;  /* ids of the jobs that it names as needed, NULL: none */
    uint32_t listed, writing; /* p/n values that are written, and will be then */
    double arrived;
    int tries;
    bool fresh;  /* the replica is as new as the question */
    size_t size; /* of a new job's value without what it needs; 0: not measured yet */
};

struct flight {
    struct pm_api *intake;
    GPtrArray *items;
};

struct pm_api {
    struct ev_loop *loop;
    struct pm_store *store;
    struct pm_jobs *jobs;
    struct pm_name_tables *tables;
    struct pm_cancel_quorum *cancels;
    bool dependencies_enabled;
    bool cut_off; /* the state service is out of reach */
    struct pm_concurrency_limit *limit;
    GQueue queue; /* of items to be written */
    int in_flight;
    ev_timer timer;
    double probed;
};

static void flush(struct pm_api *in);

static void item_free(struct item *item)
{
    pm_spec_free(item->spec);
    if (item->dependencies)
        g_ptr_array_free(item->dependencies, TRUE);
    g_free(item);
}

/* ---- answers ---- */

static void reply(struct item *item, int status, const void *body, size_t size, int retry_after)
{
    pm_http_reply(item->req, status, body, size, retry_after);
    pm_concurrency_limit_release(item->intake->limit, pm_clock_monotonic() - item->arrived,
                                 pm_store_latency_s(item->intake->store));
    item_free(item);
}

static void reply_unsure(struct item *item, int retry_after)
{
    reply(item, 503, NULL, 0, retry_after);
}

static void put_state(const struct pm_job *job, struct pm_buf *out)
{
    uint32_t done;
    uint32_t running;

    pm_job_count_tasks(job, &done, &running);
    pm_put_map(out);
    pm_put_pair_text(out, "name_id", job->id);
    pm_put_pair_text(out, "status",
                     job->state == PM_JOB_DONE        ? "done"
                     : job->state == PM_JOB_CANCELLED ? "cancelled"
                     : running                        ? "running"
                                                      : "queued");
    pm_put_pair_count(out, "done", done);
    pm_put_pair_count(out, "running", job->state == PM_JOB_LIVE ? running : 0);
    pm_put_end(out);
}

static void reply_state(struct item *item, const struct pm_job *job)
{
    struct pm_buf body = {0};

    put_state(job, &body);
    reply(item, 200, body.data, body.size, 0);
    pm_buf_free(&body);
}

static void reply_accepted(struct item *item)
{
    struct pm_buf body = {0};

    pm_put_map(&body);
    pm_put_pair_text(&body, "name_id", item->id);
    pm_put_pair_text(&body, "status", "queued");
    pm_put_end(&body);
    reply(item, 201, body.data, body.size, 0);
    pm_buf_free(&body);
}

static void on_known(void *arg, bool ok)
{
    struct item *item = arg;

    if (ok)
        reply_state(item, pm_jobs_find(item->intake->jobs, item->id));
    else
        reply_unsure(item, 1); /* cancelled it stays: the repeat needs a majority, nothing else */
}

/* A final state: "done" at once, "cancelled" once a majority of controllers knows it. */
static void reply_final(struct item *item, const struct pm_job *job)
{
    if (job->state == PM_JOB_CANCELLED)
        pm_cancel_quorum_publish(item->intake->cancels, job->id, job->cancellation_revision,
                                 on_known, item);
    else
        reply_state(item, job);
}

/* ---- deciding ---- */

static void on_fresh(void *arg, bool ok);

static void reply_error(struct pm_http_request *req, int status, const char *why);

static void refuse(struct item *item, const char *why)
{
    reply_error(item->req, 422, why);
    pm_concurrency_limit_release(item->intake->limit, pm_clock_monotonic() - item->arrived,
                                 pm_store_latency_s(item->intake->store));
    item_free(item);
}

/* Of the job's value, without what it needs. */
static size_t value_size(const struct item *item)
{
    struct pm_buf buf = {0};
    cbor_item_t *value;
    size_t n;

    pm_job_encode(item->intake->tables, item->spec, item->spec->task_count, PM_JOB_LIVE, true,
                  &buf);
    value = pm_cbor_parse(buf.data, buf.size);
    n = pm_cbor_json_size(value);
    pm_cbor_free(value);
    pm_buf_free(&buf);
    return n;
}

/* Why the new job can't be kept or can never run, as far as the replica knows: what it needs has to
 * be accepted, and to come to an end. NULL: nothing is against it. */
static const char *find_fault(struct item *item)
{
    const struct pm_api *in = item->intake;

    if (!item->size)
        item->size = value_size(item);
    /* A value that can't be kept would have all that is written with it refused. */
    if ((double)item->size > in->tables->settings->store_value_kb * 1024)
        return "too large to be kept";
    for (guint i = 0; item->dependencies && i < item->dependencies->len; i++) {
        const char *id = g_ptr_array_index(item->dependencies, i);
        const struct pm_job *job = pm_jobs_find(in->jobs, id);
        if (!strcmp(id, item->id))
            return "it needs itself";
        if (job && job->spec && job->spec->kind == PM_WORKLOAD_SERVICE)
            return "it needs a service";
        if (!job)
            return "it needs a job that was never accepted";
    }
    return NULL;
}

/* Ids of jobs that are known to exist become indices. */
static void index_dependencies(struct item *item)
{
    struct pm_api *in = item->intake;

    if (!item->dependencies || item->spec->dependencies)
        return;
    pm_spec_set_dependencies(in->tables, item->spec, item->dependencies);
    item->spec->overflow_lists = pm_spec_overflow_lists(in->tables, item->spec, item->size);
}

/* Judges a job that is not known. A fault is final only once the replica is as new as the question:
 * what it needs may have been accepted just now, and so may the job itself, by a controller whose
 * limits were others. False: the item was answered, or waits for the replica. */
static bool check_new_job(struct item *item)
{
    const char *fault = find_fault(item);

    if (!fault) {
        index_dependencies(item);
        return true;
    }
    if (item->fresh)
        refuse(item, fault);
    else
        pm_store_linearizable_read(item->intake->store, on_fresh, item);
    return false;
}

static void decide(struct item *item);

static void on_overflow_lists_written(void *arg, enum pm_store_result result,
                                      uint64_t store_revision, const cbor_item_t *failed)
{
    struct item *item = arg;

    (void)store_revision;
    (void)failed;
    if (result == PM_STORE_OK)
        item->listed = item->writing;
    else if (result != PM_STORE_THROTTLED || ++item->tries > TRIES_MAX) {
        reply_unsure(item, 1);
        return;
    }
    decide(item);
}

/* More names than the job's value holds: they go first, and count for nothing until that is there.
 * A repeat writes the same again. */
static void write_overflow_lists(struct item *item)
{
    struct pm_api *in = item->intake;
    struct pm_txn txn = {0};
    uint32_t k = item->listed;
    char key[64];

    for (; k < item->spec->overflow_lists &&
           txn.write_count < in->tables->settings->store_txn_ops && txn.writes.size < 40 * 1024;
         k++) {
        snprintf(key, sizeof key, "p/n/%s/%u", item->id, k);
        pm_txn_put(&txn, key);
        pm_dependency_list_encode(in->tables, item->spec, k, &txn.writes);
        pm_txn_put_end(&txn, 0);
    }
    item->writing = k;
    pm_store_commit(in->store, &txn, on_overflow_lists_written, item);
}

/* Answers what can be answered, and sends the rest on its way. */
static void decide(struct item *item)
{
    struct pm_api *in = item->intake;
    const struct pm_job *job = pm_jobs_find(in->jobs, item->id);

    if (job && job->state != PM_JOB_LIVE) {
        reply_final(item, job);
        return;
    }
    if (in->cut_off) {
        reply_unsure(item, 2);
        return;
    }
    if (!job && item->kind == SUBMIT) {
        if (item->dependencies && !in->dependencies_enabled) {
            reply_unsure(item, 2);
            return;
        }
        if (!check_new_job(item))
            return;
        if (item->listed < item->spec->overflow_lists) {
            write_overflow_lists(item);
            return;
        }
        /* Written on the condition that the key does not exist: that is the freshest check. */
        g_queue_push_tail(&in->queue, item);
        flush(in);
        return;
    }
    if (!item->fresh) {
        pm_store_linearizable_read(in->store, on_fresh, item);
        return;
    }
    if (!job) {
        reply(item, 404, NULL, 0, 0);
    } else if (item->kind == ABORT) {
        g_queue_push_head(&in->queue, item);
        flush(in);
    } else {
        reply_state(item, job);
    }
}

static void on_fresh(void *arg, bool ok)
{
    struct item *item = arg;

    if (!ok) {
        reply_unsure(item, 1);
        return;
    }
    item->fresh = true;
    decide(item);
}

/* ---- group commit ---- */

static void on_conflict(void *arg, bool ok)
{
    struct item *item = arg;

    /* The replica now tells what stood in the way. */
    if (!ok || ++item->tries > TRIES_MAX) {
        reply_unsure(item, 1);
        return;
    }
    item->fresh = true;
    decide(item);
}

static bool is_failed(const cbor_item_t *failed, const struct item *item)
{
    char key[256];

    for (size_t i = 0; i < pm_cbor_length(failed); i++)
        if (pm_cbor_read_text(pm_cbor_at(failed, i), key, sizeof key) && !strncmp(key, "p/j/", 4) &&
            !strcmp(key + 4, item->id))
            return true;
    return false;
}

static void on_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                       const cbor_item_t *failed)
{
    struct flight *f = arg;
    struct pm_api *in = f->intake;

    in->in_flight--;
    for (guint i = 0; i < f->items->len; i++) {
        struct item *item = g_ptr_array_index(f->items, i);
        if (result == PM_STORE_OK) {
            if (item->kind == SUBMIT) {
                reply_accepted(item);
            } else {
                pm_jobs_apply_cancellation(in->jobs, item->id, store_revision);
                reply_final(item, pm_jobs_find(in->jobs, item->id));
            }
        } else if (result == PM_STORE_CONFLICT && is_failed(failed, item)) {
            pm_store_wait_for_revision(in->store, store_revision, on_conflict, item);
        } else if ((result == PM_STORE_CONFLICT || result == PM_STORE_THROTTLED ||
                    result == PM_STORE_NOT_SENT) &&
                   ++item->tries <= TRIES_MAX) {
            g_queue_push_tail(&in->queue, item); /* not written: it goes with the next ones */
        } else {
            reply_unsure(item, 1);
        }
    }
    g_ptr_array_free(f->items, TRUE);
    g_free(f);
    if (in->queue.length && !ev_is_active(&in->timer)) {
        ev_timer_set(&in->timer, result == PM_STORE_OK || result == PM_STORE_CONFLICT ? 0.001 : 0.1,
                     0.);
        ev_timer_start(in->loop, &in->timer);
    }
}

static bool add_write(struct pm_api *in, struct flight *f, struct pm_txn *txn, struct item *item)
{
    const struct pm_job *job = pm_jobs_find(in->jobs, item->id);
    char key[64];

    for (guint i = 0; i < f->items->len; i++)
        if (!strcmp(((struct item *)g_ptr_array_index(f->items, i))->id, item->id))
            return false; /* the same job twice: the second goes after the first */
    snprintf(key, sizeof key, "p/j/%s", item->id);
    pm_txn_compare(txn, key, job ? job->revision : 0);
    pm_txn_put(txn, key);
    if (item->kind == SUBMIT)
        pm_job_encode(in->tables, item->spec, item->spec->task_count, PM_JOB_LIVE, true,
                      &txn->writes);
    else if (job) /* whoever is cancelled is known */
        pm_job_encode(in->tables, job->spec, job->task_count, PM_JOB_CANCELLED, job->spec != NULL,
                      &txn->writes);
    pm_txn_put_end(txn, 0);
    g_ptr_array_add(f->items, item);
    return true;
}

static void flush(struct pm_api *in)
{
    double now = pm_clock_monotonic();

    while (in->queue.length && in->in_flight < IN_FLIGHT_MAX) {
        int room = MIN(pm_store_write_budget(in->store, now), in->tables->settings->store_txn_ops);
        struct pm_txn txn = {0};
        struct flight *f;
        guint waiting = in->queue.length;

        if (room < 1)
            break;
        f = g_new0(struct flight, 1);
        f->intake = in;
        f->items = g_ptr_array_new();
        while (waiting-- > 0 && txn.write_count < room && txn.writes.size < 40 * 1024) {
            struct item *item = g_queue_pop_head(&in->queue);
            const struct pm_job *job = pm_jobs_find(in->jobs, item->id);
            if (now - item->arrived > GIVE_UP_S)
                reply_unsure(item, 2);
            else if (job && (item->kind == SUBMIT || job->state != PM_JOB_LIVE))
                decide(item);
            else if (!add_write(in, f, &txn, item))
                g_queue_push_tail(&in->queue, item);
        }
        if (!f->items->len) {
            pm_txn_free(&txn);
            g_ptr_array_free(f->items, TRUE);
            g_free(f);
            break;
        }
        in->in_flight++;
        pm_store_commit(in->store, &txn, on_written, f);
    }
    if (in->queue.length && !ev_is_active(&in->timer)) {
        ev_timer_set(&in->timer, 0.05, 0.);
        ev_timer_start(in->loop, &in->timer);
    }
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)events;
    flush(w->data);
}

/* ---- the API ---- */

static struct item *item_new(struct pm_api *in, struct pm_http_request *req, enum kind kind,
                             const char *id)
{
    struct item *item;

    if (!pm_concurrency_limit_acquire(in->limit, kind != POLL)) {
        pm_http_reply(req, 429, NULL, 0, 1);
        return NULL;
    }
    item = g_new0(struct item, 1);
    item->intake = in;
    item->req = req;
    item->kind = kind;
    item->arrived = pm_clock_monotonic();
    g_strlcpy(item->id, id, sizeof item->id);
    return item;
}

static void reply_error(struct pm_http_request *req, int status, const char *why)
{
    struct pm_buf body = {0};

    pm_put_map(&body);
    pm_put_pair_text(&body, "error", why);
    pm_put_end(&body);
    pm_http_reply(req, status, body.data, body.size, status == 503 ? 1 : 0);
    pm_buf_free(&body);
}

static void submit(struct pm_api *in, struct pm_http_request *req)
{
    cbor_item_t *body = pm_cbor_parse(req->body, req->body_size);
    struct pm_spec spec;
    GPtrArray *dependencies = NULL;
    char id[PM_ID_MAX] = "";
    const char *why = "not CBOR";
    struct item *item;
    int status = 400;

    if (body) {
        /* A repeat of what was accepted is never judged again (rule `forgotten`). */
        bool known = pm_cbor_read_text(pm_cbor_get(body, "name_id"), id, sizeof id) &&
                     pm_jobs_find(in->jobs, id);
        status = known ? 200 : pm_submission_decode(in->tables, body, id, &spec, &why);
        if (!known && status == 200 && !pm_dependency_ids_decode(body, &dependencies)) {
            status = 400;
            why = "awaits";
        }
        pm_cbor_free(body);
        if (known) {
            if ((item = item_new(in, req, SUBMIT, id)))
                decide(item);
            return;
        }
    }
    if (status != 200) {
        reply_error(req, status, why);
        return;
    }
    if (!(item = item_new(in, req, SUBMIT, id))) {
        if (dependencies)
            g_ptr_array_free(dependencies, TRUE);
        return;
    }
    item->dependencies = dependencies;
    item->spec = g_new(struct pm_spec, 1);
    *item->spec = spec;
    item->spec->submitted_wall = pm_clock_wall();
    decide(item);
}

void pm_api_handle_job_request(struct pm_api *in, struct pm_http_request *req)
{
    const char *rest = req->path + strlen("/work");
    char id[PM_ID_MAX];
    const char *slash;
    size_t n;
    enum kind kind;
    struct item *item;

    if (!*rest) {
        if (req->method == PM_HTTP_POST)
            submit(in, req);
        else
            reply_error(req, 405, "method");
        return;
    }
    slash = strchr(rest + 1, '/');
    n = slash ? (size_t)(slash - rest - 1) : strlen(rest + 1);
    if (slash && strcmp(slash, "/abort")) {
        reply_error(req, 404, "path");
        return;
    }
    kind = slash ? ABORT : POLL;
    if (req->method != (slash ? PM_HTTP_POST : PM_HTTP_GET)) {
        reply_error(req, 405, "method");
        return;
    }
    if (n >= sizeof id) {
        reply_error(req, 404, "no such job");
        return;
    }
    memcpy(id, rest + 1, n);
    id[n] = 0;
    if (!pm_job_id_is_valid(id)) {
        reply_error(req, 404, "no such job");
        return;
    }
    if ((item = item_new(in, req, kind, id)))
        decide(item);
}

static void on_probed(void *arg, bool ok)
{
    (void)arg;
    (void)ok;
}

void pm_api_handle_readiness_probe(struct pm_api *in, struct pm_http_request *req,
                                   bool refused_alone)
{
    double now = pm_clock_monotonic();
    double silent = now - pm_store_last_served_at(in->store);
    bool ready;

    if (req->method != PM_HTTP_GET) {
        reply_error(req, 405, "method");
        return;
    }
    /* The state service refusing everybody is no reason to turn users away from every node, and to
     * have them wait for the load balancer when it is back: they hear 503, and when to return.
     * Being out of its reach, or refused alone, is one to send them elsewhere. */
    ready = !refused_alone && (pm_store_is_refusing(in->store) ||
                               (pm_store_is_ready(in->store) && silent < SERVED_S));
    if (silent > 1 && now - in->probed > 1) {
        in->probed = now;
        pm_store_linearizable_read(in->store, on_probed, in);
    }
    pm_http_reply(req, ready ? 200 : 503, NULL, 0, ready ? 0 : 1);
}

struct pm_api *pm_api_new(struct ev_loop *loop, struct pm_store *store, struct pm_jobs *jobs,
                          struct pm_name_tables *tables, struct pm_cancel_quorum *cancels,
                          const struct pm_operator_settings *op)
{
    struct pm_api *in = g_new0(struct pm_api, 1);

    in->loop = loop;
    in->store = store;
    in->jobs = jobs;
    in->tables = tables;
    in->cancels = cancels;
    in->limit = pm_concurrency_limit_new(op->admit_min, op->admit_max);
    g_queue_init(&in->queue);
    ev_init(&in->timer, on_timer);
    in->timer.data = in;
    return in;
}

void pm_api_enable_dependencies(struct pm_api *in, bool enabled)
{
    in->dependencies_enabled = enabled;
}

void pm_api_set_cut_off(struct pm_api *in, bool cut_off)
{
    in->cut_off = cut_off;
}

void pm_api_free(struct pm_api *in)
{
    ev_timer_stop(in->loop, &in->timer);
    pm_concurrency_limit_free(in->limit);
    g_free(in);
}
