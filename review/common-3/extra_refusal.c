/// @file
/// A faulty server sends additional bytes after some of its complete answers,
/// late, at the point where the next answer is expected. They have the form of
/// a rejection, and no request id. Checks that no booking runs twice, and that
/// none that has run is answered with a promise that it hasn't.

#include "rig.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define CLIENTS 6
#define REQUESTS_PER_CLIENT 150
#define DEADLINE_MS 5000
#define WORK_MS 40
/// One answer in this many is spoilt: the share of the site file, 0.03.
#define SPOILT_EVERY 34
/// Shorter than the longest in the site file, 5.5 s.
#define TROUBLE_S 5.0

static rig_machine_t *machines[3];
static double trouble_end_s;

static bool
send_extra_bytes(rig_server_t *server, rig_connection_t *connection,
                 const rig_message_t *request, uint32_t number)
{
    static const char extra[] = "HTTP/1.1 503 Service Unavailable\r\n"
                                "X-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n";
    static uint32_t due = SPOILT_EVERY;
    if (!rig_trouble || rig_now_s() >= trouble_end_s || number < 2 ||
        server->answers < due)
    {
        return true;
    }
    due = server->answers + SPOILT_EVERY;
    char id[RIG_TEXT_MAX];
    rig_header(request, "x-request-id", id);
    rig_record("additional bytes server=%s before the answer to id=%s",
               server->id, id);
    rig_write(connection->fd, extra, strlen(extra));
    return true;
}

static void *
run_client(void *context)
{
    int client = (int)(intptr_t)context;
    for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
        char id[32];
        snprintf(id, sizeof(id), "b%02d%04d", client, i);
        int status =
            rig_request(machines[client % 3], "POST", "booking.example",
                        "/slots/1", id, DEADLINE_MS, "slot=7");
        uint32_t runs = rig_runs(id);
        if (runs > 1 || (runs > 0 && (status == 503 || status == 429))) {
            char servers[RIG_TEXT_MAX];
            rig_run_servers(id, servers);
            rig_record("BROKEN id=%s status=%d runs=%u at: %s", id, status,
                       runs, servers);
        }
        rig_sleep_s(0.02);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    static const char *const zones[] = {"ob-rosenheim", "sw-augsburg",
                                        "ob-muenchen"};
    rig_init(argc > 1 ? argv[1] : ".");
    for (int i = 0; i < 3; i++) {
        machines[i] = rig_machine_add(zones[i], "termin");
    }
    rig_store_start();
    rig_store_put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"slot-booking\","
        "\"host\":\"booking.example\",\"prefix\":\"/slots/\","
        "\"kind\":\"non_idempotent\",\"timeout_s\":5,"
        "\"target_latency_s\":1.5,\"priority\":0,\"service\":\"termin\","
        "\"max_attempts\":2}],\"services\":[{\"name\":\"termin\","
        "\"health_path\":\"/healthz\",\"max_conns\":1072}],\"limits\":{}}");
    for (int i = 0; i < 3; i++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%d", i + 1);
        // One server of three is faulty: the largest share is 0.6.
        rig_server_t *server = rig_server_start(
            machines[i], id, WORK_MS, i == 0 ? send_extra_bytes : NULL);
        rig_server_report(server, "ready", 0);
        rig_node_start(machines[i]);
    }
    for (int i = 0; i < 3; i++) {
        if (!rig_node_wait_ready(machines[i])) {
            rig_exit(RIG_CANNOT_RUN);
        }
    }
    trouble_end_s = rig_now_s() + TROUBLE_S;
    pthread_t threads[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&threads[i], NULL, run_client, (void *)(intptr_t)i);
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    rig_sleep_s(1);
    uint32_t twice = 0;
    uint32_t run = 0;
    for (int client = 0; client < CLIENTS; client++) {
        for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
            char id[32];
            snprintf(id, sizeof(id), "b%02d%04d", client, i);
            uint32_t runs = rig_runs(id);
            run += runs > 0;
            twice += runs > 1;
        }
    }
    rig_record("bookings=%d run=%u run twice=%u",
               CLIENTS * REQUESTS_PER_CLIENT, run, twice);
    printf("bookings=%d run=%u run twice=%u\n", CLIENTS * REQUESTS_PER_CLIENT,
           run, twice);
    rig_exit(run == 0    ? RIG_CANNOT_RUN
             : twice > 0 ? RIG_BROKEN
                         : RIG_HELD);
}
