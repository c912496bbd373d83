/// @file
/// Learns the depth of the call graph below each service. A repeat high up in
/// a chain repeats every call below it, so its cost grows with this depth.

#include "ibisfield/routing/call_depth.h"

/// A service that the upstream has not called for this time is no longer
/// taken for one that it calls.
#define CALL_LIFE_US (60 * US_PER_S)
/// A node that has just started may not have seen its upstream's calls yet and
/// would take a service in the middle of a chain for the last one.
#define LEARN_TIME_US (3 * US_PER_S)
/// A report counts for this time; guards of one service may differ while one
/// of them has not seen a call yet, and the highest report wins.
#define REPORT_LIFE_US (20 * US_PER_S)

typedef struct {
    bool is_reported;
    uint32_t depth;
    int64_t reported_us; ///< last report of this depth
    int64_t called_us;   ///< last call of the own upstream; 0: none
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
entry_for(call_depths_t *depths, const char *service)
{
    service_depth_t *entry = g_hash_table_lookup(depths->services, service);
    if (entry == NULL) {
        entry = g_new0(service_depth_t, 1);
        g_hash_table_insert(depths->services, g_strdup(service), entry);
    }
    return entry;
}

/// A guard of the service reported its depth.
void
call_depths_record_report(call_depths_t *depths, const char *service,
                          uint32_t depth)
{
    if (depth >= CALL_DEPTH_UNDETERMINED) {
        return;
    }
    service_depth_t *entry = entry_for(depths, service);
    int64_t now_us = clock_now_us(depths->clock);
    depth = MIN(depth, CALL_DEPTH_MAX);
    if (!entry->is_reported || depth >= entry->depth ||
        now_us - entry->reported_us > REPORT_LIFE_US)
    {
        entry->is_reported = true;
        entry->depth = depth;
        entry->reported_us = now_us;
    }
}

/// The own upstream called the service.
void
call_depths_record_call(call_depths_t *depths, const char *service)
{
    entry_for(depths, service)->called_us = clock_now_us(depths->clock);
}

/// A request was seen whose id names the request that it is a call of.
void
call_depths_mark_traceable(call_depths_t *depths)
{
    if (depths->traceable_since_us == 0) {
        depths->traceable_since_us = clock_now_us(depths->clock);
    }
}

/// Returns the depth below a service, CALL_DEPTH_DEFAULT if it isn't known.
uint32_t
call_depths_get(const call_depths_t *depths, const char *service)
{
    const service_depth_t *entry =
        g_hash_table_lookup(depths->services, service);
    return entry == NULL || !entry->is_reported ? CALL_DEPTH_DEFAULT
                                                : entry->depth;
}

/// Returns the depth below the own upstream, CALL_DEPTH_UNDETERMINED while the
/// node has seen too little to say.
uint32_t
call_depths_get_own(const call_depths_t *depths)
{
    int64_t now_us = clock_now_us(depths->clock);
    if (depths->traceable_since_us == 0 ||
        now_us - depths->traceable_since_us < LEARN_TIME_US)
    {
        return CALL_DEPTH_UNDETERMINED;
    }
    uint32_t own = 0;
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, depths->services);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const service_depth_t *entry = pointer;
        if (entry->called_us != 0 && now_us - entry->called_us < CALL_LIFE_US)
        {
            own = MAX(own, 1 + (entry->is_reported ? entry->depth
                                                   : CALL_DEPTH_DEFAULT - 1));
        }
    }
    return MIN(own, CALL_DEPTH_MAX);
}
