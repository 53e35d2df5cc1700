/* The names of the fields in stored values and in submissions. Only the codecs include this file.
 *
 * The names are part of the protocol and of stored data, so they must never change. */
#ifndef PM_JOBS_CODEC_FIELDS_H
#define PM_JOBS_CODEC_FIELDS_H

/* Fields of every p/j value. */
#define FIELD_STATE "now"          /* "live", "cancelled" or "done" */
#define FIELD_TASK_COUNT "entries" /* also in submissions */

/* Fields of the p/j value of a job that is done. */
#define FIELD_ENDED_WALL "ended" /* time of day; early versions did not write it */

/* Fields of a description, which are in submissions and in the p/j values of live jobs. */
#define FIELD_CLASS "ledger" /* the name of the job's class */
#define FIELD_TEAM "desk"    /* a team's name in the settings */
#define FIELD_IMAGE "bundle" /* the name of the image that its tasks run */
#define FIELD_KIND "form"    /* the workload kind; every description has it */
#define FIELD_PRIORITY "urgency"
#define FIELD_CPUS "cpus"                  /* per task */
#define FIELD_GPUS "accelerators"          /* per task */
#define FIELD_RAM_GB "ram_gb"              /* per task */
#define FIELD_IMAGE_GB "size_gb"           /* of the image, which machines have to fetch first */
#define FIELD_ESTIMATED_RUN_S "expected_s" /* run time of one task */
#define FIELD_CHECKPOINT_INTERVAL_S "bookmark_s"
#define FIELD_CHECKPOINT_DURATION_S "filing_s"
#define FIELD_DEADLINE_S "due_s"     /* counted from the submission; absent if there is none */
#define FIELD_SAME_ZONE "same_place" /* all tasks have to run in one zone */
#define FIELD_SPREAD_ZONES "spread"  /* the tasks have to be spread over the zones */
#define FIELD_SPOT "borrowed"        /* may run on spot machines */
#define FIELD_ALLOWED_TYPES "models" /* list of machine types; absent if all are allowed */
#define FIELD_ZONE "room"            /* the zone to run in; absent if any is allowed */
#define FIELD_DEPENDENCIES "awaits"  /* list of job ids; also the only field of a p/n value */

/* Fields of stored descriptions only. */
#define FIELD_SUBMITTED_WALL "at"    /* time of day */
#define FIELD_OVERFLOW_LISTS "lists" /* number of p/n values, which replace "awaits" */

/* Fields of submissions only. */
#define FIELD_JOB_ID "name_id"

/* Fields of p/t values. */
#define FIELD_DONE_TASKS "done"  /* ranges of indices within the chunk, such as "0-3,7" */
#define FIELD_LAST_ATTEMPT "try" /* the highest attempt number that the job has used so far */
#define FIELD_PLACEMENTS "at"    /* list of [task in chunk, attempt, machine, incarnation] */

#endif
