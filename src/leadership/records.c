/* Encoding and decoding of the election's keys. Each value is a CBOR map. The field names must not
 * change, since earlier versions have stored them:
 *   p/epoch        epoch: the number; leader: name of the controller that advanced it; boot: that
 *                  controller's incarnation; tokens: how many fencing tokens it owns, the last of
 *                  which is its number; absent if it owns one
 *   p/lead         leader: name of the holder of the lock; boot: that controller's incarnation
 *   p/speaks/NAME  version: the protocol version that the controller NAME runs
 *   p/speaks       version: a lower bound of the protocol versions that the controllers run
 * All functions depend only on their arguments. */
#include "base/keys.h"
#include "leadership/internal.h"

#include <string.h>

#define EPOCH_FIELD "epoch"
#define LEADER_FIELD "leader"
#define INCARNATION_FIELD "boot"
#define VERSION_FIELD "version"
#define TOKEN_COUNT_FIELD "tokens"

enum { NO_LEASE = 0 };

static void put_author(const struct pm_election *election, struct pm_txn *txn)
{
    pm_cbor_put_pair_text(&txn->writes, LEADER_FIELD, election->settings->name);
    pm_cbor_put_pair_text(&txn->writes, INCARNATION_FIELD, election->incarnation_id);
}

void pm_election_put_epoch(const struct pm_election *election, struct pm_txn *txn,
                           struct pm_fencing_range tokens)
{
    uint64_t token_count = tokens.last - tokens.first + 1;

    pm_txn_put_begin(txn, PM_KEY_EPOCH);
    pm_cbor_put_map(&txn->writes);
    pm_cbor_put_pair_uint(&txn->writes, EPOCH_FIELD, tokens.last);
    put_author(election, txn);
    if (token_count > 1)
        pm_cbor_put_pair_uint(&txn->writes, TOKEN_COUNT_FIELD, token_count);
    pm_cbor_put_end(&txn->writes);
    pm_txn_put_end(txn, NO_LEASE);
}

void pm_election_put_lock(const struct pm_election *election, struct pm_txn *txn, uint64_t lease_id)
{
    pm_txn_put_begin(txn, PM_KEY_LEADER_LOCK);
    pm_cbor_put_map(&txn->writes);
    put_author(election, txn);
    pm_cbor_put_end(&txn->writes);
    pm_txn_put_end(txn, lease_id);
}

void pm_election_put_version(struct pm_txn *txn, const char *key, unsigned version)
{
    pm_txn_put_begin(txn, key);
    pm_cbor_put_map(&txn->writes);
    pm_cbor_put_pair_uint(&txn->writes, VERSION_FIELD, version);
    pm_cbor_put_end(&txn->writes);
    pm_txn_put_end(txn, NO_LEASE);
}

/* Reads a text field into `out`. A field that can't be read leaves "", or the part that could be
 * read. */
static void read_text(const cbor_item_t *value, const char *field, char *out, size_t size)
{
    memset(out, 0, size);
    pm_cbor_read_text(pm_cbor_get(value, field), out, size);
}

bool pm_election_decode_epoch(const cbor_item_t *value, struct pm_fencing_range *tokens,
                              char incarnation_id[PM_INCARNATION_ID_SIZE])
{
    uint64_t token_count;

    read_text(value, INCARNATION_FIELD, incarnation_id, PM_INCARNATION_ID_SIZE);
    if (!pm_cbor_read_uint(pm_cbor_get(value, EPOCH_FIELD), &tokens->last))
        return false;
    tokens->first = tokens->last;
    if (pm_cbor_read_uint(pm_cbor_get(value, TOKEN_COUNT_FIELD), &token_count) && token_count > 1 &&
        token_count <= tokens->last)
        tokens->first = tokens->last - token_count + 1;
    return true;
}

void pm_election_decode_lock(const cbor_item_t *value, char holder[PM_NAME_MAX],
                             char incarnation_id[PM_INCARNATION_ID_SIZE])
{
    read_text(value, LEADER_FIELD, holder, PM_NAME_MAX);
    read_text(value, INCARNATION_FIELD, incarnation_id, PM_INCARNATION_ID_SIZE);
}

bool pm_election_decode_version(const cbor_item_t *value, uint64_t *version)
{
    return pm_cbor_read_uint(pm_cbor_get(value, VERSION_FIELD), version);
}
