#ifndef IBISFIELD_ONCE_KEY_TABLE_H
#define IBISFIELD_ONCE_KEY_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/call/call_defs.h"

typedef struct {
    const char *vm;       ///< own VM name
    uint64_t incarnation; ///< random, drawn at process start
    uint8_t secret[32];   ///< random, never leaves the process
    uint32_t max_records;
    uint32_t max_answer_bytes; ///< of all kept answers together
} key_table_options_t;

typedef enum {
    KEY_RUN, ///< first submission: run it now (record is running)
    KEY_IN_PROGRESS,
    KEY_ANSWERED, ///< the kept answer is in the record
    KEY_ANSWER_NOT_KEPT,
    KEY_REFUSED, ///< final: not run
    KEY_UNKNOWN,
    KEY_REUSED,     ///< same key, another request
    KEY_EXPIRED,    ///< expired, or of another incarnation of this VM
    KEY_FOREIGN,    ///< owned by another VM, whose name is returned
    KEY_INVALID,    ///< not a key, forged, or of another customer
    KEY_TABLE_FULL, ///< no record could be made; not run
} key_check_t;

/// Handle of a record; 0 is none.
typedef uint64_t key_handle_t;

typedef struct key_table key_table_t;

void key_table_init(key_table_t *table, const clock_source_t *clock,
                    const key_table_options_t *options);
void key_table_finish(key_table_t *table);
/// Writes a fresh key for @p customer; false if the table is full.
bool key_table_mint(key_table_t *table, slice_t customer, int64_t life_us,
                    char text[KEY_TEXT_MAX + 1]);
/// Checks a submission. For KEY_RUN, @p handle names the record until
/// key_table_finish_*(). For KEY_FOREIGN, @p owner gets the VM's name. For
/// KEY_ANSWERED, @p answer is valid until the next call.
key_check_t key_table_submit(key_table_t *table, slice_t customer, slice_t key,
                             uint64_t request_hash, key_handle_t *handle,
                             char owner[VM_NAME_MAX + 1], slice_t *answer);
void key_table_answered(key_table_t *table, key_handle_t handle,
                        slice_t answer);
void key_table_refused(key_table_t *table, key_handle_t handle);
/// A later key_table_answered() of the same handle is still accepted.
void key_table_unknown(key_table_t *table, key_handle_t handle);
/// Drops expired records.
void key_table_tick(key_table_t *table);
uint32_t key_table_count(const key_table_t *table);
/// Keys minted, not expired and not yet submitted, at most; for the linger.
bool key_table_has_open_keys(const key_table_t *table);

#endif
