/* A task fails on one machine and runs on another. Then the leader is killed and is back within a fraction of a
 * second, and a late copy of the POST /do that had started the task on the first machine arrives there. */
#include "lab.h"

#include <stdlib.h>
#include <string.h>

#define BACK_AFTER_S 0.3     /* "now and then within a fraction of a second" */
#define COPY_AFTER_S 0.1     /* after the leader's process has been started again */
#define TRIES_MAX 8          /* to find a task that was moved within one epoch */
#define SETTLE_S 20.0

static bool are_ready(struct lab *lab, void *arg)
{
    (void)arg;
    return lab_leader(lab) >= 0 && lab_ready(lab) == lab->controllers;
}

static bool runs(struct lab *lab, void *arg)
{
    return lab_where(lab, arg, 0) != NULL;
}

/* The first start of the job's task. */
struct first_start {
    struct lab_job *job;
    struct lab_machine *machine;
    GByteArray *request; /* the body of the POST /do that carried the launch, or NULL */
    uint64_t mandate;
};

static struct first_start first;

static bool carries_launch(const GByteArray *bytes, const struct lab_task *task)
{
    cbor_item_t *body = pm_cbor_parse(bytes->data, bytes->len);
    const cbor_item_t *orders = pm_cbor_get(body, "orders");
    bool found = false;
    char verb[16];
    char name[64];

    for (size_t i = 0; i < pm_cbor_length(orders); i++)
        found |= pm_cbor_read_text(pm_cbor_get(pm_cbor_at(orders, i), "verb"), verb, sizeof verb) &&
                 !strcmp(verb, "launch") &&
                 pm_cbor_read_text(pm_cbor_get(pm_cbor_at(orders, i), "entry"), name, sizeof name) &&
                 !strcmp(name, task->name);
    pm_cbor_free(body);
    return found;
}

static void on_start(struct lab *lab, struct lab_machine *machine, struct lab_task *task)
{
    (void)lab;
    if (task->job != first.job || first.machine)
        return;
    first.machine = machine;
    first.mandate = machine->mandate;
    for (int i = 0; i < 8; i++)
        if (machine->last_do[i] && carries_launch(machine->last_do[i], task))
            first.request = machine->last_do[i];
    if (first.request)
        g_byte_array_ref(first.request);
}

/* The task runs on another machine, and the first one has forgotten it. */
static bool has_moved(struct lab *lab, void *arg)
{
    struct lab_machine *now_on = lab_where(lab, arg, 0);

    if (!now_on || !first.machine || now_on == first.machine || first.machine->gone_at)
        return false;
    for (guint i = 0; i < first.machine->tasks->len; i++)
        if (((struct lab_task *)g_ptr_array_index(first.machine->tasks, i))->job == first.job)
            return false;
    return true;
}

static uint64_t highest_mandate(const struct lab *lab)
{
    uint64_t highest = 0;

    for (guint i = 0; i < lab->machines->len; i++)
        highest = MAX(highest, ((struct lab_machine *)g_ptr_array_index(lab->machines, i))->mandate);
    return highest;
}

static bool has_higher_mandate(struct lab *lab, void *arg)
{
    return highest_mandate(lab) > *(uint64_t *)arg;
}

/* Submits jobs until one's task has failed on one machine, runs on another, and the first machine has seen no higher
 * token since. Each is submitted just after the token was raised, so that the rest fits in before the next time. */
static bool move_a_task(struct lab *lab)
{
    for (int i = 0; i < TRIES_MAX; i++) {
        uint64_t mandate = highest_mandate(lab);
        struct lab_job *job;
        if (!lab_until(lab, has_higher_mandate, &mandate, 15))
            return false;
        job = lab_job_new(lab, "array", 1, 3, 90);
        job->fail_first = 1;
        job->fail_s = 0.3;
        first = (struct first_start){.job = job};
        if (lab_submit(lab, job, 1) != 201)
            return false;
        if (lab_until(lab, has_moved, job, 8) && first.request && first.machine->mandate == first.mandate)
            return true;
        lab_say(lab, "%s: not moved within one token; the next job is tried", job->id);
        lab_cancel(lab, job, 1);
    }
    return false;
}

int main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    bool is_troubled = !trouble || strcmp(trouble, "0") != 0;
    struct lab *lab = lab_new(argc > 1 ? argv[1] : "record.txt");
    int leader;
    int result = 2;

    lab->type_count = 1; /* one type, so that each service below has a machine of its own */
    lab->on_start = on_start;
    lab_open(lab);
    for (int i = 0; i < lab->controllers; i++)
        lab_start(lab, i);
    if (!lab_until(lab, are_ready, NULL, 10))
        goto end;
    for (int i = 0; i < 3; i++) { /* services that keep some machines up, each with room for the task */
        struct lab_job *portal = lab_job_new(lab, "standing", 1, 10, 0);
        portal->priority = "production";
        if (lab_submit(lab, portal, 0) != 201 || !lab_until(lab, runs, portal, 20))
            goto end;
    }
    if (!move_a_task(lab))
        goto end;
    lab_say(lab, "%s/0 failed on %s, which has forgotten it, and runs on %s; highest token seen by %s: %llu", first.job->id,
            first.machine->name, lab_where(lab, first.job, 0)->name, first.machine->name,
            (unsigned long long)first.machine->mandate);
    if (is_troubled) {
        leader = lab_leader(lab);
        lab_kill(lab, leader);
        lab_run(lab, BACK_AFTER_S);
        lab_start(lab, leader);
        lab_run(lab, COPY_AFTER_S);
        if (lab_repeat_do(lab, first.machine, first.request) != 200) {
            lab_say(lab, "the copy came too late");
            result = 0;
        }
    }
    lab_run(lab, SETTLE_S);
    result = lab->ran_twice > 0;
    lab_say(lab, result ? "RULE BROKEN: ran_twice" : "RULE HELD");
end:
    lab_close(lab);
    return result;
}
