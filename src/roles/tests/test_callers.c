/* Guards against a new call to the machine provider, or a new deletion of keys, that a replaced
 * holder of a role could still make: every place in the sources that does either is listed here.
 * Before you add a place, make sure that its action is refused if the caller is a replaced holder
 * (see docs/design/roles.md). */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static gint compare_paths(gconstpointer left, gconstpointer right)
{
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Adds the paths of the directory's C files to `paths`. */
static void add_sources(GPtrArray *paths, const char *directory)
{
    GDir *files = g_dir_open(directory, 0, NULL);
    const char *name;

    if (!files)
        return;
    while ((name = g_dir_read_name(files)))
        if (g_str_has_suffix(name, ".c"))
            g_ptr_array_add(paths, g_build_filename(directory, name, NULL));
    g_dir_close(files);
}

/* Returns the paths of the sources, sorted. Leaves out tests and the fakes in testing/, which are
 * in no installed program. */
static GPtrArray *list_sources(void)
{
    static const char *const roots[] = {"src", "src/cmd"};
    GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);

    for (size_t i = 0; i < G_N_ELEMENTS(roots); i++) {
        GDir *root = g_dir_open(roots[i], 0, NULL);
        const char *name;
        assert_non_null(root); /* the working directory of the tests is the repository's root */
        while ((name = g_dir_read_name(root))) {
            char *directory = g_build_filename(roots[i], name, NULL);
            if (strcmp(name, "testing") != 0)
                add_sources(paths, directory);
            g_free(directory);
        }
        g_dir_close(root);
    }
    g_ptr_array_sort(paths, compare_paths);
    return paths;
}

static int count_occurrences(const char *text, const char *needle)
{
    int occurrences = 0;

    for (const char *at = text; (at = strstr(at, needle)); at += strlen(needle))
        occurrences++;
    return occurrences;
}

/* Returns the files that contain the text and how often they do, such as "file.c 2, other.c 1".
 * Owned by the caller. */
static char *find_callers(const char *needle)
{
    GPtrArray *paths = list_sources();
    GString *callers = g_string_new(NULL);

    for (guint i = 0; i < paths->len; i++) {
        const char *path = g_ptr_array_index(paths, i);
        char *text;
        int occurrences;
        assert_true(g_file_get_contents(path, &text, NULL, NULL));
        occurrences = count_occurrences(text, needle);
        if (occurrences)
            g_string_append_printf(callers, "%s%s %d", callers->len ? ", " : "",
                                   path + strlen("src/"), occurrences);
        g_free(text);
    }
    g_ptr_array_free(paths, TRUE);
    return g_string_free(callers, FALSE);
}

static void assert_callers(const char *needle, const char *expected)
{
    char *callers = find_callers(needle);

    assert_string_equal(callers, expected);
    g_free(callers);
}

/* Only calls through pm_provider_send rent or terminate machines. The other calls only read. */
static void provider_is_called_from_known_places(void **state)
{
    (void)state;
    assert_callers("settings->cloud_addr,",
                   "autoscaler/inventory.c 1, autoscaler/machine_types.c 1, "
                   "autoscaler/provider_client.c 1, cmd/pumicemount/link_monitor.c 1");
    assert_callers("\"/machines/release\"", "autoscaler/provider_client.c 1");
    assert_callers("\"/machines\"", "autoscaler/provider_client.c 1");
    /* The definition, the call that rents and the call that terminates. */
    assert_callers("pm_provider_send(", "autoscaler/provider_client.c 1, autoscaler/scale_out.c 1, "
                                        "autoscaler/termination.c 1");
}

static void keys_are_deleted_from_known_places(void **state)
{
    (void)state;
    assert_callers("pm_txn_delete(",
                   "jobs/commit_transaction.c 2, leadership/campaign.c 1, leadership/epoch.c 1, "
                   "roles/acquisition.c 1, "
                   "roles/drain.c 2, roles/garbage_collector.c 1, roles/intent_closing.c 1, "
                   "store/txn.c 1");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(provider_is_called_from_known_places),
        cmocka_unit_test(keys_are_deleted_from_known_places),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
