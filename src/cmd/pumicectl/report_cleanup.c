#include "json_fields.h"
#include "report_frame.h"

/* Returns the answer of the controller that holds the garbage collection role, because that
 * controller decides what is deleted. If the holder did not answer, returns the first answer,
 * because every controller has a replica of the same keys. Returns NULL if no controller
 * answered. */
static const struct pm_answer *find_best_answer(const struct pm_gathered *gathered)
{
    const struct pm_answer *best = NULL;

    for (int i = 0; i < gathered->controller_count; i++) {
        const struct pm_answer *answer = &gathered->controllers[i];
        if (answer->body && (!best || pm_json_flag(answer->body, "cleans")))
            best = answer;
    }
    return best;
}

struct pm_report pm_report_cleanup(const struct pm_gathered *gathered)
{
    json_t *problems = json_array();
    json_t *document = pm_report_begin(gathered, problems);
    const struct pm_answer *best = find_best_answer(gathered);
    json_t *keys = best ? json_object_get(best->body, "keys") : NULL;
    bool is_holder = best && pm_json_flag(best->body, "cleans");

    json_object_set_new(document, "told_by", json_string(best ? best->name : ""));
    json_object_set_new(document, "held", json_boolean(is_holder));
    json_object_set(document, "keys", keys ? keys : json_null());
    json_object_set_new(document, "any", json_boolean(json_array_size(keys) > 0));
    return pm_report_end(gathered, document, problems);
}
