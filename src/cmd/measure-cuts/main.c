/* measure-cuts: measures failover after a network fault on the leader's links. A run starts a new
 * cluster of controller processes over loopback, with fake implementations of the state service,
 * the provider and the workers, and submits jobs to it throughout; then it injects one fault.
 * Prints one line for each kind of fault, with times in seconds. Not part of CI, because each kind
 * takes minutes. */
#include "testing/cluster.h"
#include "base/clock.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A run is not measured if its cluster, after this time, has no leader or has started fewer than
 * MIN_STARTS tasks. */
#define START_TIMEOUT_S 30.0
/* Observation ends this long after the start of a permanent fault. An event that has not occurred
 * by then is recorded with this time. */
#define OBSERVE_TIMEOUT_S 30.0
/* Longer than the leader's minimum term (pm_fitness_delays.min_term_s), so that the leader may
 * yield as soon as the fault starts. */
#define SETTLE_S 11.0
#define OBSERVE_INTERVAL_S 0.02 /* interval between observations of the cluster */
#define SUBMIT_INTERVAL_S 0.4   /* interval between job submissions */

enum { REPEATS_MAX = 1000, MIN_STARTS = 4, EXIT_USAGE = 2 };

/* A fault of all the leader's links of one type. */
struct fault_kind {
    const char *name;
    enum cluster_link link;
    struct relay_fault fault;
    /* A flapping fault is on for this long, then off for as long, and so on. 0 if the fault is
     * permanent. */
    double flap_s;
};

static const struct fault_kind fault_kinds[] = {
    {"state-black-holed", CLUSTER_LINK_STORE, {true, true, false}, 0},
    {"state-reset", CLUSTER_LINK_STORE, {false, false, true}, 0},
    {"state-answers-lost", CLUSTER_LINK_STORE, {false, true, false}, 0},
    {"workers-black-holed", CLUSTER_LINK_ZONE, {true, true, false}, 0},
    {"workers-reset", CLUSTER_LINK_ZONE, {false, false, true}, 0},
    {"state-flaps-2s", CLUSTER_LINK_STORE, {true, true, false}, 2},
    {"workers-flap-2s", CLUSTER_LINK_ZONE, {true, true, false}, 2},
};

struct options {
    char *daemon, *operator_settings_path, *kind;
    int controllers, repeats, seed;
    double flap_for_s;
};

/* The result of one run. The times count from the start of the fault, and are set only for a
 * permanent fault. `leadership_changes` is set only for a flapping fault. */
struct outcome {
    double last_answer_s;        /* until the old leader last answered a heartbeat */
    double new_leader_s;         /* until another controller became leader */
    double work_resumed_s;       /* until a task was started under the new leader */
    unsigned leadership_changes; /* how often another controller became leader */
};

/* Whether the cluster has a leader and has started at least MIN_STARTS tasks. */
static bool is_working(struct cluster *cluster)
{
    return history_start_count(cluster_history(cluster)) >= MIN_STARTS &&
           cluster_leader(cluster) >= 0;
}

/* Sets `fault` on the links of the controller that `kind` is about: the links to all zones, or the
 * link to the state service. An empty `fault` ends the fault. */
static void set_faults(struct cluster *cluster, const struct fault_kind *kind, int controller,
                       struct relay_fault fault)
{
    int targets = kind->link == CLUSTER_LINK_ZONE ? CLUSTER_ZONES : 1;

    for (int target = 0; target < targets; target++)
        cluster_set_link_fault(cluster, controller, kind->link, target, fault);
}

/* Observes the cluster until the new leader has started a task, or for OBSERVE_TIMEOUT_S. */
static struct outcome observe_permanent_fault(struct cluster *cluster, int old_leader)
{
    const struct fake_provider *provider = cluster_provider(cluster);
    const struct history *history = cluster_history(cluster);
    struct outcome outcome = {.new_leader_s = OBSERVE_TIMEOUT_S,
                              .work_resumed_s = OBSERVE_TIMEOUT_S};
    unsigned answered = fake_provider_answered_heartbeats(provider, old_leader);
    double started_at = pm_clock_monotonic();
    unsigned starts = 0;

    while (pm_clock_monotonic() - started_at < OBSERVE_TIMEOUT_S &&
           outcome.work_resumed_s >= OBSERVE_TIMEOUT_S) {
        int leader = cluster_leader(cluster);
        double elapsed_s = pm_clock_monotonic() - started_at;
        cluster_run(cluster, OBSERVE_INTERVAL_S);
        if (fake_provider_answered_heartbeats(provider, old_leader) > answered) {
            answered = fake_provider_answered_heartbeats(provider, old_leader);
            outcome.last_answer_s = elapsed_s;
        }
        if (outcome.new_leader_s >= OBSERVE_TIMEOUT_S && leader >= 0 && leader != old_leader) {
            outcome.new_leader_s = elapsed_s;
            starts = history_start_count(history);
        }
        if (outcome.new_leader_s < OBSERVE_TIMEOUT_S && history_start_count(history) > starts)
            outcome.work_resumed_s = elapsed_s;
    }
    return outcome;
}

/* Starts and stops the fault in turn for `flap_for_s`, and counts the changes of leader. */
static struct outcome observe_flapping_fault(struct cluster *cluster, const struct options *options,
                                             const struct fault_kind *kind, int old_leader)
{
    const struct relay_fault none = {0};
    struct outcome outcome = {0};
    double started_at = pm_clock_monotonic();
    int last_leader = old_leader;

    for (int phase = 0; pm_clock_monotonic() - started_at < options->flap_for_s; phase++) {
        double phase_ends_at = pm_clock_monotonic() + kind->flap_s;
        set_faults(cluster, kind, old_leader, phase % 2 ? none : kind->fault);
        while (pm_clock_monotonic() < phase_ends_at) {
            int leader = cluster_leader(cluster);
            cluster_run(cluster, OBSERVE_INTERVAL_S);
            if (leader < 0)
                continue;
            outcome.leadership_changes += leader != last_leader;
            last_leader = leader;
        }
    }
    return outcome;
}

static struct outcome observe_fault(struct cluster *cluster, const struct options *options,
                                    const struct fault_kind *kind, int leader)
{
    if (kind->flap_s > 0)
        return observe_flapping_fault(cluster, options, kind, leader);
    set_faults(cluster, kind, leader, kind->fault);
    return observe_permanent_fault(cluster, leader);
}

/* Starts a cluster, injects the fault on the leader's links and observes the cluster. Returns
 * false, and leaves `outcome` unchanged, if the cluster did not work within START_TIMEOUT_S, or had
 * no leader when the fault was due. */
static bool measure_once(const struct options *options, const struct fault_kind *kind,
                         GRand *random, struct outcome *outcome)
{
    struct cluster_settings settings = {
        .controller_count = options->controllers, .daemon = options->daemon, .quiet = true};
    gchar *operator_yaml = NULL;
    struct cluster *cluster;
    bool is_ready;
    int leader;

    if (options->operator_settings_path)
        g_file_get_contents(options->operator_settings_path, &operator_yaml, NULL, NULL);
    settings.operator_yaml = operator_yaml;
    cluster = cluster_new(&settings);
    cluster_set_load(cluster, SUBMIT_INTERVAL_S);
    is_ready = cluster_run_until(cluster, is_working, START_TIMEOUT_S);
    cluster_run(cluster, SETTLE_S + g_rand_double(random));
    leader = cluster_leader(cluster);
    is_ready = is_ready && leader >= 0;
    if (is_ready)
        *outcome = observe_fault(cluster, options, kind, leader);
    cluster_free(cluster);
    /* The history can still be read after cluster_free(). */
    if (*history_violations(cluster_history(cluster)))
        printf("INVARIANT VIOLATED %s: %s", kind->name,
               history_violations(cluster_history(cluster)));
    g_free(operator_yaml);
    return is_ready;
}

static int compare_times(const void *left, const void *right)
{
    double left_s = *(const double *)left;
    double right_s = *(const double *)right;

    return (left_s > right_s) - (left_s < right_s);
}

static void print_times(const char *label, double *times, int count)
{
    qsort(times, (size_t)count, sizeof *times, compare_times);
    printf("  %s: median %.2f s, maximum %.2f s;", label, times[count / 2], times[count - 1]);
}

/* Prints the times until the old leader last answered a heartbeat, until another controller became
 * leader, and until a task was started under the new leader. */
static void print_outcomes(const struct outcome *outcomes, int count)
{
    static double last_answer_s[REPEATS_MAX];
    static double new_leader_s[REPEATS_MAX];
    static double work_resumed_s[REPEATS_MAX];

    for (int i = 0; i < count; i++) {
        last_answer_s[i] = outcomes[i].last_answer_s;
        new_leader_s[i] = outcomes[i].new_leader_s;
        work_resumed_s[i] = outcomes[i].work_resumed_s;
    }
    print_times("stops", last_answer_s, count);
    print_times("new leader", new_leader_s, count);
    print_times("first task start under the new leader", work_resumed_s, count);
    printf("\n");
}

static void print_changes(const struct outcome *outcomes, int count, double flap_for_s)
{
    unsigned changes = 0;

    for (int i = 0; i < count; i++)
        changes += outcomes[i].leadership_changes;
    printf("  mean of %.2f leader changes per run of %.0f s\n", (double)changes / count,
           flap_for_s);
}

/* Measures one kind of fault and prints its line. */
static void measure(const struct options *options, const struct fault_kind *kind)
{
    static struct outcome outcomes[REPEATS_MAX];
    GRand *random = g_rand_new_with_seed((guint32)options->seed);
    int count = 0;

    for (int i = 0; i < options->repeats; i++)
        count += measure_once(options, kind, random, &outcomes[count]);
    g_rand_free(random);
    printf("%s: %d of %d runs measured, %d controllers;", kind->name, count, options->repeats,
           options->controllers);
    if (count && kind->flap_s > 0)
        print_changes(outcomes, count, options->flap_for_s);
    else if (count)
        print_outcomes(outcomes, count);
    fflush(stdout);
}

/* Returns false if an option is unknown, missing or out of range. */
static bool read_options(struct options *options, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"daemon", 0, 0, G_OPTION_ARG_FILENAME, &options->daemon,
         "the controller program to measure (required)", "FILE"},
        {"operator", 0, 0, G_OPTION_ARG_FILENAME, &options->operator_settings_path,
         "file with the operators' settings for the controllers (YAML)", "FILE"},
        {"kind", 0, 0, G_OPTION_ARG_STRING, &options->kind,
         "measure only this kind of fault, for example state-reset", "KIND"},
        {"controllers", 0, 0, G_OPTION_ARG_INT, &options->controllers,
         "controllers in the cluster, 1 to 8, 4 by default", "N"},
        {"repeats", 0, 0, G_OPTION_ARG_INT, &options->repeats,
         "runs for each kind of fault, 1 to 1000, 20 by default; a run is "
         "not measured if its cluster does not work before the fault",
         "N"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &options->seed,
         "seed of the random delay before each fault, 1 by default", "N"},
        {"flap-for", 0, 0, G_OPTION_ARG_DOUBLE, &options->flap_for_s,
         "how long to observe a flapping fault, 60 by default", "SECONDS"},
        {0}};
    GOptionContext *context = g_option_context_new("- measure failover after a link fault");
    bool is_parsed;

    g_option_context_add_main_entries(context, entries, NULL);
    is_parsed = g_option_context_parse(context, &argc, &argv, NULL);
    g_option_context_free(context);
    return is_parsed && options->daemon && options->repeats >= 1 &&
           options->repeats <= REPEATS_MAX && options->controllers >= 1 &&
           options->controllers <= CLUSTER_CONTROLLERS_MAX;
}

int main(int argc, char **argv)
{
    struct options options = {.controllers = 4, .repeats = 20, .seed = 1, .flap_for_s = 60};

    if (!read_options(&options, argc, argv)) {
        fprintf(stderr,
                "measure-cuts: --daemon is missing, or an option is unknown or out of range "
                "(see --help)\n");
        return EXIT_USAGE;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(fault_kinds); i++)
        if (!options.kind || !strcmp(options.kind, fault_kinds[i].name))
            measure(&options, &fault_kinds[i]);
    return 0;
}
