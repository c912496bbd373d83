#ifndef IBISFIELD_RETRY_REQUEST_CONTEXT_H
#define IBISFIELD_RETRY_REQUEST_CONTEXT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/slice.h"
#include "ibisfield/base/slot_table.h"

/// What a request that runs at this VM's upstream passes on to the calls that
/// the upstream makes for it.
typedef struct {
    char customer[64];
    int32_t worth;           ///< of the root request
    int64_t deadline_us;     ///< absolute, own clock
    uint32_t retry_tokens;   ///< extra attempts still to spend
    uint32_t pressure;       ///< highest that a call reported, in thousandths
    uint32_t cost;           ///< sum of what the calls reported
    uint32_t retry_permille; ///< highest share that a call reported
    bool is_retry;           ///< so its calls are repeats as well
} request_context_t;

/// What the answer to a call reported of its way.
typedef struct {
    uint32_t pressure; ///< highest, in thousandths
    uint32_t cost;     ///< see pressure_cost()
    uint32_t
        retry_permille; ///< highest share, for each thousand first arrivals
} call_report_t;

typedef struct {
    uint64_t id; ///< random, or given by the opener; key of the index
    uint64_t handle;
    request_context_t context;
} request_context_slot_t;

typedef struct {
    slot_table_t slots;
    request_context_slot_t *contexts;
    GHashTable *index; ///< id to request_context_slot_t
    GRand *random;
} request_contexts_t;

void request_contexts_init(request_contexts_t *contexts, uint32_t max_accounts,
                           uint32_t seed);
void request_contexts_finish(request_contexts_t *contexts);
uint64_t request_contexts_add(request_contexts_t *contexts,
                              const request_context_t *account);
uint64_t request_contexts_add_with_id(request_contexts_t *contexts,
                                      uint64_t id,
                                      const request_context_t *account);
uint32_t request_contexts_remove(request_contexts_t *contexts, uint64_t id);
const request_context_t *
request_contexts_find(const request_contexts_t *contexts, uint64_t id);
uint32_t request_contexts_take_tokens(request_contexts_t *contexts,
                                      uint64_t id, uint32_t wanted);
void request_contexts_record_call(request_contexts_t *contexts, uint64_t id,
                                  const call_report_t *report);
void request_contexts_return_tokens(request_contexts_t *contexts, uint64_t id,
                                    uint32_t units);

#endif
