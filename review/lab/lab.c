#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define TICK_S 0.02

static double monotonic(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double lab_now(const struct lab *lab)
{
    return monotonic() - lab->started_at;
}

void lab_say(struct lab *lab, const char *format, ...)
{
    va_list args;

    fprintf(lab->record, "%8.3f ", lab_now(lab));
    va_start(args, format);
    vfprintf(lab->record, format, args);
    va_end(args);
    fputc('\n', lab->record);
    fflush(lab->record);
}

static int free_port(void)
{
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t size = sizeof addr;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int port;

    if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof addr) || getsockname(fd, (struct sockaddr *)&addr, &size))
        exit(2);
    port = ntohs(addr.sin_port);
    close(fd);
    return port;
}

static void free_addr(char out[32])
{
    snprintf(out, 32, "127.0.0.1:%d", free_port());
}

static struct pm_http_server *listen_on(struct lab *lab, const char *addr, pm_http_handler *handler, void *arg)
{
    struct pm_http_server *server = pm_http_server_new(lab->loop, addr, 400, handler, arg);

    if (!server) {
        fprintf(stderr, "cannot listen on %s\n", addr);
        lab_close(lab);
        exit(2);
    }
    return server;
}

static void reply_buffer(struct pm_http_request *request, int status, struct pm_buffer *body)
{
    pm_http_reply(request, status, body->data, body->size, 0);
    pm_buffer_free(body);
}

static void reply_status(struct pm_http_request *request, int status)
{
    pm_http_reply(request, status, NULL, 0, 0);
}

/* A parameter of a query, "" if it is absent. */
static void query_text(const struct pm_http_request *request, const char *name, char *out, size_t size)
{
    char **parts = g_strsplit(request->query, "&", -1);

    out[0] = 0;
    for (char **part = parts; *part; part++)
        if (g_str_has_prefix(*part, name) && (*part)[strlen(name)] == '=')
            g_strlcpy(out, *part + strlen(name) + 1, size);
    g_strfreev(parts);
}

static uint64_t query_number(const struct pm_http_request *request, const char *name)
{
    char text[300];

    query_text(request, name, text, sizeof text);
    return strtoull(text, NULL, 10);
}

/* ======== state service ======== */

struct entry {
    char *key;
    GByteArray *data;
    uint64_t stamp, hold;
};

struct event {
    uint64_t edition;
    char *key;
    GByteArray *data; /* NULL: dropped */
};

struct hold {
    uint64_t id;
    double ttl_s, renewed_at;
};

struct watch {
    struct pm_http_request *request;
    struct lab_controller *from;
    char under[200];
    uint64_t since;
    double until;
};

static void entry_free(gpointer data)
{
    struct entry *entry = data;

    g_free(entry->key);
    g_byte_array_unref(entry->data);
    g_free(entry);
}

static gint compare_keys(gconstpointer left, gconstpointer right, gpointer arg)
{
    (void)arg;
    return strcmp(left, right);
}

static bool is_refused(const struct lab *lab, const struct lab_controller *from)
{
    return lab->outage || from->refused;
}

static void add_event(struct lab *lab, const char *key, GByteArray *data)
{
    struct event *event = g_new0(struct event, 1);

    event->edition = lab->edition;
    event->key = g_strdup(key);
    event->data = data ? g_byte_array_ref(data) : NULL;
    g_ptr_array_add(lab->events, event);
}

static void put_key(struct lab *lab, const char *key, const cbor_item_t *data, uint64_t hold)
{
    struct entry *entry = g_new0(struct entry, 1);
    struct pm_buffer encoded = {0};

    pm_cbor_put_item(&encoded, data);
    entry->key = g_strdup(key);
    entry->data = g_byte_array_append(g_byte_array_new(), encoded.data, (guint)encoded.size);
    pm_buffer_free(&encoded);
    entry->stamp = lab->edition;
    entry->hold = hold;
    g_tree_replace(lab->keys, entry->key, entry);
    add_event(lab, key, entry->data);
}

static void drop_key(struct lab *lab, const char *key)
{
    char *copy = g_strdup(key);

    if (g_tree_lookup(lab->keys, key)) {
        g_tree_remove(lab->keys, key);
        add_event(lab, copy, NULL);
    }
    g_free(copy);
}

/* Answers the watch if there is something to tell, or if its time is over. */
static bool answer_watch(struct lab *lab, struct watch *watch)
{
    struct pm_buffer body = {0};
    unsigned count = 0;

    if (is_refused(lab, watch->from))
        return false;
    pm_cbor_put_map(&body);
    pm_cbor_put_pair_uint(&body, "edition", lab->edition);
    pm_cbor_put_text(&body, "events");
    pm_cbor_put_list(&body);
    for (guint i = 0; i < lab->events->len; i++) {
        const struct event *event = g_ptr_array_index(lab->events, i);
        if (event->edition <= watch->since || !g_str_has_prefix(event->key, watch->under))
            continue;
        pm_cbor_put_map(&body);
        pm_cbor_put_pair_text(&body, event->data ? "put" : "drop", event->key);
        if (event->data) {
            pm_cbor_put_text(&body, "data");
            pm_buffer_append(&body, event->data->data, event->data->len);
        }
        pm_cbor_put_pair_uint(&body, "stamp", event->edition);
        pm_cbor_put_end(&body);
        count++;
    }
    pm_cbor_put_end(&body);
    pm_cbor_put_end(&body);
    if (!count && monotonic() < watch->until) {
        pm_buffer_free(&body);
        return false;
    }
    reply_buffer(watch->request, 200, &body);
    return true;
}

static void answer_watches(struct lab *lab)
{
    for (guint i = 0; i < lab->watches->len;)
        if (answer_watch(lab, g_ptr_array_index(lab->watches, i)))
            g_ptr_array_remove_index_fast(lab->watches, i);
        else
            i++;
}

/* One second's worth of bursts; "changes" are puts and drops. */
static bool within_limits(struct lab *lab, double changes)
{
    double now = monotonic();

    lab->requests = MIN(250., lab->requests + (now - lab->rate_at) * 250.);
    lab->changes = MIN(30., lab->changes + (now - lab->rate_at) * 30.);
    lab->rate_at = now;
    if (lab->requests < 1 || lab->changes < changes)
        return false;
    lab->requests -= 1;
    lab->changes -= changes;
    return true;
}

static struct hold *find_hold(struct lab *lab, uint64_t id)
{
    for (guint i = 0; i < lab->holds->len; i++)
        if (((struct hold *)g_ptr_array_index(lab->holds, i))->id == id)
            return g_ptr_array_index(lab->holds, i);
    return NULL;
}

struct hold_keys {
    uint64_t hold;
    GPtrArray *keys;
};

static gboolean collect_held(gpointer key, gpointer value, gpointer arg)
{
    struct hold_keys *found = arg;

    if (((struct entry *)value)->hold == found->hold)
        g_ptr_array_add(found->keys, g_strdup(key));
    return FALSE;
}

static void end_hold(struct lab *lab, struct hold *hold)
{
    struct hold_keys found = {hold->id, g_ptr_array_new_with_free_func(g_free)};

    g_tree_foreach(lab->keys, collect_held, &found);
    if (found.keys->len)
        lab->edition++;
    for (guint i = 0; i < found.keys->len; i++)
        drop_key(lab, g_ptr_array_index(found.keys, i));
    g_ptr_array_free(found.keys, TRUE);
    g_ptr_array_remove(lab->holds, hold);
}

static void expire_holds(struct lab *lab, double now)
{
    for (guint i = 0; i < lab->holds->len;) {
        struct hold *hold = g_ptr_array_index(lab->holds, i);
        if (lab->outage)
            hold->renewed_at = now; /* after an outage every lease has its full time again */
        if (now - hold->renewed_at > hold->ttl_s)
            end_hold(lab, hold);
        else
            i++;
    }
}

static void serve_txn(struct lab *lab, struct pm_http_request *request)
{
    cbor_item_t *txn = pm_cbor_parse(request->body, request->body_size);
    const cbor_item_t *conditions = pm_cbor_get(txn, "if");
    const cbor_item_t *writes = pm_cbor_get(txn, "writes");
    struct pm_buffer body = {0};
    struct pm_buffer failed = {0};
    unsigned failures = 0;
    char key[256];

    if (!within_limits(lab, (double)pm_cbor_length(writes))) {
        reply_status(request, 429);
        pm_cbor_free(txn);
        return;
    }
    for (size_t i = 0; i < pm_cbor_length(writes); i++) {
        uint64_t hold = 0;
        const cbor_item_t *data = pm_cbor_get(pm_cbor_at(writes, i), "data");
        pm_cbor_read_uint(pm_cbor_get(pm_cbor_at(writes, i), "tenure"), &hold);
        if ((hold && !find_hold(lab, hold)) || (data && pm_cbor_json_size(data) > 16 * 1024) ||
            pm_cbor_length(writes) > 12 || pm_cbor_length(conditions) > 48) {
            reply_status(request, 400);
            pm_cbor_free(txn);
            return;
        }
    }
    for (size_t i = 0; i < pm_cbor_length(conditions); i++) {
        uint64_t stamp = 0;
        const struct entry *entry;
        if (!pm_cbor_read_text(pm_cbor_get(pm_cbor_at(conditions, i), "key"), key, sizeof key))
            continue;
        pm_cbor_read_uint(pm_cbor_get(pm_cbor_at(conditions, i), "stamp"), &stamp);
        entry = g_tree_lookup(lab->keys, key);
        if ((entry ? entry->stamp : 0) == stamp)
            continue;
        failures++;
        pm_cbor_put_text(&failed, key);
    }
    if (!failures && pm_cbor_length(writes)) {
        lab->edition++;
        for (size_t i = 0; i < pm_cbor_length(writes); i++) {
            const cbor_item_t *write = pm_cbor_at(writes, i);
            uint64_t hold = 0;
            pm_cbor_read_uint(pm_cbor_get(write, "tenure"), &hold);
            if (pm_cbor_read_text(pm_cbor_get(write, "put"), key, sizeof key))
                put_key(lab, key, pm_cbor_get(write, "data"), hold);
            else if (pm_cbor_read_text(pm_cbor_get(write, "drop"), key, sizeof key))
                drop_key(lab, key);
        }
    }
    pm_cbor_put_map(&body);
    if (failures) {
        pm_cbor_put_text(&body, "failed");
        pm_cbor_put_list(&body);
        pm_buffer_append(&body, failed.data, failed.size);
        pm_cbor_put_end(&body);
    }
    pm_cbor_put_pair_uint(&body, "edition", lab->edition);
    pm_cbor_put_end(&body);
    reply_buffer(request, failures ? 409 : 200, &body);
    pm_buffer_free(&failed);
    pm_cbor_free(txn);
    answer_watches(lab);
}

struct listing {
    const char *under, *since;
    uint64_t page;
    unsigned count;
    bool has_next;
    struct pm_buffer *out;
};

static void put_item(struct pm_buffer *out, const struct entry *entry)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "key", entry->key);
    pm_cbor_put_text(out, "data");
    pm_buffer_append(out, entry->data->data, entry->data->len);
    pm_cbor_put_pair_uint(out, "stamp", entry->stamp);
    if (entry->hold)
        pm_cbor_put_pair_uint(out, "tenure", entry->hold);
    pm_cbor_put_end(out);
}

static gboolean list_key(gpointer key, gpointer value, gpointer arg)
{
    struct listing *listing = arg;

    if (!g_str_has_prefix(key, listing->under) || strcmp(key, listing->since) <= 0)
        return FALSE;
    if (listing->count >= listing->page || listing->out->size > 400 * 1024) {
        listing->has_next = true;
        return TRUE;
    }
    listing->count++;
    put_item(listing->out, value);
    return FALSE;
}

static void serve_list(struct lab *lab, struct pm_http_request *request)
{
    char under[300];
    char since[300];
    struct pm_buffer body = {0};
    struct listing listing = {under, since, MIN(1000, query_number(request, "page")), 0, false, &body};

    query_text(request, "under", under, sizeof under);
    query_text(request, "since", since, sizeof since);
    if (!listing.page)
        listing.page = 1000;
    pm_cbor_put_map(&body);
    pm_cbor_put_text(&body, "items");
    pm_cbor_put_list(&body);
    g_tree_foreach(lab->keys, list_key, &listing);
    pm_cbor_put_end(&body);
    pm_cbor_put_pair_flag(&body, "has_next", listing.has_next);
    pm_cbor_put_pair_uint(&body, "edition", lab->edition);
    pm_cbor_put_end(&body);
    reply_buffer(request, 200, &body);
}

static void serve_get(struct lab *lab, struct pm_http_request *request, const char *key)
{
    const struct entry *entry = g_tree_lookup(lab->keys, key);
    struct pm_buffer body = {0};

    if (entry) {
        put_item(&body, entry);
    } else {
        pm_cbor_put_map(&body);
        pm_cbor_put_pair_uint(&body, "edition", lab->edition);
        pm_cbor_put_end(&body);
    }
    reply_buffer(request, entry ? 200 : 404, &body);
}

static void serve_watch(struct lab *lab, struct lab_controller *from, struct pm_http_request *request)
{
    struct watch *watch = g_new0(struct watch, 1);

    watch->request = request;
    watch->from = from;
    watch->since = query_number(request, "since");
    watch->until = monotonic() + MIN(60000., (double)query_number(request, "wait_ms")) / 1000;
    query_text(request, "under", watch->under, sizeof watch->under);
    if (!answer_watch(lab, watch))
        g_ptr_array_add(lab->watches, watch);
    else
        g_free(watch);
}

static void put_tenure(struct pm_buffer *body, uint64_t id)
{
    pm_cbor_put_map(body);
    pm_cbor_put_pair_uint(body, "tenure", id);
    pm_cbor_put_end(body);
}

static void serve_holds(struct lab *lab, struct pm_http_request *request)
{
    struct pm_buffer body = {0};
    struct hold *hold;

    if (!strcmp(request->path, "/holds")) {
        cbor_item_t *wanted = pm_cbor_parse(request->body, request->body_size);
        uint64_t ttl_ms = 0;
        pm_cbor_read_uint(pm_cbor_get(wanted, "ttl_ms"), &ttl_ms);
        pm_cbor_free(wanted);
        hold = g_new0(struct hold, 1);
        hold->id = ++lab->next_hold;
        hold->ttl_s = (double)ttl_ms / 1000;
        hold->renewed_at = monotonic();
        g_ptr_array_add(lab->holds, hold);
        put_tenure(&body, hold->id);
        reply_buffer(request, 200, &body);
        return;
    }
    hold = find_hold(lab, strtoull(request->path + strlen("/holds/"), NULL, 10));
    if (!hold) {
        reply_status(request, 404);
        return;
    }
    put_tenure(&body, hold->id);
    hold->renewed_at = monotonic();
    if (request->method == PM_HTTP_DELETE)
        end_hold(lab, hold);
    reply_buffer(request, 200, &body);
    answer_watches(lab);
}

static void on_store_request(void *arg, struct pm_http_request *request)
{
    struct lab_controller *from = arg;
    struct lab *lab = from->lab;

    if (is_refused(lab, from))
        reply_status(request, 503);
    else if (!strcmp(request->path, "/txn"))
        serve_txn(lab, request);
    else if (!within_limits(lab, 0))
        reply_status(request, 429);
    else if (!strcmp(request->path, "/watch"))
        serve_watch(lab, from, request);
    else if (g_str_has_prefix(request->path, "/holds"))
        serve_holds(lab, request);
    else if (!strcmp(request->path, "/kv"))
        serve_list(lab, request);
    else if (g_str_has_prefix(request->path, "/kv/"))
        serve_get(lab, request, request->path + 4);
    else
        reply_status(request, 400);
}

/* ======== workers ======== */

static struct lab_task *find_task(const struct lab_machine *machine, const char *name, uint64_t attempt, bool any)
{
    for (guint i = 0; i < machine->tasks->len; i++) {
        struct lab_task *task = g_ptr_array_index(machine->tasks, i);
        if (!strcmp(task->name, name) && (any ? strcmp(task->state, "ended") != 0 : task->attempt == attempt))
            return task;
    }
    return NULL;
}

static bool is_on_machine(const struct lab_task *task)
{
    return !strcmp(task->state, "running");
}

struct lab_machine *lab_where(struct lab *lab, const struct lab_job *job, unsigned index)
{
    for (guint i = 0; i < lab->machines->len; i++) {
        struct lab_machine *machine = g_ptr_array_index(lab->machines, i);
        for (guint k = 0; !machine->gone_at && k < machine->tasks->len; k++) {
            const struct lab_task *task = g_ptr_array_index(machine->tasks, k);
            if (task->job == job && task->index == index && is_on_machine(task))
                return machine;
        }
    }
    return NULL;
}

static void room_of(const struct lab_machine *machine, double *cpus, double *ram_gb)
{
    const struct lab_type *type = &machine->lab->types[machine->type];

    *cpus = type->cpus;
    *ram_gb = type->ram_gb;
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct lab_task *task = g_ptr_array_index(machine->tasks, i);
        if (!task->job || !strcmp(task->state, "ended"))
            continue;
        *cpus -= task->job->cpus;
        *ram_gb -= task->job->ram_gb;
    }
}

unsigned lab_free_room(struct lab *lab, const struct lab_job *job)
{
    unsigned fit = 0;

    for (guint i = 0; i < lab->machines->len; i++) {
        const struct lab_machine *machine = g_ptr_array_index(lab->machines, i);
        double cpus;
        double ram_gb;
        if (!machine->server || machine->gone_at || (machine->spot && !job->spot) ||
            (job->type && strcmp(job->type, lab->types[machine->type].name) != 0))
            continue;
        room_of(machine, &cpus, &ram_gb);
        fit += (unsigned)MIN(MAX(0, cpus + 1e-6) / job->cpus, MAX(0, ram_gb + 1e-6) / job->ram_gb);
    }
    return fit;
}

static void end_task(struct lab_machine *machine, struct lab_task *task, const char *cause)
{
    if (!strcmp(task->state, "ended"))
        return;
    g_strlcpy(task->state, "ended", sizeof task->state);
    g_strlcpy(task->cause, cause, sizeof task->cause);
    machine->changed = true;
    if (task->job && !strcmp(cause, "done"))
        task->job->finished++;
    lab_say(machine->lab, "%s: %s try %llu ends: %s", machine->name, task->name, (unsigned long long)task->attempt,
            cause);
}

static bool has_image(const struct lab_machine *machine, const char *name)
{
    for (guint i = 0; i < machine->images->len; i++)
        if (!strcmp(g_ptr_array_index(machine->images, i), name))
            return true;
    return false;
}

static struct lab_job *find_job(struct lab *lab, const char *task_name, unsigned *index)
{
    for (guint i = 0; i < lab->jobs->len; i++) {
        struct lab_job *job = g_ptr_array_index(lab->jobs, i);
        size_t length = strlen(job->id);
        if (strncmp(job->id, task_name, length) != 0 || task_name[length] != '/')
            continue;
        *index = (unsigned)strtoul(task_name + length + 1, NULL, 10);
        return *index < job->tasks ? job : NULL;
    }
    return NULL;
}

static void launch(struct lab_machine *machine, const char *name, uint64_t attempt)
{
    struct lab *lab = machine->lab;
    struct lab_task *task;
    double cpus;
    double ram_gb;

    if (find_task(machine, name, attempt, false))
        return;
    task = g_new0(struct lab_task, 1);
    g_strlcpy(task->name, name, sizeof task->name);
    task->attempt = attempt;
    task->job = find_job(lab, name, &task->index);
    g_strlcpy(task->state, "fetching", sizeof task->state);
    room_of(machine, &cpus, &ram_gb);
    machine->changed = true;
    lab_say(lab, "%s: launch %s try %llu", machine->name, name, (unsigned long long)attempt);
    if (!task->job)
        end_task(machine, task, "no_such");
    else if (find_task(machine, name, 0, true))
        end_task(machine, task, "busy");
    else if (cpus + 1e-6 < task->job->cpus || ram_gb + 1e-6 < task->job->ram_gb)
        end_task(machine, task, "no_room");
    else
        task->ready_at = monotonic() + (has_image(machine, task->job->bundle)
                                            ? 0.05
                                            : task->job->size_gb / lab->types[machine->type].pull_gb_per_s);
    g_ptr_array_add(machine->tasks, task);
}

static void start_task(struct lab_machine *machine, struct lab_task *task, double now)
{
    struct lab *lab = machine->lab;
    struct lab_job *job = task->job;
    const struct lab_machine *other = lab_where(lab, job, task->index);

    if (!has_image(machine, job->bundle))
        g_ptr_array_add(machine->images, (gpointer)job->bundle);
    if (other) {
        lab->ran_twice++;
        lab_say(lab, "RULE ran_twice: %s try %llu starts on %s while it is on %s", task->name,
                (unsigned long long)task->attempt, machine->name, other->name);
    }
    if ((job->type && strcmp(job->type, lab->types[machine->type].name) != 0) || (machine->spot && !job->spot)) {
        lab->wrong_place++;
        lab_say(lab, "RULE wrong_place: %s starts on %s", task->name, machine->name);
    }
    g_strlcpy(task->state, "running", sizeof task->state);
    task->fails = job->starts < job->fail_first;
    job->starts++;
    if (task->fails)
        task->ends_at = now + job->fail_s;
    else if (job->run_s > 0)
        task->ends_at = now + job->run_s;
    machine->changed = true;
    lab_say(lab, "%s: %s try %llu runs", machine->name, task->name, (unsigned long long)task->attempt);
    if (lab->on_start)
        lab->on_start(lab, machine, task);
}

static void execute(struct lab_machine *machine, const cbor_item_t *orders)
{
    for (size_t i = 0; i < pm_cbor_length(orders); i++) {
        const cbor_item_t *order = pm_cbor_at(orders, i);
        char verb[16];
        char name[64];
        uint64_t attempt = 0;
        struct lab_task *task;
        if (!pm_cbor_read_text(pm_cbor_get(order, "verb"), verb, sizeof verb) ||
            !pm_cbor_read_text(pm_cbor_get(order, "entry"), name, sizeof name) ||
            !pm_cbor_read_uint(pm_cbor_get(order, "try"), &attempt))
            continue;
        task = find_task(machine, name, attempt, false);
        if (!strcmp(verb, "launch")) {
            launch(machine, name, attempt);
        } else if (!strcmp(verb, "kill") && task) {
            end_task(machine, task, "stopped"); /* no job here saves */
        } else if (!strcmp(verb, "forget") && task && !strcmp(task->state, "ended")) {
            lab_say(machine->lab, "%s: forgets %s try %llu", machine->name, name, (unsigned long long)attempt);
            g_ptr_array_remove(machine->tasks, task);
            machine->changed = true;
        }
    }
}

static void put_report(struct lab_machine *machine, struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "host", machine->name);
    pm_cbor_put_pair_text(out, "endpoint", machine->endpoint);
    pm_cbor_put_pair_text(out, "model", machine->lab->types[machine->type].name);
    pm_cbor_put_pair_text(out, "room", machine->lab->zone);
    pm_cbor_put_pair_flag(out, "borrowed", machine->spot);
    pm_cbor_put_pair_uint(out, "shift", machine->shift);
    pm_cbor_put_pair_uint(out, "tally", ++machine->tally);
    pm_cbor_put_pair_uint(out, "mandate", machine->mandate);
    pm_cbor_put_text(out, "recall_s");
    pm_cbor_put_null(out);
    pm_cbor_put_text(out, "entries");
    pm_cbor_put_list(out);
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct lab_task *task = g_ptr_array_index(machine->tasks, i);
        pm_cbor_put_map(out);
        pm_cbor_put_pair_text(out, "entry", task->name);
        pm_cbor_put_pair_uint(out, "try", task->attempt);
        pm_cbor_put_pair_text(out, "status", task->state);
        if (task->cause[0])
            pm_cbor_put_pair_text(out, "cause", task->cause);
        pm_cbor_put_end(out);
    }
    pm_cbor_put_end(out);
    pm_cbor_put_end(out);
}

static int execute_do(struct lab_machine *machine, const cbor_item_t *body)
{
    uint64_t mandate;
    uint64_t shift;

    if (!pm_cbor_read_uint(pm_cbor_get(body, "mandate"), &mandate) ||
        !pm_cbor_read_uint(pm_cbor_get(body, "shift"), &shift))
        return 400;
    if (mandate < machine->mandate || shift != machine->shift)
        return 409;
    if (mandate > machine->mandate)
        machine->changed = true;
    machine->mandate = mandate;
    execute(machine, pm_cbor_get(body, "orders"));
    return 200;
}

static void remember_do(struct lab_machine *machine, const struct pm_http_request *request)
{
    int slot = machine->do_count++ % 8;

    if (machine->last_do[slot])
        g_byte_array_unref(machine->last_do[slot]);
    machine->last_do[slot] =
        g_byte_array_append(g_byte_array_new(), request->body, (guint)request->body_size);
}

int lab_repeat_do(struct lab *lab, struct lab_machine *machine, const GByteArray *bytes)
{
    cbor_item_t *body = pm_cbor_parse(bytes->data, bytes->len);
    uint64_t mandate = 0;
    int status;

    pm_cbor_read_uint(pm_cbor_get(body, "mandate"), &mandate);
    status = execute_do(machine, body);
    lab_say(lab, "%s: a late copy of a POST /do with token %llu arrives (highest token seen %llu): %d", machine->name,
            (unsigned long long)mandate, (unsigned long long)machine->mandate, status);
    pm_cbor_free(body);
    return status;
}

static void on_worker_request(void *arg, struct pm_http_request *request)
{
    struct lab_machine *machine = arg;
    cbor_item_t *body = pm_cbor_parse(request->body, request->body_size);
    struct pm_buffer answer = {0};
    int status = 200;

    if (!strcmp(request->path, "/do")) {
        status = execute_do(machine, body);
        if (status == 200 && pm_cbor_length(pm_cbor_get(body, "orders")))
            remember_do(machine, request);
    }
    put_report(machine, &answer);
    reply_buffer(request, status, &answer);
    pm_cbor_free(body);
}

static void go_to_next(struct lab_machine *machine, double delay_s)
{
    machine->controller = (machine->controller + 1) % machine->lab->controllers;
    machine->next_at = monotonic() + delay_s;
}

static void on_report_answer(void *arg, int status, const unsigned char *data, size_t size)
{
    struct lab_machine *machine = arg;
    struct lab *lab = machine->lab;
    cbor_item_t *body = size ? pm_cbor_parse(data, size) : NULL;
    double now = monotonic();
    uint64_t mandate = 0;
    char steward[32];
    bool moved = false;

    machine->in_flight = false;
    if (machine->gone_at || machine->muted) {
        pm_cbor_free(body);
        return;
    }
    if (status == 200) {
        if (pm_cbor_read_uint(pm_cbor_get(body, "mandate"), &mandate) && mandate >= machine->mandate &&
            machine->flight_shift == machine->shift) {
            machine->mandate = mandate;
            machine->lease_from = machine->sent_at;
            execute(machine, pm_cbor_get(body, "orders"));
        }
    } else if (status == 421 && pm_cbor_read_text(pm_cbor_get(body, "steward"), steward, sizeof steward)) {
        for (int i = 0; i < lab->controllers; i++)
            if (!strcmp(lab->controller[i].name, steward) && i != machine->controller) {
                machine->controller = i;
                machine->next_at = now + g_random_double_range(0, 0.5);
                moved = true;
            }
        if (!moved)
            go_to_next(machine, 1);
    } else {
        go_to_next(machine, 1);
    }
    pm_cbor_free(body);
}

static void send_report(struct lab_machine *machine, double now)
{
    struct lab *lab = machine->lab;
    struct pm_buffer body = {0};

    machine->in_flight = true;
    machine->changed = false;
    machine->sent_at = now;
    machine->flight_shift = machine->shift;
    machine->next_at = now + lab->report_s * g_random_double_range(0.75, 1.25);
    put_report(machine, &body);
    pm_http_call(lab->client, lab->controller[machine->controller].serve, "POST", "/v1/report", body.data, body.size,
                 4.0, 1 << 20, on_report_answer, machine);
    pm_buffer_free(&body);
}

static void end_lease(struct lab_machine *machine, double now)
{
    lab_say(machine->lab, "%s: its lease ends, session %llu, %u tasks killed", machine->name,
            (unsigned long long)machine->shift, machine->tasks->len);
    g_ptr_array_set_size(machine->tasks, 0);
    machine->shift++;
    machine->lease_from = now;
    machine->changed = true;
}

static void tick_machine(struct lab_machine *machine, double now)
{
    if (machine->gone_at)
        return;
    if (!machine->server) {
        if (now < machine->up_at)
            return;
        machine->server = listen_on(machine->lab, machine->endpoint, on_worker_request, machine);
        machine->lease_from = machine->next_at = now;
        lab_say(machine->lab, "%s: up", machine->name);
    }
    if (now - machine->lease_from > machine->lab->lease_s)
        end_lease(machine, now);
    for (guint i = 0; i < machine->tasks->len; i++) {
        struct lab_task *task = g_ptr_array_index(machine->tasks, i);
        if (!strcmp(task->state, "fetching") && now >= task->ready_at)
            start_task(machine, task, now);
        else if (!strcmp(task->state, "running") && task->ends_at && now >= task->ends_at)
            end_task(machine, task, task->fails ? "error" : "done");
    }
    if (!machine->in_flight && !machine->muted &&
        (now >= machine->next_at || (machine->changed && now - machine->sent_at >= 0.5)))
        send_report(machine, now);
}

/* ======== cloud ======== */

static void rent(struct lab *lab, int type, bool spot)
{
    struct lab_machine *machine = g_new0(struct lab_machine, 1);

    machine->lab = lab;
    snprintf(machine->name, sizeof machine->name, "i-%06u", ++lab->named);
    free_addr(machine->endpoint);
    machine->type = type;
    machine->spot = spot;
    machine->rented_at = monotonic();
    machine->up_at = machine->rented_at + lab->up_within_s;
    machine->shift = 1;
    machine->controller = (int)(lab->named % (unsigned)lab->controllers);
    machine->tasks = g_ptr_array_new_with_free_func(g_free);
    machine->images = g_ptr_array_new();
    g_ptr_array_add(lab->machines, machine);
    lab_say(lab, "%s: rented, %s%s", machine->name, lab->types[type].name, spot ? " spot" : "");
}

static int count_rented(const struct lab *lab, int type, bool spot)
{
    int count = 0;

    for (guint i = 0; i < lab->machines->len; i++) {
        const struct lab_machine *machine = g_ptr_array_index(lab->machines, i);
        count += machine->type == type && machine->spot == spot && !machine->gone_at;
    }
    return count;
}

static void serve_rental(struct lab *lab, struct pm_http_request *request)
{
    cbor_item_t *wanted = pm_cbor_parse(request->body, request->body_size);
    char booking[200] = "";
    char model[64] = "";
    bool spot = false;
    uint64_t how_many = 0;
    int type = -1;
    struct pm_buffer body = {0};
    GBytes *known;

    pm_cbor_read_text(pm_cbor_get(wanted, "booking"), booking, sizeof booking);
    pm_cbor_read_text(pm_cbor_get(wanted, "model"), model, sizeof model);
    pm_cbor_read_flag(pm_cbor_get(wanted, "borrowed"), &spot);
    pm_cbor_read_uint(pm_cbor_get(wanted, "how_many"), &how_many);
    pm_cbor_free(wanted);
    for (int i = 0; i < lab->type_count; i++)
        if (!strcmp(lab->types[i].name, model))
            type = i;
    known = g_hash_table_lookup(lab->bookings, booking);
    if (known) {
        pm_http_reply(request, 200, g_bytes_get_data(known, NULL), g_bytes_get_size(known), 0);
        return;
    }
    if (type < 0 || !how_many || how_many > 50) {
        reply_status(request, 400);
        return;
    }
    pm_cbor_put_map(&body);
    pm_cbor_put_text(&body, "hosts");
    pm_cbor_put_list(&body);
    for (uint64_t i = 0; i < how_many; i++) {
        int capacity = spot ? lab->types[type].spot_capacity : lab->types[type].capacity;
        if (count_rented(lab, type, spot) >= capacity)
            break;
        rent(lab, type, spot);
        pm_cbor_put_text(&body, ((struct lab_machine *)g_ptr_array_index(lab->machines, lab->machines->len - 1))->name);
    }
    pm_cbor_put_end(&body);
    pm_cbor_put_end(&body);
    if (body.size <= 10) { /* none */
        pm_buffer_free(&body);
        pm_cbor_put_map(&body);
        pm_cbor_put_pair_text(&body, "error", "no capacity");
        pm_cbor_put_end(&body);
        reply_buffer(request, 503, &body);
        return;
    }
    g_hash_table_insert(lab->bookings, g_strdup(booking), g_bytes_new(body.data, body.size));
    reply_buffer(request, 200, &body);
}

void lab_take(struct lab *lab, struct lab_machine *machine)
{
    lab_say(lab, "%s: ends with %u tasks", machine->name, machine->tasks->len);
    machine->gone_at = monotonic();
    g_ptr_array_set_size(machine->tasks, 0);
    if (machine->server)
        pm_http_server_free(machine->server);
    machine->server = NULL;
}

static void serve_release(struct lab *lab, struct pm_http_request *request)
{
    cbor_item_t *wanted = pm_cbor_parse(request->body, request->body_size);
    const cbor_item_t *hosts = pm_cbor_get(wanted, "hosts");
    struct pm_buffer body = {0};
    char name[64];

    for (size_t i = 0; i < pm_cbor_length(hosts); i++)
        for (guint k = 0; k < lab->machines->len; k++) {
            struct lab_machine *machine = g_ptr_array_index(lab->machines, k);
            if (!pm_cbor_read_text(pm_cbor_at(hosts, i), name, sizeof name) || strcmp(name, machine->name) != 0 ||
                machine->gone_at)
                continue;
            lab_say(lab, "%s: released", machine->name);
            lab_take(lab, machine);
        }
    pm_cbor_free(wanted);
    pm_cbor_put_map(&body);
    pm_cbor_put_end(&body);
    reply_buffer(request, 200, &body);
}

static void serve_machines(struct lab *lab, struct pm_http_request *request)
{
    struct pm_buffer body = {0};
    char since[200];
    double then = monotonic() - lab->list_lag_s; /* the time that the list describes */

    query_text(request, "since", since, sizeof since);
    pm_cbor_put_map(&body);
    pm_cbor_put_text(&body, "hosts");
    pm_cbor_put_list(&body);
    for (guint i = 0; i < lab->machines->len; i++) {
        const struct lab_machine *machine = g_ptr_array_index(lab->machines, i);
        if (machine->rented_at > then || (machine->gone_at && machine->gone_at < then) ||
            strcmp(machine->name, since) <= 0)
            continue;
        pm_cbor_put_map(&body);
        pm_cbor_put_pair_text(&body, "name_id", machine->name);
        pm_cbor_put_pair_text(&body, "endpoint", machine->endpoint);
        pm_cbor_put_pair_text(&body, "model", lab->types[machine->type].name);
        pm_cbor_put_pair_text(&body, "room", lab->zone);
        pm_cbor_put_pair_flag(&body, "borrowed", machine->spot);
        pm_cbor_put_pair_text(&body, "status", machine->up_at <= then ? "running" : "starting");
        pm_cbor_put_pair_number(&body, "age_s", then - machine->rented_at);
        pm_cbor_put_end(&body);
    }
    pm_cbor_put_end(&body);
    pm_cbor_put_pair_flag(&body, "has_next", false);
    pm_cbor_put_end(&body);
    reply_buffer(request, 200, &body);
}

static void serve_types(struct lab *lab, struct pm_http_request *request)
{
    struct pm_buffer body = {0};

    pm_cbor_put_map(&body);
    pm_cbor_put_text(&body, "models");
    pm_cbor_put_list(&body);
    for (int i = 0; i < lab->type_count; i++) {
        const struct lab_type *type = &lab->types[i];
        pm_cbor_put_map(&body);
        pm_cbor_put_pair_text(&body, "sku", type->name);
        pm_cbor_put_pair_number(&body, "cpus", type->cpus);
        pm_cbor_put_pair_number(&body, "accelerators", 0);
        pm_cbor_put_pair_number(&body, "ram_gb", type->ram_gb);
        pm_cbor_put_pair_number(&body, "local_gb", 40);
        pm_cbor_put_pair_number(&body, "pull_gb_per_s", type->pull_gb_per_s);
        pm_cbor_put_pair_number(&body, "price", type->price);
        pm_cbor_put_pair_number(&body, "market_price", type->market_price);
        pm_cbor_put_pair_number(&body, "ready_s", type->ready_s);
        pm_cbor_put_text(&body, "rooms");
        pm_cbor_put_list(&body);
        pm_cbor_put_text(&body, lab->zone);
        pm_cbor_put_end(&body);
        pm_cbor_put_end(&body);
    }
    pm_cbor_put_end(&body);
    pm_cbor_put_end(&body);
    reply_buffer(request, 200, &body);
}

static void on_cloud_request(void *arg, struct pm_http_request *request)
{
    struct lab *lab = arg;

    if (!strcmp(request->path, "/machine_types"))
        serve_types(lab, request);
    else if (!strcmp(request->path, "/machines/release"))
        serve_release(lab, request);
    else if (!strcmp(request->path, "/machines") && request->method == PM_HTTP_POST)
        serve_rental(lab, request);
    else if (!strcmp(request->path, "/machines"))
        serve_machines(lab, request);
    else
        reply_status(request, 400);
}

/* ======== controllers ======== */

static void write_settings(struct lab *lab, struct lab_controller *node)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text, "host_name = \"%s\"\ndomain = \"%s\"\nserve_on = \"%s\"\nback = \"%s\"\n", node->name,
                           lab->zone, node->serve, node->back);
    for (int i = 0; i < lab->controllers; i++)
        if (&lab->controller[i] != node)
            g_string_append_printf(text, "[[peers]]\nhost_name = \"%s\"\ndomain = \"%s\"\npeer_addr = \"%s\"\n",
                                   lab->controller[i].name, lab->zone, lab->controller[i].back);
    g_string_append_printf(text,
                           "[outside]\ncloud = \"%s\"\nstate = \"%s\"\n[settings]\nsize = %d\nzones = [\"%s\"]\n"
                           "time_bound_ms = 5.0\n",
                           lab->cloud_addr, node->store_addr, lab->controllers, lab->zone);
    for (int i = 0; i < lab->team_count; i++)
        g_string_append_printf(text,
                               "[[settings.teams]]\nname = \"%s\"\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\n"
                               "gpus_max = 0.0\n",
                               lab->teams[i].name, lab->teams[i].cpus, lab->teams[i].cpus_max);
    g_string_append_printf(text,
                           "[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.93\n"
                           "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 40.0\n"
                           "gang_peer_s = 4.0\ncancel_s = %.1f\n[settings.state]\nrps = 250.0\nwrite_rps = 30.0\n"
                           "value_kb = 16.0\ntxn_ops = 12\n[settings.cloud]\nrps = 2.0\nlist_lag_s = %.1f\n"
                           "[settings.quota]\ncores = 0.16\nmem_mb = 72.0\nsockets = 900\n",
                           lab->report_s, lab->lease_s, lab->cancel_s, lab->list_lag_s);
    g_file_set_contents(node->path, text->str, -1, NULL);
    g_string_free(text, TRUE);
}

void lab_start(struct lab *lab, int controller)
{
    struct lab_controller *node = &lab->controller[controller];
    const char *program = getenv("LAB_PROGRAM") ? getenv("LAB_PROGRAM") : "target/pumicemount";
    int log = open(node->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

    lab_say(lab, "%s: started", node->name);
    node->pid = fork();
    if (!node->pid) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, 2);
        execl(program, program, "--config", node->path, (char *)NULL);
        _exit(127);
    }
    close(log);
}

void lab_kill(struct lab *lab, int controller)
{
    struct lab_controller *node = &lab->controller[controller];

    if (node->pid <= 0)
        return;
    lab_say(lab, "%s: killed", node->name);
    kill(node->pid, SIGKILL);
    waitpid(node->pid, NULL, 0);
    node->pid = 0;
}

void lab_signal(struct lab *lab, int controller, int number)
{
    lab_say(lab, "%s: signal %d", lab->controller[controller].name, number);
    kill(lab->controller[controller].pid, number);
}

static void watch_processes(struct lab *lab)
{
    for (int i = 0; i < lab->controllers; i++) {
        struct lab_controller *node = &lab->controller[i];
        int status;
        if (node->pid > 0 && waitpid(node->pid, &status, WNOHANG) == node->pid) {
            lab_say(lab, "ENDED %s by itself, status %d", node->name, status);
            node->pid = 0;
        }
    }
}

int lab_leader(struct lab *lab)
{
    const struct entry *entry = g_tree_lookup(lab->keys, "p/lead");
    cbor_item_t *value;
    char name[32] = "";

    if (!entry)
        return -1;
    value = pm_cbor_parse(entry->data->data, entry->data->len);
    pm_cbor_read_text(pm_cbor_get(value, "leader"), name, sizeof name);
    pm_cbor_free(value);
    for (int i = 0; i < lab->controllers; i++)
        if (!strcmp(lab->controller[i].name, name))
            return i;
    return -1;
}

/* ======== the event loop ======== */

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct lab *lab = timer->data;
    double now = monotonic();

    (void)loop;
    (void)events;
    expire_holds(lab, now);
    answer_watches(lab);
    for (guint i = 0; i < lab->machines->len; i++)
        tick_machine(g_ptr_array_index(lab->machines, i), now);
    watch_processes(lab);
    while (lab->events->len > 10000)
        g_ptr_array_remove_range(lab->events, 0, lab->events->len - 10000);
}

bool lab_until(struct lab *lab, bool (*done)(struct lab *lab, void *arg), void *arg, double seconds)
{
    double until = monotonic() + seconds;

    while (monotonic() < until) {
        ev_run(lab->loop, EVRUN_ONCE);
        if (done && done(lab, arg))
            return true;
    }
    return false;
}

void lab_run(struct lab *lab, double seconds)
{
    lab_until(lab, NULL, NULL, seconds);
}

struct lab *lab_new(const char *record_path)
{
    static const struct lab_type types[] = {{"bokhylla", 16, 64, 0.71, 0.22, 20, 0.3, 11, 10},
                                            {"kassaskap", 32, 256, 1.75, 0.55, 30, 0.4, 10, 9}};
    struct lab *lab = g_new0(struct lab, 1);

    signal(SIGPIPE, SIG_IGN);
    lab->started_at = monotonic();
    lab->record = fopen(record_path, "w");
    if (!lab->record)
        exit(2);
    lab->loop = ev_default_loop(0);
    lab->controllers = 3;
    lab->report_s = 2;
    lab->lease_s = 12;
    lab->cancel_s = 42;
    lab->list_lag_s = 4;
    lab->up_within_s = 2;
    lab->zone = "kontoret-goteborg";
    memcpy(lab->types, types, sizeof types);
    lab->type_count = 2;
    lab->teams[0] = (struct lab_team){"team-norr", 88, 216};
    lab->teams[1] = (struct lab_team){"kundtjanst", 128, 264};
    lab->team_count = 2;
    return lab;
}

void lab_open(struct lab *lab)
{
    snprintf(lab->dir, sizeof lab->dir, "%s/review-XXXXXX", g_get_tmp_dir());
    if (!g_mkdtemp(lab->dir))
        exit(2);
    lab->client = pm_http_client_new(lab->loop, 300);
    lab->keys = g_tree_new_full(compare_keys, NULL, NULL, entry_free);
    lab->events = g_ptr_array_new();
    lab->holds = g_ptr_array_new();
    lab->watches = g_ptr_array_new();
    lab->machines = g_ptr_array_new();
    lab->jobs = g_ptr_array_new();
    lab->bookings = g_hash_table_new(g_str_hash, g_str_equal);
    lab->edition = 1;
    lab->rate_at = monotonic();
    lab->requests = 250;
    lab->changes = 30;
    free_addr(lab->cloud_addr);
    lab->cloud_server = listen_on(lab, lab->cloud_addr, on_cloud_request, lab);
    for (int i = 0; i < lab->controllers; i++) {
        struct lab_controller *node = &lab->controller[i];
        node->lab = lab;
        node->index = i;
        snprintf(node->name, sizeof node->name, "quarry-%d", i);
        free_addr(node->serve);
        free_addr(node->back);
        free_addr(node->store_addr);
        node->store_server = listen_on(lab, node->store_addr, on_store_request, node);
        snprintf(node->path, sizeof node->path, "%s/%s.toml", lab->dir, node->name);
        snprintf(node->log, sizeof node->log, "%s/%s.log", getenv("LAB_LOGS") ? getenv("LAB_LOGS") : lab->dir,
                 node->name);
    }
    for (int i = 0; i < lab->controllers; i++)
        write_settings(lab, &lab->controller[i]);
    ev_timer_init(&lab->tick, on_tick, 0., TICK_S);
    lab->tick.data = lab;
    ev_timer_start(lab->loop, &lab->tick);
}

void lab_close(struct lab *lab)
{
    for (int i = 0; i < lab->controllers; i++) {
        struct lab_controller *node = &lab->controller[i];
        if (node->pid > 0) {
            kill(node->pid, SIGKILL);
            waitpid(node->pid, NULL, 0);
        }
        g_unlink(node->path);
        if (!getenv("LAB_LOGS"))
            g_unlink(node->log);
    }
    g_rmdir(lab->dir);
    fclose(lab->record);
}

/* ======== users ======== */

struct call {
    bool is_done, abandoned;
    int status;
    struct pm_buffer *out;
};

static void on_called(void *arg, int status, const unsigned char *body, size_t size)
{
    struct call *call = arg;

    call->is_done = true;
    call->status = status > 0 ? status : -1;
    if (call->out)
        pm_buffer_append(call->out, body, size);
}

int lab_call(struct lab *lab, const char *addr, const char *method, const char *path, const struct pm_buffer *body,
             double timeout_s, struct pm_buffer *out)
{
    struct call call = {.out = out};

    pm_http_call(lab->client, addr, method, path, body ? body->data : NULL, body ? body->size : 0, timeout_s, 1 << 20,
                 on_called, &call);
    while (!call.is_done)
        ev_run(lab->loop, EVRUN_ONCE);
    return call.status;
}

int lab_ready(struct lab *lab)
{
    int ready = 0;

    for (int i = 0; i < lab->controllers; i++)
        ready += lab->controller[i].pid > 0 &&
                 lab_call(lab, lab->controller[i].serve, "GET", "/ready", NULL, 1, NULL) == 200;
    return ready;
}

struct lab_job *lab_job_new(struct lab *lab, const char *kind, unsigned tasks, double cpus, double run_s)
{
    struct lab_job *job = g_new0(struct lab_job, 1);

    snprintf(job->id, sizeof job->id, "job-%06u", lab->jobs->len + 412);
    job->team = lab->teams[0].name;
    job->kind = kind;
    job->priority = "normal";
    job->tasks = tasks;
    job->cpus = cpus;
    job->ram_gb = 4.0;
    job->size_gb = 0.3;
    job->bundle = "img-07";
    job->run_s = run_s;
    g_ptr_array_add(lab->jobs, job);
    return job;
}

static void put_job(const struct lab_job *job, struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "name_id", job->id);
    pm_cbor_put_pair_text(out, "ledger", !strcmp(job->kind, "standing") ? "client-portal" : "receipt-matching");
    pm_cbor_put_pair_text(out, "desk", job->team);
    pm_cbor_put_pair_text(out, "form", job->kind);
    pm_cbor_put_pair_text(out, "urgency", job->priority);
    pm_cbor_put_pair_uint(out, "entries", job->tasks);
    pm_cbor_put_pair_number(out, "cpus", job->cpus);
    pm_cbor_put_pair_number(out, "accelerators", 0);
    pm_cbor_put_pair_number(out, "ram_gb", job->ram_gb);
    pm_cbor_put_pair_text(out, "bundle", job->bundle);
    pm_cbor_put_pair_number(out, "size_gb", job->size_gb);
    pm_cbor_put_text(out, "models");
    if (job->type) {
        pm_cbor_put_list(out);
        pm_cbor_put_text(out, job->type);
        pm_cbor_put_end(out);
    } else {
        pm_cbor_put_null(out);
    }
    pm_cbor_put_text(out, "room");
    pm_cbor_put_null(out);
    pm_cbor_put_pair_flag(out, "same_place", false);
    pm_cbor_put_pair_flag(out, "spread", false);
    pm_cbor_put_pair_flag(out, "borrowed", job->spot);
    pm_cbor_put_pair_number(out, "expected_s", job->run_s);
    pm_cbor_put_pair_number(out, "bookmark_s", 0);
    pm_cbor_put_pair_number(out, "filing_s", 0);
    pm_cbor_put_text(out, "due_s");
    pm_cbor_put_null(out);
    pm_cbor_put_end(out);
}

static void read_state(struct lab_job *job, const struct pm_buffer *answer)
{
    cbor_item_t *body = answer->size ? pm_cbor_parse(answer->data, answer->size) : NULL;
    uint64_t done = 0;
    uint64_t running = 0;

    pm_cbor_read_text(pm_cbor_get(body, "status"), job->state, sizeof job->state);
    pm_cbor_read_uint(pm_cbor_get(body, "done"), &done);
    pm_cbor_read_uint(pm_cbor_get(body, "running"), &running);
    job->done = (unsigned)done;
    job->running = (unsigned)running;
    pm_cbor_free(body);
}

int lab_submit(struct lab *lab, struct lab_job *job, int controller)
{
    struct pm_buffer body = {0};
    int status = -1;

    put_job(job, &body);
    job->submitted_at = lab_now(lab);
    while (lab_now(lab) - job->submitted_at < 60) {
        struct pm_buffer answer = {0};
        status = lab_call(lab, lab->controller[controller].serve, "POST", "/work", &body, 5, &answer);
        lab_say(lab, "user: POST /work %s (models %s) at quarry-%d: %d", job->id, job->type ? job->type : "null",
                controller, status);
        if (status == 200 || status == 201)
            read_state(job, &answer);
        pm_buffer_free(&answer);
        if (status == 200 || status == 201 || status == 400 || status == 422)
            break;
        lab_run(lab, 1);
        controller = (controller + 1) % lab->controllers;
    }
    job->status = status;
    job->accepted_at = lab_now(lab);
    pm_buffer_free(&body);
    return status;
}

int lab_poll(struct lab *lab, struct lab_job *job, int controller)
{
    struct pm_buffer answer = {0};
    char path[64];
    int status;

    snprintf(path, sizeof path, "/work/%s", job->id);
    status = lab_call(lab, lab->controller[controller].serve, "GET", path, NULL, 2, &answer);
    if (status == 200)
        read_state(job, &answer);
    lab_say(lab, "user: GET %s at quarry-%d: %d %s, done %u, running %u", path, controller, status,
            status == 200 ? job->state : "", job->done, job->running);
    pm_buffer_free(&answer);
    return status;
}

int lab_poll_any(struct lab *lab, struct lab_job *job)
{
    int status = -1;

    for (int i = 0; i < lab->controllers && status != 200; i++)
        if (lab->controller[i].pid > 0)
            status = lab_poll(lab, job, i);
    return status;
}

int lab_cancel(struct lab *lab, struct lab_job *job, int controller)
{
    struct pm_buffer answer = {0};
    char path[64];
    int status;

    snprintf(path, sizeof path, "/work/%s/abort", job->id);
    status = lab_call(lab, lab->controller[controller].serve, "POST", path, NULL, 5, &answer);
    if (status == 200) {
        read_state(job, &answer);
        if (!job->cancel_told_at)
            job->cancel_told_at = lab_now(lab);
    }
    lab_say(lab, "user: POST %s at quarry-%d: %d %s", path, controller, status, status == 200 ? job->state : "");
    pm_buffer_free(&answer);
    return status;
}
