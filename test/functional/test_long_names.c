/// @file
/// Nodes on the users' platform, whose pages bound the length of a key in the
/// store and of no other name. The first half of the machines is of service
/// "front", whose servers call the service of the others.

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

/// Publishes a desired state in which the route for /book/ goes to @p service,
/// and the calls of servers and a route with the given names go to @p back.
static void
put_routes(int version, const char *service, const char *back,
           const char *name, const char *host, const char *prefix)
{
    char *state = g_strdup_printf(
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"book\",\"host\":\"site.example\",\"prefix\":\"/book/\","
        "\"kind\":\"non_idempotent\",\"timeout_s\":5,\"service\":\"%s\","
        "\"max_attempts\":2},"
        "{\"name\":\"inner\",\"host\":\"site.example\",\"prefix\":\"/inner/\","
        "\"kind\":\"idempotent\",\"timeout_s\":5,\"service\":\"%s\","
        "\"max_attempts\":2},"
        "{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"%s\","
        "\"kind\":\"non_idempotent\",\"timeout_s\":5,\"service\":\"%s\","
        "\"max_attempts\":2}],"
        "\"services\":[{\"name\":\"front\"},{\"name\":\"%s\"}]}",
        version, service, back, name, host, prefix, back, back);
    store_request("PUT", "/test/items/op/config", state);
    g_free(state);
}

/// Waits until every node has logged @p line, for IN_FORCE_LIMIT_US at most.
static void
wait_logged(const char *line)
{
    gint64 end_us = g_get_monotonic_time() + IN_FORCE_LIMIT_US;
    for (int i = 0; i < site.machine_count; i++) {
        while (!process_has_logged(&site.machines[i].node, line) &&
               g_get_monotonic_time() < end_us)
        {
            g_usleep(10000);
        }
        CU_ASSERT_TRUE(process_has_logged(&site.machines[i].node, line));
    }
}

static void
wait_in_force(int version)
{
    char *line =
        g_strdup_printf("event=contracts_in_force version=%d ", version);
    wait_logged(line);
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
        put_routes(10 + (int)i, service, "back", name, host, prefix);
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

/// Enough that some nodes get the servers from others, which read the store.
#define NODES 12
static char *long_service;

static void
set_long_names(machine_t *machine)
{
    // Ids that differ at their ends only.
    char *id = long_name(SERVER_ID_MAX - strlen(machine->instance));
    char *instance = g_strconcat(id, machine->instance, NULL);
    g_strlcpy(machine->instance, instance, sizeof(machine->instance));
    if (strcmp(machine->service, "back") == 0) {
        machine->service = long_service;
    }
    g_free(instance);
    g_free(id);
}

/// Waits until every node has logged that a server is listed, and whether it
/// is leaving.
static void
wait_listed(const machine_t *machine, int leaving)
{
    char *line = g_strdup_printf(
        "event=vm_listed upstream_vm=%s service=%s data_centre=%s address=%s "
        "slots=8 leaving=%d",
        machine->instance, machine->service, site_zone, machine->address,
        leaving);
    wait_logged(line);
    g_free(line);
}

/// Returns whether the other nodes have left reading the store to two readers.
static bool
two_nodes_watch(void *context)
{
    (void)context;
    return store_stat("waiting") == 2;
}

/// Guards against servers that no node uses, or nodes that don't start,
/// because of the length of an id, a service or a zone.
static void
test_servers_with_long_names(void)
{
    char *end = g_strnfill(200, 's');
    char *zone = g_strnfill(200, 'z');
    long_service = g_strconcat("back-", end, NULL);
    site_zone = zone;
    start_site_with_addresses(NODES, set_long_names);
    for (int i = 0; i < site.machine_count; i++) {
        put_server_record(&site.machines[i], "ready");
    }
    put_routes(1, "front", long_service, "extra", "other.example", "/x/");
    wait_in_force(1);
    for (int i = 0; i < site.machine_count; i++) {
        wait_listed(&site.machines[i], 0);
    }
    // Each front server calls the other service.
    for (int i = 0; i < site.machine_count; i++) {
        char *front = book(i, "site.example", "/book/");
        char *back = book(i, "other.example", "/x/");
        CU_ASSERT_EQUAL(strlen(front), SERVER_ID_MAX);
        CU_ASSERT_EQUAL(strlen(back), SERVER_ID_MAX);
        g_free(front);
        g_free(back);
    }
    CU_ASSERT_TRUE(wait_until(two_nodes_watch, NULL));
    put_server_record(&site.machines[0], "draining");
    wait_listed(&site.machines[0], 1);
    stop_site();
    site_zone = "z";
    g_free(long_service);
    g_free(zone);
    g_free(end);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"desired state with long names", test_desired_state_with_long_names},
        {"servers with long names", test_servers_with_long_names},
        CU_TEST_INFO_NULL,
    };
    return run_suite("long names", tests);
}
