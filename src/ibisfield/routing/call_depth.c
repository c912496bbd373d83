/// @file
/// Learns the depth of the call graph below each service. A retry near the
/// root of a call chain repeats every call below it, so its cost grows with
/// this depth.

#include "ibisfield/routing/call_depth.h"

/// A service that the own upstream hasn't called for this long no longer
/// counts as being below the upstream in the call graph.
#define CALL_TTL_US (60 * US_PER_S)
/// For this long after the calls of its upstream have become traceable a node
/// reports no depth: one that has just started may not have seen the calls
/// yet, and would report 0 in the middle of a call chain.
#define WARM_UP_US (3 * US_PER_S)
/// For this long a lower report doesn't replace a reported depth: the guards
/// of one service may differ while one of them hasn't seen a call yet, so the
/// highest report counts.
#define REPORT_TTL_US (20 * US_PER_S)

typedef struct {
    bool is_reported;
    uint32_t depth;
    int64_t reported_us; ///< last report of this depth
    int64_t called_us;   ///< last call by the own upstream; 0: none
} service_depth_t;

void
call_depths_init(call_depths_t *depths, const clock_source_t *clock)
{
    *depths = (call_depths_t){
        .clock = clock,
        .services =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
}

void
call_depths_finish(call_depths_t *depths)
{
    g_hash_table_destroy(depths->services);
}

static service_depth_t *
find_or_add(call_depths_t *depths, const char *service)
{
    service_depth_t *record = g_hash_table_lookup(depths->services, service);
    if (record == NULL) {
        record = g_new0(service_depth_t, 1);
        g_hash_table_insert(depths->services, g_strdup(service), record);
    }
    return record;
}

/// Records the depth that a guard of the service reported.
void
call_depths_record_report(call_depths_t *depths, const char *service,
                          uint32_t depth)
{
    if (depth >= CALL_DEPTH_UNDETERMINED) {
        return;
    }
    service_depth_t *record = find_or_add(depths, service);
    int64_t now_us = clock_now_us(depths->clock);
    depth = MIN(depth, CALL_DEPTH_MAX);
    if (!record->is_reported || depth >= record->depth ||
        now_us - record->reported_us > REPORT_TTL_US)
    {
        record->is_reported = true;
        record->depth = depth;
        record->reported_us = now_us;
    }
}

/// Records that the own upstream called the service.
void
call_depths_record_call(call_depths_t *depths, const char *service)
{
    find_or_add(depths, service)->called_us = clock_now_us(depths->clock);
}

/// Records that a request carried an id which shows that it belongs to another
/// request. From then on the calls of the upstream can be told from callers'
/// requests.
void
call_depths_mark_traceable(call_depths_t *depths)
{
    if (depths->traceable_since_us == 0) {
        depths->traceable_since_us = clock_now_us(depths->clock);
    }
}

/// Returns the depth below a service, CALL_DEPTH_DEFAULT if none was reported.
uint32_t
call_depths_get(const call_depths_t *depths, const char *service)
{
    const service_depth_t *record =
        g_hash_table_lookup(depths->services, service);
    return record == NULL || !record->is_reported ? CALL_DEPTH_DEFAULT
                                                  : record->depth;
}

/// Returns the depth below the own upstream, CALL_DEPTH_UNDETERMINED while the
/// node has seen too few calls to determine it.
uint32_t
call_depths_get_own(const call_depths_t *depths)
{
    int64_t now_us = clock_now_us(depths->clock);
    if (depths->traceable_since_us == 0 ||
        now_us - depths->traceable_since_us < WARM_UP_US)
    {
        return CALL_DEPTH_UNDETERMINED;
    }
    uint32_t own = 0;
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, depths->services);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const service_depth_t *record = pointer;
        if (record->called_us != 0 && now_us - record->called_us < CALL_TTL_US)
        {
            // A called service without a report makes the own depth at least
            // CALL_DEPTH_DEFAULT.
            own = MAX(own, 1 + (record->is_reported ? record->depth
                                                    : CALL_DEPTH_DEFAULT - 1));
        }
    }
    return MIN(own, CALL_DEPTH_MAX);
}
