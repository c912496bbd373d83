#ifndef IBISFIELD_BASE_ERROR_H
#define IBISFIELD_BASE_ERROR_H

#include <glib.h>

#define IBISFIELD_ERROR ibisfield_error_quark()

typedef enum {
    IBISFIELD_ERROR_INPUT,    ///< invalid settings, contract or argument
    IBISFIELD_ERROR_IO,       ///< a system call or a library call failed
    IBISFIELD_ERROR_PROTOCOL, ///< a peer sent something invalid
    IBISFIELD_ERROR_TIMEOUT,  ///< a peer did not respond in time
} ibisfield_error_t;

GQuark ibisfield_error_quark(void);
void set_step_error(GError **error, ibisfield_error_t code, const char *step,
                    const char *peer, const char *format, ...)
    G_GNUC_PRINTF(5, 6);

#endif
