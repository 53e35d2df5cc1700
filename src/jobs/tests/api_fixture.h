/* A test fixture: a state service, a controller's table of jobs, the write-back of placements and
 * the users' API, all in this process and on one event loop. set_up() creates all of them anew for
 * each test. "The replica" is the table of jobs, which the store's watch keeps up to date. */
#ifndef PM_JOBS_TESTS_API_FIXTURE_H
#define PM_JOBS_TESTS_API_FIXTURE_H

#include "testing/fake_store.h"
#include "base/clock.h"
#include "job_fixtures.h"
#include "api/api.h"
#include "jobs/commit.h"
#include "workers/workers.h"

#include <ev.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

enum { ADDRESS_MAX = 64, STATE_TEXT_MAX = 16 };

static struct ev_loop *loop;
static struct fake_store *state_service; /* the server */
static struct pm_settings settings;
static struct pm_operator_settings operator_settings;
static struct pm_name_tables tables;
static struct pm_http_client *http;
static struct pm_http_server *api_server;
static char api_addr[ADDRESS_MAX];
static struct pm_store *store; /* the controller's client of `state_service` */
static struct pm_jobs *jobs;
static struct pm_workers *workers;
static struct pm_commit *commit;
static struct pm_api *api;
static struct pm_cancel_quorum *cancel_quorum;
static int durable_count;   /* how many placements became durable */
static int epoch_conflicts; /* how many transactions failed because of another epoch */

/* ---- Hooks ---- */

static inline void on_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    (void)arg;
    pm_jobs_apply_put(jobs, key, value, revision);
}

static inline void on_delete(void *arg, const char *key, uint64_t revision)
{
    (void)arg;
    pm_jobs_apply_delete(jobs, key, revision);
}

static inline void ignore_event(void *arg)
{
    (void)arg;
}

static inline void on_caught_up(void *arg, uint64_t store_revision)
{
    (void)arg;
    (void)store_revision;
}

static inline void on_durable(void *arg, struct pm_placement *placement)
{
    (void)arg;
    (void)placement;
    durable_count++;
}

static inline void on_epoch_confirmed(void *arg, double sent, uint64_t store_revision)
{
    (void)arg;
    (void)sent;
    (void)store_revision;
}

static inline void on_epoch_conflict(void *arg)
{
    (void)arg;
    epoch_conflicts++;
}

static inline void on_cancelled(void *arg, const char *id, uint64_t revision)
{
    (void)arg;
    pm_jobs_apply_cancellation(jobs, id, revision);
}

static inline void on_request(void *arg, struct pm_http_request *request)
{
    (void)arg;
    pm_api_handle_job_request(api, request);
}

/* ---- Set-up ---- */

static inline bool is_ready(void *arg)
{
    (void)arg;
    return pm_store_is_ready(store);
}

/* Starts a server of the users' API on a free port. Writes its address to `addr`. */
static inline struct pm_http_server *start_api_server(char addr[ADDRESS_MAX], int connections_max)
{
    struct pm_http_server *server;

    do {
        snprintf(addr, ADDRESS_MAX, "127.0.0.1:%d", event_loop_free_port());
        server = pm_http_server_new(loop, addr, connections_max, on_request, NULL);
    } while (!server);
    return server;
}

static inline int set_up(void **arg)
{
    (void)arg;
    loop = ev_loop_new(EVFLAG_AUTO);
    state_service = fake_store_new(loop);
    memset(&settings, 0, sizeof settings);
    durable_count = epoch_conflicts = 0;
    pm_operator_settings_defaults(&operator_settings);
    deployment_fixture_init(&tables, &settings);
    http = pm_http_client_new(loop, 64);
    jobs = pm_jobs_new(&tables);
    workers = pm_workers_new(&tables, jobs, NO_OP_WORKERS_HOOKS);
    store = pm_store_new(loop, http, fake_store_addr(state_service), 1000,
                         &(struct pm_store_observer){on_put, on_delete, ignore_event, ignore_event,
                                                     on_caught_up, NULL});
    commit = pm_commit_new(
        &tables, jobs, store,
        &(struct pm_commit_hooks){on_durable, on_epoch_confirmed, on_epoch_conflict, NULL});
    settings.cluster_size = 1;
    cancel_quorum = pm_cancel_quorum_new(loop, store, http, &settings,
                                         &(struct pm_cancel_quorum_hooks){on_cancelled, NULL});
    api = pm_api_new(loop, store, jobs, &tables, cancel_quorum, &operator_settings);
    api_server = start_api_server(api_addr, 64);
    assert_true(event_loop_run_until(loop, is_ready, NULL));
    return 0;
}

/* ---- Users' requests ---- */

struct answer {
    int status, calls;
    char state[STATE_TEXT_MAX]; /* the job's state; "" if the body has none */
};

static inline void on_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct answer *answer = arg;
    cbor_item_t *item = size ? pm_cbor_parse(body, size) : NULL;

    answer->status = status;
    answer->calls++;
    answer->state[0] = 0;
    pm_cbor_read_text(pm_cbor_get(item, "status"), answer->state, sizeof answer->state);
    pm_cbor_free(item);
}

static inline bool is_answered(void *arg)
{
    return ((struct answer *)arg)->calls > 0;
}

/* Sends a request to the users' API and waits for the answer. `body` may be NULL. */
static inline struct answer request(const char *method, const char *target,
                                    const struct pm_buffer *body)
{
    struct answer answer = {0};

    pm_http_call(http, api_addr, method, target, body ? body->data : NULL, body ? body->size : 0,
                 30, 65536, on_answer, &answer);
    assert_true(event_loop_run_until(loop, is_answered, &answer));
    return answer;
}

/* Encodes a submission of two tasks. The caller may append fields before send_submission(). */
static inline void begin_submission(struct pm_buffer *buf, const char *id, const char *kind)
{
    pm_cbor_put_map(buf);
    pm_cbor_put_pair_text(buf, "name_id", id);
    pm_cbor_put_pair_text(buf, "ledger", "train");
    pm_cbor_put_pair_text(buf, "desk", "vision");
    pm_cbor_put_pair_text(buf, "bundle", "img");
    pm_cbor_put_pair_text(buf, "form", kind);
    pm_cbor_put_pair_text(buf, "urgency", "normal");
    pm_cbor_put_pair_uint(buf, "entries", 2);
    pm_cbor_put_pair_number(buf, "cpus", 4);
    pm_cbor_put_pair_number(buf, "accelerators", 0);
    pm_cbor_put_pair_number(buf, "ram_gb", 4);
    pm_cbor_put_pair_number(buf, "size_gb", 1);
    pm_cbor_put_pair_number(buf, "expected_s", 10);
    pm_cbor_put_pair_number(buf, "bookmark_s", 0);
    pm_cbor_put_pair_number(buf, "filing_s", 0);
    pm_cbor_put_pair_flag(buf, "same_place", false);
    pm_cbor_put_pair_flag(buf, "spread", false);
    pm_cbor_put_pair_flag(buf, "borrowed", false);
}

/* Sends the submission and frees the buffer. */
static inline struct answer send_submission(struct pm_buffer *buf)
{
    struct answer answer;

    pm_cbor_put_end(buf);
    answer = request("POST", "/work", buf);
    pm_buffer_free(buf);
    return answer;
}

/* Submits a job that depends on the jobs with these ids, which are separated by blanks. With "" the
 * list of dependencies is empty, with NULL it is absent. */
static inline struct answer submit_after(const char *id, const char *dependencies)
{
    char **ids = g_strsplit(dependencies ? dependencies : "", " ", -1);
    struct pm_buffer buf = {0};

    begin_submission(&buf, id, "array");
    if (dependencies) {
        pm_cbor_put_text(&buf, "awaits");
        pm_cbor_put_list(&buf);
        for (char **one = ids; *one; one++)
            pm_cbor_put_text(&buf, *one);
        pm_cbor_put_end(&buf);
    }
    g_strfreev(ids);
    return send_submission(&buf);
}

static inline struct answer submit(const char *id)
{
    return submit_after(id, NULL);
}

/* ---- The replica and the write-back ---- */

/* Returns conditions under which a transaction is executed: the epoch is the current one. */
static inline const struct pm_commit_conditions *current_conditions(void)
{
    static struct pm_commit_conditions conditions;

    conditions.epoch_revision = fake_store_revision(state_service, "p/epoch");
    return &conditions;
}

static inline void run_commit(void)
{
    pm_commit_run(commit, current_conditions(), pm_clock_monotonic(), pm_clock_wall());
}

/* Whether the job with this id is in the replica. */
static inline bool is_known(void *arg)
{
    return pm_jobs_find(jobs, arg) != NULL;
}

/* Whether the state service has the key. */
static inline bool is_stored(void *arg)
{
    return fake_store_revision(state_service, arg) > 0;
}

/* Turns off leak detection: the objects of a test are not freed before the process ends, as in a
 * daemon. The address sanitizer calls the function by this name. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

#endif
