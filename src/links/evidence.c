/* Records evidence of the links' state from the traffic of the whole process. */
#include "links/internal.h"

#include <string.h>

enum { HTTP_SERVICE_UNAVAILABLE = 503 };

/* The zone that has this address in any controller's view, and so may be probed there; -1 if there
 * is none. */
static int find_probed_zone(const struct pm_links *links, const char *addr)
{
    for (int i = 0; i < links->matrix.controller_count; i++)
        for (int zone = 0; zone < links->settings->zone_count; zone++)
            for (int j = 0; j < PM_VIEW_ENDPOINTS_MAX; j++)
                if (!strcmp(links->matrix.view[i].endpoint[zone][j], addr))
                    return zone;
    return -1;
}

static int find_peer(const struct pm_settings *settings, const char *addr)
{
    for (int i = 0; i < settings->peer_count; i++)
        if (!strcmp(addr, settings->peers[i].addr))
            return i;
    return -1;
}

static void record_call(struct pm_link *link, const struct pm_http_outcome *outcome)
{
    if (outcome->status > 0)
        pm_link_record_success(link, PM_LINK_OUTBOUND, outcome->ended_at);
    else
        pm_link_record_failure(link, PM_LINK_OUTBOUND, outcome->began_at, outcome->ended_at);
}

static void record_call_or_refusal(struct pm_link *link, const struct pm_http_outcome *outcome)
{
    if (outcome->status == HTTP_SERVICE_UNAVAILABLE)
        pm_link_record_refusal(link, outcome->ended_at);
    else
        record_call(link, outcome);
}

void pm_links_record_call(struct pm_links *links, const struct pm_http_outcome *outcome)
{
    const struct pm_settings *settings = links->settings;
    int peer;
    int zone;

    if (!strcmp(outcome->addr, settings->store_addr)) {
        record_call_or_refusal(&links->state_service.link, outcome);
        return;
    }
    if (!strcmp(outcome->addr, settings->cloud_addr)) {
        /* The cloud also refuses requests when it lacks capacity, so that a refusal is not evidence
         * against the link. */
        record_call(&links->cloud.link, outcome);
        return;
    }
    peer = find_peer(settings, outcome->addr);
    if (peer >= 0) {
        record_call_or_refusal(&links->peers[peer].link, outcome);
        return;
    }
    if (strcmp(outcome->target, "/status"))
        return; /* a command, which pm_links_record_command_result records */
    zone = find_probed_zone(links, outcome->addr);
    if (zone >= 0)
        record_call_or_refusal(&links->zones[zone].link, outcome);
}

void pm_links_record_peer_request(struct pm_links *links, int peer, double now)
{
    pm_link_record_success(&links->peers[peer].link, PM_LINK_INBOUND, now);
}

static bool is_zone(const struct pm_links *links, int zone)
{
    return zone >= 0 && zone < links->settings->zone_count;
}

void pm_links_record_heartbeat(struct pm_links *links, int zone, bool has_current_token, double now)
{
    if (!is_zone(links, zone))
        return;
    pm_link_record_success(&links->zones[zone].link, PM_LINK_INBOUND, now);
    if (has_current_token)
        pm_link_record_success(&links->zones[zone].link, PM_LINK_OUTBOUND, now);
}

void pm_links_record_command_result(struct pm_links *links, int zone, bool answered,
                                    double began_at, double now)
{
    if (!is_zone(links, zone))
        return;
    if (answered)
        pm_link_record_success(&links->zones[zone].link, PM_LINK_OUTBOUND, now);
    else
        pm_link_record_failure(&links->zones[zone].link, PM_LINK_OUTBOUND, began_at, now);
}

void pm_links_record_zone_census(struct pm_links *links, int zone,
                                 const struct pm_links_zone_census *census, double now)
{
    struct pm_link *link = &links->zones[zone].link;
    bool are_most_unreachable =
        census->up_count && 2 * census->unreachable_count > census->up_count;

    pm_link_set_inbound_expected(link, census->up_count > 0, now);
    if (are_most_unreachable)
        pm_link_record_failure(link, PM_LINK_OUTBOUND,
                               link->evidence[PM_LINK_OUTBOUND].succeeded_at, now);
    memcpy(links->matrix.view[0].endpoint[zone], census->endpoint, sizeof census->endpoint);
}
