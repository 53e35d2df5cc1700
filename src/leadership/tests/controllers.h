/* Controllers that know one another, in this process, for the tests of the leadership slice. */
#ifndef PM_LEADERSHIP_TESTS_CONTROLLERS_H
#define PM_LEADERSHIP_TESTS_CONTROLLERS_H

#include "../../jobs/tests/job_fixtures.h"
#include "testing/fake_store.h"
#include "base/clock.h"
#include "base/protocol.h"
#include "leadership/cancellation_quorum.h"
#include "leadership/election.h"

#include <ev.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

static struct ev_loop *loop;
static struct fake_store *state;

struct controller {
    struct pm_settings settings;
    struct pm_operator_settings op;
    struct pm_http_client *http;
    struct pm_http_server *back;
    struct pm_store *store;
    struct pm_election *lead;
    struct pm_cancel_quorum *cancels;
    struct pm_name_tables tables;
    struct pm_jobs *jobs;
    const char *state_addr; /* NULL: the front one */
    uint64_t took, raised;
    int lost;
};

static void on_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    struct controller *c = arg;

    pm_election_apply_put(c->lead, key, value, revision);
    pm_cancel_quorum_apply_put(c->cancels, key, value);
    if (pm_jobs_apply_put(c->jobs, key, value, revision) && pm_store_is_ready(c->store))
        pm_cancel_quorum_note_read(c->cancels, revision);
}

static void on_drop(void *arg, const char *key, uint64_t revision)
{
    pm_election_apply_delete(((struct controller *)arg)->lead, key, revision);
}

static void on_begin(void *arg)
{
    pm_election_snapshot_begin(((struct controller *)arg)->lead);
}

static void on_listed(void *arg)
{
    (void)arg;
}

static void on_caught_up(void *arg, uint64_t store_revision)
{
    (void)arg;
    (void)store_revision;
}

static void on_took(void *arg, uint64_t epoch)
{
    ((struct controller *)arg)->took = epoch;
}

static void on_lost(void *arg)
{
    ((struct controller *)arg)->lost++;
}

static void on_raised(void *arg, uint64_t epoch)
{
    ((struct controller *)arg)->raised = epoch;
}

static void on_confirmed(void *arg)
{
    (void)arg;
}

static void on_cancelled(void *arg, const char *id, uint64_t revision)
{
    pm_jobs_apply_cancellation(((struct controller *)arg)->jobs, id, revision);
}

static const struct pm_cancellation *on_list_cancelled(void *arg, uint64_t revision, size_t most,
                                                       size_t *n, bool *more)
{
    return pm_jobs_list_cancellations(((struct controller *)arg)->jobs, revision, most, n, more);
}

static void on_reached(void *arg, int peer, uint64_t store_revision)
{
    pm_cancel_quorum_note_peer_revision(((struct controller *)arg)->cancels, peer, store_revision);
}

static void on_peer(void *arg, struct pm_http_request *req)
{
    struct controller *c = arg;

    if (!strcmp(req->path, "/cancelled"))
        pm_cancel_quorum_handle_peer_request(c->cancels, req);
    else
        pm_election_handle_peer_request(c->lead, req);
}

/* Names and addresses of `n` controllers that know one another. */
static void acquaint(struct controller *all, int n)
{
    for (int i = 0; i < n; i++) {
        memset(&all[i], 0, sizeof all[i]);
        pm_operator_settings_defaults(&all[i].op);
        fixture_begin(&all[i].tables, &all[i].settings);
        all[i].settings.cluster_size = n;
        snprintf(all[i].settings.name, PM_NAME_MAX, "n%d", i);
        snprintf(all[i].settings.peer_listen_addr, 64, "127.0.0.1:%d", event_loop_free_port());
    }
    for (int i = 0; i < n; i++)
        for (int j = 0; j < n; j++) {
            struct pm_peer_setting *peer;
            if (i == j)
                continue;
            peer = &all[i].settings.peers[all[i].settings.peer_count++];
            g_strlcpy(peer->name, all[j].settings.name, sizeof peer->name);
            g_strlcpy(peer->addr, all[j].settings.peer_listen_addr, sizeof peer->addr);
        }
}

/* Its address for the others: opened, or opened again. */
static void open_back(struct controller *c)
{
    c->back = pm_http_server_new(loop, c->settings.peer_listen_addr, 16, on_peer, c);
    assert_non_null(c->back);
}

static void start(struct controller *c)
{
    c->http = pm_http_client_new(loop, 64);
    c->jobs = pm_jobs_new(&c->tables);
    c->store = pm_store_new(
        loop, c->http, c->state_addr ? c->state_addr : fake_store_addr(state), 1000,
        &(struct pm_store_observer){on_put, on_drop, on_begin, on_listed, on_caught_up, c});
    c->lead = pm_election_new(loop, c->store, c->http, &c->settings, &c->op,
                              &(struct pm_election_hooks){on_took, on_lost, on_raised, on_confirmed,
                                                          on_cancelled, on_list_cancelled,
                                                          on_reached, c});
    c->cancels = pm_cancel_quorum_new(loop, c->store, c->http, &c->settings,
                                      &(struct pm_cancel_quorum_hooks){on_cancelled, c});
    open_back(c);
}

static bool has_taken(void *arg)
{
    return ((struct controller *)arg)->took > 0;
}

static bool is_confirmed(void *arg)
{
    return pm_election_is_confirmed(((struct controller *)arg)->lead, pm_clock_monotonic());
}

static bool is_unconfirmed(void *arg)
{
    return !is_confirmed(arg);
}

static bool has_read(void *arg)
{
    return pm_store_is_ready(((struct controller *)arg)->store);
}

static bool is_refused(void *arg)
{
    return pm_store_is_refusing(((struct controller *)arg)->store);
}

static bool all_are_new(void *arg)
{
    return pm_election_protocol_version(((struct controller *)arg)->lead) >=
           PM_PROTOCOL_DEPENDENCIES;
}

static bool is_later(void *arg)
{
    return pm_clock_monotonic() > *(double *)arg;
}

/* Runs the loop for that long. */
static inline void pass(double seconds)
{
    double later = pm_clock_monotonic() + seconds;

    assert_true(event_loop_run_until(loop, is_later, &later));
}

#endif
