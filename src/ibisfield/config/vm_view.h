#ifndef IBISFIELD_CONFIG_VM_VIEW_H
#define IBISFIELD_CONFIG_VM_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/call/call_defs.h"
#include "ibisfield/config/item_store.h"

#define VM_ITEM_PREFIX "vm/"

/// One VM of the list that the platform publishes. Released by
/// vm_info_finish().
typedef struct {
    char *vm;
    char *data_centre;
    char *service;
    char address[16]; ///< IPv4, dotted
    uint16_t caller_port;
    uint16_t peer_port;
    uint16_t control_port;
    uint32_t slots;    ///< of its upstream; 0: not published, as in the items
                       ///< of the platform
    int64_t born_ms;   ///< start of its upstream, Unix time; 0: not published
    uint64_t sequence; ///< number of its upstream's last report since then
    bool is_own;       ///< this node's own upstream; not set from an item
    bool draining;
    bool removal_pending; ///< no longer in the source, but the removal isn't
                          ///< final; see published_list_t
} vm_info_t;

/// The VMs of a list with their parsed values. Changes apply at once; deferred
/// removals are the task of published_list_t.
typedef struct {
    GHashTable *vms; ///< name to vm_info_t
} vm_view_t;

bool vm_info_parse(vm_info_t *info, const config_item_t *item,
                   GPtrArray *problems);
void vm_info_finish(vm_info_t *info);
vm_info_t *vm_info_copy(const vm_info_t *info);
void vm_info_free(void *info);
bool vm_info_equal(const vm_info_t *a, const vm_info_t *b);
bool item_is_vm(const char *name);

void vm_view_init(vm_view_t *view);
void vm_view_finish(vm_view_t *view);
void vm_view_put(vm_view_t *view, const vm_info_t *info);
void vm_view_remove(vm_view_t *view, const char *vm);
bool vm_view_apply(vm_view_t *view, const config_item_t *item);
const vm_info_t *vm_view_find(const vm_view_t *view, const char *vm);
bool vm_view_is_draining(const vm_view_t *view, const char *vm);

#endif
