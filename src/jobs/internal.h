/* Declarations shared by the source files of the jobs slice; other slices must not include it. (The
 * files of the write-back also share commit_internal.h.) */
#ifndef PM_JOBS_INTERNAL_H
#define PM_JOBS_INTERNAL_H

#include "jobs/dependencies.h"

enum { NAME_SIZE_MAX = 120 }; /* size of a submitted or stored name in bytes, with its NUL */
#define AMOUNT_TOLERANCE 1e-6 /* rounding error allowed when amounts are compared */

/* The replica of the jobs (jobs.c). */
struct pm_jobs {
    struct pm_name_tables *tables;
    GHashTable *by_id; /* owns the jobs */
    GPtrArray *active;
    struct pm_dependency_graph *dependencies;
    bool delegated;
    /* The p/n values of jobs whose dependencies are not all known: a map from the job's id to a
     * GPtrArray, whose entry K is the GPtrArray of the ids in p/n/ID/K. */
    GHashTable *overflow_lists;
    /* Cancellations (cancellations.c). */
    GArray *cancellations;       /* of struct pm_cancellation */
    bool cancellations_unsorted; /* has to be sorted by revision before it is read */
    /* Cancellations of jobs that are not known yet: a map from the job's id to the revision. */
    GHashTable *cancelled_before_known;
};

/* ---- jobs.c: the set of jobs ---- */

/* Adds a job that is not known yet, without a description, and returns it, borrowed from `jobs`. */
struct pm_job *pm_jobs_add(struct pm_jobs *jobs, const char *id, uint32_t task_count);

/* Adds the job to the active jobs, unless it is one, and delegates it if all jobs are delegated. */
void pm_jobs_activate(struct pm_jobs *jobs, struct pm_job *job);

/* Frees all but the final state of a job that has ended and has no placed tasks, and removes it
 * from the active jobs. */
void pm_jobs_keep_final_state_only(struct pm_jobs *jobs, struct pm_job *job);

/* ---- job_dependencies.c: the dependencies of the replica's jobs ---- */

/* Updates the dependency graph after the job has changed. Cancels the job if a dependency of it is
 * cancelled, and its dependents if it is cancelled itself. */
void pm_jobs_update_graph(struct pm_jobs *jobs, struct pm_job *job);

/* Reads the dependencies from the value of a job whose description has just become known. If they
 * are malformed, or are stored in separate lists, the job may not start. */
void pm_jobs_read_dependencies(struct pm_jobs *jobs, struct pm_job *job, const cbor_item_t *value);

/* Adds the job to the dependency graph if its dependencies are stored in separate lists and all of
 * these are known. The lists may become known before or after the job. */
void pm_jobs_complete_dependencies(struct pm_jobs *jobs, struct pm_job *job);

/* Applies the value of p/n/`suffix`. Returns the job that it belongs to, or NULL if the value is
 * malformed, the job is not known, or all its dependencies are known already. */
struct pm_job *pm_jobs_apply_dependency_list(struct pm_jobs *jobs, const char *suffix,
                                             const cbor_item_t *value);

/* ---- cancellations.c ---- */

/* Adds the job's durable cancellation at `revision` to the list that peers can ask for. */
void pm_jobs_record_cancellation(struct pm_jobs *jobs, const char *id, uint64_t revision);

/* Cancels a job because a dependency of it was cancelled at the revision that `arg` points to
 * (uint64_t). This is not listed for peers, which derive it themselves. */
void pm_jobs_cancel_dependent(void *arg, struct pm_job *job);

/* ---- keys.c ---- */

enum { PM_JOBS_KEY_MAX = 64 }; /* size of a job's, chunk's or list's key in bytes, with its NUL */

/* Returns the part of the key after the prefix, or NULL if the key does not start with it. */
const char *pm_key_without_prefix(const char *key, const char *prefix);

/* Writes the job's key to `key`, a buffer of PM_JOBS_KEY_MAX bytes. */
void pm_job_key_write(const struct pm_job *job, char *key);

/* Writes the key of the chunk (`half` is PM_CHUNK_WHOLE) or of one of its halves to `key`, a buffer
 * of PM_JOBS_KEY_MAX bytes. */
void pm_chunk_key_write(const struct pm_job *job, int chunk_index, int half, char *key);

/* Writes the key of the job's dependency list with that index to `key`, a buffer of PM_JOBS_KEY_MAX
 * bytes. */
void pm_dependency_list_key_write(const struct pm_job *job, int list_index, char *key);

/* Parses `suffix`, the part of a p/t or p/n key after the prefix, which is ID/K or ID/K/H. `id` is
 * a buffer of PM_ID_MAX bytes; `*half` is set to PM_CHUNK_WHOLE if there is no H. Returns false if
 * the suffix has another form. */
bool pm_chunk_key_parse(const char *suffix, char *id, int *index, int *half);

/* ---- job_codec.c: descriptions and values of p/j ---- */

/* The names in a description, which the caller has to look up or intern. */
struct pm_submitted_names {
    char class_name[NAME_SIZE_MAX], team[NAME_SIZE_MAX], image[NAME_SIZE_MAX];
    char zone[NAME_SIZE_MAX]; /* empty if any zone is allowed */
};

/* The fields that every p/j value has. */
struct pm_job_summary {
    enum pm_job_state state;
    uint32_t task_count;
};

/* Reads the fields that submissions and stored descriptions share. If one is missing or invalid,
 * returns false with its name in `*reason` (a constant); `spec` is then partly overwritten. */
bool pm_spec_decode(const struct pm_name_tables *tables, const cbor_item_t *body,
                    struct pm_spec *spec, struct pm_submitted_names *names, const char **reason);

/* Returns the index of the team in the settings, or -1 if they do not list it. */
int pm_spec_find_team(const struct pm_settings *settings, const struct pm_submitted_names *names);

/* Returns the index of the zone in the settings, or -1 if none is named or it is not listed. */
int pm_spec_find_zone(const struct pm_settings *settings, const struct pm_submitted_names *names);

/* Reads the description from a stored value, except for its dependencies. Returns false if the
 * value is malformed or the settings do not list its team or its zone; `spec` is then partly
 * overwritten. */
bool pm_stored_spec_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                           struct pm_spec *spec);

/* Reads the fields that every p/j value has. Returns false, with `out` unchanged, if one is missing
 * or invalid. */
bool pm_job_summary_decode(const cbor_item_t *value, struct pm_job_summary *out);

/* Whether the p/j value contains the job's description. */
bool pm_job_value_has_description(const cbor_item_t *value);

/* Reads the time of day at which a job that is done ended; `*ended_wall` is unchanged if the
 * value does not have it. */
void pm_job_end_time_decode(const cbor_item_t *value, double *ended_wall);

/* ---- allowed_types.c: the machine types that a job allows ---- */

/* Reads the list of allowed machine types into `*out`: bit i is set if type i is allowed, and all
 * bits if `list` is NULL. Skips types that are not known. Returns false if the list is malformed.
 */
bool pm_allowed_types_decode(const struct pm_name_tables *tables, const cbor_item_t *list,
                             uint64_t *out);

/* Keeps the names in the list that pm_allowed_types_decode skips, in place of those that the
 * description had. */
void pm_unknown_types_decode(const struct pm_name_tables *tables, const cbor_item_t *list,
                             struct pm_spec *spec);

/* Frees the names of the types that are not known. */
void pm_spec_clear_unknown_types(struct pm_spec *spec);

/* Adds the field with the names of the allowed types, known or not, to the map that is being
 * written to `out`; adds nothing if all types are allowed. */
void pm_allowed_types_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                             struct pm_buffer *out);

/* ---- dependency_codec.c ---- */

/* Reads the number of p/n values that list the job's dependencies; 0 if the p/j value lists them
 * itself. Returns false if the field is malformed. */
bool pm_overflow_list_count_decode(const cbor_item_t *value, uint64_t *out);

/* Adds the field with the dependencies from index `first` up to, but not including, `end` to the
 * map that is being written to `out`. */
void pm_dependencies_field_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                                  uint32_t first, uint32_t end, struct pm_buffer *out);

/* ---- chunks.c: the replica of chunks ---- */

/* Frees a chunk and its tasks; NULL is allowed. */
void pm_chunk_free(struct pm_chunk *chunk);

/* Allocates the job's array of chunks, unless it exists. */
void pm_job_allocate_chunks(struct pm_job *job);

/* Frees the job's chunks and their array. */
void pm_job_free_chunks(struct pm_job *job);

/* Returns the chunk with that index, which is created if it does not exist; NULL if the index is
 * beyond the job's tasks. */
struct pm_chunk *pm_job_ensure_chunk(struct pm_job *job, int chunk_index);

/* Computes the chunk's replicated contents from its stored values, those of whole and halves. */
void pm_chunk_merge(struct pm_chunk *chunk);

/* Marks all values of the chunk as not stored. */
void pm_chunk_mark_not_stored(struct pm_chunk *chunk);

/* Returns the bits of `struct pm_chunk_write_back.dirty` for one half, or for PM_CHUNK_WHOLE those
 * of both halves. */
unsigned pm_chunk_dirty_bits(int half);

/* ---- chunk_codec.c: values of p/t ---- */

/* Reads a p/t value into `out`, except for its revision. Returns false, with `out` unchanged, if
 * the value is malformed. */
bool pm_chunk_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                     struct pm_stored_chunk *out);

#endif
