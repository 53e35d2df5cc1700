/* Declarations that the files of the api slice share. No other slice includes this header.
 *
 * A request is admitted (request.c) and then processed until it can be answered (request.c;
 * submission.c and cancellation.c have the steps that are specific to these requests). Submissions
 * and cancellations are written in batches (write_batch.c). The reply (replies.c) frees the
 * request. */
#ifndef PM_API_INTERNAL_H
#define PM_API_INTERNAL_H

#include "api/api.h"
#include "api/concurrency_limit.h"

#include <ev.h>
#include <glib.h>

/* HTTP status codes of answers to users. */
enum pm_api_status {
    PM_API_OK = 200,
    PM_API_CREATED = 201,
    PM_API_BAD_REQUEST = 400,
    PM_API_NOT_FOUND = 404,
    PM_API_METHOD_NOT_ALLOWED = 405,
    PM_API_UNPROCESSABLE = 422,
    PM_API_TOO_MANY_REQUESTS = 429,
    PM_API_UNAVAILABLE = 503
};

enum {
    PM_API_RETRY_SOON_S = 1,         /* Retry-After if a repeat will probably succeed */
    PM_API_RETRY_LATER_S = 2,        /* Retry-After during an outage or an overload */
    PM_API_ATTEMPTS_MAX = 6,         /* attempts to write a request */
    PM_API_TXN_BYTES_MAX = 40 * 1024 /* no write is added to a transaction of this size or larger */
};

enum pm_api_request_kind { PM_API_SUBMIT, PM_API_POLL, PM_API_CANCEL };

/* The submission of a job that is not known yet. Written by submission.c. */
struct pm_api_submission {
    struct pm_spec *spec;      /* owned; NULL if the job was known when the request arrived */
    GPtrArray *dependency_ids; /* owned; NULL if the job has no dependencies */
    size_t value_size;         /* of the job's value without its dependencies; 0 if not known yet */
    uint32_t overflow_lists_written; /* number of p/n values that are durable */
    uint32_t overflow_lists_sent; /* number of p/n values that are durable once the transaction in
                                   * flight has succeeded */
};

/* A user's request in progress. The reply frees it. */
struct pm_api_request {
    struct pm_api *api;
    struct pm_http_request *http; /* borrowed until the reply */
    enum pm_api_request_kind kind;
    char id[PM_ID_MAX]; /* of the job */
    double arrived_at;
    int attempts;            /* unsuccessful attempts to write the request */
    bool is_replica_current; /* the replica has caught up since the request arrived */
    struct pm_api_submission submission;
};

/* Queue of the requests to be written. Written by write_batch.c. */
struct pm_api_write_queue {
    GQueue requests;       /* of struct pm_api_request */
    int batches_in_flight; /* transactions without a result yet */
    ev_timer timer;        /* triggers the next attempt to send queued requests */
};

struct pm_api {
    struct ev_loop *loop;
    struct pm_store *store;
    struct pm_jobs *jobs;
    struct pm_name_tables *tables;
    struct pm_cancel_quorum *cancel_quorum;
    struct pm_concurrency_limit *limit;
    bool dependencies_enabled;
    bool is_cut_off;      /* this controller cannot reach the state service */
    double last_probe_at; /* monotonic: last read that was sent only for the readiness probe */
    struct pm_api_write_queue writes;
};

/* ---- request.c ---- */

/* Admits a request that concerns the job `id`. Returns NULL if too many requests are in progress;
 * the request was then answered 429. */
struct pm_api_request *pm_api_request_new(struct pm_api *api, struct pm_http_request *http,
                                          enum pm_api_request_kind kind, const char *id);
/* Ends and frees an admitted request that has been answered. */
void pm_api_request_end(struct pm_api_request *request);
/* Answers the request if that is possible now. Otherwise starts the next step that the answer
 * needs, after which the request is processed again. The request may have been freed on return. */
void pm_api_request_process(struct pm_api_request *request);
/* Processes the request again once the replica is as new as the state service is now. Answers 503
 * if that does not happen in time. */
void pm_api_request_await_replica(struct pm_api_request *request);

/* ---- submission.c ---- */

/* Handles POST /work. */
void pm_api_handle_submission(struct pm_api *api, struct pm_http_request *http);
/* Performs the next step of the submission of an unknown job: rejects it, writes its overflow
 * lists, or queues it to be written. */
void pm_api_process_new_job(struct pm_api_request *request);
/* Appends the p/j/ID value of the new job to `out`. */
void pm_api_encode_new_job(const struct pm_api_request *request, struct pm_buffer *out);
/* Frees what the submission owns. */
void pm_api_submission_clear(struct pm_api_submission *submission);

/* ---- cancellation.c ---- */

/* Appends the p/j/ID value of the cancelled job to `out`. */
void pm_api_encode_cancelled_job(const struct pm_api *api, const struct pm_job *job,
                                 struct pm_buffer *out);
/* Applies a cancellation that became durable at `store_revision`, and answers its request. */
void pm_api_complete_cancellation(struct pm_api_request *request, uint64_t store_revision);
/* Answers with the job's final state: "done" at once, "cancelled" once a majority of controllers
 * knows the cancellation, or 503 if that does not happen in time. */
void pm_api_reply_final_status(struct pm_api_request *request, const struct pm_job *job);

/* ---- write_batch.c ---- */

/* Initializes the write queue. */
void pm_api_write_queue_init(struct pm_api *api);
/* Queues a request to be written, cancellations at the head of the queue, and sends as many batches
 * as the limits allow. */
void pm_api_enqueue_write(struct pm_api_request *request);

/* ---- replies.c ---- */

/* Answers with that status and a body that holds the reason; a 503 gets Retry-After. Does not end
 * an admitted request. */
void pm_api_reply_error(struct pm_http_request *http, enum pm_api_status status,
                        const char *reason);
/* Answers 422 with the reason, and frees the request. */
void pm_api_reply_rejected(struct pm_api_request *request, const char *reason);
/* Answers 503 with Retry-After, and frees the request. Used if the answer is not known, or if the
 * request cannot be carried out at present. */
void pm_api_reply_unavailable(struct pm_api_request *request, int retry_after_s);
/* Answers 404, and frees the request. */
void pm_api_reply_unknown_job(struct pm_api_request *request);
/* Answers 201 after the new job has become durable, and frees the request. */
void pm_api_reply_accepted(struct pm_api_request *request);
/* Answers 200 with the job's state and task counts, and frees the request. */
void pm_api_reply_status(struct pm_api_request *request, const struct pm_job *job);

#endif
