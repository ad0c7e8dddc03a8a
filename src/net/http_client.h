/// An HTTP client on a loop, over libcurl's multi interface. A request is
/// sent at most once: a second pass of libcurl over the same request, as on
/// a reused connection that the server closed, is stopped before it sends.
/// An answer that lacks the request's mark belongs to another request: it is
/// dropped, and its connection, which is out of step, is closed.
#ifndef JT_NET_HTTP_CLIENT_H
#define JT_NET_HTTP_CLIENT_H

#include "base/record.h"
#include "net/loop.h"

enum { kEtagBytes = 96 };

typedef struct http_client http_client_t;
typedef struct http_request http_request_t;

/// How a request ended.
typedef enum {
    kHttpOutcomeAnswered, ///< a whole answer came
    kHttpOutcomeNotSent,  ///< proved: no byte of the request was written
    kHttpOutcomeUnknown   ///< the server may have read it
} http_outcome_t;

/// What came back. Valid during the callback.
typedef struct {
    http_outcome_t end;
    bool is_response_timeout; ///< sent, and not a byte came back in time
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

/// What to send. Strings and body must last until the request ends.
typedef struct {
    const char *method; ///< a constant of the program
    const char *url;
    const char *const *headers; ///< at most 8 "Name: value", ends with NULL
    bytes_t body;
    const char
        *required_header; ///< header line that the answer must carry, or NULL
    int64_t deadline_ns;
    uint32_t connect_limit_ms;
    uint32_t idle_trust_ms;    ///< longest idle time of a connection to reuse
    bool needs_new_connection; ///< a connection of its own, not one that idled
    http_done_t on_done;
    void *owner;
} http_spec_t;

http_client_t *http_client_create(loop_t *loop);

/// Starts a request. on_done is called once, from the loop.
///
/// @return a handle for http_client_abort, valid until on_done
http_request_t *http_client_start(http_client_t *client,
                                  const http_spec_t *spec);

/// Ends a request without calling back; its connection is closed.
void http_client_abort(http_client_t *client, http_request_t *request);

#endif
