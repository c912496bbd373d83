#ifndef IBISFIELD_IDEMPOTENCY_KEY_TABLE_H
#define IBISFIELD_IDEMPOTENCY_KEY_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/base/slot_table.h"
#include "ibisfield/call/call_defs.h"
#include "ibisfield/idempotency/idempotency_key.h"

typedef struct {
    const char *vm;                   ///< own VM name
    uint64_t incarnation;             ///< random, generated at process start
    uint8_t secret[KEY_SECRET_BYTES]; ///< random, never leaves the process
    uint32_t max_records;
    uint32_t max_response_bytes; ///< of all stored responses together
} key_table_options_t;

/// Result of key_table_submit() for a request with a key.
typedef enum {
    KEY_RUN, ///< first request with the key: run it now
    KEY_IN_PROGRESS,
    KEY_ANSWERED, ///< the stored response is in the details
    KEY_RESPONSE_NOT_STORED,
    KEY_REFUSED,         ///< final, not run; the reason is in the details
    KEY_UNKNOWN,         ///< outcome unknown; the reason is in the details
    KEY_REUSED,          ///< the key was used with another request
    KEY_EXPIRED,         ///< expired, or of another incarnation of this VM
    KEY_OWNED_ELSEWHERE, ///< the details name the VM that owns the key
    KEY_INVALID,         ///< malformed, forged, or of another customer
    KEY_TABLE_FULL,      ///< no free record; the key may be used again
} key_check_t;

/// Handle of a record; 0 is no record. Stale handles are ignored.
typedef uint64_t key_handle_t;

/// Details of the result of key_table_submit(); the result that sets a member
/// stands beside it.
typedef struct {
    key_handle_t handle;         ///< KEY_RUN
    char owner[VM_NAME_MAX + 1]; ///< KEY_OWNED_ELSEWHERE
    slice_t response;            ///< KEY_ANSWERED; valid until the next call
    reason_t reason;             ///< KEY_REFUSED and KEY_UNKNOWN
} key_check_details_t;

typedef enum {
    KEY_RECORD_RUNNING,
    KEY_RECORD_ANSWERED,
    KEY_RECORD_REFUSED,
    KEY_RECORD_UNKNOWN,
} key_record_state_t;

typedef struct {
    uint64_t sequence; ///< sequence number of the key
    key_handle_t handle;
    uint64_t expiry_ms;
    uint64_t request_hash;
    key_record_state_t state;
    reason_t reason;
    char *response; ///< NULL if not stored
    uint32_t response_len;
} key_record_t;

typedef struct {
    const clock_source_t *clock;
    key_table_options_t options;
    char vm[VM_NAME_MAX + 1];
    int64_t start_us;
    int64_t latest_us; ///< highest time that the clock has shown
    uint64_t next_sequence;
    uint64_t used_keys;     ///< keys that a record was created for
    int64_t last_expiry_us; ///< latest expiry of all issued keys, as time
                            ///< since start_us
    uint32_t response_bytes;
    uint32_t sweep_position; ///< where key_table_tick() continues
    slot_table_t slots;
    key_record_t *records;
    GHashTable *index; ///< sequence to key_record_t
} key_table_t;

void key_table_init(key_table_t *table, const clock_source_t *clock,
                    const key_table_options_t *options);
void key_table_finish(key_table_t *table);
bool key_table_issue(key_table_t *table, slice_t customer, int64_t ttl_us,
                     char text[KEY_TEXT_MAX + 1]);
key_check_t key_table_submit(key_table_t *table, slice_t customer, slice_t key,
                             uint64_t request_hash,
                             key_check_details_t *details);
void key_table_set_answered(key_table_t *table, key_handle_t handle,
                            slice_t response);
void key_table_set_refused(key_table_t *table, key_handle_t handle,
                           reason_t reason);
void key_table_set_unknown(key_table_t *table, key_handle_t handle,
                           reason_t reason);
void key_table_tick(key_table_t *table);
uint32_t key_table_count(const key_table_t *table);
bool key_table_has_unused_keys(const key_table_t *table);

#endif
