/* The keyspace: transactions, reads and lists. */
#include "testing/fake_store_internal.h"

#include <stdlib.h>
#include <string.h>

enum { DEFAULT_PAGE_SIZE = 1000 };

void fake_store_value_free(gpointer data)
{
    struct fake_store_value *value = data;

    pm_buffer_free(&value->data);
    g_free(value);
}

int fake_store_compare_keys(gconstpointer left, gconstpointer right, gpointer arg)
{
    (void)arg;
    return strcmp(left, right);
}

uint64_t fake_store_revision(const struct fake_store *store, const char *key)
{
    const struct fake_store_value *value = g_tree_lookup(store->keys.values, key);

    return value ? value->revision : 0;
}

int fake_store_txn_count(const struct fake_store *store)
{
    return store->keys.txn_count;
}

char *fake_store_value_hex(const struct fake_store *store, const char *key)
{
    const struct fake_store_value *value = g_tree_lookup(store->keys.values, key);
    GString *out = g_string_new("");

    for (size_t i = 0; value && i < value->data.size; i++)
        g_string_append_printf(out, "%02x", value->data.data[i]);
    return g_string_free(out, FALSE);
}

void fake_store_observe(struct fake_store *store, fake_store_observer *observer, void *arg)
{
    store->keys.observer = observer;
    store->keys.observer_arg = arg;
}

static void notify_observer(struct fake_store *store, const char *key, const cbor_item_t *data)
{
    if (store->keys.observer)
        store->keys.observer(store->keys.observer_arg, key, data, store->keys.revision);
}

void fake_store_put_number(struct fake_store *store, const char *key, const char *field,
                           uint64_t number)
{
    struct fake_store_value *value = g_new0(struct fake_store_value, 1);

    pm_cbor_put_map(&value->data);
    pm_cbor_put_pair_uint(&value->data, field, number);
    pm_cbor_put_end(&value->data);
    value->revision = ++store->keys.revision;
    g_tree_replace(store->keys.values, g_strdup(key), value);
    fake_store_record_change(store, key, true);
    fake_store_notify_watches(store);
}

/* ---- transactions ---- */

/* Whether a write attaches its key to a lease that has expired. Such a transaction is refused
 * whatever its conditions are, because no expiry would ever delete the written key. */
static bool has_expired_lease(struct fake_store *store, const cbor_item_t *writes)
{
    for (size_t i = 0; i < pm_cbor_length(writes); i++) {
        const cbor_item_t *write = pm_cbor_at(writes, i);
        uint64_t lease_id = 0;
        if (pm_cbor_read_uint(pm_cbor_get(write, "tenure"), &lease_id) && lease_id &&
            !fake_store_is_lease_live(store, lease_id))
            return true;
    }
    return false;
}

/* Appends to `conflicting_keys` each key whose revision differs from the one that its condition
 * requires. Returns the number of these keys. */
static int check_conditions(const struct fake_store *store, const cbor_item_t *conditions,
                            struct pm_buffer *conflicting_keys)
{
    char key[FAKE_STORE_KEY_SIZE];
    uint64_t revision;
    int conflicts = 0;

    for (size_t i = 0; i < pm_cbor_length(conditions); i++) {
        const cbor_item_t *condition = pm_cbor_at(conditions, i);
        if (pm_cbor_read_text(pm_cbor_get(condition, "key"), key, sizeof key) &&
            pm_cbor_read_uint(pm_cbor_get(condition, "stamp"), &revision) &&
            fake_store_revision(store, key) == revision)
            continue;
        pm_cbor_put_text(conflicting_keys, key);
        conflicts++;
    }
    return conflicts;
}

static void apply_put(struct fake_store *store, const char *key, const cbor_item_t *write)
{
    struct fake_store_value *value = g_new0(struct fake_store_value, 1);

    pm_cbor_put_item(&value->data, pm_cbor_get(write, "data"));
    value->revision = store->keys.revision;
    pm_cbor_read_uint(pm_cbor_get(write, "tenure"), &value->lease_id);
    g_tree_replace(store->keys.values, g_strdup(key), value);
    fake_store_record_change(store, key, true);
    notify_observer(store, key, pm_cbor_get(write, "data"));
}

static void apply_delete(struct fake_store *store, const char *key)
{
    if (!g_tree_remove(store->keys.values, key))
        return;
    fake_store_record_change(store, key, false);
    notify_observer(store, key, NULL);
}

static void apply_writes(struct fake_store *store, const cbor_item_t *writes)
{
    char key[FAKE_STORE_KEY_SIZE];

    if (pm_cbor_length(writes))
        store->keys.revision++;
    for (size_t i = 0; i < pm_cbor_length(writes); i++) {
        const cbor_item_t *write = pm_cbor_at(writes, i);
        if (pm_cbor_read_text(pm_cbor_get(write, "put"), key, sizeof key))
            apply_put(store, key, write);
        else if (pm_cbor_read_text(pm_cbor_get(write, "drop"), key, sizeof key))
            apply_delete(store, key);
    }
}

/* Answers the transaction, if a client waits for the answer, and frees the content of `body`. */
static void reply_to_txn(struct fake_store *store, struct pm_http_request *request, int status,
                         struct pm_buffer *body)
{
    if (!request) {
        pm_buffer_free(body);
    } else if (store->faults.lose_next_answer) {
        store->faults.lose_next_answer = false;
        pm_buffer_free(body);
        pm_http_reply(request, HTTP_OK, "?", 1, 0);
    } else {
        fake_store_reply(request, status, body);
    }
}

/* Applies the writes if all conditions hold (compare-and-swap), and answers the request. */
static void compare_and_write(struct fake_store *store, struct pm_http_request *request,
                              const cbor_item_t *conditions, const cbor_item_t *writes)
{
    struct pm_buffer conflicting_keys = {0};
    struct pm_buffer out = {0};
    int conflicts = check_conditions(store, conditions, &conflicting_keys);

    pm_cbor_put_map(&out);
    if (conflicts) {
        pm_cbor_put_text(&out, "failed");
        pm_cbor_put_list(&out);
        pm_buffer_append(&out, conflicting_keys.data, conflicting_keys.size);
        pm_cbor_put_end(&out);
    } else {
        apply_writes(store, writes);
    }
    pm_cbor_put_pair_uint(&out, "edition", store->keys.revision);
    pm_cbor_put_end(&out);
    pm_buffer_free(&conflicting_keys);
    reply_to_txn(store, request, conflicts ? HTTP_CONFLICT : HTTP_OK, &out);
}

void fake_store_execute_txn(struct fake_store *store, struct pm_http_request *request,
                            const void *data, size_t size)
{
    cbor_item_t *body = pm_cbor_parse(data, size);
    const cbor_item_t *writes = pm_cbor_get(body, "writes");

    store->keys.txn_count++;
    if (has_expired_lease(store, writes)) {
        if (request)
            pm_http_reply(request, HTTP_BAD_REQUEST, NULL, 0, 0);
        pm_cbor_free(body);
        return;
    }
    compare_and_write(store, request, pm_cbor_get(body, "if"), writes);
    pm_cbor_free(body);
    fake_store_notify_watches(store);
    fake_store_schedule_delayed_grant(store); /* the transaction may have written the leader key */
}

/* ---- deleting a lease's keys ---- */

struct leased_keys {
    uint64_t lease_id; /* 0: any lease */
    GPtrArray *keys;
};

static gboolean collect_leased_key(gpointer key, gpointer data, gpointer arg)
{
    const struct fake_store_value *value = data;
    struct leased_keys *leased = arg;
    bool is_wanted = leased->lease_id ? value->lease_id == leased->lease_id : value->lease_id != 0;

    if (is_wanted)
        g_ptr_array_add(leased->keys, g_strdup(key));
    return FALSE;
}

void fake_store_delete_leased(struct fake_store *store, uint64_t lease_id)
{
    struct leased_keys leased = {lease_id, g_ptr_array_new_with_free_func(g_free)};

    g_tree_foreach(store->keys.values, collect_leased_key, &leased);
    for (guint i = 0; i < leased.keys->len; i++) {
        store->keys.revision++;
        apply_delete(store, g_ptr_array_index(leased.keys, i));
    }
    g_ptr_array_free(leased.keys, TRUE);
    fake_store_notify_watches(store);
}

/* ---- reads ---- */

void fake_store_serve_get(struct fake_store *store, struct pm_http_request *request)
{
    const char *key = request->path + strlen("/kv/");
    const struct fake_store_value *value = g_tree_lookup(store->keys.values, key);
    struct pm_buffer out = {0};

    pm_cbor_put_map(&out);
    if (value) {
        pm_cbor_put_pair_text(&out, "key", key);
        fake_store_put_data(&out, "data", value);
        pm_cbor_put_pair_uint(&out, "stamp", value->revision);
    } else {
        pm_cbor_put_pair_uint(&out, "edition", store->keys.revision);
    }
    pm_cbor_put_end(&out);
    fake_store_reply(request, value ? HTTP_OK : HTTP_NOT_FOUND, &out);
}

/* A page of keys and values, while it is being encoded. */
struct page {
    struct pm_buffer *out;
    char after[FAKE_STORE_KEY_SIZE]; /* the page has only keys that sort after this one */
    int remaining;
    bool has_next;
};

static gboolean append_to_page(gpointer key, gpointer data, gpointer arg)
{
    struct page *page = arg;
    const struct fake_store_value *value = data;

    if (strcmp(key, page->after) <= 0)
        return FALSE;
    if (page->remaining-- == 0) {
        page->has_next = true;
        return TRUE;
    }
    pm_cbor_put_map(page->out);
    pm_cbor_put_pair_text(page->out, "key", key);
    fake_store_put_data(page->out, "data", value);
    pm_cbor_put_pair_uint(page->out, "stamp", value->revision);
    pm_cbor_put_end(page->out);
    return FALSE;
}

static void read_page_query(const char *query, struct page *page)
{
    const char *after = strstr(query, "since=");
    const char *size = strstr(query, "page=");

    if (after) {
        after += strlen("since=");
        g_strlcpy(page->after, after, MIN(sizeof page->after, strcspn(after, "&") + 1));
    }
    if (size)
        page->remaining = (int)strtol(size + strlen("page="), NULL, 10);
}

void fake_store_serve_list(struct fake_store *store, struct pm_http_request *request)
{
    struct pm_buffer out = {0};
    struct page page = {.out = &out, .remaining = DEFAULT_PAGE_SIZE};

    read_page_query(request->query, &page);
    pm_cbor_put_map(&out);
    pm_cbor_put_text(&out, "items");
    pm_cbor_put_list(&out);
    g_tree_foreach(store->keys.values, append_to_page, &page);
    pm_cbor_put_end(&out);
    pm_cbor_put_pair_flag(&out, "has_next", page.has_next);
    pm_cbor_put_pair_uint(&out, "edition", store->keys.revision);
    pm_cbor_put_end(&out);
    fake_store_reply(request, HTTP_OK, &out);
}
