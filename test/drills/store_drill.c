/// @file
/// Counts what callers see around a drill of the store, which is away for a
/// moment and comes back from a copy. The seed determines the age of the copy,
/// how long the store is away and when it is written again.
///
///     store_drill [--other PROGRAM] SEED ...
///
/// Twelve nodes, two of which read the store for the others; with --other each
/// second node runs another program, such as that of an earlier release. A
/// line for each seed counts the requests that
///
/// - were refused, or failed otherwise;
/// - were answered by a server later than 2 s after its leaving had been
///   accepted by the store: one that left before the drill and that the copy
///   lists as ready, and one that leaves 4 s after the drill;
/// - were handled later than 2 s after its ack as only an older desired state
///   allows: 404 on a route that was added 4 s after the drill.

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/store_site.h"
#include "common/suite.h"

#define MACHINES 12
#define CLIENTS 6
#define REQUEST_GAP_US 15000
/// Time after an ack from which a change must be in force.
#define IN_FORCE_US ((gint64)2 * G_USEC_PER_SEC)
#define BORN_MS ((int64_t)1765000000000)
/// Servers of service "back": one leaves before the drill, one after it.
#define LEFT_BEFORE 10
#define LEAVES_AFTER 11
#define ADDED_ROUTE "/new/"

typedef struct {
    int requests;
    int refused;
    int failed;
    int at_left_before;
    int at_left_after;
    int old_state;
} counts_t;

static struct {
    GMutex mutex;
    counts_t counts;
    /// Times of acks, 0: not yet.
    gint64 left_before_us;
    gint64 left_after_us;
    gint64 added_us;
    int stopped;
    int sequences[MACHINES];
} run;

/// Returns whether a request sent at @p sent_us is due to follow a change.
static bool
is_due(gint64 ack_us, gint64 sent_us)
{
    return ack_us != 0 && sent_us > ack_us + IN_FORCE_US;
}

static bool
is_answered_by(const text_response_t *response, int machine)
{
    char seal[32];
    g_snprintf(seal, sizeof(seal), "x-server-seal: i-%d", machine);
    const char *at =
        response->headers == NULL ? NULL : strstr(response->headers, seal);
    return at != NULL && !g_ascii_isdigit(at[strlen(seal)]);
}

static void
count(const text_response_t *response, gint64 sent_us, bool on_added_route)
{
    g_mutex_lock(&run.mutex);
    counts_t *counts = &run.counts;
    int status = response->status;
    bool is_old = status == 404 && on_added_route;
    counts->requests++;
    if (status == 503 || status == 429) {
        counts->refused++;
    }
    else if (status != 200 && !is_old) {
        counts->failed++;
    }
    counts->old_state += is_old && is_due(run.added_us, sent_us);
    counts->at_left_before += is_due(run.left_before_us, sent_us) &&
                              is_answered_by(response, LEFT_BEFORE);
    counts->at_left_after += is_due(run.left_after_us, sent_us) &&
                             is_answered_by(response, LEAVES_AFTER);
    g_mutex_unlock(&run.mutex);
}

static void *
run_client(void *context)
{
    int client = GPOINTER_TO_INT(context);
    for (int i = 0; !g_atomic_int_get(&run.stopped); i++) {
        char id[32];
        g_snprintf(id, sizeof(id), "c%d-%d", client, i);
        bool added = i % 3 == 0 && run.added_us != 0;
        gint64 sent_us = g_get_monotonic_time();
        text_response_t response =
            request_via_node((client + i * CLIENTS) % MACHINES, "GET",
                             added ? ADDED_ROUTE "a" : "/inner/a", id);
        count(&response, sent_us, added);
        text_response_free(&response);
        g_usleep(REQUEST_GAP_US);
    }
    return NULL;
}

static void
report(int machine, const char *state)
{
    put_server_report(&site.machines[machine], state, BORN_MS,
                      ++run.sequences[machine]);
}

static void
play(GRand *random)
{
    report(LEFT_BEFORE, "ready");
    g_usleep(500000);
    gint64 copied_us = g_get_monotonic_time();
    g_usleep((gulong)g_rand_int_range(random, 100, 600) * 1000);
    report(LEFT_BEFORE, "draining");
    run.left_before_us = g_get_monotonic_time();
    for (int i = 0; i < 12; i++) {
        report(LEAVES_AFTER, "ready");
        put_desired_state(5 + 2 * i, NULL);
        g_usleep((gulong)g_rand_int_range(random, 50, 250) * 1000);
    }
    remove_server_record(&site.machines[LEFT_BEFORE]);
    g_usleep(500000);

    char path[64];
    g_snprintf(path, sizeof(path), "/test/restore/%d",
               (int)((g_get_monotonic_time() - copied_us) / 1000));
    store_request("POST", "/test/mode/busy", "");
    store_request("POST", "/test/cut", "");
    store_request("POST", path, "");
    g_usleep((gulong)g_rand_int_range(random, 100, 1500) * 1000);
    store_request("POST", "/test/mode/up", "");
    g_usleep((gulong)g_rand_int_range(random, 200, 1500) * 1000);
    for (int i = 0; i < MACHINES; i++) {
        if (i != LEFT_BEFORE) {
            report(i, "ready");
        }
    }
    put_desired_state(site.desired_state_version, NULL);
    // The copy's entry of the server that left expires.
    g_usleep((gulong)4 * G_USEC_PER_SEC);
    remove_server_record(&site.machines[LEFT_BEFORE]);

    put_desired_state(site.desired_state_version + 1, ADDED_ROUTE);
    run.added_us = g_get_monotonic_time();
    report(LEAVES_AFTER, "draining");
    run.left_after_us = g_get_monotonic_time();
    g_usleep((gulong)5 * G_USEC_PER_SEC);
}

static void
run_seed(guint32 seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    memset(&run.counts, 0, sizeof(run.counts));
    memset(run.sequences, 0, sizeof(run.sequences));
    run.left_before_us = run.left_after_us = run.added_us = 0;
    g_atomic_int_set(&run.stopped, 0);
    start_site(MACHINES);
    publish_site();
    for (int i = 0; i < MACHINES; i++) {
        report(i, "ready");
    }
    g_usleep((gulong)2 * G_USEC_PER_SEC);
    GThread *threads[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
        threads[i] = g_thread_new("client", run_client, GINT_TO_POINTER(i));
    }
    play(random);
    g_atomic_int_set(&run.stopped, 1);
    for (int i = 0; i < CLIENTS; i++) {
        g_thread_join(threads[i]);
    }
    const counts_t *counts = &run.counts;
    printf("seed %u: requests=%d refused=%d failed=%d at_left_before=%d "
           "at_left_after=%d old_state=%d\n",
           seed, counts->requests, counts->refused, counts->failed,
           counts->at_left_before, counts->at_left_after, counts->old_state);
    stop_site();
    g_rand_free(random);
}

static GArray *seeds;

static void
test_seeds(void)
{
    for (guint i = 0; i < seeds->len; i++) {
        run_seed(g_array_index(seeds, guint32, i));
    }
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    (void)state;
    guint32 seed = 0;
    switch (key) {
    case 'o':
        site_other_program = value;
        return 0;
    case ARGP_KEY_ARG:
        seed = (guint32)g_ascii_strtoull(value, NULL, 10);
        g_array_append_val(seeds, seed);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"other", 'o', "PROGRAM", 0, "Program of each second node", 0}, {0}};
    static const struct argp argp = {
        options,    parse_option,
        "SEED ...", "Counts what callers see around a drill of the store.",
        NULL,       NULL,
        NULL};
    CU_TestInfo tests[] = {{"seeds", test_seeds}, CU_TEST_INFO_NULL};
    seeds = g_array_new(FALSE, FALSE, sizeof(guint32));
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    setvbuf(stdout, NULL, _IOLBF, 0);
    return run_suite("store drill", tests);
}
