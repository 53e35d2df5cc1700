/* Commands to workers, and their reports. */
#include "base/clock.h"
#include "base/log.h"
#include "internal.h"

#include <math.h>
#include <string.h>

#define DIRECT_SHARE 8 /* of the sockets, one in so many for commands to workers at a time */

enum { DIRECT_ANSWER_MAX = 1024 * 1024 }; /* bytes: a worker's report */
#define PROBE_S 1.5     /* one without orders asks only whether the worker is there */
#define OVERTAKEN_S 2.0 /* a report may come so much later than a message sent after it */

struct direct {
    struct pm_controller *node;
    int machine;
    uint64_t number, epoch;
    double valid_until; /* steady: not written later */
    double sent;
};

static void on_direct(void *arg, int status, const unsigned char *body, size_t size)
{
    struct direct *direct = arg;
    struct pm_controller *n = direct->node;
    struct pm_machine *m = n->ruling ? pm_workers_at(n->workers, direct->machine) : NULL;
    cbor_item_t *report;
    bool fresh;

    n->directs--;
    if (m && m->heartbeat.is_known && status != PM_HTTP_NOT_SENT)
        pm_links_worker_answered(n->links, m->zone, status > 0, direct->sent, pm_clock_monotonic());
    report = status == 200 || status == 409 ? pm_cbor_parse(body, size) : NULL;
    if (m && pm_worker_push_done(m, direct->number, direct->epoch,
                                 status > 0 && !report ? PM_HTTP_NO_ANSWER : status)) {
        /* One that we did not write in time says nothing about the machine. */
        if (status < 0 &&
            !(status == PM_HTTP_NOT_SENT && pm_clock_monotonic() > direct->valid_until)) {
            m->push.failed_at = pm_clock_monotonic();
            if (m->heartbeat.is_known &&
                !pm_links_is_lagging(n->links, m->push.failed_at)) /* one that boots can't answer */
                pm_machine_note_delivery_failure(m, "a /do has no answer", m->push.failed_at);
            m->push.retry_at = m->push.failed_at + 0.7;
        }
        if (report) {
            pm_workers_apply_heartbeat(n->workers, report, PM_SOURCE_PUSH,
                                       pm_election_epoch(n->lead), pm_clock_monotonic(), &fresh);
            pm_controller_plan_soon(n);
            pm_controller_commit(n);
        }
        pm_controller_push_commands(n, m, false);
    }
    pm_cbor_free(report);
    g_free(direct);
}

void pm_controller_push_commands(struct pm_controller *n, struct pm_machine *m, bool probe)
{
    struct pm_buf body = {0};
    struct direct *direct;
    double timeout;

    if (m->push.in_flight || n->directs >= n->settings->sockets / DIRECT_SHARE || !m->endpoint[0] ||
        m->push.retry_at > pm_clock_monotonic() || (!probe && !pm_worker_push_is_due(m)) ||
        !pm_election_is_confirmed(n->lead, pm_clock_monotonic()))
        return;
    direct = g_new0(struct direct, 1);
    *direct = (struct direct){.node = n,
                              .machine = m->index,
                              .number = pm_worker_push_begin(n->workers, m),
                              .epoch = pm_election_epoch(n->lead),
                              .valid_until = pm_election_confirmation_deadline(n->lead),
                              .sent = pm_clock_monotonic()};
    pm_put_map(&body);
    pm_put_pair_count(&body, "mandate", direct->epoch);
    pm_put_pair_count(&body, "shift", m->heartbeat.incarnation ? m->heartbeat.incarnation : 1);
    pm_put_text(&body, "orders");
    timeout = pm_workers_encode_commands(m, true, direct->epoch, &body) ? DIRECT_S : PROBE_S;
    pm_put_end(&body);
    n->directs++;
    pm_http_call_until(n->http, m->endpoint, "POST", "/do", body.data, body.size, timeout,
                       DIRECT_ANSWER_MAX, direct->valid_until, on_direct, direct);
    pm_buf_free(&body);
}

void pm_controller_push_all_commands(struct pm_controller *n)
{
    GPtrArray *all = pm_workers_all(n->workers);

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && m->state == PM_MACHINE_UP && !m->shard.owner)
            pm_controller_push_commands(n, m, false);
    }
}

static void reply_elsewhere(struct pm_controller *n, struct pm_http_request *req,
                            const char *machine)
{
    const char *other = pm_shards_owner_of(n->blocks, machine);
    struct pm_buf body = {0};

    if (!other || !strcmp(other, n->settings->name))
        other = pm_election_other_leader(n->lead);

    if (!other) {
        pm_http_reply(req, 503, NULL, 0, 1);
        return;
    }
    pm_put_map(&body);
    pm_put_pair_text(&body, "steward", other);
    pm_put_end(&body);
    pm_http_reply(req, 421, body.data, body.size, 0);
    pm_buf_free(&body);
}

/* 200, with the orders due for the machine; NULL: the lease is renewed, and only what is cancelled
 * of all that it reports is killed. */
static void answer_worker(struct pm_controller *n, struct pm_http_request *req, uint64_t epoch,
                          struct pm_machine *m, const cbor_item_t *report)
{
    struct pm_buf body = {0};

    pm_put_map(&body);
    pm_put_pair_count(&body, "mandate", epoch);
    pm_put_text(&body, "orders");
    if (m)
        pm_workers_encode_commands(m, false, epoch, &body);
    else
        pm_workers_encode_cancel_kills(n->workers, report, &body);
    pm_put_end(&body);
    pm_http_reply(req, 200, body.data, body.size, 0);
    pm_buf_free(&body);
}

/* Safety invariant 5: 200 only with the epoch confirmed within A seconds, and never with a token
 * below what the worker has seen. */
void pm_controller_handle_heartbeat(struct pm_controller *n, struct pm_http_request *req)
{
    uint64_t epoch = pm_election_epoch(n->lead);
    uint64_t token = 0;
    double now = pm_clock_monotonic();
    struct pm_machine *m;
    cbor_item_t *report;
    char name[PM_NAME_MAX];
    bool fresh;

    n->report_at = now;
    report = pm_cbor_parse(req->body, req->body_size);
    if (!pm_cbor_read_text(pm_cbor_get(report, "host"), name, sizeof name)) {
        pm_cbor_free(report);
        pm_http_reply(req, 400, NULL, 0, 0);
        return;
    }
    pm_cbor_read_count(pm_cbor_get(report, "mandate"), &token);
    if (n->leading && pm_autoscaler_is_terminated(n->fleet, name)) {
        /* A copy of a report of a machine that is proven gone. */
        pm_cbor_free(report);
        pm_http_reply(req, 503, NULL, 0, 1);
        return;
    }
    m = n->ruling ? pm_workers_find(n->workers, name) : NULL;
    if (m)
        pm_links_worker_heard(n->links, m->zone, token && token == epoch, now);
    if (!n->ruling || (n->leading ? m && m->shard.owner : !m || m->shard.returned)) {
        if (pm_election_may_renew_in_outage(n->lead, now) && token <= epoch) {
            req->valid_until = pm_election_outage_renewal_deadline(n->lead);
            answer_worker(n, req, epoch, NULL, report);
        } else {
            reply_elsewhere(n, req, name);
        }
        pm_cbor_free(report);
        return;
    }
    if (!pm_election_is_confirmed(n->lead, now) || token > epoch) {
        if (token > epoch)
            pm_election_recheck_epoch(n->lead);
        pm_debug("heartbeat.epoch_unconfirmed", "%s: epoch %llu, its token %llu", name,
                 (unsigned long long)epoch, (unsigned long long)token);
        pm_cbor_free(report);
        pm_http_reply(req, 503, NULL, 0, 1);
        return;
    }
    m = pm_workers_apply_heartbeat(n->workers, report, PM_SOURCE_HEARTBEAT, epoch, now, &fresh);
    if (!m) {
        pm_cbor_free(report);
        pm_http_reply(req, 400, NULL, 0, 0);
        return;
    }
    /* A late copy is not answered 200: nothing of it counts, neither as a sign of life nor for its
     * lease. A worker that lost its memory is told so too, and moves on to its next session. One
     * that was heard just now has had its report overtaken by its answer to a /do. */
    if (m->state == PM_MACHINE_RELEASING ||
        (!fresh && now - m->heartbeat.last_message_at > OVERTAKEN_S)) {
        pm_cbor_free(report);
        pm_http_reply(req, 503, NULL, 0, 1);
        return;
    }
    req->valid_until = pm_election_confirmation_deadline(n->lead);
    answer_worker(n, req, epoch, fresh ? m : NULL, report);
    pm_cbor_free(report);
    pm_machine_note_ack(m, epoch, now);
    pm_controller_plan_soon(n);
    pm_controller_commit(n);
}
