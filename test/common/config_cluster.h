#ifndef IBISFIELD_TEST_COMMON_CONFIG_CLUSTER_H
#define IBISFIELD_TEST_COMMON_CONFIG_CLUSTER_H

#include "ibisfield/base/clock.h"
#include "ibisfield/config/replicator.h"

/// How the platform treats reads: it responds, they fail, or they get
/// no response.
typedef enum { PLATFORM_UP, PLATFORM_DOWN, PLATFORM_HANGING } platform_mode_t;

typedef struct {
    char *name;
    uint64_t version;
    uint64_t revision;
    char *value; ///< "" if removed; nodes refuse it if it starts with {"bad"
} published_item_t;

/// A long poll of one platform list.
typedef struct {
    bool active;
    uint64_t since; ///< waits for a change after this revision
    int64_t due_us; ///< end of the wait for a change
} long_poll_t;

typedef struct config_cluster config_cluster_t;

typedef struct {
    replicator_io_t io;
    replicator_t replicator;
    config_cluster_t *cluster;
    uint32_t index;
    uint32_t data_centre;
    uint32_t incarnation;
    bool up;
    bool platform_unreachable;
    bool newer_release; ///< accepts values that the others refuse
    long_poll_t long_polls[LIST_COUNT];
    uint64_t bytes_sent;
    uint64_t bytes_received;
    uint64_t messages_sent;
} cluster_node_t;

typedef struct {
    uint32_t from;
    uint32_t to;
    uint32_t from_incarnation; ///< of the requester
    uint64_t exchange;         ///< id at the requester; 0: none, no reply
    bool is_reply;
    GBytes *bytes;
} queued_message_t;

/// Replicators in one process, a queue of encoded messages and a platform.
struct config_cluster {
    manual_clock_t clock;
    cluster_node_t *nodes;
    uint32_t node_count;
    uint32_t data_centre_count;
    uint32_t seed_count; ///< seeds of a data centre: its first nodes
    bool *links_down;    ///< node_count by node_count
    GArray *queue;       ///< queued_message_t
    GArray *published;   ///< published_item_t
    uint64_t revision;
    uint64_t visible_revision; ///< reads return the state of this revision
    platform_mode_t mode;
    bool drop_pushes;
    uint64_t platform_reads; ///< long polls that were started
    uint64_t platform_bytes; ///< names and values that were read
    void (*changed)(cluster_node_t *node, const config_item_t *item);
};

void cluster_init(config_cluster_t *cluster, uint32_t node_count,
                  uint32_t data_centre_count);
void cluster_finish(config_cluster_t *cluster);
void cluster_start_node(config_cluster_t *cluster, uint32_t index);
void cluster_stop_node(config_cluster_t *cluster, uint32_t index);
void cluster_publish_node(config_cluster_t *cluster, uint32_t index,
                          const char *service, const char *state);
void cluster_publish(config_cluster_t *cluster, const char *name,
                     const char *value);
uint64_t cluster_published_version(const config_cluster_t *cluster,
                                   const char *name);
void cluster_set_link_down(config_cluster_t *cluster, uint32_t a, uint32_t b,
                           bool down);
void cluster_deliver(config_cluster_t *cluster, guint position);
void cluster_drop(config_cluster_t *cluster, guint position);
void cluster_deliver_all(config_cluster_t *cluster);
void cluster_tick(config_cluster_t *cluster);
void cluster_run(config_cluster_t *cluster, int64_t duration_us);
uint64_t cluster_node_version(const config_cluster_t *cluster, uint32_t index,
                              const char *name);
uint32_t cluster_count_nodes_at(const config_cluster_t *cluster,
                                const char *name, uint64_t version);

#endif
