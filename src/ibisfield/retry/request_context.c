/// @file
/// Accounts of the requests that run at this VM's upstream. Units are moved
/// between calls and accounts and never copied, so all attempts made for one
/// caller request share one budget.

#include "ibisfield/retry/request_context.h"

/// Initialises a table of at most @p max_accounts. @p seed makes the ids
/// unpredictable for other requests of the same upstream.
void
request_contexts_init(request_contexts_t *contexts, uint32_t max_accounts,
                      uint32_t seed)
{
    slot_table_init(&contexts->slots, max_accounts);
    contexts->contexts = g_new0(request_context_slot_t, max_accounts);
    contexts->index = g_hash_table_new(g_int64_hash, g_int64_equal);
    contexts->random = g_rand_new_with_seed(seed);
}

/// Frees the table.
void
request_contexts_finish(request_contexts_t *contexts)
{
    g_hash_table_destroy(contexts->index);
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
draw_id(request_contexts_t *contexts)
{
    uint64_t id = 0;
    while (id == 0 || find_slot(contexts, id) != NULL) {
        id = ((uint64_t)g_rand_int(contexts->random) << 32) |
             g_rand_int(contexts->random);
    }
    return id;
}

/// Opens an account. Returns its random id, 0 if the table is full.
uint64_t
request_contexts_add(request_contexts_t *contexts,
                     const request_context_t *account)
{
    return request_contexts_add_with_id(contexts, draw_id(contexts), account);
}

/// Opens an account under an id that the request's own calls can be told by.
/// Returns it, 0 if it is in use or the table is full.
uint64_t
request_contexts_add_with_id(request_contexts_t *contexts, uint64_t id,
                             const request_context_t *account)
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
    slot->context = *account;
    g_hash_table_insert(contexts->index, &slot->id, slot);
    return slot->id;
}

/// Closes an account and returns the units left. Units that come back later
/// are lost.
uint32_t
request_contexts_remove(request_contexts_t *contexts, uint64_t id)
{
    request_context_slot_t *slot = find_slot(contexts, id);
    if (slot == NULL) {
        return 0;
    }
    g_hash_table_remove(contexts->index, &id);
    slot_table_release(&contexts->slots, slot->handle);
    return slot->context.retry_tokens;
}

/// Returns the account, NULL if the id names no open one.
const request_context_t *
request_contexts_find(const request_contexts_t *contexts, uint64_t id)
{
    const request_context_slot_t *slot = find_slot(contexts, id);
    return slot == NULL ? NULL : &slot->context;
}

/// Takes at most @p wanted units. Returns how many were taken.
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

/// Returns units that were taken earlier; they are lost if the account has
/// been closed.
void
request_contexts_return_tokens(request_contexts_t *contexts, uint64_t id,
                               uint32_t units)
{
    request_context_slot_t *slot = find_slot(contexts, id);
    if (slot != NULL) {
        slot->context.retry_tokens += units;
    }
}

/// A call of the request was answered.
void
request_contexts_record_call(request_contexts_t *contexts, uint64_t id,
                             const call_report_t *report)
{
    request_context_slot_t *slot = find_slot(contexts, id);
    if (slot != NULL) {
        request_context_t *account = &slot->context;
        account->pressure = MAX(account->pressure, report->pressure);
        account->retry_permille =
            MAX(account->retry_permille, report->retry_permille);
        account->cost += MIN(report->cost, UINT32_MAX - account->cost);
    }
}
