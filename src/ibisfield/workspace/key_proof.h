#ifndef IBISFIELD_WORKSPACE_KEY_PROOF_H
#define IBISFIELD_WORKSPACE_KEY_PROOF_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/base/slice.h"

#define KEY_PROOF_TEXT_MAX 48

/// Proof that no access key was taken away before some time without this node
/// knowing it. Its age bounds how long a key may open a workspace after it was
/// taken away.
typedef struct {
    const clock_source_t *clock; ///< counts the time in which it is suspended
    int64_t max_age_us;          ///< 0: keys need no proof
    uint64_t version;            ///< of the contracts in force
    int64_t proven_us; ///< the version was the newest then; 0: never proven
} key_proof_t;

void key_proof_init(key_proof_t *proof, const clock_source_t *clock,
                    int64_t max_age_us);
void key_proof_set_version(key_proof_t *proof, uint64_t version);
void key_proof_record_read(key_proof_t *proof, int64_t asked_us);
bool key_proof_record_text(key_proof_t *proof, slice_t text, int64_t asked_us);
bool key_proof_format(const key_proof_t *proof, int64_t received_us,
                      char text[KEY_PROOF_TEXT_MAX]);
int64_t key_proof_age_us(const key_proof_t *proof);
bool key_proof_is_current(const key_proof_t *proof);
bool key_proof_is_wanted(const key_proof_t *proof);

#endif
