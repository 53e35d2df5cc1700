#include "testing/history.h"

#include <glib.h>
#include <string.h>

#define EPS 1e-6

struct job {
    char status[16];
    unsigned tasks;
    double cancelled_at;
};

struct team {
    double cpus, cpus_max;
    double accelerators, accelerators_max; /* its limit 0: none */
    bool over;                             /* said once each time */
};

struct submitted {
    struct team *team;
    double cpus, accelerators;
    int zone;
};

struct history {
    double cancel_s;
    GHashTable *leader_of;  /* epoch, as text, to the controller that raised it */
    GHashTable *holders;    /* controllers that were ever given a block */
    GHashTable *attempts;   /* "task try": started */
    GHashTable *machine_of; /* task to the machine that it is on */
    GHashTable *done_count; /* job to how many of its tasks completed */
    GHashTable *done;       /* tasks that completed */
    GHashTable *jobs;       /* id to struct job */
    GHashTable *teams;      /* name to struct team */
    GHashTable *submitted;  /* id to struct submitted */
    GHashTable *zones;      /* machine to its zone and one */
    unsigned starts;
    GString *violations;
};

static GHashTable *new_table(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static GHashTable *new_set(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct history *history_new(double cancel_s)
{
    struct history *h = g_new0(struct history, 1);

    h->cancel_s = cancel_s;
    h->leader_of = new_table();
    h->holders = new_table();
    h->attempts = new_set();
    h->machine_of = new_table();
    h->done = new_set();
    h->done_count = new_set();
    h->jobs = new_table();
    h->teams = new_table();
    h->submitted = new_table();
    h->zones = new_set();
    h->violations = g_string_new("");
    return h;
}

void history_free(struct history *h)
{
    GHashTable *tables[] = {h->leader_of,  h->holders, h->attempts, h->machine_of, h->done,
                            h->done_count, h->jobs,    h->teams,    h->submitted,  h->zones};

    for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
        g_hash_table_destroy(tables[i]);
    g_string_free(h->violations, TRUE);
    g_free(h);
}

static char *epoch_key(uint64_t epoch)
{
    return g_strdup_printf("%llu", (unsigned long long)epoch);
}

void history_epoch_advanced(struct history *h, uint64_t epoch, const char *controller)
{
    char *key = epoch_key(epoch);
    const char *before = g_hash_table_lookup(h->leader_of, key);

    if (before && strcmp(before, controller) != 0)
        g_string_append_printf(h->violations, "epoch %s was raised by %s and by %s\n", key, before,
                               controller);
    g_hash_table_replace(h->leader_of, key, g_strdup(controller)); /* takes the key */
}

void history_shard_assigned(struct history *h, const char *controller)
{
    g_hash_table_replace(h->holders, g_strdup(controller), g_strdup(""));
}

void history_launch_received(struct history *h, uint64_t token, const char *controller)
{
    char *key = epoch_key(token);
    const char *leader = g_hash_table_lookup(h->leader_of, key);

    if ((!leader || strcmp(leader, controller) != 0) &&
        !g_hash_table_contains(h->holders, controller))
        g_string_append_printf(h->violations, "%s launches under token %s, which is %s's\n",
                               controller, key, leader ? leader : "nobody");
    g_free(key);
}

void history_add_team(struct history *h, const char *name, double cpus_max, double accelerators_max)
{
    struct team *team = g_new0(struct team, 1);

    team->cpus_max = cpus_max;
    team->accelerators_max = accelerators_max;
    g_hash_table_replace(h->teams, g_strdup(name), team);
}

void history_job_submitted(struct history *h, const char *id, struct history_job job)
{
    struct submitted *submitted = g_new0(struct submitted, 1);

    *submitted = (struct submitted){.team = g_hash_table_lookup(h->teams, job.team),
                                    .cpus = job.cpus,
                                    .accelerators = job.accelerators,
                                    .zone = job.zone};
    g_hash_table_replace(h->submitted, g_strdup(id), submitted);
}

void history_add_machine(struct history *h, const char *machine, int zone)
{
    g_hash_table_replace(h->zones, g_strdup(machine), GINT_TO_POINTER(zone + 1));
}

void history_unknown_job_reported(struct history *h, const char *id)
{
    g_string_append_printf(h->violations, "%s was never submitted and is known\n", id);
}

/* The team's use after a task started, or ended (`by` -1). */
static void count_use(struct history *h, const char *id, const char *task, int by)
{
    const struct submitted *job = g_hash_table_lookup(h->submitted, id);
    struct team *team = job ? job->team : NULL;
    bool over;

    if (!team)
        return;
    team->cpus += by * job->cpus;
    team->accelerators += by * job->accelerators;
    over = team->cpus > team->cpus_max + EPS ||
           (team->accelerators_max > 0 && team->accelerators > team->accelerators_max + EPS);
    if (over && !team->over)
        g_string_append_printf(
            h->violations, "quota: with %s its team uses %g of %g cpus, %g of %g accelerators\n",
            task, team->cpus, team->cpus_max, team->accelerators, team->accelerators_max);
    team->over = over;
}

static void check_zone(struct history *h, const char *id, const char *task, const char *machine)
{
    const struct submitted *job = g_hash_table_lookup(h->submitted, id);
    int zone = GPOINTER_TO_INT(g_hash_table_lookup(h->zones, machine)) - 1;

    if (job && job->zone >= 0 && zone >= 0 && job->zone != zone)
        g_string_append_printf(h->violations, "%s starts in zone %d, its job is for %d\n", task,
                               zone, job->zone);
}

void history_task_started(struct history *h, const char *machine, const char *task,
                          unsigned attempt, double now)
{
    char *key = g_strdup_printf("%s %u", task, attempt);
    const char *other = g_hash_table_lookup(h->machine_of, task);
    char *id = g_strndup(task, strcspn(task, "/"));
    const struct job *job = g_hash_table_lookup(h->jobs, id);

    if (!g_hash_table_add(h->attempts, g_strdup(key)))
        g_string_append_printf(h->violations, "attempt %s started twice\n", key);
    if (other && strcmp(other, machine) != 0)
        g_string_append_printf(h->violations, "%s starts on %s while it is on %s\n", task, machine,
                               other);
    if (job && job->cancelled_at > 0 && now > job->cancelled_at + h->cancel_s)
        g_string_append_printf(h->violations, "%s starts after its cancellation\n", task);
    g_hash_table_replace(h->machine_of, g_strdup(task), g_strdup(machine));
    count_use(h, id, task, 1);
    check_zone(h, id, task, machine);
    h->starts++;
    g_free(id);
    g_free(key);
}

/* Counted apart from what users heard: a job may be over before its user hears that it was taken.
 */
static unsigned count_done(const struct history *h, const char *id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(h->done_count, id));
}

void history_task_ended(struct history *h, const char *machine, const char *task, bool done)
{
    const char *on = g_hash_table_lookup(h->machine_of, task);
    char *id = g_strndup(task, strcspn(task, "/"));

    if (on && !strcmp(on, machine))
        g_hash_table_remove(h->machine_of, task);
    count_use(h, id, task, -1);
    if (done && g_hash_table_add(h->done, g_strdup(task)))
        g_hash_table_replace(h->done_count, g_strdup(id), GUINT_TO_POINTER(count_done(h, id) + 1));
    g_free(id);
}

static bool is_final(const char *status)
{
    return !strcmp(status, "done") || !strcmp(status, "cancelled");
}

void history_status_reported(struct history *h, const char *id, unsigned tasks, const char *status,
                             double now)
{
    struct job *job = g_hash_table_lookup(h->jobs, id);

    if (!job) {
        job = g_new0(struct job, 1);
        job->tasks = tasks;
        g_hash_table_insert(h->jobs, g_strdup(id), job);
    }
    if (is_final(job->status) && strcmp(job->status, status) != 0)
        g_string_append_printf(h->violations, "%s was %s and is called %s\n", id, job->status,
                               status);
    if (!strcmp(status, "done") && count_done(h, id) < job->tasks)
        g_string_append_printf(h->violations, "%s is called done after %u of %u tasks\n", id,
                               count_done(h, id), job->tasks);
    if (!strcmp(status, "cancelled") && job->cancelled_at <= 0)
        job->cancelled_at = now;
    g_strlcpy(job->status, status, sizeof job->status);
}

void history_check_cancellations(struct history *h, double now)
{
    GHashTableIter iter;
    gpointer task;
    gpointer machine;

    g_hash_table_iter_init(&iter, h->machine_of);
    while (g_hash_table_iter_next(&iter, &task, &machine)) {
        char *id = g_strndup(task, strcspn(task, "/"));
        struct job *job = g_hash_table_lookup(h->jobs, id);
        if (job && job->cancelled_at > 0 && now > job->cancelled_at + h->cancel_s) {
            g_string_append_printf(h->violations, "%s is on %s after its cancellation\n",
                                   (const char *)task, (const char *)machine);
            g_hash_table_iter_remove(&iter); /* said once */
        }
        g_free(id);
    }
}

unsigned history_open_job_count(const struct history *h)
{
    GHashTableIter iter;
    gpointer job;
    unsigned open = 0;

    g_hash_table_iter_init(&iter, h->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &job))
        open += !is_final(((struct job *)job)->status);
    return open;
}

void history_close(struct history *h)
{
    unsigned open = history_open_job_count(h);

    if (open)
        g_string_append_printf(h->violations, "%u accepted jobs were abandoned\n", open);
}

unsigned history_start_count(const struct history *h)
{
    return h->starts;
}

const char *history_violations(const struct history *h)
{
    return h->violations->str;
}
