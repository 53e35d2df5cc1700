#include "testing/event_loop.h"
#include "base/clock.h"

#include <arpa/inet.h>
#include <ev.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_TIMEOUT_S 60.0
#define DEFAULT_POLL_S 0.005

int event_loop_free_port(void)
{
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof addr;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (bind(fd, (struct sockaddr *)&addr, sizeof addr) ||
        getsockname(fd, (struct sockaddr *)&addr, &size))
        abort();
    close(fd);
    return ntohs(addr.sin_port);
}

static void on_poll(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ONE);
}

bool event_loop_run_for(struct ev_loop *loop, event_loop_condition *is_done, void *arg,
                        double timeout_s, double poll_s)
{
    double deadline = pm_clock_monotonic() + timeout_s;
    bool done = false;
    ev_timer poll;

    ev_timer_init(&poll, on_poll, poll_s, poll_s);
    ev_timer_start(loop, &poll);
    while (!(done = is_done && is_done(arg)) && pm_clock_monotonic() < deadline)
        ev_run(loop, 0);
    ev_timer_stop(loop, &poll);
    return done;
}

bool event_loop_run_until(struct ev_loop *loop, event_loop_condition *is_done, void *arg)
{
    return event_loop_run_for(loop, is_done, arg, DEFAULT_TIMEOUT_S, DEFAULT_POLL_S);
}
