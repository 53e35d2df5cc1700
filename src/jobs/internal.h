/* What the parts of the jobs slice share; nobody else includes it. */
#ifndef PM_JOBS_INTERNAL_H
#define PM_JOBS_INTERNAL_H

#include "jobs/dependencies.h"

enum { TEXT_MAX = 120 }; /* of a name, in bytes */
#define EPS 1e-6         /* amounts as decimal numbers are this exact */

/* The replica of the jobs (jobs.c). */
struct pm_jobs {
    struct pm_name_tables *tables;
    GHashTable *by_id; /* owns the jobs */
    GPtrArray *active;
    struct pm_dependency_graph *dependencies;
    bool delegated;
    GHashTable *overflow_lists; /* id to GPtrArray of GPtrArray of ids: the p/n values, by K */
    /* Cancellations (cancellations.c). */
    GArray *cancellations;         /* of struct pm_cancellation */
    bool cancellations_unsorted;   /* it is not by revision, as it should be */
    GHashTable *unknown_cancelled; /* id to revision: cancelled, though the job is not known yet */
};

/* spec.c: descriptions of jobs */
struct pm_submitted_names {
    char class_name[TEXT_MAX], team[TEXT_MAX], image[TEXT_MAX], zone[TEXT_MAX];
};
extern const char *const pm_job_state_names[]; /* as stored, by enum pm_job_state */
/* The index of the text among the first `n` names, -1: none of them. */
int pm_name_index(const char *const *names, int n, const char *text);
int pm_spec_find_team(const struct pm_settings *settings, const char *name);
/* 0, or -1 with the field at fault in `why`. Names are left for the caller to judge. */
int pm_spec_decode(const struct pm_name_tables *tables, const cbor_item_t *body,
                   struct pm_spec *spec, struct pm_submitted_names *names, const char **why);

/* chunks.c: tasks by chunks */
void pm_chunk_free(struct pm_chunk *chunk);
/* The chunk k of the job, made when missing; NULL: there is no such one. */
struct pm_chunk *pm_job_chunk(struct pm_job *job, int k);
/* Splits ID/K, or ID/K/H: `half` is -1 for the whole chunk. False: another form. */
bool pm_chunk_key_parse(const char *rest, char *id, int *k, int *half);
/* Reads a value of p/t into `out`. False: unreadable, nothing changed. */
bool pm_chunk_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                     struct pm_stored_chunk *out);
/* Sums up what the chunk's values say together. */
void pm_chunk_merge(struct pm_chunk *chunk);

/* cancellations.c */
/* The job's durable cancellation at that revision is told to peers that ask. */
void pm_jobs_note_cancellation(struct pm_jobs *jobs, const char *id, uint64_t revision);
/* A job that needs a cancelled one; `arg`: the revision of that cancellation. Peers infer it as we
 * do, so they are not told. */
void pm_jobs_cancel_dependent(void *arg, struct pm_job *job);

#endif
