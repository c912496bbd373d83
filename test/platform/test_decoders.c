/// @file
/// Decoders of the platform's desired state and server records, with valid and
/// malformed input.

#include "ibisfield/contract/contract.h"
#include "ibisfield/routing/traffic_split.h"
#include "ibisfield/workspace/workspaces.h"
#include "platform/desired_state.h"
#include "platform/server_record.h"

#include "common/suite.h"

#define SERVICES "\"services\":[{\"name\":\"s1\"},{\"name\":\"s2\"}]"

static desired_state_t state;
static GPtrArray *problems;

static bool
parse(const char *text)
{
    problems = g_ptr_array_new_with_free_func(g_free);
    return desired_state_parse(&state, slice_from_string(text), problems);
}

static void
release(void)
{
    desired_state_finish(&state);
    g_ptr_array_unref(problems);
}

static const kind_t *
match(const char *path)
{
    return contract_match(state.contracts->pdata[0], SLICE_LITERAL("GET"),
                          slice_from_string(path));
}

/// Returns a kind without fields, and fails the test, if none matches.
static const kind_t *
match_one(const char *path)
{
    static const kind_t none = {.name = "", .service = ""};
    const kind_t *kind = match(path);
    CU_ASSERT_PTR_NOT_NULL(kind);
    return kind == NULL ? &none : kind;
}

/// Guards against fields of routes that are decoded into wrong values.
static void
test_desired_state(void)
{
    CU_ASSERT_TRUE_FATAL(parse(
        "{\"version\":7,\"later\":1,\"routes\":["
        "{\"name\":\"r1\",\"host\":\"H.example\",\"prefix\":\"/a/\","
        "\"kind\":\"idempotent\",\"timeout_s\":0.8,\"target_latency_s\":1.5,"
        "\"priority\":0,\"service\":\"s1\",\"max_attempts\":2},"
        "{\"name\":\"r2\",\"host\":\"h.example\",\"prefix\":\"/a/b/\","
        "\"kind\":\"non_idempotent\",\"timeout_s\":5,\"priority\":2,"
        "\"traffic_split\":[{\"service\":\"s1\",\"weight\":9},"
        "{\"service\":\"s2\",\"weight\":1}],\"max_attempts\":3}]," SERVICES
        "}"));
    CU_ASSERT_EQUAL(state.version, 7);
    CU_ASSERT_EQUAL_FATAL(state.contracts->len, 1);
    const kind_t *kind = match_one("/a/x?q=1");
    CU_ASSERT_STRING_EQUAL(kind->name, "r1");
    CU_ASSERT_EQUAL(kind->run, RUN_IDEMPOTENT);
    CU_ASSERT_EQUAL(kind->deadline_ms, 800);
    CU_ASSERT_EQUAL(kind->target_latency_ms, 1500);
    CU_ASSERT_EQUAL(kind->attempts_max, 2);
    const kind_t *longer_prefix = match_one("/a/b/x");
    CU_ASSERT_STRING_EQUAL(longer_prefix->name, "r2");
    CU_ASSERT_EQUAL(longer_prefix->run, RUN_ONCE_UNKEYED);
    CU_ASSERT_EQUAL(longer_prefix->split_target_count, 2);
    CU_ASSERT_TRUE(longer_prefix->worth < kind->worth);
    CU_ASSERT_PTR_NULL(match("/a"));
    CU_ASSERT_PTR_NULL(match("/"));
    release();
}

/// Guards against a malformed desired state that is accepted in part.
static void
test_malformed_desired_states(void)
{
    static const char route[] =
        "{\"version\":%s,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"prefix\":\"%s\",\"kind\":\"%s\",\"timeout_s\":%s,"
        "\"service\":\"%s\",\"max_attempts\":%s}]," SERVICES "}";
    static const char *const cases[][6] = {
        {"0", "/a/", "idempotent", "1", "s1", "1"},
        {"\"x\"", "/a/", "idempotent", "1", "s1", "1"},
        {"1", "a/", "idempotent", "1", "s1", "1"},
        {"1", "/a", "idempotent", "1", "s1", "1"},
        {"1", "/a/", "other", "1", "s1", "1"},
        {"1", "/a/", "idempotent", "-1", "s1", "1"},
        {"1", "/a/", "idempotent", "\"1\"", "s1", "1"},
        {"1", "/a/", "idempotent", "1", "s9", "1"},
        {"1", "/a/", "idempotent", "1", "s1", "0"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const char *const *fields = cases[i];
        char *text = g_strdup_printf(route, fields[0], fields[1], fields[2],
                                     fields[3], fields[4], fields[5]);
        CU_ASSERT_FALSE(parse(text));
        CU_ASSERT_TRUE(problems->len > 0);
        CU_ASSERT_PTR_NULL(state.contracts);
        release();
        g_free(text);
    }
    CU_ASSERT_FALSE(parse("{\"version\":1,\"rou"));
    release();
    CU_ASSERT_FALSE(parse("[]"));
    release();
}

/// Guards against a desired state that is refused because of the length of a
/// name, which the platform's pages don't bound.
static void
test_long_names(void)
{
    char *host = g_strnfill(253, 'h');
    char *name = g_strnfill(300, 'n');
    char *api_key = g_strnfill(4096, 'k');
    char *text = g_strdup_printf(
        "{\"version\":1,\"routes\":[{\"name\":\"%s\",\"host\":\"%s\","
        "\"prefix\":\"/%s/\",\"kind\":\"idempotent\",\"service\":\"%s\"},"
        "{\"name\":\"r\",\"host\":\"%s\",\"prefix\":\"/\","
        "\"kind\":\"idempotent\",\"traffic_split\":[{\"service\":\"%s\","
        "\"weight\":1}]}],\"services\":[{\"name\":\"%s\"}],"
        "\"tenants\":[{\"name\":\"%s\",\"api_keys\":[\"%s\"]}]}",
        name, host, name, name, host, name, name, name, api_key);
    CU_ASSERT_TRUE_FATAL(parse(text));
    const contract_t *contract = state.contracts->pdata[0];
    CU_ASSERT_STRING_EQUAL(contract->customer, host);
    CU_ASSERT_TRUE(contract_has_host(contract, slice_from_string(host)));
    char *path = g_strdup_printf("/%s/x", name);
    const kind_t *kind = match_one(path);
    CU_ASSERT_STRING_EQUAL(kind->name, name);
    CU_ASSERT_STRING_EQUAL(kind->service, name);
    kind = match_one("/x");
    CU_ASSERT_EQUAL(kind->split_target_count, 1);
    if (kind->split_targets != NULL) {
        CU_ASSERT_STRING_EQUAL(kind->split_targets[0].service, name);
    }
    CU_ASSERT_STRING_EQUAL(
        g_array_index(state.workspaces, workspace_t, 0).name, name);
    release();
    g_free(path);
    g_free(text);
    g_free(api_key);
    g_free(name);
    g_free(host);
}

static bool
parse_record(vm_info_t *info, const char *key, const char *text)
{
    static const settings_t settings = {.upstream = {"10.0.0.9", 8080},
                                        .peer_listen = {"10.0.0.1", 8300}};
    return server_record_parse(info, key, slice_from_string(text), &settings);
}

/// Guards against records of other writers that are taken for servers.
static void
test_server_records(void)
{
    vm_info_t info;
    CU_ASSERT_TRUE(parse_record(
        &info, "servers/i-1",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":34,\"state\":\"draining\","
        "\"cold_left_s\":0,\"sequence\":4}"));
    CU_ASSERT_STRING_EQUAL(info.vm, "i-1");
    CU_ASSERT_STRING_EQUAL(info.data_centre, "z");
    CU_ASSERT_EQUAL(info.peer_port, 8300);
    CU_ASSERT_EQUAL(info.slots, 34);
    CU_ASSERT_TRUE(info.is_own);
    CU_ASSERT_TRUE(info.draining);
    vm_info_finish(&info);
    static const char *const malformed[] = {
        "",
        "x",
        "[1]",
        "{\"service\":\"s\",\"zone\":\"z\",\"slots\":1,\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
        "\"slots\":1,\"state\":\"odd\"}",
        "{\"service\":5,\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
        "\"slots\":1,\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"host:8080\",\"zone\":\"z\","
        "\"slots\":1,\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
        "\"slots\":\"1\",\"state\":\"ready\"}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        CU_ASSERT_FALSE(parse_record(&info, "servers/i-1", malformed[i]));
    }
    CU_ASSERT_FALSE(parse_record(&info, "servers/", "{}"));
}

/// Guards against a desired state that is refused because a number in it is
/// above a limit of this program.
static void
test_large_numbers(void)
{
    CU_ASSERT_TRUE_FATAL(parse(
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"prefix\":\"/a/\",\"kind\":\"idempotent\",\"timeout_s\":1e7,"
        "\"target_latency_s\":1e7,\"priority\":1e10,\"service\":\"s1\","
        "\"max_attempts\":100}],\"tenants\":[{\"name\":\"t\","
        "\"priority\":1e10,\"rate_per_s\":1e10,\"burst\":1e10}]," SERVICES
        "}"));
    const kind_t *kind = match_one("/a/x");
    CU_ASSERT_EQUAL(kind->deadline_ms, 86400000);
    CU_ASSERT_EQUAL(kind->target_latency_ms, 86400000);
    CU_ASSERT_EQUAL(kind->attempts_max, 1 + CONTRACT_RETRIES_MAX);
    CU_ASSERT_EQUAL(kind->worth, 10);
    const workspace_t *workspace =
        &g_array_index(state.workspaces, workspace_t, 0);
    CU_ASSERT_EQUAL(workspace->rank, WORKSPACE_RANK_MAX);
    CU_ASSERT_EQUAL(workspace->rate_per_s, WORKSPACE_RATE_MAX);
    release();
}

/// Guards against a split whose requests all go to its first service, since
/// its weights are cut to whole numbers.
static void
test_fractional_weights(void)
{
    CU_ASSERT_TRUE_FATAL(
        parse("{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
              "\"prefix\":\"/a/\",\"kind\":\"idempotent\",\"timeout_s\":1,"
              "\"traffic_split\":[{\"service\":\"s1\",\"weight\":0.75},"
              "{\"service\":\"s2\",\"weight\":0.25}]}]," SERVICES "}"));
    const kind_t *kind = match_one("/a/x");
    int to_second = 0;
    for (int i = 0; i < 100; i++) {
        to_second += strcmp(traffic_split_next(kind), "s2") == 0 ? 1 : 0;
    }
    CU_ASSERT_EQUAL(to_second, 25);
    release();
}

/// Guards against a server that is never used because of the length of its id,
/// service or zone.
static void
test_server_record_with_long_names(void)
{
    char *id = g_strnfill(192, 'i');
    char *name = g_strnfill(300, 'n');
    char *key = g_strconcat("servers/", id, NULL);
    char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"%s\","
        "\"slots\":34,\"state\":\"ready\"}",
        name, name);
    vm_info_t info;
    CU_ASSERT_TRUE_FATAL(parse_record(&info, key, text));
    CU_ASSERT_STRING_EQUAL(info.vm, id);
    CU_ASSERT_STRING_EQUAL(info.service, name);
    CU_ASSERT_STRING_EQUAL(info.data_centre, name);
    vm_info_finish(&info);
    g_free(text);
    g_free(key);
    g_free(name);
    g_free(id);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"desired state", test_desired_state},
        {"malformed desired states", test_malformed_desired_states},
        {"long names", test_long_names},
        {"large numbers", test_large_numbers},
        {"fractional weights", test_fractional_weights},
        {"server records", test_server_records},
        {"server record with long names", test_server_record_with_long_names},
        CU_TEST_INFO_NULL,
    };
    return run_suite("platform decoders", tests);
}
