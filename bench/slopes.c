/// @file
/// Measures how the cost of configuration and membership grows with the size
/// of the fleet. Replicators of many nodes run in one process with a simulated
/// clock. The program varies one size at a time, fits a line to the cost of
/// one node, and extrapolates to the target size. Bytes are those of encoded
/// control messages, without TCP and IP headers.

#include <inttypes.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <time.h>

#include "common/config_cluster.h"
#include "ibisfield/base/log.h"

/// Simulated time for the nodes to converge after their start.
#define CONVERGENCE_US (15 * US_PER_S)
#define MEASURED_S 30
#define FIT_POINTS 4
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
    uint32_t changes;  ///< within MEASURED_S
    uint32_t restarts; ///< within MEASURED_S
} scenario_t;

/// Cost of one node: the mean over all nodes; peak_bytes_per_s is that of the
/// most loaded node.
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
publish_vm_item(config_cluster_t *cluster, const scenario_t *scenario,
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
        publish_vm_item(cluster, scenario, i);
    }
    for (uint32_t i = 0; i < scenario->customers; i++) {
        publish_contract(cluster, i);
    }
    for (uint32_t i = 0; i < scenario->nodes; i++) {
        cluster_start_node(cluster, i);
    }
    cluster_run(cluster, CONVERGENCE_US);
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

/// Spreads the changes and restarts of the scenario over MEASURED_S. Changes
/// of contracts and of VM items alternate.
static void
run_changes(config_cluster_t *cluster, const scenario_t *scenario)
{
    uint32_t steps = MEASURED_S * 10;
    uint32_t changes = 0;
    uint32_t restarts = 0;
    for (uint32_t step = 0; step < steps; step++) {
        for (; changes * steps < scenario->changes * step; changes++) {
            if (changes % 2 == 0) {
                publish_contract(cluster, changes % scenario->customers);
            }
            else {
                publish_vm_item(cluster, scenario, changes % scenario->nodes);
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
    run_changes(&cluster, scenario);
    double cpu_us = (cpu_seconds() - start) * 1e6;
    cost_t cost = read_counters(&cluster, MEASURED_S);
    cost.cpu_us_per_s = cpu_us / MEASURED_S / scenario->nodes;
    cost.memory_kb = (double)memory / 1024 / scenario->nodes;
    cluster_finish(&cluster);
    return cost;
}

typedef struct {
    double slope;
    double intercept;
} line_t;

static line_t
fit_line(const double *x, const double *y)
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (int i = 0; i < FIT_POINTS; i++) {
        sx += x[i];
        sy += y[i];
        sxx += x[i] * x[i];
        sxy += x[i] * y[i];
    }
    line_t line;
    line.slope = (FIT_POINTS * sxy - sx * sy) / (FIT_POINTS * sxx - sx * sx);
    line.intercept = (sy - line.slope * sx) / FIT_POINTS;
    return line;
}

typedef struct {
    line_t bytes;
    line_t peak_bytes;
    line_t messages;
    line_t cpu;
    line_t memory;
} slopes_t;

/// Measures the cost with the scenario member at @p offset set to each of the
/// values, and fits lines to the results.
static slopes_t
measure_slopes(const char *name, size_t offset, const uint32_t *values)
{
    double x[FIT_POINTS];
    double y[5][FIT_POINTS];
    for (int i = 0; i < FIT_POINTS; i++) {
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
           MEASURED_S, base_scenario.nodes, base_scenario.data_centres,
           base_scenario.customers, base_scenario.services);
    printf("%-19s | %8s %8s %7s %8s %8s\n", "", "bytes/s", "peak B/s",
           "msgs/s", "cpu us/s", "mem KB");
    slopes_t nodes = measure_slopes("nodes", offsetof(scenario_t, nodes),
                                    (uint32_t[]){50, 100, 200, 400});
    slopes_t data_centres =
        measure_slopes("data centres", offsetof(scenario_t, data_centres),
                       (uint32_t[]){2, 4, 6, 10});
    slopes_t customers =
        measure_slopes("customers", offsetof(scenario_t, customers),
                       (uint32_t[]){10, 50, 100, 200});
    measure_slopes("services", offsetof(scenario_t, services),
                   (uint32_t[]){5, 10, 20, 40});
    slopes_t changes = measure_slopes("changes", offsetof(scenario_t, changes),
                                      (uint32_t[]){0, 15, 30, 60});
    slopes_t restarts =
        measure_slopes("restarts", offsetof(scenario_t, restarts),
                       (uint32_t[]){0, 5, 10, 20});
    // The part of a restart's cost that one node bears falls with the number
    // of nodes, but the cost of a restart grows with the list, so the two
    // cancel out.
    double change_count = TARGET_CHANGES_PER_S * MEASURED_S;
    double restart_count = TARGET_RESTARTS_PER_S * MEASURED_S;
    double extra_data_centres =
        TARGET_DATA_CENTRES - base_scenario.data_centres;
    double bytes = nodes.bytes.intercept + nodes.bytes.slope * 400 +
                   data_centres.bytes.slope * extra_data_centres +
                   changes.bytes.slope * change_count +
                   restarts.bytes.slope * restart_count;
    double peak = nodes.peak_bytes.intercept + nodes.peak_bytes.slope * 400 +
                  changes.peak_bytes.slope * change_count +
                  restarts.peak_bytes.slope * restart_count;
    double cpu = nodes.cpu.intercept + nodes.cpu.slope * TARGET_NODES +
                 changes.cpu.slope * change_count +
                 restarts.cpu.slope * restart_count;
    double memory = nodes.memory.intercept +
                    nodes.memory.slope * TARGET_NODES +
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

/* Disturbances. */

typedef bool (*converged_fn_t)(const config_cluster_t *cluster);

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
all_converged(const config_cluster_t *cluster)
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
    double converged_s;
    double peak_reads_per_s;
    double platform_kb;
    cost_t cost;
} disturbance_t;

static disturbance_t
run_disturbance(config_cluster_t *cluster, converged_fn_t has_converged,
                int duration_s)
{
    disturbance_t disturbance = {.converged_s = INFINITY};
    int64_t start_us = cluster->clock.now_us;
    for (int second = 0; second < duration_s; second++) {
        uint64_t reads = cluster->platform_reads;
        for (int tick = 0; tick < 10; tick++) {
            cluster_run(cluster, REPLICATOR_TICK_US);
            if (isinf(disturbance.converged_s) && has_converged(cluster)) {
                disturbance.converged_s =
                    (double)(cluster->clock.now_us - start_us) / 1e6;
            }
        }
        double rate = (double)(cluster->platform_reads - reads);
        disturbance.peak_reads_per_s = MAX(disturbance.peak_reads_per_s, rate);
    }
    disturbance.platform_kb = (double)cluster->platform_bytes / 1024;
    disturbance.cost = read_counters(cluster, 1);
    return disturbance;
}

static void
print_disturbance(const char *name, const disturbance_t *disturbance)
{
    printf("%-30s | %7.1f %9.0f %9.0f | %9.1f %9.1f %7.0f\n", name,
           disturbance->converged_s, disturbance->peak_reads_per_s,
           disturbance->platform_kb, disturbance->cost.bytes_per_s / 1024,
           disturbance->cost.peak_bytes_per_s / 1024,
           disturbance->cost.messages_per_s);
    fflush(stdout);
}

static const scenario_t disturbance_scenario = {400, 4, 50, 20, 0, 0};

static void
run_data_centre_return(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, &disturbance_scenario);
    for (uint32_t i = 0; i < cluster.node_count; i += 4) {
        cluster_stop_node(&cluster, i);
    }
    clear_counters(&cluster);
    for (uint32_t i = 0; i < cluster.node_count; i += 4) {
        cluster_start_node(&cluster, i);
    }
    disturbance_t disturbance = run_disturbance(&cluster, all_converged, 10);
    print_disturbance("data centre of 100 returns", &disturbance);
    cluster_finish(&cluster);
}

static void
set_partition(config_cluster_t *cluster, bool partitioned)
{
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        cluster->nodes[i].platform_unreachable = partitioned && i % 2 == 1;
        for (uint32_t j = 0; j < cluster->node_count; j++) {
            if (i % 2 != j % 2) {
                cluster_set_link_down(cluster, i, j, partitioned);
            }
        }
    }
}

/// During the partition only one half of the nodes reads the changes of an
/// hour, so the lists of the halves differ in 650 items when it ends.
static void
run_partition_end(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, &disturbance_scenario);
    set_partition(&cluster, true);
    for (uint32_t i = 0; i < 650; i++) {
        publish_vm_item(&cluster, &disturbance_scenario,
                        i * 3 % cluster.node_count);
        if (i % 100 == 0) {
            cluster_run(&cluster, US_PER_S);
        }
    }
    cluster_run(&cluster, 10 * US_PER_S);
    for (uint32_t i = 1; i < cluster.node_count; i += 2) {
        cluster.nodes[i].platform_unreachable = true;
    }
    set_partition(&cluster, false);
    clear_counters(&cluster);
    disturbance_t disturbance = run_disturbance(&cluster, all_converged, 20);
    print_disturbance("regions rejoin, 650 changes", &disturbance);
    cluster_finish(&cluster);
}

static void
run_change_burst(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, &disturbance_scenario);
    clear_counters(&cluster);
    for (uint32_t i = 0; i < 200; i++) {
        publish_vm_item(&cluster, &disturbance_scenario, i);
    }
    disturbance_t disturbance = run_disturbance(&cluster, all_converged, 10);
    print_disturbance("burst of 200 changes", &disturbance);
    cluster_finish(&cluster);
}

static void
run_platform_return(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, &disturbance_scenario);
    cluster.mode = PLATFORM_DOWN;
    cluster_run(&cluster, 30 * US_PER_S);
    cluster.mode = PLATFORM_UP;
    clear_counters(&cluster);
    disturbance_t disturbance = run_disturbance(&cluster, all_converged, 10);
    print_disturbance("platform back, nodes running", &disturbance);
    print_limit("reads/s at 40 data centres",
                disturbance.peak_reads_per_s /
                    disturbance_scenario.data_centres * TARGET_DATA_CENTRES,
                LIMIT_PLATFORM_READS);
    cluster_finish(&cluster);
}

/// Restarts every node while the platform is down, so that no node can read
/// the configuration until the platform is back.
static void
run_full_restart(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, &disturbance_scenario);
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
    disturbance_t disturbance = run_disturbance(&cluster, all_converged, 90);
    print_disturbance("all restarted, platform back", &disturbance);
    print_limit("reads/s at 16,000 nodes",
                disturbance.peak_reads_per_s / disturbance_scenario.nodes *
                    TARGET_NODES,
                LIMIT_PLATFORM_READS);
    cluster_finish(&cluster);
}

int
main(void)
{
    log_init();
    log_set_level("error");
    print_slopes();
    printf("\ndisturbances with %u nodes in %u data centres; KB and messages "
           "are of one node over the whole disturbance\n",
           disturbance_scenario.nodes, disturbance_scenario.data_centres);
    printf("%-30s | %7s %9s %9s | %9s %9s %7s\n", "", "agree s", "reads/s",
           "platf. KB", "mean KB", "peak KB", "msgs");
    run_data_centre_return();
    run_partition_end();
    run_change_burst();
    run_platform_return();
    run_full_restart();
    return 0;
}
