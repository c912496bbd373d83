#ifndef IBISFIELD_ROUTING_REFUSAL_HINT_H
#define IBISFIELD_ROUTING_REFUSAL_HINT_H

#include <stdbool.h>
#include <stdint.h>

/// How long a reported minimum worth is valid.
#define MIN_WORTH_HINT_TTL_US INT64_C(200000)

/// The minimum worth that a guard admits, as last reported by it.
typedef struct {
    int32_t min_worth;
    int64_t expires_us;
} min_worth_hint_t;

#define REFUSED_KIND_SLOTS 4

/// The kinds that a guard recently refused for overload, in a table that is
/// direct-mapped by hash.
typedef struct {
    uint64_t kinds[REFUSED_KIND_SLOTS];
    int64_t expires_us[REFUSED_KIND_SLOTS];
} refused_kinds_t;

void refused_kinds_add(refused_kinds_t *refused, uint64_t kind,
                       int64_t now_us);
bool refused_kinds_contains(const refused_kinds_t *refused, uint64_t kind,
                            int64_t now_us);
void min_worth_hint_update(min_worth_hint_t *hint, int32_t min_worth,
                           int64_t now_us);
bool min_worth_hint_refuses(const min_worth_hint_t *hint, int32_t worth,
                            int64_t now_us);

#endif
