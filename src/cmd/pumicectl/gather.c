#include "gather.h"
#include "base/http.h"
#include "cbor_to_json.h"

#include <ev.h>
#include <string.h>

enum {
    ANSWER_MAX = 1024 * 1024, /* bytes */
    REQUESTS_MAX = PM_GATHER_MAX + 2,
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503
};

/* The requests' own timeouts end them before the loop is stopped. */
#define DEADLINE_MARGIN_S 0.5

struct pending_request {
    struct gathering *gathering;
    struct pm_answer *answer;
};

struct gathering {
    struct ev_loop *loop;
    struct pm_http_client *client;
    double timeout_s;
    struct pending_request requests[REQUESTS_MAX];
    int request_count;
    int open_count; /* not answered yet */
};

/* ---- one request ---- */

static const char *describe_error(int status)
{
    if (status == PM_HTTP_NOT_SENT)
        return "not reached";
    if (status == PM_HTTP_NO_RESPONSE)
        return "no answer in time";
    if (status == STATUS_UNAVAILABLE)
        return "refuses (503)";
    return status == STATUS_NOT_FOUND ? "knows nothing of that (404)" : "an unexpected status";
}

static void read_body(struct pm_answer *answer, const unsigned char *body, size_t size)
{
    answer->body = pm_json_from_cbor(body, size);
    if (json_is_object(answer->body))
        return;
    json_decref(answer->body);
    answer->body = NULL;
    answer->error = "a malformed answer";
}

static void on_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct pending_request *request = arg;
    struct gathering *gathering = request->gathering;
    struct pm_answer *answer = request->answer;

    answer->status = status > 0 ? status : 0;
    answer->error = status == STATUS_OK ? NULL : describe_error(status);
    if (status == STATUS_OK)
        read_body(answer, body, size);
    if (!--gathering->open_count)
        ev_break(gathering->loop, EVBREAK_ALL);
}

static void send_request(struct gathering *gathering, struct pm_answer *answer, const char *target)
{
    struct pending_request *request = &gathering->requests[gathering->request_count++];

    answer->error = "no answer in time";
    *request = (struct pending_request){.gathering = gathering, .answer = answer};
    gathering->open_count++;
    pm_http_call(gathering->client, answer->addr, "GET", target, NULL, 0, gathering->timeout_s,
                 ANSWER_MAX, on_answer, request);
}

/* ---- all of them ---- */

static void name_answers(struct pm_gathered *out, const struct pm_settings *settings)
{
    memset(out, 0, sizeof *out);
    out->controller_count = settings->peer_count + 1;
    out->controllers[0].name = settings->name;
    out->controllers[0].addr = settings->peer_listen_addr;
    for (int i = 0; i < settings->peer_count; i++) {
        out->controllers[i + 1].name = settings->peers[i].name;
        out->controllers[i + 1].addr = settings->peers[i].addr;
    }
    out->leader_key.name = "state service";
    out->leader_key.addr = settings->store_addr;
    out->epoch_key = out->leader_key;
}

static void on_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

static void run_until_answered(struct gathering *gathering)
{
    ev_timer deadline;

    ev_timer_init(&deadline, on_deadline, gathering->timeout_s + DEADLINE_MARGIN_S, 0.);
    ev_timer_start(gathering->loop, &deadline);
    ev_run(gathering->loop, 0);
    ev_timer_stop(gathering->loop, &deadline);
}

void pm_gather(struct pm_gathered *out, const struct pm_settings *settings, const char *target,
               double timeout_s)
{
    struct gathering gathering = {.loop = ev_loop_new(EVFLAG_AUTO), .timeout_s = timeout_s};

    gathering.client = pm_http_client_new(gathering.loop, REQUESTS_MAX);
    name_answers(out, settings);
    for (int i = 0; i < out->controller_count; i++)
        send_request(&gathering, &out->controllers[i], target);
    send_request(&gathering, &out->leader_key, "/kv/p/lead");
    send_request(&gathering, &out->epoch_key, "/kv/p/epoch");
    run_until_answered(&gathering);
    pm_http_client_free(gathering.client);
    ev_loop_destroy(gathering.loop);
}

void pm_gathered_free(struct pm_gathered *gathered)
{
    for (int i = 0; i < gathered->controller_count; i++)
        json_decref(gathered->controllers[i].body);
    json_decref(gathered->leader_key.body);
    json_decref(gathered->epoch_key.body);
}

int pm_gathered_count(const struct pm_gathered *gathered)
{
    int count = 0;

    for (int i = 0; i < gathered->controller_count; i++)
        count += gathered->controllers[i].body != NULL;
    return count;
}
