/* Records changes of a role's holder in the log, the audit log and the trace, and actions on a
 * role's intents in the audit log and the trace. */
#include "base/log.h"
#include "links/trace.h"
#include "roles/audit_log.h"
#include "roles/internal.h"

#include <stdio.h>

enum { TOKEN_TEXT_SIZE = 32 };

void pm_roles_log_action(struct pm_roles *roles, enum pm_role role, const char *event,
                         const char *name, const char *detail)
{
    const char *role_name = pm_role_name(role);

    if (roles->trace)
        pm_links_trace_change(roles->trace, "intent", name, role_name, event, detail);
    if (roles->audit_log)
        pm_audit_log_append(roles->audit_log, event, role_name, name, detail);
}

void pm_roles_log_change(struct pm_roles *roles, enum pm_role role, const char *event,
                         uint64_t token, const char *reason)
{
    const char *role_name = pm_role_name(role);
    char token_text[TOKEN_TEXT_SIZE];

    snprintf(token_text, sizeof token_text, "%llu", (unsigned long long)token);
    pm_info("role.change", "role %s %s by this controller, fencing token %s%s%s", role_name, event,
            token_text, *reason ? ": " : "", reason);
    if (roles->trace)
        pm_links_trace_change(roles->trace, "duty", role_name, token_text, event, reason);
    if (roles->audit_log)
        pm_audit_log_append(roles->audit_log, event, role_name, token_text, reason);
}
