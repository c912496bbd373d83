/// @file
/// Fuzz target of the decoder of the users' desired state, with its tenants:
/// no crash, no leak, either problems or contracts, no key in a problem, and
/// no key that opens two workspaces.

#include <stdlib.h>
#include <string.h>

#include "ibisfield/workspace/workspaces.h"
#include "platform/desired_state.h"

/// Begins the keys in the corpus.
#define KEY_MARK "SECRET"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool condition)
{
    if (!condition) {
        abort();
    }
}

static void
check_workspaces(const desired_state_t *state)
{
    const workspace_t *list =
        (const workspace_t *)(const void *)state->workspaces->data;
    require(workspace_list_find_shared_key(list, state->workspaces->len) ==
            NULL);
    for (guint i = 0; i < state->workspaces->len; i++) {
        require(list[i].name[0] != '\0');
        require(list[i].rank >= 0 && list[i].rank <= WORKSPACE_RANK_MAX);
        require(list[i].rate_per_s >= 0 && list[i].burst >= 0);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    desired_state_t state;
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    bool valid = desired_state_parse(
        &state, (slice_t){(const char *)data, size}, problems);
    require(valid == (problems->len == 0));
    require(valid == (state.contracts != NULL));
    if (state.workspaces != NULL) {
        check_workspaces(&state);
    }
    for (guint i = 0; i < problems->len; i++) {
        // Other texts, such as names of services, may be repeated.
        const char *problem = problems->pdata[i];
        require(strstr(problem, "tenants") == NULL ||
                strstr(problem, KEY_MARK) == NULL ||
                strstr(problem, "has an api key") != NULL);
    }
    desired_state_finish(&state);
    g_ptr_array_unref(problems);
    return 0;
}
