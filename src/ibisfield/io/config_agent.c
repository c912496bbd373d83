/// @file
/// Connects the configuration core to the platform and reports what comes into
/// force.

#include "ibisfield/io/config_agent.h"

#include <inttypes.h>

#include "ibisfield/base/log.h"
#include "ibisfield/config/vm_view.h"
#include "ibisfield/io/platform_client.h"

#define WATCH_WAIT_MS 10000
#define RETRY_DELAY_US (500 * US_PER_MS)

typedef enum { LIST_CONTRACTS, LIST_VMS, LIST_COUNT } list_t;

static const char *const list_prefixes[LIST_COUNT] = {"contract/", "vm/"};

typedef struct {
    config_agent_t *agent;
    platform_client_t client;
    loop_timer_t retry_timer;
    uint64_t revision;
    bool answered;
    bool failing;
} platform_list_t;

struct config_agent {
    loop_t *loop;
    config_agent_callbacks_t callbacks;
    void *context;
    item_store_t store;
    platform_list_t lists[LIST_COUNT];
    bool ready;
};

static bool
check_item(void *context, const config_item_t *item, void *problems)
{
    config_agent_t *agent = context;
    vm_info_t info;
    if (item_is_vm(item->name)) {
        return vm_info_parse(&info, item, problems);
    }
    return agent->callbacks.check(agent->context, item, problems);
}

static void
item_changed(void *context, const config_item_t *item)
{
    config_agent_t *agent = context;
    log_info("config_item_in_force", "name=%s version=%" PRIu64 " removed=%d",
             item->name, item->version, item->value.len == 0);
    agent->callbacks.changed(agent->context, item);
}

static uint64_t
item_group(void *context, const config_item_t *item)
{
    (void)context;
    return item_is_vm(item->name);
}

static void
watch_list(void *context)
{
    platform_list_t *list = context;
    platform_client_read(&list->client, list->revision,
                         list->answered ? WATCH_WAIT_MS : 0);
}

static void
check_ready(config_agent_t *agent)
{
    if (agent->ready || !agent->lists[LIST_CONTRACTS].answered ||
        !agent->lists[LIST_VMS].answered)
    {
        return;
    }
    agent->ready = true;
    agent->callbacks.ready(agent->context);
}

static void
list_failed(platform_list_t *list, const char *error)
{
    if (!list->failing) {
        log_warning("platform_read_failed", "prefix=%s error=\"%s\"",
                    list->client.prefix, error);
    }
    list->failing = true;
    loop_timer_start(list->agent->loop, &list->retry_timer, RETRY_DELAY_US,
                     watch_list, list);
}

static void
list_read(void *context, const platform_answer_t *answer)
{
    platform_list_t *list = context;
    config_agent_t *agent = list->agent;
    if (answer->error != NULL) {
        list_failed(list, answer->error);
        return;
    }
    if (list->failing) {
        log_info("platform_read_recovered", "prefix=%s", list->client.prefix);
    }
    list->failing = false;
    for (size_t i = 0; i < answer->item_count; i++) {
        item_store_adopt(&agent->store, &answer->items[i]);
    }
    list->revision = answer->revision;
    list->answered = true;
    check_ready(agent);
    loop_timer_start(agent->loop, &list->retry_timer, 0, watch_list, list);
}

static void
start_list(config_agent_t *agent, list_t which, const char *url)
{
    platform_list_t *list = &agent->lists[which];
    list->agent = agent;
    if (!platform_client_init(&list->client, agent->loop, url,
                              list_prefixes[which], list_read, list))
    {
        log_warning("platform_url_invalid", "prefix=%s url=\"%s\"",
                    list_prefixes[which], url);
        return;
    }
    watch_list(list);
}

/// Starts to read configuration. @p settings is copied where needed.
config_agent_t *
config_agent_new(loop_t *loop, const settings_t *settings,
                 const config_agent_callbacks_t *callbacks, void *context)
{
    config_agent_t *agent = g_new0(config_agent_t, 1);
    agent->loop = loop;
    agent->callbacks = *callbacks;
    agent->context = context;
    item_store_init(&agent->store,
                    &(item_hooks_t){check_item, item_changed, item_group},
                    agent);
    start_list(agent, LIST_CONTRACTS, settings->config_url);
    start_list(agent, LIST_VMS, settings->list_url);
    return agent;
}

void
config_agent_free(config_agent_t *agent)
{
    for (int i = 0; i < LIST_COUNT; i++) {
        loop_timer_stop(agent->loop, &agent->lists[i].retry_timer);
        platform_client_finish(&agent->lists[i].client);
    }
    item_store_finish(&agent->store);
    g_free(agent);
}

static void
write_refused(const item_store_t *store, struct json_object *status)
{
    struct json_object *refused = json_object_new_array();
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, store->items);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const stored_item_t *item = pointer;
        if (item->refused_version == 0) {
            continue;
        }
        struct json_object *entry = json_object_new_object();
        json_object_object_add(entry, "name",
                               json_object_new_string(item->name));
        json_object_object_add(entry, "version",
                               json_object_new_uint64(item->refused_version));
        json_object_object_add(entry, "in_force",
                               json_object_new_uint64(item->version));
        json_object_object_add(entry, "problems",
                               json_object_new_string(item->refused_why));
        json_object_array_add(refused, entry);
    }
    json_object_object_add(status, "refused", refused);
}

static void
write_contracts(const item_store_t *store, struct json_object *status)
{
    struct json_object *contracts = json_object_new_object();
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, store->items);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const stored_item_t *item = pointer;
        if (!item_is_vm(item->name) && item->value_len != 0) {
            json_object_object_add(contracts, item->name,
                                   json_object_new_uint64(item->version));
        }
    }
    json_object_object_add(status, "contracts", contracts);
}

/// Adds the object "configuration" to @p status: versions of contracts in
/// force, refused versions with their problems, revisions read.
void
config_agent_write_status(const config_agent_t *agent,
                          struct json_object *status)
{
    struct json_object *own = json_object_new_object();
    json_object_object_add(own, "ready",
                           json_object_new_boolean(agent->ready));
    json_object_object_add(
        own, "items", json_object_new_uint64(agent->store.in_force_count));
    write_contracts(&agent->store, own);
    write_refused(&agent->store, own);
    json_object_object_add(status, "configuration", own);
}
