/* Creates the links and evaluates them regularly. */
#include "links/links.h"
#include "base/log.h"
#include "links/internal.h"

#include <glib.h>
#include <stdio.h>

/* After a pause of the process, missing responses are no evidence of a failure for this long. */
#define PAUSE_GRACE_S 3.0
/* More than this many tick intervals between two ticks mean that the process was paused. */
#define PAUSE_TICKS 2
/* `down_s` of a zone's link is at least this many heartbeat intervals of its workers. */
#define ZONE_DOWN_HEARTBEATS 1.6
/* See struct pm_fitness_delays. */
#define MUCH_BETTER_DELAY_S 2.0
#define BETTER_DELAY_S 15.0
#define MIN_TERM_S 10.0

static void name_link(struct pm_links_link *link, const char *kind, const char *name)
{
    snprintf(link->name, sizeof link->name, "%s%s%s", kind, *name ? " " : "", name);
}

static void name_links(struct pm_links *links)
{
    const struct pm_settings *settings = links->settings;

    name_link(&links->state_service, "state service", "");
    name_link(&links->cloud, "cloud", "");
    for (int i = 0; i < settings->peer_count; i++)
        name_link(&links->peers[i], "controller", settings->peers[i].name);
    for (int i = 0; i < settings->zone_count; i++)
        name_link(&links->zones[i], "workers", settings->zone_names[i]);
}

struct pm_links *pm_links_new(const struct pm_settings *settings,
                              const struct pm_links_setting *setting, struct pm_links_trace *trace)
{
    struct pm_links *links = g_new0(struct pm_links, 1);

    links->settings = settings;
    links->setting = setting;
    links->trace = trace;
    links->limits =
        (struct pm_link_limits){setting->down_s, setting->recover_s, setting->half_life_s};
    links->zone_limits = links->limits;
    links->zone_limits.down_s = MAX(setting->down_s, ZONE_DOWN_HEARTBEATS * settings->heartbeat_s);
    links->delays = (struct pm_fitness_delays){MUCH_BETTER_DELAY_S, BETTER_DELAY_S, MIN_TERM_S};
    pm_link_matrix_init(&links->matrix, settings, setting->expire_s);
    name_links(links);
    return links;
}

void pm_links_free(struct pm_links *links)
{
    g_free(links);
}

const struct pm_link_matrix *pm_links_matrix(const struct pm_links *links)
{
    return &links->matrix;
}

bool pm_links_was_paused_recently(const struct pm_links *links, double now)
{
    return now < links->pause_grace_until;
}

/* Describes the failed direction of a one-way link for logs and traces; "" for any other link. */
static const char *describe_direction(const struct pm_link *link)
{
    if (link->state != PM_LINK_ONE_WAY)
        return "";
    return link->failed_direction == PM_LINK_OUTBOUND ? "it does not answer us"
                                                      : "its requests do not arrive here";
}

static void report_change(struct pm_links *links, struct pm_links_link *link,
                          enum pm_link_state before_state, double now)
{
    const char *before = pm_link_state_name(before_state);
    const char *after = pm_link_state_name(link->link.state);
    const char *direction = describe_direction(&link->link);

    if (links->trace)
        pm_links_trace_change(links->trace, "link", link->name, before, after, direction);
    if (now - link->logged_at < PM_LINKS_LOG_INTERVAL_S) {
        link->unlogged_changes++;
        return;
    }
    pm_info("links.change", "link to %s: now %s, before %s%s%s (%u earlier changes not logged)",
            link->name, after, before, *direction ? "; " : "", direction, link->unlogged_changes);
    link->logged_at = now;
    link->unlogged_changes = 0;
}

/* Evaluates the link. Returns its state as a number for struct pm_link_view. */
static uint8_t evaluate_link(struct pm_links *links, struct pm_links_link *link,
                             const struct pm_link_limits *limits, double now)
{
    enum pm_link_state before = link->link.state;

    if (pm_link_evaluate(&link->link, limits, now))
        report_change(links, link, before, now);
    return (uint8_t)link->link.state;
}

static void evaluate_links(struct pm_links *links, double now)
{
    struct pm_link_view *view = &links->matrix.view[0];

    view->state_service = evaluate_link(links, &links->state_service, &links->limits, now);
    view->cloud = evaluate_link(links, &links->cloud, &links->limits, now);
    for (int i = 0; i < links->settings->peer_count; i++)
        view->peer[i + 1] = evaluate_link(links, &links->peers[i], &links->limits, now);
    for (int i = 0; i < links->settings->zone_count; i++)
        view->zone[i] = evaluate_link(links, &links->zones[i], &links->zone_limits, now);
}

static void report_fitness(const struct pm_links *links, enum pm_capability capability,
                           enum pm_fitness before, struct pm_fitness_verdict verdict)
{
    const char *name = pm_capability_name(capability);
    const char *fitness = pm_fitness_name(verdict.fitness);

    if (links->trace)
        pm_links_trace_change(links->trace, "duty", name,
                              links->is_evaluated ? pm_fitness_name(before) : "", fitness,
                              verdict.reason);
    if (capability == PM_CAPABILITY_LEAD && links->is_evaluated)
        pm_info("links.capability", "fitness for %s: %s%s%s", name, fitness,
                *verdict.reason ? ": " : "", verdict.reason);
}

static void evaluate_capabilities(struct pm_links *links)
{
    for (int i = 0; i < PM_CAPABILITY_COUNT; i++) {
        enum pm_capability capability = (enum pm_capability)i;
        enum pm_fitness before = links->verdicts[i].fitness;
        links->verdicts[i] = pm_fitness_evaluate(&links->matrix, 0, capability);
        if (links->verdicts[i].fitness != before || !links->is_evaluated)
            report_fitness(links, capability, before, links->verdicts[i]);
    }
    links->is_evaluated = true;
}

static void forgive_pause(struct pm_links *links, double now)
{
    pm_link_exclude_pause(&links->state_service.link, now);
    pm_link_exclude_pause(&links->cloud.link, now);
    for (int i = 0; i < links->settings->peer_count; i++)
        pm_link_exclude_pause(&links->peers[i].link, now);
    for (int i = 0; i < links->settings->zone_count; i++)
        pm_link_exclude_pause(&links->zones[i].link, now);
}

void pm_links_tick(struct pm_links *links, bool leads, uint64_t epoch, double now)
{
    struct pm_link_view *view = &links->matrix.view[0];

    if (links->last_tick_at && now - links->last_tick_at > PAUSE_TICKS * PM_LINKS_TICK_INTERVAL_S) {
        forgive_pause(links, now);
        links->pause_grace_until = now + PAUSE_GRACE_S;
    }
    links->last_tick_at = now;
    if (!links->setting->observe)
        return;
    view->evaluated_at = now;
    view->leads = leads;
    view->epoch = epoch;
    evaluate_links(links, now);
    evaluate_capabilities(links);
}
