/* Measures what follows when the leader's links are cut: real controller processes over loopback,
 * the stand-ins, a running workload. Prints one line a kind of cut, times in seconds. Not part of
 * CI: a kind takes minutes. */
#include "testing/cluster.h"
#include "base/clock.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BEGIN_S 30.0  /* a cluster that does no work by then is given up */
#define WAIT_S 30.0   /* what has not come about by then counts as this long */
#define SETTLE_S 11.0 /* a leader of long standing: see pm_fitness_delays */
#define STEP_S 0.02

enum { REPEATS_MOST = 1000 };

struct kind {
    const char *name;
    enum cluster_link link; /* all links of that sort are cut */
    struct relay_fault cut;
    double flap_s; /* cut and well for that long in turn, 0: cut for good */
};

static const struct kind kinds[] = {
    {"state-black-holed", CLUSTER_LINK_STORE, {true, true, false}, 0},
    {"state-reset", CLUSTER_LINK_STORE, {false, false, true}, 0},
    {"state-answers-lost", CLUSTER_LINK_STORE, {false, true, false}, 0},
    {"workers-black-holed", CLUSTER_LINK_ZONE, {true, true, false}, 0},
    {"workers-reset", CLUSTER_LINK_ZONE, {false, false, true}, 0},
    {"state-flaps-2s", CLUSTER_LINK_STORE, {true, true, false}, 2},
    {"workers-flap-2s", CLUSTER_LINK_ZONE, {true, true, false}, 2},
};

struct options {
    char *daemon, *operator_file, *kind;
    int controllers, repeats, seed;
    double flap_for_s;
};

struct outcome {
    double stops, leads, works; /* seconds after the cut */
    unsigned changes;           /* of lead, while it flapped */
};

static bool has_begun(struct cluster *c)
{
    return history_start_count(cluster_history(c)) >= 4 && cluster_leader(c) >= 0;
}

static void cut_all(struct cluster *c, const struct kind *kind, int controller,
                    struct relay_fault cut)
{
    int ends = kind->link == CLUSTER_LINK_ZONE ? CLUSTER_ZONES : 1;

    for (int to = 0; to < ends; to++)
        cluster_set_link_fault(c, controller, kind->link, to, cut);
}

/* Follows what becomes of a cut for good. */
static void follow_cut(struct cluster *c, int cut_one, struct outcome *out)
{
    double began = pm_clock_monotonic();
    unsigned answered = fake_provider_answered_heartbeats(cluster_provider(c), cut_one);
    unsigned starts = 0;

    *out = (struct outcome){0, WAIT_S, WAIT_S, 0};
    while (pm_clock_monotonic() - began < WAIT_S && out->works >= WAIT_S) {
        int leader = cluster_leader(c);
        double at = pm_clock_monotonic() - began;
        cluster_run(c, STEP_S);
        if (fake_provider_answered_heartbeats(cluster_provider(c), cut_one) > answered) {
            answered = fake_provider_answered_heartbeats(cluster_provider(c), cut_one);
            out->stops = at;
        }
        if (out->leads >= WAIT_S && leader >= 0 && leader != cut_one) {
            out->leads = at;
            starts = history_start_count(cluster_history(c));
        }
        if (out->leads < WAIT_S && history_start_count(cluster_history(c)) > starts)
            out->works = at;
    }
}

static void follow_flaps(struct cluster *c, const struct options *options, const struct kind *kind,
                         int cut_one, struct outcome *out)
{
    double began = pm_clock_monotonic();
    int leader = cut_one;

    *out = (struct outcome){0};
    for (int turn = 0; pm_clock_monotonic() - began < options->flap_for_s; turn++) {
        double until = pm_clock_monotonic() + kind->flap_s;
        cut_all(c, kind, cut_one, turn % 2 ? (struct relay_fault){0} : kind->cut);
        while (pm_clock_monotonic() < until) {
            int now = cluster_leader(c);
            cluster_run(c, STEP_S);
            out->changes += now >= 0 && now != leader;
            leader = now >= 0 ? now : leader;
        }
    }
}

static bool repeat(const struct options *options, const struct kind *kind, GRand *chance,
                   struct outcome *out)
{
    gchar *operators = NULL;
    struct cluster *c;
    bool begun;
    int leader;

    if (options->operator_file)
        g_file_get_contents(options->operator_file, &operators, NULL, NULL);
    c = cluster_new(&(struct cluster_settings){.controller_count = options->controllers,
                                               .daemon = options->daemon,
                                               .operator_yaml = operators,
                                               .quiet = true});
    cluster_set_load(c, 0.4);
    begun = cluster_run_until(c, has_begun, BEGIN_S);
    cluster_run(c, SETTLE_S + g_rand_double(chance));
    leader = cluster_leader(c);
    if (begun && leader >= 0 && kind->flap_s > 0) {
        follow_flaps(c, options, kind, leader, out);
    } else if (begun && leader >= 0) {
        cut_all(c, kind, leader, kind->cut);
        follow_cut(c, leader, out);
    }
    cluster_free(c);
    if (*history_violations(cluster_history(c)))
        printf("BROKEN RULE %s: %s", kind->name, history_violations(cluster_history(c)));
    g_free(operators);
    return begun && leader >= 0;
}

static int by_size(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static void print_times(const char *what, double *times, int n)
{
    qsort(times, (size_t)n, sizeof *times, by_size);
    printf("  %s median %.2f, most %.2f;", what, times[n / 2], times[n - 1]);
}

static void measure(const struct options *options, const struct kind *kind)
{
    static double stops[REPEATS_MOST];
    static double leads[REPEATS_MOST];
    static double works[REPEATS_MOST];
    GRand *chance = g_rand_new_with_seed((guint32)options->seed);
    unsigned changes = 0;
    int n = 0;

    for (int i = 0; i < options->repeats; i++) {
        struct outcome outcome;
        if (!repeat(options, kind, chance, &outcome))
            continue;
        stops[n] = outcome.stops;
        leads[n] = outcome.leads;
        works[n++] = outcome.works;
        changes += outcome.changes;
    }
    g_rand_free(chance);
    printf("%s: %d of %d repeats, %d controllers;", kind->name, n, options->repeats,
           options->controllers);
    if (n && kind->flap_s > 0) {
        printf("  %.2f changes of lead in %.0f s\n", (double)changes / n, options->flap_for_s);
    } else if (n) {
        print_times("stops", stops, n);
        print_times("another leads", leads, n);
        print_times("work starts", works, n);
        printf("\n");
    }
    fflush(stdout);
}

int main(int argc, char **argv)
{
    struct options options = {.controllers = 4, .repeats = 20, .seed = 1, .flap_for_s = 60};
    GOptionEntry entries[] = {
        {"daemon", 0, 0, G_OPTION_ARG_FILENAME, &options.daemon, "the program measured", "FILE"},
        {"operator", 0, 0, G_OPTION_ARG_FILENAME, &options.operator_file, "its operators' settings",
         "FILE"},
        {"kind", 0, 0, G_OPTION_ARG_STRING, &options.kind, "this kind of cut alone", "KIND"},
        {"controllers", 0, 0, G_OPTION_ARG_INT, &options.controllers, "4 by default", "N"},
        {"repeats", 0, 0, G_OPTION_ARG_INT, &options.repeats, "20 by default", "N"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "1 by default", "N"},
        {"flap-for", 0, 0, G_OPTION_ARG_DOUBLE, &options.flap_for_s, "60 by default", "SECONDS"},
        {0}};
    GOptionContext *context = g_option_context_new("- measure what follows a cut link");

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) || !options.daemon ||
        options.repeats < 1 || options.repeats > REPEATS_MOST || options.controllers < 1 ||
        options.controllers > CLUSTER_CONTROLLERS_MAX) {
        fprintf(stderr, "measure-cuts: wrong use (see --help)\n");
        return 2;
    }
    g_option_context_free(context);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
        if (!options.kind || !strcmp(options.kind, kinds[i].name))
            measure(&options, &kinds[i]);
    return 0;
}
