/// @file
/// Explanation of a contract: every limit that follows from it, with the
/// reason for each figure.

#include "ibisfield/contract/explain.h"

#include "ibisfield/call/call_defs.h"
#include "ibisfield/contract/contract.h"
#include "ibisfield/workspace/workspaces.h"

static void
explain_retries(const contract_t *contract, GString *out)
{
    g_string_append_printf(
        out,
        "retries %d: each caller request has %d retry tokens for retries and "
        "hedged requests.\n"
        "  Each of them takes one. Tokens are split between the calls of a "
        "chain and never copied,\n"
        "  so at any service of the chain at most 1 + %d = %d attempts arrive "
        "for one caller\n"
        "  request.\n",
        contract->retries, contract->retries, contract->retries,
        1 + contract->retries);
    g_string_append_printf(
        out,
        "client_retry_percent %d: at each node, a first request adds %d.%02d "
        "tokens to the customer's\n"
        "  token bucket. A client retry before its Retry-After has passed "
        "takes one, and is refused\n"
        "  with 429 customer-retry-budget when there is none.\n",
        contract->client_retry_percent, contract->client_retry_percent / 100,
        contract->client_retry_percent % 100);
}

/// Appends one line: the name of the limit, its value and the reason.
static void
append_row(GString *out, const char *label, const char *reason,
           const char *value_format, ...)
{
    va_list arguments;
    va_start(arguments, value_format);
    char *value = g_strdup_vprintf(value_format, arguments);
    va_end(arguments);
    g_string_append_printf(out, "  %-12s %-16s %s\n", label, value, reason);
    g_free(value);
}

static void
explain_at_most_once(const kind_t *kind, const kind_limits_t *limits,
                     GString *out)
{
    char *reason =
        g_strdup_printf("resend_s %d x 1000, from the issue of the key: until "
                        "then the caller can learn the outcome",
                        kind->resend_s);
    append_row(out, "key TTL", reason, "%d ms", limits->key_ttl_ms);
    g_free(reason);
    append_row(out, "outcome wait",
               "how long the entry waits for the outcome of the key after the "
               "deadline; the caller has received 504 by then",
               "%d ms", (int)(LATE_RESPONSE_WAIT_US / 1000));
    append_row(out, "hedging",
               "run is \"once\": two attempts at the same time could both run",
               "no");
}

static void
explain_idempotent(const kind_limits_t *limits, GString *out)
{
    append_row(out, "key",
               "run is \"repeatable\": running it twice does no "
               "harm",
               "none");
    append_row(out, "hedging",
               limits->hedge
                   ? "repeatable, and retries is above 0: a late response "
                     "starts a second attempt for one retry token"
                   : "retries is 0: there is no retry token for a second "
                     "attempt",
               "%s", limits->hedge ? "yes" : "no");
}

static void
explain_kind(const contract_t *contract, const kind_t *kind, GString *out)
{
    kind_limits_t limits = kind_limits(contract, kind);
    g_string_append_printf(out, "\nkind %s: %s %s -> %s\n", kind->name,
                           kind->method, kind->path, kind->service);
    append_row(out, "attempts",
               kind->run == RUN_ONCE
                   ? "1 + retries; a retry only if each attempt before is "
                     "known not to have run"
                   : "1 + retries, at any service of the chain",
               "at most %d", limits.attempts_max);
    append_row(out, "deadline",
               "deadline_ms, from the arrival at the entry; then the caller "
               "gets 504",
               "%d ms", kind->deadline_ms);
    append_row(
        out, "queue wait",
        "deadline_ms minus the service time that the guard has measured: "
        "requests that can't finish in time are dropped",
        "below %d ms", limits.queue_wait_ms);
    if (kind->run == RUN_ONCE) {
        explain_at_most_once(kind, &limits, out);
    }
    else {
        explain_idempotent(&limits, out);
    }
    append_row(out, "child calls",
               "worth: the larger of this kind's and the child kind's",
               "worth >= %d", kind->worth);
    append_row(out, "",
               "deadline: the smaller of the child kind's and the "
               "time that this request has left",
               "<= %d ms", kind->deadline_ms);
}

static void
explain_shedding(const contract_t *contract, GString *out)
{
    g_string_append(out, "\norder of shedding (lowest worth first):\n");
    int position = 0;
    for (int32_t worth = 1; worth <= CONTRACT_WORTH_MAX; worth++) {
        GString *names = g_string_new(NULL);
        for (uint32_t i = 0; i < contract->kind_count; i++) {
            if (contract->kinds[i].worth == worth) {
                g_string_append_printf(names, "%s%s",
                                       names->len == 0 ? "" : ", ",
                                       contract->kinds[i].name);
            }
        }
        if (names->len > 0) {
            g_string_append_printf(out, "  %d. worth %d: %s\n", ++position,
                                   worth, names->str);
        }
        g_string_free(names, TRUE);
    }
    g_string_append(out,
                    "  A guard whose queue is full evicts the lowest worth, "
                    "and an entry refuses a\n"
                    "  request at once when every guard refuses its "
                    "worth.\n");
}

static void
explain_workspace(const workspace_t *workspace, GString *out)
{
    g_string_append_printf(out, "\nworkspace %s\n", workspace->name);
    append_row(out, "access keys",
               "digests of access_keys; a request without one gets 401", "%u",
               workspace->keys == NULL ? 0 : workspace->keys->len);
    append_row(out, "rank",
               "goes before the worth of kinds: its requests are shed before "
               "those of lower ranks",
               "%d", workspace->rank);
    if (workspace->rate_per_s <= 0) {
        append_row(out, "usage cap", "rate_per_s is 0", "none");
        return;
    }
    append_row(out, "usage cap",
               "rate_per_s, counted over all nodes; beyond it 429 usage-cap",
               "%g per second", workspace->rate_per_s);
    append_row(out, "burst", "beyond the rate, after a time without requests",
               "%g requests", workspace->burst);
    append_row(out, "fair share",
               "rate_per_s: weight among workspaces when a service is scarce",
               "weight %g", workspace->rate_per_s);
}

/// Appends the explanation of @p contract to @p out.
void
explain_contract(const contract_t *contract, GString *out)
{
    g_string_append_printf(out, "customer %s", contract->customer);
    for (uint32_t i = 0; i < contract->host_count; i++) {
        g_string_append_printf(out, "%s%s", i == 0 ? ", hosts " : " ",
                               contract->hosts[i]);
    }
    g_string_append_c(out, '\n');
    explain_retries(contract, out);
    for (uint32_t i = 0; i < contract->kind_count; i++) {
        explain_kind(contract, &contract->kinds[i], out);
    }
    for (uint32_t i = 0; i < contract->workspace_count; i++) {
        explain_workspace(&contract->workspaces[i], out);
    }
    explain_shedding(contract, out);
}
