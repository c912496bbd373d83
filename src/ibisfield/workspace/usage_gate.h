#ifndef IBISFIELD_WORKSPACE_USAGE_GATE_H
#define IBISFIELD_WORKSPACE_USAGE_GATE_H

#include <stdbool.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/workspace/usage_defs.h"
#include "ibisfield/workspace/workspaces.h"

/// Admits requests of workspaces inside their usage caps at one node, and
/// counts them for the keeper.
typedef struct {
    const clock_source_t *clock;
    GHashTable *entries; ///< workspace id to its state here
    uint32_t nodes;      ///< of the fleet
    int64_t report_interval_us;
    bool has_surge;     ///< since the last report
    int64_t replied_us; ///< last shares from a keeper; 0: never
    GRand *random;
} usage_gate_t;

void usage_gate_init(usage_gate_t *gate, const clock_source_t *clock,
                     uint32_t seed);
void usage_gate_finish(usage_gate_t *gate);
void usage_gate_set_nodes(usage_gate_t *gate, uint32_t nodes,
                          int64_t report_interval_us);
bool usage_gate_admit(usage_gate_t *gate, const workspace_entry_t *workspace);
void usage_gate_return(usage_gate_t *gate, uint64_t workspace);
int32_t usage_gate_retry_after_ms(usage_gate_t *gate, uint64_t workspace);
double usage_gate_refusal_factor(const usage_gate_t *gate, uint64_t workspace);
uint32_t usage_gate_permille(const usage_gate_t *gate, uint64_t workspace);
bool usage_gate_is_informed(const usage_gate_t *gate);
bool usage_gate_has_surge(const usage_gate_t *gate);
bool usage_gate_has_counts(const usage_gate_t *gate);
void usage_gate_take_counts(usage_gate_t *gate, GArray *counts);
void usage_gate_restore_counts(usage_gate_t *gate, const GArray *counts);
void usage_gate_apply_shares(usage_gate_t *gate, const GArray *shares);
void usage_gate_retain(usage_gate_t *gate, const workspaces_t *workspaces);

#endif
