/// @file
/// Remembers for a short time what a guard sheds, so that requests it would
/// refuse anyway aren't sent.

#include "ibisfield/routing/shed_hint.h"

/// How long a refusal keeps further attempts of the same kind away.
#define REFUSED_LIFE_US INT64_C(100000)

/// Notes that the guard refused a request of this kind for overload.
void
refused_kinds_add(refused_kinds_t *refused, uint64_t kind, int64_t now_us)
{
    refused->kinds[kind % REFUSED_KIND_SLOTS] = kind;
    refused->expires_us[kind % REFUSED_KIND_SLOTS] = now_us + REFUSED_LIFE_US;
}

/// Whether the guard refused this kind lately.
bool
refused_kinds_contains(const refused_kinds_t *refused, uint64_t kind,
                       int64_t now_us)
{
    return refused->kinds[kind % REFUSED_KIND_SLOTS] == kind &&
           now_us < refused->expires_us[kind % REFUSED_KIND_SLOTS];
}

/// Notes a report; a later one replaces it.
void
shed_hint_update(shed_hint_t *hint, int32_t min_worth, int64_t now_us)
{
    hint->min_worth = min_worth;
    hint->expires_us = now_us + SHED_HINT_TTL_US;
}

/// Whether the guard said lately that it sheds this worth.
bool
shed_hint_blocks(const shed_hint_t *hint, int32_t worth, int64_t now_us)
{
    return now_us < hint->expires_us && worth < hint->min_worth;
}
