#ifndef IBISFIELD_ROUTING_SHED_HINT_H
#define IBISFIELD_ROUTING_SHED_HINT_H

#include <stdbool.h>
#include <stdint.h>

#define SHED_HINT_TTL_US INT64_C(200000)

/// The minimum worth that a guard accepts, by its last report.
typedef struct {
    int32_t min_worth;
    int64_t expires_us;
} shed_hint_t;

#define REFUSED_KIND_SLOTS 4

/// The kinds that a guard refused lately, in a table direct-mapped by hash.
typedef struct {
    uint64_t kinds[REFUSED_KIND_SLOTS];
    int64_t expires_us[REFUSED_KIND_SLOTS];
} refused_kinds_t;

void refused_kinds_add(refused_kinds_t *refused, uint64_t kind,
                       int64_t now_us);
bool refused_kinds_contains(const refused_kinds_t *refused, uint64_t kind,
                            int64_t now_us);
void shed_hint_update(shed_hint_t *hint, int32_t min_worth, int64_t now_us);
bool shed_hint_blocks(const shed_hint_t *hint, int32_t worth, int64_t now_us);

#endif
