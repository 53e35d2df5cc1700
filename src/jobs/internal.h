/* What the parts of the jobs slice share; nobody else includes it. (The parts of the write-back
 * share commit_internal.h as well.) */
#ifndef PM_JOBS_INTERNAL_H
#define PM_JOBS_INTERNAL_H

#include "jobs/dependencies.h"

enum { TEXT_MAX = 120 }; /* of a name, in bytes with its NUL */
#define EPS 1e-6         /* amounts as decimal numbers are this exact */

/* The replica of the jobs (jobs.c). */
struct pm_jobs {
    struct pm_name_tables *tables;
    GHashTable *by_id; /* owns the jobs */
    GPtrArray *active;
    struct pm_dependency_graph *dependencies;
    bool delegated;
    GHashTable *overflow_lists; /* id to GPtrArray of GPtrArray of ids: the p/n values by index, of
                                 * jobs whose dependencies are not all known */
    /* Cancellations (cancellations.c). */
    GArray *cancellations;         /* of struct pm_cancellation */
    bool cancellations_unsorted;   /* it is not by revision, as it should be */
    GHashTable *unknown_cancelled; /* id to revision: cancelled, though the job is not known yet */
};

/* ---- jobs.c: the set of jobs ---- */

/* Adds a job that was not known, with no description. Borrowed from `jobs`. */
struct pm_job *pm_jobs_add(struct pm_jobs *jobs, const char *id, uint32_t task_count);

/* The job is listed by pm_jobs_active, and is this controller's to place if others are. */
void pm_jobs_activate(struct pm_jobs *jobs, struct pm_job *job);

/* The job is over and none of its tasks is left: frees all but its final state. */
void pm_jobs_keep_final_state_only(struct pm_jobs *jobs, struct pm_job *job);

/* ---- job_dependencies.c: what jobs of the replica depend on ---- */

/* Brings the dependency graph up to date with the job, and derives what follows from it: the
 * cancellation of its dependents, or its own. */
void pm_jobs_update_graph(struct pm_jobs *jobs, struct pm_job *job);

/* Reads the dependencies from the value of a job whose description is new. If they can't be read,
 * or stand in lists beside it, the job may not start. */
void pm_jobs_read_dependencies(struct pm_jobs *jobs, struct pm_job *job, const cbor_item_t *value);

/* Once the job and all of its lists are known, in whatever order, it joins the graph. */
void pm_jobs_complete_dependencies(struct pm_jobs *jobs, struct pm_job *job);

/* Applies the value of p/n/`rest`. Returns the job that it belongs to, NULL if that is not known,
 * or has its dependencies already. */
struct pm_job *pm_jobs_apply_dependency_list(struct pm_jobs *jobs, const char *rest,
                                             const cbor_item_t *value);

/* ---- cancellations.c ---- */

/* Lists the job's durable cancellation at that revision for peers that ask. */
void pm_jobs_record_cancellation(struct pm_jobs *jobs, const char *id, uint64_t revision);

/* Cancels a job that depends on a cancelled one; `arg`: the revision of that cancellation
 * (uint64_t). It is not listed for peers, which derive it as well. */
void pm_jobs_cancel_dependent(void *arg, struct pm_job *job);

/* ---- keys.c ---- */

enum { PM_JOBS_KEY_MAX = 64 };

/* What follows the prefix in the key; NULL if the key does not begin with it. */
const char *pm_key_without_prefix(const char *key, const char *prefix);

/* Writes the job's key into `key`, of PM_JOBS_KEY_MAX bytes, as the other two. */
void pm_job_key_write(const struct pm_job *job, char *key);

/* Writes the key of the chunk, or of one half of it (PM_CHUNK_WHOLE: of the whole). */
void pm_chunk_key_write(const struct pm_job *job, int chunk_index, int half, char *key);

/* Writes the key of the job's dependency list of that index. */
void pm_dependency_list_key_write(const struct pm_job *job, int list_index, char *key);

/* Splits ID/K, or ID/K/H, which follow the prefix in a key of p/t or p/n; `id` has PM_ID_MAX bytes,
 * `*half` becomes PM_CHUNK_WHOLE where there is no H. False: another form. */
bool pm_chunk_key_parse(const char *rest, char *id, int *index, int *half);

/* ---- job_codec.c: descriptions and values of p/j ---- */

/* Names in a description that the caller has to look up. */
struct pm_submitted_names {
    char class_name[TEXT_MAX], team[TEXT_MAX], image[TEXT_MAX];
    char zone[TEXT_MAX]; /* "": any */
};

/* What every value of p/j has. */
struct pm_job_summary {
    enum pm_job_state state;
    uint32_t task_count;
};

/* Reads the fields that submissions and stored descriptions share. False with the name of the field
 * at fault in `*why` (a constant); `spec` is then partly overwritten. */
bool pm_spec_decode(const struct pm_name_tables *tables, const cbor_item_t *body,
                    struct pm_spec *spec, struct pm_submitted_names *names, const char **why);

/* The index of the team in the settings, -1: unknown. */
int pm_spec_find_team(const struct pm_settings *settings, const struct pm_submitted_names *names);

/* The index of the zone in the settings, -1: any zone, or an unknown one. */
int pm_spec_find_zone(const struct pm_settings *settings, const struct pm_submitted_names *names);

/* Reads the description from a stored value, all but its dependencies. False: unreadable, or of a
 * team that the settings don't have; `spec` is then partly overwritten. */
bool pm_stored_spec_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                           struct pm_spec *spec);

/* Reads what every value of p/j has. False: unreadable, and `out` is unchanged. */
bool pm_job_summary_decode(const cbor_item_t *value, struct pm_job_summary *out);

/* Whether the value keeps the job's description. */
bool pm_job_value_has_description(const cbor_item_t *value);

/* Reads the time of day at which a job that is done ended; unchanged if it is not recorded. */
void pm_job_end_time_decode(const cbor_item_t *value, double *ended_wall);

/* ---- dependency_codec.c ---- */

/* Reads how many lists beside a job's value name its dependencies, 0 if none does. False:
 * unreadable. */
bool pm_overflow_lists_decode(const cbor_item_t *value, uint64_t *out);

/* Writes the field of the dependencies from `first` to before `end` into the map being written. */
void pm_dependencies_field_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                                  uint32_t first, uint32_t end, struct pm_buffer *out);

/* ---- chunks.c: the replica of chunks ---- */

/* Frees a chunk and its tasks; NULL is allowed. */
void pm_chunk_free(struct pm_chunk *chunk);

/* Allocates the list of the job's chunks, unless it is there. */
void pm_job_allocate_chunks(struct pm_job *job);

/* Frees the job's chunks and their list. */
void pm_job_free_chunks(struct pm_job *job);

/* The chunk of that index, made if it is missing; NULL: the job has no such chunk. */
struct pm_chunk *pm_job_chunk(struct pm_job *job, int chunk_index);

/* Derives the chunk's contents from its stored values. */
void pm_chunk_merge(struct pm_chunk *chunk);

/* Forgets which values of the chunk are stored. */
void pm_chunk_forget_stored(struct pm_chunk *chunk);

/* The bits of `dirty` that stand for the halves of a value. */
unsigned pm_chunk_dirty_bits(int half);

/* ---- chunk_codec.c: values of p/t ---- */

/* Reads a value of p/t into `out`, all but its revision. False: unreadable, and `out` is unchanged.
 */
bool pm_chunk_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                     struct pm_stored_chunk *out);

#endif
