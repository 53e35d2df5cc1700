/* Starting and stopping the fake state service, and routing its requests. */
#include "testing/fake_store_internal.h"

#include <stdio.h>
#include <string.h>

enum { CONNECTIONS_MAX = 256, SECOND_ADDR_CONNECTIONS_MAX = 64 };

/* Whether the bodies of all answers of this process's stores are cut in the middle. */
static bool are_answers_cut;

void fake_store_cut_answers(bool are_cut)
{
    are_answers_cut = are_cut;
}

void fake_store_reply(struct pm_http_request *request, int status, struct pm_buffer *body)
{
    pm_http_reply(request, status, body->data, are_answers_cut ? body->size / 2 : body->size, 0);
    pm_buffer_free(body);
}

void fake_store_put_data(struct pm_buffer *out, const char *name,
                         const struct fake_store_value *value)
{
    pm_cbor_put_text(out, name);
    pm_buffer_append(out, value->data.data, value->data.size);
}

static void serve_txn(struct fake_store *store, struct pm_http_request *request)
{
    if (!fake_store_delay_txn(store, request))
        fake_store_execute_txn(store, request, request->body, request->body_size);
}

/* Serves a request that is neither a watch nor refused. */
static void serve_data(struct fake_store *store, struct pm_http_request *request)
{
    if (!strcmp(request->path, "/txn"))
        serve_txn(store, request);
    else if (!strcmp(request->path, "/kv"))
        fake_store_serve_list(store, request);
    else if (g_str_has_prefix(request->path, "/kv/"))
        fake_store_serve_get(store, request);
    else if (!strcmp(request->path, "/holds"))
        fake_store_serve_grant(store, request);
    else if (g_str_has_prefix(request->path, "/holds/"))
        fake_store_serve_lease(store, request);
    else
        pm_http_reply(request, HTTP_OK, NULL, 0, 0);
}

static void serve(struct fake_store *store, struct pm_http_request *request, bool at_second_addr)
{
    bool is_watch = !strcmp(request->path, "/watch");

    if (store->faults.hanging) {
        g_ptr_array_add(store->unanswered_requests, request);
    } else if (store->faults.reject_next_watch && is_watch) {
        store->faults.reject_next_watch = false;
        pm_http_reply(request, HTTP_GONE, NULL, 0, 0);
    } else if (fake_store_is_refusing(store, at_second_addr)) {
        pm_http_reply(request, HTTP_UNAVAILABLE, NULL, 0, 0);
    } else if (is_watch) {
        fake_store_serve_watch(store, request, at_second_addr);
    } else {
        serve_data(store, request);
    }
}

static void on_request(void *arg, struct pm_http_request *request)
{
    serve(arg, request, false);
}

static void on_second_request(void *arg, struct pm_http_request *request)
{
    serve(arg, request, true);
}

/* Listens on a free port. Retries, because another process may take a free port before the server
 * binds it. */
static struct pm_http_server *listen_on_free_port(struct fake_store *store, char *addr,
                                                  int connections_max, pm_http_handler *handler)
{
    struct pm_http_server *server;

    do {
        snprintf(addr, FAKE_STORE_ADDR_SIZE, "127.0.0.1:%d", event_loop_free_port());
        server = pm_http_server_new(store->loop, addr, connections_max, handler, store);
    } while (!server);
    return server;
}

struct fake_store *fake_store_new(struct ev_loop *loop)
{
    struct fake_store *store = g_new0(struct fake_store, 1);

    store->loop = loop;
    store->keys.values =
        g_tree_new_full(fake_store_compare_keys, NULL, g_free, fake_store_value_free);
    store->watches.changes = g_array_new(FALSE, FALSE, sizeof(struct fake_store_change));
    store->watches.open = g_array_new(FALSE, FALSE, sizeof(struct fake_store_watch));
    store->unanswered_requests = g_ptr_array_new();
    store->server = listen_on_free_port(store, store->addr, CONNECTIONS_MAX, on_request);
    store->second_server = listen_on_free_port(store, store->second_addr,
                                               SECOND_ADDR_CONNECTIONS_MAX, on_second_request);
    return store;
}

void fake_store_free(struct fake_store *store)
{
    for (guint i = 0; i < store->watches.open->len; i++)
        pm_http_reply(g_array_index(store->watches.open, struct fake_store_watch, i).request,
                      HTTP_UNAVAILABLE, NULL, 0, 0);
    pm_http_server_free(store->server);
    pm_http_server_free(store->second_server);
    g_tree_destroy(store->keys.values);
    g_array_free(store->watches.changes, TRUE);
    g_array_free(store->watches.open, TRUE);
    fake_store_leases_free(store);
    g_ptr_array_free(store->unanswered_requests, TRUE);
    g_free(store);
}

const char *fake_store_addr(const struct fake_store *store)
{
    return store->addr;
}
