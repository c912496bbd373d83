/// @file
/// Age of what a node knows about access keys. A key is accepted only while
/// this knowledge is proven to be young enough, so that a key that was taken
/// away opens nothing after a stated time, also on a node that is cut off.
///
/// A proof dates from the time at which the question was sent whose answer
/// gave it: the answer may have been on its way for any time since. Another
/// node's proof is as good as the source's own if its age is passed on with
/// it, so nodes that exchange requests need no questions of their own.

#include "ibisfield/workspace/key_proof.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/// Keys are accepted for this part of the time allowed, which leaves room for
/// clocks that run apart.
#define ACCEPTED_FRACTION 0.9
/// From this part of the accepted age on a node asks others for a proof.
#define WANTED_FRACTION 0.5

/// Initialises a proof that was never given.
///
/// @param max_age_us  time after which a key that was taken away must open
///                    nothing; 0: it isn't bounded
void
key_proof_init(key_proof_t *proof, const clock_source_t *clock,
               int64_t max_age_us)
{
    *proof = (key_proof_t){
        .clock = clock,
        .max_age_us = (int64_t)(ACCEPTED_FRACTION * (double)max_age_us),
    };
}

/// Sets the version of the contracts that has come into force.
void
key_proof_set_version(key_proof_t *proof, uint64_t version)
{
    proof->version = version;
}

/// Records that the source was read, all changes that it returned included,
/// by a question that was sent at @p asked_us.
void
key_proof_record_read(key_proof_t *proof, int64_t asked_us)
{
    proof->proven_us = MAX(proof->proven_us, asked_us);
}

/// Records the proof in a response of another node to a request that was sent
/// at @p asked_us. Returns false if the text isn't valid, or if the other node
/// holds a newer version: then its proof says nothing about the version here.
bool
key_proof_record_text(key_proof_t *proof, slice_t text, int64_t asked_us)
{
    char copy[KEY_PROOF_TEXT_MAX];
    uint64_t version = 0;
    int64_t offset_ms = 0;
    int length = 0;
    if (text.len == 0 || text.len >= sizeof(copy)) {
        return false;
    }
    memcpy(copy, text.data, text.len);
    copy[text.len] = '\0';
    if (sscanf(copy, "version=%" SCNu64 ";at_ms=%" SCNd64 "%n", &version,
               &offset_ms, &length) != 2 ||
        (size_t)length != text.len || offset_ms > G_MAXINT32 ||
        offset_ms < -G_MAXINT32 || version > proof->version)
    {
        return false;
    }
    // The proof can't be younger than the response that brings it.
    int64_t proven_us = asked_us + offset_ms * US_PER_MS;
    key_proof_record_read(proof, MIN(proven_us, clock_now_us(proof->clock)));
    return true;
}

/// Formats the proof for a response to a request that was received at
/// @p received_us. The receiver of the response counts from the time at which
/// it sent the request, which was earlier. Returns false if there is nothing
/// to pass on.
bool
key_proof_format(const key_proof_t *proof, int64_t received_us,
                 char text[KEY_PROOF_TEXT_MAX])
{
    if (proof->max_age_us == 0 || proof->proven_us == 0) {
        return false;
    }
    int64_t offset_us = proof->proven_us - received_us;
    int64_t offset_ms = offset_us / US_PER_MS - (offset_us < 0 ? 1 : 0);
    snprintf(text, KEY_PROOF_TEXT_MAX, "version=%" PRIu64 ";at_ms=%" PRId64,
             proof->version, offset_ms);
    return true;
}

/// Returns the age of the proof, INT64_MAX if there was none.
int64_t
key_proof_age_us(const key_proof_t *proof)
{
    return proof->proven_us == 0
               ? INT64_MAX
               : MAX(clock_now_us(proof->clock) - proof->proven_us, 0);
}

/// Returns whether keys may be accepted.
bool
key_proof_is_current(const key_proof_t *proof)
{
    return proof->max_age_us == 0 ||
           key_proof_age_us(proof) < proof->max_age_us;
}

/// Returns whether the node should ask another one for a proof.
bool
key_proof_is_wanted(const key_proof_t *proof)
{
    return proof->max_age_us > 0 && proof->version > 0 &&
           (double)key_proof_age_us(proof) >=
               WANTED_FRACTION * (double)proof->max_age_us;
}
