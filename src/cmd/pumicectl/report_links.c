#include "controller_views.h"
#include "json_fields.h"
#include "report_frame.h"

#include <string.h>

/* Whether the link works as far as is known: an unknown state is not reported as a problem. */
static bool is_working(const char *link_state)
{
    return !strcmp(link_state, "up") || !strcmp(link_state, "unknown");
}

/* Appends one link from controller `from` to `rows`. Appends a problem if the link does not work,
 * unless the view has expired. `source` is the controller whose answer contains the view. */
static void add_link(json_t *rows, json_t *problems, const json_t *view, const json_t *link,
                     const char *from, const char *source)
{
    const char *target = pm_json_text(link, "to");
    const char *state = pm_json_text(link, "state");
    bool is_second_hand = strcmp(source, from) != 0;

    json_array_append_new(rows, json_pack("{s:s, s:s, s:s, s:s, s:b, s:f}", "from", from, "to",
                                          target, "state", state, "told_by", source, "second_hand",
                                          is_second_hand, "age_s", pm_json_number(view, "age_s")));
    if (!is_working(state) && pm_json_flag(view, "fresh"))
        pm_report_add_problem(problems, "link from %s to %s: %s%s%s", from, target, state,
                              is_second_hand ? ", reported by " : "", is_second_hand ? source : "");
}

/* Appends all links in the view of controller `from`. */
static void add_links(json_t *rows, json_t *problems, const json_t *view, const char *from,
                      const char *source)
{
    const json_t *links = json_object_get(view, "links");

    for (size_t i = 0; i < json_array_size(links); i++)
        add_link(rows, problems, view, json_array_get(links, i), from, source);
}

struct pm_report pm_report_links(const struct pm_gathered *gathered)
{
    json_t *problems = json_array();
    json_t *document = pm_report_begin(gathered, problems);
    json_t *rows = json_array();

    for (int i = 0; i < gathered->controller_count; i++) {
        const struct pm_answer *answer = &gathered->controllers[i];
        const char *source;
        const json_t *view = pm_find_controller_view(gathered, i, &source);
        if (view)
            add_links(rows, problems, view, answer->name, source);
        else if (answer->body)
            pm_report_add_problem(problems, "controller %s does not monitor its links",
                                  answer->name);
    }
    json_object_set_new(document, "links", rows);
    return pm_report_end(gathered, document, problems);
}
