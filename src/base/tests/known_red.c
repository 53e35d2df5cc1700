/* Linked to every test program: lets CI pass over a test that is listed in KNOWN-RED.txt, and run
 * it by itself.
 *
 * PM_KNOWN_RED is a list of PROGRAM:TEST, parted by blanks, of which a program skips its own; one
 * for each program at most. PM_TEST_FILTER names the only test to run. */
#include <errno.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

/* The test listed for this program; borrowed, NULL: none. */
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
