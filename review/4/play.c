/* A gang of more tasks than one stored value holds completes while one of its machines has lost the
 * network, and the leader crashes a moment later. The job has to become done all the same. */
#include "lab.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RESTART_S 8.0
#define CUT_S 12.0
#define WAIT_S 90.0

enum { TASKS = 136, CHUNK = 128 };

static struct lab_job gang = {.id = "job-000150",
                              .form = "group",
                              .urgency = "normal",
                              .entries = TASKS,
                              .cpus = 1,
                              .expected_s = 5,
                              .zone = -1};

static bool is_running(void)
{
    return lab_tasks_on_machines(gang.id) == TASKS;
}

static bool have_most_ended(void)
{
    return lab_tasks_on_machines(gang.id) < TASKS / 2;
}

static bool is_done(void)
{
    return gang.ended_at > 0;
}

/* Cuts the machines that run the gang's tasks from number CHUNK on; returns how many. */
static int cut_last(bool cut)
{
    static bool is_chosen[64];
    int count = 0;

    for (guint i = 0; lab_machine(i); i++) {
        const struct fake_machine *machine = lab_machine(i);
        for (guint j = 0; cut && j < machine->worker.tasks->len; j++) {
            const char *name = g_array_index(machine->worker.tasks, struct fake_task, j).name;
            if (atoi(strchr(name, '/') + 1) >= CHUNK)
                is_chosen[i] = true;
        }
        if (!is_chosen[i])
            continue;
        count++;
        lab_log("%s %s %s", machine->name, cut ? "loses" : "has", "the network");
        fake_provider_partition_machine(lab.provider, i, cut);
    }
    return count;
}

int main(int argc, char **argv)
{
    const struct lab_settings settings = {.controllers = 3,
                                          .zones = 1,
                                          .rps = 250,
                                          .write_rps = 30,
                                          .value_kb = 16,
                                          .txn_ops = 12,
                                          .report_s = 2,
                                          .lease_s = 12,
                                          .gang_wait_s = 40,
                                          .gang_peer_s = 4,
                                          .cancel_s = 42,
                                          .list_lag_s = 4,
                                          .cloud_rps = 2,
                                          .machines_max = 24,
                                          .team_cpus = 160,
                                          .team_cpus_max = 200};
    char text[200];
    int leader = -1;

    lab.records_txns = true;
    lab_start(&settings, argc > 1 ? argv[1] : "record.txt");
    lab_submit(&gang);
    if (!lab_run(30, is_running))
        lab_give_up("the gang did not start");
    lab_log("the gang runs");
    lab_run(3, NULL);
    if (lab_has_trouble())
        lab_log("machines cut: %d", cut_last(true));
    if (!lab_run(10, have_most_ended))
        lab_give_up("the gang did not complete");
    lab_log("the gang has completed");
    lab_run(1.5, NULL);
    if (lab_has_trouble()) {
        leader = lab_leader();
        if (leader < 0)
            lab_give_up("there is no leader");
        lab_kill(leader);
        lab_run(RESTART_S, NULL);
        lab_restart(leader);
        lab_run(MAX(0, CUT_S - RESTART_S - 4), NULL);
        cut_last(false);
    }
    lab_log("the troubles are over");
    lab_run(WAIT_S, is_done);
    snprintf(text, sizeof text,
             "%.0f s after the troubles the user is told \"%s\"; tasks on machines %u", WAIT_S,
             gang.status, lab_tasks_on_machines(gang.id));
    lab_finish(!is_done(), text);
}
