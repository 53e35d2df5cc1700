/* Fault injection in the fake state service. */
#include "testing/fake_store_internal.h"

#include <string.h>

void fake_store_set_outage(struct fake_store *store, bool outage)
{
    store->faults.outage = outage;
    fake_store_notify_watches(store);
}

void fake_store_set_hanging(struct fake_store *store, bool hanging)
{
    store->faults.hanging = hanging;
}

const char *fake_store_second_addr(const struct fake_store *store)
{
    return store->second_addr;
}

void fake_store_set_second_addr_mode(struct fake_store *store, enum fake_store_addr_mode mode)
{
    store->faults.second_addr_mode = mode;
    fake_store_notify_watches(store);
}

bool fake_store_is_refusing(const struct fake_store *store, bool at_second_addr)
{
    return store->faults.outage ||
           (at_second_addr && store->faults.second_addr_mode == FAKE_STORE_ADDR_REFUSES);
}

bool fake_store_are_watches_held_open(const struct fake_store *store, bool at_second_addr)
{
    return store->faults.outage ||
           (at_second_addr && store->faults.second_addr_mode != FAKE_STORE_ADDR_SERVES);
}

void fake_store_reject_next_watch(struct fake_store *store)
{
    store->faults.reject_next_watch = true;
}

void fake_store_lose_next_answer(struct fake_store *store)
{
    store->faults.lose_next_answer = true;
}

void fake_store_delay_next_txn(struct fake_store *store, const char *text)
{
    g_strlcpy(store->faults.delay_txn_with, text, sizeof store->faults.delay_txn_with);
}

bool fake_store_has_delayed_txn(const struct fake_store *store)
{
    return store->faults.delayed_txn.size > 0;
}

bool fake_store_delay_txn(struct fake_store *store, struct pm_http_request *request)
{
    struct fake_store_faults *faults = &store->faults;

    if (!faults->delay_txn_with[0] ||
        !memmem(request->body, request->body_size, faults->delay_txn_with,
                strlen(faults->delay_txn_with)))
        return false;
    faults->delay_txn_with[0] = 0;
    pm_buffer_append(&faults->delayed_txn, request->body, request->body_size);
    pm_http_reply(request, HTTP_OK, "?", 1, 0);
    return true;
}

void fake_store_execute_delayed_txn(struct fake_store *store)
{
    struct pm_buffer *delayed = &store->faults.delayed_txn;

    fake_store_execute_txn(store, NULL, delayed->data, delayed->size);
    pm_buffer_free(delayed);
}
