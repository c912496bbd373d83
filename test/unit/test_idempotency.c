/// @file
/// Issued keys, the table of their records, and slot handles.

#include "ibisfield/idempotency/key_table.h"

#include "common/suite.h"

#define CUSTOMER SLICE_LITERAL("reparatur")
#define TTL_US (10 * US_PER_S)

static manual_clock_t test_clock;
static key_table_t table;
static key_check_details_t submission;

static void
init_table(uint32_t max_records, uint32_t max_response_bytes,
           uint64_t incarnation)
{
    key_table_options_t options = {
        .vm = "vm-1.rosenheim",
        .incarnation = incarnation,
        .secret = {(uint8_t)incarnation, 2, 3},
        .max_records = max_records,
        .max_response_bytes = max_response_bytes,
    };
    manual_clock_init(&test_clock, 50 * US_PER_S);
    key_table_init(&table, &test_clock.base, &options);
}

static key_check_t
submit(const char *key, uint64_t hash)
{
    return key_table_submit(&table, CUSTOMER, slice_from_string(key), hash,
                            &submission);
}

/// Guards against running a request again while it runs or after it has ended.
static void
test_key_runs_once(void)
{
    char key[KEY_TEXT_MAX + 1];
    init_table(4, 100, 9);
    CU_ASSERT_TRUE(key_table_issue(&table, CUSTOMER, TTL_US, key));
    CU_ASSERT_TRUE(key_table_has_unused_keys(&table));
    CU_ASSERT_EQUAL(submit(key, 1), KEY_RUN);
    CU_ASSERT_FALSE(key_table_has_unused_keys(&table));
    key_handle_t handle = submission.handle;
    CU_ASSERT_EQUAL(submit(key, 1), KEY_IN_PROGRESS);
    CU_ASSERT_EQUAL(submit(key, 2), KEY_REUSED);
    key_table_set_unknown(&table, handle, REASON_DEADLINE);
    CU_ASSERT_EQUAL(submit(key, 1), KEY_UNKNOWN);
    CU_ASSERT_EQUAL(submission.reason, REASON_DEADLINE);
    key_table_set_answered(&table, handle, SLICE_LITERAL("booked"));
    CU_ASSERT_EQUAL(submit(key, 1), KEY_ANSWERED);
    CU_ASSERT_TRUE(slice_equal_string(submission.response, "booked"));
    key_table_finish(&table);
}

/// Guards against a refusal that isn't final or that a late event overwrites.
static void
test_refusal_is_final(void)
{
    char key[KEY_TEXT_MAX + 1];
    init_table(4, 100, 9);
    key_table_issue(&table, CUSTOMER, TTL_US, key);
    CU_ASSERT_EQUAL(submit(key, 1), KEY_RUN);
    key_handle_t handle = submission.handle;
    key_table_set_refused(&table, handle, REASON_OVERLOADED);
    key_table_set_answered(&table, handle, SLICE_LITERAL("late"));
    key_table_set_unknown(&table, handle, REASON_DEADLINE);
    CU_ASSERT_EQUAL(submit(key, 1), KEY_REFUSED);
    CU_ASSERT_EQUAL(submission.reason, REASON_OVERLOADED);
    key_table_finish(&table);
}

/// Guards against a key that becomes valid again after its record was removed,
/// also if the clock steps back.
static void
test_expired_key_never_runs(void)
{
    char key[KEY_TEXT_MAX + 1];
    init_table(4, 100, 9);
    key_table_issue(&table, CUSTOMER, TTL_US, key);
    CU_ASSERT_EQUAL(submit(key, 1), KEY_RUN);
    key_handle_t handle = submission.handle;
    manual_clock_advance(&test_clock, TTL_US);
    key_table_tick(&table);
    CU_ASSERT_EQUAL(key_table_count(&table), 0);
    CU_ASSERT_EQUAL(submit(key, 1), KEY_EXPIRED);
    manual_clock_advance(&test_clock, -TTL_US);
    CU_ASSERT_EQUAL(submit(key, 1), KEY_EXPIRED);
    key_table_set_answered(&table, handle, SLICE_LITERAL("late"));
    CU_ASSERT_EQUAL(key_table_count(&table), 0);
    key_table_finish(&table);
}

/// Guards against a restarted owner that accepts keys of its earlier process.
static void
test_key_of_earlier_incarnation(void)
{
    char key[KEY_TEXT_MAX + 1];
    init_table(4, 100, 9);
    key_table_issue(&table, CUSTOMER, TTL_US, key);
    key_table_finish(&table);
    init_table(4, 100, 10);
    CU_ASSERT_EQUAL(submit(key, 1), KEY_EXPIRED);
    key_table_finish(&table);
}

/// Guards against accepting forged keys and keys of another customer or VM.
static void
test_foreign_and_forged_keys(void)
{
    char key[KEY_TEXT_MAX + 1];
    init_table(4, 100, 9);
    key_table_issue(&table, CUSTOMER, TTL_US, key);
    CU_ASSERT_EQUAL(key_table_submit(&table, SLICE_LITERAL("tyres"),
                                     slice_from_string(key), 1, &submission),
                    KEY_INVALID);
    size_t last = strlen(key) - 1;
    key[last] = key[last] == '0' ? '1' : '0';
    CU_ASSERT_EQUAL(submit(key, 1), KEY_INVALID);
    CU_ASSERT_EQUAL(submit("ik1.", 1), KEY_INVALID);
    CU_ASSERT_EQUAL(submit("", 1), KEY_INVALID);
    CU_ASSERT_EQUAL(
        submit("ik1.vm-2.9.1.1.00000000000000000000000000000000", 1),
        KEY_OWNED_ELSEWHERE);
    CU_ASSERT_STRING_EQUAL(submission.owner, "vm-2");
    CU_ASSERT_EQUAL(key_table_count(&table), 0);
    key_table_finish(&table);
}

/// Guards against evicting records for others, and against issuing keys when
/// no record is free for them.
static void
test_full_table(void)
{
    char keys[3][KEY_TEXT_MAX + 1];
    init_table(2, 8, 9);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(key_table_issue(&table, CUSTOMER, TTL_US, keys[i]));
    }
    CU_ASSERT_EQUAL(submit(keys[0], 1), KEY_RUN);
    key_table_set_answered(&table, submission.handle,
                           SLICE_LITERAL("0123456"));
    CU_ASSERT_EQUAL(submit(keys[1], 1), KEY_RUN);
    key_table_set_answered(&table, submission.handle,
                           SLICE_LITERAL("too big"));
    CU_ASSERT_EQUAL(submit(keys[2], 1), KEY_TABLE_FULL);
    char key[KEY_TEXT_MAX + 1];
    CU_ASSERT_FALSE(key_table_issue(&table, CUSTOMER, TTL_US, key));
    CU_ASSERT_EQUAL(submit(keys[0], 1), KEY_ANSWERED);
    CU_ASSERT_EQUAL(submit(keys[1], 1), KEY_RESPONSE_NOT_STORED);
    manual_clock_advance(&test_clock, TTL_US);
    key_table_tick(&table);
    CU_ASSERT_TRUE(key_table_issue(&table, CUSTOMER, TTL_US, key));
    CU_ASSERT_EQUAL(submit(key, 1), KEY_RUN);
    key_table_set_answered(&table, submission.handle,
                           SLICE_LITERAL("01234567"));
    CU_ASSERT_EQUAL(submit(key, 1), KEY_ANSWERED);
    key_table_finish(&table);
}

/// Guards against two valid texts for one key, which callers would take for
/// two keys.
static void
test_key_text_is_canonical(void)
{
    idempotency_key_t key = {"vm.a", 0xab, 0, 0xffffffffffffffffu, {1, 0xfe}};
    char text[KEY_TEXT_MAX + 1];
    idempotency_key_format(&key, text);
    idempotency_key_t parsed;
    CU_ASSERT_TRUE(idempotency_key_parse(&parsed, slice_from_string(text)));
    CU_ASSERT_EQUAL(memcmp(&parsed.tag, &key.tag, sizeof(key.tag)), 0);
    CU_ASSERT_STRING_EQUAL(parsed.vm, "vm.a");
    CU_ASSERT_EQUAL(parsed.sequence, key.sequence);
    static const char *const invalid[] = {
        "ik1.vm.0ab.0.1.01fe0000000000000000000000000000",
        "ik1.vm.AB.0.1.01fe0000000000000000000000000000",
        "ik1.vm.ab.0..01fe0000000000000000000000000000",
        "ik1.vm.ab.0.11111111111111111.01fe0000000000000000000000000000",
        "ik1.vm.ab.0.1.01FE0000000000000000000000000000",
        "ik1.vm.ab.0.1.01fe000000000000000000000000000",
        "ik1..ab.0.1.01fe0000000000000000000000000000",
        "ik1.v/m.ab.0.1.01fe0000000000000000000000000000",
        "ik2.vm.ab.0.1.01fe0000000000000000000000000000",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        CU_ASSERT_FALSE(
            idempotency_key_parse(&parsed, slice_from_string(invalid[i])));
    }
}

/// Guards against a stale handle that refers to the next user of its slot.
static void
test_stale_handles(void)
{
    slot_table_t slots;
    slot_table_init(&slots, 2);
    uint64_t first = slot_table_acquire(&slots);
    uint64_t second = slot_table_acquire(&slots);
    CU_ASSERT_EQUAL(slot_table_acquire(&slots), 0);
    slot_table_release(&slots, first);
    CU_ASSERT_EQUAL(slot_table_find(&slots, first), SLOT_NONE);
    uint64_t third = slot_table_acquire(&slots);
    CU_ASSERT_NOT_EQUAL(third, first);
    slot_table_release(&slots, first);
    CU_ASSERT_EQUAL(slots.count, 2);
    CU_ASSERT_NOT_EQUAL(slot_table_find(&slots, third), SLOT_NONE);
    CU_ASSERT_NOT_EQUAL(slot_table_find(&slots, second), SLOT_NONE);
    CU_ASSERT_EQUAL(slot_table_find(&slots, 0), SLOT_NONE);
    CU_ASSERT_EQUAL(slot_table_find(&slots, 99), SLOT_NONE);
    slot_table_finish(&slots);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"key runs once", test_key_runs_once},
        {"refusal is final", test_refusal_is_final},
        {"expired key", test_expired_key_never_runs},
        {"earlier incarnation", test_key_of_earlier_incarnation},
        {"foreign and forged keys", test_foreign_and_forged_keys},
        {"full table", test_full_table},
        {"key text", test_key_text_is_canonical},
        {"stale handles", test_stale_handles},
        CU_TEST_INFO_NULL,
    };
    return run_suite("idempotency", tests);
}
