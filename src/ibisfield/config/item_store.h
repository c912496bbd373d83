#ifndef IBISFIELD_CONFIG_ITEM_STORE_H
#define IBISFIELD_CONFIG_ITEM_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/slice.h"

/// One configuration item. The value is JSON text; a removed item has len 0.
typedef struct {
    const char *name; ///< "contract/<customer>" or "vm/<vm>"
    uint64_t version; ///< given by the platform; only grows
    slice_t value;
} config_item_t;

typedef enum {
    ADOPT_NEW,     ///< in force now
    ADOPT_OLD,     ///< version not above the one held: ignored
    ADOPT_REFUSED, ///< failed its checks; the version before stays in force
} adopt_t;

typedef struct item_store item_store_t;

/// Called for each item that has come into force; value.len 0: removed.
typedef void (*item_changed_t)(void *context, const config_item_t *item);
/// Checks a value before it is adopted; appends problems (char *).
typedef bool (*item_check_t)(void *context, const config_item_t *item,
                             void *problems);

void item_store_init(item_store_t *store, item_check_t check,
                     item_changed_t changed, void *context);
void item_store_finish(item_store_t *store);
adopt_t item_store_adopt(item_store_t *store, const config_item_t *item);
/// Version in force; 0 if the name is unknown.
uint64_t item_store_version(const item_store_t *store, const char *name);

#endif
