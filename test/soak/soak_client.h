#ifndef IBISFIELD_SOAK_CLIENT_H
#define IBISFIELD_SOAK_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// How long a client waits by its own word, and how much longer it really
/// does: an answer must have come by then.
#define SOAK_BUDGET_MS 3000
#define SOAK_PATIENCE_MS (SOAK_BUDGET_MS + 1500)

/// How a request ended.
typedef enum {
    ENDED_ANSWERED, ///< whole answer
    ENDED_CLOSED,   ///< the connection ended without one
    ENDED_TIMEOUT,
    ENDED_UNCONNECTED,
} soak_end_t;

/// One request of a client, as it saw it.
typedef struct {
    char id[32];
    int machine;
    bool booking; ///< may run once at most
    bool kept;    ///< sent on a connection that had answered before
    soak_end_t end;
    int status;
    gint64 sent_us;
    gint64 ended_us;
} soak_request_t;

/// Clients in threads of their own. Each sends one request at a time to
/// random machines, on kept and on new connections.
typedef struct {
    uint32_t seed;
    int clients;
    GPtrArray *threads;
    GMutex mutex;
    GPtrArray *requests;   ///< soak_request_t, in the order of their ends
    GPtrArray *violations; ///< char *, of answers that are not the request's
    int stopped;           ///< atomic
} soak_load_t;

void soak_load_start(soak_load_t *load, uint32_t seed, int clients);
void soak_load_stop(soak_load_t *load);
void soak_load_finish(soak_load_t *load);
int soak_post(const char *address, uint16_t port, const char *method,
              const char *path);

#endif
