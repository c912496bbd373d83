/// @file
/// Fault soak: real nodes over stand-ins of the store and of servers, with
/// every connection through a proxy that harms them and every process subject
/// to signals, while clients check what they get. One seed decides all faults.
///
///     soak SEED [SEED ...] [--machines N] [--seconds N]
///
/// The logs of a run that fails are kept.

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/arguments.h"
#include "common/store_site.h"
#include "common/suite.h"
#include "fault_proxy.h"
#include "soak_client.h"

#define CLIENTS 12
#define SEEDS_MAX 512
#define MACHINES_USUAL_SOAK 6
#define SECONDS_USUAL 12
/// Pause between two faults, and how long one lasts.
#define GAP_MIN_MS 30
#define GAP_MAX_MS 450
#define LENGTH_MIN_MS 100
#define LENGTH_MAX_MS 3000
#define LENGTH_MAX_US ((gint64)LENGTH_MAX_MS * 1000)
/// Time after the last fault in which everything serves again; the users'
/// bound on recovery is 15 s.
#define RECOVERY_LIMIT_US ((gint64)15 * G_USEC_PER_SEC)
/// A node must have ended this long after SIGTERM: stop_limit_s, and a second
/// for the process to be scheduled.
#define STOP_LIMIT_US ((gint64)7 * G_USEC_PER_SEC)
/// Servers to which one request may be sent, by its route.
#define ATTEMPTS_MAX 2
/// Begins the ids of requests that check the recovery.
#define RECOVERY_ID "recovery-"
/// Time by which an answer may be late at a node that runs.
#define LATE_US ((gint64)1000 * 1000)

/// What a fault does; its end is a fault of its own.
typedef enum {
    FAULT_DELAY,
    FAULT_SILENCE,
    FAULT_ONE_WAY,
    FAULT_REFUSE,
    FAULT_RESET,
    FAULT_NODE_KILL,
    FAULT_NODE_PAUSE,
    FAULT_NODE_STOP,
    FAULT_NODE_HUP,
    FAULT_SERVER_KILL,
    FAULT_SERVER_DRAIN,
    FAULT_SERVER_SPOILS,
    FAULT_STORE_MODE,
    FAULT_STORE_CUT,
    FAULT_STORE_LAPSE,
    FAULT_STATE,
    FAULT_KINDS,
} fault_kind_t;

static const char *const fault_names[FAULT_KINDS] = {
    "delay",      "silence",     "one-way",      "refuse",
    "reset",      "node-kill",   "node-pause",   "node-stop",
    "node-hup",   "server-kill", "server-drain", "server-spoils",
    "store-mode", "store-cut",   "store-lapse",  "state"};

typedef struct {
    gint64 due_us; ///< since the start
    fault_kind_t kind;
    bool ends; ///< the end of an earlier fault
    int machine;
    int number; ///< which route, mode or value
} fault_t;

/// Ports that a machine's proxy passes on.
enum { ROUTE_PEER, ROUTE_SERVER, ROUTE_STORE, ROUTES };

/// What the soak knows of a node's process.
typedef struct {
    bool paused;
    gint64 stopping_us; ///< SIGTERM; 0: not stopping
    gint64 harmed_us;   ///< last kill, pause, or wake
    GArray *harms;      ///< gint64 pairs: from, to, in which it didn't run
    int restarts;
} node_state_t;

static struct {
    GArray *seeds;
    int machines;
    int seconds;
    GRand *random;
    gint64 start_us;
    GArray *faults; ///< fault_t, by due_us
    fault_proxy_t proxy;
    proxy_route_t *routes[MACHINES_MAX][ROUTES];
    node_state_t nodes[MACHINES_MAX];
    soak_load_t load;
    int violations;
    uint32_t seed;
} soak = {.machines = MACHINES_USUAL_SOAK, .seconds = SECONDS_USUAL};

static void
violation(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    soak.violations++;
    printf("seed %u: VIOLATION %s\n", soak.seed, text);
    g_free(text);
}

static int
draw(int from, int to)
{
    return g_rand_int_range(soak.random, from, to + 1);
}

/* Processes. */

static void
note_harm(int machine, gint64 from_us, gint64 to_us)
{
    g_array_append_val(soak.nodes[machine].harms, from_us);
    g_array_append_val(soak.nodes[machine].harms, to_us);
}

/// Whether the node didn't run for a part of the time.
static bool
was_harmed(int machine, gint64 from_us, gint64 to_us)
{
    const GArray *harms = soak.nodes[machine].harms;
    for (guint i = 0; i + 1 < harms->len; i += 2) {
        if (g_array_index(harms, gint64, i) <= to_us &&
            g_array_index(harms, gint64, i + 1) >= from_us)
        {
            return true;
        }
    }
    return false;
}

static void
restart_node(int machine)
{
    start_node(&site.machines[machine]);
    soak.nodes[machine].stopping_us = 0;
    soak.nodes[machine].paused = false;
    soak.nodes[machine].restarts++;
}

/// Ends a node that was stopped and starts it again; checks how it ended.
static void
end_stop(int machine)
{
    node_state_t *state = &soak.nodes[machine];
    if (state->stopping_us == 0) {
        return;
    }
    gint64 from_us = state->stopping_us;
    int code = process_wait(&site.machines[machine].node);
    gint64 now_us = g_get_monotonic_time();
    if (code < 0) {
        violation("node %d ended by signal %d in its stop", machine, -code);
    }
    else if (now_us - from_us > STOP_LIMIT_US && !state->paused &&
             !was_harmed(machine, from_us, now_us))
    {
        violation("node %d stopped after %.1f s", machine,
                  (double)(now_us - from_us) / G_USEC_PER_SEC);
    }
    restart_node(machine);
}

/// Notices a node that has ended without a signal of the soak.
static void
check_nodes(void)
{
    for (int i = 0; i < soak.machines; i++) {
        process_t *node = &site.machines[i].node;
        if (soak.nodes[i].stopping_us == 0 && process_has_ended(node)) {
            violation("node %d ended by itself, code %d", i,
                      process_wait(node));
            restart_node(i);
        }
    }
}

static void
replace_server(int machine)
{
    static int instances;
    machine_t *place = &site.machines[machine];
    process_stop(&place->server, SIGKILL);
    g_snprintf(place->instance, sizeof(place->instance), "i-%d-%d", machine,
               1000 + instances++);
    start_server(place);
}

/* Faults. */

static void
schedule(fault_kind_t kind, bool ends, gint64 due_us, int machine, int number)
{
    fault_t fault = {due_us, kind, ends, machine, number};
    guint at = 0;
    while (at < soak.faults->len &&
           g_array_index(soak.faults, fault_t, at).due_us <= due_us)
    {
        at++;
    }
    g_array_insert_val(soak.faults, at, fault);
}

/// Draws all faults of a run, and their ends.
static void
draw_faults(void)
{
    gint64 end_us = (gint64)soak.seconds * G_USEC_PER_SEC;
    gint64 due_us = G_USEC_PER_SEC;
    while (due_us < end_us) {
        fault_kind_t kind = (fault_kind_t)draw(0, FAULT_KINDS - 1);
        int machine = draw(0, soak.machines - 1);
        int number = draw(0, 999);
        gint64 length_us = (gint64)draw(LENGTH_MIN_MS, LENGTH_MAX_MS) * 1000;
        schedule(kind, false, due_us, machine, number);
        schedule(kind, true, due_us + length_us, machine, number);
        due_us += (gint64)draw(GAP_MIN_MS, GAP_MAX_MS) * 1000;
    }
}

static void
harm_route(const fault_t *fault)
{
    proxy_route_t *route = soak.routes[fault->machine][fault->number % ROUTES];
    if (fault->ends) {
        proxy_route_heal(route);
        return;
    }
    switch (fault->kind) {
    case FAULT_DELAY:
        g_atomic_int_set(&route->delay_ms, 20 + fault->number / 3);
        break;
    case FAULT_SILENCE:
        g_atomic_int_set(&route->silent[TO_TARGET], 1);
        g_atomic_int_set(&route->silent[TO_CLIENT], 1);
        break;
    case FAULT_ONE_WAY:
        g_atomic_int_set(&route->silent[fault->number / ROUTES % DIRECTIONS],
                         1);
        break;
    case FAULT_REFUSE:
        g_atomic_int_set(&route->refuses, 1);
        break;
    default:
        g_atomic_int_set(&route->resets, 1);
        break;
    }
}

static void
kill_node(const fault_t *fault)
{
    node_state_t *state = &soak.nodes[fault->machine];
    process_t *node = &site.machines[fault->machine].node;
    gint64 now_us = g_get_monotonic_time();
    if (!fault->ends && state->stopping_us == 0 && node->pid > 0) {
        process_stop(node, SIGKILL);
        state->harmed_us = now_us;
        note_harm(fault->machine, now_us, now_us + LENGTH_MAX_US);
    }
    else if (fault->ends && node->pid == 0) {
        restart_node(fault->machine);
        note_harm(fault->machine, now_us, g_get_monotonic_time());
    }
}

static void
pause_node(const fault_t *fault)
{
    node_state_t *state = &soak.nodes[fault->machine];
    const process_t *node = &site.machines[fault->machine].node;
    gint64 now_us = g_get_monotonic_time();
    if (node->pid <= 0 || fault->ends != state->paused) {
        return;
    }
    kill(node->pid, fault->ends ? SIGCONT : SIGSTOP);
    state->paused = !fault->ends;
    if (state->paused) {
        state->harmed_us = now_us;
    }
    note_harm(fault->machine, fault->ends ? state->harmed_us : now_us,
              fault->ends ? now_us : now_us + LENGTH_MAX_US);
}

static void
stop_node(const fault_t *fault)
{
    node_state_t *state = &soak.nodes[fault->machine];
    process_t *node = &site.machines[fault->machine].node;
    if (fault->ends) {
        return; // It is started again when it has ended.
    }
    if (node->pid > 0 && state->stopping_us == 0 && !state->paused) {
        kill(node->pid, SIGTERM);
        state->stopping_us = g_get_monotonic_time();
    }
}

static void
harm_server(const fault_t *fault)
{
    static const char *const spoils[] = {"half", "reset", "late", "shed"};
    machine_t *place = &site.machines[fault->machine];
    char path[64];
    switch (fault->kind) {
    case FAULT_SERVER_KILL:
        if (!fault->ends) {
            // The old entry is still listed when the new server has the place.
            machine_t old = *place;
            replace_server(fault->machine);
            put_server_record(place, "ready");
            if (fault->number % 2 == 0) {
                remove_server_record(&old);
            }
        }
        break;
    case FAULT_SERVER_DRAIN:
        put_server_record(place, fault->ends ? "ready" : "draining");
        break;
    default:
        g_snprintf(path, sizeof(path), "/test/%s/%d",
                   spoils[fault->number % G_N_ELEMENTS(spoils)],
                   fault->ends ? 0 : 2 + fault->number % 7);
        soak_post(place->address, PORT_UPSTREAM, "POST", path);
        break;
    }
}

static void
harm_store(const fault_t *fault)
{
    static const char *const modes[] = {"busy", "many", "garbled", "hang",
                                        "deaf"};
    char path[64];
    switch (fault->kind) {
    case FAULT_STORE_MODE:
        g_snprintf(path, sizeof(path), "/test/mode/%s",
                   fault->ends ? "up"
                               : modes[fault->number % G_N_ELEMENTS(modes)]);
        store_request("POST", path, "");
        break;
    case FAULT_STORE_CUT:
        store_request("POST", fault->ends ? "/test/compact" : "/test/cut", "");
        break;
    case FAULT_STORE_LAPSE:
        if (fault->ends) {
            put_server_record(&site.machines[fault->machine], "ready");
        }
        else {
            remove_server_record(&site.machines[fault->machine]);
        }
        break;
    default:
        if (!fault->ends) {
            put_state(site.state_version + 1 + fault->number % 4,
                      fault->number % 2 == 0 ? "/new/" : NULL);
        }
        break;
    }
}

static void
carry_out(const fault_t *fault)
{
    switch (fault->kind) {
    case FAULT_DELAY:
    case FAULT_SILENCE:
    case FAULT_ONE_WAY:
    case FAULT_REFUSE:
    case FAULT_RESET:
        harm_route(fault);
        break;
    case FAULT_NODE_KILL:
        kill_node(fault);
        break;
    case FAULT_NODE_PAUSE:
        pause_node(fault);
        break;
    case FAULT_NODE_STOP:
        stop_node(fault);
        break;
    case FAULT_NODE_HUP:
        if (site.machines[fault->machine].node.pid > 0) {
            kill(site.machines[fault->machine].node.pid, SIGHUP);
        }
        break;
    case FAULT_SERVER_KILL:
    case FAULT_SERVER_DRAIN:
    case FAULT_SERVER_SPOILS:
        harm_server(fault);
        break;
    default:
        harm_store(fault);
        break;
    }
}

static void
watch_stops(void)
{
    for (int i = 0; i < soak.machines; i++) {
        if (soak.nodes[i].stopping_us != 0 &&
            (process_has_ended(&site.machines[i].node) ||
             g_get_monotonic_time() - soak.nodes[i].stopping_us >
                 STOP_LIMIT_US + LENGTH_MAX_US))
        {
            end_stop(i);
        }
    }
}

static void
run_faults(void)
{
    while (soak.faults->len > 0) {
        fault_t fault = g_array_index(soak.faults, fault_t, 0);
        gint64 now_us = g_get_monotonic_time() - soak.start_us;
        if (now_us < fault.due_us) {
            g_usleep((gulong)MIN(fault.due_us - now_us, 10000));
            watch_stops();
            check_nodes();
            continue;
        }
        g_array_remove_index(soak.faults, 0);
        printf("seed %u: %7.3f s %s%s machine %d, %d\n", soak.seed,
               (double)fault.due_us / G_USEC_PER_SEC,
               fault.ends ? "end of " : "", fault_names[fault.kind],
               fault.machine, fault.number);
        carry_out(&fault);
    }
}

/// Ends everything that still harms, and publishes a last version.
static void
heal(void)
{
    for (int i = 0; i < soak.proxy.route_count; i++) {
        proxy_route_heal(&soak.proxy.routes[i]);
    }
    store_request("POST", "/test/mode/up", "");
    for (int i = 0; i < soak.machines; i++) {
        pause_node(
            &(fault_t){.kind = FAULT_NODE_PAUSE, .ends = true, .machine = i});
        while (soak.nodes[i].stopping_us != 0) {
            watch_stops();
            g_usleep(10000);
        }
        kill_node(
            &(fault_t){.kind = FAULT_NODE_KILL, .ends = true, .machine = i});
        put_server_record(&site.machines[i], "ready");
    }
    put_state(site.state_version + 1, NULL);
}

/* Checks after the run. */

static const char *
after_word(const char *line, const char *word)
{
    return g_str_has_prefix(line, word) ? line + strlen(word) : NULL;
}

static void
read_runs(GHashTable *runs)
{
    for (int i = 0; i < site.next_log_number; i++) {
        char *file = g_strdup_printf("%s/server%d.log", site.directory, i);
        char *text = NULL;
        if (g_file_get_contents(file, &text, NULL, NULL)) {
            char **lines = g_strsplit(text, "\n", -1);
            for (int j = 0; lines[j] != NULL; j++) {
                const char *id = after_word(lines[j], "run  ");
                if (id == NULL || strchr(id, '.') != NULL) {
                    continue;
                }
                guint count =
                    GPOINTER_TO_UINT(g_hash_table_lookup(runs, id)) + 1;
                g_hash_table_replace(runs, g_strdup(id),
                                     GUINT_TO_POINTER(count));
            }
            g_strfreev(lines);
        }
        g_free(text);
        g_free(file);
    }
}

static bool
promises_not_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
check_request(const soak_request_t *request, guint runs)
{
    gint64 took_us = request->ended_us - request->sent_us;
    bool harmed =
        was_harmed(request->machine, request->sent_us, request->ended_us);
    if (request->booking && runs > 1) {
        violation("booking %s ran %u times", request->id, runs);
    }
    if (request->booking && promises_not_run(request->status) && runs > 0) {
        violation("booking %s got %d and ran", request->id, request->status);
    }
    if (request->status == 200 && runs == 0) {
        violation("%s was answered and didn't run", request->id);
    }
    if (runs > ATTEMPTS_MAX) {
        violation("%s ran %u times", request->id, runs);
    }
    if (harmed) {
        return;
    }
    if (request->end == ENDED_TIMEOUT ||
        (request->end == ENDED_ANSWERED &&
         took_us > (gint64)SOAK_BUDGET_MS * 1000 + LATE_US))
    {
        violation("%s to machine %d ended after %.1f s (status %d)",
                  request->id, request->machine,
                  (double)took_us / G_USEC_PER_SEC, request->status);
    }
    if (request->end == ENDED_CLOSED && runs > 0) {
        violation("%s to machine %d ran and its connection was closed%s",
                  request->id, request->machine,
                  request->kept ? " (kept)" : "");
    }
    if (request->status == 400 || request->status == 404) {
        violation("%s to machine %d got %d", request->id, request->machine,
                  request->status);
    }
}

static void
check_requests(void)
{
    GHashTable *runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    int answered = 0;
    int refused = 0;
    read_runs(runs);
    for (guint i = 0; i < soak.load.requests->len; i++) {
        const soak_request_t *request = soak.load.requests->pdata[i];
        check_request(
            request, GPOINTER_TO_UINT(g_hash_table_lookup(runs, request->id)));
        g_hash_table_remove(runs, request->id);
        answered += request->status == 200 ? 1 : 0;
        refused += promises_not_run(request->status) ? 1 : 0;
    }
    GHashTableIter iter;
    void *id = NULL;
    g_hash_table_iter_init(&iter, runs);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        if (g_str_has_prefix(id, RECOVERY_ID)) {
            continue;
        }
        violation("%s ran and no client sent it", (const char *)id);
    }
    for (guint i = 0; i < soak.load.violations->len; i++) {
        violation("%s", (const char *)soak.load.violations->pdata[i]);
    }
    printf("seed %u: %u requests, %d answered, %d refused\n", soak.seed,
           soak.load.requests->len, answered, refused);
    g_hash_table_destroy(runs);
}

/// No version may come into force after a higher one in one process.
static void
check_versions(void)
{
    for (int i = 0; i < site.next_log_number; i++) {
        char *file = g_strdup_printf("%s/node%d.log", site.directory, i);
        char *text = NULL;
        int before = 0;
        if (g_file_get_contents(file, &text, NULL, NULL)) {
            const char *at = text;
            while ((at = strstr(at, "contracts_in_force version=")) != NULL) {
                at += strlen("contracts_in_force version=");
                if (atoi(at) <= before) {
                    violation("%s: version %d after %d", file, atoi(at),
                              before);
                }
                before = atoi(at);
            }
        }
        g_free(text);
        g_free(file);
    }
}

static bool
serves(int machine, const char *method, const char *path)
{
    char id[32];
    static int asked;
    g_snprintf(id, sizeof(id), RECOVERY_ID "%x-%d", soak.seed, asked++);
    text_response_t answer = request_via_node(machine, method, path, id);
    bool good = answer.status == 200;
    text_response_free(&answer);
    return good;
}

/// Every node has the last version and serves both kinds.
static void
check_recovery(gint64 healed_us)
{
    char version[64];
    g_snprintf(version, sizeof(version), "contracts_in_force version=%d ",
               site.state_version);
    for (int i = 0; i < soak.machines; i++) {
        bool good = false;
        while (!good && g_get_monotonic_time() - healed_us < RECOVERY_LIMIT_US)
        {
            good = process_has_logged(&site.machines[i].node, version) &&
                   serves(i, "GET", "/read/r") && serves(i, "POST", "/book/r");
            g_usleep(good ? 0 : 50000);
        }
        if (!good) {
            violation("node %d doesn't serve or lacks version %d after %.0f s",
                      i, site.state_version,
                      (double)RECOVERY_LIMIT_US / G_USEC_PER_SEC);
        }
    }
}

static void
place_behind_proxy(machine_t *machine)
{
    int i = (int)(machine - site.machines);
    static const uint16_t ports[ROUTES] = {PORT_PEER, PORT_UPSTREAM,
                                           PORT_STORE};
    int net = 0;
    int host = 0;
    if (sscanf(machine->address, "127.77.%d.%d", &net, &host) != 2) {
        g_error("address %s", machine->address);
    }
    g_snprintf(machine->published_address, sizeof(machine->published_address),
               "127.78.%d.%d", net, host);
    for (int j = 0; j < ROUTES; j++) {
        soak.routes[i][j] = fault_proxy_add(
            &soak.proxy, machine->published_address,
            j == ROUTE_STORE ? site.address : machine->address, ports[j]);
    }
}

static void
remove_logs(const char *directory)
{
    GDir *dir = g_dir_open(directory, 0, NULL);
    const char *name;
    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *file = g_build_filename(directory, name, NULL);
        (void)remove(file);
        g_free(file);
    }
    g_dir_close(dir);
    (void)remove(directory);
}

static void
run_seed(uint32_t seed)
{
    soak.seed = seed;
    soak.random = g_rand_new_with_seed(seed);
    soak.faults = g_array_new(FALSE, FALSE, sizeof(fault_t));
    soak.violations = 0;
    for (int i = 0; i < soak.machines; i++) {
        soak.nodes[i] =
            (node_state_t){.harms = g_array_new(FALSE, FALSE, sizeof(gint64))};
    }
    fault_proxy_init(&soak.proxy);
    start_site_placed(soak.machines, place_behind_proxy);
    fault_proxy_start(&soak.proxy);
    publish_all();
    draw_faults();
    soak.start_us = g_get_monotonic_time();
    soak_load_start(&soak.load, seed, CLIENTS);
    run_faults();
    heal();
    gint64 healed_us = g_get_monotonic_time();
    soak_load_stop(&soak.load);
    check_recovery(healed_us);
    check_nodes();
    check_requests();
    check_versions();
    soak_load_finish(&soak.load);
    CU_ASSERT_EQUAL(soak.violations, 0);
    printf("seed %u: %d violations, logs in %s\n", seed, soak.violations,
           site.directory);
    char *directory = g_strdup(site.directory);
    stop_site();
    fault_proxy_finish(&soak.proxy);
    if (soak.violations == 0) {
        remove_logs(directory);
    }
    g_free(directory);
    g_array_free(soak.faults, TRUE);
    g_rand_free(soak.random);
    for (int i = 0; i < soak.machines; i++) {
        g_array_free(soak.nodes[i].harms, TRUE);
    }
}

static void
test_seeds(void)
{
    for (guint i = 0; i < soak.seeds->len; i++) {
        run_seed(g_array_index(soak.seeds, uint32_t, i));
    }
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    uint32_t seed = 0;
    switch (key) {
    case 'm':
        soak.machines = read_number_argument(value, state);
        return 0;
    case 's':
        soak.seconds = read_number_argument(value, state);
        return 0;
    case ARGP_KEY_ARG:
        seed = (uint32_t)read_number_argument(value, state);
        g_array_append_val(soak.seeds, seed);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"machines", 'm', "N", 0, "Machines of the site", 0},
        {"seconds", 's', "N", 0, "How long faults are made", 0},
        {0},
    };
    static const struct argp argp = {
        options,
        parse_option,
        "SEED ...",
        "Runs nodes under random faults and checks what clients get.",
        NULL,
        NULL,
        NULL};
    CU_TestInfo tests[] = {{"seeds", test_seeds}, CU_TEST_INFO_NULL};
    soak.seeds = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    setvbuf(stdout, NULL, _IOLBF, 0);
    return run_suite("soak", tests);
}
