/// @file
/// Caches for a short time what a guard refuses, so that requests that it
/// would refuse anyway aren't sent.

#include "ibisfield/routing/refusal_hint.h"

/// How long a refusal counts against retries of the same kind. It doesn't
/// count against first attempts: see would_all_refuse() in picker.c.
#define REFUSED_KIND_TTL_US INT64_C(100000)

/// Records that the guard refused a request of this kind for overload.
void
refused_kinds_add(refused_kinds_t *refused, uint64_t kind, int64_t now_us)
{
    refused->kinds[kind % REFUSED_KIND_SLOTS] = kind;
    refused->expires_us[kind % REFUSED_KIND_SLOTS] =
        now_us + REFUSED_KIND_TTL_US;
}

/// Returns whether the guard refused this kind within the TTL.
bool
refused_kinds_contains(const refused_kinds_t *refused, uint64_t kind,
                       int64_t now_us)
{
    return refused->kinds[kind % REFUSED_KIND_SLOTS] == kind &&
           now_us < refused->expires_us[kind % REFUSED_KIND_SLOTS];
}

/// Replaces the hint by a new report.
void
min_worth_hint_update(min_worth_hint_t *hint, int32_t min_worth,
                      int64_t now_us)
{
    hint->min_worth = min_worth;
    hint->expires_us = now_us + MIN_WORTH_HINT_TTL_US;
}

/// Returns whether the guard reported within the TTL that it refuses this
/// worth.
bool
min_worth_hint_refuses(const min_worth_hint_t *hint, int32_t worth,
                       int64_t now_us)
{
    return now_us < hint->expires_us && worth < hint->min_worth;
}
