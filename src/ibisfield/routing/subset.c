/// @file
/// The VMs of a service that a node connects to: the first by rendezvous
/// hashing. A change of the list changes only the places of the VMs concerned.

#include "ibisfield/routing/subset.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/// VMs of the own data centre take at most this part of the subset in
/// advance, so that a data centre with few VMs isn't the only choice.
#define NEAR_DIVISOR 2

static int
compare_rank(const void *a, const void *b)
{
    uint64_t left = ((const subset_member_t *)a)->rank;
    uint64_t right = ((const subset_member_t *)b)->rank;
    return left < right ? -1 : left > right ? 1 : 0;
}

/// Returns the hash by which choosers and members are ranked.
uint64_t
subset_name_hash(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

static void
move_to_front(subset_member_t *members, uint32_t from, uint32_t to)
{
    subset_member_t moved = members[from];
    memmove(&members[to + 1], &members[to], (from - to) * sizeof(members[0]));
    members[to] = moved;
}

/// Orders @p members so that the chosen ones come first; returns their number.
uint32_t
subset_choose(uint64_t chooser_hash, subset_member_t *members, uint32_t count,
              uint32_t size)
{
    if (count <= size) {
        return count;
    }
    for (uint32_t i = 0; i < count; i++) {
        uint64_t hash = members[i].name_hash;
        members[i].rank =
            XXH3_64bits_withSeed(&hash, sizeof(hash), chooser_hash);
    }
    qsort(members, count, sizeof(members[0]), compare_rank);
    uint32_t near = 0;
    for (uint32_t i = 0; i < count && near < size / NEAR_DIVISOR; i++) {
        if (members[i].local) {
            move_to_front(members, i, near++);
        }
    }
    return size;
}
