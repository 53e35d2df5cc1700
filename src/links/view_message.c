/* Encodes and decodes the views of links in responses between controllers (links.proto). */
#include "links.pb-c.h"
#include "links/matrix.h"

#include <glib.h>

enum {
    MS_PER_S = 1000,
    /* Larger than what this version sends, since a peer of another version may send more. */
    DECODED_BYTES_MAX = 4 * PM_VIEWS_BYTES_MAX
};

/* ---- encoding ---- */

static Pm__LinkSeen *new_link(const char *name, uint8_t state)
{
    Pm__LinkSeen *link = g_new0(Pm__LinkSeen, 1);

    pm__link_seen__init(link);
    link->name = g_strdup(name);
    link->state = state;
    return link;
}

static void add_endpoints(Pm__LinkSeen *link, const struct pm_link_view *view, int zone)
{
    link->endpoint = g_new0(char *, PM_VIEW_ENDPOINTS_MAX);
    for (int i = 0; i < PM_VIEW_ENDPOINTS_MAX; i++)
        if (view->endpoint[zone][i][0])
            link->endpoint[link->n_endpoint++] = g_strdup(view->endpoint[zone][i]);
}

static void add_peers(Pm__ControllerView *message, const struct pm_link_matrix *matrix,
                      int controller)
{
    const struct pm_link_view *view = &matrix->view[controller];

    message->peer = g_new0(Pm__LinkSeen *, matrix->controller_count);
    for (int i = 0; i < matrix->controller_count; i++)
        if (i != controller)
            message->peer[message->n_peer++] =
                new_link(pm_link_matrix_controller_name(matrix, i), view->peer[i]);
}

static void add_zones(Pm__ControllerView *message, const struct pm_link_matrix *matrix,
                      int controller)
{
    const struct pm_link_view *view = &matrix->view[controller];
    const struct pm_settings *settings = matrix->settings;

    message->zone = g_new0(Pm__LinkSeen *, settings->zone_count);
    for (int i = 0; i < settings->zone_count; i++) {
        message->zone[i] = new_link(settings->zone_names[i], view->zone[i]);
        add_endpoints(message->zone[i], view, i);
        message->n_zone++;
    }
}

static Pm__ControllerView *new_message(const struct pm_link_matrix *matrix, int controller,
                                       double now)
{
    const struct pm_link_view *view = &matrix->view[controller];
    Pm__ControllerView *message = g_new0(Pm__ControllerView, 1);

    pm__controller_view__init(message);
    message->controller = g_strdup(pm_link_matrix_controller_name(matrix, controller));
    message->age_ms = (uint32_t)((now - view->evaluated_at) * MS_PER_S);
    message->leads = view->leads;
    message->epoch = view->epoch;
    message->state = view->state_service;
    message->cloud = view->cloud;
    add_peers(message, matrix, controller);
    add_zones(message, matrix, controller);
    return message;
}

/* Frees links that new_link created. protobuf-c's own free functions use another allocator. */
static void free_links(Pm__LinkSeen **links, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        for (size_t j = 0; j < links[i]->n_endpoint; j++)
            g_free(links[i]->endpoint[j]);
        g_free(links[i]->endpoint);
        g_free(links[i]->name);
        g_free(links[i]);
    }
    g_free(links);
}

static void free_message(Pm__ControllerView *message)
{
    free_links(message->peer, message->n_peer);
    free_links(message->zone, message->n_zone);
    g_free(message->controller);
    g_free(message);
}

unsigned char *pm_link_views_encode_message(const struct pm_link_matrix *matrix, double now,
                                            size_t *size)
{
    Pm__Views views = PM__VIEWS__INIT;
    unsigned char *data;

    views.view = g_new0(Pm__ControllerView *, matrix->controller_count);
    for (int i = 0; i < matrix->controller_count; i++) {
        if (!pm_link_matrix_is_view_fresh(matrix, i, now))
            continue;
        views.view[views.n_view++] = new_message(matrix, i, now);
        if (i && pm__views__get_packed_size(&views) > PM_VIEWS_BYTES_MAX)
            free_message(views.view[--views.n_view]);
    }
    *size = pm__views__get_packed_size(&views);
    /* A message without views has 0 bytes, and g_malloc(0) would return NULL. */
    data = g_malloc(*size + 1);
    pm__views__pack(&views, data);
    for (size_t i = 0; i < views.n_view; i++)
        free_message(views.view[i]);
    g_free(views.view);
    return data;
}

/* ---- decoding ---- */

static void decode_peer(const struct pm_link_matrix *matrix, const Pm__LinkSeen *link,
                        struct pm_link_view *view)
{
    int peer = pm_link_matrix_find_controller(matrix, link->name);

    if (peer >= 0)
        view->peer[peer] = pm_link_state_from_number(link->state);
}

static void decode_zone(const struct pm_link_matrix *matrix, const Pm__LinkSeen *link,
                        struct pm_link_view *view)
{
    int zone = pm_settings_find_zone(matrix->settings, link->name);

    if (zone < 0)
        return;
    view->zone[zone] = pm_link_state_from_number(link->state);
    for (size_t i = 0; i < link->n_endpoint && i < PM_VIEW_ENDPOINTS_MAX; i++)
        g_strlcpy(view->endpoint[zone][i], link->endpoint[i], sizeof view->endpoint[zone][i]);
}

static void decode_message(struct pm_link_matrix *matrix, const Pm__ControllerView *message,
                           double sent_at)
{
    int controller = pm_link_matrix_find_controller(matrix, message->controller);
    struct pm_link_view view = {0};

    if (controller <= 0) /* unknown, or this controller's own view, relayed by a peer */
        return;
    view.evaluated_at = sent_at - (double)message->age_ms / MS_PER_S;
    view.leads = message->leads;
    view.epoch = message->epoch;
    view.state_service = pm_link_state_from_number(message->state);
    view.cloud = pm_link_state_from_number(message->cloud);
    for (size_t i = 0; i < message->n_peer; i++)
        decode_peer(matrix, message->peer[i], &view);
    for (size_t i = 0; i < message->n_zone; i++)
        decode_zone(matrix, message->zone[i], &view);
    pm_link_matrix_update(matrix, controller, &view);
}

bool pm_link_views_decode_message(struct pm_link_matrix *matrix, const unsigned char *data,
                                  size_t size, double sent_at, double now)
{
    Pm__Views *views = size <= DECODED_BYTES_MAX ? pm__views__unpack(NULL, size, data) : NULL;
    bool is_response_recent = now - sent_at <= matrix->expire_s;

    if (!views)
        return false;
    for (size_t i = 0; is_response_recent && i < views->n_view; i++)
        decode_message(matrix, views->view[i], sent_at);
    pm__views__free_unpacked(views, NULL);
    return true;
}
