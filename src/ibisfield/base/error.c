/// @file
/// Errors whose message names the operation that failed and the peer.

#include "ibisfield/base/error.h"

/// Returns the GError domain of the project.
GQuark
ibisfield_error_quark(void)
{
    return g_quark_from_static_string("ibisfield");
}

/// Sets @p error with a message of the form "step (peer): text".
///
/// @param step  the operation that failed, such as "connect"
/// @param peer  the address or name of the other side, or NULL
void
set_step_error(GError **error, ibisfield_error_t code, const char *step,
               const char *peer, const char *format, ...)
{
    if (error == NULL) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    if (peer == NULL) {
        g_set_error(error, IBISFIELD_ERROR, (gint)code, "%s: %s", step, text);
    }
    else {
        g_set_error(error, IBISFIELD_ERROR, (gint)code, "%s (%s): %s", step,
                    peer, text);
    }
    g_free(text);
}
