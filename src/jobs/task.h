/* Tasks and their placements: the working state of whoever places a job.
 *
 * A placement is made and freed by the workers slice, which keeps its state in step with what the
 * machine's worker reports; the write-back (commit.h) makes it durable. Guarded by
 * `struct pm_controller.lock`. */
#ifndef PM_JOBS_TASK_H
#define PM_JOBS_TASK_H

#include <stdbool.h>
#include <stdint.h>

struct pm_job;
struct pm_machine; /* workers slice */

enum pm_placement_state {
    PM_PLACEMENT_PROPOSED, /* not durable yet: nothing may be sent */
    PM_PLACEMENT_DURABLE,  /* may be launched; its worker has not reported it yet */
    PM_PLACEMENT_FETCHING,
    PM_PLACEMENT_WAITING,
    PM_PLACEMENT_RUNNING,
    PM_PLACEMENT_CHECKPOINTING,
    PM_PLACEMENT_ENDED /* proven: it occupies nothing any more */
};

/* Where a task is, or may be. */
struct pm_placement {
    struct pm_job *job;
    struct pm_machine *machine;
    int machine_index; /* of the tables' machine names */
    uint32_t task_index, attempt;
    uint32_t incarnation; /* of the worker */
    enum pm_placement_state state;
    bool should_stop;     /* to be killed */
    bool stop_acked;      /* a push with the kill was answered */
    bool seen_in_message; /* in the message being read */
    double grace_s;
    double placed_at;     /* monotonic: placed, or found again */
    double running_since; /* monotonic: first seen running, 0: not yet */
    uint64_t launch_push; /* number of the last push with the launch, until one is answered; 0:
                           * none */
    bool launch_outcome_unknown;    /* a push with the launch has no answer */
    uint64_t launch_reply_sequence; /* sequence number of the heartbeat whose answer carried the
                                     * launch, 0: none */
};

/* One task, as seen by whoever places its job. */
struct pm_task {
    struct pm_placement *placement; /* not proven ended; borrowed from the workers slice */
    uint16_t failures;
    bool done;
    bool was_resumed;     /* ran before: its next run may be shorter than a whole one */
    double backoff_until; /* monotonic: the next attempt, after failures */
};

#endif
