/* A large batch ends while, for a short time, every second answer of the state service to a
 * transaction is lost (the transaction is carried out). Afterwards nothing is wrong any more: small
 * jobs that are submitted then have to run. */
#include "lab.h"

#include <stdio.h>
#include <string.h>

#define TROUBLE_S 6.0
#define WAIT_S 90.0

static struct lab_job batch = {.id = "job-000105",
                               .form = "array",
                               .urgency = "normal",
                               .entries = 1584,
                               .cpus = 1,
                               .expected_s = 15,
                               .zone = -1};
static struct lab_job later[4];
static double ended_at, trouble_until;
static unsigned txns_in_trouble, lost;

static bool is_batch_stored_done(void)
{
    return ended_at > 0;
}

static bool is_batch_accepted(void)
{
    return batch.accepted_at > 0;
}

static bool are_later_done(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(later); i++)
        if (!later[i].ended_at)
            return false;
    return true;
}

static void observe(const char *key, const cbor_item_t *data)
{
    char state[16] = "";

    if (ended_at > 0 || !data || strcmp(key, "p/j/job-000105") != 0)
        return;
    pm_cbor_read_text(pm_cbor_get(data, "now"), state, sizeof state);
    if (strcmp(state, "done") != 0)
        return;
    ended_at = lab_now();
    trouble_until = lab_has_trouble() ? ended_at + TROUBLE_S : 0;
    lab_log("the batch is stored as done%s", lab_has_trouble() ? "; answers get lost now" : "");
}

static enum lab_verdict judge(int controller, const cbor_item_t *txn)
{
    (void)controller;
    if (!ended_at || lab_now() >= trouble_until || !pm_cbor_length(pm_cbor_get(txn, "writes")) ||
        txns_in_trouble++ % 2 == 0)
        return LAB_SERVE;
    lost++;
    return LAB_LOSE_ANSWER;
}

int main(int argc, char **argv)
{
    const struct lab_settings settings = {.controllers = 3,
                                          .zones = 1,
                                          .rps = 200,
                                          .write_rps = 20,
                                          .value_kb = 4,
                                          .txn_ops = 8,
                                          .report_s = 3,
                                          .lease_s = 44,
                                          .gang_wait_s = 60,
                                          .gang_peer_s = 8,
                                          .cancel_s = 74,
                                          .list_lag_s = 10,
                                          .cloud_rps = 10,
                                          .machines_max = 32,
                                          .team_cpus = 250,
                                          .team_cpus_max = 256};
    char text[300];
    unsigned conflicts;
    unsigned machines = 0;

    lab.judge = judge;
    lab.observe = observe;
    lab.records_txns = true;
    lab_start(&settings, argc > 1 ? argv[1] : "record.txt");
    lab_submit(&batch);
    if (!lab_run(20, is_batch_accepted))
        lab_give_up("the batch was not accepted");
    if (!lab_run(45, is_batch_stored_done))
        lab_give_up("the batch did not end");
    lab_run(TROUBLE_S, NULL);
    lab_log("the trouble is over; %u answers were lost", lost);
    lab_run(2, NULL);
    conflicts = lab.conflicts;
    for (unsigned i = 0; i < G_N_ELEMENTS(later); i++) {
        later[i] = (struct lab_job){.form = "array",
                                    .urgency = "normal",
                                    .entries = 4,
                                    .cpus = 1,
                                    .expected_s = 1,
                                    .zone = -1};
        snprintf(later[i].id, sizeof later[i].id, "job-00%u10", 20 + i);
        lab_submit(&later[i]);
    }
    lab_run(WAIT_S, are_later_done);
    for (unsigned i = 0; i < G_N_ELEMENTS(later); i++)
        lab_log("%s: %s, tasks on machines %u", later[i].id, later[i].status,
                lab_tasks_on_machines(later[i].id));
    for (guint i = 0; lab_machine(i); i++)
        if (fake_machine_is_up(lab_machine(i)))
            machines++;
    snprintf(text, sizeof text,
             "%s within %.0f s after they were submitted; machines that are up and idle: %u; "
             "transactions refused for their conditions in that time: %u",
             are_later_done() ? "the small jobs have run" : "not all small jobs have run", WAIT_S,
             machines, lab.conflicts - conflicts);
    lab_finish(!are_later_done(), text);
}
