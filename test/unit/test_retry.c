/// @file
/// Request contexts with their retry tokens, and the budget for client
/// retries.

#include "ibisfield/retry/client_retry_budget.h"
#include "ibisfield/retry/request_context.h"

#include "common/suite.h"

/// Guards against retry tokens that are copied: taken tokens aren't available
/// until they are returned, and a removed context neither provides nor accepts
/// tokens.
static void
test_tokens_are_conserved(void)
{
    request_contexts_t contexts;
    request_contexts_init(&contexts, 2, 1);
    request_context_t context = {
        .customer = "c", .worth = 7, .retry_tokens = 3};
    uint64_t id = request_contexts_add(&contexts, &context);
    CU_ASSERT_NOT_EQUAL(id, 0);
    CU_ASSERT_EQUAL(request_contexts_take_tokens(&contexts, id, 2), 2);
    CU_ASSERT_EQUAL(request_contexts_take_tokens(&contexts, id, 2), 1);
    CU_ASSERT_EQUAL(request_contexts_take_tokens(&contexts, id, 2), 0);
    request_contexts_return_tokens(&contexts, id, 1);
    CU_ASSERT_EQUAL(request_contexts_find(&contexts, id)->retry_tokens, 1);
    CU_ASSERT_EQUAL(request_contexts_remove(&contexts, id), 1);
    CU_ASSERT_EQUAL(request_contexts_remove(&contexts, id), 0);
    request_contexts_return_tokens(&contexts, id, 1);
    CU_ASSERT_EQUAL(request_contexts_take_tokens(&contexts, id, 1), 0);
    CU_ASSERT_PTR_NULL(request_contexts_find(&contexts, id));
    request_contexts_finish(&contexts);
}

/// Guards against the id of a removed context that finds the next context in
/// the same slot, and against more contexts than the capacity of the table.
static void
test_ids_are_not_reused(void)
{
    request_contexts_t contexts;
    request_contexts_init(&contexts, 2, 1);
    request_context_t context = {.retry_tokens = 1};
    uint64_t first = request_contexts_add(&contexts, &context);
    uint64_t second = request_contexts_add(&contexts, &context);
    CU_ASSERT_EQUAL(request_contexts_add(&contexts, &context), 0);
    request_contexts_remove(&contexts, first);
    uint64_t third = request_contexts_add(&contexts, &context);
    CU_ASSERT_NOT_EQUAL(third, 0);
    CU_ASSERT_PTR_NULL(request_contexts_find(&contexts, first));
    CU_ASSERT_PTR_NOT_NULL(request_contexts_find(&contexts, second));
    CU_ASSERT_PTR_NULL(request_contexts_find(&contexts, 0));
    request_contexts_finish(&contexts);
}

static bool
admit(client_retry_budget_t *budget, uint32_t source)
{
    return client_retry_budget_admit(budget, SLICE_LITERAL("c"),
                                     SLICE_LITERAL("k"), source, 10);
}

/// Guards against unlimited client retries of refused requests: the admitted
/// ones are a fixed number plus the contract's percentage of first requests.
static void
test_client_retries_are_bounded(void)
{
    manual_clock_t manual;
    manual_clock_init(&manual, US_PER_S);
    client_retry_budget_t budget;
    client_retry_budget_init(&budget, &manual.base);
    client_retry_budget_add_refusal(&budget, SLICE_LITERAL("c"),
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
        {"tokens are conserved", test_tokens_are_conserved},
        {"ids are not reused", test_ids_are_not_reused},
        {"client retries", test_client_retries_are_bounded},
        CU_TEST_INFO_NULL,
    };
    return run_suite("retry", tests);
}
