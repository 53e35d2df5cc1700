/* What the users of a soak submit: more than their teams' limits allow, all the time. */
#ifndef PM_SOAK_WORKLOAD_H
#define PM_SOAK_WORKLOAD_H

#include "testing/cluster.h"

enum { WORKLOAD_TEAMS = 3 };

/* The teams: two that are at their limits, and one that lends and borrows. */
const struct cluster_team *workload_teams(double machine_cpus);
/* Submits a job drawn by `random` to the cluster; an array's tasks are `scale` times as many. */
void workload_submit(struct cluster *cluster, GRand *random, unsigned scale);

#endif
