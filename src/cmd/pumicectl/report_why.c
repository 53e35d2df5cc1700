#include "json_fields.h"
#include "report_frame.h"

#include <string.h>

/* How much an answer on a job is worth: the leader knows most, unless it has delegated the job;
 * then a controller that gives a reason of its own. */
enum answer_worth {
    WORTH_NO_ANSWER,
    WORTH_NO_REASON,
    WORTH_LEADER_DELEGATED,
    WORTH_OWN_REASON,
    WORTH_LEADER
};

static enum answer_worth rate_answer(const json_t *body)
{
    const json_t *reasons = json_object_get(body, "reasons");
    const char *reason = pm_json_text(json_array_get(reasons, 0), "reason");

    if (!body)
        return WORTH_NO_ANSWER;
    if (pm_json_flag(body, "leads"))
        return strcmp(reason, "delegated") != 0 ? WORTH_LEADER : WORTH_LEADER_DELEGATED;
    if (!pm_json_flag(body, "known"))
        return WORTH_NO_REASON;
    if (!strcmp(reason, "not-placed-here") || !strcmp(reason, "not-recorded"))
        return WORTH_NO_REASON;
    return WORTH_OWN_REASON;
}

/* The first of the best answers; NULL: there is none. */
static const struct pm_answer *find_best_answer(const struct pm_gathered *gathered)
{
    const struct pm_answer *best = NULL;
    enum answer_worth best_worth = WORTH_NO_ANSWER;

    for (int i = 0; i < gathered->controller_count; i++) {
        const struct pm_answer *answer = &gathered->controllers[i];
        enum answer_worth worth = rate_answer(answer->body);
        if (worth <= best_worth)
            continue;
        best = answer;
        best_worth = worth;
    }
    return best;
}

struct pm_report pm_report_why(const struct pm_gathered *gathered, const char *job)
{
    json_t *problems = json_array();
    json_t *document = pm_report_begin(gathered, problems);
    const struct pm_answer *best = find_best_answer(gathered);
    bool is_known = best && pm_json_flag(best->body, "known");

    json_object_set_new(document, "job", json_string(job));
    json_object_set_new(document, "known", json_boolean(is_known));
    json_object_set_new(document, "told_by", json_string(best ? best->name : ""));
    if (best)
        json_object_set(document, "answer", best->body);
    if (best && !is_known)
        pm_report_add_problem(problems, "%s knows no job %s", best->name, job);
    return pm_report_end(gathered, document, problems);
}
