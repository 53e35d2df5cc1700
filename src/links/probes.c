/* Selects the links to probe because they have had no traffic recently. */
#include "links/internal.h"

#include <glib.h>

/* The interval of probes of the cloud is this many times that of other links. */
#define CLOUD_PROBE_FACTOR 5

static double last_evidence_at(const struct pm_link *link)
{
    const struct pm_link_evidence *evidence = &link->evidence[PM_LINK_OUTBOUND];

    return MAX(evidence->succeeded_at, evidence->failed_at);
}

bool pm_links_is_state_service_probe_due(const struct pm_links *links, double now)
{
    return links->setting->observe &&
           now - last_evidence_at(&links->state_service.link) > links->setting->probe_s;
}

/* Whether another controller leads and does not reach the cloud. */
static bool is_leader_without_cloud(const struct pm_links *links, double now)
{
    for (int i = 1; i < links->matrix.controller_count; i++) {
        const struct pm_link_view *view = &links->matrix.view[i];
        if (pm_link_matrix_is_view_fresh(&links->matrix, i, now) && view->leads &&
            view->cloud != PM_LINK_UNKNOWN && !pm_link_is_usable(view->cloud))
            return true;
    }
    return false;
}

bool pm_links_is_cloud_probe_due(const struct pm_links *links, double now)
{
    double interval_s = CLOUD_PROBE_FACTOR * links->setting->probe_s;

    if (!links->setting->observe || now - last_evidence_at(&links->cloud.link) < interval_s)
        return false;
    return is_leader_without_cloud(links, now);
}

static bool is_zone_probe_due(const struct pm_links *links, int zone, double now)
{
    const struct pm_link *link = &links->zones[zone].link;
    double last_at = MAX(last_evidence_at(link), links->zone_probes[zone].sent_at);

    return links->setting->observe && !link->evidence[PM_LINK_INBOUND].is_expected &&
           now - last_at >= links->setting->probe_s;
}

/* The address in the view for the zone's probe with this number; "" if the zone has none. */
static const char *next_endpoint(const struct pm_link_view *view, int zone, unsigned number)
{
    const char *addr = view->endpoint[zone][number % PM_VIEW_ENDPOINTS_MAX];

    return *addr ? addr : view->endpoint[zone][0]; /* the zone has a single address */
}

const char *pm_links_next_zone_probe(struct pm_links *links, int zone, double now)
{
    struct pm_links_zone_probe *probe = &links->zone_probes[zone];

    if (!is_zone_probe_due(links, zone, now))
        return NULL;
    for (int i = 1; i < links->matrix.controller_count; i++) {
        const char *addr = next_endpoint(&links->matrix.view[i], zone, probe->next_endpoint);
        if (!pm_link_matrix_is_view_fresh(&links->matrix, i, now) || !*addr)
            continue;
        probe->sent_at = now;
        probe->next_endpoint++;
        return addr;
    }
    return NULL;
}
