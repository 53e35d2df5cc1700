#include "drain.h"
#include "base/clock.h"
#include "base/http.h"
#include "document.h"
#include "roles/roles.h"

#include <ev.h>
#include <stdio.h>
#include <string.h>

#define REQUEST_S 2.0
#define POLL_S 0.3

enum { ANSWER_MAX = 64 * 1024, CONNECTIONS_MAX = 2 };

/* The state service, asked one thing at a time. */
struct state_client {
    struct ev_loop *loop;
    struct pm_http_client *http;
    const char *addr;
    int status;
    json_t *body; /* of the last answer, owned */
};

/* A key as it is. */
struct known {
    bool reached;
    uint64_t stamp; /* 0: there is none */
    uint64_t token;
    char holder[PM_NAME_MAX];
};

static void on_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct state_client *client = arg;

    json_decref(client->body);
    client->status = status;
    client->body = status > 0 && size ? pm_json_of_cbor(body, size) : NULL;
    ev_break(client->loop, EVBREAK_ALL);
}

static void call(struct state_client *client, const char *method, const char *target,
                 const struct pm_buf *body)
{
    pm_http_call(client->http, client->addr, method, target, body ? body->data : NULL,
                 body ? body->size : 0, REQUEST_S, ANSWER_MAX, on_answer, client);
    ev_run(client->loop, 0);
}

static struct known read_key(struct state_client *client, const char *prefix, const char *duty)
{
    struct known known = {0};
    const json_t *data;
    char target[128];

    snprintf(target, sizeof target, "/kv/%s%s", prefix, duty);
    call(client, "GET", target, NULL);
    known.reached = client->status == 200 || client->status == 404;
    if (client->status != 200)
        return known;
    data = json_object_get(client->body, "data");
    known.stamp = (uint64_t)pm_number_of(client->body, "stamp");
    known.token = (uint64_t)pm_number_of(data, "token");
    g_strlcpy(known.holder, pm_text_of(data, "holder"), sizeof known.holder);
    return known;
}

static void ask(struct state_client *client, const char *duty, uint64_t token, uint64_t stamp)
{
    struct pm_txn txn = {0};
    struct pm_buf body = {0};
    char key[128];

    snprintf(key, sizeof key, PM_ROLE_KEY_PREFIX "%s", duty);
    pm_txn_compare(&txn, key, token);
    snprintf(key, sizeof key, PM_ROLE_DRAIN_KEY_PREFIX "%s", duty);
    pm_txn_compare(&txn, key, stamp);
    pm_txn_put(&txn, key);
    pm_put_map(&txn.writes);
    pm_put_pair_count(&txn.writes, "token", token);
    pm_put_end(&txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_txn_encode(&txn, &body);
    call(client, "POST", "/txn", &body);
    pm_buf_free(&body);
    pm_txn_free(&txn);
}

static void on_poll(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)w;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* The next holder, or an empty key. */
static struct known await_next(struct state_client *client, const char *duty, uint64_t token,
                               double timeout_s)
{
    double until = pm_clock_monotonic() + timeout_s;

    while (pm_clock_monotonic() < until) {
        struct known next = read_key(client, PM_ROLE_KEY_PREFIX, duty);
        ev_timer poll;
        if (next.stamp && next.stamp != token)
            return next;
        ev_timer_init(&poll, on_poll, POLL_S, 0.);
        ev_timer_start(client->loop, &poll);
        ev_run(client->loop, 0);
        ev_timer_stop(client->loop, &poll);
    }
    return (struct known){0};
}

static struct pm_report report(const char *duty, const char *outcome, bool well,
                               const struct known *holder, const struct known *next)
{
    struct pm_report out = {.exit = well ? PM_EXIT_WELL : PM_EXIT_WRONG};

    out.document =
        json_pack("{s:s, s:s, s:b, s:b, s:s, s:I, s:b, s:s, s:I}", "duty", duty, "outcome", outcome,
                  "asked", well, "has_holder", holder && holder->stamp, "holder",
                  holder ? holder->holder : "", "token", (json_int_t)(holder ? holder->stamp : 0),
                  "has_successor", next && next->stamp, "successor", next ? next->holder : "",
                  "successor_token", (json_int_t)(next ? next->stamp : 0));
    return out;
}

static struct pm_report drain(struct state_client *client, const char *duty, double timeout_s)
{
    struct known holder = read_key(client, PM_ROLE_KEY_PREFIX, duty);
    struct known asked = read_key(client, PM_ROLE_DRAIN_KEY_PREFIX, duty);
    struct known next;

    if (!holder.reached || !asked.reached)
        return report(duty, "the state service is not reached; nothing was changed", false, NULL,
                      NULL);
    if (!holder.stamp)
        return report(duty, "nobody holds it; nothing was changed", false, NULL, NULL);
    if (asked.stamp && asked.token == holder.stamp)
        return report(duty, "its holder was asked before; nothing was changed", true, &holder,
                      NULL);
    ask(client, duty, holder.stamp, asked.stamp);
    if (client->status == 409)
        return report(duty,
                      "it has passed on, or another operator asked first; nothing was changed",
                      false, &holder, NULL);
    if (client->status != 200)
        return report(duty, "no answer from the state service: the request may have been made",
                      false, &holder, NULL);
    next = await_next(client, duty, holder.stamp, timeout_s);
    return report(duty,
                  next.stamp ? "its holder has given it up"
                             : "its holder is asked to give it up, and nobody else has it yet",
                  true, &holder, &next);
}

struct pm_report pm_drain(const struct pm_settings *settings, const char *duty, double timeout_s)
{
    struct state_client client = {.loop = ev_loop_new(EVFLAG_AUTO), .addr = settings->store_addr};
    struct pm_report out;

    client.http = pm_http_client_new(client.loop, CONNECTIONS_MAX);
    out = drain(&client, duty, timeout_s);
    json_decref(client.body);
    pm_http_client_free(client.http);
    ev_loop_destroy(client.loop);
    return out;
}
