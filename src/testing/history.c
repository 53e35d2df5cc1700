#include "testing/history.h"

#include <glib.h>
#include <string.h>

#define QUOTA_TOLERANCE 1e-6

enum { STATUS_SIZE = 16, CONTROLLER_NAME_SIZE = 64, TYPE_SIZE = 16 };

/* An epoch, and the controller that wrote it. */
struct written_epoch {
    struct pm_fencing_range tokens;
    char controller[CONTROLLER_NAME_SIZE];
};

/* A job as controllers have reported it to users. */
struct reported_job {
    char status[STATUS_SIZE]; /* the last one reported */
    unsigned tasks;
    double cancelled_at; /* when "cancelled" was first reported; 0: never */
};

/* A team's quota (`cpus_max`, `accelerators_max`), and what its running tasks use now (`cpus`,
 * `accelerators`). */
struct team {
    double cpus, cpus_max;
    double accelerators, accelerators_max; /* accelerators_max 0: no limit */
    bool is_over_quota; /* already reported; cleared when the usage is within the quota */
};

/* What a submitted job may use. */
struct submitted_job {
    struct team *team; /* NULL: an unknown team */
    double cpus, accelerators;
    int zone;
    char machine_type[TYPE_SIZE]; /* "": any type */
    bool ordinary_only, same_zone;
    unsigned zone_tasks_max;
};

/* What a machine is, besides its zone. */
struct described_machine {
    char type[TYPE_SIZE];
    bool is_spot;
};

struct history {
    /* How long after a job was first reported as cancelled its tasks may still start or run. */
    double cancel_limit_s;
    GArray *epochs;               /* of struct written_epoch */
    GHashTable *shard_owners;     /* set of the controllers that were ever assigned a shard */
    GHashTable *attempts;         /* set of "TASK ATTEMPT", one for each started attempt */
    GHashTable *machines_by_task; /* maps a task that has not ended to the machine it is on */
    GHashTable *completed_counts; /* maps a job id to the number of its tasks that completed */
    GHashTable *completed;        /* set of the names of tasks that completed */
    GHashTable *reported_jobs;    /* maps a job id to struct reported_job */
    GHashTable *teams;            /* maps a team name to struct team */
    GHashTable *submitted_jobs;   /* maps a job id to struct submitted_job */
    GHashTable *zones;            /* maps a machine to its zone number plus 1 */
    GHashTable *machines;         /* maps a machine to struct described_machine */
    unsigned start_count;
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

struct history *history_new(double cancel_limit_s)
{
    struct history *history = g_new0(struct history, 1);

    history->cancel_limit_s = cancel_limit_s;
    history->epochs = g_array_new(FALSE, FALSE, sizeof(struct written_epoch));
    history->shard_owners = new_table();
    history->attempts = new_set();
    history->machines_by_task = new_table();
    history->completed = new_set();
    history->completed_counts = new_set();
    history->reported_jobs = new_table();
    history->teams = new_table();
    history->submitted_jobs = new_table();
    history->zones = new_set();
    history->machines = new_table();
    history->violations = g_string_new("");
    return history;
}

void history_free(struct history *history)
{
    GHashTable *tables[] = {
        history->shard_owners, history->attempts,         history->machines_by_task,
        history->completed,    history->completed_counts, history->reported_jobs,
        history->teams,        history->submitted_jobs,   history->zones,
        history->machines};

    for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
        g_hash_table_destroy(tables[i]);
    g_array_free(history->epochs, TRUE);
    g_string_free(history->violations, TRUE);
    g_free(history);
}

/* Returns the epoch that owns the token, or NULL if none does. */
static const struct written_epoch *find_epoch(const struct history *history, uint64_t token)
{
    for (guint i = history->epochs->len; i > 0; i--) {
        const struct written_epoch *epoch =
            &g_array_index(history->epochs, struct written_epoch, i - 1);
        if (pm_fencing_range_has(epoch->tokens, token))
            return epoch;
    }
    return NULL;
}

void history_epoch_advanced(struct history *history, struct pm_fencing_range tokens,
                            const char *controller)
{
    const struct written_epoch *before = find_epoch(history, tokens.first);
    struct written_epoch epoch = {.tokens = tokens};

    if (!before)
        before = find_epoch(history, tokens.last);
    if (before && strcmp(before->controller, controller) != 0)
        g_string_append_printf(history->violations, "epoch %llu was written by both %s and %s\n",
                               (unsigned long long)tokens.last, before->controller, controller);
    g_strlcpy(epoch.controller, controller, sizeof epoch.controller);
    g_array_append_val(history->epochs, epoch);
}

void history_shard_assigned(struct history *history, const char *controller)
{
    g_hash_table_replace(history->shard_owners, g_strdup(controller), g_strdup(""));
}

void history_controller_ended(struct history *history, const char *controller, const char *cause)
{
    g_string_append_printf(history->violations, "controller %s ended by itself: %s\n", controller,
                           cause);
}

void history_launch_received(struct history *history, uint64_t fencing_token,
                             const char *controller)
{
    const struct written_epoch *epoch = find_epoch(history, fencing_token);

    if ((!epoch || strcmp(epoch->controller, controller) != 0) &&
        !g_hash_table_contains(history->shard_owners, controller))
        g_string_append_printf(
            history->violations,
            "controller %s sent a launch with fencing token %llu; that epoch was written by %s\n",
            controller, (unsigned long long)fencing_token, epoch ? epoch->controller : "nobody");
}

void history_add_team(struct history *history, const char *name, double cpus_max,
                      double accelerators_max)
{
    struct team *team = g_new0(struct team, 1);

    team->cpus_max = cpus_max;
    team->accelerators_max = accelerators_max;
    g_hash_table_replace(history->teams, g_strdup(name), team);
}

void history_job_submitted(struct history *history, const char *id, struct history_job job)
{
    struct submitted_job *submitted = g_new0(struct submitted_job, 1);

    *submitted = (struct submitted_job){.team = g_hash_table_lookup(history->teams, job.team),
                                        .cpus = job.cpus,
                                        .accelerators = job.accelerators,
                                        .zone = job.zone,
                                        .ordinary_only = job.ordinary_only,
                                        .same_zone = job.same_zone,
                                        .zone_tasks_max = job.zone_tasks_max};
    if (job.machine_type)
        g_strlcpy(submitted->machine_type, job.machine_type, sizeof submitted->machine_type);
    g_hash_table_replace(history->submitted_jobs, g_strdup(id), submitted);
}

void history_add_machine(struct history *history, const char *machine, int zone)
{
    g_hash_table_replace(history->zones, g_strdup(machine), GINT_TO_POINTER(zone + 1));
}

void history_describe_machine(struct history *history, const char *machine, const char *type,
                              bool is_spot)
{
    struct described_machine *described = g_new0(struct described_machine, 1);

    g_strlcpy(described->type, type, sizeof described->type);
    described->is_spot = is_spot;
    g_hash_table_replace(history->machines, g_strdup(machine), described);
}

void history_unknown_job_reported(struct history *history, const char *id)
{
    g_string_append_printf(history->violations,
                           "job %s was never submitted, but a controller reports it\n", id);
}

/* Updates the usage of the job's team when a task starts (`tasks` 1) or ends (`tasks` -1). Reports
 * a violation when the usage rises above the quota. */
static void change_usage(struct history *history, const char *id, const char *task, int tasks)
{
    const struct submitted_job *job = g_hash_table_lookup(history->submitted_jobs, id);
    struct team *team = job ? job->team : NULL;
    bool is_over;

    if (!team)
        return;
    team->cpus += tasks * job->cpus;
    team->accelerators += tasks * job->accelerators;
    is_over = team->cpus > team->cpus_max + QUOTA_TOLERANCE ||
              (team->accelerators_max > 0 &&
               team->accelerators > team->accelerators_max + QUOTA_TOLERANCE);
    if (is_over && !team->is_over_quota)
        g_string_append_printf(history->violations,
                               "over quota: after task %s started, its team uses %g of %g cpus and "
                               "%g of %g accelerators (an accelerator quota of 0 means no limit)\n",
                               task, team->cpus, team->cpus_max, team->accelerators,
                               team->accelerators_max);
    team->is_over_quota = is_over;
}

static int zone_of(const struct history *history, const char *machine)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(history->zones, machine)) - 1;
}

/* Checks the zones of the job's other tasks when one more has started in `zone`. */
static void check_zones_of_others(struct history *history, const struct submitted_job *job,
                                  const char *id, const char *task, int zone)
{
    char *prefix = g_strdup_printf("%s/", id);
    unsigned here = 0;
    unsigned elsewhere = 0;
    GHashTableIter iter;
    gpointer other;
    gpointer machine;

    g_hash_table_iter_init(&iter, history->machines_by_task);
    while (g_hash_table_iter_next(&iter, &other, &machine)) {
        if (!g_str_has_prefix(other, prefix))
            continue;
        if (zone_of(history, machine) == zone)
            here++;
        else
            elsewhere++;
    }
    g_free(prefix);
    if (job->same_zone && elsewhere)
        g_string_append_printf(history->violations,
                               "task %s started in zone %d, but %u tasks of its job, which have to "
                               "be in one zone, are in others\n",
                               task, zone, elsewhere);
    if (job->zone_tasks_max && here > job->zone_tasks_max)
        g_string_append_printf(history->violations,
                               "task %s started in zone %d, where %u tasks of its job are now, but "
                               "at most %u may be\n",
                               task, zone, here, job->zone_tasks_max);
}

static void check_machine(struct history *history, const char *id, const char *task,
                          const char *machine)
{
    const struct submitted_job *job = g_hash_table_lookup(history->submitted_jobs, id);
    const struct described_machine *described = g_hash_table_lookup(history->machines, machine);

    if (!job || !described)
        return;
    if (job->machine_type[0] && strcmp(job->machine_type, described->type) != 0)
        g_string_append_printf(history->violations,
                               "task %s started on type %s, but its job allows only %s\n", task,
                               described->type, job->machine_type);
    if (job->ordinary_only && described->is_spot)
        g_string_append_printf(history->violations,
                               "task %s started on a spot machine, but its job allows none\n",
                               task);
    if (job->same_zone || job->zone_tasks_max)
        check_zones_of_others(history, job, id, task, zone_of(history, machine));
}

static void check_zone(struct history *history, const char *id, const char *task,
                       const char *machine)
{
    const struct submitted_job *job = g_hash_table_lookup(history->submitted_jobs, id);
    int zone = zone_of(history, machine);

    if (job && job->zone >= 0 && zone >= 0 && job->zone != zone)
        g_string_append_printf(history->violations,
                               "task %s started in zone %d, but its job allows only zone %d\n",
                               task, zone, job->zone);
}

void history_task_started(struct history *history, const char *machine, const char *task,
                          unsigned attempt, double now)
{
    char *key = g_strdup_printf("%s %u", task, attempt);
    const char *other = g_hash_table_lookup(history->machines_by_task, task);
    char *id = g_strndup(task, strcspn(task, "/"));
    const struct reported_job *job = g_hash_table_lookup(history->reported_jobs, id);

    if (!g_hash_table_add(history->attempts, g_strdup(key)))
        g_string_append_printf(history->violations, "started twice: task and attempt %s\n", key);
    if (other && strcmp(other, machine) != 0)
        g_string_append_printf(history->violations,
                               "task %s started on %s while it was still on %s\n", task, machine,
                               other);
    if (job && job->cancelled_at > 0 && now > job->cancelled_at + history->cancel_limit_s)
        g_string_append_printf(history->violations,
                               "task %s started too long after its job was reported as cancelled\n",
                               task);
    g_hash_table_replace(history->machines_by_task, g_strdup(task), g_strdup(machine));
    change_usage(history, id, task, 1);
    check_zone(history, id, task, machine);
    check_machine(history, id, task, machine);
    history->start_count++;
    g_free(id);
    g_free(key);
}

/* The number of the job's tasks that completed. Kept apart from struct reported_job, which exists
 * only after the first answer to the user: a job can end before that answer arrives. */
static unsigned completed_task_count(const struct history *history, const char *id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(history->completed_counts, id));
}

void history_task_ended(struct history *history, const char *machine, const char *task, bool done)
{
    const char *current = g_hash_table_lookup(history->machines_by_task, task);
    char *id = g_strndup(task, strcspn(task, "/"));

    if (current && !strcmp(current, machine))
        g_hash_table_remove(history->machines_by_task, task);
    change_usage(history, id, task, -1);
    if (done && g_hash_table_add(history->completed, g_strdup(task)))
        g_hash_table_replace(history->completed_counts, g_strdup(id),
                             GUINT_TO_POINTER(completed_task_count(history, id) + 1));
    g_free(id);
}

static bool is_final(const char *status)
{
    return !strcmp(status, "done") || !strcmp(status, "cancelled");
}

void history_status_reported(struct history *history, const char *id, unsigned tasks,
                             const char *status, double now)
{
    struct reported_job *job = g_hash_table_lookup(history->reported_jobs, id);

    if (!job) {
        job = g_new0(struct reported_job, 1);
        job->tasks = tasks;
        g_hash_table_insert(history->reported_jobs, g_strdup(id), job);
    }
    if (is_final(job->status) && strcmp(job->status, status) != 0)
        g_string_append_printf(history->violations, "job %s was reported as %s and later as %s\n",
                               id, job->status, status);
    if (!strcmp(status, "done") && completed_task_count(history, id) < job->tasks)
        g_string_append_printf(history->violations,
                               "job %s was reported as done when %u of %u tasks had completed\n",
                               id, completed_task_count(history, id), job->tasks);
    if (!strcmp(status, "cancelled") && job->cancelled_at <= 0)
        job->cancelled_at = now;
    g_strlcpy(job->status, status, sizeof job->status);
}

void history_check_cancellations(struct history *history, double now)
{
    GHashTableIter iter;
    gpointer task;
    gpointer machine;

    g_hash_table_iter_init(&iter, history->machines_by_task);
    while (g_hash_table_iter_next(&iter, &task, &machine)) {
        char *id = g_strndup(task, strcspn(task, "/"));
        struct reported_job *job = g_hash_table_lookup(history->reported_jobs, id);
        if (job && job->cancelled_at > 0 && now > job->cancelled_at + history->cancel_limit_s) {
            g_string_append_printf(
                history->violations,
                "task %s is still on %s too long after its job was reported as cancelled\n",
                (const char *)task, (const char *)machine);
            g_hash_table_iter_remove(&iter); /* so that it is reported only once */
        }
        g_free(id);
    }
}

unsigned history_open_job_count(const struct history *history)
{
    GHashTableIter iter;
    gpointer job;
    unsigned open = 0;

    g_hash_table_iter_init(&iter, history->reported_jobs);
    while (g_hash_table_iter_next(&iter, NULL, &job))
        open += !is_final(((struct reported_job *)job)->status);
    return open;
}

void history_report_open_jobs(struct history *history)
{
    unsigned open = history_open_job_count(history);
    GHashTableIter iter;
    gpointer id;
    gpointer job;

    if (!open)
        return;
    g_string_append_printf(history->violations,
                           "accepted jobs never reported as done or cancelled: %u\n", open);
    g_hash_table_iter_init(&iter, history->reported_jobs);
    while (g_hash_table_iter_next(&iter, &id, &job))
        if (!is_final(((struct reported_job *)job)->status))
            g_string_append_printf(history->violations, "open job %s: %s\n", (const char *)id,
                                   ((struct reported_job *)job)->status);
}

unsigned history_start_count(const struct history *history)
{
    return history->start_count;
}

const char *history_violations(const struct history *history)
{
    return history->violations->str;
}
