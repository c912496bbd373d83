/// @file
/// Caches for a short time what a guard refuses, so that requests that it
/// would refuse anyway aren't sent.

#include "ibisfield/routing/shed_hint.h"

/// How long retries of the same kind avoid the guard after a refusal.
#define REFUSED_KIND_TTL_US INT64_C(100000)

/// Records that the guard refused a request of this kind for overload.
void
refused_kinds_add(refused_kinds_t *refused, uint64_t kind, int64_t now_us)
{
    refused->kinds[kind % REFUSED_KIND_SLOTS] = kind;
    refused->expires_us[kind % REFUSED_KIND_SLOTS] =
        now_us + REFUSED_KIND_TTL_US;
}

/// Returns whether the guard refused this kind lately.
bool
refused_kinds_contains(const refused_kinds_t *refused, uint64_t kind,
                       int64_t now_us)
{
    return refused->kinds[kind % REFUSED_KIND_SLOTS] == kind &&
           now_us < refused->expires_us[kind % REFUSED_KIND_SLOTS];
}

/// Replaces the hint by a new report.
void
shed_hint_update(shed_hint_t *hint, int32_t min_worth, int64_t now_us)
{
    hint->min_worth = min_worth;
    hint->expires_us = now_us + SHED_HINT_TTL_US;
}

/// Returns whether the guard reported lately that it refuses this worth.
bool
shed_hint_blocks(const shed_hint_t *hint, int32_t worth, int64_t now_us)
{
    return now_us < hint->expires_us && worth < hint->min_worth;
}
