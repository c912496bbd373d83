/// @file
/// Settings of a node, and the line and column in messages of the JSON reader.

#include "ibisfield/contract/json_reader.h"
#include "ibisfield/contract/settings.h"

#include "common/suite.h"

#define REQUIRED                                                              \
    "\"vm\":\"v1\",\"data_centre\":\"d1\",\"service\":\"s1\"," WITHOUT_STORE
#define WITHOUT_STORE                                                         \
    "\"caller_listen\":\"127.0.0.1:1\",\"egress_listen\":\"127.0.0.1:2\","    \
    "\"peer_listen\":\"127.0.0.1:3\",\"control_listen\":\"127.0.0.1:4\","     \
    "\"operator_listen\":\"127.0.0.1:5\",\"upstream\":\"127.0.0.1:6\","       \
    "\"upstream_slots\":85,\"upstream_connections\":600,"                     \
    "\"config_url\":\"http://127.0.0.1:7\",\"list_url\":"                     \
    "\"http://127.0.0.1:8\""

#define WITH_STORE                                                            \
    "\"caller_listen\":\"127.0.0.1:1\",\"peer_listen\":\"127.0.0.1:3\","      \
    "\"operator_listen\":\"127.0.0.1:5\",\"upstream\":\"127.0.0.1:6\","       \
    "\"store\":\"127.0.0.1:7\""

static char *
problems_of(slice_t text, settings_t *settings)
{
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    bool valid = settings_parse(settings, "f", text, problems);
    CU_ASSERT_EQUAL(valid, problems->len == 0);
    g_ptr_array_add(problems, NULL);
    char *joined = g_strjoinv("\n", (char **)problems->pdata);
    g_ptr_array_free(problems, TRUE);
    return joined;
}

static void
assert_problem(const char *text, const char *expected)
{
    settings_t settings;
    char *problems = problems_of(slice_from_string(text), &settings);
    if (strstr(problems, expected) == NULL) {
        printf("\nfound: %s\nexpected: %s\n", problems, expected);
        CU_FAIL("problem not reported");
    }
    g_free(problems);
}

/// Guards against a required field that is read into the wrong member, and
/// against defaults that differ from the documented ones.
static void
test_fields_and_defaults(void)
{
    settings_t settings;
    char *problems = problems_of(SLICE_LITERAL("{" REQUIRED "}"), &settings);
    CU_ASSERT_STRING_EQUAL(problems, "");
    g_free(problems);
    CU_ASSERT_STRING_EQUAL(settings.vm, "v1");
    CU_ASSERT_STRING_EQUAL(settings.data_centre, "d1");
    CU_ASSERT_STRING_EQUAL(settings.service, "s1");
    const endpoint_t *endpoints[] = {
        &settings.caller_listen,   &settings.egress_listen,
        &settings.peer_listen,     &settings.control_listen,
        &settings.operator_listen, &settings.upstream,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
        CU_ASSERT_STRING_EQUAL(endpoints[i]->address, "127.0.0.1");
        CU_ASSERT_EQUAL(endpoints[i]->port, i + 1);
    }
    CU_ASSERT_EQUAL(settings.upstream_slots, 85);
    CU_ASSERT_EQUAL(settings.upstream_connections, 600);
    CU_ASSERT_STRING_EQUAL(settings.config_url, "http://127.0.0.1:7");
    CU_ASSERT_STRING_EQUAL(settings.list_url, "http://127.0.0.1:8");
    CU_ASSERT_EQUAL(settings.seed_count, 0);
    CU_ASSERT_EQUAL(settings.max_request_bytes, 1048576);
    CU_ASSERT_EQUAL(settings.max_answer_bytes, 4194304);
    CU_ASSERT_EQUAL(settings.max_calls, 4096);
    CU_ASSERT_EQUAL(settings.max_connections, 4096);
    CU_ASSERT_EQUAL(settings.remote_cost_us, 3000);
    CU_ASSERT_EQUAL(settings.key_linger_ms, 5000);
    CU_ASSERT_EQUAL(settings.drain_limit_ms, 30000);
    CU_ASSERT_EQUAL(settings.answer_store_bytes, 16777216);
    CU_ASSERT_STRING_EQUAL(settings.log_level, "info");
}

/// Guards against optional fields that are ignored when given.
static void
test_optional_fields_are_read(void)
{
    settings_t settings;
    char *problems = problems_of(
        SLICE_LITERAL("{" REQUIRED ",\"seeds\":[\"10.0.0.2:4\",\"10.0.0.3:4\"]"
                      ",\"remote_cost_us\":0,\"log_level\":\"debug\"}"),
        &settings);
    CU_ASSERT_STRING_EQUAL(problems, "");
    g_free(problems);
    CU_ASSERT_EQUAL(settings.seed_count, 2);
    CU_ASSERT_STRING_EQUAL(settings.seeds[1].address, "10.0.0.3");
    CU_ASSERT_EQUAL(settings.remote_cost_us, 0);
    CU_ASSERT_STRING_EQUAL(settings.log_level, "debug");
}

/// Guards against a shutdown that takes requests for so long that they can't
/// end before the process does.
static void
test_stop_limit_shortens_the_shutdown(void)
{
    static const struct {
        const char *stop_limit_s;
        int32_t linger_ms;
        int32_t drain_ms;
    } cases[] = {{"6", 2975, 5950}, {"10", 3000, 9950}, {"60", 3000, 30000}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        settings_t settings;
        char *text = g_strdup_printf("{" REQUIRED ",\"stop_limit_s\":%s}",
                                     cases[i].stop_limit_s);
        char *problems = problems_of(slice_from_string(text), &settings);
        CU_ASSERT_STRING_EQUAL(problems, "");
        CU_ASSERT_EQUAL(settings.key_linger_ms, cases[i].linger_ms);
        CU_ASSERT_EQUAL(settings.drain_limit_ms, cases[i].drain_ms);
        g_free(problems);
        g_free(text);
    }
}

/// Guards against a node that doesn't start because its platform lacks the
/// value that the template fills in, or that ignores it.
static void
test_drain_time_may_be_text(void)
{
    static const struct {
        const char *value;
        double seconds;
    } cases[] = {
        {"3", 3}, {"2.5", 2.5}, {"\"2.5\"", 2.5}, {"\"\"", 2}, {"0", 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        settings_t settings;
        char *text = g_strdup_printf("{" REQUIRED ",\"upstream_drain_s\":%s}",
                                     cases[i].value);
        char *problems = problems_of(slice_from_string(text), &settings);
        CU_ASSERT_STRING_EQUAL(problems, "");
        CU_ASSERT_EQUAL(settings.upstream_drain_s, cases[i].seconds);
        g_free(problems);
        g_free(text);
    }
    assert_problem("{\"upstream_drain_s\":\"2s\"}", "upstream_drain_s: found");
    assert_problem("{\"upstream_drain_s\":-1}", "upstream_drain_s: found");
}

/// Guards against unusable endpoints and URLs that are accepted.
static void
test_invalid_fields_are_refused(void)
{
    const char *endpoints[] = {"1.2.3:4",
                               "host:80",
                               "1.2.3.4",
                               "1.2.3.4:0",
                               "1.2.3.4:70000",
                               "1.2.3.4:80x",
                               "1.2.3.4:-1",
                               "1.2.3.4: 1",
                               "1.2.3.400:80",
                               "",
                               ":"};
    for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
        char *text = g_strdup_printf("{\"upstream\":\"%s\"}", endpoints[i]);
        assert_problem(text, "f:1: upstream: found");
        g_free(text);
    }
    assert_problem("{\"list_url\":\"https://1.2.3.4:1\"}", "list_url: found");
    assert_problem("{\"list_url\":\"http://1.2.3.4:1/x\"}", "list_url: found");
    assert_problem("{\"seeds\":[\"x\"]}", "seeds[0]: found \"x\"");
    assert_problem("{\"log_level\":\"loud\"}", "log_level: found \"loud\"");
    assert_problem("{\"vm\":\"a.b\"}", "vm: found \"a.b\"");
    assert_problem("{\"vm\":\"a\\u0000\"}", "vm: found \"a\\u0000\"");
    assert_problem("{}", "the field \"upstream_slots\" is missing, expected "
                         "an integer from 1 to 100000");
}

/// Guards against contradictory settings that are accepted.
static void
test_contradictions_are_refused(void)
{
    assert_problem("{\"caller_listen\":\"1.1.1.1:1\","
                   "\"peer_listen\":\"1.1.1.1:1\"}",
                   "peer_listen: found the address of caller_listen");
    assert_problem("{\"caller_listen\":\"0.0.0.0:1\","
                   "\"upstream\":\"1.1.1.1:1\"}",
                   "upstream: found the address of caller_listen");
    assert_problem("{\"upstream_slots\":9,\"upstream_connections\":8}",
                   "upstream_connections: found 8, expected at least "
                   "upstream_slots 9");
    assert_problem("{\"key_linger_ms\":9,\"drain_limit_ms\":8}",
                   "drain_limit_ms: found 8, expected at least "
                   "key_linger_ms 9");
    assert_problem("{\"seeds\":[\"1.1.1.1:1\",\"1.1.1.1:1\"]}",
                   "seeds[1]: found \"1.1.1.1:1\", expected each seed once");
    assert_problem("{\"seeds\":[\"1.1.1.1:1\"],"
                   "\"control_listen\":\"1.1.1.1:1\"}",
                   "seeds: found the node's own control_listen");
}

/// Guards against listing only the first problem, and against wrong line
/// numbers.
static void
test_all_problems_are_listed_with_lines(void)
{
    const char *text = "{\n\"vm\": 1, // one\n/* two\nlines */ \"x\\n\": 2,\n"
                       "\"vm\": 2,\n\"seeds\": [\"1.1.1.1:1\",\n7]}";
    assert_problem(text, "f:5: vm: found the key again, expected it once "
                         "(first at line 2)");
    assert_problem(text, "f:4: x\\n: unknown field");
    assert_problem(text, "f:7: seeds[1]: found 7");
    assert_problem(text, "f:1: the field \"service\" is missing");
}

/// Guards against a duplicate key that is missed because it is spelt with an
/// escape sequence.
static void
test_escaped_duplicate_key_is_found(void)
{
    assert_problem("{\"vm\":\"a\",\"\\u0076m\":\"b\"}",
                   "vm: found the key again");
}

/// Guards against syntax errors without line and column, and against texts
/// that json-c's lenient mode would accept.
static void
test_syntax_errors_have_line_and_column(void)
{
    assert_problem("", "f:1:1: found the end of the text");
    assert_problem("{\"vm\":\n", "f:2:1: found the end of the text");
    assert_problem("{\n  oops}", "f:2:3: syntax error");
    assert_problem("{\"vm\":'a'}", "f:1:7: syntax error");
    assert_problem("{\"vm\":\"a\",}", "f:1:11: syntax error");
    assert_problem("{} {}", "f:1:4: syntax error");
    assert_problem("{ /* x", "f:1:3: found an unterminated comment");
    assert_problem("[]", "f:1: found [], expected a JSON object");
    assert_problem("{\"a\":[[[[[[[[[[1]]]]]]]]]]}", "nesting too deep");
    assert_problem("{\"a\":\"\xff\"}", "f:1:7: found a zero byte or invalid "
                                       "UTF-8");
    assert_problem("{\"a\":\"// no comment\"}", "f:1: a: unknown field");
    settings_t settings;
    char *problems = problems_of(SLICE_LITERAL("{}\0"), &settings);
    CU_ASSERT_PTR_NOT_NULL(strstr(problems, "f:1:3: found a zero byte"));
    g_free(problems);
}

/// Guards against a text with many problems that floods the log, and against a
/// text above the size limit that is parsed.
static void
test_output_and_input_are_bounded(void)
{
    GString *text = g_string_new("{\"a\":0");
    for (int i = 0; i < 5000; i++) {
        g_string_append_printf(text, ",\"a%d\":0", i);
    }
    g_string_append_c(text, '}');
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    settings_t settings;
    CU_ASSERT_FALSE(settings_parse(&settings, "f",
                                   (slice_t){text->str, text->len}, problems));
    CU_ASSERT_EQUAL(problems->len, JSON_PROBLEMS_MAX + 1);
    g_ptr_array_free(problems, TRUE);
    g_string_set_size(text, JSON_TEXT_MAX_BYTES + 1);
    char *found = problems_of((slice_t){text->str, text->len}, &settings);
    CU_ASSERT_STRING_EQUAL(found,
                           "f: found 1048577 bytes, expected at most 1048576");
    g_free(found);
    g_string_free(text, TRUE);
}

/// Guards against a node that doesn't start because of the length of a name
/// that its platform fills in, and against names that a node without a store
/// would cut.
static void
test_long_names(void)
{
    static const struct {
        size_t len;
        const char *more; ///< fields after the names
        bool valid;
    } cases[] = {
        {63, WITHOUT_STORE, true},
        {64, WITHOUT_STORE, false},
        {255, WITH_STORE, true},
        {256, WITH_STORE, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *name = g_strnfill(cases[i].len, 'n');
        char *text = g_strdup_printf(
            "{\"vm\":\"%s\",\"data_centre\":\"%s\",\"service\":\"%s\",%s}",
            name, name, name, cases[i].more);
        settings_t settings;
        char *problems = problems_of(slice_from_string(text), &settings);
        CU_ASSERT_EQUAL(problems[0] == '\0', cases[i].valid);
        if (cases[i].valid) {
            CU_ASSERT_STRING_EQUAL(settings.service, name);
        }
        else {
            CU_ASSERT_PTR_NOT_NULL(strstr(problems, "vm: found"));
            CU_ASSERT_PTR_NOT_NULL(strstr(problems, "service: found"));
        }
        g_free(problems);
        g_free(text);
        g_free(name);
    }
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"fields and defaults", test_fields_and_defaults},
        {"optional fields", test_optional_fields_are_read},
        {"drain time", test_drain_time_may_be_text},
        {"stop limit", test_stop_limit_shortens_the_shutdown},
        {"long names", test_long_names},
        {"invalid fields", test_invalid_fields_are_refused},
        {"contradictions", test_contradictions_are_refused},
        {"all problems", test_all_problems_are_listed_with_lines},
        {"escaped duplicate", test_escaped_duplicate_key_is_found},
        {"syntax errors", test_syntax_errors_have_line_and_column},
        {"bounds", test_output_and_input_are_bounded},
        CU_TEST_INFO_NULL,
    };
    return run_suite("settings", tests);
}
