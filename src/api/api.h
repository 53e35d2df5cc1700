/* Users' requests: submissions, status polls, cancellations, and the readiness probe.
 *
 * A submission or a cancellation is durable before it is answered with success. A 404, and the
 * state of a job that is not final, are linearizable: they are as new as the state service was when
 * the request arrived. Final states are answered from the replica, even during an outage, but
 * "cancelled" only once a majority of controllers knows the cancellation. A request that cannot be
 * answered with certainty gets a 503 with Retry-After.
 *
 * Keys written: p/j/ID (a submission on the condition that the key does not exist, a cancellation
 * on the condition of the key's revision) and p/n/ID/K (ids of dependencies that do not fit into
 * p/j/ID). Keys are read only through the jobs slice.
 *
 * Thread and lock: everything here runs in the event-loop thread under pm_controller.lock. No
 * function waits for I/O; requests are answered at once or from a callback. */
#ifndef PM_API_API_H
#define PM_API_API_H

#include "base/http.h"
#include "jobs/jobs.h"
#include "leadership/cancellation_quorum.h"
#include "store/store.h"

struct pm_api;

/* Creates the API, which answers from `jobs`. Never returns NULL. All arguments are borrowed and
 * must live as long as the process. `operator_settings` has the bounds of the limit on requests in
 * progress. */
struct pm_api *pm_api_new(struct ev_loop *loop, struct pm_store *store, struct pm_jobs *jobs,
                          struct pm_name_tables *tables, struct pm_cancel_quorum *cancel_quorum,
                          const struct pm_operator_settings *operator_settings);
/* Sets whether every controller of the cluster can read jobs with dependencies. If not, submissions
 * with dependencies are answered 503. */
void pm_api_enable_dependencies(struct pm_api *api, bool enabled);
/* Sets whether this controller is unable to reach the state service. If it is, requests that need
 * the state service are answered 503 at once; final states are still answered from the replica. */
void pm_api_set_cut_off(struct pm_api *api, bool cut_off);
/* Handles a request whose path is /work or begins with /work/. The request is answered exactly
 * once, at once or from a callback. */
void pm_api_handle_job_request(struct pm_api *api, struct pm_http_request *http);
/* Answers GET /ready. `refused_alone` tells whether the state service refuses this controller, or
 * this controller cannot reach it, while it serves the other controllers. */
void pm_api_handle_readiness_probe(struct pm_api *api, struct pm_http_request *http,
                                   bool refused_alone);

#endif
