/* Dependencies between jobs: a directed acyclic graph of the live jobs, by which of them have to be
 * done before another may start.
 *
 * Safety invariant 8: no task starts before every job that its job depends on is durably done, and
 * a job is cancelled when it, or any job that it depends on, is durably cancelled. One durable
 * write therefore cancels a whole pipeline: each controller derives the rest in memory. None of the
 * derived jobs can have begun by then, since what they depend on is not done.
 *
 * Jobs may be added in any order. A job can only name jobs that were accepted before it, so the
 * store revision at which a live job was accepted is a topological order of the graph: walks go by
 * it, handle each job that changes once, and cannot run in circles. No walk is recursive.
 *
 * Owned by the replica (`struct pm_jobs`), which alone calls it while it applies the feed and
 * cancellations, on the event-loop thread under `struct pm_controller.lock`. It borrows the jobs,
 * and writes their `dependencies`, `priority` and `deadline_wall`. It knows no keys. */
#ifndef PM_JOBS_DEPENDENCIES_H
#define PM_JOBS_DEPENDENCIES_H

#include "jobs/jobs.h"

struct pm_dependency_graph;

/* An empty graph, owned by the caller (pm_dependencies_free). Borrows the tables. */
struct pm_dependency_graph *pm_dependencies_new(struct pm_name_tables *tables);

/* Frees the graph, not its jobs. */
void pm_dependencies_free(struct pm_dependency_graph *graph);

/* What is known of a job: NULL and 0 while nothing is. */
struct pm_dependency_outcome {
    struct pm_job *job;
    uint64_t cancellation_revision; /* store revision of its cancellation */
};

/* Looks up the job of that id. */
typedef struct pm_dependency_outcome pm_dependency_lookup(void *arg, const char *id);

/* Adds a live job all of whose dependencies are known by name; adding it again changes nothing.
 * Returns the revision of the earliest cancellation among its dependencies, 0: none. */
uint64_t pm_dependencies_add(struct pm_dependency_graph *graph, struct pm_job *job,
                             pm_dependency_lookup *lookup, void *arg);

/* The job of that id is durably done since the time of day `ended_wall` (0: not known): jobs that
 * depended on nothing else may start. */
void pm_dependencies_mark_done(struct pm_dependency_graph *graph, const char *id,
                               double ended_wall);

/* Called for a job that is cancelled because of one that it depends on. */
typedef void pm_dependency_cancel(void *arg, struct pm_job *job);

/* The job of that id is durably cancelled: calls `cancel` for each live job that depends on it,
 * directly or through others. */
void pm_dependencies_mark_cancelled(struct pm_dependency_graph *graph, const char *id,
                                    pm_dependency_cancel *cancel, void *arg);

/* How many edges have been looked at since the graph was made: the cost of all calls so far. */
uint64_t pm_dependencies_steps(const struct pm_dependency_graph *graph);

#endif
