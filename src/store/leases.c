/* Leases of the state service: grants, renews and revokes them. */
#include "store/internal.h"

#include <stdio.h>

enum { MS_PER_S = 1000 };

/* A grant or keep-alive in flight. */
struct lease_request {
    struct pm_store *store;
    pm_store_lease_done *done;
    void *arg;
    uint64_t lease_id; /* 0 for a grant that has no answer yet */
};

static bool decode_lease_id(const unsigned char *body, size_t size, uint64_t *lease_id)
{
    cbor_item_t *answer = size ? pm_cbor_parse(body, size) : NULL;
    bool is_read = pm_cbor_read_uint(pm_cbor_get(answer, "tenure"), lease_id);

    pm_cbor_free(answer);
    return is_read;
}

static void on_lease_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct lease_request *request = arg;
    enum pm_store_result result = pm_store_result_from_status(status);
    bool is_granted = result == PM_STORE_OK && !request->lease_id;

    pm_store_record_status(request->store, status);
    if (is_granted && !decode_lease_id(body, size, &request->lease_id))
        result = PM_STORE_UNKNOWN_OUTCOME;
    request->done(request->arg, result, request->lease_id);
    g_free(request);
}

static void send_lease_request(struct pm_store *store, const char *target,
                               const struct pm_buffer *body, struct lease_request request)
{
    struct lease_request *sent = g_new(struct lease_request, 1);

    *sent = request;
    pm_http_call(store->http, store->address, "POST", target, body->data, body->size,
                 PM_STORE_REQUEST_TIMEOUT_S, PM_STORE_SMALL_ANSWER_MAX_BYTES, on_lease_answer,
                 sent);
}

void pm_store_lease_grant(struct pm_store *store, double ttl_s, pm_store_lease_done *done,
                          void *arg)
{
    struct pm_buffer body = {0};

    pm_cbor_put_map(&body);
    pm_cbor_put_pair_uint(&body, "ttl_ms", (uint64_t)(ttl_s * MS_PER_S));
    pm_cbor_put_end(&body);
    send_lease_request(store, "/holds", &body, (struct lease_request){store, done, arg, 0});
    pm_buffer_free(&body);
}

void pm_store_lease_keep_alive(struct pm_store *store, uint64_t lease_id, pm_store_lease_done *done,
                               void *arg)
{
    struct pm_buffer body = {0};
    char target[64];

    pm_cbor_put_map(&body);
    pm_cbor_put_end(&body);
    snprintf(target, sizeof target, "/holds/%llu/renew", (unsigned long long)lease_id);
    send_lease_request(store, target, &body, (struct lease_request){store, done, arg, lease_id});
    pm_buffer_free(&body);
}

static void on_revoked(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)body;
    (void)size;
    pm_store_record_status(arg, status);
}

void pm_store_lease_revoke(struct pm_store *store, uint64_t lease_id)
{
    char target[64];

    snprintf(target, sizeof target, "/holds/%llu", (unsigned long long)lease_id);
    pm_http_call(store->http, store->address, "DELETE", target, NULL, 0, PM_STORE_REQUEST_TIMEOUT_S,
                 PM_STORE_SMALL_ANSWER_MAX_BYTES, on_revoked, store);
}
