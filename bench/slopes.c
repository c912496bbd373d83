/// @file
/// How the cost of configuration and membership grows. Replicators of many
/// nodes run in one process with a fake clock; the program varies one size at
/// a time, fits a line to the cost of one node, and extrapolates to the target
/// size. Bytes are encoded control messages, without TCP and IP headers.

#include <inttypes.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <time.h>

#include "common/config_cluster.h"
#include "ibisfield/base/log.h"

#define SETTLE_US (15 * US_PER_S)
#define PERIOD_S 30
#define POINTS 4
#define CONTRACT_BYTES 800

#define TARGET_NODES 16000.0
#define TARGET_DATA_CENTRES 40.0
#define TARGET_CHANGES_PER_S (13000.0 / 86400)
#define TARGET_RESTARTS_PER_S (2700.0 / 86400)
#define TARGET_CUSTOMERS 500.0
#define LIMIT_BYTES_PER_S 15000.0
#define LIMIT_CPU_US_PER_S 43000.0
#define LIMIT_MEMORY_MB 128.0
#define LIMIT_PLATFORM_READS 2000.0

typedef struct {
    uint32_t nodes;
    uint32_t data_centres;
    uint32_t customers;
    uint32_t services;
    uint32_t changes;  ///< in the period
    uint32_t restarts; ///< in the period
} scenario_t;

/// Cost of one node: mean over the nodes, and of the most loaded one.
typedef struct {
    double bytes_per_s;
    double peak_bytes_per_s;
    double messages_per_s;
    double cpu_us_per_s;
    double memory_kb;
} cost_t;

static const scenario_t base_scenario = {100, 4, 20, 10, 0, 0};

static double
cpu_seconds(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
publish_contract(config_cluster_t *cluster, uint32_t customer)
{
    char name[32];
    char *filler = g_strnfill(CONTRACT_BYTES, 'x');
    char *value = g_strdup_printf("{\"n\":\"%s\"}", filler);
    g_snprintf(name, sizeof(name), "contract/customer%u", customer);
    cluster_publish(cluster, name, value);
    g_free(value);
    g_free(filler);
}

static void
list_node(config_cluster_t *cluster, const scenario_t *scenario,
          uint32_t index)
{
    char service[32];
    g_snprintf(service, sizeof(service), "service%u",
               index % scenario->services);
    cluster_publish_node(cluster, index, service, "live");
}

static void
start_cluster(config_cluster_t *cluster, const scenario_t *scenario)
{
    cluster_init(cluster, scenario->nodes, scenario->data_centres);
    cluster->seed_count = 2;
    for (uint32_t i = 0; i < scenario->nodes; i++) {
        list_node(cluster, scenario, i);
    }
    for (uint32_t i = 0; i < scenario->customers; i++) {
        publish_contract(cluster, i);
    }
    for (uint32_t i = 0; i < scenario->nodes; i++) {
        cluster_start_node(cluster, i);
    }
    cluster_run(cluster, SETTLE_US);
}

static void
clear_counters(config_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        cluster_node_t *node = &cluster->nodes[i];
        node->bytes_sent = node->bytes_received = node->messages_sent = 0;
    }
    cluster->platform_reads = cluster->platform_bytes = 0;
}

static cost_t
read_counters(const config_cluster_t *cluster, double seconds)
{
    cost_t cost = {0};
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        const cluster_node_t *node = &cluster->nodes[i];
        double bytes =
            (double)(node->bytes_sent + node->bytes_received) / seconds;
        cost.bytes_per_s += bytes / cluster->node_count;
        cost.peak_bytes_per_s = MAX(cost.peak_bytes_per_s, bytes);
        cost.messages_per_s +=
            (double)node->messages_sent / seconds / cluster->node_count;
    }
    return cost;
}

/// Half of the changes are contracts, half are list items.
static void
run_period(config_cluster_t *cluster, const scenario_t *scenario)
{
    uint32_t steps = PERIOD_S * 10;
    uint32_t changes = 0;
    uint32_t restarts = 0;
    for (uint32_t step = 0; step < steps; step++) {
        for (; changes * steps < scenario->changes * step; changes++) {
            if (changes % 2 == 0) {
                publish_contract(cluster, changes % scenario->customers);
            }
            else {
                list_node(cluster, scenario, changes % scenario->nodes);
            }
        }
        for (; restarts * steps < scenario->restarts * step; restarts++) {
            uint32_t index = restarts * 7 % scenario->nodes;
            cluster_stop_node(cluster, index);
            cluster_start_node(cluster, index);
        }
        cluster_run(cluster, REPLICATOR_TICK_US);
    }
}

static cost_t
measure(const scenario_t *scenario)
{
    config_cluster_t cluster;
    malloc_trim(0);
    size_t memory = mallinfo2().uordblks;
    start_cluster(&cluster, scenario);
    memory = mallinfo2().uordblks - memory;
    clear_counters(&cluster);
    double start = cpu_seconds();
    run_period(&cluster, scenario);
    double used_us = (cpu_seconds() - start) * 1e6;
    cost_t cost = read_counters(&cluster, PERIOD_S);
    cost.cpu_us_per_s = used_us / PERIOD_S / scenario->nodes;
    cost.memory_kb = (double)memory / 1024 / scenario->nodes;
    cluster_finish(&cluster);
    return cost;
}

typedef struct {
    double slope;
    double at_zero;
} line_t;

static line_t
fit_line(const double *x, const double *y)
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (int i = 0; i < POINTS; i++) {
        sx += x[i];
        sy += y[i];
        sxx += x[i] * x[i];
        sxy += x[i] * y[i];
    }
    line_t line;
    line.slope = (POINTS * sxy - sx * sy) / (POINTS * sxx - sx * sx);
    line.at_zero = (sy - line.slope * sx) / POINTS;
    return line;
}

typedef struct {
    line_t bytes;
    line_t peak_bytes;
    line_t messages;
    line_t cpu;
    line_t memory;
} slopes_t;

/// Measures with one field of the scenario set to each of the values.
static slopes_t
vary(const char *name, size_t offset, const uint32_t *values)
{
    double x[POINTS];
    double y[5][POINTS];
    for (int i = 0; i < POINTS; i++) {
        scenario_t scenario = base_scenario;
        *(uint32_t *)(void *)((char *)&scenario + offset) = values[i];
        cost_t cost = measure(&scenario);
        x[i] = values[i];
        y[0][i] = cost.bytes_per_s;
        y[1][i] = cost.messages_per_s;
        y[2][i] = cost.cpu_us_per_s;
        y[3][i] = cost.memory_kb;
        y[4][i] = cost.peak_bytes_per_s;
        printf("%-13s %5u | %8.0f %8.0f %7.1f %8.0f %8.0f\n", name, values[i],
               cost.bytes_per_s, cost.peak_bytes_per_s, cost.messages_per_s,
               cost.cpu_us_per_s, cost.memory_kb);
        fflush(stdout);
    }
    slopes_t slopes = {
        .bytes = fit_line(x, y[0]),
        .messages = fit_line(x, y[1]),
        .cpu = fit_line(x, y[2]),
        .memory = fit_line(x, y[3]),
        .peak_bytes = fit_line(x, y[4]),
    };
    printf("%-13s slope | %8.3f %8.3f %7.4f %8.3f %8.3f\n", name,
           slopes.bytes.slope, slopes.peak_bytes.slope, slopes.messages.slope,
           slopes.cpu.slope, slopes.memory.slope);
    return slopes;
}

static void
print_limit(const char *what, double value, double limit)
{
    printf("  %-34s %10.1f   target %8.0f   %s\n", what, value, limit,
           value <= limit ? "met" : "MISSED");
}

static void
print_slopes(void)
{
    printf("cost of one node, %d s; each row changes one size of: %u nodes, "
           "%u data centres, %u customers, %u services\n",
           PERIOD_S, base_scenario.nodes, base_scenario.data_centres,
           base_scenario.customers, base_scenario.services);
    printf("%-19s | %8s %8s %7s %8s %8s\n", "", "bytes/s", "peak B/s",
           "msgs/s", "cpu us/s", "mem KB");
    slopes_t nodes = vary("nodes", offsetof(scenario_t, nodes),
                          (uint32_t[]){50, 100, 200, 400});
    slopes_t centres = vary("data centres", offsetof(scenario_t, data_centres),
                            (uint32_t[]){2, 4, 6, 10});
    slopes_t customers = vary("customers", offsetof(scenario_t, customers),
                              (uint32_t[]){10, 50, 100, 200});
    vary("services", offsetof(scenario_t, services),
         (uint32_t[]){5, 10, 20, 40});
    slopes_t changes = vary("changes", offsetof(scenario_t, changes),
                            (uint32_t[]){0, 15, 30, 60});
    slopes_t restarts = vary("restarts", offsetof(scenario_t, restarts),
                             (uint32_t[]){0, 5, 10, 20});
    /* The share of a restart in the load of one node falls with the number of
     * nodes, but its cost grows with the list, so the two cancel out. */
    double change_count = TARGET_CHANGES_PER_S * PERIOD_S;
    double restart_count = TARGET_RESTARTS_PER_S * PERIOD_S;
    double more_centres = TARGET_DATA_CENTRES - base_scenario.data_centres;
    double bytes = nodes.bytes.at_zero + nodes.bytes.slope * 400 +
                   centres.bytes.slope * more_centres +
                   changes.bytes.slope * change_count +
                   restarts.bytes.slope * restart_count;
    double peak = nodes.peak_bytes.at_zero + nodes.peak_bytes.slope * 400 +
                  changes.peak_bytes.slope * change_count +
                  restarts.peak_bytes.slope * restart_count;
    double cpu = nodes.cpu.at_zero + nodes.cpu.slope * TARGET_NODES +
                 changes.cpu.slope * change_count +
                 restarts.cpu.slope * restart_count;
    double memory = nodes.memory.at_zero + nodes.memory.slope * TARGET_NODES +
                    customers.memory.slope * TARGET_CUSTOMERS;
    printf("extrapolated to %.0f nodes, %.0f data centres, %.0f customers, "
           "%.2f changes/s, %.3f restarts/s\n",
           TARGET_NODES, TARGET_DATA_CENTRES, TARGET_CUSTOMERS,
           TARGET_CHANGES_PER_S, TARGET_RESTARTS_PER_S);
    print_limit("bytes/s, mean node", bytes, LIMIT_BYTES_PER_S);
    print_limit("bytes/s, most loaded node", peak, LIMIT_BYTES_PER_S);
    print_limit("cpu us/s of a node (core only)", cpu, LIMIT_CPU_US_PER_S);
    print_limit("memory MB of a node (core only)", memory / 1024,
                LIMIT_MEMORY_MB);
}

/* Bad moments. */

typedef bool (*settled_t)(const config_cluster_t *cluster);

static bool
all_ready(const config_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        if (!replicator_is_ready(&cluster->nodes[i].replicator)) {
            return false;
        }
    }
    return true;
}

static bool
all_equal(const config_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        const item_store_t *store = &cluster->nodes[i].replicator.store;
        if (store->digest != cluster->nodes[0].replicator.store.digest ||
            store->in_force_count !=
                cluster->nodes[0].replicator.store.in_force_count)
        {
            return false;
        }
    }
    return all_ready(cluster);
}

typedef struct {
    double settled_s;
    double peak_reads_per_s;
    double platform_kb;
    cost_t cost;
} moment_t;

static moment_t
run_moment(config_cluster_t *cluster, settled_t settled, int limit_s)
{
    moment_t moment = {.settled_s = INFINITY};
    int64_t start_us = cluster->clock.now_us;
    for (int second = 0; second < limit_s; second++) {
        uint64_t reads = cluster->platform_reads;
        for (int tick = 0; tick < 10; tick++) {
            cluster_run(cluster, REPLICATOR_TICK_US);
            if (isinf(moment.settled_s) && settled(cluster)) {
                moment.settled_s =
                    (double)(cluster->clock.now_us - start_us) / 1e6;
            }
        }
        double rate = (double)(cluster->platform_reads - reads);
        moment.peak_reads_per_s = MAX(moment.peak_reads_per_s, rate);
    }
    moment.platform_kb = (double)cluster->platform_bytes / 1024;
    moment.cost = read_counters(cluster, 1);
    return moment;
}

static void
print_moment(const char *name, const moment_t *moment)
{
    printf("%-30s | %7.1f %9.0f %9.0f | %9.1f %9.1f %7.0f\n", name,
           moment->settled_s, moment->peak_reads_per_s, moment->platform_kb,
           moment->cost.bytes_per_s / 1024,
           moment->cost.peak_bytes_per_s / 1024, moment->cost.messages_per_s);
    fflush(stdout);
}

static const scenario_t moment_scenario = {400, 4, 50, 20, 0, 0};

static void
data_centre_returns(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, &moment_scenario);
    for (uint32_t i = 0; i < cluster.node_count; i += 4) {
        cluster_stop_node(&cluster, i);
    }
    clear_counters(&cluster);
    for (uint32_t i = 0; i < cluster.node_count; i += 4) {
        cluster_start_node(&cluster, i);
    }
    moment_t moment = run_moment(&cluster, all_equal, 10);
    print_moment("data centre of 100 returns", &moment);
    cluster_finish(&cluster);
}

static void
cut_halves(config_cluster_t *cluster, bool cut)
{
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        cluster->nodes[i].platform_unreachable = cut && i % 2 == 1;
        for (uint32_t j = 0; j < cluster->node_count; j++) {
            if (i % 2 != j % 2) {
                cluster_set_link_down(cluster, i, j, cut);
            }
        }
    }
}

/// One half sees the changes of an hour up to the cut, and the other half all
/// of them, so their lists differ in 650 items.
static void
regions_rejoin(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, &moment_scenario);
    cut_halves(&cluster, true);
    for (uint32_t i = 0; i < 650; i++) {
        list_node(&cluster, &moment_scenario, i * 3 % cluster.node_count);
        if (i % 100 == 0) {
            cluster_run(&cluster, US_PER_S);
        }
    }
    cluster_run(&cluster, 10 * US_PER_S);
    for (uint32_t i = 1; i < cluster.node_count; i += 2) {
        cluster.nodes[i].platform_unreachable = true;
    }
    cut_halves(&cluster, false);
    clear_counters(&cluster);
    moment_t moment = run_moment(&cluster, all_equal, 20);
    print_moment("regions rejoin, 650 changes", &moment);
    cluster_finish(&cluster);
}

static void
burst_of_changes(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, &moment_scenario);
    clear_counters(&cluster);
    for (uint32_t i = 0; i < 200; i++) {
        list_node(&cluster, &moment_scenario, i);
    }
    moment_t moment = run_moment(&cluster, all_equal, 10);
    print_moment("burst of 200 changes", &moment);
    cluster_finish(&cluster);
}

static void
platform_returns(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, &moment_scenario);
    cluster.mode = PLATFORM_DOWN;
    cluster_run(&cluster, 30 * US_PER_S);
    cluster.mode = PLATFORM_UP;
    clear_counters(&cluster);
    moment_t moment = run_moment(&cluster, all_equal, 10);
    print_moment("platform back, nodes running", &moment);
    print_limit("reads/s at 40 data centres",
                moment.peak_reads_per_s / moment_scenario.data_centres *
                    TARGET_DATA_CENTRES,
                LIMIT_PLATFORM_READS);
    cluster_finish(&cluster);
}

/// Every node restarts while the platform is down, so none has a source.
static void
everything_restarts(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, &moment_scenario);
    cluster.mode = PLATFORM_DOWN;
    for (uint32_t i = 0; i < cluster.node_count; i++) {
        cluster_stop_node(&cluster, i);
    }
    for (uint32_t i = 0; i < cluster.node_count; i++) {
        cluster_start_node(&cluster, i);
    }
    cluster_run(&cluster, 60 * US_PER_S);
    cluster.mode = PLATFORM_UP;
    clear_counters(&cluster);
    moment_t moment = run_moment(&cluster, all_equal, 90);
    print_moment("all restarted, platform back", &moment);
    print_limit("reads/s at 16,000 nodes",
                moment.peak_reads_per_s / moment_scenario.nodes * TARGET_NODES,
                LIMIT_PLATFORM_READS);
    cluster_finish(&cluster);
}

int
main(void)
{
    log_init();
    log_set_level("error");
    print_slopes();
    printf("\nbad moments with %u nodes in %u data centres; KB and messages "
           "are of one node over the whole moment\n",
           moment_scenario.nodes, moment_scenario.data_centres);
    printf("%-30s | %7s %9s %9s | %9s %9s %7s\n", "", "agree s", "reads/s",
           "platf. KB", "mean KB", "peak KB", "msgs");
    data_centre_returns();
    regions_rejoin();
    burst_of_changes();
    platform_returns();
    everything_restarts();
    return 0;
}
