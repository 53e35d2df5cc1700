/* Tests that stored values, and messages between controllers, are encoded to the same bytes as in
 * recordings of protocol version 5. They guard against an accidental change of a field number, a
 * stored name or a type. The recordings are in hexadecimal, and must not be made again with later
 * code. Values of earlier versions are in jobs/tests/recorded_values.h. */
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

#define PEER_REQUEST "0a026e301029189c032090032805"
#define PEER_RESPONSE                                                                              \
    "0a026e31102a180120012801309e033801420f0a0a6a6f622d303030343132109d0348015005"                 \
    "5a03010203"
#define CANCELLATION_REQUEST "0a026e30109e031a0f0a0a6a6f622d303030343132109d03"
#define CANCELLATION_RESPONSE "0a026e31109f03"
#define SHARD_REQUEST "0a026e3010291a08692d3030303030311a08692d3030303030322208692d303030303032"
#define SHARD_RESPONSE                                                                             \
    "0a10303132333435363738396162636465661001180120012a08692d3030303030333208692d"                 \
    "3030303030343a08692d303030303035420a6a6f622d303030343132"
#define VIEWS                                                                                      \
    "0a3c0a066e6f64652d3010f40318012029280630013a0a0a066e6f64652d31100542140a0161"                 \
    "10011a0d31302e312e302e313a3930303042050a01621004"
#define STORED_VIEW                                                                                \
    "bf6565706f63681829656c65616473f56573746174650665636c6f756401657065657273bf66"                 \
    "6e6f64652d3105ff657a6f6e6573bf616101616204ffff"
#define STORED_ACKED_REVISION "bf6765646974696f6e00ff"
#define STORED_MACHINE_TYPES                                                                       \
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

static void assert_bytes(const unsigned char *data, size_t size, const char *expected_hex)
{
    char *encoded = to_hex(data, size);

    assert_string_equal(encoded, expected_hex);
    g_free(encoded);
}

/* Asserts that the message packs to those bytes, and that they unpack to a message that packs to
 * the same bytes again. */
static void assert_message_matches(const ProtobufCMessage *message, const char *expected_hex)
{
    unsigned char *data = g_malloc(protobuf_c_message_get_packed_size(message) + 1);
    size_t size = protobuf_c_message_pack(message, data);
    ProtobufCMessage *read;
    unsigned char *recorded;

    assert_bytes(data, size, expected_hex);
    recorded = recorded_bytes(expected_hex, &size);
    read = protobuf_c_message_unpack(message->descriptor, NULL, size, recorded);
    assert_non_null(read);
    assert_int_equal(protobuf_c_message_pack(read, data), size);
    assert_bytes(data, size, expected_hex);
    protobuf_c_message_free_unpacked(read, NULL);
    g_free(recorded);
    g_free(data);
}

static void peer_messages_match_recording(void **arg)
{
    Pm__PeerRequest request = PM__PEER_REQUEST__INIT;
    Pm__PeerResponse response = PM__PEER_RESPONSE__INIT;
    Pm__Cancellation cancelled = PM__CANCELLATION__INIT;
    Pm__Cancellation *list[] = {&cancelled};
    unsigned char views[] = {1, 2, 3};

    (void)arg;
    request.from = "n0";
    request.epoch = 41;
    request.store_revision = 412;
    request.after = 400;
    request.protocol_version = 5;
    assert_message_matches(&request.base, PEER_REQUEST);
    cancelled.id = "job-000412";
    cancelled.revision = 413;
    response.from = "n1";
    response.highest_epoch = 42;
    response.has_state = true;
    response.store_serving = true;
    response.store_refusing = true;
    response.store_revision = 414;
    response.has_cancellations = true;
    response.cancelled = list;
    response.n_cancelled = 1;
    response.has_more = true;
    response.protocol_version = 5;
    response.views.data = views;
    response.views.len = sizeof views;
    assert_message_matches(&response.base, PEER_RESPONSE);
}

static void cancellation_messages_match_recording(void **arg)
{
    Pm__CancellationRequest request = PM__CANCELLATION_REQUEST__INIT;
    Pm__CancellationResponse response = PM__CANCELLATION_RESPONSE__INIT;
    Pm__Cancellation cancelled = PM__CANCELLATION__INIT;
    Pm__Cancellation *list[] = {&cancelled};

    (void)arg;
    cancelled.id = "job-000412";
    cancelled.revision = 413;
    request.from = "n0";
    request.store_revision = 414;
    request.cancelled = list;
    request.n_cancelled = 1;
    assert_message_matches(&request.base, CANCELLATION_REQUEST);
    response.from = "n1";
    response.store_revision = 415;
    assert_message_matches(&response.base, CANCELLATION_RESPONSE);
}

static void shard_messages_match_recording(void **arg)
{
    Pm__ShardRequest request = PM__SHARD_REQUEST__INIT;
    Pm__ShardResponse response = PM__SHARD_RESPONSE__INIT;
    char *revoking_ids[] = {"i-000001", "i-000002"};
    char *stop[] = {"i-000002"};
    char *drained_ids[] = {"i-000003"};
    char *quarantined_ids[] = {"i-000004"};
    char *unreachable_ids[] = {"i-000005"};
    char *failing[] = {"job-000412"};

    (void)arg;
    request.from = "n0";
    request.epoch = 41;
    request.revoking = revoking_ids;
    request.n_revoking = 2;
    request.stop = stop;
    request.n_stop = 1;
    assert_message_matches(&request.base, SHARD_REQUEST);
    response.incarnation_id = "0123456789abcdef";
    response.ready = true;
    response.workers_unreachable = true;
    response.launch_outcome_unknown = true;
    response.drained = drained_ids;
    response.n_drained = 1;
    response.quarantined = quarantined_ids;
    response.n_quarantined = 1;
    response.unreachable = unreachable_ids;
    response.n_unreachable = 1;
    response.failing = failing;
    response.n_failing = 1;
    assert_message_matches(&response.base, SHARD_RESPONSE);
}

/* Returns the settings of `self` in a cluster of two controllers and two zones. */
static struct pm_settings two_controller_settings(const char *self, const char *other)
{
    struct pm_settings settings = {.cluster_size = 2, .peer_count = 1, .zone_count = 2};

    g_strlcpy(settings.name, self, sizeof settings.name);
    g_strlcpy(settings.peers[0].name, other, sizeof settings.peers[0].name);
    g_strlcpy(settings.zone_names[0], "a", sizeof settings.zone_names[0]);
    g_strlcpy(settings.zone_names[1], "b", sizeof settings.zone_names[1]);
    return settings;
}

static struct pm_link_view example_view(double at)
{
    struct pm_link_view view = {.evaluated_at = at, .leads = true, .epoch = 41};

    view.state_service = PM_LINK_REFUSED;
    view.cloud = PM_LINK_UP;
    view.peer[1] = PM_LINK_DOWN;
    view.zone[0] = PM_LINK_UP;
    view.zone[1] = PM_LINK_ONE_WAY;
    g_strlcpy(view.endpoint[0][0], "10.1.0.1:9000", sizeof view.endpoint[0][0]);
    return view;
}

static void link_views_match_recording(void **arg)
{
    struct pm_settings settings = two_controller_settings("node-0", "node-1");
    struct pm_settings receiver = two_controller_settings("node-1", "node-0");
    struct pm_link_matrix matrix;
    struct pm_link_view view = example_view(100);
    struct pm_buffer out = {0};
    unsigned char *data;
    unsigned char *recorded;
    cbor_item_t *value;
    size_t size;

    (void)arg;
    pm_link_matrix_init(&matrix, &settings, 5);
    matrix.view[0] = view;
    data = pm_link_views_encode_message(&matrix, 100.5, &size);
    assert_bytes(data, size, VIEWS);
    g_free(data);
    pm_link_view_encode_value(&matrix, &out);
    assert_bytes(out.data, out.size, STORED_VIEW);
    pm_buffer_free(&out);
    pm_link_matrix_init(&matrix, &receiver, 5);
    recorded = recorded_bytes(VIEWS, &size);
    assert_true(pm_link_views_decode_message(&matrix, recorded, size, 200, 200));
    g_free(recorded);
    assert_int_equal(matrix.view[1].epoch, 41);
    assert_int_equal(matrix.view[1].zone[1], PM_LINK_ONE_WAY);
    assert_string_equal(matrix.view[1].endpoint[0][0], "10.1.0.1:9000");
    recorded = recorded_bytes(STORED_VIEW, &size);
    value = pm_cbor_parse(recorded, size);
    assert_true(pm_link_view_decode_value(&matrix, value, &view));
    pm_cbor_free(value);
    g_free(recorded);
    assert_int_equal(view.state_service, PM_LINK_REFUSED);
    assert_int_equal(view.zone[1], PM_LINK_ONE_WAY);
}

/* The recording is in the format of both the provider's answer and the value of p/types. */
static void recorded_machine_types_are_read(void **arg)
{
    static struct pm_settings settings;
    struct pm_name_tables tables;
    size_t size;
    unsigned char *recorded = recorded_bytes(STORED_MACHINE_TYPES, &size);
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
    assert_bytes(copy.data, copy.size, STORED_MACHINE_TYPES);
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

static void ignore_delete(void *arg, const char *key, uint64_t revision)
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

/* A controller acknowledges a cancellation by writing the revision that it has read to a key of its
 * own in the state service. It reads the peers' keys to count their acknowledgements. */
static void stored_acknowledgements_match_recording(void **arg)
{
    static struct pm_settings settings = {.cluster_size = 3, .peer_count = 2};
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    struct fake_store *state_service = fake_store_new(loop);
    struct pm_http_client *http = pm_http_client_new(loop, 16);
    const struct pm_store_observer observer = {ignore_put,   ignore_delete,   ignore_event,
                                               ignore_event, ignore_revision, NULL};
    struct pm_store *store =
        pm_store_new(loop, http, fake_store_addr(state_service), 1000, &observer);
    struct pm_cancel_quorum *quorum;
    unsigned char *recorded;
    char *encoded;
    cbor_item_t *value;
    size_t size;

    (void)arg;
    strcpy(settings.name, "n0");
    strcpy(settings.peers[0].name, "n1");
    strcpy(settings.peers[1].name, "n2");
    quorum = pm_cancel_quorum_new(loop, store, http, &settings,
                                  &(struct pm_cancel_quorum_hooks){ignore_cancelled, NULL});
    pm_cancel_quorum_note_cancellation_read(quorum, 1);
    assert_true(event_loop_run_until(loop, has_acknowledged, state_service));
    encoded = fake_store_value_hex(state_service, "p/seen/n0");
    assert_string_equal(encoded, STORED_ACKED_REVISION);
    g_free(encoded);
    recorded = recorded_bytes("bf6765646974696f6e19019cff", &size); /* {edition: 412} */
    value = pm_cbor_parse(recorded, size);
    assert_false(pm_cancel_quorum_is_acked(quorum, 412));
    pm_cancel_quorum_apply_put(quorum, "p/seen/n1", value);
    assert_true(pm_cancel_quorum_is_acked(quorum, 412)); /* by two of three controllers */
    assert_false(pm_cancel_quorum_is_acked(quorum, 413));
    pm_cbor_free(value);
    g_free(recorded);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(peer_messages_match_recording),
        cmocka_unit_test(cancellation_messages_match_recording),
        cmocka_unit_test(shard_messages_match_recording),
        cmocka_unit_test(link_views_match_recording),
        cmocka_unit_test(recorded_machine_types_are_read),
        cmocka_unit_test(stored_acknowledgements_match_recording),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Turns leak detection off: the event loop and its clients exist until the process ends, as in a
 * controller. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
