/* Checks that malformed, unfinished and slow requests end or block no controller, at the listeners
 * for users and peers, and that malformed answers of workers and of the state service end none.
 * Runs real controller processes. */
#include "testing/cluster.h"
#include "base/clock.h"
#include "base/http.h"
#include "testing/http_status.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#define DEADLINE_S 60.0    /* limit of each wait, ample even on a busy machine */
#define ANSWER_LIMIT_S 1.0 /* the load balancer's limit for the answer of GET /ready */
#define READY_POLL_S 0.1
#define CUT_ANSWERS_S 3.0
#define SLOW_BYTE_INTERVAL_S 1.0
#define OBSERVED_S 12.0 /* longer than a request may take to arrive */

enum { CONTROLLERS = 3, UNFINISHED_CONNECTIONS = 300 };

static const char *const malformed_requests[] = {
    "\r\n\r\n",
    "GET\r\n\r\n",
    "POST /work HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "POST /work HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
    "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\n\xbf\x61\xff",
    "POST /work HTTP/1.1\r\nContent-Length: 9\r\n\r\n\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
    "POST /v1/report HTTP/1.1\r\nContent-Length: 1\r\n\r\n\xf6",
    "POST /peer HTTP/1.1\r\nContent-Length: 4\r\n\r\n\xff\xff\xff\xff",
    "POST /block HTTP/1.1\r\nContent-Length: 4\r\n\r\n\x0a\xff\x00\x01",
    "POST /cancelled HTTP/1.1\r\nContent-Length: 4\r\n\r\n\xff\xff\xff\xff",
    "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
};

static struct cluster *cluster;

static int set_up(void **state)
{
    (void)state;
    cluster = cluster_new(&(struct cluster_settings){
        .controller_count = CONTROLLERS, .daemon = PM_DAEMON, .quiet = !getenv("PM_TEST_LOG")});
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    cluster_free(cluster);
    return 0;
}

/* Opens a connection to "IP:PORT" and sends the bytes. Returns the socket. */
static int open_and_send(const char *addr, const char *bytes, size_t size)
{
    struct sockaddr_in peer = {.sin_family = AF_INET};
    char **parts = g_strsplit(addr, ":", 2);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    peer.sin_port = htons((uint16_t)strtol(parts[1], NULL, 10));
    assert_int_equal(inet_pton(AF_INET, parts[0], &peer.sin_addr), 1);
    assert_true(fd >= 0);
    /* A controller may refuse or reset a connection while it is flooded. */
    if (!connect(fd, (struct sockaddr *)&peer, sizeof peer) && size)
        (void)!send(fd, bytes, size, MSG_NOSIGNAL);
    g_strfreev(parts);
    return fd;
}

static int open_and_send_text(const char *addr, const char *text)
{
    return open_and_send(addr, text, strlen(text));
}

struct answer {
    int status;
    double at;
};

static void on_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct answer *answer = arg;

    (void)body;
    (void)size;
    answer->status = status;
    answer->at = pm_clock_monotonic();
}

static struct answer latest;

static bool has_answer(struct cluster *tested_cluster)
{
    (void)tested_cluster;
    return latest.at > 0;
}

/* Asks the controller whether it is ready, on a new connection. Returns the status of the answer,
 * and sets `*seconds` to the time it took. */
static int ask_whether_ready(int controller, double *seconds)
{
    struct pm_http_client *client = pm_http_client_new(cluster_loop(cluster), 1);
    double sent_at = pm_clock_monotonic();

    latest = (struct answer){0};
    pm_http_call(client, cluster_worker_addr(cluster, controller), "GET", "/ready", NULL, 0,
                 DEADLINE_S, 1024, on_answer, &latest);
    assert_true(cluster_run_until(cluster, has_answer, DEADLINE_S));
    pm_http_client_free(client);
    *seconds = latest.at - sent_at;
    return latest.status;
}

static void assert_all_answer_in_time(void)
{
    double seconds;

    for (int i = 0; i < CONTROLLERS; i++) {
        assert_int_equal(ask_whether_ready(i, &seconds), HTTP_OK);
        assert_true(seconds < ANSWER_LIMIT_S);
    }
}

/* A controller that has not started yet refuses connections. */
static bool are_all_ready(struct cluster *tested_cluster)
{
    double seconds;

    for (int i = 0; i < CONTROLLERS; i++)
        if (ask_whether_ready(i, &seconds) != HTTP_OK)
            return false;
    return cluster_leader(tested_cluster) >= 0;
}

static void wait_until_all_are_ready(void)
{
    double deadline = pm_clock_monotonic() + DEADLINE_S;

    while (!are_all_ready(cluster)) {
        assert_true(pm_clock_monotonic() < deadline);
        cluster_run(cluster, READY_POLL_S);
    }
}

static void assert_job_runs(void)
{
    cluster_submit_array(cluster, 2, 1);
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
    assert_string_equal(history_violations(cluster_history(cluster)), "");
}

static void malformed_requests_end_no_controller(void **state)
{
    (void)state;
    wait_until_all_are_ready();
    for (int i = 0; i < CONTROLLERS; i++)
        for (size_t k = 0; k < G_N_ELEMENTS(malformed_requests); k++) {
            close(open_and_send_text(cluster_worker_addr(cluster, i), malformed_requests[k]));
            close(open_and_send_text(cluster_peer_addr(cluster, i), malformed_requests[k]));
        }
    assert_all_answer_in_time();
    assert_job_runs();
}

/* Each request is cut after each of its bytes. */
static void cut_requests_end_no_controller(void **state)
{
    static const char *const requests[] = {
        "POST /work HTTP/1.1\r\nContent-Length: 9\r\n\r\n\xbf\x61\x61\x61\x62\x61\x63\x01\xff",
        "POST /peer HTTP/1.1\r\nContent-Length: 8\r\n\r\n\x0a\x06node-1"};

    (void)state;
    wait_until_all_are_ready();
    for (size_t k = 0; k < G_N_ELEMENTS(requests); k++)
        for (size_t size = 1; size <= strlen(requests[k]); size++) {
            int controller = (int)size % CONTROLLERS;
            close(open_and_send(cluster_worker_addr(cluster, controller), requests[k], size));
            close(open_and_send(cluster_peer_addr(cluster, controller), requests[k], size));
        }
    assert_all_answer_in_time();
    assert_job_runs();
}

/* The flood is smaller than the limit of open sockets at the listener for users, and larger than
 * that at the listener for peers. */
static void unfinished_requests_by_the_hundred_block_nobody(void **state)
{
    int sockets[2 * UNFINISHED_CONNECTIONS];

    (void)state;
    wait_until_all_are_ready();
    for (int i = 0; i < UNFINISHED_CONNECTIONS; i++) {
        sockets[2 * i] = open_and_send_text(cluster_worker_addr(cluster, 0),
                                            "POST /work HTTP/1.1\r\nContent-Le");
        sockets[2 * i + 1] =
            open_and_send_text(cluster_peer_addr(cluster, 0), "POST /peer HTTP/1.1\r\nContent-Le");
    }
    assert_all_answer_in_time();
    assert_job_runs();
    for (size_t i = 0; i < G_N_ELEMENTS(sockets); i++)
        close(sockets[i]);
}

/* Returns whether the other side has closed the connection. */
static bool is_closed(int fd)
{
    char data[512];
    ssize_t size;

    do
        size = recv(fd, data, sizeof data, MSG_DONTWAIT);
    while (size > 0);
    return size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

static void request_of_one_byte_a_second_is_ended_and_blocks_nobody(void **state)
{
    static const char slow[] = "POST /work HTTP/1.1\r\nContent-Length: 1\r\n\r\n";
    int user;
    int peer;
    double started_at;
    size_t sent = 1;

    (void)state;
    wait_until_all_are_ready();
    user = open_and_send(cluster_worker_addr(cluster, 0), slow, 1);
    peer = open_and_send(cluster_peer_addr(cluster, 0), slow, 1);
    started_at = pm_clock_monotonic();
    while (pm_clock_monotonic() - started_at < OBSERVED_S) {
        cluster_run(cluster, SLOW_BYTE_INTERVAL_S);
        (void)!send(user, slow + sent, 1, MSG_NOSIGNAL);
        (void)!send(peer, slow + sent, 1, MSG_NOSIGNAL);
        sent++;
        assert_all_answer_in_time();
    }
    assert_true(is_closed(user));
    assert_true(is_closed(peer));
    assert_job_runs();
    close(user);
    close(peer);
}

/* Every controller reads the answers of the state service, and the leader those of workers. */
static void cut_answers_end_no_controller(void **state)
{
    struct fake_provider *provider = cluster_provider(cluster);

    (void)state;
    wait_until_all_are_ready();
    assert_job_runs();
    fake_provider_cut_worker_answers(provider, true);
    cluster_submit_array(cluster, 2, 1);
    cluster_run(cluster, CUT_ANSWERS_S);
    fake_store_cut_answers(true);
    cluster_run(cluster, CUT_ANSWERS_S);
    fake_provider_cut_worker_answers(provider, false);
    fake_store_cut_answers(false);
    assert_job_runs();
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(malformed_requests_end_no_controller, set_up, tear_down),
        cmocka_unit_test_setup_teardown(cut_requests_end_no_controller, set_up, tear_down),
        cmocka_unit_test_setup_teardown(cut_answers_end_no_controller, set_up, tear_down),
        cmocka_unit_test_setup_teardown(unfinished_requests_by_the_hundred_block_nobody, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(request_of_one_byte_a_second_is_ended_and_blocks_nobody,
                                        set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Disables leak detection: a cluster's memory is kept until the process ends, because calls in
 * flight outlive the cluster. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
