#ifndef IBISFIELD_RETRY_REQUEST_CONTEXT_H
#define IBISFIELD_RETRY_REQUEST_CONTEXT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/slice.h"
#include "ibisfield/base/slot_table.h"

/// State of a request that runs at this VM's upstream, which applies to the
/// calls that the upstream makes for it.
typedef struct {
    char *customer;          ///< name
    int32_t worth;           ///< of the root request
    int64_t deadline_us;     ///< absolute, on this node's clock
    uint32_t retry_tokens;   ///< retries that are left
    uint32_t pressure;       ///< highest that a call reported, in thousandths
    uint32_t cost;           ///< sum over the calls; see pressure_cost()
    uint32_t retry_permille; ///< highest that a call reported
    bool is_retry;           ///< its calls then count as retries as well
    uint32_t kind;           ///< index at this node's admission
    uint32_t calls_made;     ///< by the upstream for the request, so far
    uint32_t calls_expected; ///< that a request of its kind makes
    uint32_t calls_above;    ///< calls that the root request still needs when
                             ///< this request has ended
    bool call_failed;
} request_context_t;

/// What the response to a call reported about its call chain.
typedef struct {
    uint32_t pressure;       ///< highest in the chain, in thousandths
    uint32_t cost;           ///< see pressure_cost()
    uint32_t retry_permille; ///< highest in the chain; see
                             ///< retry_ratio_permille()
} call_report_t;

/// A slot of the table of contexts.
typedef struct {
    uint64_t id; ///< random or given to request_contexts_add_with_id(); key
                 ///< of the index
    uint64_t handle; ///< of the slot
    request_context_t context;
} request_context_slot_t;

/// Table of request contexts.
typedef struct {
    slot_table_t slots;
    request_context_slot_t *contexts;
    GHashTable *index;     ///< id to request_context_slot_t
    GArray *calls_by_kind; ///< of double: mean number of calls of the requests
                           ///< whose calls all ended well
    GRand *random;
} request_contexts_t;

void request_contexts_init(request_contexts_t *contexts, uint32_t max_contexts,
                           uint32_t seed);
void request_contexts_finish(request_contexts_t *contexts);
uint64_t request_contexts_add(request_contexts_t *contexts,
                              const request_context_t *context);
uint64_t request_contexts_add_with_id(request_contexts_t *contexts,
                                      uint64_t id,
                                      const request_context_t *context);
uint32_t request_contexts_remove(request_contexts_t *contexts, uint64_t id);
const request_context_t *
request_contexts_find(const request_contexts_t *contexts, uint64_t id);
uint32_t request_contexts_take_tokens(request_contexts_t *contexts,
                                      uint64_t id, uint32_t wanted);
void request_contexts_record_call(request_contexts_t *contexts, uint64_t id,
                                  const call_report_t *report);
uint32_t request_contexts_begin_call(request_contexts_t *contexts,
                                     uint64_t id);
void request_contexts_end_call(request_contexts_t *contexts, uint64_t id,
                               bool succeeded);
void request_contexts_return_tokens(request_contexts_t *contexts, uint64_t id,
                                    uint32_t tokens);

#endif
