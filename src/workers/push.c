/* Tracks the pushes of commands to workers (POST /do), and the fencing tokens of all messages to
 * them. The numbers match a result to its push. Each machine has at most one push in flight. */
#include "base/http.h"
#include "workers/internal.h"

uint64_t pm_worker_push_begin(struct pm_workers *workers, struct pm_machine *machine)
{
    workers->push_count++;
    machine->push.in_flight_number = workers->push_count;
    machine->push.has_launches = false;
    return machine->push.in_flight_number;
}

uint64_t pm_machine_issue_token(struct pm_machine *machine, enum pm_command_message message,
                                struct pm_fencing_range tokens)
{
    struct pm_machine_push *push = &machine->push;
    uint64_t token = MAX(tokens.first, MAX(machine->heartbeat.fencing_token, push->issued_token));

    if (message == PM_COMMAND_REPLY && !push->in_flight_number)
        token = MAX(token, push->launch_token + 1);
    token = MIN(token, tokens.last);
    push->issued_token = MAX(push->issued_token, token);
    return token;
}

/* Records what the result of push `number` means for the placement. */
static void settle_placement(struct pm_placement *placement, uint64_t number, int status)
{
    if (status == PM_HTTP_NO_RESPONSE) {
        placement->launch_outcome_unknown |= placement->launch_push_number == number;
    } else if (status == PM_HTTP_NOT_SENT) {
        if (placement->launch_push_number == number)
            placement->launch_push_number = 0;
    } else if (placement->launch_push_number <= number) {
        /* The worker answered, so a launch that it does not report is sent again. The answer
         * does not show whether an earlier push without a response will still be carried out, so
         * `launch_outcome_unknown` is kept. */
        placement->launch_push_number = 0;
    }
    if (status != 200)
        placement->stop_pushed = false;
}

bool pm_worker_push_done(struct pm_machine *machine, uint64_t number, uint64_t token, int status)
{
    if (machine->push.in_flight_number != number)
        return false;
    machine->push.in_flight_number = 0;
    for (guint i = 0; i < machine->placements->len; i++)
        settle_placement(g_ptr_array_index(machine->placements, i), number, status);
    /* A copy of a push without a response may still arrive minutes later. Record the token and the
     * incarnation with which the worker may still obey it. */
    if (status == PM_HTTP_NO_RESPONSE && machine->push.has_launches) {
        machine->push.unknown_outcome_token = token;
        machine->push.unknown_outcome_incarnation = machine->heartbeat.incarnation;
    }
    return true;
}
