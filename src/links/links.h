/* The links of this controller: to the state service, each peer, the workers of each zone and the
 * cloud. Evidence comes from the traffic that flows anyway; links are evaluated regularly; the
 * views of all controllers make the reachability matrix, and fitness for capabilities follows from
 * it.
 *
 * Key:  p/links/NAME, the view of that controller (view_value.c), for those whom its responses do
 * not reach. Each controller writes its own, on a change, and again and again while it does not
 * reach a peer.
 *
 * Threads: guarded by struct pm_controller.lock, called from the event-loop thread, by
 * cmd/pumicemount/link_monitor.c above all. Does no I/O: the caller sends the probes and the writes
 * that are due. All times are arguments, in monotonic seconds. */
#ifndef PM_LINKS_LINKS_H
#define PM_LINKS_LINKS_H

#include "base/http.h"
#include "base/settings.h"
#include "links/fitness.h"
#include "links/matrix.h"

#include <stdbool.h>
#include <stdint.h>

#define PM_LINKS_TICK_S 0.5 /* the longest time between two evaluations */

struct pm_links;
struct pm_links_trace;

/* links.c */

/* A new instance, owned by the caller (pm_links_free); never NULL. Settings and `trace`, which may
 * be NULL, are borrowed and must outlive it. */
struct pm_links *pm_links_new(const struct pm_settings *settings,
                              const struct pm_links_setting *setting, struct pm_links_trace *trace);
/* Frees it, but not what it borrowed. */
void pm_links_free(struct pm_links *links);
/* Evaluates all links and capabilities; to be called at least every PM_LINKS_TICK_S. A longer gap
 * means that the process was paused. */
void pm_links_tick(struct pm_links *links, bool leads, uint64_t epoch, double now);
/* Whether this process was paused a moment ago: responses that it missed say nothing. */
bool pm_links_is_lagging(const struct pm_links *links, double now);
/* The reachability matrix, borrowed; view 0 is this controller's own. */
const struct pm_matrix *pm_links_matrix(const struct pm_links *links);

/* evidence.c */

/* A call of the HTTP client has ended; its address identifies the link. */
void pm_links_record_call(struct pm_links *links, const struct pm_http_outcome *outcome);
/* A request of that peer of the settings has arrived. */
void pm_links_record_peer_request(struct pm_links *links, int peer, double now);
/* A heartbeat of a worker has arrived; `has_current_token`: it shows our fencing token, so that our
 * answers arrive there. A zone that is not in the settings is ignored. */
void pm_links_record_heartbeat(struct pm_links *links, int zone, bool has_current_token,
                               double now);
/* A command sent to a worker at `began` was answered, or not. A zone that is not in the settings is
 * ignored. */
void pm_links_record_command_result(struct pm_links *links, int zone, bool answered, double began,
                                    double now);
/* What the leader or the owner of a shard knows of the workers of a zone: how many machines are up,
 * how many of them our answers do not reach though their heartbeats arrive, and the addresses of
 * some whose heartbeats arrive. */
struct pm_links_zone_census {
    int up, unreachable;
    char endpoint[PM_VIEW_ENDPOINTS][64];
};
/* Records it for a zone of the settings, and publishes the addresses in this controller's view. */
void pm_links_record_zone_census(struct pm_links *links, int zone,
                                 const struct pm_links_zone_census *census, double now);

/* views.c */

/* The message with all fresh views for a response to a peer; owned by the caller (g_free). */
unsigned char *pm_links_encode_views(const struct pm_links *links, double now, size_t *size);
/* Reads the views in a peer's response to a call sent at `asked_at`. */
void pm_links_decode_views(struct pm_links *links, int peer, const unsigned char *data, size_t size,
                           double asked_at, double now);
/* The replica has a value for `key`, which begins with PM_KEY_VIEW_PREFIX. An unknown controller,
 * this one's own key and a revision that is not newer are ignored. */
void pm_links_apply_put(struct pm_links *links, const char *key, const cbor_item_t *value,
                        uint64_t revision, double now);
/* Whether this controller's value ought to be written: it has changed, or a peer is not reached. */
bool pm_links_is_write_due(const struct pm_links *links, double now);
/* Writes the value to `out`; pm_links_record_view_write must follow once the write has ended. */
void pm_links_encode_view(struct pm_links *links, struct pm_buffer *out, double now);
/* The write has ended; `written`: it is known to be durable. */
void pm_links_record_view_write(struct pm_links *links, bool written);

/* probes.c: which links have no traffic that shows their state */

/* Whether the state service is to be probed. */
bool pm_links_is_state_probe_due(const struct pm_links *links, double now);
/* Whether the cloud is to be probed: only while the leader does not reach it. */
bool pm_links_is_cloud_probe_due(const struct pm_links *links, double now);
/* The address of a worker of the zone to probe now, borrowed until the next call; NULL: no probe is
 * due, or no address known. Counts the probe as sent. */
const char *pm_links_next_zone_probe(struct pm_links *links, int zone, double now);

/* decisions.c */

/* Whether users' requests that need the state service have to be turned away, because this
 * controller does not reach it. That it refuses requests does not count. */
bool pm_links_is_cut_off(const struct pm_links *links);
/* Whether the leader, for `led_for` seconds, is to leave the lead to a controller that can lead
 * better. To be called regularly. */
bool pm_links_should_yield_lead(struct pm_links *links, double led_for, double now);
/* How many seconds longer than others this controller is to wait before it campaigns. */
double pm_links_candidate_wait_s(const struct pm_links *links, double now);
/* Whether another controller, with a fresh view, could lead at least as well as this one. */
bool pm_links_has_equal_candidate(const struct pm_links *links, double now);

/* status.c */

/* Writes links, matrix and fitness as a CBOR map, for the operators' tool. */
void pm_links_encode_status(const struct pm_links *links, struct pm_buffer *out, double now);

#endif
