/// @file
/// Workspaces in force, and the look-up of a workspace by an access key. Keys
/// are secrets: only their digests are held, and two digests are compared in a
/// time that doesn't depend on where they differ.

#include "ibisfield/workspace/workspaces.h"

#include <string.h>
#include <xxhash.h>

/// Digest of a key, with the customer in whose scope it holds.
typedef struct {
    uint64_t scope; ///< 0: all customers
    access_key_t digest;
} scoped_key_t;

static uint64_t
scope_of(const char *customer)
{
    return customer[0] == '\0' ? 0 : XXH3_64bits(customer, strlen(customer));
}

/// Computes the digest of an access key.
void
access_key_digest(access_key_t *digest, slice_t key)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize len = sizeof(digest->bytes);
    g_checksum_update(checksum, (const guchar *)key.data, (gssize)key.len);
    g_checksum_get_digest(checksum, digest->bytes, &len);
    g_checksum_free(checksum);
}

static bool
digests_equal(const access_key_t *a, const access_key_t *b)
{
    unsigned int difference = 0;
    for (size_t i = 0; i < sizeof(a->bytes); i++) {
        difference |= a->bytes[i] ^ b->bytes[i];
    }
    return difference == 0;
}

/// Releases the name and the keys of a workspace.
void
workspace_finish(workspace_t *workspace)
{
    g_clear_pointer(&workspace->name, g_free);
    if (workspace->keys != NULL) {
        g_array_free(workspace->keys, TRUE);
        workspace->keys = NULL;
    }
}

/// Adds a key. Returns false if it is empty, too long or not visible ASCII
/// text, which a header can't carry.
bool
workspace_add_key(workspace_t *workspace, slice_t key)
{
    if (key.len == 0 || key.len > ACCESS_KEY_MAX) {
        return false;
    }
    for (size_t i = 0; i < key.len; i++) {
        if (!g_ascii_isgraph(key.data[i])) {
            return false;
        }
    }
    access_key_t digest;
    access_key_digest(&digest, key);
    if (workspace->keys == NULL) {
        workspace->keys = g_array_new(FALSE, FALSE, sizeof(access_key_t));
    }
    g_array_append_val(workspace->keys, digest);
    return true;
}

/// Returns the name of a workspace that has a key which an earlier one of the
/// list has too; NULL if there is none. Nobody could say whose request such a
/// key belongs to. Names may be missing (NULL).
const char *
workspace_list_find_shared_key(const workspace_t *workspaces, uint32_t count)
{
    workspaces_t seen;
    const char *found = NULL;
    workspaces_init(&seen);
    for (uint32_t i = 0; i < count && found == NULL; i++) {
        const workspace_t *workspace = &workspaces[i];
        guint keys = workspace->keys == NULL ? 0 : workspace->keys->len;
        for (guint j = 0; j < keys && found == NULL; j++) {
            scoped_key_t key = {
                .digest = g_array_index(workspace->keys, access_key_t, j)};
            if (g_hash_table_contains(seen.by_key, &key)) {
                found = workspace->name;
            }
        }
        workspaces_put(&seen, "", workspace, 1);
    }
    workspaces_finish(&seen);
    return found;
}

/// Worths of one rank.
typedef struct {
    int32_t low;
    int32_t high;
} worth_band_t;

static const worth_band_t bands[WORKSPACE_RANK_MAX + 1] = {
    {34, CONTRACT_WORTH_MAX}, {12, 33}, {4, 11}, {1, 3}};

/// Returns the worth of a request of a workspace: the workspace's rank goes
/// first, so each rank has a band of worths below that of the rank before it.
/// Within its band, the worth of the kind decides.
int32_t
workspace_worth(int32_t rank, int32_t kind_worth)
{
    const worth_band_t *band = &bands[CLAMP(rank, 0, WORKSPACE_RANK_MAX)];
    int32_t worth = CLAMP(kind_worth, 1, CONTRACT_WORTH_MAX);
    int32_t scaled =
        (band->high * worth + CONTRACT_WORTH_MAX / 2) / CONTRACT_WORTH_MAX;
    return MAX(band->low, scaled);
}

/// Returns the rank whose band contains a worth of workspace_worth().
int32_t
workspace_rank_of(int32_t worth)
{
    int32_t rank = 0;
    while (rank < WORKSPACE_RANK_MAX && worth < bands[rank].low) {
        rank++;
    }
    return rank;
}

/// Returns about the worth of the kind from which workspace_worth() was
/// computed. Retries are compared by it: the ratio of two worths of different
/// bands says nothing about what a retry saves.
int32_t
workspace_kind_worth(int32_t worth)
{
    return worth * CONTRACT_WORTH_MAX / bands[workspace_rank_of(worth)].high;
}

/* Table of the workspaces in force. */

static guint
hash_scoped_key(gconstpointer pointer)
{
    guint hash;
    memcpy(&hash, ((const scoped_key_t *)pointer)->digest.bytes, sizeof(hash));
    return hash;
}

static gboolean
scoped_keys_equal(gconstpointer a, gconstpointer b)
{
    const scoped_key_t *left = a;
    const scoped_key_t *right = b;
    return left->scope == right->scope &&
           digests_equal(&left->digest, &right->digest);
}

static void
free_entry(void *pointer)
{
    workspace_entry_t *entry = pointer;
    workspace_finish(&entry->workspace);
    g_free(entry);
}

void
workspaces_init(workspaces_t *workspaces)
{
    *workspaces = (workspaces_t){
        .by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       free_entry),
        .by_key = g_hash_table_new_full(hash_scoped_key, scoped_keys_equal,
                                        g_free, NULL),
        .scopes =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL),
    };
}

void
workspaces_finish(workspaces_t *workspaces)
{
    g_hash_table_destroy(workspaces->by_key);
    g_hash_table_destroy(workspaces->by_id);
    g_hash_table_destroy(workspaces->scopes);
}

/// Removes all workspaces. None is required then.
void
workspaces_clear(workspaces_t *workspaces)
{
    g_hash_table_remove_all(workspaces->by_key);
    g_hash_table_remove_all(workspaces->by_id);
    g_hash_table_remove_all(workspaces->scopes);
}

/// Adds the workspaces of @p customer ("": of all customers). From then on its
/// requests need a key, even if the list is empty.
void
workspaces_put(workspaces_t *workspaces, const char *customer,
               const workspace_t *list, uint32_t count)
{
    uint64_t scope = scope_of(customer);
    g_hash_table_add(workspaces->scopes, g_memdup2(&scope, sizeof(scope)));
    for (uint32_t i = 0; i < count; i++) {
        workspace_entry_t *entry = g_new0(workspace_entry_t, 1);
        const char *name = list[i].name == NULL ? "" : list[i].name;
        entry->workspace = list[i];
        entry->workspace.name = g_strdup(name);
        entry->workspace.keys = NULL;
        entry->id = XXH3_64bits_withSeed(name, strlen(name), scope);
        g_hash_table_replace(workspaces->by_id, &entry->id, entry);
        guint keys = list[i].keys == NULL ? 0 : list[i].keys->len;
        for (guint j = 0; j < keys; j++) {
            scoped_key_t key = {
                .scope = scope,
                .digest = g_array_index(list[i].keys, access_key_t, j),
            };
            g_hash_table_insert(workspaces->by_key,
                                g_memdup2(&key, sizeof(key)), entry);
        }
    }
}

/// Returns whether requests of the customer need a key, unless their kind is
/// anonymous.
bool
workspaces_in_force(const workspaces_t *workspaces, const char *customer)
{
    uint64_t scope = scope_of(customer);
    uint64_t all = 0;
    return g_hash_table_contains(workspaces->scopes, &all) ||
           g_hash_table_contains(workspaces->scopes, &scope);
}

/// Returns the workspace that holds a key; NULL if none does.
const workspace_entry_t *
workspaces_find_key(const workspaces_t *workspaces, const char *customer,
                    slice_t key)
{
    if (key.len == 0 || key.len > ACCESS_KEY_MAX) {
        return NULL;
    }
    scoped_key_t wanted = {.scope = 0};
    access_key_digest(&wanted.digest, key);
    const workspace_entry_t *found =
        g_hash_table_lookup(workspaces->by_key, &wanted);
    if (found == NULL) {
        wanted.scope = scope_of(customer);
        found = g_hash_table_lookup(workspaces->by_key, &wanted);
    }
    return found;
}

/// Returns the workspace with this id, NULL if it is no longer in force.
const workspace_entry_t *
workspaces_find(const workspaces_t *workspaces, uint64_t id)
{
    return g_hash_table_lookup(workspaces->by_id, &id);
}
