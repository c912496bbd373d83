/// @file
/// The store turns one machine away and serves the others. Meanwhile a desired
/// state moves a route to another service. Clients send requests on that route at
/// all machines, all the time. Checks that none at the machine that is turned away
/// is run by the old service if it was sent later than config_apply_s +
/// partition_max_s after the ack.

#include "rig.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define CONFIG_APPLY_S 2.0
#define PARTITION_MAX_S 5.0
/// Inside the longest in the site file, 9.0 s.
#define TURNED_AWAY_S 8.9
#define WORK_MS 40
#define DEADLINE_MS 4000
#define MACHINES 6

static rig_machine_t *machines[MACHINES];
static volatile bool stopping;
static volatile double moved_s; ///< ack of the change; 0: not yet
static uint32_t handled; ///< later than the bound, at the machine turned away
static uint32_t stale;   ///< of these, run by the old service

static void
write_state(int version, const char *service)
{
    char state[1024];
    snprintf(state, sizeof(state),
             "{\"version\":%d,\"routes\":[{\"name\":\"hours-lookup\","
             "\"host\":\"hours.example\",\"prefix\":\"/hours/\","
             "\"kind\":\"idempotent\",\"timeout_s\":4,"
             "\"target_latency_s\":1,\"priority\":2,\"service\":\"%s\","
             "\"max_attempts\":2}],\"services\":[{\"name\":\"werkstatt\","
             "\"health_path\":\"/healthz\",\"max_conns\":304},"
             "{\"name\":\"auftrag\",\"health_path\":\"/healthz\","
             "\"max_conns\":1072}],\"limits\":{}}",
             version, service);
    rig_store_put("op/config", state);
}

static void *
run_client(void *context)
{
    int client = (int)(intptr_t)context;
    for (int i = 0; !stopping; i++) {
        char id[32];
        char servers[RIG_TEXT_MAX];
        double sent_s = rig_now_s();
        snprintf(id, sizeof(id), "h%02d%05d", client, i);
        rig_request(machines[client], "GET", "hours.example", "/hours/1", id,
                    DEADLINE_MS, "");
        rig_run_servers(id, servers);
        if (client == 0 && moved_s != 0 &&
            sent_s > moved_s + CONFIG_APPLY_S + PARTITION_MAX_S)
        {
            handled++;
            // The first three servers are those of the old service.
            if (strcmp(servers, "i-1") == 0 || strcmp(servers, "i-2") == 0 ||
                strcmp(servers, "i-3") == 0)
            {
                stale++;
                rig_record("BROKEN id=%s sent %.3f s after the ack, run by %s "
                           "of the old service",
                           id, sent_s - moved_s, servers);
            }
        }
        rig_sleep_s(0.1);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    static const char *const zones[] = {"ob-rosenheim", "sw-augsburg",
                                        "ob-muenchen"};
    rig_init(argc > 1 ? argv[1] : ".");
    for (int i = 0; i < MACHINES; i++) {
        machines[i] =
            rig_machine_add(zones[i % 3], i < 3 ? "werkstatt" : "auftrag");
    }
    rig_store_start();
    write_state(7, "werkstatt");
    for (int i = 0; i < MACHINES; i++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%d", i + 1);
        rig_server_t *server =
            rig_server_start(machines[i], id, WORK_MS, NULL);
        rig_server_report(server, "ready", 0);
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
    if (rig_trouble) {
        rig_store_turn_away(machines[0], true);
    }
    double turned_away_s = rig_now_s();
    rig_sleep_s(0.5);
    write_state(9, "auftrag");
    moved_s = rig_now_s();
    rig_sleep_s(turned_away_s + TURNED_AWAY_S - rig_now_s());
    stopping = true;
    rig_store_turn_away(machines[0], false);
    for (int i = 0; i < MACHINES; i++) {
        pthread_join(threads[i], NULL);
    }
    rig_record("requests at the machine: %u, by the old service=%u", handled,
               stale);
    printf("requests at the machine: %u, by the old service=%u\n", handled,
           stale);
    rig_exit(handled == 0 ? RIG_CANNOT_RUN
             : stale > 0  ? RIG_BROKEN
                          : RIG_HELD);
}
