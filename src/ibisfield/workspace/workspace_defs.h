#ifndef IBISFIELD_WORKSPACE_WORKSPACE_DEFS_H
#define IBISFIELD_WORKSPACE_WORKSPACE_DEFS_H

#include <glib.h>
#include <stdint.h>

#include "ibisfield/contract/contract_defs.h"

#define ACCESS_KEY_DIGEST_BYTES 32
/// Rank numbers above this one count as this one; 0 is the most important.
#define WORKSPACE_RANK_MAX 3
/// Rank of requests that belong to no workspace where there are some.
#define WORKSPACE_RANK_ANONYMOUS 1
#define WORKSPACE_RATE_MAX 1000000000

/// SHA-256 digest of an access key. The keys themselves aren't kept.
typedef struct {
    uint8_t bytes[ACCESS_KEY_DIGEST_BYTES];
} access_key_t;

/// A part of a customer with access keys, a rank and a usage cap of its own.
/// Released by workspace_finish().
typedef struct workspace {
    char *name;
    int32_t rank;      ///< goes before the worth of a kind
    double rate_per_s; ///< requests that may run; 0: no cap
    double burst;      ///< requests beyond the rate, after a time without any
    GArray *keys;      ///< access_key_t
} workspace_t;

#endif
