#include "testing/fake_store.h"
#include "base/cbor.h"
#include "base/clock.h"
#include "base/http.h"

#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { CONNECTIONS_MAX = 256 };

struct value {
    struct pm_buf data; /* as CBOR */
    uint64_t revision, lease_id;
};

struct change {
    char key[256];
    uint64_t revision;
    bool put;
};

struct watch {
    struct pm_http_request *req;
    uint64_t since;
    bool side; /* came by the second address */
};

struct fake_store {
    struct ev_loop *loop;
    struct pm_http_server *server, *side_server;
    char addr[64], side_addr[64];
    enum fake_store_access side;
    GTree *keys; /* text to struct value, in order */
    GArray *changes, *watches;
    uint64_t store_revision, tenures;
    bool out, swallow;
    int txns;
    bool hang, forget;
    GPtrArray *held; /* requests that get no answer */
    char put_off[64];
    struct pm_buf late; /* the transaction that was put off */
    bool delay_hold;
    struct pm_http_request *delayed_hold;
    ev_timer hold_due;
    GArray *holds; /* of struct hold, while they expire by the clock; else NULL */
    ev_timer expiry;
    fake_store_observer *observer;
    void *observer_arg;
};

struct hold {
    uint64_t lease_id;
    double ttl_s, ends_at; /* steady */
};

static void value_free(gpointer data)
{
    struct value *value = data;

    pm_buf_free(&value->data);
    g_free(value);
}

static int by_text(gconstpointer a, gconstpointer b, gpointer arg)
{
    (void)arg;
    return strcmp(a, b);
}

static void reply_buf(struct pm_http_request *req, int status, struct pm_buf *buf)
{
    pm_http_reply(req, status, buf->data, buf->size, 0);
    pm_buf_free(buf);
}

static void put_data(struct pm_buf *out, const char *name, const struct value *value)
{
    pm_put_text(out, name);
    pm_buf_add(out, value->data.data, value->data.size);
}

/* ---- watches ---- */

static bool answer_watch(struct fake_store *s, struct watch *w)
{
    struct pm_buf out = {0};
    int n = 0;

    if (s->out || w->since >= s->store_revision || (w->side && s->side != FAKE_STORE_SERVES))
        return false;
    pm_put_map(&out);
    pm_put_pair_count(&out, "edition", s->store_revision);
    pm_put_text(&out, "events");
    pm_put_list(&out);
    for (guint i = 0; i < s->changes->len; i++) {
        struct change *c = &g_array_index(s->changes, struct change, i);
        const struct value *value;
        if (c->revision <= w->since)
            continue;
        n++;
        value = c->put ? g_tree_lookup(s->keys, c->key) : NULL;
        if (c->put && (!value || value->revision != c->revision))
            continue; /* changed again since: the later change tells */
        pm_put_map(&out);
        pm_put_pair_text(&out, c->put ? "put" : "drop", c->key);
        if (c->put)
            put_data(&out, "data", value);
        pm_put_pair_count(&out, "stamp", c->revision);
        pm_put_end(&out);
    }
    pm_put_end(&out);
    pm_put_end(&out);
    reply_buf(w->req, 200, &out);
    return n >= 0;
}

static void tell(struct fake_store *s)
{
    for (guint i = 0; i < s->watches->len;) {
        if (answer_watch(s, &g_array_index(s->watches, struct watch, i)))
            g_array_remove_index(s->watches, i);
        else
            i++;
    }
}

static void note(struct fake_store *s, const char *key, bool put)
{
    struct change c = {.revision = s->store_revision, .put = put};

    g_strlcpy(c.key, key, sizeof c.key);
    g_array_append_val(s->changes, c);
}

/* ---- requests ---- */

static void do_hold(struct fake_store *s, struct pm_http_request *req);

/* The watches have told by now who leads. */
static void on_hold_due(struct ev_loop *loop, ev_timer *w, int events)
{
    struct fake_store *s = w->data;

    (void)loop;
    (void)events;
    do_hold(s, s->delayed_hold);
    s->delayed_hold = NULL;
}

static void deliver_hold(struct fake_store *s)
{
    if (!s->delayed_hold || !g_tree_lookup(s->keys, "p/lead") || ev_is_active(&s->hold_due))
        return;
    ev_timer_init(&s->hold_due, on_hold_due, 0.1, 0.);
    s->hold_due.data = s;
    ev_timer_start(s->loop, &s->hold_due);
}

static uint64_t revision_of(struct fake_store *s, const char *key)
{
    const struct value *value = g_tree_lookup(s->keys, key);

    return value ? value->revision : 0;
}

static struct hold *find_hold(struct fake_store *s, uint64_t lease_id)
{
    for (guint i = 0; i < s->holds->len; i++)
        if (g_array_index(s->holds, struct hold, i).lease_id == lease_id)
            return &g_array_index(s->holds, struct hold, i);
    return NULL;
}

/* A put under a hold that is over is refused, whatever the conditions: its key would stay for ever.
 */
static bool has_ended_hold(struct fake_store *s, const cbor_item_t *writes)
{
    uint64_t lease_id = 0;

    for (size_t i = 0; s->holds && i < pm_cbor_length(writes); i++)
        if (pm_cbor_read_count(pm_cbor_get(pm_cbor_at(writes, i), "tenure"), &lease_id) &&
            lease_id && !find_hold(s, lease_id))
            return true;
    return false;
}

/* `req` NULL: nobody waits for the answer any more. */
static void do_txn(struct fake_store *s, struct pm_http_request *req, const void *data, size_t size)
{
    cbor_item_t *body = pm_cbor_parse(data, size);
    cbor_item_t *conditions = pm_cbor_get(body, "if");
    cbor_item_t *writes = pm_cbor_get(body, "writes");
    struct pm_buf failed = {0};
    struct pm_buf out = {0};
    char key[256];
    uint64_t revision;
    int nfailed = 0;

    s->txns++;
    if (has_ended_hold(s, writes)) {
        if (req)
            pm_http_reply(req, 400, NULL, 0, 0);
        pm_cbor_free(body);
        return;
    }
    for (size_t i = 0; i < pm_cbor_length(conditions); i++) {
        const cbor_item_t *c = pm_cbor_at(conditions, i);
        if (!pm_cbor_read_text(pm_cbor_get(c, "key"), key, sizeof key) ||
            !pm_cbor_read_count(pm_cbor_get(c, "stamp"), &revision) ||
            revision_of(s, key) != revision) {
            pm_put_text(&failed, key);
            nfailed++;
        }
    }
    pm_put_map(&out);
    if (nfailed) {
        pm_put_text(&out, "failed");
        pm_put_list(&out);
        pm_buf_add(&out, failed.data, failed.size);
        pm_put_end(&out);
    } else if (pm_cbor_length(writes)) {
        s->store_revision++;
    }
    for (size_t i = 0; !nfailed && i < pm_cbor_length(writes); i++) {
        const cbor_item_t *w = pm_cbor_at(writes, i);
        if (pm_cbor_read_text(pm_cbor_get(w, "put"), key, sizeof key)) {
            struct value *value = g_new0(struct value, 1);
            pm_put_item(&value->data, pm_cbor_get(w, "data"));
            value->revision = s->store_revision;
            pm_cbor_read_count(pm_cbor_get(w, "tenure"), &value->lease_id);
            g_tree_replace(s->keys, g_strdup(key), value);
            note(s, key, true);
            if (s->observer)
                s->observer(s->observer_arg, key, pm_cbor_get(w, "data"), s->store_revision);
        } else if (pm_cbor_read_text(pm_cbor_get(w, "drop"), key, sizeof key) &&
                   g_tree_remove(s->keys, key)) {
            note(s, key, false);
            if (s->observer)
                s->observer(s->observer_arg, key, NULL, s->store_revision);
        }
    }
    pm_put_pair_count(&out, "edition", s->store_revision);
    pm_put_end(&out);
    pm_buf_free(&failed);
    pm_cbor_free(body);
    if (!req) {
        pm_buf_free(&out);
    } else if (s->swallow) { /* carried out, but the answer is no answer */
        s->swallow = false;
        pm_buf_free(&out);
        pm_http_reply(req, 200, "?", 1, 0);
    } else {
        reply_buf(req, nfailed ? 409 : 200, &out);
    }
    tell(s);
    deliver_hold(s);
}

struct listing {
    struct pm_buf *out;
    char since[256];
    int left; /* of the page */
    bool more;
};

static gboolean list_one(gpointer key, gpointer data, gpointer arg)
{
    struct listing *l = arg;
    const struct value *value = data;

    if (strcmp(key, l->since) <= 0)
        return FALSE;
    if (l->left-- == 0) {
        l->more = true;
        return TRUE;
    }
    pm_put_map(l->out);
    pm_put_pair_text(l->out, "key", key);
    put_data(l->out, "data", value);
    pm_put_pair_count(l->out, "stamp", value->revision);
    pm_put_end(l->out);
    return FALSE;
}

static void do_list(struct fake_store *s, struct pm_http_request *req)
{
    struct pm_buf out = {0};
    struct listing l = {.out = &out, .left = 1000};
    const char *since = strstr(req->query, "since=");
    const char *page = strstr(req->query, "page=");

    if (since)
        g_strlcpy(l.since, since + 6, MIN(sizeof l.since, strcspn(since + 6, "&") + 1));
    if (page)
        l.left = (int)strtol(page + 5, NULL, 10);
    pm_put_map(&out);
    pm_put_text(&out, "items");
    pm_put_list(&out);
    g_tree_foreach(s->keys, list_one, &l);
    pm_put_end(&out);
    pm_put_pair_flag(&out, "has_next", l.more);
    pm_put_pair_count(&out, "edition", s->store_revision);
    pm_put_end(&out);
    reply_buf(req, 200, &out);
}

/* ---- holds that expire by the clock ---- */

static void drop_keys(struct fake_store *s, uint64_t lease_id);

static void end_hold(struct fake_store *s, struct hold *hold)
{
    uint64_t lease_id = hold->lease_id;

    g_array_remove_index(s->holds, (guint)(hold - &g_array_index(s->holds, struct hold, 0)));
    drop_keys(s, lease_id);
}

static void on_expiry(struct ev_loop *loop, ev_timer *w, int events)
{
    struct fake_store *s = w->data;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    for (guint i = s->holds->len; i > 0; i--) {
        struct hold *hold = &g_array_index(s->holds, struct hold, i - 1);
        if (s->out) /* after an outage every lease has its full time again */
            hold->ends_at = now + hold->ttl_s;
        else if (now > hold->ends_at)
            end_hold(s, hold);
    }
}

void fake_store_expire_leases(struct fake_store *s)
{
    s->holds = g_array_new(FALSE, FALSE, sizeof(struct hold));
    ev_timer_init(&s->expiry, on_expiry, 0.05, 0.05);
    s->expiry.data = s;
    ev_timer_start(s->loop, &s->expiry);
}

static void do_hold(struct fake_store *s, struct pm_http_request *req)
{
    cbor_item_t *body = pm_cbor_parse(req->body, req->body_size);
    struct pm_buf out = {0};
    struct hold hold = {0};
    uint64_t ttl_ms = 0;

    if (s->delay_hold) {
        s->delay_hold = false;
        s->delayed_hold = req;
        pm_cbor_free(body);
        return;
    }
    hold.lease_id = ++s->tenures;
    if (s->holds && pm_cbor_read_count(pm_cbor_get(body, "ttl_ms"), &ttl_ms)) {
        hold.ttl_s = (double)ttl_ms / 1000;
        hold.ends_at = pm_clock_monotonic() + hold.ttl_s;
        g_array_append_val(s->holds, hold);
    }
    pm_cbor_free(body);
    pm_put_map(&out);
    pm_put_pair_count(&out, "tenure", hold.lease_id);
    pm_put_end(&out);
    reply_buf(req, 200, &out);
}

/* A renewal, or its end. */
static void do_held(struct fake_store *s, struct pm_http_request *req)
{
    struct hold *hold;

    if (!s->holds) {
        pm_http_reply(req, 200, NULL, 0, 0);
        return;
    }
    hold = find_hold(s, strtoull(req->path + strlen("/holds/"), NULL, 10));
    if (!hold) {
        pm_http_reply(req, 404, NULL, 0, 0);
        return;
    }
    if (req->method == PM_HTTP_DELETE)
        end_hold(s, hold);
    else
        hold->ends_at = pm_clock_monotonic() + hold->ttl_s;
    pm_http_reply(req, 200, NULL, 0, 0);
}

static void do_get(struct fake_store *s, struct pm_http_request *req)
{
    const char *key = req->path + strlen("/kv/");
    const struct value *value = g_tree_lookup(s->keys, key);
    struct pm_buf out = {0};

    pm_put_map(&out);
    if (value) {
        pm_put_pair_text(&out, "key", key);
        put_data(&out, "data", value);
        pm_put_pair_count(&out, "stamp", value->revision);
    } else {
        pm_put_pair_count(&out, "edition", s->store_revision);
    }
    pm_put_end(&out);
    reply_buf(req, value ? 200 : 404, &out);
}

static void serve(struct fake_store *s, struct pm_http_request *req, bool side)
{
    if (s->hang) {
        g_ptr_array_add(s->held, req);
    } else if (s->forget && !strcmp(req->path, "/watch")) {
        s->forget = false;
        pm_http_reply(req, 410, NULL, 0, 0);
    } else if (!strcmp(req->path, "/watch") && !s->out &&
               !(side && s->side == FAKE_STORE_REFUSES)) {
        struct watch w = {req, 0, side};
        const char *since = strstr(req->query, "since=");
        w.since = since ? strtoull(since + 6, NULL, 10) : 0;
        if (!answer_watch(s, &w))
            g_array_append_val(s->watches, w);
    } else if (s->out || (side && s->side == FAKE_STORE_REFUSES)) {
        pm_http_reply(req, 503, NULL, 0, 0);
    } else if (!strcmp(req->path, "/txn")) {
        if (s->put_off[0] && memmem(req->body, req->body_size, s->put_off, strlen(s->put_off))) {
            s->put_off[0] = 0;
            pm_buf_add(&s->late, req->body, req->body_size);
            pm_http_reply(req, 200, "?", 1, 0);
        } else {
            do_txn(s, req, req->body, req->body_size);
        }
    } else if (!strcmp(req->path, "/kv")) {
        do_list(s, req);
    } else if (!strncmp(req->path, "/kv/", 4)) {
        do_get(s, req);
    } else if (!strcmp(req->path, "/holds")) {
        do_hold(s, req);
    } else if (!strncmp(req->path, "/holds/", 7)) {
        do_held(s, req);
    } else {
        pm_http_reply(req, 200, NULL, 0, 0);
    }
}

static void on_request(void *arg, struct pm_http_request *req)
{
    serve(arg, req, false);
}

static void on_side(void *arg, struct pm_http_request *req)
{
    serve(arg, req, true);
}

int event_loop_free_port(void)
{
    struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof sa;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (bind(fd, (struct sockaddr *)&sa, sizeof sa) ||
        getsockname(fd, (struct sockaddr *)&sa, &size))
        abort();
    close(fd);
    return ntohs(sa.sin_port);
}

struct fake_store *fake_store_new(struct ev_loop *loop)
{
    struct fake_store *s = g_new0(struct fake_store, 1);

    s->loop = loop;
    s->keys = g_tree_new_full(by_text, NULL, g_free, value_free);
    s->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
    s->watches = g_array_new(FALSE, FALSE, sizeof(struct watch));
    s->held = g_ptr_array_new();
    do {
        snprintf(s->addr, sizeof s->addr, "127.0.0.1:%d", event_loop_free_port());
        s->server = pm_http_server_new(loop, s->addr, CONNECTIONS_MAX, on_request, s);
    } while (!s->server);
    do {
        snprintf(s->side_addr, sizeof s->side_addr, "127.0.0.1:%d", event_loop_free_port());
        s->side_server = pm_http_server_new(loop, s->side_addr, 64, on_side, s);
    } while (!s->side_server);
    return s;
}

void fake_store_free(struct fake_store *s)
{
    for (guint i = 0; i < s->watches->len; i++)
        pm_http_reply(g_array_index(s->watches, struct watch, i).req, 503, NULL, 0, 0);
    pm_http_server_free(s->server);
    pm_http_server_free(s->side_server);
    g_tree_destroy(s->keys);
    g_array_free(s->changes, TRUE);
    g_array_free(s->watches, TRUE);
    if (s->holds) {
        ev_timer_stop(s->loop, &s->expiry);
        g_array_free(s->holds, TRUE);
    }
    g_ptr_array_free(s->held, TRUE);
    g_free(s);
}

const char *fake_store_addr(const struct fake_store *s)
{
    return s->addr;
}

uint64_t fake_store_revision(const struct fake_store *s, const char *key)
{
    const struct value *value = g_tree_lookup(s->keys, key);

    return value ? value->revision : 0;
}

void fake_store_set_outage(struct fake_store *s, bool out)
{
    s->out = out;
    tell(s);
}

const char *fake_store_second_addr(const struct fake_store *s)
{
    return s->side_addr;
}

void fake_store_set_second_access(struct fake_store *s, enum fake_store_access door)
{
    s->side = door;
    tell(s);
}

void fake_store_set_hanging(struct fake_store *s, bool hang)
{
    s->hang = hang;
}

void fake_store_reject_next_watch(struct fake_store *s)
{
    s->forget = true;
}

void fake_store_lose_next_answer(struct fake_store *s)
{
    s->swallow = true;
}

void fake_store_delay_next_txn(struct fake_store *s, const char *key)
{
    g_strlcpy(s->put_off, key, sizeof s->put_off);
}

bool fake_store_has_delayed_txn(const struct fake_store *s)
{
    return s->late.size > 0;
}

void fake_store_execute_delayed_txn(struct fake_store *s)
{
    do_txn(s, NULL, s->late.data, s->late.size);
    pm_buf_free(&s->late);
}

char *fake_store_value_hex(const struct fake_store *s, const char *key)
{
    const struct value *value = g_tree_lookup(s->keys, key);
    GString *out = g_string_new("");

    for (size_t i = 0; value && i < value->data.size; i++)
        g_string_append_printf(out, "%02x", value->data.data[i]);
    return g_string_free(out, FALSE);
}

void fake_store_observe(struct fake_store *s, fake_store_observer *observer, void *arg)
{
    s->observer = observer;
    s->observer_arg = arg;
}

void fake_store_delay_next_grant(struct fake_store *s)
{
    s->delay_hold = true;
}

int fake_store_txn_count(const struct fake_store *s)
{
    return s->txns;
}

/* Keys of one hold, or of any for 0. */
struct held {
    uint64_t lease_id;
    GPtrArray *keys;
};

static gboolean add_held(gpointer key, gpointer data, gpointer arg)
{
    const struct value *value = data;
    struct held *held = arg;

    if (held->lease_id ? value->lease_id == held->lease_id : value->lease_id != 0)
        g_ptr_array_add(held->keys, g_strdup(key));
    return FALSE;
}

static void drop_keys(struct fake_store *s, uint64_t lease_id)
{
    struct held held = {lease_id, g_ptr_array_new_with_free_func(g_free)};

    g_tree_foreach(s->keys, add_held, &held);
    for (guint i = 0; i < held.keys->len; i++) {
        s->store_revision++;
        g_tree_remove(s->keys, g_ptr_array_index(held.keys, i));
        note(s, g_ptr_array_index(held.keys, i), false);
        if (s->observer)
            s->observer(s->observer_arg, g_ptr_array_index(held.keys, i), NULL, s->store_revision);
    }
    g_ptr_array_free(held.keys, TRUE);
    tell(s);
}

void fake_store_put_number(struct fake_store *s, const char *key, const char *name, uint64_t number)
{
    struct value *value = g_new0(struct value, 1);

    pm_put_map(&value->data);
    pm_put_pair_count(&value->data, name, number);
    pm_put_end(&value->data);
    value->revision = ++s->store_revision;
    g_tree_replace(s->keys, g_strdup(key), value);
    note(s, key, true);
    tell(s);
}

void fake_store_revoke_all_leases(struct fake_store *s)
{
    drop_keys(s, 0);
}

static void on_nap(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)w;
    (void)events;
    ev_break(loop, EVBREAK_ONE);
}

bool event_loop_run_until(struct ev_loop *loop, bool (*done)(void *arg), void *arg)
{
    double until = pm_clock_monotonic() + 60;
    bool is_done;
    ev_timer nap;

    ev_timer_init(&nap, on_nap, 0.005, 0.005);
    ev_timer_start(loop, &nap);
    while (!(is_done = done(arg)) && pm_clock_monotonic() < until)
        ev_run(loop, 0);
    ev_timer_stop(loop, &nap);
    return is_done;
}
