/// @file
/// A site on the users' platform as separate processes: the stand-in for its
/// store, and on each machine a node and the stand-in for a server.

#include "common/store_site.h"

#include <json-c/json.h>
#include <stdio.h>
#include <unistd.h>

#include "common/suite.h"

#define PROGRAM IBISFIELD_BUILD_DIR "/ibisfield"
#define STANDIN_STORE IBISFIELD_BUILD_DIR "/test/standin_store"
#define STANDIN_RELAY IBISFIELD_BUILD_DIR "/test/standin_relay"
#define RECORD_PATH "/test/items/servers/"
#define HOSTS_MAX 255

store_site_t site;
const char *site_extra_settings = "";
const char *site_other_program = NULL;
const char *site_zone = "z";
const char *site_tenants = NULL;
const char *site_access_key = NULL;
static const char standin_upstream[] =
    IBISFIELD_BUILD_DIR "/test/standin_upstream";

void
store_request(const char *method, const char *path, const char *body)
{
    text_response_t response =
        http_call(site.address, PORT_STORE, method, path, NULL, body);
    CU_ASSERT_EQUAL(response.status, 200);
    text_response_free(&response);
}

/// Returns a member of the store's /test/stats.
int64_t
store_stat(const char *name)
{
    text_response_t response =
        http_call(site.address, PORT_STORE, "GET", "/test/stats", NULL, NULL);
    struct json_object *json = json_tokener_parse(response.body);
    int64_t number = json_number(json, name);
    json_object_put(json);
    text_response_free(&response);
    return number;
}

static void
put_record(const machine_t *machine, const char *state, int sequence,
           const char *born)
{
    char *path = g_strconcat(RECORD_PATH, machine->instance, NULL);
    char *record = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"cold_left_s\":0,"
        "\"sequence\":%d%s}",
        machine->service, machine->published_address, PORT_UPSTREAM, site_zone,
        state, sequence, born);
    store_request("PUT", path, record);
    g_free(record);
    g_free(path);
}

/// Returns whether a node holds all changes of the store, in its era.
bool
node_holds_store(int machine)
{
    text_response_t response =
        http_call(site.machines[machine].address, PORT_OPERATOR, "GET",
                  "/status", NULL, NULL);
    struct json_object *status =
        response.body == NULL ? NULL : json_tokener_parse(response.body);
    struct json_object *feed = NULL;
    bool holds = json_object_object_get_ex(status, "feed", &feed) &&
                 json_number(feed, "revision") == store_stat("revision") &&
                 json_number(feed, "era") == store_stat("era");
    json_object_put(status);
    text_response_free(&response);
    return holds;
}

/// Writes the record of a machine's server to the store, without a lifetime.
void
put_server_record(const machine_t *machine, const char *state)
{
    put_record(machine, state, 1, "");
}

/// Writes report number @p sequence of a server that started at @p born_ms,
/// Unix time.
void
put_server_report(const machine_t *machine, const char *state, int64_t born_ms,
                  int sequence)
{
    char born[48];
    g_snprintf(born, sizeof(born), ",\"born\":%" G_GINT64_FORMAT, born_ms);
    put_record(machine, state, sequence, born);
}

void
remove_server_record(const machine_t *machine)
{
    char *path = g_strconcat(RECORD_PATH, machine->instance, NULL);
    store_request("DELETE", path, NULL);
    g_free(path);
}

/// Publishes a desired state with routes to both services; @p extra is NULL
/// or the path prefix of one more route.
void
put_desired_state(int version, const char *extra)
{
    put_desired_state_with_tenants(version, extra, site_tenants);
}

/// The same with a list of tenants (JSON); NULL: none. An extra route is then
/// anonymous.
void
put_desired_state_with_tenants(int version, const char *extra,
                               const char *tenants)
{
    GString *state = g_string_new(NULL);
    g_string_append_printf(
        state,
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"read\",\"host\":\"site.example\",\"prefix\":\"/read/\","
        "\"kind\":\"idempotent\",\"timeout_s\":8,\"priority\":2,"
        "\"service\":\"front\",\"max_attempts\":2},"
        "{\"name\":\"book\",\"host\":\"site.example\",\"prefix\":\"/book/\","
        "\"kind\":\"non_idempotent\",\"timeout_s\":5,\"priority\":0,"
        "\"service\":\"back\",\"max_attempts\":2},"
        "{\"name\":\"inner\",\"host\":\"site.example\",\"prefix\":\"/inner/\","
        "\"kind\":\"idempotent\",\"timeout_s\":8,\"priority\":1,"
        "\"service\":\"back\",\"max_attempts\":2}",
        version);
    if (extra != NULL) {
        g_string_append_printf(
            state,
            ",{\"name\":\"extra\",\"host\":\"site.example\",\"prefix\":"
            "\"%s\",\"kind\":\"idempotent\",\"timeout_s\":5,"
            "\"service\":\"back\",\"max_attempts\":1,\"anonymous\":true}",
            extra);
    }
    g_string_append(state, "],\"services\":[{\"name\":\"front\"},"
                           "{\"name\":\"back\"}]");
    if (tenants != NULL) {
        g_string_append_printf(state, ",\"tenants\":%s", tenants);
    }
    g_string_append_c(state, '}');
    store_request("PUT", "/test/items/op/config", state->str);
    g_string_free(state, TRUE);
    site.desired_state_version = version;
}

void
start_server(machine_t *machine)
{
    char listen[32];
    char next[32];
    g_snprintf(listen, sizeof(listen), "%s:%d", machine->address,
               PORT_UPSTREAM);
    g_snprintf(next, sizeof(next), "%s:%d", machine->address, PORT_CALLER);
    const char *front[] = {standin_upstream,
                           "--listen",
                           listen,
                           "--instance",
                           machine->instance,
                           "--slots",
                           "8",
                           "--service-us",
                           "1000",
                           "--log-runs",
                           "--next",
                           next,
                           "--next-path",
                           "/inner/x",
                           "--next-host",
                           "site.example",
                           NULL};
    if (g_str_has_prefix(machine->service, "back")) {
        front[10] = NULL; // Ends the arguments before --next.
    }
    char *log = g_strdup_printf("%s/server%d.log", site.directory,
                                site.next_log_number++);
    CU_ASSERT_TRUE_FATAL(process_start(&machine->server, log, front));
    CU_ASSERT_TRUE_FATAL(process_wait_log(&machine->server, "listening"));
    g_free(log);
}

void
start_node(machine_t *machine)
{
    int number = site.next_log_number++;
    char *settings = g_strdup_printf(
        "{\"vm\":\"vm-%d\",\"data_centre\":\"%s\",\"service\":\"%s\","
        "\"caller_listen\":\"%s:%d\",\"peer_listen\":\"%s:%d\","
        "\"readiness_listen\":\"%s:%d\",\"operator_listen\":\"%s:%d\","
        "\"upstream\":\"%s:%d\",\"store\":\"%s:%d\",\"stop_limit_s\":6,"
        "\"upstream_drain_s\":2%s}",
        number, site_zone, machine->service, machine->address, PORT_CALLER,
        machine->address, PORT_PEER, machine->address, PORT_READINESS,
        machine->address, PORT_OPERATOR, machine->published_address,
        PORT_UPSTREAM, machine->store_address, PORT_STORE,
        site_extra_settings);
    char *file = g_strdup_printf("%s/node%d.json", site.directory, number);
    char *log = g_strdup_printf("%s/node%d.log", site.directory, number);
    CU_ASSERT_TRUE_FATAL(g_file_set_contents(file, settings, -1, NULL));
    bool is_other =
        site_other_program != NULL && (machine - site.machines) % 2 == 1;
    const char *arguments[] = {is_other ? site_other_program : PROGRAM, "run",
                               file, NULL};
    CU_ASSERT_TRUE_FATAL(process_start(&machine->node, log, arguments));
    CU_ASSERT_TRUE_FATAL(process_wait_log(&machine->node, "event=started"));
    g_free(settings);
    g_free(file);
    g_free(log);
}

/// Starts a site. @p set_addresses may change the published address and the
/// store's address of each machine before its processes start; if it is NULL,
/// machines publish their own address and read the store directly.
void
start_site_with_addresses(int machines,
                          void (*set_addresses)(machine_t *machine))
{
    static int next_host = 1;
    if (next_host + machines >= HOSTS_MAX) {
        next_host = 1;
    }
    site =
        (store_site_t){.directory = g_dir_make_tmp("ibisfield-XXXXXX", NULL),
                       .machine_count = machines};
    // Programs that run beside each other need addresses of their own.
    int pid = (int)getpid();
    // The soak uses the network above that of the site for its proxy.
    int site_net = 77 + 2 * (pid / 200 % 16);
    int net = 1 + pid % 200;
    int host = next_host;
    next_host += machines + 1;
    g_snprintf(site.address, sizeof(site.address), "127.%d.%d.%d", site_net,
               net, host);
    char listen[32];
    g_snprintf(listen, sizeof(listen), "%s:%d", site.address, PORT_STORE);
    char *log = g_strdup_printf("%s/store.log", site.directory);
    const char *arguments[] = {STANDIN_STORE, "--listen", listen, NULL};
    CU_ASSERT_TRUE_FATAL(process_start(&site.store, log, arguments));
    CU_ASSERT_TRUE_FATAL(process_wait_log(&site.store, "listening"));
    g_free(log);
    for (int i = 0; i < site.machine_count; i++) {
        machine_t *machine = &site.machines[i];
        g_snprintf(machine->address, sizeof(machine->address), "127.%d.%d.%d",
                   site_net, net, host + 1 + i);
        g_snprintf(machine->instance, sizeof(machine->instance), "i-%d", i);
        machine->service = i < site.machine_count / 2 ? "front" : "back";
        g_strlcpy(machine->published_address, machine->address,
                  sizeof(machine->published_address));
        g_strlcpy(machine->store_address, site.address,
                  sizeof(machine->store_address));
        if (set_addresses != NULL) {
            set_addresses(machine);
        }
        start_server(machine);
        start_node(machine);
    }
}

void
start_site(int machines)
{
    start_site_with_addresses(machines, NULL);
}

/// Starts a relay between the store and a machine whose node isn't running
/// yet. A stopped relay leaves the node's requests unanswered.
void
start_store_relay(machine_t *machine, process_t *relay)
{
    g_strlcpy(machine->store_address, machine->address,
              sizeof(machine->store_address));
    char *route = g_strdup_printf("%s:%d=%s:%d", machine->address, PORT_STORE,
                                  site.address, PORT_STORE);
    char *log =
        g_strdup_printf("%s/relay-%s.log", site.directory, machine->instance);
    const char *arguments[] = {STANDIN_RELAY, route, NULL};
    CU_ASSERT_TRUE_FATAL(process_start(relay, log, arguments));
    CU_ASSERT_TRUE_FATAL(process_wait_log(relay, "listening"));
    g_free(route);
    g_free(log);
}

void
stop_site(void)
{
    for (int i = 0; i < site.machine_count; i++) {
        process_finish(&site.machines[i].node);
        process_finish(&site.machines[i].server);
    }
    process_finish(&site.store);
    g_free(site.directory);
}

/// Waits until every node has logged @p text.
void
wait_nodes_logged(const char *text)
{
    for (int i = 0; i < site.machine_count; i++) {
        CU_ASSERT_TRUE(process_wait_log(&site.machines[i].node, text));
    }
}

/// Publishes the records of all servers and the first desired state,
/// version 3. Waits until every node has it in force and knows the last
/// server.
void
publish_site(void)
{
    for (int i = 0; i < site.machine_count; i++) {
        put_server_record(&site.machines[i], "ready");
    }
    put_desired_state(3, NULL);
    wait_nodes_logged("event=contracts_in_force version=3 ");
    char last[32];
    g_snprintf(last, sizeof(last), "upstream_vm=i-%d ",
               site.machine_count - 1);
    wait_nodes_logged(last);
}

/// Sends a caller's request with an access key (NULL: none) to a machine's
/// node. It also names a workspace, which the node must not pass on.
text_response_t
request_with_key(int machine, const char *path, const char *id,
                 const char *key)
{
    char *headers = g_strdup_printf(
        "host: site.example\nx-request-id: %s\nx-deadline-ms: 4000\n"
        "x-tenant: forged%s%s",
        id, key == NULL ? "" : "\nx-credential: ", key == NULL ? "" : key);
    text_response_t response = http_call(
        site.machines[machine].address, PORT_CALLER, "GET", path, headers, "");
    g_free(headers);
    return response;
}

/// Returns the status of a request to service "front" with an access key.
int
status_with_key(int machine, const char *id, const char *key)
{
    text_response_t response = request_with_key(machine, "/read/a", id, key);
    int status = response.status;
    text_response_free(&response);
    return status;
}

/// Sends a caller's request to a machine's node. It names another service than
/// the node's as its caller; the node must replace this name.
text_response_t
request_via_node(int machine, const char *method, const char *path,
                 const char *id)
{
    char *headers =
        g_strdup_printf("host: site.example\nx-request-id: %s\n"
                        "x-deadline-ms: 4000\n"
                        "x-caller-service: forged%s%s",
                        id, site_access_key == NULL ? "" : "\nx-credential: ",
                        site_access_key == NULL ? "" : site_access_key);
    text_response_t response =
        http_call(site.machines[machine].address, PORT_CALLER, method, path,
                  headers, "");
    g_free(headers);
    return response;
}

/// Returns a member of the /count response of a machine's server.
int64_t
upstream_counter(int machine, const char *field)
{
    text_response_t response =
        http_call(site.machines[machine].address, PORT_UPSTREAM, "GET",
                  "/count", NULL, NULL);
    struct json_object *json = json_tokener_parse(response.body);
    int64_t number = json_number(json, field);
    json_object_put(json);
    text_response_free(&response);
    return number;
}

/// Posts to a path of the server's interface for tests; see
/// test/standin/upstream.c.
void
set_server_mode(int machine, const char *path)
{
    text_response_t response = http_call(
        site.machines[machine].address, PORT_UPSTREAM, "POST", path, NULL, "");
    CU_ASSERT_EQUAL(response.status, 200);
    text_response_free(&response);
}

int
readiness_status(int machine)
{
    text_response_t response =
        http_call(site.machines[machine].address, PORT_READINESS, "GET",
                  "/readyz", NULL, NULL);
    int status = response.status;
    text_response_free(&response);
    return status;
}
