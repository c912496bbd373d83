#ifndef IBISFIELD_IO_HEADER_NAMES_H
#define IBISFIELD_IO_HEADER_NAMES_H

#include <stdbool.h>

#include "ibisfield/base/slice.h"

/// Names of the headers that callers and upstreams of a platform use, in lower
/// case. A node without such names uses the headers with the prefix
/// ibisfield-.
typedef struct {
    const char *request_id;  ///< of a caller's request; echoed in the response
    const char *deadline_ms; ///< how long the sender waits for the response
    const char *caller_service; ///< service of the VM that sends the request
    const char *instance;       ///< the only upstream instance that may run it
    const char *not_run;        ///< the upstream did not run the request
    const char *seal;           ///< set by the upstream on its own responses
    const char *access_key;     ///< of a caller; never passed on
    const char *workspace;      ///< set for the upstream: whose request it is
    /// Returns the part of @p request_id that identifies the parent request,
    /// empty if there is none. A request that an upstream makes in order to
    /// serve another one has that one as its parent.
    slice_t (*parent_id)(slice_t request_id);
} header_names_t;

#endif
