/* The workload of a soak: the teams, and the jobs that their users submit. The users always request
 * more than their teams' quotas allow. Owns the teams; called by soak.c, in its only thread. */
#ifndef PM_SOAK_WORKLOAD_H
#define PM_SOAK_WORKLOAD_H

#include "testing/cluster.h"

enum { WORKLOAD_TEAMS = 3 };

/* Returns WORKLOAD_TEAMS teams whose quotas are shares of `machine_cpus`, the processors of all
 * machines together. Two teams reach their limits of processors, the third first reaches its limit
 * of accelerators. Borrowed, valid until the next call. */
const struct cluster_team *workload_teams(double machine_cpus);
/* Draws a job with `random` and submits it to the cluster. Array jobs get `scale` times the drawn
 * number of tasks. */
void workload_submit(struct cluster *cluster, GRand *random, unsigned scale);

#endif
