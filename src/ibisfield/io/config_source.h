#ifndef IBISFIELD_IO_CONFIG_SOURCE_H
#define IBISFIELD_IO_CONFIG_SOURCE_H

#include <glib.h>
#include <json-c/json.h>

#include "ibisfield/config/vm_view.h"
#include "ibisfield/contract/settings_defs.h"
#include "ibisfield/io/change_feed.h"
#include "ibisfield/io/header_names.h"
#include "ibisfield/io/loop.h"

/// What a source reports of contracts and VMs.
typedef struct {
    /// Contracts (contract_t, on the heap) of one version, in place of all
    /// earlier ones. The receiver takes the array.
    void (*contracts)(void *context, GPtrArray *contracts, uint64_t version);
    void (*vm_listed)(void *context, const vm_info_t *info);
    void (*vm_removed)(void *context, const char *vm);
} config_source_callbacks_t;

typedef struct config_source config_source_t;

typedef struct {
    /// Adds what the source knows to the operators' /status page.
    void (*write_status)(const config_source_t *source,
                         struct json_object *status);
    void (*free)(config_source_t *source);
} config_source_vtable_t;

/// Reads contracts and the list of VMs from where operators publish them.
struct config_source {
    const config_source_vtable_t *vtable;
};

/// What a node needs to run on a foreign platform.
typedef struct {
    const header_names_t *header_names;
    /// Checks what operators publish, without a node: returns false and adds
    /// problems (char *), or what was found.
    bool (*check_contracts)(slice_t text, GPtrArray *problems,
                            uint64_t *version, uint32_t *customers);
    config_source_t *(*source_new)(loop_t *loop, const settings_t *settings,
                                   const config_source_callbacks_t *callbacks,
                                   void *context, change_feed_t *feed);
} node_adapter_t;

#endif
