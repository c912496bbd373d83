/// @file
/// The program as started by a user: commands, messages and exit codes.

#include <glib.h>
#include <glib/gstdio.h>
#include <nng/nng.h>
#include <nng/supplemental/http/http.h>
#include <stdio.h>
#include <string.h>

#include "common/suite.h"

#define PROGRAM IBISFIELD_BUILD_DIR "/ibisfield"
#define EXAMPLES IBISFIELD_SOURCE_DIR "/examples/"
#define ARGUMENTS_MAX 8

/// Output and exit code of one run of the program.
typedef struct {
    char *output;
    char *errors;
    int code;
} result_t;

/// Runs the program with a list of arguments that ends with NULL.
static result_t
run_program(const char *const *arguments)
{
    const char *argv[ARGUMENTS_MAX + 2] = {PROGRAM};
    for (int i = 0; i < ARGUMENTS_MAX && arguments[i] != NULL; i++) {
        argv[i + 1] = arguments[i];
    }
    result_t result = {0};
    int status = 0;
    CU_ASSERT_TRUE_FATAL(
        g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                     &result.output, &result.errors, &status, NULL));
    CU_ASSERT_TRUE(WIFEXITED(status));
    result.code = WEXITSTATUS(status);
    return result;
}

#define RUN(...) run_program((const char *const[]){__VA_ARGS__, NULL})

static void
assert_result(result_t result, int code, const char *output,
              const char *errors)
{
    if (result.code != code || strstr(result.output, output) == NULL ||
        strstr(result.errors, errors) == NULL)
    {
        printf("\nexit code %d\noutput: %s\nerrors: %s\n", result.code,
               result.output, result.errors);
        CU_FAIL("unexpected result");
    }
    g_free(result.output);
    g_free(result.errors);
}

/// Checks the result of "check --against" on two texts.
static void
assert_comparison(const char *before, const char *after, int code,
                  const char *output, const char *errors)
{
    char *directory = g_dir_make_tmp("ibisfield-XXXXXX", NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(directory);
    char *before_file = g_build_filename(directory, "before.json", NULL);
    char *after_file = g_build_filename(directory, "after.json", NULL);
    CU_ASSERT_TRUE(g_file_set_contents(before_file, before, -1, NULL));
    CU_ASSERT_TRUE(g_file_set_contents(after_file, after, -1, NULL));
    assert_result(
        RUN("check", "--desired-state", "--against", before_file, after_file),
        code, output, errors);
    g_unlink(before_file);
    g_unlink(after_file);
    g_rmdir(directory);
    g_free(before_file);
    g_free(after_file);
    g_free(directory);
}

/// Writes @p text to a temporary file, checks the result of "check" on it and
/// removes it.
static void
assert_check_result(const char *text, gssize len, int code, const char *errors)
{
    char *file = NULL;
    int fd = g_file_open_tmp("ibisfield-XXXXXX.json", &file, NULL);
    CU_ASSERT_TRUE_FATAL(fd >= 0);
    CU_ASSERT_TRUE(g_file_set_contents(file, text, len, NULL));
    assert_result(RUN("check", file), code, "", errors);
    g_close(fd, NULL);
    g_unlink(file);
    g_free(file);
}

/// Guards against a build whose program doesn't start.
static void
test_version_is_printed(void)
{
    assert_result(RUN("version"), 0, "ibisfield " IBISFIELD_VERSION "\n", "");
}

/// Guards against examples that a node would refuse.
static void
test_examples_are_valid(void)
{
    assert_result(RUN("check", EXAMPLES "rosenheim/contract.json",
                      EXAMPLES "rosenheim/settings.json",
                      EXAMPLES "tasman/contract.json",
                      EXAMPLES "tasman/settings.json"),
                  0, "valid contract of customer tasman, 7 kinds", "");
    assert_result(RUN("check", EXAMPLES "rosenheim/settings.json"), 0,
                  "valid settings of VM booking-1, service booking", "");
}

/// Guards against example contracts that shed bookings or lodgements before
/// kinds that are less important.
static void
test_explain_prints_order_of_shedding(void)
{
    assert_result(RUN("explain", EXAMPLES "rosenheim/contract.json"), 0,
                  "7. worth 100: book-repair\n", "");
    assert_result(RUN("explain", EXAMPLES "tasman/contract.json"), 0,
                  "1. worth 10: depot-lookup\n", "");
}

/// Guards against problems that are not listed, or that give exit code 0.
static void
test_check_lists_problems(void)
{
    assert_check_result("{\"customer\":1,\n\"x\":2}", -1, 2,
                        ":2: x: unknown field");
    assert_check_result("{\"vm\":1}", -1, 2,
                        ":1: vm: found 1, expected a name");
    assert_check_result("{\"y\":1}", -1, 2, "found fields of neither");
    assert_check_result("{\"vm\":\"a\",\"kinds\":[]}", -1, 2,
                        "fields of both");
    assert_check_result("{", -1, 2, ":1:2: found the end of the text");
    assert_result(
        RUN("check", "--contract", EXAMPLES "rosenheim/settings.json"), 2, "",
        "vm: unknown field");
    assert_result(
        RUN("check", "--settings", EXAMPLES "rosenheim/contract.json"), 2, "",
        "customer: unknown field");
}

/// Guards against a desired state that "check" accepts although nodes would
/// refuse it.
static void
test_desired_state_is_checked(void)
{
    assert_result(RUN("check", "--desired-state",
                      EXAMPLES "platform/desired-state.json"),
                  0, "valid desired state, version 12, 1 hosts\n", "");
    assert_result(RUN("check", "-d", EXAMPLES "rosenheim/contract.json"), 2,
                  "", "op/config: version: ");
    assert_result(RUN("check", "-d", EXAMPLES "rosenheim/contract.json"), 2,
                  "", "op/config: routes: ");
}

/// Guards against two contracts that apply to the same requests.
static void
test_contracts_are_compared(void)
{
    const char *file = EXAMPLES "tasman/contract.json";
    assert_result(RUN("check", file, file), 2, "",
                  "contract.json: found host depots.tasman.example, which ");
    assert_result(RUN("check", file, file), 2, "",
                  "contract.json: found customer tasman, which ");
}

/// Guards against files that make the program hang or exhaust its memory.
static void
test_unusable_files_are_refused(void)
{
    assert_result(RUN("check", "/nonexistent"), 2, "",
                  "/nonexistent: can't be opened: No such file");
    assert_result(RUN("check", IBISFIELD_SOURCE_DIR), 2, "",
                  "expected a regular file");
    assert_result(RUN("explain", "/dev/zero"), 2, "",
                  "expected a regular file");
    size_t len = 1048577;
    char *large = g_malloc(len);
    memset(large, ' ', len);
    assert_check_result(
        large, (gssize)len, 2,
        "found more than 1048576 bytes, expected at most 1048576");
    g_free(large);
}

/// Guards against a node that starts with unchecked settings.
static void
test_run_refuses_invalid_settings(void)
{
    assert_result(RUN("run", EXAMPLES "rosenheim/contract.json"), 2, "",
                  "customer: unknown field");
    assert_result(RUN("run", "/nonexistent"), 2, "", "can't be opened");
}

/// Guards against usage errors that give exit code 0 or a message that doesn't
/// help to correct them.
static void
test_usage_errors_exit_with_2(void)
{
    assert_result(RUN("fly"), 2, "", "unknown command 'fly'");
    assert_result(run_program((const char *const[]){NULL}), 2, "",
                  "a command is missing");
    assert_result(RUN("run"), 2, "", "the settings file is missing");
    assert_result(RUN("run", "a", "b"), 2, "", "found a second file 'b'");
    assert_result(RUN("check"), 2, "", "the file to check is missing");
    assert_result(RUN("explain"), 2, "", "the contract file is missing");
    assert_result(RUN("version", "x"), 2, "", "--help");
    assert_result(RUN("status", "nowhere"), 2, "", "expected an address");
    assert_result(RUN("check", "--nonsense"), 2, "", "unrecognized option");
}

/// Guards against a command without help.
static void
test_each_command_has_help(void)
{
    assert_result(RUN("--help"), 0, "explain CONTRACT", "");
    assert_result(RUN("run", "--help"), 0, "ibisfield run [OPTION...] SETT",
                  "");
    assert_result(RUN("check", "--help"), 0, "--contract", "");
    assert_result(RUN("explain", "--help"), 0, "reason", "");
    assert_result(RUN("status", "--help"), 0, "--json", "");
    assert_result(RUN("version", "--help"), 0, "Print the version", "");
}

/// Serves @p document at /status of @p address until
/// nng_http_server_release().
static nng_http_server *
serve_status(const char *address, const char *document)
{
    char *text = g_strdup_printf("http://%s/status", address);
    nng_url *url = NULL;
    nng_http_server *server = NULL;
    nng_http_handler *handler = NULL;
    CU_ASSERT_EQUAL_FATAL(nng_url_parse(&url, text), 0);
    CU_ASSERT_EQUAL_FATAL(nng_http_server_hold(&server, url), 0);
    CU_ASSERT_EQUAL_FATAL(
        nng_http_handler_alloc_static(&handler, "/status", document,
                                      strlen(document), "application/json"),
        0);
    CU_ASSERT_EQUAL_FATAL(nng_http_server_add_handler(server, handler), 0);
    CU_ASSERT_EQUAL_FATAL(nng_http_server_start(server), 0);
    nng_url_free(url);
    g_free(text);
    return server;
}

#define STATUS_DOCUMENT(data_centre, version, state, min_worth)               \
    "{\"vm\":\"v\",\"service\":\"s\",\"data_centre\":\"" data_centre          \
    "\",\"version\":\"1\",\"state\":\"" state                                 \
    "\",\"uptime_s\":9,\"vms_listed\":4,\"guard\":{\"in_flight\":3,"          \
    "\"limit\":85,\"queue\":2,\"service_us\":1200,\"min_worth\":" min_worth   \
    "},\"configuration\":{\"reader\":true,\"peers\":3,\"live_peers\":["       \
    "\"10.0.0.1:1\",\"10.0.0.2:1\"],\"contracts\":{"                          \
    "\"contract/c\":" version "},\"refused\":[{\"name\":\"contract/d\","      \
    "\"version\":8,\"in_force\":7,\"problems\":\"why\\u001b\"}]}}"

/// Guards against values that are missing or shown for another node, control
/// characters of a status document that reach the terminal, and an unreachable
/// node that isn't reported.
static void
test_status_shows_nodes_by_data_centre(void)
{
    nng_http_server *north = serve_status(
        "127.91.0.2:8084", STATUS_DOCUMENT("north", "7", "ok", "60"));
    nng_http_server *east = serve_status(
        "127.91.0.3:8084", STATUS_DOCUMENT("east", "6", "draining", "0"));
    assert_result(RUN("status", "127.91.0.2:8084"), 0,
                  "data centre north\nnode 127.91.0.2:8084\n"
                  "  vm v, service s, version 1, state ok, role reader, "
                  "up 9 s\n"
                  "  contracts in force: c version 7\n"
                  "  refused item: contract/d version 8, in force 7: "
                  "why\\033\n"
                  "  live peers: 2 of 3 contacted: 10.0.0.1:1, 10.0.0.2:1\n"
                  "  VMs listed: 4\n"
                  "  limit: 85 at once; 3 run, 2 wait, service time 1200 us\n"
                  "  shed: worth below 60, the guard has no room for it\n",
                  "");
    assert_result(RUN("status", "127.91.0.2:8084", "127.91.0.3:8084"), 0,
                  "  shed: all new work, the node is leaving\n"
                  "data centre north\n",
                  "");
    assert_result(RUN("status", "127.91.0.2:8084", "127.91.0.3:8084"), 0,
                  "contract c: version 6 in east; version 7 in north "
                  "(versions differ)\n",
                  "");
    assert_result(RUN("status", "127.91.0.2:8084", "127.91.0.4:8084"), 1,
                  "node 127.91.0.4:8084: no status",
                  "get (http://127.91.0.4:8084/status): Connection refused");
    nng_http_server_release(north);
    nng_http_server_release(east);
}

/// Guards against fields of a newer node that are left out.
static void
test_full_status_shows_every_field(void)
{
    nng_http_server *server = serve_status(
        "127.91.0.2:8084", "{\"new\":[{\"a\":1,\"b\":[2]}],\"x\":[],"
                           "\"y\":[1,2],\"z\":null}");
    assert_result(RUN("status", "--full", "127.91.0.2:8084"), 0,
                  "  new:\n    -\n      a: 1\n      b: 2\n  x: none\n"
                  "  y: 1, 2\n  z: none\n",
                  "");
    assert_result(RUN("status", "--json", "127.91.0.2:8084"), 0,
                  "\"address\":\"127.91.0.2:8084\"", "");
    assert_result(RUN("status", "127.91.0.2:8084"), 0,
                  "  contracts in force: none\n  refused items: none\n", "");
    nng_http_server_release(server);
}

/// Guards against a response of another server that is shown as the state of a
/// node.
static void
test_status_refuses_other_documents(void)
{
    nng_http_server *server = serve_status("127.91.0.5:8084", "hello");
    assert_result(RUN("status", "127.91.0.5:8084"), 1, "",
                  "found a body that is not a JSON object");
    nng_http_server_release(server);
}

#define STATE(version, timeout, tenants)                                      \
    "{\"version\":" version ",\"routes\":[{\"name\":\"r\",\"host\":\"h\","    \
    "\"prefix\":\"/a/\",\"service\":\"s\",\"kind\":\"idempotent\","           \
    "\"timeout_s\":" timeout ",\"target_latency_s\":1,\"max_attempts\":1,"    \
    "\"priority\":0}],\"services\":[{\"name\":\"s\"}],\"tenants\":[" tenants  \
    "]}"
#define TENANT(name, keys, rate)                                              \
    "{\"name\":\"" name "\",\"api_keys\":[" keys                              \
    "],\"priority\":0,\"rate_per_s\":" rate ",\"burst\":1}"

/// Guards against entries that never match, and limits that contradict each
/// other, of which nobody is told before they are sent.
static void
test_notes_on_what_is_not_meant(void)
{
    const char *text = STATE("1", "0.5",
                             "{\"name\":\"x\",\"api_keys\":[],"
                             "\"priority\":0,\"burst\":3}");
    assert_comparison(text, text, 0, "note: h: the target latency", "");
    assert_comparison(text, text, 0, "note: workspace x has no access key",
                      "");
    assert_comparison(text, text, 0, "note: the burst of workspace x", "");
    char **parts = g_strsplit(text, "}],\"services\"", 2);
    char *twice = g_strdup_printf(
        "%s},{\"name\":\"r2\",\"host\":\"h\",\"prefix\":\"/a/\",\"kind\":"
        "\"idempotent\",\"traffic_split\":[{\"service\":\"s\",\"weight\":0},"
        "{\"service\":\"s\",\"weight\":1}]}],\"services\"%s",
        parts[0], parts[1]);
    assert_comparison(twice, twice, 0,
                      "note: h: \"r2\" never matches: \"r\" before", "");
    assert_comparison(twice, twice, 0,
                      "note: h: \"r2\" never goes to service s", "");
    g_free(twice);
    g_strfreev(parts);
}

/// Guards against a comparison that shows an entry which moved as two that
/// changed, shows access keys, or accepts a version that nodes would ignore.
static void
test_versions_are_compared(void)
{
    const char *before = STATE(
        "4", "1",
        TENANT("x", "\"k1\",\"k2\"", "5") "," TENANT("y", "\"k3\"", "7"));
    const char *after = STATE(
        "5", "2", TENANT("y", "\"k3\"", "8") "," TENANT("z", "\"k1\"", "1"));
    assert_comparison(before, after, 0, "5 differences from", "");
    assert_comparison(before, after, 0,
                      "  version: 4 -> 5\n"
                      "  routes[r@h].timeout_s: 1 -> 2\n"
                      "  tenants[x]: removed\n"
                      "  tenants[y].rate_per_s: 7 -> 8\n"
                      "  tenants[z]: added\n",
                      "");
    assert_comparison(before,
                      STATE("5", "1",
                            TENANT("y", "\"k3\"", "7") "," TENANT(
                                "x", "\"k2\",\"k9\",\"k8\"", "5")),
                      0,
                      "  tenants[x].api_keys: 2 added, 1 removed\n"
                      "  tenants: the order of entries that stay changed\n",
                      "");
    assert_comparison(before, STATE("4", "2", TENANT("y", "\"k3\"", "7")), 2,
                      "tenants[x]: removed", "expected above 4");
    assert_comparison(before, before, 0, "0 differences", "");
    // Lists that can't be matched by name: no key may be shown.
    char **parts = g_strsplit(after, "\"tenants\"", 2);
    char *without = g_strdup_printf("%s\"owners\":[]}", parts[0]);
    assert_comparison(without, after, 2, "  tenants: none -> a list of 2\n",
                      "expected above 5");
    g_free(without);
    g_strfreev(parts);
    assert_comparison(
        STATE("1", "1",
              TENANT("x", "\"k1\"", "5") "," TENANT("x", "\"k2\"", "5")),
        after, 0, "  tenants: a list of 2 -> a list of 2\n", "");
    assert_comparison("[", before, 2, "", "before.json:1");
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"version", test_version_is_printed},
        {"examples", test_examples_are_valid},
        {"explain", test_explain_prints_order_of_shedding},
        {"check", test_check_lists_problems},
        {"desired state", test_desired_state_is_checked},
        {"notes", test_notes_on_what_is_not_meant},
        {"versions compared", test_versions_are_compared},
        {"contracts checked together", test_contracts_are_compared},
        {"unusable files", test_unusable_files_are_refused},
        {"run", test_run_refuses_invalid_settings},
        {"usage errors", test_usage_errors_exit_with_2},
        {"status", test_status_shows_nodes_by_data_centre},
        {"status in full", test_full_status_shows_every_field},
        {"status of other servers", test_status_refuses_other_documents},
        {"help", test_each_command_has_help},
        CU_TEST_INFO_NULL,
    };
    return run_suite("cli", tests);
}
