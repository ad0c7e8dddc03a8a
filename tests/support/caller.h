/// HTTP requests of a test, one at a time or many at once.
#ifndef JT_TESTS_SUPPORT_CALLER_H
#define JT_TESTS_SUPPORT_CALLER_H

#include <apr_thread_proc.h>
#include <stdbool.h>
#include <stdint.h>

enum { kCallerIdBytes = 96, kCallerUrlBytes = 256, kCallerTimeoutMs = 60000 };

/// A request and what came back.
typedef struct {
    const char *method;
    char url[kCallerUrlBytes];
    const char *body;        ///< NULL for none
    const char *host_header; ///< header line "Host: ..."; NULL for the address
    uint32_t timeout_ms;     ///< longest wait; 0 for the usual one
    uint32_t status;         ///< 0 where no whole answer came
    bool is_unreachable;     ///< no connection was made
    char *reply;             ///< freed by caller_free_replies
    uint32_t reply_bytes;
    bool has_not_run_header;
    uint32_t retry_after_s;
    char next_job_id[kCallerIdBytes];
    char location[kCallerUrlBytes];
    struct curl_slist *headers; ///< while the request is under way
} caller_request_t;

/// Sends requests, all at once, and waits for all.
void caller_send_all(caller_request_t *requests, uint32_t count);

/// Requests that are under way on a thread of their own.
typedef struct {
    caller_request_t *requests;
    uint32_t count;
    apr_thread_t *thread;
    apr_pool_t *pool;
} caller_batch_t;

/// Sends requests, all at once, and does not wait.
void caller_start_batch(caller_batch_t *batch, caller_request_t *requests,
                        uint32_t count);

/// Waits for all requests of a batch.
void caller_join_batch(caller_batch_t *batch);

/// Sends one request.
///
/// @return its status
uint32_t caller_send(caller_request_t *request, const char *method,
                     const char *body, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/// Frees what came back.
void caller_free_replies(caller_request_t *requests, uint32_t count);

/// @return a number of a flat JSON reply, 0 where it lacks it
uint64_t caller_reply_number(const caller_request_t *request, const char *key);

/// @return whether the reply holds a text
bool caller_reply_contains(const caller_request_t *request, const char *text);

#endif
