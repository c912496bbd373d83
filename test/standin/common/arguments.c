/// @file
/// Parsers of command-line arguments for the stand-ins.

#include "arguments.h"

#include <glib.h>
#include <string.h>

void
read_endpoint_argument(endpoint_t *endpoint, const char *text,
                       const struct argp_state *state)
{
    char **parts = g_strsplit(text, ":", 2);
    guint64 port = 0;
    if (parts[0] == NULL || parts[1] == NULL ||
        strlen(parts[0]) >= sizeof(endpoint->address) ||
        !g_ascii_string_to_unsigned(parts[1], 10, 1, UINT16_MAX, &port, NULL))
    {
        argp_error(state, "found '%s', expected ADDRESS:PORT", text);
    }
    g_strlcpy(endpoint->address, parts[0], sizeof(endpoint->address));
    endpoint->port = (uint16_t)port;
    g_strfreev(parts);
}

int32_t
read_number_argument(const char *text, const struct argp_state *state)
{
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(text, 10, 0, INT32_MAX, &number, NULL)) {
        argp_error(state, "found '%s', expected a number", text);
    }
    return (int32_t)number;
}
