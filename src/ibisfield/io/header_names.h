#ifndef IBISFIELD_IO_HEADER_NAMES_H
#define IBISFIELD_IO_HEADER_NAMES_H

#include <stdbool.h>

#include "ibisfield/base/slice.h"

/// Names of the headers that callers and upstreams use, lower case. A node
/// without them speaks the project's own headers.
typedef struct {
    const char *request_id;     ///< of a caller's request; answers repeat it
    const char *deadline_ms;    ///< how long the sender waits for the answer
    const char *caller_service; ///< whose VM the request comes from
    const char *instance;       ///< the upstream instance that may run it
    const char *not_run;        ///< the upstream did not run the request
    const char *seal;           ///< the upstream made this answer
    /// Returns the part of a call's request id that is the id of the request
    /// for which an upstream makes the call; empty if there is none.
    slice_t (*parent_id)(slice_t request_id);
} header_names_t;

#endif
