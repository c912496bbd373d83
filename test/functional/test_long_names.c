/// @file
/// Nodes on the users' platform, whose pages bound the length of a key in the
/// store and of no other name. Machines 0 and 1 are of service "front", 2 and
/// 3 are of service "back".

#include <stdio.h>

#include "common/store_site.h"
#include "common/suite.h"

/// A change must be in force within this time of its publication.
#define IN_FORCE_LIMIT_US ((gint64)2 * G_USEC_PER_SEC)
/// Longest label of a DNS name.
#define LABEL_MAX 63

/// Returns a name of @p len bytes, a valid DNS name for up to 253.
static char *
long_name(size_t len)
{
    char *name = g_strnfill(len, 'n');
    for (size_t i = LABEL_MAX; i + 1 < len; i += LABEL_MAX + 1) {
        name[i] = '.';
    }
    return name;
}

/// Publishes a desired state in which the route for /book/ goes to @p service
/// and a route with the given names is added.
static void
put_routes(int version, const char *service, const char *name,
           const char *host, const char *prefix)
{
    char *state = g_strdup_printf(
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"book\",\"host\":\"site.example\",\"prefix\":\"/book/\","
        "\"kind\":\"non_idempotent\",\"timeout_s\":5,\"service\":\"%s\","
        "\"max_attempts\":2},"
        "{\"name\":\"inner\",\"host\":\"site.example\",\"prefix\":\"/inner/\","
        "\"kind\":\"idempotent\",\"timeout_s\":5,\"service\":\"back\","
        "\"max_attempts\":2},"
        "{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"%s\","
        "\"kind\":\"non_idempotent\",\"timeout_s\":5,\"service\":\"back\","
        "\"max_attempts\":2}],"
        "\"services\":[{\"name\":\"front\"},{\"name\":\"back\"}]}",
        version, service, name, host, prefix);
    store_request("PUT", "/test/items/op/config", state);
    g_free(state);
}

/// Waits until a version is in force on every node, for IN_FORCE_LIMIT_US at
/// most.
static void
wait_in_force(int version)
{
    gint64 end_us = g_get_monotonic_time() + IN_FORCE_LIMIT_US;
    char *line =
        g_strdup_printf("event=contracts_in_force version=%d ", version);
    for (int i = 0; i < site.machine_count; i++) {
        while (!process_has_logged(&site.machines[i].node, line) &&
               g_get_monotonic_time() < end_us)
        {
            g_usleep(10000);
        }
        CU_ASSERT_TRUE(process_has_logged(&site.machines[i].node, line));
    }
    g_free(line);
}

/// Sends a booking to a machine's node. Returns the name of the instance that
/// ran it, or the status if none did; the caller frees it.
static char *
book(int machine, const char *host, const char *prefix)
{
    char *headers = g_strdup_printf(
        "host: %s\nx-request-id: id-book\nx-deadline-ms: 4000", host);
    char *path = g_strconcat(prefix, "x", NULL);
    text_response_t response =
        http_call(site.machines[machine].address, PORT_CALLER, "POST", path,
                  headers, "");
    char *seal = response_header(&response, "x-server-seal");
    char *result = response.status == 200 && seal != NULL
                       ? g_strdup(seal)
                       : g_strdup_printf("status %d", response.status);
    g_free(seal);
    g_free(path);
    g_free(headers);
    text_response_free(&response);
    return result;
}

static void
check_booking(int machine, const char *host, const char *prefix,
              const char *service)
{
    char *instance = book(machine, host, prefix);
    bool is_front =
        strcmp(instance, "i-0") == 0 || strcmp(instance, "i-1") == 0;
    bool is_back =
        strcmp(instance, "i-2") == 0 || strcmp(instance, "i-3") == 0;
    if (!(strcmp(service, "front") == 0 ? is_front : is_back)) {
        printf("machine %d, host of %zu bytes, prefix of %zu: %s\n", machine,
               strlen(host), strlen(prefix), instance);
        CU_FAIL("not handled as the desired state says");
    }
    g_free(instance);
}

/// Guards against a desired state that stays out of force as a whole because
/// of a name in one route (review/8).
static void
test_desired_state_with_long_names(void)
{
    static const struct {
        size_t host;
        size_t name;
        size_t prefix;
    } lengths[] = {
        {73, 8, 8},  {253, 8, 8},  {1000, 8, 8}, {8, 64, 8},
        {8, 200, 8}, {8, 4000, 8}, {8, 8, 255},  {8, 8, 4000},
    };
    start_site(MACHINES_DEFAULT);
    publish_site();
    for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
        char *host = long_name(lengths[i].host);
        char *name = long_name(lengths[i].name);
        char *middle = long_name(lengths[i].prefix - 2);
        char *prefix = g_strdup_printf("/%s/", middle);
        const char *service = i % 2 == 0 ? "front" : "back";
        put_routes(10 + (int)i, service, name, host, prefix);
        wait_in_force(10 + (int)i);
        for (int machine = 0; machine < site.machine_count; machine++) {
            check_booking(machine, "site.example", "/book/", service);
            check_booking(machine, host, prefix, "back");
        }
        g_free(prefix);
        g_free(middle);
        g_free(name);
        g_free(host);
    }
    stop_site();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"desired state with long names", test_desired_state_with_long_names},
        CU_TEST_INFO_NULL,
    };
    return run_suite("long names", tests);
}
