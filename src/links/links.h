/* The links of this controller: to the state service, each peer, the workers of each zone and the
 * cloud. Evidence comes in from the traffic that flows anyway; links are judged regularly; the
 * views of all controllers make the reachability matrix, and the fitness for duties follows.
 *
 * Does no I/O and reads no clock. Values in the state service:
 *
 * - p/links/NAME: the view of that controller, for those whom its answers do not reach. Written on
 *   a change, and kept fresh while a peer is not reached */
#ifndef PM_LINKS_LINKS_H
#define PM_LINKS_LINKS_H

#include "base/http.h"
#include "base/settings.h"
#include "links/fitness.h"
#include "links/matrix.h"

#include <stdbool.h>
#include <stdint.h>

#define PM_LINKS_PREFIX "p/links/"

struct pm_links;
struct pm_links_trace;

/* `trace` may be NULL. */
struct pm_links *pm_links_new(const struct pm_settings *settings,
                              const struct pm_links_setting *setting, struct pm_links_trace *trace);
void pm_links_free(struct pm_links *links);

/* ---- evidence ---- */

/* A call of the HTTP client has ended; it is told apart by its address. */
void pm_links_call_ended(struct pm_links *links, const struct pm_http_outcome *outcome);
/* A request of that peer of the settings has arrived. */
void pm_links_peer_heard(struct pm_links *links, int peer, double now);
/* A report of a worker has arrived; `hears_us`: it has taken our token. */
void pm_links_worker_heard(struct pm_links *links, int zone, bool hears_us, double now);
/* A command sent to a worker at `began` was answered, or not. */
void pm_links_worker_answered(struct pm_links *links, int zone, bool answered, double began,
                              double now);
/* What the leader or a holder sees of the workers of a zone: how many machines are up, how many of
 * them do not hear us though we hear them, and the addresses of some that are heard. */
struct pm_links_zone_census {
    int up, unreachable;
    char endpoint[PM_VIEW_ENDPOINTS][64];
};
void pm_links_count_zone(struct pm_links *links, int zone,
                         const struct pm_links_zone_census *census, double now);

/* ---- judging ---- */

/* Judges all links, at least every PM_LINKS_TICK_S. */
#define PM_LINKS_TICK_S 0.5
void pm_links_tick(struct pm_links *links, bool leads, uint64_t epoch, double now);
/* This process lags, or stood still a moment ago: answers that it missed say nothing. */
bool pm_links_is_lagging(const struct pm_links *links, double now);

/* ---- the others' views ---- */

const struct pm_matrix *pm_links_matrix(const struct pm_links *links);
/* The message for a peer's answer; owned by the caller. */
unsigned char *pm_links_encode_views(const struct pm_links *links, double now, size_t *size);
/* What the peer's answer, to a call sent at `asked_at`, told. */
void pm_links_decode_views(struct pm_links *links, int peer, const unsigned char *data, size_t size,
                           double asked_at, double now);
/* The replica's feed, for p/links. */
void pm_links_apply_put(struct pm_links *links, const char *key, const cbor_item_t *value,
                        uint64_t revision, double now);
/* Whether this controller's value ought to be written: it says something new, or has to be kept
 * fresh for a peer that is not reached. */
bool pm_links_is_write_due(const struct pm_links *links, double now);
/* The value to be written, and what became of that. */
void pm_links_encode_view(struct pm_links *links, struct pm_buf *out, double now);
void pm_links_view_written(struct pm_links *links, bool written);

/* ---- probes: which links have no traffic that tells of them ---- */

bool pm_links_probe_state_due(const struct pm_links *links, double now);
/* The cloud is asked only while the leader says that it does not reach it. */
bool pm_links_probe_cloud_due(const struct pm_links *links, double now);
/* The address of a worker of the zone to probe now, NULL: none is due or known. */
const char *pm_links_probe_zone_due(struct pm_links *links, int zone, double now);

/* ---- what follows ---- */

/* Whether users' requests that need the state service have to be turned away: it is out of this
 * controller's reach. A refusal by the state service itself is not meant. */
bool pm_links_is_cut_off(const struct pm_links *links);
/* Whether the leader, for `led_for` seconds, is to leave the lead to a controller that can lead
 * better. */
bool pm_links_should_yield_lead(struct pm_links *links, double led_for, double now);
/* How much longer this controller is to wait than others before it takes a vacant lead. */
double pm_links_candidate_wait_s(const struct pm_links *links, double now);
/* Whether another controller, with a fresh view, could lead at least as well as this one. */
bool pm_links_has_equal(const struct pm_links *links, double now);

/* Links, matrix and fitness as a CBOR map, for the operators' tool. */
void pm_links_encode_status(const struct pm_links *links, struct pm_buf *out, double now);

#endif
