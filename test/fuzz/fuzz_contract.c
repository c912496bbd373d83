/// @file
/// Fuzz target of the contract parser: no crash, no leak, either problems or a
/// contract within its ranges that is accepted again after it was printed.

#include <json-c/json.h>
#include <stdlib.h>

#include "ibisfield/contract/contract.h"
#include "ibisfield/contract/explain.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool condition)
{
    if (!condition) {
        abort();
    }
}

static void
check_kind(const contract_t *contract, const kind_t *kind)
{
    require(kind->worth >= 1 && kind->worth <= CONTRACT_WORTH_MAX);
    require(kind->deadline_ms >= 10 && kind->deadline_ms <= 600000);
    require(kind->path[0] == '/' && kind->name[0] != '\0');
    require((kind->run == RUN_ONCE) == (kind->resend_s > 0));
    kind_limits_t limits = kind_limits(contract, kind);
    require(limits.attempts_max >= 1 &&
            limits.attempts_max <= 1 + CONTRACT_RETRIES_MAX);
    require(kind->run == RUN_IDEMPOTENT ||
            (!limits.hedge && limits.key_ttl_ms >= kind->deadline_ms));
    // Each kind matches its own path, so no earlier kind shadows it.
    require(contract_match(contract, slice_from_string(kind->method),
                           slice_from_string(kind->path)) == kind);
}

/// Prints the contract as JSON; the caller frees the text.
static char *
print_contract(const contract_t *contract)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "{\"customer\":\"%s\",\"hosts\":[",
                           contract->customer);
    for (uint32_t i = 0; i < contract->host_count; i++) {
        g_string_append_printf(text, "%s\"%s\"", i == 0 ? "" : ",",
                               contract->hosts[i]);
    }
    g_string_append_printf(
        text, "],\"retries\":%d,\"client_retry_percent\":%d,\"kinds\":[",
        contract->retries, contract->client_retry_percent);
    for (uint32_t i = 0; i < contract->kind_count; i++) {
        const kind_t *kind = &contract->kinds[i];
        struct json_object *path = json_object_new_string(kind->path);
        g_string_append_printf(
            text,
            "%s{\"name\":\"%s\",\"service\":\"%s\",\"method\":\"%s\","
            "\"path\":%s,\"worth\":%d,\"deadline_ms\":%d,\"run\":\"%s\"",
            i == 0 ? "" : ",", kind->name, kind->service, kind->method,
            json_object_to_json_string(path), kind->worth, kind->deadline_ms,
            kind->run == RUN_ONCE ? "once" : "repeatable");
        json_object_put(path);
        if (kind->run == RUN_ONCE) {
            g_string_append_printf(text, ",\"resend_s\":%d", kind->resend_s);
        }
        g_string_append_c(text, '}');
    }
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

static void
check_contract(const contract_t *contract, GPtrArray *problems)
{
    require(contract->customer[0] != '\0' && contract->kind_count > 0);
    require(contract->retries >= 0 &&
            contract->retries <= CONTRACT_RETRIES_MAX);
    for (uint32_t i = 0; i < contract->kind_count; i++) {
        check_kind(contract, &contract->kinds[i]);
    }
    char *text = print_contract(contract);
    contract_t reparsed;
    require(contract_parse(&reparsed, "reparsed", slice_from_string(text),
                           problems));
    char *reparsed_text = print_contract(&reparsed);
    require(strcmp(text, reparsed_text) == 0);
    g_free(reparsed_text);
    contract_finish(&reparsed);
    g_free(text);
    GString *explanation = g_string_new(NULL);
    explain_contract(contract, explanation);
    g_string_free(explanation, TRUE);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    contract_t contract;
    if (contract_parse(&contract, "input", (slice_t){(const char *)data, size},
                       problems))
    {
        require(problems->len == 0);
        check_contract(&contract, problems);
        contract_finish(&contract);
    }
    else {
        require(problems->len > 0);
    }
    g_ptr_array_free(problems, TRUE);
    return 0;
}
