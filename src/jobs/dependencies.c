#include "jobs/dependencies.h"

#include <math.h>

/* A job in the graph. One that is over stays allocated while others still refer to it, so that
 * leaving the graph never searches the lists of others. */
struct node {
    struct pm_job *job; /* NULL: named by others, not known yet */
    bool added;         /* its own dependencies are linked */
    bool over;
    bool queued; /* in the walk under way */
    unsigned references;
    GPtrArray *dependencies, *dependents; /* of struct node; each entry is a reference */
};

struct pm_dependency_graph {
    struct pm_name_tables *tables;
    GPtrArray *nodes; /* by index of `dependency_ids`; NULL: over, or in no dependency */
    uint64_t steps;
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

static struct node *make_node(struct pm_dependency_graph *graph, int index)
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

/* Takes the node out of the graph. Others may refer to it until they leave as well. */
static void remove_node(struct pm_dependency_graph *graph, int index)
{
    struct node *node = find_node(graph, index);

    graph->steps += node->dependencies->len + node->dependents->len;
    g_ptr_array_index(graph->nodes, index) = NULL;
    node->over = true;
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

/* A job that another needs is as urgent as that one, and due so much earlier as that one takes.
 * Whether this changed the dependency. */
static bool inherit(struct pm_job *dependency, const struct pm_job *dependent)
{
    double due = dependent->deadline_wall - dependent->spec->estimated_run_s;
    bool changes = dependency->priority < dependent->priority || dependency->deadline_wall > due;

    dependency->priority = MAX(dependency->priority, dependent->priority);
    dependency->deadline_wall = MIN(dependency->deadline_wall, due);
    return changes;
}

/* Whether the edge is in the order of acceptance, as every edge between accepted jobs is. */
static bool in_order(const struct node *dependency, const struct node *dependent)
{
    return dependency->job && dependency->job->revision < dependent->job->revision;
}

/* Latest accepted first. */
static gint by_acceptance(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct node *x = a;
    const struct node *y = b;

    (void)data;
    return (x->job->revision < y->job->revision) - (x->job->revision > y->job->revision);
}

static void enqueue(GSequence *queue, struct node *node)
{
    if (node->queued)
        return;
    node->queued = true;
    g_sequence_insert_sorted(queue, node, by_acceptance, NULL);
}

static struct node *dequeue(GSequence *queue)
{
    GSequenceIter *first = g_sequence_get_begin_iter(queue);
    struct node *node = g_sequence_get(first);

    g_sequence_remove(first);
    node->queued = false;
    return node;
}

/* Passes the node's priority and deadline on to all that it needs. Whoever is taken from the queue
 * has heard from all of its own dependents by then, so each node is handled once. */
static void propagate(struct pm_dependency_graph *graph, struct node *from)
{
    GSequence *queue = g_sequence_new(NULL);

    enqueue(queue, from);
    while (!g_sequence_is_empty(queue)) {
        const struct node *dependent = dequeue(queue);
        for (guint i = 0; i < dependent->dependencies->len; i++) {
            struct node *dependency = g_ptr_array_index(dependent->dependencies, i);
            graph->steps++;
            if (!dependency->over && in_order(dependency, dependent) &&
                inherit(dependency->job, dependent->job))
                enqueue(queue, dependency);
        }
    }
    g_sequence_free(queue);
}

/* ---- adding ---- */

/* The job needed the other one, which is done: whoever waits, waits from the last such end on. */
static void note_end(struct pm_job *job, double ended)
{
    job->dependencies.met_wall = ended > 0 ? MAX(job->dependencies.met_wall, ended) : INFINITY;
}

static void add_edge(struct pm_dependency_graph *graph, struct node *node, int index,
                     struct pm_job *job)
{
    struct node *dependency = make_node(graph, index);

    dependency->job = job;
    g_ptr_array_add(node->dependencies, node_ref(dependency));
    g_ptr_array_add(dependency->dependents, node_ref(node));
    node->job->dependencies.unmet++;
}

/* Links the node to what its job needs. Returns the earliest cancellation among that, 0: none. */
static uint64_t add_dependencies(struct pm_dependency_graph *graph, struct node *node,
                                 pm_dependency_lookup *lookup, void *arg)
{
    const struct pm_spec *spec = node->job->spec;
    uint64_t cancelled = 0;

    for (uint32_t i = 0; i < spec->dependency_count; i++) {
        int index = spec->dependencies[i];
        struct pm_dependency_outcome outcome =
            lookup(arg, pm_names_text(graph->tables->dependency_ids, index));
        graph->steps++;
        if (outcome.cancellation_revision)
            cancelled = cancelled ? MIN(cancelled, outcome.cancellation_revision)
                                  : outcome.cancellation_revision;
        else if (outcome.job && outcome.job->state == PM_JOB_DONE)
            note_end(node->job, outcome.job->ended_wall);
        else
            add_edge(graph, node, index, outcome.job);
    }
    return cancelled;
}

uint64_t pm_dependencies_add(struct pm_dependency_graph *graph, struct pm_job *job,
                             pm_dependency_lookup *lookup, void *arg)
{
    struct pm_names *ids = graph->tables->dependency_ids;
    int index =
        job->spec->dependency_count ? pm_names_intern(ids, job->id) : pm_names_find(ids, job->id);
    struct node *node = index >= 0 ? make_node(graph, index) : NULL;
    uint64_t cancelled;

    if (!node || node->added)
        return 0; /* nothing needs it so far, nor does it need anything; or it is there already */
    node->job = job;
    node->added = true;
    cancelled = add_dependencies(graph, node, lookup, arg);
    for (guint i = 0; i < node->dependents->len; i++) {
        const struct node *dependent = g_ptr_array_index(node->dependents, i);
        graph->steps++;
        if (!dependent->over && in_order(node, dependent))
            inherit(job, dependent->job);
    }
    propagate(graph, node);
    return cancelled;
}

/* ---- ends ---- */

void pm_dependencies_mark_done(struct pm_dependency_graph *graph, const char *id, double ended)
{
    int index = pm_names_find(graph->tables->dependency_ids, id);
    const struct node *node = find_node(graph, index);

    if (!node)
        return;
    for (guint i = 0; i < node->dependents->len; i++) {
        const struct node *dependent = g_ptr_array_index(node->dependents, i);
        if (dependent->over)
            continue;
        dependent->job->dependencies.unmet--;
        note_end(dependent->job, ended);
    }
    remove_node(graph, index);
}

void pm_dependencies_mark_cancelled(struct pm_dependency_graph *graph, const char *id,
                                    pm_dependency_cancel *cancel, void *arg)
{
    GArray *walk = g_array_new(FALSE, FALSE, sizeof(int));
    int index = pm_names_find(graph->tables->dependency_ids, id);

    if (find_node(graph, index))
        g_array_append_val(walk, index);
    while (walk->len) {
        const struct node *node;
        index = g_array_index(walk, int, walk->len - 1);
        g_array_set_size(walk, walk->len - 1);
        node = find_node(graph, index);
        if (!node)
            continue; /* reached by another way */
        for (guint i = 0; i < node->dependents->len; i++) {
            const struct node *dependent = g_ptr_array_index(node->dependents, i);
            int next;
            if (dependent->over)
                continue;
            next = pm_names_find(graph->tables->dependency_ids, dependent->job->id);
            cancel(arg, dependent->job);
            g_array_append_val(walk, next);
        }
        remove_node(graph, index);
    }
    g_array_free(walk, TRUE);
}

uint64_t pm_dependencies_steps(const struct pm_dependency_graph *graph)
{
    return graph->steps;
}
