#ifndef IBISFIELD_TEST_TESTBED_H
#define IBISFIELD_TEST_TESTBED_H

#include <json-c/json.h>

#include "common/process.h"
#include "ibisfield/io/http_client.h"

#define TESTBED_VMS_MAX 16

/// A VM of the test: a node and its upstream on one loopback address.
typedef struct {
    char vm[16];
    char address[16];
    process_t node;
    process_t upstream;
    const char *const *upstream_arguments; ///< NULL if it has none
    char service[16];
    char data_centre[16];
} testbed_vm_t;

/// A stand-in of the platform, and VMs, on loopback addresses.
typedef struct {
    char *directory;
    char address[16]; ///< of the platform
    /// Address of the platform in the settings of VMs that are started from
    /// now on.
    char platform_address_for_vms[16];
    process_t platform;
    testbed_vm_t vms[TESTBED_VMS_MAX];
    int vm_count;
    int log_count;
} testbed_t;

/// Ports of every VM and of the platform.
enum {
    PORT_UPSTREAM = 7000,
    PORT_CALLER = 8000,
    PORT_PEER,
    PORT_CONTROL,
    PORT_EGRESS,
    PORT_OPERATOR,
    PORT_PLATFORM = 9000,
};

typedef struct {
    int status;    ///< 0 if there was no complete response
    char *headers; ///< "name: value\n" each
    char *body;
} text_response_t;

void testbed_init(testbed_t *bed);
void testbed_finish(testbed_t *bed);
testbed_vm_t *testbed_add_vm(testbed_t *bed, const char *service,
                             const char *data_centre, const char *settings,
                             const char *const *upstream_arguments);
testbed_vm_t *testbed_start_vm(testbed_t *bed, const char *service,
                               const char *data_centre, const char *settings,
                               const char *const *upstream_arguments);
void testbed_address(const testbed_t *bed, int host, char address[16]);
bool testbed_start_node(testbed_t *bed, testbed_vm_t *vm);
bool testbed_start_upstream(testbed_t *bed, testbed_vm_t *vm);
bool testbed_publish_vm(testbed_t *bed, const testbed_vm_t *vm,
                        const char *state);
char *testbed_upstream_logs(const testbed_t *bed);
int testbed_count_in_upstream_logs(const testbed_t *bed, const char *text);
bool testbed_publish(testbed_t *bed, const char *name, const char *value);
bool testbed_wait_ready(testbed_t *bed);
bool testbed_start_client(testbed_t *bed, process_t *client,
                          const char *const *arguments);
struct json_object *testbed_client_summary(process_t *client, int *exit_code);

text_response_t http_call(const char *address, uint16_t port,
                          const char *method, const char *path,
                          const char *header, const char *body);
/// An HTTP call that runs in a thread of its own; http_call_wait() joins it.
typedef struct http_call http_call_t;
http_call_t *http_call_start(const char *address, uint16_t port,
                             const char *method, const char *path,
                             const char *header, const char *body);
text_response_t http_call_wait(http_call_t *call);
char *response_header(const text_response_t *response, const char *name);
void assert_response(text_response_t response, int status,
                     const char *headers);
void text_response_free(text_response_t *response);
int64_t node_metric(const testbed_vm_t *vm, const char *name);
int64_t json_number(struct json_object *object, const char *name);

#endif
