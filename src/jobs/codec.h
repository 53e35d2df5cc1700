/* CBOR codecs of submissions and of p/j and p/n values. (p/t values: see chunk.h.)
 *
 * The functions have no side effects other than interning names. The API and the replica call them
 * on the event-loop thread, under `struct pm_controller.lock`. codec_fields.h explains the fields
 * of the values. */
#ifndef PM_JOBS_CODEC_H
#define PM_JOBS_CODEC_H

#include "base/cbor.h"
#include "jobs/job.h"

/* The verdict on a submission. The values are the HTTP status codes of the reply to the user. */
enum pm_submission_result {
    PM_SUBMISSION_VALID = 200,
    PM_SUBMISSION_MALFORMED = 400, /* a field is missing or invalid */
    PM_SUBMISSION_REFUSED = 422,   /* no machine type, or no team's limit, would ever let it run */
    PM_SUBMISSION_UNDECIDED = 503  /* cannot be checked yet: the machine types are not known */
};

/* Reads a submission into `id` (a buffer of PM_ID_MAX bytes) and `spec`, whose former content is
 * overwritten. For all results but PM_SUBMISSION_VALID, `*reason` is set to a text for the user (a
 * constant), and `spec` must not be used. The dependencies are read by pm_dependency_ids_decode. */
enum pm_submission_result pm_submission_decode(struct pm_name_tables *tables,
                                               const cbor_item_t *body, char *id,
                                               struct pm_spec *spec, const char **reason);

/* Reads the ids of the dependencies from a submission, a p/j value or a p/n value. `*out` is set to
 * an array of the distinct ids (texts), owned by the caller, or to NULL if there are none. Returns
 * false if the field is not a list of valid ids. The ids are not interned here, since that would
 * use memory for good on names which are not known to be those of jobs. */
bool pm_dependency_ids_decode(const cbor_item_t *body, GPtrArray **out);

/* Returns how many p/n values are needed for the dependencies; 0 if they all fit into the p/j
 * value, whose size without them is `size` bytes. */
uint32_t pm_spec_overflow_list_count(const struct pm_name_tables *tables,
                                     const struct pm_spec *spec, size_t size);

/* Encodes the value of p/n/ID/`list_index`. */
void pm_dependency_list_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                               uint32_t list_index, struct pm_buffer *out);

/* Encodes the p/j value of a job in that state, including its description if `with_description`;
 * otherwise `spec` may be NULL. */
void pm_job_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                   uint32_t task_count, enum pm_job_state state, bool with_description,
                   struct pm_buffer *out);

/* Encodes the p/j value of a job that is done. The time of its end is included if it is known and
 * every controller runs a version that reads it. */
void pm_job_encode_done(const struct pm_name_tables *tables, const struct pm_job *job,
                        bool with_description, struct pm_buffer *out);

#endif
