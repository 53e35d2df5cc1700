/* Tests of deadlines: a request or response is not sent after its deadline, which is set to the
 * time at which the controller's confirmation expires. The deadline passes if the process is
 * suspended between queueing and sending. */
#include "testing/fake_store.h"
#include "base/clock.h"
#include "base/http.h"

#include <ev.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <cmocka.h>

enum { IN_PROGRESS = -100 };

static struct ev_loop *loop;
static struct pm_http_client *client;
static struct pm_http_server *server;
static char addr[64];
static double response_valid_for_s; /* 0 if there is no deadline */
static int handled_count;

static void on_request(void *arg, struct pm_http_request *request)
{
    (void)arg;
    handled_count++;
    if (response_valid_for_s)
        request->deadline = pm_clock_monotonic() + response_valid_for_s;
    pm_http_reply(request, 200, NULL, 0, 0);
}

static void on_done(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)body;
    (void)size;
    *(int *)arg = status;
}

static bool has_ended(void *arg)
{
    return *(int *)arg != IN_PROGRESS;
}

static int set_up(void **state)
{
    (void)state;
    loop = ev_loop_new(EVFLAG_AUTO);
    snprintf(addr, sizeof addr, "127.0.0.1:%d", event_loop_free_port());
    client = pm_http_client_new(loop, 8);
    server = pm_http_server_new(loop, addr, 8, on_request, NULL);
    assert_non_null(server);
    response_valid_for_s = 0;
    handled_count = 0;
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    pm_http_client_free(client);
    pm_http_server_free(server);
    ev_loop_destroy(loop);
    return 0;
}

static int send_request(double deadline)
{
    int status = IN_PROGRESS;

    pm_http_call_until(client, addr, "GET", "/", NULL, 0, 2, 1024, deadline, on_done, &status);
    assert_true(event_loop_run_until(loop, has_ended, &status));
    return status;
}

static void messages_before_their_deadline_are_sent(void **state)
{
    (void)state;
    response_valid_for_s = 10;
    assert_int_equal(send_request(pm_clock_monotonic() + 10), 200);
    assert_int_equal(send_request(0), 200);
    assert_int_equal(handled_count, 2);
}

/* The client gets no response, and can ask another controller. */
static void response_after_its_deadline_is_dropped(void **state)
{
    (void)state;
    response_valid_for_s = -1;
    assert_int_equal(send_request(0), PM_HTTP_NO_RESPONSE);
    assert_int_equal(handled_count, 1);
}

/* Such a call ends as not sent: the caller knows that the server will never process the request. */
static void request_after_its_deadline_is_not_sent(void **state)
{
    (void)state;
    assert_int_equal(send_request(pm_clock_monotonic() - 1), PM_HTTP_NOT_SENT);
    assert_int_equal(send_request(0), 200); /* leaves an idle connection for the next call */
    assert_int_equal(send_request(pm_clock_monotonic() - 1), PM_HTTP_NOT_SENT);
    assert_int_equal(handled_count, 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(messages_before_their_deadline_are_sent, set_up, tear_down),
        cmocka_unit_test_setup_teardown(response_after_its_deadline_is_dropped, set_up, tear_down),
        cmocka_unit_test_setup_teardown(request_after_its_deadline_is_not_sent, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
