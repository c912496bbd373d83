/// @file
/// The store turns one machine away and serves the others. Meanwhile a desired
/// state moves a route to another service. The machine's clients are quiet at
/// that time. Checks that the first requests at it, later than config_apply_s +
/// partition_max_s after the ack, aren't run by the old service.

#include "rig.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define CONFIG_APPLY_S 2.0
#define PARTITION_MAX_S 5.0
/// The longest in the site file.
#define TURNED_AWAY_S 9.0
#define WORK_MS 40
#define DEADLINE_MS 4000
#define MACHINES 6

static rig_machine_t *machines[MACHINES];
static volatile bool stopping;

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

/// Clients of the other machines.
static void *
run_client(void *context)
{
    int client = (int)(intptr_t)context;
    for (int i = 0; !stopping; i++) {
        char id[32];
        snprintf(id, sizeof(id), "h%02d%05d", client, i);
        rig_request(machines[client], "GET", "hours.example", "/hours/1", id,
                    DEADLINE_MS, "");
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
    for (int i = 1; i < MACHINES; i++) {
        pthread_create(&threads[i], NULL, run_client, (void *)(intptr_t)i);
    }
    rig_sleep_s(5);
    if (rig_trouble) {
        rig_store_turn_away(machines[0], true);
    }
    double turned_away_s = rig_now_s();
    rig_sleep_s(0.5);
    write_state(9, "auftrag");
    double ack_s = rig_now_s();
    rig_sleep_s(ack_s + CONFIG_APPLY_S + PARTITION_MAX_S + 0.2 - rig_now_s());
    uint32_t stale = 0;
    uint32_t run = 0;
    for (int i = 0; rig_now_s() < turned_away_s + TURNED_AWAY_S - 0.2; i++) {
        char id[32];
        char servers[RIG_TEXT_MAX];
        double sent_s = rig_now_s();
        snprintf(id, sizeof(id), "q%05d", i);
        rig_request(machines[0], "GET", "hours.example", "/hours/1", id,
                    DEADLINE_MS, "");
        rig_run_servers(id, servers);
        run += servers[0] != '\0';
        // The first three servers are those of the old service.
        if (strcmp(servers, "i-1") == 0 || strcmp(servers, "i-2") == 0 ||
            strcmp(servers, "i-3") == 0)
        {
            rig_record("BROKEN id=%s sent %.3f s after the ack, run by %s of "
                       "the old service",
                       id, sent_s - ack_s, servers);
            stale++;
        }
        rig_sleep_s(0.1);
    }
    rig_store_turn_away(machines[0], false);
    stopping = true;
    for (int i = 1; i < MACHINES; i++) {
        pthread_join(threads[i], NULL);
    }
    rig_record("requests at the machine: run=%u, by the old service=%u", run,
               stale);
    printf("requests at the machine: run=%u, by the old service=%u\n", run,
           stale);
    rig_exit(run == 0    ? RIG_CANNOT_RUN
             : stale > 0 ? RIG_BROKEN
                         : RIG_HELD);
}
