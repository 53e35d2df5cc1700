#include "testing/cluster.h"
#include "base/clock.h"
#include "base/http.h"

#include <ev.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define LEASE_S 4.0
#define REPORT_S 0.5
#define CANCEL_LEASES 3.0 /* within so many leases a cancelled job is gone */
#define USERS_TICK_S 0.1
#define POLL_S 0.5
#define RETRY_S 0.5
#define REQUEST_S 2.0
#define REPEATS 0.1 /* share of a restless user's questions that repeat the submission */
#define STRANGE_JOB "job-999999"
#define STRANGE_S 1.0 /* so often they ask for a job that nobody submitted */
#define GANG_WAIT_S 10.0
#define GANG_PEER_S 1.0

enum { MACHINES_MOST = 8, ANSWER_MAX = 64 * 1024, OUTPUT_MAX = 256 * 1024, ADDRESS_SIZE = 64 };

struct user_job {
    struct cluster *cluster;
    char id[32];
    unsigned tasks;
    struct cluster_job job;
    char team[32], awaits[32];
    bool accepted, ended, abort, busy;
    bool repeat; /* the submission, though it was accepted */
    int ask;     /* the controller asked next */
    double next_at;
};

struct cluster {
    struct cluster_settings settings;
    struct ev_loop *loop;
    struct history *history;
    struct fake_store *state;
    struct fake_provider *fleet;
    struct relay *state_relay, *peer_relay[CLUSTER_CONTROLLERS_MAX];
    struct relay_controllers origins;
    char dir[64], operator_file[128];
    char name[CLUSTER_CONTROLLERS_MAX][16];
    char front[CLUSTER_CONTROLLERS_MAX][ADDRESS_SIZE];
    char back[CLUSTER_CONTROLLERS_MAX][ADDRESS_SIZE];
    char config[CLUSTER_CONTROLLERS_MAX][128];
    const char *front_text[CLUSTER_CONTROLLERS_MAX], *name_text[CLUSTER_CONTROLLERS_MAX];
    char leader[64];
    struct pm_http_client *client;
    GPtrArray *jobs;
    double load_every_s, load_at;
    double strange_at; /* steady: a job that nobody submitted was last asked for */
    ev_timer users;
    fake_store_observer *observer;
    void *observer_arg;
};

/* All of the machines' processors. */
static const struct cluster_team default_teams[] = {{"team", 64, 64, 0}};

static double cancel_s(const struct cluster *c)
{
    return CANCEL_LEASES * c->settings.lease_s;
}

/* ---- users ---- */

static void put_submission(const struct user_job *user, struct pm_buf *out)
{
    const struct cluster_job *job = &user->job;
    char zone[16];

    snprintf(zone, sizeof zone, "zone-%d", job->zone);
    pm_put_map(out);
    pm_put_pair_text(out, "name_id", user->id);
    pm_put_pair_text(out, "ledger", "batch");
    pm_put_pair_text(out, "desk", user->team);
    pm_put_pair_text(out, "form", job->form);
    pm_put_pair_text(out, "urgency", job->urgency);
    pm_put_pair_count(out, "entries", user->tasks);
    pm_put_pair_number(out, "cpus", job->cpus);
    pm_put_pair_number(out, "accelerators", job->accelerators);
    pm_put_pair_number(out, "ram_gb", 4);
    pm_put_pair_text(out, "bundle", "image");
    pm_put_pair_number(out, "size_gb", 0.1);
    pm_put_pair_flag(out, "same_place", false);
    pm_put_pair_flag(out, "spread", false);
    pm_put_pair_flag(out, "borrowed", true);
    if (job->zone >= 0)
        pm_put_pair_text(out, "room", zone);
    pm_put_pair_number(out, "expected_s", job->run_s);
    pm_put_pair_number(out, "bookmark_s", 0);
    pm_put_pair_number(out, "filing_s", 0);
    if (user->awaits[0]) {
        pm_put_text(out, "awaits");
        pm_put_list(out);
        pm_put_text(out, user->awaits);
        pm_put_end(out);
    }
    pm_put_end(out);
}

/* A restless user asks another controller each time, and now and then repeats the submission. */
static void choose_next(struct user_job *job)
{
    struct cluster *c = job->cluster;
    GRand *random = c->settings.random;

    if (!random)
        return;
    job->ask = g_rand_int_range(random, 0, c->settings.controllers);
    job->repeat = job->accepted && g_rand_double(random) < REPEATS;
    job->next_at -= g_rand_double(random) * POLL_S;
}

static void on_user_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct user_job *job = arg;
    struct cluster *c = job->cluster;
    cbor_item_t *answer = size ? pm_cbor_parse(body, size) : NULL;
    double now = pm_clock_monotonic();
    char text[16] = "";

    job->busy = false;
    job->next_at = now + POLL_S;
    if ((status == 200 || status == 201) &&
        pm_cbor_read_text(pm_cbor_get(answer, "status"), text, sizeof text)) {
        history_status_reported(c->history, job->id, job->tasks, text, now);
        job->accepted = true;
        job->ended |= !strcmp(text, "done") || !strcmp(text, "cancelled");
    } else {
        if (status == 404 && job->accepted)
            history_status_reported(c->history, job->id, job->tasks, "unknown", now);
        job->ask = (job->ask + 1) % c->settings.controllers;
        job->next_at = now + RETRY_S;
    }
    choose_next(job);
    pm_cbor_free(answer);
}

static void ask(struct user_job *job)
{
    struct cluster *c = job->cluster;
    struct pm_buf body = {0};
    char target[64] = "/work";

    if (!job->accepted || job->repeat)
        put_submission(job, &body);
    else
        snprintf(target, sizeof target, "/work/%s%s", job->id, job->abort ? "/abort" : "");
    job->busy = true;
    pm_http_call(c->client, c->front[job->ask], body.size || job->abort ? "POST" : "GET", target,
                 body.data, body.size, REQUEST_S, ANSWER_MAX, on_user_answer, job);
    pm_buf_free(&body);
}

const char *cluster_submit_job(struct cluster *c, const struct cluster_job *wanted)
{
    struct user_job *job = g_new0(struct user_job, 1);

    job->cluster = c;
    job->job = *wanted;
    job->tasks = wanted->tasks;
    g_strlcpy(job->team, wanted->team, sizeof job->team);
    if (wanted->awaits)
        g_strlcpy(job->awaits, wanted->awaits, sizeof job->awaits);
    job->ask = (int)c->jobs->len % c->settings.controllers;
    snprintf(job->id, sizeof job->id, "job-%04u%02d", c->jobs->len + 1, (int)(wanted->run_s * 10));
    history_job_submitted(c->history, job->id,
                          (struct history_job){.team = job->team,
                                               .cpus = wanted->cpus,
                                               .accelerators = wanted->accelerators,
                                               .zone = wanted->zone});
    fake_provider_describe_job(
        c->fleet, job->id,
        (struct fake_provider_job){wanted->tasks, wanted->cpus, !strcmp(wanted->form, "group")});
    g_ptr_array_add(c->jobs, job);
    return job->id;
}

const char *cluster_submit_array(struct cluster *c, unsigned tasks, double run_s)
{
    int zone = (int)(c->jobs->len + 1) % CLUSTER_ZONES;

    return cluster_submit_job(c, &(struct cluster_job){.team = default_teams[0].name,
                                                       .form = "array",
                                                       .urgency = "normal",
                                                       .tasks = tasks,
                                                       .cpus = 2,
                                                       .run_s = run_s,
                                                       .zone = zone});
}

void cluster_cancel(struct cluster *c, const char *id)
{
    for (guint i = 0; i < c->jobs->len; i++) {
        struct user_job *job = g_ptr_array_index(c->jobs, i);
        job->abort |= !strcmp(job->id, id);
    }
}

void cluster_cancel_any(struct cluster *c, unsigned choice)
{
    unsigned open = cluster_open_job_count(c);
    unsigned left = open ? choice % open : 0;

    for (guint i = 0; open && i < c->jobs->len; i++) {
        struct user_job *job = g_ptr_array_index(c->jobs, i);
        if (job->ended || left--)
            continue;
        job->abort = true;
        return;
    }
}

void cluster_cancel_services(struct cluster *c)
{
    for (guint i = 0; i < c->jobs->len; i++) {
        struct user_job *job = g_ptr_array_index(c->jobs, i);
        job->abort |= job->job.run_s <= 0;
    }
}

unsigned cluster_job_count(const struct cluster *c)
{
    return c->jobs->len;
}

unsigned cluster_open_job_count(const struct cluster *c)
{
    unsigned open = 0;

    for (guint i = 0; i < c->jobs->len; i++)
        open += !((const struct user_job *)g_ptr_array_index(c->jobs, i))->ended;
    return open;
}

void cluster_set_load(struct cluster *c, double every_s)
{
    c->load_every_s = every_s;
    c->load_at = 0;
}

static void on_strange_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct cluster *c = arg;

    (void)body;
    (void)size;
    if (status == 200)
        history_unknown_job_reported(c->history, STRANGE_JOB);
}

static void ask_for_strange_job(struct cluster *c, double now)
{
    int controller = g_rand_int_range(c->settings.random, 0, c->settings.controllers);

    c->strange_at = now;
    pm_http_call(c->client, c->front[controller], "GET", "/work/" STRANGE_JOB, NULL, 0, REQUEST_S,
                 ANSWER_MAX, on_strange_answer, c);
}

static void on_users_tick(struct ev_loop *loop, ev_timer *w, int events)
{
    struct cluster *c = w->data;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    if (c->load_every_s > 0 && now >= c->load_at) {
        cluster_submit_array(c, 2, 1);
        c->load_at = now + c->load_every_s;
    }
    if (c->settings.random && now - c->strange_at > STRANGE_S)
        ask_for_strange_job(c, now);
    for (guint i = 0; i < c->jobs->len; i++) {
        struct user_job *job = g_ptr_array_index(c->jobs, i);
        if (!job->ended && !job->busy && now >= job->next_at)
            ask(job);
    }
}

/* ---- processes ---- */

/* All clusters so far. They last as long as the test's process: what is under way in them outlives
 * a cluster. */
static GPtrArray *all_clusters;

static void write_config(struct cluster *c, int i)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text,
                           "host_name = \"%s\"\ndomain = \"zone-%d\"\nserve_on = \"%s\"\n"
                           "back = \"%s\"\n",
                           c->name[i], i % CLUSTER_ZONES, c->front[i], c->back[i]);
    for (int k = 0; k < c->settings.controllers; k++)
        if (k != i)
            g_string_append_printf(
                text, "[[peers]]\nhost_name = \"%s\"\ndomain = \"zone-%d\"\npeer_addr = \"%s\"\n",
                c->name[k], k % CLUSTER_ZONES, relay_addr(c->peer_relay[k]));
    g_string_append_printf(
        text,
        "[outside]\ncloud = \"%s\"\nstate = \"%s\"\n"
        "[settings]\nsize = %d\nzones = [\"zone-0\", \"zone-1\"]\ntime_bound_ms = 5.0\n"
        "[[settings.objectives]]\nkind = \"wait\"\nclass = \"batch\"\nwithin_s = 2.0\n"
        "share = 0.9\n"
        "[settings.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\n"
        "gang_peer_s = %g\ncancel_s = %g\n"
        "[settings.state]\nrps = 1000.0\nwrite_rps = 200.0\nvalue_kb = 16.0\ntxn_ops = 12\n"
        "[settings.cloud]\nrps = 10.0\nlist_lag_s = 0.5\n"
        "[settings.quota]\ncores = 1.0\nmem_mb = 512.0\nsockets = 900\n",
        fake_provider_addr(c->fleet), relay_addr(c->state_relay), c->settings.controllers, REPORT_S,
        c->settings.lease_s, GANG_WAIT_S, GANG_PEER_S, cancel_s(c));
    for (int k = 0; k < c->settings.team_count; k++)
        g_string_append_printf(text,
                               "[[settings.teams]]\nname = \"%s\"\ncpus = %.1f\n"
                               "cpus_max = %.1f\ngpus = 0.0\ngpus_max = %.1f\n",
                               c->settings.teams[k].name, c->settings.teams[k].cpus,
                               c->settings.teams[k].cpus_max,
                               c->settings.teams[k].accelerators_max);
    snprintf(c->config[i], sizeof c->config[i], "%s/%s.toml", c->dir, c->name[i]);
    g_file_set_contents(c->config[i], text->str, (gssize)text->len, NULL);
    g_string_free(text, TRUE);
}

void cluster_start(struct cluster *c, int controller)
{
    const char *daemon =
        !controller && c->settings.old_daemon ? c->settings.old_daemon : c->settings.daemon;
    char *argv[] = {(char *)daemon, "--config", c->config[controller], NULL, NULL, NULL};
    pid_t pid;

    if (c->settings.operator&& daemon == c->settings.daemon) {
        argv[3] = "--operator";
        argv[4] = c->operator_file;
    }
    pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); /* none outlives a test that fails */
        if (c->settings.quiet || c->settings.log_file) {
            const char *log = c->settings.log_file ? c->settings.log_file : "/dev/null";
            int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, STDERR_FILENO);
        }
        execv(daemon, argv);
        _exit(127);
    }
    c->origins.pid[controller] = pid;
}

void cluster_kill(struct cluster *c, int controller)
{
    if (!c->origins.pid[controller])
        return;
    kill(c->origins.pid[controller], SIGKILL);
    waitpid(c->origins.pid[controller], NULL, 0);
    c->origins.pid[controller] = 0;
}

void cluster_upgrade(struct cluster *c)
{
    c->settings.old_daemon = NULL;
    cluster_kill(c, 0);
    cluster_start(c, 0);
}

void cluster_pause(struct cluster *c, int controller, bool paused)
{
    if (c->origins.pid[controller]) /* 0 would mean this process's own group */
        kill(c->origins.pid[controller], paused ? SIGSTOP : SIGCONT);
}

static void on_state_change(void *arg, const char *key, const cbor_item_t *data, uint64_t revision)
{
    struct cluster *c = arg;
    char name[64] = "";
    uint64_t epoch = 0;

    if (c->observer)
        c->observer(c->observer_arg, key, data, revision);
    if (!data)
        return;
    pm_cbor_read_text(pm_cbor_get(data, "leader"), name, sizeof name);
    if (!strcmp(key, "p/epoch") && pm_cbor_read_count(pm_cbor_get(data, "epoch"), &epoch)) {
        history_epoch_advanced(c->history, epoch, name);
        g_strlcpy(c->leader, name, sizeof c->leader);
    }
    if (!strncmp(key, "p/b/", 4))
        history_shard_assigned(c->history, key + 4);
}

void cluster_observe(struct cluster *c, fake_store_observer *observer, void *arg)
{
    c->observer = observer;
    c->observer_arg = arg;
}

/* An address that no other cluster's workers or users have ever called: ports are soon used again,
 * so each cluster has loopback addresses of its own. */
static void make_address(char *out)
{
    unsigned process = (unsigned)getpid();

    snprintf(out, ADDRESS_SIZE, "127.%u.%u.%u:%d", 1 + process % 250, process / 250 % 250,
             all_clusters->len % 250 + 1, event_loop_free_port());
}

static void make_addresses(struct cluster *c)
{
    for (int i = 0; i < c->settings.controllers; i++) {
        const char *target[RELAY_CONTROLLERS_MAX];
        snprintf(c->name[i], sizeof c->name[i], "node-%d", i);
        make_address(c->front[i]);
        make_address(c->back[i]);
        c->front_text[i] = c->front[i];
        c->name_text[i] = c->name[i];
        for (int k = 0; k < RELAY_CONTROLLERS_MAX; k++)
            target[k] = c->back[i];
        c->peer_relay[i] = relay_new(c->loop, target, &c->origins);
    }
}

struct cluster *cluster_new(const struct cluster_settings *settings)
{
    struct cluster *c = g_new0(struct cluster, 1);
    const char *target[RELAY_CONTROLLERS_MAX];

    if (!all_clusters)
        all_clusters = g_ptr_array_new();
    g_ptr_array_add(all_clusters, c);
    c->settings = *settings;
    if (!settings->teams) {
        c->settings.teams = default_teams;
        c->settings.team_count = G_N_ELEMENTS(default_teams);
    }
    if (!settings->machines_most)
        c->settings.machines_most = MACHINES_MOST;
    c->origins.count = settings->controllers;
    c->loop = ev_loop_new(EVFLAG_AUTO);
    c->jobs = g_ptr_array_new();
    c->client = pm_http_client_new(c->loop, 64);
    if (settings->lease_s <= 0)
        c->settings.lease_s = LEASE_S;
    c->history = history_new(cancel_s(c));
    for (int i = 0; i < c->settings.team_count; i++)
        history_add_team(c->history, c->settings.teams[i].name, c->settings.teams[i].cpus_max,
                         c->settings.teams[i].accelerators_max);
    c->state = fake_store_new(c->loop);
    fake_store_expire_leases(c->state);
    fake_store_observe(c->state, on_state_change, c);
    for (int i = 0; i < RELAY_CONTROLLERS_MAX; i++)
        target[i] = fake_store_addr(c->state);
    c->state_relay = relay_new(c->loop, target, &c->origins);
    make_addresses(c);
    c->fleet = fake_provider_new(
        c->loop,
        &(struct fake_provider_settings){.controllers = settings->controllers,
                                         .zones = CLUSTER_ZONES,
                                         .machines_most = c->settings.machines_most,
                                         .report_s = REPORT_S,
                                         .lease_s = c->settings.lease_s,
                                         .gang_wait_s = GANG_WAIT_S,
                                         .gang_peer_s = GANG_PEER_S,
                                         .front = c->front_text,
                                         .name = c->name_text,
                                         .origins = &c->origins,
                                         .random = settings->random},
        c->history);
    g_strlcpy(c->dir, "/tmp/pumicemount-cluster-XXXXXX", sizeof c->dir);
    if (!g_mkdtemp(c->dir))
        g_error("no directory for the settings");
    snprintf(c->operator_file, sizeof c->operator_file, "%s/operators.yaml", c->dir);
    if (settings->operator)
        g_file_set_contents(c->operator_file, settings->operator, - 1, NULL);
    for (int i = 0; i < settings->controllers; i++)
        write_config(c, i);
    for (int i = 0; i < settings->controllers; i++)
        cluster_start(c, i);
    ev_timer_init(&c->users, on_users_tick, USERS_TICK_S, USERS_TICK_S);
    c->users.data = c;
    ev_timer_start(c->loop, &c->users);
    return c;
}

void cluster_free(struct cluster *c)
{
    for (int i = 0; i < c->settings.controllers; i++) {
        cluster_kill(c, i);
        g_unlink(c->config[i]);
    }
    g_unlink(c->operator_file);
    g_rmdir(c->dir);
    ev_timer_stop(c->loop, &c->users);
    fake_provider_free(c->fleet);
    for (int i = 0; i < c->settings.controllers; i++)
        relay_free(c->peer_relay[i]);
    relay_free(c->state_relay);
}

struct history *cluster_history(struct cluster *c)
{
    return c->history;
}

struct fake_store *cluster_store(struct cluster *c)
{
    return c->state;
}

struct fake_provider *cluster_provider(struct cluster *c)
{
    return c->fleet;
}

struct ev_loop *cluster_loop(struct cluster *c)
{
    return c->loop;
}

const char *cluster_settings_path(const struct cluster *c, int controller)
{
    return c->config[controller];
}

/* ---- cuts ---- */

void cluster_set_link_fault(struct cluster *c, int controller, enum cluster_link link, int to,
                            struct relay_fault cut)
{
    /* A peer's own connections to the controller carry its packets the other way round. */
    struct relay_fault mirrored = {cut.to_controller, cut.from_controller, cut.reset};

    if (link == CLUSTER_LINK_STORE) {
        relay_set_fault(c->state_relay, controller, cut);
    } else if (link == CLUSTER_LINK_PEER) {
        relay_set_fault(c->peer_relay[to], controller, cut);
        relay_set_fault(c->peer_relay[controller], to, mirrored);
    } else if (link == CLUSTER_LINK_ZONE) {
        fake_provider_set_zone_fault(c->fleet, controller, to, cut);
    } else {
        fake_provider_set_api_fault(c->fleet, controller, cut);
    }
}

void cluster_set_refused(struct cluster *c, int controller, bool refused)
{
    fake_store_set_second_access(c->state, FAKE_STORE_REFUSES);
    relay_set_target(c->state_relay, controller,
                     refused ? fake_store_second_addr(c->state) : fake_store_addr(c->state));
}

int cluster_shard_owner(const struct cluster *c)
{
    char key[32];

    for (int i = 0; i < c->settings.controllers; i++) {
        snprintf(key, sizeof key, "p/b/%s", c->name[i]);
        if (fake_store_revision(c->state, key))
            return i;
    }
    return -1;
}

void cluster_clear_link_faults(struct cluster *c)
{
    struct relay_fault none = {0};

    for (int i = 0; i < c->settings.controllers; i++) {
        cluster_set_link_fault(c, i, CLUSTER_LINK_STORE, 0, none);
        cluster_set_link_fault(c, i, CLUSTER_LINK_PROVIDER, 0, none);
        for (int k = 0; k < c->settings.controllers; k++)
            cluster_set_link_fault(c, i, CLUSTER_LINK_PEER, k, none);
        for (int k = 0; k < CLUSTER_ZONES; k++)
            cluster_set_link_fault(c, i, CLUSTER_LINK_ZONE, k, none);
    }
}

/* ---- time ---- */

static void on_nap(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)w;
    (void)events;
    ev_break(loop, EVBREAK_ONE);
}

bool cluster_run_until(struct cluster *c, bool (*holds)(struct cluster *), double seconds)
{
    double until = pm_clock_monotonic() + seconds;
    bool reached = false;
    ev_timer nap;

    ev_timer_init(&nap, on_nap, 0.02, 0.02);
    ev_timer_start(c->loop, &nap);
    while (!(reached = holds && holds(c)) && pm_clock_monotonic() < until)
        ev_run(c->loop, 0);
    ev_timer_stop(c->loop, &nap);
    return reached;
}

void cluster_run(struct cluster *c, double seconds)
{
    cluster_run_until(c, NULL, seconds);
}

int cluster_leader(const struct cluster *c)
{
    if (!fake_store_revision(c->state, "p/lead"))
        return -1;
    for (int i = 0; i < c->settings.controllers; i++)
        if (!strcmp(c->name[i], c->leader))
            return i;
    return -1;
}

bool cluster_is_idle(struct cluster *c)
{
    for (guint i = 0; i < c->jobs->len; i++)
        if (!((struct user_job *)g_ptr_array_index(c->jobs, i))->ended)
            return false;
    return cluster_leader(c) >= 0;
}

char *cluster_run_tool(struct cluster *c, const char *const *argv, int *exit_status)
{
    GString *output = g_string_new(NULL);
    int ends[2];
    int status = 0;
    pid_t pid;

    if (pipe2(ends, O_CLOEXEC))
        g_error("no pipe");
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    pid = fork();
    if (pid == 0) {
        dup2(ends[1], STDOUT_FILENO);
        dup2(ends[1], STDERR_FILENO);
        execv(argv[0], (char *const *)argv);
        _exit(127);
    }
    close(ends[1]);
    for (bool running = true; running;) {
        char data[4096];
        ssize_t n;
        cluster_run(c, 0.05);
        running = waitpid(pid, &status, WNOHANG) == 0;
        while ((n = read(ends[0], data, sizeof data)) > 0 && output->len < OUTPUT_MAX)
            g_string_append_len(output, data, n);
    }
    close(ends[0]);
    *exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return g_string_free(output, FALSE);
}
