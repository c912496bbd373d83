#ifndef IBISFIELD_IO_CONFIG_SOURCE_H
#define IBISFIELD_IO_CONFIG_SOURCE_H

#include <glib.h>
#include <json-c/json.h>

#include "ibisfield/config/vm_view.h"
#include "ibisfield/contract/settings_defs.h"
#include "ibisfield/io/change_feed.h"
#include "ibisfield/io/header_names.h"
#include "ibisfield/io/loop.h"

/// Calls from a source to its user.
typedef struct {
    /// Reports the contracts (contract_t, on the heap) and the workspaces of
    /// all customers (workspace_t; NULL: none) of one version. They replace
    /// all earlier ones. The receiver owns the arrays.
    void (*contracts_read)(void *context, GPtrArray *contracts,
                           GArray *workspaces, uint64_t version);
    void (*vm_listed)(void *context, const vm_info_t *info);
    void (*vm_removed)(void *context, const char *vm);
    /// All changes before @p asked_us have been reported.
    void (*proven)(void *context, int64_t asked_us);
} config_source_callbacks_t;

typedef struct config_source config_source_t;

typedef struct {
    /// Adds the state of the source to the operators' /status page.
    void (*write_status)(const config_source_t *source,
                         struct json_object *status);
    void (*free)(config_source_t *source);
} config_source_vtable_t;

/// Reads the contracts and the list of VMs that operators publish.
struct config_source {
    const config_source_vtable_t *vtable;
};

/// Connects a node to the users' platform: to its header names, its form of
/// contracts and its source of configuration. A node without an adapter runs
/// on the project's own platform, with the ibisfield- headers and a
/// config_agent_t.
typedef struct {
    const header_names_t *header_names;
    /// Checks a text in the form in which operators publish contracts; needs
    /// no running node. If it is valid, returns true and sets @p version and
    /// the number of @p customers, and appends @p notes (char *) on what can't
    /// be meant. Otherwise returns false and appends problems (char *).
    bool (*check_desired_state)(slice_t text, GPtrArray *problems,
                                GPtrArray *notes, uint64_t *version,
                                uint32_t *customers);
    config_source_t *(*source_new)(loop_t *loop, const settings_t *settings,
                                   const config_source_callbacks_t *callbacks,
                                   void *context, change_feed_t *feed);
} platform_adapter_t;

#endif
