#include "json_fields.h"
#include "report_frame.h"

/* Returns the controller's role in the cluster: leader, shard owner or replica. */
static const char *describe_role(const json_t *body)
{
    if (pm_json_flag(body, "leads"))
        return pm_json_flag(body, "confirmed") ? "leader" : "leader, not confirmed";
    return pm_json_flag(body, "holds_block") ? "holds a block" : "replica";
}

static json_t *describe_controller(const struct pm_answer *answer)
{
    const json_t *counts = json_object_get(answer->body, "counts");
    const json_t *service = json_object_get(answer->body, "state_service");

    if (!answer->body)
        return json_pack("{s:s, s:s, s:b, s:s}", "name", answer->name, "address", answer->addr,
                         "answered", 0, "role", answer->error);
    return json_pack("{s:s, s:s, s:b, s:s, s:I, s:s, s:f, s:O?}", "name", answer->name, "address",
                     answer->addr, "answered", 1, "role", describe_role(answer->body), "epoch",
                     (json_int_t)pm_json_number(answer->body, "epoch"), "version",
                     pm_json_text(answer->body, "version"), "served_ago_s",
                     pm_json_number(service, "served_ago_s"), "counts", counts);
}

static void add_controller_problems(json_t *problems, const struct pm_answer *answer)
{
    if (pm_json_flag(json_object_get(answer->body, "links"), "lagging"))
        pm_report_add_problem(problems, "controller %s was suspended or unresponsive a moment ago",
                              answer->name);
    if (pm_json_flag(json_object_get(answer->body, "state_service"), "refuses"))
        pm_report_add_problem(problems,
                              "the state service refuses the requests of controller %s (HTTP 503)",
                              answer->name);
}

struct pm_report pm_report_status(const struct pm_gathered *gathered)
{
    json_t *problems = json_array();
    json_t *document = pm_report_begin(gathered, problems);
    json_t *controllers = json_array();

    for (int i = 0; i < gathered->controller_count; i++) {
        const struct pm_answer *answer = &gathered->controllers[i];
        json_array_append_new(controllers, describe_controller(answer));
        add_controller_problems(problems, answer);
    }
    json_object_set_new(document, "controllers", controllers);
    return pm_report_end(gathered, document, problems);
}
