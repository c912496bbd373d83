/// @file
/// Fair shares of a scarce service among 77 workspaces of unlike size, one of
/// which sends 6.6 times its usual inside its usage cap: gates, a keeper, the
/// throttle of the entry and the pressure of the service, without a network.

#include <math.h>
#include <string.h>

#include "ibisfield/admission/entry_throttle.h"
#include "ibisfield/admission/pressure.h"
#include "ibisfield/workspace/fair_shares.h"
#include "ibisfield/workspace/usage_gate.h"
#include "ibisfield/workspace/usage_keeper.h"

#include "common/suite.h"

#define WORKSPACES 77
#define NODES 12
#define SLOTS 200
#define SERVICE_US (100 * US_PER_MS)
/// Requests a second that the service can run.
#define CAPACITY ((double)SLOTS * US_PER_S / SERVICE_US)
#define STEP_US (10 * US_PER_MS)
#define STEPS_PER_S 100
#define REPORT_STEPS 20
#define KIND 1
#define HOT 2
#define HOT_FACTOR 6.6
/// Caps leave room for far more than the usual load.
#define CAP_FACTOR 8

static struct {
    manual_clock_t clock;
    workspaces_t workspaces;
    uint64_t ids[WORKSPACES];
    double usual[WORKSPACES]; ///< requests a second
    usage_gate_t gates[NODES];
    entry_throttle_t throttles[NODES];
    usage_keeper_t keeper;
    pressure_t pressure;
    GRand *random;
    bool fair;
    int step;
    uint32_t offered[WORKSPACES];
    uint32_t admitted[WORKSPACES];
} sim;

static void
ignore_change(void *context, const usage_cap_change_t *change)
{
    (void)context;
    (void)change;
}

/// Sizes fall like 1, 1/2, 1/3 and so on; together they ask for
/// @p usual_load times the capacity.
static void
start(bool fair, double usual_load)
{
    memset(&sim, 0, sizeof(sim));
    sim.fair = fair;
    manual_clock_init(&sim.clock, 100 * US_PER_S);
    sim.random = g_rand_new_with_seed(3);
    workspaces_init(&sim.workspaces);
    double sum = 0;
    for (int i = 0; i < WORKSPACES; i++) {
        sum += 1.0 / (i + 1);
    }
    for (int i = 0; i < WORKSPACES; i++) {
        sim.usual[i] = usual_load * CAPACITY / sum / (i + 1);
        workspace_t workspace = {.rate_per_s = CAP_FACTOR * sim.usual[i],
                                 .burst = CAP_FACTOR * sim.usual[i]};
        workspace.name = g_strdup_printf("%d", i);
        workspaces_put(&sim.workspaces, "", &workspace, 1);
        workspace_finish(&workspace);
    }
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, sim.workspaces.by_id);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const workspace_entry_t *entry = pointer;
        sim.ids[atoi(entry->workspace.name)] = entry->id;
    }
    for (int i = 0; i < NODES; i++) {
        usage_gate_init(&sim.gates[i], &sim.clock.base, (uint32_t)i);
        entry_throttle_init(&sim.throttles[i], &sim.clock.base, (uint32_t)i);
    }
    usage_keeper_init(&sim.keeper, &sim.clock.base, false, ignore_change,
                      NULL);
    pressure_init(&sim.pressure, sim.clock.now_us);
}

static void
stop(void)
{
    for (int i = 0; i < NODES; i++) {
        usage_gate_finish(&sim.gates[i]);
        entry_throttle_finish(&sim.throttles[i]);
    }
    usage_keeper_finish(&sim.keeper);
    workspaces_finish(&sim.workspaces);
    g_rand_free(sim.random);
}

static void
offer(int workspace)
{
    int node = g_rand_int_range(sim.random, 0, NODES);
    usage_gate_t *gate = &sim.gates[node];
    entry_throttle_t *throttle = &sim.throttles[node];
    const workspace_entry_t *entry =
        workspaces_find(&sim.workspaces, sim.ids[workspace]);
    sim.offered[workspace]++;
    if (!usage_gate_admit(gate, entry)) {
        return;
    }
    double factor = sim.fair ? usage_gate_refusal_factor(gate, entry->id) : 1;
    // A second kind, of the highest worth, is never offered here.
    if (entry_throttle_refuses(throttle, KIND, 50, 0, factor)) {
        usage_gate_return(gate, entry->id);
        return;
    }
    sim.admitted[workspace]++;
    pressure_record_arrival(&sim.pressure, SERVICE_US);
    entry_throttle_record(
        throttle, KIND, 50,
        &(entry_throttle_report_t){.pressure_permille =
                                       pressure_permille(&sim.pressure)});
}

static void
report(int node)
{
    GArray *counts = g_array_new(FALSE, FALSE, sizeof(usage_count_t));
    GArray *shares = g_array_new(FALSE, FALSE, sizeof(usage_share_t));
    usage_gate_take_counts(&sim.gates[node], counts);
    usage_caps_t caps = {.workspaces = &sim.workspaces, .nodes = NODES};
    usage_keeper_report(
        &sim.keeper, &caps,
        &(usage_report_t){.reporter = (uint64_t)node + 1,
                          .weight = 1,
                          .refused_permille = entry_throttle_refused_permille(
                              &sim.throttles[node]),
                          .counts = counts},
        shares);
    usage_gate_apply_shares(&sim.gates[node], shares);
    g_array_free(counts, TRUE);
    g_array_free(shares, TRUE);
}

static void
play(double seconds, bool hot)
{
    int end = sim.step + (int)(seconds * STEPS_PER_S);
    for (; sim.step < end; sim.step++) {
        for (int i = 0; i < WORKSPACES; i++) {
            double mean = sim.usual[i] * (hot && i == HOT ? HOT_FACTOR : 1) /
                          STEPS_PER_S;
            int count = (int)mean;
            count += g_rand_double(sim.random) < mean - count ? 1 : 0;
            for (int j = 0; j < count; j++) {
                offer(i);
            }
        }
        for (int i = 0; i < NODES; i++) {
            if ((sim.step + i) % REPORT_STEPS == 0) {
                report(i);
            }
        }
        manual_clock_advance(&sim.clock, STEP_US);
        pressure_tick(&sim.pressure, SLOTS, sim.clock.now_us);
    }
}

/// What the others got of what they asked for, what the hot one got, and what
/// all got of the capacity, while one is hot.
typedef struct {
    double others;
    double worst_other;
    double hot;
    double used;
} result_t;

static result_t
play_hot_workspace(bool fair)
{
    start(fair, 0.8);
    // The throttle takes the highest worth that it has seen for that of all.
    for (int i = 0; i < NODES; i++) {
        entry_throttle_refuses(&sim.throttles[i], KIND + 1, 100, 0, 1);
    }
    play(5, false);
    play(3, true);
    memset(sim.offered, 0, sizeof(sim.offered));
    memset(sim.admitted, 0, sizeof(sim.admitted));
    play(15, true);
    result_t result = {.worst_other = 1};
    double offered = 0;
    double admitted = 0;
    for (int i = 0; i < WORKSPACES; i++) {
        result.used += sim.admitted[i] / (15 * CAPACITY);
        if (i == HOT) {
            result.hot = (double)sim.admitted[i] / sim.offered[i];
            continue;
        }
        offered += sim.offered[i];
        admitted += sim.admitted[i];
        result.worst_other =
            MIN(result.worst_other, (double)sim.admitted[i] / sim.offered[i]);
    }
    result.others = admitted / offered;
    stop();
    return result;
}

/// Guards against workspaces that ask for less than their share and are
/// refused for one that asks for more, and against room that is left unused.
static void
test_hot_workspace_does_not_crowd_others_out(void)
{
    result_t fair = play_hot_workspace(true);
    result_t unfair = play_hot_workspace(false);
    printf("\nothers %.3f (worst %.3f), hot %.3f, used %.3f; without fair "
           "shares %.3f (worst %.3f), hot %.3f, used %.3f ... ",
           fair.others, fair.worst_other, fair.hot, fair.used, unfair.others,
           unfair.worst_other, unfair.hot, unfair.used);
    CU_ASSERT_TRUE(fair.others >= 0.97);
    CU_ASSERT_TRUE(fair.worst_other >= 0.9);
    CU_ASSERT_TRUE(fair.used >= 0.85);
    CU_ASSERT_TRUE(fair.hot > 0.2);
    CU_ASSERT_TRUE(fair.others > unfair.others + 0.1);
}

/// Guards against refusals by fair shares while nothing is scarce.
static void
test_nothing_is_divided_while_there_is_room(void)
{
    start(true, 0.6);
    play(1, false); // The first shares arrive.
    memset(sim.offered, 0, sizeof(sim.offered));
    memset(sim.admitted, 0, sizeof(sim.admitted));
    play(10, false);
    for (int i = 0; i < WORKSPACES; i++) {
        CU_ASSERT_EQUAL(sim.admitted[i], sim.offered[i]);
    }
    stop();
}

/// Guards against levels that aren't max-min: nobody below it, all room used.
static void
test_levels(void)
{
    fair_demand_t demands[] = {{1, 1, 0}, {6, 1, 1}, {10, 2, 2}, {2, 4, 3}};
    // 1 and 2 are met; 9 are left for weights 1 and 2.
    CU_ASSERT_DOUBLE_EQUAL(fair_shares_level(demands, 4, 12), 3, 1e-9);
    for (int i = 0; i < 4; i++) {
        uint32_t factor = fair_shares_refusal_factor(&demands[i], 3, 0.5);
        static const uint32_t expected[] = {0, 1000, 800, 0};
        CU_ASSERT_EQUAL(factor, expected[demands[i].index]);
    }
    CU_ASSERT_TRUE(isinf(fair_shares_level(demands, 4, 19)));
    CU_ASSERT_DOUBLE_EQUAL(fair_shares_level(demands, 4, 0), 0, 1e-9);
    CU_ASSERT_TRUE(isinf(fair_shares_level(demands, 0, 1)));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"levels", test_levels},
        {"hot workspace", test_hot_workspace_does_not_crowd_others_out},
        {"room for all", test_nothing_is_divided_while_there_is_room},
        CU_TEST_INFO_NULL,
    };
    return run_suite("fair shares", tests);
}
