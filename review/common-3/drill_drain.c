/// @file
/// A server joins; then the store is away for a second and comes back from a
/// copy some seconds old, without the entry of that server, which writes it
/// again. Some seconds later the server reports that it drains. Checks that it
/// gets no request later than drain_s after the store has accepted that report.

#include "rig.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define DRAIN_S 2.0
#define HEARTBEAT_S 1.5
#define COLD_S 3.0
#define AWAY_S 1.0
/// From the return of the store to the planned leave.
#define CALM_S 8.0
/// A server goes on for drain_s and a little longer, at times many seconds.
#define SERVES_ON_S 6.0
#define WORK_MS 40
#define DEADLINE_MS 5000
#define CLIENTS 6
/// Machines at first: three of each service.
#define MACHINES 6

static rig_machine_t *machines[MACHINES + 1];
static volatile bool stopping;
static volatile double drain_accepted_s;
static uint32_t late;
static uint32_t on_leaving;

/// The server that leaves. Counts what reaches it after its report.
static bool
count_late(rig_server_t *server, rig_connection_t *connection,
           const rig_message_t *request, uint32_t number)
{
    (void)connection;
    (void)number;
    char id[RIG_TEXT_MAX];
    double now_s = rig_now_s();
    __atomic_fetch_add(&on_leaving, 1, __ATOMIC_RELAXED);
    if (drain_accepted_s != 0 && now_s > drain_accepted_s + DRAIN_S) {
        rig_header(request, "x-request-id", id);
        rig_record("BROKEN id=%s reached %s %.3f s after it was accepted that "
                   "the server drains",
                   id, server->id, now_s - drain_accepted_s);
        __atomic_fetch_add(&late, 1, __ATOMIC_RELAXED);
    }
    return true;
}

static void *
run_client(void *context)
{
    int client = (int)(intptr_t)context;
    for (int i = 0; !stopping; i++) {
        char id[32];
        snprintf(id, sizeof(id), "s%02d%05d", client, i);
        rig_request(machines[client % MACHINES], "GET", "status.example",
                    "/orders/1", id, DEADLINE_MS, "");
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
    for (int i = 0; i <= MACHINES; i++) {
        machines[i] = rig_machine_add(
            zones[i % 3], i < 3 || i == MACHINES ? "auftrag" : "termin");
    }
    rig_store_start();
    rig_store_put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"status-check\","
        "\"host\":\"status.example\",\"prefix\":\"/orders/\","
        "\"kind\":\"idempotent\",\"timeout_s\":5,"
        "\"target_latency_s\":1.2,\"priority\":2,\"service\":\"auftrag\","
        "\"max_attempts\":2}],\"services\":[{\"name\":\"auftrag\","
        "\"health_path\":\"/healthz\",\"max_conns\":1072},"
        "{\"name\":\"termin\",\"health_path\":\"/healthz\","
        "\"max_conns\":1072}],\"limits\":{}}");
    for (int i = 0; i < MACHINES; i++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%d", i + 1);
        rig_server_report(rig_server_start(machines[i], id, WORK_MS, NULL),
                          "ready", 0);
        rig_node_start(machines[i]);
    }
    for (int i = 0; i < MACHINES; i++) {
        if (!rig_node_wait_ready(machines[i])) {
            rig_exit(RIG_CANNOT_RUN);
        }
    }
    pthread_t threads[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&threads[i], NULL, run_client, (void *)(intptr_t)i);
    }
    rig_sleep_s(3);

    // A server is added; its entry changes while it is cold.
    rig_store_copy();
    rig_server_t *server =
        rig_server_start(machines[MACHINES], "i-new", WORK_MS, count_late);
    rig_node_start(machines[MACHINES]);
    for (double cold_s = COLD_S; cold_s >= 0; cold_s -= HEARTBEAT_S) {
        rig_server_report(server, "ready", cold_s);
        rig_sleep_s(HEARTBEAT_S);
    }

    if (rig_trouble) {
        rig_store_set_down(true);
        rig_store_restore();
        rig_sleep_s(AWAY_S);
        rig_store_set_down(false);
        // What the server wrote after the copy is written again.
        rig_sleep_s(HEARTBEAT_S / 2);
        rig_server_report(server, "ready", 0);
    }
    rig_sleep_s(CALM_S);

    uint32_t before = on_leaving;
    rig_server_report(server, "draining", 0);
    drain_accepted_s = rig_now_s();
    rig_sleep_s(SERVES_ON_S);
    rig_server_remove(server);
    rig_sleep_s(1);
    stopping = true;
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    rig_record("requests at the leaving server: before=%u, later than drain_s "
               "after=%u",
               before, late);
    printf("requests at the leaving server: before=%u, later than drain_s "
           "after=%u\n",
           before, late);
    rig_exit(before == 0 ? RIG_CANNOT_RUN
             : late > 0  ? RIG_BROKEN
                         : RIG_HELD);
}
