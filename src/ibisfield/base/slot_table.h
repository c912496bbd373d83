#ifndef IBISFIELD_BASE_SLOT_TABLE_H
#define IBISFIELD_BASE_SLOT_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#define SLOT_NONE UINT32_MAX

/// Numbers of a fixed range with generations. A handle is a slot and its
/// generation; it is never 0, and a released handle names nothing.
typedef struct {
    uint32_t capacity;
    uint32_t count;       ///< slots in use
    uint32_t high_water;  ///< slots from here on were never used
    uint32_t *generation; ///< per slot
    uint32_t *order;      ///< slots in use, then released ones
    uint32_t *position;   ///< of a slot in order
} slot_table_t;

void slot_table_init(slot_table_t *table, uint32_t capacity);
void slot_table_finish(slot_table_t *table);
uint64_t slot_table_acquire(slot_table_t *table);
void slot_table_release(slot_table_t *table, uint64_t handle);
uint32_t slot_table_find(const slot_table_t *table, uint64_t handle);

/// Returns the slot of the @p i-th use; releasing it moves the last one there,
/// so a loop that releases runs from the end.
static inline uint32_t
slot_table_at(const slot_table_t *table, uint32_t i)
{
    return table->order[i];
}

#endif
