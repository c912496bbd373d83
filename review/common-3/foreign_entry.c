/// @file
/// A server leaves: its entry is removed, and it goes on serving for some
/// seconds. Meanwhile another writer puts an entry under the same key, in which
/// fields are missing. Checks that the server gets no request later than drain_s
/// after the store has accepted the removal.

#include "rig.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define DRAIN_S 2.0
/// From the removal to the entry of the other writer.
#define FOREIGN_AFTER_S 0.5
/// A server goes on for drain_s and a little longer, at times many seconds.
#define SERVES_ON_S 6.0
#define WORK_MS 40
#define DEADLINE_MS 5000
#define MACHINES 8

static rig_machine_t *machines[MACHINES];
static volatile bool stopping;
static volatile double removed_s;
static uint32_t late;
static uint32_t runs;

static bool
count_late(rig_server_t *server, rig_connection_t *connection,
           const rig_message_t *request, uint32_t number)
{
    (void)connection;
    (void)number;
    char id[RIG_TEXT_MAX];
    double now_s = rig_now_s();
    __atomic_fetch_add(&runs, 1, __ATOMIC_RELAXED);
    if (removed_s != 0 && now_s > removed_s + DRAIN_S) {
        rig_header(request, "x-request-id", id);
        rig_record("BROKEN id=%s reached %s %.3f s after the removal of its "
                   "entry was accepted",
                   id, server->id, now_s - removed_s);
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
        rig_request(machines[client], "GET", "status.example", "/orders/1", id,
                    DEADLINE_MS, "");
        rig_sleep_s(0.02);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    static const char *const zones[] = {"ob-rosenheim", "sw-augsburg",
                                        "ob-muenchen"};
    rig_server_t *servers[MACHINES];
    rig_init(argc > 1 ? argv[1] : ".");
    for (int i = 0; i < MACHINES; i++) {
        machines[i] =
            rig_machine_add(zones[i % 3], i < 3 ? "auftrag" : "termin");
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
        servers[i] = rig_server_start(machines[i], id, WORK_MS,
                                      i == 2 ? count_late : NULL);
        rig_server_report(servers[i], "ready", 0);
        rig_node_start(machines[i]);
    }
    for (int i = 0; i < MACHINES; i++) {
        if (!rig_node_wait_ready(machines[i])) {
            rig_exit(RIG_CANNOT_RUN);
        }
    }
    pthread_t threads[MACHINES];
    for (int i = 0; i < MACHINES; i++) {
        pthread_create(&threads[i], NULL, run_client, (void *)(intptr_t)i);
    }
    rig_sleep_s(5);

    uint32_t before = runs;
    rig_server_remove(servers[2]);
    removed_s = rig_now_s();
    rig_sleep_s(FOREIGN_AFTER_S);
    if (rig_trouble) {
        char entry[512];
        snprintf(entry, sizeof(entry),
                 "{\"service\":\"auftrag\",\"address\":\"%s:%u\","
                 "\"zone\":\"%s\",\"slots\":162,\"state\":\"ready\"}",
                 servers[2]->ip, servers[2]->port, servers[2]->zone);
        rig_store_put("servers/i-3", entry);
    }
    rig_sleep_s(SERVES_ON_S - FOREIGN_AFTER_S);
    rig_server_stop(servers[2]);
    stopping = true;
    for (int i = 0; i < MACHINES; i++) {
        pthread_join(threads[i], NULL);
    }
    rig_record("requests at the server: before=%u, later than drain_s after "
               "its removal=%u",
               before, late);
    printf("requests at the server: before=%u, later than drain_s after its "
           "removal=%u\n",
           before, late);
    rig_exit(before == 0 ? RIG_CANNOT_RUN
             : late > 0  ? RIG_BROKEN
                         : RIG_HELD);
}
