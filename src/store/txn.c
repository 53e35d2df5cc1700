/* Transactions: builds and sends their requests, and evaluates the answers. */
#include "store/internal.h"
#include "base/clock.h"

enum { TXN_ANSWER_MAX_BYTES = 64 * 1024 };

void pm_txn_compare(struct pm_txn *txn, const char *key, uint64_t revision)
{
    pm_cbor_put_map(&txn->compares);
    pm_cbor_put_pair_text(&txn->compares, "key", key);
    pm_cbor_put_pair_uint(&txn->compares, "stamp", revision);
    pm_cbor_put_end(&txn->compares);
    txn->compare_count++;
}

void pm_txn_put_begin(struct pm_txn *txn, const char *key)
{
    pm_cbor_put_map(&txn->writes);
    pm_cbor_put_pair_text(&txn->writes, "put", key);
    pm_cbor_put_text(&txn->writes, "data");
    txn->write_count++;
}

void pm_txn_put_end(struct pm_txn *txn, uint64_t lease_id)
{
    if (lease_id)
        pm_cbor_put_pair_uint(&txn->writes, "tenure", lease_id);
    pm_cbor_put_end(&txn->writes);
}

void pm_txn_delete(struct pm_txn *txn, const char *key)
{
    pm_cbor_put_map(&txn->writes);
    pm_cbor_put_pair_text(&txn->writes, "drop", key);
    pm_cbor_put_end(&txn->writes);
    txn->write_count++;
}

static void put_list(struct pm_buffer *out, const char *name, const struct pm_buffer *entries)
{
    pm_cbor_put_text(out, name);
    pm_cbor_put_list(out);
    pm_buffer_append(out, entries->data, entries->size);
    pm_cbor_put_end(out);
}

void pm_txn_encode(const struct pm_txn *txn, struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    put_list(out, "if", &txn->compares);
    put_list(out, "writes", &txn->writes);
    pm_cbor_put_end(out);
}

void pm_txn_free(struct pm_txn *txn)
{
    pm_buffer_free(&txn->compares);
    pm_buffer_free(&txn->writes);
    txn->compare_count = 0;
    txn->write_count = 0;
}

/* A transaction in flight. */
struct commit_request {
    struct pm_store *store;
    int write_count;
    double sent_at;
    pm_txn_done *done;
    void *arg;
};

/* Parses the answer to an executed or conflicting transaction; the caller owns the result. Returns
 * NULL if the answer can't be read, so that the outcome is unknown. */
static cbor_item_t *parse_commit_answer(const unsigned char *body, size_t size,
                                        uint64_t *store_revision)
{
    cbor_item_t *answer = pm_cbor_parse(body, size);

    if (pm_store_decode_revision(answer, store_revision))
        return answer;
    pm_cbor_free(answer);
    return NULL;
}

static void on_commit(void *arg, int status, const unsigned char *body, size_t size)
{
    struct commit_request *commit = arg;
    struct pm_store *store = commit->store;
    enum pm_store_result result = pm_store_result_from_status(status);
    cbor_item_t *answer = NULL;
    uint64_t store_revision = 0;

    pm_store_record_status(store, status);
    pm_store_record_latency(store, commit->sent_at);
    if (result == PM_STORE_OK || result == PM_STORE_CONFLICT) {
        answer = parse_commit_answer(body, size, &store_revision);
        if (!answer)
            result = PM_STORE_UNKNOWN_OUTCOME;
    }
    if (result == PM_STORE_OK)
        /* The watch also reports these writes, and they are then counted as peers' writes. */
        pm_store_add_peer_writes(store, -commit->write_count);
    if (result == PM_STORE_THROTTLED)
        pm_store_budget_exhaust(store);
    commit->done(commit->arg, result, store_revision, pm_cbor_get(answer, "failed"));
    pm_cbor_free(answer);
    g_free(commit);
}

void pm_store_commit(struct pm_store *store, struct pm_txn *txn, pm_txn_done *done, void *arg)
{
    struct commit_request *commit = g_new(struct commit_request, 1);
    struct pm_buffer body = {0};

    *commit = (struct commit_request){store, txn->write_count, pm_clock_monotonic(), done, arg};
    pm_txn_encode(txn, &body);
    pm_store_budget_spend(store, txn->write_count);
    pm_http_call(store->http, store->address, "POST", "/txn", body.data, body.size,
                 PM_STORE_REQUEST_TIMEOUT_S, TXN_ANSWER_MAX_BYTES, on_commit, commit);
    pm_buffer_free(&body);
    pm_txn_free(txn);
}
