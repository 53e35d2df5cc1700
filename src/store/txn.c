/* Transactions, and the write budget that they are kept to. */
#include "store/internal.h"
#include "base/clock.h"

#include <math.h>

#define OTHERS_S 3.0 /* over which the others' writes are measured */

void pm_txn_compare(struct pm_txn *t, const char *key, uint64_t revision)
{
    pm_put_map(&t->compares);
    pm_put_pair_text(&t->compares, "key", key);
    pm_put_pair_count(&t->compares, "stamp", revision);
    pm_put_end(&t->compares);
    t->compare_count++;
}

void pm_txn_put(struct pm_txn *t, const char *key)
{
    pm_put_map(&t->writes);
    pm_put_pair_text(&t->writes, "put", key);
    pm_put_text(&t->writes, "data");
    t->write_count++;
}

void pm_txn_put_end(struct pm_txn *t, uint64_t lease_id)
{
    if (lease_id)
        pm_put_pair_count(&t->writes, "tenure", lease_id);
    pm_put_end(&t->writes);
}

void pm_txn_delete(struct pm_txn *t, const char *key)
{
    pm_put_map(&t->writes);
    pm_put_pair_text(&t->writes, "drop", key);
    pm_put_end(&t->writes);
    t->write_count++;
}

void pm_txn_encode(const struct pm_txn *t, struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_text(out, "if");
    pm_put_list(out);
    pm_buf_add(out, t->compares.data, t->compares.size);
    pm_put_end(out);
    pm_put_text(out, "writes");
    pm_put_list(out);
    pm_buf_add(out, t->writes.data, t->writes.size);
    pm_put_end(out);
    pm_put_end(out);
}

void pm_txn_free(struct pm_txn *t)
{
    pm_buf_free(&t->compares);
    pm_buf_free(&t->writes);
    t->compare_count = t->write_count = 0;
}

void pm_store_note_foreign_writes(struct pm_store *s, double changes)
{
    double now = pm_clock_monotonic();

    s->others = s->others * exp((s->others_at - now) / OTHERS_S) + changes;
    s->others_at = now;
}

struct commit {
    struct pm_store *store;
    int nwrites;
    double sent;
    pm_txn_done *done;
    void *arg;
};

static void on_commit(void *arg, int status, const unsigned char *body, size_t size)
{
    struct commit *commit = arg;
    cbor_item_t *answer = NULL;
    uint64_t store_revision = 0;

    pm_store_note_status(commit->store, status);
    pm_store_note_latency(commit->store, commit->sent);
    if (status == 200 || status == 409) {
        answer = pm_cbor_parse(body, size);
        if (!answer || !pm_cbor_read_count(pm_cbor_get(answer, "edition"), &store_revision))
            status = PM_HTTP_NO_ANSWER; /* a malformed answer counts as none */
    }
    if (status == 200)
        pm_store_note_foreign_writes(commit->store,
                                     -commit->nwrites); /* the watch tells these too */
    if (status == 429)
        commit->store->tokens = MIN(commit->store->tokens, 0);
    commit->done(commit->arg, pm_store_result_of(status), store_revision,
                 pm_cbor_get(answer, "failed"));
    pm_cbor_free(answer);
    g_free(commit);
}

void pm_store_commit(struct pm_store *s, struct pm_txn *t, pm_txn_done *done, void *arg)
{
    struct commit *commit = g_new(struct commit, 1);
    struct pm_buf body = {0};

    *commit = (struct commit){s, t->write_count, pm_clock_monotonic(), done, arg};
    pm_txn_encode(t, &body);
    s->tokens -= t->write_count;
    pm_http_call(s->http, s->addr, "POST", "/txn", body.data, body.size, PM_STORE_REQUEST_TIMEOUT_S,
                 64 * 1024, on_commit, commit);
    pm_buf_free(&body);
    pm_txn_free(t);
}

int pm_store_write_budget(struct pm_store *s, double now)
{
    double others = MAX(0, s->others) * exp((s->others_at - now) / OTHERS_S) / OTHERS_S;
    double share = MAX(s->share, MIN(s->most, 0.95 - others / s->write_rps));
    double rate = s->write_rps * share;

    /* However small the share: a transaction of some changes has to fit sometime. */
    s->tokens = MIN(s->tokens + (now - s->filled) * rate, MAX(rate, 0.4 * s->write_rps));
    s->filled = now;
    return s->tokens < 1 ? 0 : (int)s->tokens;
}

void pm_store_set_write_share(struct pm_store *s, double share, double most)
{
    s->share = share;
    s->most = most;
}
