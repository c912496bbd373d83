/// @file
/// A node is stopped while the server beside it runs a request. That request
/// calls another service CALL_AFTER_STOP_MS after the SIGTERM, and the other
/// server works on the call until shortly before the end of the grace.

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../common/fleet.h"

#define REQUESTS 6
/// Time from the SIGTERM to the calls. The requests were sent before it.
#define CALL_AFTER_STOP_MS 3300
#define CALL_WORK_MS 2550
#define TIME_BUDGET_MS 8000
#define SENT_BEFORE_STOP_MS 400

static fleet_machine_t *stopped;
static volatile int64_t stop_ms;
static int calls_broken_off;

/// The called server: works, and notes whether its client is still there.
static void
serve_call(fleet_machine_t *machine, int fd, const fleet_message_t *request)
{
    char id[FLEET_TEXT_MAX] = "";
    fleet_header(request, "x-request-id", id, sizeof(id));
    fleet_record("server %s runs call %s", machine->instance, id);
    fleet_sleep_ms(CALL_WORK_MS);
    fleet_record("server %s answers call %s", machine->instance, id);
    fleet_respond(machine, fd, request, 200, 64);
}

/// The server beside the stopped node: calls the other service through the
/// outbound address of its own machine.
static void
serve_parent(fleet_machine_t *machine, int fd, const fleet_message_t *request)
{
    char id[FLEET_TEXT_MAX] = "";
    char text[FLEET_TEXT_MAX * 4];
    fleet_header(request, "x-request-id", id, sizeof(id));
    fleet_record("server %s runs request %s", machine->instance, id);
    fleet_sleep_ms(SENT_BEFORE_STOP_MS + CALL_AFTER_STOP_MS);
    int call = fleet_connect(machine->ip, fleet_ports.outbound);
    int len = snprintf(
        text, sizeof(text),
        "GET /plan/%s HTTP/1.1\r\nHost: intern.example\r\n"
        "X-Request-Id: %s.1\r\nX-Deadline-Ms: %d\r\n\r\n",
        id, id, TIME_BUDGET_MS - CALL_AFTER_STOP_MS - SENT_BEFORE_STOP_MS);
    int64_t sent_ms = fleet_now_ms();
    bool sent = call >= 0 && fleet_send(call, text, (size_t)len);
    fleet_message_t *response = malloc(sizeof(*response));
    bool answered = sent && fleet_read_message(call, response, true);
    char seal[FLEET_TEXT_MAX] = "";
    fleet_header(response, "x-server-seal", seal, sizeof(seal));
    fleet_record("call %s.1 sent %lld ms after the SIGTERM: status=%d "
                 "seal=\"%s\" complete=%d, %lld ms after the SIGTERM",
                 id, (long long)(stop_ms == 0 ? 0 : sent_ms - stop_ms),
                 response->status, seal, answered,
                 (long long)(stop_ms == 0 ? 0 : fleet_now_ms() - stop_ms));
    // 503 promises that the call has not run; anything else without the
    // server's seal was broken off.
    if (!answered || (seal[0] == '\0' && response->status != 503)) {
        __sync_fetch_and_add(&calls_broken_off, 1);
    }
    int status = answered && response->status == 200 ? 200 : 500;
    free(response);
    if (call >= 0) {
        close(call);
    }
    fleet_respond(machine, fd, request, status, 64);
}

static void *
run_client(void *context)
{
    fleet_machine_t *machine = context;
    static int last;
    int number = __sync_add_and_fetch(&last, 1);
    char text[FLEET_TEXT_MAX * 2];
    int fd = fleet_connect(machine->ip, fleet_ports.outbound);
    int len = snprintf(text, sizeof(text),
                       "GET /stand/%d HTTP/1.1\r\nHost: laden.example\r\n"
                       "X-Request-Id: req-%d\r\nX-Deadline-Ms: %d\r\n\r\n",
                       number, number, TIME_BUDGET_MS);
    fleet_record("client req-%d: sent to %s", number, machine->name);
    fleet_send(fd, text, (size_t)len);
    fleet_message_t *response = malloc(sizeof(*response));
    bool answered = fleet_read_message(fd, response, true);
    fleet_record("client req-%d: status=%d complete=%d", number,
                 response->status, answered);
    free(response);
    close(fd);
    return NULL;
}

#define ROUTE(name, host, prefix, service, timeout)                           \
    "{\"name\":\"" name "\",\"host\":\"" host "\",\"prefix\":\"" prefix       \
    "\",\"kind\":\"idempotent\",\"timeout_s\":" timeout                       \
    ",\"target_latency_s\":2,\"priority\":1,\"service\":\"" service           \
    "\",\"max_attempts\":1}"

int
main(int argc, char **argv)
{
    fleet_init(argc > 1 ? argv[1] : ".");
    stopped = fleet_add_machine("ob-rosenheim", "auftrag", "i-auftrag");
    stopped->handle = serve_parent;
    fleet_machine_t *entry =
        fleet_add_machine("ob-rosenheim", "termin", "i-termin");
    entry->handle = serve_call;
    for (int i = 0; i < fleet_machine_count; i++) {
        fleet_start_server(&fleet_machines[i]);
        fleet_publish_server(&fleet_machines[i], "ready");
    }
    fleet_store_put(
        "op/config",
        "{\"version\":7,\"routes\":[" ROUTE(
            "r-1", "laden.example", "/stand/", "auftrag",
            "8") "," ROUTE("r-2", "intern.example", "/plan/", "termin",
                           "8") "],\"services\":[{\"name\":\"auftrag\","
                                "\"health_path\":\"/healthz\","
                                "\"max_conns\":1072},{\"name\":\"termin\","
                                "\"health_path\":"
                                "\"/"
                                "healthz\",\"max_conns\":1072}],\"limits\":{"
                                "\"max_header_bytes\":"
                                "16384,\"max_body_bytes\":67108864,\"header_"
                                "timeout_s\":3,"
                                "\"idle_timeout_s\":15}}");
    for (int i = 0; i < fleet_machine_count; i++) {
        fleet_start_node(&fleet_machines[i]);
    }
    for (int i = 0; i < fleet_machine_count; i++) {
        fleet_wait_ready(&fleet_machines[i], 10000);
    }
    fleet_sleep_ms(3500); // contact_s
    pthread_t threads[REQUESTS];
    for (int i = 0; i < REQUESTS; i++) {
        threads[i] = fleet_thread(run_client, entry);
    }
    fleet_sleep_ms(SENT_BEFORE_STOP_MS);
    if (fleet_trouble) {
        stop_ms = fleet_now_ms();
        fleet_record("SIGTERM to node %s", stopped->name);
        kill(stopped->pid, SIGTERM);
        while (!fleet_node_ended(stopped) && fleet_now_ms() < stop_ms + 6000) {
            fleet_sleep_ms(20);
        }
    }
    for (int i = 0; i < REQUESTS; i++) {
        pthread_join(threads[i], NULL);
    }
    fleet_record("%d of %d calls broken off while their server was at work",
                 calls_broken_off, REQUESTS);
    fleet_end(calls_broken_off > 0 ? 1 : 0);
}
