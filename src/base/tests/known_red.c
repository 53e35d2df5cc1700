/* Linked to every test program. It lets CI skip a test that is listed in KNOWN-RED.txt, or run that
 * test alone.
 *
 * PM_KNOWN_RED is a list of PROGRAM:TEST entries, separated by blanks, with at most one for each
 * program. A program skips the test of its entry. PM_TEST_FILTER names the only test to run, and
 * takes precedence over PM_KNOWN_RED. */
#include <errno.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

/* Returns the test that is listed for this program, as a pointer into `list`, or NULL if there is
 * none. */
static const char *find_known_red(char *list, const char *program)
{
    size_t size = strlen(program);
    char *rest = NULL;

    for (char *entry = strtok_r(list, " ", &rest); entry; entry = strtok_r(NULL, " ", &rest))
        if (!strncmp(entry, program, size) && entry[size] == ':')
            return entry + size + 1;
    return NULL;
}

__attribute__((constructor)) static void read_known_red(void)
{
    static char list[1024];
    const char *red = getenv("PM_KNOWN_RED");
    const char *only = getenv("PM_TEST_FILTER");

    if (only)
        cmocka_set_test_filter(only);
    if (!red || g_strlcpy(list, red, sizeof list) >= sizeof list)
        return;
    red = find_known_red(list, program_invocation_short_name);
    if (red && !only)
        cmocka_set_skip_filter(red);
}
