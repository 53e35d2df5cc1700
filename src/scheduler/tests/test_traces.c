/* Replays the kept traces of the workers and placement slices (*.trace). A trace is a list of what
 * arrives, line by line; lines that begin with "> " are what the replica must say in return. The
 * first word of a line is a function below; blank lines and those that begin with # are for the
 * reader. Time comes from the trace, so the verdict is always the same. */
#include "../../jobs/tests/job_fixtures.h"
#include "base/protocol.h"
#include "scheduler/scheduler.h"
#include "workers/failures.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

struct world {
    struct pm_settings settings;
    struct pm_operator_settings op;
    struct pm_name_tables tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *plan;
    double now;
    uint64_t epoch, revision;
    GString *said;
};

static void on_ended(void *arg, struct pm_placement *place, enum pm_task_exit end, bool saved,
                     double now)
{
    static const char *const ends[] = {"", "done", "stopped", "error", "refused", "gang", "gone"};
    struct world *w = arg;

    (void)now;
    g_string_append_printf(w->said, "> ended %s/%u try %u on %s: %s%s\n", place->job->id,
                           place->task_index, place->attempt, place->machine->name, ends[end],
                           saved ? " saved" : "");
}

static void on_ran(void *arg, struct pm_placement *place, double now)
{
    (void)arg;
    (void)place;
    (void)now;
}

static void world_begin(struct world *w)
{
    memset(w, 0, sizeof *w);
    pm_operator_settings_defaults(&w->op);
    w->settings.store_txn_ops = 12;
    w->settings.store_value_kb = 16;
    w->settings.lease_s = 12;
    w->settings.heartbeat_s = 2;
    w->settings.zone_count = 2;
    strcpy(w->settings.zone_names[0], "east");
    strcpy(w->settings.zone_names[1], "west");
    pm_name_tables_init(&w->tables, &w->settings);
    w->jobs = pm_jobs_new(&w->tables);
    w->workers =
        pm_workers_new(&w->tables, w->jobs, &(struct pm_workers_hooks){on_ended, on_ran, w});
    w->plan = pm_scheduler_new(&w->tables, w->jobs, w->workers, &w->op);
    w->epoch = 1;
    w->revision = 1;
    w->now = 100;
    w->said = g_string_new("");
}

static void world_end(struct world *w)
{
    pm_scheduler_free(w->plan);
    pm_workers_free(w->workers);
    pm_jobs_free(w->jobs);
    fixture_end(&w->tables);
    g_string_free(w->said, TRUE);
}

/* The value of key=VALUE among the words, or `otherwise`. */
static const char *word(char **words, const char *key, const char *otherwise)
{
    size_t n = strlen(key);

    for (; *words; words++)
        if (!strncmp(*words, key, n) && (*words)[n] == '=')
            return *words + n + 1;
    return otherwise;
}

static double number(char **words, const char *key, double otherwise)
{
    const char *text = word(words, key, NULL);

    return text ? strtod(text, NULL) : otherwise;
}

static void do_type(struct world *w, char **words)
{
    int index = pm_names_intern(w->tables.type_names, words[1]);

    w->tables.types[index] = (struct pm_type){.cpus = number(words, "cpus", 16),
                                              .ram_gb = number(words, "ram", 64),
                                              .gpus = number(words, "gpus", 0),
                                              .local_gb = 40,
                                              .price = number(words, "price", 1),
                                              .spot_price = number(words, "price", 1) / 3,
                                              .ready_s = 20,
                                              .zones = 3};
    w->tables.type_count = pm_names_count(w->tables.type_names);
}

static void do_team(struct world *w, char **words)
{
    struct pm_team_setting *team = &w->settings.teams[w->settings.team_count++];

    g_strlcpy(team->name, words[1], sizeof team->name);
    team->cpus = number(words, "guaranteed", 0);
    team->cpus_max = number(words, "most", 1e12);
    team->gpus_max = number(words, "most_gpus", 1e12);
}

/* The state service tells this value of the job; frees it. */
static void feed_value(struct world *w, const char *id, struct pm_buf *buf)
{
    cbor_item_t *value = pm_cbor_parse(buf->data, buf->size);
    char key[64];

    assert_non_null(value);
    snprintf(key, sizeof key, "p/j/%s", id);
    pm_jobs_apply_put(w->jobs, key, value, ++w->revision);
    pm_cbor_free(value);
    pm_buf_free(buf);
}

static void feed_job(struct world *w, const char *id, const struct pm_spec *spec,
                     enum pm_job_state state)
{
    struct pm_buf buf = {0};

    pm_job_encode(&w->tables, spec, spec->task_count, state, true, &buf);
    feed_value(w, id, &buf);
}

/* done JOB: the state service tells that it is done, since now */
static void do_done(struct world *w, char **words)
{
    const struct pm_job done = {.task_count = 1, .ended_wall = 1000 + w->now};
    struct pm_buf buf = {0};

    w->tables.protocol_version = PM_PROTOCOL_END_TIMES;
    pm_job_encode_done(&w->tables, &done, false, &buf);
    feed_value(w, words[1], &buf);
}

/* A new process leads: it has the jobs as the state service told them, and no working state. */
static void do_new_leader(struct world *w, char **words)
{
    GPtrArray *active = pm_jobs_active(w->jobs);

    (void)words;
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        job->scheduling.waiting_since_wall = 0;
        job->scheduling.is_overdue_start = job->scheduling.is_starving = false;
    }
    pm_workers_reset(w->workers);
    pm_jobs_reset_work(w->jobs);
    pm_scheduler_reset(w->plan);
}

/* job ID team=T form=array|group|standing priority=... entries=N cpus=N ram=N needs=ID ... */
static void do_job(struct world *w, char **words)
{
    static const char *const forms[] = {"array", "group", "standing"};
    static const char *const priorities[] = {"best_effort", "normal", "urgent", "production"};
    struct pm_spec spec = {.zone = -1, .allowed_types = ~(uint64_t)0};
    const char *team = word(words, "team", "a");
    const char *form = word(words, "form", "array");
    const char *priority = word(words, "priority", "normal");

    for (int i = 0; i < w->settings.team_count; i++)
        if (!strcmp(w->settings.teams[i].name, team))
            spec.team = i;
    for (int i = 0; i < 3; i++)
        if (!strcmp(forms[i], form))
            spec.kind = (enum pm_workload_kind)i;
    for (int i = 0; i < 4; i++)
        if (!strcmp(priorities[i], priority))
            spec.priority = (enum pm_priority)i;
    spec.task_count = (uint32_t)number(words, "entries", 1);
    spec.cpus = number(words, "cpus", 4);
    spec.ram_gb = number(words, "ram", 4);
    spec.gpus = number(words, "gpus", 0);
    spec.image_gb = 1;
    spec.image = pm_names_intern(w->tables.image_names, word(words, "image", "img"));
    spec.class_index = pm_names_intern(w->tables.class_names, "class");
    spec.checkpoint_interval_s = number(words, "saves", 0);
    spec.checkpoint_duration_s = 2;
    spec.estimated_run_s = number(words, "expected", 60);
    spec.deadline_s = number(words, "due", -1);
    spec.spot = number(words, "spot", 0) > 0;
    spec.zone = pm_settings_find_zone(&w->settings, word(words, "room", ""));
    spec.same_zone = number(words, "same_place", 0) > 0;
    spec.spread_zones = number(words, "spread", 0) > 0;
    spec.submitted_wall = 1000 + w->now;
    if (word(words, "needs", NULL)) {
        GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
        g_ptr_array_add(ids, g_strdup(word(words, "needs", NULL)));
        pm_spec_set_dependencies(&w->tables, &spec, ids);
        g_ptr_array_free(ids, TRUE);
    }
    feed_job(w, words[1], &spec, PM_JOB_LIVE);
    g_free(spec.dependencies);
}

/* booting HOST type=T zone=Z */
static void do_booting(struct world *w, char **words)
{
    struct pm_machine *m = pm_workers_add(w->workers, words[1]);

    pm_workers_set_type(w->workers, m,
                        pm_names_find(w->tables.type_names, word(words, "type", "small")));
    m->zone = !strcmp(word(words, "zone", "east"), "west");
    m->provider.rented_at = w->now;
}

/* found JOB/INDEX:TRY HOST shift=N: a place as a new leader reads it from the state service */
static void do_found(struct world *w, char **words)
{
    char **part = g_strsplit_set(words[1], "/:", 3);
    struct pm_machine *m = pm_workers_add(w->workers, words[2]);

    pm_workers_add_placement(w->workers, pm_jobs_find(w->jobs, part[0]),
                             (uint32_t)strtoul(part[1], NULL, 10), m,
                             (uint32_t)strtoul(part[2], NULL, 10),
                             (uint64_t)number(words, "shift", 1), PM_PLACEMENT_DURABLE, w->now);
    m->state = PM_MACHINE_UP;
    m->heartbeat.last_message_at = w->now;
    g_strfreev(part);
}

/* The fields of a worker's report: see do_message. */
static cbor_item_t *read_message(struct world *w, char **words);

/* kills HOST shift.sequence number [ENTRY:TRY:STATUS]...: what is answered to this report without
 * orders */
static void say_orders(struct world *w, struct pm_buf *buf);

static void do_kills(struct world *w, char **words)
{
    struct pm_buf buf = {0};
    cbor_item_t *report = read_message(w, words);

    pm_workers_encode_cancel_kills(w->workers, report, &buf);
    say_orders(w, &buf);
    pm_cbor_free(report);
}

/* dies HOST: its release is confirmed */
static void do_dies(struct world *w, char **words)
{
    struct pm_machine *m = pm_workers_find(w->workers, words[1]);

    pm_workers_mark_lost(w->workers, m, w->now);
    pm_workers_remove(w->workers, m);
}

static void do_cancel(struct world *w, char **words)
{
    struct pm_job *job = pm_jobs_find(w->jobs, words[1]);
    struct pm_spec spec = *job->spec;

    feed_job(w, words[1], &spec, PM_JOB_CANCELLED);
}

/* report|direct HOST shift.sequence number token=N type=T zone=Z spot=0|1 [recall=S] [unlisted=1]
 * [ENTRY:TRY:STATUS]... */
static cbor_item_t *read_message(struct world *w, char **words)
{
    struct pm_buf buf = {0};
    unsigned long shift = 1;
    unsigned long sequence = 1;
    char *rest;
    cbor_item_t *report;

    shift = strtoul(words[2], &rest, 10);
    if (*rest == '.')
        sequence = strtoul(rest + 1, NULL, 10);
    pm_put_map(&buf);
    pm_put_pair_text(&buf, "host", words[1]);
    pm_put_pair_text(&buf, "endpoint", "127.0.0.1:9");
    pm_put_pair_text(&buf, "model", word(words, "type", "small"));
    pm_put_pair_text(&buf, "room", word(words, "zone", "east"));
    pm_put_pair_flag(&buf, "borrowed", number(words, "spot", 0) > 0);
    pm_put_pair_count(&buf, "shift", shift);
    pm_put_pair_count(&buf, "tally", sequence);
    pm_put_pair_count(&buf, "mandate", (uint64_t)number(words, "mandate", (double)w->epoch));
    if (word(words, "recall", NULL))
        pm_put_pair_number(&buf, "recall_s", number(words, "recall", 0));
    pm_put_text(&buf, "entries");
    pm_put_list(&buf);
    for (char **entry = words + 3; *entry; entry++) {
        char **part;
        if (!strchr(*entry, ':'))
            continue;
        part = g_strsplit(*entry, ":", 4);
        pm_put_map(&buf);
        pm_put_pair_text(&buf, "entry", part[0]);
        pm_put_pair_count(&buf, "try", (uint64_t)strtoul(part[1], NULL, 10));
        pm_put_pair_text(&buf, "status", part[2]);
        if (part[3])
            pm_put_pair_text(&buf, "cause", part[3]);
        pm_put_end(&buf);
        g_strfreev(part);
    }
    pm_put_end(&buf);
    pm_put_end(&buf);
    report = pm_cbor_parse(buf.data, buf.size);
    assert_non_null(report);
    pm_buf_free(&buf);
    return report;
}

static void do_message(struct world *w, char **words, enum pm_task_list_source kind)
{
    cbor_item_t *report = read_message(w, words);
    struct pm_machine *m;
    bool fresh;

    m = pm_workers_apply_heartbeat(w->workers, report, kind, w->epoch, w->now, &fresh);
    if (m && !number(words, "unlisted", 0))
        m->provider.is_listed = true; /* the cloud told of it */
    if (!m)
        g_string_append(w->said, "> malformed\n");
    else if (!fresh)
        g_string_append(w->said, "> late\n");
    pm_cbor_free(report);
}

static void say_orders(struct world *w, struct pm_buf *buf)
{
    cbor_item_t *orders = pm_cbor_parse(buf->data, buf->size);

    for (size_t i = 0; i < pm_cbor_length(orders); i++) {
        const cbor_item_t *order = pm_cbor_at(orders, i);
        char verb[16];
        char entry[64];
        uint64_t attempt;
        double leave;
        pm_cbor_read_text(pm_cbor_get(order, "verb"), verb, sizeof verb);
        pm_cbor_read_text(pm_cbor_get(order, "entry"), entry, sizeof entry);
        pm_cbor_read_count(pm_cbor_get(order, "try"), &attempt);
        g_string_append_printf(w->said, "> %s %s try %llu", verb, entry,
                               (unsigned long long)attempt);
        if (pm_cbor_read_number(pm_cbor_get(order, "leave_s"), &leave))
            g_string_append_printf(w->said, " leave %g", leave);
        g_string_append(w->said, "\n");
    }
    pm_cbor_free(orders);
    pm_buf_free(buf);
}

static void do_orders(struct world *w, char **words)
{
    struct pm_machine *m = pm_workers_find(w->workers, words[1]);
    bool direct = words[2] && !strcmp(words[2], "direct");
    struct pm_buf buf = {0};

    if (direct)
        pm_worker_push_begin(w->workers, m);
    pm_workers_encode_commands(m, direct, w->epoch, &buf);
    say_orders(w, &buf);
}

static void each_place(struct world *w, void (*visit)(struct world *, struct pm_placement *))
{
    GPtrArray *all = pm_workers_all(w->workers);

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        for (guint j = 0; m && j < m->placements->len; j++)
            visit(w, g_ptr_array_index(m->placements, j));
    }
}

static void say_place(struct world *w, struct pm_placement *place)
{
    static const char *const states[] = {"intent",  "durable", "fetching", "waiting",
                                         "running", "saving",  "ended"};

    g_string_append_printf(w->said, "> %s/%u try %u on %s %s%s\n", place->job->id,
                           place->task_index, place->attempt, place->machine->name,
                           states[place->state], place->should_stop ? " stop" : "");
}

static void make_durable(struct world *w, struct pm_placement *place)
{
    (void)w;
    if (place->state == PM_PLACEMENT_PROPOSED)
        place->state = PM_PLACEMENT_DURABLE;
}

static void clean_chunks(struct world *w)
{
    GPtrArray *active = pm_jobs_active(w->jobs);

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        for (int k = 0; k < job->chunk_count; k++)
            if (job->chunks[k])
                job->chunks[k]->write_back.dirty = false;
    }
}

static struct pm_machine *machine_of(const struct world *w, char **words)
{
    return pm_workers_find(w->workers, words[1]);
}

/* told JOB: cancelled, by a peer's word */
static void do_told(struct world *w, char **words)
{
    if (!pm_jobs_apply_cancellation(w->jobs, words[1], ++w->revision))
        g_string_append(w->said, "> known\n");
}

static void do_report(struct world *w, char **words)
{
    do_message(w, words, PM_SOURCE_HEARTBEAT);
}

static void do_direct(struct world *w, char **words)
{
    do_message(w, words, PM_SOURCE_PUSH);
}

static void do_places(struct world *w, char **words)
{
    (void)words;
    each_place(w, say_place);
}

static void do_plan(struct world *w, char **words)
{
    (void)words;
    pm_scheduler_run(w->plan, w->now, 1000 + w->now);
}

static void do_durable(struct world *w, char **words)
{
    (void)words;
    each_place(w, make_durable);
    clean_chunks(w);
}

static void do_wait(struct world *w, char **words)
{
    w->now += strtod(words[1], NULL);
}

static void do_epoch(struct world *w, char **words)
{
    w->epoch = strtoul(words[1], NULL, 10);
}

/* The /do that is open ends, or, with as=N, the one of that number. */
static void end_direct(struct world *w, char **words, int status)
{
    struct pm_machine *m = machine_of(w, words);
    uint64_t number_of = (uint64_t)number(words, "as", (double)m->push.in_flight);

    if (!pm_worker_push_done(m, number_of, w->epoch, status))
        g_string_append(w->said, "> not the open one\n");
    else if (status == PM_HTTP_NO_ANSWER)
        pm_machine_note_delivery_failure(m, "a /do has no answer", w->now);
}

/* unanswered HOST [as=N]: a /do has no answer */
static void do_unanswered(struct world *w, char **words)
{
    end_direct(w, words, PM_HTTP_NO_ANSWER);
}

/* answered HOST [as=N] */
static void do_answered(struct world *w, char **words)
{
    end_direct(w, words, 200);
}

/* lease_tasks JOB KEPT: how many a lease may take */
static void do_lease_tasks(struct world *w, char **words)
{
    const struct pm_job *job = pm_jobs_find(w->jobs, words[1]);

    g_string_append_printf(w->said, "> %u\n",
                           pm_scheduler_leasable_tasks(w->plan, job->spec, strtod(words[2], NULL)));
}

/* away JOB WIDTH: leased to another controller */
static void do_away(struct world *w, char **words)
{
    struct pm_job *job = pm_jobs_find(w->jobs, words[1]);

    job->delegated = true;
    job->parallelism = (uint32_t)strtoul(words[2], NULL, 10);
}

/* lease HOST: with no other controller since time 0 */
static void do_lease(struct world *w, char **words)
{
    bool lapsed = pm_workers_is_lease_expired(machine_of(w, words), 0, w->settings.lease_s, w->now);

    g_string_append(w->said, lapsed ? "> lapsed\n" : "> holds\n");
}

/* speaks HOST: do its reports come here? */
static void do_speaks(struct world *w, char **words)
{
    bool mute = pm_machine_is_not_reporting(machine_of(w, words), &w->settings, w->now);

    g_string_append(w->said, mute ? "> mute\n" : "> speaks\n");
}

static void do_answer(struct world *w, char **words)
{
    pm_machine_note_ack(machine_of(w, words), w->epoch, w->now);
}

/* hears HOST: does what we send arrive there? */
static void do_hears(struct world *w, char **words)
{
    if (pm_machine_is_unreachable(machine_of(w, words), w->now))
        g_string_append(w->said, "> deaf\n");
    else
        g_string_append(w->said,
                        machine_of(w, words)->delivery.failures ? "> unsure\n" : "> hears\n");
}

/* fault HOST: is the machine to be given up? */
static void do_fault(struct world *w, char **words)
{
    bool faulty = pm_failures_is_machine_faulty(machine_of(w, words));

    g_string_append(w->said, faulty ? "> faulty\n" : "> sound\n");
}

/* broken JOB: does it fail wherever it runs? */
static void do_broken(struct world *w, char **words)
{
    bool failing = pm_failures_is_job_failing(pm_jobs_find(w->jobs, words[1]));

    g_string_append(w->said, failing ? "> failing\n" : "> sound\n");
}

/* wants: what the last plan found no room for, which is what others are stopped and machines are
 * rented for */
static void do_wants(struct world *w, char **words)
{
    const GArray *wants = pm_scheduler_unmet_demand(w->plan);

    (void)words;
    for (guint i = 0; i < wants->len; i++) {
        const struct pm_unmet_demand *want = &g_array_index(wants, struct pm_unmet_demand, i);
        g_string_append_printf(w->said, "> %s %u\n", want->job->id, want->tasks);
    }
}

/* check: what comes before the write of placements; says how often a limit was seen broken so far
 */
static void do_check(struct world *w, char **words)
{
    (void)words;
    pm_scheduler_recheck_quota(w->plan, w->now);
    if (pm_scheduler_quota_violations(w->plan))
        g_string_append_printf(w->said, "> %llu violations\n",
                               (unsigned long long)pm_scheduler_quota_violations(w->plan));
}

static void do_lapsed(struct world *w, char **words)
{
    pm_workers_mark_lost(w->workers, machine_of(w, words), w->now);
}

static void step(struct world *w, char **words)
{
    static const struct {
        const char *verb;
        void (*run)(struct world *w, char **words);
    } steps[] = {
        {"type", do_type},         {"team", do_team},
        {"job", do_job},           {"booting", do_booting},
        {"found", do_found},       {"cancel", do_cancel},
        {"done", do_done},         {"new_leader", do_new_leader},
        {"told", do_told},         {"kills", do_kills},
        {"dies", do_dies},         {"report", do_report},
        {"direct", do_direct},     {"orders", do_orders},
        {"places", do_places},     {"plan", do_plan},
        {"durable", do_durable},   {"wait", do_wait},
        {"epoch", do_epoch},       {"unanswered", do_unanswered},
        {"answered", do_answered}, {"lease_tasks", do_lease_tasks},
        {"away", do_away},         {"lease", do_lease},
        {"speaks", do_speaks},     {"answer", do_answer},
        {"hears", do_hears},       {"lapsed", do_lapsed},
        {"fault", do_fault},       {"broken", do_broken},
        {"wants", do_wants},       {"check", do_check},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        if (!strcmp(steps[i].verb, words[0])) {
            steps[i].run(w, words);
            return;
        }
    }
    fail_msg("unknown word in a trace: %s", words[0]);
}

static void replay(const char *path)
{
    struct world world;
    struct world *w = &world;
    char *text;
    char **lines;
    GString *expected = g_string_new("");
    int number_of_checks = 0;

    assert_true(g_file_get_contents(path, &text, NULL, NULL));
    lines = g_strsplit(text, "\n", -1);
    world_begin(w);
    for (int i = 0; lines[i]; i++) {
        char **words;
        if (!lines[i][0] || lines[i][0] == '#')
            continue;
        g_string_truncate(w->said, 0);
        g_string_truncate(expected, 0);
        words = g_strsplit(lines[i], " ", -1);
        step(w, words);
        g_strfreev(words);
        while (lines[i + 1] && lines[i + 1][0] == '>')
            g_string_append_printf(expected, "%s\n", lines[++i]);
        number_of_checks += expected->len > 0;
        if (strcmp(w->said->str, expected->str))
            fail_msg("%s:%d: said\n%sexpected\n%s", path, i + 1, w->said->str, expected->str);
    }
    assert_true(number_of_checks > 0); /* a trace that expects nothing checks nothing */
    world_end(w);
    g_string_free(expected, TRUE);
    g_strfreev(lines);
    g_free(text);
}

static void replay_slice(const char *slice)
{
    char *dir = g_strdup_printf("src/%s/tests", slice);
    GDir *open = g_dir_open(dir, 0, NULL);
    const char *name;
    int n = 0;

    assert_non_null(open);
    while ((name = g_dir_read_name(open))) {
        char *path;
        if (!g_str_has_suffix(name, ".trace"))
            continue;
        path = g_build_filename(dir, name, NULL);
        print_message("%s\n", path);
        replay(path);
        g_free(path);
        n++;
    }
    assert_true(n > 0);
    g_dir_close(open);
    g_free(dir);
}

static void workers_traces(void **state)
{
    (void)state;
    replay_slice("workers");
}

static void placement_traces(void **state)
{
    (void)state;
    replay_slice("scheduler");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(workers_traces),
        cmocka_unit_test(placement_traces),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
