/// @file
/// Nodes with generated settings, and stand-ins of their environment, on
/// loopback addresses.

#include "common/testbed.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "common/suite.h"

#define CALL_TIMEOUT_US (30 * US_PER_S)
#define HEADERS_MAX 8

typedef struct {
    loop_t loop;
    text_response_t response;
} call_state_t;

static void
on_response(void *context, const http_response_t *response)
{
    call_state_t *state = context;
    GString *headers = g_string_new(NULL);
    for (size_t i = 0; i < response->header_count; i++) {
        const http_header_t *header = &response->headers[i];
        g_string_append_printf(headers, "%.*s: %.*s\n", (int)header->name.len,
                               header->name.data, (int)header->value.len,
                               header->value.data);
    }
    state->response.headers = g_string_free(headers, FALSE);
    state->response.body =
        g_strndup(response->body.len == 0 ? "" : response->body.data,
                  response->body.len);
    state->response.status =
        response->result == HTTP_COMPLETE ? response->status : 0;
    loop_stop(&state->loop);
}

/// Sends a request and waits for its response. @p header is NULL or "name:
/// value"; several headers are separated by line feeds.
text_response_t
http_call(const char *address, uint16_t port, const char *method,
          const char *path, const char *header, const char *body)
{
    call_state_t state = {0};
    clock_source_t clock;
    boot_clock_init(&clock);
    loop_init(&state.loop, &clock);
    endpoint_t endpoint = {.port = port};
    g_strlcpy(endpoint.address, address, sizeof(endpoint.address));
    http_pool_t *target = http_pool_new(&state.loop, &endpoint, 1, 64 << 20);
    char **lines = g_strsplit(header == NULL ? "" : header, "\n", -1);
    http_header_t sent[HEADERS_MAX];
    size_t count = 0;
    for (; lines[count] != NULL && count < HEADERS_MAX; count++) {
        char *colon = strstr(lines[count], ": ");
        *colon = '\0';
        sent[count] = (http_header_t){slice_from_string(lines[count]),
                                      slice_from_string(colon + 2)};
    }
    http_exchange_start(
        target, slice_from_string(method), slice_from_string(path), sent,
        count, slice_from_string(body), CALL_TIMEOUT_US, on_response, &state);
    loop_run(&state.loop);
    http_pool_release(target);
    loop_finish(&state.loop);
    g_strfreev(lines);
    return state.response;
}

struct http_call {
    char *address;
    uint16_t port;
    char *method;
    char *path;
    char *header;
    char *body;
    text_response_t response;
    GThread *thread;
};

static void *
run_call(void *context)
{
    http_call_t *in_flight = context;
    in_flight->response =
        http_call(in_flight->address, in_flight->port, in_flight->method,
                  in_flight->path, in_flight->header, in_flight->body);
    return NULL;
}

/// Sends a request like http_call(), without waiting for its response.
http_call_t *
http_call_start(const char *address, uint16_t port, const char *method,
                const char *path, const char *header, const char *body)
{
    http_call_t *in_flight = g_new0(http_call_t, 1);
    *in_flight = (http_call_t){g_strdup(address),
                               port,
                               g_strdup(method),
                               g_strdup(path),
                               g_strdup(header),
                               g_strdup(body),
                               {0},
                               NULL};
    in_flight->thread = g_thread_new("call", run_call, in_flight);
    return in_flight;
}

/// Waits for the response to http_call_start(), returns it and frees the call.
text_response_t
http_call_wait(http_call_t *in_flight)
{
    g_thread_join(in_flight->thread);
    text_response_t response = in_flight->response;
    g_free(in_flight->address);
    g_free(in_flight->method);
    g_free(in_flight->path);
    g_free(in_flight->header);
    g_free(in_flight->body);
    g_free(in_flight);
    return response;
}

/// Fails the test unless the response has the status @p status and the text
/// @p headers occurs in its headers. Frees the response.
void
assert_response(text_response_t response, int status, const char *headers)
{
    if (response.status != status || strstr(response.headers, headers) == NULL)
    {
        printf("\nfound: %d %s\nexpected: %d %s\n", response.status,
               response.headers, status, headers);
        CU_FAIL("response differs");
    }
    else {
        CU_PASS("response as expected");
    }
    text_response_free(&response);
}

/// Returns the value of a header, "" if there is none; g_free() it.
char *
response_header(const text_response_t *response, const char *name)
{
    char **lines = g_strsplit(response->headers, "\n", -1);
    char *prefix = g_strconcat(name, ": ", NULL);
    char *value = NULL;
    for (int i = 0; lines[i] != NULL && value == NULL; i++) {
        if (g_str_has_prefix(lines[i], prefix)) {
            value = g_strdup(lines[i] + strlen(prefix));
        }
    }
    g_free(prefix);
    g_strfreev(lines);
    return value == NULL ? g_strdup("") : value;
}

void
text_response_free(text_response_t *response)
{
    g_free(response->headers);
    g_free(response->body);
}

int64_t
json_number(struct json_object *object, const char *name)
{
    struct json_object *member = NULL;
    if (!json_object_object_get_ex(object, name, &member)) {
        return -1;
    }
    return json_object_get_int64(member);
}

/// Returns the value of a metric of a node, -1 if it can't be read.
int64_t
node_metric(const testbed_vm_t *vm, const char *name)
{
    text_response_t response =
        http_call(vm->address, PORT_OPERATOR, "GET", "/metrics", NULL, NULL);
    char *line = g_strdup_printf("\n%s ", name);
    const char *found =
        response.status == 200 ? strstr(response.body, line) : NULL;
    int64_t value =
        found == NULL ? -1 : g_ascii_strtoll(found + strlen(line), NULL, 10);
    g_free(line);
    text_response_free(&response);
    return value;
}

static char *
log_path(testbed_t *bed, const char *name)
{
    return g_strdup_printf("%s/%02d-%s.log", bed->directory,
                           g_atomic_int_add(&bed->log_count, 1), name);
}

static bool
start_with_log(testbed_t *bed, process_t *process, const char *name,
               const char *const *arguments)
{
    char *log = log_path(bed, name);
    bool started = process_start(process, log, arguments);
    g_free(log);
    return started;
}

/// Starts the platform. The addresses are derived from the process id, so that
/// tests that run in parallel use different ones.
void
testbed_init(testbed_t *bed)
{
    *bed = (testbed_t){0};
    bed->directory = g_dir_make_tmp("ibisfield-test-XXXXXX", NULL);
    int pid = (int)getpid();
    g_snprintf(bed->address, sizeof(bed->address), "127.%d.%d.1",
               16 + pid % 200, pid / 200 % 200);
    g_strlcpy(bed->platform_address_for_vms, bed->address,
              sizeof(bed->platform_address_for_vms));
    char *listen = g_strdup_printf("%s:%d", bed->address, PORT_PLATFORM);
    const char *const arguments[] = {IBISFIELD_BUILD_DIR
                                     "/test/standin_platform",
                                     "--listen", listen, NULL};
    bool started =
        start_with_log(bed, &bed->platform, "platform", arguments) &&
        process_wait_log(&bed->platform, "listening");
    g_free(listen);
    CU_ASSERT_TRUE_FATAL(started);
}

/// Writes the address of host number @p host in the network of the test.
void
testbed_address(const testbed_t *bed, int host, char address[16])
{
    const char *dot = strrchr(bed->address, '.');
    g_snprintf(address, 16, "%.*s.%d", (int)(dot - bed->address), bed->address,
               host);
}

static void
print_log(const char *vm, const char *program, const process_t *process)
{
    char *log = process_log(process);
    size_t len = strlen(log);
    fprintf(stderr, "--- %s, %s%s\n%s\n", vm, program,
            process_has_ended(process) ? ", has ended" : "",
            len > 3000 ? log + len - 3000 : log);
    g_free(log);
}

/// Prints the ends of the logs of the nodes and their upstreams, to explain a
/// failed test.
static void
print_logs(const testbed_t *bed)
{
    for (int i = 0; i < bed->vm_count; i++) {
        const testbed_vm_t *vm = &bed->vms[i];
        print_log(vm->vm, "node", &vm->node);
        print_log(vm->vm, "upstream", &vm->upstream);
    }
}

static void
remove_directory(const char *directory)
{
    GDir *dir = g_dir_open(directory, 0, NULL);
    const char *name;
    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(directory, name, NULL);
        g_unlink(path);
        g_free(path);
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    g_rmdir(directory);
}

/// Kills every process of the test and removes its files. Prints the logs
/// if a check has failed.
void
testbed_finish(testbed_t *bed)
{
    if (CU_get_number_of_failures() > 0) {
        print_logs(bed);
    }
    for (int i = 0; i < bed->vm_count; i++) {
        process_finish(&bed->vms[i].node);
        process_finish(&bed->vms[i].upstream);
    }
    process_finish(&bed->platform);
    remove_directory(bed->directory);
    g_free(bed->directory);
}

/// Publishes a configuration item.
bool
testbed_publish(testbed_t *bed, const char *name, const char *value)
{
    char *path = g_strdup_printf("/test/items/%s", name);
    text_response_t response =
        http_call(bed->address, PORT_PLATFORM, "PUT", path, NULL, value);
    bool published = response.status == 200;
    text_response_free(&response);
    g_free(path);
    return published;
}

/// Writes the settings file of a VM and returns its path, which the caller
/// frees. @p extra is "" or further members (", \"name\": value").
static char *
write_settings(testbed_t *bed, const testbed_vm_t *vm, const char *service,
               const char *data_centre, const char *extra)
{
    const char *address = vm->address;
    char *text = g_strdup_printf(
        "{\"vm\": \"%s\", \"data_centre\": \"%s\", \"service\": \"%s\",\n"
        "\"caller_listen\": \"%s:%d\", \"egress_listen\": \"%s:%d\",\n"
        "\"peer_listen\": \"%s:%d\", \"control_listen\": \"%s:%d\",\n"
        "\"operator_listen\": \"%s:%d\", \"upstream\": \"%s:%d\",\n"
        "\"upstream_slots\": 16, \"upstream_connections\": 64,\n"
        "\"config_url\": \"http://%s:%d\", \"list_url\": \"http://%s:%d\"%s}",
        vm->vm, data_centre, service, address, PORT_CALLER, address,
        PORT_EGRESS, address, PORT_PEER, address, PORT_CONTROL, address,
        PORT_OPERATOR, address, PORT_UPSTREAM, bed->platform_address_for_vms,
        PORT_PLATFORM, bed->platform_address_for_vms, PORT_PLATFORM, extra);
    char *path = g_strdup_printf("%s/%s.json", bed->directory, vm->vm);
    g_file_set_contents(path, text, -1, NULL);
    g_free(text);
    return path;
}

/// Publishes the VM in the VM list; @p state is "live" or "leaving".
bool
testbed_publish_vm(testbed_t *bed, const testbed_vm_t *vm, const char *state)
{
    char *name = g_strdup_printf("vm/%s", vm->vm);
    char *value = g_strdup_printf(
        "{\"data_centre\": \"%s\", \"service\": \"%s\", \"address\": \"%s\", "
        "\"caller_port\": %d, \"peer_port\": %d, \"control_port\": %d, "
        "\"state\": \"%s\"}",
        vm->data_centre, vm->service, vm->address, PORT_CALLER, PORT_PEER,
        PORT_CONTROL, state);
    bool published = testbed_publish(bed, name, value);
    g_free(name);
    g_free(value);
    return published;
}

/// Starts the upstream of a VM, also after it has ended. Returns true if the
/// VM has none.
bool
testbed_start_upstream(testbed_t *bed, testbed_vm_t *vm)
{
    const char *const *extra = vm->upstream_arguments;
    if (extra == NULL) {
        return true;
    }
    GPtrArray *arguments = g_ptr_array_new();
    char *listen = g_strdup_printf("%s:%d", vm->address, PORT_UPSTREAM);
    char *egress = g_strdup_printf("%s:%d", vm->address, PORT_EGRESS);
    g_ptr_array_add(arguments, IBISFIELD_BUILD_DIR "/test/standin_upstream");
    g_ptr_array_add(arguments, "--listen");
    g_ptr_array_add(arguments, listen);
    for (int i = 0; extra[i] != NULL; i++) {
        bool is_egress = strcmp(extra[i], "EGRESS") == 0;
        g_ptr_array_add(arguments, is_egress ? egress : (char *)extra[i]);
    }
    g_ptr_array_add(arguments, NULL);
    bool started = start_with_log(bed, &vm->upstream, "upstream",
                                  (const char *const *)arguments->pdata) &&
                   process_wait_log(&vm->upstream, "listening");
    g_ptr_array_free(arguments, TRUE);
    g_free(listen);
    g_free(egress);
    return started;
}

/// Starts the node of a VM, also after it has ended.
bool
testbed_start_node(testbed_t *bed, testbed_vm_t *vm)
{
    char *path = g_strdup_printf("%s/%s.json", bed->directory, vm->vm);
    const char *const arguments[] = {IBISFIELD_BUILD_DIR "/ibisfield", "run",
                                     path, NULL};
    bool started = start_with_log(bed, &vm->node, vm->vm, arguments);
    g_free(path);
    return started;
}

/// Returns the output of all upstreams, including those that have ended;
/// g_free() it.
char *
testbed_upstream_logs(const testbed_t *bed)
{
    GString *logs = g_string_new(NULL);
    GDir *dir = g_dir_open(bed->directory, 0, NULL);
    const char *name;
    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(bed->directory, name, NULL);
        char *log = NULL;
        if (g_str_has_suffix(name, "-upstream.log") &&
            g_file_get_contents(path, &log, NULL, NULL))
        {
            g_string_append(logs, log);
        }
        g_free(log);
        g_free(path);
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    return g_string_free(logs, FALSE);
}

/// Returns how often the upstreams have printed @p text.
int
testbed_count_in_upstream_logs(const testbed_t *bed, const char *text)
{
    int count = 0;
    char *logs = testbed_upstream_logs(bed);
    const char *at = logs;
    for (; (at = strstr(at, text)) != NULL; at++) {
        count++;
    }
    g_free(logs);
    return count;
}

/// Starts a node and its upstream on the next address. The VM isn't published
/// in the VM list; see testbed_add_vm(). @p settings is "" or further members
/// of the settings
/// (", \"name\": value"). An upstream argument "EGRESS" is replaced by the
/// VM's egress address. If @p upstream_arguments is NULL, no upstream is
/// started.
testbed_vm_t *
testbed_start_vm(testbed_t *bed, const char *service, const char *data_centre,
                 const char *settings, const char *const *upstream_arguments)
{
    testbed_vm_t *vm = &bed->vms[bed->vm_count++];
    g_snprintf(vm->vm, sizeof(vm->vm), "vm%d", bed->vm_count);
    testbed_address(bed, 1 + bed->vm_count, vm->address);
    g_strlcpy(vm->service, service, sizeof(vm->service));
    g_strlcpy(vm->data_centre, data_centre, sizeof(vm->data_centre));
    vm->upstream_arguments = upstream_arguments;
    g_free(write_settings(bed, vm, service, data_centre, settings));
    bool started =
        testbed_start_upstream(bed, vm) && testbed_start_node(bed, vm);
    CU_ASSERT_TRUE_FATAL(started);
    return vm;
}

/// Publishes a VM in the VM list and starts it like testbed_start_vm().
testbed_vm_t *
testbed_add_vm(testbed_t *bed, const char *service, const char *data_centre,
               const char *settings, const char *const *upstream_arguments)
{
    testbed_vm_t vm = {0}; // Name and address that testbed_start_vm() assigns.
    g_snprintf(vm.vm, sizeof(vm.vm), "vm%d", bed->vm_count + 1);
    testbed_address(bed, 2 + bed->vm_count, vm.address);
    g_strlcpy(vm.service, service, sizeof(vm.service));
    g_strlcpy(vm.data_centre, data_centre, sizeof(vm.data_centre));
    CU_ASSERT_TRUE(testbed_publish_vm(bed, &vm, "live"));
    return testbed_start_vm(bed, service, data_centre, settings,
                            upstream_arguments);
}

static bool
all_vms_ready(void *context)
{
    testbed_t *bed = context;
    for (int i = 0; i < bed->vm_count; i++) {
        const testbed_vm_t *vm = &bed->vms[i];
        text_response_t response = http_call(vm->address, PORT_OPERATOR, "GET",
                                             "/status", NULL, NULL);
        struct json_object *status = json_tokener_parse(response.body);
        struct json_object *state = NULL;
        bool ready = response.status == 200 &&
                     json_object_object_get_ex(status, "state", &state) &&
                     strcmp(json_object_get_string(state), "ok") == 0 &&
                     json_number(status, "vms_listed") == bed->vm_count;
        json_object_put(status);
        text_response_free(&response);
        if (!ready) {
            return false;
        }
    }
    return true;
}

/// Waits until the status of every node is "ok" and lists every VM.
bool
testbed_wait_ready(testbed_t *bed)
{
    return wait_until(all_vms_ready, bed);
}

/// Starts a client process; @p arguments ends with NULL.
bool
testbed_start_client(testbed_t *bed, process_t *client,
                     const char *const *arguments)
{
    GPtrArray *all = g_ptr_array_new();
    g_ptr_array_add(all, IBISFIELD_BUILD_DIR "/test/standin_client");
    for (int i = 0; arguments[i] != NULL; i++) {
        g_ptr_array_add(all, (char *)arguments[i]);
    }
    g_ptr_array_add(all, NULL);
    bool started =
        start_with_log(bed, client, "client", (const char *const *)all->pdata);
    g_ptr_array_free(all, TRUE);
    return started;
}

/// Waits until a client has ended and returns the summary that it printed,
/// NULL if there is none.
struct json_object *
testbed_client_summary(process_t *client, int *exit_code)
{
    *exit_code = process_wait(client);
    char *log = process_log(client);
    const char *start_of_json = strstr(log, "{ \"requests\"");
    struct json_object *summary =
        start_of_json == NULL ? NULL : json_tokener_parse(start_of_json);
    fprintf(stderr, "client: exit %d: %s\n", *exit_code, log);
    g_free(log);
    process_finish(client);
    return summary;
}
