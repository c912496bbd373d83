/// @file
/// Budget for client retries. Each first request adds a fraction of a token to
/// the bucket of its customer, each client retry takes one token.

#include "ibisfield/retry/client_retry_budget.h"

#include <xxhash.h>

/// Capacity of the table of refusals. On a collision the older refusal is
/// overwritten, and one client retry then counts as a first request.
#define REFUSALS_MAX 8192
/// A bucket counts in hundredths of a token, so that a first request can add a
/// percentage.
#define TOKEN_HUNDREDTHS 100
/// Capacity of a bucket, in tokens.
#define TOKENS_MAX 100
/// Tokens in a new bucket, for customers without earlier traffic.
#define TOKENS_INITIAL INT64_C(10)

/// Initialises a budget without buckets and refusals.
void
client_retry_budget_init(client_retry_budget_t *budget,
                         const clock_source_t *clock)
{
    budget->clock = clock;
    budget->buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    budget->refusals = g_new0(client_refusal_t, REFUSALS_MAX);
}

/// Releases the budget.
void
client_retry_budget_finish(client_retry_budget_t *budget)
{
    g_hash_table_destroy(budget->buckets);
    g_free(budget->refusals);
}

static int64_t *
find_or_add_bucket(client_retry_budget_t *budget, slice_t customer)
{
    char *name = g_strndup(customer.data, customer.len);
    int64_t *tokens = g_hash_table_lookup(budget->buckets, name);
    if (tokens != NULL) {
        g_free(name);
        return tokens;
    }
    tokens = g_new(int64_t, 1);
    *tokens = TOKENS_INITIAL * TOKEN_HUNDREDTHS;
    g_hash_table_insert(budget->buckets, name, tokens);
    return tokens;
}

static uint64_t
refusal_hash(slice_t customer, slice_t kind, uint32_t source)
{
    uint64_t hash = XXH3_64bits(customer.data, customer.len);
    hash = XXH3_64bits_withSeed(kind.data, kind.len, hash);
    return XXH3_64bits_withSeed(&source, sizeof(source), hash);
}

static client_refusal_t *
refusal_slot(client_retry_budget_t *budget, uint64_t hash)
{
    return &budget->refusals[hash % REFUSALS_MAX];
}

/// Counts a request. Returns false if it must be refused, because it is a
/// client retry and the customer's bucket holds less than a token. A client
/// retry is a request of the same customer, kind and source as a refused one
/// that arrives before the Retry-After of the refusal has passed.
///
/// @param source  hash of the caller's address
/// @param client_retry_percent  hundredths of a token for each first request
bool
client_retry_budget_admit(client_retry_budget_t *budget, slice_t customer,
                          slice_t kind, uint32_t source,
                          int32_t client_retry_percent)
{
    int64_t *tokens = find_or_add_bucket(budget, customer);
    uint64_t hash = refusal_hash(customer, kind, source);
    const client_refusal_t *refusal = refusal_slot(budget, hash);
    bool is_retry = refusal->hash == hash &&
                    clock_now_us(budget->clock) < refusal->expires_us;
    if (!is_retry) {
        *tokens = MIN(*tokens + client_retry_percent,
                      (int64_t)TOKENS_MAX * TOKEN_HUNDREDTHS);
        return true;
    }
    if (*tokens < TOKEN_HUNDREDTHS) {
        return false;
    }
    *tokens -= TOKEN_HUNDREDTHS;
    return true;
}

/// Records a refusal that told a source to wait @p retry_after_ms.
void
client_retry_budget_add_refusal(client_retry_budget_t *budget,
                                slice_t customer, slice_t kind,
                                uint32_t source, int32_t retry_after_ms)
{
    uint64_t hash = refusal_hash(customer, kind, source);
    *refusal_slot(budget, hash) = (client_refusal_t){
        .hash = hash,
        .expires_us = clock_now_us(budget->clock) + retry_after_ms * US_PER_MS,
    };
}
