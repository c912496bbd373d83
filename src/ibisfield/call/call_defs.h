#ifndef IBISFIELD_CALL_CALL_DEFS_H
#define IBISFIELD_CALL_CALL_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/slice.h"

#define KEY_TEXT_MAX 159
/// Longest name of a VM in keys and in control messages, in bytes.
#define VM_NAME_MAX 63

/// What the caller is told about whether its request ran.
typedef enum {
    OUTCOME_ANSWERED, ///< a complete upstream response is passed on
    OUTCOME_NOT_RUN,  ///< no upstream has run the request or will run it
    OUTCOME_UNKNOWN,  ///< an upstream may have run the request
} outcome_t;

/// Reasons why a request was refused or got no complete response of an
/// upstream: X(identifier, token, HTTP status). The outcome isn't part of the
/// list: one reason may come with different outcomes.
#define REASON_LIST(X)                                                        \
    X(NONE, "", 200)                                                          \
    X(MALFORMED, "malformed", 400)                                            \
    X(UNKNOWN_ACCESS_KEY, "unknown-access-key", 401)                          \
    X(NO_SUCH_KIND, "no-such-kind", 404)                                      \
    X(IN_PROGRESS, "in-progress", 409)                                        \
    X(KEY_EXPIRED, "key-expired", 410)                                        \
    X(ANSWER_NOT_KEPT, "answer-not-kept", 410)                                \
    X(REQUEST_TOO_LARGE, "request-too-large", 413)                            \
    X(KEY_REUSED, "key-reused", 422)                                          \
    X(KEY_REQUIRED, "key-required", 428)                                      \
    X(CUSTOMER_RETRY_BUDGET, "customer-retry-budget", 429)                    \
    X(USAGE_CAP, "usage-cap", 429)                                            \
    X(UPSTREAM_FAILED, "upstream-failed", 502)                                \
    X(ANSWER_TOO_LARGE, "answer-too-large", 502)                              \
    X(OVERLOADED, "overloaded", 503)                                          \
    X(BUSY, "busy", 503)                                                      \
    X(UPSTREAM_SHED, "upstream-shed", 503)                                    \
    X(WRONG_INSTANCE, "wrong-instance", 503)                                  \
    X(LEAVING, "leaving", 503)                                                \
    X(NO_UPSTREAM, "no-upstream", 503)                                        \
    X(NOT_READY, "not-ready", 503)                                            \
    X(ACCESS_KEYS_NOT_CURRENT, "access-keys-not-current", 503)                \
    X(KEY_OWNER_UNREACHABLE, "key-owner-unreachable", 503)                    \
    X(DEADLINE, "deadline", 504)                                              \
    X(PROTOCOL_VERSION, "protocol-version", 505)

typedef enum {
#define REASON_ENUM(id, token, status) REASON_##id,
    REASON_LIST(REASON_ENUM)
#undef REASON_ENUM
        REASON_COUNT
} reason_t;

const char *reason_token(reason_t reason);
int reason_status(reason_t reason);
reason_t reason_from_token(slice_t token);
const char *outcome_token(outcome_t outcome);

/// Load of a guard, and what the call chain of the request reported. Sent with
/// each response of the guard in the header ibisfield-load. Text form:
/// "inflight=3;limit=85;queue=0;service_us=1200;min_worth=0;depth=1;
/// pressure=0;cost=0;repeats=0".
typedef struct {
    uint32_t in_flight;  ///< requests running at the upstream
    uint32_t limit;      ///< current concurrency limit
    uint32_t queue;      ///< requests waiting in the guard's queue
    uint32_t service_us; ///< moving average of the service time
    int32_t min_worth;   ///< lowest worth admitted now; 0: all
    uint32_t depth;      ///< levels of calls below the upstream
    uint32_t pressure;   ///< highest in the request's call chain, in
                         ///< thousandths
    uint32_t cost;       ///< of the request and its calls; see pressure_cost()
    uint32_t retry_permille; ///< highest in the request's call chain:
                             ///< retries for each thousand first attempts;
                             ///< in the text form "repeats"
} guard_load_t;

void guard_load_format(const guard_load_t *load, char *text, size_t size);
bool guard_load_parse(guard_load_t *load, slice_t text);

/// How long to wait after the deadline for the response to a request that
/// carries a key, so that the key gets an outcome. A graceful shutdown ends
/// the wait at its limit (drain_limit_ms, 30 s by default).
#define LATE_RESPONSE_WAIT_US (10 * INT64_C(1000000))

/// Handle of a call at the entry or of a request at the guard; 0 is none. It
/// combines slot and generation, so that a stale handle never refers to a
/// newer call in the same slot.
typedef uint64_t call_handle_t;

#endif
