/* Exchanges the controllers' views of their links, in responses and through the state service. */
#include "base/keys.h"
#include "base/log.h"
#include "links/internal.h"

#include <string.h>

/* Minimum interval between two writes of this controller's view. After a
 * failed write, the next one is due at once. */
#define WRITE_INTERVAL_S 5.0

unsigned char *pm_links_encode_views(const struct pm_links *links, double now, size_t *size)
{
    return pm_link_views_encode_message(&links->matrix, now, size);
}

void pm_links_decode_views(struct pm_links *links, int peer, const unsigned char *data, size_t size,
                           double sent_at, double now)
{
    struct pm_links_link *from = &links->peers[peer];

    if (!pm_link_views_decode_message(&links->matrix, data, size, sent_at, now)) {
        if (now - from->logged_at >= PM_LINKS_LOG_INTERVAL_S)
            pm_error("links.message", "the response of %s has malformed views", from->name);
        from->logged_at = now;
        return;
    }
    /* A peer that sends its views also requests ours at regular intervals, so its requests are
     * expected from now on. */
    pm_link_set_inbound_expected(&from->link, true, now);
}

void pm_links_apply_put(struct pm_links *links, const char *key, const cbor_item_t *value,
                        uint64_t revision, double now)
{
    const char *name = key + strlen(PM_KEY_VIEW_PREFIX);
    int controller = pm_link_matrix_find_controller(&links->matrix, name);
    struct pm_link_view view;

    if (controller <= 0 || revision <= links->stored.revision[controller])
        return;
    links->stored.revision[controller] = revision;
    if (!pm_link_view_decode_value(&links->matrix, value, &view)) {
        pm_error("links.value", "the value of key %s is malformed; the view is not updated", key);
        return;
    }
    view.evaluated_at = now;
    memcpy(view.endpoint, links->matrix.view[controller].endpoint, sizeof view.endpoint);
    pm_link_matrix_update(&links->matrix, controller, &view);
}

/* Whether both views have the same link states and the same `leads`. Their time, epoch and
 * addresses do not count. */
static bool are_equal(const struct pm_link_view *left, const struct pm_link_view *right)
{
    return left->leads == right->leads && left->state_service == right->state_service &&
           left->cloud == right->cloud && !memcmp(left->peer, right->peer, sizeof left->peer) &&
           !memcmp(left->zone, right->zone, sizeof left->zone);
}

static bool is_a_peer_unreached(const struct pm_links *links)
{
    for (int i = 1; i < links->matrix.controller_count; i++)
        if (!pm_link_is_usable(links->matrix.view[0].peer[i]))
            return true;
    return false;
}

bool pm_links_is_write_due(const struct pm_links *links, double now)
{
    if (!links->setting->observe || !links->is_evaluated)
        return false;
    if (now - links->stored.write_sent_at < WRITE_INTERVAL_S)
        return false;
    return is_a_peer_unreached(links) || !are_equal(&links->matrix.view[0], &links->stored.written);
}

void pm_links_encode_view(struct pm_links *links, struct pm_buffer *out, double now)
{
    pm_link_view_encode_value(&links->matrix, out);
    links->stored.in_flight = links->matrix.view[0];
    links->stored.write_sent_at = now;
}

void pm_links_record_view_write(struct pm_links *links, bool written)
{
    if (written)
        links->stored.written = links->stored.in_flight;
    else
        links->stored.write_sent_at = 0;
}
