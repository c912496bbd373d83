#ifndef IBISFIELD_ROUTING_CALL_DEPTH_H
#define IBISFIELD_ROUTING_CALL_DEPTH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"

/// Greatest depth that is distinguished; deeper call chains count as this one.
#define CALL_DEPTH_MAX 6
/// Reported by a guard that hasn't seen enough calls to determine its depth.
#define CALL_DEPTH_UNDETERMINED 15
/// Assumed depth of a service whose guards have reported none or can't
/// determine it yet: that of a typical call chain.
#define CALL_DEPTH_DEFAULT 3

/// Depth of the call graph below each service: 0 for a service that calls no
/// other. Guards report the depth of their own service; a node learns that of
/// its own upstream from the calls that the upstream makes.
typedef struct {
    const clock_source_t *clock;
    GHashTable *services;       ///< name to service_depth_t
    int64_t traceable_since_us; ///< since when calls of the upstream can be
                                ///< told from callers' requests; 0: not yet
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
