/* Users' requests: submissions, status polls, cancellations, and the readiness probe.
 *
 * Accepted and cancelled are durable before they are answered. An answer that is not final, and a
 * 404, is linearizable: as new as the state service was when the request came. Final states come
 * from the replica, for ever, but "cancelled" only once a majority of controllers knows the
 * cancellation. What can't be answered for certain is a 503 with Retry-After.
 *
 * Keys written: p/j/ID (a submission on the condition that it does not exist, a cancellation on its
 * revision) and p/n/ID/K (names of needed jobs that p/j/ID has no room for). Keys are read through
 * the jobs slice only.
 *
 * Thread and lock: everything here runs in the event-loop thread under pm_controller.lock. No
 * function waits for I/O; answers are given at once or from a callback. */
#ifndef PM_API_API_H
#define PM_API_API_H

#include "base/http.h"
#include "jobs/jobs.h"
#include "leadership/cancellation_quorum.h"
#include "store/store.h"

struct pm_api;

/* The API over this replica of the jobs. Everything that is passed is borrowed, and has to live as
 * long as the process; `operator_settings` bounds the requests in progress. Never NULL. */
struct pm_api *pm_api_new(struct ev_loop *loop, struct pm_store *store, struct pm_jobs *jobs,
                          struct pm_name_tables *tables, struct pm_cancel_quorum *cancel_quorum,
                          const struct pm_operator_settings *operator_settings);
/* Sets whether every controller of the cluster reads jobs with dependencies: until then a
 * submission with dependencies is answered 503. */
void pm_api_enable_dependencies(struct pm_api *api, bool enabled);
/* Sets whether the state service is out of this controller's reach: requests that need it are then
 * answered 503 at once; final states are answered from the replica as ever. */
void pm_api_set_cut_off(struct pm_api *api, bool cut_off);
/* Handles a request whose path is /work or below it. It is answered exactly once, now or later. */
void pm_api_handle_job_request(struct pm_api *api, struct pm_http_request *http);
/* Answers GET /ready. `refused_alone`: the state service refuses this controller, or is out of its
 * reach, but serves the others. */
void pm_api_handle_readiness_probe(struct pm_api *api, struct pm_http_request *http,
                                   bool refused_alone);

#endif
