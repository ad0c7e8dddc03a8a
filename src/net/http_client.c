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
    kMaxSpareHandles = 4096,
    kMaxKeptConnections = 4096,
    kInitialBodyBytes = 1024,
    kMaxHeaderLineBytes = 128,
    kMaxHeaders = 8
};

/// A socket of libcurl that the loop watches.
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
    loop_deferred_t completion;
};

struct http_request {
    http_client_t *client;
    CURL *easy;
    struct curl_slist headers[kMaxHeaders]; ///< refer to the spec's strings
    const char *method; ///< as set in `easy`, like the next two
    uint32_t connect_limit_ms;
    uint32_t idle_trust_ms;
    http_done_t on_done;
    void *owner;
    http_reply_t reply;
    const char *required_header; ///< from the spec
    bool has_required_header;    ///< the answer has it
    uint8_t *body;
    uint32_t body_capacity_bytes;
    uint32_t send_count; ///< times that libcurl was about to send it
    http_request_t *next;
    http_request_t *prev;
};

/// Called by libcurl just before it sends the request. Aborts a second send.
static int
allow_one_send(void *owner, char *remote_ip, char *local_ip, int remote_port,
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
on_body(char *data, size_t size, size_t count, void *owner)
{
    http_request_t *request = owner;
    uint32_t received_bytes = (uint32_t)(size * count);
    uint32_t held_bytes = request->reply.body.size_bytes;
    uint32_t required_bytes = held_bytes + received_bytes + 1;
    if (required_bytes > request->body_capacity_bytes) {
        uint32_t new_bytes = request->body_capacity_bytes == 0
                                 ? kInitialBodyBytes
                                 : request->body_capacity_bytes;
        while (new_bytes < required_bytes) {
            new_bytes *= 2;
        }
        request->body = realloc(request->body, new_bytes);
        request->body_capacity_bytes = new_bytes;
    }
    memcpy(request->body + held_bytes, data, received_bytes);
    request->body[held_bytes + received_bytes] = '\0';
    request->reply.body.size_bytes += received_bytes;
    return received_bytes;
}

/// Parses the value of a Jt-Load header: BUSY/SLOTS.
static void
parse_load(http_reply_t *reply, const char *value)
{
    char *end = NULL;
    unsigned long busy = strtoul(value, &end, 10);
    if (end != value && *end == '/') {
        reply->has_load = true;
        reply->load_busy = (uint32_t)busy;
        reply->load_slots = (uint32_t)strtoul(end + 1, NULL, 10);
    }
}

/// @return whether a header line is the one that the answer must have
static bool
is_required_header(const http_request_t *request, const char *data,
                   size_t size_bytes)
{
    size_t length = request->required_header == NULL
                        ? 0
                        : strlen(request->required_header);
    return length > 0 && size_bytes == length + 2 &&
           memcmp(data, request->required_header, length) == 0;
}

/// @return whether a header line ends the headers of a final answer, not of an
///         interim one (1xx)
static bool
is_end_of_headers(http_request_t *request, size_t size_bytes)
{
    long status = 0;
    curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
    return size_bytes == 2 && status >= 200;
}

/// Handles one header line. Returning 0 makes libcurl fail the request and
/// close its connection.
static size_t
on_header(char *data, size_t size, size_t count, void *owner)
{
    http_request_t *request = owner;
    http_reply_t *reply = &request->reply;
    size_t size_bytes = size * count;
    request->has_required_header |=
        is_required_header(request, data, size_bytes);
    if (request->required_header != NULL && !request->has_required_header &&
        is_end_of_headers(request, size_bytes)) {
        counter_add(kCounterTriesLate, 1);
        return 0;
    }
    if (size_bytes < 3 || strchr("JjEe", data[0]) == NULL) {
        return size_bytes;
    }
    char line[kMaxHeaderLineBytes] = "";
    size_t copied_bytes =
        size_bytes < sizeof line ? size_bytes : sizeof line - 1;
    memcpy(line, data, copied_bytes);
    if (strncasecmp(line, "Jt-Not-Run: 1", 13) == 0) {
        reply->has_not_run_header = true;
    }
    else if (strncasecmp(line, "Jt-Leaving: 1", 13) == 0) {
        reply->has_leaving_header = true;
    }
    else if (strncasecmp(line, "Jt-Load: ", 9) == 0) {
        parse_load(reply, line + 9);
    }
    else if (strncasecmp(line, "ETag: ", 6) == 0) {
        line[strcspn(line, "\r\n")] = '\0';
        snprintf(reply->etag, sizeof reply->etag, "%.*s", kEtagBytes - 1,
                 line + 6);
    }
    return size_bytes;
}

static void
remove_active(http_request_t *request)
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

/// Keeps a request and its libcurl handle for reuse, or frees them.
static void
recycle(http_request_t *request)
{
    http_client_t *client = request->client;
    if (client->spare_count >= kMaxSpareHandles) {
        free_request(request);
        return;
    }
    request->next = client->spare;
    client->spare = request;
    client->spare_count++;
}

static http_outcome_t
classify_outcome(const http_request_t *request, CURLcode code)
{
    if (code == CURLE_OK && request->send_count == 1) {
        return kHttpOutcomeAnswered;
    }
    return request->send_count == 0 ? kHttpOutcomeNotSent
                                    : kHttpOutcomeUnknown;
}

static void
complete_request(http_request_t *request, CURLcode code)
{
    long status = 0;
    curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
    http_reply_t reply = request->reply;
    reply.outcome = classify_outcome(request, code);
    reply.status = (uint32_t)status;
    reply.is_response_timeout = code == CURLE_OPERATION_TIMEDOUT &&
                                request->send_count > 0 && status == 0;
    reply.body.data = request->body;
    http_done_t on_done = request->on_done;
    void *owner = request->owner;
    remove_active(request);
    on_done(owner, &reply);
    recycle(request);
}

static void
complete_requests(loop_deferred_t *deferred)
{
    http_client_t *client =
        caa_container_of(deferred, http_client_t, completion);
    CURLMsg *message;
    int left_count = 0;
    while ((message = curl_multi_info_read(client->multi, &left_count)) !=
           NULL) {
        if (message->msg == CURLMSG_DONE) {
            http_request_t *request = NULL;
            CURLcode code = message->data.result;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                              (char **)&request);
            complete_request(request, code);
        }
    }
}

static void
run_curl(http_client_t *client, curl_socket_t fd, int events)
{
    int running = 0;
    curl_multi_socket_action(client->multi, fd, events, &running);
    loop_defer(client->loop, &client->completion);
}

static void
on_timer(loop_timer_t *timer)
{
    run_curl(timer->owner, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_timeout(CURLM *multi, long remaining_ms, void *owner)
{
    (void)multi;
    http_client_t *client = owner;
    if (remaining_ms < 0) {
        loop_timer_clear(client->loop, &client->timer);
    }
    else {
        loop_timer_set(client->loop, &client->timer,
                       clock_deadline_ns((uint64_t)remaining_ms));
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
    run_curl(curl_watch->client, curl_watch->fd, events);
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
watch_socket(CURL *easy, curl_socket_t fd, int what, void *owner,
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
                              .completion = {.run = complete_requests}};
    loop_timer_init(&client->timer, on_timer, client);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, set_timeout);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    http_client_keep_connections(client, kMaxKeptConnections);
    return client;
}

void
http_client_keep_connections(http_client_t *client, uint32_t count)
{
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS, (long)count);
}

/// Takes a spare request, or creates one and sets the options that never
/// change.
static http_request_t *
acquire_request(http_client_t *client)
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
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, allow_one_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, request);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    return request;
}

/// Links the headers to a list for libcurl, without copying the strings.
///
/// @return the first, or NULL
static struct curl_slist *
link_headers(http_request_t *request, const char *const *headers)
{
    uint32_t count = 0;
    while (headers != NULL && headers[count] != NULL && count < kMaxHeaders) {
        request->headers[count] =
            (struct curl_slist){.data = (char *)headers[count]};
        if (count > 0) {
            request->headers[count - 1].next = &request->headers[count];
        }
        count++;
    }
    return count == 0 ? NULL : request->headers;
}

/// Sets the method and the limits, which seldom change, where they differ from
/// those of the previous request with this handle.
static void
update_kept_options(http_request_t *request, const http_spec_t *spec)
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
    uint32_t remaining_ms = clock_left_ms(spec->deadline_ns);
    update_kept_options(request, spec);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     spec->needs_new_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_URL, spec->url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER,
                     link_headers(request, spec->headers));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     remaining_ms > 0 ? (long)remaining_ms : 1L);
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
    http_request_t *request = acquire_request(client);
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
    remove_active(request);
    free_request(request);
}
