/* Fencing tokens. A worker obeys commands with the highest token that it has seen, and no others.
 *
 * Each epoch owns a range of tokens, which ends with the epoch's number and lies above the ranges
 * of all earlier epochs. Within its range a controller raises a worker's token without a write to
 * the state service, so that the worker refuses late copies of the commands before. An epoch that
 * an earlier version of this program began owns one token: its number. */
#ifndef PM_BASE_FENCING_H
#define PM_BASE_FENCING_H

#include "base/protocol.h"

#include <stdbool.h>
#include <stdint.h>

enum { PM_TOKENS_PER_EPOCH = 65536 };

/* The tokens of an epoch; `last` is the epoch's number. */
struct pm_fencing_range {
    uint64_t first, last;
};

/* Returns the tokens of the next epoch after `epoch`, given the protocol version that all
 * controllers read. */
static inline struct pm_fencing_range pm_fencing_range_after(uint64_t epoch,
                                                             unsigned protocol_version)
{
    uint64_t count = protocol_version >= PM_PROTOCOL_FENCING_RANGES ? PM_TOKENS_PER_EPOCH : 1;

    return (struct pm_fencing_range){epoch + 1, epoch + count};
}

/* Whether a worker whose highest token is `token` has seen this epoch and no later one. */
static inline bool pm_fencing_range_has(struct pm_fencing_range range, uint64_t token)
{
    return token >= range.first && token <= range.last;
}

#endif
