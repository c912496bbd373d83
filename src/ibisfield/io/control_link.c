/// @file
/// Control messages over nng request/reply: one REP listener with several
/// contexts, and one REQ socket for each peer in use. nng's callbacks run in
/// threads of nng and only pass results to the event loop.
///
/// A REQ socket retries a request by itself when its connection is lost. This
/// is safe because control messages are idempotent.

#include "ibisfield/io/control_link.h"

#include <inttypes.h>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include "ibisfield/base/error.h"
#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/config/control_codec.h"

/// Requests that are handled at the same time.
#define SERVER_CONTEXTS 4
#define EXCHANGE_TIMEOUT_MS 1000
#define RECONNECT_MIN_MS 1000
#define RECONNECT_MAX_MS 1000
/// Open sockets to peers.
#define PEERS_MAX 64
/// A peer that did not reply is sent no request for this time. A request to a
/// dead peer costs nng about 10 ms of processor time until its time-out, and a
/// relay may have several dead children, each with a heartbeat every second.
/// A recovered peer must not miss changes for longer than 3 s, which are the
/// back-off and the interval of heartbeats.
#define PEER_BACKOFF_US (2 * US_PER_S)
/// An unused socket is closed after this time.
#define PEER_IDLE_US (15 * US_PER_S)
/// A peer counts as live this long after its last valid reply: two rounds of
/// anti-entropy.
#define PEER_LIVE_US (10 * US_PER_S)
#define SWEEP_INTERVAL_US US_PER_S

/// A peer and the open REQ socket to it.
typedef struct {
    nng_socket socket;
    char *key; ///< "address:port"
    int64_t last_used_us;
    int64_t last_reply_us; ///< last valid reply; 0: none
    uint32_t in_flight;
    bool closed;
} peer_t;

/// A request to a peer and its reply.
typedef struct {
    control_link_t *link;
    peer_t *peer;
    nng_ctx context;
    nng_aio *aio;
    uint64_t id; ///< chosen by the caller; equal for all peers of one send
    bool sent;
    int result;
} exchange_t;

/// A context of the REP socket. It handles one request at a time.
typedef struct {
    control_link_t *link;
    nng_ctx context;
    nng_aio *aio;
    bool receiving; ///< waits for a request; false: sends a reply
} server_context_t;

struct control_link {
    loop_t *loop;
    char vm[VM_NAME_MAX + 1];
    control_link_callbacks_t callbacks;
    void *context;
    nng_socket listener;
    server_context_t servers[SERVER_CONTEXTS];
    GHashTable *peers;     ///< key to peer_t
    GHashTable *exchanges; ///< set of exchange_t
    GHashTable *backoffs;  ///< key to the end of the back-off, int64_t in us
    GByteArray *encode_buffer;
    loop_timer_t sweep_timer;
    gint posted_count; ///< callbacks posted but not yet run; atomic
    bool closed;
};

static void
free_link(control_link_t *link)
{
    for (int i = 0; i < SERVER_CONTEXTS; i++) {
        nng_aio_free(link->servers[i].aio);
    }
    g_hash_table_destroy(link->backoffs);
    g_hash_table_destroy(link->exchanges);
    g_hash_table_destroy(link->peers);
    g_byte_array_unref(link->encode_buffer);
    g_free(link);
}

/// Runs a callback on the event loop. May be called in a thread of nng.
static void
post_to_loop(control_link_t *link, loop_callback_t callback, void *context)
{
    g_atomic_int_inc(&link->posted_count);
    loop_post(link->loop, callback, context);
}

/// Must be called once in each posted callback, before it uses the link.
/// Returns false if the link is closed; the last pending callback then frees
/// it.
static bool
begin_posted(control_link_t *link)
{
    bool last = g_atomic_int_dec_and_test(&link->posted_count);
    if (link->closed && last) {
        free_link(link);
        return false;
    }
    return !link->closed;
}

static nng_msg *
encode_message(control_link_t *link, const control_message_t *message)
{
    nng_msg *out = NULL;
    g_byte_array_set_size(link->encode_buffer, 0);
    control_encode(message, link->encode_buffer);
    if (nng_msg_alloc(&out, 0) != 0 ||
        nng_msg_append(out, link->encode_buffer->data,
                       link->encode_buffer->len) != 0)
    {
        g_error("out of memory");
    }
    return out;
}

/* Server side. */

static void
receive_request(server_context_t *server)
{
    server->receiving = true;
    nng_ctx_recv(server->context, server->aio);
}

static void
send_reply(server_context_t *server, const control_message_t *reply)
{
    nng_msg *out = encode_message(server->link, reply);
    control_count_sent(reply->type, nng_msg_len(out));
    nng_aio_set_msg(server->aio, out);
    server->receiving = false;
    nng_ctx_send(server->context, server->aio);
}

static void
send_refusal(server_context_t *server, const char *text)
{
    control_message_t reply;
    control_message_init(&reply, CONTROL_REFUSED, server->link->vm);
    reply.reason = text;
    send_reply(server, &reply);
    control_message_clear(&reply);
}

static void
refuse_version(server_context_t *server, uint64_t version)
{
    char text[96];
    g_snprintf(text, sizeof(text),
               "protocol version %" PRIu64 " is not supported, this node "
               "speaks %d",
               version, CONTROL_PROTOCOL_VERSION);
    metric_increment(METRIC_CONTROL_VERSION_REFUSED);
    log_warning("control_version_refused", "version=%" PRIu64 " supported=%d",
                version, CONTROL_PROTOCOL_VERSION);
    send_refusal(server, text);
}

static void
handle_bytes(server_context_t *server, slice_t bytes)
{
    control_link_t *link = server->link;
    control_message_t request;
    uint64_t version = 0;
    switch (control_decode(&request, bytes, &version)) {
    case DECODE_OK:
        control_count_received(request.type, bytes.len);
        send_reply(server, link->callbacks.request(link->context, &request));
        control_message_clear(&request);
        break;
    case DECODE_UNKNOWN_VERSION:
        refuse_version(server, version);
        break;
    default:
        metric_increment(METRIC_CONTROL_MESSAGES_INVALID);
        log_warning("control_message_invalid", "bytes=%zu", bytes.len);
        send_refusal(server, "the message is malformed");
        break;
    }
}

static void
handle_request(void *context)
{
    server_context_t *server = context;
    nng_msg *message = nng_aio_get_msg(server->aio);
    if (begin_posted(server->link)) {
        handle_bytes(server,
                     (slice_t){nng_msg_body(message), nng_msg_len(message)});
    }
    nng_msg_free(message);
}

/// Hands a received request to the event loop. After a sent reply or an error,
/// waits for the next request. Runs in a thread of nng.
static void
on_server_event(void *context)
{
    server_context_t *server = context;
    int result = nng_aio_result(server->aio);
    if (result == NNG_ECLOSED || result == NNG_ECANCELED) {
        return;
    }
    if (server->receiving && result == 0) {
        post_to_loop(server->link, handle_request, server);
        return;
    }
    if (!server->receiving && result != 0) {
        nng_msg_free(nng_aio_get_msg(server->aio));
    }
    receive_request(server);
}

static int
start_servers(control_link_t *link, const char *url)
{
    int result = nng_rep0_open(&link->listener);
    if (result != 0) {
        return result;
    }
    nng_socket_set_size(link->listener, NNG_OPT_RECVMAXSZ,
                        CONTROL_MESSAGE_MAX_BYTES);
    result = nng_listen(link->listener, url, NULL, 0);
    for (int i = 0; i < SERVER_CONTEXTS && result == 0; i++) {
        server_context_t *server = &link->servers[i];
        server->link = link;
        result = nng_ctx_open(&server->context, link->listener);
        if (result == 0) {
            result = nng_aio_alloc(&server->aio, on_server_event, server);
        }
    }
    for (int i = 0; i < SERVER_CONTEXTS && result == 0; i++) {
        receive_request(&link->servers[i]);
    }
    return result;
}

/* Client side. */

/// Closes the socket, and frees the peer if no exchange uses it. @p link isn't
/// accessed if the peer is closed already.
static void
close_peer(control_link_t *link, peer_t *peer)
{
    if (!peer->closed) {
        peer->closed = true;
        g_hash_table_steal(link->peers, peer->key);
        nng_close(peer->socket);
    }
    if (peer->in_flight == 0) {
        g_free(peer->key);
        g_free(peer);
    }
}

/// Returns the least recently used peer without an exchange in flight, or
/// NULL.
static peer_t *
find_lru_idle_peer(const control_link_t *link)
{
    peer_t *oldest = NULL;
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, link->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        peer_t *peer = value;
        if (peer->in_flight == 0 &&
            (oldest == NULL || peer->last_used_us < oldest->last_used_us))
        {
            oldest = peer;
        }
    }
    return oldest;
}

static int
dial_peer(peer_t *peer)
{
    char *url = g_strdup_printf("tcp://%s", peer->key);
    int result = nng_req0_open(&peer->socket);
    if (result == 0) {
        nng_socket_set_size(peer->socket, NNG_OPT_RECVMAXSZ,
                            CONTROL_MESSAGE_MAX_BYTES);
        nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMINT, RECONNECT_MIN_MS);
        nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMAXT, RECONNECT_MAX_MS);
        nng_socket_set_ms(peer->socket, NNG_OPT_REQ_RESENDTIME,
                          NNG_DURATION_INFINITE);
        result = nng_dial(peer->socket, url, NULL, NNG_FLAG_NONBLOCK);
        if (result != 0) {
            nng_close(peer->socket);
        }
    }
    g_free(url);
    return result;
}

static void
start_backoff(control_link_t *link, const char *key)
{
    int64_t until_us = clock_now_us(link->loop->clock) + PEER_BACKOFF_US;
    g_hash_table_replace(link->backoffs, g_strdup(key),
                         g_memdup2(&until_us, sizeof(until_us)));
}

static bool
is_backing_off(const control_link_t *link, const char *key)
{
    const int64_t *until_us = g_hash_table_lookup(link->backoffs, key);
    return until_us != NULL && clock_now_us(link->loop->clock) < *until_us;
}

static gboolean
backoff_has_ended(void *key, void *value, void *context)
{
    (void)value;
    return !is_backing_off(context, key);
}

/// Returns a peer, whose socket is opened if it isn't open. Returns NULL
/// during the peer's back-off, if all sockets are in use, or if none can be
/// opened.
static peer_t *
get_or_dial_peer(control_link_t *link, const endpoint_t *endpoint)
{
    char key[32];
    g_snprintf(key, sizeof(key), "%s:%u", endpoint->address, endpoint->port);
    peer_t *peer = g_hash_table_lookup(link->peers, key);
    if (peer != NULL) {
        return peer;
    }
    if (is_backing_off(link, key)) {
        return NULL;
    }
    if (g_hash_table_size(link->peers) >= PEERS_MAX) {
        peer_t *oldest = find_lru_idle_peer(link);
        if (oldest == NULL) {
            return NULL;
        }
        close_peer(link, oldest);
    }
    peer = g_new0(peer_t, 1);
    peer->key = g_strdup(key);
    if (dial_peer(peer) != 0) {
        g_free(peer->key);
        g_free(peer);
        return NULL;
    }
    g_hash_table_insert(link->peers, peer->key, peer);
    return peer;
}

static void
report_reply(control_link_t *link, uint64_t id, peer_t *peer, nng_msg *message)
{
    control_message_t reply;
    uint64_t version = 0;
    slice_t bytes = {nng_msg_body(message), nng_msg_len(message)};
    if (control_decode(&reply, bytes, &version) != DECODE_OK) {
        metric_increment(METRIC_CONTROL_MESSAGES_INVALID);
        log_warning("control_reply_invalid", "peer=%s bytes=%zu", peer->key,
                    bytes.len);
        link->callbacks.reply(link->context, id, NULL);
        return;
    }
    control_count_received(reply.type, bytes.len);
    peer->last_reply_us = clock_now_us(link->loop->clock);
    if (reply.type == CONTROL_REFUSED) {
        log_warning("control_request_refused", "peer=%s why=\"%s\"", peer->key,
                    reply.reason);
    }
    link->callbacks.reply(link->context, id, &reply);
    control_message_clear(&reply);
}

static void
free_exchange(exchange_t *exchange)
{
    nng_aio_free(exchange->aio);
    g_free(exchange);
}

/// Reports the result of an exchange. After a time-out the socket is closed,
/// so that the next request opens a new connection: on a dead connection TCP
/// would retransmit for minutes.
static void
finish_exchange(void *context)
{
    exchange_t *exchange = context;
    control_link_t *link = exchange->link;
    nng_msg *message =
        exchange->result == 0 ? nng_aio_get_msg(exchange->aio) : NULL;
    peer_t *peer = exchange->peer;
    if (!begin_posted(link)) {
        nng_msg_free(message);
        free_exchange(exchange);
        peer->in_flight--;
        close_peer(link, peer);
        return;
    }
    uint64_t id = exchange->id;
    g_hash_table_remove(link->exchanges, exchange);
    nng_ctx_close(exchange->context);
    free_exchange(exchange);
    if (message != NULL) {
        report_reply(link, id, peer, message);
        nng_msg_free(message);
    }
    else {
        metric_increment(METRIC_CONTROL_EXCHANGES_FAILED);
        link->callbacks.reply(link->context, id, NULL);
    }
    peer->in_flight--;
    if (message == NULL && !peer->closed) {
        start_backoff(link, peer->key);
    }
    if (message == NULL || (peer->closed && peer->in_flight == 0)) {
        close_peer(link, peer);
    }
}

/// Runs in a thread of nng.
static void
on_exchange_event(void *context)
{
    exchange_t *exchange = context;
    exchange->result = nng_aio_result(exchange->aio);
    if (exchange->result == 0 && !exchange->sent) {
        exchange->sent = true;
        nng_ctx_recv(exchange->context, exchange->aio);
        return;
    }
    if (exchange->result != 0 && !exchange->sent) {
        nng_msg_free(nng_aio_get_msg(exchange->aio));
    }
    post_to_loop(exchange->link, finish_exchange, exchange);
}

static void
start_exchange(control_link_t *link, peer_t *peer, nng_msg *message,
               uint64_t id)
{
    exchange_t *exchange = g_new0(exchange_t, 1);
    *exchange = (exchange_t){.link = link, .peer = peer, .id = id};
    if (nng_ctx_open(&exchange->context, peer->socket) != 0 ||
        nng_aio_alloc(&exchange->aio, on_exchange_event, exchange) != 0)
    {
        g_error("out of memory");
    }
    peer->in_flight++;
    peer->last_used_us = clock_now_us(link->loop->clock);
    g_hash_table_add(link->exchanges, exchange);
    nng_aio_set_timeout(exchange->aio, EXCHANGE_TIMEOUT_MS);
    nng_aio_set_msg(exchange->aio, message);
    nng_ctx_send(exchange->context, exchange->aio);
}

typedef struct {
    control_link_t *link;
    uint64_t id;
} failed_exchange_t;

static void
report_failed(void *context)
{
    failed_exchange_t *failed = context;
    control_link_t *link = failed->link;
    if (begin_posted(link)) {
        link->callbacks.reply(link->context, failed->id, NULL);
    }
    g_free(failed);
}

static void
post_failure(control_link_t *link, uint64_t id)
{
    failed_exchange_t *failed = g_new(failed_exchange_t, 1);
    *failed = (failed_exchange_t){link, id};
    metric_increment(METRIC_CONTROL_EXCHANGES_FAILED);
    post_to_loop(link, report_failed, failed);
}

/// Sends a request to each peer. The callback reply() is called once for each
/// of them with @p exchange_id, after this function has returned.
void
control_link_send(control_link_t *link, const config_peer_t *peers,
                  uint32_t count, const control_message_t *message,
                  uint64_t exchange_id)
{
    nng_msg *encoded = encode_message(link, message);
    for (uint32_t i = 0; i < count; i++) {
        peer_t *peer = get_or_dial_peer(link, &peers[i].endpoint);
        nng_msg *copy = NULL;
        if (peer == NULL || nng_msg_dup(&copy, encoded) != 0) {
            post_failure(link, exchange_id);
            continue;
        }
        control_count_sent(message->type, nng_msg_len(copy));
        start_exchange(link, peer, copy, exchange_id);
    }
    nng_msg_free(encoded);
}

static void
sweep(void *context)
{
    control_link_t *link = context;
    int64_t now_us = clock_now_us(link->loop->clock);
    peer_t *oldest = find_lru_idle_peer(link);
    while (oldest != NULL && now_us - oldest->last_used_us > PEER_IDLE_US) {
        close_peer(link, oldest);
        oldest = find_lru_idle_peer(link);
    }
    g_hash_table_foreach_remove(link->backoffs, backoff_has_ended, link);
    loop_timer_start(link->loop, &link->sweep_timer, SWEEP_INTERVAL_US, sweep,
                     link);
}

/// Returns the number of peers with an open socket.
uint32_t
control_link_peer_count(const control_link_t *link)
{
    return g_hash_table_size(link->peers);
}

/// Returns the addresses (char *) of the peers that have replied within
/// PEER_LIVE_US. The caller frees the list.
GPtrArray *
control_link_live_peers(const control_link_t *link)
{
    GPtrArray *live = g_ptr_array_new_with_free_func(g_free);
    int64_t since_us = clock_now_us(link->loop->clock) - PEER_LIVE_US;
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, link->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const peer_t *peer = value;
        if (peer->last_reply_us != 0 && peer->last_reply_us >= since_us) {
            g_ptr_array_add(live, g_strdup(peer->key));
        }
    }
    return live;
}

/// Creates a link that listens for control messages. Returns NULL and sets
/// @p error if the address can't be used.
control_link_t *
control_link_new(loop_t *loop, const endpoint_t *listen, const char *vm,
                 const control_link_callbacks_t *callbacks, void *context,
                 GError **error)
{
    control_link_t *link = g_new0(control_link_t, 1);
    link->loop = loop;
    link->callbacks = *callbacks;
    link->context = context;
    g_strlcpy(link->vm, vm, sizeof(link->vm));
    link->peers = g_hash_table_new(g_str_hash, g_str_equal);
    link->exchanges = g_hash_table_new(NULL, NULL);
    link->backoffs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    link->encode_buffer = g_byte_array_new();
    char *url = g_strdup_printf("tcp://%s:%u", listen->address, listen->port);
    int result = start_servers(link, url);
    if (result != 0) {
        set_step_error(error, IBISFIELD_ERROR_IO,
                       "listen for control messages", url, "%s",
                       nng_strerror(result));
        control_link_free(link);
        link = NULL;
    }
    else {
        loop_timer_start(loop, &link->sweep_timer, SWEEP_INTERVAL_US, sweep,
                         link);
    }
    g_free(url);
    return link;
}

static void
close_all_peers(control_link_t *link)
{
    GList *peers = g_hash_table_get_values(link->peers);
    for (GList *node = peers; node != NULL; node = node->next) {
        close_peer(link, node->data);
    }
    g_list_free(peers);
}

/// Closes all sockets. No callback is called from then on.
void
control_link_free(control_link_t *link)
{
    link->closed = true;
    loop_timer_stop(link->loop, &link->sweep_timer);
    nng_close(link->listener);
    for (int i = 0; i < SERVER_CONTEXTS; i++) {
        if (link->servers[i].aio != NULL) {
            nng_aio_stop(link->servers[i].aio);
        }
    }
    GHashTableIter iter;
    void *key = NULL;
    g_hash_table_iter_init(&iter, link->exchanges);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        nng_aio_stop(((exchange_t *)key)->aio);
    }
    close_all_peers(link);
    if (g_atomic_int_get(&link->posted_count) == 0) {
        free_link(link);
    }
}
