/// @file
/// Compares policies and variants of the product in a simulated fleet (`make
/// bench`): the core modules are those of the product; clock, network and
/// upstreams are simulated. Results are deterministic for a seed.

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/measure.h"

#define JOBS_DEFAULT 4

typedef enum {
    SCENARIO_LOAD_2X,
    SCENARIO_LOAD_5X,
    SCENARIO_RECOVERY,
    SCENARIO_SHORT_ALONE,
    SCENARIO_SHORT_WITH_LONG,
    SCENARIO_NONE_SLOW,
    SCENARIO_SLOW_SERVERS,
    SCENARIO_REDUCED_SLOTS,
    SCENARIO_FAILING_SERVERS,
    SCENARIO_CALL_CHAIN,
    SCENARIO_COUNT,
} scenario_id_t;

static const scenario_t scenarios[SCENARIO_COUNT] = {
    [SCENARIO_LOAD_2X] = {.name = "twice",
                          .load = 2,
                          .end_us = 6 * US_PER_S,
                          .measure_from_us = 2 * US_PER_S,
                          .client_attempts_max = 1,
                          .long_kind_load_factor = 1},
    [SCENARIO_LOAD_5X] = {.name = "five",
                          .load = 5,
                          .end_us = 5 * US_PER_S,
                          .measure_from_us = 2 * US_PER_S,
                          .client_attempts_max = 1,
                          .long_kind_load_factor = 1},
    [SCENARIO_RECOVERY] = {.name = "recovery",
                           .load = 0.8,
                           .end_us = 13 * US_PER_S,
                           .measure_from_us = US_PER_S,
                           .surge_load = 1.6,
                           .surge_from_us = 3 * US_PER_S,
                           .surge_end_us = 5 * US_PER_S,
                           .disturbed_service = 3,
                           .slow_factor = 4,
                           .disturbance_from_us = 3 * US_PER_S,
                           .disturbance_end_us = 5 * US_PER_S,
                           .client_attempts_max = 6,
                           .long_kind_load_factor = 1},
    [SCENARIO_SHORT_ALONE] = {.name = "short-alone",
                              .load = 0.4,
                              .end_us = 8 * US_PER_S,
                              .measure_from_us = 2 * US_PER_S,
                              .client_attempts_max = 1},
    [SCENARIO_SHORT_WITH_LONG] = {.name = "long",
                                  .load = 0.4,
                                  .end_us = 8 * US_PER_S,
                                  .measure_from_us = 2 * US_PER_S,
                                  .client_attempts_max = 1,
                                  .long_kind_load_factor = 12},
    [SCENARIO_NONE_SLOW] = {.name = "none-slow",
                            .load = 0.5,
                            .end_us = 7 * US_PER_S,
                            .measure_from_us = US_PER_S,
                            .client_attempts_max = 1},
    [SCENARIO_SLOW_SERVERS] = {.name = "slowed",
                               .load = 0.5,
                               .end_us = 7 * US_PER_S,
                               .measure_from_us = US_PER_S,
                               .disturbed_service = INDEX_NONE,
                               .slow_factor = 10,
                               .disturbance_from_us = US_PER_S,
                               .disturbance_end_us = 60 * US_PER_S,
                               .client_attempts_max = 1},
    [SCENARIO_REDUCED_SLOTS] = {.name = "squeezed",
                                .load = 0.9,
                                .end_us = 8 * US_PER_S,
                                .measure_from_us = US_PER_S,
                                .disturbed_service = INDEX_NONE,
                                .slow_factor = 4,
                                .reduced_slots = true,
                                .disturbance_from_us = US_PER_S,
                                .disturbance_end_us = 5 * US_PER_S,
                                .client_attempts_max = 1,
                                .long_kind_load_factor = 1},
    [SCENARIO_FAILING_SERVERS] = {.name = "failing",
                                  .load = 0.5,
                                  .end_us = 6 * US_PER_S,
                                  .measure_from_us = US_PER_S,
                                  .disturbed_service = INDEX_NONE,
                                  .disturbance_from_us = 2 * US_PER_S,
                                  .disturbance_end_us = 4 * US_PER_S,
                                  .client_attempts_max = 1,
                                  .long_kind_load_factor = 1},
    [SCENARIO_CALL_CHAIN] = {.name = "chain",
                             .deployment = "chain",
                             .load = 1,
                             .end_us = 5 * US_PER_S,
                             .measure_from_us = US_PER_S,
                             .disturbed_service = 9,
                             .slow_factor = 4,
                             .disturbance_from_us = 2 * US_PER_S,
                             .disturbance_end_us = 4 * US_PER_S,
                             .client_attempts_max = 1,
                             .long_kind_load_factor = 1},
};

/// Other policies, ibisfield, and ibisfield with one of its features disabled
/// or replaced.
static const variant_t policy_variants[] = {
    {"pass-through", POLICY_PASS_THROUGH},
    {"three attempts a hop", POLICY_HOP_RETRIES},
    {"ibisfield"},
    {"fixed limit",
     .disabled_admission_features = ADMISSION_FEATURE_ADAPTIVE_LIMIT},
    {"no worth order", .disabled_admission_features = ADMISSION_FEATURE_WORTH},
    {"no deadline check",
     .disabled_admission_features = ADMISSION_FEATURE_DEADLINE},
    {"no limit of long",
     .disabled_admission_features = ADMISSION_FEATURE_LONG_KINDS},
    {"deadline order", .queue_order = QUEUE_ORDER_DEADLINE},
    {"LIFO order", .queue_order = QUEUE_ORDER_LIFO},
    {"no ejection", .disabled_picker_features = PICKER_FEATURE_EJECTION},
    {"no shed hints",
     .disabled_picker_features = PICKER_FEATURE_REFUSAL_HINTS},
    {"no hedging", .disabled_picker_features = PICKER_FEATURE_HEDGING},
    {"grant all tokens", .grant_all_tokens = true},
};

/// Load-balancing policies and modes of load reports, with the product's
/// entry.
static const variant_t picker_variants[] = {
    {"two choices"},
    {"random", .lb_policy = LB_RANDOM},
    {"round robin", .lb_policy = LB_ROUND_ROBIN},
    {"least connections", .lb_policy = LB_LEAST_CONNECTIONS},
    {"least execution time", .lb_policy = LB_LEAST_EXECUTION_TIME},
    {"reports 1 s late", .reports = REPORTS_DELAYED},
    {"reports always idle", .reports = REPORTS_ALWAYS_IDLE},
    {"reports ignored", .reports = REPORTS_IGNORED},
};

typedef struct {
    uint32_t seed;
    uint32_t jobs;
    const char *deployment;
    const char *scenario;
} options_t;

/// Measures of one variant: a row of a table.
typedef struct {
    measures_t measures[SCENARIO_COUNT];
} row_t;

static const struct argp_option argp_options[] = {
    {"seed", 's', "NUMBER", 0, "Seed of all random numbers (default 1)", 0},
    {"deployment", 'd', "NAME", 0, "rosenheim or tasman (default: both)", 0},
    {"scenario", 'r', "NAME", 0,
     "Run one scenario and print its raw measures: twice, five, recovery, "
     "short-alone, long, none-slow, slowed, squeezed, failing or chain",
     0},
    {"jobs", 'j', "NUMBER", 0, "Simulations that run in parallel (default 4)",
     0},
    {0},
};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    options_t *options = state->input;
    switch (key) {
    case 's':
        options->seed = (uint32_t)strtoul(argument, NULL, 10);
        return 0;
    case 'j':
        options->jobs = (uint32_t)MAX(1, strtoul(argument, NULL, 10));
        return 0;
    case 'd':
        if (deployment_find(argument) == NULL) {
            argp_error(state, "unknown deployment '%s'", argument);
        }
        options->deployment = argument;
        return 0;
    case 'r':
        options->scenario = argument;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
run_one(const char *deployment, scenario_id_t id, const variant_t *variant,
        uint32_t seed, measures_t *measures)
{
    const scenario_t *scenario = &scenarios[id];
    if (scenario->deployment != NULL) {
        deployment = scenario->deployment;
    }
    sim_t sim;
    sim_run(&sim, deployment_find(deployment), scenario, variant, seed);
    measure(&sim, measures);
    sim_finish(&sim);
}

static bool
is_selected(const options_t *options, scenario_id_t id)
{
    return options->scenario == NULL ||
           strcmp(options->scenario, scenarios[id].name) == 0;
}

/// Runs the selected scenarios of one variant in a child process. Returns the
/// read end of the pipe to which the child writes its row.
static int
start_row(const options_t *options, const char *deployment,
          const variant_t *variant)
{
    int pipe_fds[2];
    if (pipe(pipe_fds) != 0) {
        perror("pipe");
        exit(1);
    }
    pid_t child = fork();
    if (child < 0) {
        perror("fork");
        exit(1);
    }
    if (child > 0) {
        close(pipe_fds[1]);
        return pipe_fds[0];
    }
    row_t row = {0};
    for (int id = 0; id < SCENARIO_COUNT; id++) {
        if (is_selected(options, (scenario_id_t)id)) {
            run_one(deployment, (scenario_id_t)id, variant, options->seed,
                    &row.measures[id]);
        }
    }
    bool sent = write(pipe_fds[1], &row, sizeof(row)) == (ssize_t)sizeof(row);
    _exit(sent ? 0 : 1);
}

static void
read_row(int pipe_fd, row_t *row)
{
    size_t length = 0;
    while (length < sizeof(*row)) {
        ssize_t part =
            read(pipe_fd, (char *)row + length, sizeof(*row) - length);
        if (part <= 0) {
            fprintf(stderr, "a simulation process ended without a result\n");
            exit(1);
        }
        length += (size_t)part;
    }
    close(pipe_fd);
    wait(NULL);
}

static void
run_rows(const options_t *options, const char *deployment,
         const variant_t *variants, size_t count, row_t *rows)
{
    int *pipe_fds = g_new0(int, count);
    size_t started = 0;
    for (size_t i = 0; i < count; i++) {
        while (started < count && started < i + options->jobs) {
            pipe_fds[started] =
                start_row(options, deployment, &variants[started]);
            started++;
        }
        read_row(pipe_fds[i], &rows[i]);
    }
    g_free(pipe_fds);
}

/// Prints a value in the format; "never" for a negative one, which only the
/// recovery time can have.
static void
print_cell(double value, const char *format, bool target_met)
{
    char text[32];
    if (value < 0) {
        g_strlcpy(text, "never", sizeof(text));
    }
    else {
        snprintf(text, sizeof(text), format, value); // NOLINT
    }
    printf(" %7s%c", text, target_met ? ' ' : '!');
}

static double
ratio_or_zero(double value, double base)
{
    return base > 0 ? value / base : 0;
}

/// Prints the names of the columns and their targets. "good" is the goodput,
/// "top" the served fraction of the kind of highest worth, "long", "slowed"
/// the slowdown of short kinds relative to the scenario without long requests
/// or slow servers, "squeezed" and "failing" the served fraction of short
/// kinds, "chain" the most attempts at one service for one request, and
/// "surge" the served fraction in the first second of a surge, by class of
/// worth.
static void
print_heading(void)
{
    static const char *const columns[][2] = {
        {"good 2x%", ">=95"}, {"top 2x%", "all"}, {"good 5x%", ">=90"},
        {"top 5x%", ">=90"},  {"failed%", "<5"},  {"recov s", "<=2"},
        {"long", "<=1.5"},    {"slowed", "<=2"},  {"squeezed", "-"},
        {"failing", "-"},     {"chain", "<=4"},   {"ran/req", "-"},
        {"sent/req", "-"},
    };
    for (int line = 0; line < 2; line++) {
        printf("%-20s", line == 0 ? "" : "target");
        for (size_t i = 0; i < G_N_ELEMENTS(columns); i++) {
            printf(" %8s", columns[i][line]);
        }
        printf("%s\n", line == 0 ? "  surge%" : "");
    }
}

static void
print_row(const char *name, const row_t *row)
{
    const measures_t *measures = row->measures;
    double failed = MAX(measures[SCENARIO_LOAD_2X].failed_work,
                        measures[SCENARIO_LOAD_5X].failed_work);
    double long_ratio =
        ratio_or_zero(measures[SCENARIO_SHORT_WITH_LONG].p99_slowdown,
                      measures[SCENARIO_SHORT_ALONE].p99_slowdown);
    double slow_ratio =
        ratio_or_zero(measures[SCENARIO_SLOW_SERVERS].p99_slowdown,
                      measures[SCENARIO_NONE_SLOW].p99_slowdown);
    double recovery = measures[SCENARIO_RECOVERY].recovery_s;
    double attempts_max = 1 + deployment_find("chain")->retries;
    const double *surge_served = measures[SCENARIO_RECOVERY].surge_served;
    printf("%-20s", name);
    print_cell(100 * measures[SCENARIO_LOAD_2X].goodput, "%.1f",
               measures[SCENARIO_LOAD_2X].goodput >= 0.95);
    print_cell(100 * measures[SCENARIO_LOAD_2X].highest_worth_served, "%.2f",
               measures[SCENARIO_LOAD_2X].highest_worth_served >= 1);
    print_cell(100 * measures[SCENARIO_LOAD_5X].goodput, "%.1f",
               measures[SCENARIO_LOAD_5X].goodput >= 0.90);
    print_cell(100 * measures[SCENARIO_LOAD_5X].highest_worth_served, "%.2f",
               measures[SCENARIO_LOAD_5X].highest_worth_served >= 0.90);
    print_cell(100 * failed, "%.2f", failed < 0.05);
    print_cell(recovery, "%.2f", recovery >= 0 && recovery <= 2);
    print_cell(long_ratio, "%.2f", long_ratio <= 1.5);
    print_cell(slow_ratio, "%.2f", slow_ratio <= 2);
    print_cell(100 * measures[SCENARIO_REDUCED_SLOTS].short_served, "%.1f",
               true);
    print_cell(100 * measures[SCENARIO_FAILING_SERVERS].short_served, "%.2f",
               true);
    print_cell(measures[SCENARIO_CALL_CHAIN].max_attempts, "%.0f",
               measures[SCENARIO_CALL_CHAIN].max_attempts <= attempts_max);
    print_cell(measures[SCENARIO_LOAD_2X].attempts_run, "%.2f", true);
    print_cell(measures[SCENARIO_LOAD_2X].attempts_sent, "%.2f", true);
    printf("  %3.0f/%.0f/%.0f\n", 100 * surge_served[0], 100 * surge_served[1],
           100 * surge_served[2]);
}

static void
print_raw(const char *name, const measures_t *run,
          const deployment_t *deployment)
{
    printf("%-20s goodput %.3f highest-worth %.4f failed %.4f attempts run "
           "%.3f sent %.3f max %.0f "
           "recovery %.2f p99 %.2f surge %.2f/%.2f/%.2f\n   ",
           name, run->goodput, run->highest_worth_served, run->failed_work,
           run->attempts_run, run->attempts_sent, run->max_attempts,
           run->recovery_s, run->p99_slowdown, run->surge_served[0],
           run->surge_served[1], run->surge_served[2]);
    for (uint32_t i = 0; i < deployment->kind_count; i++) {
        if (deployment->kinds[i].load_fraction > 0) {
            printf(" %s %.3f", deployment->kinds[i].name, run->served[i]);
        }
    }
    printf("\n   ");
    for (uint32_t i = 0; i < deployment->service_count; i++) {
        printf(" %s %.3f of %.3f", deployment->services[i].name,
               run->service_goodput[i], run->utilisation[i]);
    }
    printf("\n");
}

static void
print_table(const options_t *options, const char *deployment,
            const char *title, const variant_t *variants, size_t count)
{
    row_t *rows = g_new0(row_t, count);
    run_rows(options, deployment, variants, count, rows);
    printf("\n%s, %s, seed %u (! misses the target)\n", deployment, title,
           options->seed);
    if (options->scenario == NULL) {
        print_heading();
    }
    for (size_t i = 0; i < count; i++) {
        if (options->scenario == NULL) {
            print_row(variants[i].name, &rows[i]);
            continue;
        }
        for (int id = 0; id < SCENARIO_COUNT; id++) {
            if (is_selected(options, (scenario_id_t)id)) {
                print_raw(variants[i].name, &rows[i].measures[id],
                          deployment_find(scenarios[id].deployment == NULL
                                              ? deployment
                                              : scenarios[id].deployment));
            }
        }
    }
    g_free(rows);
}

int
main(int argc, char **argv)
{
    options_t options = {.seed = 1, .jobs = JOBS_DEFAULT};
    struct argp argp = {
        argp_options, parse_option, NULL,
        "Compares ibisfield with simpler policies in a simulated fleet."};
    if (argp_parse(&argp, argc, argv, 0, NULL, &options) != 0) {
        return 2;
    }
    static const char *const names[] = {"rosenheim", "tasman"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (options.deployment != NULL &&
            strcmp(options.deployment, names[i]) != 0) {
            continue;
        }
        print_table(&options, names[i], "policies and features",
                    policy_variants, G_N_ELEMENTS(policy_variants));
        print_table(&options, names[i], "selection of the VM", picker_variants,
                    G_N_ELEMENTS(picker_variants));
    }
    return 0;
}
