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

#define REFUSED_KINDS 4

/// The kinds that a guard refused lately, direct-mapped by their hash.
typedef struct {
    uint64_t kinds[REFUSED_KINDS];
    int64_t until_us[REFUSED_KINDS];
} refused_kinds_t;

void refused_kinds_note(refused_kinds_t *refused, uint64_t kind,
                        int64_t now_us);
bool refused_kinds_has(const refused_kinds_t *refused, uint64_t kind,
                       int64_t now_us);
void shed_hint_note(shed_hint_t *hint, int32_t min_worth, int64_t now_us);
bool shed_hint_blocks(const shed_hint_t *hint, int32_t worth, int64_t now_us);

#endif
