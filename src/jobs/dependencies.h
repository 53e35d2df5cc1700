/* Dependencies between jobs: a directed acyclic graph of the live jobs. A job may start once all
 * its dependencies are done.
 *
 * Safety invariant 8: no task starts before every job that its job depends on is durably done, and
 * a job is cancelled when it, or any job that it depends on, is durably cancelled. One durable
 * write therefore cancels a whole pipeline: each controller derives the cancellations of the
 * dependents in memory. None of these can have started, since a dependency of each is not done.
 *
 * Jobs may be added in any order. A job can only depend on jobs that were accepted before it, so
 * the store revisions at which live jobs were accepted are a topological order of the graph.
 * Priorities and deadlines are propagated in this order, and edges against it are skipped, so that
 * each changed job is processed once and no traversal can run in circles. The traversals are not
 * recursive.
 *
 * Owned by the replica (`struct pm_jobs`), which alone calls it while it applies the feed and
 * cancellations, on the event-loop thread under `struct pm_controller.lock`. It borrows the jobs,
 * and writes their `dependencies`, `priority` and `deadline_wall`. It reads and writes no keys. */
#ifndef PM_JOBS_DEPENDENCIES_H
#define PM_JOBS_DEPENDENCIES_H

#include "jobs/jobs.h"

struct pm_dependency_graph;

/* Returns an empty graph, owned by the caller (pm_dependencies_free). Borrows the tables. */
struct pm_dependency_graph *pm_dependencies_new(struct pm_name_tables *tables);

/* Frees the graph, but not its jobs. */
void pm_dependencies_free(struct pm_dependency_graph *graph);

/* What the replica knows of a job that others depend on. `job` is NULL if the job is not known. */
struct pm_dependency_outcome {
    struct pm_job *job;
    uint64_t cancellation_revision; /* store revision of its cancellation; 0 if there is none */
};

/* Returns what is known of the job with that id. */
typedef struct pm_dependency_outcome pm_dependency_lookup(void *arg, const char *id);

/* Adds a live job whose list of dependencies is complete. Adding a job again changes nothing.
 * Returns the revision of the earliest cancellation among its dependencies, or 0 if none is
 * cancelled. */
uint64_t pm_dependencies_add(struct pm_dependency_graph *graph, struct pm_job *job,
                             pm_dependency_lookup *lookup, void *arg);

/* Records that the job with that id is durably done, since the time of day `ended_wall` (0 if
 * not known), and removes it from the graph. Its dependents may start if they have no other unmet
 * dependencies. */
void pm_dependencies_mark_done(struct pm_dependency_graph *graph, const char *id,
                               double ended_wall);

/* Called for each job that is cancelled because a dependency of it was. */
typedef void pm_dependency_cancel(void *arg, struct pm_job *job);

/* Records that the job with that id is durably cancelled: calls `cancel` for each live job that
 * depends on it, directly or through others, and removes all of them from the graph. */
void pm_dependencies_mark_cancelled(struct pm_dependency_graph *graph, const char *id,
                                    pm_dependency_cancel *cancel, void *arg);

/* Returns how many edges have been visited since the graph was created, which measures the cost of
 * all calls so far. */
uint64_t pm_dependencies_edges_visited(const struct pm_dependency_graph *graph);

#endif
