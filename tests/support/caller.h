/// HTTP requests that a test sends, one at a time or several concurrently.
#ifndef JT_TESTS_SUPPORT_CALLER_H
#define JT_TESTS_SUPPORT_CALLER_H

#include <apr_thread_proc.h>
#include <stdbool.h>
#include <stdint.h>

enum { kCallerIdBytes = 96, kCallerUrlBytes = 256, kCallerTimeoutMs = 60000 };

/// A request and its response.
typedef struct {
    const char *method;
    char url[kCallerUrlBytes];
    const char *body; ///< NULL for none
    const char
        *host_header;    ///< header line "Host: ..."; NULL: that of the URL
    uint32_t timeout_ms; ///< 0: kCallerTimeoutMs
    uint32_t status;     ///< 0 without a complete response
    bool is_unreachable; ///< the connection could not be opened
    char *reply;         ///< body; freed by caller_free_replies
    uint32_t reply_bytes;
    bool has_not_run_header; ///< "Jt-Not-Run: 1"
    uint32_t retry_after_s;
    char next_job_id[kCallerIdBytes]; ///< header Jt-Next-Job
    char location[kCallerUrlBytes];
    struct curl_slist *headers; ///< sent with the request; freed when it ends
} caller_request_t;

/// Sends requests concurrently and waits for all responses.
void caller_send_all(caller_request_t *requests, uint32_t count);

/// Requests that a separate thread sends.
typedef struct {
    caller_request_t *requests;
    uint32_t count;
    apr_thread_t *thread;
    apr_pool_t *pool;
} caller_batch_t;

/// Starts a thread that sends requests concurrently. They must stay valid
/// until caller_join_batch.
void caller_start_batch(caller_batch_t *batch, caller_request_t *requests,
                        uint32_t count);

/// Waits until all requests of a batch have ended.
void caller_join_batch(caller_batch_t *batch);

/// Sends one request without further headers, with the default timeout, and
/// waits for the response. What the request held before is overwritten.
///
/// @param format  of the URL
/// @return the status, 0 without a complete response
uint32_t caller_send(caller_request_t *request, const char *method,
                     const char *body, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/// Frees the bodies of responses.
void caller_free_replies(caller_request_t *requests, uint32_t count);

/// @return the number behind the first occurrence of a key in a JSON body, 0
///         without the key
uint64_t caller_reply_number(const caller_request_t *request, const char *key);

/// @return whether the body contains a text
bool caller_reply_contains(const caller_request_t *request, const char *text);

#endif
