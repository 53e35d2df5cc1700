/* Messages between controllers, and stored values, byte for byte as protocol version 5 writes them.
 * A field number, a stored name or a type that changes by accident shows here; what earlier
 * versions wrote is in jobs/tests/recorded_values.h. Recorded in hexadecimal digits; not to be made
 * anew from later code. */
#include "../../jobs/tests/job_fixtures.h"
#include "../../jobs/tests/recorded_values.h"
#include "base/cbor.h"
#include "shard.pb-c.h"
#include "autoscaler/autoscaler.h"
#include "leadership/cancellation_quorum.h"
#include "links.pb-c.h"
#include "links/matrix.h"
#include "peer.pb-c.h"
#include "testing/fake_store.h"

#include <ev.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define PEER_ASK "0a026e301029189c032090032805"
#define PEER_TELL                                                                                  \
    "0a026e31102a180120012801309e033801420f0a0a6a6f622d303030343132109d0348015005"                 \
    "5a03010203"
#define CANCEL_CALL "0a026e30109e031a0f0a0a6a6f622d303030343132109d03"
#define CANCEL_TELL "0a026e31109f03"
#define BLOCK_CALL "0a026e3010291a08692d3030303030311a08692d3030303030322208692d303030303032"
#define BLOCK_TELL                                                                                 \
    "0a10303132333435363738396162636465661001180120012a08692d3030303030333208692d"                 \
    "3030303030343a08692d303030303035420a6a6f622d303030343132"
#define VIEWS                                                                                      \
    "0a3c0a066e6f64652d3010f40318012029280630013a0a0a066e6f64652d31100542140a0161"                 \
    "10011a0d31302e312e302e313a3930303042050a01621004"
#define STORED_VIEW                                                                                \
    "bf6565706f63681829656c65616473f56573746174650665636c6f756401657065657273bf66"                 \
    "6e6f64652d3105ff657a6f6e6573bf616101616204ffff"
#define STORED_SEEN "bf6765646974696f6e00ff"
#define STORED_TYPES                                                                               \
    "9fbf63736b7568626f6b68796c6c616463707573fb40300000000000006c616363656c657261"                 \
    "746f7273fb40000000000000006672616d5f6762fb4050000000000000686c6f63616c5f6762"                 \
    "fb40690000000000006d70756c6c5f67625f7065725f73fb3fe0000000000000657072696365"                 \
    "fb3fe6b851eb851eb86c6d61726b65745f7072696365fb3fcc28f5c28f5c296772656164795f"                 \
    "73fb403400000000000065726f6f6d739f6161ffffff"

static char *to_hex(const unsigned char *data, size_t size)
{
    GString *out = g_string_new(NULL);

    for (size_t i = 0; i < size; i++)
        g_string_append_printf(out, "%02x", data[i]);
    return g_string_free(out, FALSE);
}

static void assert_bytes(const unsigned char *data, size_t size, const char *digits)
{
    char *written = to_hex(data, size);

    assert_string_equal(written, digits);
    g_free(written);
}

/* The message packs to those digits, and reads back from them as the same bytes. */
static void assert_message(const ProtobufCMessage *message, const char *digits)
{
    unsigned char *data = g_malloc(protobuf_c_message_get_packed_size(message) + 1);
    size_t size = protobuf_c_message_pack(message, data);
    ProtobufCMessage *read;
    unsigned char *recorded;

    assert_bytes(data, size, digits);
    recorded = recorded_bytes(digits, &size);
    read = protobuf_c_message_unpack(message->descriptor, NULL, size, recorded);
    assert_non_null(read);
    assert_int_equal(protobuf_c_message_pack(read, data), size);
    assert_bytes(data, size, digits);
    protobuf_c_message_free_unpacked(read, NULL);
    g_free(recorded);
    g_free(data);
}

static void peers_messages_are_as_recorded(void **arg)
{
    Pm__PeerRequest ask = PM__PEER_REQUEST__INIT;
    Pm__PeerResponse tell = PM__PEER_RESPONSE__INIT;
    Pm__Cancellation cancelled = PM__CANCELLATION__INIT;
    Pm__Cancellation *list[] = {&cancelled};
    unsigned char views[] = {1, 2, 3};

    (void)arg;
    ask.from = "n0";
    ask.epoch = 41;
    ask.store_revision = 412;
    ask.after = 400;
    ask.protocol_version = 5;
    assert_message(&ask.base, PEER_ASK);
    cancelled.id = "job-000412";
    cancelled.revision = 413;
    tell.from = "n1";
    tell.highest_epoch = 42;
    tell.has_state = true;
    tell.store_serving = true;
    tell.store_refusing = true;
    tell.store_revision = 414;
    tell.has_cancellations = true;
    tell.cancelled = list;
    tell.n_cancelled = 1;
    tell.has_more = true;
    tell.protocol_version = 5;
    tell.views.data = views;
    tell.views.len = sizeof views;
    assert_message(&tell.base, PEER_TELL);
}

static void cancellations_messages_are_as_recorded(void **arg)
{
    Pm__CancellationRequest call = PM__CANCELLATION_REQUEST__INIT;
    Pm__CancellationResponse tell = PM__CANCELLATION_RESPONSE__INIT;
    Pm__Cancellation cancelled = PM__CANCELLATION__INIT;
    Pm__Cancellation *list[] = {&cancelled};

    (void)arg;
    cancelled.id = "job-000412";
    cancelled.revision = 413;
    call.from = "n0";
    call.store_revision = 414;
    call.cancelled = list;
    call.n_cancelled = 1;
    assert_message(&call.base, CANCEL_CALL);
    tell.from = "n1";
    tell.store_revision = 415;
    assert_message(&tell.base, CANCEL_TELL);
}

static void blocks_messages_are_as_recorded(void **arg)
{
    Pm__ShardRequest call = PM__SHARD_REQUEST__INIT;
    Pm__ShardResponse tell = PM__SHARD_RESPONSE__INIT;
    char *leaving[] = {"i-000001", "i-000002"};
    char *stop[] = {"i-000002"};
    char *clean[] = {"i-000003"};
    char *bad[] = {"i-000004"};
    char *silent[] = {"i-000005"};
    char *failing[] = {"job-000412"};

    (void)arg;
    call.from = "n0";
    call.epoch = 41;
    call.revoking = leaving;
    call.n_revoking = 2;
    call.stop = stop;
    call.n_stop = 1;
    assert_message(&call.base, BLOCK_CALL);
    tell.incarnation_id = "0123456789abcdef";
    tell.ready = true;
    tell.workers_unreachable = true;
    tell.launch_outcome_unknown = true;
    tell.drained = clean;
    tell.n_drained = 1;
    tell.quarantined = bad;
    tell.n_quarantined = 1;
    tell.unreachable = silent;
    tell.n_unreachable = 1;
    tell.failing = failing;
    tell.n_failing = 1;
    assert_message(&tell.base, BLOCK_TELL);
}

/* Two controllers and two zones, as node-0 sees them. */
static struct pm_settings view_settings(const char *self, const char *other)
{
    struct pm_settings settings = {.cluster_size = 2, .peer_count = 1, .zone_count = 2};

    g_strlcpy(settings.name, self, sizeof settings.name);
    g_strlcpy(settings.peers[0].name, other, sizeof settings.peers[0].name);
    g_strlcpy(settings.zone_names[0], "a", sizeof settings.zone_names[0]);
    g_strlcpy(settings.zone_names[1], "b", sizeof settings.zone_names[1]);
    return settings;
}

static struct pm_view some_view(double at)
{
    struct pm_view view = {.evaluated_at = at, .leads = true, .epoch = 41};

    view.state_service = PM_LINK_REFUSED;
    view.cloud = PM_LINK_UP;
    view.peer[1] = PM_LINK_DOWN;
    view.zone[0] = PM_LINK_UP;
    view.zone[1] = PM_LINK_ONE_WAY;
    g_strlcpy(view.endpoint[0][0], "10.1.0.1:9000", sizeof view.endpoint[0][0]);
    return view;
}

static void views_of_links_are_as_recorded(void **arg)
{
    struct pm_settings settings = view_settings("node-0", "node-1");
    struct pm_settings receiver = view_settings("node-1", "node-0");
    struct pm_matrix matrix;
    struct pm_view view = some_view(100);
    struct pm_buffer out = {0};
    unsigned char *data;
    unsigned char *recorded;
    cbor_item_t *value;
    size_t size;

    (void)arg;
    pm_matrix_init(&matrix, &settings, 5);
    matrix.view[0] = view;
    data = pm_views_encode(&matrix, 100.5, &size);
    assert_bytes(data, size, VIEWS);
    g_free(data);
    pm_view_encode(&matrix, &out);
    assert_bytes(out.data, out.size, STORED_VIEW);
    pm_buffer_free(&out);
    pm_matrix_init(&matrix, &receiver, 5);
    recorded = recorded_bytes(VIEWS, &size);
    assert_true(pm_views_decode(&matrix, recorded, size, 200, 200));
    g_free(recorded);
    assert_int_equal(matrix.view[1].epoch, 41);
    assert_int_equal(matrix.view[1].zone[1], PM_LINK_ONE_WAY);
    assert_string_equal(matrix.view[1].endpoint[0][0], "10.1.0.1:9000");
    recorded = recorded_bytes(STORED_VIEW, &size);
    value = pm_cbor_parse(recorded, size);
    assert_true(pm_view_decode(&matrix, value, &view));
    pm_cbor_free(value);
    g_free(recorded);
    assert_int_equal(view.state_service, PM_LINK_REFUSED);
    assert_int_equal(view.zone[1], PM_LINK_ONE_WAY);
}

/* As the cloud told them, and as they are kept under p/types. */
static void stored_machine_types_are_read(void **arg)
{
    static struct pm_settings settings;
    struct pm_name_tables tables;
    size_t size;
    unsigned char *recorded = recorded_bytes(STORED_TYPES, &size);
    cbor_item_t *value = pm_cbor_parse(recorded, size);
    struct pm_buffer copy = {0};
    const struct pm_machine_type *type;

    (void)arg;
    memset(&settings, 0, sizeof settings);
    deployment_fixture_init(&tables, &settings);
    assert_non_null(value);
    assert_true(pm_machine_types_decode(&tables, value));
    type = &tables.types[pm_names_find(tables.type_names, "bokhylla")];
    assert_int_equal(tables.type_count, 2);
    assert_int_equal((int)type->cpus, 16);
    assert_int_equal((int)type->gpus, 2);
    assert_int_equal((int)type->ram_gb, 64);
    assert_int_equal((int)type->local_gb, 200);
    assert_int_equal((int)(type->pull_gb_per_s * 10), 5);
    assert_int_equal((int)(type->price * 100 + 0.5), 71);
    assert_int_equal((int)(type->spot_price * 100 + 0.5), 22);
    assert_int_equal((int)type->ready_s, 20);
    assert_int_equal(type->zones, 1);
    pm_cbor_put_item(&copy, value);
    assert_bytes(copy.data, copy.size, STORED_TYPES);
    pm_buffer_free(&copy);
    pm_cbor_free(value);
    g_free(recorded);
    deployment_fixture_clear(&tables);
}

static void ignore_cancelled(void *arg, const char *id, uint64_t revision)
{
    (void)arg;
    (void)id;
    (void)revision;
}

static void ignore_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    (void)arg;
    (void)key;
    (void)value;
    (void)revision;
}

static void ignore_drop(void *arg, const char *key, uint64_t revision)
{
    (void)arg;
    (void)key;
    (void)revision;
}

static void ignore_event(void *arg)
{
    (void)arg;
}

static void ignore_revision(void *arg, uint64_t store_revision)
{
    (void)arg;
    (void)store_revision;
}

static bool has_acknowledged(void *arg)
{
    return fake_store_revision(arg, "p/seen/n0") > 0;
}

/* The acknowledgement of a cancellation by way of the state service: written, and read. */
static void stored_acknowledgements_are_as_recorded(void **arg)
{
    static struct pm_settings settings = {.cluster_size = 3, .peer_count = 2};
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    struct fake_store *state = fake_store_new(loop);
    struct pm_http_client *http = pm_http_client_new(loop, 16);
    const struct pm_store_observer feed = {ignore_put,   ignore_drop,     ignore_event,
                                           ignore_event, ignore_revision, NULL};
    struct pm_store *store = pm_store_new(loop, http, fake_store_addr(state), 1000, &feed);
    struct pm_cancel_quorum *cancels;
    unsigned char *recorded;
    char *written;
    cbor_item_t *value;
    size_t size;

    (void)arg;
    strcpy(settings.name, "n0");
    strcpy(settings.peers[0].name, "n1");
    strcpy(settings.peers[1].name, "n2");
    cancels = pm_cancel_quorum_new(loop, store, http, &settings,
                                   &(struct pm_cancel_quorum_hooks){ignore_cancelled, NULL});
    pm_cancel_quorum_note_cancellation_read(cancels, 1);
    assert_true(event_loop_run_until(loop, has_acknowledged, state));
    written = fake_store_value_hex(state, "p/seen/n0");
    assert_string_equal(written, STORED_SEEN);
    g_free(written);
    recorded = recorded_bytes("bf6765646974696f6e19019cff", &size); /* {edition: 412} */
    value = pm_cbor_parse(recorded, size);
    assert_false(pm_cancel_quorum_is_acked(cancels, 412));
    pm_cancel_quorum_apply_put(cancels, "p/seen/n1", value);
    assert_true(pm_cancel_quorum_is_acked(cancels, 412)); /* two of three */
    assert_false(pm_cancel_quorum_is_acked(cancels, 413));
    pm_cbor_free(value);
    g_free(recorded);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(peers_messages_are_as_recorded),
        cmocka_unit_test(cancellations_messages_are_as_recorded),
        cmocka_unit_test(blocks_messages_are_as_recorded),
        cmocka_unit_test(views_of_links_are_as_recorded),
        cmocka_unit_test(stored_machine_types_are_read),
        cmocka_unit_test(stored_acknowledgements_are_as_recorded),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* The loop and its clients live until the process ends, as those of a daemon do. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
