#ifndef IBISFIELD_IDEMPOTENCY_IDEMPOTENCY_KEY_H
#define IBISFIELD_IDEMPOTENCY_IDEMPOTENCY_KEY_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/slice.h"
#include "ibisfield/call/call_defs.h"

#define KEY_TAG_BYTES 16
#define KEY_SECRET_BYTES 32

/// An idempotency key, with the text form
/// "ik1.<vm>.<incarnation>.<expiry>.<sequence>.<tag>". Numbers and the tag are
/// lower-case hexadecimal, numbers without leading zeros, so that each key has
/// exactly one text.
typedef struct {
    char vm[VM_NAME_MAX + 1];   ///< owner: the VM that issued the key
    uint64_t incarnation;       ///< of the process that issued the key
    uint64_t expiry_ms;         ///< time since the owner's start
    uint64_t sequence;          ///< unique within the incarnation
    uint8_t tag[KEY_TAG_BYTES]; ///< authentication code of the key's fields
                                ///< and the customer
} idempotency_key_t;

bool idempotency_key_parse(idempotency_key_t *key, slice_t text);
void idempotency_key_format(const idempotency_key_t *key,
                            char text[KEY_TEXT_MAX + 1]);
void idempotency_key_sign(idempotency_key_t *key, slice_t customer,
                          const uint8_t secret[KEY_SECRET_BYTES]);
bool idempotency_key_verify(const idempotency_key_t *key, slice_t customer,
                            const uint8_t secret[KEY_SECRET_BYTES]);

#endif
