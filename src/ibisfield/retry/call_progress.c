/// @file
/// Worth of a retry, by what it saves. While a service deep in the call graph
/// rejects many calls, a root request that needs several of them one after the
/// other rarely ends well, and each retry at its beginning is followed by more
/// at its end. A retry of its last call saves all the work done for it.

#include "ibisfield/retry/call_progress.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "ibisfield/contract/contract_defs.h"

/// Weight of one call in the moving average of the successful ones.
#define SAMPLE_WEIGHT 0.05
/// Retries that each further call of the root will probably need.
#define RETRIES_PER_CALL 0.5
/// The table is emptied when it has this many entries, so that services that
/// are gone don't stay.
#define ENTRIES_MAX 4096

/// Initialises progress without experience: all calls are expected to end
/// well.
void
call_progress_init(call_progress_t *progress)
{
    progress->success =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void
call_progress_finish(call_progress_t *progress)
{
    g_hash_table_destroy(progress->success);
}

static uint64_t
entry_hash(const char *service, int32_t worth, uint32_t remaining)
{
    uint64_t seed = (uint64_t)(uint32_t)worth * (CALLS_REMAINING_MAX + 1) +
                    MIN(remaining, CALLS_REMAINING_MAX);
    return XXH3_64bits_withSeed(service, strlen(service), seed);
}

/// Records how a call ended, its retries included.
///
/// @param remaining  calls that the root request still needs afterwards
void
call_progress_record(call_progress_t *progress, const char *service,
                     int32_t worth, uint32_t remaining, bool succeeded)
{
    uint64_t hash = entry_hash(service, worth, remaining);
    double *success = g_hash_table_lookup(progress->success, &hash);
    if (success == NULL) {
        if (g_hash_table_size(progress->success) >= ENTRIES_MAX) {
            g_hash_table_remove_all(progress->success);
        }
        success = g_new(double, 1);
        *success = 1;
        g_hash_table_insert(progress->success, g_memdup2(&hash, sizeof(hash)),
                            success);
    }
    *success += SAMPLE_WEIGHT * ((succeeded ? 1 : 0) - *success);
}

/// Returns the chance that the calls behind a call all end well.
double
call_progress_chance(const call_progress_t *progress, const char *service,
                     int32_t worth, uint32_t remaining)
{
    double chance = 1;
    for (uint32_t i = 0; i < MIN(remaining, CALLS_REMAINING_MAX); i++) {
        uint64_t hash = entry_hash(service, worth, i);
        const double *success = g_hash_table_lookup(progress->success, &hash);
        chance *= success == NULL ? 1 : *success;
    }
    return chance;
}

/// Returns what a retry of the call is worth: the worth of the root request
/// times the chance that it ends well with it, divided by the retries that
/// this takes. The worth itself for a last call, and at least 1.
int32_t
call_progress_retry_worth(const call_progress_t *progress, const char *service,
                          int32_t worth, uint32_t remaining)
{
    double saved =
        worth * call_progress_chance(progress, service, worth, remaining) /
        (1 + RETRIES_PER_CALL * MIN(remaining, CALLS_REMAINING_MAX));
    return MAX((int32_t)lround(saved), 1);
}
