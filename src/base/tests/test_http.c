/* What was decided on something that was confirmed a while ago is not written once that is too old:
 * the process may have stood still in between. */
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

enum { NOT_YET = -100 };

static struct ev_loop *loop;
static struct pm_http_client *client;
static struct pm_http_server *server;
static char addr[64];
static double answer_valid_for; /* seconds; 0: no matter when it is written */
static int handled;

static void on_request(void *arg, struct pm_http_request *req)
{
    (void)arg;
    handled++;
    if (answer_valid_for)
        req->deadline = pm_clock_monotonic() + answer_valid_for;
    pm_http_reply(req, 200, NULL, 0, 0);
}

static void on_done(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)body;
    (void)size;
    *(int *)arg = status;
}

static bool has_ended(void *arg)
{
    return *(int *)arg != NOT_YET;
}

static int set_up(void **state)
{
    (void)state;
    loop = ev_loop_new(EVFLAG_AUTO);
    snprintf(addr, sizeof addr, "127.0.0.1:%d", event_loop_free_port());
    client = pm_http_client_new(loop, 8);
    server = pm_http_server_new(loop, addr, 8, on_request, NULL);
    assert_non_null(server);
    answer_valid_for = 0;
    handled = 0;
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

static int ask(double valid_until)
{
    int status = NOT_YET;

    pm_http_call_until(client, addr, "GET", "/", NULL, 0, 2, 1024, valid_until, on_done, &status);
    assert_true(event_loop_run_until(loop, has_ended, &status));
    return status;
}

static void what_is_still_valid_is_written(void **state)
{
    (void)state;
    answer_valid_for = 10;
    assert_int_equal(ask(pm_clock_monotonic() + 10), 200);
    assert_int_equal(ask(0), 200);
    assert_int_equal(handled, 2);
}

/* The caller hears nothing, and asks another controller. */
static void an_answer_that_is_too_late_is_dropped(void **state)
{
    (void)state;
    answer_valid_for = -1;
    assert_int_equal(ask(0), PM_HTTP_NO_ANSWER);
    assert_int_equal(handled, 1);
}

/* A command that was not written is known not to arrive: nothing about it is in doubt. */
static void a_command_that_is_too_late_is_not_sent(void **state)
{
    (void)state;
    assert_int_equal(ask(pm_clock_monotonic() - 1), PM_HTTP_NOT_SENT);
    assert_int_equal(ask(0), 200); /* a connection that is kept open */
    assert_int_equal(ask(pm_clock_monotonic() - 1), PM_HTTP_NOT_SENT);
    assert_int_equal(handled, 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(what_is_still_valid_is_written, set_up, tear_down),
        cmocka_unit_test_setup_teardown(an_answer_that_is_too_late_is_dropped, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_command_that_is_too_late_is_not_sent, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
