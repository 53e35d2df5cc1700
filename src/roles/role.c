#include "base/keys.h"
#include "roles/role.h"

#include <stdio.h>
#include <string.h>

static const char *const stored_names[PM_ROLE_COUNT] = {
    [PM_ROLE_SCALE_OUT] = "rent",
    [PM_ROLE_SCALE_IN] = "return",
    [PM_ROLE_GARBAGE_COLLECTION] = "clean",
};

const char *pm_role_name(enum pm_role role)
{
    return stored_names[role];
}

bool pm_role_from_name(const char *name, enum pm_role *out)
{
    for (int i = 0; i < PM_ROLE_COUNT; i++) {
        if (!strcmp(name, stored_names[i])) {
            *out = (enum pm_role)i;
            return true;
        }
    }
    return false;
}

void pm_role_format_key(enum pm_role role, char *out, size_t size)
{
    snprintf(out, size, PM_KEY_ROLE_PREFIX "%s", pm_role_name(role));
}

void pm_role_format_drain_key(enum pm_role role, char *out, size_t size)
{
    snprintf(out, size, PM_KEY_DRAIN_PREFIX "%s", pm_role_name(role));
}

bool pm_role_is_bound_to_leader(enum pm_role role)
{
    return role != PM_ROLE_GARBAGE_COLLECTION;
}
