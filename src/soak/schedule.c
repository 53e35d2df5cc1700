#include "soak/schedule.h"

#include <stdlib.h>
#include <string.h>

#define GAP_MOST_S 4.0 /* between two troubles */
#define MEETING 0.5    /* share of troubles that meet the next one */
#define MEETING_S 1.0
#define SHORT_S 0.8 /* "within a fraction of a second" */
#define LONG_S 13.0 /* three leases */

static const char *const kind_names[TROUBLE_KINDS] = {
    "kill",          "pause",         "cut-state",     "cut-peers",   "cut-workers",
    "cut-cloud",     "refused-alone", "outage",        "state-hangs", "late-write",
    "lost-answer",   "watch-too-old", "late-messages", "machine-cut", "machine-hangs",
    "machine-fails", "cancellations"};

static const char *const target_names[TARGETS] = {"leader", "holder", "any"};

const char *trouble_name(enum trouble_kind kind)
{
    return kind_names[kind];
}

const char *target_name(enum trouble_target target)
{
    return target_names[target];
}

/* Short ones are as likely as long ones. */
static double draw_length(GRand *random)
{
    if (g_rand_boolean(random))
        return g_rand_double_range(random, 0.05, SHORT_S);
    return g_rand_double_range(random, SHORT_S, LONG_S);
}

unsigned schedule_read_kinds(const char *names)
{
    char **words = names ? g_strsplit(names, ",", -1) : NULL;
    unsigned kinds = names ? 0 : (1u << TROUBLE_KINDS) - 1;
    bool known = true;

    for (char **word = words; word && *word; word++) {
        bool found = false;
        for (int kind = 0; kind < TROUBLE_KINDS; kind++)
            if (!strcmp(*word, kind_names[kind])) {
                kinds |= 1u << kind;
                found = true;
            }
        known &= found;
    }
    g_strfreev(words);
    return known ? kinds : 0;
}

static enum trouble_kind draw_kind(GRand *random, unsigned kinds)
{
    for (;;) {
        int kind = g_rand_int_range(random, 0, TROUBLE_KINDS);
        if (kinds >> kind & 1)
            return (enum trouble_kind)kind;
    }
}

GArray *schedule_draw(GRand *random, double seconds, unsigned kinds)
{
    GArray *schedule = g_array_new(FALSE, FALSE, sizeof(struct trouble));
    double at_s = 0;

    for (;;) {
        bool meets = g_rand_double(random) < MEETING;
        struct trouble trouble = {0};
        at_s += g_rand_double_range(random, 0, meets ? MEETING_S : GAP_MOST_S);
        if (at_s >= seconds)
            return schedule;
        trouble.at_s = at_s;
        trouble.kind = draw_kind(random, kinds);
        trouble.target = (enum trouble_target)g_rand_int_range(random, 0, TARGETS);
        trouble.choice = g_rand_int(random);
        trouble.for_s = draw_length(random);
        g_array_append_val(schedule, trouble);
    }
}

bool schedule_keep(GArray *schedule, const char *only)
{
    char **words = g_strsplit(only, ",", -1);
    bool *kept = g_new0(bool, schedule->len + 1);
    bool readable = words[0] != NULL;

    for (char **word = words; *word; word++) {
        char *end;
        unsigned long number = strtoul(*word, &end, 10);
        readable &= end != *word && !*end && number >= 1 && number <= schedule->len;
        if (readable)
            kept[number - 1] = true;
    }
    for (guint i = schedule->len; readable && i > 0; i--)
        if (!kept[i - 1])
            g_array_remove_index(schedule, i - 1);
    g_free(kept);
    g_strfreev(words);
    return readable;
}
