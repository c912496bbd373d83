/// @file
/// Fuzz target of the settings parser: no crash, no leak, either problems or
/// settings within their ranges.

#include <stdlib.h>

#include "ibisfield/contract/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool condition)
{
    if (!condition) {
        abort();
    }
}

static void
check_settings(const settings_t *settings)
{
    const endpoint_t *endpoints[] = {
        &settings->caller_listen,   &settings->egress_listen,
        &settings->peer_listen,     &settings->control_listen,
        &settings->operator_listen, &settings->upstream,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
        char text[32];
        endpoint_t reparsed;
        g_snprintf(text, sizeof(text), "%s:%d", endpoints[i]->address,
                   endpoints[i]->port);
        require(endpoint_parse(&reparsed, text));
        require(reparsed.port == endpoints[i]->port);
    }
    require(settings->vm[0] != '\0' && settings->service[0] != '\0');
    require(strchr(settings->vm, '.') == NULL);
    require(settings->upstream_slots >= 1);
    require(settings->upstream_connections >= settings->upstream_slots);
    require(settings->seed_count <= SETTINGS_SEEDS_MAX);
    require(settings->max_request_bytes >= 1 &&
            settings->max_answer_bytes >= 1);
    require(settings->drain_limit_ms >= settings->key_linger_ms);
    require(g_str_has_prefix(settings->config_url, "http://"));
    require(settings->log_level[0] != '\0');
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
    settings_t settings;
    if (settings_parse(&settings, "input", (slice_t){(const char *)data, size},
                       problems))
    {
        require(problems->len == 0);
        check_settings(&settings);
        settings_finish(&settings);
    }
    else {
        require(problems->len > 0);
    }
    g_ptr_array_free(problems, TRUE);
    return 0;
}
