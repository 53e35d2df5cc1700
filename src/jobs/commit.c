/* Sends transactions: decides when, and how many may be in flight. */
#include "jobs/commit_internal.h"

/* Delay until the next run while IN_FLIGHT_MAX transactions are in flight. */
#define IN_FLIGHT_POLL_S 0.02
/* Delay until the next run while the write budget is spent. */
#define BUDGET_POLL_S 0.05

enum {
    IN_FLIGHT_MAX = 4, /* transactions without a result at any time */
    /* No transaction is sent while the write budget is below this number of changes, or below the
     * limit of one transaction if that is lower. */
    WRITES_MIN = 4
};

struct pm_commit *pm_commit_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                struct pm_store *store, const struct pm_commit_hooks *hooks)
{
    struct pm_commit *commit = g_new0(struct pm_commit, 1);

    commit->tables = tables;
    commit->jobs = jobs;
    commit->store = store;
    commit->hooks = *hooks;
    return commit;
}

void pm_commit_free(struct pm_commit *commit)
{
    g_free(commit);
}

void pm_commit_reset(struct pm_commit *commit)
{
    commit->generation++;
    commit->in_flight = 0;
    commit->deferrable_since = 0;
}

double pm_commit_run(struct pm_commit *commit, const struct pm_commit_conditions *conditions,
                     double now, double wall)
{
    int operations_max = commit->tables->settings->store_txn_ops;

    commit->wall = wall;
    for (;;) {
        int max_writes = MIN(pm_store_write_budget(commit->store, now), operations_max);
        double next_at = 0;
        struct commit_transaction *transaction;

        if (commit->in_flight >= IN_FLIGHT_MAX)
            return now + IN_FLIGHT_POLL_S;
        if (max_writes < MIN(WRITES_MIN, operations_max))
            return now + BUDGET_POLL_S;
        transaction = pm_commit_transaction_new(commit, conditions, now, max_writes);
        pm_commit_add_due(transaction, now, &next_at);
        if (!transaction->changes->len) {
            pm_commit_transaction_free(transaction);
            if (commit->deferrable_since)
                pm_commit_lower_next_at(&next_at,
                                        MAX(pm_commit_deferred_until(commit), now + BUDGET_POLL_S));
            return next_at;
        }
        commit->in_flight++;
        pm_store_commit(commit->store, &transaction->txn, pm_commit_on_result, transaction);
    }
}
