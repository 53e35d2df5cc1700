#include "report_frame.h"
#include "json_fields.h"

enum { STATUS_NOT_FOUND = 404 };

void pm_report_add_problem(json_t *problems, const char *format, ...)
{
    va_list args;
    char *text;

    va_start(args, format);
    text = g_strdup_vprintf(format, args);
    va_end(args);
    json_array_append_new(problems, json_pack("{s:s}", "problem", text));
    g_free(text);
}

/* Describes the state service and the leader stored in it. A key that does not exist (404) is a
 * valid answer. */
static json_t *describe_state_service(const struct pm_gathered *gathered, json_t *problems)
{
    const struct pm_answer *leader_key = &gathered->leader_key;
    const json_t *leader = json_object_get(leader_key->body, "data");
    const json_t *epoch = json_object_get(gathered->epoch_key.body, "data");
    bool is_reached = !leader_key->error || leader_key->status == STATUS_NOT_FOUND;

    if (!is_reached)
        pm_report_add_problem(problems, "state service: %s", leader_key->error);
    return json_pack("{s:b, s:s, s:s, s:I}", "reached", is_reached, "error",
                     is_reached ? "" : leader_key->error, "leader", pm_json_text(leader, "leader"),
                     "epoch", (json_int_t)pm_json_number(epoch, "epoch"));
}

/* Returns how many controllers lead with a confirmed epoch. Sets `name` to the name of the last
 * such controller; without one, leaves `name` unchanged. */
static int count_leaders(const struct pm_gathered *gathered, const char **name)
{
    int count = 0;

    for (int i = 0; i < gathered->controller_count; i++) {
        const json_t *body = gathered->controllers[i].body;
        if (!pm_json_flag(body, "leads") || !pm_json_flag(body, "confirmed"))
            continue;
        *name = gathered->controllers[i].name;
        count++;
    }
    return count;
}

static void add_unreachable_controllers(const struct pm_gathered *gathered, json_t *problems)
{
    for (int i = 0; i < gathered->controller_count; i++) {
        const struct pm_answer *answer = &gathered->controllers[i];
        if (answer->error)
            pm_report_add_problem(problems, "controller %s at %s: %s", answer->name, answer->addr,
                                  answer->error);
    }
}

json_t *pm_report_begin(const struct pm_gathered *gathered, json_t *problems)
{
    const char *leader = "";
    int leader_count = count_leaders(gathered, &leader);
    int answered = pm_gathered_answer_count(gathered);
    json_t *state_service = describe_state_service(gathered, problems);

    add_unreachable_controllers(gathered, problems);
    if (answered && !leader_count)
        pm_report_add_problem(problems,
                              "no controller that answered is a leader with a confirmed epoch");
    if (leader_count > 1)
        pm_report_add_problem(
            problems, "%d controllers claim to be the leader with a confirmed epoch", leader_count);
    return json_pack("{s:i, s:i, s:b, s:s, s:o}", "answered", answered, "asked",
                     gathered->controller_count, "complete", answered == gathered->controller_count,
                     "leader", leader_count == 1 ? leader : "", "state_service", state_service);
}

struct pm_report pm_report_end(const struct pm_gathered *gathered, json_t *document,
                               json_t *problems)
{
    struct pm_report report = {.document = document, .exit = PM_EXIT_OK};
    bool has_problems = json_array_size(problems) > 0;

    json_object_set_new(document, "well", json_boolean(!has_problems));
    json_object_set_new(document, "problems", problems);
    if (!pm_gathered_answer_count(gathered))
        report.exit = PM_EXIT_UNREACHABLE;
    else if (has_problems)
        report.exit = PM_EXIT_PROBLEMS;
    return report;
}
