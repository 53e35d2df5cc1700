#include "base/clock.h"
#include "base/log.h"
#include "leadership/internal.h"

#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* How long a controller that stepped down voluntarily leaves the lock to the others. */
#define STEP_DOWN_BACKOFF_S 15.0

struct pm_election *pm_election_new(struct ev_loop *loop, struct pm_store *store,
                                    struct pm_http_client *http, const struct pm_settings *settings,
                                    const struct pm_operator_settings *operator_settings,
                                    const struct pm_election_hooks *hooks)
{
    struct pm_election *election = g_new0(struct pm_election, 1);

    election->loop = loop;
    election->store = store;
    election->http = http;
    election->settings = settings;
    election->operator_settings = operator_settings;
    election->hooks = *hooks;
    snprintf(election->incarnation_id, sizeof election->incarnation_id, "%08x%08x", g_random_int(),
             g_random_int());
    pm_election_start_timer(election);
    return election;
}

void pm_election_free(struct pm_election *election)
{
    ev_timer_stop(election->loop, &election->timer);
    g_free(election);
}

void pm_election_attach_links(struct pm_election *election, const struct pm_election_links *links)
{
    election->links = *links;
}

uint64_t pm_election_epoch(const struct pm_election *election)
{
    return election->term.is_leader ? election->term.epoch : election->replica.epoch;
}

struct pm_fencing_range pm_election_tokens(const struct pm_election *election)
{
    uint64_t first =
        election->term.is_leader ? election->term.first_token : election->replica.first_token;

    return (struct pm_fencing_range){first, pm_election_epoch(election)};
}

uint64_t pm_election_epoch_revision(const struct pm_election *election)
{
    return election->term.is_leader ? election->term.epoch_revision
                                    : election->replica.epoch_revision;
}

const char *pm_election_incarnation_id(const struct pm_election *election)
{
    return election->incarnation_id;
}

const char *pm_election_other_leader(const struct pm_election *election)
{
    const struct pm_election_replica *replica = &election->replica;

    if (election->term.is_leader || !replica->lock_revision ||
        !strcmp(replica->lock_holder, election->settings->name))
        return NULL;
    return replica->lock_holder;
}

void pm_election_end_term(struct pm_election *election, const char *reason)
{
    if (!election->term.is_leader)
        return;
    pm_info("election.stepped_down", "ended the term in epoch %llu: %s",
            (unsigned long long)election->term.epoch, reason);
    election->term.is_leader = false;
    election->confirmation.confirmed_at = 0;
    election->candidacy.lock_free_since = 0;
    election->hooks.stepped_down(election->hooks.arg);
}

void pm_election_step_down(struct pm_election *election, const char *reason)
{
    if (!election->term.is_leader)
        return;
    election->candidacy.backoff_until = pm_clock_monotonic() + STEP_DOWN_BACKOFF_S;
    pm_store_lease_revoke(election->store, election->term.lease_id);
    pm_election_end_term(election, reason);
}
