#include "testing/fake_provider.h"
#include "base/clock.h"
#include "testing/fake_store.h"
#include "testing/fake_provider_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

double fake_provider_task_run_s(const char *job)
{
    size_t n = strcspn(job, "/");

    return n < 2 ? 0 : ((job[n - 2] - '0') * 10 + (job[n - 1] - '0')) / 10.0;
}

static void release(struct fake_provider *f, const cbor_item_t *body);

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
    struct fake_provider *f = w->data;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    for (guint i = 0; i < f->machines->len; i++) {
        struct machine *m = g_ptr_array_index(f->machines, i);
        if (!m->gone && !m->failed)
            worker_live(m, now);
    }
    worker_deliver_late(f, now);
    history_check_cancellations(f->history, now);
    if (f->late_return && now >= f->late_at) {
        release(f, f->late_return);
        pm_cbor_free(f->late_return);
        f->late_return = NULL;
    }
}

/* ---- the cloud ---- */

static void machine_new(struct fake_provider *f, int zone)
{
    struct machine *m = g_new0(struct machine, 1);
    const char *target[RELAY_CONTROLLERS_MAX];
    char addr[RELAY_CONTROLLERS_MAX][64];
    double now = pm_clock_monotonic();

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
            snprintf(addr[i], sizeof addr[i], "127.0.0.1:%d", event_loop_free_port());
            m->door[i].server =
                pm_http_server_new(f->loop, addr[i], 64, worker_on_command, &m->door[i]);
        }
        target[i] = addr[i];
    }
    m->relay = relay_new(f->loop, target, f->settings.origins);
    for (int i = 0; i < f->settings.controllers; i++)
        relay_set_fault(m->relay, i, f->zone_cut[i][zone]);
    history_add_machine(f->history, m->name, zone);
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

int fake_provider_machine_count(const struct fake_provider *f)
{
    int count = 0;

    for (guint i = 0; i < f->machines->len; i++)
        count += !((struct machine *)g_ptr_array_index(f->machines, i))->gone;
    return count;
}

static void observe_rental(struct fake_provider *f, const char *booking, guint first)
{
    for (guint i = first; f->observer && i < f->machines->len; i++) {
        const struct machine *m = g_ptr_array_index(f->machines, i);
        struct fake_provider_call call = {.booking = booking, .machine = m->name};
        f->observer(f->observer_arg, &call);
    }
}

static void observe_return(struct fake_provider *f, const struct machine *m)
{
    struct fake_provider_call call = {.machine = m->name,
                                      .heard_ago_s = pm_clock_monotonic() - m->leased};

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

static void rent(struct fake_provider *f, const cbor_item_t *body, struct pm_http_request *req)
{
    struct pm_buf out = {0};
    struct pm_buf *kept;
    char booking[256];
    char zone[32] = "";
    uint64_t wanted = 0;
    guint first = f->machines->len;

    pm_cbor_read_text(pm_cbor_get(body, "booking"), booking, sizeof booking);
    pm_cbor_read_text(pm_cbor_get(body, "room"), zone, sizeof zone);
    pm_cbor_read_count(pm_cbor_get(body, "how_many"), &wanted);
    kept = g_hash_table_lookup(f->bookings, booking);
    if (kept) {
        pm_http_reply(req, 200, kept->data, kept->size, 0);
        return;
    }
    for (; wanted && fake_provider_machine_count(f) < f->settings.machines_most; wanted--)
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

static void release(struct fake_provider *f, const cbor_item_t *body)
{
    const cbor_item_t *hosts = pm_cbor_get(body, "hosts");

    for (size_t i = 0; i < pm_cbor_length(hosts); i++) {
        char name[32] = "";
        pm_cbor_read_text(pm_cbor_at(hosts, i), name, sizeof name);
        for (guint k = 0; k < f->machines->len; k++) {
            struct machine *m = g_ptr_array_index(f->machines, k);
            if (m->gone || strcmp(m->name, name) != 0)
                continue;
            observe_return(f, m);
            worker_kill_all(m);
            machine_close(m);
        }
    }
}

static void put_machine(const struct machine *m, struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_pair_text(out, "name_id", m->name);
    worker_put_description(m, out);
    pm_put_pair_text(out, "status", m->failed ? "failed" : "running");
    pm_put_pair_number(out, "age_s", pm_clock_monotonic() - m->rented);
    pm_put_end(out);
}

static void list(struct fake_provider *f, struct pm_http_request *req)
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

static void list_types(struct fake_provider *f, struct pm_http_request *req)
{
    struct pm_buf out = {0};
    char zone[16];

    pm_put_map(&out);
    pm_put_text(&out, "models");
    pm_put_list(&out);
    pm_put_map(&out);
    pm_put_pair_text(&out, "sku", "m8");
    pm_put_pair_number(&out, "cpus", FLEET_MACHINE_CPUS);
    pm_put_pair_number(&out, "accelerators", FLEET_MACHINE_ACCELERATORS);
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
    struct fake_provider *f = arg;
    cbor_item_t *body = pm_cbor_parse(req->body, req->body_size);

    if (req->method == PM_HTTP_POST && f->refusals > 0) {
        f->refusals--;
        pm_http_reply(req, f->refused_status, NULL, 0, 0);
    } else if (!strcmp(req->path, "/machine_types")) {
        list_types(f, req);
    } else if (!strcmp(req->path, "/machines/release") && f->return_delay_s > 0) {
        g_ptr_array_add(f->unanswered, req);
        f->late_return = cbor_incref(body);
        f->late_at = pm_clock_monotonic() + f->return_delay_s;
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

void fake_provider_observe(struct fake_provider *f, fake_provider_observer *observer, void *arg)
{
    f->observer = observer;
    f->observer_arg = arg;
}

bool fake_provider_fail_machine(struct fake_provider *f)
{
    for (guint i = 0; i < f->machines->len; i++) {
        struct machine *m = g_ptr_array_index(f->machines, i);
        if (m->gone || m->failed)
            continue;
        worker_kill_all(m);
        m->failed = true;
        return true;
    }
    return false;
}

void fake_provider_describe_job(struct fake_provider *f, const char *id,
                                struct fake_provider_job job)
{
    g_hash_table_replace(f->jobs, g_strdup(id), g_memdup2(&job, sizeof job));
}

static struct machine *working_machine(const struct fake_provider *f, unsigned choice)
{
    struct machine *m =
        f->machines->len ? g_ptr_array_index(f->machines, choice % f->machines->len) : NULL;

    return m && !m->gone && !m->failed ? m : NULL;
}

bool fake_provider_cut_machine(struct fake_provider *f, unsigned choice, bool cut)
{
    struct machine *m = working_machine(f, choice);

    if (!m)
        return false;
    m->cut = cut;
    for (int i = 0; i < f->settings.controllers; i++)
        relay_set_fault(m->relay, i,
                        cut ? (struct relay_fault){true, true, false} : f->zone_cut[i][m->zone]);
    return true;
}

bool fake_provider_hang_machine(struct fake_provider *f, unsigned choice, bool hung)
{
    struct machine *m = working_machine(f, choice);

    if (m)
        m->hung = hung;
    return m != NULL;
}

void fake_provider_restore_machines(struct fake_provider *f)
{
    for (guint i = 0; i < f->machines->len; i++) {
        fake_provider_cut_machine(f, i, false);
        fake_provider_hang_machine(f, i, false);
    }
    f->late_report_share = f->late_command_share = 0;
}

void fake_provider_delay_messages(struct fake_provider *f, double reports, double commands)
{
    f->late_report_share = reports;
    f->late_command_share = commands;
}

void fake_provider_refuse_requests(struct fake_provider *f, int status, int requests)
{
    f->refused_status = status;
    f->refusals = requests;
}

void fake_provider_delay_next_termination(struct fake_provider *f, double seconds)
{
    f->return_delay_s = seconds;
}

void fake_provider_lose_next_answer(struct fake_provider *f, bool rental)
{
    f->lose_rental = rental;
    f->lose_return = !rental;
}

void fake_provider_set_api_fault(struct fake_provider *f, int controller, struct relay_fault cut)
{
    relay_set_fault(f->cloud_relay, controller, cut);
}

void fake_provider_set_zone_fault(struct fake_provider *f, int controller, int zone,
                                  struct relay_fault cut)
{
    f->zone_cut[controller][zone] = cut;
    for (guint i = 0; i < f->machines->len; i++) {
        struct machine *m = g_ptr_array_index(f->machines, i);
        if (m->zone == zone && !m->gone)
            relay_set_fault(m->relay, controller, cut);
    }
}

const char *fake_provider_addr(const struct fake_provider *f)
{
    return relay_addr(f->cloud_relay);
}

unsigned fake_provider_answered_heartbeats(const struct fake_provider *f, int controller)
{
    return f->answered[controller];
}

void fake_provider_free(struct fake_provider *f)
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

struct fake_provider *fake_provider_new(struct ev_loop *loop,
                                        const struct fake_provider_settings *settings,
                                        struct history *history)
{
    struct fake_provider *f = g_new0(struct fake_provider, 1);
    const char *target[RELAY_CONTROLLERS_MAX];
    char addr[64];

    f->loop = loop;
    f->settings = *settings;
    f->history = history;
    f->client = pm_http_client_new(loop, 256);
    f->machines = g_ptr_array_new();
    f->unanswered = g_ptr_array_new();
    f->late_reports = g_ptr_array_new();
    f->late_commands = g_ptr_array_new();
    f->bookings = g_hash_table_new(g_str_hash, g_str_equal);
    f->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    while (!f->cloud) {
        snprintf(addr, sizeof addr, "127.0.0.1:%d", event_loop_free_port());
        f->cloud = pm_http_server_new(loop, addr, 64, on_cloud, f);
    }
    for (int i = 0; i < RELAY_CONTROLLERS_MAX; i++)
        target[i] = addr;
    f->cloud_relay = relay_new(loop, target, settings->origins);
    ev_timer_init(&f->tick, on_tick, FLEET_TICK_S, FLEET_TICK_S);
    f->tick.data = f;
    ev_timer_start(loop, &f->tick);
    return f;
}
