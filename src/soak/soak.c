/* Executes one run: sets up the cluster, follows the fault schedule, waits for open jobs to end,
 * and returns the result. */
#include "soak/soak_internal.h"
#include "base/clock.h"
#include "soak/workload.h"

#include <glib/gstdio.h>
#include <unistd.h>

#define START_TIMEOUT_S 30.0  /* has_started must become true within this time */
#define SETTLE_TIMEOUT_S 90.0 /* all jobs must end within this time after the last fault */
#define STEP_S 0.05           /* the event loop runs this long between two checks */
/* With varied jobs: the machines' boot time, and the limits of the state service. */
#define VARIED_BOOT_S 4.0
#define VARIED_VALUE_KB 4.0
enum { VARIED_TXN_OPS = 8 };
#define SUBMIT_GAP_MAX_S 0.8 /* upper bound of the random time between two submissions */

enum {
    OPEN_JOBS_MAX = 40, /* no job is submitted while this many have not ended */
    MACHINE_CPUS = 8,
    /* The factor of array jobs' task counts is max_machines divided by this, at least 1. */
    MACHINES_PER_ARRAY_TASK_FACTOR = 10
};

/* The leases of the leader and of the roles are short, so that many of them expire in a run of a
 * minute. */
#define DEFAULT_OPERATOR_YAML "leader_ttl_s: 1.5\nconfirm_s: 0.8\nidle_return_s: 3\n"
#define ROLES_OPERATOR_YAML                                                                        \
    DEFAULT_OPERATOR_YAML                                                                          \
    "links:\n  observe: true\n  decide: true\n  probe_s: 0.5\n"                                    \
    "  down_s: 1\n  expire_s: 4\nduties:\n  fence: true\n  ttl_s: 2\n"

/* The possible lengths of the workers' leases; a run draws one unless its settings give a length.
 * With 4 s, many leases expire in a minute. With 15 s, a command may arrive while the worker's
 * lease is still valid, but after the controller that sent the command has stopped waiting for the
 * answer. */
static const double worker_leases_s[] = {4, 15};

double soak_elapsed_s(const struct soak *soak)
{
    return pm_clock_monotonic() - soak->started_at;
}

static const char *operator_yaml_of(const struct soak_settings *settings)
{
    if (settings->operator_yaml)
        return settings->operator_yaml;
    return settings->with_roles ? ROLES_OPERATOR_YAML : DEFAULT_OPERATOR_YAML;
}

/* Returns the factor by which the task counts of array jobs are multiplied: 1 for each
 * MACHINES_PER_ARRAY_TASK_FACTOR machines, and at least 1. */
static unsigned array_task_factor(const struct soak_settings *settings)
{
    return (unsigned)MAX(1, settings->max_machines / MACHINES_PER_ARRAY_TASK_FACTOR);
}

/* ---- the run ---- */

/* Runs the event loop for STEP_S, then collects new violations and ends the faults that are due. */
static void step(struct soak *soak)
{
    double started_s = soak_elapsed_s(soak);

    cluster_run(soak->cluster, STEP_S);
    soak->max_stall_s = MAX(soak->max_stall_s, soak_elapsed_s(soak) - started_s - STEP_S);
    violations_collect(soak);
    fault_injection_end_due(soak, soak_elapsed_s(soak));
}

/* Upgrades controller 0 once half of the run is over. Returns false if it is too early, or if a
 * fault has killed or suspended the controller's process; the next step tries again. */
static bool try_upgrade(struct soak *soak)
{
    if (soak_elapsed_s(soak) < soak->settings->seconds / 2 ||
        fault_injection_has_stopped_process(soak, 0))
        return false;
    cluster_upgrade_controller(soak->cluster);
    return true;
}

/* Begins the faults that are due, from index `next` on. Returns the index of the first fault that
 * is not due yet. */
static guint begin_due_faults(struct soak *soak, guint next)
{
    for (; next < soak->schedule->len; next++) {
        const struct fault *fault = &g_array_index(soak->schedule, struct fault, next);
        if (fault->start_s > soak_elapsed_s(soak))
            break;
        fault_injection_begin(soak, fault);
    }
    return next;
}

static void submit_job(const struct soak *soak)
{
    if (soak->settings->with_varied_jobs)
        workload_submit_varied_job(soak->cluster, soak->random);
    else
        workload_submit_job(soak->cluster, soak->random, array_task_factor(soak->settings));
}

static void run_schedule(struct soak *soak)
{
    bool is_upgrade_done = !soak->settings->old_daemon; /* also true if no upgrade is planned */
    double submit_at_s = 0;
    guint next = 0;

    while (soak_elapsed_s(soak) < soak->settings->seconds) {
        next = begin_due_faults(soak, next);
        if (soak_elapsed_s(soak) >= submit_at_s &&
            cluster_open_job_count(soak->cluster) < OPEN_JOBS_MAX) {
            submit_job(soak);
            submit_at_s = soak_elapsed_s(soak) + g_rand_double(soak->random) * SUBMIT_GAP_MAX_S;
        }
        is_upgrade_done = is_upgrade_done || try_upgrade(soak);
        step(soak);
    }
}

/* Ends all faults, cancels the jobs that would never end, and waits until every job has ended and a
 * controller leads. Jobs that have not ended after SETTLE_TIMEOUT_S are recorded as violations. */
static void settle(struct soak *soak)
{
    double deadline_s;

    fault_injection_end_all(soak);
    cluster_clear_link_faults(soak->cluster);
    fake_provider_restore_machines(cluster_provider(soak->cluster));
    deadline_s = soak_elapsed_s(soak) + SETTLE_TIMEOUT_S;
    while (soak_elapsed_s(soak) < deadline_s && !cluster_is_idle(soak->cluster)) {
        cluster_cancel_endless_jobs(soak->cluster);
        step(soak);
    }
    history_report_open_jobs(cluster_history(soak->cluster));
    violations_collect(soak);
}

/* ---- set-up ---- */

static void open_log(struct soak *soak)
{
    const struct soak_settings *settings = soak->settings;

    if (settings->log_file)
        soak->log_path = g_strdup(settings->log_file);
    else
        soak->log_path = g_strdup_printf("%s/pumicemount-soak-%d-%u.log", g_get_tmp_dir(),
                                         (int)getpid(), settings->seed);
    soak->log = fopen(soak->log_path, "a");
}

static double draw_lease(GRand *random)
{
    return worker_leases_s[g_rand_int_range(random, 0, G_N_ELEMENTS(worker_leases_s))];
}

/* Draws the schedule, the workers' lease and the seed of `random` from the run's seed, and opens
 * the log. Returns false if the list of selected faults is invalid. */
static bool prepare(struct soak *soak)
{
    const struct soak_settings *settings = soak->settings;
    /* Draws the schedule, the lease and the seed of soak->random. */
    GRand *seeded = g_rand_new_with_seed(settings->seed);

    soak->schedule = fault_schedule_draw(seeded, settings->seconds, settings->kinds);
    soak->random = g_rand_new_with_seed(g_rand_int(seeded));
    soak->lease_s = settings->lease_s > 0 ? settings->lease_s : draw_lease(seeded);
    g_rand_free(seeded);
    if (settings->print_schedule)
        fault_schedule_print(soak->schedule);
    if (settings->selected_faults &&
        !fault_schedule_select(soak->schedule, settings->selected_faults))
        return false;
    fault_injection_init(&soak->injection);
    violations_init(&soak->violations);
    open_log(soak);
    return true;
}

static struct cluster *start_cluster(const struct soak *soak)
{
    const struct soak_settings *settings = soak->settings;
    const struct cluster_settings cluster_settings = {
        .controller_count = settings->controller_count,
        .daemon = settings->daemon,
        .old_daemon = settings->old_daemon,
        .operator_yaml = operator_yaml_of(settings),
        .log_file = soak->log_path,
        .max_machines = settings->max_machines,
        .lease_s = soak->lease_s,
        .teams = workload_teams(settings->max_machines * MACHINE_CPUS),
        .team_count = WORKLOAD_TEAMS,
        .random = soak->random,
        .zone_count = settings->with_varied_jobs ? CLUSTER_ZONES_MAX : 0,
        .type_count = settings->with_varied_jobs ? WORKLOAD_VARIED_TYPES : 0,
        .boot_s = settings->with_varied_jobs ? VARIED_BOOT_S : 0,
        .boots_together = settings->seed % 2,
        .store_value_kb = settings->with_varied_jobs ? VARIED_VALUE_KB : 0,
        .store_txn_ops = settings->with_varied_jobs ? VARIED_TXN_OPS : 0,
        /* Versions before protocol version 6 start a task anew when a copy of its launch arrives.
         */
        .copies_pushes = !settings->old_daemon};

    return cluster_new(&cluster_settings);
}

/* Read by has_started, to which cluster_run_until passes only the cluster. */
static struct soak *current_soak;

/* Returns whether a task was started and, if roles are enabled, the scale-out role was acquired. A
 * role is acquired only once all controllers support roles. The call checker, which checks the
 * calls to the machine provider, exists only if roles are enabled. It counts how often the
 * scale-out role was acquired. */
static bool has_started(struct cluster *cluster)
{
    const struct call_checker *checker = current_soak->violations.checker;

    return history_start_count(cluster_history(cluster)) > 0 &&
           (!checker || call_checker_acquisitions(checker) > 0);
}

static bool wait_for_start(struct soak *soak)
{
    bool is_started;

    current_soak = soak;
    is_started = cluster_run_until(soak->cluster, has_started, START_TIMEOUT_S);
    soak->started_at = pm_clock_monotonic();
    /* Machines rented before all controllers supported roles have no intents. The checker reported
     * these rentals, but they are no violations. */
    if (soak->violations.checker)
        call_checker_clear_violations(soak->violations.checker);
    return is_started;
}

/* Ends the processes and frees what the run owns, with two exceptions. The text of the violations
 * belongs to the result. `random` is kept because the cluster refers to it, and cluster_free ends
 * the cluster's processes but keeps its memory until this process ends. */
static void clean_up(struct soak *soak)
{
    cluster_free(soak->cluster);
    if (soak->violations.checker)
        call_checker_free(soak->violations.checker);
    if (soak->log)
        fclose(soak->log);
    if (!soak->settings->log_file)
        g_unlink(soak->log_path);
    g_free(soak->log_path);
    g_array_free(soak->schedule, TRUE);
    g_array_free(soak->injection.active, TRUE);
}

bool soak_run(const struct soak_settings *settings, struct soak_result *result)
{
    struct soak soak = {.settings = settings};
    bool is_started;

    if (!prepare(&soak))
        return false;
    soak.cluster = start_cluster(&soak);
    fake_provider_repeat_pushes(cluster_provider(soak.cluster), settings->repeats_pushes);
    if (settings->with_roles)
        violations_observe_provider_calls(&soak);
    submit_job(&soak);
    is_started = wait_for_start(&soak);
    if (is_started) {
        run_schedule(&soak);
        settle(&soak);
    }
    violations_collect_logged(&soak);
    *result =
        (struct soak_result){.fault_count = soak.schedule->len,
                             .task_start_count = history_start_count(cluster_history(soak.cluster)),
                             .job_count = cluster_job_count(soak.cluster),
                             .seconds = soak_elapsed_s(&soak),
                             .max_stall_s = soak.max_stall_s,
                             .violations = g_string_free(soak.violations.text, FALSE)};
    clean_up(&soak);
    return is_started;
}
