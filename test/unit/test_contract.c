/// @file
/// Contracts: parsing, validation, matching and derived limits.

#include "ibisfield/contract/contract.h"
#include "ibisfield/contract/explain.h"

#include "common/suite.h"

#define KIND(fields)                                                          \
    "{\"customer\":\"c\",\"retries\":2,\"client_retry_percent\":10,"          \
    "\"kinds\":[{\"name\":\"k\",\"service\":\"s\",\"method\":\"GET\","        \
    "\"path\":\"/k\",\"worth\":5,\"deadline_ms\":500," fields "}]}"

static const char two_kinds[] =
    "// A contract with comments.\n"
    "{\"customer\": \"c\", \"hosts\": [\"c.example\"],\n"
    " \"retries\": 2, \"client_retry_percent\": 10, /* a comment */\n"
    " \"kinds\": [\n"
    "  {\"name\": \"look\", \"service\": \"s\", \"method\": \"GET\",\n"
    "   \"path\": \"/look/*\", \"worth\": 5, \"deadline_ms\": 500,\n"
    "   \"run\": \"repeatable\"},\n"
    "  {\"name\": \"book\", \"service\": \"t\", \"method\": \"POST\",\n"
    "   \"path\": \"/book\", \"worth\": 90, \"deadline_ms\": 2000,\n"
    "   \"run\": \"once\", \"resend_s\": 60}]}\n";

/// Parses @p text and returns its problems, one a line; "" if it is valid.
static char *
problems_of(const char *text)
{
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    contract_t contract;
    bool valid =
        contract_parse(&contract, "f", slice_from_string(text), problems);
    CU_ASSERT_EQUAL(valid, problems->len == 0);
    if (valid) {
        contract_finish(&contract);
    }
    g_ptr_array_add(problems, NULL);
    char *joined = g_strjoinv("\n", (char **)problems->pdata);
    g_ptr_array_free(problems, TRUE);
    return joined;
}

static void
assert_problem(const char *text, const char *expected)
{
    char *problems = problems_of(text);
    if (strstr(problems, expected) == NULL) {
        printf("\nfound: %s\nexpected: %s\n", problems, expected);
        CU_FAIL("problem not reported");
    }
    g_free(problems);
}

static void
parse_valid(contract_t *contract, const char *text)
{
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    CU_ASSERT_TRUE_FATAL(
        contract_parse(contract, "f", slice_from_string(text), problems));
    g_ptr_array_free(problems, TRUE);
}

/// Guards against a field that is read into the wrong member.
static void
test_every_field_is_read(void)
{
    contract_t contract;
    parse_valid(&contract, two_kinds);
    CU_ASSERT_STRING_EQUAL(contract.customer, "c");
    CU_ASSERT_EQUAL(contract.host_count, 1);
    CU_ASSERT_EQUAL(contract.retries, 2);
    CU_ASSERT_EQUAL(contract.client_retry_percent, 10);
    CU_ASSERT_EQUAL_FATAL(contract.kind_count, 2);
    const kind_t *book = &contract.kinds[1];
    CU_ASSERT_STRING_EQUAL(book->name, "book");
    CU_ASSERT_STRING_EQUAL(book->service, "t");
    CU_ASSERT_STRING_EQUAL(book->method, "POST");
    CU_ASSERT_STRING_EQUAL(book->path, "/book");
    CU_ASSERT_EQUAL(book->worth, 90);
    CU_ASSERT_EQUAL(book->deadline_ms, 2000);
    CU_ASSERT_EQUAL(book->resend_s, 60);
    CU_ASSERT_EQUAL(book->run, RUN_ONCE);
    contract_finish(&contract);
}

/// Guards against requests that reach the wrong kind.
static void
test_requests_match_by_method_and_path(void)
{
    contract_t contract;
    parse_valid(&contract, two_kinds);
    const kind_t *look = &contract.kinds[0];
    const kind_t *book = &contract.kinds[1];
    slice_t get = SLICE_LITERAL("GET");
    slice_t post = SLICE_LITERAL("POST");
    CU_ASSERT_PTR_EQUAL(
        contract_match(&contract, get, SLICE_LITERAL("/look/7?a=/book")),
        look);
    CU_ASSERT_PTR_EQUAL(
        contract_match(&contract, post, SLICE_LITERAL("/book?x=1")), book);
    CU_ASSERT_PTR_NULL(contract_match(&contract, get, SLICE_LITERAL("/book")));
    CU_ASSERT_PTR_NULL(
        contract_match(&contract, post, SLICE_LITERAL("/books")));
    CU_ASSERT_PTR_NULL(contract_match(&contract, get, SLICE_LITERAL("/look")));
    CU_ASSERT_PTR_NULL(contract_match(&contract, get, (slice_t){NULL, 0}));
    contract_finish(&contract);
}

/// Guards against a limit on hosts below that of DNS.
static void
test_long_hosts(void)
{
    for (size_t len = 253; len <= 254; len++) {
        char *host = g_strnfill(len, 'h');
        char *text = g_strdup_printf("{\"hosts\":[\"%s\"]}", host);
        char *problems = problems_of(text);
        CU_ASSERT_EQUAL(strstr(problems, "hosts[0]") != NULL, len > 253);
        g_free(problems);
        g_free(text);
        g_free(host);
    }
}

/// Guards against a customer that isn't found because the Host header has a
/// port or upper-case letters.
static void
test_hosts_match_without_port_and_case(void)
{
    contract_t contract;
    parse_valid(&contract, two_kinds);
    CU_ASSERT_TRUE(contract_has_host(&contract, SLICE_LITERAL("c.example")));
    CU_ASSERT_TRUE(
        contract_has_host(&contract, SLICE_LITERAL("C.Example:8080")));
    CU_ASSERT_FALSE(contract_has_host(&contract, SLICE_LITERAL("c.exampl")));
    CU_ASSERT_FALSE(
        contract_has_host(&contract, SLICE_LITERAL("c.example.org")));
    CU_ASSERT_FALSE(contract_has_host(&contract, (slice_t){NULL, 0}));
    contract_finish(&contract);
}

/// Guards against limits that do not follow from the contract.
static void
test_limits_follow_from_the_contract(void)
{
    contract_t contract;
    parse_valid(&contract, two_kinds);
    kind_limits_t look = kind_limits(&contract, &contract.kinds[0]);
    kind_limits_t book = kind_limits(&contract, &contract.kinds[1]);
    CU_ASSERT_EQUAL(look.attempts_max, 3);
    CU_ASSERT_EQUAL(look.queue_wait_ms, 500);
    CU_ASSERT_EQUAL(look.key_ttl_ms, 0);
    CU_ASSERT_TRUE(look.hedge);
    CU_ASSERT_EQUAL(book.key_ttl_ms, 60000);
    CU_ASSERT_FALSE(book.hedge);
    contract.retries = 0;
    CU_ASSERT_FALSE(kind_limits(&contract, &contract.kinds[0]).hedge);
    contract_finish(&contract);
}

/// Guards against an explanation that omits a kind, a figure or a reason.
static void
test_explanation_has_every_figure(void)
{
    contract_t contract;
    parse_valid(&contract, two_kinds);
    GString *text = g_string_new(NULL);
    explain_contract(&contract, text);
    const char *parts[] = {
        "at most 1 + 2 = 3 attempts",
        "kind look: GET /look/* -> s",
        "60000 ms",
        "outcome wait 10000 ms",
        "below 2000 ms",
        "two attempts at the same time could both run",
        "worth >= 90",
        "1. worth 5: look",
        "2. worth 90: book",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        CU_ASSERT_PTR_NOT_NULL(strstr(text->str, parts[i]));
    }
    g_string_free(text, TRUE);
    contract_finish(&contract);
}

/// Guards against an invalid field that is accepted or reported without the
/// value found and the value expected.
static void
test_invalid_fields_are_refused(void)
{
    assert_problem("{}", "f:1: the field \"customer\" is missing, expected a "
                         "name");
    assert_problem(KIND("\"run\":\"twice\""),
                   "kinds[0].run: found \"twice\", expected \"repeatable\" "
                   "or \"once\"");
    assert_problem(KIND("\"run\":\"repeatable\",\"nice\":1"),
                   "f:1: kinds[0].nice: unknown field");
    assert_problem("{\"customer\":\"A\"}", "customer: found \"A\"");
    assert_problem("{\"customer\":\"-a\"}", "customer: found \"-a\"");
    assert_problem("{\"customer\":\"\"}", "customer: found \"\"");
    assert_problem("{\"retries\":11}",
                   "retries: found 11, expected an integer from 0 to 10");
    assert_problem("{\"retries\":1.0}", "retries: found 1.0");
    assert_problem("{\"retries\":null}", "retries: found null");
    assert_problem("{\"retries\":99999999999999999999}", "retries: found");
    assert_problem("{\"kinds\":[]}", "kinds: found []");
    assert_problem("{\"kinds\":[7]}", "kinds[0]: found 7");
    assert_problem("{\"hosts\":[\"a\",\"a\"]}",
                   "hosts[1]: found \"a\", expected each host once");
    assert_problem("{\"hosts\":[\"a_b\"]}", "hosts[0]: found \"a_b\"");
    assert_problem("{\"kinds\":[{\"path\":\"x\"}]}", "path: found \"x\"");
    assert_problem("{\"kinds\":[{\"path\":\"/a*b\"}]}", "path: found");
    assert_problem("{\"kinds\":[{\"path\":\"/a?b\"}]}", "path: found");
    assert_problem("{\"kinds\":[{\"method\":\"get\"}]}", "method: found");
    assert_problem("{\"kinds\":[{\"deadline_ms\":9}]}",
                   "found 9, expected an integer from 10 to 600000");
    assert_problem("{\"kinds\":[{\"worth\":101}]}",
                   "found 101, expected an integer from 1 to 100");
}

/// Guards against fields that are accepted although they contradict each
/// other.
static void
test_contradictions_are_refused(void)
{
    assert_problem(KIND("\"run\":\"repeatable\",\"resend_s\":9"),
                   "f:1: kinds[0]: resend_s with run \"repeatable\"");
    assert_problem("{\"kinds\":[{\"run\":\"once\"}]}",
                   "run is \"once\" without resend_s");
    assert_problem(KIND("\"run\":\"once\",\"resend_s\":9"),
                   "run \"once\" with method GET");
    assert_problem("{\"kinds\":[{\"run\":\"once\",\"resend_s\":1,"
                   "\"deadline_ms\":2000}]}",
                   "resend_s 1 is shorter than deadline_ms 2000");
    assert_problem(
        KIND("\"run\":\"repeatable\"},{\"name\":\"j\",\"service\":\"s\","
             "\"method\":\"GET\",\"path\":\"/k\",\"worth\":1,"
             "\"deadline_ms\":10,\"run\":\"repeatable\""),
        "f:1: kinds[1]: GET /k is already matched by /k of kind \"k\"");
    assert_problem("{\"kinds\":[{\"method\":\"GET\",\"path\":\"/a*\"},"
                   "{\"method\":\"GET\",\"path\":\"/ab*\"}]}",
                   "kinds[1]: GET /ab* is already matched by /a*");
    assert_problem("{\"kinds\":[{\"name\":\"k\"},{\"name\":\"k\"}]}",
                   "kinds[1]: found a second kind named \"k\"");
}

/// Guards against refusing a specific path that comes before a general one.
static void
test_specific_path_before_general_is_accepted(void)
{
    char *problems = problems_of(
        KIND("\"run\":\"repeatable\"},{\"name\":\"j\",\"service\":\"s\","
             "\"method\":\"GET\",\"path\":\"/*\",\"worth\":1,"
             "\"deadline_ms\":10,\"run\":\"repeatable\""));
    CU_ASSERT_STRING_EQUAL(problems, "");
    g_free(problems);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"fields", test_every_field_is_read},
        {"match", test_requests_match_by_method_and_path},
        {"long hosts", test_long_hosts},
        {"hosts", test_hosts_match_without_port_and_case},
        {"limits", test_limits_follow_from_the_contract},
        {"explain", test_explanation_has_every_figure},
        {"invalid fields", test_invalid_fields_are_refused},
        {"contradictions", test_contradictions_are_refused},
        {"specific first", test_specific_path_before_general_is_accepted},
        CU_TEST_INFO_NULL,
    };
    return run_suite("contract", tests);
}
