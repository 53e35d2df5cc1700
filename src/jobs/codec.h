/* Submissions, and the values of p/j and p/n, in CBOR. (Values of p/t: chunk.h.)
 *
 * Decode and encode functions are pure but for the names that they intern; the API and the replica
 * call them on the event-loop thread, under `struct pm_controller.lock`. What each field of a value
 * means is explained in codec_fields.h. */
#ifndef PM_JOBS_CODEC_H
#define PM_JOBS_CODEC_H

#include "base/cbor.h"
#include "jobs/job.h"

/* What is decided of a submission. The values are the HTTP status codes that a user is answered. */
enum pm_submission_result {
    PM_SUBMISSION_VALID = 200,
    PM_SUBMISSION_MALFORMED = 400, /* a field is missing, or has no readable value */
    PM_SUBMISSION_REFUSED = 422,   /* no machine type, or no team, could ever run it */
    PM_SUBMISSION_UNDECIDED = 503  /* the machine types are not known yet */
};

/* Reads a submission into `id` (PM_ID_MAX bytes) and `spec`, whose former content is overwritten.
 * Otherwise than for PM_SUBMISSION_VALID, `*why` is the reason in words for the user (a constant),
 * and `spec` is not to be used. Its dependencies are read by pm_dependency_ids_decode. */
enum pm_submission_result pm_submission_decode(struct pm_name_tables *tables,
                                               const cbor_item_t *body, char *id,
                                               struct pm_spec *spec, const char **why);

/* Reads the ids of the jobs that a submission, a job's value or a list beside it names as its
 * dependencies: each once, as texts in an array that the caller owns; `*out` is NULL if there are
 * none. False if the field is no list of valid ids. Ids are not interned here: a name alone costs
 * no lasting memory before it is known to be a job's. */
bool pm_dependency_ids_decode(const cbor_item_t *body, GPtrArray **out);

/* How many p/n values are required for the dependencies; 0 if all fit into the job's own value,
 * which is of `size` bytes without them. */
uint32_t pm_spec_overflow_lists(const struct pm_name_tables *tables, const struct pm_spec *spec,
                                size_t size);

/* Writes the value of p/n/ID/`list_index` to `out`. */
void pm_dependency_list_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                               uint32_t list_index, struct pm_buffer *out);

/* Writes the value of p/j for a job in that state to `out`. `spec` may be NULL unless
 * `with_description`, which keeps the description in the value. */
void pm_job_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                   uint32_t task_count, enum pm_job_state state, bool with_description,
                   struct pm_buffer *out);

/* Writes the value of p/j for a job that is done, with the time of its end if every controller
 * reads that. */
void pm_job_encode_done(const struct pm_name_tables *tables, const struct pm_job *job,
                        bool with_description, struct pm_buffer *out);

#endif
