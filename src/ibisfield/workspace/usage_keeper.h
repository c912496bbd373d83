#ifndef IBISFIELD_WORKSPACE_USAGE_KEEPER_H
#define IBISFIELD_WORKSPACE_USAGE_KEEPER_H

#include "ibisfield/base/clock.h"
#include "ibisfield/workspace/usage_defs.h"
#include "ibisfield/workspace/workspaces.h"

/// A cap that begins or ceases to bind.
typedef struct {
    const workspace_t *workspace;
    bool binding;
    double demand_per_s;   ///< offered by callers
    double admitted_per_s; ///< given out by this keeper
    uint32_t nodes;        ///< that report to it
} usage_cap_change_t;

typedef void (*usage_cap_changed_t)(void *context,
                                    const usage_cap_change_t *change);

/// Divides the usage caps among the nodes that report to it.
typedef struct {
    const clock_source_t *clock;
    GHashTable *reporters;  ///< id to their last report
    GHashTable *workspaces; ///< id to what was used
    bool reports_above;
    usage_cap_changed_t cap_changed;
    void *context;
    GArray *unreported;   ///< usage_count_t, for a keeper above this one
    GArray *shares;       ///< usage_share_t, as last computed here
    int64_t shares_us;    ///< time of the computation; 0: none
    GArray *shares_above; ///< usage_share_t, of that keeper
    int64_t above_us;     ///< time of these shares; 0: none
} usage_keeper_t;

/// A report, with the number of nodes that it stands for.
typedef struct {
    uint64_t reporter;
    uint32_t weight;
    uint32_t refused_permille; ///< of the requests, for want of room
    const GArray *counts;      ///< usage_count_t
} usage_report_t;

/// Fleet and caps by which a keeper decides.
typedef struct {
    const workspaces_t *workspaces;
    uint32_t nodes; ///< of the whole fleet
    /// Beyond each cap, of what the operators tolerate: a fraction of the
    /// rate, and requests per second.
    double tolerated_ratio;
    double tolerated_per_s;
} usage_caps_t;

void usage_keeper_init(usage_keeper_t *keeper, const clock_source_t *clock,
                       bool reports_above, usage_cap_changed_t cap_changed,
                       void *context);
void usage_keeper_finish(usage_keeper_t *keeper);
void usage_keeper_report(usage_keeper_t *keeper, const usage_caps_t *caps,
                         const usage_report_t *report, GArray *shares);
uint32_t usage_keeper_weight(usage_keeper_t *keeper);
uint32_t usage_keeper_refused_permille(const usage_keeper_t *keeper);
void usage_keeper_take_counts(usage_keeper_t *keeper, GArray *counts);
void usage_keeper_restore_counts(usage_keeper_t *keeper, const GArray *counts);
void usage_keeper_apply_shares(usage_keeper_t *keeper, const GArray *shares);

#endif
