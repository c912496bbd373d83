#ifndef IBISFIELD_TEST_RAW_SERVER_H
#define IBISFIELD_TEST_RAW_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// What a raw server does behind its response.
typedef enum {
    RAW_CLOSE,      ///< closes the connection
    RAW_CLOSE_READ, ///< reads what has arrived and closes the connection
    RAW_RESET,      ///< resets it
    RAW_KEEP,       ///< reads the next request
    RAW_DRAIN,      ///< closes its side, and reads until the client closes
} raw_end_t;

/// Bytes that a raw server sends for a request, in which "@ID" stands for the
/// request's id. It reads the body of the request before unless it is early.
typedef struct {
    const char *name; ///< for the output of tests
    const char *bytes;
    size_t len;
    raw_end_t end;
    bool is_early;
    uint32_t pause_us; ///< between the last byte and the end
} raw_response_t;

/// Bytes of a literal, which may contain zeros, as two members.
#define RAW_BYTES(text) (text), sizeof(text) - 1

/// A server in threads of the test, which sends the same bytes for all
/// requests.
typedef struct {
    int listen_fd;
    GThread *thread;
    const raw_response_t *_Atomic response;
    _Atomic size_t read_bytes; ///< by the last RAW_CLOSE_READ
    GMutex mutex;
    GHashTable *requests_by_id; ///< guarded by mutex
} raw_server_t;

void raw_server_start(raw_server_t *server, const char *address, uint16_t port,
                      const raw_response_t *response);
void raw_server_stop(raw_server_t *server);
uint32_t raw_server_requests(raw_server_t *server, const char *id);
GString *raw_request(const char *address, uint16_t port, const char *head,
                     size_t body_bytes);

#endif
