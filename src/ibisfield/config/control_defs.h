#ifndef IBISFIELD_CONFIG_CONTROL_DEFS_H
#define IBISFIELD_CONFIG_CONTROL_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/call/call_defs.h"
#include "ibisfield/config/item_store.h"
#include "ibisfield/config/source_point.h"
#include "ibisfield/contract/settings_defs.h"
#include "ibisfield/workspace/usage_defs.h"

#define CONTROL_PROTOCOL_VERSION 1
/// Upper limits for the arrays in one message.
#define CONTROL_DIGESTS_MAX 1024
#define CONTROL_VERSIONS_MAX 65536
#define CONTROL_ITEMS_MAX 4096
#define CONTROL_WORKSPACES_MAX 65536
/// Upper limit of an encoded message; one value may take ITEM_VALUE_MAX_BYTES.
#define CONTROL_MESSAGE_MAX_BYTES (4 << 20)

/// The lists that the platform publishes.
typedef enum { LIST_CONTRACTS, LIST_VMS, LIST_COUNT } config_list_t;

/// Message types: X(identifier, name in logs, metric group, fields). A request
/// and its reply are counted in the same metric group.
///
/// - ACK: reply to HEARTBEAT and PUSH. REFUSED: reply to any request
///   that the node declines.
/// - HEARTBEAT, PUSH: relayed in a data centre, from a reader of the platform.
/// - COMPARE, LIST and FETCH with their replies DIGESTS, VERSIONS and ITEMS:
///   the steps of anti-entropy. LIST requests the versions in one group of
///   items; it has nothing to do with config_list_t.
/// - FOLLOW with its reply CHANGES: long poll of another node's change feed.
/// - USAGE and USAGE_SUM with their reply SHARES: report of a node, or of the
///   keeper of a data centre, about workspaces with a usage cap.
/// - CATCH_UP with its reply CHANGES: request to a node that holds a later
///   point; never waits.
/// - FOLLOW_ERA, CATCH_UP_ERA and CHANGES_ERA: the same with the era of the
///   points. Nodes send these; the forms without an era are those of earlier
///   releases, which refuse the others.
#define CONTROL_TYPE_LIST(X)                                                  \
    X(ACK, "ack", OTHER, 0)                                                   \
    X(REFUSED, "refused", OTHER, FIELD_REASON)                                \
    X(HEARTBEAT, "heartbeat", HEARTBEAT, FIELD_ROOT | FIELD_STATE)            \
    X(PUSH, "push", PUSH, FIELD_ITEMS)                                        \
    X(COMPARE, "compare", COMPARE, FIELD_STATE | FIELD_MUTUAL)                \
    X(DIGESTS, "digests", COMPARE, FIELD_STATE | FIELD_DIGESTS)               \
    X(LIST, "list", LIST, FIELD_GROUP | FIELD_BUCKETS)                        \
    X(VERSIONS, "versions", LIST, FIELD_GROUP | FIELD_VERSIONS)               \
    X(FETCH, "fetch", FETCH, FIELD_VERSIONS)                                  \
    X(ITEMS, "items", FETCH, FIELD_ITEMS)                                     \
    X(FOLLOW, "follow", FOLLOW, FIELD_REVISION)                               \
    X(CHANGES, "changes", FOLLOW,                                             \
      FIELD_REVISION | FIELD_IS_SNAPSHOT | FIELD_REMOVAL_GRACE | FIELD_ITEMS) \
    X(CATCH_UP, "catch-up", FOLLOW, FIELD_REVISION)                           \
    X(USAGE, "usage", USAGE, FIELD_WEIGHT | FIELD_REFUSED | FIELD_COUNTS)     \
    X(USAGE_SUM, "usage-sum", USAGE,                                          \
      FIELD_WEIGHT | FIELD_REFUSED | FIELD_COUNTS)                            \
    X(SHARES, "shares", USAGE, FIELD_SHARES)                                  \
    X(FOLLOW_ERA, "follow-era", FOLLOW, FIELD_ERA | FIELD_REVISION)           \
    X(CHANGES_ERA, "changes-era", FOLLOW,                                     \
      FIELD_ERA | FIELD_REVISION | FIELD_IS_SNAPSHOT | FIELD_HAS_GAP |        \
          FIELD_REMOVAL_GRACE | FIELD_ITEMS)                                  \
    X(CATCH_UP_ERA, "catch-up-era", FOLLOW, FIELD_ERA | FIELD_REVISION)

typedef enum {
#define CONTROL_ENUM(id, name, group, fields) CONTROL_##id,
    CONTROL_TYPE_LIST(CONTROL_ENUM)
#undef CONTROL_ENUM
        CONTROL_TYPE_COUNT
} control_type_t;

/// Bits of the fields that a message type carries. The fields are encoded in
/// this order, except for the items, which come last.
typedef enum {
    FIELD_REASON = 1 << 0,
    FIELD_ROOT = 1 << 1,
    FIELD_STATE = 1 << 2,
    FIELD_MUTUAL = 1 << 3,
    FIELD_GROUP = 1 << 4,
    FIELD_DIGESTS = 1 << 5,
    FIELD_BUCKETS = 1 << 6,
    FIELD_VERSIONS = 1 << 7,
    FIELD_ITEMS = 1 << 8,
    FIELD_REVISION = 1 << 9,
    FIELD_IS_SNAPSHOT = 1 << 10,
    FIELD_REMOVAL_GRACE = 1 << 11,
    FIELD_WEIGHT = 1 << 12,
    FIELD_COUNTS = 1 << 13,
    FIELD_SHARES = 1 << 14,
    FIELD_REFUSED = 1 << 15,
    FIELD_ERA = 1 << 16,
    FIELD_HAS_GAP = 1 << 17,
} control_field_t;

typedef struct {
    uint64_t group;
    uint64_t digest;
} group_digest_t;

typedef struct {
    const char *name;
    uint64_t version;
} item_version_t;

/// State of a node's configuration, as reported to other nodes.
typedef struct {
    uint64_t digest; ///< of all groups
    bool ready;      ///< a start-up round has found a source
    /// Revision of each list up to which all changes are held; 0: unknown.
    uint64_t revisions[LIST_COUNT];
} config_state_t;

/// One control message; its type determines which fields are set. The arrays
/// belong to the message. Texts belong to the caller that set them, or to
/// @p arena if the message was decoded.
typedef struct {
    control_type_t type;
    char sender[VM_NAME_MAX + 1];
    char root[VM_NAME_MAX + 1]; ///< reader that originated the heartbeat;
                                ///< root of the tree that relays it
    config_state_t state;
    bool mutual; ///< the receiver may start a comparison itself
    uint64_t group;
    uint64_t buckets[ITEM_BUCKETS]; ///< digests of the group's buckets
    const char *reason;             ///< why the request was refused
    /// Point of the source up to which the sender holds all changes. The
    /// versions of items are revisions of the same era.
    source_point_t point;
    bool is_snapshot; ///< the items are the complete contents
    /// The sender has not seen all changes one by one: items may have been
    /// removed before the point, or right after it, without a trace.
    bool has_gap;
    /// For how long removals aren't final, because records of live VMs may
    /// have expired at the source; 0: they are final. See published_list_t.
    uint64_t removal_grace_ms;
    GArray *digests;           ///< group_digest_t
    GArray *versions;          ///< item_version_t
    GArray *items;             ///< config_item_t
    uint32_t weight;           ///< number of nodes that the report stands for
    uint32_t refused_permille; ///< of the requests, for want of room
    GArray *counts;            ///< usage_count_t
    GArray *shares;            ///< usage_share_t
    GStringChunk *arena;
} control_message_t;

/// Control endpoint of a node. vm is "" for a seed, whose name is not known.
typedef struct {
    char vm[VM_NAME_MAX + 1];
    endpoint_t endpoint;
} config_peer_t;

#endif
