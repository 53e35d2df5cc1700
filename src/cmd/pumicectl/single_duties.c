/* Who holds the duties that one controller holds under a lease. */
#include "document.h"

#include <string.h>

static const json_t *find_duty(const json_t *body, const char *name)
{
    const json_t *duties = json_object_get(body, "single_duties");

    for (size_t i = 0; i < json_array_size(duties); i++)
        if (!strcmp(pm_text_of(json_array_get(duties, i), "duty"), name))
            return json_array_get(duties, i);
    return NULL;
}

/* The controller with the newest picture of the duty; of equal ones, its holder. NULL: none. */
static const struct pm_answer *find_teller(const struct pm_gathered *gathered, const char *name)
{
    const struct pm_answer *best = NULL;
    double newest = -1;

    for (int i = 0; i < gathered->controllers; i++) {
        const struct pm_answer *answer = &gathered->controller[i];
        const json_t *duty = find_duty(answer->body, name);
        double token = pm_number_of(duty, "token");
        if (!duty || token < newest)
            continue;
        if (token > newest || pm_flag_of(duty, "holds"))
            best = answer;
        newest = token;
    }
    return best;
}

static void add_duty(json_t *rows, json_t *problems, const char *name,
                     const struct pm_answer *teller)
{
    const json_t *duty = find_duty(teller->body, name);
    json_t *row = json_copy((json_t *)duty);
    bool known = pm_number_of(duty, "token") > 0;

    json_object_set_new(row, "told_by", json_string(teller->name));
    json_object_set_new(row, "held", json_boolean(known));
    json_object_set_new(row, "own", json_boolean(pm_flag_of(duty, "holds")));
    json_array_append_new(rows, row);
    if (pm_flag_of(duty, "unreadable"))
        pm_add_problem(problems, "duty %s: its holder's value can't be read, nobody takes it",
                       name);
    else if (!known && pm_number_of(duty, "open_intents") > 0)
        pm_add_problem(problems, "duty %s: nobody holds it, and intents are open", name);
}

json_t *pm_single_duties(const struct pm_gathered *gathered, json_t *problems)
{
    static const char *const names[] = {"rent", "return", "clean"};
    json_t *rows = json_array();

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        const struct pm_answer *teller = find_teller(gathered, names[i]);
        if (teller)
            add_duty(rows, problems, names[i], teller);
    }
    return rows;
}

/* ---- cleaning ---- */

/* Who cleans knows best what it would do; any other knows the same keys. */
static const struct pm_answer *find_cleaner(const struct pm_gathered *gathered)
{
    const struct pm_answer *best = NULL;

    for (int i = 0; i < gathered->controllers; i++) {
        const struct pm_answer *answer = &gathered->controller[i];
        if (answer->body && (!best || pm_flag_of(answer->body, "cleans")))
            best = answer;
    }
    return best;
}

struct pm_report pm_report_cleanup(const struct pm_gathered *gathered)
{
    json_t *problems = json_array();
    json_t *document = pm_begin_document(gathered, problems);
    const struct pm_answer *teller = find_cleaner(gathered);
    json_t *keys = teller ? json_object_get(teller->body, "keys") : NULL;

    json_object_set_new(document, "told_by", json_string(teller ? teller->name : ""));
    json_object_set_new(document, "held",
                        json_boolean(teller && pm_flag_of(teller->body, "cleans")));
    json_object_set(document, "keys", keys ? keys : json_null());
    json_object_set_new(document, "any", json_boolean(json_array_size(keys) > 0));
    return pm_end_document(gathered, document, problems);
}
