#ifndef IBISFIELD_CONFIG_SOURCE_ORDER_H
#define IBISFIELD_CONFIG_SOURCE_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/// Returns whether a record that isn't held here was removed after it was
/// read: its last change, at @p revision, is covered by @p known, the revision
/// up to which all changes are held. A record that the source still had at
/// @p read_revision or later is taken even so: this node may not have
/// understood it, or not have got it, before. For a change, which doesn't show
/// whether the record still exists, @p read_revision is 0.
static inline bool
source_record_is_outdated(uint64_t known, uint64_t revision,
                          uint64_t read_revision)
{
    return revision <= known && read_revision < known;
}

#endif
