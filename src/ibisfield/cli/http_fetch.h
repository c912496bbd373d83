#ifndef IBISFIELD_CLI_HTTP_FETCH_H
#define IBISFIELD_CLI_HTTP_FETCH_H

#include <glib.h>

/// A GET request that runs in the background.
typedef struct http_fetch http_fetch_t;

http_fetch_t *http_fetch_start(const char *url);
char *http_fetch_wait(http_fetch_t *fetch, GError **error);

#endif
