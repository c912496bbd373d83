#ifndef IBISFIELD_ROUTING_SHED_HINT_H
#define IBISFIELD_ROUTING_SHED_HINT_H

#include <stdbool.h>
#include <stdint.h>

#define SHED_HINT_LIFE_US INT64_C(200000)

/// The minimum worth that a guard reported.
typedef struct {
    int32_t min_worth;
    int64_t until_us;
} shed_hint_t;

void shed_hint_note(shed_hint_t *hint, int32_t min_worth, int64_t now_us);
bool shed_hint_blocks(const shed_hint_t *hint, int32_t worth, int64_t now_us);

#endif
