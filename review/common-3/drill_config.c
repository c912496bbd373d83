/// @file
/// Desired states come in quick succession; then the store is away for a second
/// and comes back from a copy some seconds old, and the operator writes the
/// newest state again. Some seconds later a new state moves a route to another
/// service. Checks that no request later than config_apply_s after its ack is
/// run by the old service.

#include "rig.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

/// The longest of the sites that are in force.
#define CONFIG_APPLY_S 3.0
#define STORM_S 4.0
#define STORM_GAP_S 0.33
#define AWAY_S 1.0
/// From the return of the store to the change.
#define CALM_S 8.0
/// How long requests are watched after the change.
#define WATCHED_S 8.0
#define WORK_MS 40
#define DEADLINE_MS 4000
#define MACHINES 8

static rig_machine_t *machines[MACHINES];
static volatile bool stopping;
static volatile double moved_s; ///< ack of the change; 0: not yet
static uint32_t handled[MACHINES];
static uint32_t stale[MACHINES];

static void
write_state(int version, const char *service, double timeout_s)
{
    char state[1024];
    snprintf(state, sizeof(state),
             "{\"version\":%d,\"routes\":[{\"name\":\"hours-lookup\","
             "\"host\":\"hours.example\",\"prefix\":\"/hours/\","
             "\"kind\":\"idempotent\",\"timeout_s\":%.2f,"
             "\"target_latency_s\":1,\"priority\":2,\"service\":\"%s\","
             "\"max_attempts\":2}],\"services\":[{\"name\":\"werkstatt\","
             "\"health_path\":\"/healthz\",\"max_conns\":304},"
             "{\"name\":\"auftrag\",\"health_path\":\"/healthz\","
             "\"max_conns\":1072}],\"limits\":{}}",
             version, timeout_s, service);
    rig_store_put("op/config", state);
}

static bool
is_of_old_service(const char *servers)
{
    int number = 0;
    return sscanf(servers, "i-%d", &number) == 1 && number % 2 == 1;
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
        if (moved_s != 0 && sent_s > moved_s + CONFIG_APPLY_S) {
            handled[client]++;
            if (is_of_old_service(servers)) {
                stale[client]++;
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
    rig_init(argc > 1 ? argv[1] : ".");
    for (int i = 0; i < MACHINES; i++) {
        machines[i] = rig_machine_add("ob-rosenheim",
                                      i % 2 == 0 ? "werkstatt" : "auftrag");
    }
    rig_store_start();
    write_state(7, "werkstatt", 4);
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
    pthread_t threads[MACHINES];
    for (int i = 0; i < MACHINES; i++) {
        pthread_create(&threads[i], NULL, run_client, (void *)(intptr_t)i);
    }
    rig_sleep_s(5);

    rig_store_copy();
    int version = 7;
    for (double at = 0; at < STORM_S; at += STORM_GAP_S) {
        version += 2;
        write_state(version, "werkstatt", 3 + at / 10);
        rig_sleep_s(STORM_GAP_S);
    }
    if (rig_trouble) {
        rig_store_set_down(true);
        rig_store_restore();
        rig_sleep_s(AWAY_S);
        rig_store_set_down(false);
        // What the operator wrote after the copy is written again.
        rig_sleep_s(0.5);
        write_state(version, "werkstatt", 4);
    }
    rig_sleep_s(CALM_S);

    write_state(version + 3, "auftrag", 4);
    moved_s = rig_now_s();
    rig_sleep_s(CONFIG_APPLY_S + WATCHED_S);
    stopping = true;
    uint32_t all = 0;
    uint32_t broken = 0;
    for (int i = 0; i < MACHINES; i++) {
        pthread_join(threads[i], NULL);
        rig_record("machine %s: requests=%u, by the old service=%u",
                   machines[i]->name, handled[i], stale[i]);
        all += handled[i];
        broken += stale[i];
    }
    printf("requests later than config_apply_s: %u, by the old service=%u\n",
           all, broken);
    rig_exit(all == 0     ? RIG_CANNOT_RUN
             : broken > 0 ? RIG_BROKEN
                          : RIG_HELD);
}
