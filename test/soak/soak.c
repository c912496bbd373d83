/// @file
/// Fault soak on the users' platform. Each machine (VM) runs a node and the
/// stand-in for a server (upstream); a server that is replaced is another
/// instance. Faults: a proxy delays, stalls or resets the connections between
/// nodes, servers and the stand-in for the store; nodes and servers are
/// killed, paused, stopped or replaced; in each run the store comes back from
/// a copy, up to three times. Meanwhile clients send requests and check the
/// responses. The seed determines all faults.
///
///     soak SEED [SEED ...] [--machines N] [--seconds N]
///
/// The logs of a run with violations are kept.

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
#define SOAK_MACHINES_DEFAULT 6
#define SOAK_SECONDS_DEFAULT 12
/// Time between the starts of two faults.
#define FAULT_GAP_MIN_MS 30
#define FAULT_GAP_MAX_MS 450
#define FAULT_DURATION_MIN_MS 100
#define FAULT_DURATION_MAX_MS 3000
#define FAULT_DURATION_MAX_US ((gint64)FAULT_DURATION_MAX_MS * 1000)
/// Time after the last fault within which every node serves again: the users
/// require recovery within 15 s.
#define RECOVERY_LIMIT_US ((gint64)15 * G_USEC_PER_SEC)
/// Time after SIGTERM within which a node must have ended: its stop_limit_s of
/// 6 s, and a second for the process to be scheduled.
#define STOP_LIMIT_US ((gint64)7 * G_USEC_PER_SEC)
/// Attempts of one request, as max_attempts of the routes allows.
#define ATTEMPTS_MAX 2
/// The workspace of all clients, with a cap that they don't reach.
#define SOAK_TENANTS                                                          \
    "[{\"name\":\"" SOAK_WORKSPACE "\",\"api_keys\":[\"" SOAK_ACCESS_KEY      \
    "\"],\"priority\":1,\"rate_per_s\":100000,\"burst\":100000}]"
/// Prefix of the ids of requests that check the recovery.
#define RECOVERY_ID_PREFIX "recovery-"
/// Time after its deadline by which a response of a running node may arrive.
#define DEADLINE_TOLERANCE_US ((gint64)1000 * 1000)

/// Kinds of faults.
typedef enum {
    FAULT_DELAY,
    FAULT_STALL,
    FAULT_ONE_WAY_STALL,
    FAULT_RESET_NEW,
    FAULT_RESET_OPEN,
    FAULT_NODE_KILL,      ///< SIGKILL; restarted at the end
    FAULT_NODE_PAUSE,     ///< SIGSTOP until the end
    FAULT_NODE_STOP,      ///< SIGTERM; restarted when it has ended
    FAULT_NODE_HUP,       ///< SIGHUP, at the start and at the end
    FAULT_SERVER_REPLACE, ///< SIGKILL, and a new instance at its address
    FAULT_SERVER_DRAIN,
    FAULT_SERVER_MODE,   ///< truncated, reset, late or shed responses
    FAULT_STORE_MODE,    ///< errors, truncated or no responses, no events
    FAULT_STORE_WATCHES, ///< all watches end, later the history is compacted
    FAULT_RECORD_EXPIRY, ///< a server's record is removed
    FAULT_DESIRED_STATE, ///< a later version is published
    FAULT_DRAWN_COUNT,   ///< kinds above are drawn by draw_faults()
    /// The store is away, or goes on without a word, and comes back from a
    /// copy.
    FAULT_STORE_DRILL = FAULT_DRAWN_COUNT,
    FAULT_STORE_REWRITE, ///< what a drill has undone is written again
    FAULT_KIND_COUNT,
} fault_kind_t;

/// Age of the copy from which the store comes back.
#define COPY_AGE_MIN_MS 300
#define COPY_AGE_MAX_MS 5000
/// Time from the return of the store until what it lost is written again.
#define REWRITE_DELAY_MAX_MS 1500
#define DRILLS_MAX 3
/// Keeps the drills of a seed apart from its other faults.
#define DRILL_SEED_SALT 0x5eedc0de

static const char *const fault_names[FAULT_KIND_COUNT] = {
    "delay",       "stall",          "one-way-stall", "reset-new",
    "reset-open",  "node-kill",      "node-pause",    "node-stop",
    "node-hup",    "server-replace", "server-drain",  "server-mode",
    "store-mode",  "store-watches",  "record-expiry", "desired-state",
    "store-drill", "store-rewrite"};

/// The start or the end of a fault. Both have the same machine and choice.
typedef struct {
    gint64 due_us; ///< since the start of the run
    fault_kind_t kind;
    bool is_end;
    int machine;
    int choice; ///< random; selects the route, the mode or the value
} fault_t;

/// Routes of the proxy for each machine, one for each proxied port.
enum { ROUTE_PEER, ROUTE_SERVER, ROUTE_STORE, ROUTE_COUNT };

/// State of a node's process.
typedef struct {
    bool paused;
    gint64 sigterm_us;      ///< time of SIGTERM; 0: not stopping
    gint64 outage_start_us; ///< time of the last kill or pause
    GArray *outages;        ///< gint64 pairs: start and end of each outage
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
    proxy_route_t *routes[MACHINES_MAX][ROUTE_COUNT];
    node_state_t nodes[MACHINES_MAX];
    soak_load_t load;
    GPtrArray *gone_servers; ///< machine_t, of instances that were removed
    const char *extra_route; ///< of the last desired state
    int violations;
    uint32_t seed;
} soak = {.machines = SOAK_MACHINES_DEFAULT, .seconds = SOAK_SECONDS_DEFAULT};

static void
report_violation(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    soak.violations++;
    printf("seed %u: VIOLATION %s\n", soak.seed, text);
    g_free(text);
}

/// Returns a random number between the bounds, both included.
static int
draw(int from, int to)
{
    return g_rand_int_range(soak.random, from, to + 1);
}

/* Processes. */

static void
record_outage(int machine, gint64 from_us, gint64 to_us)
{
    g_array_append_val(soak.nodes[machine].outages, from_us);
    g_array_append_val(soak.nodes[machine].outages, to_us);
}

/// Returns whether the node was down or paused at any time in the interval.
static bool
had_outage(int machine, gint64 from_us, gint64 to_us)
{
    const GArray *outages = soak.nodes[machine].outages;
    for (guint i = 0; i + 1 < outages->len; i += 2) {
        if (g_array_index(outages, gint64, i) <= to_us &&
            g_array_index(outages, gint64, i + 1) >= from_us)
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
    soak.nodes[machine].sigterm_us = 0;
    soak.nodes[machine].paused = false;
    soak.nodes[machine].restarts++;
}

/// Waits until a stopping node has ended, checks that no signal ended it and
/// that it stopped in time, and starts it again.
static void
finish_stop(int machine)
{
    node_state_t *state = &soak.nodes[machine];
    if (state->sigterm_us == 0) {
        return;
    }
    gint64 from_us = state->sigterm_us;
    int code = process_wait(&site.machines[machine].node);
    gint64 now_us = g_get_monotonic_time();
    if (code < 0) {
        report_violation("node %d ended by signal %d while stopping", machine,
                         -code);
    }
    else if (now_us - from_us > STOP_LIMIT_US && !state->paused &&
             !had_outage(machine, from_us, now_us))
    {
        report_violation("node %d took %.1f s to stop", machine,
                         (double)(now_us - from_us) / G_USEC_PER_SEC);
    }
    restart_node(machine);
}

/// Reports and restarts nodes that have ended although the soak didn't stop
/// them.
static void
check_nodes(void)
{
    for (int i = 0; i < soak.machines; i++) {
        process_t *node = &site.machines[i].node;
        if (soak.nodes[i].sigterm_us == 0 && process_has_ended(node)) {
            report_violation("node %d ended unexpectedly with code %d", i,
                             process_wait(node));
            restart_node(i);
        }
    }
}

static void
replace_server(int index)
{
    static int instances;
    machine_t *machine = &site.machines[index];
    process_stop(&machine->server, SIGKILL);
    g_snprintf(machine->instance, sizeof(machine->instance), "i-%d-%d", index,
               1000 + instances++);
    start_server(machine);
}

/* Faults. */

static void
schedule(fault_kind_t kind, bool is_end, gint64 due_us, int machine,
         int choice)
{
    fault_t fault = {due_us, kind, is_end, machine, choice};
    guint at = 0;
    while (at < soak.faults->len &&
           g_array_index(soak.faults, fault_t, at).due_us <= due_us)
    {
        at++;
    }
    g_array_insert_val(soak.faults, at, fault);
}

/// Draws all faults of a run and schedules their starts and ends.
static void
draw_faults(void)
{
    gint64 end_us = (gint64)soak.seconds * G_USEC_PER_SEC;
    gint64 due_us = G_USEC_PER_SEC;
    while (due_us < end_us) {
        fault_kind_t kind = (fault_kind_t)draw(0, FAULT_DRAWN_COUNT - 1);
        int machine = draw(0, soak.machines - 1);
        int choice = draw(0, 999);
        gint64 duration_us =
            (gint64)draw(FAULT_DURATION_MIN_MS, FAULT_DURATION_MAX_MS) * 1000;
        schedule(kind, false, due_us, machine, choice);
        schedule(kind, true, due_us + duration_us, machine, choice);
        due_us += (gint64)draw(FAULT_GAP_MIN_MS, FAULT_GAP_MAX_MS) * 1000;
    }
}

/// Draws the drills of a run, which may overlap.
static void
draw_drills(void)
{
    GRand *random = g_rand_new_with_seed(soak.seed ^ DRILL_SEED_SALT);
    int count = g_rand_int_range(random, 1, DRILLS_MAX + 1);
    for (int i = 0; i < count; i++) {
        gint64 start_ms = g_rand_int_range(random, 1000, soak.seconds * 1000);
        gint64 away_ms = g_rand_int_range(random, FAULT_DURATION_MIN_MS,
                                          FAULT_DURATION_MAX_MS);
        gint64 delay_ms = g_rand_int_range(random, 0, REWRITE_DELAY_MAX_MS);
        int choice = g_rand_int_range(random, 0, 1000);
        schedule(FAULT_STORE_DRILL, false, start_ms * 1000, 0, choice);
        schedule(FAULT_STORE_DRILL, true, (start_ms + away_ms) * 1000, 0,
                 choice);
        schedule(FAULT_STORE_REWRITE, false,
                 (start_ms + away_ms + delay_ms) * 1000, 0, choice);
    }
    g_rand_free(random);
}

static void
apply_route_fault(const fault_t *fault)
{
    proxy_route_t *route =
        soak.routes[fault->machine][fault->choice % ROUTE_COUNT];
    if (fault->is_end) {
        proxy_route_clear_faults(route);
        return;
    }
    switch (fault->kind) {
    case FAULT_DELAY:
        g_atomic_int_set(&route->delay_ms, 20 + fault->choice / 3);
        break;
    case FAULT_STALL:
        g_atomic_int_set(&route->stalled[TO_TARGET], 1);
        g_atomic_int_set(&route->stalled[TO_CLIENT], 1);
        break;
    case FAULT_ONE_WAY_STALL:
        g_atomic_int_set(
            &route->stalled[fault->choice / ROUTE_COUNT % DIRECTION_COUNT], 1);
        break;
    case FAULT_RESET_NEW:
        g_atomic_int_set(&route->reset_new, 1);
        break;
    default:
        g_atomic_int_set(&route->reset_open, 1);
        break;
    }
}

static void
apply_node_kill(const fault_t *fault)
{
    node_state_t *state = &soak.nodes[fault->machine];
    process_t *node = &site.machines[fault->machine].node;
    gint64 now_us = g_get_monotonic_time();
    if (!fault->is_end && state->sigterm_us == 0 && node->pid > 0) {
        process_stop(node, SIGKILL);
        state->outage_start_us = now_us;
        // The end is not known yet: the longest duration is assumed.
        record_outage(fault->machine, now_us, now_us + FAULT_DURATION_MAX_US);
    }
    else if (fault->is_end && node->pid == 0) {
        restart_node(fault->machine);
        record_outage(fault->machine, now_us, g_get_monotonic_time());
    }
}

static void
apply_node_pause(const fault_t *fault)
{
    node_state_t *state = &soak.nodes[fault->machine];
    const process_t *node = &site.machines[fault->machine].node;
    gint64 now_us = g_get_monotonic_time();
    if (node->pid <= 0 || fault->is_end != state->paused) {
        return;
    }
    kill(node->pid, fault->is_end ? SIGCONT : SIGSTOP);
    state->paused = !fault->is_end;
    // At the start the longest duration is assumed; the end adds the real one.
    if (state->paused) {
        state->outage_start_us = now_us;
    }
    record_outage(fault->machine,
                  fault->is_end ? state->outage_start_us : now_us,
                  fault->is_end ? now_us : now_us + FAULT_DURATION_MAX_US);
}

static void
apply_node_stop(const fault_t *fault)
{
    node_state_t *state = &soak.nodes[fault->machine];
    process_t *node = &site.machines[fault->machine].node;
    if (fault->is_end) {
        return; // finish_stops() restarts it when it has ended.
    }
    if (node->pid > 0 && state->sigterm_us == 0 && !state->paused) {
        kill(node->pid, SIGTERM);
        state->sigterm_us = g_get_monotonic_time();
    }
}

static void
apply_server_fault(const fault_t *fault)
{
    static const char *const modes[] = {"half", "reset", "late", "shed"};
    machine_t *machine = &site.machines[fault->machine];
    char path[64];
    switch (fault->kind) {
    case FAULT_SERVER_REPLACE:
        if (!fault->is_end) {
            // The record of the old instance is still listed when the new one
            // runs at its address.
            machine_t old = *machine;
            replace_server(fault->machine);
            put_server_record(machine, "ready");
            if (fault->choice % 2 == 0) {
                remove_server_record(&old);
                g_ptr_array_add(soak.gone_servers,
                                g_memdup2(&old, sizeof(old)));
            }
        }
        break;
    case FAULT_SERVER_DRAIN:
        put_server_record(machine, fault->is_end ? "ready" : "draining");
        break;
    default:
        // Affects every 2nd to 8th response, or sheds from that many requests
        // on.
        g_snprintf(path, sizeof(path), "/test/%s/%d",
                   modes[fault->choice % G_N_ELEMENTS(modes)],
                   fault->is_end ? 0 : 2 + fault->choice % 7);
        soak_request_standin(machine->address, PORT_UPSTREAM, "POST", path);
        break;
    }
}

static void
publish_state(int version, const char *extra_route)
{
    soak.extra_route = extra_route;
    put_desired_state(version, extra_route);
}

/// Writes what the store should have: the records of all servers that run,
/// none of those that were removed, and the newest desired state.
static void
write_again(void)
{
    for (guint i = 0; i < soak.gone_servers->len; i++) {
        remove_server_record(soak.gone_servers->pdata[i]);
    }
    for (int i = 0; i < soak.machines; i++) {
        put_server_record(&site.machines[i], "ready");
    }
    publish_state(site.desired_state_version, soak.extra_route);
}

static void
apply_drill(const fault_t *fault)
{
    // An empty mode: the store answers all the time, and its watches go on.
    static const char *const modes[] = {"busy", "hang", ""};
    const char *mode = modes[fault->choice % G_N_ELEMENTS(modes)];
    char path[64];
    if (fault->is_end) {
        store_request("POST", "/test/mode/up", "");
        return;
    }
    if (mode[0] != '\0') {
        g_snprintf(path, sizeof(path), "/test/mode/%s", mode);
        store_request("POST", path, "");
        store_request("POST", "/test/cut", "");
    }
    g_snprintf(path, sizeof(path), "/test/restore/%d",
               COPY_AGE_MIN_MS +
                   fault->choice * (COPY_AGE_MAX_MS - COPY_AGE_MIN_MS) / 1000);
    store_request("POST", path, "");
}

static void
apply_store_fault(const fault_t *fault)
{
    static const char *const modes[] = {"busy", "many", "garbled", "hang",
                                        "deaf"};
    char path[64];
    switch (fault->kind) {
    case FAULT_STORE_MODE:
        g_snprintf(path, sizeof(path), "/test/mode/%s",
                   fault->is_end ? "up"
                                 : modes[fault->choice % G_N_ELEMENTS(modes)]);
        store_request("POST", path, "");
        break;
    case FAULT_STORE_WATCHES:
        store_request("POST", fault->is_end ? "/test/compact" : "/test/cut",
                      "");
        break;
    case FAULT_RECORD_EXPIRY:
        if (fault->is_end) {
            put_server_record(&site.machines[fault->machine], "ready");
        }
        else {
            remove_server_record(&site.machines[fault->machine]);
        }
        break;
    default:
        if (!fault->is_end) {
            publish_state(site.desired_state_version + 1 + fault->choice % 4,
                          fault->choice % 2 == 0 ? "/new/" : NULL);
        }
        break;
    }
}

static void
apply_fault(const fault_t *fault)
{
    switch (fault->kind) {
    case FAULT_DELAY:
    case FAULT_STALL:
    case FAULT_ONE_WAY_STALL:
    case FAULT_RESET_NEW:
    case FAULT_RESET_OPEN:
        apply_route_fault(fault);
        break;
    case FAULT_NODE_KILL:
        apply_node_kill(fault);
        break;
    case FAULT_NODE_PAUSE:
        apply_node_pause(fault);
        break;
    case FAULT_NODE_STOP:
        apply_node_stop(fault);
        break;
    case FAULT_NODE_HUP:
        if (site.machines[fault->machine].node.pid > 0) {
            kill(site.machines[fault->machine].node.pid, SIGHUP);
        }
        break;
    case FAULT_SERVER_REPLACE:
    case FAULT_SERVER_DRAIN:
    case FAULT_SERVER_MODE:
        apply_server_fault(fault);
        break;
    case FAULT_STORE_DRILL:
        apply_drill(fault);
        break;
    case FAULT_STORE_REWRITE:
        write_again();
        break;
    default:
        apply_store_fault(fault);
        break;
    }
}

/// Restarts the stopping nodes that have ended. For a node that exceeds the
/// limit by more than the longest pause it waits.
static void
finish_stops(void)
{
    for (int i = 0; i < soak.machines; i++) {
        if (soak.nodes[i].sigterm_us != 0 &&
            (process_has_ended(&site.machines[i].node) ||
             g_get_monotonic_time() - soak.nodes[i].sigterm_us >
                 STOP_LIMIT_US + FAULT_DURATION_MAX_US))
        {
            finish_stop(i);
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
            finish_stops();
            check_nodes();
            continue;
        }
        g_array_remove_index(soak.faults, 0);
        printf("seed %u: %7.3f s %s%s machine %d, %d\n", soak.seed,
               (double)fault.due_us / G_USEC_PER_SEC,
               fault.is_end ? "end of " : "", fault_names[fault.kind],
               fault.machine, fault.choice);
        apply_fault(&fault);
    }
}

/// Ends all faults that still last, and publishes a last version of the
/// desired state.
static void
end_all_faults(void)
{
    for (int i = 0; i < soak.proxy.route_count; i++) {
        proxy_route_clear_faults(&soak.proxy.routes[i]);
    }
    store_request("POST", "/test/mode/up", "");
    for (int i = 0; i < soak.machines; i++) {
        apply_node_pause(&(fault_t){
            .kind = FAULT_NODE_PAUSE, .is_end = true, .machine = i});
        while (soak.nodes[i].sigterm_us != 0) {
            finish_stops();
            g_usleep(10000);
        }
        apply_node_kill(
            &(fault_t){.kind = FAULT_NODE_KILL, .is_end = true, .machine = i});
    }
    write_again();
    publish_state(site.desired_state_version + 1, NULL);
}

/* Checks after the run. */

static const char *
skip_prefix(const char *line, const char *prefix)
{
    return g_str_has_prefix(line, prefix) ? line + strlen(prefix) : NULL;
}

/// Counts the runs of each request id in the logs of all servers. Runs with a
/// key, and calls of servers, whose ids contain a dot, are not counted.
static void
count_runs(GHashTable *runs)
{
    for (int i = 0; i < site.next_log_number; i++) {
        char *file = g_strdup_printf("%s/server%d.log", site.directory, i);
        char *text = NULL;
        if (g_file_get_contents(file, &text, NULL, NULL)) {
            char **lines = g_strsplit(text, "\n", -1);
            for (int j = 0; lines[j] != NULL; j++) {
                const char *id = skip_prefix(lines[j], "run  ");
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

/// Returns whether the status promises that the request has not run.
static bool
means_not_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/// Checks a request against its number of runs. A node that was down or paused
/// in the meantime may respond late, or not at all.
static void
check_request(const soak_request_t *request, guint runs)
{
    gint64 took_us = request->ended_us - request->sent_us;
    bool outage =
        had_outage(request->machine, request->sent_us, request->ended_us);
    if (request->booking && runs > 1) {
        report_violation("booking %s ran %u times", request->id, runs);
    }
    if (request->booking && means_not_run(request->status) && runs > 0) {
        report_violation("booking %s got status %d, but ran", request->id,
                         request->status);
    }
    if (request->status == 200 && runs == 0) {
        report_violation("%s got status 200, but didn't run", request->id);
    }
    if (runs > ATTEMPTS_MAX) {
        report_violation("%s ran %u times", request->id, runs);
    }
    if (outage) {
        return;
    }
    if (request->outcome == SOAK_TIMEOUT ||
        (request->outcome == SOAK_COMPLETE &&
         took_us > (gint64)SOAK_DEADLINE_MS * 1000 + DEADLINE_TOLERANCE_US))
    {
        report_violation("%s to machine %d ended after %.1f s (status %d)",
                         request->id, request->machine,
                         (double)took_us / G_USEC_PER_SEC, request->status);
    }
    if (request->outcome == SOAK_CLOSED && runs > 0) {
        report_violation(
            "%s to machine %d ran, but its connection was closed without a "
            "response%s",
            request->id, request->machine,
            request->reused ? " (reused connection)" : "");
    }
    if (request->wrong_key && runs > 0) {
        report_violation("%s ran with a key of no workspace", request->id);
    }
    if (request->status == 400 || request->status == 404 ||
        (request->status == 401 && !request->wrong_key))
    {
        report_violation("%s to machine %d got status %d", request->id,
                         request->machine, request->status);
    }
}

static void
check_requests(void)
{
    GHashTable *runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    int successful = 0;
    int refused = 0;
    count_runs(runs);
    for (guint i = 0; i < soak.load.requests->len; i++) {
        const soak_request_t *request = soak.load.requests->pdata[i];
        check_request(
            request, GPOINTER_TO_UINT(g_hash_table_lookup(runs, request->id)));
        g_hash_table_remove(runs, request->id);
        successful += request->status == 200 ? 1 : 0;
        refused += means_not_run(request->status) ? 1 : 0;
    }
    GHashTableIter iter;
    void *id = NULL;
    g_hash_table_iter_init(&iter, runs);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        if (g_str_has_prefix(id, RECOVERY_ID_PREFIX)) {
            continue;
        }
        report_violation("%s ran, but no client sent it", (const char *)id);
    }
    for (guint i = 0; i < soak.load.violations->len; i++) {
        report_violation("%s", (const char *)soak.load.violations->pdata[i]);
    }
    printf("seed %u: %u requests, %d successful, %d refused\n", soak.seed,
           soak.load.requests->len, successful, refused);
    g_hash_table_destroy(runs);
}

/// Checks that each version of the desired state that comes into force in a
/// process is higher than the one before.
static void
check_versions(void)
{
    for (int i = 0; i < site.next_log_number; i++) {
        char *file = g_strdup_printf("%s/node%d.log", site.directory, i);
        char *text = NULL;
        int previous = 0;
        if (g_file_get_contents(file, &text, NULL, NULL)) {
            const char *at = text;
            while ((at = strstr(at, "contracts_in_force version=")) != NULL) {
                at += strlen("contracts_in_force version=");
                if (atoi(at) <= previous) {
                    report_violation(
                        "%s: version %d came into force after version %d",
                        file, atoi(at), previous);
                }
                previous = atoi(at);
            }
        }
        g_free(text);
        g_free(file);
    }
}

static bool
node_serves(int machine, const char *method, const char *path)
{
    char id[32];
    static int sent;
    g_snprintf(id, sizeof(id), RECOVERY_ID_PREFIX "%x-%d", soak.seed, sent++);
    text_response_t response = request_via_node(machine, method, path, id);
    bool is_ok = response.status == 200;
    text_response_free(&response);
    return is_ok;
}

/// Checks that every node has the last version, holds what the store holds and
/// serves requests of both kinds within RECOVERY_LIMIT_US after the last
/// fault.
static void
check_recovery(gint64 faults_ended_us)
{
    char version[64];
    g_snprintf(version, sizeof(version), "contracts_in_force version=%d ",
               site.desired_state_version);
    for (int i = 0; i < soak.machines; i++) {
        bool serves = false;
        while (!serves &&
               g_get_monotonic_time() - faults_ended_us < RECOVERY_LIMIT_US) {
            serves = process_has_logged(&site.machines[i].node, version) &&
                     node_holds_store(i) && node_serves(i, "GET", "/read/r") &&
                     node_serves(i, "POST", "/book/r");
            g_usleep(serves ? 0 : 50000);
        }
        if (!serves) {
            report_violation("node %d doesn't serve, lacks version %d or "
                             "isn't at the point "
                             "of the store %.0f s after the last fault",
                             i, site.desired_state_version,
                             (double)RECOVERY_LIMIT_US / G_USEC_PER_SEC);
        }
    }
}

/// Adds the routes of a machine to the proxy, and makes the machine publish
/// the address at which the proxy listens for it.
static void
publish_proxy_address(machine_t *machine)
{
    int i = (int)(machine - site.machines);
    static const uint16_t ports[ROUTE_COUNT] = {PORT_PEER, PORT_UPSTREAM,
                                                PORT_STORE};
    int site_net = 0;
    int net = 0;
    int host = 0;
    if (sscanf(machine->address, "127.%d.%d.%d", &site_net, &net, &host) != 3)
    {
        g_error("machine address %s is not in 127.0.0.0/8", machine->address);
    }
    g_snprintf(machine->published_address, sizeof(machine->published_address),
               "127.%d.%d.%d", site_net + 1, net, host);
    g_strlcpy(machine->store_address, machine->published_address,
              sizeof(machine->store_address));
    for (int j = 0; j < ROUTE_COUNT; j++) {
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
    soak.gone_servers = g_ptr_array_new_with_free_func(g_free);
    soak.extra_route = NULL;
    for (int i = 0; i < soak.machines; i++) {
        soak.nodes[i] = (node_state_t){
            .outages = g_array_new(FALSE, FALSE, sizeof(gint64))};
    }
    fault_proxy_init(&soak.proxy);
    start_site_with_addresses(soak.machines, publish_proxy_address);
    fault_proxy_start(&soak.proxy);
    site_tenants = SOAK_TENANTS;
    site_access_key = SOAK_ACCESS_KEY;
    publish_site();
    draw_faults();
    draw_drills();
    soak.start_us = g_get_monotonic_time();
    soak_load_start(&soak.load, seed, CLIENTS);
    run_faults();
    end_all_faults();
    gint64 faults_ended_us = g_get_monotonic_time();
    soak_load_stop(&soak.load);
    check_recovery(faults_ended_us);
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
    g_ptr_array_unref(soak.gone_servers);
    g_rand_free(soak.random);
    for (int i = 0; i < soak.machines; i++) {
        g_array_free(soak.nodes[i].outages, TRUE);
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
        {"machines", 'm', "N", 0, "Machines to run, one node and server each",
         0},
        {"seconds", 's', "N", 0, "Seconds during which faults are injected",
         0},
        {0},
    };
    static const struct argp argp = {
        options,
        parse_option,
        "SEED ...",
        "Runs nodes under random faults and checks the responses to clients.",
        NULL,
        NULL,
        NULL};
    CU_TestInfo tests[] = {{"seeds", test_seeds}, CU_TEST_INFO_NULL};
    soak.seeds = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    setvbuf(stdout, NULL, _IOLBF, 0);
    return run_suite("soak", tests);
}
