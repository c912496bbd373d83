/// @file
/// Deterministic comparison (`make bench`): the real core modules over a
/// manual clock and small fake upstreams. One seed gives one result.

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/measure.h"

#define S US_PER_S
#define JOBS_DEFAULT 4

typedef enum {
    RUN_TWICE,
    RUN_FIVE,
    RUN_RECOVERY,
    RUN_SHORT_ALONE,
    RUN_SHORT_WITH_LONG,
    RUN_NONE_SLOW,
    RUN_SLOWED,
    RUN_SQUEEZED,
    RUN_FAILING,
    RUN_CHAIN,
    RUN_COUNT,
} run_id_t;

static const scenario_t scenarios[RUN_COUNT] = {
    [RUN_TWICE] = {.name = "twice",
                   .load = 2,
                   .end_us = 6 * S,
                   .measure_from_us = 2 * S,
                   .client_attempts = 1,
                   .long_factor = 1},
    [RUN_FIVE] = {.name = "five",
                  .load = 5,
                  .end_us = 5 * S,
                  .measure_from_us = 2 * S,
                  .client_attempts = 1,
                  .long_factor = 1},
    [RUN_RECOVERY] = {.name = "recovery",
                      .load = 0.8,
                      .end_us = 13 * S,
                      .measure_from_us = S,
                      .surge = 1.6,
                      .surge_from_us = 3 * S,
                      .surge_end_us = 5 * S,
                      .slow_service = 3,
                      .slow_factor = 4,
                      .slow_from_us = 3 * S,
                      .slow_end_us = 5 * S,
                      .client_attempts = 6,
                      .long_factor = 1},
    [RUN_SHORT_ALONE] = {.name = "short-alone",
                         .load = 0.4,
                         .end_us = 8 * S,
                         .measure_from_us = 2 * S,
                         .client_attempts = 1},
    [RUN_SHORT_WITH_LONG] = {.name = "long",
                             .load = 0.4,
                             .end_us = 8 * S,
                             .measure_from_us = 2 * S,
                             .client_attempts = 1,
                             .long_factor = 12},
    [RUN_NONE_SLOW] = {.name = "none-slow",
                       .load = 0.5,
                       .end_us = 7 * S,
                       .measure_from_us = S,
                       .client_attempts = 1},
    [RUN_SLOWED] = {.name = "slowed",
                    .load = 0.5,
                    .end_us = 7 * S,
                    .measure_from_us = S,
                    .slow_service = NONE,
                    .slow_factor = 10,
                    .slow_from_us = S,
                    .slow_end_us = 60 * S,
                    .client_attempts = 1},
    [RUN_SQUEEZED] = {.name = "squeezed",
                      .load = 0.9,
                      .end_us = 8 * S,
                      .measure_from_us = S,
                      .slow_service = NONE,
                      .slow_factor = 4,
                      .reduced_slots = true,
                      .slow_from_us = S,
                      .slow_end_us = 5 * S,
                      .client_attempts = 1,
                      .long_factor = 1},
    [RUN_FAILING] = {.name = "failing",
                     .load = 0.5,
                     .end_us = 6 * S,
                     .measure_from_us = S,
                     .slow_service = NONE,
                     .slow_from_us = 2 * S,
                     .slow_end_us = 4 * S,
                     .client_attempts = 1,
                     .long_factor = 1},
    [RUN_CHAIN] = {.name = "chain",
                   .deployment = "chain",
                   .load = 1,
                   .end_us = 5 * S,
                   .measure_from_us = S,
                   .slow_service = 9,
                   .slow_factor = 4,
                   .slow_from_us = 2 * S,
                   .slow_end_us = 4 * S,
                   .client_attempts = 1,
                   .long_factor = 1},
};

static const variant_t rules[] = {
    {"pass-through", POLICY_PASS_THROUGH},
    {"three tries a hop", POLICY_HOP_RETRIES},
    {"ibisfield"},
    {"fixed limit",
     .disabled_admission_features = ADMISSION_FEATURE_ADAPTIVE_LIMIT},
    {"no worth order", .disabled_admission_features = ADMISSION_FEATURE_WORTH},
    {"no hopeless rule",
     .disabled_admission_features = ADMISSION_FEATURE_DEADLINE},
    {"no long share",
     .disabled_admission_features = ADMISSION_FEATURE_LONG_KINDS},
    {"deadline order", .order = QUEUE_ORDER_DEADLINE},
    {"LIFO order", .order = QUEUE_ORDER_LIFO},
    {"no ejection", .disabled_picker_features = PICKER_FEATURE_EJECTION},
    {"no shed hints", .disabled_picker_features = PICKER_FEATURE_SHED_HINTS},
    {"no hedging", .disabled_picker_features = PICKER_FEATURE_HEDGING},
    {"lend all units", .grant_all_tokens = true},
};

static const variant_t choices[] = {
    {"two choices"},
    {"random", .pick = LB_RANDOM},
    {"round robin", .pick = LB_ROUND_ROBIN},
    {"least connections", .pick = LB_LEAST_CONNECTIONS},
    {"least execution time", .pick = LB_LEAST_EXECUTION_TIME},
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

typedef struct {
    measures_t runs[RUN_COUNT];
} row_t;

static const struct argp_option argp_options[] = {
    {"seed", 's', "NUMBER", 0, "Seed of every random choice (1)", 0},
    {"deployment", 'd', "NAME", 0, "rosenheim or tasman; both if absent", 0},
    {"scenario", 'r', "NAME", 0, "One scenario, with its raw measures", 0},
    {"jobs", 'j', "NUMBER", 0, "Runs at the same time (4)", 0},
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
run_one(const char *deployment, run_id_t run, const variant_t *variant,
        uint32_t seed, measures_t *measures)
{
    const scenario_t *scenario = &scenarios[run];
    if (scenario->deployment != NULL) {
        deployment = scenario->deployment;
    }
    sim_t sim;
    sim_run(&sim, deployment_find(deployment), scenario, variant, seed);
    measure(&sim, measures);
    sim_finish(&sim);
}

static bool
is_chosen(const options_t *options, run_id_t run)
{
    return options->scenario == NULL ||
           strcmp(options->scenario, scenarios[run].name) == 0;
}

/// Runs all scenarios of one variant in a child and returns the read end of
/// the pipe on which its row arrives.
static int
start_row(const options_t *options, const char *deployment,
          const variant_t *variant)
{
    int ends[2];
    if (pipe(ends) != 0) {
        perror("pipe");
        exit(1);
    }
    pid_t child = fork();
    if (child < 0) {
        perror("fork");
        exit(1);
    }
    if (child > 0) {
        close(ends[1]);
        return ends[0];
    }
    row_t row = {0};
    for (int run = 0; run < RUN_COUNT; run++) {
        if (is_chosen(options, (run_id_t)run)) {
            run_one(deployment, (run_id_t)run, variant, options->seed,
                    &row.runs[run]);
        }
    }
    bool sent = write(ends[1], &row, sizeof(row)) == (ssize_t)sizeof(row);
    _exit(sent ? 0 : 1);
}

static void
read_row(int end, row_t *row)
{
    size_t length = 0;
    while (length < sizeof(*row)) {
        ssize_t part = read(end, (char *)row + length, sizeof(*row) - length);
        if (part <= 0) {
            fprintf(stderr, "a run failed\n");
            exit(1);
        }
        length += (size_t)part;
    }
    close(end);
    wait(NULL);
}

static void
run_rows(const options_t *options, const char *deployment,
         const variant_t *variants, size_t count, row_t *rows)
{
    int *ends = g_new0(int, count);
    size_t started = 0;
    for (size_t i = 0; i < count; i++) {
        while (started < count && started < i + options->jobs) {
            ends[started] = start_row(options, deployment, &variants[started]);
            started++;
        }
        read_row(ends[i], &rows[i]);
    }
    g_free(ends);
}

static void
print_cell(double value, const char *format, bool met)
{
    char text[32];
    if (value < 0) {
        g_strlcpy(text, "never", sizeof(text));
    }
    else {
        snprintf(text, sizeof(text), format, value); // NOLINT
    }
    printf(" %7s%c", text, met ? ' ' : '!');
}

static double
over(double value, double base)
{
    return base > 0 ? value / base : 0;
}

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
        printf("%s\n", line == 0 ? "  crest%" : "");
    }
}

static void
print_row(const char *name, const row_t *row)
{
    const measures_t *runs = row->runs;
    double failed =
        MAX(runs[RUN_TWICE].failed_work, runs[RUN_FIVE].failed_work);
    double long_ratio = over(runs[RUN_SHORT_WITH_LONG].p99_slowdown,
                             runs[RUN_SHORT_ALONE].p99_slowdown);
    double slow_ratio =
        over(runs[RUN_SLOWED].p99_slowdown, runs[RUN_NONE_SLOW].p99_slowdown);
    double recovery = runs[RUN_RECOVERY].recovery_s;
    double bound = 1 + deployment_find("chain")->retries;
    const double *crest = runs[RUN_RECOVERY].surge_served;
    printf("%-20s", name);
    print_cell(100 * runs[RUN_TWICE].goodput, "%.1f",
               runs[RUN_TWICE].goodput >= 0.95);
    print_cell(100 * runs[RUN_TWICE].top_served, "%.2f",
               runs[RUN_TWICE].top_served >= 1);
    print_cell(100 * runs[RUN_FIVE].goodput, "%.1f",
               runs[RUN_FIVE].goodput >= 0.90);
    print_cell(100 * runs[RUN_FIVE].top_served, "%.2f",
               runs[RUN_FIVE].top_served >= 0.90);
    print_cell(100 * failed, "%.2f", failed < 0.05);
    print_cell(recovery, "%.2f", recovery >= 0 && recovery <= 2);
    print_cell(long_ratio, "%.2f", long_ratio <= 1.5);
    print_cell(slow_ratio, "%.2f", slow_ratio <= 2);
    print_cell(100 * runs[RUN_SQUEEZED].short_served, "%.1f", true);
    print_cell(100 * runs[RUN_FAILING].short_served, "%.2f", true);
    print_cell(runs[RUN_CHAIN].max_attempts, "%.0f",
               runs[RUN_CHAIN].max_attempts <= bound);
    print_cell(runs[RUN_TWICE].attempts, "%.2f", true);
    print_cell(runs[RUN_TWICE].sent, "%.2f", true);
    printf("  %3.0f/%.0f/%.0f\n", 100 * crest[0], 100 * crest[1],
           100 * crest[2]);
}

static void
print_raw(const char *name, const measures_t *run,
          const deployment_t *deployment)
{
    printf("%-20s goodput %.3f top %.4f failed %.4f attempts %.3f sent %.3f "
           "most %.0f "
           "recovery %.2f p99 %.2f crest %.2f/%.2f/%.2f\n   ",
           name, run->goodput, run->top_served, run->failed_work,
           run->attempts, run->sent, run->max_attempts, run->recovery_s,
           run->p99_slowdown, run->surge_served[0], run->surge_served[1],
           run->surge_served[2]);
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
        for (int run = 0; run < RUN_COUNT; run++) {
            if (is_chosen(options, (run_id_t)run)) {
                print_raw(variants[i].name, &rows[i].runs[run],
                          deployment_find(scenarios[run].deployment == NULL
                                              ? deployment
                                              : scenarios[run].deployment));
            }
        }
    }
    g_free(rows);
}

int
main(int argc, char **argv)
{
    options_t options = {.seed = 1, .jobs = JOBS_DEFAULT};
    struct argp argp = {argp_options, parse_option, NULL,
                        "Compares ibisfield with simpler rules."};
    if (argp_parse(&argp, argc, argv, 0, NULL, &options) != 0) {
        return 2;
    }
    static const char *const names[] = {"rosenheim", "tasman"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (options.deployment != NULL &&
            strcmp(options.deployment, names[i]) != 0) {
            continue;
        }
        print_table(&options, names[i], "rules", rules, G_N_ELEMENTS(rules));
        print_table(&options, names[i], "choice of the VM", choices,
                    G_N_ELEMENTS(choices));
    }
    return 0;
}
