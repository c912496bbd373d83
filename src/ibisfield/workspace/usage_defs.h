#ifndef IBISFIELD_WORKSPACE_USAGE_DEFS_H
#define IBISFIELD_WORKSPACE_USAGE_DEFS_H

#include <stdint.h>

/// Requests of one workspace since the report before.
typedef struct {
    uint64_t workspace; ///< id, see workspace_entry_t
    uint32_t offered;   ///< by callers
    int32_t spent;      ///< admitted, less those that turned out not to run
} usage_count_t;

/// What holds for the requests of one workspace.
typedef struct {
    uint64_t workspace;
    uint32_t permille; ///< part that may be admitted inside the usage cap
    /// While a service is scarce: factor on the part of its requests that is
    /// refused, in thousandths. 0 for a workspace that asks for less than its
    /// fair share.
    uint32_t refusal_factor;
} usage_share_t;

#define USAGE_ADMIT_ALL 1000
#define USAGE_REFUSAL_MEAN 1000
#define USAGE_REFUSAL_MAX 4000

#endif
