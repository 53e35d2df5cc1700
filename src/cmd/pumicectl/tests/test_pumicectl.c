/* Tests the output and exit status of pumicectl against real controllers, also during faults. */
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

#define DEADLINE_S 60.0

static char audit_log_dir[] = "/tmp/pumicectl-record-XXXXXX";

/* Creates the directory of the audit log, and returns operators' settings that name the directory.
 * The text is owned by the caller. */
static char *make_operator_settings(void)
{
    assert_non_null(g_mkdtemp(audit_log_dir));
    return g_strdup_printf("links:\n  observe: true\n  decide: true\n  probe_s: 0.5\n"
                           "  down_s: 1\n  expire_s: 30\n"
                           "duties:\n  fence: true\n  ttl_s: 2\n  clean_after_s: 4\n"
                           "  record_dir: %s\n",
                           audit_log_dir);
}

static struct cluster *cluster; /* shared by all tests, which run in order */

static bool has_started_tasks(struct cluster *tested_cluster)
{
    return cluster_leader(tested_cluster) >= 0 &&
           history_start_count(cluster_history(tested_cluster)) >= 2;
}

static int set_up(void **arg)
{
    static char *operator_settings; /* must outlive the cluster, which borrows it */

    (void)arg;
    operator_settings = make_operator_settings();
    cluster = cluster_new(&(struct cluster_settings){.controller_count = 3,
                                                     .daemon = PM_DAEMON,
                                                     .operator_yaml = operator_settings,
                                                     .quiet = !g_getenv("PM_TEST_LOG")});
    cluster_set_load(cluster, 0.5);
    return cluster_run_until(cluster, has_started_tasks, DEADLINE_S) ? 0 : -1;
}

/* Returns the paths of the audit log's files, in no particular order; owned by the caller. */
static GPtrArray *list_audit_files(void)
{
    GDir *dir = g_dir_open(audit_log_dir, 0, NULL);
    GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
    const char *name;

    while ((name = g_dir_read_name(dir)))
        g_ptr_array_add(paths, g_build_filename(audit_log_dir, name, NULL));
    g_dir_close(dir);
    return paths;
}

static int tear_down(void **arg)
{
    GPtrArray *paths;

    (void)arg;
    cluster_free(cluster);
    paths = list_audit_files();
    for (guint i = 0; i < paths->len; i++)
        unlink(g_ptr_array_index(paths, i));
    g_ptr_array_free(paths, TRUE);
    return rmdir(audit_log_dir);
}

/* Runs pumicectl with the settings of controller `controller` and a timeout of 1.5 s. Returns the
 * output of pumicectl, owned by the caller. */
static char *run_tool(int controller, const char *command, const char *argument, const char *format,
                      int *status)
{
    const char *argv[] = {PM_TOOL,    "--config", cluster_settings_path(cluster, controller),
                          "--format", format,     "--timeout",
                          "1.5",      command,    argument,
                          NULL};

    return cluster_run_tool(cluster, argv, status);
}

/* Runs the command and returns its JSON document, owned by the caller. */
static json_t *load_json(int controller, const char *command, const char *argument, int *status)
{
    char *text = run_tool(controller, command, argument, "json", status);
    json_t *document = json_loads(text, 0, NULL);

    g_free(text);
    assert_non_null(document);
    return document;
}

/* Runs the command and fails the test unless its exit status is `expected`. Returns its JSON
 * document, owned by the caller. */
static json_t *run_json(int controller, const char *command, const char *argument, int expected)
{
    int status;
    json_t *document = load_json(controller, command, argument, &status);

    if (status != expected)
        json_dumpf(json_object_get(document, "problems"), stderr, JSON_INDENT(1));
    assert_int_equal(status, expected);
    return document;
}

/* Repeats the command until its exit status is `expected`. Fails the test after 60 attempts, 0.5 s
 * apart. */
static void wait_for_status(const char *command, int expected)
{
    int status = -1;
    char *text = NULL;

    for (int i = 0; i < 60 && status != expected; i++) {
        g_free(text);
        cluster_run(cluster, 0.5);
        text = run_tool(0, command, NULL, "text", &status);
    }
    if (status != expected)
        fprintf(stderr, "%s\n", text);
    assert_int_equal(status, expected);
    g_free(text);
}

static const char *get_text(const json_t *object, const char *key)
{
    return json_string_value(json_object_get(object, key));
}

static void status_of_a_working_cluster(void **arg)
{
    char leader[16];
    json_t *document;

    (void)arg;
    wait_for_status("status", 0);
    wait_for_status("links", 0);
    wait_for_status("duties", 0);
    document = run_json(1, "status", NULL, 0);
    snprintf(leader, sizeof leader, "node-%d", cluster_leader(cluster));
    assert_string_equal(get_text(document, "leader"), leader);
    assert_string_equal(get_text(json_object_get(document, "state_service"), "leader"), leader);
    assert_int_equal(json_array_size(json_object_get(document, "controllers")), 3);
    json_decref(document);
}

/* Whether the output of `links` contains a link from `source` to `target` in state `state`. */
static bool has_link(const json_t *document, const char *source, const char *target,
                     const char *state)
{
    const json_t *links = json_object_get(document, "links");

    for (size_t i = 0; i < json_array_size(links); i++) {
        const json_t *link = json_array_get(links, i);
        if (!strcmp(get_text(link, "from"), source) && !strcmp(get_text(link, "to"), target) &&
            !strcmp(get_text(link, "state"), state))
            return true;
    }
    return false;
}

static void links_shows_a_cut_link(void **arg)
{
    struct relay_fault both_directions = {.from_controller = true, .to_controller = true};
    int follower = (cluster_leader(cluster) + 1) % 3;
    char name[16];
    json_t *document = NULL;
    bool found = false;
    int status = 0;

    (void)arg;
    snprintf(name, sizeof name, "node-%d", follower);
    cluster_set_link_fault(cluster, follower, CLUSTER_LINK_STORE, 0, both_directions);
    for (int i = 0; i < 60 && !found; i++) {
        json_decref(document);
        cluster_run(cluster, 0.5);
        document = load_json(follower, "links", NULL, &status);
        found = has_link(document, name, "state service", "down");
    }
    assert_true(found);
    assert_int_equal(status, 1);
    json_decref(document);
    cluster_clear_link_faults(cluster);
    wait_for_status("links", 0);
}

/* The links of a stopped controller are shown as the other controllers last saw them, with the name
 * of the controller that reported them. */
static void links_of_a_stopped_controller_are_second_hand(void **arg)
{
    int stopped = (cluster_leader(cluster) + 1) % 3;
    int status;
    char expected_text[32];
    char *text;

    (void)arg;
    cluster_kill_controller(cluster, stopped);
    text = run_tool(stopped, "links", NULL, "text", &status);
    assert_int_equal(status, 1);
    assert_non_null(strstr(text, "2 of 3 controllers answered; this report is incomplete"));
    snprintf(expected_text, sizeof expected_text, "reported by node-");
    assert_non_null(strstr(text, expected_text));
    snprintf(expected_text, sizeof expected_text, "controller node-%d at", stopped);
    assert_non_null(strstr(text, expected_text));
    g_free(text);
    cluster_start_controller(cluster, stopped);
    wait_for_status("status", 0);
}

static void why_shows_the_reason_of_a_waiting_job(void **arg)
{
    json_t *document;
    const json_t *answer;
    const json_t *reasons;
    const char *reason;
    const char *job;

    (void)arg;
    cluster_set_load(cluster, 0);
    job = cluster_submit_array(cluster, 400, 9.9); /* exceeds both capacity and quota */
    cluster_run(cluster, 4);
    document = run_json(0, "why", job, 0);
    assert_true(json_is_true(json_object_get(document, "known")));
    answer = json_object_get(document, "answer");
    assert_int_equal(json_integer_value(json_object_get(answer, "tasks")), 400);
    reasons = json_object_get(answer, "reasons");
    assert_true(json_array_size(reasons) > 0);
    reason = get_text(json_array_get(reasons, 0), "reason");
    assert_true(!strcmp(reason, "no-room") || !strcmp(reason, "team-limit"));
    json_decref(document);
    cluster_cancel_job(cluster, job);
    cluster_set_load(cluster, 0.5);
    document = run_json(0, "why", "job-999999", 1);
    assert_true(json_is_false(json_object_get(document, "known")));
    json_decref(document);
}

static void status_shows_an_unreachable_state_service(void **arg)
{
    json_t *document;

    (void)arg;
    fake_store_set_outage(cluster_store(cluster), true);
    cluster_run(cluster, 2);
    document = run_json(0, "status", NULL, 1);
    assert_true(
        json_is_false(json_object_get(json_object_get(document, "state_service"), "reached")));
    assert_int_equal(json_array_size(json_object_get(document, "controllers")), 3);
    json_decref(document);
    fake_store_set_outage(cluster_store(cluster), false);
    wait_for_status("status", 0);
    wait_for_status("duties", 0); /* later tests need a leader that is fit */
}

/* Returns the singleton role `name` from the output of `duties`, borrowed from `document`. Fails
 * the test if the role is missing. */
static const json_t *find_singleton_role(const json_t *document, const char *name)
{
    const json_t *roles = json_object_get(document, "single_duties");

    for (size_t i = 0; i < json_array_size(roles); i++)
        if (!strcmp(get_text(json_array_get(roles, i), "duty"), name))
            return json_array_get(roles, i);
    fail_msg("the output of `duties` does not contain the duty %s", name);
    return NULL;
}

/* Runs `duty drain` with a timeout of 8 s, long enough for the role to get its next holder. Fails
 * the test unless the exit status is `expected`. Returns the JSON document, owned by the caller. */
static json_t *run_drain(const char *role, int expected)
{
    const char *argv[] = {PM_TOOL,    "--config", cluster_settings_path(cluster, 0),
                          "--format", "json",     "--timeout",
                          "8",        "duty",     "drain",
                          role,       NULL};
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

static bool has_garbage_collector(struct cluster *tested_cluster)
{
    return fake_store_revision(cluster_store(tested_cluster), "p/duty/clean") > 0;
}

static void duties_shows_the_holder_of_each_role(void **arg)
{
    char leader[16];
    json_t *document;
    const json_t *role;

    (void)arg;
    assert_true(cluster_run_until(cluster, has_garbage_collector, DEADLINE_S));
    document = run_json(2, "duties", NULL, 0);
    snprintf(leader, sizeof leader, "node-%d", cluster_leader(cluster));
    role = find_singleton_role(document, "return");
    assert_string_equal(get_text(role, "holder"), leader);
    assert_int_equal(json_integer_value(json_object_get(role, "token")),
                     fake_store_revision(cluster_store(cluster), "p/duty/return"));
    role = find_singleton_role(document, "clean");
    /* Usually another controller than the leader holds this role, but the leader may hold it too,
     * so the test only checks that there is a holder. */
    assert_string_not_equal(get_text(role, "holder"), "");
    json_decref(document);
}

/* Only the leader may hold the scale-out role, so draining the role makes another controller the
 * leader. */
static void drain_passes_scale_out_to_another_leader(void **arg)
{
    int leader_before = cluster_leader(cluster);
    uint64_t token = fake_store_revision(cluster_store(cluster), "p/duty/rent");
    json_t *document;

    (void)arg;
    document = run_drain("rent", 0);
    assert_int_not_equal(cluster_leader(cluster), leader_before);
    assert_true(fake_store_revision(cluster_store(cluster), "p/duty/rent") > token);
    assert_string_equal(get_text(document, "outcome"), "the duty is now held under a new token");
    json_decref(document);
    assert_int_equal(fake_store_revision(cluster_store(cluster), "p/drain/rent"), 0);
}

/* Two operators drain a role at the same time: one request is accepted, the other one refused. */
static void concurrent_drains_pass_the_role_on_once(void **arg)
{
    char *command = g_strdup_printf("for i in 1 2; do %s --config %s --timeout 4 --format json "
                                    "duty drain clean & done; wait",
                                    PM_TOOL, cluster_settings_path(cluster, 1));
    const char *argv[] = {"/bin/sh", "-c", command, NULL};
    uint64_t token = fake_store_revision(cluster_store(cluster), "p/duty/clean");
    unsigned accepted = 0;
    unsigned refused = 0;
    int status;
    char *text;

    (void)arg;
    text = cluster_run_tool(cluster, argv, &status);
    for (const char *position = text; (position = strstr(position, "\"outcome\"")); position++) {
        accepted +=
            g_str_has_prefix(position, "\"outcome\": \"the duty is now held under a new token") ||
            g_str_has_prefix(position,
                             "\"outcome\": \"the holder was asked to release the duty, which");
        refused += g_str_has_prefix(position, "\"outcome\": \"the holder has already been asked") ||
                   g_str_has_prefix(position, "\"outcome\": \"the holder has changed") ||
                   g_str_has_prefix(position, "\"outcome\": \"no controller holds the duty");
    }
    assert_int_equal(accepted, 1);
    assert_int_equal(refused, 1);
    assert_true(cluster_run_until(cluster, has_garbage_collector, DEADLINE_S));
    assert_true(fake_store_revision(cluster_store(cluster), "p/duty/clean") > token);
    g_free(text);
    g_free(command);
}

static void drain_is_refused_without_the_state_service(void **arg)
{
    uint64_t token = fake_store_revision(cluster_store(cluster), "p/duty/rent");
    json_t *document;

    (void)arg;
    fake_store_set_outage(cluster_store(cluster), true);
    document = run_drain("rent", 1);
    assert_non_null(strstr(get_text(document, "outcome"), "nothing was changed"));
    json_decref(document);
    fake_store_set_outage(cluster_store(cluster), false);
    wait_for_status("status", 0);
    assert_true(fake_store_revision(cluster_store(cluster), "p/duty/rent") >= token);
}

static bool view_of_unknown_controller_is_deleted(struct cluster *tested_cluster)
{
    return !fake_store_revision(cluster_store(tested_cluster), "p/links/ghost");
}

/* The dry run lists an obsolete key, the view of a controller that is not in the settings, and does
 * not delete it; the holder of the garbage collection role deletes the key later. */
static void cleanup_shows_what_is_deleted_later(void **arg)
{
    const char *argv[] = {PM_TOOL,     "--config", cluster_settings_path(cluster, 0),
                          "--format",  "json",     "cleanup",
                          "--dry-run", NULL};
    json_t *document;
    int status;
    char *text;

    (void)arg;
    fake_store_put_number(cluster_store(cluster), "p/links/ghost", "nonsense", 1);
    cluster_run(cluster, 0.5);
    text = cluster_run_tool(cluster, argv, &status);
    document = json_loads(text, 0, NULL);
    assert_int_equal(status, 0);
    assert_int_equal(json_array_size(json_object_get(document, "keys")), 1);
    assert_string_equal(get_text(json_array_get(json_object_get(document, "keys"), 0), "key"),
                        "p/links/ghost");
    assert_false(view_of_unknown_controller_is_deleted(cluster));
    assert_true(cluster_run_until(cluster, view_of_unknown_controller_is_deleted, DEADLINE_S));
    json_decref(document);
    g_free(text);
}

/* Audit log files that running controllers still write to are read up to the last complete entry,
 * and reported as not closed. */
static void record_reads_files_of_running_controllers(void **arg)
{
    GPtrArray *paths = list_audit_files();
    bool has_scale_out = false;

    (void)arg;
    assert_true(paths->len >= 2);
    for (guint i = 0; i < paths->len; i++) {
        const char *list_command[] = {
            PM_TOOL, "--format", "json", "record", "list", g_ptr_array_index(paths, i), NULL};
        const char *verify_command[] = {PM_TOOL, "record", "verify", g_ptr_array_index(paths, i),
                                        NULL};
        int status;
        char *text = cluster_run_tool(cluster, list_command, &status);
        if (status != 1)
            fprintf(stderr, "%s\n", text);
        assert_int_equal(status, 1);
        assert_non_null(strstr(text, "it was never closed"));
        has_scale_out |=
            strstr(text, "\"event\": \"sent\"") && strstr(text, "\"subject\": \"rent-");
        g_free(text);
        text = cluster_run_tool(cluster, verify_command, &status);
        assert_int_equal(status, 1);
        assert_non_null(strstr(text, "incomplete, read up to its last complete entry"));
        g_free(text);
    }
    assert_true(has_scale_out);
    g_ptr_array_free(paths, TRUE);
}

static void wrong_use_is_rejected(void **arg)
{
    static const char *const wrong_uses[][2] = {
        {"nonsense", NULL},   {"why", NULL},     {"why", "not-a-job"},
        {"status", "more"},   {"duty", "drain"}, {"duty", "nonsense"},
        {"record", "verify"}, {"record", NULL},  {"cleanup", NULL}};
    int status;

    (void)arg;
    for (size_t i = 0; i < G_N_ELEMENTS(wrong_uses); i++) {
        g_free(run_tool(0, wrong_uses[i][0], wrong_uses[i][1], "text", &status));
        assert_int_equal(status, 2);
    }
    g_free(run_tool(0, "status", NULL, "pictures", &status));
    assert_int_equal(status, 2);
}

/* Answers requests in turn with a body that is not CBOR, a body that is not a map, and a body with
 * control characters. */
static void on_request(void *arg, struct pm_http_request *request)
{
    static const char *const hostile_bodies[] = {"\xff\xff\xff", "\x83\x01\x02\x03",
                                                 "\xa1\x66leader\x64\x1b[2J"};
    unsigned *request_count = arg;

    pm_http_reply(request, 200, hostile_bodies[*request_count % 3],
                  strlen(hostile_bodies[*request_count % 3]), 0);
    ++*request_count;
}

/* Replaces the value after every `prefix`, up to the closing quotation mark, with `value`. */
static void replace_values(GString *config_text, const char *prefix, const char *value)
{
    char *position = strstr(config_text->str, prefix);

    while (position) {
        gssize start = position - config_text->str + (gssize)strlen(prefix);
        gssize length = (gssize)strcspn(config_text->str + start, "\"");
        g_string_erase(config_text, start, length);
        g_string_insert(config_text, start, value);
        position = strstr(config_text->str + start + 1, prefix);
    }
}

static void hostile_answers_are_harmless(void **arg)
{
    struct ev_loop *loop = cluster_loop(cluster);
    char *config;
    char path[] = "/tmp/pumicectl-test-XXXXXX";
    char addr[64];
    unsigned request_count = 0;
    int status;
    gsize size;
    char *text;
    struct pm_http_server *server;

    (void)arg;
    snprintf(addr, sizeof addr, "127.0.0.1:%d", event_loop_free_port());
    server = pm_http_server_new(loop, addr, 16, on_request, &request_count);
    assert_non_null(server);
    assert_true(g_file_get_contents(cluster_settings_path(cluster, 0), &config, &size, NULL));
    GString *config_text = g_string_new(config);
    const char *prefixes[] = {"back = \"", "peer_addr = \"", "state = \""};
    for (size_t i = 0; i < G_N_ELEMENTS(prefixes); i++)
        replace_values(config_text, prefixes[i], addr);
    close(g_mkstemp(path));
    g_file_set_contents(path, config_text->str, -1, NULL);
    const char *argv[] = {PM_TOOL, "--config", path, "--timeout", "1", "status", NULL};
    for (int i = 0; i < 3; i++) {
        text = cluster_run_tool(cluster, argv, &status);
        assert_true(status == 1 || status == 3);
        assert_null(strchr(text, '\x1b'));
        g_free(text);
    }
    unlink(path);
    pm_http_server_free(server);
    g_string_free(config_text, TRUE);
    g_free(config);
}

static void no_controller_is_reached(void **arg)
{
    int status;
    char *text;

    (void)arg;
    for (int i = 0; i < 3; i++)
        cluster_kill_controller(cluster, i);
    text = run_tool(0, "status", NULL, "text", &status);
    assert_int_equal(status, 3);
    assert_non_null(strstr(text, "0 of 3 controllers answered"));
    g_free(text);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(status_of_a_working_cluster),
        cmocka_unit_test(links_shows_a_cut_link),
        cmocka_unit_test(links_of_a_stopped_controller_are_second_hand),
        cmocka_unit_test(why_shows_the_reason_of_a_waiting_job),
        cmocka_unit_test(status_shows_an_unreachable_state_service),
        cmocka_unit_test(duties_shows_the_holder_of_each_role),
        cmocka_unit_test(drain_passes_scale_out_to_another_leader),
        cmocka_unit_test(concurrent_drains_pass_the_role_on_once),
        cmocka_unit_test(drain_is_refused_without_the_state_service),
        cmocka_unit_test(cleanup_shows_what_is_deleted_later),
        cmocka_unit_test(record_reads_files_of_running_controllers),
        cmocka_unit_test(wrong_use_is_rejected),
        cmocka_unit_test(hostile_answers_are_harmless),
        cmocka_unit_test(no_controller_is_reached), /* last, because it kills the controllers */
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, set_up, tear_down);
}
