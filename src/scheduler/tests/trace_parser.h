/* Parses the arguments of a trace's commands. */
#ifndef PM_SCHEDULER_TESTS_TRACE_PARSER_H
#define PM_SCHEDULER_TESTS_TRACE_PARSER_H

#include "trace_world.h"

#include <stdlib.h>

/* Returns VALUE of the argument key=VALUE, or `fallback` if there is no such argument. */
static inline const char *trace_text(char **words, const char *key, const char *fallback)
{
    size_t length = strlen(key);

    for (; *words; words++)
        if (!strncmp(*words, key, length) && (*words)[length] == '=')
            return *words + length + 1;
    return fallback;
}

/* Like trace_text(), but returns the value as a number. */
static inline double trace_number(char **words, const char *key, double fallback)
{
    const char *text = trace_text(words, key, NULL);

    return text ? strtod(text, NULL) : fallback;
}

/* Returns the machine that the command's first argument names, or NULL if there is none. */
static inline struct pm_machine *trace_machine(const struct trace_world *world, char **words)
{
    return pm_workers_find(world->workers, words[1]);
}

/* Returns the index of `name`, or 0 if it is not in `names`. */
static inline int trace_index_of(const char *const *names, int count, const char *name)
{
    for (int i = 0; i < count; i++)
        if (!strcmp(names[i], name))
            return i;
    return 0;
}

/* Returns the index of the team of that name, or 0 if there is none. */
static inline int trace_team(const struct trace_world *world, const char *name)
{
    for (int i = 0; i < world->settings.team_count; i++)
        if (!strcmp(world->settings.teams[i].name, name))
            return i;
    return 0;
}

/* Reads a job's description from the line of a `job` command. The caller frees its dependencies. */
static inline struct pm_spec trace_read_spec(struct trace_world *world, char **words)
{
    static const char *const kinds[] = {"array", "gang", "service"};
    static const char *const priorities[] = {"best_effort", "normal", "urgent", "production"};
    const char *dependency = trace_text(words, "depends_on", NULL);
    struct pm_spec spec = {.zone = -1, .allowed_types = ~(uint64_t)0};

    spec.team = trace_team(world, trace_text(words, "team", "a"));
    spec.kind = (enum pm_workload_kind)trace_index_of(kinds, 3, trace_text(words, "kind", "array"));
    spec.priority =
        (enum pm_priority)trace_index_of(priorities, 4, trace_text(words, "priority", "normal"));
    spec.task_count = (uint32_t)trace_number(words, "tasks", 1);
    spec.cpus = trace_number(words, "cpus", 4);
    spec.ram_gb = trace_number(words, "ram", 4);
    spec.gpus = trace_number(words, "gpus", 0);
    spec.image_gb = 1;
    spec.image = pm_names_intern(world->tables.image_names, trace_text(words, "image", "img"));
    spec.class_index = pm_names_intern(world->tables.class_names, "class");
    spec.checkpoint_interval_s = trace_number(words, "checkpoint_interval", 0);
    spec.checkpoint_duration_s = 2;
    spec.estimated_run_s = trace_number(words, "estimate", 60);
    spec.deadline_s = trace_number(words, "deadline", -1);
    spec.spot = trace_number(words, "spot", 0) > 0;
    spec.zone = pm_settings_find_zone(&world->settings, trace_text(words, "zone", ""));
    spec.same_zone = trace_number(words, "same_zone", 0) > 0;
    spec.spread_zones = trace_number(words, "spread_zones", 0) > 0;
    spec.submitted_wall = trace_wall(world);
    if (dependency) {
        GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
        g_ptr_array_add(ids, g_strdup(dependency));
        pm_spec_set_dependencies(&world->tables, &spec, ids);
        g_ptr_array_free(ids, TRUE);
    }
    return spec;
}

/* Appends a reported task to `buf`, from an argument JOB/INDEX:ATTEMPT:STATUS[:CAUSE]. */
static inline void trace_put_reported_task(struct pm_buffer *buf, const char *word)
{
    char **part = g_strsplit(word, ":", 4);

    pm_cbor_put_map(buf);
    pm_cbor_put_pair_text(buf, "entry", part[0]);
    pm_cbor_put_pair_uint(buf, "try", (uint64_t)strtoul(part[1], NULL, 10));
    pm_cbor_put_pair_text(buf, "status", part[2]);
    if (part[3])
        pm_cbor_put_pair_text(buf, "cause", part[3]);
    pm_cbor_put_end(buf);
    g_strfreev(part);
}

/* Reads the worker's message from a line
 *   COMMAND MACHINE INCARNATION.SEQUENCE token=N type=T zone=Z spot=0|1 [interruption=S] [TASK]...
 * token: the fencing token, by default the first of the current epoch; interruption: the seconds
 * until the announced spot interruption; TASK: see trace_put_reported_task(). Freed by the caller.
 */
static inline cbor_item_t *trace_read_message(struct trace_world *world, char **words)
{
    struct pm_buffer buf = {0};
    char *rest;
    unsigned long incarnation = strtoul(words[2], &rest, 10);
    unsigned long sequence = *rest == '.' ? strtoul(rest + 1, NULL, 10) : 1;
    cbor_item_t *message;

    pm_cbor_put_map(&buf);
    pm_cbor_put_pair_text(&buf, "host", words[1]);
    pm_cbor_put_pair_text(&buf, "endpoint", "127.0.0.1:9");
    pm_cbor_put_pair_text(&buf, "model", trace_text(words, "type", "small"));
    pm_cbor_put_pair_text(&buf, "room", trace_text(words, "zone", "east"));
    pm_cbor_put_pair_flag(&buf, "borrowed", trace_number(words, "spot", 0) > 0);
    pm_cbor_put_pair_uint(&buf, "shift", incarnation);
    pm_cbor_put_pair_uint(&buf, "tally", sequence);
    pm_cbor_put_pair_uint(&buf, "mandate",
                          (uint64_t)trace_number(words, "token", (double)world->tokens.first));
    if (trace_text(words, "interruption", NULL))
        pm_cbor_put_pair_number(&buf, "recall_s", trace_number(words, "interruption", 0));
    pm_cbor_put_text(&buf, "entries");
    pm_cbor_put_list(&buf);
    for (char **word = words + 3; *word; word++)
        if (strchr(*word, ':'))
            trace_put_reported_task(&buf, *word);
    pm_cbor_put_end(&buf);
    pm_cbor_put_end(&buf);
    message = pm_cbor_parse(buf.data, buf.size);
    assert_non_null(message);
    pm_buffer_free(&buf);
    return message;
}

#endif
