/// @file
/// GET requests of the command line, made with nng's HTTP client. Nodes use
/// http_client.h instead, which runs on their event loop.

#include "ibisfield/cli/http_fetch.h"

#include <nng/nng.h>
#include <nng/supplemental/http/http.h>

#include "ibisfield/base/error.h"

/// A node serves operators from memory, so that one that takes longer is
/// stopped or unreachable.
#define FETCH_TIMEOUT_MS 5000

struct http_fetch {
    char *url_text;
    nng_url *url;
    nng_http_client *client;
    nng_http_req *request;
    nng_http_res *response;
    nng_aio *aio;
    int start_error; ///< nng error code; 0 if the request was started
};

/// Starts a request. Never returns NULL; http_fetch_wait() reports an error of
/// the start.
http_fetch_t *
http_fetch_start(const char *url)
{
    http_fetch_t *fetch = g_new0(http_fetch_t, 1);
    fetch->url_text = g_strdup(url);
    if ((fetch->start_error = nng_url_parse(&fetch->url, url)) != 0 ||
        (fetch->start_error =
             nng_http_client_alloc(&fetch->client, fetch->url)) != 0 ||
        (fetch->start_error =
             nng_http_req_alloc(&fetch->request, fetch->url)) != 0 ||
        (fetch->start_error = nng_http_res_alloc(&fetch->response)) != 0 ||
        (fetch->start_error = nng_aio_alloc(&fetch->aio, NULL, NULL)) != 0)
    {
        return fetch;
    }
    nng_aio_set_timeout(fetch->aio, FETCH_TIMEOUT_MS);
    nng_http_client_transact(fetch->client, fetch->request, fetch->response,
                             fetch->aio);
    return fetch;
}

static void
free_fetch(http_fetch_t *fetch)
{
    if (fetch->aio != NULL) {
        nng_aio_free(fetch->aio);
    }
    if (fetch->response != NULL) {
        nng_http_res_free(fetch->response);
    }
    if (fetch->request != NULL) {
        nng_http_req_free(fetch->request);
    }
    if (fetch->client != NULL) {
        nng_http_client_free(fetch->client);
    }
    if (fetch->url != NULL) {
        nng_url_free(fetch->url);
    }
    g_free(fetch->url_text);
    g_free(fetch);
}

/// Waits at most FETCH_TIMEOUT_MS for the end of a request and frees it.
/// Returns the body of a 200 response, which the caller frees; NULL with
/// @p error set otherwise.
char *
http_fetch_wait(http_fetch_t *fetch, GError **error)
{
    int failure = fetch->start_error;
    if (failure == 0) {
        nng_aio_wait(fetch->aio);
        failure = nng_aio_result(fetch->aio);
    }
    char *body = NULL;
    if (failure != 0) {
        set_step_error(error,
                       failure == NNG_ETIMEDOUT ? IBISFIELD_ERROR_TIMEOUT
                                                : IBISFIELD_ERROR_IO,
                       "get", fetch->url_text, "%s", nng_strerror(failure));
    }
    else if (nng_http_res_get_status(fetch->response) != 200) {
        set_step_error(error, IBISFIELD_ERROR_PROTOCOL, "get", fetch->url_text,
                       "found status %d, expected 200",
                       nng_http_res_get_status(fetch->response));
    }
    else {
        void *data = NULL;
        size_t len = 0;
        nng_http_res_get_data(fetch->response, &data, &len);
        body = g_strndup(data == NULL ? "" : data, len);
    }
    free_fetch(fetch);
    return body;
}
