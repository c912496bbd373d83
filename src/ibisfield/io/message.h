#ifndef IBISFIELD_IO_MESSAGE_H
#define IBISFIELD_IO_MESSAGE_H

#include <glib.h>

#include "ibisfield/call/call_defs.h"
#include "ibisfield/io/http_client.h"

#define PROTOCOL_VERSION "1"

#define HEADER_PREFIX "ibisfield-"
/// Time left until the deadline.
#define HEADER_BUDGET_US "ibisfield-budget-us"
/// Marks the request as a poll of the change feed.
#define HEADER_CONTROL "ibisfield-control"
#define HEADER_CUSTOMER "ibisfield-customer"
/// Marks the request as forwarded by another entry to the owner of its key.
#define HEADER_FROM_PEER "ibisfield-from-peer"
#define HEADER_KEY "ibisfield-key"
#define HEADER_KIND "ibisfield-kind"
#define HEADER_LOAD "ibisfield-load"
/// Marks the request as one that runs at most once.
#define HEADER_ONCE "ibisfield-once"
#define HEADER_OUTCOME "ibisfield-outcome"
#define HEADER_PROTOCOL "ibisfield-protocol"
#define HEADER_REASON "ibisfield-reason"
/// Marks the request as a retry, or as a call made while serving a retry.
#define HEADER_REPEAT "ibisfield-repeat"
#define HEADER_REMAINING "ibisfield-remaining"
/// Time in which the upstream has to respond, if it is shorter than the time
/// left until the deadline.
#define HEADER_RUN_US "ibisfield-run-us"
#define HEADER_ACCESS_KEY "ibisfield-access-key"
#define HEADER_WORKSPACE "ibisfield-workspace"
#define HEADER_MAY_REDIRECT "ibisfield-may-redirect"
#define HEADER_MUST_END "ibisfield-must-end"
/// Id of the request context that an upstream's calls belong to.
#define HEADER_REQUEST "ibisfield-request"
/// Retry tokens granted to the attempt.
#define HEADER_RETRIES "ibisfield-retries"
/// Retry tokens that were granted to the attempt and not spent.
#define HEADER_RETRIES_LEFT "ibisfield-retries-left"
#define HEADER_RETRY_AFTER_MS "ibisfield-retry-after-ms"
#define HEADER_PROOF "ibisfield-proof"
/// Point of the configuration's history that the responding node holds.
#define HEADER_ERA "ibisfield-era"
#define HEADER_REVISION "ibisfield-revision"
#define HEADER_SERVICE "ibisfield-service"
/// Version of the desired state that the responding node has in force.
#define HEADER_STATE_VERSION "ibisfield-state-version"
/// "1": the upstream shed the request.
#define HEADER_SHED "ibisfield-shed"
#define HEADER_TRACEPARENT "traceparent"
/// VM that the request is for.
#define HEADER_VM "ibisfield-vm"
#define HEADER_WORTH "ibisfield-worth"

/// Headers and body of a request or a response under construction. Owns copies
/// of all its texts.
typedef struct {
    int status; ///< responses only
    http_header_t *headers;
    size_t header_count;
    size_t header_capacity;
    GStringChunk *texts;
    GString *body;
} message_t;

/// Contents of a response that refuses a request.
typedef struct {
    reason_t reason;
    outcome_t outcome;
    int32_t retry_after_ms; ///< 0: no hint
    const char *new_key;    ///< fresh key for the request; NULL or "": none
    /// The caller accepts fractions of a second in Retry-After.
    bool fractional_retry_after;
} refusal_t;

void message_init(message_t *message, int status);
void message_init_refusal(message_t *message, const refusal_t *refusal);
void message_finish(message_t *message);
slice_t message_body(const message_t *message);
void message_add(message_t *message, const char *name, slice_t value);
void message_add_string(message_t *message, const char *name,
                        const char *value);
void message_add_number(message_t *message, const char *name, int64_t value);
void message_add_end_to_end(message_t *message, const http_header_t *headers,
                            size_t header_count);
void message_add_end_to_end_except(message_t *message,
                                   const http_header_t *headers,
                                   size_t header_count,
                                   const char *const *excluded,
                                   size_t excluded_count);

void response_serialise(GByteArray *out, const http_response_t *response);
bool response_deserialise(message_t *message, slice_t stored);

uint64_t id_hash(slice_t id);
bool parse_number(slice_t text, int64_t max, int64_t *value);
bool parse_hex(slice_t text, uint64_t *value);

#endif
