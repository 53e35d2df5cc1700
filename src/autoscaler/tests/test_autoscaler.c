/* What is rented for what waits: the cheapest that fits, enough to be in time, and no more than the
 * machines that there are leave undone. */
#include "../../jobs/tests/job_fixtures.h"
#include "testing/fake_store.h"
#include "base/clock.h"
#include "autoscaler/autoscaler.h"

#include <ev.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

enum { NOW = 500 };

static struct pm_settings settings;
static struct pm_operator_settings op;
static struct pm_name_tables tables;
static struct pm_jobs *jobs;
static struct pm_workers *workers;
static struct pm_scheduler *plan;
static struct pm_autoscaler *fleet;
static uint64_t revision;

static int set_up(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    revision = 0;
    pm_operator_settings_defaults(&op);
    fixture_begin(&tables, &settings);
    pm_names_intern(tables.type_names, "large");
    tables.types[0] = (struct pm_type){
        .cpus = 8, .ram_gb = 32, .price = 0.4, .spot_price = 0.1, .ready_s = 20, .zones = 1};
    tables.types[1] = (struct pm_type){
        .cpus = 32, .ram_gb = 128, .price = 2, .spot_price = 0.6, .ready_s = 20, .zones = 1};
    tables.type_count = 2;
    jobs = pm_jobs_new(&tables);
    workers = pm_workers_new(&tables, jobs, FIXTURE_HOOKS);
    plan = pm_scheduler_new(&tables, jobs, workers, &op);
    fleet = pm_autoscaler_new(NULL, &tables, jobs, workers, plan, &op,
                              &(struct pm_autoscaler_hooks){0});
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    pm_autoscaler_free(fleet);
    pm_scheduler_free(plan);
    pm_workers_free(workers);
    pm_jobs_free(jobs);
    fixture_end(&tables);
    return 0;
}

static void wait_for(const char *id, enum pm_workload_kind form, uint32_t entries, double cpus,
                     double expected_s, double due_s)
{
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .kind = form,
                           .priority = form == PM_WORKLOAD_SERVICE ? PM_PRIORITY_PRODUCTION
                                                                   : PM_PRIORITY_NORMAL,
                           .task_count = entries,
                           .cpus = cpus,
                           .ram_gb = 1,
                           .spot = form == PM_WORKLOAD_ARRAY,
                           .estimated_run_s = expected_s,
                           .deadline_s = due_s,
                           .submitted_wall = NOW};

    fixture_feed(&tables, jobs, id, &spec, ++revision);
}

static void boot(const char *name, int type, bool spot)
{
    struct pm_machine *m = pm_workers_add(workers, name);

    pm_workers_set_type(workers, m, type);
    m->zone = 0;
    m->spot = spot;
    m->provider.rented_at = NOW - 5;
}

/* How many machines of that kind are asked for, and in all. */
static int asked(int type, bool spot, int *all)
{
    struct pm_scale_out_request rents[16];
    int n;
    int of_kind = 0;

    pm_scheduler_run(plan, NOW, NOW);
    n = pm_autoscaler_size(fleet, NOW, NOW, rents, 16);
    *all = 0;
    for (int i = 0; i < n; i++) {
        *all += rents[i].count;
        if (rents[i].type == type && rents[i].spot == spot)
            of_kind += rents[i].count;
    }
    return of_kind;
}

static void nothing_waits_nothing_is_rented(void **state)
{
    int all;

    (void)state;
    asked(0, true, &all);
    assert_int_equal(all, 0);
}

static void array_work_gets_the_cheapest_spot_machines(void **state)
{
    int all;

    (void)state;
    wait_for("job-1", PM_WORKLOAD_ARRAY, 8, 4, 60, 120); /* hardly more time than one run takes */
    assert_int_equal(asked(0, true, &all), 4);           /* two tasks each */
    assert_int_equal(all, 4);
}

/* Machines of the kind, rented that long ago; with `up`, they have come up. */
static void rented(const char *prefix, int count, int type, bool spot, double ago, bool up)
{
    for (int i = 0; i < count; i++) {
        char name[32];
        struct pm_machine *m;
        snprintf(name, sizeof name, "%s%03d", prefix, i);
        m = pm_workers_add(workers, name);
        pm_workers_set_type(workers, m, type);
        m->zone = 0;
        m->spot = spot;
        m->provider.rented_at = NOW - ago;
        if (up) {
            m->state = PM_MACHINE_UP;
            m->heartbeat.spot_interruption_at =
                NOW + 1; /* and will be taken again: no room there */
            m->heartbeat.last_message_at = NOW;
        }
    }
}

/* All that were rented are late. More of the kind would be up no sooner: another kind is rented in
 * their place. */
static void a_kind_that_is_late_is_replaced_by_another(void **state)
{
    int all;

    (void)state;
    rented("i-a", 40, 0, true, 60, false);
    wait_for("job-1", PM_WORKLOAD_ARRAY, 80, 4, 60, 120);
    assert_true(asked(1, true, &all) >= 8);
    assert_true(asked(0, true, &all) <= 1 + 0.15 * 40);
}

/* Where there is no other kind, the late ones are waited for; a few more tell when boots are well
 * again. Rented anew with each boot time that passed, all came at once in the end. */
static void a_late_kind_without_another_is_waited_for(void **state)
{
    int all;
    int probes;

    (void)state;
    tables.type_count = 1;
    tables.types[0].spot_price = tables.types[0].price;
    rented("i-a", 80, 0, true, 60, false);
    rented("i-b", 1, 0, false, 60, false);
    wait_for("job-1", PM_WORKLOAD_ARRAY, 150, 4, 60, 120);
    asked(0, true, &probes);
    assert_in_range(probes, 1, 2 + (int)(0.15 * 80));
    asked(0, true, &all); /* not again before a boot's time has passed */
    assert_int_equal(all, 0);
}

/* A single machine that others have overtaken is not counted on, and its kind is as good as any. */
static void a_machine_that_is_stuck_is_replaced(void **state)
{
    struct pm_machine *stuck;
    int all;

    (void)state;
    rented("i-a", 3, 0, true, 60, true);
    rented("i-b", 1, 0, true, 60, false);
    wait_for("job-1", PM_WORKLOAD_ARRAY, 2, 4, 60, 120);
    assert_int_equal(asked(0, true, &all), 1);
    /* It is paid for, and returned long before a slow kind would be. */
    stuck = pm_workers_find(workers, "i-b000");
    pm_autoscaler_mark_scale_in(fleet, NOW);
    assert_int_equal(stuck->state, PM_MACHINE_BOOTING);
    pm_autoscaler_mark_scale_in(fleet, NOW + 15);
    assert_int_equal(stuck->state, PM_MACHINE_RELEASING);
}

static void a_late_machine_is_kept_for_longer_but_not_for_ever(void **state)
{
    int all;
    const struct pm_machine *late;

    (void)state;
    rented("i-a", 10, 0, true, 60, false);
    wait_for("job-1", PM_WORKLOAD_ARRAY, 20, 4, 60, 120);
    asked(0, true, &all);
    late = pm_workers_find(workers, "i-a000");
    pm_autoscaler_mark_scale_in(fleet, NOW + 200);
    assert_int_equal(late->state, PM_MACHINE_BOOTING);
    pm_autoscaler_mark_scale_in(fleet, NOW + 300);
    assert_int_equal(late->state, PM_MACHINE_RELEASING);
}

/* Best-effort jobs that wait for room, on one machine that is full. */
static void wait_idly(const char *id, uint32_t entries)
{
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .priority = PM_PRIORITY_BEST_EFFORT,
                           .task_count = entries,
                           .cpus = 1,
                           .ram_gb = 1,
                           .spot = true,
                           .estimated_run_s = 300,
                           .deadline_s = -1,
                           .submitted_wall = NOW};

    fixture_feed(&tables, jobs, id, &spec, ++revision);
}

/* A guest's batch fills idle room: machines are rented for best-effort work only where the users
 * say how soon its class is to begin or to end. (They were rented to end 25,000 tasks in a minute.)
 */
static void idle_time_work_rents_none(void **state)
{
    int all;

    (void)state;
    boot("i-000001", 0, true);
    wait_idly("job-1", 2000);
    asked(0, true, &all);
    assert_int_equal(all, 0);
    settings.objective_count = 1;
    strcpy(settings.objectives[0].kind, "finished");
    strcpy(settings.objectives[0].class_name, "train");
    settings.objectives[0].within_s = 400;
    asked(0, true, &all);
    assert_true(all > 0);
}

/* On a deployment without any machine it gets one, or it would never begin. */
static void idle_time_work_gets_its_first_machine(void **state)
{
    int all;

    (void)state;
    wait_idly("job-1", 2000);
    asked(0, true, &all);
    assert_int_equal(all, 1);
}

/* On a cold start no replica runs yet: the services' reserve is rented with their own machines, not
 * once those are up. */
static void the_reserve_counts_replicas_that_wait(void **state)
{
    int all;

    (void)state;
    wait_for("job-1", PM_WORKLOAD_SERVICE, 100, 2, 0, -1);
    assert_int_equal(asked(0, false, &all), (int)ceil((200 + 0.3 * 200) / 8));
}

static void what_can_follow_on_the_same_machines_rents_none(void **state)
{
    int all;
    int hurried;
    int relaxed;

    (void)state;
    wait_for("job-1", PM_WORKLOAD_ARRAY, 8, 4, 20, 60);
    hurried = asked(0, true, &all);
    tear_down(state);
    set_up(state);
    wait_for("job-1", PM_WORKLOAD_ARRAY, 8, 4, 20, 600);
    relaxed = asked(0, true, &all);
    assert_true(relaxed >= 1); /* somebody has to do it */
    assert_true(relaxed < hurried);
}

/* The pool is large, and none of it may run the job: it waited until machines of the other zone had
 * idled for a minute, or for ever where these were in use. */
static void work_bound_to_a_zone_gets_a_machine_there(void **state)
{
    struct pm_job *job;
    int all;

    (void)state;
    settings.zone_count = 2;
    strcpy(settings.zone_names[0], "zone-0");
    strcpy(settings.zone_names[1], "zone-1");
    tables.types[0].zones = tables.types[1].zones = 3;
    rented("i-a", 8, 0, true, 60, true);
    rented("i-b", 8, 0, true, 5, false);
    wait_for("job-1", PM_WORKLOAD_ARRAY, 2, 2, 1, -1);
    job = pm_jobs_find(jobs, "job-1");
    asked(0, true, &all);
    assert_int_equal(all, 0); /* it may run in any zone */
    ((struct pm_spec *)job->spec)->zone = 1;
    assert_int_equal(asked(0, true, &all), 1);
    assert_int_equal(all, 1);
    for (guint i = 0; i < 8; i++) /* and where some of it is there, no more is rented */
        ((struct pm_machine *)g_ptr_array_index(pm_workers_all(workers), 8 + i))->zone = 1;
    asked(0, true, &all);
    assert_int_equal(all, 0);
}

static void booting_machines_count(void **state)
{
    int all;

    (void)state;
    wait_for("job-1", PM_WORKLOAD_ARRAY, 8, 4, 60, 120);
    for (int i = 0; i < 4; i++) {
        char name[16];
        snprintf(name, sizeof name, "i-%06d", i);
        boot(name, 0, true);
    }
    asked(0, true, &all);
    assert_int_equal(all, 0);
}

static void services_get_ordinary_machines(void **state)
{
    int all;

    (void)state;
    wait_for("job-1", PM_WORKLOAD_SERVICE, 4, 2, 0, -1);
    assert_true(asked(0, false, &all) >= 1);
    assert_int_equal(asked(0, true, &all), 0);
    assert_int_equal(asked(1, true, &all), 0);
}

/* Reviews a machine with a task on it in a zone that the leader before last heard `ago` seconds
 * ago, as it wrote `written` seconds ago; whether this leader heard that zone, and another one. */
static enum pm_machine_state reviewed(double ago, double written, bool here, bool elsewhere)
{
    struct pm_buf buf = {0};
    struct pm_machine *m = pm_workers_add(workers, "i-000001");
    struct pm_machine *other = pm_workers_add(workers, "i-000002");
    struct pm_spec spec = {
        .zone = -1, .allowed_types = 1, .task_count = 1, .cpus = 1, .deadline_s = -1};
    cbor_item_t *ledger;

    settings.lease_s = 44;
    settings.zone_count = 2;
    strcpy(settings.zone_names[1], "b");
    pm_workers_set_type(workers, m, 0);
    pm_workers_set_type(workers, other, 0);
    m->zone = 0;
    other->zone = 1;
    m->state = other->state = PM_MACHINE_UP;
    m->heartbeat.is_known = here;
    other->heartbeat.is_known = elsewhere;
    m->heartbeat.last_message_at = m->provider.rented_at = NOW - 10;
    other->heartbeat.last_message_at = other->provider.rented_at = NOW;
    pm_workers_add_placement(workers, fixture_feed(&tables, jobs, "job-1", &spec, ++revision), 0, m,
                             1, 1, PM_PLACEMENT_DURABLE, NOW);
    pm_put_map(&buf);
    pm_put_pair_number(&buf, "day", 9000 - written);
    pm_put_text(&buf, "heard");
    pm_put_map(&buf);
    pm_put_pair_number(&buf, "a", 9000 - ago);
    pm_put_end(&buf);
    pm_put_end(&buf);
    ledger = pm_cbor_parse(buf.data, buf.size);
    pm_autoscaler_decode_silent_zones(fleet, ledger, NOW - 5, 9000 - 5);
    pm_cbor_free(ledger);
    pm_buf_free(&buf);
    pm_autoscaler_set_writable(fleet, true, NOW);
    pm_autoscaler_mark_scale_in(fleet, NOW);
    return m->state;
}

/* A leader that came while a zone was cut off waited for a lease from its own begin, and half of
 * all replicas were missed meanwhile. */
static void a_zone_silent_for_a_lease_is_given_up(void **state)
{
    (void)state;
    assert_int_equal(reviewed(46, 20, false, true), PM_MACHINE_RELEASING);
}

static void a_zone_silent_for_less_is_waited_for(void **state)
{
    (void)state;
    assert_int_equal(reviewed(30, 10, false, true), PM_MACHINE_UP);
}

static void a_zone_that_reports_is_kept(void **state)
{
    (void)state;
    assert_int_equal(reviewed(46, 20, true, true), PM_MACHINE_UP);
}

/* The ledger may be old itself: a zone heard then may have been heard until just now. */
static void an_old_ledger_says_nothing(void **state)
{
    (void)state;
    assert_int_equal(reviewed(46, 45, false, true), PM_MACHINE_UP);
}

static void a_leader_that_hears_nobody_gives_up_nobody(void **state)
{
    (void)state;
    assert_int_equal(reviewed(46, 20, false, false), PM_MACHINE_UP);
}

/* Two hundred machines that idled at a time cost a tenth of a day on a large fleet; on a small one,
 * the next job needs the machine that the last one left. */
static void idle_machines_go_back_sooner_on_a_large_fleet(void **state)
{
    (void)state;
    op.idle_return_s = 25;
    assert_true(pm_autoscaler_idle_timeout_s(&op, 0) == 25 &&
                pm_autoscaler_idle_timeout_s(&op, 50) == 25);
    assert_true(pm_autoscaler_idle_timeout_s(&op, 200) == 12.5);
    assert_true(fabs(pm_autoscaler_idle_timeout_s(&op, 2250) - 7) < 1e-9);
}

static void reads_machine_types(void **state)
{
    struct pm_buf buf = {0};
    cbor_item_t *models;

    (void)state;
    pm_put_list(&buf);
    pm_put_map(&buf);
    pm_put_pair_text(&buf, "sku", "g9");
    pm_put_pair_number(&buf, "cpus", 96);
    pm_put_pair_count(&buf, "accelerators", 8); /* whole numbers are numbers too */
    pm_put_pair_number(&buf, "ram_gb", 768);
    pm_put_pair_number(&buf, "price", 12);
    pm_put_text(&buf, "rooms");
    pm_put_list(&buf);
    pm_put_text(&buf, "a");
    pm_put_text(&buf, "elsewhere");
    pm_put_end(&buf);
    pm_put_end(&buf);
    pm_put_end(&buf);
    models = pm_cbor_parse(buf.data, buf.size);
    assert_true(pm_machine_types_decode(&tables, models));
    assert_int_equal(tables.type_count, 3);
    assert_true(tables.types[2].gpus == 8);
    assert_int_equal(tables.types[2].zones, 1);
    assert_true(tables.types[2].spot_price == 12); /* none told: as dear as the other */
    pm_cbor_free(models);
    pm_buf_free(&buf);
    pm_put_list(&buf);
    pm_put_map(&buf);
    pm_put_end(&buf);
    pm_put_end(&buf);
    models = pm_cbor_parse(buf.data, buf.size);
    assert_false(pm_machine_types_decode(&tables, models));
    pm_cbor_free(models);
    pm_buf_free(&buf);
}

enum { LISTED = 6000, PAGE = 500 };

/* A cloud with a large fleet, which refuses every third request. */
static void on_cloud(void *arg, struct pm_http_request *req)
{
    int *requests = arg;
    struct pm_buf body = {0};
    const char *since = strstr(req->query, "since=i-");
    int first = since ? (int)strtol(since + strlen("since=i-"), NULL, 10) + 1 : 1;

    if (strcmp(req->path, "/machines") || ++*requests % 3 == 0) {
        pm_http_reply(req, 429, NULL, 0, 0);
        return;
    }
    pm_put_map(&body);
    pm_put_text(&body, "hosts");
    pm_put_list(&body);
    for (int i = first; i < first + PAGE && i <= LISTED; i++) {
        char name[32];
        snprintf(name, sizeof name, "i-%06d", i);
        pm_put_map(&body);
        pm_put_pair_text(&body, "name_id", name);
        pm_put_pair_text(&body, "model", "g8");
        pm_put_pair_text(&body, "room", "a");
        pm_put_pair_text(&body, "status", "running");
        pm_put_end(&body);
    }
    pm_put_end(&body);
    pm_put_pair_flag(&body, "has_next", first + PAGE <= LISTED);
    pm_put_end(&body);
    pm_http_reply(req, 200, body.data, body.size, 0);
    pm_buf_free(&body);
}

static bool is_all_listed(void *arg)
{
    pm_autoscaler_run(arg, pm_clock_monotonic(), 1e6);
    return pm_workers_find(workers, "i-006000") != NULL;
}

static void on_changed(void *arg)
{
    (void)arg;
}

static void on_types(void *arg, const cbor_item_t *models)
{
    (void)arg;
    (void)models;
}

/* The list of a large fleet takes more pages than the cloud answers at once: what is refused is
 * asked for again, where the list had got to. */
static void a_large_fleet_is_listed_page_by_page(void **state)
{
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    struct pm_http_client *http = pm_http_client_new(loop, 8);
    struct pm_http_server *cloud;
    struct pm_autoscaler *listing;
    int requests = 0;

    (void)state;
    snprintf(settings.cloud_addr, sizeof settings.cloud_addr, "127.0.0.1:%d",
             event_loop_free_port());
    settings.cloud_rps = 50;
    settings.inventory_lag_s = 4;
    cloud = pm_http_server_new(loop, settings.cloud_addr, 8, on_cloud, &requests);
    assert_non_null(cloud);
    listing = pm_autoscaler_new(
        http, &tables, jobs, workers, plan, &op,
        &(struct pm_autoscaler_hooks){.machine_types = on_types, .changed = on_changed});
    assert_true(event_loop_run_until(loop, is_all_listed, listing));
    assert_true(pm_workers_find(workers, "i-000001")->provider.is_listed);
    assert_in_range(requests, LISTED / PAGE, 2 * LISTED / PAGE);
    pm_http_client_free(http);
    pm_http_server_free(cloud);
    pm_autoscaler_free(listing);
    ev_loop_destroy(loop);
}

/* A cloud that has one large machine, unknown to the leader that has just come. */
static void on_small_cloud(void *arg, struct pm_http_request *req)
{
    int *rentals = arg;
    struct pm_buf body = {0};

    *rentals += req->method == PM_HTTP_POST;
    pm_put_map(&body);
    pm_put_text(&body, "hosts");
    pm_put_list(&body);
    if (req->method == PM_HTTP_GET) {
        pm_put_map(&body);
        pm_put_pair_text(&body, "name_id", "i-000001");
        pm_put_pair_text(&body, "model", "large");
        pm_put_pair_text(&body, "room", "a");
        pm_put_pair_flag(&body, "borrowed", true);
        pm_put_pair_text(&body, "status", "starting");
        pm_put_end(&body);
    }
    pm_put_end(&body);
    pm_put_pair_flag(&body, "has_next", false);
    pm_put_end(&body);
    pm_http_reply(req, 200, body.data, body.size, 0);
    pm_buf_free(&body);
}

struct turns {
    struct pm_autoscaler *fleet;
    int left;
};

static bool has_run_often(void *arg)
{
    struct turns *turns = arg;
    double now = pm_clock_monotonic();

    pm_scheduler_run(plan, now, now);
    pm_autoscaler_run(turns->fleet, now, now);
    return --turns->left <= 0;
}

/* What the leader before has rented is known once it is listed: until then nothing is rented. */
static void a_new_leader_reads_the_list_before_it_rents(void **state)
{
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    struct pm_http_client *http = pm_http_client_new(loop, 8);
    struct pm_http_server *cloud;
    struct turns turns = {.left = 200};
    int rentals = 0;

    (void)state;
    snprintf(settings.cloud_addr, sizeof settings.cloud_addr, "127.0.0.1:%d",
             event_loop_free_port());
    strcpy(settings.zone_names[0], "a");
    settings.cloud_rps = 50;
    settings.inventory_lag_s = 4;
    cloud = pm_http_server_new(loop, settings.cloud_addr, 8, on_small_cloud, &rentals);
    assert_non_null(cloud);
    turns.fleet = pm_autoscaler_new(
        http, &tables, jobs, workers, plan, &op,
        &(struct pm_autoscaler_hooks){.machine_types = on_types, .changed = on_changed});
    pm_autoscaler_decode_silent_zones(turns.fleet, NULL, pm_clock_monotonic(),
                                      0);                /* takes the lead */
    wait_for("job-1", PM_WORKLOAD_ARRAY, 8, 4, 60, 120); /* as much as that machine holds */
    assert_true(event_loop_run_until(loop, has_run_often, &turns));
    assert_true(pm_workers_find(workers, "i-000001")->provider.is_listed);
    assert_int_equal(rentals, 0);
    pm_http_client_free(http);
    pm_http_server_free(cloud);
    pm_autoscaler_free(turns.fleet);
    ev_loop_destroy(loop);
}

/* A machine that is lent reports to its holder. What its lender last heard of it, an answer to a
 * command after its last report, or commands without an answer, says nothing of it any more. */
static void a_machine_that_is_lent_is_judged_by_its_holder(void **state)
{
    struct pm_machine *lent = pm_workers_add(workers, "i-000001");
    struct pm_machine *other = pm_workers_add(workers, "i-000002");

    (void)state;
    settings.heartbeat_s = 5;
    for (int i = 0; i < 2; i++) {
        struct pm_machine *m = i ? other : lent;
        pm_workers_set_type(workers, m, 0);
        m->zone = 0;
        m->state = PM_MACHINE_UP;
        m->heartbeat.is_known = m->provider.is_listed = true;
        m->heartbeat.last_message_at = m->heartbeat.last_at = m->provider.rented_at = NOW;
    }
    lent->shard.owner = 1;
    lent->heartbeat.last_at = NOW - 60;
    lent->heartbeat.last_message_at = NOW - 59;
    assert_true(pm_machine_is_not_reporting(lent, &settings, NOW));
    pm_autoscaler_set_writable(fleet, true, NOW - 60);
    pm_autoscaler_mark_scale_in(fleet, NOW);
    assert_int_equal(lent->state, PM_MACHINE_UP);
    lent->heartbeat.last_at = lent->heartbeat.last_message_at;
    pm_machine_note_delivery_failure(lent, "a /do has no answer", NOW - 62);
    pm_machine_note_delivery_failure(lent, "a /do has no answer", NOW - 60);
    assert_true(pm_machine_is_unreachable(lent, NOW));
    pm_autoscaler_mark_scale_in(fleet, NOW);
    assert_int_equal(lent->state, PM_MACHINE_UP);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(nothing_waits_nothing_is_rented, set_up, tear_down),
        cmocka_unit_test_setup_teardown(array_work_gets_the_cheapest_spot_machines, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(what_can_follow_on_the_same_machines_rents_none, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_kind_that_is_late_is_replaced_by_another, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_late_kind_without_another_is_waited_for, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_machine_that_is_stuck_is_replaced, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_late_machine_is_kept_for_longer_but_not_for_ever, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_large_fleet_is_listed_page_by_page, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_new_leader_reads_the_list_before_it_rents, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(idle_time_work_rents_none, set_up, tear_down),
        cmocka_unit_test_setup_teardown(idle_time_work_gets_its_first_machine, set_up, tear_down),
        cmocka_unit_test_setup_teardown(the_reserve_counts_replicas_that_wait, set_up, tear_down),
        cmocka_unit_test_setup_teardown(work_bound_to_a_zone_gets_a_machine_there, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(booting_machines_count, set_up, tear_down),
        cmocka_unit_test_setup_teardown(services_get_ordinary_machines, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_zone_silent_for_a_lease_is_given_up, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_zone_silent_for_less_is_waited_for, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_zone_that_reports_is_kept, set_up, tear_down),
        cmocka_unit_test_setup_teardown(an_old_ledger_says_nothing, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_leader_that_hears_nobody_gives_up_nobody, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(idle_machines_go_back_sooner_on_a_large_fleet, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(reads_machine_types, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_machine_that_is_lent_is_judged_by_its_holder, set_up,
                                        tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
