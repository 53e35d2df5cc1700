#include "links/matrix.h"
#include "base/log.h"
#include "links.pb-c.h"

#include <glib.h>
#include <math.h>
#include <string.h>

void pm_matrix_init(struct pm_matrix *matrix, const struct pm_settings *settings, double expire_s)
{
    memset(matrix, 0, sizeof *matrix);
    matrix->settings = settings;
    matrix->expire_s = expire_s;
    matrix->controllers = settings->peer_count + 1;
}

const char *pm_matrix_name(const struct pm_matrix *matrix, int controller)
{
    return controller ? matrix->settings->peers[controller - 1].name : matrix->settings->name;
}

int pm_matrix_controller(const struct pm_matrix *matrix, const char *name)
{
    int peer;

    if (!strcmp(matrix->settings->name, name))
        return 0;
    peer = pm_settings_find_peer(matrix->settings, name);
    return peer < 0 ? -1 : peer + 1;
}

bool pm_matrix_is_fresh(const struct pm_matrix *matrix, int controller, double now)
{
    double at = matrix->view[controller].at;

    return at > 0 && now - at <= matrix->expire_s;
}

void pm_matrix_take(struct pm_matrix *matrix, int controller, const struct pm_view *view)
{
    if (view->at > matrix->view[controller].at)
        matrix->view[controller] = *view;
}

/* ---- between controllers ---- */

static Pm__LinkSeen *new_link(const char *name, uint8_t state)
{
    Pm__LinkSeen *link = g_new0(Pm__LinkSeen, 1);

    pm__link_seen__init(link);
    link->name = g_strdup(name);
    link->state = state;
    return link;
}

static void add_endpoints(Pm__LinkSeen *link, const struct pm_view *view, int zone)
{
    link->endpoint = g_new0(char *, PM_VIEW_ENDPOINTS);
    for (int i = 0; i < PM_VIEW_ENDPOINTS; i++)
        if (view->endpoint[zone][i][0])
            link->endpoint[link->n_endpoint++] = g_strdup(view->endpoint[zone][i]);
}

static Pm__ControllerView *new_message(const struct pm_matrix *matrix, int controller, double now)
{
    const struct pm_view *view = &matrix->view[controller];
    Pm__ControllerView *message = g_new0(Pm__ControllerView, 1);

    pm__controller_view__init(message);
    message->controller = g_strdup(pm_matrix_name(matrix, controller));
    message->age_ms = (uint32_t)((now - view->at) * 1000);
    message->leads = view->leads;
    message->epoch = view->epoch;
    message->state = view->state;
    message->cloud = view->cloud;
    message->peer = g_new0(Pm__LinkSeen *, matrix->controllers);
    for (int i = 0; i < matrix->controllers; i++)
        if (i != controller)
            message->peer[message->n_peer++] = new_link(pm_matrix_name(matrix, i), view->peer[i]);
    message->zone = g_new0(Pm__LinkSeen *, matrix->settings->zone_count);
    for (int i = 0; i < matrix->settings->zone_count; i++) {
        message->zone[i] = new_link(matrix->settings->zone_names[i], view->zone[i]);
        add_endpoints(message->zone[i], view, i);
        message->n_zone++;
    }
    return message;
}

/* Made by this file's functions alone, so that one allocator frees what it made. */
static void free_links(Pm__LinkSeen **link, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        for (size_t k = 0; k < link[i]->n_endpoint; k++)
            g_free(link[i]->endpoint[k]);
        g_free(link[i]->endpoint);
        g_free(link[i]->name);
        g_free(link[i]);
    }
    g_free(link);
}

static void free_message(Pm__ControllerView *message)
{
    free_links(message->peer, message->n_peer);
    free_links(message->zone, message->n_zone);
    g_free(message->controller);
    g_free(message);
}

unsigned char *pm_views_encode(const struct pm_matrix *matrix, double now, size_t *size)
{
    Pm__Views views = PM__VIEWS__INIT;
    unsigned char *data;

    views.view = g_new0(Pm__ControllerView *, matrix->controllers);
    for (int i = 0; i < matrix->controllers; i++) {
        if (!pm_matrix_is_fresh(matrix, i, now))
            continue;
        views.view[views.n_view++] = new_message(matrix, i, now);
        if (i && pm__views__get_packed_size(&views) > PM_VIEWS_BYTES_MAX)
            free_message(views.view[--views.n_view]);
    }
    *size = pm__views__get_packed_size(&views);
    data = g_malloc(*size + 1);
    pm__views__pack(&views, data);
    for (size_t i = 0; i < views.n_view; i++)
        free_message(views.view[i]);
    g_free(views.view);
    return data;
}

static uint8_t known_state(uint32_t state)
{
    return state < PM_LINK_STATES ? (uint8_t)state : PM_LINK_UNKNOWN;
}

static void read_zone(const struct pm_matrix *matrix, const Pm__LinkSeen *link,
                      struct pm_view *view)
{
    int zone = pm_settings_find_zone(matrix->settings, link->name);

    if (zone < 0)
        return;
    view->zone[zone] = known_state(link->state);
    for (size_t i = 0; i < link->n_endpoint && i < PM_VIEW_ENDPOINTS; i++)
        g_strlcpy(view->endpoint[zone][i], link->endpoint[i], sizeof view->endpoint[zone][i]);
}

static void read_message(struct pm_matrix *matrix, const Pm__ControllerView *message,
                         double asked_at)
{
    int controller = pm_matrix_controller(matrix, message->controller);
    struct pm_view view = {0};

    if (controller <= 0) /* unknown, or our own come back to us */
        return;
    view.at = asked_at - message->age_ms / 1000.0;
    view.leads = message->leads;
    view.epoch = message->epoch;
    view.state = known_state(message->state);
    view.cloud = known_state(message->cloud);
    for (size_t i = 0; i < message->n_peer; i++) {
        int peer = pm_matrix_controller(matrix, message->peer[i]->name);
        if (peer >= 0)
            view.peer[peer] = known_state(message->peer[i]->state);
    }
    for (size_t i = 0; i < message->n_zone; i++)
        read_zone(matrix, message->zone[i], &view);
    pm_matrix_take(matrix, controller, &view);
}

bool pm_views_decode(struct pm_matrix *matrix, const unsigned char *data, size_t size,
                     double asked_at, double now)
{
    Pm__Views *views = size <= 4 * PM_VIEWS_BYTES_MAX ? pm__views__unpack(NULL, size, data) : NULL;

    if (!views)
        return false;
    if (now - asked_at <= matrix->expire_s)
        for (size_t i = 0; i < views->n_view; i++)
            read_message(matrix, views->view[i], asked_at);
    pm__views__free_unpacked(views, NULL);
    return true;
}

/* ---- in the state service ---- */

void pm_view_encode(const struct pm_matrix *matrix, struct pm_buf *out)
{
    const struct pm_view *view = &matrix->view[0];

    pm_put_map(out);
    pm_put_pair_count(out, "epoch", view->epoch);
    pm_put_pair_flag(out, "leads", view->leads);
    pm_put_pair_count(out, "state", view->state);
    pm_put_pair_count(out, "cloud", view->cloud);
    pm_put_text(out, "peers");
    pm_put_map(out);
    for (int i = 1; i < matrix->controllers; i++)
        pm_put_pair_count(out, pm_matrix_name(matrix, i), view->peer[i]);
    pm_put_end(out);
    pm_put_text(out, "zones");
    pm_put_map(out);
    for (int i = 0; i < matrix->settings->zone_count; i++)
        pm_put_pair_count(out, matrix->settings->zone_names[i], view->zone[i]);
    pm_put_end(out);
    pm_put_end(out);
}

static bool get_state(const cbor_item_t *map, const char *key, uint8_t *out)
{
    uint64_t state;

    if (!pm_cbor_read_count(pm_cbor_get(map, key), &state))
        return false;
    *out = known_state((uint32_t)MIN(state, PM_LINK_STATES));
    return true;
}

bool pm_view_decode(const struct pm_matrix *matrix, const cbor_item_t *value, struct pm_view *out)
{
    memset(out, 0, sizeof *out);
    if (!get_state(value, "state", &out->state) || !get_state(value, "cloud", &out->cloud))
        return false;
    pm_cbor_read_flag(pm_cbor_get(value, "leads"), &out->leads);
    pm_cbor_read_count(pm_cbor_get(value, "epoch"), &out->epoch);
    for (int i = 0; i < matrix->controllers; i++)
        get_state(pm_cbor_get(value, "peers"), pm_matrix_name(matrix, i), &out->peer[i]);
    for (int i = 0; i < matrix->settings->zone_count; i++)
        get_state(pm_cbor_get(value, "zones"), matrix->settings->zone_names[i], &out->zone[i]);
    return true;
}
