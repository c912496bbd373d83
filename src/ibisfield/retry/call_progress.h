#ifndef IBISFIELD_RETRY_CALL_PROGRESS_H
#define IBISFIELD_RETRY_CALL_PROGRESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// Calls that are still to be made for a root request; more count as this
/// many.
#define CALLS_REMAINING_MAX 8

/// What this node has learned of the calls that it sends: how many of them end
/// well, by service, worth of the root request, and the number of calls that
/// the root still needs afterwards.
typedef struct {
    GHashTable *success; ///< hash of these three to double, 0 to 1
} call_progress_t;

void call_progress_init(call_progress_t *progress);
void call_progress_finish(call_progress_t *progress);
void call_progress_record(call_progress_t *progress, const char *service,
                          int32_t worth, uint32_t remaining, bool succeeded);
double call_progress_chance(const call_progress_t *progress,
                            const char *service, int32_t worth,
                            uint32_t remaining);
int32_t call_progress_retry_worth(const call_progress_t *progress,
                                  const char *service, int32_t worth,
                                  uint32_t remaining);

#endif
