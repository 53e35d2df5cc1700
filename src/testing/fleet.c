#include "testing/fleet.h"
#include "testing/fake_state.h"
#include "base/cbor.h"
#include "base/clock.h"
#include "base/http.h"

#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_S 4.0 /* a report's answer counts only within this */
#define NEXT_S 0.5   /* before the next controller is tried */
#define TICK_S 0.05

enum { ANSWER_MAX = 64 * 1024, ZONES_MAX = 4, MACHINE_CPUS = 8 };

struct task {
    char name[64];
    unsigned attempt;
    bool ended;
    const char *cause;
    double began, ends_at; /* steady; 0: when it is stopped */
};

struct machine;

/* The machine as one controller reaches it. */
struct door {
    struct machine *machine;
    int controller;
    struct pm_http_server *server;
};

struct machine {
    struct fleet *fleet;
    char name[32], endpoint[64];
    int zone;
    bool gone, failed, in_flight, changed;
    uint64_t session, sequence, token;
    double rented, leased, sent, report_at;
    int reports_to;
    GArray *tasks;
    struct relay *relay;
    struct door door[RELAY_ORIGINS_MAX];
};

/* A report on its way. */
struct report {
    struct machine *machine;
    uint64_t session;
    int controller;
    double sent;
    bool answer_lost;
};

struct fleet {
    struct ev_loop *loop;
    struct fleet_settings settings;
    struct history *history;
    struct pm_http_client *client;
    struct pm_http_server *cloud;
    struct relay *cloud_relay;
    GPtrArray *machines;
    GHashTable *bookings; /* name to the list of hosts, as CBOR */
    struct cut zone_cut[RELAY_ORIGINS_MAX][ZONES_MAX];
    unsigned answered[RELAY_ORIGINS_MAX];
    ev_timer tick;
    fleet_observer *observer;
    void *observer_arg;
    bool lose_rental, lose_return; /* the next answer to such a request */
    GPtrArray *unanswered;         /* requests that stay so */
    int refused_status, refusals;  /* of the next requests */
    double return_delay_s;         /* of the next return, 0: none */
    cbor_item_t *late_return;      /* carried out at `late_at` */
    double late_at;
};

double fleet_run_s(const char *job)
{
    size_t n = strcspn(job, "/");

    return n < 2 ? 0 : ((job[n - 2] - '0') * 10 + (job[n - 1] - '0')) / 10.0;
}

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
    history_ended(m->fleet->history, m->name, task->name, !strcmp(cause, "done"));
}

static void launch(struct machine *m, const char *name, unsigned attempt, int controller)
{
    struct fleet *f = m->fleet;
    struct task task = {.attempt = attempt};
    double now = pm_clock_steady();
    double run_s = fleet_run_s(name);

    history_launched(f->history, m->token, f->settings.name[controller]);
    if (find_task(m, name, attempt))
        return;
    g_strlcpy(task.name, name, sizeof task.name);
    m->changed = true;
    if (is_on(m, name)) {
        task.ended = true;
        task.cause = "busy";
    } else {
        task.began = now;
        task.ends_at = run_s > 0 ? now + run_s : 0;
        history_started(f->history, m->name, name, attempt, now);
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
        if (pm_cbor_text(pm_cbor_get(order, "verb"), verb, sizeof verb) ||
            pm_cbor_text(pm_cbor_get(order, "entry"), name, sizeof name))
            continue;
        pm_cbor_count(pm_cbor_get(order, "try"), &attempt);
        task = find_task(m, name, (unsigned)attempt);
        if (!strcmp(verb, "launch"))
            launch(m, name, (unsigned)attempt, controller);
        else if (!strcmp(verb, "kill") && task)
            end_task(m, task, "stopped");
        else if (!strcmp(verb, "forget"))
            forget(m, name, (unsigned)attempt);
    }
}

static void kill_all(struct machine *m)
{
    for (guint i = 0; i < m->tasks->len; i++)
        end_task(m, &g_array_index(m->tasks, struct task, i), "stopped");
    g_array_set_size(m->tasks, 0);
}

/* ---- the worker's messages ---- */

/* What both a worker and the cloud say of a machine. */
static void put_description(const struct machine *m, struct pm_buf *out)
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
    put_description(m, out);
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
        pm_put_pair_text(out, "status", task->ended ? "ended" : "running");
        if (task->ended)
            pm_put_pair_text(out, "cause", task->cause);
        pm_put_end(out);
    }
    pm_put_end(out);
    pm_put_end(out);
}

static void report_next(struct machine *m, int controller, double delay)
{
    m->reports_to = controller;
    m->report_at = pm_clock_steady() + delay;
}

static void take_answer(const struct report *report, int status, const cbor_item_t *answer)
{
    struct machine *m = report->machine;
    int next = (report->controller + 1) % m->fleet->settings.controllers;
    uint64_t token = 0;
    char steward[64];

    if (status == 200) {
        m->fleet->answered[report->controller]++;
        if (pm_cbor_count(pm_cbor_get(answer, "mandate"), &token) || token < m->token ||
            report->session != m->session)
            return;
        m->changed |= token > m->token;
        m->token = token;
        m->leased = report->sent;
        execute(m, pm_cbor_get(answer, "orders"), report->controller);
        return;
    }
    if (status == 421 && !pm_cbor_text(pm_cbor_get(answer, "steward"), steward, sizeof steward))
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

    if (!m->gone && !m->failed && !report->answer_lost) {
        m->in_flight = false;
        take_answer(report, status, answer);
    }
    pm_cbor_free(answer);
    g_free(report);
}

static void send_report(struct machine *m, double now)
{
    struct fleet *f = m->fleet;
    struct cut cut = f->zone_cut[m->reports_to][m->zone];
    struct report *report;
    struct pm_buf body = {0};

    m->report_at = now + f->settings.report_s;
    m->changed = false;
    m->sent = now;
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
    pm_http_call(f->client, f->settings.front[m->reports_to], "POST", "/v1/report", body.data,
                 body.size, ANSWER_S, ANSWER_MAX, on_report_answer, report);
    pm_buf_free(&body);
}

static void on_command(void *arg, struct pm_http_request *req)
{
    const struct door *door = arg;
    struct machine *m = door->machine;
    cbor_item_t *body = pm_cbor_parse(req->body, req->body_size);
    struct pm_buf out = {0};
    uint64_t token = 0;
    uint64_t session = 0;
    int status = 200;

    if (m->failed) {
        status = 503;
    } else if (!strcmp(req->path, "/do")) {
        pm_cbor_count(pm_cbor_get(body, "mandate"), &token);
        pm_cbor_count(pm_cbor_get(body, "shift"), &session);
        if (token < m->token || session != m->session) {
            status = 409;
        } else {
            m->changed |= token > m->token;
            m->token = token;
            execute(m, pm_cbor_get(body, "orders"), door->controller);
        }
    }
    put_report(m, &out);
    pm_http_reply(req, status, out.data, out.size, 0);
    pm_buf_free(&out);
    pm_cbor_free(body);
}

static void live(struct machine *m, double now)
{
    for (guint i = 0; i < m->tasks->len; i++) {
        struct task *task = &g_array_index(m->tasks, struct task, i);
        if (!task->ended && task->ends_at > 0 && now >= task->ends_at)
            end_task(m, task, "done");
    }
    if (now - m->leased > m->fleet->settings.lease_s) {
        kill_all(m);
        m->session++;
        m->leased = now;
        m->in_flight = false;
    }
    if (m->in_flight && now - m->sent > ANSWER_S) {
        m->in_flight = false;
        report_next(m, (m->reports_to + 1) % m->fleet->settings.controllers, NEXT_S);
    }
    if (!m->in_flight && (now >= m->report_at || (m->changed && now - m->sent > TICK_S)))
        send_report(m, now);
}

static void release(struct fleet *f, const cbor_item_t *body);

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
    struct fleet *f = w->data;
    double now = pm_clock_steady();

    (void)loop;
    (void)events;
    for (guint i = 0; i < f->machines->len; i++) {
        struct machine *m = g_ptr_array_index(f->machines, i);
        if (!m->gone && !m->failed)
            live(m, now);
    }
    history_check_cancelled(f->history, now);
    if (f->late_return && now >= f->late_at) {
        release(f, f->late_return);
        pm_cbor_free(f->late_return);
        f->late_return = NULL;
    }
}

/* ---- the cloud ---- */

static void machine_new(struct fleet *f, int zone)
{
    struct machine *m = g_new0(struct machine, 1);
    const char *target[RELAY_ORIGINS_MAX];
    char addr[RELAY_ORIGINS_MAX][64];
    double now = pm_clock_steady();

    m->fleet = f;
    m->zone = zone;
    m->session = 1;
    m->rented = m->leased = now;
    m->tasks = g_array_new(FALSE, FALSE, sizeof(struct task));
    snprintf(m->name, sizeof m->name, "i-%06u", f->machines->len + 1);
    m->reports_to = (int)f->machines->len % f->settings.controllers;
    for (int i = 0; i < f->settings.controllers; i++) {
        m->door[i] = (struct door){m, i, NULL};
        while (!m->door[i].server) {
            snprintf(addr[i], sizeof addr[i], "127.0.0.1:%d", fake_free_port());
            m->door[i].server = pm_http_server_new(f->loop, addr[i], 64, on_command, &m->door[i]);
        }
        target[i] = addr[i];
    }
    m->relay = relay_new(f->loop, target, f->settings.origins);
    for (int i = 0; i < f->settings.controllers; i++)
        relay_cut(m->relay, i, f->zone_cut[i][zone]);
    g_strlcpy(m->endpoint, relay_addr(m->relay), sizeof m->endpoint);
    g_ptr_array_add(f->machines, m);
}

static void machine_close(struct machine *m)
{
    m->gone = true;
    relay_free(m->relay);
    for (int i = 0; i < m->fleet->settings.controllers; i++)
        pm_http_server_free(m->door[i].server);
}

int fleet_machines(const struct fleet *f)
{
    int count = 0;

    for (guint i = 0; i < f->machines->len; i++)
        count += !((struct machine *)g_ptr_array_index(f->machines, i))->gone;
    return count;
}

static void observe_rental(struct fleet *f, const char *booking, guint first)
{
    for (guint i = first; f->observer && i < f->machines->len; i++) {
        const struct machine *m = g_ptr_array_index(f->machines, i);
        struct fleet_call call = {.booking = booking, .machine = m->name};
        f->observer(f->observer_arg, &call);
    }
}

static void observe_return(struct fleet *f, const struct machine *m)
{
    struct fleet_call call = {.machine = m->name, .heard_ago_s = pm_clock_steady() - m->leased};

    for (guint i = 0; i < m->tasks->len; i++) {
        const struct task *task = &g_array_index(m->tasks, struct task, i);
        if (task->ended || (call.task && task->began < call.task_began))
            continue;
        call.task = task->name;
        call.task_began = task->began;
    }
    if (f->observer)
        f->observer(f->observer_arg, &call);
}

static void rent(struct fleet *f, const cbor_item_t *body, struct pm_http_request *req)
{
    struct pm_buf out = {0};
    struct pm_buf *kept;
    char booking[256];
    char zone[32] = "";
    uint64_t wanted = 0;
    guint first = f->machines->len;

    pm_cbor_text(pm_cbor_get(body, "booking"), booking, sizeof booking);
    pm_cbor_text(pm_cbor_get(body, "room"), zone, sizeof zone);
    pm_cbor_count(pm_cbor_get(body, "how_many"), &wanted);
    kept = g_hash_table_lookup(f->bookings, booking);
    if (kept) {
        pm_http_reply(req, 200, kept->data, kept->size, 0);
        return;
    }
    for (; wanted && fleet_machines(f) < f->settings.machines_most; wanted--)
        machine_new(f, (int)strtol(zone + strlen("zone-"), NULL, 10));
    if (first == f->machines->len) {
        pm_http_reply(req, 503, NULL, 0, 0);
        return;
    }
    observe_rental(f, booking, first);
    pm_put_map(&out);
    pm_put_text(&out, "hosts");
    pm_put_list(&out);
    for (guint i = first; i < f->machines->len; i++)
        pm_put_text(&out, ((struct machine *)g_ptr_array_index(f->machines, i))->name);
    pm_put_end(&out);
    pm_put_end(&out);
    if (f->lose_rental)
        g_ptr_array_add(f->unanswered, req);
    else
        pm_http_reply(req, 200, out.data, out.size, 0);
    f->lose_rental = false;
    kept = g_new(struct pm_buf, 1);
    *kept = out;
    g_hash_table_insert(f->bookings, g_strdup(booking), kept);
}

static void release(struct fleet *f, const cbor_item_t *body)
{
    const cbor_item_t *hosts = pm_cbor_get(body, "hosts");

    for (size_t i = 0; i < pm_cbor_length(hosts); i++) {
        char name[32] = "";
        pm_cbor_text(pm_cbor_at(hosts, i), name, sizeof name);
        for (guint k = 0; k < f->machines->len; k++) {
            struct machine *m = g_ptr_array_index(f->machines, k);
            if (m->gone || strcmp(m->name, name) != 0)
                continue;
            observe_return(f, m);
            kill_all(m);
            machine_close(m);
        }
    }
}

static void put_machine(const struct machine *m, struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_pair_text(out, "name_id", m->name);
    put_description(m, out);
    pm_put_pair_text(out, "status", m->failed ? "failed" : "running");
    pm_put_pair_number(out, "age_s", pm_clock_steady() - m->rented);
    pm_put_end(out);
}

static void list(struct fleet *f, struct pm_http_request *req)
{
    const char *since = strstr(req->query, "since=");
    struct pm_buf out = {0};
    char after[32] = "";

    if (since)
        g_strlcpy(after, since + 6, MIN(sizeof after, strcspn(since + 6, "&") + 1));
    pm_put_map(&out);
    pm_put_text(&out, "hosts");
    pm_put_list(&out);
    for (guint i = 0; i < f->machines->len; i++) {
        const struct machine *m = g_ptr_array_index(f->machines, i);
        if (!m->gone && strcmp(m->name, after) > 0)
            put_machine(m, &out);
    }
    pm_put_end(&out);
    pm_put_pair_flag(&out, "has_next", false);
    pm_put_end(&out);
    pm_http_reply(req, 200, out.data, out.size, 0);
    pm_buf_free(&out);
}

static void list_types(struct fleet *f, struct pm_http_request *req)
{
    struct pm_buf out = {0};
    char zone[16];

    pm_put_map(&out);
    pm_put_text(&out, "models");
    pm_put_list(&out);
    pm_put_map(&out);
    pm_put_pair_text(&out, "sku", "m8");
    pm_put_pair_number(&out, "cpus", MACHINE_CPUS);
    pm_put_pair_number(&out, "accelerators", 0);
    pm_put_pair_number(&out, "ram_gb", 64);
    pm_put_pair_number(&out, "local_gb", 200);
    pm_put_pair_number(&out, "pull_gb_per_s", 1);
    pm_put_pair_number(&out, "price", 1);
    pm_put_pair_number(&out, "market_price", 0.4);
    pm_put_pair_number(&out, "ready_s", 1);
    pm_put_text(&out, "rooms");
    pm_put_list(&out);
    for (int i = 0; i < f->settings.zones; i++) {
        snprintf(zone, sizeof zone, "zone-%d", i);
        pm_put_text(&out, zone);
    }
    pm_put_end(&out);
    pm_put_end(&out);
    pm_put_end(&out);
    pm_put_end(&out);
    pm_http_reply(req, 200, out.data, out.size, 0);
    pm_buf_free(&out);
}

static void on_cloud(void *arg, struct pm_http_request *req)
{
    struct fleet *f = arg;
    cbor_item_t *body = pm_cbor_parse(req->body, req->body_size);

    if (req->method == PM_HTTP_POST && f->refusals > 0) {
        f->refusals--;
        pm_http_reply(req, f->refused_status, NULL, 0, 0);
    } else if (!strcmp(req->path, "/machine_types")) {
        list_types(f, req);
    } else if (!strcmp(req->path, "/machines/release") && f->return_delay_s > 0) {
        g_ptr_array_add(f->unanswered, req);
        f->late_return = cbor_incref(body);
        f->late_at = pm_clock_steady() + f->return_delay_s;
        f->return_delay_s = 0;
    } else if (!strcmp(req->path, "/machines/release")) {
        release(f, body);
        if (f->lose_return)
            g_ptr_array_add(f->unanswered, req);
        else
            pm_http_reply(req, 200, NULL, 0, 0);
        f->lose_return = false;
    } else if (req->method == PM_HTTP_POST) {
        rent(f, body, req);
    } else {
        list(f, req);
    }
    pm_cbor_free(body);
}

void fleet_observe(struct fleet *f, fleet_observer *observer, void *arg)
{
    f->observer = observer;
    f->observer_arg = arg;
}

bool fleet_fail_machine(struct fleet *f)
{
    for (guint i = 0; i < f->machines->len; i++) {
        struct machine *m = g_ptr_array_index(f->machines, i);
        if (m->gone || m->failed)
            continue;
        kill_all(m);
        m->failed = true;
        return true;
    }
    return false;
}

void fleet_refuse(struct fleet *f, int status, int requests)
{
    f->refused_status = status;
    f->refusals = requests;
}

void fleet_delay_return(struct fleet *f, double seconds)
{
    f->return_delay_s = seconds;
}

void fleet_lose_answer(struct fleet *f, bool rental)
{
    f->lose_rental = rental;
    f->lose_return = !rental;
}

void fleet_cut_cloud(struct fleet *f, int controller, struct cut cut)
{
    relay_cut(f->cloud_relay, controller, cut);
}

void fleet_cut_zone(struct fleet *f, int controller, int zone, struct cut cut)
{
    f->zone_cut[controller][zone] = cut;
    for (guint i = 0; i < f->machines->len; i++) {
        struct machine *m = g_ptr_array_index(f->machines, i);
        if (m->zone == zone && !m->gone)
            relay_cut(m->relay, controller, cut);
    }
}

const char *fleet_cloud_addr(const struct fleet *f)
{
    return relay_addr(f->cloud_relay);
}

unsigned fleet_answered(const struct fleet *f, int controller)
{
    return f->answered[controller];
}

void fleet_free(struct fleet *f)
{
    ev_timer_stop(f->loop, &f->tick);
    for (guint i = 0; i < f->machines->len; i++) {
        struct machine *m = g_ptr_array_index(f->machines, i);
        if (!m->gone)
            machine_close(m);
    }
    relay_free(f->cloud_relay);
    pm_http_server_free(f->cloud);
    /* What is left of it is looked at by calls that are under way: it stays. */
}

struct fleet *fleet_new(struct ev_loop *loop, const struct fleet_settings *settings,
                        struct history *history)
{
    struct fleet *f = g_new0(struct fleet, 1);
    const char *target[RELAY_ORIGINS_MAX];
    char addr[64];

    f->loop = loop;
    f->settings = *settings;
    f->history = history;
    f->client = pm_http_client_new(loop, 256);
    f->machines = g_ptr_array_new();
    f->unanswered = g_ptr_array_new();
    f->bookings = g_hash_table_new(g_str_hash, g_str_equal);
    while (!f->cloud) {
        snprintf(addr, sizeof addr, "127.0.0.1:%d", fake_free_port());
        f->cloud = pm_http_server_new(loop, addr, 64, on_cloud, f);
    }
    for (int i = 0; i < RELAY_ORIGINS_MAX; i++)
        target[i] = addr;
    f->cloud_relay = relay_new(loop, target, settings->origins);
    ev_timer_init(&f->tick, on_tick, TICK_S, TICK_S);
    f->tick.data = f;
    ev_timer_start(loop, &f->tick);
    return f;
}
