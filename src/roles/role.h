/* The singleton roles: work that exactly one controller may do at a time.
 *
 * This module owns the roles' identities, their stored names and the names of their keys in the
 * state service. It has no state; its functions may be called from any thread.
 *
 * Keys:
 * - p/duty/NAME  {holder, boot, lease}: which controller has the role. `holder` is its name, `boot`
 *   its incarnation id, `lease` the lease that the key is attached to. The key's revision is the
 *   fencing token.
 * - p/drain/NAME {token}: an operator's request that the holder with this fencing token releases
 *   the role. */
#ifndef PM_ROLES_ROLE_H
#define PM_ROLES_ROLE_H

#include <stdbool.h>
#include <stddef.h>

enum pm_role { PM_ROLE_SCALE_OUT, PM_ROLE_SCALE_IN, PM_ROLE_GARBAGE_COLLECTION, PM_ROLE_COUNT };

/* The role's stored name ("rent", "return" or "clean"); a constant. */
const char *pm_role_name(enum pm_role role);
/* Sets `out` to the role with this stored name. False, and `out` is unchanged: there is none. */
bool pm_role_from_name(const char *name, enum pm_role *out);
/* Writes the key that names the role's holder to `out`, of `size` bytes. */
void pm_role_format_key(enum pm_role role, char *out, size_t size);
/* Writes the key of a request to drain the role to `out`, of `size` bytes. */
void pm_role_format_drain_key(enum pm_role role, char *out, size_t size);
/* Whether only the leader may have the role: the leader acquires it together with its epoch, and
 * releases it when it steps down. */
bool pm_role_is_bound_to_leader(enum pm_role role);

#endif
