/// @file
/// Account of the bytes that a node holds for others, against one limit.

#include "ibisfield/base/byte_account.h"

/// Above this part of the limit the account is scarce: what holds much and
/// progresses least gives way, and large requests don't start.
#define SCARCE_NUMERATOR 7
#define SCARCE_DENOMINATOR 8

/// Initialises an empty account.
///
/// @param limit  in bytes; 0: not limited
void
byte_account_init(byte_account_t *account, size_t limit)
{
    *account = (byte_account_t){.limit = limit};
}

/// Records that a holder has @p after bytes instead of @p before. NULL: there
/// is no account.
void
byte_account_change(byte_account_t *account, size_t before, size_t after)
{
    if (account == NULL) {
        return;
    }
    account->held += after - before;
    if (account->held > account->peak) {
        account->peak = account->held;
    }
}

bool
byte_account_is_scarce(const byte_account_t *account)
{
    return account != NULL && account->limit > 0 &&
           account->held >
               account->limit / SCARCE_DENOMINATOR * SCARCE_NUMERATOR;
}

bool
byte_account_is_exceeded(const byte_account_t *account)
{
    return account != NULL && account->limit > 0 &&
           account->held > account->limit;
}

/// Sets what byte_account_relieve() calls.
void
byte_account_set_relief(byte_account_t *account,
                        void (*relieve)(void *context), void *context)
{
    account->relieve = relieve;
    account->relieve_context = context;
}

/// Frees memory of holders if the limit is exceeded. Holders, the caller among
/// them, may be closed, so it is called only at the start of an event, before
/// more is read. NULL: there is no account.
void
byte_account_relieve(const byte_account_t *account)
{
    if (byte_account_is_exceeded(account) && account->relieve != NULL) {
        account->relieve(account->relieve_context);
    }
}
