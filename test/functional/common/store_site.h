#ifndef IBISFIELD_TEST_STORE_SITE_H
#define IBISFIELD_TEST_STORE_SITE_H

#include "common/testbed.h"

#define PORT_STORE 9100
#define PORT_READINESS 8010
#define MACHINES_MAX 96
/// Size of the site in most tests.
#define MACHINES_DEFAULT 4

/// Longest id of a server: a key of the store has at most 200 bytes and begins
/// with "servers/".
#define SERVER_ID_MAX 192

/// One machine (VM): a node, its server (upstream), and the record of the
/// server in the store.
typedef struct {
    char address[16];
    /// Address in the server record, which other machines use: that of a proxy
    /// or the machine's own.
    char published_address[16];
    char store_address[16]; ///< at which the node reads the store
    char instance[SERVER_ID_MAX + 1];
    const char *service;
    process_t node;
    process_t server;
} machine_t;

/// Processes of one site; a test program runs one site at a time.
typedef struct {
    char *directory;
    char address[16]; ///< of the store
    process_t store;
    machine_t machines[MACHINES_MAX]; ///< first half: "front", rest: "back"
    int machine_count;
    int desired_state_version; ///< published last
    int next_log_number;       ///< number of the next log file
} store_site_t;

extern store_site_t site;
/// Appended to the settings of nodes that are started from now on.
extern const char *site_extra_settings;
/// Program of each second node; NULL: that of the build.
extern const char *site_other_program;
/// Zone (data centre) of all machines.
extern const char *site_zone;
/// Tenants (JSON) of desired states that name none themselves, and the key
/// that request_via_node() sends; NULL: none.
extern const char *site_tenants;
extern const char *site_access_key;

void start_site(int machines);
void start_site_with_addresses(int machines,
                               void (*set_addresses)(machine_t *machine));
void start_store_relay(machine_t *machine, process_t *relay);
void stop_site(void);
void start_server(machine_t *machine);
void start_node(machine_t *machine);
void store_request(const char *method, const char *path, const char *body);
int64_t store_stat(const char *name);
bool node_holds_store(int machine);
void put_server_record(const machine_t *machine, const char *state);
void put_server_report(const machine_t *machine, const char *state,
                       int64_t born_ms, int sequence);
void remove_server_record(const machine_t *machine);
void put_desired_state(int version, const char *extra);
void put_desired_state_with_tenants(int version, const char *extra,
                                    const char *tenants);
text_response_t request_with_key(int machine, const char *path, const char *id,
                                 const char *key);
int status_with_key(int machine, const char *id, const char *key);
void wait_nodes_logged(const char *text);
void publish_site(void);
text_response_t request_via_node(int machine, const char *method,
                                 const char *path, const char *id);
int64_t upstream_counter(int machine, const char *field);
void set_server_mode(int machine, const char *path);
int readiness_status(int machine);

#endif
