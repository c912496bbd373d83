/// @file
/// Adoption of configuration items, their digests, and the VM list.

#include "ibisfield/config/item_store.h"
#include "ibisfield/config/vm_view.h"

#include "common/suite.h"

#define VM_VALUE(state)                                                       \
    "{\"data_centre\":\"north\",\"service\":\"booking\","                     \
    "\"address\":\"10.0.0.1\",\"caller_port\":1,\"peer_port\":2,"             \
    "\"control_port\":3,\"state\":\"" state "\"}"

typedef struct {
    item_store_t store;
    uint32_t changes;
    uint32_t checks;
} fixture_t;

static bool
check(void *context, const config_item_t *item, void *problems)
{
    fixture_t *fixture = context;
    fixture->checks++;
    if (item->value.data[0] == '!') {
        g_ptr_array_add(problems, g_strdup("first"));
        g_ptr_array_add(problems, g_strdup("second"));
        return false;
    }
    return true;
}

static void
changed(void *context, const config_item_t *item)
{
    (void)item;
    ((fixture_t *)context)->changes++;
}

static uint64_t
group_by_first_byte(void *context, const config_item_t *item)
{
    (void)context;
    return item->value.len == 0 ? 0 : (uint64_t)item->value.data[0];
}

static void
start(fixture_t *fixture)
{
    *fixture = (fixture_t){0};
    item_store_init(&fixture->store,
                    &(item_hooks_t){check, changed, group_by_first_byte},
                    fixture);
}

static adopt_result_t
adopt(fixture_t *fixture, const char *name, uint64_t version,
      const char *value)
{
    config_item_t item = {name, version, slice_from_string(value)};
    return item_store_adopt(&fixture->store, &item);
}

/// Guards against a version in force that decreases or is applied twice.
static void
test_highest_version_wins(void)
{
    fixture_t fixture;
    start(&fixture);
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 0, "x"), ADOPT_STALE);
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 3, "x"), ADOPT_NEW);
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 3, "x"), ADOPT_STALE);
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 2, "x"), ADOPT_STALE);
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 4, ""), ADOPT_NEW);
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 3, "x"), ADOPT_STALE);
    CU_ASSERT_EQUAL(item_store_version(&fixture.store, "contract/a"), 4);
    CU_ASSERT_EQUAL(fixture.changes, 2);
    CU_ASSERT_EQUAL(fixture.store.in_force_count, 0);
    item_store_finish(&fixture.store);
}

/// Guards against a refused version that comes into force, is not recorded, or
/// replaces the record of the one in force.
static void
test_refused_version_is_recorded(void)
{
    fixture_t fixture;
    start(&fixture);
    adopt(&fixture, "contract/a", 1, "x");
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 3, "!"), ADOPT_REFUSED);
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 3, "!"), ADOPT_REFUSED);
    CU_ASSERT_EQUAL(fixture.checks, 2);
    const stored_item_t *item = item_store_find(&fixture.store, "contract/a");
    CU_ASSERT_EQUAL(item->version, 1);
    CU_ASSERT_EQUAL(item->refused_version, 3);
    CU_ASSERT_STRING_EQUAL(item->refused_reason, "first; second");
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 2, "y"), ADOPT_NEW);
    CU_ASSERT_EQUAL(item->refused_version, 3);
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 4, "z"), ADOPT_NEW);
    CU_ASSERT_EQUAL(item->refused_version, 0);
    CU_ASSERT_EQUAL(g_hash_table_size(fixture.store.refused), 0);
    item_store_finish(&fixture.store);
}

/// Guards against an older refused version that replaces a newer one.
static void
test_newest_refusal_is_kept(void)
{
    fixture_t fixture;
    start(&fixture);
    adopt(&fixture, "contract/a", 3, "!");
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 2, "!"), ADOPT_REFUSED);
    CU_ASSERT_EQUAL(
        item_store_find(&fixture.store, "contract/a")->refused_version, 3);
    CU_ASSERT_EQUAL(item_store_version(&fixture.store, "contract/a"), 0);
    item_store_finish(&fixture.store);
}

/// Guards against values that exhaust the memory of a node.
static void
test_oversized_value_is_refused(void)
{
    fixture_t fixture;
    start(&fixture);
    char *value = g_strnfill(ITEM_VALUE_MAX_BYTES + 1, 'x');
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 1, value), ADOPT_REFUSED);
    value[ITEM_VALUE_MAX_BYTES] = '\0';
    CU_ASSERT_EQUAL(adopt(&fixture, "contract/a", 2, value), ADOPT_NEW);
    g_free(value);
    item_store_finish(&fixture.store);
}

/// Guards against digests that depend on the order of deliveries, or that
/// aren't updated when an item moves to another group.
static void
test_digests_depend_only_on_contents(void)
{
    fixture_t left;
    fixture_t right;
    start(&left);
    start(&right);
    char name[16];
    for (int i = 0; i < 100; i++) {
        g_snprintf(name, sizeof(name), "vm/%d", i);
        adopt(&left, name, 1, "a");
        adopt(&left, name, 2, i % 2 == 0 ? "b" : "a");
    }
    for (int i = 99; i >= 0; i--) {
        g_snprintf(name, sizeof(name), "vm/%d", i);
        adopt(&right, name, 2, i % 2 == 0 ? "b" : "a");
    }
    CU_ASSERT_EQUAL(left.store.digest, right.store.digest);
    for (uint64_t id = 'a'; id <= 'b'; id++) {
        const item_group_digests_t *l = item_store_group(&left.store, id);
        const item_group_digests_t *r = item_store_group(&right.store, id);
        CU_ASSERT_EQUAL(l->digest, r->digest);
        CU_ASSERT_EQUAL(memcmp(l->bucket_digests, r->bucket_digests,
                               sizeof(l->bucket_digests)),
                        0);
    }
    adopt(&left, "vm/7", 3, "a");
    CU_ASSERT_NOT_EQUAL(left.store.digest, right.store.digest);
    CU_ASSERT_EQUAL(item_store_group(&left.store, 'b')->digest,
                    item_store_group(&right.store, 'b')->digest);
    item_store_finish(&left.store);
    item_store_finish(&right.store);
}

static uint32_t
count_problems(const char *name, const char *value, vm_info_t *info)
{
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    config_item_t item = {name, 1, slice_from_string(value)};
    bool ok = vm_info_parse(info, &item, problems);
    uint32_t count = problems->len;
    CU_ASSERT_EQUAL(ok, count == 0);
    g_ptr_array_unref(problems);
    return count;
}

/// Guards against VM items that are accepted with missing or invalid fields,
/// and against reports that name only the first such field.
static void
test_vm_values_are_checked(void)
{
    vm_info_t info;
    CU_ASSERT_EQUAL(count_problems("vm/a", VM_VALUE("live"), &info), 0);
    CU_ASSERT_STRING_EQUAL(info.vm, "a");
    CU_ASSERT_STRING_EQUAL(info.service, "booking");
    CU_ASSERT_EQUAL(info.control_port, 3);
    CU_ASSERT_FALSE(info.draining);
    vm_info_finish(&info);
    CU_ASSERT_EQUAL(count_problems("vm/a", VM_VALUE("leaving"), &info), 0);
    CU_ASSERT_TRUE(info.draining);
    vm_info_finish(&info);
    CU_ASSERT_EQUAL(count_problems("vm/a", VM_VALUE("gone"), &info), 1);
    CU_ASSERT_EQUAL(count_problems("vm/a", "{}", &info), 7);
    CU_ASSERT_EQUAL(count_problems("vm/a", "[]", &info), 1);
    CU_ASSERT_EQUAL(count_problems("vm/a", "{\"data_centre\"", &info), 1);
    CU_ASSERT_EQUAL(count_problems("vm/", VM_VALUE("live"), &info), 1);
}

/// Guards against a view that keeps a removed VM, or misses that a VM is
/// draining.
static void
test_view_follows_the_list(void)
{
    vm_view_t view;
    vm_view_init(&view);
    config_item_t item = {"vm/a", 1, SLICE_LITERAL(VM_VALUE("live"))};
    CU_ASSERT_TRUE(vm_view_apply(&view, &item));
    CU_ASSERT_FALSE(vm_view_is_draining(&view, "a"));
    item.value = SLICE_LITERAL(VM_VALUE("leaving"));
    CU_ASSERT_TRUE(vm_view_apply(&view, &item));
    CU_ASSERT_TRUE(vm_view_is_draining(&view, "a"));
    item.value.len = 0;
    CU_ASSERT_TRUE(vm_view_apply(&view, &item));
    CU_ASSERT_PTR_NULL(vm_view_find(&view, "a"));
    CU_ASSERT_FALSE(vm_view_is_draining(&view, "a"));
    vm_view_finish(&view);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"highest version", test_highest_version_wins},
        {"refused version", test_refused_version_is_recorded},
        {"newest refusal", test_newest_refusal_is_kept},
        {"oversized value", test_oversized_value_is_refused},
        {"digests", test_digests_depend_only_on_contents},
        {"VM values", test_vm_values_are_checked},
        {"VM view", test_view_follows_the_list},
        CU_TEST_INFO_NULL,
    };
    return run_suite("item_store", tests);
}
