/* The workload of a soak: the teams, and the jobs that their users submit. The users always request
 * more than their teams' quotas allow. Owns the teams; called by soak.c, in its only thread. */
#ifndef PM_SOAK_WORKLOAD_H
#define PM_SOAK_WORKLOAD_H

#include "testing/cluster.h"

enum { WORKLOAD_TEAMS = 3, WORKLOAD_VARIED_TYPES = 3 };

/* Returns WORKLOAD_TEAMS teams whose quotas are shares of `total_cpus`, the number of processors of
 * all machines together. Two teams reach their limits of processors; the third team reaches its
 * limit of accelerators first. The array is borrowed and valid until the next call. */
const struct cluster_team *workload_teams(double total_cpus);
/* The name of the team with this index, a string constant. */
const char *workload_team_name(int team);
/* Draws a job with `random` and submits it to the cluster. An array job gets `array_task_factor`
 * times the drawn number of tasks. */
void workload_submit_job(struct cluster *cluster, GRand *random, unsigned array_task_factor);
/* Draws a job over the whole range of the protocol's fields, and submits it to the cluster, which
 * must have WORKLOAD_VARIED_TYPES machine types and CLUSTER_ZONES_MAX zones. docs/soak.md lists the
 * fields. */
void workload_submit_varied_job(struct cluster *cluster, GRand *random);

#endif
