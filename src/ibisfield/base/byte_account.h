#ifndef IBISFIELD_BASE_BYTE_ACCOUNT_H
#define IBISFIELD_BASE_BYTE_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>

/// Account of the bytes that a node holds for callers, upstreams and other
/// nodes: requests, responses and what waits to be written.
typedef struct {
    size_t limit; ///< 0: not limited
    size_t held;
    size_t peak;
    /// Frees memory of holders while the limit is exceeded; NULL: nobody does.
    void (*relieve)(void *context);
    void *relieve_context;
} byte_account_t;

void byte_account_init(byte_account_t *account, size_t limit);
void byte_account_change(byte_account_t *account, size_t before, size_t after);
bool byte_account_is_scarce(const byte_account_t *account);
bool byte_account_is_exceeded(const byte_account_t *account);
void byte_account_set_relief(byte_account_t *account,
                             void (*relieve)(void *context), void *context);
void byte_account_relieve(const byte_account_t *account);

#endif
