/// An HTTP client on an event loop, over libcurl's multi interface. A request
/// is sent at most once: libcurl's own retry, as on a reused connection that
/// the server closed, is aborted before it sends. An answer without the
/// request's required header belongs to another request: it is dropped, and
/// the connection is closed, as its answers no longer match the requests.
#ifndef JT_NET_HTTP_CLIENT_H
#define JT_NET_HTTP_CLIENT_H

#include "base/record.h"
#include "net/loop.h"

enum { kEtagBytes = 96 };

typedef struct http_client http_client_t;
typedef struct http_request http_request_t;

/// Whether a request was sent and answered.
typedef enum {
    kHttpOutcomeAnswered, ///< a whole answer was received
    kHttpOutcomeNotSent,  ///< certain: no byte of the request was written
    kHttpOutcomeUnknown   ///< the server may have read it
} http_outcome_t;

/// How a request ended, and its answer. Valid during the callback.
typedef struct {
    http_outcome_t outcome;
    bool is_response_timeout; ///< sent, but not a byte came back in time
    uint32_t status;
    bytes_t body;
    bool has_not_run_header; ///< Jt-Not-Run: 1
    bool has_leaving_header; ///< Jt-Leaving: 1
    bool has_load;           ///< Jt-Load: BUSY/SLOTS
    uint32_t load_busy;      ///< slots in use at the target
    uint32_t load_slots;     ///< slots of the target
    char etag[kEtagBytes];   ///< version of the body, or ""
} http_reply_t;

typedef void (*http_done_t)(void *owner, const http_reply_t *reply);

/// A request. Its strings and body must stay valid until it ends.
typedef struct {
    const char *method; ///< string literal; the client keeps the pointer
    const char *url;
    const char *const *headers; ///< up to 8 "Name: value" lines, then NULL
    bytes_t body;
    /// Header line that the answer must have, or NULL.
    const char *required_header;
    int64_t deadline_ns;
    uint32_t connect_limit_ms;
    uint32_t idle_trust_ms;    ///< longest idle time of a connection to reuse
    bool needs_new_connection; ///< does not reuse a connection
    http_done_t on_done;
    void *owner;
} http_spec_t;

http_client_t *http_client_create(loop_t *loop);

/// Sets how many connections are kept for reuse, 4,096 before.
void http_client_keep_connections(http_client_t *client, uint32_t count);

/// Starts a request. on_done is called once, from the loop.
///
/// @return a handle for http_client_abort, valid until on_done
http_request_t *http_client_start(http_client_t *client,
                                  const http_spec_t *spec);

/// Ends a request without calling on_done. Its connection is closed.
void http_client_abort(http_client_t *client, http_request_t *request);

#endif
