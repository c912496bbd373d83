#ifndef IBISFIELD_CONFIG_ITEM_STORE_H
#define IBISFIELD_CONFIG_ITEM_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/slice.h"

/// Items form groups, see item_group_callback_t. The items of a group are
/// divided by the hash of their names into this many buckets, a power of two.
/// Nodes exchange versions only for the buckets whose digests differ.
#define ITEM_BUCKETS 32
/// Longest name of an item, in bytes. Exceeds the longest key of the users'
/// platform, 200.
#define ITEM_NAME_MAX 255
#define ITEM_VALUE_MAX_BYTES (1 << 20)

/// One configuration item. The value is JSON text; its length is 0 if the item
/// is removed.
typedef struct {
    /// "contract/<customer>" or "vm/<vm>"; in a change feed, a key of the
    /// source.
    const char *name;
    uint64_t version; ///< set by the platform; grows with each change
    slice_t value;
} config_item_t;

typedef enum {
    ADOPT_NEW,     ///< in force from now on
    ADOPT_STALE,   ///< ignored: version not above the one in force
    ADOPT_REFUSED, ///< failed its checks; the one in force stays
} adopt_result_t;

/// Called for each item that has come into force. A removed item has the
/// value length 0.
typedef void (*item_changed_callback_t)(void *context,
                                        const config_item_t *item);
/// Returns whether a value may be adopted; appends its problems (char *).
typedef bool (*item_check_callback_t)(void *context, const config_item_t *item,
                                      void *problems);
/// Returns the group of an item that has passed its checks. It must
/// depend on name and value only, so that all nodes agree.
typedef uint64_t (*item_group_callback_t)(void *context,
                                          const config_item_t *item);

typedef struct {
    item_check_callback_t check;     ///< not called for removed items
    item_changed_callback_t changed; ///< may be NULL
    item_group_callback_t group;
} item_hooks_t;

/// Record of one name: the item in force and the newest refused version.
typedef struct {
    char *name;
    uint64_t version; ///< in force; 0: none
    char *value;
    uint32_t value_len;
    uint64_t group;
    uint64_t refused_version; ///< always above version; 0: none
    char *refused_reason;
} stored_item_t;

/// Digests over name and version of the items in force in one group.
typedef struct {
    uint64_t id;
    uint64_t digest;
    uint64_t bucket_digests[ITEM_BUCKETS];
    GPtrArray *buckets[ITEM_BUCKETS]; ///< stored_item_t
} item_group_digests_t;

typedef struct {
    GHashTable *items;       ///< name to stored_item_t
    GHashTable *groups;      ///< id to item_group_digests_t
    GHashTable *refused;     ///< stored_item_t with a refused version
    uint64_t digest;         ///< of all groups
    uint32_t in_force_count; ///< items in force that aren't removed
    item_hooks_t hooks;
    void *context;
} item_store_t;

void item_store_init(item_store_t *store, const item_hooks_t *hooks,
                     void *context);
void item_store_finish(item_store_t *store);
adopt_result_t item_store_adopt(item_store_t *store,
                                const config_item_t *item);
uint64_t item_store_version(const item_store_t *store, const char *name);
const stored_item_t *item_store_find(const item_store_t *store,
                                     const char *name);
const item_group_digests_t *item_store_group(const item_store_t *store,
                                             uint64_t id);
bool item_store_needs_version(const item_store_t *store, const char *name,
                              uint64_t version);

#endif
