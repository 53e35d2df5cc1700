/* Audit log files are read up to their last readable entry, whether they are complete, truncated,
 * still open or damaged. The size of all files together is bounded. */
#include "base/cbor.h"
#include "roles/audit_log.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

enum { TAR_BLOCK = 512, ENTRY_BYTES = 2 * TAR_BLOCK };

static char dir[64];
static char why[256];

static int set_up(void **state)
{
    (void)state;
    strcpy(dir, "/tmp/pumicemount-record-XXXXXX");
    return g_mkdtemp(dir) ? 0 : -1;
}

/* Returns the sorted names of the files, joined by spaces. Owned by the caller. */
static char *list_files(void)
{
    GDir *directory = g_dir_open(dir, 0, NULL);
    GPtrArray *names = g_ptr_array_new();
    const char *name;
    char *joined;

    while ((name = g_dir_read_name(directory)))
        g_ptr_array_add(names, g_strdup(name));
    g_dir_close(directory);
    g_ptr_array_sort(names, (GCompareFunc)g_strcmp0);
    g_ptr_array_add(names, NULL);
    joined = g_strjoinv(" ", (char **)names->pdata);
    g_strfreev((char **)g_ptr_array_free(names, FALSE));
    return joined;
}

static int tear_down(void **state)
{
    char *names = list_files();
    char **name_list = g_strsplit(names, " ", -1);

    (void)state;
    for (int i = 0; name_list[i] && name_list[i][0]; i++) {
        char *path = g_build_filename(dir, name_list[i], NULL);
        g_unlink(path);
        g_free(path);
    }
    g_strfreev(name_list);
    g_free(names);
    return g_rmdir(dir);
}

static struct pm_audit_log *open_log(double period_s)
{
    struct pm_audit_log *log = pm_audit_log_new(dir, "node-0", period_s, 1, why, sizeof why);

    assert_non_null(log);
    return log;
}

static void count_entry(void *arg, const struct pm_audit_entry *entry)
{
    unsigned *entries = arg;

    ++*entries;
    assert_int_equal(entry->number, *entries);
    assert_string_equal(entry->event, "sent");
    assert_string_equal(entry->role, "rent");
    assert_string_equal(entry->subject, "rent-5-1");
}

/* Writes a log with `entries` entries. Returns the path of its only file, owned by the caller. */
static char *write_entries(unsigned entries)
{
    struct pm_audit_log *log = open_log(3600);
    char *name;
    char *path;

    for (unsigned i = 0; i < entries; i++)
        pm_audit_log_append(log, "sent", "rent", "rent-5-1", "");
    pm_audit_log_free(log);
    name = list_files();
    path = g_build_filename(dir, name, NULL);
    g_free(name);
    return path;
}

static void complete_file_is_read(void **state)
{
    unsigned entries = 0;
    char *path = write_entries(3);

    (void)state;
    assert_true(g_str_has_suffix(path, ".tar"));
    assert_int_equal(pm_audit_log_read_file(path, count_entry, &entries, why, sizeof why),
                     PM_AUDIT_FILE_COMPLETE);
    assert_int_equal(entries, 3);
    g_free(path);
}

/* The state after a crash while the content or the header of an entry was being written. */
static void truncated_file_is_read_to_its_last_complete_entry(void **state)
{
    static const int lengths[] = {2 * ENTRY_BYTES, 2 * ENTRY_BYTES + 100,
                                  2 * ENTRY_BYTES + TAR_BLOCK + 10, 3 * ENTRY_BYTES - TAR_BLOCK};
    char *path = write_entries(3);

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
        unsigned entries = 0;
        assert_int_equal(truncate(path, lengths[G_N_ELEMENTS(lengths) - 1 - i]), 0);
        assert_int_equal(pm_audit_log_read_file(path, count_entry, &entries, why, sizeof why),
                         PM_AUDIT_FILE_TRUNCATED);
        assert_int_equal(entries, 2);
        assert_true(why[0] != 0);
    }
    g_free(path);
}

/* The state after the writer's process ended without closing the file: every appended entry is
 * read, and the file is reported as not closed. */
static void open_file_is_read(void **state)
{
    struct pm_audit_log *log = open_log(3600);
    unsigned entries = 0;
    char *name;
    char *path;

    (void)state;
    pm_audit_log_append(log, "sent", "rent", "rent-5-1", "");
    pm_audit_log_append(log, "sent", "rent", "rent-5-1", "");
    for (int i = 0; i < 500 && entries < 2; i++) {
        g_usleep(10000);
        name = list_files();
        path = g_build_filename(dir, name, NULL);
        entries = 0;
        if (*name)
            assert_int_equal(pm_audit_log_read_file(path, count_entry, &entries, why, sizeof why),
                             PM_AUDIT_FILE_TRUNCATED);
        assert_true(!*name || g_str_has_suffix(path, ".tar.part"));
        g_free(name);
        g_free(path);
    }
    assert_int_equal(entries, 2);
    pm_audit_log_free(log);
}

static void damaged_entry_is_reported(void **state)
{
    char *path = write_entries(3);
    FILE *file = g_fopen(path, "r+");
    unsigned entries = 0;

    (void)state;
    fseek(file, ENTRY_BYTES + TAR_BLOCK, SEEK_SET);
    fputs("????????", file);
    fclose(file);
    assert_int_equal(pm_audit_log_read_file(path, count_entry, &entries, why, sizeof why),
                     PM_AUDIT_FILE_CORRUPT);
    assert_int_equal(entries, 1);
    g_free(path);
}

static void missing_archive_is_reported(void **state)
{
    unsigned entries = 0;
    char *path = g_build_filename(dir, "none.tar", NULL);

    (void)state;
    assert_int_equal(pm_audit_log_read_file(path, count_entry, &entries, why, sizeof why),
                     PM_AUDIT_FILE_MISSING);
    g_file_set_contents(path, "no archive at all, though there is a file", -1, NULL);
    assert_int_not_equal(pm_audit_log_read_file(path, count_entry, &entries, why, sizeof why),
                         PM_AUDIT_FILE_COMPLETE);
    assert_int_equal(entries, 0);
    g_free(path);
}

/* However much is appended, at most a megabyte is kept, in several files. */
static void total_size_is_bounded(void **state)
{
    struct pm_audit_log *log = open_log(3600);
    uint64_t bytes = 0;
    char *names;
    char **name_list;

    (void)state;
    for (int i = 0; i < 3000; i++) {
        pm_audit_log_append(log, "sent", "rent", "rent-5-1", "");
        if (i % 1000 == 999)
            g_usleep(300000); /* lets the writer empty its queue, so that no entry is dropped */
    }
    pm_audit_log_free(log);
    names = list_files();
    name_list = g_strsplit(names, " ", -1);
    assert_true(g_strv_length(name_list) > 3);
    for (int i = 0; name_list[i]; i++) {
        char *path = g_build_filename(dir, name_list[i], NULL);
        GStatBuf status;
        assert_int_equal(g_stat(path, &status), 0);
        bytes += (uint64_t)status.st_size;
        g_free(path);
    }
    assert_in_range(bytes, 512 * 1024, 1024 * 1024);
    g_strfreev(name_list);
    g_free(names);
}

static void unwritable_directory_is_reported(void **state)
{
    (void)state;
    assert_null(pm_audit_log_new("/proc/none", "node-0", 3600, 1, why, sizeof why));
    assert_non_null(strstr(why, "/proc/none"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(complete_file_is_read, set_up, tear_down),
        cmocka_unit_test_setup_teardown(truncated_file_is_read_to_its_last_complete_entry, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(open_file_is_read, set_up, tear_down),
        cmocka_unit_test_setup_teardown(damaged_entry_is_reported, set_up, tear_down),
        cmocka_unit_test_setup_teardown(missing_archive_is_reported, set_up, tear_down),
        cmocka_unit_test_setup_teardown(total_size_is_bounded, set_up, tear_down),
        cmocka_unit_test_setup_teardown(unwritable_directory_is_reported, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
