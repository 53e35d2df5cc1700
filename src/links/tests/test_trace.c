/* Tests that a reader of the Common Trace Format can read the trace, and that its size on disk is
 * limited. */
#include "links/trace.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

enum { EVENT_COUNT = 20000 };

/* The library that writes the trace leaks the path of each trace. */
const char *__lsan_default_suppressions(void);

const char *__lsan_default_suppressions(void)
{
    return "leak:__vasprintf_internal";
}

static char dir[64];

static int set_up(void **arg)
{
    (void)arg;
    g_strlcpy(dir, "/tmp/pumicemount-trace-XXXXXX", sizeof dir);
    return g_mkdtemp(dir) ? 0 : -1;
}

static int tear_down(void **arg)
{
    char *argv[] = {"rm", "-r", dir, NULL};

    (void)arg;
    return g_spawn_sync(NULL, argv, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL, NULL, NULL, NULL)
               ? 0
               : -1;
}

/* Returns the first trace as babeltrace2 prints it; owned by the caller. */
static char *read_trace(void)
{
    char *path = g_strdup_printf("%s/node-0-0", dir);
    char *argv[] = {"babeltrace2", path, NULL};
    char *text = NULL;
    int status = -1;

    assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, &text, NULL,
                             &status, NULL));
    assert_int_equal(status, 0);
    g_free(path);
    return text;
}

static void trace_is_readable(void **arg)
{
    char err[256] = "";
    struct pm_links_trace *trace = pm_links_trace_new(dir, "node-0", 1, err, sizeof err);
    char *text;

    (void)arg;
    assert_non_null(trace);
    pm_links_trace_change(trace, "link", "state service", "up", "down", "");
    pm_links_trace_change(trace, "duty", "lead", "fit", "unfit",
                          "the state service is not reached");
    pm_links_trace_free(trace);
    text = read_trace();
    assert_non_null(strstr(text, "name = \"state service\", from = \"up\", to = \"down\""));
    assert_non_null(strstr(text, "reason = \"the state service is not reached\""));
    g_free(text);
}

static goffset size_of_trace(const char *path)
{
    GStatBuf status;
    GDir *listing = g_dir_open(path, 0, NULL);
    const char *name;
    goffset size = 0;

    while (listing && (name = g_dir_read_name(listing))) {
        char *file = g_build_filename(path, name, NULL);
        if (!g_stat(file, &status))
            size += status.st_size;
        g_free(file);
    }
    if (listing)
        g_dir_close(listing);
    return size;
}

static void traces_are_bounded_on_disk(void **arg)
{
    char err[256] = "";
    struct pm_links_trace *trace = pm_links_trace_new(dir, "node-1", 1, err, sizeof err);
    char *first = g_strdup_printf("%s/node-1-0", dir);
    char *second = g_strdup_printf("%s/node-1-1", dir);

    (void)arg;
    assert_non_null(trace);
    for (int i = 0; i < EVENT_COUNT; i++) {
        pm_links_trace_change(trace, "link", "controller node-2", "up", "degraded", "");
        if (i % 1000 == 0)
            g_usleep(20 * 1000); /* lets the thread write; events are dropped while it lags */
    }
    pm_links_trace_free(trace);
    assert_true(size_of_trace(first) + size_of_trace(second) <= 1024 * 1024 + 128 * 1024);
    assert_true(size_of_trace(first) > 0);
    g_free(first);
    g_free(second);
}

static void unwritable_directory_is_an_error(void **arg)
{
    char err[256] = "";

    (void)arg;
    assert_null(pm_links_trace_new("/dev/null/trace", "node-0", 1, err, sizeof err));
    assert_non_null(strstr(err, "/dev/null/trace"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(trace_is_readable),
        cmocka_unit_test(traces_are_bounded_on_disk),
        cmocka_unit_test(unwritable_directory_is_an_error),
    };

    return cmocka_run_group_tests(tests, set_up, tear_down);
}
