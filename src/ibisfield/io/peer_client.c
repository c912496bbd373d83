/// @file
/// Connection pools to other nodes, and the interpretation of their responses.

#include "ibisfield/io/peer_client.h"

#include "ibisfield/contract/contract_defs.h"
#include "ibisfield/io/message.h"

/// More than the slots that an upstream declares, 140 at the target size of a
/// deployment, so that the limit is reached only when the guard is overloaded.
#define CONNECTIONS_PER_VM_MAX 256

/// A node that doesn't accept a connection within this time is down or
/// unreachable. It exceeds two round trips between distant data centres (55 ms
/// one way).
#define CONNECT_TIMEOUT_US (300 * US_PER_MS)

typedef struct {
    char *vm;
    endpoint_t endpoint;
    http_pool_t *pool;
} peer_pool_t;

static void
free_peer_pool(void *pointer)
{
    peer_pool_t *peer = pointer;
    http_pool_release(peer->pool);
    g_free(peer->vm);
    g_free(peer);
}

void
peer_client_init(peer_client_t *client, loop_t *loop,
                 size_t max_response_bytes, byte_account_t *account,
                 const char *id_header)
{
    *client = (peer_client_t){
        .loop = loop,
        .max_response_bytes = max_response_bytes,
        .account = account,
        .id_header = id_header,
        .pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                       free_peer_pool),
    };
}

void
peer_client_finish(peer_client_t *client)
{
    g_hash_table_destroy(client->pools);
}

static bool
has_address(const peer_pool_t *peer, const vm_info_t *info)
{
    return peer->endpoint.port == info->peer_port &&
           strcmp(peer->endpoint.address, info->address) == 0;
}

/// Returns the connection pool to a VM. Creates it if there is none, or if the
/// existing one is for an earlier address of the VM.
http_pool_t *
peer_client_pool(peer_client_t *client, const vm_info_t *info)
{
    peer_pool_t *peer = g_hash_table_lookup(client->pools, info->vm);
    if (peer != NULL && has_address(peer, info)) {
        return peer->pool;
    }
    peer = g_new0(peer_pool_t, 1);
    peer->vm = g_strdup(info->vm);
    g_strlcpy(peer->endpoint.address, info->address,
              sizeof(peer->endpoint.address));
    peer->endpoint.port = info->peer_port;
    peer->pool = http_pool_new_with_options(
        client->loop, &(http_pool_options_t){
                          .endpoint = peer->endpoint,
                          .connections_max = CONNECTIONS_PER_VM_MAX,
                          .max_response_bytes = client->max_response_bytes,
                          .account = client->account,
                          .connect_timeout_us = CONNECT_TIMEOUT_US,
                          .id_header = client->id_header,
                      });
    g_hash_table_replace(client->pools, peer->vm, peer);
    return peer->pool;
}

/// Closes the connections to a VM once their exchanges have ended.
void
peer_client_remove(peer_client_t *client, const char *vm)
{
    g_hash_table_remove(client->pools, vm);
}

static void
read_complete_response(attempt_result_t *result,
                       const http_response_t *response)
{
    const http_header_t *headers = response->headers;
    size_t count = response->header_count;
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

/// Interprets the result of an attempt. A response without an outcome header
/// doesn't come from a node and counts as lost, as does one whose outcome is
/// unknown.
void
peer_client_read_result(attempt_result_t *result,
                        const http_response_t *response)
{
    *result =
        (attempt_result_t){.type = ATTEMPT_LOST, .status = response->status};
    switch (response->result) {
    case HTTP_COMPLETE:
        read_complete_response(result, response);
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
