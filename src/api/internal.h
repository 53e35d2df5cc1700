/* What the files of the api slice share; no other slice includes it.
 *
 * A request is admitted (request.c), processed until it can be answered (request.c, with
 * submission.c and cancellation.c for what only these need), perhaps written (write_batch.c), and
 * answered (replies.c), which frees it. */
#ifndef PM_API_INTERNAL_H
#define PM_API_INTERNAL_H

#include "api/api.h"
#include "api/concurrency_limit.h"

#include <ev.h>
#include <glib.h>

/* Status codes of answers to users. */
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
    PM_API_RETRY_SOON_S = 1,  /* Retry-After when a repeat will probably succeed */
    PM_API_RETRY_LATER_S = 2, /* Retry-After while something is out of service, or overloaded */
    PM_API_ATTEMPTS_MAX = 6,  /* to write a request */
    PM_API_TXN_BYTES_MAX = 40 * 1024 /* no write is added to a transaction of so many bytes */
};

enum pm_api_request_kind { PM_API_SUBMIT, PM_API_POLL, PM_API_CANCEL };

/* What a submission of a job that is not known yet consists of. Written by submission.c. */
struct pm_api_submission {
    struct pm_spec *spec;      /* owned; NULL when the job was known already */
    GPtrArray *dependency_ids; /* of the jobs that it needs; owned, NULL: none */
    size_t value_size;         /* of the job's value without its dependencies; 0: not known yet */
    uint32_t overflow_lists_written; /* p/n values that are durable */
    uint32_t overflow_lists_sent;    /* ... and will be, when the transaction in flight succeeds */
};

/* A user's request in progress; freed by its reply. */
struct pm_api_request {
    struct pm_api *api;
    struct pm_http_request *http; /* borrowed until the reply */
    enum pm_api_request_kind kind;
    char id[PM_ID_MAX]; /* of the job */
    double arrived_at;
    int attempts;            /* to write it, that did not succeed */
    bool is_replica_current; /* the replica is as new as the request */
    struct pm_api_submission submission;
};

/* Requests to be written, and the transactions that write them. Written by write_batch.c. */
struct pm_api_write_queue {
    GQueue requests;       /* of struct pm_api_request */
    int batches_in_flight; /* transactions */
    ev_timer timer;        /* the next attempt to send what is queued */
};

struct pm_api {
    struct ev_loop *loop;
    struct pm_store *store;
    struct pm_jobs *jobs;
    struct pm_name_tables *tables;
    struct pm_cancel_quorum *cancel_quorum;
    struct pm_concurrency_limit *limit;
    bool dependencies_enabled;
    bool is_cut_off;      /* the state service is out of reach */
    double last_probe_at; /* a read sent for the readiness probe alone */
    struct pm_api_write_queue writes;
};

/* ---- request.c ---- */

/* Admits a request about the job `id`. NULL: too many are in progress, and it was answered 429. */
struct pm_api_request *pm_api_request_new(struct pm_api *api, struct pm_http_request *http,
                                          enum pm_api_request_kind kind, const char *id);
/* Ends an admitted request that was just answered, and frees it. */
void pm_api_request_end(struct pm_api_request *request);
/* Answers the request if that can be done now; else starts what it waits for, after which it is
 * processed again. The request may be freed when this returns. */
void pm_api_request_process(struct pm_api_request *request);
/* Processes the request again once the replica is as new as the state service is now. */
void pm_api_request_await_replica(struct pm_api_request *request);

/* ---- submission.c ---- */

/* Handles POST /work. */
void pm_api_handle_submission(struct pm_api *api, struct pm_http_request *http);
/* Takes a submission of a job that is not known one step further: rejects it, writes its overflow
 * lists, or queues it to be written. */
void pm_api_process_new_job(struct pm_api_request *request);
/* Appends the new job's value of p/j/ID to `out`. */
void pm_api_encode_new_job(const struct pm_api_request *request, struct pm_buffer *out);
/* Frees what the submission owns. */
void pm_api_submission_clear(struct pm_api_submission *submission);

/* ---- cancellation.c ---- */

/* Appends the value of p/j/ID of a job that is being cancelled to `out`. */
void pm_api_encode_cancelled_job(const struct pm_api *api, const struct pm_job *job,
                                 struct pm_buffer *out);
/* The cancellation is durable since `store_revision`: applies it, and answers the request. */
void pm_api_complete_cancellation(struct pm_api_request *request, uint64_t store_revision);
/* Answers with the job's final state: "done" at once, "cancelled" once a majority of controllers
 * knows it; 503 when that can't be had in time. */
void pm_api_reply_final_status(struct pm_api_request *request, const struct pm_job *job);

/* ---- write_batch.c ---- */

/* Initializes the queue of writes. */
void pm_api_writes_init(struct pm_api *api);
/* Queues a request to be written, a cancellation before all others, and sends what may be sent. */
void pm_api_enqueue_write(struct pm_api_request *request);

/* ---- replies.c ---- */

/* Answers a request that was not admitted with a map that holds the reason. */
void pm_api_reply_error(struct pm_http_request *http, enum pm_api_status status,
                        const char *reason);
/* Answers 422 with the reason, and frees the request. */
void pm_api_reply_rejected(struct pm_api_request *request, const char *reason);
/* Answers 503 with Retry-After, and frees the request: it is not known what can be answered, or not
 * possible now. */
void pm_api_reply_unavailable(struct pm_api_request *request, int retry_after_s);
/* Answers 404, and frees the request. */
void pm_api_reply_unknown_job(struct pm_api_request *request);
/* Answers 201, and frees the request: the new job is durable. */
void pm_api_reply_accepted(struct pm_api_request *request);
/* Answers 200 with the job's state and its counts of tasks, and frees the request. */
void pm_api_reply_status(struct pm_api_request *request, const struct pm_job *job);

#endif
