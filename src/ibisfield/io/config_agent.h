#ifndef IBISFIELD_IO_CONFIG_AGENT_H
#define IBISFIELD_IO_CONFIG_AGENT_H

#include <json-c/json.h>

#include "ibisfield/config/item_store.h"
#include "ibisfield/contract/settings_defs.h"
#include "ibisfield/io/loop.h"

/// The configuration of a node on the project's own platform: reads the
/// platform's lists, exchanges configuration items with other nodes and
/// reports the items that come into force.
typedef struct config_agent config_agent_t;

typedef struct {
    item_check_callback_t check;
    item_changed_callback_t changed;
    /// The start-up round has ended: the node has got its configuration from
    /// peers or the platform, and may serve requests.
    void (*ready)(void *context);
} config_agent_callbacks_t;

config_agent_t *config_agent_new(loop_t *loop, const settings_t *settings,
                                 const config_agent_callbacks_t *callbacks,
                                 void *context);
void config_agent_free(config_agent_t *agent);
void config_agent_write_status(const config_agent_t *agent,
                               struct json_object *status);

#endif
