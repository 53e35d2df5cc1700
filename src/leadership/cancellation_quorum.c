#include "leadership/cancellation_quorum.h"
#include "base/clock.h"
#include "base/log.h"
#include "leadership/cancellation_internal.h"
#include "leadership/quorum.h"

#include <ev.h>
#include <glib.h>

/* Must be shorter than the 2 s that users wait for an answer. */
#define PUBLISH_TIMEOUT_S 1.1
#define TICK_S 0.1

/* How many controllers know a pending cancellation. */
struct ack_count {
    int known;    /* controllers known to know it, including this one */
    int possible; /* peers that may still acknowledge it */
};

bool pm_cancel_quorum_is_acked(const struct pm_cancel_quorum *quorum, uint64_t revision)
{
    int reached = 1; /* this controller */

    for (int i = 0; i < quorum->settings->peer_count; i++)
        reached += quorum->peers.store_revision[i] >= revision;
    return reached >= pm_quorum_size(quorum->settings);
}

bool pm_pending_cancellation_is_known_to(const struct pm_cancel_quorum *quorum,
                                         const struct pm_pending_cancellation *pending, int peer)
{
    return pending->has_acked[peer] || quorum->peers.store_revision[peer] >= pending->revision;
}

static struct ack_count count_acks(const struct pm_cancel_quorum *quorum,
                                   const struct pm_pending_cancellation *pending)
{
    struct ack_count acks = {.known = 1};

    for (int i = 0; i < quorum->settings->peer_count; i++) {
        if (pm_pending_cancellation_is_known_to(quorum, pending, i))
            acks.known++;
        else if (pending->attempts[i] < PM_CANCELLATION_ATTEMPTS_MAX)
            acks.possible++;
    }
    return acks;
}

/* Removes the cancellation with this index, calls its callback, and frees it. */
static void complete_pending(struct pm_cancel_quorum *quorum, guint index, bool ok)
{
    struct pm_pending_cancellation *pending = g_ptr_array_index(quorum->pending, index);

    g_ptr_array_remove_index_fast(quorum->pending, index);
    pending->done(pending->done_arg, ok);
    g_free(pending);
}

/* Completes the cancellation with this index if it is settled. Returns false if it is still
 * pending. */
static bool complete_if_settled(struct pm_cancel_quorum *quorum, guint index, double now)
{
    const struct pm_pending_cancellation *pending = g_ptr_array_index(quorum->pending, index);
    struct ack_count acks = count_acks(quorum, pending);
    int needed = pm_quorum_size(quorum->settings);
    bool ok = acks.known >= needed;

    if (!ok && now < pending->deadline && acks.known + acks.possible >= needed)
        return false;
    if (!ok)
        pm_debug("cancellation.not_acked",
                 "cancellation of job %s is not confirmed: only %d of %d controllers know it",
                 pending->id, acks.known, quorum->settings->cluster_size);
    complete_pending(quorum, index, ok);
    return true;
}

void pm_cancel_quorum_complete_settled(struct pm_cancel_quorum *quorum, double now)
{
    for (guint i = 0; i < quorum->pending->len;) {
        bool is_complete = complete_if_settled(quorum, i, now);
        i = is_complete ? 0 : i + 1; /* restart: the callback may have added entries */
    }
    if (!quorum->pending->len)
        ev_timer_stop(quorum->loop, &quorum->timer);
}

void pm_cancel_quorum_publish(struct pm_cancel_quorum *quorum, const char *id, uint64_t revision,
                              pm_cancel_quorum_done *done, void *arg)
{
    struct pm_pending_cancellation *pending;

    if (pm_cancel_quorum_is_acked(quorum, revision)) {
        done(arg, true);
        return;
    }
    pending = g_new0(struct pm_pending_cancellation, 1);
    g_strlcpy(pending->id, id, sizeof pending->id);
    pending->revision = revision;
    pending->deadline = pm_clock_monotonic() + PUBLISH_TIMEOUT_S;
    pending->done = done;
    pending->done_arg = arg;
    g_ptr_array_add(quorum->pending, pending);
    ev_timer_again(quorum->loop, &quorum->timer);
    pm_cancel_quorum_send_to_peers(quorum);
}

void pm_cancel_quorum_note_peer_revision(struct pm_cancel_quorum *quorum, int peer,
                                         uint64_t store_revision)
{
    uint64_t *known = &quorum->peers.store_revision[peer];

    *known = MAX(*known, store_revision);
}

/* Completing the last pending cancellation stops the timer. Restarts it if an acknowledgement is
 * still pending. */
static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct pm_cancel_quorum *quorum = timer->data;
    double now = pm_clock_monotonic();

    (void)events;
    pm_cancel_quorum_acknowledge_if_due(quorum, now);
    pm_cancel_quorum_complete_settled(quorum, now);
    if (pm_cancel_quorum_has_pending_acknowledgement(quorum))
        ev_timer_again(loop, timer);
}

struct pm_cancel_quorum *pm_cancel_quorum_new(struct ev_loop *loop, struct pm_store *store,
                                              struct pm_http_client *http,
                                              const struct pm_settings *settings,
                                              const struct pm_cancel_quorum_hooks *hooks)
{
    struct pm_cancel_quorum *quorum = g_new0(struct pm_cancel_quorum, 1);

    quorum->loop = loop;
    quorum->store = store;
    quorum->http = http;
    quorum->settings = settings;
    quorum->hooks = *hooks;
    quorum->pending = g_ptr_array_new();
    ev_timer_init(&quorum->timer, on_timer, 0., TICK_S);
    quorum->timer.data = quorum;
    return quorum;
}

void pm_cancel_quorum_free(struct pm_cancel_quorum *quorum)
{
    ev_timer_stop(quorum->loop, &quorum->timer);
    g_ptr_array_free(quorum->pending, TRUE);
    g_free(quorum);
}
