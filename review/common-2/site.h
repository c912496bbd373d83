/// @file
/// A small deployment on loopback addresses for the cases of this review:
/// nodes as separate processes, and stand-ins of the store, the servers and
/// the clients. Uses the C library and threads only.

#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define SITE_MACHINES_MAX 16
#define SITE_HEAD_MAX 32768
#define SITE_NAME_MAX 64

/// Exit codes of a case.
enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

/// An application machine: its node and its server.
typedef struct {
    char name[SITE_NAME_MAX];
    char ip[32];
    char zone[SITE_NAME_MAX];
    char service[SITE_NAME_MAX];
    char instance[SITE_NAME_MAX];
    int slots;
    char settings_path[320];
    char log_path[320];
    pid_t node;   ///< 0: not running
    pid_t server; ///< 0: none, or it runs in this process
} machine_t;

/// Ports, the same on all machines.
typedef struct {
    int inbound;
    int server;
    int readiness;
    int outbound;
    int own; ///< first port of the range for the nodes
    int store;
} site_ports_t;

/// A request or a response.
typedef struct {
    char head[SITE_HEAD_MAX]; ///< start line and headers
    int status;               ///< of a response
    char method[16];          ///< of a request
    char path[512];           ///< of a request
    char id[SITE_NAME_MAX];   ///< X-Request-Id, empty if there is none
    bool has_seal;
    long content_length; ///< bytes; -1: not stated
    char *body;          ///< NULL: none was kept
    long body_bytes;     ///< that were read
    bool complete;       ///< the body was read to its stated end
} message_t;

extern site_ports_t site_ports;
extern machine_t site_machines[SITE_MACHINES_MAX];
extern int site_machine_count;
extern bool site_trouble; ///< false with TROUBLE=0

void site_init(const char *folder, const char *program);
void site_end(int code) __attribute__((noreturn));
void site_fail(const char *what) __attribute__((noreturn));
void site_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
int64_t site_now_ms(void);
void site_sleep_ms(int64_t ms);
pthread_t site_thread(void *(*run)(void *), void *context);

machine_t *site_add_machine(const char *service, const char *zone, int slots);
void site_start_node(machine_t *machine);
void site_wait_ready(const machine_t *machine);
long site_memory_kb(pid_t pid);
pid_t site_spawn_self(const char *const *arguments, int output);

void site_start_store(void);
void site_store_put(const char *key, const char *value);
void site_store_remove(const char *key);
void site_put_routes(int version, const char *routes);
void site_publish(const char *routes);
void site_publish_server(const machine_t *machine, const char *state);

int site_listen(const char *ip, int port, int receive_buffer_bytes);
int site_connect(const char *ip, int port);
void site_set_read_timeout(int fd, int64_t ms);
bool site_send(int fd, const void *bytes, size_t len);
bool site_send_text(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
bool site_read_head(int fd, message_t *message, bool is_response);
bool site_read_body(int fd, message_t *message, bool keep);
bool site_header(const message_t *message, const char *name, char *out,
                 size_t size);
void site_serve(machine_t *machine, void (*handle)(machine_t *, int fd));

#endif
