#ifndef IBISFIELD_SOAK_CLIENT_H
#define IBISFIELD_SOAK_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// Deadline that a client announces with each request.
#define SOAK_DEADLINE_MS 3000
/// How long a client waits for the response: longer than the deadline, so that
/// a late response is seen as late.
#define SOAK_RESPONSE_TIMEOUT_MS (SOAK_DEADLINE_MS + 1500)

/// Workspace of all clients, and its key.
#define SOAK_WORKSPACE "ws-soak"
#define SOAK_ACCESS_KEY "soak-key"

/// How a request ended.
typedef enum {
    SOAK_COMPLETE, ///< complete response
    SOAK_CLOSED,   ///< the connection ended without a complete response
    SOAK_TIMEOUT,
    SOAK_CONNECT_FAILED,
    SOAK_ABANDONED, ///< the client closed the connection after an earlier
                    ///< request on it had timed out
} soak_outcome_t;

/// One request as its client saw it.
typedef struct {
    char id[32];
    int machine;
    bool booking;   ///< non-idempotent: may run at most once
    bool wrong_key; ///< has an access key of no workspace: must not run
    bool reused;    ///< sent on a connection that had served another request
    soak_outcome_t outcome;
    int status;
    gint64 sent_us;
    gint64 ended_us;
} soak_request_t;

/// Clients, each in a thread of its own. A client sends requests to random
/// machines, on reused and on new connections, some of them several at a time.
typedef struct {
    uint32_t seed;
    int clients;
    GPtrArray *threads;
    GMutex mutex;
    GPtrArray *requests; ///< soak_request_t, in the order in which they ended
    GPtrArray *violations; ///< char *, of wrong responses
    int stopped;           ///< atomic
} soak_load_t;

void soak_load_start(soak_load_t *load, uint32_t seed, int clients);
void soak_load_stop(soak_load_t *load);
void soak_load_finish(soak_load_t *load);
int soak_request_standin(const char *address, uint16_t port,
                         const char *method, const char *path);

#endif
