/// @file
/// Slots with generations. A stale handle is detected by its generation, so
/// that a late event never reaches the object that uses the slot next.

#include "ibisfield/base/slot_table.h"

#include <glib.h>

/// Initialises a table of @p capacity free slots. The memory of slots that are
/// never used isn't touched.
void
slot_table_init(slot_table_t *table, uint32_t capacity)
{
    *table = (slot_table_t){
        .capacity = capacity,
        .generation = g_new0(uint32_t, capacity),
        .order = g_new0(uint32_t, capacity),
        .position = g_new0(uint32_t, capacity),
    };
}

/// Releases the memory of the table.
void
slot_table_finish(slot_table_t *table)
{
    g_free(table->generation);
    g_free(table->order);
    g_free(table->position);
}

/// Allocates a slot and returns its handle, 0 if all slots are in use.
uint64_t
slot_table_acquire(slot_table_t *table)
{
    if (table->count == table->capacity) {
        return 0;
    }
    if (table->count == table->high_water) {
        table->order[table->high_water] = table->high_water;
        table->position[table->high_water] = table->high_water;
        table->high_water++;
    }
    uint32_t slot = table->order[table->count++];
    uint32_t generation = ++table->generation[slot];
    return ((uint64_t)generation << 32) | (slot + 1);
}

/// Releases the slot of a handle. A stale handle is ignored.
void
slot_table_release(slot_table_t *table, uint64_t handle)
{
    uint32_t slot = slot_table_find(table, handle);
    if (slot == SLOT_NONE) {
        return;
    }
    uint32_t freed_position = table->position[slot];
    uint32_t last = --table->count;
    uint32_t moved = table->order[last];
    table->order[freed_position] = moved;
    table->position[moved] = freed_position;
    table->order[last] = slot;
    table->position[slot] = last;
}

/// Returns the slot of a handle, SLOT_NONE if the handle is stale or invalid.
uint32_t
slot_table_find(const slot_table_t *table, uint64_t handle)
{
    uint32_t slot_plus_one = (uint32_t)handle;
    if (slot_plus_one == 0 || slot_plus_one > table->high_water) {
        return SLOT_NONE;
    }
    uint32_t slot = slot_plus_one - 1;
    bool in_use = table->position[slot] < table->count;
    if (!in_use || table->generation[slot] != handle >> 32) {
        return SLOT_NONE;
    }
    return slot;
}
