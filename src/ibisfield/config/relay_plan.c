/// @file
/// Readers and relay trees of one data centre. Both are derived from the list
/// of VMs by rendezvous hashing: VMs are ordered by scores that are hashes of
/// their names. So nodes with equal lists agree without communication, and a
/// change of the list affects few nodes.

#include "ibisfield/config/relay_plan.h"

#include <xxhash.h>

typedef struct {
    uint64_t score;
    const vm_info_t *info;
} scored_vm_t;

void
relay_plan_init(relay_plan_t *plan)
{
    *plan = (relay_plan_t){.own_rank = RANK_NONE};
    plan->local_peers = g_array_new(FALSE, FALSE, sizeof(config_peer_t));
}

void
relay_plan_finish(relay_plan_t *plan)
{
    g_array_free(plan->local_peers, TRUE);
}

static int
compare_scores(const void *left, const void *right)
{
    const scored_vm_t *a = left;
    const scored_vm_t *b = right;
    if (a->score != b->score) {
        return a->score > b->score ? -1 : 1;
    }
    return strcmp(a->info->vm, b->info->vm);
}

/// Sorts VMs by descending score. Another salt gives another order.
static void
sort_by_hash(GArray *vms, const char *salt)
{
    uint64_t seed = XXH3_64bits(salt, strlen(salt));
    for (guint i = 0; i < vms->len; i++) {
        scored_vm_t *scored = &g_array_index(vms, scored_vm_t, i);
        scored->score = XXH3_64bits_withSeed(scored->info->vm,
                                             strlen(scored->info->vm), seed);
    }
    g_array_sort(vms, compare_scores);
}

/// Returns the name and control address of a VM.
config_peer_t
vm_info_peer(const vm_info_t *info)
{
    config_peer_t peer;
    g_strlcpy(peer.vm, info->vm, sizeof(peer.vm));
    g_strlcpy(peer.endpoint.address, info->address,
              sizeof(peer.endpoint.address));
    peer.endpoint.port = info->control_port;
    return peer;
}

static GArray *
collect_vms(const vm_view_t *view, const char *data_centre)
{
    GArray *vms = g_array_new(FALSE, FALSE, sizeof(scored_vm_t));
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, view->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        scored_vm_t scored = {0, value};
        if (strcmp(scored.info->data_centre, data_centre) == 0) {
            g_array_append_val(vms, scored);
        }
    }
    return vms;
}

/// Ranks only VMs that aren't draining, since a draining one would soon have
/// to be replaced. If all are draining, they are ranked nevertheless.
static void
rank_readers(relay_plan_t *plan, GArray *vms, const char *data_centre)
{
    sort_by_hash(vms, data_centre);
    for (int pass = 0; pass < 2 && plan->rank_count == 0; pass++) {
        for (guint i = 0; i < vms->len && plan->rank_count < READER_RANKS_MAX;
             i++) {
            const scored_vm_t *scored = &g_array_index(vms, scored_vm_t, i);
            if (pass == 1 || !scored->info->draining) {
                plan->ranks[plan->rank_count++] = vm_info_peer(scored->info);
            }
        }
    }
}

/// Determines the node's children in the tree whose root is the reader of one
/// rank. The tree is complete and laid out as an array: the root is at
/// position 0, the other VMs follow by their scores with the root's name as
/// salt, and the children of position p begin at p * RELAY_FAN_OUT + 1.
static void
plan_tree(relay_plan_t *plan, GArray *vms, uint32_t rank, const char *own_vm)
{
    const char *root = plan->ranks[rank].vm;
    sort_by_hash(vms, root);
    guint own_position = vms->len;
    guint position = 0;
    GArray *order =
        g_array_sized_new(FALSE, FALSE, sizeof(vm_info_t *), vms->len);
    for (guint i = 0; i < vms->len; i++) {
        const vm_info_t *info = g_array_index(vms, scored_vm_t, i).info;
        if (strcmp(info->vm, root) == 0) {
            g_array_prepend_val(order, info);
        }
        else {
            g_array_append_val(order, info);
        }
    }
    for (; position < order->len; position++) {
        const vm_info_t *info = g_array_index(order, vm_info_t *, position);
        if (strcmp(info->vm, own_vm) == 0) {
            own_position = position;
        }
    }
    guint first = own_position * RELAY_FAN_OUT + 1;
    for (guint i = first; i < first + RELAY_FAN_OUT && i < order->len; i++) {
        plan->children[rank][plan->child_count[rank]++] =
            vm_info_peer(g_array_index(order, vm_info_t *, i));
    }
    g_array_free(order, TRUE);
}

/// Rebuilds the plan of @p own_vm in @p data_centre.
void
relay_plan_build(relay_plan_t *plan, const vm_view_t *view,
                 const char *data_centre, const char *own_vm)
{
    GArray *local_peers = plan->local_peers;
    g_array_set_size(local_peers, 0);
    *plan = (relay_plan_t){.local_peers = local_peers};
    GArray *vms = collect_vms(view, data_centre);
    rank_readers(plan, vms, data_centre);
    plan->own_rank = relay_plan_rank(plan, own_vm);
    for (guint i = 0; i < vms->len; i++) {
        const vm_info_t *info = g_array_index(vms, scored_vm_t, i).info;
        if (strcmp(info->vm, own_vm) == 0) {
            plan->own_listed = true;
            continue;
        }
        config_peer_t peer = vm_info_peer(info);
        g_array_append_val(local_peers, peer);
    }
    for (uint32_t rank = 0; plan->own_listed && rank < plan->rank_count;
         rank++) {
        plan_tree(plan, vms, rank, own_vm);
    }
    g_array_free(vms, TRUE);
}

/// Returns the rank of a VM, RANK_NONE if it has none.
uint32_t
relay_plan_rank(const relay_plan_t *plan, const char *vm)
{
    for (uint32_t rank = 0; rank < plan->rank_count; rank++) {
        if (strcmp(plan->ranks[rank].vm, vm) == 0) {
            return rank;
        }
    }
    return RANK_NONE;
}
