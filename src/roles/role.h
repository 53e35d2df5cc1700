/* The singleton roles: kinds of work that at most one controller does at a time.
 *
 * This module defines the roles, their stored names and their keys in the state service. It has no
 * state, and its functions may be called from any thread.
 *
 * Keys:
 * - p/duty/NAME {holder, boot, lease} stores which controller holds the role. `holder` is the
 *   controller's name, `boot` its incarnation id, and `lease` the lease to which the key is
 *   attached. The key's revision is the fencing token.
 * - p/drain/NAME {token} stores an operator's request that the holder with this fencing token
 *   releases the role. */
#ifndef PM_ROLES_ROLE_H
#define PM_ROLES_ROLE_H

#include <stdbool.h>
#include <stddef.h>

enum pm_role { PM_ROLE_SCALE_OUT, PM_ROLE_SCALE_IN, PM_ROLE_GARBAGE_COLLECTION, PM_ROLE_COUNT };

/* Returns the role's stored name ("rent", "return" or "clean"), a constant string. */
const char *pm_role_name(enum pm_role role);
/* Sets `out` to the role with this stored name. Returns false, and leaves `out` unchanged, if there
 * is no such role. */
bool pm_role_from_name(const char *name, enum pm_role *out);
/* Writes the key that stores the role's holder to `out`, of `size` bytes. */
void pm_role_format_key(enum pm_role role, char *out, size_t size);
/* Writes the key of the drain request for the role to `out`, of `size` bytes. */
void pm_role_format_drain_key(enum pm_role role, char *out, size_t size);
/* Whether only the leader may hold the role. The leader acquires such a role once its epoch is
 * written, and loses it when it steps down. */
bool pm_role_is_bound_to_leader(enum pm_role role);

#endif
