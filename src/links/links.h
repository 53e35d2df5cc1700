/* The links of this controller: to the state service, to each peer, to the workers of each zone and
 * to the cloud. Their evidence comes from the traffic between them, and they are evaluated
 * regularly. The views of all controllers form the reachability matrix, from which each
 * controller's fitness for its capabilities is derived.
 *
 * Key: p/links/NAME holds the view of the controller NAME (encoded by view_value.c), for the
 * controllers that its responses do not reach. Each controller writes its own key when its view
 * changes, and repeatedly as long as a peer is not reached.
 *
 * Threads: guarded by struct pm_controller.lock. Called from the event-loop thread, mostly by
 * cmd/pumicemount/link_monitor.c. Does no I/O: the caller sends the probes and writes that are due.
 * All times are arguments, monotonic and in seconds. */
#ifndef PM_LINKS_LINKS_H
#define PM_LINKS_LINKS_H

#include "base/http.h"
#include "base/settings.h"
#include "links/fitness.h"
#include "links/matrix.h"

#include <stdbool.h>
#include <stdint.h>

#define PM_LINKS_TICK_INTERVAL_S 0.5 /* the maximum interval between two evaluations */

struct pm_links;
struct pm_links_trace;

/* ---- links.c ---- */

/* Creates an instance; never returns NULL. The caller frees it with pm_links_free. The settings and
 * `trace`, which may be NULL, are borrowed and must outlive it. */
struct pm_links *pm_links_new(const struct pm_settings *settings,
                              const struct pm_links_setting *setting, struct pm_links_trace *trace);
/* Frees the instance, but not what it borrows. */
void pm_links_free(struct pm_links *links);
/* Evaluates all links and capabilities. Must be called at least every PM_LINKS_TICK_INTERVAL_S; a
 * call that is much later is taken to mean that the process was paused. */
void pm_links_tick(struct pm_links *links, bool leads, uint64_t epoch, double now);
/* Whether this process was paused a short time ago, so that responses which it missed are no
 * evidence of a failure. */
bool pm_links_was_paused_recently(const struct pm_links *links, double now);
/* The reachability matrix, borrowed. View 0 is this controller's own. */
const struct pm_link_matrix *pm_links_matrix(const struct pm_links *links);

/* ---- evidence.c ---- */

/* Records that a call of the HTTP client has ended. Its address identifies the link. */
void pm_links_record_call(struct pm_links *links, const struct pm_http_outcome *outcome);
/* Records that a request from the peer with this index in the settings has arrived. */
void pm_links_record_peer_request(struct pm_links *links, int peer, double now);
/* Records that a heartbeat of a worker has arrived. `has_current_token` tells that the heartbeat
 * carries this controller's fencing token, which proves that our answers reach the worker. Ignores
 * a zone that is not in the settings. */
void pm_links_record_heartbeat(struct pm_links *links, int zone, bool has_current_token,
                               double now);
/* Records whether a command, which was sent to a worker at `began_at`, was answered. Ignores a zone
 * that is not in the settings. */
void pm_links_record_command_result(struct pm_links *links, int zone, bool answered,
                                    double began_at, double now);
/* What the leader, or the owner of a shard, knows of the workers of a zone. */
struct pm_links_zone_census {
    /* How many machines are up, and of these how many our answers do not reach although their
     * heartbeats arrive. */
    int up_count, unreachable_count;
    /* Addresses of some workers for other controllers' probes; "" if there are fewer. */
    char endpoint[PM_VIEW_ENDPOINTS_MAX][64];
};
/* Records the census of a zone of the settings, and publishes its addresses in this controller's
 * view. */
void pm_links_record_zone_census(struct pm_links *links, int zone,
                                 const struct pm_links_zone_census *census, double now);

/* ---- views.c ---- */

/* Encodes all fresh views for a response to a peer. The caller frees the result with g_free. */
unsigned char *pm_links_encode_views(const struct pm_links *links, double now, size_t *size);
/* Reads the views in a peer's response to a call that was sent at `sent_at`. */
void pm_links_decode_views(struct pm_links *links, int peer, const unsigned char *data, size_t size,
                           double sent_at, double now);
/* Applies a value that the replica has for `key`, which begins with PM_KEY_VIEW_PREFIX. Ignores the
 * keys of unknown controllers and of this one, and revisions that are not newer. */
void pm_links_apply_put(struct pm_links *links, const char *key, const cbor_item_t *value,
                        uint64_t revision, double now);
/* Whether this controller's view is to be written to the state service now: it differs from the one
 * written last, or a peer is not reached, and the latest write was not too recent. */
bool pm_links_is_write_due(const struct pm_links *links, double now);
/* Appends the value to be written to `out`. The caller must call pm_links_record_view_write when
 * the write has ended. */
void pm_links_encode_view(struct pm_links *links, struct pm_buffer *out, double now);
/* Records that the write has ended. `written` tells that it is known to be durable. */
void pm_links_record_view_write(struct pm_links *links, bool written);

/* ---- probes.c: probes of links without recent traffic ---- */

/* Whether the state service is to be probed. */
bool pm_links_is_state_service_probe_due(const struct pm_links *links, double now);
/* Whether the cloud is to be probed. This is so only while another controller leads and does not
 * reach the cloud. */
bool pm_links_is_cloud_probe_due(const struct pm_links *links, double now);
/* Returns the address of a worker of the zone to probe now, borrowed until the next call, and
 * counts the probe as sent. Returns NULL if no probe is due or no address is known. */
const char *pm_links_next_zone_probe(struct pm_links *links, int zone, double now);

/* ---- decisions.c ---- */

/* Whether this controller does not reach the state service, so that it must reject users' requests
 * that need it. A state service that is reached and refuses requests does not count. */
bool pm_links_is_cut_off(const struct pm_links *links);
/* Whether the leader, which has led for `led_for_s` seconds, should step down because another
 * controller can lead better. Must be called regularly. */
bool pm_links_should_step_down(struct pm_links *links, double led_for_s, double now);
/* How many seconds longer than others this controller waits before it campaigns. */
double pm_links_extra_campaign_delay_s(const struct pm_links *links, double now);
/* Whether another controller with a fresh view could lead at least as well as this one. */
bool pm_links_has_equal_candidate(const struct pm_links *links, double now);

/* ---- status.c ---- */

/* Writes the links, the matrix and the fitness as a CBOR map for the operators' tool. */
void pm_links_encode_status(const struct pm_links *links, struct pm_buffer *out, double now);

#endif
