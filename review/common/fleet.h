#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

/// @file
/// A small deployment on loopback addresses for the scripts under review/:
/// nodes as separate processes, and stand-ins of the users' platform (store),
/// servers and clients as threads of the calling program. All times are in
/// milliseconds unless a name says otherwise.

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define FLEET_NODES_MAX 16
#define FLEET_CONNECTIONS_MAX 2048 ///< of one server
#define FLEET_TEXT_MAX 256
#define FLEET_HEAD_MAX 16384

/// Ports, the same on all machines of a run.
typedef struct {
    int inbound;
    int outbound;
    int readiness;
    int first;  ///< first port of port_range
    int server; ///< app_addr
} fleet_ports_t;

/// Head and body of an HTTP message.
typedef struct {
    char head[FLEET_HEAD_MAX]; ///< NUL-terminated, with the empty line
    char method[16];           ///< of a request
    char path[FLEET_TEXT_MAX]; ///< of a request
    int status;                ///< of a response
    long content_length;       ///< -1: no Content-Length
    long body_bytes;           ///< bytes of the body that were read
    bool complete;             ///< head and body were read in full
} fleet_message_t;

/// A machine of the deployment: a node and, beside it, a server.
typedef struct fleet_machine {
    int index;
    char ip[48];
    char name[32];
    char zone[32];
    char service[FLEET_TEXT_MAX];
    char instance[64];
    int slots;
    pid_t pid; ///< of the node; 0: not running
    int store_port;
    int store_fd;
    int server_fd;
    int connections[FLEET_CONNECTIONS_MAX]; ///< of the server; 0: free
    volatile bool server_exited;
    volatile bool store_cut;    ///< the store's answers to it are held up
    volatile int store_waiting; ///< its watches that wait for a change
    /// Runs a request that the server has taken. NULL: responds with 200.
    void (*handle)(struct fleet_machine *machine, int fd,
                   const fleet_message_t *request);
} fleet_machine_t;

extern fleet_ports_t fleet_ports;
extern fleet_machine_t fleet_machines[FLEET_NODES_MAX];
extern int fleet_machine_count;
extern bool fleet_trouble; ///< false with TROUBLE=0

void fleet_init(const char *folder);
void fleet_end(int code) __attribute__((noreturn));
void fleet_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
int64_t fleet_now_ms(void);
void fleet_sleep_ms(int64_t ms);

fleet_machine_t *fleet_add_machine(const char *zone, const char *service,
                                   const char *instance);
void fleet_start_server(fleet_machine_t *machine);
void fleet_stop_server(fleet_machine_t *machine);
void fleet_start_node(fleet_machine_t *machine);
void fleet_wait_ready(fleet_machine_t *machine, int limit_ms);
bool fleet_node_ended(fleet_machine_t *machine);
long fleet_node_memory_kb(const fleet_machine_t *machine);

uint64_t fleet_store_put(const char *key, const char *value);
uint64_t fleet_store_delete(const char *key);
uint64_t fleet_publish_server(const fleet_machine_t *machine,
                              const char *state);

int fleet_connect(const char *ip, int port);
bool fleet_send(int fd, const char *bytes, size_t len);
bool fleet_read_message(int fd, fleet_message_t *message, bool is_response);
const char *fleet_header(const fleet_message_t *message, const char *name,
                         char *out, size_t size);
void fleet_respond(fleet_machine_t *machine, int fd,
                   const fleet_message_t *request, int status,
                   size_t body_bytes);
pthread_t fleet_thread(void *(*run)(void *), void *context);

#endif
