/// @file
/// A server and a client that send and receive bytes as they are, for
/// responses that a library would neither send nor return.

#include "common/raw_server.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/suite.h"

#define BACKLOG 64
#define BUFFER_BYTES 65536
/// Of the kernel, so that a long upload isn't held in buffers.
#define RECEIVE_BUFFER_BYTES 65536
#define CLIENT_TIMEOUT_S 30

typedef struct {
    raw_server_t *server;
    int fd;
} raw_connection_t;

static struct sockaddr_in
socket_address(const char *address, uint16_t port)
{
    struct sockaddr_in result = {.sin_family = AF_INET,
                                 .sin_port = htons(port)};
    inet_pton(AF_INET, address, &result.sin_addr);
    return result;
}

static bool
send_all(int fd, const char *bytes, size_t len)
{
    while (len > 0) {
        ssize_t sent = send(fd, bytes, len, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        len -= (size_t)sent;
    }
    return true;
}

/// Returns the value of a header of a request; "" if there is none.
static char *
header_value(const char *head, const char *name)
{
    char *lower = g_ascii_strdown(head, -1);
    char *prefix = g_strdup_printf("\r\n%s: ", name);
    const char *found = strstr(lower, prefix);
    char *value = g_strdup("");
    if (found != NULL) {
        const char *start = head + (found - lower) + strlen(prefix);
        g_free(value);
        value = g_strndup(start, strcspn(start, "\r"));
    }
    g_free(prefix);
    g_free(lower);
    return value;
}

/// Reads a request's head to @p head, and its body unless @p is_early. Returns
/// false at the end of the connection.
static bool
read_request(int fd, GString *head, bool is_early)
{
    char buffer[BUFFER_BYTES];
    const char *end = NULL;
    g_string_truncate(head, 0);
    while (end == NULL) {
        ssize_t got = recv(fd, buffer, is_early ? 1 : sizeof(buffer), 0);
        if (got <= 0) {
            return false;
        }
        g_string_append_len(head, buffer, got);
        end = strstr(head->str, "\r\n\r\n");
    }
    size_t body_start = (size_t)(end - head->str) + strlen("\r\n\r\n");
    char *length = header_value(head->str, "content-length");
    size_t left = (size_t)g_ascii_strtoull(length, NULL, 10);
    left -= MIN(left, head->len - body_start);
    g_free(length);
    while (!is_early && left > 0) {
        ssize_t got = recv(fd, buffer, MIN(sizeof(buffer), left), 0);
        if (got <= 0) {
            return false;
        }
        left -= (size_t)got;
    }
    return true;
}

static GString *
replace_id(const raw_response_t *response, const char *id)
{
    GString *out = g_string_new(NULL);
    for (size_t i = 0; i < response->len; i++) {
        if (response->len - i >= 3 &&
            memcmp(response->bytes + i, "@ID", 3) == 0) {
            g_string_append(out, id);
            i += 2;
        }
        else {
            g_string_append_c(out, response->bytes[i]);
        }
    }
    return out;
}

static void
count_request(raw_server_t *server, const char *id)
{
    g_mutex_lock(&server->mutex);
    guint count =
        GPOINTER_TO_UINT(g_hash_table_lookup(server->requests_by_id, id));
    g_hash_table_replace(server->requests_by_id, g_strdup(id),
                         GUINT_TO_POINTER(count + 1));
    g_mutex_unlock(&server->mutex);
}

/// Reads all that has arrived, so that the kernel closes the connection in
/// order.
static void
read_arrived(raw_server_t *server, int fd)
{
    char buffer[BUFFER_BYTES];
    ssize_t got;
    size_t total = 0;
    while ((got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
        total += (size_t)got;
    }
    server->read_bytes = total;
}

static void
end_connection(raw_server_t *server, int fd, raw_end_t end)
{
    char buffer[BUFFER_BYTES];
    if (end == RAW_CLOSE_READ) {
        read_arrived(server, fd);
    }
    if (end == RAW_RESET) {
        const struct linger reset = {.l_onoff = 1};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    if (end == RAW_DRAIN) {
        shutdown(fd, SHUT_WR);
        while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
        }
    }
    close(fd);
}

static void *
serve_connection(void *context)
{
    raw_connection_t *connection = context;
    raw_server_t *server = connection->server;
    int fd = connection->fd;
    GString *head = g_string_new(NULL);
    raw_end_t end = RAW_KEEP;
    g_free(connection);
    while (end == RAW_KEEP) {
        const raw_response_t *response = server->response;
        end = RAW_CLOSE;
        if (read_request(fd, head, response->is_early)) {
            response = server->response; // The one at the time of the request.
            char *id = header_value(head->str, "x-request-id");
            GString *bytes = replace_id(response, id);
            count_request(server, id);
            if (send_all(fd, bytes->str, bytes->len)) {
                end = response->end;
                g_usleep(response->pause_us);
            }
            g_string_free(bytes, TRUE);
            g_free(id);
        }
    }
    end_connection(server, fd, end);
    g_string_free(head, TRUE);
    return NULL;
}

static void *
accept_connections(void *context)
{
    raw_server_t *server = context;
    int fd;
    while ((fd = accept4(server->listen_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
        raw_connection_t *connection = g_new(raw_connection_t, 1);
        *connection = (raw_connection_t){server, fd};
        g_thread_unref(g_thread_new("raw", serve_connection, connection));
    }
    return NULL;
}

/// Starts a server. It must stay in memory until the test program ends,
/// because its connections may outlast raw_server_stop().
void
raw_server_start(raw_server_t *server, const char *address, uint16_t port,
                 const raw_response_t *response)
{
    int on = 1;
    int size = RECEIVE_BUFFER_BYTES;
    struct sockaddr_in bound = socket_address(address, port);
    server->requests_by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_mutex_init(&server->mutex);
    server->response = response;
    server->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(server->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(server->listen_fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    CU_ASSERT_EQUAL_FATAL(
        bind(server->listen_fd, (struct sockaddr *)&bound, sizeof(bound)), 0);
    CU_ASSERT_EQUAL_FATAL(listen(server->listen_fd, BACKLOG), 0);
    server->thread = g_thread_new("raw", accept_connections, server);
}

void
raw_server_stop(raw_server_t *server)
{
    shutdown(server->listen_fd, SHUT_RDWR);
    g_thread_join(server->thread);
    close(server->listen_fd);
}

/// Returns how many requests with this id the server has got.
uint32_t
raw_server_requests(raw_server_t *server, const char *id)
{
    g_mutex_lock(&server->mutex);
    guint count =
        GPOINTER_TO_UINT(g_hash_table_lookup(server->requests_by_id, id));
    g_mutex_unlock(&server->mutex);
    return count;
}

typedef struct {
    int fd;
    size_t bytes;
} raw_upload_t;

static void *
send_body(void *context)
{
    const raw_upload_t *upload = context;
    char *body = g_strnfill(upload->bytes, 'u');
    send_all(upload->fd, body, upload->bytes);
    g_free(body);
    return NULL;
}

/// Sends a request with a head, to which Content-Length and the empty line are
/// added, and a body, while it reads the response. Returns all bytes up to the
/// end of the connection.
GString *
raw_request(const char *address, uint16_t port, const char *head,
            size_t body_bytes)
{
    char buffer[BUFFER_BYTES];
    ssize_t got;
    const struct timeval limit = {.tv_sec = CLIENT_TIMEOUT_S};
    struct sockaddr_in server = socket_address(address, port);
    GString *response = g_string_new(NULL);
    char *text =
        g_strdup_printf("%scontent-length: %zu\r\n\r\n", head, body_bytes);
    raw_upload_t upload = {socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
                           body_bytes};
    setsockopt(upload.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(upload.fd, (struct sockaddr *)&server, sizeof(server)) == 0 &&
        send_all(upload.fd, text, strlen(text)))
    {
        GThread *thread = g_thread_new("upload", send_body, &upload);
        while ((got = recv(upload.fd, buffer, sizeof(buffer), 0)) > 0) {
            g_string_append_len(response, buffer, got);
        }
        shutdown(upload.fd, SHUT_RDWR);
        g_thread_join(thread);
    }
    close(upload.fd);
    g_free(text);
    return response;
}
