#ifndef IBISFIELD_CONFIG_CONTROL_CODEC_H
#define IBISFIELD_CONFIG_CONTROL_CODEC_H

#include "ibisfield/config/control_defs.h"

typedef enum {
    DECODE_OK,
    DECODE_INVALID,
    DECODE_UNKNOWN_VERSION, ///< protocol version isn't the supported one
} control_decode_result_t;

void control_message_init(control_message_t *message, control_type_t type,
                          const char *sender);
void control_message_clear(control_message_t *message);
const char *control_type_name(control_type_t type);
void control_encode(const control_message_t *message, GByteArray *out);
control_decode_result_t control_decode(control_message_t *message,
                                       slice_t bytes, uint64_t *version);
void control_count_sent(control_type_t type, size_t bytes);
void control_count_received(control_type_t type, size_t bytes);

#endif
