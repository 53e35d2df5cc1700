/* Watches: long polls for the changes after a revision. */
#include "testing/fake_store_internal.h"

#include <stdlib.h>
#include <string.h>

void fake_store_record_change(struct fake_store *store, const char *key, bool is_put)
{
    struct fake_store_change change = {.revision = store->keys.revision, .is_put = is_put};

    g_strlcpy(change.key, key, sizeof change.key);
    g_array_append_val(store->watches.changes, change);
}

/* Omits a write that a later write or deletion has replaced: the later change reports the key. */
static void append_event(struct fake_store *store, const struct fake_store_change *change,
                         struct pm_buffer *out)
{
    const struct fake_store_value *value =
        change->is_put ? g_tree_lookup(store->keys.values, change->key) : NULL;

    if (change->is_put && (!value || value->revision != change->revision))
        return;
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, change->is_put ? "put" : "drop", change->key);
    if (change->is_put)
        fake_store_put_data(out, "data", value);
    pm_cbor_put_pair_uint(out, "stamp", change->revision);
    pm_cbor_put_end(out);
}

/* Answers the watch if there are changes to report. Returns false if there are none, or if watches
 * are held open now. */
static bool try_to_answer(struct fake_store *store, const struct fake_store_watch *watch)
{
    struct pm_buffer out = {0};

    if (watch->since >= store->keys.revision ||
        fake_store_are_watches_held_open(store, watch->at_second_addr))
        return false;
    pm_cbor_put_map(&out);
    pm_cbor_put_pair_uint(&out, "edition", store->keys.revision);
    pm_cbor_put_text(&out, "events");
    pm_cbor_put_list(&out);
    for (guint i = 0; i < store->watches.changes->len; i++) {
        const struct fake_store_change *change =
            &g_array_index(store->watches.changes, struct fake_store_change, i);
        if (change->revision > watch->since)
            append_event(store, change, &out);
    }
    pm_cbor_put_end(&out);
    pm_cbor_put_end(&out);
    fake_store_reply(watch->request, HTTP_OK, &out);
    return true;
}

void fake_store_notify_watches(struct fake_store *store)
{
    GArray *open = store->watches.open;

    for (guint i = 0; i < open->len;) {
        if (try_to_answer(store, &g_array_index(open, struct fake_store_watch, i)))
            g_array_remove_index(open, i);
        else
            i++;
    }
}

void fake_store_serve_watch(struct fake_store *store, struct pm_http_request *request,
                            bool at_second_addr)
{
    struct fake_store_watch watch = {request, 0, at_second_addr};
    const char *since = strstr(request->query, "since=");

    if (since)
        watch.since = strtoull(since + strlen("since="), NULL, 10);
    if (!try_to_answer(store, &watch))
        g_array_append_val(store->watches.open, watch);
}
