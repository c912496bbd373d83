#ifndef IBISFIELD_BASE_METRICS_DEFS_H
#define IBISFIELD_BASE_METRICS_DEFS_H

/// The four counters of a group of control messages. control_codec.c depends
/// on their order.
#define CONTROL_METRIC_LIST(X, ID, name)                                      \
    X(CONTROL_##ID##_SENT_MESSAGES,                                           \
      "ibisfield_control_" name "_sent_messages_total", "counter",            \
      "Control messages sent: " name ".")                                     \
    X(CONTROL_##ID##_SENT_BYTES,                                              \
      "ibisfield_control_" name "_sent_bytes_total", "counter",               \
      "Bytes of control messages sent: " name ".")                            \
    X(CONTROL_##ID##_RECEIVED_MESSAGES,                                       \
      "ibisfield_control_" name "_received_messages_total", "counter",        \
      "Control messages received: " name ".")                                 \
    X(CONTROL_##ID##_RECEIVED_BYTES,                                          \
      "ibisfield_control_" name "_received_bytes_total", "counter",           \
      "Bytes of control messages received: " name ".")

/// All metrics: X(identifier, name, type, help). Keep the groups sorted.
/// docs/OPERATIONS.md lists the same names; a test compares the two.
#define METRIC_LIST(X)                                                        \
    X(ACCESS_KEYS_NOT_CURRENT_TOTAL,                                          \
      "ibisfield_access_keys_not_current_total", "counter",                   \
      "Requests refused since access keys couldn't be proven current.")       \
    X(ACCESS_KEY_PROOFS_ASKED_TOTAL,                                          \
      "ibisfield_access_key_proofs_asked_total", "counter",                   \
      "Requests to other nodes for a proof about access keys.")               \
    X(ACCESS_KEY_PROOF_AGE_MS, "ibisfield_access_key_proof_age_ms", "gauge",  \
      "Age of the proof that no access key was taken away unnoticed.")        \
    X(CALLS_BEYOND_CAP_TOTAL, "ibisfield_calls_beyond_cap_total", "counter",  \
      "Requests refused because their workspace is beyond its usage cap.")    \
    X(CALLS_REDIRECTED_TOTAL, "ibisfield_calls_redirected_total", "counter",  \
      "Attempts that a full VM refused so that another one was chosen.")      \
    X(CALLS_TOTAL, "ibisfield_calls_total", "counter",                        \
      "Caller and upstream requests accepted by the entry.")                  \
    X(CALLS_ANSWERED_TOTAL, "ibisfield_calls_answered_total", "counter",      \
      "Calls answered with a whole upstream answer.")                         \
    X(CALLS_REFUSED_TOTAL, "ibisfield_calls_refused_total", "counter",        \
      "Calls refused and not run.")                                           \
    X(CALLS_UNKNOWN_TOTAL, "ibisfield_calls_unknown_total", "counter",        \
      "Calls whose outcome is unknown.")                                      \
    X(CALLS_HELD_OFF_TOTAL, "ibisfield_calls_held_off_total", "counter",      \
      "Requests refused before they started, by the pressure further down.")  \
    X(CALLS_IN_FLIGHT, "ibisfield_calls_in_flight", "gauge",                  \
      "Calls that wait for their answer.")                                    \
    X(CONNECTIONS, "ibisfield_connections", "gauge",                          \
      "Accepted connections that are open.")                                  \
    X(CONNECTIONS_EVICTED_TOTAL, "ibisfield_connections_evicted_total",       \
      "counter", "Connections closed for want of memory or of connections.")  \
    X(CONNECTIONS_HALF_OPEN_TOTAL, "ibisfield_connections_half_open_total",   \
      "counter",                                                              \
      "Connections closed because no whole request arrived in time.")         \
    X(CONNECTIONS_REFUSED_TOTAL, "ibisfield_connections_refused_total",       \
      "counter", "Connections refused because the table was full.")           \
    X(CALLS_CUT_TOTAL, "ibisfield_calls_cut_total", "counter",                \
      "Calls cut off by the hard limit of the shutdown.")                     \
    X(GUARD_IN_FLIGHT, "ibisfield_guard_in_flight", "gauge",                  \
      "Requests that wait or run at the guard.")                              \
    X(GUARD_LIMIT, "ibisfield_guard_limit", "gauge",                          \
      "Concurrency limit of the guard.")                                      \
    X(GUARD_QUEUE, "ibisfield_guard_queue", "gauge",                          \
      "Requests that wait at the guard.")                                     \
    X(GUARD_REFUSALS_TOTAL, "ibisfield_guard_refusals_total", "counter",      \
      "Requests that the guard answered without an upstream answer.")         \
    X(GUARD_REQUESTS_TOTAL, "ibisfield_guard_requests_total", "counter",      \
      "Requests of nodes for the upstream on this VM.")                       \
    X(HELD_BYTES, "ibisfield_held_bytes", "gauge",                            \
      "Bytes held for callers, upstreams and other nodes.")                   \
    X(REQUESTS_REFUSED_MEMORY_TOTAL,                                          \
      "ibisfield_requests_refused_memory_total", "counter",                   \
      "Requests with a body refused for want of memory.")                     \
    X(KEYS_FORWARDED_TOTAL, "ibisfield_keys_forwarded_total", "counter",      \
      "Requests forwarded to the owner of their key.")                        \
    X(LOG_LINES_DROPPED_TOTAL, "ibisfield_log_lines_dropped_total",           \
      "counter", "Log lines for which the output had no room.")               \
    X(LOG_LINES_LIMITED_TOTAL, "ibisfield_log_lines_limited_total",           \
      "counter", "Log lines left out by the limit of lines a second.")        \
    X(PEER_ANSWERS_LOST_TOTAL, "ibisfield_peer_answers_lost_total",           \
      "counter", "Requests sent to a node without a whole answer.")           \
    X(PEER_ATTEMPTS_TOTAL, "ibisfield_peer_attempts_total", "counter",        \
      "Requests sent to nodes, this one included.")                           \
    X(PEER_CONNECT_FAILURES_TOTAL, "ibisfield_peer_connect_failures_total",   \
      "counter", "Requests that no byte of could be sent to a node.")         \
    X(PROTOCOL_REFUSALS_TOTAL, "ibisfield_protocol_refusals_total",           \
      "counter", "Requests of nodes with another protocol version.")          \
    X(REMOTE_ATTEMPTS_TOTAL, "ibisfield_remote_attempts_total", "counter",    \
      "Those that went to nodes of other data centres.")                      \
    X(REMOTE_BODY_BYTES_TOTAL, "ibisfield_remote_body_bytes_total",           \
      "counter", "Those of the two remote totals that are bodies.")           \
    X(REMOTE_REQUEST_BYTES_TOTAL, "ibisfield_remote_request_bytes_total",     \
      "counter", "Bytes of requests sent to nodes of other data centres.")    \
    X(REMOTE_RESPONSE_BYTES_TOTAL, "ibisfield_remote_response_bytes_total",   \
      "counter", "Bytes of responses from nodes of other data centres.")      \
    X(REQUESTS_MALFORMED_TOTAL, "ibisfield_requests_malformed_total",         \
      "counter", "Requests refused because they were malformed.")             \
    X(REQUESTS_PIPELINED_TOTAL, "ibisfield_requests_pipelined_total",         \
      "counter",                                                              \
      "Requests read before the responses to earlier ones were written.")     \
    X(REQUESTS_TOO_LARGE_TOTAL, "ibisfield_requests_too_large_total",         \
      "counter", "Requests refused because of their size.")                   \
    X(RESPONSES_UNTRUSTED_TOTAL, "ibisfield_responses_untrusted_total",       \
      "counter", "Responses dropped as malformed or ended early.")            \
    X(SENDERS_GONE_TOTAL, "ibisfield_senders_gone_total", "counter",          \
      "Requests whose sender closed its connection before the answer.")       \
    X(SERVICE_RETRIES_REFUSED_TOTAL,                                          \
      "ibisfield_service_retries_refused_total", "counter",                   \
      "Repeats not sent because the service's retry budget was used up.")     \
    X(SPANS_TOTAL, "ibisfield_spans_total", "counter", "Spans logged.")       \
    X(UPSTREAM_ANSWERS_LOST_TOTAL, "ibisfield_upstream_answers_lost_total",   \
      "counter", "Requests to the upstream without a whole answer.")          \
    X(UPSTREAM_ANSWERS_TOO_LARGE_TOTAL,                                       \
      "ibisfield_upstream_answers_too_large_total", "counter",                \
      "Answers of the upstream above the bound.")                             \
    X(UPSTREAM_CANCELS_TOTAL, "ibisfield_upstream_cancels_total", "counter",  \
      "Requests to the upstream that were cancelled.")                        \
    X(UPSTREAM_CONNECT_FAILURES_TOTAL,                                        \
      "ibisfield_upstream_connect_failures_total", "counter",                 \
      "Requests that no byte of could be sent to the upstream.")              \
    X(UPSTREAM_MISDIRECTED_TOTAL, "ibisfield_upstream_misdirected_total",     \
      "counter", "Requests that met another instance of the upstream.")       \
    X(UPSTREAM_SHED_TOTAL, "ibisfield_upstream_shed_total", "counter",        \
      "Requests that the upstream shed.")                                     \
    X(CONFIG_ADOPTIONS_TOTAL, "ibisfield_config_adoptions_total", "counter",  \
      "Configuration items that came into force.")                            \
    X(CONFIG_ITEMS, "ibisfield_config_items", "gauge",                        \
      "Configuration items in force.")                                        \
    X(CONFIG_ITEMS_REFUSED, "ibisfield_config_items_refused", "gauge",        \
      "Items whose newest known version failed its checks.")                  \
    X(CONFIG_REFUSALS_TOTAL, "ibisfield_config_refusals_total", "counter",    \
      "Item versions that failed their checks.")                              \
    CONTROL_METRIC_LIST(X, COMPARE, "compare")                                \
    CONTROL_METRIC_LIST(X, FETCH, "fetch")                                    \
    CONTROL_METRIC_LIST(X, FOLLOW, "follow")                                  \
    CONTROL_METRIC_LIST(X, USAGE, "usage")                                    \
    CONTROL_METRIC_LIST(X, HEARTBEAT, "heartbeat")                            \
    CONTROL_METRIC_LIST(X, LIST, "list")                                      \
    CONTROL_METRIC_LIST(X, OTHER, "other")                                    \
    CONTROL_METRIC_LIST(X, PUSH, "push")                                      \
    X(CONTROL_EXCHANGES_FAILED, "ibisfield_control_exchanges_failed_total",   \
      "counter", "Control exchanges without a valid reply in time.")          \
    X(CONTROL_MESSAGES_INVALID, "ibisfield_control_messages_invalid_total",   \
      "counter", "Control messages that could not be decoded.")               \
    X(CONTROL_VERSION_REFUSED, "ibisfield_control_version_refused_total",     \
      "counter", "Control messages of an unknown protocol version.")          \
    X(PLATFORM_ITEMS_INVALID_TOTAL, "ibisfield_platform_items_invalid_total", \
      "counter", "Items of the platform that could not be used.")             \
    X(PLATFORM_READS_TOTAL, "ibisfield_platform_reads_total", "counter",      \
      "Reads and watches sent to the platform.")                              \
    X(PLATFORM_READ_FAILURES_TOTAL, "ibisfield_platform_read_failures_total", \
      "counter", "Reads and watches that failed or were invalid.")            \
    X(STORE_ERAS_TOTAL, "ibisfield_store_eras_total", "counter",              \
      "Later eras of the store that were seen: it came back from a copy.")    \
    X(STORE_RECORDS_REFUSED_TOTAL, "ibisfield_store_records_refused_total",   \
      "counter", "Records of a copy of the store that later ones replace.")   \
    X(PLATFORM_WENT_BACK_TOTAL, "ibisfield_platform_went_back_total",         \
      "counter", "Answers with a revision below one seen before.")

/// All histograms of durations: X(identifier, name, help).
#define HISTOGRAM_LIST(X)                                                     \
    X(CALL_ANSWERED, "ibisfield_call_answered_seconds",                       \
      "From a request's arrival at the entry to the upstream's answer.")      \
    X(CALL_REFUSED, "ibisfield_call_refused_seconds",                         \
      "From a request's arrival at the entry to its refusal.")                \
    X(GUARD_HELD, "ibisfield_guard_held_seconds",                             \
      "From a request's arrival at the guard to its answer, queue included.")

typedef enum {
#define HISTOGRAM_ENUM(id, name, help) HISTOGRAM_##id,
    HISTOGRAM_LIST(HISTOGRAM_ENUM)
#undef HISTOGRAM_ENUM
        HISTOGRAM_COUNT
} histogram_id_t;

typedef enum {
#define METRIC_ENUM(id, name, type, help) METRIC_##id,
    METRIC_LIST(METRIC_ENUM)
#undef METRIC_ENUM
        METRIC_COUNT
} metric_id_t;

#endif
