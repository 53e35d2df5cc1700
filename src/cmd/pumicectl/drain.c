#include "base/keys.h"
#include "drain.h"
#include "base/clock.h"
#include "base/http.h"
#include "cbor_to_json.h"
#include "json_fields.h"
#include "roles/role.h"
#include "store/store.h"

#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_S 2.0
#define POLL_INTERVAL_S 0.3

enum {
    ANSWER_MAX = 64 * 1024, /* bytes */
    CONNECTIONS_MAX = 2,
    KEY_SIZE = 128,
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_CONFLICT = 409
};

/* A blocking client of the state service, with one HTTP request at a time. */
struct state_client {
    struct ev_loop *loop;
    struct pm_http_client *http;
    const char *addr;
    int status;   /* HTTP status of the last request, or PM_HTTP_NO_RESPONSE or PM_HTTP_NOT_SENT */
    json_t *body; /* body of the last answer; owned, may be NULL */
};

/* The result of reading a role's key or drain request. */
struct stored_key {
    bool is_reached;   /* the state service answered with HTTP status 200 or 404 */
    uint64_t revision; /* 0 if the key does not exist */
    /* In a drain request: the fencing token (revision of the role's key) of the holder that is
     * asked to release the role. It is 0 in a role's key. */
    uint64_t token;
    char holder[PM_NAME_MAX]; /* in a role's key: the holder's name; "" in a drain request */
};

static void on_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct state_client *client = arg;

    json_decref(client->body);
    client->status = status;
    client->body = status > 0 && size ? pm_json_from_cbor(body, size) : NULL;
    ev_break(client->loop, EVBREAK_ALL);
}

/* Sends an HTTP request and waits until it is answered or has timed out. `body` may be NULL. */
static void send_request(struct state_client *client, const char *method, const char *target,
                         const struct pm_buffer *body)
{
    pm_http_call(client->http, client->addr, method, target, body ? body->data : NULL,
                 body ? body->size : 0, REQUEST_TIMEOUT_S, ANSWER_MAX, on_answer, client);
    ev_run(client->loop, 0);
}

/* Reads the key `prefix` + `role_name`. */
static struct stored_key read_key(struct state_client *client, const char *prefix,
                                  const char *role_name)
{
    struct stored_key key = {0};
    const json_t *data;
    char target[KEY_SIZE];

    snprintf(target, sizeof target, "/kv/%s%s", prefix, role_name);
    send_request(client, "GET", target, NULL);
    key.is_reached = client->status == STATUS_OK || client->status == STATUS_NOT_FOUND;
    if (client->status != STATUS_OK)
        return key;
    data = json_object_get(client->body, "data");
    key.revision = (uint64_t)pm_json_number(client->body, "stamp");
    key.token = (uint64_t)pm_json_number(data, "token");
    g_strlcpy(key.holder, pm_json_text(data, "holder"), sizeof key.holder);
    return key;
}

/* Commits a drain request to the holder with the fencing token `token`. The commit fails with
 * STATUS_CONFLICT if the role's key is no longer at revision `token`, or if the key of the drain
 * request is no longer at `drain_revision`. */
static void commit_drain_request(struct state_client *client, const char *role_name, uint64_t token,
                                 uint64_t drain_revision)
{
    struct pm_txn txn = {0};
    struct pm_buffer body = {0};
    char key[KEY_SIZE];

    snprintf(key, sizeof key, PM_KEY_ROLE_PREFIX "%s", role_name);
    pm_txn_compare(&txn, key, token);
    snprintf(key, sizeof key, PM_KEY_DRAIN_PREFIX "%s", role_name);
    pm_txn_compare(&txn, key, drain_revision);
    pm_txn_put_begin(&txn, key);
    pm_cbor_put_map(&txn.writes);
    pm_cbor_put_pair_uint(&txn.writes, "token", token);
    pm_cbor_put_end(&txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_txn_encode(&txn, &body);
    send_request(client, "POST", "/txn", &body);
    pm_buffer_free(&body);
    pm_txn_free(&txn);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

static void wait_for(struct ev_loop *loop, double seconds)
{
    ev_timer timer;

    ev_timer_init(&timer, on_timer, seconds, 0.);
    ev_timer_start(loop, &timer);
    ev_run(loop, 0);
    ev_timer_stop(loop, &timer);
}

/* Polls until the role is held under another fencing token than `token`, that of the previous
 * holder. Returns the role's key, or a key with revision 0 if `timeout_s` passes before. */
static struct stored_key wait_for_next_holder(struct state_client *client, const char *role_name,
                                              uint64_t token, double timeout_s)
{
    double deadline_at = pm_clock_monotonic() + timeout_s;

    while (pm_clock_monotonic() < deadline_at) {
        struct stored_key next = read_key(client, PM_KEY_ROLE_PREFIX, role_name);
        if (next.revision && next.revision != token)
            return next;
        wait_for(client->loop, POLL_INTERVAL_S);
    }
    return (struct stored_key){0};
}

/* Makes the report. `holder` is the role's key before the request, and `next` the key with the new
 * holder; each is NULL if it is not known. */
static struct pm_report make_report(const char *role_name, const char *outcome, bool is_requested,
                                    const struct stored_key *holder, const struct stored_key *next)
{
    static const struct stored_key none = {0};
    struct pm_report report = {.exit = is_requested ? PM_EXIT_OK : PM_EXIT_PROBLEMS};

    if (!holder)
        holder = &none;
    if (!next)
        next = &none;
    report.document = json_pack(
        "{s:s, s:s, s:b, s:b, s:s, s:I, s:b, s:s, s:I}", "duty", role_name, "outcome", outcome,
        "asked", is_requested, "has_holder", holder->revision != 0, "holder", holder->holder,
        "token", (json_int_t)holder->revision, "has_successor", next->revision != 0, "successor",
        next->holder, "successor_token", (json_int_t)next->revision);
    return report;
}

/* Reads the role's key and its drain request, commits a new drain request unless the holder has
 * already been asked, and waits for the next holder. */
static struct pm_report drain(struct state_client *client, const char *role_name, double timeout_s)
{
    struct stored_key holder = read_key(client, PM_KEY_ROLE_PREFIX, role_name);
    struct stored_key drain_request = read_key(client, PM_KEY_DRAIN_PREFIX, role_name);
    struct stored_key next;

    if (!holder.is_reached || !drain_request.is_reached)
        return make_report(
            role_name,
            "the duty's state could not be read from the state service; nothing was changed", false,
            NULL, NULL);
    if (!holder.revision)
        return make_report(role_name,
                           "no controller holds the duty under a lease; nothing was changed", false,
                           NULL, NULL);
    if (drain_request.revision && drain_request.token == holder.revision)
        return make_report(
            role_name, "the holder has already been asked to release the duty; nothing was changed",
            true, &holder, NULL);
    commit_drain_request(client, role_name, holder.revision, drain_request.revision);
    if (client->status == STATUS_CONFLICT)
        return make_report(
            role_name,
            "the holder has changed, or another operator has already asked it; nothing was changed",
            false, &holder, NULL);
    if (client->status != STATUS_OK)
        return make_report(
            role_name,
            "the state service did not confirm the drain request, which may have been stored",
            false, &holder, NULL);
    next = wait_for_next_holder(client, role_name, holder.revision, timeout_s);
    return make_report(
        role_name,
        next.revision ? "the duty is now held under a new token"
                      : "the holder was asked to release the duty, which has no new holder yet",
        true, &holder, &next);
}

struct pm_report pm_drain_role(const struct pm_settings *settings, const char *role_name,
                               double timeout_s)
{
    struct state_client client = {.loop = ev_loop_new(EVFLAG_AUTO), .addr = settings->store_addr};
    struct pm_report report;

    client.http = pm_http_client_new(client.loop, CONNECTIONS_MAX);
    report = drain(&client, role_name, timeout_s);
    json_decref(client.body);
    pm_http_client_free(client.http);
    ev_loop_destroy(client.loop);
    return report;
}
