#include "lab.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/* `run` of deploy/service.toml; the lab is started from the repository's root. */
#define PROGRAM "target/pumicemount"

enum { ADDR_SIZE = 64, ANSWER_MAX = 8 << 20, NODE_CONNECTIONS = 256 };

struct lab lab;

/* One controller: its addresses, its settings file and the proxy to the state service. */
static struct node {
    int index;
    char name[16], serve[ADDR_SIZE], back[ADDR_SIZE], state[ADDR_SIZE], path[128];
    struct pm_http_server *proxy;
} nodes[LAB_CONTROLLERS_MAX];

static char directory[64], cloud[ADDR_SIZE];
static struct pm_http_client *proxy_client, *user_client;
static double request_tokens, write_tokens, refilled_at;
static const char *worker_addrs[LAB_CONTROLLERS_MAX], *node_names[LAB_CONTROLLERS_MAX];
static ev_timer user_timer, process_timer;
static bool has_ended_by_itself;

/* ---- time and record ---- */

bool lab_has_trouble(void)
{
    const char *trouble = getenv("TROUBLE");

    return !trouble || strcmp(trouble, "0") != 0;
}

double lab_now(void)
{
    return pm_clock_monotonic() - lab.started_at;
}

void lab_log(const char *format, ...)
{
    va_list args;

    fprintf(lab.record, "%8.3f ", lab_now());
    va_start(args, format);
    vfprintf(lab.record, format, args);
    va_end(args);
    fputc('\n', lab.record);
}

static void on_poll(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ONE);
}

bool lab_run(double seconds, bool (*is_done)(void))
{
    double deadline = pm_clock_monotonic() + seconds;
    bool done = false;
    ev_timer poll;

    ev_timer_init(&poll, on_poll, 0.02, 0.02);
    ev_timer_start(lab.loop, &poll);
    while (!(done = is_done && is_done()) && pm_clock_monotonic() < deadline)
        ev_run(lab.loop, 0);
    ev_timer_stop(lab.loop, &poll);
    return done;
}

/* ---- the proxies to the state service ---- */

/* How long the services take to answer, as the site files have it (latency_ms). */
#define STATE_LATENCY_S 0.004
#define CLOUD_LATENCY_S 0.25

struct forward {
    ev_timer timer;    /* the time that the service takes */
    struct node *node; /* NULL: a request to the provider */
    struct pm_http_request *request;
    enum lab_verdict verdict;
    char what[200];
};

static void refill(void)
{
    double now = pm_clock_monotonic();
    double passed = now - refilled_at;

    refilled_at = now;
    request_tokens = MIN(request_tokens + passed * lab.settings.rps, lab.settings.rps);
    write_tokens = MIN(write_tokens + passed * lab.settings.write_rps, lab.settings.write_rps);
}

/* Whether the limits allow a request with that many changes; counts it if they do. */
static bool admit(size_t changes)
{
    refill();
    if (request_tokens < 1 || (changes && write_tokens < (double)changes))
        return false;
    request_tokens -= 1;
    write_tokens -= (double)changes;
    return true;
}

/* Describes a transaction: the number of conditions and the changes. */
static void describe(const cbor_item_t *txn, char *out, size_t size)
{
    const cbor_item_t *writes = pm_cbor_get(txn, "writes");
    size_t used = (size_t)snprintf(out, size, "if %zu", pm_cbor_length(pm_cbor_get(txn, "if")));
    char key[128];

    for (size_t i = 0; i < pm_cbor_length(writes) && used + 60 < size; i++) {
        const cbor_item_t *write = pm_cbor_at(writes, i);
        if (pm_cbor_read_text(pm_cbor_get(write, "put"), key, sizeof key))
            used += (size_t)snprintf(out + used, size - used, " put %.30s", key);
        else if (pm_cbor_read_text(pm_cbor_get(write, "drop"), key, sizeof key))
            used += (size_t)snprintf(out + used, size - used, " drop %.30s", key);
    }
}

/* The size of the item as JSON, with the shortest text of each number. */
static size_t json_size(const cbor_item_t *item)
{
    size_t total = 2;
    char text[64];
    double value;

    if (cbor_isa_string(item))
        return cbor_string_length(item) + 2;
    if (cbor_isa_array(item)) {
        for (size_t i = 0; i < pm_cbor_length(item); i++)
            total += json_size(pm_cbor_at(item, i)) + (i > 0);
        return total;
    }
    if (cbor_isa_map(item)) {
        for (size_t i = 0; i < cbor_map_size(item); i++)
            total += json_size(cbor_map_handle(item)[i].key) +
                     json_size(cbor_map_handle(item)[i].value) + 1 + (i > 0);
        return total;
    }
    if (!pm_cbor_read_number(item, &value))
        return 4;
    for (int digits = 1; digits <= 17; digits++) {
        snprintf(text, sizeof text, "%.*g", digits, value);
        if (strtod(text, NULL) == value)
            break;
    }
    return strlen(text);
}

/* Whether the transaction is beyond the limits of values and changes. */
static bool is_too_large(const cbor_item_t *txn)
{
    const cbor_item_t *writes = pm_cbor_get(txn, "writes");

    if (pm_cbor_length(writes) > lab.txn_ops_max)
        return true;
    for (size_t i = 0; i < pm_cbor_length(writes); i++) {
        const cbor_item_t *data = pm_cbor_get(pm_cbor_at(writes, i), "data");
        if (data && (double)json_size(data) > lab.value_kb_max * 1024)
            return true;
    }
    return false;
}

static void on_forwarded(void *arg, int status, const unsigned char *body, size_t size)
{
    struct forward *forward = arg;

    if (forward->what[0]) {
        lab.txns++;
        lab.conflicts += status == 409;
        if (lab.records_txns)
            lab_log("state: %s txn %s: %d%s", forward->node->name, forward->what, status,
                    forward->verdict == LAB_LOSE_ANSWER ? ", answer lost" : "");
    }
    if (forward->verdict == LAB_LOSE_ANSWER) {
        g_free(forward); /* the request stays unanswered; its client closes the connection */
        return;
    }
    pm_http_reply(forward->request, status > 0 ? status : 503, body, size, 0);
    g_free(forward);
}

static void on_forward_due(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct forward *forward = timer->data;
    const struct pm_http_request *request = forward->request;
    char target[1024];

    (void)loop;
    (void)events;
    snprintf(target, sizeof target, "%s%s%s", request->path, request->query[0] ? "?" : "",
             request->query);
    pm_http_call(proxy_client,
                 forward->node ? fake_store_addr(lab.store) : fake_provider_addr(lab.provider),
                 request->method == PM_HTTP_GET    ? "GET"
                 : request->method == PM_HTTP_POST ? "POST"
                                                   : "DELETE",
                 target, request->body, request->body_size, 65, ANSWER_MAX, on_forwarded, forward);
}

/* Passes the request on after that time. */
static void pass_on(struct forward *forward, double after_s)
{
    ev_timer_init(&forward->timer, on_forward_due, after_s, 0.);
    forward->timer.data = forward;
    ev_timer_start(lab.loop, &forward->timer);
}

static void on_state_request(void *arg, struct pm_http_request *request)
{
    struct node *node = arg;
    bool is_txn = request->method == PM_HTTP_POST && !strcmp(request->path, "/txn");
    struct forward *forward = g_new0(struct forward, 1);
    size_t changes = 0;
    bool too_large = false;

    *forward = (struct forward){.node = node, .request = request, .verdict = LAB_SERVE};
    if (is_txn) {
        cbor_item_t *txn = pm_cbor_parse(request->body, request->body_size);
        changes = pm_cbor_length(pm_cbor_get(txn, "writes"));
        describe(txn, forward->what, sizeof forward->what);
        if (lab.judge)
            forward->verdict = lab.judge(node->index, txn);
        too_large = is_too_large(txn);
        pm_cbor_free(txn);
    }
    if (forward->verdict == LAB_REFUSE || too_large || !admit(changes)) {
        int status = forward->verdict == LAB_REFUSE ? 503 : too_large ? 400 : 429;
        if (is_txn && lab.records_txns)
            lab_log("state: %s txn %s: %d", node->name, forward->what, status);
        pm_http_reply(request, status, NULL, 0, 0);
        g_free(forward);
        return;
    }
    pass_on(forward, STATE_LATENCY_S);
}

/* ---- the proxy to the machine provider ---- */

static void on_cloud_request(void *arg, struct pm_http_request *request)
{
    struct forward *forward;
    struct pm_buffer body = {0};

    (void)arg;
    if (lab.is_cloud_out) {
        pm_cbor_put_map(&body);
        pm_cbor_put_pair_text(&body, "error", "trouble");
        pm_cbor_put_end(&body);
        lab_log("cloud: %s: 503 trouble", request->path);
        pm_http_reply(request, 503, body.data, body.size, 0);
        pm_buffer_free(&body);
        return;
    }
    forward = g_new0(struct forward, 1);
    *forward = (struct forward){.request = request, .verdict = LAB_SERVE};
    if (request->method == PM_HTTP_POST || !strcmp(request->path, "/machine_types"))
        lab_log("cloud: %s", request->path);
    pass_on(forward, CLOUD_LATENCY_S);
}

struct fake_machine *lab_machine(guint index)
{
    return index < lab.provider->machines->len ? g_ptr_array_index(lab.provider->machines, index)
                                               : NULL;
}

unsigned lab_tasks_on_machines(const char *id)
{
    size_t size = strlen(id);
    unsigned count = 0;

    for (guint i = 0; i < lab.provider->machines->len; i++) {
        const struct fake_machine *machine = g_ptr_array_index(lab.provider->machines, i);
        for (guint j = 0; fake_machine_is_up(machine) && j < machine->worker.tasks->len; j++) {
            const struct fake_task *task =
                &g_array_index(machine->worker.tasks, struct fake_task, j);
            count += !task->has_ended && !strncmp(task->name, id, size) && task->name[size] == '/';
        }
    }
    return count;
}

/* ---- observing the state service ---- */

static void on_store_change(void *arg, const char *key, const cbor_item_t *data, uint64_t revision)
{
    struct pm_fencing_range tokens;
    uint64_t count = 1;

    (void)arg;
    (void)revision;
    if (data && !strcmp(key, "p/epoch") &&
        pm_cbor_read_uint(pm_cbor_get(data, "epoch"), &tokens.last)) {
        char before[32];
        g_strlcpy(before, lab.leader, sizeof before);
        pm_cbor_read_text(pm_cbor_get(data, "leader"), lab.leader, sizeof lab.leader);
        pm_cbor_read_uint(pm_cbor_get(data, "tokens"), &count);
        tokens.first = tokens.last - count + 1;
        history_epoch_advanced(lab.history, tokens, lab.leader);
        if (strcmp(before, lab.leader) != 0)
            lab_log("state: %s leads", lab.leader);
    }
    if (data && g_str_has_prefix(key, "p/b/"))
        history_shard_assigned(lab.history, key + strlen("p/b/"));
    if (lab.observe)
        lab.observe(key, data);
}

int lab_leader(void)
{
    for (int i = 0; i < lab.settings.controllers; i++)
        if (!strcmp(nodes[i].name, lab.leader) && fake_store_revision(lab.store, "p/lead"))
            return i;
    return -1;
}

/* ---- processes ---- */

void lab_restart(int controller)
{
    pid_t pid;

    if (lab.controllers.pid[controller])
        return;
    pid = fork();
    if (pid == 0) {
        char log[160];
        int fd;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        snprintf(log, sizeof log, "%s/%s.log", directory, nodes[controller].name);
        fd = open(getenv("LAB_LOGS") ? log : "/dev/null", O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDERR_FILENO);
        execl(PROGRAM, PROGRAM, "--config", nodes[controller].path, NULL);
        _exit(127);
    }
    lab.controllers.pid[controller] = pid;
    lab_log("start %s", nodes[controller].name);
}

void lab_signal(int controller, int signal_number)
{
    if (!lab.controllers.pid[controller])
        return;
    lab_log("signal %d to %s", signal_number, nodes[controller].name);
    kill(lab.controllers.pid[controller], signal_number);
}

void lab_kill(int controller)
{
    pid_t pid = lab.controllers.pid[controller];

    if (!pid)
        return;
    lab_log("kill %s", nodes[controller].name);
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
    lab.controllers.pid[controller] = 0;
}

static void on_process_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    int status;

    (void)loop;
    (void)timer;
    (void)events;
    for (int i = 0; i < lab.settings.controllers; i++) {
        pid_t pid = lab.controllers.pid[i];
        if (!pid || waitpid(pid, &status, WNOHANG) != pid)
            continue;
        lab_log("%s has ended by itself, wait status %d", nodes[i].name, status);
        has_ended_by_itself = true;
        lab.controllers.pid[i] = 0;
    }
}

/* ---- settings ---- */

static void choose_address(char *out)
{
    static unsigned count;
    unsigned process = (unsigned)getpid();

    snprintf(out, ADDR_SIZE, "127.%u.%u.%u:%d", 1 + process % 250, process / 250 % 250,
             count++ % 250 + 1, event_loop_free_port());
}

static void write_settings(struct node *node)
{
    const struct lab_settings *s = &lab.settings;
    GString *text = g_string_new(NULL);

    g_string_append_printf(text,
                           "host_name = \"%s\"\ndomain = \"zone-%d\"\nserve_on = \"%s\"\n"
                           "back = \"%s\"\n",
                           node->name, node->index % s->zones, node->serve, node->back);
    for (int i = 0; i < s->controllers; i++)
        if (i != node->index)
            g_string_append_printf(
                text, "[[peers]]\nhost_name = \"%s\"\ndomain = \"zone-%d\"\npeer_addr = \"%s\"\n",
                nodes[i].name, i % s->zones, nodes[i].back);
    g_string_append_printf(text,
                           "[outside]\ncloud = \"%s\"\nstate = \"%s\"\n[settings]\nsize = %d\n"
                           "time_bound_ms = 5.0\nzones = [",
                           cloud, node->state, s->controllers);
    for (int i = 0; i < s->zones; i++)
        g_string_append_printf(text, "%s\"zone-%d\"", i ? ", " : "", i);
    g_string_append_printf(
        text,
        "]\n[[settings.teams]]\nname = \"team\"\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\n"
        "gpus_max = 0.0\n"
        "[[settings.objectives]]\nkind = \"wait\"\nclass = \"batch\"\nwithin_s = 5.0\n"
        "share = 0.9\n"
        "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\n"
        "gang_peer_s = %.1f\ncancel_s = %.1f\n"
        "[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n"
        "[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n"
        "[settings.quota]\ncores = 0.2\nmem_mb = 200.0\nsockets = 5000\n%s",
        s->team_cpus, s->team_cpus_max, s->report_s, s->lease_s, s->gang_wait_s, s->gang_peer_s,
        s->cancel_s, s->rps, s->write_rps, s->value_kb, s->txn_ops, s->cloud_rps, s->list_lag_s,
        s->extra ? s->extra : "");
    snprintf(node->path, sizeof node->path, "%s/%s.toml", directory, node->name);
    g_file_set_contents(node->path, text->str, (gssize)text->len, NULL);
    g_string_free(text, TRUE);
}

void lab_change_extra(const char *extra)
{
    lab.settings.extra = extra;
    for (int i = 0; i < lab.settings.controllers; i++)
        write_settings(&nodes[i]);
}

/* ---- users ---- */

struct user_call {
    struct lab_job *job;
    char what[128];
    int node;
};

static void put_submission(const struct lab_job *job, struct pm_buffer *out)
{
    char zone[16];

    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "name_id", job->id);
    pm_cbor_put_pair_text(out, "ledger", "batch");
    pm_cbor_put_pair_text(out, "desk", "team");
    pm_cbor_put_pair_text(out, "form", job->form);
    pm_cbor_put_pair_text(out, "urgency", job->urgency);
    pm_cbor_put_pair_uint(out, "entries", job->entries);
    pm_cbor_put_pair_number(out, "cpus", job->cpus);
    pm_cbor_put_pair_number(out, "accelerators", 0);
    pm_cbor_put_pair_number(out, "ram_gb", job->cpus);
    pm_cbor_put_pair_text(out, "bundle", "image-0");
    pm_cbor_put_pair_number(out, "size_gb", 0.1);
    pm_cbor_put_pair_flag(out, "same_place", job->same_place);
    pm_cbor_put_pair_flag(out, "spread", false);
    pm_cbor_put_pair_flag(out, "borrowed", true);
    if (job->zone >= 0) {
        snprintf(zone, sizeof zone, "zone-%d", job->zone);
        pm_cbor_put_pair_text(out, "room", zone);
    }
    pm_cbor_put_pair_number(out, "expected_s", job->expected_s);
    pm_cbor_put_pair_number(out, "bookmark_s", 0);
    pm_cbor_put_pair_number(out, "filing_s", 0);
    if (job->awaits || job->awaits_all) {
        pm_cbor_put_text(out, "awaits");
        pm_cbor_put_list(out);
        if (job->awaits)
            pm_cbor_put_text(out, job->awaits);
        for (guint i = 0; job->awaits_all && i < job->awaits_all->len; i++)
            pm_cbor_put_text(out, g_ptr_array_index(job->awaits_all, i));
        pm_cbor_put_end(out);
    }
    pm_cbor_put_end(out);
}

static void on_user_answer(void *arg, int http_status, const unsigned char *body, size_t size)
{
    struct user_call *call = arg;
    struct lab_job *job = call->job;
    cbor_item_t *answer = size ? pm_cbor_parse(body, size) : NULL;
    char status[16] = "";

    job->in_flight = false;
    job->next_at = lab_now() + 1;
    if (http_status == 200 || http_status == 201)
        pm_cbor_read_text(pm_cbor_get(answer, "status"), status, sizeof status);
    pm_cbor_free(answer);
    if (strcmp(status, job->status) != 0 || !status[0])
        lab_log("user: %s at %s: %d %s", call->what, nodes[call->node].name, http_status, status);
    g_free(call);
    if (!status[0]) {
        job->node = (job->node + 1) % lab.settings.controllers;
        if (http_status == 404 && job->accepted_at > 0)
            history_status_reported(lab.history, job->id, job->entries, "unknown",
                                    pm_clock_monotonic());
        return;
    }
    job->polls_answered++;
    if (!job->accepted_at)
        job->accepted_at = lab_now();
    g_strlcpy(job->status, status, sizeof job->status);
    history_status_reported(lab.history, job->id, job->entries, status, pm_clock_monotonic());
    if (!strcmp(status, "cancelled") && !job->cancelled_at)
        job->cancelled_at = lab_now();
    if ((!strcmp(status, "done") || !strcmp(status, "cancelled")) && !job->ended_at)
        job->ended_at = lab_now();
}

static void send_next_request(struct lab_job *job)
{
    struct user_call *call = g_new0(struct user_call, 1);
    struct pm_buffer body = {0};
    char target[64];
    const char *method = "GET";

    *call = (struct user_call){.job = job, .node = job->node};
    job->in_flight = true;
    if (!job->accepted_at) {
        g_strlcpy(target, "/work", sizeof target);
        put_submission(job, &body);
        method = "POST";
    } else if (job->wants_cancel) {
        snprintf(target, sizeof target, "/work/%s/abort", job->id);
        method = "POST";
    } else {
        snprintf(target, sizeof target, "/work/%s", job->id);
    }
    job->polls_sent++;
    snprintf(call->what, sizeof call->what, "%s %s %s", method, target,
             job->accepted_at > 0 ? "" : job->id);
    pm_http_call(user_client, nodes[job->node].serve, method, target, body.data, body.size,
                 job->accepted_at > 0 && !job->wants_cancel ? 2 : 5, 64 * 1024, on_user_answer,
                 call);
    pm_buffer_free(&body);
}

static void on_user_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)timer;
    (void)events;
    for (guint i = 0; i < lab.jobs->len; i++) {
        struct lab_job *job = g_ptr_array_index(lab.jobs, i);
        if (!job->in_flight && !job->ended_at && job->next_at <= lab_now())
            send_next_request(job);
    }
    history_check_cancellations(lab.history, pm_clock_monotonic());
    fflush(lab.record);
}

void lab_submit(struct lab_job *job)
{
    const struct history_job described = {
        .team = "team", .cpus = job->cpus, .zone = job->zone, .same_zone = job->same_place};

    job->submitted_at = lab_now();
    job->node = (int)lab.jobs->len % lab.settings.controllers;
    fake_provider_describe_job(
        lab.provider, job->id,
        (struct fake_provider_job){job->entries, job->cpus, !strcmp(job->form, "group")});
    history_job_submitted(lab.history, job->id, described);
    g_ptr_array_add(lab.jobs, job);
    lab_log("user: submits %s: %s, %s, %u tasks of %g cpus", job->id, job->form, job->urgency,
            job->entries, job->cpus);
}

void lab_cancel(struct lab_job *job)
{
    lab_log("user: cancels %s", job->id);
    job->cancel_asked_at = lab_now();
    job->wants_cancel = true;
    job->next_at = 0;
}

/* ---- start and end ---- */

void lab_start(const struct lab_settings *settings, const char *record)
{
    lab.settings = *settings;
    lab.value_kb_max = settings->value_kb;
    lab.txn_ops_max = (size_t)settings->txn_ops;
    lab.started_at = pm_clock_monotonic();
    lab.record = fopen(record, "w");
    lab.loop = ev_loop_new(EVFLAG_AUTO);
    lab.jobs = g_ptr_array_new();
    signal(SIGPIPE, SIG_IGN);
    g_strlcpy(directory, "/tmp/pumicemount-review-XXXXXX", sizeof directory);
    if (!lab.record || !g_mkdtemp(directory))
        lab_give_up("no folder for the record or the settings");
    if (access(PROGRAM, X_OK))
        lab_give_up(PROGRAM " is not there: build it first");
    lab.history = history_new(settings->cancel_s);
    history_add_team(lab.history, "team", settings->team_cpus_max, 0);
    lab.store = fake_store_new(lab.loop);
    fake_store_expire_leases(lab.store);
    fake_store_observe(lab.store, on_store_change, NULL);
    proxy_client = pm_http_client_new(lab.loop, 4096);
    user_client = pm_http_client_new(lab.loop, 4096);
    refilled_at = pm_clock_monotonic();
    request_tokens = settings->rps;
    write_tokens = settings->write_rps;
    lab.controllers.count = settings->controllers;
    for (int i = 0; i < settings->controllers; i++) {
        struct node *node = &nodes[i];
        node->index = i;
        snprintf(node->name, sizeof node->name, "quarry-%d", i);
        choose_address(node->serve);
        choose_address(node->back);
        do {
            choose_address(node->state);
            node->proxy =
                pm_http_server_new(lab.loop, node->state, NODE_CONNECTIONS, on_state_request, node);
        } while (!node->proxy);
        worker_addrs[i] = node->serve;
        node_names[i] = node->name;
    }
    lab.provider = fake_provider_new(
        lab.loop,
        &(struct fake_provider_settings){.controller_count = settings->controllers,
                                         .zone_count = settings->zones,
                                         .max_machines = settings->machines_max,
                                         .heartbeat_s = settings->report_s,
                                         .lease_s = settings->lease_s,
                                         .gang_wait_s = settings->gang_wait_s,
                                         .gang_peer_s = settings->gang_peer_s,
                                         .worker_addrs = worker_addrs,
                                         .controller_names = node_names,
                                         .controllers = &lab.controllers},
        lab.history);
    do
        choose_address(cloud);
    while (!pm_http_server_new(lab.loop, cloud, NODE_CONNECTIONS, on_cloud_request, NULL));
    for (int i = 0; i < settings->controllers; i++)
        write_settings(&nodes[i]);
    for (int i = 0; i < settings->controllers; i++)
        lab_restart(i);
    ev_timer_init(&user_timer, on_user_timer, 0.1, 0.1);
    ev_timer_start(lab.loop, &user_timer);
    ev_timer_init(&process_timer, on_process_timer, 0.1, 0.1);
    ev_timer_start(lab.loop, &process_timer);
}

static void end_all(void)
{
    for (int i = 0; i < lab.settings.controllers; i++)
        if (lab.controllers.pid[i])
            lab_kill(i);
    for (int i = 0; i < lab.settings.controllers; i++)
        if (nodes[i].path[0])
            unlink(nodes[i].path);
    if (!getenv("LAB_LOGS"))
        rmdir(directory);
    else
        printf("logs in %s\n", directory);
}

void lab_give_up(const char *why)
{
    if (lab.record)
        lab_log("cannot run: %s", why);
    fprintf(stderr, "cannot run: %s\n", why);
    end_all();
    exit(2);
}

void lab_finish(bool broken, const char *what)
{
    const char *violations = history_violations(lab.history);

    lab_log("%s: %s", broken ? "BROKEN" : "HELD", what);
    lab_log("transactions %u, of these refused for their conditions %u; ends by themselves: %s",
            lab.txns, lab.conflicts, has_ended_by_itself ? "yes" : "no");
    if (violations[0])
        lab_log("other rules, as the workers and users saw them: %s", violations);
    printf("%s: %s\n%s", broken ? "BROKEN" : "HELD", what, violations);
    end_all();
    fclose(lab.record);
    exit(broken ? 1 : 0);
}
