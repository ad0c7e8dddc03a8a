#include "front/http.h"

#include <apr_time.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu-bp.h>

#include "base/counters.h"
#include "codec/json.h"
#include "front/replies.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kIdsLimit = 1024,
    kConnectionLimit = 20000,
    kIdleLimitS = 60,
    kGraceMs = 2000, ///< beyond a job's deadline, for the answer to come
    kStopCheckUs = 20000
};

/// One request of a caller.
typedef struct {
    front_t *front;
    struct MHD_Connection *connection;
    call_t call;
    uint8_t *body;
    uint32_t body_bytes;
    uint32_t body_capacity_bytes;
    bool is_too_large;
    bool is_answered; ///< the call has its outcome
} exchange_t;

/// Says whether a path is served, and by what.
typedef struct {
    const char *method;
    const char *path; ///< exact, or a prefix that an id follows
    bool takes_id;
    bool takes_body;
    /// Starts to serve a request whose body is there.
    enum MHD_Result (*serve)(exchange_t *exchange);
} route_t;

static enum MHD_Result
reply_kind(exchange_t *exchange, error_kind_t kind, const char *reason)
{
    call_set_kind(&exchange->call, kind);
    if (reason != NULL) {
        exchange->call.answer.reason = reason;
    }
    if (error_answers[kind].run == kRunStatusNotRun) {
        counter_add(kCounterHttpBadRequests, 1);
    }
    return replies_send_answer(exchange->connection, &exchange->call,
                               atomic_load(&exchange->front->is_draining));
}

/// Wakes the connection of a call that has its outcome. Relay's thread.
static void
on_call_done(call_t *call)
{
    exchange_t *exchange = call->owner;
    exchange->is_answered = true;
    MHD_resume_connection(exchange->connection);
}

static enum MHD_Result
start_call(exchange_t *exchange, call_type_t type)
{
    front_t *front = exchange->front;
    call_t *call = &exchange->call;
    call->type = type;
    call->on_done = on_call_done;
    call->owner = exchange;
    call->give_up_ns = call->deadline_ns != 0
                           ? call->deadline_ns + (int64_t)kGraceMs * kNsPerMs
                           : clock_deadline_ns(front->settings->wait_limit_ms);
    uint32_t number =
        atomic_fetch_add(&front->next_relay, 1) % front->relay_count;
    MHD_suspend_connection(exchange->connection);
    relay_post(&front->relays[number], call);
    return MHD_YES;
}

static enum MHD_Result
serve_new_job(exchange_t *exchange)
{
    exchange->call.count = 1;
    return start_call(exchange, kCallMint);
}

static enum MHD_Result
serve_ids(exchange_t *exchange)
{
    const char *count_text = MHD_lookup_connection_value(
        exchange->connection, MHD_GET_ARGUMENT_KIND, "count");
    unsigned long count = 1;
    if (count_text != NULL) {
        char *end = NULL;
        count = strtoul(count_text, &end, 10);
        if (*end != '\0' || count < 1 || count > kIdsLimit) {
            return reply_kind(exchange, kErrorKindBadRequest,
                              "count: allowed is a number from 1 to 1024");
        }
    }
    exchange->call.count = (uint32_t)count;
    return start_call(exchange, kCallMint);
}

static enum MHD_Result
serve_submit(exchange_t *exchange)
{
    call_t *call = &exchange->call;
    error_info_t err = {0};
    bytes_t body = {.data = exchange->body,
                    .size_bytes = exchange->body_bytes};
    if (!json_read(body, &job_document_desc, kErrorKindBadRequest, call->arena,
                   &call->document, &err)) {
        const char *reason =
            arena_copy(call->arena, err.text, strlen(err.text));
        return reply_kind(exchange, err.kind, reason);
    }
    crypto_generichash(call->digest, sizeof call->digest, body.data,
                       body.size_bytes, NULL, 0);
    if (call->document.deadline_ms > 0) {
        call->deadline_ns = clock_deadline_ns(call->document.deadline_ms);
    }
    return start_call(exchange, kCallSubmit);
}

static enum MHD_Result
serve_read(exchange_t *exchange)
{
    return start_call(exchange, kCallRead);
}

static enum MHD_Result
serve_cancel(exchange_t *exchange)
{
    return start_call(exchange, kCallCancel);
}

/// Says whether callers should come here: not before a list of VMs is known,
/// nor once the front is stopping.
static enum MHD_Result
serve_health(exchange_t *exchange)
{
    front_t *front = exchange->front;
    rcu_read_lock();
    bool is_ready = rcu_dereference(front->members)->version > 0;
    rcu_read_unlock();
    return replies_send_health(exchange->connection,
                               is_ready && !atomic_load(&front->is_draining));
}

static const route_t routes[] = {
    {.method = "POST", .path = "/v1/jobs", .serve = serve_new_job},
    {.method = "POST", .path = "/v1/job-ids", .serve = serve_ids},
    {.method = "PUT",
     .path = "/v1/jobs/",
     .takes_id = true,
     .takes_body = true,
     .serve = serve_submit},
    {.method = "POST",
     .path = "/v1/jobs/",
     .takes_id = true,
     .takes_body = true,
     .serve = serve_submit},
    {.method = "GET",
     .path = "/v1/jobs/",
     .takes_id = true,
     .serve = serve_read},
    {.method = "DELETE",
     .path = "/v1/jobs/",
     .takes_id = true,
     .serve = serve_cancel},
    {.method = "GET", .path = "/v1/health", .serve = serve_health},
};

enum { kRouteCount = sizeof routes / sizeof routes[0] };

static bool
path_matches(const route_t *route, const char *url)
{
    return route->takes_id
               ? strncmp(url, route->path, strlen(route->path)) == 0
               : strcmp(url, route->path) == 0;
}

/// Finds what serves a request.
///
/// @param kind  set to the refusal where nothing does
static const route_t *
find_route(const char *method, const char *url, error_kind_t *kind)
{
    *kind = kErrorKindNotFound;
    for (uint32_t i = 0; i < kRouteCount; i++) {
        if (!path_matches(&routes[i], url)) {
            continue;
        }
        if (strcmp(routes[i].method, method) == 0) {
            return &routes[i];
        }
        *kind = kErrorKindMethod;
    }
    return NULL;
}

static exchange_t *
create_exchange(front_t *front, struct MHD_Connection *connection)
{
    exchange_t *exchange = calloc(1, sizeof *exchange);
    exchange->front = front;
    exchange->connection = connection;
    exchange->call.arena = arena_create();
    atomic_fetch_add(&front->active_count, 1);
    atomic_store(&front->last_request_ns, clock_now_ns());
    counter_add(kCounterHttpRequests, 1);
    return exchange;
}

/// Keeps a piece of the body, up to the limit.
static void
take_body(exchange_t *exchange, const char *data, size_t size_bytes)
{
    uint32_t limit_bytes = exchange->front->settings->body_limit_bytes;
    if (exchange->is_too_large ||
        exchange->body_bytes + size_bytes > limit_bytes) {
        exchange->is_too_large = true;
        return;
    }
    uint32_t need_bytes = exchange->body_bytes + (uint32_t)size_bytes;
    if (need_bytes > exchange->body_capacity_bytes) {
        uint32_t grown_bytes = need_bytes * 2;
        exchange->body = realloc(exchange->body, grown_bytes);
        if (exchange->body == NULL) {
            abort();
        }
        exchange->body_capacity_bytes = grown_bytes;
    }
    memcpy(exchange->body + exchange->body_bytes, data, size_bytes);
    exchange->body_bytes = need_bytes;
}

/// Sends the outcome of a call.
static enum MHD_Result
reply_outcome(exchange_t *exchange, const route_t *route)
{
    bool is_last = atomic_load(&exchange->front->is_draining);
    if (exchange->call.type != kCallMint || exchange->call.ids == NULL) {
        return replies_send_answer(exchange->connection, &exchange->call,
                                   is_last);
    }
    return route->serve == serve_new_job
               ? replies_send_redirect(exchange->connection, &exchange->call,
                                       is_last)
               : replies_send_ids(exchange->connection, &exchange->call,
                                  is_last);
}

/// Serves a request whose body is there.
static enum MHD_Result
serve(exchange_t *exchange, const route_t *route, const char *url)
{
    if (exchange->is_too_large) {
        return reply_kind(exchange, kErrorKindTooLarge, NULL);
    }
    if (route->takes_id &&
        !job_id_parse(url + strlen(route->path), &exchange->call.id)) {
        return reply_kind(exchange, kErrorKindNotMinted, NULL);
    }
    return route->serve(exchange);
}

/// @return whether the caller waits for leave to send its body
static bool
expects_continue(struct MHD_Connection *connection)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                       MHD_HTTP_HEADER_EXPECT) != NULL;
}

static enum MHD_Result
on_request(void *owner, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_bytes, void **state)
{
    (void)version;
    front_t *front = owner;
    exchange_t *exchange = *state;
    error_kind_t refusal = kErrorKindOk;
    const route_t *route = find_route(method, url, &refusal);
    if (exchange == NULL) {
        *state = create_exchange(front, connection);
        // A caller that asks first is answered before it sends the body.
        if (route != NULL && !route->takes_body &&
            expects_continue(connection)) {
            return serve(*state, route, url);
        }
        return MHD_YES;
    }
    if (exchange->is_answered) {
        return reply_outcome(exchange, route);
    }
    if (*upload_bytes > 0) {
        if (route != NULL && route->takes_body) {
            take_body(exchange, upload_data, *upload_bytes);
        }
        *upload_bytes = 0;
        return MHD_YES;
    }
    if (route == NULL) {
        return reply_kind(exchange, refusal, NULL);
    }
    return serve(exchange, route, url);
}

static void
on_completed(void *owner, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    (void)connection;
    (void)code;
    front_t *front = owner;
    exchange_t *exchange = *state;
    if (exchange == NULL) {
        return;
    }
    arena_destroy(exchange->call.arena);
    free(exchange->body);
    free(exchange);
    *state = NULL;
    atomic_fetch_sub(&front->active_count, 1);
}

bool
http_start(front_t *front, error_info_t *err)
{
    const front_settings_t *settings = front->settings;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(settings->http_port)};
    if (inet_pton(AF_INET, settings->here.address, &address.sin_addr) != 1) {
        return error_set(err, kErrorKindBadSettings,
                         "here.address: %s is not an IPv4 address",
                         settings->here.address);
    }
    front->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        settings->http_port, NULL, NULL, on_request, front,
        MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
        MHD_OPTION_THREAD_POOL_SIZE,
        settings->http_threads > 1 ? settings->http_threads : 0u,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned int)kConnectionLimit,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)kIdleLimitS,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, front, MHD_OPTION_END);
    if (front->daemon == NULL) {
        return error_set(err, kErrorKindIo, "cannot listen on %s:%u",
                         settings->here.address, settings->http_port);
    }
    return true;
}

/// @return whether no request is served and none came for a while
static bool
is_quiet(front_t *front)
{
    int64_t quiet_ns = (int64_t)front->settings->quiet_ms * kNsPerMs;
    return atomic_load(&front->active_count) == 0 &&
           clock_now_ns() - atomic_load(&front->last_request_ns) >= quiet_ns;
}

void
http_stop(front_t *front)
{
    int64_t limit_ns = clock_deadline_ns(front->settings->stop_limit_ms);
    atomic_store(&front->last_request_ns, clock_now_ns());
    atomic_store(&front->is_draining, true);
    log_event("draining", "vm=%u", front->settings->here.vm);
    while (!is_quiet(front) && clock_now_ns() < limit_ns) {
        apr_sleep(kStopCheckUs);
    }
    MHD_socket listening = MHD_quiesce_daemon(front->daemon);
    if (listening != MHD_INVALID_SOCKET) {
        close(listening);
    }
    while (atomic_load(&front->active_count) > 0 &&
           clock_now_ns() < limit_ns) {
        apr_sleep(kStopCheckUs);
    }
    log_event("drained", "active=%u", atomic_load(&front->active_count));
}
