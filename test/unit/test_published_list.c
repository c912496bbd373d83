/// @file
/// Removals of listed VMs, at once or after the grace period that follows an
/// outage, and the weights of a traffic split.

#include "ibisfield/config/published_list.h"
#include "ibisfield/routing/traffic_split.h"

#include "common/suite.h"

static manual_clock_t test_clock;
static published_list_t list;
static int listed_count;
static bool last_listed_pending;
static int removed_count;

static void
on_listed(void *context, const vm_info_t *info)
{
    (void)context;
    last_listed_pending = info->removal_pending;
    listed_count++;
}

static void
on_removed(void *context, const char *vm)
{
    (void)context;
    (void)vm;
    removed_count++;
}

static void
start(void)
{
    listed_count = 0;
    removed_count = 0;
    manual_clock_init(&test_clock, 100 * US_PER_S);
    published_list_init(&list, &test_clock.base,
                        &(published_list_hooks_t){on_listed, on_removed},
                        NULL);
}

static void
put(const char *vm, uint64_t revision, bool draining)
{
    vm_info_t info = {.vm = g_strdup(vm), .draining = draining};
    published_list_put(&list, &info, (source_point_t){0, revision},
                       (source_point_t){0, 0});
    vm_info_finish(&info);
}

/// Puts a record that the source still had at @p read_revision.
static void
put_listed(const char *vm, uint64_t revision, uint64_t read_revision)
{
    vm_info_t info = {.vm = g_strdup(vm)};
    published_list_put(&list, &info, (source_point_t){0, revision},
                       (source_point_t){0, read_revision});
    vm_info_finish(&info);
}

static bool
is_listed(const char *vm)
{
    return g_hash_table_contains(list.vms, vm);
}

static void
simulate_outage(int64_t for_us)
{
    published_list_source_lost(&list);
    manual_clock_advance(&test_clock, for_us);
    published_list_source_recovered(&list);
}

/// Guards against requests to a removed VM: while the source is reachable, a
/// removal takes effect at once (requirement DRAIN of the users' platform).
static void
test_removals_take_effect_at_once(void)
{
    start();
    put("a", 5, false);
    put("a", 6, false);
    CU_ASSERT_EQUAL(listed_count, 1);
    published_list_remove(&list, "a", (source_point_t){0, 4});
    CU_ASSERT_EQUAL(removed_count, 0);
    published_list_remove(&list, "a", (source_point_t){0, 7});
    CU_ASSERT_EQUAL(removed_count, 1);
    // No record expires in a short outage, so a removal after it is genuine.
    put("a", 8, false);
    simulate_outage(500 * US_PER_MS);
    published_list_remove(&list, "a", (source_point_t){0, 9});
    CU_ASSERT_EQUAL(removed_count, 2);
    published_list_finish(&list);
}

/// Guards against the removal of all VMs whose records expired during an
/// outage of the source. Only those that don't return in time are removed.
static void
test_removals_after_an_outage_are_deferred(void)
{
    start();
    put("returns", 5, false);
    put("dead", 5, false);
    put("leaving", 5, true);
    simulate_outage(5 * US_PER_S);
    published_list_begin_listing(&list);
    published_list_end_listing(&list, (source_point_t){0, 9});
    CU_ASSERT_EQUAL(removed_count, 1);
    manual_clock_advance(&test_clock, 1900 * US_PER_MS);
    put("returns", 12, false);
    published_list_tick(&list);
    CU_ASSERT_EQUAL(removed_count, 1);
    manual_clock_advance(&test_clock, 500 * US_PER_MS);
    published_list_tick(&list);
    CU_ASSERT_EQUAL(removed_count, 2);
    CU_ASSERT_EQUAL(g_hash_table_size(list.vms), 1);
    published_list_finish(&list);
}

/// Guards against a node that, cut off from the source, keeps using a VM that
/// other nodes report as removed, or drops VMs whose records return with it.
static void
test_removals_during_an_outage_are_pending(void)
{
    start();
    put("returns", 5, false);
    put("dead", 5, false);
    published_list_source_lost(&list);
    published_list_remove(&list, "returns", (source_point_t){0, 6});
    published_list_remove(&list, "dead", (source_point_t){0, 7});
    CU_ASSERT_EQUAL(listed_count, 4);
    CU_ASSERT_TRUE(last_listed_pending);
    manual_clock_advance(&test_clock, 5 * US_PER_S);
    published_list_tick(&list);
    CU_ASSERT_EQUAL(removed_count, 0);
    published_list_source_recovered(&list);
    put("returns", 9, false);
    CU_ASSERT_FALSE(last_listed_pending);
    manual_clock_advance(&test_clock, 2400 * US_PER_MS);
    published_list_tick(&list);
    CU_ASSERT_EQUAL(removed_count, 1);
    CU_ASSERT_PTR_NOT_NULL(g_hash_table_lookup(list.vms, "returns"));
    published_list_finish(&list);
}

/// Guards against a node that is turned away by the source, follows others
/// again and defers the removals that they report for as long as it is.
static void
test_removals_are_final_if_the_source_is_unused(void)
{
    start();
    put("dead", 5, false);
    published_list_source_lost(&list);
    published_list_remove(&list, "dead", (source_point_t){0, 7});
    manual_clock_advance(&test_clock, 5 * US_PER_S);
    published_list_source_unused(&list);
    published_list_tick(&list);
    CU_ASSERT_EQUAL(removed_count, 1);
    published_list_finish(&list);
}

/// Guards against a full listing that keeps VMs that it does not contain, or
/// removes VMs that it contains.
static void
test_full_listings_remove_absent_vms(void)
{
    start();
    put("a", 1, false);
    put("b", 2, false);
    published_list_begin_listing(&list);
    put("b", 2, false);
    published_list_end_listing(&list, (source_point_t){0, 6});
    CU_ASSERT_EQUAL(removed_count, 1);
    CU_ASSERT_EQUAL(listed_count, 2);
    published_list_finish(&list);
}

/// Guards against requests to a removed VM: its last record, which arrives
/// after its removal has become known from another node, listed it again for
/// good (requirement DRAIN of the users' platform, review/5).
static void
test_late_changes_list_no_removed_vm(void)
{
    start();
    put("gone", 5, false);
    put("stays", 6, false);
    published_list_advance(&list, (source_point_t){0, 6});
    // Reported by another node.
    published_list_remove(&list, "gone", (source_point_t){0, 9});
    published_list_advance(&list, (source_point_t){0, 9});
    CU_ASSERT_EQUAL(removed_count, 1);
    // Late: the answer to a watch, the changes that a reader sends.
    put("gone", 8, false);
    CU_ASSERT_FALSE(is_listed("gone"));
    put_listed("gone", 8, 8);
    CU_ASSERT_FALSE(is_listed("gone"));
    put("gone", 8, true);
    CU_ASSERT_FALSE(is_listed("gone"));
    CU_ASSERT_TRUE(is_listed("stays"));
    // The VM starts again under its name.
    put("gone", 10, false);
    CU_ASSERT_TRUE(is_listed("gone"));
    published_list_finish(&list);
}

/// Guards against a full listing that was read before a removal, as a whole or
/// in its first pages, and lists the removed VM again.
static void
test_late_listings_list_no_removed_vm(void)
{
    start();
    put("gone", 5, false);
    put("stays", 6, false);
    published_list_advance(&list, (source_point_t){0, 6});
    published_list_remove(&list, "gone", (source_point_t){0, 20});
    put("new", 21, false);
    published_list_advance(&list, (source_point_t){0, 21});
    published_list_begin_listing(&list);
    put_listed("gone", 5, 12);
    put_listed("stays", 6, 22);
    published_list_end_listing(&list, (source_point_t){0, 12});
    CU_ASSERT_FALSE(is_listed("gone"));
    CU_ASSERT_TRUE(is_listed("stays"));
    CU_ASSERT_TRUE(is_listed("new"));
    // The removed VMs of a listing are as gone as those of a change.
    published_list_begin_listing(&list);
    put_listed("stays", 6, 30);
    published_list_end_listing(&list, (source_point_t){0, 30});
    CU_ASSERT_FALSE(is_listed("new"));
    put("new", 29, false);
    put("new", 30, false);
    CU_ASSERT_FALSE(is_listed("new"));
    published_list_finish(&list);
}

/// Guards against the loss of VMs that this node hasn't got or understood: a
/// listing that was read later than all that is known here is complete.
static void
test_newer_listings_list_unknown_vms(void)
{
    start();
    published_list_advance(&list, (source_point_t){0, 40});
    published_list_begin_listing(&list);
    put_listed("old", 7, 40);
    put_listed("older", 3, 41);
    published_list_end_listing(&list, (source_point_t){0, 40});
    CU_ASSERT_TRUE(is_listed("old"));
    CU_ASSERT_TRUE(is_listed("older"));
    CU_ASSERT_EQUAL(removed_count, 0);
    published_list_finish(&list);
}

/// Guards against an older record that ends a pending removal, or takes back
/// that a VM drains.
static void
test_older_records_undo_nothing(void)
{
    start();
    put("dead", 5, false);
    put("drains", 6, false);
    published_list_source_lost(&list);
    published_list_remove(&list, "dead", (source_point_t){0, 12});
    put("drains", 13, true);
    published_list_advance(&list, (source_point_t){0, 13});
    int listed = listed_count;
    put("dead", 8, false);
    put("dead", 12, false);
    put_listed("dead", 8, 9);
    put("drains", 11, false);
    CU_ASSERT_EQUAL(listed_count, listed);
    manual_clock_advance(&test_clock, 2 * US_PER_S);
    published_list_source_recovered(&list);
    put("dead", 8, false);
    manual_clock_advance(&test_clock, 2400 * US_PER_MS);
    published_list_tick(&list);
    CU_ASSERT_FALSE(is_listed("dead"));
    CU_ASSERT_TRUE(is_listed("drains"));
    published_list_remove(&list, "drains", (source_point_t){0, 14});
    CU_ASSERT_FALSE(is_listed("drains"));
    published_list_finish(&list);
}

/// Guards against lists that depend on the order in which deliveries arrive:
/// all permutations of the history of a VM end with its last state.
static void
test_order_of_deliveries_does_not_matter(void)
{
    enum { STEPS = 4 };
    static const int orders[24][STEPS] = {
        {0, 1, 2, 3}, {0, 1, 3, 2}, {0, 2, 1, 3}, {0, 2, 3, 1}, {0, 3, 1, 2},
        {0, 3, 2, 1}, {1, 0, 2, 3}, {1, 0, 3, 2}, {1, 2, 0, 3}, {1, 2, 3, 0},
        {1, 3, 0, 2}, {1, 3, 2, 0}, {2, 0, 1, 3}, {2, 0, 3, 1}, {2, 1, 0, 3},
        {2, 1, 3, 0}, {2, 3, 0, 1}, {2, 3, 1, 0}, {3, 0, 1, 2}, {3, 0, 2, 1},
        {3, 1, 0, 2}, {3, 1, 2, 0}, {3, 2, 0, 1}, {3, 2, 1, 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        start();
        published_list_advance(&list, (source_point_t){0, 4});
        for (int j = 0; j < STEPS; j++) {
            switch (orders[i][j]) {
            case 0:
                put("vm", 5, false);
                published_list_advance(&list, (source_point_t){0, 5});
                break;
            case 1:
                put("vm", 6, true);
                published_list_advance(&list, (source_point_t){0, 6});
                break;
            case 2:
                published_list_remove(&list, "vm", (source_point_t){0, 7});
                published_list_advance(&list, (source_point_t){0, 7});
                break;
            default:
                put_listed("vm", 6, 6);
                break;
            }
        }
        CU_ASSERT_FALSE(is_listed("vm"));
        published_list_finish(&list);
    }
}

#define BORN_MS 1000

/// Puts a record with a lifetime, from a listing of an era.
static bool
put_copied(const char *vm, source_point_t changed, int64_t born_ms,
           uint64_t sequence, bool draining)
{
    vm_info_t info = {.vm = g_strdup(vm),
                      .draining = draining,
                      .born_ms = born_ms,
                      .sequence = sequence};
    bool taken = published_list_put(&list, &info, changed,
                                    (source_point_t){changed.era, 1000});
    vm_info_finish(&info);
    return taken;
}

/// Starts with the list of era 1 at revision 20: "gone" was removed at 18,
/// "drains" since 19, "lives" is ready.
static void
start_before_drill(void)
{
    start();
    put_copied("gone", (source_point_t){1, 5}, BORN_MS, 3, false);
    put_copied("drains", (source_point_t){1, 6}, BORN_MS, 3, false);
    put_copied("lives", (source_point_t){1, 7}, BORN_MS, 3, false);
    published_list_remove(&list, "gone", (source_point_t){1, 18});
    put_copied("drains", (source_point_t){1, 19}, BORN_MS, 4, true);
    published_list_advance(&list, (source_point_t){1, 20});
    published_list_begin_listing(&list);
}

static bool
is_draining(const char *vm)
{
    const vm_info_t *const *record = g_hash_table_lookup(list.vms, vm);
    return record != NULL && (*record)->draining;
}

/// Guards against requests to VMs that the source's copy lists as they were
/// before they left, and against VMs that aren't used in their next lifetime.
static void
test_copies_bring_back_no_vm(void)
{
    start_before_drill();
    CU_ASSERT_FALSE(
        put_copied("gone", (source_point_t){2, 5}, BORN_MS, 3, false));
    CU_ASSERT_FALSE(
        put_copied("drains", (source_point_t){2, 6}, BORN_MS, 3, false));
    CU_ASSERT_TRUE(
        put_copied("lives", (source_point_t){2, 7}, BORN_MS, 3, false));
    published_list_end_listing(&list, (source_point_t){2, 9});
    CU_ASSERT_EQUAL(list.refused_count, 2);
    CU_ASSERT_FALSE(is_listed("gone"));
    CU_ASSERT_TRUE(is_draining("drains"));
    CU_ASSERT_FALSE(is_draining("lives"));
    // Written again in the new era: still the lifetime that has left.
    CU_ASSERT_FALSE(
        put_copied("drains", (source_point_t){2, 10}, BORN_MS, 5, false));
    CU_ASSERT_TRUE(is_draining("drains"));
    CU_ASSERT_TRUE(
        put_copied("gone", (source_point_t){2, 11}, BORN_MS + 1, 1, false));
    CU_ASSERT_TRUE(
        put_copied("drains", (source_point_t){2, 12}, BORN_MS + 1, 1, false));
    CU_ASSERT_TRUE(is_listed("gone"));
    CU_ASSERT_FALSE(is_draining("drains"));
    // The next copy is of the lifetime before.
    CU_ASSERT_FALSE(
        put_copied("gone", (source_point_t){3, 5}, BORN_MS, 3, true));
    CU_ASSERT_FALSE(is_draining("gone"));
    published_list_finish(&list);
}

/// Guards against a VM that is never used again because its record expired
/// before the drill and has been written again before the listing.
static void
test_refused_vms_that_live_return(void)
{
    start_before_drill();
    // A later report shows at once that it lives.
    CU_ASSERT_TRUE(
        put_copied("gone", (source_point_t){2, 5}, BORN_MS, 4, false));
    published_list_finish(&list);
    start_before_drill();
    CU_ASSERT_FALSE(
        put_copied("gone", (source_point_t){2, 5}, BORN_MS, 3, false));
    put_copied("lives", (source_point_t){2, 7}, BORN_MS, 3, false);
    published_list_end_listing(&list, (source_point_t){2, 9});
    manual_clock_advance(&test_clock, 6 * US_PER_S);
    published_list_tick(&list);
    CU_ASSERT_FALSE(is_listed("gone"));
    manual_clock_advance(&test_clock, 3 * US_PER_S);
    published_list_tick(&list);
    CU_ASSERT_TRUE(is_listed("gone"));
    published_list_finish(&list);
    // The source removes the record meanwhile: the VM has left.
    start_before_drill();
    put_copied("gone", (source_point_t){2, 5}, BORN_MS, 3, false);
    published_list_end_listing(&list, (source_point_t){2, 9});
    published_list_remove(&list, "gone", (source_point_t){2, 10});
    manual_clock_advance(&test_clock, 9 * US_PER_S);
    published_list_tick(&list);
    CU_ASSERT_FALSE(is_listed("gone"));
    published_list_finish(&list);
}

/// Guards against a removal that became known in an outage, and that the copy
/// takes back: the VM would get requests again until its record expires.
static void
test_copies_end_no_pending_removal(void)
{
    for (int lives = 0; lives <= 1; lives++) {
        start_before_drill();
        published_list_source_lost(&list);
        published_list_remove(&list, "lives", (source_point_t){1, 22});
        manual_clock_advance(&test_clock, 2 * US_PER_S);
        published_list_source_recovered(&list);
        CU_ASSERT_FALSE(
            put_copied("lives", (source_point_t){2, 7}, BORN_MS, 3, false));
        published_list_end_listing(&list, (source_point_t){2, 9});
        CU_ASSERT_TRUE(last_listed_pending);
        manual_clock_advance(&test_clock, 3 * US_PER_S);
        published_list_tick(&list);
        CU_ASSERT_FALSE(is_listed("lives"));
        if (lives == 0) {
            published_list_remove(&list, "lives", (source_point_t){2, 10});
        }
        manual_clock_advance(&test_clock, 6 * US_PER_S);
        published_list_tick(&list);
        CU_ASSERT_EQUAL(is_listed("lives"), lives == 1);
        published_list_finish(&list);
    }
}

/// Guards against a VM that isn't used although it has not left: the copy of a
/// first drill lacked it, that of a second one has it.
static void
test_copies_that_differ(void)
{
    start_before_drill();
    published_list_end_listing(&list, (source_point_t){2, 3});
    published_list_begin_listing(&list);
    CU_ASSERT_TRUE(
        put_copied("lives", (source_point_t){3, 3}, BORN_MS, 3, false));
    published_list_end_listing(&list, (source_point_t){3, 4});
    manual_clock_advance(&test_clock, 3 * US_PER_S);
    published_list_tick(&list);
    CU_ASSERT_TRUE(is_listed("lives"));
    published_list_finish(&list);
}

/// Guards against the same for records without a lifetime: then only a change,
/// or a revision that the copy can't have, shows that a VM has written again.
static void
test_copies_without_lifetimes(void)
{
    start_before_drill();
    CU_ASSERT_FALSE(put_copied("gone", (source_point_t){2, 5}, 0, 0, false));
    CU_ASSERT_FALSE(put_copied("drains", (source_point_t){2, 6}, 0, 0, false));
    CU_ASSERT_TRUE(put_copied("gone", (source_point_t){2, 30}, 0, 0, false));
    vm_info_t info = {.vm = g_strdup("drains")};
    CU_ASSERT_TRUE(published_list_put(&list, &info, (source_point_t){2, 10},
                                      (source_point_t){0, 0}));
    vm_info_finish(&info);
    CU_ASSERT_TRUE(is_listed("gone"));
    CU_ASSERT_FALSE(is_draining("drains"));
    published_list_finish(&list);
}

/// Guards against the removal of VMs that the copy lacks before they had time
/// to write their records again, and against their use for ever.
static void
test_absent_vms_of_a_new_era_are_pending(void)
{
    start_before_drill();
    published_list_end_listing(&list, (source_point_t){2, 3});
    CU_ASSERT_TRUE(is_listed("lives"));
    CU_ASSERT_TRUE(last_listed_pending);
    CU_ASSERT_FALSE(is_listed("drains"));
    manual_clock_advance(&test_clock, 2 * US_PER_S);
    published_list_tick(&list);
    CU_ASSERT_TRUE(is_listed("lives"));
    manual_clock_advance(&test_clock, US_PER_S);
    published_list_tick(&list);
    CU_ASSERT_FALSE(is_listed("lives"));
    // Late deliveries of the era before change nothing.
    put_copied("lives", (source_point_t){1, 30}, BORN_MS, 9, false);
    CU_ASSERT_FALSE(is_listed("lives"));
    published_list_finish(&list);
}

/// Guards against a split that deviates from its weights over few requests.
static void
test_splits_keep_their_weights(void)
{
    split_target_t parts[] = {
        {"a", 70, 0}, {"b", 25, 0}, {"c", 5, 0}, {"none", 0, 0}};
    kind_t kind = {.split_targets = parts,
                   .split_target_count = G_N_ELEMENTS(parts)};
    int counts[4] = {0};
    for (int i = 1; i <= 100; i++) {
        const char *service = traffic_split_next(&kind);
        counts[strcmp(service, "none") == 0 ? 3 : service[0] - 'a']++;
        CU_ASSERT_TRUE(ABS(counts[0] - 0.70 * i) <= 1);
        CU_ASSERT_TRUE(ABS(counts[1] - 0.25 * i) <= 1);
    }
    CU_ASSERT_EQUAL(counts[2], 5);
    CU_ASSERT_EQUAL(counts[3], 0);
    kind_t single = {.service = "only"};
    CU_ASSERT_STRING_EQUAL(traffic_split_next(&single), "only");
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"at once", test_removals_take_effect_at_once},
        {"after an outage", test_removals_after_an_outage_are_deferred},
        {"removals during an outage",
         test_removals_during_an_outage_are_pending},
        {"unused source", test_removals_are_final_if_the_source_is_unused},
        {"full listings", test_full_listings_remove_absent_vms},
        {"late changes", test_late_changes_list_no_removed_vm},
        {"late listings", test_late_listings_list_no_removed_vm},
        {"newer listings", test_newer_listings_list_unknown_vms},
        {"older records", test_older_records_undo_nothing},
        {"any order", test_order_of_deliveries_does_not_matter},
        {"copies", test_copies_bring_back_no_vm},
        {"refused that live", test_refused_vms_that_live_return},
        {"pending removals", test_copies_end_no_pending_removal},
        {"copies that differ", test_copies_that_differ},
        {"copies without lifetimes", test_copies_without_lifetimes},
        {"absent in a new era", test_absent_vms_of_a_new_era_are_pending},
        {"splits", test_splits_keep_their_weights},
        CU_TEST_INFO_NULL,
    };
    return run_suite("published list", tests);
}
