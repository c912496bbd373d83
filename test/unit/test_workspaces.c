/// @file
/// Workspaces: look-up by access key, ranks, and their fields in a contract.

#include <string.h>

#include "ibisfield/contract/contract.h"
#include "ibisfield/workspace/workspaces.h"

#include "common/suite.h"

static workspaces_t workspaces;

static void
add(const char *customer, const char *name, const char *key)
{
    workspace_t workspace = {.name = g_strdup(name)};
    CU_ASSERT_TRUE(workspace_add_key(&workspace, slice_from_string(key)));
    workspaces_put(&workspaces, customer, &workspace, 1);
    workspace_finish(&workspace);
}

static const char *
holder(const char *customer, const char *key)
{
    const workspace_entry_t *found =
        workspaces_find_key(&workspaces, customer, slice_from_string(key));
    return found == NULL ? "" : found->workspace.name;
}

/// Guards against a key that opens a workspace of another customer, and
/// against keys that are still accepted after they were taken away.
static void
test_keys_hold_in_their_scope(void)
{
    workspaces_init(&workspaces);
    CU_ASSERT_FALSE(workspaces_in_force(&workspaces, "c1"));
    add("c1", "a", "k1");
    add("c2", "b", "k1");
    CU_ASSERT_STRING_EQUAL(holder("c1", "k1"), "a");
    CU_ASSERT_STRING_EQUAL(holder("c2", "k1"), "b");
    CU_ASSERT_STRING_EQUAL(holder("c3", "k1"), "");
    CU_ASSERT_STRING_EQUAL(holder("c1", "k"), "");
    CU_ASSERT_STRING_EQUAL(holder("c1", ""), "");
    CU_ASSERT_FALSE(workspaces_in_force(&workspaces, "c3"));
    workspaces_clear(&workspaces);
    CU_ASSERT_STRING_EQUAL(holder("c1", "k1"), "");
    add("", "all", "k2");
    CU_ASSERT_STRING_EQUAL(holder("c3", "k2"), "all");
    CU_ASSERT_TRUE(workspaces_in_force(&workspaces, "c3"));
    workspaces_finish(&workspaces);
}

/// Guards against a request of a worse rank that is preferred for the worth
/// of its kind, and against ranks that hide the order of kinds.
static void
test_rank_goes_before_the_worth_of_the_kind(void)
{
    const int32_t kinds[] = {100, 50, 33};
    for (int32_t rank = 0; rank <= WORKSPACE_RANK_MAX; rank++) {
        for (int i = 0; i < 3; i++) {
            int32_t worth = workspace_worth(rank, kinds[i]);
            CU_ASSERT_EQUAL(workspace_rank_of(worth), rank);
            CU_ASSERT_TRUE(i == 0 ||
                           worth < workspace_worth(rank, kinds[i - 1]));
        }
        CU_ASSERT_TRUE(rank == 0 || workspace_worth(rank, 100) <
                                        workspace_worth(rank - 1, 1));
    }
    CU_ASSERT_EQUAL(workspace_kind_worth(workspace_worth(1, 100)), 100);
}

#define CONTRACT(workspaces)                                                  \
    "{\"customer\":\"c\",\"retries\":1,\"client_retry_percent\":10,"          \
    "\"kinds\":[{\"name\":\"k\",\"service\":\"s\",\"method\":\"GET\","        \
    "\"path\":\"/\",\"worth\":5,\"deadline_ms\":100,"                         \
    "\"run\":\"repeatable\",\"anonymous\":true}],\"workspaces\":[" workspaces \
    "]}"
#define WORKSPACE(name, key)                                                  \
    "{\"name\":\"" name "\",\"access_keys\":[" key "]}"

/// Parses a contract that has to be refused. Returns its problems.
static char *
problems_of(const char *text)
{
    contract_t contract;
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    CU_ASSERT_FALSE(
        contract_parse(&contract, "file", slice_from_string(text), problems));
    g_ptr_array_add(problems, NULL);
    char *joined = g_strjoinv("; ", (char **)problems->pdata);
    g_ptr_array_unref(problems);
    return joined;
}

/// Guards against fields that are read wrongly, contradictions that are
/// accepted, and messages that contain a key.
static void
test_contract_fields(void)
{
    contract_t contract;
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    CU_ASSERT_TRUE_FATAL(contract_parse(
        &contract, "file",
        slice_from_string(CONTRACT(
            "{\"name\":\"a\",\"access_keys\":[\"k1\",\"k2\"],\"rank\":2,"
            "\"rate_per_s\":7.5,\"burst\":3}")),
        problems));
    CU_ASSERT_EQUAL_FATAL(contract.workspace_count, 1);
    CU_ASSERT_EQUAL(contract.workspaces[0].rank, 2);
    CU_ASSERT_EQUAL(contract.workspaces[0].rate_per_s, 7.5);
    CU_ASSERT_EQUAL(contract.workspaces[0].keys->len, 2);
    CU_ASSERT_TRUE(contract.kinds[0].anonymous);
    contract_finish(&contract);
    g_ptr_array_unref(problems);
    static const struct {
        const char *text;
        const char *problem;
    } refused[] = {
        {CONTRACT(
             WORKSPACE("a", "\"secret\"") "," WORKSPACE("b", "\"secret\"")),
         "each key in one workspace"},
        {CONTRACT(WORKSPACE("a", "\"k1\"") "," WORKSPACE("a", "\"k2\"")),
         "a second workspace"},
        {CONTRACT(WORKSPACE("a", "\"secret \\u0007\"")), "key 0 is invalid"},
        {CONTRACT(WORKSPACE("a", "\"\"")), "key 0 is invalid"},
        {CONTRACT("{\"name\":\"a\"}"), "access_keys"},
        {CONTRACT("{\"name\":\"a\",\"access_keys\":[],\"rate_per_s\":-1}"),
         "rate_per_s"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(refused); i++) {
        char *found = problems_of(refused[i].text);
        CU_ASSERT_PTR_NOT_NULL(strstr(found, refused[i].problem));
        CU_ASSERT_PTR_NULL(strstr(found, "secret"));
        g_free(found);
    }
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"keys", test_keys_hold_in_their_scope},
        {"ranks", test_rank_goes_before_the_worth_of_the_kind},
        {"contract fields", test_contract_fields},
        CU_TEST_INFO_NULL,
    };
    return run_suite("workspaces", tests);
}
