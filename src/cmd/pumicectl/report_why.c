#include "json_fields.h"
#include "report_frame.h"

#include <string.h>

/* How informative a controller's answer about a job is, in ascending order. The leader knows most,
 * unless it has delegated the job to the owner of a shard; then the answer of another controller
 * that gives a reason of its own is better. */
enum answer_rank {
    RANK_NO_ANSWER,
    RANK_NO_REASON,
    RANK_LEADER_DELEGATED,
    RANK_OWN_REASON,
    RANK_LEADER
};

static enum answer_rank rank_answer(const json_t *body)
{
    const json_t *reasons = json_object_get(body, "reasons");
    const char *reason = pm_json_text(json_array_get(reasons, 0), "reason");

    if (!body)
        return RANK_NO_ANSWER;
    if (pm_json_flag(body, "leads"))
        return strcmp(reason, "delegated") != 0 ? RANK_LEADER : RANK_LEADER_DELEGATED;
    if (!pm_json_flag(body, "known"))
        return RANK_NO_REASON;
    if (!strcmp(reason, "not-placed-here") || !strcmp(reason, "not-recorded"))
        return RANK_NO_REASON;
    return RANK_OWN_REASON;
}

/* Returns the first answer of the highest rank, or NULL if no controller answered. */
static const struct pm_answer *find_best_answer(const struct pm_gathered *gathered)
{
    const struct pm_answer *best = NULL;
    enum answer_rank best_rank = RANK_NO_ANSWER;

    for (int i = 0; i < gathered->controller_count; i++) {
        const struct pm_answer *answer = &gathered->controllers[i];
        enum answer_rank rank = rank_answer(answer->body);
        if (rank <= best_rank)
            continue;
        best = answer;
        best_rank = rank;
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
        pm_report_add_problem(problems, "controller %s does not know job %s", best->name, job);
    return pm_report_end(gathered, document, problems);
}
