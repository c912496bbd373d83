/// @file
/// Stand-ins for the scripts of the review: the platform's store, application
/// servers and clients as threads of one process, and nodes as processes of
/// their own. All addresses are loopback addresses.
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RIG_MACHINES_MAX 24
#define RIG_TEXT_MAX 256

/// Exit codes of a script.
typedef enum { RIG_HELD = 0, RIG_BROKEN = 1, RIG_CANNOT_RUN = 2 } rig_exit_t;

/// A message with its head in memory; all texts end with '\0'.
typedef struct {
    int status;                ///< of a response
    char method[16];           ///< of a request
    char path[RIG_TEXT_MAX];   ///< of a request
    char head[16384];          ///< start line and headers
    char *body;                ///< on the heap
    size_t body_len;           ///< bytes
} rig_message_t;

/// A connection with the bytes that were read and not used yet.
typedef struct {
    int fd;
    char *data;
    size_t len;
    size_t capacity;
} rig_connection_t;

typedef struct rig_server rig_server_t;

/// How a server answers a request that it has begun to run. It may write bytes
/// of its own before it returns true, which has the usual answer sent.
typedef bool (*rig_behaviour_t)(rig_server_t *server,
                                rig_connection_t *connection,
                                const rig_message_t *request,
                                uint32_t requests_on_connection);

/// An application server.
struct rig_server {
    char id[32];
    char service[32];
    char zone[32];
    char ip[16];
    uint16_t port;
    int slots;
    int work_ms;               ///< time that a request takes
    rig_behaviour_t behaviour; ///< NULL: sound
    uint32_t answers;          ///< sent so far
    int listener;
};

/// A machine: a node and the settings that it gets.
typedef struct {
    char name[48];
    char zone[32];
    char service[32];
    char ip[16];
    uint16_t store_port; ///< its own way to the store
    int pid;             ///< 0: not running
} rig_machine_t;

/// Ports, the same on all machines.
typedef struct {
    uint16_t outbound;
    uint16_t inbound;
    uint16_t readiness;
    uint16_t operator_port;
    uint16_t server;
} rig_ports_t;

extern rig_ports_t rig_ports;
extern bool rig_trouble; ///< false: the run without the disruption

/// Prepares the run: temporary folder, free ports, record.txt. Ends the process
/// with RIG_CANNOT_RUN if that isn't possible.
void rig_init(const char *folder);
/// Ends all nodes, removes the temporary folder and exits.
void rig_exit(rig_exit_t code) __attribute__((noreturn));
/// Writes a line to record.txt with the seconds since the start.
void rig_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
double rig_now_s(void);
void rig_sleep_s(double seconds);

/* Store. */

void rig_store_start(void);
/// Writes or, with value NULL, removes an item. Returns its revision.
uint64_t rig_store_put(const char *key, const char *value);
/// Takes the copy to which rig_store_restore() returns.
void rig_store_copy(void);
/// Closes the store's listeners and connections, or opens the listeners again.
void rig_store_set_down(bool down);
/// Puts the copy in place of what the store holds, and raises the era. Only
/// while the store is down.
void rig_store_restore(void);
/// Answers 503 to one machine, and serves the others.
void rig_store_turn_away(const rig_machine_t *machine, bool turned_away);

/* Machines and servers. */

/// Adds a machine; its number gives its address. Its node isn't started.
rig_machine_t *rig_machine_add(const char *zone, const char *service);
void rig_node_start(rig_machine_t *machine);
/// Waits until the readiness address answers 200. Returns false after 20 s.
bool rig_node_wait_ready(const rig_machine_t *machine);
/// Starts a server beside a machine's node.
rig_server_t *rig_server_start(const rig_machine_t *machine, const char *id,
                               int work_ms, rig_behaviour_t behaviour);
/// Stops accepting connections; those that are open are answered on.
void rig_server_stop(rig_server_t *server);
/// Writes the server's entry. @p state is "ready" or "draining".
uint64_t rig_server_report(const rig_server_t *server, const char *state,
                           double cold_left_s);
uint64_t rig_server_remove(const rig_server_t *server);

/* Messages. */

void rig_connection_init(rig_connection_t *connection, int fd);
void rig_connection_close(rig_connection_t *connection);
bool rig_write(int fd, const char *bytes, size_t len);
/// Reads a message with a length or without a body. Returns false at the end
/// of the connection.
bool rig_read(rig_connection_t *connection, rig_message_t *message);
void rig_message_free(rig_message_t *message);
/// Copies a header's value; "" if there is none.
void rig_header(const rig_message_t *message, const char *name,
                char value[RIG_TEXT_MAX]);

/// Sends one request of a client to the outbound address of a machine, on a
/// connection of its own. Returns the status, 0 if there was no answer.
int rig_request(const rig_machine_t *machine, const char *method,
                const char *host, const char *path, const char *id,
                int deadline_ms, const char *body);

/// The same; copies the answer's body, "" if there was none.
int rig_request_body(const rig_machine_t *machine, const char *method,
                     const char *host, const char *path, const char *id,
                     int deadline_ms, const char *body,
                     char answer_body[RIG_TEXT_MAX]);

/* Runs at servers, counted by request id. */

/// Returns how often a server has begun to run the request.
uint32_t rig_runs(const char *id);
/// Copies the ids of the servers that ran it, separated by blanks.
void rig_run_servers(const char *id, char servers[RIG_TEXT_MAX]);

#endif
