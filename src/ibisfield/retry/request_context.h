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
    int32_t worth;       ///< of the root request
    int64_t deadline_us; ///< absolute, own clock
    uint32_t units;      ///< extra attempts still to spend
    uint32_t pressure;   ///< highest that a call reported, in thousandths
    uint32_t cost;       ///< sum of what the calls reported
    uint32_t repeats;    ///< highest share that a call reported
    bool is_repeat;      ///< so its calls are repeats as well
} retry_account_t;

/// What the answer to a call reported of its way.
typedef struct {
    uint32_t pressure; ///< highest, in thousandths
    uint32_t cost;     ///< see pressure_cost()
    uint32_t repeats;  ///< highest share, for each thousand first arrivals
} call_report_t;

typedef struct {
    uint64_t id; ///< random, or given by the opener; key of the index
    uint64_t handle;
    retry_account_t account;
} retry_account_slot_t;

typedef struct {
    slot_table_t slots;
    retry_account_slot_t *accounts;
    GHashTable *index; ///< id to retry_account_slot_t
    GRand *random;
} retry_accounts_t;

void retry_accounts_init(retry_accounts_t *accounts, uint32_t max_accounts,
                         uint32_t seed);
void retry_accounts_finish(retry_accounts_t *accounts);
uint64_t retry_accounts_open(retry_accounts_t *accounts,
                             const retry_account_t *account);
uint64_t retry_accounts_open_as(retry_accounts_t *accounts, uint64_t id,
                                const retry_account_t *account);
uint32_t retry_accounts_close(retry_accounts_t *accounts, uint64_t id);
const retry_account_t *retry_accounts_find(const retry_accounts_t *accounts,
                                           uint64_t id);
uint32_t retry_accounts_take(retry_accounts_t *accounts, uint64_t id,
                             uint32_t wanted);
void retry_accounts_note_call(retry_accounts_t *accounts, uint64_t id,
                              const call_report_t *report);
void retry_accounts_give_back(retry_accounts_t *accounts, uint64_t id,
                              uint32_t units);

#endif
