#include "links/links.h"
#include "base/log.h"
#include "links/trace.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define LAGGING_S 3.0      /* after a pause, answers that were missed say nothing for this long */
#define REPORTS_MISSED 1.6 /* a zone is silent after so many reports' time */
#define LOG_PACE_S 1.0     /* of one link, one transition in this time is logged */
#define WRITE_PACE_S 5.0   /* of p/links */
#define CLOUD_PROBES 5     /* times `probe_s` between probes of the cloud */
#define URGENT_S 2.0       /* see struct pm_fitness_times */
#define SLIGHT_S 15.0
#define LED_LEAST_S 10.0

/* A link with what is said of it. */
struct named_link {
    struct pm_link link;
    char name[PM_NAME_MAX + 16];
    double logged_at;
    unsigned unlogged;
};

struct pm_links {
    const struct pm_settings *settings;
    const struct pm_links_setting *setting;
    struct pm_links_trace *trace;
    struct pm_link_limits limits, zone_limits;
    struct pm_fitness_times times;
    struct pm_fitness_patience patience;
    struct pm_matrix matrix; /* view 0 is this controller's own */
    struct named_link state, cloud, peer[PM_PEERS_MAX], zone[PM_ZONES_MAX];
    struct pm_fitness_verdict verdict[PM_CAPABILITY_COUNT];
    uint64_t stored_revision[PM_CONTROLLERS_MAX]; /* of p/links, as taken */
    struct pm_view written_view, writing_view;    /* in the state service; on its way there */
    double written_at, ticked_at, lagging_until;
    double zone_probed[PM_ZONES_MAX];
    unsigned zone_turn[PM_ZONES_MAX]; /* which of a zone's addresses is probed next */
    bool ready;                       /* the first tick is over */
};

static void name_link(struct named_link *link, const char *kind, const char *name)
{
    snprintf(link->name, sizeof link->name, "%s%s%s", kind, *name ? " " : "", name);
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
    links->zone_limits.down_s = MAX(setting->down_s, REPORTS_MISSED * settings->heartbeat_s);
    links->times = (struct pm_fitness_times){URGENT_S, SLIGHT_S, LED_LEAST_S};
    pm_matrix_init(&links->matrix, settings, setting->expire_s);
    name_link(&links->state, "state service", "");
    name_link(&links->cloud, "cloud", "");
    for (int i = 0; i < settings->peer_count; i++)
        name_link(&links->peer[i], "controller", settings->peers[i].name);
    for (int i = 0; i < settings->zone_count; i++)
        name_link(&links->zone[i], "workers", settings->zone_names[i]);
    return links;
}

void pm_links_free(struct pm_links *links)
{
    g_free(links);
}

/* ---- evidence ---- */

/* The zone whose workers the others may probe at that address, -1: none. */
static int find_probed_zone(const struct pm_links *links, const char *addr)
{
    for (int c = 0; c < links->matrix.controllers; c++)
        for (int z = 0; z < links->settings->zone_count; z++)
            for (int i = 0; i < PM_VIEW_ENDPOINTS; i++)
                if (!strcmp(links->matrix.view[c].endpoint[z][i], addr))
                    return z;
    return -1;
}

static void note_outcome(struct pm_link *link, const struct pm_http_outcome *outcome)
{
    if (outcome->status == 503)
        pm_link_was_refused(link, outcome->ended);
    else if (outcome->status > 0)
        pm_link_worked(link, PM_LINK_OUTWARD, outcome->ended);
    else
        pm_link_failed(link, PM_LINK_OUTWARD, outcome->began, outcome->ended);
}

void pm_links_call_ended(struct pm_links *links, const struct pm_http_outcome *outcome)
{
    const struct pm_settings *settings = links->settings;
    int zone;

    if (!strcmp(outcome->addr, settings->store_addr)) {
        note_outcome(&links->state.link, outcome);
        return;
    }
    if (!strcmp(outcome->addr, settings->cloud_addr)) {
        /* It refuses for want of capacity as well: an answer is an answer. */
        if (outcome->status > 0)
            pm_link_worked(&links->cloud.link, PM_LINK_OUTWARD, outcome->ended);
        else
            pm_link_failed(&links->cloud.link, PM_LINK_OUTWARD, outcome->began, outcome->ended);
        return;
    }
    for (int i = 0; i < settings->peer_count; i++)
        if (!strcmp(outcome->addr, settings->peers[i].addr)) {
            note_outcome(&links->peer[i].link, outcome);
            return;
        }
    if (strcmp(outcome->target, "/status"))
        return; /* commands to workers are told with their zone */
    zone = find_probed_zone(links, outcome->addr);
    if (zone >= 0)
        note_outcome(&links->zone[zone].link, outcome);
}

void pm_links_peer_heard(struct pm_links *links, int peer, double now)
{
    pm_link_worked(&links->peer[peer].link, PM_LINK_INWARD, now);
}

void pm_links_worker_heard(struct pm_links *links, int zone, bool hears_us, double now)
{
    if (zone < 0 || zone >= links->settings->zone_count)
        return;
    pm_link_worked(&links->zone[zone].link, PM_LINK_INWARD, now);
    if (hears_us)
        pm_link_worked(&links->zone[zone].link, PM_LINK_OUTWARD, now);
}

void pm_links_worker_answered(struct pm_links *links, int zone, bool answered, double began,
                              double now)
{
    if (zone < 0 || zone >= links->settings->zone_count)
        return;
    if (answered)
        pm_link_worked(&links->zone[zone].link, PM_LINK_OUTWARD, now);
    else
        pm_link_failed(&links->zone[zone].link, PM_LINK_OUTWARD, began, now);
}

void pm_links_count_zone(struct pm_links *links, int zone,
                         const struct pm_links_zone_census *census, double now)
{
    struct pm_link *link = &links->zone[zone].link;

    pm_link_await(link, census->up > 0, now);
    if (census->up && 2 * census->unreachable > census->up)
        pm_link_failed(link, PM_LINK_OUTWARD, link->path[PM_LINK_OUTWARD].worked, now);
    memcpy(links->matrix.view[0].endpoint[zone], census->endpoint, sizeof census->endpoint);
}

/* ---- judging ---- */

static void tell_link(struct pm_links *links, struct named_link *named, enum pm_link_state before,
                      double now)
{
    const char *from = pm_link_state_name(before);
    const char *to = pm_link_state_name(named->link.state);
    const char *way = "";

    if (named->link.state == PM_LINK_ONE_WAY)
        way = named->link.failed_direction == PM_LINK_OUTWARD ? "it does not answer us"
                                                              : "it is not heard";
    if (links->trace)
        pm_links_trace_change(links->trace, "link", named->name, from, to, way);
    if (now - named->logged_at < LOG_PACE_S) {
        named->unlogged++;
        return;
    }
    pm_info("links.change", "%s: %s, was %s%s%s (%u changes not logged)", named->name, to, from,
            *way ? "; " : "", way, named->unlogged);
    named->logged_at = now;
    named->unlogged = 0;
}

static uint8_t judge(struct pm_links *links, struct named_link *named,
                     const struct pm_link_limits *limits, double now)
{
    enum pm_link_state before = named->link.state;

    if (pm_link_judge(&named->link, limits, now))
        tell_link(links, named, before, now);
    return (uint8_t)named->link.state;
}

static void excuse_all(struct pm_links *links, double now)
{
    pm_link_excuse(&links->state.link, now);
    pm_link_excuse(&links->cloud.link, now);
    for (int i = 0; i < links->settings->peer_count; i++)
        pm_link_excuse(&links->peer[i].link, now);
    for (int i = 0; i < links->settings->zone_count; i++)
        pm_link_excuse(&links->zone[i].link, now);
}

static void judge_duties(struct pm_links *links)
{
    for (int i = 0; i < PM_CAPABILITY_COUNT; i++) {
        enum pm_capability duty = (enum pm_capability)i;
        struct pm_fitness_verdict verdict = pm_fitness_judge(&links->matrix, 0, duty);
        struct pm_fitness_verdict before = links->verdict[i];
        links->verdict[i] = verdict;
        if (verdict.fitness == before.fitness && links->ready)
            continue;
        if (links->trace)
            pm_links_trace_change(links->trace, "duty", pm_capability_name(duty),
                                  links->ready ? pm_fitness_name(before.fitness) : "",
                                  pm_fitness_name(verdict.fitness), verdict.reason);
        if (duty == PM_CAPABILITY_LEAD && links->ready)
            pm_info("links.capability", "%s: %s%s%s", pm_capability_name(duty),
                    pm_fitness_name(verdict.fitness), *verdict.reason ? ": " : "", verdict.reason);
    }
    links->ready = true;
}

void pm_links_tick(struct pm_links *links, bool leads, uint64_t epoch, double now)
{
    struct pm_view *view = &links->matrix.view[0];

    if (links->ticked_at && now - links->ticked_at > 2 * PM_LINKS_TICK_S) {
        excuse_all(links, now);
        links->lagging_until = now + LAGGING_S;
    }
    links->ticked_at = now;
    if (!links->setting->observe)
        return;
    view->at = now;
    view->leads = leads;
    view->epoch = epoch;
    view->state = judge(links, &links->state, &links->limits, now);
    view->cloud = judge(links, &links->cloud, &links->limits, now);
    for (int i = 0; i < links->settings->peer_count; i++)
        view->peer[i + 1] = judge(links, &links->peer[i], &links->limits, now);
    for (int i = 0; i < links->settings->zone_count; i++)
        view->zone[i] = judge(links, &links->zone[i], &links->zone_limits, now);
    judge_duties(links);
}

bool pm_links_is_lagging(const struct pm_links *links, double now)
{
    return now < links->lagging_until;
}

/* ---- the others' views ---- */

const struct pm_matrix *pm_links_matrix(const struct pm_links *links)
{
    return &links->matrix;
}

unsigned char *pm_links_encode_views(const struct pm_links *links, double now, size_t *size)
{
    return pm_views_encode(&links->matrix, now, size);
}

void pm_links_decode_views(struct pm_links *links, int peer, const unsigned char *data, size_t size,
                           double asked_at, double now)
{
    struct named_link *from = &links->peer[peer];

    if (!pm_views_decode(&links->matrix, data, size, asked_at, now)) {
        if (now - from->logged_at >= LOG_PACE_S)
            pm_error("links.message", "%s: malformed views", from->name);
        from->logged_at = now;
        return;
    }
    /* Whoever tells its views asks for ours as regularly. */
    pm_link_await(&from->link, true, now);
}

void pm_links_apply_put(struct pm_links *links, const char *key, const cbor_item_t *value,
                        uint64_t revision, double now)
{
    int controller = pm_matrix_controller(&links->matrix, key + strlen(PM_LINKS_PREFIX));
    struct pm_view view;

    if (controller <= 0 || revision <= links->stored_revision[controller])
        return;
    links->stored_revision[controller] = revision;
    if (!pm_view_decode(&links->matrix, value, &view)) {
        pm_error("links.value", "%s can't be read", key);
        return;
    }
    view.at = now;
    memcpy(view.endpoint, links->matrix.view[controller].endpoint, sizeof view.endpoint);
    pm_matrix_take(&links->matrix, controller, &view);
}

/* Whether two views say the same of every link; their age and the epoch aside. */
static bool says_the_same(const struct pm_view *a, const struct pm_view *b)
{
    return a->leads == b->leads && a->state == b->state && a->cloud == b->cloud &&
           !memcmp(a->peer, b->peer, sizeof a->peer) && !memcmp(a->zone, b->zone, sizeof a->zone);
}

static bool misses_a_peer(const struct pm_links *links)
{
    for (int i = 1; i < links->matrix.controllers; i++)
        if (!pm_link_usable(links->matrix.view[0].peer[i]))
            return true;
    return false;
}

bool pm_links_is_write_due(const struct pm_links *links, double now)
{
    if (!links->setting->observe || !links->ready || now - links->written_at < WRITE_PACE_S)
        return false;
    return misses_a_peer(links) || !says_the_same(&links->matrix.view[0], &links->written_view);
}

void pm_links_encode_view(struct pm_links *links, struct pm_buf *out, double now)
{
    pm_view_encode(&links->matrix, out);
    links->writing_view = links->matrix.view[0];
    links->written_at = now;
}

void pm_links_view_written(struct pm_links *links, bool written)
{
    if (written)
        links->written_view = links->writing_view;
    else
        links->written_at = 0; /* due again at once */
}

/* ---- probes ---- */

static double last_evidence(const struct pm_link *link)
{
    const struct pm_link_path *path = &link->path[PM_LINK_OUTWARD];

    return MAX(path->worked, path->failed);
}

bool pm_links_probe_state_due(const struct pm_links *links, double now)
{
    return links->setting->observe &&
           now - last_evidence(&links->state.link) > links->setting->probe_s;
}

bool pm_links_probe_cloud_due(const struct pm_links *links, double now)
{
    if (!links->setting->observe ||
        now - last_evidence(&links->cloud.link) < CLOUD_PROBES * links->setting->probe_s)
        return false;
    for (int i = 1; i < links->matrix.controllers; i++) {
        const struct pm_view *view = &links->matrix.view[i];
        if (pm_matrix_is_fresh(&links->matrix, i, now) && view->leads &&
            view->cloud != PM_LINK_UNKNOWN && !pm_link_usable(view->cloud))
            return true;
    }
    return false;
}

const char *pm_links_probe_zone_due(struct pm_links *links, int zone, double now)
{
    const struct pm_link *link = &links->zone[zone].link;

    if (!links->setting->observe || link->path[PM_LINK_INWARD].awaited ||
        now - MAX(last_evidence(link), links->zone_probed[zone]) < links->setting->probe_s)
        return NULL;
    for (int i = 1; i < links->matrix.controllers; i++) {
        const struct pm_view *view = &links->matrix.view[i];
        const char *addr = view->endpoint[zone][links->zone_turn[zone] % PM_VIEW_ENDPOINTS];
        if (!*addr) /* a zone with a single machine */
            addr = view->endpoint[zone][0];
        if (!pm_matrix_is_fresh(&links->matrix, i, now) || !*addr)
            continue;
        links->zone_probed[zone] = now;
        links->zone_turn[zone]++;
        return addr;
    }
    return NULL;
}

/* ---- what follows ---- */

bool pm_links_is_cut_off(const struct pm_links *links)
{
    uint8_t state = links->matrix.view[0].state;

    return links->setting->decide && (state == PM_LINK_DOWN || state == PM_LINK_ONE_WAY);
}

bool pm_links_should_yield_lead(struct pm_links *links, double led_for, double now)
{
    return links->setting->decide && !pm_links_is_lagging(links, now) &&
           pm_fitness_gives_way(&links->patience, &links->matrix, &links->times, led_for, now);
}

double pm_links_candidate_wait_s(const struct pm_links *links, double now)
{
    if (!links->setting->decide)
        return 0;
    return pm_fitness_candidate_wait_s(&links->matrix, &links->times, now);
}

bool pm_links_has_equal(const struct pm_links *links, double now)
{
    int other = pm_fitness_best_other(&links->matrix, 0, now);

    return other >= 0 && pm_fitness_lead_rank(&links->matrix, other, 0) >=
                             pm_fitness_lead_rank(&links->matrix, 0, 0);
}

/* ---- for the operators' tool ---- */

static void put_link(struct pm_buf *out, const char *to, enum pm_link_state state)
{
    pm_put_map(out);
    pm_put_pair_text(out, "to", to);
    pm_put_pair_text(out, "state", pm_link_state_name(state));
    pm_put_end(out);
}

static void put_view(const struct pm_links *links, int controller, struct pm_buf *out, double now)
{
    const struct pm_view *view = &links->matrix.view[controller];

    pm_put_map(out);
    pm_put_pair_text(out, "controller", pm_matrix_name(&links->matrix, controller));
    pm_put_pair_flag(out, "known", view->at > 0);
    pm_put_pair_flag(out, "fresh", pm_matrix_is_fresh(&links->matrix, controller, now));
    pm_put_pair_number(out, "age_s", view->at > 0 ? now - view->at : 0);
    pm_put_pair_flag(out, "leads", view->leads);
    pm_put_pair_count(out, "epoch", view->epoch);
    pm_put_text(out, "links");
    pm_put_list(out);
    if (view->at > 0) {
        put_link(out, links->state.name, view->state);
        put_link(out, links->cloud.name, view->cloud);
        for (int i = 0; i < links->matrix.controllers; i++)
            if (i != controller)
                put_link(out, pm_matrix_name(&links->matrix, i), view->peer[i]);
        for (int i = 0; i < links->settings->zone_count; i++)
            put_link(out, links->zone[i].name, view->zone[i]);
    }
    pm_put_end(out);
    pm_put_text(out, "duties");
    pm_put_list(out);
    for (int i = 0; i < PM_CAPABILITY_COUNT && view->at > 0; i++) {
        struct pm_fitness_verdict verdict =
            pm_fitness_judge(&links->matrix, controller, (enum pm_capability)i);
        pm_put_map(out);
        pm_put_pair_text(out, "duty", pm_capability_name((enum pm_capability)i));
        pm_put_pair_text(out, "fitness", pm_fitness_name(verdict.fitness));
        pm_put_pair_text(out, "reason", verdict.reason);
        pm_put_end(out);
    }
    pm_put_end(out);
    pm_put_end(out);
}

void pm_links_encode_status(const struct pm_links *links, struct pm_buf *out, double now)
{
    pm_put_map(out);
    pm_put_pair_flag(out, "observe", links->setting->observe);
    pm_put_pair_flag(out, "decide", links->setting->decide);
    pm_put_pair_flag(out, "lagging", pm_links_is_lagging(links, now));
    pm_put_pair_count(out, "trace_dropped",
                      links->trace ? pm_links_trace_dropped(links->trace) : 0);
    pm_put_text(out, "views");
    pm_put_list(out);
    for (int i = 0; i < links->matrix.controllers; i++)
        put_view(links, i, out, now);
    pm_put_end(out);
    pm_put_end(out);
}
