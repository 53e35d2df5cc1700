#include "gather.h"
#include "base/http.h"

#include <ev.h>
#include <string.h>

enum { ANSWER_MAX = 1024 * 1024, CONNECTIONS_MAX = PM_GATHER_MAX + 2 };
#define GRACE_S 0.5 /* the calls' own time-outs end them before the whole is given up */

struct asking {
    struct ev_loop *loop;
    int open;
};

struct question {
    struct asking *asking;
    struct pm_answer *answer;
};

static const char *name_error(int status)
{
    if (status == PM_HTTP_NOT_SENT)
        return "not reached";
    if (status == PM_HTTP_NO_ANSWER)
        return "no answer in time";
    if (status == 503)
        return "refuses (503)";
    return status == 404 ? "knows nothing of that (404)" : "an unexpected status";
}

static void on_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct question *question = arg;
    struct pm_answer *answer = question->answer;

    answer->status = status > 0 ? status : 0;
    answer->error = status == 200 ? NULL : name_error(status);
    if (status == 200) {
        answer->body = pm_json_of_cbor(body, size);
        if (!json_is_object(answer->body)) {
            json_decref(answer->body);
            answer->body = NULL;
            answer->error = "a malformed answer";
        }
    }
    if (!--question->asking->open)
        ev_break(question->asking->loop, EVBREAK_ALL);
}

static void on_deadline(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)w;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

void pm_gather(struct pm_gathered *out, const struct pm_settings *settings, const char *target,
               double timeout_s)
{
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    struct asking asking = {loop, 0};
    struct question question[PM_GATHER_MAX + 2];
    struct pm_http_client *client = pm_http_client_new(loop, CONNECTIONS_MAX);
    ev_timer deadline;

    memset(out, 0, sizeof *out);
    out->controllers = settings->peer_count + 1;
    out->controller[0] =
        (struct pm_answer){.name = settings->name, .addr = settings->peer_listen_addr};
    for (int i = 0; i < settings->peer_count; i++)
        out->controller[i + 1] =
            (struct pm_answer){.name = settings->peers[i].name, .addr = settings->peers[i].addr};
    out->lead = (struct pm_answer){.name = "state service", .addr = settings->store_addr};
    out->epoch = out->lead;
    for (int i = 0; i < out->controllers + 2; i++) {
        bool state = i >= out->controllers;
        struct pm_answer *answer = !state                  ? &out->controller[i]
                                   : i == out->controllers ? &out->lead
                                                           : &out->epoch;
        const char *path = !state ? target : i == out->controllers ? "/kv/p/lead" : "/kv/p/epoch";
        answer->error = "no answer in time";
        question[i] = (struct question){&asking, answer};
        asking.open++;
        pm_http_call(client, answer->addr, "GET", path, NULL, 0, timeout_s, ANSWER_MAX, on_answer,
                     &question[i]);
    }
    ev_timer_init(&deadline, on_deadline, timeout_s + GRACE_S, 0.);
    ev_timer_start(loop, &deadline);
    ev_run(loop, 0);
    ev_timer_stop(loop, &deadline);
    pm_http_client_free(client);
    ev_loop_destroy(loop);
}

void pm_gathered_free(struct pm_gathered *gathered)
{
    for (int i = 0; i < gathered->controllers; i++)
        json_decref(gathered->controller[i].body);
    json_decref(gathered->lead.body);
    json_decref(gathered->epoch.body);
}

int pm_gathered_count(const struct pm_gathered *gathered)
{
    int count = 0;

    for (int i = 0; i < gathered->controllers; i++)
        count += gathered->controller[i].body != NULL;
    return count;
}
