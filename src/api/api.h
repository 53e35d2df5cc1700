/* Users' requests: submissions, polls, cancellations; how many at a time; how fresh the answers.
 *
 * Safety invariant 6: accepted and cancelled are durable before they are answered. A non-final
 * answer, and a 404, is as fresh as the state service was when the question arrived. Final states
 * come from memory, for ever, but for this: "cancelled" is said once a majority of controllers
 * knows it (safety invariant 7). What is unsure is a 503. */
#ifndef PM_API_API_H
#define PM_API_API_H

#include "base/http.h"
#include "jobs/jobs.h"
#include "leadership/cancellation_quorum.h"
#include "store/store.h"

struct pm_api;
struct pm_concurrency_limit;

/* ---- the limit on requests in progress ---- */

struct pm_concurrency_limit *pm_concurrency_limit_new(unsigned least, unsigned most);
void pm_concurrency_limit_free(struct pm_concurrency_limit *limit);
/* False: more than can be done now. With `first`, for what is not simply asked again, a few more.
 */
bool pm_concurrency_limit_acquire(struct pm_concurrency_limit *limit, bool first);
/* A request that was let in took that long, while the state service answers within `state_s`: times
 * that are the state service's own do not become shorter by turning users away. */
void pm_concurrency_limit_release(struct pm_concurrency_limit *limit, double seconds,
                                  double state_s);
unsigned pm_concurrency_limit_current(const struct pm_concurrency_limit *limit);

/* ---- the requests ---- */

struct pm_api *pm_api_new(struct ev_loop *loop, struct pm_store *store, struct pm_jobs *jobs,
                          struct pm_name_tables *tables, struct pm_cancel_quorum *cancels,
                          const struct pm_operator_settings *op);
/* Whether every controller knows job chains: until then a submission that names others is turned
 * away for now. */
void pm_api_enable_dependencies(struct pm_api *intake, bool enabled);
void pm_api_free(struct pm_api *intake);
/* Takes a request whose path is /work or below, and answers it now or later. */
void pm_api_handle_job_request(struct pm_api *intake, struct pm_http_request *req);
/* Whether the state service is out of this controller's reach: what needs it is then turned away at
 * once, and final states are told from memory as ever. */
void pm_api_set_cut_off(struct pm_api *intake, bool cut_off);
/* GET /ready. `refused_alone`: the state service refuses us, or is out of our reach, but serves the
 * others. */
void pm_api_handle_readiness_probe(struct pm_api *intake, struct pm_http_request *req,
                                   bool refused_alone);

#endif
