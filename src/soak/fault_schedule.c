#include "soak/fault_schedule.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_GAP_S 4.0 /* longest time between the starts of two consecutive faults */
/* This share of faults starts within MAX_OVERLAP_GAP_S of the start of the previous fault, so that
 * faults often overlap. */
#define OVERLAP_SHARE 0.5
#define MAX_OVERLAP_GAP_S 1.0
#define MIN_DURATION_S 0.05
#define SHORT_DURATION_S 0.8 /* a fault up to this long ends before the controllers detect it */
#define MAX_DURATION_S 13.0  /* a little longer than three of the short worker leases in soak.c */

static const char *const kind_names[FAULT_KIND_COUNT] = {
    "kill",          "pause",         "cut-state",     "cut-peers",   "cut-workers",
    "cut-cloud",     "refused-alone", "outage",        "state-hangs", "late-write",
    "lost-answer",   "watch-too-old", "late-messages", "machine-cut", "machine-hangs",
    "machine-fails", "cancellations"};

static const char *const target_names[FAULT_TARGET_COUNT] = {"leader", "holder", "any"};

const char *fault_kind_name(enum fault_kind kind)
{
    return kind_names[kind];
}

/* ---- kinds ---- */

/* Returns the kind with that name, or FAULT_KIND_COUNT if there is none. */
static enum fault_kind find_kind(const char *name)
{
    for (int kind = 0; kind < FAULT_KIND_COUNT; kind++)
        if (!strcmp(name, kind_names[kind]))
            return (enum fault_kind)kind;
    return FAULT_KIND_COUNT;
}

unsigned fault_schedule_parse_kinds(const char *names)
{
    char **list;
    unsigned kinds = 0;
    bool all_known = true;

    if (!names)
        return (1U << FAULT_KIND_COUNT) - 1;
    list = g_strsplit(names, ",", -1);
    for (char **name = list; *name; name++) {
        enum fault_kind kind = find_kind(*name);
        if (kind == FAULT_KIND_COUNT)
            all_known = false;
        else
            kinds |= 1U << kind;
    }
    g_strfreev(list);
    return all_known ? kinds : 0;
}

/* ---- drawing ---- */

static enum fault_kind draw_kind(GRand *random, unsigned kinds)
{
    for (;;) {
        int kind = g_rand_int_range(random, 0, FAULT_KIND_COUNT);
        if (kinds >> kind & 1)
            return (enum fault_kind)kind;
    }
}

/* Durations up to SHORT_DURATION_S are as likely as longer ones. */
static double draw_duration(GRand *random)
{
    if (g_rand_boolean(random))
        return g_rand_double_range(random, MIN_DURATION_S, SHORT_DURATION_S);
    return g_rand_double_range(random, SHORT_DURATION_S, MAX_DURATION_S);
}

static double draw_gap(GRand *random)
{
    bool overlaps = g_rand_double(random) < OVERLAP_SHARE;

    return g_rand_double_range(random, 0, overlaps ? MAX_OVERLAP_GAP_S : MAX_GAP_S);
}

GArray *fault_schedule_draw(GRand *random, double seconds, unsigned kinds)
{
    GArray *schedule = g_array_new(FALSE, FALSE, sizeof(struct fault));
    double start_s = 0;

    for (;;) {
        struct fault fault = {0};
        start_s += draw_gap(random);
        if (start_s >= seconds)
            return schedule;
        fault.start_s = start_s;
        fault.kind = draw_kind(random, kinds);
        fault.target = (enum fault_target)g_rand_int_range(random, 0, FAULT_TARGET_COUNT);
        fault.random_number = g_rand_int(random);
        fault.duration_s = draw_duration(random);
        g_array_append_val(schedule, fault);
    }
}

/* ---- selection ---- */

/* Marks the listed faults in `selected`, by index. Returns false if `numbers` is not a list of
 * numbers from 1 to `count`. */
static bool parse_numbers(const char *numbers, guint count, bool *selected)
{
    char **list = g_strsplit(numbers, ",", -1);
    bool is_valid = list[0] != NULL;

    for (char **text = list; *text; text++) {
        char *end;
        unsigned long number = strtoul(*text, &end, 10);
        is_valid &= end != *text && !*end && number >= 1 && number <= count;
        if (is_valid)
            selected[number - 1] = true;
    }
    g_strfreev(list);
    return is_valid;
}

bool fault_schedule_select(GArray *schedule, const char *numbers)
{
    bool *selected = g_new0(bool, schedule->len + 1);
    bool is_valid = parse_numbers(numbers, schedule->len, selected);

    for (guint i = schedule->len; is_valid && i > 0; i--)
        if (!selected[i - 1])
            g_array_remove_index(schedule, i - 1);
    g_free(selected);
    return is_valid;
}

void fault_schedule_print(const GArray *schedule)
{
    for (guint i = 0; i < schedule->len; i++) {
        const struct fault *fault = &g_array_index(schedule, struct fault, i);
        printf("  fault %3u at %6.2f s for %5.2f s: %s, target %s, random number %u\n", i + 1,
               fault->start_s, fault->duration_s, kind_names[fault->kind],
               target_names[fault->target], fault->random_number);
    }
}
