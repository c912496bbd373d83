/// @file
/// Encoding and decoding of control messages.

#include "ibisfield/base/metrics.h"
#include "ibisfield/config/control_codec.h"

#include "common/suite.h"

static slice_t
slice_of(const GByteArray *bytes)
{
    return (slice_t){(const char *)bytes->data, bytes->len};
}

static void
make_items(control_message_t *message)
{
    config_item_t items[] = {
        {"contract/a", UINT64_MAX, SLICE_LITERAL("{\"x\":1}")},
        {"vm/b", 1, {NULL, 0}},
    };
    control_message_init(message, CONTROL_PUSH, "vm-1");
    g_array_append_vals(message->items, items, 2);
}

/// Guards against items that differ after encoding and decoding.
static void
test_items_round_trip(void)
{
    control_message_t in;
    control_message_t out;
    uint64_t version = 0;
    make_items(&in);
    GByteArray *bytes = g_byte_array_new();
    control_encode(&in, bytes);
    CU_ASSERT_EQUAL_FATAL(control_decode(&out, slice_of(bytes), &version),
                          DECODE_OK);
    CU_ASSERT_EQUAL(version, CONTROL_PROTOCOL_VERSION);
    CU_ASSERT_STRING_EQUAL(out.sender, "vm-1");
    CU_ASSERT_EQUAL_FATAL(out.items->len, 2);
    const config_item_t *items = (const void *)out.items->data;
    CU_ASSERT_STRING_EQUAL(items[0].name, "contract/a");
    CU_ASSERT_EQUAL(items[0].version, UINT64_MAX);
    CU_ASSERT_TRUE(slice_equal_string(items[0].value, "{\"x\":1}"));
    CU_ASSERT_EQUAL(items[1].value.len, 0);
    control_message_clear(&in);
    control_message_clear(&out);
    g_byte_array_unref(bytes);
}

static void
fill_message(control_message_t *message)
{
    group_digest_t digest = {7, 8};
    item_version_t version = {"vm/x", 9};
    message->reason = "why";
    message->mutual = true;
    message->group = 5;
    message->point = (source_point_t){3, 70000};
    message->has_gap = true;
    message->state = (config_state_t){1, true, {2, 3}};
    g_strlcpy(message->root, "root", sizeof(message->root));
    for (uint64_t i = 0; i < ITEM_BUCKETS; i++) {
        message->buckets[i] = i * 1000003;
    }
    if (message->digests != NULL) {
        g_array_append_val(message->digests, digest);
    }
    if (message->versions != NULL) {
        g_array_append_val(message->versions, version);
    }
}

/// Guards against a type whose fields are lost, and against a decoder that
/// accepts a truncated message or trailing bytes.
static void
test_every_type_round_trips_and_rejects_wrong_lengths(void)
{
    for (int type = 0; type < CONTROL_TYPE_COUNT; type++) {
        control_message_t in;
        control_message_t out;
        uint64_t version = 0;
        control_message_init(&in, (control_type_t)type, "vm");
        fill_message(&in);
        GByteArray *first = g_byte_array_new();
        GByteArray *second = g_byte_array_new();
        control_encode(&in, first);
        for (guint len = 0; len < first->len; len++) {
            slice_t part = {(const char *)first->data, len};
            CU_ASSERT_EQUAL(control_decode(&out, part, &version),
                            DECODE_INVALID);
        }
        CU_ASSERT_EQUAL_FATAL(control_decode(&out, slice_of(first), &version),
                              DECODE_OK);
        control_encode(&out, second);
        CU_ASSERT_TRUE(slice_equal(slice_of(first), slice_of(second)));
        g_byte_array_append(first, (const guint8 *)"\x00", 1);
        control_message_clear(&out);
        CU_ASSERT_EQUAL(control_decode(&out, slice_of(first), &version),
                        DECODE_INVALID);
        control_message_clear(&in);
        g_byte_array_unref(first);
        g_byte_array_unref(second);
    }
}

/// Guards against a message of another protocol version that is decoded as one
/// of the supported version.
static void
test_unknown_version_is_reported(void)
{
    static const char bytes[] = {(char)0x83, 0x18, 0x63, 0x00, 0x60};
    control_message_t message;
    uint64_t version = 0;
    CU_ASSERT_EQUAL(
        control_decode(&message, (slice_t){bytes, sizeof(bytes)}, &version),
        DECODE_UNKNOWN_VERSION);
    CU_ASSERT_EQUAL(version, 99);
}

/// Guards against messages of one type that are counted for another.
static void
test_counters_by_type(void)
{
    metrics_reset();
    control_count_sent(CONTROL_PUSH, 100);
    control_count_received(CONTROL_ITEMS, 30);
    CU_ASSERT_EQUAL(metric_value(METRIC_CONTROL_PUSH_SENT_MESSAGES), 1);
    CU_ASSERT_EQUAL(metric_value(METRIC_CONTROL_PUSH_SENT_BYTES), 100);
    CU_ASSERT_EQUAL(metric_value(METRIC_CONTROL_FETCH_RECEIVED_MESSAGES), 1);
    CU_ASSERT_EQUAL(metric_value(METRIC_CONTROL_FETCH_RECEIVED_BYTES), 30);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"items", test_items_round_trip},
        {"every type", test_every_type_round_trips_and_rejects_wrong_lengths},
        {"unknown version", test_unknown_version_is_reported},
        {"counters", test_counters_by_type},
        CU_TEST_INFO_NULL,
    };
    return run_suite("control_codec", tests);
}
