/* pumicectl against real controllers in failed states: what it prints, and its exit status. */
#include "testing/cluster.h"
#include "base/http.h"

#include <glib.h>
#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define SOON_S 60.0

static char record_dir[] = "/tmp/pumicectl-record-XXXXXX";

/* Owned by the caller, for as long as the cluster lasts. */
static char *make_operators(void)
{
    assert_non_null(g_mkdtemp(record_dir));
    return g_strdup_printf("links:\n  observe: true\n  decide: true\n  probe_s: 0.5\n"
                           "  down_s: 1\n  expire_s: 30\n"
                           "duties:\n  fence: true\n  ttl_s: 2\n  clean_after_s: 4\n"
                           "  record_dir: %s\n",
                           record_dir);
}

static struct cluster *cluster;

static bool has_begun(struct cluster *c)
{
    return cluster_leader(c) >= 0 && history_starts(cluster_history(c)) >= 2;
}

static int set_up(void **arg)
{
    static char *operators; /* a cluster restarts its controllers with it */

    (void)arg;
    operators = make_operators();
    cluster = cluster_new(&(struct cluster_settings){.controllers = 3,
                                                     .daemon = PM_DAEMON,
                                                     .operator= operators,
                                                     .quiet = !g_getenv("PM_TEST_LOG")});
    cluster_load(cluster, 0.5);
    return cluster_until(cluster, has_begun, SOON_S) ? 0 : -1;
}

/* The paths of the record's files, in order, and NULL. */
static GPtrArray *list_records(void)
{
    GDir *dir = g_dir_open(record_dir, 0, NULL);
    GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
    const char *name;

    while ((name = g_dir_read_name(dir)))
        g_ptr_array_add(paths, g_build_filename(record_dir, name, NULL));
    g_dir_close(dir);
    return paths;
}

static int tear_down(void **arg)
{
    GPtrArray *paths;

    (void)arg;
    cluster_free(cluster);
    paths = list_records();
    for (guint i = 0; i < paths->len; i++)
        unlink(g_ptr_array_index(paths, i));
    g_ptr_array_free(paths, TRUE);
    return rmdir(record_dir);
}

/* Runs the tool with the settings of that controller. */
static char *run(int controller, const char *command, const char *argument, const char *format,
                 int *status)
{
    const char *argv[] = {PM_TOOL,    "--config", cluster_config(cluster, controller),
                          "--format", format,     "--timeout",
                          "1.5",      command,    argument,
                          NULL};

    return cluster_run_tool(cluster, argv, status);
}

static json_t *load_json(int controller, const char *command, const char *argument, int *status)
{
    char *text = run(controller, command, argument, "json", status);
    json_t *document = json_loads(text, 0, NULL);

    g_free(text);
    assert_non_null(document);
    return document;
}

static json_t *run_json(int controller, const char *command, const char *argument, int expected)
{
    int status;
    json_t *document = load_json(controller, command, argument, &status);

    if (status != expected)
        json_dumpf(json_object_get(document, "problems"), stderr, JSON_INDENT(1));
    assert_int_equal(status, expected);
    return document;
}

/* Until the command, run again and again, has that exit status. */
static void wait_for_status(const char *command, int expected)
{
    int status = -1;
    char *text = NULL;

    for (int i = 0; i < 60 && status != expected; i++) {
        g_free(text);
        cluster_run(cluster, 0.5);
        text = run(0, command, NULL, "text", &status);
    }
    if (status != expected)
        fprintf(stderr, "%s\n", text);
    assert_int_equal(status, expected);
    g_free(text);
}

static const char *text_in(const json_t *object, const char *key)
{
    return json_string_value(json_object_get(object, key));
}

static void all_is_well(void **arg)
{
    char leader[16];
    json_t *document;

    (void)arg;
    wait_for_status("status", 0);
    wait_for_status("links", 0);
    wait_for_status("duties", 0);
    document = run_json(1, "status", NULL, 0);
    snprintf(leader, sizeof leader, "node-%d", cluster_leader(cluster));
    assert_string_equal(text_in(document, "leader"), leader);
    assert_string_equal(text_in(json_object_get(document, "state_service"), "leader"), leader);
    assert_int_equal(json_array_size(json_object_get(document, "controllers")), 3);
    json_decref(document);
}

static bool find_link(const json_t *document, const char *from, const char *to, const char *state)
{
    const json_t *links = json_object_get(document, "links");

    for (size_t i = 0; i < json_array_size(links); i++) {
        const json_t *link = json_array_get(links, i);
        if (!strcmp(text_in(link, "from"), from) && !strcmp(text_in(link, "to"), to) &&
            !strcmp(text_in(link, "state"), state))
            return true;
    }
    return false;
}

static void tells_which_link_is_cut(void **arg)
{
    struct cut black_hole = {.from_controller = true, .to_controller = true};
    int follower = (cluster_leader(cluster) + 1) % 3;
    char name[16];
    json_t *document = NULL;
    bool found = false;
    int status = 0;

    (void)arg;
    snprintf(name, sizeof name, "node-%d", follower);
    cluster_cut(cluster, follower, CLUSTER_STATE, 0, black_hole);
    for (int i = 0; i < 60 && !found; i++) {
        json_decref(document);
        cluster_run(cluster, 0.5);
        document = load_json(follower, "links", NULL, &status);
        found = find_link(document, name, "state service", "down");
    }
    assert_true(found);
    assert_int_equal(status, 1);
    json_decref(document);
    cluster_heal(cluster);
    wait_for_status("links", 0);
}

/* A controller that is gone: the others tell what they knew of it, marked as second-hand. */
static void tells_what_others_know_of_a_dead_one(void **arg)
{
    int dead = (cluster_leader(cluster) + 1) % 3;
    int status;
    char told[32];
    char *text;

    (void)arg;
    cluster_kill(cluster, dead);
    text = run(dead, "links", NULL, "text", &status);
    assert_int_equal(status, 1);
    assert_non_null(strstr(text, "2 of 3 controllers answered: what follows is not whole"));
    snprintf(told, sizeof told, "told by node-");
    assert_non_null(strstr(text, told));
    snprintf(told, sizeof told, "controller node-%d at", dead);
    assert_non_null(strstr(text, told));
    g_free(text);
    cluster_start(cluster, dead);
    wait_for_status("status", 0);
}

static void says_why_a_job_waits(void **arg)
{
    json_t *document;
    const json_t *answer;
    const json_t *reasons;
    const char *reason;
    const char *job;

    (void)arg;
    cluster_load(cluster, 0);
    job = cluster_submit(cluster, 400, 9.9); /* more than the machines and the limit hold */
    cluster_run(cluster, 4);
    document = run_json(0, "why", job, 0);
    assert_true(json_is_true(json_object_get(document, "known")));
    answer = json_object_get(document, "answer");
    assert_int_equal(json_integer_value(json_object_get(answer, "tasks")), 400);
    reasons = json_object_get(answer, "reasons");
    assert_true(json_array_size(reasons) > 0);
    reason = text_in(json_array_get(reasons, 0), "reason");
    assert_true(!strcmp(reason, "no-room") || !strcmp(reason, "team-limit"));
    json_decref(document);
    cluster_abort(cluster, job);
    cluster_load(cluster, 0.5);
    document = run_json(0, "why", "job-999999", 1);
    assert_true(json_is_false(json_object_get(document, "known")));
    json_decref(document);
}

static void tells_of_an_unreachable_state_service(void **arg)
{
    json_t *document;

    (void)arg;
    fake_state_outage(cluster_state(cluster), true);
    cluster_run(cluster, 2);
    document = run_json(0, "status", NULL, 1);
    assert_true(
        json_is_false(json_object_get(json_object_get(document, "state_service"), "reached")));
    assert_int_equal(json_array_size(json_object_get(document, "controllers")), 3);
    json_decref(document);
    fake_state_outage(cluster_state(cluster), false);
    wait_for_status("status", 0);
    wait_for_status("duties", 0); /* the leader is fit again, as the tests after this one expect */
}

/* ---- duties ---- */

/* Of that duty, as `duties` tells it; borrowed from the document. */
static const json_t *find_single_duty(const json_t *document, const char *name)
{
    const json_t *duties = json_object_get(document, "single_duties");

    for (size_t i = 0; i < json_array_size(duties); i++)
        if (!strcmp(text_in(json_array_get(duties, i), "duty"), name))
            return json_array_get(duties, i);
    fail_msg("no duty %s", name);
    return NULL;
}

static json_t *drain(const char *duty, int expected)
{
    const char *argv[] = {PM_TOOL,    "--config", cluster_config(cluster, 0),
                          "--format", "json",     "--timeout",
                          "8",        "duty",     "drain",
                          duty,       NULL};
    int status;
    char *text = cluster_run_tool(cluster, argv, &status);
    json_t *document = json_loads(text, 0, NULL);

    if (status != expected)
        fprintf(stderr, "%s\n", text);
    assert_int_equal(status, expected);
    assert_non_null(document);
    g_free(text);
    return document;
}

static bool clean_is_held(struct cluster *c)
{
    return fake_state_revision(cluster_state(c), "p/duty/clean") > 0;
}

static void tells_who_holds_each_duty(void **arg)
{
    char leader[16];
    json_t *document;
    const json_t *duty;

    (void)arg;
    assert_true(cluster_until(cluster, clean_is_held, SOON_S));
    document = run_json(2, "duties", NULL, 0);
    snprintf(leader, sizeof leader, "node-%d", cluster_leader(cluster));
    duty = find_single_duty(document, "return");
    assert_string_equal(text_in(duty, "holder"), leader);
    assert_int_equal(json_integer_value(json_object_get(duty, "token")),
                     fake_state_revision(cluster_state(cluster), "p/duty/return"));
    duty = find_single_duty(document, "clean");
    assert_string_not_equal(text_in(duty, "holder"), ""); /* not the leader's if others are there */
    json_decref(document);
}

/* Who rents leads: the lead passes on with the duty, and the work goes on. */
static void drains_the_duty_of_renting(void **arg)
{
    int before = cluster_leader(cluster);
    uint64_t token = fake_state_revision(cluster_state(cluster), "p/duty/rent");
    json_t *document;

    (void)arg;
    document = drain("rent", 0);
    assert_int_not_equal(cluster_leader(cluster), before);
    assert_true(fake_state_revision(cluster_state(cluster), "p/duty/rent") > token);
    assert_string_equal(text_in(document, "outcome"), "its holder has given it up");
    json_decref(document);
    assert_int_equal(fake_state_revision(cluster_state(cluster), "p/drain/rent"), 0);
}

/* Two operators at the same moment: the duty passes on once, and each is told. */
static void two_operators_drain_once(void **arg)
{
    char *command = g_strdup_printf("for i in 1 2; do %s --config %s --timeout 4 --format json "
                                    "duty drain clean & done; wait",
                                    PM_TOOL, cluster_config(cluster, 1));
    const char *argv[] = {"/bin/sh", "-c", command, NULL};
    uint64_t token = fake_state_revision(cluster_state(cluster), "p/duty/clean");
    unsigned asked = 0;
    unsigned refused = 0;
    int status;
    char *text;

    (void)arg;
    text = cluster_run_tool(cluster, argv, &status);
    for (const char *at = text; (at = strstr(at, "\"outcome\"")); at++) {
        asked += g_str_has_prefix(at, "\"outcome\": \"its holder has given it up") ||
                 g_str_has_prefix(at, "\"outcome\": \"its holder is asked");
        refused += g_str_has_prefix(at, "\"outcome\": \"its holder was asked before") ||
                   g_str_has_prefix(at, "\"outcome\": \"it has passed on") ||
                   g_str_has_prefix(at, "\"outcome\": \"nobody holds it");
    }
    assert_int_equal(asked, 1);
    assert_int_equal(refused, 1);
    assert_true(cluster_until(cluster, clean_is_held, SOON_S));
    assert_true(fake_state_revision(cluster_state(cluster), "p/duty/clean") > token);
    g_free(text);
    g_free(command);
}

static void refuses_to_drain_without_the_state_service(void **arg)
{
    uint64_t token = fake_state_revision(cluster_state(cluster), "p/duty/rent");
    json_t *document;

    (void)arg;
    fake_state_outage(cluster_state(cluster), true);
    document = drain("rent", 1);
    assert_non_null(strstr(text_in(document, "outcome"), "nothing was changed"));
    json_decref(document);
    fake_state_outage(cluster_state(cluster), false);
    wait_for_status("status", 0);
    assert_true(fake_state_revision(cluster_state(cluster), "p/duty/rent") >= token);
}

static bool ghost_is_gone(struct cluster *c)
{
    return !fake_state_revision(cluster_state(c), "p/links/ghost");
}

/* What the dry run tells is what the holder of the duty then does. */
static void tells_what_is_cleaned(void **arg)
{
    const char *argv[] = {PM_TOOL,     "--config", cluster_config(cluster, 0),
                          "--format",  "json",     "cleanup",
                          "--dry-run", NULL};
    json_t *document;
    int status;
    char *text;

    (void)arg;
    fake_state_put_number(cluster_state(cluster), "p/links/ghost", "nonsense", 1);
    cluster_run(cluster, 0.5);
    text = cluster_run_tool(cluster, argv, &status);
    document = json_loads(text, 0, NULL);
    assert_int_equal(status, 0);
    assert_int_equal(json_array_size(json_object_get(document, "keys")), 1);
    assert_string_equal(text_in(json_array_get(json_object_get(document, "keys"), 0), "key"),
                        "p/links/ghost");
    assert_false(ghost_is_gone(cluster));
    assert_true(cluster_until(cluster, ghost_is_gone, SOON_S));
    json_decref(document);
    g_free(text);
}

/* The files of the controllers that run are read to the last entry, and told to be open. */
static void reads_the_record(void **arg)
{
    GPtrArray *paths = list_records();
    bool rented = false;

    (void)arg;
    assert_true(paths->len >= 2);
    for (guint i = 0; i < paths->len; i++) {
        const char *list[] = {
            PM_TOOL, "--format", "json", "record", "list", g_ptr_array_index(paths, i), NULL};
        const char *verify[] = {PM_TOOL, "record", "verify", g_ptr_array_index(paths, i), NULL};
        int status;
        char *text = cluster_run_tool(cluster, list, &status);
        if (status != 1)
            fprintf(stderr, "%s\n", text);
        assert_int_equal(status, 1);
        assert_non_null(strstr(text, "it was never closed"));
        rented |= strstr(text, "\"event\": \"sent\"") && strstr(text, "\"subject\": \"rent-");
        g_free(text);
        text = cluster_run_tool(cluster, verify, &status);
        assert_int_equal(status, 1);
        assert_non_null(strstr(text, "read to its last whole entry"));
        g_free(text);
    }
    assert_true(rented);
    g_ptr_array_free(paths, TRUE);
}

static void refuses_wrong_use(void **arg)
{
    static const char *const wrong[][2] = {
        {"nonsense", NULL},   {"why", NULL},     {"why", "not-a-job"},
        {"status", "more"},   {"duty", "drain"}, {"duty", "nonsense"},
        {"record", "verify"}, {"record", NULL},  {"cleanup", NULL}};
    int status;

    (void)arg;
    for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
        g_free(run(0, wrong[i][0], wrong[i][1], "text", &status));
        assert_int_equal(status, 2);
    }
    g_free(run(0, "status", NULL, "pictures", &status));
    assert_int_equal(status, 2);
}

/* Bodies that are no CBOR, no map, or steer a terminal. */
static void on_hostile(void *arg, struct pm_http_request *req)
{
    static const char *const bodies[] = {"\xff\xff\xff", "\x83\x01\x02\x03",
                                         "\xa1\x66leader\x64\x1b[2J"};
    unsigned *turn = arg;

    pm_http_reply(req, 200, bodies[*turn % 3], strlen(bodies[*turn % 3]), 0);
    ++*turn;
}

static void survives_hostile_answers(void **arg)
{
    struct ev_loop *loop = cluster_loop(cluster);
    char *config;
    char path[] = "/tmp/pumicectl-test-XXXXXX";
    char addr[64];
    unsigned turn = 0;
    int status;
    gsize size;
    char *text;
    struct pm_http_server *server;

    (void)arg;
    snprintf(addr, sizeof addr, "127.0.0.1:%d", fake_free_port());
    server = pm_http_server_new(loop, addr, 16, on_hostile, &turn);
    assert_non_null(server);
    assert_true(g_file_get_contents(cluster_config(cluster, 0), &config, &size, NULL));
    GString *changed = g_string_new(config);
    const char *lines[] = {"back = \"", "peer_addr = \"", "state = \""};
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        for (char *at = strstr(changed->str, lines[i]); at; at = strstr(at + 1, lines[i])) {
            gssize from = at - changed->str + (gssize)strlen(lines[i]);
            gssize length = (gssize)strcspn(changed->str + from, "\"");
            g_string_erase(changed, from, length);
            g_string_insert(changed, from, addr);
            at = changed->str + from;
        }
    }
    close(g_mkstemp(path));
    g_file_set_contents(path, changed->str, -1, NULL);
    const char *argv[] = {PM_TOOL, "--config", path, "--timeout", "1", "status", NULL};
    for (int i = 0; i < 3; i++) {
        text = cluster_run_tool(cluster, argv, &status);
        assert_true(status == 1 || status == 3);
        assert_null(strchr(text, '\x1b'));
        g_free(text);
    }
    unlink(path);
    pm_http_server_free(server);
    g_string_free(changed, TRUE);
    g_free(config);
}

static void nobody_is_reached(void **arg)
{
    int status;
    char *text;

    (void)arg;
    for (int i = 0; i < 3; i++)
        cluster_kill(cluster, i);
    text = run(0, "status", NULL, "text", &status);
    assert_int_equal(status, 3);
    assert_non_null(strstr(text, "0 of 3 controllers answered"));
    g_free(text);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(all_is_well),
        cmocka_unit_test(tells_which_link_is_cut),
        cmocka_unit_test(tells_what_others_know_of_a_dead_one),
        cmocka_unit_test(says_why_a_job_waits),
        cmocka_unit_test(tells_of_an_unreachable_state_service),
        cmocka_unit_test(tells_who_holds_each_duty),
        cmocka_unit_test(drains_the_duty_of_renting),
        cmocka_unit_test(two_operators_drain_once),
        cmocka_unit_test(refuses_to_drain_without_the_state_service),
        cmocka_unit_test(tells_what_is_cleaned),
        cmocka_unit_test(reads_the_record),
        cmocka_unit_test(refuses_wrong_use),
        cmocka_unit_test(survives_hostile_answers),
        cmocka_unit_test(nobody_is_reached), /* ends all: the last */
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, set_up, tear_down);
}
