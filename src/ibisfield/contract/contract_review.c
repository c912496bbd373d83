/// @file
/// What is valid in a configuration and yet can't be meant: entries that never
/// match, and limits that contradict each other. Nodes take such a
/// configuration; "check" shows the notes before it is sent.

#include "ibisfield/contract/contract_review.h"

#include <string.h>

/// Notes a kind that matches nothing, since an earlier one has its path.
static void
review_path(const contract_t *contract, const kind_t *kind, GPtrArray *notes)
{
    for (const kind_t *earlier = contract->kinds; earlier < kind; earlier++) {
        if (strcmp(earlier->path, kind->path) == 0 &&
            (earlier->method[0] == '\0' ||
             strcmp(earlier->method, kind->method) == 0))
        {
            g_ptr_array_add(
                notes,
                g_strdup_printf(
                    "%s: \"%s\" never matches: \"%s\" before it has the same "
                    "path %s",
                    contract->customer, kind->name, earlier->name,
                    kind->path));
            return;
        }
    }
}

static void
review_split(const contract_t *contract, const kind_t *kind, GPtrArray *notes)
{
    double sum = 0;
    for (uint32_t i = 0; i < kind->split_target_count; i++) {
        sum += kind->split_targets[i].weight;
    }
    for (uint32_t i = 0; i < kind->split_target_count; i++) {
        const split_target_t *target = &kind->split_targets[i];
        if (sum > 0 && target->weight == 0) {
            g_ptr_array_add(
                notes,
                g_strdup_printf(
                    "%s: \"%s\" never goes to service %s: its weight is 0",
                    contract->customer, kind->name, target->service));
        }
    }
    if (kind->split_target_count > 0 && sum == 0) {
        g_ptr_array_add(notes,
                        g_strdup_printf("%s: the weights of \"%s\" are all 0",
                                        contract->customer, kind->name));
    }
}

/// Adds notes (char *) on the kinds of a valid contract.
/// @param has_workspaces  whether callers need access keys
void
contract_review(const contract_t *contract, bool has_workspaces,
                GPtrArray *notes)
{
    for (uint32_t i = 0; i < contract->kind_count; i++) {
        const kind_t *kind = &contract->kinds[i];
        review_path(contract, kind, notes);
        review_split(contract, kind, notes);
        if (kind->target_latency_ms > kind->deadline_ms) {
            g_ptr_array_add(
                notes,
                g_strdup_printf(
                    "%s: the target latency of \"%s\" (%d ms) is above its "
                    "deadline (%d ms), so every response is in time for it",
                    contract->customer, kind->name, kind->target_latency_ms,
                    kind->deadline_ms));
        }
        if (kind->anonymous && !has_workspaces) {
            g_ptr_array_add(
                notes,
                g_strdup_printf(
                    "%s: \"%s\" is anonymous, but no kind needs a key: there "
                    "are no workspaces",
                    contract->customer, kind->name));
        }
    }
}

/// Adds notes (char *) on a list of valid workspaces.
void
workspace_list_review(const workspace_t *workspaces, uint32_t count,
                      GPtrArray *notes)
{
    for (uint32_t i = 0; i < count; i++) {
        const workspace_t *workspace = &workspaces[i];
        if (workspace->keys == NULL || workspace->keys->len == 0) {
            g_ptr_array_add(
                notes,
                g_strdup_printf("workspace %s has no access key: it is closed",
                                workspace->name));
        }
        if (workspace->rate_per_s == 0 && workspace->burst > 0) {
            g_ptr_array_add(
                notes,
                g_strdup_printf(
                    "the burst of workspace %s does nothing: without a rate "
                    "there is no cap",
                    workspace->name));
        }
    }
}
