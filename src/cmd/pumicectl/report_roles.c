#include "controller_views.h"
#include "json_fields.h"
#include "report_frame.h"
#include "roles/role.h"

#include <string.h>

/* Appends a row with the fitness of a controller for one role to `rows`. `role` is an entry of
 * the list of roles in the controller's view. Appends a problem if the controller leads without
 * being fit to lead, unless the view has expired. `source` is the controller whose answer contains
 * the view. */
static void add_fitness(json_t *rows, json_t *problems, const json_t *view, const json_t *role,
                        const char *controller, const char *source)
{
    const char *name = pm_json_text(role, "duty");
    const char *fitness = pm_json_text(role, "fitness");
    const char *reason = pm_json_text(role, "reason");
    bool holds_leadership = pm_json_flag(view, "leads") && !strcmp(name, "lead");

    json_array_append_new(rows, json_pack("{s:s, s:s, s:s, s:s, s:b, s:s, s:f}", "controller",
                                          controller, "duty", name, "fitness", fitness, "reason",
                                          reason, "holds", holds_leadership, "told_by", source,
                                          "age_s", pm_json_number(view, "age_s")));
    if (holds_leadership && strcmp(fitness, "fit") != 0 && pm_json_flag(view, "fresh"))
        pm_report_add_problem(problems, "controller %s leads, but its fitness to lead is %s: %s",
                              controller, fitness, reason);
}

/* Appends the controller's fitness for every role in its view. */
static void add_view(json_t *rows, json_t *problems, const json_t *view, const char *controller,
                     const char *source)
{
    const json_t *roles = json_object_get(view, "duties");

    for (size_t i = 0; i < json_array_size(roles); i++)
        add_fitness(rows, problems, view, json_array_get(roles, i), controller, source);
}

/* Returns the singleton role `name` from the body of an answer, borrowed, or NULL. */
static const json_t *find_role(const json_t *body, const char *name)
{
    const json_t *roles = json_object_get(body, "single_duties");

    for (size_t i = 0; i < json_array_size(roles); i++)
        if (!strcmp(pm_json_text(json_array_get(roles, i), "duty"), name))
            return json_array_get(roles, i);
    return NULL;
}

/* Returns the answer with the highest fencing token of the role, or NULL if no answer contains the
 * role. Of answers with the same token, the holder's is preferred. */
static const struct pm_answer *find_newest_answer(const struct pm_gathered *gathered,
                                                  const char *name)
{
    const struct pm_answer *newest = NULL;
    double newest_token = -1;

    for (int i = 0; i < gathered->controller_count; i++) {
        const struct pm_answer *answer = &gathered->controllers[i];
        const json_t *role = find_role(answer->body, name);
        double token = pm_json_number(role, "token");
        if (!role || token < newest_token)
            continue;
        if (token > newest_token || pm_json_flag(role, "holds"))
            newest = answer;
        newest_token = token;
    }
    return newest;
}

/* Appends the role to `rows` as `answer` describes it, and its problems to `problems`. */
static void add_singleton_role(json_t *rows, json_t *problems, const char *name,
                               const struct pm_answer *answer)
{
    json_t *role = json_copy((json_t *)find_role(answer->body, name));
    bool has_holder = pm_json_number(role, "token") > 0;

    json_object_set_new(role, "told_by", json_string(answer->name));
    json_object_set_new(role, "held", json_boolean(has_holder));
    json_object_set_new(role, "own", json_boolean(pm_json_flag(role, "holds")));
    json_array_append_new(rows, role);
    if (pm_json_flag(role, "unreadable"))
        pm_report_add_problem(
            problems,
            "duty %s: the stored holder can't be decoded, so no controller can acquire the duty",
            name);
    else if (!has_holder && pm_json_number(role, "open_intents") > 0)
        pm_report_add_problem(
            problems,
            "duty %s: no controller holds it under a lease, but it has open intents "
            "(unsettled requests to the machine provider)",
            name);
}

static json_t *list_singleton_roles(const struct pm_gathered *gathered, json_t *problems)
{
    json_t *rows = json_array();

    for (int i = 0; i < PM_ROLE_COUNT; i++) {
        const char *name = pm_role_name((enum pm_role)i);
        const struct pm_answer *answer = find_newest_answer(gathered, name);
        if (answer)
            add_singleton_role(rows, problems, name, answer);
    }
    return rows;
}

/* Returns the owners of shards, as listed by the leader. While the leader changes, two controllers
 * may claim to lead; then the lists of both are returned. */
static json_t *list_shard_owners(const struct pm_gathered *gathered)
{
    json_t *owners = json_array();

    for (int i = 0; i < gathered->controller_count; i++) {
        const json_t *body = gathered->controllers[i].body;
        if (pm_json_flag(body, "leads"))
            json_array_extend(owners, json_object_get(body, "holders"));
    }
    return owners;
}

struct pm_report pm_report_roles(const struct pm_gathered *gathered)
{
    json_t *problems = json_array();
    json_t *document = pm_report_begin(gathered, problems);
    json_t *rows = json_array();

    for (int i = 0; i < gathered->controller_count; i++) {
        const char *source;
        const json_t *view = pm_find_controller_view(gathered, i, &source);
        if (view)
            add_view(rows, problems, view, gathered->controllers[i].name, source);
    }
    json_object_set_new(document, "duties", rows);
    json_object_set_new(document, "single_duties", list_singleton_roles(gathered, problems));
    json_object_set_new(document, "holders", list_shard_owners(gathered));
    return pm_report_end(gathered, document, problems);
}
