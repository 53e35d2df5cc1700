/* What the users of a soak submit: more than their teams' quotas allow, all the time. It owns the
 * teams; called by the soak's run, in its only thread. */
#ifndef PM_SOAK_WORKLOAD_H
#define PM_SOAK_WORKLOAD_H

#include "testing/cluster.h"

enum { WORKLOAD_TEAMS = 3 };

/* WORKLOAD_TEAMS teams with quotas for machines of that many processors: two that reach their
 * limits, and one whose accelerators bind first. Borrowed, valid until the next call. */
const struct cluster_team *workload_teams(double machine_cpus);
/* Submits a job drawn by `random` to the cluster; arrays have `scale` times as many tasks. */
void workload_submit(struct cluster *cluster, GRand *random, unsigned scale);

#endif
