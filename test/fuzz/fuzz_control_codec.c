/// @file
/// Fuzz target for the decoder of control messages: a decoded message must be
/// accepted again after it was encoded, and must then yield the same bytes.

#include <stdlib.h>

#include "ibisfield/config/control_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
    control_message_t first;
    control_message_t second;
    uint64_t version = 0;
    slice_t input = {(const char *)bytes, len};
    if (control_decode(&first, input, &version) != DECODE_OK) {
        return 0;
    }
    GByteArray *once = g_byte_array_new();
    GByteArray *twice = g_byte_array_new();
    control_encode(&first, once);
    slice_t encoded = {(const char *)once->data, once->len};
    if (control_decode(&second, encoded, &version) != DECODE_OK) {
        abort();
    }
    control_encode(&second, twice);
    if (!slice_equal(encoded,
                     (slice_t){(const char *)twice->data, twice->len})) {
        abort();
    }
    control_message_clear(&first);
    control_message_clear(&second);
    g_byte_array_unref(once);
    g_byte_array_unref(twice);
    return 0;
}
