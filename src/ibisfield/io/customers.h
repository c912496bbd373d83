#ifndef IBISFIELD_IO_CUSTOMERS_H
#define IBISFIELD_IO_CUSTOMERS_H

#include <glib.h>

#include "ibisfield/base/slice.h"
#include "ibisfield/contract/contract.h"
#include "ibisfield/workspace/workspaces.h"

/// The contracts in force, indexed by customer and by host.
typedef struct {
    GHashTable *contracts; ///< customer name to contract_t
    GHashTable *by_host;   ///< lower-case host name to contract_t
    workspaces_t workspaces;
    uint64_t version; ///< set by customers_set_all(); 0: not called yet
} customers_t;

void customers_init(customers_t *customers);
void customers_finish(customers_t *customers);
bool customers_set(customers_t *customers, const char *item_name,
                   slice_t value);
bool customers_set_all(customers_t *customers, GPtrArray *contracts,
                       GArray *workspaces, uint64_t version);
void customers_remove(customers_t *customers, const char *customer);
const contract_t *customers_find(const customers_t *customers, slice_t name);
const contract_t *customers_find_host(const customers_t *customers,
                                      slice_t host);

#endif
