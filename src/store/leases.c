/* Leases of the state service. */
#include "store/internal.h"
#include "base/clock.h"

#include <stdio.h>

struct hold {
    struct pm_store *store;
    pm_store_lease_done *done;
    void *arg;
    uint64_t lease_id;
};

static void on_hold(void *arg, int status, const unsigned char *body, size_t size)
{
    struct hold *hold = arg;
    cbor_item_t *answer = status == 200 && size ? pm_cbor_parse(body, size) : NULL;

    pm_store_note_status(hold->store, status);
    if (status == 200 && !hold->lease_id &&
        !pm_cbor_read_count(pm_cbor_get(answer, "tenure"), &hold->lease_id))
        status = PM_HTTP_NO_ANSWER;
    pm_cbor_free(answer);
    hold->done(hold->arg, pm_store_result_of(status), hold->lease_id);
    g_free(hold);
}

static void hold_call(struct pm_store *s, const char *target, const struct pm_buf *body,
                      uint64_t lease_id, pm_store_lease_done *done, void *arg)
{
    struct hold *hold = g_new(struct hold, 1);

    *hold = (struct hold){s, done, arg, lease_id};
    pm_http_call(s->http, s->addr, "POST", target, body->data, body->size,
                 PM_STORE_REQUEST_TIMEOUT_S, 4096, on_hold, hold);
}

void pm_store_lease_grant(struct pm_store *s, double ttl_s, pm_store_lease_done *done, void *arg)
{
    struct pm_buf body = {0};

    pm_put_map(&body);
    pm_put_pair_count(&body, "ttl_ms", (uint64_t)(ttl_s * 1000));
    pm_put_end(&body);
    hold_call(s, "/holds", &body, 0, done, arg);
    pm_buf_free(&body);
}

void pm_store_lease_keep_alive(struct pm_store *s, uint64_t lease_id, pm_store_lease_done *done,
                               void *arg)
{
    struct pm_buf body = {0};
    char target[64];

    pm_put_map(&body);
    pm_put_end(&body);
    snprintf(target, sizeof target, "/holds/%llu/renew", (unsigned long long)lease_id);
    hold_call(s, target, &body, lease_id, done, arg);
    pm_buf_free(&body);
}

static void on_unheld(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)body;
    (void)size;
    pm_store_note_status(arg, status);
}

void pm_store_lease_revoke(struct pm_store *s, uint64_t lease_id)
{
    char target[64];

    snprintf(target, sizeof target, "/holds/%llu", (unsigned long long)lease_id);
    pm_http_call(s->http, s->addr, "DELETE", target, NULL, 0, PM_STORE_REQUEST_TIMEOUT_S, 4096,
                 on_unheld, s);
}
