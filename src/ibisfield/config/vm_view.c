/// @file
/// The VMs that the platform lists, parsed from the items "vm/<vm>". Unknown
/// fields are ignored, so that the platform may add fields.

#include "ibisfield/config/vm_view.h"

#include <arpa/inet.h>
#include <json-c/json.h>

/// Returns whether an item of this name describes a VM.
bool
item_is_vm(const char *name)
{
    return g_str_has_prefix(name, VM_ITEM_PREFIX);
}

static void
add_problem(GPtrArray *problems, const config_item_t *item, const char *field,
            const char *expected)
{
    g_ptr_array_add(problems, g_strdup_printf("%s: %s: expected %s",
                                              item->name, field, expected));
}

/// Returns a name of the item, or NULL after adding a problem.
static const char *
read_text(struct json_object *value, const config_item_t *item,
          const char *field, GPtrArray *problems)
{
    struct json_object *member = NULL;
    json_object_object_get_ex(value, field, &member);
    const char *text = json_object_is_type(member, json_type_string)
                           ? json_object_get_string(member)
                           : "";
    if (text[0] == '\0' || strlen(text) > VM_NAME_MAX) {
        add_problem(problems, item, field, "a name of 1 to 63 bytes");
        return NULL;
    }
    return text;
}

static bool
read_port(uint16_t *port, struct json_object *value, const config_item_t *item,
          const char *field, GPtrArray *problems)
{
    struct json_object *member = NULL;
    if (!json_object_object_get_ex(value, field, &member) ||
        !json_object_is_type(member, json_type_int) ||
        json_object_get_int64(member) < 1 ||
        json_object_get_int64(member) > UINT16_MAX)
    {
        add_problem(problems, item, field, "a port from 1 to 65535");
        return false;
    }
    *port = (uint16_t)json_object_get_int64(member);
    return true;
}

static bool
read_address(vm_info_t *info, struct json_object *value,
             const config_item_t *item, GPtrArray *problems)
{
    struct in_addr parsed;
    const char *text = read_text(value, item, "address", problems);
    if (text == NULL) {
        return false;
    }
    if (inet_pton(AF_INET, text, &parsed) != 1) {
        add_problem(problems, item, "address", "an IPv4 address");
        return false;
    }
    g_strlcpy(info->address, text, sizeof(info->address));
    return true;
}

static bool
read_state(vm_info_t *info, struct json_object *value,
           const config_item_t *item, GPtrArray *problems)
{
    const char *text = read_text(value, item, "state", problems);
    if (text == NULL) {
        return false;
    }
    info->draining = strcmp(text, "leaving") == 0;
    if (!info->draining && strcmp(text, "live") != 0) {
        add_problem(problems, item, "state", "live or leaving");
        return false;
    }
    return true;
}

static bool
read_fields(vm_info_t *info, struct json_object *value,
            const config_item_t *item, GPtrArray *problems)
{
    const char *vm = item->name + strlen(VM_ITEM_PREFIX);
    info->vm = g_strdup(vm);
    info->data_centre =
        g_strdup(read_text(value, item, "data_centre", problems));
    info->service = g_strdup(read_text(value, item, "service", problems));
    bool ok = info->data_centre != NULL && info->service != NULL;
    ok &= read_address(info, value, item, problems);
    ok &= read_port(&info->caller_port, value, item, "caller_port", problems);
    ok &= read_port(&info->peer_port, value, item, "peer_port", problems);
    ok &=
        read_port(&info->control_port, value, item, "control_port", problems);
    ok &= read_state(info, value, item, problems);
    return ok;
}

/// Parses the value of a "vm/<vm>" item that is not removed. slots and is_own
/// aren't part of the value and stay 0 and false. Appends every problem
/// (char *) and returns false if there is any; then @p info needs no
/// vm_info_finish().
bool
vm_info_parse(vm_info_t *info, const config_item_t *item, GPtrArray *problems)
{
    *info = (vm_info_t){0};
    const char *vm = item->name + strlen(VM_ITEM_PREFIX);
    if (!item_is_vm(item->name) || *vm == '\0' || strlen(vm) > VM_NAME_MAX) {
        add_problem(problems, item, "name", "vm/ and 1 to 63 bytes");
        return false;
    }
    struct json_tokener *tokener = json_tokener_new();
    struct json_object *value =
        json_tokener_parse_ex(tokener, item->value.data, (int)item->value.len);
    bool ok = false;
    if (json_object_is_type(value, json_type_object)) {
        ok = read_fields(info, value, item, problems);
    }
    else {
        add_problem(problems, item, "value", "a JSON object");
    }
    json_object_put(value);
    json_tokener_free(tokener);
    if (!ok) {
        vm_info_finish(info);
    }
    return ok;
}

/// Releases the names of a VM.
void
vm_info_finish(vm_info_t *info)
{
    g_free(info->vm);
    g_free(info->data_centre);
    g_free(info->service);
    *info = (vm_info_t){0};
}

/// Returns a copy on the heap, to be released with vm_info_free().
vm_info_t *
vm_info_copy(const vm_info_t *info)
{
    vm_info_t *copy = g_memdup2(info, sizeof(*info));
    copy->vm = g_strdup(info->vm);
    copy->data_centre = g_strdup(info->data_centre);
    copy->service = g_strdup(info->service);
    return copy;
}

/// Releases a VM on the heap; a GDestroyNotify.
void
vm_info_free(void *info)
{
    vm_info_finish(info);
    g_free(info);
}

/// Returns whether two VMs have equal properties. The lifetime and the
/// sequence of an upstream's reports count for published_list_t only.
bool
vm_info_equal(const vm_info_t *a, const vm_info_t *b)
{
    return strcmp(a->vm, b->vm) == 0 &&
           g_strcmp0(a->data_centre, b->data_centre) == 0 &&
           g_strcmp0(a->service, b->service) == 0 &&
           strcmp(a->address, b->address) == 0 &&
           a->caller_port == b->caller_port && a->peer_port == b->peer_port &&
           a->control_port == b->control_port && a->slots == b->slots &&
           a->is_own == b->is_own && a->draining == b->draining &&
           a->removal_pending == b->removal_pending;
}

void
vm_view_init(vm_view_t *view)
{
    view->vms =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vm_info_free);
}

void
vm_view_finish(vm_view_t *view)
{
    g_hash_table_destroy(view->vms);
}

/// Adds or replaces a VM.
void
vm_view_put(vm_view_t *view, const vm_info_t *info)
{
    vm_info_t *copy = vm_info_copy(info);
    g_hash_table_replace(view->vms, copy->vm, copy);
}

void
vm_view_remove(vm_view_t *view, const char *vm)
{
    g_hash_table_remove(view->vms, vm);
}

/// Applies an item that has come into force. Items that describe no VM are
/// ignored. Returns false, and removes the VM, if the value can't be parsed.
bool
vm_view_apply(vm_view_t *view, const config_item_t *item)
{
    if (!item_is_vm(item->name)) {
        return true;
    }
    const char *vm = item->name + strlen(VM_ITEM_PREFIX);
    vm_info_t info;
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    bool removed = item->value.len == 0;
    bool ok = removed || vm_info_parse(&info, item, problems);
    g_ptr_array_unref(problems);
    if (ok && !removed) {
        vm_view_put(view, &info);
        vm_info_finish(&info);
    }
    else {
        vm_view_remove(view, vm);
    }
    return ok;
}

/// Returns NULL if the VM is not listed.
const vm_info_t *
vm_view_find(const vm_view_t *view, const char *vm)
{
    return g_hash_table_lookup(view->vms, vm);
}

/// Returns whether the VM is listed as draining. A VM that is not listed
/// counts as not draining: the list lags, and a new VM serves before it is
/// listed.
bool
vm_view_is_draining(const vm_view_t *view, const char *vm)
{
    const vm_info_t *info = vm_view_find(view, vm);
    return info != NULL && info->draining;
}
