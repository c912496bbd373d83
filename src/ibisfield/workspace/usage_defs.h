#ifndef IBISFIELD_WORKSPACE_USAGE_DEFS_H
#define IBISFIELD_WORKSPACE_USAGE_DEFS_H

#include <stdint.h>

/// Requests of one workspace since the report before.
typedef struct {
    uint64_t workspace; ///< id, see workspace_entry_t
    uint32_t offered;   ///< by callers
    int32_t spent;      ///< admitted, less those that turned out not to run
} usage_count_t;

/// Part of the requests of one workspace that may be admitted.
typedef struct {
    uint64_t workspace;
    uint32_t permille; ///< below USAGE_ADMIT_ALL
} usage_share_t;

#define USAGE_ADMIT_ALL 1000

#endif
