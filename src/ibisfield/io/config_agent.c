/// @file
/// Connects the replicator to the platform client, the control link and the
/// event loop, and reports the items that come into force.

#include "ibisfield/io/config_agent.h"

#include <inttypes.h>

#include "ibisfield/base/log.h"
#include "ibisfield/config/replicator.h"
#include "ibisfield/io/control_link.h"
#include "ibisfield/io/platform_client.h"

static const char *const list_prefixes[LIST_COUNT] = {"contract/", "vm/"};

typedef struct {
    config_agent_t *agent;
    config_list_t id;
    platform_client_t client;
    bool url_valid;
    loop_timer_t failure_timer; ///< reports a read that can't be started
} platform_list_t;

struct config_agent {
    replicator_io_t io; ///< must be first
    loop_t *loop;
    config_agent_callbacks_t callbacks;
    void *context;
    replicator_t replicator;
    control_link_t *link;
    platform_list_t lists[LIST_COUNT];
    loop_timer_t tick_timer;
};

static config_agent_t *
agent_of(replicator_io_t *io)
{
    return (config_agent_t *)io;
}

static void
io_send(replicator_io_t *io, const config_peer_t *peers, uint32_t count,
        const control_message_t *message, uint64_t exchange_id)
{
    control_link_send(agent_of(io)->link, peers, count, message, exchange_id);
}

static void
report_invalid_url(void *context)
{
    platform_list_t *list = context;
    replicator_handle_list(&list->agent->replicator, list->id,
                           &(list_read_result_t){.ok = false});
}

static void
io_read_list(replicator_io_t *io, config_list_t id, uint64_t since,
             int64_t wait_ms)
{
    platform_list_t *list = &agent_of(io)->lists[id];
    if (list->url_valid) {
        platform_client_read(&list->client, since, wait_ms);
        return;
    }
    loop_timer_start(list->agent->loop, &list->failure_timer, 0,
                     report_invalid_url, list);
}

static void
io_cancel_read(replicator_io_t *io, config_list_t id)
{
    platform_list_t *list = &agent_of(io)->lists[id];
    loop_timer_stop(list->agent->loop, &list->failure_timer);
    if (list->url_valid) {
        platform_client_cancel(&list->client);
    }
}

static bool
io_check(replicator_io_t *io, const config_item_t *item, GPtrArray *problems)
{
    config_agent_t *agent = agent_of(io);
    return agent->callbacks.check(agent->context, item, problems);
}

static void
io_changed(replicator_io_t *io, const config_item_t *item)
{
    config_agent_t *agent = agent_of(io);
    // VM items are many: 16,000 in a full list.
    if (item_is_vm(item->name)) {
        log_debug("config_item_in_force", "name=%s version=%" PRIu64,
                  item->name, item->version);
    }
    else {
        log_info("config_item_in_force",
                 "name=%s version=%" PRIu64 " removed=%d", item->name,
                 item->version, item->value.len == 0);
    }
    agent->callbacks.changed(agent->context, item);
}

static void
io_ready(replicator_io_t *io)
{
    config_agent_t *agent = agent_of(io);
    agent->callbacks.ready(agent->context);
}

static const replicator_io_vtable_t io_vtable = {
    io_send, io_read_list, io_cancel_read, io_check, io_changed, io_ready,
};

static const control_message_t *
handle_request(void *context, const control_message_t *request)
{
    config_agent_t *agent = context;
    return replicator_handle_request(&agent->replicator, request);
}

static void
handle_reply(void *context, uint64_t exchange_id,
             const control_message_t *reply)
{
    config_agent_t *agent = context;
    replicator_handle_reply(&agent->replicator, exchange_id, reply);
}

static void
handle_list_read(void *context, const platform_response_t *response)
{
    platform_list_t *list = context;
    list_read_result_t result = {response->error == NULL, response->revision,
                                 response->items, response->item_count};
    if (response->error != NULL) {
        log_debug("platform_read_error", "prefix=%s error=\"%s\"",
                  list_prefixes[list->id], response->error);
    }
    replicator_handle_list(&list->agent->replicator, list->id, &result);
}

static void
tick(void *context)
{
    config_agent_t *agent = context;
    replicator_tick(&agent->replicator);
    loop_timer_start(agent->loop, &agent->tick_timer, REPLICATOR_TICK_US, tick,
                     agent);
}

static void
init_list(config_agent_t *agent, config_list_t id, const char *url)
{
    platform_list_t *list = &agent->lists[id];
    list->agent = agent;
    list->id = id;
    list->url_valid =
        platform_client_init(&list->client, agent->loop, url,
                             list_prefixes[id], handle_list_read, list);
    if (!list->url_valid) {
        log_warning("platform_url_invalid", "prefix=%s url=\"%s\"",
                    list_prefixes[id], url);
    }
}

static void
init_replicator(config_agent_t *agent, const settings_t *settings)
{
    replicator_options_t options = {
        .vm = settings->vm,
        .data_centre = settings->data_centre,
        .own_endpoint = settings->control_listen,
        .seeds = settings->seeds,
        .seed_count = settings->seed_count,
        .random_seed = g_random_int(),
    };
    agent->io.vtable = &io_vtable;
    replicator_init(&agent->replicator, agent->loop->clock, &agent->io,
                    &options);
}

/// Creates an agent and starts its start-up round, which compares with peers
/// and reads the platform. @p settings isn't used after the call. Returns NULL
/// if the control address can't be used; the reason is logged.
config_agent_t *
config_agent_new(loop_t *loop, const settings_t *settings,
                 const config_agent_callbacks_t *callbacks, void *context)
{
    GError *error = NULL;
    config_agent_t *agent = g_new0(config_agent_t, 1);
    agent->loop = loop;
    agent->callbacks = *callbacks;
    agent->context = context;
    agent->link = control_link_new(
        loop, &settings->control_listen, settings->vm,
        &(control_link_callbacks_t){handle_request, handle_reply}, agent,
        &error);
    if (agent->link == NULL) {
        log_warning("control_listen_failed", "error=\"%s\"", error->message);
        g_error_free(error);
        g_free(agent);
        return NULL;
    }
    init_replicator(agent, settings);
    init_list(agent, LIST_CONTRACTS, settings->config_url);
    init_list(agent, LIST_VMS, settings->list_url);
    replicator_start(&agent->replicator);
    loop_timer_start(loop, &agent->tick_timer, REPLICATOR_TICK_US, tick,
                     agent);
    return agent;
}

void
config_agent_free(config_agent_t *agent)
{
    loop_timer_stop(agent->loop, &agent->tick_timer);
    control_link_free(agent->link);
    for (int i = 0; i < LIST_COUNT; i++) {
        loop_timer_stop(agent->loop, &agent->lists[i].failure_timer);
        if (agent->lists[i].url_valid) {
            platform_client_finish(&agent->lists[i].client);
        }
    }
    replicator_finish(&agent->replicator);
    g_free(agent);
}

static struct json_object *
refused_items(const item_store_t *store)
{
    struct json_object *refused = json_object_new_array();
    GHashTableIter iter;
    void *key = NULL;
    g_hash_table_iter_init(&iter, store->refused);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const stored_item_t *item = key;
        struct json_object *object = json_object_new_object();
        json_object_object_add(object, "name",
                               json_object_new_string(item->name));
        json_object_object_add(object, "version",
                               json_object_new_uint64(item->refused_version));
        json_object_object_add(object, "in_force",
                               json_object_new_uint64(item->version));
        json_object_object_add(object, "problems",
                               json_object_new_string(item->refused_reason));
        json_object_array_add(refused, object);
    }
    return refused;
}

/// Returns the name and version of each contract in force. Removed items,
/// whose value has the length 0, are left out.
static struct json_object *
contracts_in_force(const item_store_t *store)
{
    struct json_object *contracts = json_object_new_object();
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, store->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const stored_item_t *item = value;
        if (!item_is_vm(item->name) && item->value_len != 0) {
            json_object_object_add(contracts, item->name,
                                   json_object_new_uint64(item->version));
        }
    }
    return contracts;
}

static struct json_object *
live_peers(const control_link_t *link)
{
    struct json_object *list = json_object_new_array();
    GPtrArray *peers = control_link_live_peers(link);
    for (guint i = 0; i < peers->len; i++) {
        json_object_array_add(list, json_object_new_string(peers->pdata[i]));
    }
    g_ptr_array_unref(peers);
    return list;
}

/// Adds the object "configuration" to @p status: readiness, whether this node
/// is a reader, the digest and number of items, the number of peers, the live
/// peers, the revision of each list, the contracts in force with their
/// versions, and refused versions with their problems.
void
config_agent_write_status(const config_agent_t *agent,
                          struct json_object *status)
{
    const replicator_t *replicator = &agent->replicator;
    struct json_object *configuration = json_object_new_object();
    char digest[17];
    g_snprintf(digest, sizeof(digest), "%016" PRIx64,
               replicator->store.digest);
    json_object_object_add(
        configuration, "ready",
        json_object_new_boolean(replicator_is_ready(replicator)));
    json_object_object_add(configuration, "reader",
                           json_object_new_boolean(replicator_is_reader(
                               (replicator_t *)replicator)));
    json_object_object_add(configuration, "digest",
                           json_object_new_string(digest));
    json_object_object_add(
        configuration, "items",
        json_object_new_uint64(replicator->store.in_force_count));
    json_object_object_add(
        configuration, "peers",
        json_object_new_uint64(control_link_peer_count(agent->link)));
    json_object_object_add(configuration, "live_peers",
                           live_peers(agent->link));
    for (int i = 0; i < LIST_COUNT; i++) {
        json_object_object_add(
            configuration, i == LIST_VMS ? "vm_revision" : "contract_revision",
            json_object_new_uint64(replicator->lists[i].revision));
    }
    json_object_object_add(configuration, "contracts",
                           contracts_in_force(&replicator->store));
    json_object_object_add(configuration, "refused",
                           refused_items(&replicator->store));
    json_object_object_add(status, "configuration", configuration);
}
