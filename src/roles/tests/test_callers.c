/* Lists who calls the cloud, and who deletes keys: an action that is new has to be judged for what
 * refuses it when its caller was replaced (docs/design/duties.md), and only then be listed here. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static gint by_name(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The sources but for the tests and their stand-ins (which no program of the operators' holds),
 * "slice/file.c", in order. */
static GPtrArray *list_sources(void)
{
    static const char *const roots[] = {"src", "src/cmd"};
    GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);

    for (size_t i = 0; i < G_N_ELEMENTS(roots); i++) {
        GDir *root = g_dir_open(roots[i], 0, NULL);
        const char *slice;
        assert_non_null(root); /* the tests run in the root of the sources */
        while ((slice = g_dir_read_name(root))) {
            char *dir = g_build_filename(roots[i], slice, NULL);
            bool stand_ins = !strcmp(slice, "testing");
            GDir *files = stand_ins ? NULL : g_dir_open(dir, 0, NULL);
            const char *name;
            while (files && (name = g_dir_read_name(files)))
                if (g_str_has_suffix(name, ".c"))
                    g_ptr_array_add(paths, g_build_filename(dir, name, NULL));
            if (files)
                g_dir_close(files);
            g_free(dir);
        }
        g_dir_close(root);
    }
    g_ptr_array_sort(paths, by_name);
    return paths;
}

static int count(const char *text, const char *wanted)
{
    int found = 0;

    for (const char *at = text; (at = strstr(at, wanted)); at += strlen(wanted))
        found++;
    return found;
}

/* "file.c 2, other.c 1": the files that have the text, and how often; owned by the caller. */
static char *find_users(const char *wanted)
{
    GPtrArray *paths = list_sources();
    GString *users = g_string_new(NULL);

    for (guint i = 0; i < paths->len; i++) {
        const char *path = g_ptr_array_index(paths, i);
        char *text;
        int found;
        assert_true(g_file_get_contents(path, &text, NULL, NULL));
        found = count(text, wanted);
        if (found)
            g_string_append_printf(users, "%s%s %d", users->len ? ", " : "", path + strlen("src/"),
                                   found);
        g_free(text);
    }
    g_ptr_array_free(paths, TRUE);
    return g_string_free(users, FALSE);
}

static void assert_users(const char *wanted, const char *expected)
{
    char *users = find_users(wanted);

    assert_string_equal(users, expected);
    g_free(users);
}

/* One that rents and returns, send_to_cloud; the others read. */
static void the_cloud_is_called_from(void **state)
{
    (void)state;
    assert_users("settings->cloud_addr,",
                 "autoscaler/inventory.c 1, autoscaler/machine_types.c 1, "
                 "autoscaler/provider_client.c 1, cmd/pumicemount/link_monitor.c 1");
    assert_users("\"/machines/release\"", "autoscaler/provider_client.c 1");
    assert_users("\"/machines\"", "autoscaler/provider_client.c 1");
    assert_users("send_to_cloud(",
                 "autoscaler/provider_client.c 3"); /* itself, to rent, to return */
}

static void keys_are_deleted_from(void **state)
{
    (void)state;
    assert_users("pm_txn_delete(",
                 "jobs/commit.c 2, leadership/campaign.c 1, leadership/epoch.c 1, "
                 "roles/garbage_collector.c 1, roles/intent_log.c 1, roles/lease.c 3, "
                 "store/txn.c 1");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_cloud_is_called_from),
        cmocka_unit_test(keys_are_deleted_from),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
