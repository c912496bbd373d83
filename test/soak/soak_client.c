/// @file
/// Clients of the soak: plain sockets, so that they see what a caller sees,
/// and the checks of each answer against its request.

#include "soak_client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/store_site.h"

#define ANSWER_MAX 65536
#define CONNECT_LIMIT_MS 1000
#define POST_LIMIT_MS 500
#define PAUSE_MAX_US 20000
/// One in this many requests is a booking, comes on a new connection, or goes
/// to another machine than the one before.
#define BOOKING_ONE_IN 3
#define FRESH_ONE_IN 4
#define MOVE_ONE_IN 10

typedef struct {
    soak_load_t *load;
    int number;
    GRand *random;
    int fd; ///< -1: none
    int machine;
    bool kept;
    uint32_t sent;
    char answer[ANSWER_MAX];
    size_t answer_len;
} soak_client_t;

static void
set_limits(int fd, int limit_ms)
{
    struct timeval limit = {.tv_sec = limit_ms / 1000,
                            .tv_usec = (suseconds_t)(limit_ms % 1000) * 1000};
    int on = 1;
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static int
connect_to(const char *address, uint16_t port, int limit_ms)
{
    struct sockaddr_in target = {.sin_family = AF_INET,
                                 .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_limits(fd, limit_ms);
    if (inet_pton(AF_INET, address, &target.sin_addr) != 1 ||
        connect(fd, (const struct sockaddr *)&target, sizeof(target)) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

/// Reads one answer. Returns its status, 0 if it ended before, -1 after the
/// time limit. @p body gets the start of the body.
static int
read_answer(soak_client_t *client, const char **body)
{
    client->answer_len = 0;
    size_t wanted = 0;
    while (client->answer_len < sizeof(client->answer) - 1) {
        ssize_t got = recv(client->fd, client->answer + client->answer_len,
                           sizeof(client->answer) - 1 - client->answer_len, 0);
        if (got <= 0) {
            return got < 0 && errno == EAGAIN ? -1 : 0;
        }
        client->answer_len += (size_t)got;
        client->answer[client->answer_len] = '\0';
        const char *end = strstr(client->answer, "\r\n\r\n");
        if (end != NULL && wanted == 0) {
            const char *length =
                strcasestr(client->answer, "\r\ncontent-length:");
            size_t head = (size_t)(end + 4 - client->answer);
            wanted = head + (length != NULL && length < end
                                 ? strtoul(length + 17, NULL, 10)
                                 : 0);
            *body = end + 4;
        }
        if (wanted > 0 && client->answer_len >= wanted) {
            return atoi(client->answer + strlen("HTTP/1.1 "));
        }
    }
    return 0;
}

static void
report(soak_client_t *client, const soak_request_t *request, const char *what)
{
    g_mutex_lock(&client->load->mutex);
    g_ptr_array_add(client->load->violations,
                    g_strdup_printf("%s: request %s to machine %d: %.200s",
                                    what, request->id, request->machine,
                                    client->answer));
    g_mutex_unlock(&client->load->mutex);
}

/// Checks that the answer is that of the request and of a server.
static void
check_answer(soak_client_t *client, const soak_request_t *request,
             const char *body)
{
    char echoed[64];
    char in_body[64];
    g_snprintf(echoed, sizeof(echoed), "x-request-id: %s\r\n", request->id);
    g_snprintf(in_body, sizeof(in_body), "{\"id\": \"%s\"", request->id);
    if (strcasestr(client->answer, echoed) == NULL) {
        report(client, request, "another id");
    }
    if (request->status == 200 &&
        (!g_str_has_prefix(body, in_body) || strchr(body, '}') == NULL ||
         strcasestr(client->answer, "x-server-seal:") == NULL))
    {
        report(client, request, "not the server's whole body");
    }
}

/// Whether bytes came while no request waited, or the end did (true as well).
static bool
is_over(soak_client_t *client, const soak_request_t *request)
{
    char byte;
    ssize_t got = recv(client->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) {
        report(client, request, "bytes that no request waited for");
    }
    return got >= 0 || errno != EAGAIN;
}

static void
disconnect(soak_client_t *client)
{
    if (client->fd >= 0) {
        close(client->fd);
    }
    client->fd = -1;
    client->kept = false;
}

static void
send_request(soak_client_t *client, soak_request_t *request)
{
    char text[512];
    int len = g_snprintf(
        text, sizeof(text),
        "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\n"
        "X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
        request->booking ? "POST" : "GET",
        request->booking ? "/book/x" : "/read/x", request->id, SOAK_BUDGET_MS,
        request->booking ? 2 : 0, request->booking ? "{}" : "");
    request->sent_us = g_get_monotonic_time();
    const char *body = NULL;
    int status = 0;
    if (send(client->fd, text, (size_t)len, MSG_NOSIGNAL) == len) {
        status = read_answer(client, &body);
    }
    request->status = MAX(status, 0);
    request->end = status > 0    ? ENDED_ANSWERED
                   : status == 0 ? ENDED_CLOSED
                                 : ENDED_TIMEOUT;
    if (request->end != ENDED_ANSWERED) {
        disconnect(client);
        return;
    }
    check_answer(client, request, body);
    client->kept = true;
    if (strcasestr(client->answer, "\r\nconnection: close") != NULL ||
        is_over(client, request))
    {
        disconnect(client);
    }
}

static void
run_request(soak_client_t *client)
{
    GRand *random = client->random;
    if (client->fd < 0 || g_rand_int_range(random, 0, MOVE_ONE_IN) == 0 ||
        g_rand_int_range(random, 0, FRESH_ONE_IN) == 0)
    {
        disconnect(client);
        client->machine = g_rand_int_range(random, 0, site.machine_count);
    }
    soak_request_t *request = g_new0(soak_request_t, 1);
    g_snprintf(request->id, sizeof(request->id), "s%x-%d-%u",
               client->load->seed, client->number, client->sent++);
    request->machine = client->machine;
    request->booking = g_rand_int_range(random, 0, BOOKING_ONE_IN) == 0;
    request->kept = client->kept;
    request->sent_us = g_get_monotonic_time();
    if (client->fd < 0) {
        client->fd = connect_to(site.machines[client->machine].address,
                                PORT_CALLER, CONNECT_LIMIT_MS);
    }
    if (client->fd < 0) {
        request->end = ENDED_UNCONNECTED;
    }
    else {
        set_limits(client->fd, SOAK_PATIENCE_MS);
        send_request(client, request);
    }
    request->ended_us = g_get_monotonic_time();
    g_mutex_lock(&client->load->mutex);
    g_ptr_array_add(client->load->requests, request);
    g_mutex_unlock(&client->load->mutex);
    g_usleep((gulong)g_rand_int_range(random, 0, PAUSE_MAX_US));
}

static void *
run_client(void *context)
{
    soak_client_t *client = context;
    while (!g_atomic_int_get(&client->load->stopped)) {
        run_request(client);
    }
    disconnect(client);
    g_rand_free(client->random);
    g_free(client);
    return NULL;
}

/// Starts the clients; the seed decides their choices.
void
soak_load_start(soak_load_t *load, uint32_t seed, int clients)
{
    *load = (soak_load_t){
        .seed = seed,
        .threads = g_ptr_array_new(),
        .requests = g_ptr_array_new_with_free_func(g_free),
        .violations = g_ptr_array_new_with_free_func(g_free),
    };
    g_mutex_init(&load->mutex);
    for (int i = 0; i < clients; i++) {
        soak_client_t *client = g_new0(soak_client_t, 1);
        client->load = load;
        client->number = i;
        client->fd = -1;
        client->random = g_rand_new_with_seed(seed * 1000 + (uint32_t)i);
        g_ptr_array_add(load->threads,
                        g_thread_new("client", run_client, client));
    }
}

/// Waits for the end of all requests.
void
soak_load_stop(soak_load_t *load)
{
    g_atomic_int_set(&load->stopped, 1);
    for (guint i = 0; i < load->threads->len; i++) {
        g_thread_join(load->threads->pdata[i]);
    }
    g_ptr_array_unref(load->threads);
}

void
soak_load_finish(soak_load_t *load)
{
    g_ptr_array_unref(load->requests);
    g_ptr_array_unref(load->violations);
    g_mutex_clear(&load->mutex);
}

/// Sends a request without a body to a stand-in that may be down. Returns the
/// status, 0 without an answer.
int
soak_post(const char *address, uint16_t port, const char *method,
          const char *path)
{
    soak_client_t client = {.fd = connect_to(address, port, POST_LIMIT_MS)};
    char text[256];
    const char *body = NULL;
    int status = 0;
    int len = g_snprintf(text, sizeof(text),
                         "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
                         "Connection: close\r\n\r\n",
                         method, path);
    if (client.fd >= 0 &&
        send(client.fd, text, (size_t)len, MSG_NOSIGNAL) == len) {
        status = MAX(read_answer(&client, &body), 0);
    }
    disconnect(&client);
    return status;
}
