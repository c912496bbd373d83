/// @file
/// Look-up of the contracts in force by customer or by host.

#include "ibisfield/io/customers.h"

#include <string.h>

static void
free_contract(void *pointer)
{
    contract_finish(pointer);
    g_free(pointer);
}

void
customers_init(customers_t *customers)
{
    customers->contracts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_contract);
    customers->by_host =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    workspaces_init(&customers->workspaces);
    customers->version = 0;
}

void
customers_finish(customers_t *customers)
{
    g_hash_table_destroy(customers->by_host);
    g_hash_table_destroy(customers->contracts);
    workspaces_finish(&customers->workspaces);
}

/// Rebuilds the index of hosts. Contracts are published one by one, so several
/// may name the same host. That host belongs to the customer whose name sorts
/// first, so that all nodes agree whatever the order in which contracts
/// arrive.
static void
index_hosts(customers_t *customers)
{
    g_hash_table_remove_all(customers->by_host);
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, customers->contracts);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        contract_t *contract = pointer;
        for (uint32_t i = 0; i < contract->host_count; i++) {
            char *host = g_ascii_strdown(contract->hosts[i], -1);
            const contract_t *current =
                g_hash_table_lookup(customers->by_host, host);
            if (current == NULL ||
                strcmp(contract->customer, current->customer) < 0) {
                g_hash_table_insert(customers->by_host, host, contract);
            }
            else {
                g_free(host);
            }
        }
    }
}

static void
index_workspaces(customers_t *customers)
{
    workspaces_clear(&customers->workspaces);
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, customers->contracts);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const contract_t *contract = pointer;
        if (contract->workspaces != NULL) {
            workspaces_put(&customers->workspaces, contract->customer,
                           contract->workspaces, contract->workspace_count);
        }
    }
}

/// Parses the contract in a configuration item and puts it in force. Returns
/// false if it is invalid; the previous one then stays in force. Its problems
/// were reported when the item was checked.
bool
customers_set(customers_t *customers, const char *item_name, slice_t value)
{
    contract_t *contract = g_new0(contract_t, 1);
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    bool valid = contract_parse(contract, item_name, value, problems);
    g_ptr_array_unref(problems);
    if (!valid) {
        g_free(contract);
        return false;
    }
    g_hash_table_replace(customers->contracts, contract->customer, contract);
    index_hosts(customers);
    index_workspaces(customers);
    return true;
}

/// Releases an array of workspace_t; NULL is allowed.
static void
free_workspaces(GArray *workspaces)
{
    for (guint i = 0; workspaces != NULL && i < workspaces->len; i++) {
        workspace_finish(&g_array_index(workspaces, workspace_t, i));
    }
    g_clear_pointer(&workspaces, g_array_unref);
}

/// Replaces all contracts in force by those (contract_t, on the heap) of
/// @p version, and the workspaces of all customers by @p workspaces
/// (workspace_t; NULL: callers need no key). Takes ownership of both arrays.
/// Returns false and changes nothing unless @p version is above the one in
/// force: a node never returns to an older version.
bool
customers_set_all(customers_t *customers, GPtrArray *contracts,
                  GArray *workspaces, uint64_t version)
{
    bool newer = version > customers->version;
    if (newer) {
        customers->version = version;
        g_hash_table_remove_all(customers->by_host);
        g_hash_table_remove_all(customers->contracts);
    }
    for (guint i = 0; i < contracts->len; i++) {
        contract_t *contract = contracts->pdata[i];
        if (newer) {
            g_hash_table_replace(customers->contracts, contract->customer,
                                 contract);
        }
        else {
            free_contract(contract);
        }
    }
    g_ptr_array_free(contracts, TRUE);
    if (newer) {
        index_hosts(customers);
        index_workspaces(customers);
    }
    if (newer && workspaces != NULL) {
        workspaces_put(&customers->workspaces, "",
                       (const workspace_t *)(const void *)workspaces->data,
                       workspaces->len);
    }
    free_workspaces(workspaces);
    return newer;
}

void
customers_remove(customers_t *customers, const char *customer)
{
    g_hash_table_remove(customers->contracts, customer);
    index_hosts(customers);
    index_workspaces(customers);
}

/// Returns the contract of a customer; NULL if none is in force.
const contract_t *
customers_find(const customers_t *customers, slice_t name)
{
    char *text = g_strndup(name.data == NULL ? "" : name.data, name.len);
    const contract_t *contract =
        g_hash_table_lookup(customers->contracts, text);
    g_free(text);
    return contract;
}

/// Returns the contract that names @p host, which may have a port; NULL if
/// there is none. Letter case is ignored.
const contract_t *
customers_find_host(const customers_t *customers, slice_t host)
{
    const char *colon = memchr(host.data == NULL ? "" : host.data, ':',
                               host.data == NULL ? 0 : host.len);
    if (colon != NULL) {
        host.len = (size_t)(colon - host.data);
    }
    char *lower =
        g_ascii_strdown(host.data == NULL ? "" : host.data, (gssize)host.len);
    const contract_t *contract =
        g_hash_table_lookup(customers->by_host, lower);
    g_free(lower);
    return contract;
}
