/* Checks that a sound submission is accepted, and stays one job, whatever unknown fields it has, in
 * which order its fields come, and how its numbers and texts are encoded. Runs real controllers. */
#include "testing/cluster.h"
#include "base/cbor.h"
#include "base/clock.h"
#include "base/http.h"
#include "testing/http_status.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define DEADLINE_S 60.0 /* limit of each wait, ample even on a busy machine */
#define RETRY_S 0.2

enum { CONTROLLERS = 3, ANSWER_MAX = 64 * 1024, TEXT_MAJOR = 3 };

/* How a submission is written. */
enum spelling {
    SPELLING_PLAIN,
    SPELLING_REVERSED,       /* the fields in reverse order */
    SPELLING_UNKNOWN_FIELDS, /* unknown fields of every type among the others */
    SPELLING_INTEGERS,       /* amounts as integers */
    SPELLING_HALF_FLOATS,    /* amounts as half-precision numbers */
    SPELLING_SINGLE_FLOATS,  /* amounts as single-precision numbers */
    SPELLING_LONG_HEADS,     /* lengths and integers with heads that are longer than needed */
    SPELLING_CHUNKED_TEXTS,  /* texts in chunks of one byte */
    SPELLING_DEFINITE_MAP,   /* a map that states its size */
    SPELLING_NULLS,          /* absent fields as null */
    SPELLING_COUNT
};

static struct cluster *cluster;
static struct pm_http_client *client;

static int set_up(void **state)
{
    (void)state;
    cluster = cluster_new(&(struct cluster_settings){
        .controller_count = CONTROLLERS, .daemon = PM_DAEMON, .quiet = !getenv("PM_TEST_LOG")});
    client = pm_http_client_new(cluster_loop(cluster), CONTROLLERS);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    cluster_free(cluster);
    return 0;
}

/* ---- encoding ---- */

static void put_bytes(struct pm_buffer *out, const char *bytes, size_t size)
{
    pm_buffer_append(out, bytes, size);
}

static void put_text(struct pm_buffer *out, enum spelling spelling, const char *text)
{
    size_t size = strlen(text);

    if (spelling == SPELLING_CHUNKED_TEXTS) {
        put_bytes(out, "\x7f", 1);
        for (size_t i = 0; i < size; i++) {
            put_bytes(out, "\x61", 1);
            put_bytes(out, text + i, 1);
        }
        put_bytes(out, "\xff", 1);
    } else if (spelling == SPELLING_LONG_HEADS) {
        const char head[] = {(char)(TEXT_MAJOR << 5 | 25), 0, (char)size};
        put_bytes(out, head, sizeof head);
        put_bytes(out, text, size);
    } else {
        pm_cbor_put_text(out, text);
    }
}

/* Writes a small whole amount. */
static void put_amount(struct pm_buffer *out, enum spelling spelling, unsigned amount)
{
    float single = (float)amount;
    uint32_t bits;

    memcpy(&bits, &single, sizeof bits);
    if (spelling == SPELLING_INTEGERS) {
        pm_cbor_put_uint(out, amount);
    } else if (spelling == SPELLING_HALF_FLOATS) {
        /* The exponent's bias differs by 112; the amounts have few significant bits. */
        unsigned half = amount ? ((bits >> 23) - 112) << 10 | (bits >> 13 & 0x3ff) : 0;
        const char bytes[] = {(char)0xf9, (char)(half >> 8), (char)half};
        put_bytes(out, bytes, sizeof bytes);
    } else if (spelling == SPELLING_SINGLE_FLOATS) {
        const char bytes[] = {(char)0xfa, (char)(bits >> 24), (char)(bits >> 16), (char)(bits >> 8),
                              (char)bits};
        put_bytes(out, bytes, sizeof bytes);
    } else if (spelling == SPELLING_LONG_HEADS) {
        const char bytes[] = {0x1b, 0, 0, 0, 0, 0, 0, 0, (char)amount};
        put_bytes(out, bytes, sizeof bytes);
    } else {
        pm_cbor_put_number(out, amount);
    }
}

/* A field of a submission: a text, a flag, a count or an amount. */
struct field {
    const char *key, *text;
    bool is_flag, is_count;
    unsigned number;
};

static void put_field(struct pm_buffer *out, enum spelling spelling, const struct field *field)
{
    put_text(out, spelling, field->key);
    if (field->text)
        put_text(out, spelling, field->text);
    else if (field->is_flag)
        pm_cbor_put_flag(out, field->number);
    else if (field->is_count && spelling != SPELLING_LONG_HEADS)
        pm_cbor_put_uint(out, field->number);
    else
        put_amount(out, spelling, field->number);
}

static void put_unknown_fields(struct pm_buffer *out)
{
    /* Besides simple values: a nested map, a list of lists, a tagged text, a negative and a large
     * number, bytes, and a key that is no text. */
    static const char unknown[] = "\x67zz-plan\xbf\x65inner\xa1\x61x\xf4\xff"
                                  "\x67zz-list\x82\x80\x81\xf6"
                                  "\x66zz-tag\xc0\x61t"
                                  "\x66zz-neg\x38\x63"
                                  "\x66zz-big\x1b\xff\xff\xff\xff\xff\xff\xff\xff"
                                  "\x68zz-bytes\x42\x01\x02"
                                  "\x18\x2a\x61v";

    put_bytes(out, unknown, sizeof unknown - 1);
}

static void encode(const char *id, enum spelling spelling, struct pm_buffer *out)
{
    const struct field fields[] = {
        {.key = "name_id", .text = id},       {.key = "ledger", .text = "batch"},
        {.key = "desk", .text = "team"},      {.key = "form", .text = "array"},
        {.key = "urgency", .text = "normal"}, {.key = "entries", .is_count = true, .number = 2},
        {.key = "cpus", .number = 2},         {.key = "accelerators", .number = 0},
        {.key = "ram_gb", .number = 4},       {.key = "bundle", .text = "image"},
        {.key = "size_gb", .number = 1},      {.key = "same_place", .is_flag = true},
        {.key = "spread", .is_flag = true},   {.key = "borrowed", .is_flag = true, .number = 1},
        {.key = "expected_s", .number = 1},   {.key = "bookmark_s", .number = 0},
        {.key = "filing_s", .number = 0}};
    const size_t count = G_N_ELEMENTS(fields);

    if (spelling == SPELLING_DEFINITE_MAP)
        put_bytes(out, "\xb1", 1); /* 17 fields */
    else
        pm_cbor_put_map(out);
    if (spelling == SPELLING_UNKNOWN_FIELDS)
        put_unknown_fields(out);
    for (size_t i = 0; i < count; i++)
        put_field(out, spelling, &fields[spelling == SPELLING_REVERSED ? count - 1 - i : i]);
    if (spelling == SPELLING_NULLS)
        put_bytes(out,
                  "\x66models\xf6\x64room\xf6\x65"
                  "due_s\xf6",
                  21);
    if (spelling != SPELLING_DEFINITE_MAP)
        pm_cbor_put_end(out);
}

/* ---- requests ---- */

struct answer {
    bool has_come;
    int http_status;
    char status[16], id[32];
};

static struct answer latest;

static void on_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct answer *answer = arg;
    cbor_item_t *item = body && size ? pm_cbor_parse(body, size) : NULL;

    answer->has_come = true;
    answer->http_status = status;
    pm_cbor_read_text(pm_cbor_get(item, "status"), answer->status, sizeof answer->status);
    pm_cbor_read_text(pm_cbor_get(item, "name_id"), answer->id, sizeof answer->id);
    pm_cbor_free(item);
}

static bool has_answer(struct cluster *tested_cluster)
{
    (void)tested_cluster;
    return latest.has_come;
}

static void request(int controller, const char *method, const char *target,
                    const struct pm_buffer *body)
{
    latest = (struct answer){0};
    pm_http_call(client, cluster_worker_addr(cluster, controller), method, target, body->data,
                 body->size, DEADLINE_S, ANSWER_MAX, on_answer, &latest);
    assert_true(cluster_run_until(cluster, has_answer, DEADLINE_S));
}

/* Submits the job until a controller that may have just started can decide. */
static void submit(int controller, const char *id, enum spelling spelling, int expected_status)
{
    double deadline = pm_clock_monotonic() + DEADLINE_S;
    struct pm_buffer body = {0};

    encode(id, spelling, &body);
    for (;;) {
        request(controller, "POST", "/work", &body);
        if (latest.http_status != HTTP_UNAVAILABLE && latest.http_status > 0)
            break;
        assert_true(pm_clock_monotonic() < deadline);
        cluster_run(cluster, RETRY_S);
    }
    pm_buffer_free(&body);
    if (latest.http_status != expected_status)
        fail_msg("%s in spelling %d: status %d", id, (int)spelling, latest.http_status);
    assert_string_equal(latest.id, id);
}

static void wait_until_done(const char *id)
{
    char *target = g_strdup_printf("/work/%s", id);
    double deadline = pm_clock_monotonic() + DEADLINE_S;

    do {
        assert_true(pm_clock_monotonic() < deadline);
        cluster_run(cluster, RETRY_S);
        request(0, "GET", target, &(struct pm_buffer){0});
    } while (strcmp(latest.status, "done") != 0);
    g_free(target);
}

/* Each spelling makes one job, which runs; all other spellings of it are repetitions. The last two
 * digits of the id are the run time in tenths of a second. */
static void each_spelling_is_accepted_and_its_repetitions_are_the_same_job(void **state)
{
    (void)state;
    for (int first = 0; first < SPELLING_COUNT; first++) {
        char *id = g_strdup_printf("job-70%02d05", first);
        submit(first % CONTROLLERS, id, (enum spelling)first, HTTP_CREATED);
        for (int other = 0; other < SPELLING_COUNT; other++)
            submit((first + other) % CONTROLLERS, id, (enum spelling)other, HTTP_OK);
        wait_until_done(id);
        for (int other = 0; other < SPELLING_COUNT; other++) {
            submit((first + other) % CONTROLLERS, id, (enum spelling)other, HTTP_OK);
            assert_string_equal(latest.status, "done");
        }
        g_free(id);
    }
    assert_int_equal(history_start_count(cluster_history(cluster)), 2 * SPELLING_COUNT);
    assert_string_equal(history_violations(cluster_history(cluster)), "");
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test_setup_teardown(
        each_spelling_is_accepted_and_its_repetitions_are_the_same_job, set_up, tear_down)};

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Disables leak detection: a cluster's memory is kept until the process ends, because calls in
 * flight outlive the cluster. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
