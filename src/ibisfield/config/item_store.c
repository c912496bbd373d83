/// @file
/// Configuration items in force. The highest version of each name wins, so the
/// result does not depend on the order or the number of deliveries. Digests
/// are sums of item hashes: equal contents give equal digests on every node.

#include "ibisfield/config/item_store.h"

#include <inttypes.h>
#include <xxhash.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"

static void
free_stored_item(void *pointer)
{
    stored_item_t *item = pointer;
    g_free(item->name);
    g_free(item->value);
    g_free(item->refused_reason);
    g_free(item);
}

static void
free_digests(void *pointer)
{
    item_group_digests_t *digests = pointer;
    for (int i = 0; i < ITEM_BUCKETS; i++) {
        if (digests->buckets[i] != NULL) {
            g_ptr_array_unref(digests->buckets[i]);
        }
    }
    g_free(digests);
}

/// Initialises an empty store. @p hooks is copied.
void
item_store_init(item_store_t *store, const item_hooks_t *hooks, void *context)
{
    *store = (item_store_t){.hooks = *hooks, .context = context};
    store->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_stored_item);
    store->refused = g_hash_table_new(NULL, NULL);
    store->groups =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_digests);
}

void
item_store_finish(item_store_t *store)
{
    g_hash_table_destroy(store->refused);
    g_hash_table_destroy(store->groups);
    g_hash_table_destroy(store->items);
}

static uint64_t
item_hash(const stored_item_t *item)
{
    return XXH3_64bits_withSeed(item->name, strlen(item->name), item->version);
}

static unsigned int
item_bucket(const stored_item_t *item)
{
    return XXH3_64bits(item->name, strlen(item->name)) % ITEM_BUCKETS;
}

static item_group_digests_t *
find_or_add_group(item_store_t *store, uint64_t id)
{
    item_group_digests_t *digests = g_hash_table_lookup(store->groups, &id);
    if (digests == NULL) {
        digests = g_new0(item_group_digests_t, 1);
        digests->id = id;
        g_hash_table_insert(store->groups, &digests->id, digests);
    }
    return digests;
}

static void
index_item(item_store_t *store, stored_item_t *item)
{
    item_group_digests_t *digests = find_or_add_group(store, item->group);
    unsigned int bucket = item_bucket(item);
    uint64_t hash = item_hash(item);
    store->digest += hash;
    digests->digest += hash;
    digests->bucket_digests[bucket] += hash;
    if (digests->buckets[bucket] == NULL) {
        digests->buckets[bucket] = g_ptr_array_new();
    }
    g_ptr_array_add(digests->buckets[bucket], item);
}

static void
unindex_item(item_store_t *store, stored_item_t *item)
{
    item_group_digests_t *digests = find_or_add_group(store, item->group);
    unsigned int bucket = item_bucket(item);
    uint64_t hash = item_hash(item);
    store->digest -= hash;
    digests->digest -= hash;
    digests->bucket_digests[bucket] -= hash;
    g_ptr_array_remove_fast(digests->buckets[bucket], item);
}

static stored_item_t *
find_or_add_item(item_store_t *store, const char *name)
{
    stored_item_t *stored = g_hash_table_lookup(store->items, name);
    if (stored == NULL) {
        stored = g_new0(stored_item_t, 1);
        stored->name = g_strdup(name);
        g_hash_table_insert(store->items, stored->name, stored);
    }
    return stored;
}

/// Records a refused version with its reason. Version 0 clears the record.
static void
set_refusal(item_store_t *store, stored_item_t *stored, uint64_t version,
            char *reason)
{
    g_free(stored->refused_reason);
    stored->refused_version = version;
    stored->refused_reason = reason;
    if (version == 0) {
        g_hash_table_remove(store->refused, stored);
    }
    else {
        g_hash_table_add(store->refused, stored);
    }
    metric_set(METRIC_CONFIG_ITEMS_REFUSED, g_hash_table_size(store->refused));
}

static adopt_result_t
refuse_item(item_store_t *store, const config_item_t *item,
            GPtrArray *problems)
{
    stored_item_t *stored = find_or_add_item(store, item->name);
    if (stored->refused_version > item->version) {
        return ADOPT_REFUSED;
    }
    g_ptr_array_add(problems, NULL);
    set_refusal(store, stored, item->version,
                g_strjoinv("; ", (char **)problems->pdata));
    metric_increment(METRIC_CONFIG_REFUSALS_TOTAL);
    log_warning(
        "config_item_refused",
        "name=%s version=%" PRIu64 " in_force=%" PRIu64 " problems=\"%s\"",
        item->name, item->version, stored->version, stored->refused_reason);
    return ADOPT_REFUSED;
}

static void
replace_item(item_store_t *store, const config_item_t *item)
{
    stored_item_t *stored = find_or_add_item(store, item->name);
    if (stored->version != 0) {
        unindex_item(store, stored);
        store->in_force_count -= stored->value_len != 0;
    }
    if (stored->refused_version != 0 &&
        stored->refused_version <= item->version) {
        set_refusal(store, stored, 0, NULL);
    }
    g_free(stored->value);
    stored->value = item->value.len == 0
                        ? NULL
                        : g_strndup(item->value.data, item->value.len);
    stored->value_len = (uint32_t)item->value.len;
    stored->version = item->version;
    stored->group = store->hooks.group(store->context, item);
    index_item(store, stored);
    store->in_force_count += stored->value_len != 0;
    metric_set(METRIC_CONFIG_ITEMS, store->in_force_count);
    metric_increment(METRIC_CONFIG_ADOPTIONS_TOTAL);
}

static bool
check_item(item_store_t *store, const config_item_t *item, GPtrArray *problems)
{
    if (strlen(item->name) > ITEM_NAME_MAX) {
        g_ptr_array_add(problems, g_strdup_printf("name: longer than %d bytes",
                                                  ITEM_NAME_MAX));
        return false;
    }
    if (item->value.len > ITEM_VALUE_MAX_BYTES) {
        g_ptr_array_add(
            problems, g_strdup_printf("value: %zu bytes, at most %d allowed",
                                      item->value.len, ITEM_VALUE_MAX_BYTES));
        return false;
    }
    return item->value.len == 0 ||
           store->hooks.check(store->context, item, problems);
}

/// Puts an item in force if its version is above the one in force and its
/// value passes the checks. Of a version that fails them, the number and the
/// problems are kept until a higher version comes into force.
adopt_result_t
item_store_adopt(item_store_t *store, const config_item_t *item)
{
    if (item->version == 0 ||
        item->version <= item_store_version(store, item->name))
    {
        return ADOPT_STALE;
    }
    if (!item_store_needs_version(store, item->name, item->version)) {
        return ADOPT_REFUSED;
    }
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    adopt_result_t result = ADOPT_NEW;
    if (check_item(store, item, problems)) {
        replace_item(store, item);
        if (store->hooks.changed != NULL) {
            store->hooks.changed(store->context, item);
        }
    }
    else {
        result = refuse_item(store, item, problems);
    }
    g_ptr_array_unref(problems);
    return result;
}

/// Returns the version in force, 0 if there is none.
uint64_t
item_store_version(const item_store_t *store, const char *name)
{
    const stored_item_t *stored = item_store_find(store, name);
    return stored == NULL ? 0 : stored->version;
}

/// Returns the record of @p name, NULL if there is none. Its version is 0 if
/// only a refused version is known.
const stored_item_t *
item_store_find(const item_store_t *store, const char *name)
{
    return g_hash_table_lookup(store->items, name);
}

/// Returns the digests of a group, NULL if the group never had an item.
const item_group_digests_t *
item_store_group(const item_store_t *store, uint64_t id)
{
    return g_hash_table_lookup(store->groups, &id);
}

/// Returns whether a version is above the one in force and isn't already known
/// to fail the checks.
bool
item_store_needs_version(const item_store_t *store, const char *name,
                         uint64_t version)
{
    const stored_item_t *stored = item_store_find(store, name);
    return stored == NULL ||
           (version > stored->version && version != stored->refused_version);
}
