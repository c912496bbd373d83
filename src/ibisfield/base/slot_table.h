#ifndef IBISFIELD_BASE_SLOT_TABLE_H
#define IBISFIELD_BASE_SLOT_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#define SLOT_NONE UINT32_MAX

/// Allocates slots, such as indices of an array. Each slot has a generation
/// number, which increases each time that the slot is allocated. A handle
/// combines a slot and its generation. It is never 0, and it is invalid once
/// its slot has been released.
typedef struct {
    uint32_t capacity;
    uint32_t count;       ///< slots in use
    uint32_t high_water;  ///< slots from here on were never used
    uint32_t *generation; ///< by slot
    uint32_t *order;      ///< all slots: first those in use, then the released
    uint32_t *position;   ///< by slot: its index in @c order
} slot_table_t;

void slot_table_init(slot_table_t *table, uint32_t capacity);
void slot_table_finish(slot_table_t *table);
uint64_t slot_table_acquire(slot_table_t *table);
void slot_table_release(slot_table_t *table, uint64_t handle);
uint32_t slot_table_find(const slot_table_t *table, uint64_t handle);

/// Returns the @p i-th slot in use. Releasing it moves the last slot in use to
/// this position, so a loop that releases slots must run from the end.
static inline uint32_t
slot_table_at(const slot_table_t *table, uint32_t i)
{
    return table->order[i];
}

#endif
