/// @file
/// Pools of connections to other nodes, and the meaning of their answers.

#include "ibisfield/io/peer_client.h"

#include "ibisfield/contract/contract_defs.h"
#include "ibisfield/io/message.h"

/// Bound of the connections to one VM. It is above the declared slots of the
/// target size's upstreams (140), so that only an overloaded guard is reached.
#define CONNECTIONS_PER_VM_MAX 256

/// A node that does not accept in this time is down or cut off. It is over two
/// round trips between distant data centres (55 ms one way).
#define CONNECT_TIMEOUT_US (300 * US_PER_MS)

typedef struct {
    char vm[VM_NAME_MAX + 1];
    endpoint_t endpoint;
    http_pool_t *target;
} peer_target_t;

static void
free_target(void *pointer)
{
    peer_target_t *peer = pointer;
    http_pool_release(peer->target);
    g_free(peer);
}

void
peer_client_init(peer_client_t *client, loop_t *loop, size_t max_answer_bytes)
{
    *client = (peer_client_t){
        .loop = loop,
        .max_response_bytes = max_answer_bytes,
        .pools =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_target),
    };
}

void
peer_client_finish(peer_client_t *client)
{
    g_hash_table_destroy(client->pools);
}

static bool
is_at(const peer_target_t *peer, const vm_info_t *info)
{
    return peer->endpoint.port == info->peer_port &&
           strcmp(peer->endpoint.address, info->address) == 0;
}

/// Returns the connections to a VM at its present address.
http_pool_t *
peer_client_pool(peer_client_t *client, const vm_info_t *info)
{
    peer_target_t *peer = g_hash_table_lookup(client->pools, info->vm);
    if (peer != NULL && is_at(peer, info)) {
        return peer->target;
    }
    peer = g_new0(peer_target_t, 1);
    g_strlcpy(peer->vm, info->vm, sizeof(peer->vm));
    g_strlcpy(peer->endpoint.address, info->address,
              sizeof(peer->endpoint.address));
    peer->endpoint.port = info->peer_port;
    peer->target = http_pool_new_with_options(
        client->loop, &(http_pool_options_t){
                          .endpoint = peer->endpoint,
                          .connections_max = CONNECTIONS_PER_VM_MAX,
                          .max_response_bytes = client->max_response_bytes,
                          .connect_timeout_us = CONNECT_TIMEOUT_US,
                      });
    g_hash_table_replace(client->pools, peer->vm, peer);
    return peer->target;
}

/// Closes the connections to a VM once its exchanges are over.
void
peer_client_remove(peer_client_t *client, const char *vm)
{
    g_hash_table_remove(client->pools, vm);
}

static void
read_whole_answer(attempt_result_t *result, const http_response_t *answer)
{
    const http_header_t *headers = answer->headers;
    size_t count = answer->header_count;
    slice_t outcome = http_header_find(headers, count, HEADER_OUTCOME);
    result->reason =
        reason_from_token(http_header_find(headers, count, HEADER_REASON));
    if (slice_equal_string(outcome, outcome_token(OUTCOME_ANSWERED))) {
        result->type = ATTEMPT_ANSWERED;
    }
    else if (slice_equal_string(outcome, outcome_token(OUTCOME_NOT_RUN))) {
        result->type = ATTEMPT_REFUSED;
    }
    result->has_load = guard_load_parse(
        &result->load, http_header_find(headers, count, HEADER_LOAD));
    int64_t number;
    if (parse_number(http_header_find(headers, count, HEADER_RETRIES_LEFT),
                     CONTRACT_RETRIES_MAX, &number))
    {
        result->retry_tokens_left = (uint32_t)number;
    }
    if (parse_number(http_header_find(headers, count, HEADER_RETRY_AFTER_MS),
                     G_MAXINT32, &number))
    {
        result->retry_after_ms = (int32_t)number;
    }
}

/// Reads what a guard's answer says. An answer without an outcome comes from
/// something that isn't a node, so it is lost.
void
peer_client_read_result(attempt_result_t *result,
                        const http_response_t *answer)
{
    *result =
        (attempt_result_t){.type = ATTEMPT_LOST, .status = answer->status};
    switch (answer->result) {
    case HTTP_COMPLETE:
        read_whole_answer(result, answer);
        break;
    case HTTP_CONNECT_FAILED:
        result->type = ATTEMPT_CONNECT_FAILED;
        break;
    case HTTP_TOO_LARGE:
        result->reason = REASON_ANSWER_TOO_LARGE;
        break;
    default:
        break;
    }
}
