/// @file
/// Chooses the VMs of a service that a node connects to, by rendezvous
/// hashing: a VM that is added or removed changes only the subsets that it
/// enters or leaves, and there at most one other VM leaves or enters for it.

#include "ibisfield/routing/subset.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/// VMs of the own data centre are preferred until they make up the subset size
/// divided by this. The other VMs are chosen from all data centres, so that
/// nodes don't depend on the few VMs of a small data centre alone.
#define LOCAL_DIVISOR 2

static int
compare_rank(const void *a, const void *b)
{
    uint64_t left = ((const subset_candidate_t *)a)->rank;
    uint64_t right = ((const subset_candidate_t *)b)->rank;
    return left < right ? -1 : left > right ? 1 : 0;
}

/// Returns the hash of a VM name, from which ranks are computed.
uint64_t
subset_name_hash(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

static void
move_to_front(subset_candidate_t *members, uint32_t from, uint32_t to)
{
    subset_candidate_t moved = members[from];
    memmove(&members[to + 1], &members[to], (from - to) * sizeof(members[0]));
    members[to] = moved;
}

/// Moves the chosen members to the front of @p members and returns their
/// number.
uint32_t
subset_choose(uint64_t chooser_hash, subset_candidate_t *members,
              uint32_t count, uint32_t size)
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
    uint32_t local_count = 0;
    for (uint32_t i = 0; i < count && local_count < size / LOCAL_DIVISOR; i++)
    {
        if (members[i].local) {
            move_to_front(members, i, local_count++);
        }
    }
    return size;
}
