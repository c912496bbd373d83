/// @file
/// Accounts of the requests that run at this VM's upstream. Units are moved
/// between calls and accounts and never copied, so all attempts made for one
/// caller request share one budget.

#include "ibisfield/retry/request_context.h"

/// Initialises a table of at most @p max_accounts. @p seed makes the ids
/// unpredictable for other requests of the same upstream.
void
retry_accounts_init(retry_accounts_t *accounts, uint32_t max_accounts,
                    uint32_t seed)
{
    slot_table_init(&accounts->slots, max_accounts);
    accounts->accounts = g_new0(retry_account_slot_t, max_accounts);
    accounts->index = g_hash_table_new(g_int64_hash, g_int64_equal);
    accounts->random = g_rand_new_with_seed(seed);
}

/// Frees the table.
void
retry_accounts_finish(retry_accounts_t *accounts)
{
    g_hash_table_destroy(accounts->index);
    g_rand_free(accounts->random);
    g_free(accounts->accounts);
    slot_table_finish(&accounts->slots);
}

static retry_account_slot_t *
find_slot(const retry_accounts_t *accounts, uint64_t id)
{
    return g_hash_table_lookup(accounts->index, &id);
}

static uint64_t
draw_id(retry_accounts_t *accounts)
{
    uint64_t id = 0;
    while (id == 0 || find_slot(accounts, id) != NULL) {
        id = ((uint64_t)g_rand_int(accounts->random) << 32) |
             g_rand_int(accounts->random);
    }
    return id;
}

/// Opens an account. Returns its random id, 0 if the table is full.
uint64_t
retry_accounts_open(retry_accounts_t *accounts, const retry_account_t *account)
{
    return retry_accounts_open_as(accounts, draw_id(accounts), account);
}

/// Opens an account under an id that the request's own calls can be told by.
/// Returns it, 0 if it is in use or the table is full.
uint64_t
retry_accounts_open_as(retry_accounts_t *accounts, uint64_t id,
                       const retry_account_t *account)
{
    uint64_t handle = find_slot(accounts, id) == NULL
                          ? slot_table_take(&accounts->slots)
                          : 0;
    if (handle == 0) {
        return 0;
    }
    retry_account_slot_t *slot =
        &accounts->accounts[slot_table_find(&accounts->slots, handle)];
    slot->id = id;
    slot->handle = handle;
    slot->account = *account;
    g_hash_table_insert(accounts->index, &slot->id, slot);
    return slot->id;
}

/// Closes an account and returns the units left. Units that come back later
/// are lost.
uint32_t
retry_accounts_close(retry_accounts_t *accounts, uint64_t id)
{
    retry_account_slot_t *slot = find_slot(accounts, id);
    if (slot == NULL) {
        return 0;
    }
    g_hash_table_remove(accounts->index, &id);
    slot_table_release(&accounts->slots, slot->handle);
    return slot->account.units;
}

/// Returns the account, NULL if the id names no open one.
const retry_account_t *
retry_accounts_find(const retry_accounts_t *accounts, uint64_t id)
{
    const retry_account_slot_t *slot = find_slot(accounts, id);
    return slot == NULL ? NULL : &slot->account;
}

/// Takes at most @p wanted units. Returns how many were taken.
uint32_t
retry_accounts_take(retry_accounts_t *accounts, uint64_t id, uint32_t wanted)
{
    retry_account_slot_t *slot = find_slot(accounts, id);
    if (slot == NULL) {
        return 0;
    }
    uint32_t taken = MIN(wanted, slot->account.units);
    slot->account.units -= taken;
    return taken;
}

/// Returns units that were taken earlier; they are lost if the account has
/// been closed.
void
retry_accounts_give_back(retry_accounts_t *accounts, uint64_t id,
                         uint32_t units)
{
    retry_account_slot_t *slot = find_slot(accounts, id);
    if (slot != NULL) {
        slot->account.units += units;
    }
}

/// A call of the request was answered.
void
retry_accounts_note_call(retry_accounts_t *accounts, uint64_t id,
                         const call_report_t *report)
{
    retry_account_slot_t *slot = find_slot(accounts, id);
    if (slot != NULL) {
        retry_account_t *account = &slot->account;
        account->pressure = MAX(account->pressure, report->pressure);
        account->repeats = MAX(account->repeats, report->repeats);
        account->cost += MIN(report->cost, UINT32_MAX - account->cost);
    }
}
