/// @file
/// Control messages over real sockets, with several links on one event loop.

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

#include "ibisfield/base/metrics.h"
#include "ibisfield/config/control_codec.h"
#include "ibisfield/io/control_link.h"

#include "common/suite.h"

#define TIME_LIMIT_US (20 * US_PER_S)

typedef struct {
    clock_source_t clock;
    loop_t loop;
    loop_timer_t limit_timer;
    control_link_t *links[2];
    config_peer_t peers[2];
    control_message_t reply;
    uint32_t requests;
    uint32_t replies;
    uint32_t failures;
    uint32_t expected; ///< replies and failures
    control_type_t last_type;
} fixture_t;

static const control_message_t *
on_request(void *context, const control_message_t *request)
{
    fixture_t *fixture = context;
    fixture->requests++;
    fixture->last_type = request->type;
    return &fixture->reply;
}

static void
on_reply(void *context, uint64_t exchange, const control_message_t *reply)
{
    fixture_t *fixture = context;
    (void)exchange;
    fixture->replies += reply != NULL;
    fixture->failures += reply == NULL;
    if (fixture->replies + fixture->failures >= fixture->expected) {
        loop_stop(&fixture->loop);
    }
}

static void
handle_time_limit(void *context)
{
    loop_stop(context);
    CU_FAIL("no result within the time limit of the test");
}

static void
start_fixture(fixture_t *fixture, uint16_t port)
{
    *fixture = (fixture_t){.expected = 1};
    metrics_reset();
    boot_clock_init(&fixture->clock);
    loop_init(&fixture->loop, &fixture->clock);
    control_message_init(&fixture->reply, CONTROL_ACK, "receiver");
    control_link_callbacks_t callbacks = {on_request, on_reply};
    for (int i = 0; i < 2; i++) {
        endpoint_t endpoint = {"127.7.1.1", (uint16_t)(port + i)};
        fixture->peers[i].endpoint = endpoint;
        fixture->links[i] = control_link_new(&fixture->loop, &endpoint, "vm",
                                             &callbacks, fixture, NULL);
        CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->links[i]);
    }
    loop_timer_start(&fixture->loop, &fixture->limit_timer, TIME_LIMIT_US,
                     handle_time_limit, &fixture->loop);
}

static void
stop_fixture(fixture_t *fixture)
{
    loop_timer_stop(&fixture->loop, &fixture->limit_timer);
    for (int i = 0; i < 2; i++) {
        control_link_free(fixture->links[i]);
    }
    loop_finish(&fixture->loop);
}

static void
assert_live_peers(const control_link_t *link, guint expected)
{
    GPtrArray *live = control_link_live_peers(link);
    CU_ASSERT_EQUAL(live->len, expected);
    g_ptr_array_unref(live);
}

/// Guards against requests that are not delivered, or not counted by type.
static void
test_exchange(void)
{
    fixture_t fixture;
    start_fixture(&fixture, 7101);
    control_message_t request;
    control_message_init(&request, CONTROL_HEARTBEAT, "sender");
    fixture.expected = 20;
    for (int i = 0; i < 20; i++) {
        control_link_send(fixture.links[0], &fixture.peers[1], 1, &request,
                          (uint64_t)i + 1);
    }
    loop_run(&fixture.loop);
    CU_ASSERT_EQUAL(fixture.replies, 20);
    CU_ASSERT_EQUAL(fixture.requests, 20);
    CU_ASSERT_EQUAL(fixture.last_type, CONTROL_HEARTBEAT);
    CU_ASSERT_EQUAL(metric_value(METRIC_CONTROL_HEARTBEAT_SENT_MESSAGES), 20);
    CU_ASSERT_EQUAL(metric_value(METRIC_CONTROL_HEARTBEAT_RECEIVED_MESSAGES),
                    20);
    CU_ASSERT_EQUAL(control_link_peer_count(fixture.links[0]), 1);
    assert_live_peers(fixture.links[0], 1);
    control_message_clear(&request);
    stop_fixture(&fixture);
}

/// Guards against an exchange that never ends because its peer is down.
static void
test_dead_peer_fails(void)
{
    fixture_t fixture;
    start_fixture(&fixture, 7111);
    config_peer_t dead = {.endpoint = {"127.7.1.1", 7119}};
    control_message_t request;
    control_message_init(&request, CONTROL_HEARTBEAT, "sender");
    control_link_send(fixture.links[0], &dead, 1, &request, 1);
    loop_run(&fixture.loop);
    CU_ASSERT_EQUAL(fixture.failures, 1);
    CU_ASSERT_EQUAL(metric_value(METRIC_CONTROL_EXCHANGES_FAILED), 1);
    /* During the back-off a request fails at once, without a connection. */
    fixture.expected = 2;
    control_link_send(fixture.links[0], &dead, 1, &request, 1);
    CU_ASSERT_EQUAL(control_link_peer_count(fixture.links[0]), 0);
    loop_run(&fixture.loop);
    CU_ASSERT_EQUAL(fixture.failures, 2);
    assert_live_peers(fixture.links[0], 0);
    control_message_clear(&request);
    stop_fixture(&fixture);
}

/// Guards against a recovered peer that is sent no requests because it did not
/// reply earlier.
static void
test_recovered_peer_is_used(void)
{
    fixture_t fixture;
    start_fixture(&fixture, 7151);
    control_link_callbacks_t callbacks = {on_request, on_reply};
    control_message_t request;
    control_message_init(&request, CONTROL_HEARTBEAT, "sender");
    control_link_free(fixture.links[1]);
    control_link_send(fixture.links[0], &fixture.peers[1], 1, &request, 1);
    loop_run(&fixture.loop);
    CU_ASSERT_EQUAL(fixture.failures, 1);
    fixture.links[1] =
        control_link_new(&fixture.loop, &fixture.peers[1].endpoint, "vm",
                         &callbacks, &fixture, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.links[1]);
    for (int i = 0; i < 100 && fixture.replies == 0; i++) {
        g_usleep(100000);
        fixture.expected = fixture.failures + 1;
        control_link_send(fixture.links[0], &fixture.peers[1], 1, &request, 1);
        loop_run(&fixture.loop);
    }
    CU_ASSERT_EQUAL(fixture.replies, 1);
    control_message_clear(&request);
    stop_fixture(&fixture);
}

/// Guards against callbacks that use freed memory when a link is closed during
/// exchanges.
static void
test_close_during_exchange(void)
{
    fixture_t fixture;
    start_fixture(&fixture, 7121);
    control_message_t request;
    control_message_init(&request, CONTROL_HEARTBEAT, "sender");
    for (int i = 0; i < 50; i++) {
        control_link_send(fixture.links[0], &fixture.peers[1], 1, &request, 1);
    }
    control_message_clear(&request);
    stop_fixture(&fixture);
    CU_ASSERT_EQUAL(fixture.replies, 0);
}

typedef struct {
    fixture_t *fixture;
    nng_socket socket;
    nng_aio *aio;
    control_message_t reply;
    nng_msg *message;
    bool sent;
} raw_client_t;

static void
stop_loop(void *context)
{
    raw_client_t *client = context;
    loop_stop(&client->fixture->loop);
}

static void
on_client_event(void *context)
{
    raw_client_t *client = context;
    if (!client->sent && nng_aio_result(client->aio) == 0) {
        client->sent = true;
        nng_recv_aio(client->socket, client->aio);
        return;
    }
    loop_post(&client->fixture->loop, stop_loop, client);
}

/// Sends bytes without encoding them, and decodes the reply into @p client.
static void
send_raw(fixture_t *fixture, raw_client_t *client, const char *url,
         slice_t bytes)
{
    nng_msg *out = NULL;
    uint64_t version = 0;
    *client = (raw_client_t){.fixture = fixture};
    CU_ASSERT_EQUAL_FATAL(nng_req0_open(&client->socket), 0);
    CU_ASSERT_EQUAL_FATAL(nng_dial(client->socket, url, NULL, 0), 0);
    nng_aio_alloc(&client->aio, on_client_event, client);
    nng_msg_alloc(&out, 0);
    nng_msg_append(out, bytes.data, bytes.len);
    nng_aio_set_msg(client->aio, out);
    nng_send_aio(client->socket, client->aio);
    loop_run(&fixture->loop);
    CU_ASSERT_EQUAL_FATAL(nng_aio_result(client->aio), 0);
    client->message = nng_aio_get_msg(client->aio);
    slice_t reply = {nng_msg_body(client->message),
                     nng_msg_len(client->message)};
    CU_ASSERT_EQUAL_FATAL(control_decode(&client->reply, reply, &version),
                          DECODE_OK);
}

static void
close_raw(raw_client_t *client)
{
    control_message_clear(&client->reply);
    nng_msg_free(client->message);
    nng_aio_free(client->aio);
    nng_close(client->socket);
}

/// Guards against a node that decodes messages of another protocol version as
/// its own, or drops them without a reason in the reply.
static void
test_unknown_version_is_refused(void)
{
    static const char bytes[] = {(char)0x84, 0x02, 0x00, 0x60, 0x05};
    fixture_t fixture;
    raw_client_t client;
    start_fixture(&fixture, 7131);
    send_raw(&fixture, &client, "tcp://127.7.1.1:7131",
             (slice_t){bytes, sizeof(bytes)});
    CU_ASSERT_EQUAL(client.reply.type, CONTROL_REFUSED);
    CU_ASSERT_STRING_EQUAL(client.reply.reason,
                           "protocol version 2 is not supported, this node "
                           "speaks 1");
    CU_ASSERT_EQUAL(metric_value(METRIC_CONTROL_VERSION_REFUSED), 1);
    CU_ASSERT_EQUAL(fixture.requests, 0);
    close_raw(&client);
    stop_fixture(&fixture);
}

/// Guards against a malformed message after which a server context handles no
/// more requests.
static void
test_malformed_message_is_refused(void)
{
    fixture_t fixture;
    start_fixture(&fixture, 7141);
    for (int i = 0; i < 10; i++) {
        raw_client_t client;
        send_raw(&fixture, &client, "tcp://127.7.1.1:7141",
                 SLICE_LITERAL("\x9f\xff"));
        CU_ASSERT_EQUAL(client.reply.type, CONTROL_REFUSED);
        close_raw(&client);
    }
    CU_ASSERT_EQUAL(metric_value(METRIC_CONTROL_MESSAGES_INVALID), 10);
    stop_fixture(&fixture);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"exchange", test_exchange},
        {"dead peer", test_dead_peer_fails},
        {"recovered peer", test_recovered_peer_is_used},
        {"close during exchange", test_close_during_exchange},
        {"unknown version", test_unknown_version_is_refused},
        {"malformed message", test_malformed_message_is_refused},
        CU_TEST_INFO_NULL,
    };
    return run_suite("control_link", tests);
}
