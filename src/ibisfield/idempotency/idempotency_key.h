#ifndef IBISFIELD_IDEMPOTENCY_IDEMPOTENCY_KEY_H
#define IBISFIELD_IDEMPOTENCY_IDEMPOTENCY_KEY_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/slice.h"
#include "ibisfield/call/call_defs.h"

#define KEY_TAG_BYTES 16
#define KEY_SECRET_BYTES 32

/// A request key: "ik1.<vm>.<incarnation>.<expiry>.<sequence>.<tag>". The
/// numbers are lower-case hexadecimal without leading zeros, so each key has
/// exactly one text.
typedef struct {
    char vm[VM_NAME_MAX + 1]; ///< owner
    uint64_t incarnation;     ///< of the owner's process
    uint64_t expiry_ms;       ///< on the owner's clock since its start
    uint64_t sequence;        ///< unique within the incarnation
    uint8_t tag[KEY_TAG_BYTES];
} idempotency_key_t;

bool idempotency_key_parse(idempotency_key_t *key, slice_t text);
void idempotency_key_format(const idempotency_key_t *key,
                            char text[KEY_TEXT_MAX + 1]);
void idempotency_key_sign(idempotency_key_t *key, slice_t customer,
                          const uint8_t secret[KEY_SECRET_BYTES]);
bool idempotency_key_verify(const idempotency_key_t *key, slice_t customer,
                            const uint8_t secret[KEY_SECRET_BYTES]);

#endif
