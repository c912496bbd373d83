/// @file
/// Age of the proof that a node knows of all access keys taken away.

#include <string.h>

#include "ibisfield/workspace/key_proof.h"

#include "common/suite.h"

#define REVOKE_US (5 * US_PER_S)

static manual_clock_t manual;

/// A proof of a node that holds @p version and read the source just now.
static key_proof_t
proof_of_version(uint64_t version)
{
    key_proof_t proof;
    key_proof_init(&proof, &manual.base, REVOKE_US);
    key_proof_set_version(&proof, version);
    key_proof_record_read(&proof, clock_now_us(&manual.base));
    return proof;
}

/// Guards against keys that are accepted for too long, also by a node that was
/// suspended, and against a proof that dates from the answer instead of the
/// question.
static void
test_age_counts_from_the_question(void)
{
    manual_clock_init(&manual, 100 * US_PER_S);
    key_proof_t proof;
    key_proof_init(&proof, &manual.base, REVOKE_US);
    CU_ASSERT_FALSE(key_proof_is_current(&proof));
    int64_t asked_us = clock_now_us(&manual.base);
    manual_clock_advance(&manual, 4 * US_PER_S);
    key_proof_record_read(&proof, asked_us);
    CU_ASSERT_TRUE(key_proof_is_current(&proof));
    manual_clock_advance(&manual, US_PER_S);
    CU_ASSERT_FALSE(key_proof_is_current(&proof));
    // An older answer that comes late takes nothing back.
    key_proof_record_read(&proof, clock_now_us(&manual.base));
    key_proof_record_read(&proof, asked_us);
    CU_ASSERT_EQUAL(key_proof_age_us(&proof), 0);
    key_proof_init(&proof, &manual.base, 0);
    CU_ASSERT_TRUE(key_proof_is_current(&proof));
}

/// Guards against a proof that gets younger on its way through nodes, however
/// long request and response take, and against one for a version that the
/// receiver doesn't hold.
static void
test_proofs_pass_through_nodes(void)
{
    manual_clock_init(&manual, 100 * US_PER_S);
    key_proof_t reader = proof_of_version(7);
    int64_t read_us = clock_now_us(&manual.base);
    key_proof_t follower = proof_of_version(7);
    follower.proven_us = 0;
    for (int i = 0; i < 3; i++) {
        int64_t asked_us = clock_now_us(&manual.base);
        manual_clock_advance(&manual, 300 * US_PER_MS);
        int64_t received_us = clock_now_us(&manual.base);
        manual_clock_advance(&manual, 400 * US_PER_MS);
        char text[KEY_PROOF_TEXT_MAX];
        CU_ASSERT_TRUE(key_proof_format(&reader, received_us, text));
        manual_clock_advance(&manual, 200 * US_PER_MS);
        CU_ASSERT_TRUE(key_proof_record_text(
            &follower, slice_from_string(text), asked_us));
        CU_ASSERT_TRUE(follower.proven_us <= read_us);
        CU_ASSERT_TRUE(follower.proven_us >= read_us - US_PER_S);
        reader = follower;
        follower.proven_us = 0;
    }
    key_proof_t older = proof_of_version(6);
    char text[KEY_PROOF_TEXT_MAX];
    key_proof_t newer = proof_of_version(7);
    CU_ASSERT_TRUE(key_proof_format(&newer, clock_now_us(&manual.base), text));
    CU_ASSERT_FALSE(key_proof_record_text(&older, slice_from_string(text),
                                          clock_now_us(&manual.base)));
}

/// Guards against malformed texts that count as a proof.
static void
test_malformed_texts_are_ignored(void)
{
    static const char *const malformed[] = {
        "",
        "version=7",
        "version=7;at_ms=",
        "version=7;at_ms=-5x",
        "version=x;at_ms=1",
        "version=7;at_ms=99999999999",
        "version=7;at_ms=1;and=more-than-this-text-may-have-of-bytes",
    };
    manual_clock_init(&manual, 100 * US_PER_S);
    key_proof_t proof = proof_of_version(7);
    proof.proven_us = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        CU_ASSERT_FALSE(
            key_proof_record_text(&proof, slice_from_string(malformed[i]), 1));
    }
    CU_ASSERT_EQUAL(proof.proven_us, 0);
    // A proof from the future dates from now.
    CU_ASSERT_TRUE(key_proof_record_text(&proof,
                                         SLICE_LITERAL("version=7;at_ms=5000"),
                                         clock_now_us(&manual.base)));
    CU_ASSERT_EQUAL(proof.proven_us, clock_now_us(&manual.base));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"age", test_age_counts_from_the_question},
        {"proofs of others", test_proofs_pass_through_nodes},
        {"malformed texts", test_malformed_texts_are_ignored},
        CU_TEST_INFO_NULL,
    };
    return run_suite("key proof", tests);
}
