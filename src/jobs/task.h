/* Tasks and their placements: the working state of the controller that places a job.
 *
 * The workers slice creates and frees placements and updates their state from the reports of the
 * machine's worker; the write-back (commit.h) makes them durable. Guarded by
 * `struct pm_controller.lock`. Times are monotonic. */
#ifndef PM_JOBS_TASK_H
#define PM_JOBS_TASK_H

#include <stdbool.h>
#include <stdint.h>

struct pm_job;
struct pm_machine; /* workers slice */

enum pm_placement_state {
    PM_PLACEMENT_PROPOSED, /* not durable yet: no command may be sent for it */
    PM_PLACEMENT_DURABLE,  /* may be launched; the worker has not reported the task yet */
    PM_PLACEMENT_FETCHING,
    PM_PLACEMENT_WAITING,
    PM_PLACEMENT_RUNNING,
    PM_PLACEMENT_CHECKPOINTING,
    PM_PLACEMENT_ENDED /* proven to have ended: it occupies no capacity any more */
};

/* One attempt of a task on one machine. The task runs there, or may still come to run there, until
 * the placement is proven ended. */
struct pm_placement {
    struct pm_job *job;
    struct pm_machine *machine;
    int machine_index; /* index in the tables' machine names */
    uint32_t task_index, attempt;
    uint32_t incarnation; /* of the worker */
    enum pm_placement_state state;
    bool should_stop;            /* the task is to be killed */
    bool stop_pushed;            /* the kill was pushed, and the push has not failed */
    bool seen_in_message;        /* the worker's message that is being applied lists the task */
    double grace_s;              /* how long the task may take to stop */
    double placed_at;            /* when it was placed, or recovered from the replica */
    double running_since;        /* when it was first reported running; 0 if it was not */
    uint64_t launch_push_number; /* number of the last push that carried the launch; 0 if there is
                                  * none, or once a push has been answered */
    uint64_t
        launch_token; /* highest fencing token with which the launch was pushed; 0: it was not */
    bool launch_outcome_unknown;    /* a push that carried the launch got no answer */
    uint64_t launch_reply_sequence; /* sequence number of the heartbeat whose answer carried the
                                     * launch; 0 if none did */
};

/* The working state of one task. */
struct pm_task {
    struct pm_placement *placement; /* not proven ended; borrowed from the workers slice */
    uint16_t failures;
    bool done;
    bool was_resumed;     /* has run before, so that its next run may be shorter than a whole run */
    double backoff_until; /* after failures, the next attempt does not start before this time */
};

#endif
