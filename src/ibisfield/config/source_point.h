#ifndef IBISFIELD_CONFIG_SOURCE_POINT_H
#define IBISFIELD_CONFIG_SOURCE_POINT_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/slice.h"

/// Point of the history of a source. Each time the source comes back from a
/// copy, a new era begins: revisions go back to that of the copy, and those
/// above it are given out again for other changes. Within an era they grow
/// with each change. A source that states no era stays in era 0.
typedef struct {
    uint64_t era;
    uint64_t revision; ///< above 0; 0: no point, before the whole history
} source_point_t;

/// An item of a source as it was written, or its removal.
typedef struct {
    const char *name;
    slice_t value;          ///< length 0: removed
    source_point_t changed; ///< last change of the item
    /// Point at which the source still had the item. Revision 0: the item
    /// comes from a change, and may have been removed since.
    source_point_t read;
} source_item_t;

/// Returns a value below, equal to or above 0 if @p a is before, equal to or
/// after @p b. A point of a later era is after all points of earlier ones,
/// whatever their revisions.
static inline int
source_point_compare(source_point_t a, source_point_t b)
{
    if (a.era != b.era) {
        return a.era < b.era ? -1 : 1;
    }
    return a.revision < b.revision ? -1 : a.revision > b.revision;
}

/// Returns whether the point is set.
static inline bool
source_point_is_set(source_point_t point)
{
    return point.revision > 0;
}

static inline source_point_t
source_point_max(source_point_t a, source_point_t b)
{
    return source_point_compare(a, b) < 0 ? b : a;
}

/// Returns whether what the source lists as changed at @p listed may be older
/// than a change known from an earlier era: the copy from which the source
/// came back ends before some revision of that era, and lower ones are its own
/// or given out again. With a higher revision it was written since.
static inline bool
source_point_may_be_copied(source_point_t listed, source_point_t known)
{
    return listed.era > known.era && listed.revision <= known.revision;
}

/// Returns whether a record that isn't held here was removed after it was
/// read: its last change is covered by @p known, the point up to which all
/// changes are held. A record that the source still had at @p read or later is
/// taken even so: this node may not have understood it, or not have got it,
/// before. @p read is unset for a change, which doesn't show whether the
/// record still exists.
static inline bool
source_record_is_outdated(source_point_t known, source_point_t changed,
                          source_point_t read)
{
    return source_point_compare(changed, known) <= 0 &&
           source_point_compare(read, known) < 0;
}

#endif
