/// @file
/// Counts the bookings that get a response under two rules for the owner of an
/// idempotency key, on the simulated nodes of the call fuzzer: the node that
/// issued the key, or an owner chosen by rendezvous hashing over the published
/// list. Deterministic.

#include <stdio.h>
#include <xxhash.h>

#include "fuzz/common/call_sim.h"

#define BOOKINGS 900
#define DEAD_NODE 4
#define NON_IDEMPOTENT_KIND 1

typedef enum { RULE_ISSUED, RULE_RENDEZVOUS, RULE_COUNT } owner_rule_t;
typedef enum {
    HEALTHY,
    NODE_DEAD,
    DATA_CENTRE_CUT,
    SCENARIO_COUNT
} scenario_t;

static uint32_t
rendezvous_owner(uint32_t booking)
{
    uint32_t owner = 0;
    uint64_t highest = 0;
    for (uint32_t vm = 0; vm < NODES; vm++) {
        uint64_t weight = XXH3_64bits_withSeed(&vm, sizeof(vm), booking);
        if (weight >= highest) {
            highest = weight;
            owner = vm;
        }
    }
    return owner;
}

static void
apply_scenario(sim_t *sim, scenario_t scenario)
{
    sim->nodes[DEAD_NODE].down = scenario == NODE_DEAD;
    if (scenario == DATA_CENTRE_CUT) {
        sim->link_down[0][2] = sim->link_down[2][0] = true;
        sim->link_down[1][2] = sim->link_down[2][1] = true;
    }
}

static bool
can_reach(const sim_t *sim, uint32_t from, uint32_t to)
{
    return !sim->nodes[to].down &&
           !sim->link_down[from / SERVICES][to / SERVICES];
}

static submission_t *
submit_booking(sim_t *sim, uint32_t node, uint32_t booking, const char *key)
{
    submission_t submission = {
        .node = node,
        .kind = NON_IDEMPOTENT_KIND,
        .body = booking,
        .context_open = true,
    };
    g_strlcpy(submission.key, key, sizeof(submission.key));
    return sim_submit(sim, &submission);
}

/// Sends one booking through @p node and returns whether it ran and got a
/// response. A key issued by the owner stands for a key that the caller chose
/// and that this owner is responsible for.
static bool
run_booking(sim_t *sim, owner_rule_t rule, uint32_t node, uint32_t booking)
{
    uint32_t owner = rule == RULE_ISSUED ? node : rendezvous_owner(booking);
    char key[KEY_TEXT_MAX + 1];
    if (can_reach(sim, node, owner)) {
        submit_booking(sim, owner, booking, "");
        const submission_t *issued =
            g_ptr_array_index(sim->issued_keys, sim->issued_keys->len - 1);
        g_strlcpy(key, issued->key, sizeof(key));
    }
    else {
        snprintf(key, sizeof(key), "ik1.vm%u.1.1.1.%032d", owner, 0);
    }
    const submission_t *sent = submit_booking(sim, node, booking, key);
    for (int i = 0; i < 150; i++) {
        sim_advance(sim, 10 * US_PER_MS);
    }
    return sent->ended && sent->runs == 1;
}

static uint32_t
count_answered(owner_rule_t rule, scenario_t scenario)
{
    uint32_t answered = 0;
    for (uint32_t i = 0; i < BOOKINGS; i++) {
        static sim_t sim;
        sim_init(&sim, 2, 64);
        apply_scenario(&sim, scenario);
        uint32_t node = i % NODES;
        if (sim.nodes[node].down) {
            node = (node + 1) % NODES;
        }
        answered += run_booking(&sim, rule, node, i);
        sim_finish(&sim);
    }
    return answered;
}

int
main(void)
{
    static const char *const scenarios[SCENARIO_COUNT] = {
        "healthy", "one node of 9 dead but listed",
        "one data centre of 3 cut off"};
    printf("bookings=%d\n", BOOKINGS);
    for (int i = 0; i < SCENARIO_COUNT; i++) {
        printf("scenario=\"%s\" issued=%u rendezvous=%u\n", scenarios[i],
               count_answered(RULE_ISSUED, (scenario_t)i),
               count_answered(RULE_RENDEZVOUS, (scenario_t)i));
    }
    return 0;
}
