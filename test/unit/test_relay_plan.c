/// @file
/// Ranking of readers and construction of relay trees.

#include "ibisfield/config/relay_plan.h"

#include "common/suite.h"

#define VMS 200

static void
put_vm(vm_view_t *view, int index, const char *data_centre, bool draining)
{
    vm_info_t info = {
        .vm = g_strdup_printf("vm%d", index),
        .data_centre = g_strdup(data_centre),
        .address = "10.0.0.1",
        .control_port = (uint16_t)(index + 1),
        .draining = draining,
    };
    vm_view_put(view, &info);
    vm_info_finish(&info);
}

static void
make_view(vm_view_t *view)
{
    vm_view_init(view);
    for (int i = 0; i < VMS; i++) {
        put_vm(view, i, "north", false);
        put_vm(view, VMS + i, "south", false);
    }
}

static int
vm_index(const config_peer_t *peer)
{
    return (int)g_ascii_strtoll(peer->vm + strlen("vm"), NULL, 10);
}

/// Guards against a tree that misses a VM of the data centre, contains one
/// twice, or contains VMs of another data centre.
static void
test_each_tree_reaches_every_vm_once(void)
{
    vm_view_t view;
    make_view(&view);
    uint32_t reached[READER_RANKS_MAX][2 * VMS] = {0};
    char roots[READER_RANKS_MAX][VM_NAME_MAX + 1];
    for (int i = 0; i < VMS; i++) {
        char own[16];
        g_snprintf(own, sizeof(own), "vm%d", i);
        relay_plan_t plan;
        relay_plan_init(&plan);
        relay_plan_build(&plan, &view, "north", own);
        CU_ASSERT_EQUAL(plan.rank_count, READER_RANKS_MAX);
        CU_ASSERT_EQUAL(plan.local_peers->len, VMS - 1);
        for (uint32_t rank = 0; rank < READER_RANKS_MAX; rank++) {
            CU_ASSERT_TRUE(i == 0 ||
                           strcmp(roots[rank], plan.ranks[rank].vm) == 0);
            g_strlcpy(roots[rank], plan.ranks[rank].vm, sizeof(roots[rank]));
            for (uint32_t j = 0; j < plan.child_count[rank]; j++) {
                reached[rank][vm_index(&plan.children[rank][j])]++;
            }
        }
        relay_plan_finish(&plan);
    }
    for (int rank = 0; rank < READER_RANKS_MAX; rank++) {
        for (int i = 0; i < 2 * VMS; i++) {
            bool root = i == (int)g_ascii_strtoll(roots[rank] + 2, NULL, 10);
            CU_ASSERT_EQUAL(reached[rank][i], i < VMS && !root);
        }
    }
    vm_view_finish(&view);
}

/// Guards against readers that all change when one VM is added or removed.
static void
test_one_change_replaces_few_readers(void)
{
    vm_view_t view;
    make_view(&view);
    relay_plan_t before;
    relay_plan_t after;
    relay_plan_init(&before);
    relay_plan_init(&after);
    relay_plan_build(&before, &view, "north", "vm0");
    vm_view_remove(&view, before.ranks[1].vm);
    relay_plan_build(&after, &view, "north", "vm0");
    CU_ASSERT_STRING_EQUAL(after.ranks[0].vm, before.ranks[0].vm);
    for (int rank = 1; rank < READER_RANKS_MAX - 1; rank++) {
        CU_ASSERT_STRING_EQUAL(after.ranks[rank].vm,
                               before.ranks[rank + 1].vm);
    }
    relay_plan_finish(&before);
    relay_plan_finish(&after);
    vm_view_finish(&view);
}

/// Guards against a draining VM that is chosen as reader, and against a data
/// centre without readers when all its VMs are draining.
static void
test_draining_vms_are_no_readers(void)
{
    vm_view_t view;
    make_view(&view);
    relay_plan_t plan;
    relay_plan_init(&plan);
    relay_plan_build(&plan, &view, "north", "vm0");
    char first[VM_NAME_MAX + 1];
    g_strlcpy(first, plan.ranks[0].vm, sizeof(first));
    put_vm(&view, vm_index(&plan.ranks[0]), "north", true);
    relay_plan_build(&plan, &view, "north", "vm0");
    CU_ASSERT_EQUAL(relay_plan_rank(&plan, first), RANK_NONE);
    CU_ASSERT_EQUAL(plan.local_peers->len, VMS - 1);
    for (int i = 0; i < VMS; i++) {
        put_vm(&view, i, "north", true);
    }
    relay_plan_build(&plan, &view, "north", "vm0");
    CU_ASSERT_EQUAL(plan.rank_count, READER_RANKS_MAX);
    relay_plan_finish(&plan);
    vm_view_finish(&view);
}

/// Guards against a node that relays although it is not listed.
static void
test_unlisted_node_has_no_children(void)
{
    vm_view_t view;
    make_view(&view);
    relay_plan_t plan;
    relay_plan_init(&plan);
    relay_plan_build(&plan, &view, "north", "stranger");
    CU_ASSERT_EQUAL(plan.own_rank, RANK_NONE);
    CU_ASSERT_FALSE(plan.own_listed);
    for (int rank = 0; rank < READER_RANKS_MAX; rank++) {
        CU_ASSERT_EQUAL(plan.child_count[rank], 0);
    }
    relay_plan_finish(&plan);
    vm_view_finish(&view);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"trees", test_each_tree_reaches_every_vm_once},
        {"one change", test_one_change_replaces_few_readers},
        {"leaving", test_draining_vms_are_no_readers},
        {"unlisted", test_unlisted_node_has_no_children},
        CU_TEST_INFO_NULL,
    };
    return run_suite("relay_plan", tests);
}
