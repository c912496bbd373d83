#ifndef IBISFIELD_WORKSPACE_WORKSPACES_H
#define IBISFIELD_WORKSPACE_WORKSPACES_H

#include <stdbool.h>

#include "ibisfield/base/slice.h"
#include "ibisfield/workspace/workspace_defs.h"

/// Longest access key, in bytes.
#define ACCESS_KEY_MAX 4096

/// The workspaces in force, by name and by access key. Those of a customer are
/// apart from those of another; the customer "" stands for all.
typedef struct {
    GHashTable *by_id;  ///< id to workspace_entry_t
    GHashTable *by_key; ///< scoped digest to workspace_entry_t
    GHashTable *scopes; ///< hashes of the customers that have workspaces
} workspaces_t;

/// A workspace in force.
typedef struct {
    workspace_t workspace; ///< without its keys
    uint64_t id;           ///< hash of customer and name
} workspace_entry_t;

void access_key_digest(access_key_t *digest, slice_t key);
void workspace_finish(workspace_t *workspace);
bool workspace_add_key(workspace_t *workspace, slice_t key);
const char *workspace_list_find_shared_key(const workspace_t *workspaces,
                                           uint32_t count);
int32_t workspace_worth(int32_t rank, int32_t kind_worth);
int32_t workspace_rank_of(int32_t worth);
int32_t workspace_kind_worth(int32_t worth);

void workspaces_init(workspaces_t *workspaces);
void workspaces_finish(workspaces_t *workspaces);
void workspaces_clear(workspaces_t *workspaces);
void workspaces_put(workspaces_t *workspaces, const char *customer,
                    const workspace_t *list, uint32_t count);
bool workspaces_in_force(const workspaces_t *workspaces, const char *customer);
const workspace_entry_t *workspaces_find_key(const workspaces_t *workspaces,
                                             const char *customer,
                                             slice_t key);
const workspace_entry_t *workspaces_find(const workspaces_t *workspaces,
                                         uint64_t id);

#endif
