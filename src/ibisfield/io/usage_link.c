/// @file
/// Reports of usage to keepers, and their shares in return. The keeper of a
/// data centre and that of the fleet are nodes chosen by rendezvous hashing
/// over the published list, so nodes with equal lists choose the same without
/// exchanging messages. No
/// traffic passes while there are no workspaces.

#include "ibisfield/io/usage_link.h"

#include <string.h>
#include <xxhash.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/config/control_codec.h"
#include "ibisfield/io/message.h"
#include "ibisfield/routing/subset.h"

#define TICK_US (50 * US_PER_MS)
#define IDLE_TICK_US US_PER_S
/// Time between two reports of a node with requests, in a data centre of up to
/// NODES_PER_INTERVAL nodes; in larger ones it grows with their number, so
/// that a keeper has no more than that many reports in this time.
#define REPORT_INTERVAL_US (200 * US_PER_MS)
#define NODES_PER_INTERVAL 100
/// The part of that time after which a node reports a surge.
#define SURGE_INTERVAL_DIVISOR 4
/// The same for a keeper of a data centre.
#define SUM_INTERVAL_US (100 * US_PER_MS)
/// Reports without counts keep a node among those that get a part of the caps.
#define IDLE_REPORT_INTERVAL_US (500 * US_PER_MS)
#define REPORT_TIMEOUT_US (300 * US_PER_MS)
#define CONNECT_TIMEOUT_US (200 * US_PER_MS)
/// For how long the second candidate is used when the first has failed.
#define SECOND_CANDIDATE_US (2 * US_PER_S)
/// Parts of the tolerance beyond a cap that are given out, so that requests
/// inside it aren't refused for want of precision. The rest covers reports on
/// their way when callers suddenly offer much more.
#define OVERAGE_RATIO_USED 0.2
#define OVERAGE_REQUESTS_USED 0.5
#define CONTENT_TYPE "application/cbor"
/// Hash of the choice of keepers, by level.
static const char *const chooser_names[USAGE_LEVELS] = {
    [USAGE_DATA_CENTRE] = "usage keeper of a data centre",
    [USAGE_FLEET] = "usage keeper of the fleet",
};

static int64_t
now_us(const usage_link_t *link)
{
    return clock_now_us(link->loop->clock);
}

/* Choice of the keepers. */

/// Returns the time between two reports of a node.
static int64_t
report_interval_us(const usage_link_t *link)
{
    uint32_t nodes = MAX(link->data_centre_nodes, NODES_PER_INTERVAL);
    return REPORT_INTERVAL_US * nodes / NODES_PER_INTERVAL;
}

/// A node that may be chosen.
typedef struct {
    uint64_t rank;
    const vm_info_t *info;
} candidate_t;

/// Keeps the candidates of lowest rank, in order.
static void
offer_candidate(candidate_t *best, uint32_t *count, usage_level_t level,
                const vm_info_t *info)
{
    candidate_t offered = {
        .rank = XXH3_64bits_withSeed(info->address, strlen(info->address),
                                     subset_name_hash(chooser_names[level])),
        .info = info,
    };
    uint32_t at = *count;
    for (uint32_t i = 0; i < *count; i++) {
        if (strcmp(best[i].info->address, info->address) == 0) {
            return;
        }
    }
    while (at > 0 && best[at - 1].rank > offered.rank) {
        if (at < USAGE_CANDIDATES) {
            best[at] = best[at - 1];
        }
        at--;
    }
    if (at < USAGE_CANDIDATES) {
        best[at] = offered;
        *count = MIN(*count + 1, USAGE_CANDIDATES);
    }
}

static void
set_candidates(usage_channel_t *channel, const candidate_t *best,
               uint32_t count)
{
    channel->candidate_count = count;
    channel->chosen = 0;
    for (uint32_t i = 0; i < count; i++) {
        endpoint_t *endpoint = &channel->candidates[i];
        g_strlcpy(endpoint->address, best[i].info->address,
                  sizeof(endpoint->address));
        endpoint->port = best[i].info->is_own ? 0 : best[i].info->peer_port;
    }
}

/// Counts the nodes and chooses the keepers.
static void
choose_keepers(usage_link_t *link)
{
    candidate_t best[USAGE_LEVELS][USAGE_CANDIDATES];
    uint32_t counts[USAGE_LEVELS] = {0};
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    link->data_centre_nodes = 0;
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, link->vms->vms);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const vm_info_t *info = pointer;
        bool local =
            strcmp(info->data_centre, link->settings->data_centre) == 0;
        bool is_new = g_hash_table_add(seen, (void *)info->address);
        link->data_centre_nodes += is_new && local ? 1 : 0;
        if (info->draining) {
            continue;
        }
        offer_candidate(best[USAGE_FLEET], &counts[USAGE_FLEET], USAGE_FLEET,
                        info);
        if (local) {
            offer_candidate(best[USAGE_DATA_CENTRE],
                            &counts[USAGE_DATA_CENTRE], USAGE_DATA_CENTRE,
                            info);
        }
    }
    link->nodes = g_hash_table_size(seen);
    usage_gate_set_nodes(link->gate, link->nodes, report_interval_us(link));
    g_hash_table_destroy(seen);
    for (int level = 0; level < USAGE_LEVELS; level++) {
        set_candidates(&link->channels[level], best[level], counts[level]);
    }
    link->vms_changed = false;
}

/* Reports. */

static usage_caps_t
current_caps(const usage_link_t *link)
{
    const settings_t *settings = link->settings;
    double window_s = settings->usage_window_s;
    return (usage_caps_t){
        .workspaces = link->workspaces,
        .nodes = link->nodes,
        .tolerated_ratio = OVERAGE_RATIO_USED * settings->usage_overage_ratio,
        .tolerated_per_s =
            window_s > 0 ? OVERAGE_REQUESTS_USED *
                               settings->usage_overage_requests / window_s
                         : 0,
    };
}

static void
take_counts(usage_channel_t *channel)
{
    usage_link_t *link = channel->link;
    g_array_set_size(channel->counts, 0);
    if (channel->level == USAGE_DATA_CENTRE) {
        usage_gate_take_counts(link->gate, channel->counts);
    }
    else {
        usage_keeper_take_counts(&link->keepers[USAGE_DATA_CENTRE],
                                 channel->counts);
    }
}

static void
apply_shares(usage_channel_t *channel, const GArray *shares)
{
    usage_link_t *link = channel->link;
    g_array_set_size(channel->counts, 0);
    if (channel->level == USAGE_DATA_CENTRE) {
        usage_gate_apply_shares(link->gate, shares);
    }
    else {
        usage_keeper_apply_shares(&link->keepers[USAGE_DATA_CENTRE], shares);
    }
}

/// Keeps the counts of a failed report for the next one, and turns to the
/// other candidate.
static void
handle_report_failure(usage_channel_t *channel, const char *error)
{
    usage_link_t *link = channel->link;
    metric_increment(METRIC_CONTROL_EXCHANGES_FAILED);
    log_info("usage_report_failed", "level=%d keeper=%s error=\"%s\"",
             channel->level, channel->pool_endpoint.address, error);
    if (channel->level == USAGE_DATA_CENTRE) {
        usage_gate_restore_counts(link->gate, channel->counts);
    }
    else {
        usage_keeper_restore_counts(&link->keepers[USAGE_DATA_CENTRE],
                                    channel->counts);
    }
    g_array_set_size(channel->counts, 0);
    channel->chosen = (channel->chosen + 1) % MAX(channel->candidate_count, 1);
    channel->retry_first_us = now_us(link) + SECOND_CANDIDATE_US;
}

static void
handle_reply(void *context, const http_response_t *response)
{
    usage_channel_t *channel = context;
    control_message_t message;
    uint64_t version = 0;
    channel->exchange = NULL;
    if (response->result != HTTP_COMPLETE) {
        handle_report_failure(channel, response->error);
        return;
    }
    if (control_decode(&message, response->body, &version) != DECODE_OK) {
        metric_increment(METRIC_CONTROL_MESSAGES_INVALID);
        handle_report_failure(channel, "not a valid control message");
        return;
    }
    control_count_received(message.type, response->body.len);
    if (message.type == CONTROL_SHARES) {
        apply_shares(channel, message.shares);
    }
    else {
        handle_report_failure(channel, control_type_name(message.type));
    }
    control_message_clear(&message);
}

/// Returns which part of the requests is refused for want of room, at this
/// node or at those that report to its keeper.
static uint32_t
refused_permille(const usage_channel_t *channel)
{
    const usage_link_t *link = channel->link;
    return channel->level == USAGE_DATA_CENTRE
               ? entry_throttle_refused_permille(link->throttle)
               : usage_keeper_refused_permille(
                     &link->keepers[USAGE_DATA_CENTRE]);
}

static void
report_to_self(usage_channel_t *channel, uint32_t weight)
{
    usage_link_t *link = channel->link;
    usage_caps_t caps = current_caps(link);
    usage_report_t report = {
        .reporter = subset_name_hash(link->settings->vm),
        .weight = weight,
        .refused_permille = refused_permille(channel),
        .counts = channel->counts,
    };
    GArray *shares = g_array_new(FALSE, FALSE, sizeof(usage_share_t));
    usage_keeper_report(&link->keepers[channel->level], &caps, &report,
                        shares);
    apply_shares(channel, shares);
    g_array_free(shares, TRUE);
}

static void
use_pool(usage_channel_t *channel, const endpoint_t *keeper)
{
    if (channel->pool != NULL && channel->pool_endpoint.port == keeper->port &&
        strcmp(channel->pool_endpoint.address, keeper->address) == 0)
    {
        return;
    }
    g_clear_pointer(&channel->pool, http_pool_release);
    channel->pool_endpoint = *keeper;
    channel->pool = http_pool_new_with_options(
        channel->link->loop,
        &(http_pool_options_t){
            .endpoint = *keeper,
            .connections_max = 1,
            .max_response_bytes = CONTROL_MESSAGE_MAX_BYTES,
            .connect_timeout_us = CONNECT_TIMEOUT_US,
        });
}

static void
report_to_node(usage_channel_t *channel, uint32_t weight)
{
    usage_link_t *link = channel->link;
    control_message_t message;
    control_message_init(&message,
                         channel->level == USAGE_DATA_CENTRE
                             ? CONTROL_USAGE
                             : CONTROL_USAGE_SUM,
                         link->settings->vm);
    message.weight = weight;
    message.refused_permille = refused_permille(channel);
    if (channel->counts->len > 0) {
        g_array_append_vals(message.counts, channel->counts->data,
                            channel->counts->len);
    }
    GByteArray *bytes = g_byte_array_new();
    control_encode(&message, bytes);
    control_count_sent(message.type, bytes->len);
    control_message_clear(&message);
    const http_header_t headers[] = {
        {SLICE_LITERAL("host"), SLICE_LITERAL("node")},
        {SLICE_LITERAL("content-type"), SLICE_LITERAL(CONTENT_TYPE)},
        {SLICE_LITERAL(HEADER_PROTOCOL), SLICE_LITERAL(PROTOCOL_VERSION)},
        {SLICE_LITERAL(HEADER_CONTROL), SLICE_LITERAL(USAGE_CONTROL)},
    };
    channel->exchange =
        http_exchange_start(channel->pool, SLICE_LITERAL("POST"),
                            SLICE_LITERAL("/"), headers, G_N_ELEMENTS(headers),
                            (slice_t){(const char *)bytes->data, bytes->len},
                            REPORT_TIMEOUT_US, handle_reply, channel);
    g_byte_array_unref(bytes);
}

static void
send_report(usage_channel_t *channel, uint32_t weight)
{
    int64_t time_us = now_us(channel->link);
    if (channel->chosen != 0 && time_us >= channel->retry_first_us) {
        channel->chosen = 0;
    }
    const endpoint_t *keeper = &channel->candidates[channel->chosen];
    channel->reported_us = time_us;
    take_counts(channel);
    if (keeper->port == 0) {
        report_to_self(channel, weight);
    }
    else {
        use_pool(channel, keeper);
        report_to_node(channel, weight);
    }
}

static void
report_if_due(usage_channel_t *channel, int64_t interval_us, bool has_counts,
              uint32_t weight)
{
    if (!has_counts) {
        interval_us = MAX(interval_us, IDLE_REPORT_INTERVAL_US);
    }
    if (channel->exchange == NULL && channel->candidate_count > 0 &&
        weight > 0 &&
        now_us(channel->link) - channel->reported_us >= interval_us)
    {
        send_report(channel, weight);
    }
}

static void
tick(void *context)
{
    usage_link_t *link = context;
    if (link->has_workspaces) {
        if (link->vms_changed) {
            choose_keepers(link);
        }
        usage_keeper_t *own = &link->keepers[USAGE_DATA_CENTRE];
        int64_t interval_us = report_interval_us(link);
        if (usage_gate_has_surge(link->gate)) {
            interval_us /= SURGE_INTERVAL_DIVISOR;
        }
        report_if_due(&link->channels[USAGE_DATA_CENTRE], interval_us,
                      usage_gate_has_counts(link->gate), 1);
        report_if_due(&link->channels[USAGE_FLEET], SUM_INTERVAL_US,
                      own->unreported->len > 0, usage_keeper_weight(own));
    }
    loop_timer_start(link->loop, &link->tick_timer,
                     link->has_workspaces ? TICK_US : IDLE_TICK_US, tick,
                     link);
}

static void
log_cap_change(void *context, const usage_cap_change_t *change)
{
    usage_link_t *link = context;
    if (log_limit_allows(&link->log_limit, link->loop->clock)) {
        log_info("usage_cap_binding",
                 "workspace=%.*s binding=%d demand_per_s=%.1f "
                 "admitted_per_s=%.1f cap_per_s=%.1f nodes=%u",
                 LOGGED_NAME_MAX, change->workspace->name, change->binding,
                 change->demand_per_s, change->admitted_per_s,
                 change->workspace->rate_per_s, change->nodes);
    }
}

/// Initialises the link. It sends nothing before there is a workspace.
void
usage_link_init(usage_link_t *link, loop_t *loop, const settings_t *settings,
                const vm_view_t *vms, const workspaces_t *workspaces,
                usage_gate_t *gate, const entry_throttle_t *throttle)
{
    *link = (usage_link_t){
        .loop = loop,
        .settings = settings,
        .vms = vms,
        .workspaces = workspaces,
        .gate = gate,
        .throttle = throttle,
        .nodes = 1,
    };
    for (int level = 0; level < USAGE_LEVELS; level++) {
        usage_keeper_init(&link->keepers[level], loop->clock,
                          level == USAGE_DATA_CENTRE, log_cap_change, link);
        link->channels[level] = (usage_channel_t){
            .link = link,
            .level = (usage_level_t)level,
            .counts = g_array_new(FALSE, FALSE, sizeof(usage_count_t)),
        };
    }
    tick(link);
}

void
usage_link_finish(usage_link_t *link)
{
    loop_timer_stop(link->loop, &link->tick_timer);
    for (int level = 0; level < USAGE_LEVELS; level++) {
        usage_channel_t *channel = &link->channels[level];
        if (channel->exchange != NULL) {
            http_exchange_cancel(channel->exchange);
        }
        g_clear_pointer(&channel->pool, http_pool_release);
        g_array_free(channel->counts, TRUE);
        usage_keeper_finish(&link->keepers[level]);
    }
}

/// Notes that the list of VMs has changed.
void
usage_link_vms_changed(usage_link_t *link)
{
    link->vms_changed = true;
}

/// Notes that other workspaces are in force.
void
usage_link_workspaces_changed(usage_link_t *link)
{
    bool had_workspaces = link->has_workspaces;
    link->has_workspaces = g_hash_table_size(link->workspaces->by_id) > 0;
    usage_gate_retain(link->gate, link->workspaces);
    if (link->has_workspaces && !had_workspaces) {
        loop_timer_stop(link->loop, &link->tick_timer);
        tick(link);
    }
}

static void
respond(http_request_t *request, const control_message_t *message)
{
    GByteArray *bytes = g_byte_array_new();
    control_encode(message, bytes);
    control_count_sent(message->type, bytes->len);
    const http_header_t header = {SLICE_LITERAL("content-type"),
                                  SLICE_LITERAL(CONTENT_TYPE)};
    http_request_respond(request, 200, &header, 1,
                         (slice_t){(const char *)bytes->data, bytes->len});
    g_byte_array_unref(bytes);
}

/// Handles a report of another node. It is answered at once.
void
usage_link_handle(usage_link_t *link, http_request_t *request)
{
    control_message_t message;
    control_message_t reply;
    uint64_t version = 0;
    bool valid =
        control_decode(&message, request->body, &version) == DECODE_OK;
    if (!valid ||
        (message.type != CONTROL_USAGE && message.type != CONTROL_USAGE_SUM))
    {
        metric_increment(METRIC_CONTROL_MESSAGES_INVALID);
        control_message_init(&reply, CONTROL_REFUSED, link->settings->vm);
        reply.reason = "not a report of usage";
    }
    else {
        control_count_received(message.type, request->body.len);
        control_message_init(&reply, CONTROL_SHARES, link->settings->vm);
        usage_level_t level =
            message.type == CONTROL_USAGE ? USAGE_DATA_CENTRE : USAGE_FLEET;
        usage_caps_t caps = current_caps(link);
        usage_report_t report = {
            .reporter = subset_name_hash(message.sender),
            .weight = message.weight,
            .refused_permille = MIN(message.refused_permille, 1000),
            .counts = message.counts,
        };
        usage_keeper_report(&link->keepers[level], &caps, &report,
                            reply.shares);
    }
    respond(request, &reply);
    control_message_clear(&reply);
    if (valid) {
        control_message_clear(&message);
    }
}

/// Adds the object "usage" to @p status: the keeper that this node reports to,
/// how many nodes report here, the workspaces of which a cap refuses a part,
/// and how often a scarce service refuses one, relative to the mean (1000).
void
usage_link_write_status(const usage_link_t *link, struct json_object *status)
{
    const usage_channel_t *channel = &link->channels[USAGE_DATA_CENTRE];
    struct json_object *usage = json_object_new_object();
    struct json_object *limited = json_object_new_object();
    struct json_object *refused = json_object_new_object();
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, link->workspaces->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const workspace_entry_t *entry = pointer;
        uint32_t permille = usage_gate_permille(link->gate, entry->id);
        if (permille < USAGE_ADMIT_ALL) {
            json_object_object_add(limited, entry->workspace.name,
                                   json_object_new_int64(permille));
        }
        double factor = usage_gate_refusal_factor(link->gate, entry->id);
        if (factor != 1.0) {
            json_object_object_add(
                refused, entry->workspace.name,
                json_object_new_int64((int64_t)(factor * 1000.0)));
        }
    }
    json_object_object_add(
        usage, "keeper",
        json_object_new_string(
            channel->candidate_count == 0
                ? ""
                : channel->candidates[channel->chosen].address));
    json_object_object_add(
        usage, "informed",
        json_object_new_boolean(usage_gate_is_informed(link->gate)));
    json_object_object_add(usage, "nodes", json_object_new_int64(link->nodes));
    json_object_object_add(usage, "admitted_permille", limited);
    json_object_object_add(usage, "refusal_permille", refused);
    json_object_object_add(status, "usage", usage);
}
