#include "gather.h"
#include "base/http.h"
#include "cbor_to_json.h"

#include <ev.h>
#include <string.h>

enum {
    ANSWER_MAX = 1024 * 1024, /* bytes */
    REQUESTS_MAX = PM_GATHER_CONTROLLERS_MAX + 2,
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503
};

/* The event loop is stopped this long after the requests' own timeout, which normally ends them
 * first. */
#define DEADLINE_MARGIN_S 0.5

/* A request, and where its answer is stored. */
struct pending_request {
    struct gathering *gathering;
    struct pm_answer *answer;
};

/* The state of one call of pm_gather(). */
struct gathering {
    struct ev_loop *loop;
    struct pm_http_client *client;
    double timeout_s;
    struct pending_request requests[REQUESTS_MAX];
    int request_count;
    int pending_count; /* requests that have not ended yet */
};

/* Returns the error text for a request that ended without status 200. */
static const char *describe_error(int status)
{
    if (status == PM_HTTP_NOT_SENT)
        return "connection failed";
    if (status == PM_HTTP_NO_RESPONSE)
        return "no answer";
    if (status == STATUS_UNAVAILABLE)
        return "service unavailable (HTTP 503)";
    return status == STATUS_NOT_FOUND ? "not found (HTTP 404)" : "unexpected HTTP status";
}

/* Decodes the body into `answer`. Sets an error if the body is not a map. */
static void read_body(struct pm_answer *answer, const unsigned char *body, size_t size)
{
    answer->body = pm_json_from_cbor(body, size);
    if (json_is_object(answer->body))
        return;
    json_decref(answer->body);
    answer->body = NULL;
    answer->error = "malformed answer";
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
    if (!--gathering->pending_count)
        ev_break(gathering->loop, EVBREAK_ALL);
}

static void send_request(struct gathering *gathering, struct pm_answer *answer, const char *target)
{
    struct pending_request *request = &gathering->requests[gathering->request_count++];

    answer->error = "no answer";
    *request = (struct pending_request){.gathering = gathering, .answer = answer};
    gathering->pending_count++;
    pm_http_call(gathering->client, answer->addr, "GET", target, NULL, 0, gathering->timeout_s,
                 ANSWER_MAX, on_answer, request);
}

/* Sets the names and addresses of all answers, and clears the rest. */
static void init_answers(struct pm_gathered *out, const struct pm_settings *settings)
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

/* Runs the event loop until every request has ended, or until the deadline. */
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
    init_answers(out, settings);
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

int pm_gathered_answer_count(const struct pm_gathered *gathered)
{
    int count = 0;

    for (int i = 0; i < gathered->controller_count; i++)
        count += gathered->controllers[i].body != NULL;
    return count;
}
