/// @file
/// Text that derives every limit from a contract and states the reason for
/// each figure.

#include "ibisfield/contract/explain.h"

#include <inttypes.h>

#include "ibisfield/contract/contract.h"

#define ROW "  %-12s %-14s "

static void
explain_retries(const contract_t *contract, GString *out)
{
    g_string_append_printf(
        out,
        "retries %d: each caller request has %d units for retries and hedged "
        "requests.\n"
        "  Units are split between the calls of a chain and never copied, so "
        "at any service\n"
        "  of the chain at most 1 + %d = %d attempts arrive for one caller "
        "request.\n",
        contract->retries, contract->retries, contract->retries,
        1 + contract->retries);
    g_string_append_printf(
        out,
        "client_retry_percent %d: each first request adds %d.%02d tokens to "
        "the customer's bucket;\n"
        "  a repetition before its Retry-After has passed takes one, and is "
        "refused with\n"
        "  429 customer-retry-budget when the bucket is empty.\n",
        contract->client_retry_percent, contract->client_retry_percent / 100,
        contract->client_retry_percent % 100);
}

static void
explain_key(const kind_t *kind, const kind_limits_t *limits, GString *out)
{
    if (kind->run == RUN_REPEATABLE) {
        g_string_append_printf(out,
                               ROW "run is \"repeatable\": running it "
                                   "twice does no harm\n",
                               "key", "none");
        return;
    }
    char *life = g_strdup_printf("%" PRId32 " ms", limits->key_life_ms);
    g_string_append_printf(out,
                           ROW "resend_s %d x 1000: so long the caller may "
                               "send again and learn the outcome\n",
                           "key life", life, kind->resend_s);
    g_free(life);
}

static void
explain_hedge(const contract_t *contract, const kind_t *kind,
              const kind_limits_t *limits, GString *out)
{
    const char *reason =
        limits->hedge ? "repeatable and retries above 0: a late answer may "
                        "start a second attempt for one unit"
        : kind->run == RUN_ONCE
            ? "run is \"once\": two attempts could both run"
            : "retries is 0: there is no unit for a second attempt";
    (void)contract;
    g_string_append_printf(out, ROW "%s\n", "hedging",
                           limits->hedge ? "yes" : "no", reason);
}

static void
explain_attempts(const contract_t *contract, const kind_t *kind,
                 const kind_limits_t *limits, GString *out)
{
    char *bound = g_strdup_printf("at most %d", limits->attempts_max);
    g_string_append_printf(
        out, ROW "1 + retries %d, at any service of the chain%s\n", "attempts",
        bound, contract->retries,
        kind->run == RUN_ONCE
            ? "; another one only after one that is known not to have run"
            : "");
    g_free(bound);
}

static void
explain_kind(const contract_t *contract, const kind_t *kind, GString *out)
{
    kind_limits_t limits = kind_limits(contract, kind);
    g_string_append_printf(out, "\nkind %s: %s %s -> %s\n", kind->name,
                           kind->method, kind->path, kind->service);
    explain_attempts(contract, kind, &limits, out);
    char *text = g_strdup_printf("%d ms", kind->deadline_ms);
    g_string_append_printf(out,
                           ROW "deadline_ms, from the arrival at the entry; "
                               "after it the caller gets 504\n",
                           "deadline", text);
    g_free(text);
    text = g_strdup_printf("below %d ms", limits.queue_wait_ms);
    g_string_append_printf(out,
                           ROW "deadline_ms less the service time the guard "
                               "has learned: dropped when it can't finish\n",
                           "queue wait", text);
    g_free(text);
    explain_key(kind, &limits, out);
    explain_hedge(contract, kind, &limits, out);
    text = g_strdup_printf("worth >= %d", kind->worth);
    g_string_append_printf(out,
                           ROW "the larger of the own kind's worth and this; "
                               "deadline: the rest of this one at most\n",
                           "child calls", text);
    g_free(text);
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
                    "  request at once when every guard sheds its worth.\n");
}

/// Appends the derivation of every limit of @p contract to @p out.
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
    explain_shedding(contract, out);
}
