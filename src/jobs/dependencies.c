/* The dependency graph: its nodes and edges, and the traversals along the edges. */
#include "jobs/dependencies.h"

#include <math.h>

/* A job in the graph. Nodes are reference-counted: a removed node stays allocated while the lists
 * of other nodes refer to it, so that removing a node need not search their lists. */
struct node {
    struct pm_job *job; /* NULL while the job is not known yet, and once the node is removed */
    bool is_added;      /* the edges to its dependencies were added */
    bool is_removed;    /* no longer in the graph */
    bool is_queued;     /* in the queue of the current traversal */
    unsigned references;
    GPtrArray *dependencies, *dependents; /* of struct node; each entry holds a reference */
};

struct pm_dependency_graph {
    struct pm_name_tables *tables;
    GPtrArray *nodes; /* by index in `dependency_ids`; NULL if removed, or if the job has neither
                       * dependencies nor dependents */
    uint64_t edges_visited;
};

struct pm_dependency_graph *pm_dependencies_new(struct pm_name_tables *tables)
{
    struct pm_dependency_graph *graph = g_new0(struct pm_dependency_graph, 1);

    graph->tables = tables;
    graph->nodes = g_ptr_array_new();
    return graph;
}

static void node_unref(gpointer data)
{
    struct node *node = data;

    if (--node->references)
        return;
    g_ptr_array_free(node->dependencies, TRUE);
    g_ptr_array_free(node->dependents, TRUE);
    g_free(node);
}

static struct node *node_ref(struct node *node)
{
    node->references++;
    return node;
}

static struct node *node_new(void)
{
    struct node *node = g_new0(struct node, 1);

    node->references = 1;
    node->dependencies = g_ptr_array_new_with_free_func(node_unref);
    node->dependents = g_ptr_array_new_with_free_func(node_unref);
    return node;
}

static struct node *find_node(const struct pm_dependency_graph *graph, int index)
{
    return index >= 0 && index < (int)graph->nodes->len ? g_ptr_array_index(graph->nodes, index)
                                                        : NULL;
}

static struct node *ensure_node(struct pm_dependency_graph *graph, int index)
{
    struct node *node = find_node(graph, index);

    if (node)
        return node;
    if (index >= (int)graph->nodes->len)
        g_ptr_array_set_size(graph->nodes, index + 1);
    node = node_new();
    g_ptr_array_index(graph->nodes, index) = node;
    return node;
}

/* Removes the node from the graph. The lists of other nodes may still refer to it; its memory is
 * freed when the last of those nodes is removed. */
static void remove_node(struct pm_dependency_graph *graph, int index)
{
    struct node *node = find_node(graph, index);

    graph->edges_visited += node->dependencies->len + node->dependents->len;
    g_ptr_array_index(graph->nodes, index) = NULL;
    node->is_removed = true;
    node->job = NULL;
    g_ptr_array_set_size(node->dependencies, 0);
    g_ptr_array_set_size(node->dependents, 0);
    node_unref(node);
}

void pm_dependencies_free(struct pm_dependency_graph *graph)
{
    for (guint i = 0; i < graph->nodes->len; i++)
        if (g_ptr_array_index(graph->nodes, i))
            remove_node(graph, (int)i);
    g_ptr_array_free(graph->nodes, TRUE);
    g_free(graph);
}

/* ---- priority and deadline ---- */

/* Raises the dependency's priority to at least that of its dependent, and lowers its deadline so
 * that it leaves time for the dependent to run. Returns whether either changed. */
static bool inherit(struct pm_job *dependency, const struct pm_job *dependent)
{
    double due = dependent->deadline_wall - dependent->spec->estimated_run_s;
    bool is_changed = dependency->priority < dependent->priority || dependency->deadline_wall > due;

    dependency->priority = MAX(dependency->priority, dependent->priority);
    dependency->deadline_wall = MIN(dependency->deadline_wall, due);
    return is_changed;
}

/* Whether the dependency is known and was accepted before the dependent. The API accepts no other
 * dependencies; the check keeps a malformed stored value from making a traversal run in circles. */
static bool was_accepted_before(const struct node *dependency, const struct node *dependent)
{
    return dependency->job && dependency->job->revision < dependent->job->revision;
}

/* Sorts nodes by the revision of acceptance, latest first. */
static gint compare_acceptance(gconstpointer left, gconstpointer right, gpointer data)
{
    uint64_t left_revision = ((const struct node *)left)->job->revision;
    uint64_t right_revision = ((const struct node *)right)->job->revision;

    (void)data;
    return (left_revision < right_revision) - (left_revision > right_revision);
}

static void enqueue(GSequence *queue, struct node *node)
{
    if (node->is_queued)
        return;
    node->is_queued = true;
    g_sequence_insert_sorted(queue, node, compare_acceptance, NULL);
}

static struct node *dequeue(GSequence *queue)
{
    GSequenceIter *first = g_sequence_get_begin_iter(queue);
    struct node *node = g_sequence_get(first);

    g_sequence_remove(first);
    node->is_queued = false;
    return node;
}

/* Propagates the node's priority and deadline to all its dependencies, direct and indirect. The
 * queue is in order of acceptance, latest first, so a node is dequeued only after all its
 * dependents that the traversal reaches, and each node is processed once. */
static void propagate(struct pm_dependency_graph *graph, struct node *from)
{
    GSequence *queue = g_sequence_new(NULL);

    enqueue(queue, from);
    while (!g_sequence_is_empty(queue)) {
        const struct node *dependent = dequeue(queue);
        for (guint i = 0; i < dependent->dependencies->len; i++) {
            struct node *dependency = g_ptr_array_index(dependent->dependencies, i);
            graph->edges_visited++;
            if (!dependency->is_removed && was_accepted_before(dependency, dependent) &&
                inherit(dependency->job, dependent->job))
                enqueue(queue, dependency);
        }
    }
    g_sequence_free(queue);
}

/* ---- adding jobs ---- */

/* Records that a dependency of the job ended at the time of day `ended_wall` (0 if not known). The
 * job's waiting time counts from the last such end. After an end at an unknown time the record
 * stays INFINITY, and the scheduler counts from when it first finds the dependencies met. */
static void record_dependency_end(struct pm_job *job, double ended_wall)
{
    double *last_ended_wall = &job->dependencies.last_ended_wall;

    *last_ended_wall = ended_wall > 0 ? MAX(*last_ended_wall, ended_wall) : INFINITY;
}

static void add_edge(struct pm_dependency_graph *graph, struct node *node, int index,
                     struct pm_job *job)
{
    struct node *dependency = ensure_node(graph, index);

    dependency->job = job;
    g_ptr_array_add(node->dependencies, node_ref(dependency));
    g_ptr_array_add(dependency->dependents, node_ref(node));
    node->job->dependencies.unmet_count++;
}

/* Returns the earlier of two revisions; `known` may be 0, which means none. */
static uint64_t earlier_revision(uint64_t known, uint64_t other)
{
    return known ? MIN(known, other) : other;
}

/* Adds edges from the node to the unmet dependencies of its job. Returns the revision of the
 * earliest cancellation among the dependencies, or 0 if none is cancelled. */
static uint64_t add_dependencies(struct pm_dependency_graph *graph, struct node *node,
                                 pm_dependency_lookup *lookup, void *arg)
{
    const struct pm_spec *spec = node->job->spec;
    uint64_t earliest_cancellation = 0;

    for (uint32_t i = 0; i < spec->dependency_count; i++) {
        int index = spec->dependencies[i];
        struct pm_dependency_outcome outcome =
            lookup(arg, pm_names_text(graph->tables->dependency_ids, index));
        graph->edges_visited++;
        if (outcome.cancellation_revision)
            earliest_cancellation =
                earlier_revision(earliest_cancellation, outcome.cancellation_revision);
        else if (outcome.job && outcome.job->state == PM_JOB_DONE)
            record_dependency_end(node->job, outcome.job->ended_wall);
        else
            add_edge(graph, node, index, outcome.job);
    }
    return earliest_cancellation;
}

/* Lets a node that has just been added inherit from dependents that were added before it. */
static void inherit_from_dependents(struct pm_dependency_graph *graph, struct node *node)
{
    for (guint i = 0; i < node->dependents->len; i++) {
        const struct node *dependent = g_ptr_array_index(node->dependents, i);
        graph->edges_visited++;
        if (!dependent->is_removed && was_accepted_before(node, dependent))
            inherit(node->job, dependent->job);
    }
}

uint64_t pm_dependencies_add(struct pm_dependency_graph *graph, struct pm_job *job,
                             pm_dependency_lookup *lookup, void *arg)
{
    struct pm_names *ids = graph->tables->dependency_ids;
    int index =
        job->spec->dependency_count ? pm_names_intern(ids, job->id) : pm_names_find(ids, job->id);
    struct node *node = index >= 0 ? ensure_node(graph, index) : NULL;
    uint64_t earliest_cancellation;

    if (!node || node->is_added)
        return 0; /* the job has neither dependencies nor dependents so far, or was added before */
    node->job = job;
    node->is_added = true;
    earliest_cancellation = add_dependencies(graph, node, lookup, arg);
    inherit_from_dependents(graph, node);
    propagate(graph, node);
    return earliest_cancellation;
}

/* ---- jobs that end ---- */

void pm_dependencies_mark_done(struct pm_dependency_graph *graph, const char *id, double ended_wall)
{
    int index = pm_names_find(graph->tables->dependency_ids, id);
    const struct node *node = find_node(graph, index);

    if (!node)
        return;
    for (guint i = 0; i < node->dependents->len; i++) {
        const struct node *dependent = g_ptr_array_index(node->dependents, i);
        if (dependent->is_removed)
            continue;
        dependent->job->dependencies.unmet_count--;
        record_dependency_end(dependent->job, ended_wall);
    }
    remove_node(graph, index);
}

/* Cancels the dependents of the node, and appends their indices to `pending`. */
static void cancel_dependents(struct pm_dependency_graph *graph, const struct node *node,
                              pm_dependency_cancel *cancel, void *arg, GArray *pending)
{
    for (guint i = 0; i < node->dependents->len; i++) {
        const struct node *dependent = g_ptr_array_index(node->dependents, i);
        int index;
        if (dependent->is_removed)
            continue;
        index = pm_names_find(graph->tables->dependency_ids, dependent->job->id);
        cancel(arg, dependent->job);
        g_array_append_val(pending, index);
    }
}

void pm_dependencies_mark_cancelled(struct pm_dependency_graph *graph, const char *id,
                                    pm_dependency_cancel *cancel, void *arg)
{
    GArray *pending = g_array_new(FALSE, FALSE, sizeof(int));
    int index = pm_names_find(graph->tables->dependency_ids, id);

    if (find_node(graph, index))
        g_array_append_val(pending, index);
    while (pending->len) {
        const struct node *node;
        index = g_array_index(pending, int, pending->len - 1);
        g_array_set_size(pending, pending->len - 1);
        node = find_node(graph, index);
        if (!node)
            continue; /* already removed: reached on another path */
        cancel_dependents(graph, node, cancel, arg, pending);
        remove_node(graph, index);
    }
    g_array_free(pending, TRUE);
}

uint64_t pm_dependencies_edges_visited(const struct pm_dependency_graph *graph)
{
    return graph->edges_visited;
}
