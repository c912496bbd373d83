/// @file
/// Contexts of the requests that run at this VM's upstream. Retry tokens are
/// moved between calls and contexts and never copied, so the retries for one
/// request of a caller are bounded by the tokens that it starts with.

#include "ibisfield/retry/request_context.h"

#include <math.h>

/// Weight of one request in the mean number of calls of its kind.
#define CALLS_WEIGHT 0.1

/// Initialises a table of at most @p max_contexts contexts. @p seed is that of
/// the random ids: one request of the upstream can't predict the id of
/// another.
void
request_contexts_init(request_contexts_t *contexts, uint32_t max_contexts,
                      uint32_t seed)
{
    slot_table_init(&contexts->slots, max_contexts);
    contexts->contexts = g_new0(request_context_slot_t, max_contexts);
    contexts->index = g_hash_table_new(g_int64_hash, g_int64_equal);
    contexts->random = g_rand_new_with_seed(seed);
    contexts->calls_by_kind = g_array_new(FALSE, TRUE, sizeof(double));
}

/// Releases the table.
void
request_contexts_finish(request_contexts_t *contexts)
{
    GHashTableIter iter;
    void *slot = NULL;
    g_hash_table_iter_init(&iter, contexts->index);
    while (g_hash_table_iter_next(&iter, NULL, &slot)) {
        g_free(((request_context_slot_t *)slot)->context.customer);
    }
    g_hash_table_destroy(contexts->index);
    g_array_free(contexts->calls_by_kind, TRUE);
    g_rand_free(contexts->random);
    g_free(contexts->contexts);
    slot_table_finish(&contexts->slots);
}

static request_context_slot_t *
find_slot(const request_contexts_t *contexts, uint64_t id)
{
    return g_hash_table_lookup(contexts->index, &id);
}

static uint64_t
generate_id(request_contexts_t *contexts)
{
    uint64_t id = 0;
    while (id == 0 || find_slot(contexts, id) != NULL) {
        id = ((uint64_t)g_rand_int(contexts->random) << 32) |
             g_rand_int(contexts->random);
    }
    return id;
}

static double *
mean_calls(request_contexts_t *contexts, uint32_t kind)
{
    if (kind >= contexts->calls_by_kind->len) {
        g_array_set_size(contexts->calls_by_kind, kind + 1);
    }
    return &g_array_index(contexts->calls_by_kind, double, kind);
}

/// Learns from a request that has ended how many calls one of its kind makes.
/// A failed call often ends the request, so that the calls behind it are
/// missing.
static void
learn_calls(request_contexts_t *contexts, const request_context_t *context)
{
    double *mean = mean_calls(contexts, context->kind);
    double calls = context->calls_made;
    if (!context->call_failed) {
        *mean += *mean == 0 ? calls : CALLS_WEIGHT * (calls - *mean);
    }
    else if (calls > *mean) {
        *mean = calls;
    }
}

/// Adds a copy of a context under a random id. Returns the id, 0 if the table
/// is full.
uint64_t
request_contexts_add(request_contexts_t *contexts,
                     const request_context_t *context)
{
    return request_contexts_add_with_id(contexts, generate_id(contexts),
                                        context);
}

/// Adds a copy of a context under an id that the upstream's calls for the
/// request will carry. Returns the id, 0 if it is in use or the table is full.
uint64_t
request_contexts_add_with_id(request_contexts_t *contexts, uint64_t id,
                             const request_context_t *context)
{
    uint64_t handle = find_slot(contexts, id) == NULL
                          ? slot_table_acquire(&contexts->slots)
                          : 0;
    if (handle == 0) {
        return 0;
    }
    request_context_slot_t *slot =
        &contexts->contexts[slot_table_find(&contexts->slots, handle)];
    slot->id = id;
    slot->handle = handle;
    slot->context = *context;
    slot->context.customer = g_strdup(context->customer);
    slot->context.calls_expected =
        (uint32_t)lround(*mean_calls(contexts, context->kind));
    g_hash_table_insert(contexts->index, &slot->id, slot);
    return slot->id;
}

/// Removes a context and returns its remaining retry tokens, 0 if the id is
/// unknown. Tokens that are returned later are lost.
uint32_t
request_contexts_remove(request_contexts_t *contexts, uint64_t id)
{
    request_context_slot_t *slot = find_slot(contexts, id);
    if (slot == NULL) {
        return 0;
    }
    learn_calls(contexts, &slot->context);
    g_clear_pointer(&slot->context.customer, g_free);
    g_hash_table_remove(contexts->index, &id);
    slot_table_release(&contexts->slots, slot->handle);
    return slot->context.retry_tokens;
}

/// Returns the context, NULL if the id is unknown.
const request_context_t *
request_contexts_find(const request_contexts_t *contexts, uint64_t id)
{
    const request_context_slot_t *slot = find_slot(contexts, id);
    return slot == NULL ? NULL : &slot->context;
}

/// Takes at most @p wanted retry tokens. Returns how many were taken.
uint32_t
request_contexts_take_tokens(request_contexts_t *contexts, uint64_t id,
                             uint32_t wanted)
{
    request_context_slot_t *slot = find_slot(contexts, id);
    if (slot == NULL) {
        return 0;
    }
    uint32_t taken = MIN(wanted, slot->context.retry_tokens);
    slot->context.retry_tokens -= taken;
    return taken;
}

/// Gives back retry tokens that were taken earlier. They are lost if the
/// context has been removed.
void
request_contexts_return_tokens(request_contexts_t *contexts, uint64_t id,
                               uint32_t tokens)
{
    request_context_slot_t *slot = find_slot(contexts, id);
    if (slot != NULL) {
        slot->context.retry_tokens += tokens;
    }
}

/// Records what the response to a call that the upstream made for the request
/// reported.
void
request_contexts_record_call(request_contexts_t *contexts, uint64_t id,
                             const call_report_t *report)
{
    request_context_slot_t *slot = find_slot(contexts, id);
    if (slot != NULL) {
        request_context_t *context = &slot->context;
        context->pressure = MAX(context->pressure, report->pressure);
        context->retry_permille =
            MAX(context->retry_permille, report->retry_permille);
        context->cost += MIN(report->cost, UINT32_MAX - context->cost);
    }
}

/// Counts a call that the upstream makes for the request. Returns how many
/// calls the root request still needs afterwards, as far as is known.
uint32_t
request_contexts_begin_call(request_contexts_t *contexts, uint64_t id)
{
    request_context_slot_t *slot = find_slot(contexts, id);
    if (slot == NULL) {
        return 0;
    }
    request_context_t *context = &slot->context;
    context->calls_made++;
    uint32_t own = context->calls_expected > context->calls_made
                       ? context->calls_expected - context->calls_made
                       : 0;
    return own + context->calls_above;
}

/// Records how a call that the upstream made for the request has ended.
void
request_contexts_end_call(request_contexts_t *contexts, uint64_t id,
                          bool succeeded)
{
    request_context_slot_t *slot = find_slot(contexts, id);
    if (slot != NULL) {
        slot->context.call_failed |= !succeeded;
    }
}
