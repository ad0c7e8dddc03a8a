#include "support/caller.h"

#include <curl/curl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static size_t
take_body(char *data, size_t size, size_t count, void *owner)
{
    caller_request_t *request = owner;
    size_t add_bytes = size * count;
    request->reply =
        realloc(request->reply, request->reply_bytes + add_bytes + 1);
    memcpy(request->reply + request->reply_bytes, data, add_bytes);
    request->reply_bytes += (uint32_t)add_bytes;
    request->reply[request->reply_bytes] = '\0';
    return add_bytes;
}

/// Copies the value of a header line where it has the name.
static void
take_value(const char *line, const char *name, char *out, size_t out_bytes)
{
    if (strncasecmp(line, name, strlen(name)) == 0) {
        snprintf(out, out_bytes, "%s", line + strlen(name));
        out[strcspn(out, "\r\n")] = '\0';
    }
}

static size_t
take_header(char *data, size_t size, size_t count, void *owner)
{
    caller_request_t *request = owner;
    char line[512];
    snprintf(line, sizeof line, "%.*s", (int)(size * count), data);
    take_value(line, "Jt-Next-Job: ", request->next_job_id,
               sizeof request->next_job_id);
    take_value(line, "Location: ", request->location,
               sizeof request->location);
    if (strncasecmp(line, "Retry-After: ", 13) == 0) {
        request->retry_after_s = (uint32_t)strtoul(line + 13, NULL, 10);
    }
    if (strncasecmp(line, "Jt-Not-Run: 1", 13) == 0) {
        request->has_not_run_header = true;
    }
    return size * count;
}

static CURL *
create_easy(caller_request_t *request)
{
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, request->url);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     (long)(request->timeout_ms > 0 ? request->timeout_ms
                                                    : kCallerTimeoutMs));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, request);
    if (request->body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
    }
    if (request->host_header != NULL) {
        request->headers = curl_slist_append(NULL, request->host_header);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, request->headers);
    }
    return easy;
}

static void
collect(CURLM *multi)
{
    CURLMsg *message;
    int left = 0;
    while ((message = curl_multi_info_read(multi, &left)) != NULL) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL *easy = message->easy_handle;
        CURLcode code = message->data.result;
        caller_request_t *request = NULL;
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&request);
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        request->status = code == CURLE_OK ? (uint32_t)status : 0;
        request->is_unreachable = code == CURLE_COULDNT_CONNECT;
        curl_multi_remove_handle(multi, easy);
        curl_easy_cleanup(easy);
        curl_slist_free_all(request->headers);
        request->headers = NULL;
    }
}

void
caller_send_all(caller_request_t *requests, uint32_t count)
{
    CURLM *multi = curl_multi_init();
    int running = 0;
    for (uint32_t i = 0; i < count; i++) {
        curl_multi_add_handle(multi, create_easy(&requests[i]));
    }
    do {
        curl_multi_perform(multi, &running);
        collect(multi);
        if (running > 0) {
            curl_multi_poll(multi, NULL, 0, 1000, NULL);
        }
    } while (running > 0);
    collect(multi);
    curl_multi_cleanup(multi);
}

static void *APR_THREAD_FUNC
run_batch(apr_thread_t *thread, void *owner)
{
    (void)thread;
    caller_batch_t *batch = owner;
    caller_send_all(batch->requests, batch->count);
    return NULL;
}

void
caller_start_batch(caller_batch_t *batch, caller_request_t *requests,
                   uint32_t count)
{
    *batch = (caller_batch_t){.requests = requests, .count = count};
    apr_pool_create(&batch->pool, NULL);
    apr_thread_create(&batch->thread, NULL, run_batch, batch, batch->pool);
}

void
caller_join_batch(caller_batch_t *batch)
{
    apr_status_t status = APR_SUCCESS;
    apr_thread_join(&status, batch->thread);
    apr_pool_destroy(batch->pool);
}

uint32_t
caller_send(caller_request_t *request, const char *method, const char *body,
            const char *format, ...)
{
    va_list args;
    *request = (caller_request_t){.method = method, .body = body};
    va_start(args, format);
    vsnprintf(request->url, sizeof request->url, format, args);
    va_end(args);
    caller_send_all(request, 1);
    return request->status;
}

void
caller_free_replies(caller_request_t *requests, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        free(requests[i].reply);
        requests[i].reply = NULL;
    }
}

uint64_t
caller_reply_number(const caller_request_t *request, const char *key)
{
    char pattern[64];
    snprintf(pattern, sizeof pattern, "\"%s\":", key);
    const char *at =
        request->reply == NULL ? NULL : strstr(request->reply, pattern);
    return at == NULL ? 0 : strtoull(at + strlen(pattern), NULL, 10);
}

bool
caller_reply_contains(const caller_request_t *request, const char *text)
{
    return request->reply != NULL && strstr(request->reply, text) != NULL;
}
