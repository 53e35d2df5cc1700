/* Fault injection: faults of machines, of the network, and of the provider's API. */
#include "testing/fake_provider_internal.h"
#include "base/clock.h"

static const struct relay_fault partition = {.from_controller = true, .to_controller = true};

/* The machine at index `choice`, modulo the number of machines; NULL if it is not up. */
static struct fake_machine *choose_machine(const struct fake_provider *provider, unsigned choice)
{
    struct fake_machine *machine;

    if (!provider->machines->len)
        return NULL;
    machine = g_ptr_array_index(provider->machines, choice % provider->machines->len);
    return fake_machine_is_up(machine) ? machine : NULL;
}

bool fake_provider_partition_machine(struct fake_provider *provider, unsigned choice,
                                     bool partitioned)
{
    struct fake_machine *machine = choose_machine(provider, choice);

    if (!machine)
        return false;
    machine->faults.is_partitioned = partitioned;
    for (int i = 0; i < provider->settings.controller_count; i++)
        relay_set_fault(machine->relay, i,
                        partitioned ? partition : provider->faults.zones[i][machine->zone]);
    return true;
}

/* The machine that is up on which the task runs, and its index; NULL if there is none. */
static struct fake_machine *find_task_machine(const struct fake_provider *provider,
                                              const char *task, unsigned *index)
{
    for (guint i = 0; i < provider->machines->len; i++) {
        struct fake_machine *machine = choose_machine(provider, i);
        if (!machine || !fake_worker_has_running_task(machine, task))
            continue;
        if (index)
            *index = i;
        return machine;
    }
    return NULL;
}

bool fake_provider_partition_task_machine(struct fake_provider *provider, const char *task,
                                          bool partitioned)
{
    unsigned index;

    return find_task_machine(provider, task, &index) &&
           fake_provider_partition_machine(provider, index, partitioned);
}

bool fake_provider_suspend_machine(struct fake_provider *provider, unsigned choice, bool suspended)
{
    struct fake_machine *machine = choose_machine(provider, choice);

    if (!machine)
        return false;
    machine->faults.is_suspended = suspended;
    return true;
}

void fake_provider_restore_machines(struct fake_provider *provider)
{
    for (guint i = 0; i < provider->machines->len; i++) {
        fake_provider_partition_machine(provider, i, false);
        fake_provider_suspend_machine(provider, i, false);
    }
    fake_provider_delay_messages(provider, 0, 0);
}

void fake_provider_delay_messages(struct fake_provider *provider, double heartbeat_share,
                                  double command_share)
{
    provider->faults.delayed_heartbeat_share = heartbeat_share;
    provider->faults.delayed_command_share = command_share;
}

void fake_provider_cut_worker_answers(struct fake_provider *provider, bool are_cut)
{
    provider->faults.are_worker_answers_cut = are_cut;
}

void fake_provider_hold_commands(struct fake_provider *provider)
{
    provider->faults.holds_commands = true;
}

unsigned fake_provider_release_commands(struct fake_provider *provider)
{
    provider->faults.holds_commands = false;
    return fake_worker_end_hold(provider);
}

void fake_provider_repeat_pushes(struct fake_provider *provider, bool are_repeated)
{
    provider->faults.repeats_pushes = are_repeated;
}

unsigned fake_provider_repeated_push_count(const struct fake_provider *provider)
{
    return provider->repeated_push_count;
}

bool fake_provider_fail_task(struct fake_provider *provider, const char *task)
{
    struct fake_machine *machine = find_task_machine(provider, task, NULL);

    if (!machine)
        return false;
    fake_worker_fail_task(machine, task);
    return true;
}

void fake_provider_restart_workers(struct fake_provider *provider, bool keeps_tasks)
{
    double now = pm_clock_monotonic();

    for (guint i = 0; i < provider->machines->len; i++) {
        struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        struct fake_worker *worker = &machine->worker;
        if (!fake_machine_is_up(machine))
            continue;
        if (!keeps_tasks)
            fake_worker_stop_all(machine);
        worker->incarnation = 1;
        worker->heartbeat_sequence = 0;
        worker->fencing_token = 0;
        worker->lease_renewed_at = now;
    }
}

int fake_provider_unserved_machine_count(const struct fake_provider *provider, double seconds)
{
    double now = pm_clock_monotonic();
    int count = 0;

    for (guint i = 0; i < provider->machines->len; i++) {
        const struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        count += fake_machine_is_up(machine) && now - machine->worker.lease_renewed_at > seconds;
    }
    return count;
}

bool fake_provider_fail_machine(struct fake_provider *provider)
{
    for (guint i = 0; i < provider->machines->len; i++) {
        struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        if (!fake_machine_is_up(machine))
            continue;
        fake_worker_stop_all(machine);
        machine->faults.has_failed = true;
        return true;
    }
    return false;
}

void fake_provider_set_zone_fault(struct fake_provider *provider, int controller, int zone,
                                  struct relay_fault fault)
{
    provider->faults.zones[controller][zone] = fault;
    for (guint i = 0; i < provider->machines->len; i++) {
        struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        if (machine->zone == zone && !machine->is_terminated)
            relay_set_fault(machine->relay, controller, fault);
    }
}

void fake_provider_set_api_fault(struct fake_provider *provider, int controller,
                                 struct relay_fault fault)
{
    relay_set_fault(provider->api.relay, controller, fault);
}

void fake_provider_lose_next_answer(struct fake_provider *provider, bool rental)
{
    provider->faults.lose_next_rental_answer = rental;
    provider->faults.lose_next_termination_answer = !rental;
}

void fake_provider_refuse_requests(struct fake_provider *provider, int status, int requests)
{
    provider->faults.refusal_status = status;
    provider->faults.refusals = requests;
}

void fake_provider_delay_next_rental(struct fake_provider *provider, double seconds)
{
    provider->faults.rental_delay_s = seconds;
}

void fake_provider_delay_next_termination(struct fake_provider *provider, double seconds)
{
    provider->faults.termination_delay_s = seconds;
}
