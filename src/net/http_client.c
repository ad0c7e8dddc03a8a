#include "net/http_client.h"

#include <apr_portable.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/counters.h"
#include "runtime/clock.h"

enum {
    kSpareHandles = 4096,
    kFirstBodyBytes = 1024,
    kHeaderMaxBytes = 128,
    kHeaderLimit = 8
};

/// A socket of libcurl's.
typedef struct {
    http_client_t *client;
    arena_t *arena;
    apr_socket_t *socket;
    curl_socket_t fd;
    watch_t watch;
} curl_watch_t;

struct http_client {
    loop_t *loop;
    CURLM *multi;
    loop_timer_t timer;
    http_request_t *spare;
    uint32_t spare_count;
    http_request_t *active;
    loop_deferred_t collect;
};

struct http_request {
    http_client_t *client;
    CURL *easy;
    struct curl_slist headers[kHeaderLimit]; ///< point at the caller's text
    const char *method; ///< set in the handle, as the two limits below
    uint32_t connect_limit_ms;
    uint32_t idle_trust_ms;
    http_done_t on_done;
    void *owner;
    http_reply_t reply;
    const char *required_header; ///< as in the spec
    bool has_required_header;
    uint8_t *body;
    uint32_t body_capacity_bytes;
    uint32_t send_count; ///< times that libcurl came to send the request
    http_request_t *next;
    http_request_t *prev;
};

/// Called once a pass, just before the request is sent.
static int
allow_one_pass(void *owner, char *remote_ip, char *local_ip, int remote_port,
               int local_port)
{
    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    http_request_t *request = owner;
    request->send_count++;
    if (request->send_count > 1) {
        counter_add(kCounterSecondPassBlocked, 1);
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}

static size_t
take_body(char *data, size_t size, size_t count, void *owner)
{
    http_request_t *request = owner;
    uint32_t add_bytes = (uint32_t)(size * count);
    uint32_t held_bytes = request->reply.body.size_bytes;
    uint32_t need_bytes = held_bytes + add_bytes + 1;
    if (need_bytes > request->body_capacity_bytes) {
        uint32_t grown_bytes = request->body_capacity_bytes == 0
                                   ? kFirstBodyBytes
                                   : request->body_capacity_bytes;
        while (grown_bytes < need_bytes) {
            grown_bytes *= 2;
        }
        request->body = realloc(request->body, grown_bytes);
        request->body_capacity_bytes = grown_bytes;
    }
    memcpy(request->body + held_bytes, data, add_bytes);
    request->body[held_bytes + add_bytes] = '\0';
    request->reply.body.size_bytes += add_bytes;
    return add_bytes;
}

/// Reads a load header's value: BUSY/SLOTS.
static void
take_load(http_reply_t *reply, const char *value)
{
    char *end = NULL;
    unsigned long busy = strtoul(value, &end, 10);
    if (end != value && *end == '/') {
        reply->has_load = true;
        reply->load_busy = (uint32_t)busy;
        reply->load_slots = (uint32_t)strtoul(end + 1, NULL, 10);
    }
}

/// @return whether the header line is the one that marks the answer
static bool
is_mark(const http_request_t *request, const char *data, size_t size_bytes)
{
    size_t length = request->required_header == NULL
                        ? 0
                        : strlen(request->required_header);
    return length > 0 && size_bytes == length + 2 &&
           memcmp(data, request->required_header, length) == 0;
}

/// @return whether the headers end here, those of a final answer
static bool
ends_headers(http_request_t *request, size_t size_bytes)
{
    long status = 0;
    curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
    return size_bytes == 2 && status >= 200;
}

/// Takes one header line. Returning 0 ends the request and its connection.
static size_t
take_header(char *data, size_t size, size_t count, void *owner)
{
    http_request_t *request = owner;
    http_reply_t *reply = &request->reply;
    size_t size_bytes = size * count;
    request->has_required_header |= is_mark(request, data, size_bytes);
    if (request->required_header != NULL && !request->has_required_header &&
        ends_headers(request, size_bytes)) {
        counter_add(kCounterTriesLate, 1);
        return 0;
    }
    if (size_bytes < 3 || strchr("JjEe", data[0]) == NULL) {
        return size_bytes;
    }
    char line[kHeaderMaxBytes] = "";
    size_t used_bytes =
        size_bytes < sizeof line ? size_bytes : sizeof line - 1;
    memcpy(line, data, used_bytes);
    if (strncasecmp(line, "Jt-Not-Run: 1", 13) == 0) {
        reply->has_not_run_header = true;
    }
    else if (strncasecmp(line, "Jt-Leaving: 1", 13) == 0) {
        reply->has_leaving_header = true;
    }
    else if (strncasecmp(line, "Jt-Load: ", 9) == 0) {
        take_load(reply, line + 9);
    }
    else if (strncasecmp(line, "ETag: ", 6) == 0) {
        line[strcspn(line, "\r\n")] = '\0';
        snprintf(reply->etag, sizeof reply->etag, "%.*s", kEtagBytes - 1,
                 line + 6);
    }
    return size_bytes;
}

static void
forget(http_request_t *request)
{
    http_client_t *client = request->client;
    if (request->prev != NULL) {
        request->prev->next = request->next;
    }
    else {
        client->active = request->next;
    }
    if (request->next != NULL) {
        request->next->prev = request->prev;
    }
    curl_multi_remove_handle(client->multi, request->easy);
}

static void
free_request(http_request_t *request)
{
    curl_easy_cleanup(request->easy);
    free(request->body);
    free(request);
}

/// Keeps a handle for the next request, or frees it.
static void
recycle(http_request_t *request)
{
    http_client_t *client = request->client;
    if (client->spare_count >= kSpareHandles) {
        free_request(request);
        return;
    }
    request->next = client->spare;
    client->spare = request;
    client->spare_count++;
}

static http_outcome_t
judge_end(const http_request_t *request, CURLcode code)
{
    if (code == CURLE_OK && request->send_count == 1) {
        return kHttpOutcomeAnswered;
    }
    return request->send_count == 0 ? kHttpOutcomeNotSent
                                    : kHttpOutcomeUnknown;
}

static void
end_request(http_request_t *request, CURLcode code)
{
    long status = 0;
    curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
    http_reply_t reply = request->reply;
    reply.end = judge_end(request, code);
    reply.status = (uint32_t)status;
    reply.is_response_timeout = code == CURLE_OPERATION_TIMEDOUT &&
                                request->send_count > 0 && status == 0;
    reply.body.data = request->body;
    http_done_t on_done = request->on_done;
    void *owner = request->owner;
    forget(request);
    on_done(owner, &reply);
    recycle(request);
}

static void
collect_ended(loop_deferred_t *end)
{
    http_client_t *client = caa_container_of(end, http_client_t, collect);
    CURLMsg *message;
    int left = 0;
    while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            http_request_t *request = NULL;
            CURLcode code = message->data.result;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                              (char **)&request);
            end_request(request, code);
        }
    }
}

static void
act(http_client_t *client, curl_socket_t fd, int events)
{
    int running = 0;
    curl_multi_socket_action(client->multi, fd, events, &running);
    loop_defer(client->loop, &client->collect);
}

static void
on_timer(loop_timer_t *timer)
{
    act(timer->owner, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_timer(CURLM *multi, long left_ms, void *owner)
{
    (void)multi;
    http_client_t *client = owner;
    if (left_ms < 0) {
        loop_timer_clear(client->loop, &client->timer);
    }
    else {
        loop_timer_set(client->loop, &client->timer,
                       clock_deadline_ns((uint64_t)left_ms));
    }
    return 0;
}

static void
on_socket_ready(watch_t *watch, uint32_t ready)
{
    curl_watch_t *curl_watch = watch->owner;
    int events = 0;
    if (ready & kReadyRead) {
        events |= CURL_CSELECT_IN;
    }
    if (ready & kReadyWrite) {
        events |= CURL_CSELECT_OUT;
    }
    if (ready & kReadyError) {
        events |= CURL_CSELECT_ERR;
    }
    act(curl_watch->client, curl_watch->fd, events);
}

static void
free_watch(void *memory)
{
    curl_watch_t *curl_watch = memory;
    arena_destroy(curl_watch->arena);
    free(curl_watch);
}

static curl_watch_t *
create_watch(http_client_t *client, curl_socket_t fd)
{
    curl_watch_t *curl_watch = calloc(1, sizeof *curl_watch);
    *curl_watch = (curl_watch_t){
        .client = client,
        .arena = arena_create(),
        .fd = fd,
        .watch = {.on_ready = on_socket_ready, .owner = curl_watch}};
    apr_os_sock_put(&curl_watch->socket, &curl_watch->fd, curl_watch->arena);
    curl_multi_assign(client->multi, fd, curl_watch);
    return curl_watch;
}

static int
set_watch(CURL *easy, curl_socket_t fd, int what, void *owner,
          void *socket_owner)
{
    (void)easy;
    http_client_t *client = owner;
    curl_watch_t *curl_watch = socket_owner;
    if (what == CURL_POLL_REMOVE) {
        if (curl_watch != NULL) {
            loop_watch(client->loop, &curl_watch->watch, curl_watch->socket,
                       0);
            loop_free_later(client->loop, curl_watch, free_watch);
            curl_multi_assign(client->multi, fd, NULL);
        }
        return 0;
    }
    if (curl_watch == NULL) {
        curl_watch = create_watch(client, fd);
    }
    uint32_t interest = (what & CURL_POLL_IN ? kReadyRead : 0) |
                        (what & CURL_POLL_OUT ? kReadyWrite : 0);
    loop_watch(client->loop, &curl_watch->watch, curl_watch->socket, interest);
    return 0;
}

http_client_t *
http_client_create(loop_t *loop)
{
    http_client_t *client = calloc(1, sizeof *client);
    *client = (http_client_t){.loop = loop,
                              .multi = curl_multi_init(),
                              .collect = {.run = collect_ended}};
    loop_timer_init(&client->timer, on_timer, client);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, set_watch);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS, 4096L);
    return client;
}

/// Takes a kept handle or makes one, with the options that never change.
static http_request_t *
take_handle(http_client_t *client)
{
    http_request_t *request = client->spare;
    if (request != NULL) {
        client->spare = request->next;
        client->spare_count--;
        return request;
    }
    request = calloc(1, sizeof *request);
    request->client = client;
    request->easy = curl_easy_init();
    CURL *easy = request->easy;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, (char *)request);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, allow_one_pass);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, request);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    return request;
}

/// Lines up the headers for libcurl, without copies.
///
/// @return the first, or NULL
static struct curl_slist *
link_headers(http_request_t *request, const char *const *headers)
{
    uint32_t count = 0;
    while (headers != NULL && headers[count] != NULL && count < kHeaderLimit) {
        request->headers[count] =
            (struct curl_slist){.data = (char *)headers[count]};
        if (count > 0) {
            request->headers[count - 1].next = &request->headers[count];
        }
        count++;
    }
    return count == 0 ? NULL : request->headers;
}

/// Sets the method, and the limits that seldom change, where they differ
/// from those of the request before on this handle.
static void
set_lasting_options(http_request_t *request, const http_spec_t *spec)
{
    CURL *easy = request->easy;
    if (request->method != spec->method) {
        request->method = spec->method;
        bool is_get = strcmp(spec->method, "GET") == 0;
        bool is_post = strcmp(spec->method, "POST") == 0;
        curl_easy_setopt(easy, is_get ? CURLOPT_HTTPGET : CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST,
                         is_get || is_post ? NULL : spec->method);
    }
    if (request->connect_limit_ms != spec->connect_limit_ms) {
        request->connect_limit_ms = spec->connect_limit_ms;
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         (long)spec->connect_limit_ms);
    }
    if (request->idle_trust_ms != spec->idle_trust_ms) {
        request->idle_trust_ms = spec->idle_trust_ms;
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                         (long)(spec->idle_trust_ms + 999) / 1000);
    }
}

static void
set_options(http_request_t *request, const http_spec_t *spec)
{
    CURL *easy = request->easy;
    uint32_t left_ms = clock_left_ms(spec->deadline_ns);
    set_lasting_options(request, spec);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     spec->needs_new_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_URL, spec->url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER,
                     link_headers(request, spec->headers));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     left_ms > 0 ? (long)left_ms : 1L);
    if (strcmp(spec->method, "GET") != 0) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                         spec->body.data == NULL ? (const uint8_t *)""
                                                 : spec->body.data);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)spec->body.size_bytes);
    }
}

http_request_t *
http_client_start(http_client_t *client, const http_spec_t *spec)
{
    http_request_t *request = take_handle(client);
    request->on_done = spec->on_done;
    request->owner = spec->owner;
    request->reply = (http_reply_t){0};
    request->send_count = 0;
    request->required_header = spec->required_header;
    request->has_required_header = false;
    request->prev = NULL;
    request->next = client->active;
    if (client->active != NULL) {
        client->active->prev = request;
    }
    client->active = request;
    set_options(request, spec);
    curl_multi_add_handle(client->multi, request->easy);
    return request;
}

void
http_client_abort(http_client_t *client, http_request_t *request)
{
    (void)client;
    forget(request);
    free_request(request);
}
