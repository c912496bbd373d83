/// @file
/// A server leaves without reporting it: its entry is removed, and it goes on
/// serving for a while. Its machine is cut off from the store (one way) for
/// about a second, so that an answer of the store is held up; meanwhile other
/// nodes tell the node there of the removal.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../common/fleet.h"

#define MACHINES 4
#define HEARTBEAT_MS 1500
#define DRAIN_MS 2000   // drain_s of the site
#define CONTACT_MS 3000 // contact_s of the site
#define CUT_MS 1100
/// Times from the begin of the cut.
#define LAST_HEARTBEAT_MS 50
#define REMOVED_MS 300
/// How long it goes on serving after its removal ("a little longer, at times
/// many seconds").
#define SERVES_ON_MS 9000
#define CLIENTS 3 ///< for each machine
#define CLIENT_PAUSE_MS 40
#define WORK_MS 150

static volatile int64_t removed_ms[MACHINES]; ///< 0: listed
static volatile int late_requests[MACHINES];
static volatile int latest_ms[MACHINES];
static volatile int64_t healed_ms; ///< end of the cut; 0: not yet
static volatile bool done;
static int cut;
static pthread_mutex_t entry_lock[MACHINES];
static volatile int answered_200;
static volatile int answered_other;
static volatile int unanswered;

static void
serve(fleet_machine_t *machine, int fd, const fleet_message_t *request)
{
    int index = machine->index;
    char id[FLEET_TEXT_MAX] = "";
    fleet_header(request, "x-request-id", id, sizeof(id));
    fleet_record("server %s runs %s", machine->instance, id);
    int64_t since_ms =
        removed_ms[index] == 0 ? 0 : fleet_now_ms() - removed_ms[index];
    // Within CONTACT_MS after the cut its machine isn't in touch.
    if (since_ms > DRAIN_MS && healed_ms != 0 &&
        fleet_now_ms() - healed_ms > CONTACT_MS + 200)
    {
        __sync_fetch_and_add(&late_requests[index], 1);
        latest_ms[index] = (int)since_ms;
        fleet_record("late: %s reaches %s %lld ms after its removal", id,
                     machine->instance, (long long)since_ms);
    }
    fleet_sleep_ms(WORK_MS);
    if (machine->server_exited) {
        __sync_fetch_and_add(&cut, 1);
        fleet_record("server %s: its exit cuts %s", machine->instance, id);
        return;
    }
    fleet_respond(machine, fd, request, 200, 64);
}

/// Writes the entry of a server at each heartbeat, until it is removed.
static void *
run_heartbeats(void *context)
{
    fleet_machine_t *machine = context;
    fleet_sleep_ms(machine->index * HEARTBEAT_MS / MACHINES);
    while (!done && removed_ms[machine->index] == 0) {
        pthread_mutex_lock(&entry_lock[machine->index]);
        if (removed_ms[machine->index] == 0) {
            fleet_publish_server(machine, "ready");
        }
        pthread_mutex_unlock(&entry_lock[machine->index]);
        fleet_sleep_ms(HEARTBEAT_MS);
    }
    return NULL;
}

/// Sends requests to the node of its machine, one after the other, on one
/// connection.
static void *
run_client(void *context)
{
    fleet_machine_t *machine = context;
    fleet_message_t *response = malloc(sizeof(*response));
    int fd = -1;
    static int last;
    while (!done) {
        int number = __sync_add_and_fetch(&last, 1);
        char text[FLEET_TEXT_MAX * 2];
        if (fd < 0) {
            fd = fleet_connect(machine->ip, fleet_ports.outbound);
        }
        int len =
            snprintf(text, sizeof(text),
                     "POST /buchung/%d HTTP/1.1\r\nHost: termin.example\r\n"
                     "X-Request-Id: m%d-%d\r\nX-Deadline-Ms: 5000"
                     "\r\nContent-Length: 0\r\n\r\n",
                     number, machine->index + 1, number);
        fleet_record("client m%d-%d: sent to %s", machine->index + 1, number,
                     machine->name);
        bool answered = fd >= 0 && fleet_send(fd, text, (size_t)len) &&
                        fleet_read_message(fd, response, true);
        char value[32] = "";
        fleet_record("client m%d-%d: status=%d", machine->index + 1, number,
                     answered ? response->status : 0);
        __sync_fetch_and_add(!answered                 ? &unanswered
                             : response->status == 200 ? &answered_200
                                                       : &answered_other,
                             1);
        if (!answered || (fleet_header(response, "connection", value,
                                       sizeof(value)) != NULL &&
                          strcmp(value, "close") == 0))
        {
            close(fd);
            fd = -1;
        }
        fleet_sleep_ms(CLIENT_PAUSE_MS);
    }
    free(response);
    return NULL;
}

/// Writes the last heartbeat of a server, and removes its entry shortly
/// afterwards.
static void
remove_server(fleet_machine_t *machine)
{
    char key[FLEET_TEXT_MAX];
    snprintf(key, sizeof(key), "servers/%s", machine->instance);
    pthread_mutex_lock(&entry_lock[machine->index]);
    fleet_sleep_ms(LAST_HEARTBEAT_MS);
    fleet_publish_server(machine, "ready");
    fleet_record("store: last heartbeat of %s", machine->instance);
    fleet_sleep_ms(REMOVED_MS - LAST_HEARTBEAT_MS);
    uint64_t revision = fleet_store_delete(key);
    removed_ms[machine->index] = fleet_now_ms();
    pthread_mutex_unlock(&entry_lock[machine->index]);
    fleet_record("store: entry of %s removed, revision %llu",
                 machine->instance, (unsigned long long)revision);
}

int
main(int argc, char **argv)
{
    fleet_init(argc > 1 ? argv[1] : ".");
    for (int i = 0; i < MACHINES; i++) {
        char instance[16];
        snprintf(instance, sizeof(instance), "i-%d", i + 1);
        pthread_mutex_init(&entry_lock[i], NULL);
        fleet_machine_t *machine =
            fleet_add_machine("ob-rosenheim", "termin", instance);
        machine->handle = serve;
        fleet_start_server(machine);
        fleet_publish_server(machine, "ready");
    }
    fleet_store_put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":"
        "\"termin.example\",\"prefix\":\"/buchung/"
        "\",\"kind\":\"non_idempotent\","
        "\"timeout_s\":5,\"target_latency_s\":1.5,\"priority\":2,"
        "\"service\":\"termin\",\"max_attempts\":2}],\"services\":[{"
        "\"name\":\"termin\",\"health_path\":\"/healthz\",\"max_conns\":"
        "598}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
        "67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
    for (int i = 0; i < MACHINES; i++) {
        fleet_start_node(&fleet_machines[i]);
    }
    for (int i = 0; i < MACHINES; i++) {
        fleet_wait_ready(&fleet_machines[i], 10000);
        pthread_detach(fleet_thread(run_heartbeats, &fleet_machines[i]));
        for (int j = 0; j < CLIENTS; j++) {
            pthread_detach(fleet_thread(run_client, &fleet_machines[i]));
        }
    }
    fleet_sleep_ms(4000); // contact_s, and the start of all connections
    fleet_machine_t *leaver = &fleet_machines[0];
    // The cut begins while a watch of the node waits.
    for (int i = 0; i < 3000 && leaver->store_waiting == 0; i++) {
        fleet_sleep_ms(1);
    }
    int64_t cut_ms = fleet_now_ms();
    leaver->store_cut = fleet_trouble;
    if (fleet_trouble) {
        fleet_record("%s is cut off from the store, one way", leaver->name);
    }
    remove_server(leaver);
    while (fleet_now_ms() < cut_ms + CUT_MS) {
        fleet_sleep_ms(5);
    }
    leaver->store_cut = false;
    healed_ms = fleet_now_ms();
    fleet_record("the cut has healed after %lld ms",
                 (long long)(healed_ms - cut_ms));
    while (fleet_now_ms() < removed_ms[0] + SERVES_ON_MS) {
        fleet_sleep_ms(20);
    }
    fleet_stop_server(leaver);
    fleet_record("server %s exits", leaver->instance);
    fleet_sleep_ms(500);
    done = true;
    fleet_sleep_ms(300);
    fleet_record("server %s: %d requests later than %d ms after its removal "
                 "and %d ms after the cut, the last one %d ms after "
                 "its removal",
                 leaver->instance, late_requests[0], DRAIN_MS, CONTACT_MS,
                 latest_ms[0]);
    fleet_record("%d of its runs were cut by its exit", cut);
    fleet_record("clients: %d answered 200, %d answered otherwise, %d not",
                 answered_200, answered_other, unanswered);
    fleet_end(late_requests[0] > 0 ? 1 : 0);
}
