/// @file
/// Retry accounts and the budget of clients' own retries.

#include "ibisfield/retry/client_retry_budget.h"
#include "ibisfield/retry/request_context.h"

#include "common/suite.h"

/// Guards against units that are copied: what is taken is gone until it is
/// given back, and a closed account gives and takes nothing.
static void
test_units_are_conserved(void)
{
    retry_accounts_t accounts;
    retry_accounts_init(&accounts, 2, 1);
    retry_account_t account = {.customer = "c", .worth = 7, .units = 3};
    uint64_t id = retry_accounts_open(&accounts, &account);
    CU_ASSERT_NOT_EQUAL(id, 0);
    CU_ASSERT_EQUAL(retry_accounts_take(&accounts, id, 2), 2);
    CU_ASSERT_EQUAL(retry_accounts_take(&accounts, id, 2), 1);
    CU_ASSERT_EQUAL(retry_accounts_take(&accounts, id, 2), 0);
    retry_accounts_give_back(&accounts, id, 1);
    CU_ASSERT_EQUAL(retry_accounts_find(&accounts, id)->units, 1);
    CU_ASSERT_EQUAL(retry_accounts_close(&accounts, id), 1);
    CU_ASSERT_EQUAL(retry_accounts_close(&accounts, id), 0);
    retry_accounts_give_back(&accounts, id, 1);
    CU_ASSERT_EQUAL(retry_accounts_take(&accounts, id, 1), 0);
    CU_ASSERT_PTR_NULL(retry_accounts_find(&accounts, id));
    retry_accounts_finish(&accounts);
}

/// Guards against an id that names the account opened next in its slot, and
/// against accounts beyond the bound.
static void
test_ids_are_not_reused(void)
{
    retry_accounts_t accounts;
    retry_accounts_init(&accounts, 2, 1);
    retry_account_t account = {.units = 1};
    uint64_t first = retry_accounts_open(&accounts, &account);
    uint64_t second = retry_accounts_open(&accounts, &account);
    CU_ASSERT_EQUAL(retry_accounts_open(&accounts, &account), 0);
    retry_accounts_close(&accounts, first);
    uint64_t third = retry_accounts_open(&accounts, &account);
    CU_ASSERT_NOT_EQUAL(third, 0);
    CU_ASSERT_PTR_NULL(retry_accounts_find(&accounts, first));
    CU_ASSERT_PTR_NOT_NULL(retry_accounts_find(&accounts, second));
    CU_ASSERT_PTR_NULL(retry_accounts_find(&accounts, 0));
    retry_accounts_finish(&accounts);
}

static bool
admit(client_retry_budget_t *budget, uint32_t source)
{
    return client_retry_budget_admit(budget, SLICE_LITERAL("c"),
                                     SLICE_LITERAL("k"), source, 10);
}

/// Guards against clients that repeat refused requests without bound: the
/// refused ones are a bounded number plus the contract's share.
static void
test_client_retries_are_bounded(void)
{
    manual_clock_t manual;
    manual_clock_init(&manual, US_PER_S);
    client_retry_budget_t budget;
    client_retry_budget_init(&budget, &manual.base);
    client_retry_budget_refused(&budget, SLICE_LITERAL("c"),
                                SLICE_LITERAL("k"), 5, 1000);
    int admitted = 0;
    for (int i = 0; i < 1000; i++) {
        admitted += admit(&budget, 5);
    }
    CU_ASSERT_EQUAL(admitted, 10);
    CU_ASSERT_TRUE(admit(&budget, 6));
    for (int i = 0; i < 9; i++) {
        CU_ASSERT_FALSE(admit(&budget, 5));
        CU_ASSERT_TRUE(admit(&budget, 6));
    }
    // Ten first requests at 10 percent add one token.
    CU_ASSERT_TRUE(admit(&budget, 5));
    CU_ASSERT_FALSE(admit(&budget, 5));
    manual_clock_advance(&manual, US_PER_S);
    CU_ASSERT_TRUE(admit(&budget, 5));
    client_retry_budget_finish(&budget);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"units are conserved", test_units_are_conserved},
        {"ids are not reused", test_ids_are_not_reused},
        {"client retries", test_client_retries_are_bounded},
        CU_TEST_INFO_NULL,
    };
    return run_suite("retry", tests);
}
