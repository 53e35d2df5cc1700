/* Tests that decoding a malicious CBOR body costs only bounded memory and time, and that the error
 * for an invalid settings file names the field. */
#include "base/cbor.h"
#include "base/settings.h"

#include <glib.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

static cbor_item_t *parse(const char *bytes, size_t size)
{
    return pm_cbor_parse(bytes, size);
}

static void rejects_malicious_cbor(void **state)
{
    char deep[4096];

    (void)state;
    memset(deep, 0x81, sizeof deep); /* nested lists that are never closed */
    assert_null(parse(deep, sizeof deep));
    assert_null(parse("\x9b\x00\x00\x00\x01\x00\x00\x00\x00", 9)); /* claims 2^32 entries */
    assert_null(parse("\xbb\xff\xff\xff\xff\xff\xff\xff\xff", 9));
    assert_null(parse("\x7b\xff\xff\xff\xff\xff\xff\xff\xff", 9)); /* claims 2^64 - 1 bytes */
    assert_null(parse("\xa1\x61", 2));                             /* truncated */
    assert_null(parse("\xa0\x00", 2));                             /* a byte after the item */
    assert_null(parse("\xbf\x61\x61\xff", 4));                     /* a key without a value */
    assert_null(parse("", 0));
    assert_null(parse("\xff", 1));
}

/* libcbor's cbor_is_bool aborts the process if the item is a floating-point number. A single
 * submission with 1.5 for `spread` was enough to end a controller. */
static void number_is_not_read_as_flag(void **state)
{
    static const char *const numbers[] = {"\xa1\x61"
                                          "f\xfb\x3f\xf8\x01\x01\x01\x01\x01\x01",
                                          "\xa1\x61"
                                          "f\xf9\x3e\x01",
                                          "\xa1\x61"
                                          "f\x01"};

    (void)state;
    for (size_t i = 0; i < sizeof numbers / sizeof *numbers; i++) {
        cbor_item_t *item = pm_cbor_parse(numbers[i], strlen(numbers[i]));
        bool flag = false;
        assert_non_null(item);
        assert_false(pm_cbor_read_flag(pm_cbor_get(item, "f"), &flag));
        pm_cbor_free(item);
    }
}

static void reads_back_what_was_written(void **state)
{
    struct pm_buffer buf = {0};
    cbor_item_t *item;
    char text[8];
    double number;
    uint64_t count;
    bool flag;

    (void)state;
    pm_cbor_put_map(&buf);
    pm_cbor_put_pair_text(&buf, "t", "abc");
    pm_cbor_put_pair_uint(&buf, "c", UINT64_MAX);
    pm_cbor_put_pair_number(&buf, "n", -2.5);
    pm_cbor_put_pair_flag(&buf, "f", true);
    pm_cbor_put_pair_number(&buf, "nan", NAN);
    pm_cbor_put_text(&buf, "z");
    pm_cbor_put_null(&buf);
    pm_cbor_put_end(&buf);
    item = pm_cbor_parse(buf.data, buf.size);
    assert_non_null(item);
    assert_true(pm_cbor_read_text(pm_cbor_get(item, "t"), text, sizeof text));
    assert_string_equal(text, "abc");
    assert_false(pm_cbor_read_text(pm_cbor_get(item, "t"), text, 3)); /* too small for the NUL */
    assert_true(pm_cbor_read_uint(pm_cbor_get(item, "c"), &count));
    assert_true(count == UINT64_MAX);
    assert_false(pm_cbor_read_uint(pm_cbor_get(item, "n"), &count));
    assert_true(pm_cbor_read_number(pm_cbor_get(item, "n"), &number));
    assert_true(number == -2.5);
    assert_false(pm_cbor_read_number(pm_cbor_get(item, "nan"), &number));
    assert_true(pm_cbor_read_flag(pm_cbor_get(item, "f"), &flag));
    assert_true(flag);
    assert_false(pm_cbor_has(item, "z")); /* null counts as absent */
    pm_cbor_free(item);
    pm_buffer_free(&buf);
}

static const char *write_file(const char *text)
{
    static char path[] = "/tmp/pumicemount-test-XXXXXX";
    int fd;

    g_strlcpy(path + strlen(path) - 6, "XXXXXX", 7);
    fd = mkstemp(path);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
    return path;
}

static const char valid_settings[] =
    "host_name = \"n0\"\ndomain = \"z\"\nserve_on = \"127.0.0.1:1\"\nback = \"127.0.0.1:2\"\n"
    "new_field = 3\n[outside]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n"
    "[settings]\nsize = 1\nzones = [\"z\"]\n"
    "[[settings.teams]]\nname = \"a\"\ncpus = 1.0\ncpus_max = 0\ngpus = 0.0\ngpus_max = 2.0\n"
    "[settings.workers]\nreport_s = 2\nlease_s = 12.0\ngang_wait_s = 40.0\ngang_peer_s = 4.0\n"
    "cancel_s = 42.0\n[settings.state]\nrps = 250.0\nwrite_rps = 30.0\nvalue_kb = 16.0\n"
    "txn_ops = 12\n[settings.cloud]\nrps = 2.0\nlist_lag_s = 4.0\n[settings.quota]\ncores = 0.16\n"
    "mem_mb = 72.0\nsockets = 900\n";

static void reads_platform_settings(void **state)
{
    struct pm_settings settings;
    char err[256];
    const char *path = write_file(valid_settings);

    (void)state;
    assert_true(pm_settings_load(&settings, path, err, sizeof err));
    unlink(path);
    assert_string_equal(settings.name, "n0");
    assert_int_equal(settings.team_count, 1);
    assert_true(settings.teams[0].cpus_max > 1e6); /* 0 in the file means no limit */
    assert_true(settings.teams[0].gpus_max == 2.0);
    assert_true(settings.heartbeat_s == 2.0);
}

static void error_names_the_invalid_field(void **state)
{
    struct pm_settings settings;
    char err[256];
    char *text = g_strdup(valid_settings);
    const char *path;

    (void)state;
    strstr(text, "lease_s")[4] = 'h'; /* leash_s */
    path = write_file(text);
    assert_false(pm_settings_load(&settings, path, err, sizeof err));
    unlink(path);
    assert_non_null(strstr(err, "settings.workers.lease_s"));
    g_free(text);
}

/* A limit in `state.next` that is lower than the current one applies from the start. If a field
 * there is invalid, the error names it. */
static void reads_upcoming_limits(void **state)
{
    static const char *const invalid[] = {"value_kb = -2.0", "txn_ops = \"four\"",
                                          "write_rps = nan"};
    struct pm_settings settings;
    char err[256];
    char *text =
        g_strdup_printf("%s[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 40\n", valid_settings);
    const char *path = write_file(text);

    (void)state;
    assert_true(pm_settings_load(&settings, path, err, sizeof err));
    unlink(path);
    g_free(text);
    assert_true(settings.store_value_kb == 2.0);
    assert_true(settings.store_value_kb_initial == 16.0);
    assert_int_equal(settings.store_txn_ops, 12);
    assert_true(settings.store_write_rps == 30.0); /* not in `state.next` */
    for (int i = 0; i < 3; i++) {
        char *field =
            g_strdup_printf("settings.state.next.%.*s", (int)strcspn(invalid[i], " "), invalid[i]);
        text = g_strdup_printf("%s[settings.state.next]\n%s\n", valid_settings, invalid[i]);
        path = write_file(text);
        assert_false(pm_settings_load(&settings, path, err, sizeof err));
        unlink(path);
        assert_non_null(strstr(err, field));
        g_free(field);
        g_free(text);
    }
}

static void reads_operator_settings(void **state)
{
    struct pm_operator_settings operator_settings;
    char err[256];
    const char *path = write_file("min_runtime_s: 60\nadmit_max: 99\n");

    (void)state;
    assert_true(pm_operator_settings_load(&operator_settings, path, err, sizeof err));
    unlink(path);
    assert_true(operator_settings.min_runtime_s == 60);
    assert_int_equal(operator_settings.admit_max, 99);
    assert_true(operator_settings.window_h == 24); /* the default is kept */
    path = write_file("no_such_key: 1\n");
    assert_false(pm_operator_settings_load(&operator_settings, path, err, sizeof err));
    unlink(path);
    path = write_file("min_runtime_s: 99999\n"); /* above the maximum of 8 hours */
    assert_false(pm_operator_settings_load(&operator_settings, path, err, sizeof err));
    unlink(path);
}

/* The error for an invalid setting of links names the key with its path. */
static void error_names_the_invalid_links_setting(void **state)
{
    static const struct {
        const char *text, *expected;
    } invalid[] = {
        {"links:\n  prob_s: 1\n", "prob_s"},
        {"links:\n  probe_s: soon\n", "links"},
        {"links:\n  down_s: 0.01\n", "links.down_s"},
        {"links:\n  half_life_s: .nan\n", "half_life_s"},
        {"links:\n  decide: true\n", "links.decide"},
        {"links:\n  probe_s: 5\n  expire_s: 6\n", "links.expire_s"},
        {"links:\n  trace_mb: 0\n", "links.trace_mb"},
    };
    struct pm_operator_settings operator_settings;
    char err[512];
    const char *path;

    (void)state;
    for (size_t i = 0; i < sizeof invalid / sizeof *invalid; i++) {
        path = write_file(invalid[i].text);
        assert_false(pm_operator_settings_load(&operator_settings, path, err, sizeof err));
        unlink(path);
        if (!strstr(err, invalid[i].expected))
            fail_msg("%s: %s", invalid[i].text, err);
    }
    assert_true(
        pm_operator_settings_load(&operator_settings, "deploy/operators.yaml", err, sizeof err));
    assert_true(operator_settings.links.observe && operator_settings.links.decide);
    pm_operator_settings_defaults(&operator_settings);
    assert_false(operator_settings.links.observe || operator_settings.links.decide);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(rejects_malicious_cbor),
        cmocka_unit_test(number_is_not_read_as_flag),
        cmocka_unit_test(error_names_the_invalid_links_setting),
        cmocka_unit_test(reads_back_what_was_written),
        cmocka_unit_test(reads_platform_settings),
        cmocka_unit_test(error_names_the_invalid_field),
        cmocka_unit_test(reads_operator_settings),
        cmocka_unit_test(reads_upcoming_limits),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
