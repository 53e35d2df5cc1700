#include "report.h"
#include "document.h"

#include <glib.h>
#include <string.h>

/* ---- what every report says first ---- */

static json_t *describe_state_service(const struct pm_gathered *gathered, json_t *problems)
{
    const struct pm_answer *lead = &gathered->lead;
    const json_t *holder = json_object_get(lead->body, "data");
    const json_t *epoch = json_object_get(gathered->epoch.body, "data");
    bool reached = !lead->error || lead->status == 404;

    if (!reached)
        pm_add_problem(problems, "the state service: %s", lead->error);
    return json_pack("{s:b, s:s, s:s, s:I}", "reached", reached, "error",
                     reached ? "" : lead->error, "leader", pm_text_of(holder, "leader"), "epoch",
                     (json_int_t)pm_number_of(epoch, "epoch"));
}

static int count_leaders(const struct pm_gathered *gathered, const char **name)
{
    int leaders = 0;

    for (int i = 0; i < gathered->controllers; i++) {
        const json_t *body = gathered->controller[i].body;
        if (!pm_flag_of(body, "leads") || !pm_flag_of(body, "confirmed"))
            continue;
        *name = gathered->controller[i].name;
        leaders++;
    }
    return leaders;
}

/* Controllers that did not answer, and who leads. */
json_t *pm_begin_document(const struct pm_gathered *gathered, json_t *problems)
{
    const char *leader = "";
    int leaders = count_leaders(gathered, &leader);
    int answered = pm_gathered_count(gathered);
    json_t *state_service = describe_state_service(gathered, problems);

    for (int i = 0; i < gathered->controllers; i++)
        if (gathered->controller[i].error)
            pm_add_problem(problems, "controller %s at %s: %s", gathered->controller[i].name,
                           gathered->controller[i].addr, gathered->controller[i].error);
    if (answered && !leaders)
        pm_add_problem(problems, "no controller that answered leads with a confirmed epoch");
    if (leaders > 1)
        pm_add_problem(problems, "%d controllers say that they lead with a confirmed epoch",
                       leaders);
    return json_pack("{s:i, s:i, s:b, s:s, s:o}", "answered", answered, "asked",
                     gathered->controllers, "complete", answered == gathered->controllers, "leader",
                     leaders == 1 ? leader : "", "state_service", state_service);
}

struct pm_report pm_end_document(const struct pm_gathered *gathered, json_t *document,
                                 json_t *problems)
{
    struct pm_report report = {document, PM_EXIT_WELL};
    bool well = !json_array_size(problems);

    json_object_set_new(document, "well", json_boolean(well));
    json_object_set_new(document, "problems", problems);
    if (!pm_gathered_count(gathered))
        report.exit = PM_EXIT_UNREACHED;
    else if (!well)
        report.exit = PM_EXIT_WRONG;
    return report;
}

/* ---- views: a controller's own, or what another says of it ---- */

static const json_t *find_view(const json_t *body, const char *controller)
{
    const json_t *views = json_object_get(json_object_get(body, "links"), "views");

    for (size_t i = 0; i < json_array_size(views); i++) {
        const json_t *view = json_array_get(views, i);
        if (!strcmp(pm_text_of(view, "controller"), controller) && pm_flag_of(view, "known"))
            return view;
    }
    return NULL;
}

/* The controller's view as it told itself, or the newest that another one has of it. */
static const json_t *best_view(const struct pm_gathered *gathered, int controller,
                               const char **told_by)
{
    const char *name = gathered->controller[controller].name;
    const json_t *best = find_view(gathered->controller[controller].body, name);

    *told_by = name;
    for (int i = 0; !best && i < gathered->controllers; i++) {
        const json_t *view = find_view(gathered->controller[i].body, name);
        bool newer = view && (!best || pm_number_of(view, "age_s") < pm_number_of(best, "age_s"));
        if (!newer)
            continue;
        best = view;
        *told_by = gathered->controller[i].name;
    }
    return best;
}

/* ---- status ---- */

static const char *role_of(const json_t *body)
{
    if (pm_flag_of(body, "leads"))
        return pm_flag_of(body, "confirmed") ? "leader" : "leader, not confirmed";
    return pm_flag_of(body, "holds_block") ? "holds a block" : "replica";
}

static json_t *describe_controller(const struct pm_answer *answer)
{
    const json_t *counts = json_object_get(answer->body, "counts");
    const json_t *service = json_object_get(answer->body, "state_service");

    if (!answer->body)
        return json_pack("{s:s, s:s, s:b, s:s}", "name", answer->name, "address", answer->addr,
                         "answered", 0, "role", answer->error);
    return json_pack("{s:s, s:s, s:b, s:s, s:I, s:s, s:f, s:O?}", "name", answer->name, "address",
                     answer->addr, "answered", 1, "role", role_of(answer->body), "epoch",
                     (json_int_t)pm_number_of(answer->body, "epoch"), "version",
                     pm_text_of(answer->body, "version"), "served_ago_s",
                     pm_number_of(service, "served_ago_s"), "counts", counts);
}

struct pm_report pm_report_status(const struct pm_gathered *gathered)
{
    json_t *problems = json_array();
    json_t *document = pm_begin_document(gathered, problems);
    json_t *controllers = json_array();

    for (int i = 0; i < gathered->controllers; i++) {
        const struct pm_answer *answer = &gathered->controller[i];
        json_array_append_new(controllers, describe_controller(answer));
        if (pm_flag_of(json_object_get(answer->body, "links"), "lagging"))
            pm_add_problem(problems, "controller %s lags or stood still a moment ago",
                           answer->name);
        if (pm_flag_of(json_object_get(answer->body, "state_service"), "refuses"))
            pm_add_problem(problems, "controller %s is refused by the state service", answer->name);
    }
    json_object_set_new(document, "controllers", controllers);
    return pm_end_document(gathered, document, problems);
}

/* ---- links ---- */

static bool is_well(const char *state)
{
    return !strcmp(state, "up") || !strcmp(state, "unknown");
}

static void add_links(json_t *rows, json_t *problems, const json_t *view, const char *from,
                      const char *told_by)
{
    const json_t *links = json_object_get(view, "links");

    for (size_t i = 0; i < json_array_size(links); i++) {
        const json_t *link = json_array_get(links, i);
        const char *state = pm_text_of(link, "state");
        json_array_append_new(rows, json_pack("{s:s, s:s, s:s, s:s, s:b, s:f}", "from", from, "to",
                                              pm_text_of(link, "to"), "state", state, "told_by",
                                              told_by, "second_hand", strcmp(told_by, from) != 0,
                                              "age_s", pm_number_of(view, "age_s")));
        if (!is_well(state) && pm_flag_of(view, "fresh"))
            pm_add_problem(problems, "%s to %s: %s%s%s", from, pm_text_of(link, "to"), state,
                           strcmp(told_by, from) != 0 ? ", told by " : "",
                           strcmp(told_by, from) != 0 ? told_by : "");
    }
}

struct pm_report pm_report_links(const struct pm_gathered *gathered)
{
    json_t *problems = json_array();
    json_t *document = pm_begin_document(gathered, problems);
    json_t *rows = json_array();

    for (int i = 0; i < gathered->controllers; i++) {
        const char *told_by;
        const json_t *view = best_view(gathered, i, &told_by);
        if (view)
            add_links(rows, problems, view, gathered->controller[i].name, told_by);
        else if (gathered->controller[i].body)
            pm_add_problem(problems, "controller %s does not observe its links",
                           gathered->controller[i].name);
    }
    json_object_set_new(document, "links", rows);
    return pm_end_document(gathered, document, problems);
}

/* ---- duties ---- */

static void add_duties(json_t *rows, json_t *problems, const json_t *view, const char *controller,
                       const char *told_by)
{
    const json_t *duties = json_object_get(view, "duties");

    for (size_t i = 0; i < json_array_size(duties); i++) {
        const json_t *duty = json_array_get(duties, i);
        bool leads = pm_flag_of(view, "leads") && !strcmp(pm_text_of(duty, "duty"), "lead");
        json_array_append_new(rows, json_pack("{s:s, s:s, s:s, s:s, s:b, s:s, s:f}", "controller",
                                              controller, "duty", pm_text_of(duty, "duty"),
                                              "fitness", pm_text_of(duty, "fitness"), "reason",
                                              pm_text_of(duty, "reason"), "holds", leads, "told_by",
                                              told_by, "age_s", pm_number_of(view, "age_s")));
        if (leads && strcmp(pm_text_of(duty, "fitness"), "fit") != 0 && pm_flag_of(view, "fresh"))
            pm_add_problem(problems, "%s leads, and is %s for it: %s", controller,
                           pm_text_of(duty, "fitness"), pm_text_of(duty, "reason"));
    }
}

struct pm_report pm_report_duties(const struct pm_gathered *gathered)
{
    json_t *problems = json_array();
    json_t *document = pm_begin_document(gathered, problems);
    json_t *rows = json_array();
    json_t *holders = json_array();

    for (int i = 0; i < gathered->controllers; i++) {
        const json_t *body = gathered->controller[i].body;
        const char *told_by;
        const json_t *view = best_view(gathered, i, &told_by);
        if (view)
            add_duties(rows, problems, view, gathered->controller[i].name, told_by);
        if (pm_flag_of(body, "leads"))
            json_array_extend(holders, json_object_get(body, "holders"));
    }
    json_object_set_new(document, "duties", rows);
    json_object_set_new(document, "single_duties", pm_single_duties(gathered, problems));
    json_object_set_new(document, "holders", holders);
    return pm_end_document(gathered, document, problems);
}

/* ---- why a job does not run ---- */

/* The leader knows most; then who knows the job and gives another reason than not placing it. */
static int worth(const json_t *body)
{
    const json_t *reasons = json_object_get(body, "reasons");
    const char *first = pm_text_of(json_array_get(reasons, 0), "reason");

    if (!body)
        return 0;
    if (pm_flag_of(body, "leads"))
        return strcmp(first, "delegated") != 0 ? 4 : 2;
    if (!pm_flag_of(body, "known"))
        return 1;
    return strcmp(first, "not-placed-here") != 0 && strcmp(first, "not-recorded") != 0 ? 3 : 1;
}

struct pm_report pm_report_why(const struct pm_gathered *gathered, const char *job)
{
    json_t *problems = json_array();
    json_t *document = pm_begin_document(gathered, problems);
    const struct pm_answer *best = NULL;
    bool known;

    for (int i = 0; i < gathered->controllers; i++)
        if (worth(gathered->controller[i].body) > (best ? worth(best->body) : 0))
            best = &gathered->controller[i];
    known = best && pm_flag_of(best->body, "known");
    json_object_set_new(document, "job", json_string(job));
    json_object_set_new(document, "known", json_boolean(known));
    json_object_set_new(document, "told_by", json_string(best ? best->name : ""));
    if (best)
        json_object_set(document, "answer", best->body);
    if (best && !known)
        pm_add_problem(problems, "%s knows no job %s", best->name, job);
    return pm_end_document(gathered, document, problems);
}
