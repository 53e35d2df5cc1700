/* The names of the stored and submitted fields, mapped once; only the codecs include this.
 *
 * They are part of the protocol and of stored data: never change one. */
#ifndef PM_JOBS_CODEC_FIELDS_H
#define PM_JOBS_CODEC_FIELDS_H

/* Of every value of p/j. */
#define FIELD_STATE "now"          /* "live", "cancelled" or "done" */
#define FIELD_TASK_COUNT "entries" /* in submissions too */

/* Of a job that is done. */
#define FIELD_ENDED_WALL "ended" /* time of day; not written by early versions */

/* Of a description: in submissions, and in values of p/j while the job lives. */
#define FIELD_CLASS "ledger" /* the class of work */
#define FIELD_TEAM "desk"    /* a name of the settings */
#define FIELD_IMAGE "bundle" /* the image that its tasks run */
#define FIELD_KIND "form"    /* the workload kind; every description has it */
#define FIELD_PRIORITY "urgency"
#define FIELD_CPUS "cpus" /* of one task, as the next two */
#define FIELD_GPUS "accelerators"
#define FIELD_RAM_GB "ram_gb"
#define FIELD_IMAGE_GB "size_gb"           /* what a machine has to fetch first */
#define FIELD_ESTIMATED_RUN_S "expected_s" /* of one task */
#define FIELD_CHECKPOINT_INTERVAL_S "bookmark_s"
#define FIELD_CHECKPOINT_DURATION_S "filing_s"
#define FIELD_DEADLINE_S "due_s"     /* after the submission; absent: no deadline */
#define FIELD_SAME_ZONE "same_place" /* all tasks in one zone */
#define FIELD_SPREAD_ZONES "spread"  /* tasks spread over the zones */
#define FIELD_SPOT "borrowed"        /* may run on spot machines */
#define FIELD_ALLOWED_TYPES "models" /* a list of machine types; absent: any */
#define FIELD_ZONE "room"            /* the zone that it has to run in; absent: any */
#define FIELD_DEPENDENCIES "awaits"  /* a list of ids; also the only field of a p/n value */

/* Of a stored description alone. */
#define FIELD_SUBMITTED_WALL "at"    /* time of day */
#define FIELD_OVERFLOW_LISTS "lists" /* how many p/n values name the dependencies instead */

/* Of submissions alone. */
#define FIELD_JOB_ID "name_id"

/* Of values of p/t. */
#define FIELD_DONE_TASKS "done"  /* a text of ranges, such as "0-3,7": indices within the chunk */
#define FIELD_LAST_ATTEMPT "try" /* the highest attempt number that the job has used */
#define FIELD_PLACEMENTS "at"    /* lists: [task in chunk, attempt, machine, incarnation] */

#endif
