/* Encodes links, matrix and fitness for the operators' tool. Only this file uses the names of the
 * fields. */
#include "links/internal.h"

static void encode_link(struct pm_buffer *out, const char *name, enum pm_link_state state)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "to", name);
    pm_cbor_put_pair_text(out, "state", pm_link_state_name(state));
    pm_cbor_put_end(out);
}

static void encode_view_links(const struct pm_links *links, int controller, struct pm_buffer *out)
{
    const struct pm_link_view *view = &links->matrix.view[controller];

    encode_link(out, links->state_service.name, view->state_service);
    encode_link(out, links->cloud.name, view->cloud);
    for (int i = 0; i < links->matrix.controller_count; i++)
        if (i != controller)
            encode_link(out, pm_link_matrix_controller_name(&links->matrix, i), view->peer[i]);
    for (int i = 0; i < links->settings->zone_count; i++)
        encode_link(out, links->zones[i].name, view->zone[i]);
}

static void encode_verdict(const struct pm_links *links, int controller,
                           enum pm_capability capability, struct pm_buffer *out)
{
    struct pm_fitness_verdict verdict = pm_fitness_evaluate(&links->matrix, controller, capability);

    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "duty", pm_capability_name(capability));
    pm_cbor_put_pair_text(out, "fitness", pm_fitness_name(verdict.fitness));
    pm_cbor_put_pair_text(out, "reason", verdict.reason);
    pm_cbor_put_end(out);
}

static void encode_view(const struct pm_links *links, int controller, struct pm_buffer *out,
                        double now)
{
    const struct pm_link_view *view = &links->matrix.view[controller];
    bool is_known = view->evaluated_at > 0;

    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "controller",
                          pm_link_matrix_controller_name(&links->matrix, controller));
    pm_cbor_put_pair_flag(out, "known", is_known);
    pm_cbor_put_pair_flag(out, "fresh",
                          pm_link_matrix_is_view_fresh(&links->matrix, controller, now));
    pm_cbor_put_pair_number(out, "age_s", is_known ? now - view->evaluated_at : 0);
    pm_cbor_put_pair_flag(out, "leads", view->leads);
    pm_cbor_put_pair_uint(out, "epoch", view->epoch);
    pm_cbor_put_text(out, "links");
    pm_cbor_put_list(out);
    if (is_known)
        encode_view_links(links, controller, out);
    pm_cbor_put_end(out);
    pm_cbor_put_text(out, "duties");
    pm_cbor_put_list(out);
    for (int i = 0; i < PM_CAPABILITY_COUNT && is_known; i++)
        encode_verdict(links, controller, (enum pm_capability)i, out);
    pm_cbor_put_end(out);
    pm_cbor_put_end(out);
}

void pm_links_encode_status(const struct pm_links *links, struct pm_buffer *out, double now)
{
    uint64_t dropped = links->trace ? pm_links_trace_dropped(links->trace) : 0;

    pm_cbor_put_map(out);
    pm_cbor_put_pair_flag(out, "observe", links->setting->observe);
    pm_cbor_put_pair_flag(out, "decide", links->setting->decide);
    pm_cbor_put_pair_flag(out, "lagging", pm_links_was_paused_recently(links, now));
    pm_cbor_put_pair_uint(out, "trace_dropped", dropped);
    pm_cbor_put_text(out, "views");
    pm_cbor_put_list(out);
    for (int i = 0; i < links->matrix.controller_count; i++)
        encode_view(links, i, out, now);
    pm_cbor_put_end(out);
    pm_cbor_put_end(out);
}
