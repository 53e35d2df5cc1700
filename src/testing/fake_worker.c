/* The stand-in workers: what they report, obey and run. */
#include "base/clock.h"
#include "testing/fake_provider_internal.h"

#include <stdio.h>
#include <string.h>

#define ANSWER_S 4.0 /* a report's answer counts only within this */
#define NEXT_S 0.5   /* before the next controller is tried */

/* A report on its way. */
struct report {
    struct machine *machine;
    uint64_t session;
    int controller;
    double sent;
    bool answer_lost;
};

/* ---- tasks ---- */

static struct task *find_task(struct machine *m, const char *name, unsigned attempt)
{
    for (guint i = 0; i < m->tasks->len; i++) {
        struct task *task = &g_array_index(m->tasks, struct task, i);
        if (!strcmp(task->name, name) && task->attempt == attempt)
            return task;
    }
    return NULL;
}

static bool is_on(struct machine *m, const char *name)
{
    for (guint i = 0; i < m->tasks->len; i++) {
        const struct task *task = &g_array_index(m->tasks, struct task, i);
        if (!task->ended && !strcmp(task->name, name))
            return true;
    }
    return false;
}

static void end_task(struct machine *m, struct task *task, const char *cause)
{
    if (task->ended)
        return;
    task->ended = m->changed = true;
    task->cause = cause;
    history_task_ended(m->fleet->history, m->name, task->name, !strcmp(cause, "done"));
}

static const struct fake_provider_job *job_of(const struct fake_provider *f, const char *task)
{
    char *id = g_strndup(task, strcspn(task, "/"));
    const struct fake_provider_job *job = g_hash_table_lookup(f->jobs, id);

    g_free(id);
    return job;
}

static bool has_room(const struct machine *m, const struct fake_provider_job *wanted)
{
    double used = 0;

    for (guint i = 0; i < m->tasks->len; i++) {
        const struct task *task = &g_array_index(m->tasks, struct task, i);
        const struct fake_provider_job *job = task->ended ? NULL : job_of(m->fleet, task->name);
        used += job ? job->cpus : 0;
    }
    return !wanted || used + wanted->cpus <= FLEET_MACHINE_CPUS;
}

static void refuse(struct machine *m, struct task *task, const char *cause)
{
    task->ended = m->changed = true;
    task->cause = cause;
}

static void launch(struct machine *m, const char *name, unsigned attempt, int controller)
{
    struct fake_provider *f = m->fleet;
    struct task task = {.attempt = attempt};
    const struct fake_provider_job *job = job_of(f, name);
    double now = pm_clock_monotonic();
    double run_s = fake_provider_task_run_s(name);

    history_launch_received(f->history, m->token, f->settings.name[controller]);
    if (find_task(m, name, attempt))
        return;
    g_strlcpy(task.name, name, sizeof task.name);
    if (is_on(m, name)) {
        refuse(m, &task, "busy");
    } else if (!has_room(m, job)) {
        refuse(m, &task, "no_room");
    } else {
        m->changed = true;
        task.began = now;
        task.waiting = job && job->gang;
        task.ends_at = run_s > 0 && !task.waiting ? now + run_s : 0;
        history_task_started(f->history, m->name, name, attempt, now);
    }
    g_array_append_val(m->tasks, task);
}

static void forget(struct machine *m, const char *name, unsigned attempt)
{
    for (guint i = 0; i < m->tasks->len; i++) {
        const struct task *task = &g_array_index(m->tasks, struct task, i);
        if (task->ended && !strcmp(task->name, name) && task->attempt == attempt) {
            g_array_remove_index(m->tasks, i);
            return;
        }
    }
}

static void execute(struct machine *m, const cbor_item_t *orders, int controller)
{
    for (size_t i = 0; i < pm_cbor_length(orders); i++) {
        const cbor_item_t *order = pm_cbor_at(orders, i);
        char verb[16];
        char name[64];
        uint64_t attempt = 0;
        struct task *task;
        if (!pm_cbor_read_text(pm_cbor_get(order, "verb"), verb, sizeof verb) ||
            !pm_cbor_read_text(pm_cbor_get(order, "entry"), name, sizeof name))
            continue;
        pm_cbor_read_count(pm_cbor_get(order, "try"), &attempt);
        task = find_task(m, name, (unsigned)attempt);
        if (!strcmp(verb, "launch"))
            launch(m, name, (unsigned)attempt, controller);
        else if (!strcmp(verb, "kill") && task)
            end_task(m, task, "stopped");
        else if (!strcmp(verb, "forget"))
            forget(m, name, (unsigned)attempt);
    }
}

void worker_kill_all(struct machine *m)
{
    for (guint i = 0; i < m->tasks->len; i++)
        end_task(m, &g_array_index(m->tasks, struct task, i), "stopped");
    g_array_set_size(m->tasks, 0);
}

/* ---- gangs ---- */

typedef void visit_mate(struct machine *machine, struct task *task, void *arg);

/* Each task of the same attempt that is on a machine which works. */
static void each_mate(struct fake_provider *f, const struct task *of, visit_mate *visit, void *arg)
{
    size_t id = strcspn(of->name, "/") + 1;

    for (guint i = 0; i < f->machines->len; i++) {
        struct machine *m = g_ptr_array_index(f->machines, i);
        for (guint k = 0; !m->gone && !m->failed && !m->hung && k < m->tasks->len; k++) {
            struct task *task = &g_array_index(m->tasks, struct task, k);
            if (!task->ended && task->attempt == of->attempt && !strncmp(task->name, of->name, id))
                visit(m, task, arg);
        }
    }
}

static void count_mate(struct machine *m, struct task *task, void *arg)
{
    (void)m;
    (void)task;
    ++*(unsigned *)arg;
}

static void run_mate(struct machine *m, struct task *task, void *arg)
{
    if (task->waiting) {
        task->waiting = false;
        task->ends_at = *(double *)arg;
        m->changed = true;
    }
}

static void complete_mate(struct machine *m, struct task *task, void *arg)
{
    (void)arg;
    end_task(m, task, "done");
}

/* A gang's tasks begin together, complete together, and end when one of them is missed. */
static void live_in_gang(struct machine *m, struct task *task, unsigned tasks, double now)
{
    const struct fake_provider_settings *settings = &m->fleet->settings;
    unsigned there = 0;
    double ends_at = now + fake_provider_task_run_s(task->name);

    each_mate(m->fleet, task, count_mate, &there);
    if (task->waiting && there == tasks)
        each_mate(m->fleet, task, run_mate, &ends_at);
    else if (task->waiting && now - task->began > settings->gang_wait_s)
        end_task(m, task, "incomplete");
    if (task->waiting || task->ended)
        return;
    if (there == tasks)
        task->alone_since = 0;
    else if (task->alone_since <= 0)
        task->alone_since = now;
    if (there == tasks && now >= task->ends_at)
        each_mate(m->fleet, task, complete_mate, NULL);
    else if (task->alone_since > 0 && now - task->alone_since > settings->gang_peer_s)
        end_task(m, task, "mates_gone");
}

/* ---- the worker's messages ---- */

/* What both a worker and the cloud say of a machine. */
void worker_put_description(const struct machine *m, struct pm_buf *out)
{
    char zone[16];

    snprintf(zone, sizeof zone, "zone-%d", m->zone);
    pm_put_pair_text(out, "endpoint", m->endpoint);
    pm_put_pair_text(out, "model", "m8");
    pm_put_pair_text(out, "room", zone);
    pm_put_pair_flag(out, "borrowed", false);
}

static void put_report(struct machine *m, struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_pair_text(out, "host", m->name);
    worker_put_description(m, out);
    pm_put_pair_count(out, "shift", m->session);
    pm_put_pair_count(out, "tally", ++m->sequence);
    pm_put_pair_count(out, "mandate", m->token);
    pm_put_text(out, "entries");
    pm_put_list(out);
    for (guint i = 0; i < m->tasks->len; i++) {
        const struct task *task = &g_array_index(m->tasks, struct task, i);
        pm_put_map(out);
        pm_put_pair_text(out, "entry", task->name);
        pm_put_pair_count(out, "try", task->attempt);
        pm_put_pair_text(out, "status",
                         task->ended     ? "ended"
                         : task->waiting ? "waiting"
                                         : "running");
        if (task->ended)
            pm_put_pair_text(out, "cause", task->cause);
        pm_put_end(out);
    }
    pm_put_end(out);
    pm_put_end(out);
}

/* A copy of the message, to arrive at that time. */
static void hold_up(GPtrArray *list, struct machine *m, int controller, const struct pm_buf *body,
                    double at)
{
    struct late_message *message = g_new0(struct late_message, 1);

    *message = (struct late_message){.machine = m, .controller = controller, .at = at};
    pm_buf_add(&message->body, body->data, body->size);
    g_ptr_array_add(list, message);
}

static void report_next(struct machine *m, int controller, double delay)
{
    m->reports_to = controller;
    m->report_at = pm_clock_monotonic() + delay;
}

static void take_answer(const struct report *report, int status, const cbor_item_t *answer)
{
    struct machine *m = report->machine;
    int next = (report->controller + 1) % m->fleet->settings.controllers;
    uint64_t token = 0;
    char steward[64];

    if (status == 200) {
        m->fleet->answered[report->controller]++;
        if (!pm_cbor_read_count(pm_cbor_get(answer, "mandate"), &token) || token < m->token ||
            report->session != m->session)
            return;
        m->changed |= token > m->token;
        m->token = token;
        m->leased = report->sent;
        execute(m, pm_cbor_get(answer, "orders"), report->controller);
        return;
    }
    if (status == 421 && pm_cbor_read_text(pm_cbor_get(answer, "steward"), steward, sizeof steward))
        for (int i = 0; i < m->fleet->settings.controllers; i++)
            if (i != report->controller && !strcmp(steward, m->fleet->settings.name[i])) {
                report_next(m, i, 0);
                return;
            }
    report_next(m, next, NEXT_S);
}

static void on_report_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct report *report = arg;
    struct machine *m = report->machine;
    cbor_item_t *answer = body && size ? pm_cbor_parse(body, size) : NULL;

    if (!m->gone && !m->failed && !m->hung && !m->cut && !report->answer_lost) {
        m->in_flight = false;
        take_answer(report, status, answer);
    }
    pm_cbor_free(answer);
    g_free(report);
}

static void send_report(struct machine *m, double now)
{
    struct fake_provider *f = m->fleet;
    struct relay_fault cut = f->zone_cut[m->reports_to][m->zone];
    struct report *report;
    struct pm_buf body = {0};

    m->report_at = now + f->settings.report_s;
    m->changed = false;
    m->sent = now;
    if (m->cut)
        cut = (struct relay_fault){true, true, false};
    if (cut.reset) {
        report_next(m, (m->reports_to + 1) % f->settings.controllers, NEXT_S);
        return;
    }
    m->in_flight = true;
    if (cut.to_controller)
        return; /* it times out */
    report = g_new0(struct report, 1);
    *report = (struct report){m, m->session, m->reports_to, now, cut.from_controller};
    put_report(m, &body);
    if (f->settings.random && g_rand_double(f->settings.random) < f->late_report_share)
        hold_up(f->late_reports, m, m->reports_to, &body,
                now + g_rand_double_range(f->settings.random, 1, 2 * f->settings.lease_s));
    pm_http_call(f->client, f->settings.front[m->reports_to], "POST", "/v1/report", body.data,
                 body.size, ANSWER_S, FLEET_ANSWER_MAX, on_report_answer, report);
    pm_buf_free(&body);
}

/* A command counts if token and session match. Returns the answer's status. */
static int obey(struct machine *m, int controller, const cbor_item_t *body)
{
    uint64_t token = 0;
    uint64_t session = 0;

    pm_cbor_read_count(pm_cbor_get(body, "mandate"), &token);
    pm_cbor_read_count(pm_cbor_get(body, "shift"), &session);
    if (token < m->token || session != m->session)
        return 409;
    m->changed |= token > m->token;
    m->token = token;
    execute(m, pm_cbor_get(body, "orders"), controller);
    return 200;
}

/* Whether the command is held up on its way, or the machine hangs: no answer, and it is carried out
 * later. */
static bool is_held_up(struct machine *m, int controller, const struct pm_http_request *req)
{
    struct fake_provider *f = m->fleet;
    struct pm_buf body = {0};
    bool late = f->settings.random && g_rand_double(f->settings.random) < f->late_command_share;

    if (!late && !m->hung)
        return false;
    pm_buf_add(&body, req->body, req->body_size);
    hold_up(f->late_commands, m, controller, &body,
            pm_clock_monotonic() + (late ? g_rand_double_range(f->settings.random, 1, 8) : 0));
    pm_buf_free(&body);
    return true;
}

void worker_on_command(void *arg, struct pm_http_request *req)
{
    const struct door *door = arg;
    struct machine *m = door->machine;
    struct pm_buf out = {0};
    cbor_item_t *body;
    int status = 200;

    if (!strcmp(req->path, "/do") && is_held_up(m, door->controller, req)) {
        g_ptr_array_add(m->fleet->unanswered, req);
        return;
    }
    body = pm_cbor_parse(req->body, req->body_size);
    if (m->failed)
        status = 503;
    else if (!strcmp(req->path, "/do"))
        status = obey(m, door->controller, body);
    put_report(m, &out);
    pm_http_reply(req, status, out.data, out.size, 0);
    pm_buf_free(&out);
    pm_cbor_free(body);
}

/* ---- what arrives late ---- */

/* Nobody waits for what is answered to a copy. */
static void on_copy_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)arg;
    (void)status;
    (void)body;
    (void)size;
}

static void message_free(struct late_message *message)
{
    pm_buf_free(&message->body);
    g_free(message);
}

static void deliver_command(const struct late_message *message)
{
    struct machine *m = message->machine;
    cbor_item_t *body = pm_cbor_parse(message->body.data, message->body.size);

    if (!m->gone && !m->failed)
        obey(m, message->controller, body);
    pm_cbor_free(body);
}

static void deliver_report(struct fake_provider *f, const struct late_message *message)
{
    int to = g_rand_int_range(f->settings.random, 0, f->settings.controllers);

    pm_http_call(f->client, f->settings.front[to], "POST", "/v1/report", message->body.data,
                 message->body.size, ANSWER_S, FLEET_ANSWER_MAX, on_copy_answer, NULL);
}

void worker_deliver_late(struct fake_provider *f, double now)
{
    for (guint i = 0; i < f->late_reports->len;) {
        struct late_message *message = g_ptr_array_index(f->late_reports, i);
        if (message->at > now) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(f->late_reports, i);
        deliver_report(f, message);
        message_free(message);
    }
    for (guint i = 0; i < f->late_commands->len;) {
        struct late_message *message = g_ptr_array_index(f->late_commands, i);
        if (message->at > now || message->machine->hung) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(f->late_commands, i);
        deliver_command(message);
        message_free(message);
    }
}

/* ---- time ---- */

static void live_tasks(struct machine *m, double now)
{
    for (guint i = 0; i < m->tasks->len; i++) {
        struct task *task = &g_array_index(m->tasks, struct task, i);
        const struct fake_provider_job *job = job_of(m->fleet, task->name);
        if (task->ended)
            continue;
        if (job && job->gang)
            live_in_gang(m, task, job->tasks, now);
        else if (task->ends_at > 0 && now >= task->ends_at)
            end_task(m, task, "done");
    }
}

void worker_live(struct machine *m, double now)
{
    if (now - m->leased > m->fleet->settings.lease_s) {
        worker_kill_all(m);
        m->session++;
        m->leased = now;
        m->in_flight = false;
    }
    if (m->hung)
        return;
    live_tasks(m, now);
    if (m->in_flight && now - m->sent > ANSWER_S) {
        m->in_flight = false;
        report_next(m, (m->reports_to + 1) % m->fleet->settings.controllers, NEXT_S);
    }
    if (!m->in_flight && (now >= m->report_at || (m->changed && now - m->sent > FLEET_TICK_S)))
        send_report(m, now);
}
