/// @file
/// Many users come at once, so that requests wait in the queues of the nodes.
/// Meanwhile one server leaves: it reports that it is draining, goes on
/// serving for drain_s and a little longer, and exits.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../common/fleet.h"

#define MACHINES 3
#define SLOTS 16
#define WORK_MS 540
#define TIME_BUDGET_MS 8000
#define DRAIN_MS 2000 // drain_s of the site
/// The server exits this long after its report ("and a little longer").
#define EXITS_AFTER_MS 3500
#define WARM_UP_MS 6000
#define CLIENTS 84 ///< for each machine
#define CROWD 143  ///< the same in the burst, 1.7 times as many
#define CLIENT_PAUSE_MS 2400
#define LEAVES_AFTER_MS 2500 ///< from the begin of the burst

/// Servers of one service differ in speed.
static const double speeds[MACHINES] = {0.5, 1.0, 1.5};
static volatile int64_t draining_ms; ///< the store's ack; 0: not yet
static volatile bool done;
static fleet_machine_t *leaver;
static int late;
static int cut;
static int answered_200;
static int answered_503;
static int answered_other;

static void
serve(fleet_machine_t *machine, int fd, const fleet_message_t *request)
{
    char id[FLEET_TEXT_MAX] = "";
    fleet_header(request, "x-request-id", id, sizeof(id));
    fleet_record("server %s runs %s", machine->instance, id);
    if (machine == leaver && draining_ms != 0) {
        int64_t since_ms = fleet_now_ms() - draining_ms;
        if (since_ms > DRAIN_MS) {
            __sync_fetch_and_add(&late, 1);
            fleet_record("late: %s reaches %s %lld ms after it reported "
                         "draining",
                         id, machine->instance, (long long)since_ms);
        }
    }
    fleet_sleep_ms((int64_t)(WORK_MS / speeds[machine->index]));
    if (machine->server_exited) {
        __sync_fetch_and_add(&cut, 1);
        fleet_record("server %s: its exit cuts %s", machine->instance, id);
        return;
    }
    fleet_respond(machine, fd, request, 200, 64);
}

static void *
run_client(void *context)
{
    fleet_machine_t *machine = context;
    static int last;
    fleet_message_t *response = malloc(sizeof(*response));
    unsigned int seed = (unsigned int)__sync_add_and_fetch(&last, 1);
    fleet_sleep_ms(rand_r(&seed) % CLIENT_PAUSE_MS);
    while (!done) {
        char text[FLEET_TEXT_MAX * 2];
        int number = __sync_add_and_fetch(&last, 1);
        int fd = fleet_connect(machine->ip, fleet_ports.outbound);
        int len = snprintf(text, sizeof(text),
                           "POST /buchung/%d HTTP/1.1\r\nHost: "
                           "termin.example\r\nX-Request-Id: req-%d\r\n"
                           "X-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
                           number, number, TIME_BUDGET_MS);
        fleet_record("client req-%d: sent to %s", number, machine->name);
        bool answered = fd >= 0 && fleet_send(fd, text, (size_t)len) &&
                        fleet_read_message(fd, response, true);
        if (fd >= 0) {
            close(fd);
        }
        if (done) {
            break; // Its answer is of no interest any more.
        }
        fleet_record("client req-%d: status=%d", number,
                     answered ? response->status : 0);
        __sync_fetch_and_add(!answered                 ? &answered_other
                             : response->status == 200 ? &answered_200
                             : response->status == 503 ? &answered_503
                                                       : &answered_other,
                             1);
        char wait[32] = "0";
        if (answered) {
            fleet_header(response, "retry-after", wait, sizeof(wait));
        }
        fleet_sleep_ms((int64_t)(atof(wait) * 1000) + CLIENT_PAUSE_MS / 2 +
                       rand_r(&seed) % CLIENT_PAUSE_MS);
    }
    free(response);
    return NULL;
}

int
main(int argc, char **argv)
{
    fleet_init(argc > 1 ? argv[1] : ".");
    for (int i = 0; i < MACHINES; i++) {
        char instance[16];
        snprintf(instance, sizeof(instance), "i-%d", i + 1);
        fleet_machine_t *machine =
            fleet_add_machine("ob-rosenheim", "termin", instance);
        machine->handle = serve;
        machine->slots = SLOTS;
        fleet_start_server(machine);
        fleet_publish_server(machine, "ready");
    }
    leaver = &fleet_machines[0];
    fleet_store_put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":"
        "\"termin.example\",\"prefix\":\"/buchung/\",\"kind\":"
        "\"non_idempotent\",\"timeout_s\":8,\"target_latency_s\":2,"
        "\"priority\":0,\"service\":\"termin\",\"max_attempts\":2}],"
        "\"services\":[{\"name\":\"termin\",\"health_path\":\"/healthz\","
        "\"max_conns\":748}],\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
        "\"idle_timeout_s\":15}}");
    for (int i = 0; i < MACHINES; i++) {
        fleet_start_node(&fleet_machines[i]);
    }
    for (int i = 0; i < MACHINES; i++) {
        fleet_wait_ready(&fleet_machines[i], 10000);
    }
    for (int i = 0; i < MACHINES * CLIENTS; i++) {
        fleet_thread(run_client, &fleet_machines[i % MACHINES]);
    }
    fleet_sleep_ms(WARM_UP_MS);
    if (fleet_trouble) {
        fleet_record("many users come at once");
        for (int i = 0; i < MACHINES * (CROWD - CLIENTS); i++) {
            fleet_thread(run_client, &fleet_machines[i % MACHINES]);
        }
    }
    fleet_sleep_ms(LEAVES_AFTER_MS);
    fleet_publish_server(leaver, "draining");
    draining_ms = fleet_now_ms();
    fleet_record("store: %s reports draining, acknowledged", leaver->instance);
    fleet_sleep_ms(EXITS_AFTER_MS);
    fleet_stop_server(leaver);
    fleet_record("server %s exits", leaver->instance);
    fleet_sleep_ms(1500);
    done = true;
    fleet_record("%d requests reached %s later than %d ms after the ack; %d "
                 "of its runs were cut by its exit; clients: %d answered 200, "
                 "%d 503, %d otherwise",
                 late, leaver->instance, DRAIN_MS, cut, answered_200,
                 answered_503, answered_other);
    fleet_end(late > 0 ? 1 : 0);
}
