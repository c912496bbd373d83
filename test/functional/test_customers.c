/// @file
/// Look-up of the contracts in force by customer and by host.

#include "ibisfield/io/customers.h"

#include "common/suite.h"

static void
set_contract(customers_t *customers, const char *customer)
{
    char *text = g_strdup_printf(
        "{\"customer\":\"%s\",\"hosts\":[\"shared.example\"],\"retries\":0,"
        "\"client_retry_percent\":0,\"kinds\":[{\"name\":\"k\",\"service\":"
        "\"s\",\"method\":\"GET\",\"path\":\"/\",\"worth\":1,"
        "\"deadline_ms\":100,\"run\":\"repeatable\"}]}",
        customer);
    CU_ASSERT_TRUE(
        customers_set(customers, customer, slice_from_string(text)));
    g_free(text);
}

static const char *
shared_host_customer(const customers_t *customers)
{
    const contract_t *contract =
        customers_find_host(customers, SLICE_LITERAL("Shared.example:8080"));
    return contract == NULL ? "none" : contract->customer;
}

/// Guards against nodes that assign a shared host to different customers
/// because the contracts arrived in different orders.
static void
test_shared_host_does_not_depend_on_order(void)
{
    static const char *const names[] = {"d", "b", "a", "c", "e"};
    for (size_t first = 0; first < G_N_ELEMENTS(names); first++) {
        customers_t customers;
        customers_init(&customers);
        for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
            set_contract(&customers, names[(first + i) % G_N_ELEMENTS(names)]);
        }
        CU_ASSERT_STRING_EQUAL(shared_host_customer(&customers), "a");
        customers_remove(&customers, "a");
        CU_ASSERT_STRING_EQUAL(shared_host_customer(&customers), "b");
        customers_finish(&customers);
    }
}

/// Guards against an invalid contract that removes the one in force.
static void
test_invalid_contract_leaves_the_previous_one(void)
{
    customers_t customers;
    customers_init(&customers);
    set_contract(&customers, "a");
    CU_ASSERT_FALSE(
        customers_set(&customers, "a", SLICE_LITERAL("{\"customer\":1}")));
    CU_ASSERT_STRING_EQUAL(shared_host_customer(&customers), "a");
    CU_ASSERT_PTR_NOT_NULL(customers_find(&customers, SLICE_LITERAL("a")));
    customers_finish(&customers);
}

/// Guards against a contract in force whose long host is never found.
static void
test_long_host(void)
{
    customers_t customers;
    customers_init(&customers);
    char *host = g_strnfill(253, 'h');
    char *text = g_strdup_printf(
        "{\"customer\":\"a\",\"hosts\":[\"%s\"],\"retries\":0,"
        "\"client_retry_percent\":0,\"kinds\":[{\"name\":\"k\",\"service\":"
        "\"s\",\"method\":\"GET\",\"path\":\"/\",\"worth\":1,"
        "\"deadline_ms\":100,\"run\":\"repeatable\"}]}",
        host);
    CU_ASSERT_TRUE(customers_set(&customers, "a", slice_from_string(text)));
    char *with_port = g_strconcat(host, ":8080", NULL);
    CU_ASSERT_PTR_NOT_NULL(
        customers_find_host(&customers, slice_from_string(with_port)));
    CU_ASSERT_PTR_NULL(
        customers_find_host(&customers, slice_from_string(host + 1)));
    g_free(with_port);
    g_free(text);
    g_free(host);
    customers_finish(&customers);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"shared host", test_shared_host_does_not_depend_on_order},
        {"invalid contract", test_invalid_contract_leaves_the_previous_one},
        {"long host", test_long_host},
        CU_TEST_INFO_NULL,
    };
    return run_suite("customers", tests);
}
