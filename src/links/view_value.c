/* Encodes and decodes the stored view of a controller's links, at p/links/NAME. Only this file uses
 * the names of the fields:
 *
 *   epoch, leads   the epoch that the controller knows, and whether the controller leads
 *   state, cloud   states of its links to the state service and to the cloud (enum pm_link_state)
 *   peers, zones   maps from the names of the other controllers, and of the zones, to link states
 */
#include "links/matrix.h"

#include <glib.h>
#include <string.h>

void pm_link_view_encode_value(const struct pm_link_matrix *matrix, struct pm_buffer *out)
{
    const struct pm_link_view *view = &matrix->view[0];

    pm_cbor_put_map(out);
    pm_cbor_put_pair_uint(out, "epoch", view->epoch);
    pm_cbor_put_pair_flag(out, "leads", view->leads);
    pm_cbor_put_pair_uint(out, "state", view->state_service);
    pm_cbor_put_pair_uint(out, "cloud", view->cloud);
    pm_cbor_put_text(out, "peers");
    pm_cbor_put_map(out);
    for (int i = 1; i < matrix->controller_count; i++)
        pm_cbor_put_pair_uint(out, pm_link_matrix_controller_name(matrix, i), view->peer[i]);
    pm_cbor_put_end(out);
    pm_cbor_put_text(out, "zones");
    pm_cbor_put_map(out);
    for (int i = 0; i < matrix->settings->zone_count; i++)
        pm_cbor_put_pair_uint(out, matrix->settings->zone_names[i], view->zone[i]);
    pm_cbor_put_end(out);
    pm_cbor_put_end(out);
}

/* Reads the state at `key` of a map. Returns false, with `out` unchanged, if there is none. */
static bool decode_state(const cbor_item_t *map, const char *key, uint8_t *out)
{
    uint64_t number;

    if (!pm_cbor_read_uint(pm_cbor_get(map, key), &number))
        return false;
    *out = pm_link_state_from_number(number);
    return true;
}

bool pm_link_view_decode_value(const struct pm_link_matrix *matrix, const cbor_item_t *value,
                               struct pm_link_view *out)
{
    memset(out, 0, sizeof *out);
    if (!decode_state(value, "state", &out->state_service) ||
        !decode_state(value, "cloud", &out->cloud))
        return false;
    pm_cbor_read_flag(pm_cbor_get(value, "leads"), &out->leads);
    pm_cbor_read_uint(pm_cbor_get(value, "epoch"), &out->epoch);
    for (int i = 0; i < matrix->controller_count; i++)
        decode_state(pm_cbor_get(value, "peers"), pm_link_matrix_controller_name(matrix, i),
                     &out->peer[i]);
    for (int i = 0; i < matrix->settings->zone_count; i++)
        decode_state(pm_cbor_get(value, "zones"), matrix->settings->zone_names[i], &out->zone[i]);
    return true;
}
