#ifndef IBISFIELD_ROUTING_CALL_DEPTH_H
#define IBISFIELD_ROUTING_CALL_DEPTH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"

/// Longest chain that is told apart.
#define CALL_DEPTH_MAX 6
/// Reported by a guard that hasn't seen enough calls to know.
#define CALL_DEPTH_UNDETERMINED 15
/// What is taken for a service of which nothing is known, and for the own one
/// until calls can be told from callers' requests: the usual chain.
#define CALL_DEPTH_DEFAULT 3

/// How many levels of further calls the requests for a service lead to: 0 for
/// a service that calls no other. Guards report their own; the node learns
/// its own from the calls that its upstream makes.
typedef struct {
    const clock_source_t *clock;
    GHashTable *services;       ///< name to service_depth_t
    int64_t traceable_since_us; ///< since when calls are told from callers'
                                ///< requests; 0: they aren't
} call_depths_t;

void call_depths_init(call_depths_t *depths, const clock_source_t *clock);
void call_depths_finish(call_depths_t *depths);
void call_depths_record_report(call_depths_t *depths, const char *service,
                               uint32_t depth);
void call_depths_mark_traceable(call_depths_t *depths);
void call_depths_record_call(call_depths_t *depths, const char *service);
uint32_t call_depths_get(const call_depths_t *depths, const char *service);
uint32_t call_depths_get_own(const call_depths_t *depths);

#endif
