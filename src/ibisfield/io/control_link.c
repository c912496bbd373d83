/// @file
/// Control messages over nng request/reply: one REP listener with several
/// contexts and one REQ socket for each peer in use. nng's callbacks run in
/// its own threads and only pass results to the event loop.
///
/// A REQ socket resends a request by itself when its connection is lost. This
/// is safe because every control message may be handled twice.

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
#define PEERS_MAX 64
/// A peer that did not answer gets no request for this time. A request to a
/// dead peer costs nng about 10 ms of processor time until its time-out, and a
/// relay may have several dead children, each with a heartbeat every second.
/// A peer that is back must not miss changes for longer than 3 s.
#define PEER_HOLD_US (2 * US_PER_S)
#define PEER_IDLE_US (15 * US_PER_S)
/// A peer counts as live this long after its last valid reply: two rounds of
/// anti-entropy.
#define PEER_LIVE_US (10 * US_PER_S)
#define SWEEP_INTERVAL_US US_PER_S

typedef struct {
    nng_socket socket;
    char *key;
    int64_t used_us;
    int64_t replied_us; ///< last valid reply; 0: none
    uint32_t in_flight;
    bool closed;
} peer_t;

/// One request to a peer, from send to reply.
typedef struct {
    control_link_t *link;
    peer_t *peer;
    nng_ctx context;
    nng_aio *aio;
    uint64_t exchange;
    bool sent;
    int result;
} call_t;

typedef struct {
    control_link_t *link;
    nng_ctx context;
    nng_aio *aio;
    bool receiving;
} server_t;

struct control_link {
    loop_t *loop;
    char vm[VM_NAME_MAX + 1];
    control_link_callbacks_t callbacks;
    void *context;
    nng_socket listener;
    server_t servers[SERVER_CONTEXTS];
    GHashTable *peers; ///< key to peer_t
    GHashTable *calls; ///< set of call_t
    GHashTable *held;  ///< key to the end of its hold, int64_t
    GByteArray *scratch;
    loop_timer_t sweep_timer;
    gint posted; ///< callbacks on their way to the loop; atomic
    bool closed;
};

static void
free_link(control_link_t *link)
{
    for (int i = 0; i < SERVER_CONTEXTS; i++) {
        nng_aio_free(link->servers[i].aio);
    }
    g_hash_table_destroy(link->held);
    g_hash_table_destroy(link->calls);
    g_hash_table_destroy(link->peers);
    g_byte_array_unref(link->scratch);
    g_free(link);
}

/// Runs in a thread of nng.
static void
post(control_link_t *link, loop_callback_t callback, void *context)
{
    g_atomic_int_inc(&link->posted);
    loop_post(link->loop, callback, context);
}

/// Ends a posted callback. Returns false if the link is closed; the last one
/// then frees it.
static bool
posted_done(control_link_t *link)
{
    bool last = g_atomic_int_dec_and_test(&link->posted);
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
    g_byte_array_set_size(link->scratch, 0);
    control_encode(message, link->scratch);
    if (nng_msg_alloc(&out, 0) != 0 ||
        nng_msg_append(out, link->scratch->data, link->scratch->len) != 0)
    {
        g_error("out of memory");
    }
    return out;
}

/* Server side. */

static void
receive_next(server_t *server)
{
    server->receiving = true;
    nng_ctx_recv(server->context, server->aio);
}

static void
send_reply(server_t *server, const control_message_t *reply)
{
    nng_msg *out = encode_message(server->link, reply);
    control_count_sent(reply->type, nng_msg_len(out));
    nng_aio_set_msg(server->aio, out);
    server->receiving = false;
    nng_ctx_send(server->context, server->aio);
}

static void
send_refusal(server_t *server, const char *text)
{
    control_message_t reply;
    control_message_init(&reply, CONTROL_REFUSED, server->link->vm);
    reply.reason = text;
    send_reply(server, &reply);
    control_message_clear(&reply);
}

static void
refuse_version(server_t *server, uint64_t version)
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
handle_bytes(server_t *server, slice_t bytes)
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
    server_t *server = context;
    nng_msg *message = nng_aio_get_msg(server->aio);
    if (posted_done(server->link)) {
        handle_bytes(server,
                     (slice_t){nng_msg_body(message), nng_msg_len(message)});
    }
    nng_msg_free(message);
}

/// Runs in a thread of nng.
static void
on_server_event(void *context)
{
    server_t *server = context;
    int result = nng_aio_result(server->aio);
    if (result == NNG_ECLOSED || result == NNG_ECANCELED) {
        return;
    }
    if (server->receiving && result == 0) {
        post(server->link, handle_request, server);
        return;
    }
    if (!server->receiving && result != 0) {
        nng_msg_free(nng_aio_get_msg(server->aio));
    }
    receive_next(server);
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
        server_t *server = &link->servers[i];
        server->link = link;
        result = nng_ctx_open(&server->context, link->listener);
        if (result == 0) {
            result = nng_aio_alloc(&server->aio, on_server_event, server);
        }
    }
    for (int i = 0; i < SERVER_CONTEXTS && result == 0; i++) {
        receive_next(&link->servers[i]);
    }
    return result;
}

/* Client side. */

/// Closes the socket at once; frees the peer when no call uses it. @p link is
/// not used for a peer that is closed already.
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

static peer_t *
least_recent_peer(const control_link_t *link)
{
    peer_t *oldest = NULL;
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, link->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        peer_t *peer = value;
        if (peer->in_flight == 0 &&
            (oldest == NULL || peer->used_us < oldest->used_us))
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
hold_peer(control_link_t *link, const char *key)
{
    int64_t until_us = clock_now_us(link->loop->clock) + PEER_HOLD_US;
    g_hash_table_replace(link->held, g_strdup(key),
                         g_memdup2(&until_us, sizeof(until_us)));
}

static bool
is_held(const control_link_t *link, const char *key)
{
    const int64_t *until_us = g_hash_table_lookup(link->held, key);
    return until_us != NULL && clock_now_us(link->loop->clock) < *until_us;
}

static gboolean
hold_is_over(void *key, void *value, void *context)
{
    (void)value;
    return !is_held(context, key);
}

/// Returns the socket to a peer; NULL if the peer is held, all are in use or
/// none can be opened.
static peer_t *
obtain_peer(control_link_t *link, const endpoint_t *endpoint)
{
    char key[32];
    g_snprintf(key, sizeof(key), "%s:%u", endpoint->address, endpoint->port);
    peer_t *peer = g_hash_table_lookup(link->peers, key);
    if (peer != NULL) {
        return peer;
    }
    if (is_held(link, key)) {
        return NULL;
    }
    if (g_hash_table_size(link->peers) >= PEERS_MAX) {
        peer_t *oldest = least_recent_peer(link);
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
report_reply(control_link_t *link, uint64_t exchange, peer_t *peer,
             nng_msg *message)
{
    control_message_t reply;
    uint64_t version = 0;
    slice_t bytes = {nng_msg_body(message), nng_msg_len(message)};
    if (control_decode(&reply, bytes, &version) != DECODE_OK) {
        metric_increment(METRIC_CONTROL_MESSAGES_INVALID);
        log_warning("control_reply_invalid", "peer=%s bytes=%zu", peer->key,
                    bytes.len);
        link->callbacks.reply(link->context, exchange, NULL);
        return;
    }
    control_count_received(reply.type, bytes.len);
    peer->replied_us = clock_now_us(link->loop->clock);
    if (reply.type == CONTROL_REFUSED) {
        log_warning("control_request_refused", "peer=%s why=\"%s\"", peer->key,
                    reply.reason);
    }
    link->callbacks.reply(link->context, exchange, &reply);
    control_message_clear(&reply);
}

static void
free_call(call_t *call)
{
    nng_aio_free(call->aio);
    g_free(call);
}

/// A peer that does not answer in time may be behind a dead connection, which
/// TCP would keep trying for minutes; so the next request dials anew.
static void
finish_call(void *context)
{
    call_t *call = context;
    control_link_t *link = call->link;
    nng_msg *message = call->result == 0 ? nng_aio_get_msg(call->aio) : NULL;
    peer_t *peer = call->peer;
    if (!posted_done(link)) {
        nng_msg_free(message);
        free_call(call);
        peer->in_flight--;
        close_peer(link, peer);
        return;
    }
    uint64_t exchange = call->exchange;
    g_hash_table_remove(link->calls, call);
    nng_ctx_close(call->context);
    free_call(call);
    if (message != NULL) {
        report_reply(link, exchange, peer, message);
        nng_msg_free(message);
    }
    else {
        metric_increment(METRIC_CONTROL_EXCHANGES_FAILED);
        link->callbacks.reply(link->context, exchange, NULL);
    }
    peer->in_flight--;
    if (message == NULL && !peer->closed) {
        hold_peer(link, peer->key);
    }
    if (message == NULL || (peer->closed && peer->in_flight == 0)) {
        close_peer(link, peer);
    }
}

/// Runs in a thread of nng.
static void
on_call_event(void *context)
{
    call_t *call = context;
    call->result = nng_aio_result(call->aio);
    if (call->result == 0 && !call->sent) {
        call->sent = true;
        nng_ctx_recv(call->context, call->aio);
        return;
    }
    if (call->result != 0 && !call->sent) {
        nng_msg_free(nng_aio_get_msg(call->aio));
    }
    post(call->link, finish_call, call);
}

static void
start_call(control_link_t *link, peer_t *peer, nng_msg *message,
           uint64_t exchange)
{
    call_t *call = g_new0(call_t, 1);
    *call = (call_t){.link = link, .peer = peer, .exchange = exchange};
    if (nng_ctx_open(&call->context, peer->socket) != 0 ||
        nng_aio_alloc(&call->aio, on_call_event, call) != 0)
    {
        g_error("out of memory");
    }
    peer->in_flight++;
    peer->used_us = clock_now_us(link->loop->clock);
    g_hash_table_add(link->calls, call);
    nng_aio_set_timeout(call->aio, EXCHANGE_TIMEOUT_MS);
    nng_aio_set_msg(call->aio, message);
    nng_ctx_send(call->context, call->aio);
}

typedef struct {
    control_link_t *link;
    uint64_t exchange;
} failed_exchange_t;

static void
report_failed(void *context)
{
    failed_exchange_t *failed = context;
    control_link_t *link = failed->link;
    if (posted_done(link)) {
        link->callbacks.reply(link->context, failed->exchange, NULL);
    }
    g_free(failed);
}

static void
fail_later(control_link_t *link, uint64_t exchange)
{
    failed_exchange_t *failed = g_new(failed_exchange_t, 1);
    *failed = (failed_exchange_t){link, exchange};
    metric_increment(METRIC_CONTROL_EXCHANGES_FAILED);
    post(link, report_failed, failed);
}

/// Sends a request to each peer. The callback reply is called for each of them
/// with @p exchange, never from inside this function.
void
control_link_send(control_link_t *link, const config_peer_t *peers,
                  uint32_t count, const control_message_t *message,
                  uint64_t exchange)
{
    nng_msg *first = encode_message(link, message);
    for (uint32_t i = 0; i < count; i++) {
        peer_t *peer = obtain_peer(link, &peers[i].endpoint);
        nng_msg *copy = NULL;
        if (peer == NULL || nng_msg_dup(&copy, first) != 0) {
            fail_later(link, exchange);
            continue;
        }
        control_count_sent(message->type, nng_msg_len(copy));
        start_call(link, peer, copy, exchange);
    }
    nng_msg_free(first);
}

static void
sweep_peers(void *context)
{
    control_link_t *link = context;
    int64_t now_us = clock_now_us(link->loop->clock);
    peer_t *oldest = least_recent_peer(link);
    while (oldest != NULL && now_us - oldest->used_us > PEER_IDLE_US) {
        close_peer(link, oldest);
        oldest = least_recent_peer(link);
    }
    g_hash_table_foreach_remove(link->held, hold_is_over, link);
    loop_timer_start(link->loop, &link->sweep_timer, SWEEP_INTERVAL_US,
                     sweep_peers, link);
}

/// Returns the number of peers with an open socket.
uint32_t
control_link_peer_count(const control_link_t *link)
{
    return g_hash_table_size(link->peers);
}

/// Returns the addresses of the peers that have replied lately (char *). The
/// caller frees the list.
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
        if (peer->replied_us != 0 && peer->replied_us >= since_us) {
            g_ptr_array_add(live, g_strdup(peer->key));
        }
    }
    return live;
}

/// Listens for control messages. Returns NULL and sets @p error if the address
/// can't be used.
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
    link->calls = g_hash_table_new(NULL, NULL);
    link->held =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    link->scratch = g_byte_array_new();
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
        loop_timer_start(loop, &link->sweep_timer, SWEEP_INTERVAL_US,
                         sweep_peers, link);
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

/// Closes all sockets. Callbacks are not called any more.
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
    g_hash_table_iter_init(&iter, link->calls);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        nng_aio_stop(((call_t *)key)->aio);
    }
    close_all_peers(link);
    if (g_atomic_int_get(&link->posted) == 0) {
        free_link(link);
    }
}
