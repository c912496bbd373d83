#ifndef IBISFIELD_CALL_ENTRY_ATTEMPTS_H
#define IBISFIELD_CALL_ENTRY_ATTEMPTS_H

#include "ibisfield/call/entry.h"

/// A refusal of a call, before or after its attempts.
typedef struct {
    reason_t reason;
    outcome_t outcome;
    int32_t retry_after_ms; ///< 0: chosen by the entry if a client retry may
                            ///< succeed
} entry_refusal_t;

void entry_return_usage(entry_t *entry, uint64_t workspace_id);
serving_end_verdict_t entry_check_end(const entry_t *entry, uint64_t kind_hash,
                                      int64_t deadline_us);
entry_call_t *entry_find_call(entry_t *entry, call_handle_t handle);
int32_t entry_retry_after_ms(entry_t *entry, reason_t reason,
                             outcome_t outcome);
void entry_count_outcome(outcome_t outcome);
void entry_end_call(entry_t *entry, entry_call_t *call);
void entry_refuse_call(entry_t *entry, entry_call_t *call, reason_t reason,
                       outcome_t outcome);
void entry_start_call(entry_t *entry, entry_call_t *call);
uint32_t entry_grant_tokens(entry_t *entry, entry_call_t *call);
void entry_tick_call(entry_t *entry, entry_call_t *call, int64_t now_us);

#endif
