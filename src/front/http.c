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
#include "codec/json_bounds.h"
#include "front/responses.h"
#include "httpd/arrival.h"
#include "httpd/body.h"
#include "httpd/stop.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"
#include "runtime/memory_limit.h"

enum {
    kMaxIdsPerRequest = 1024,
    kMaxConnections = 20000,
    /// Of the descriptors, for callers. A server of libmicrohttpd without a
    /// free descriptor keeps its thread busy; one at its limit does not.
    kDescriptorPercent = 70,
    kIdleTimeoutS = 60,
    kAnswerGraceMs = 2000, ///< time to wait for the answer after the deadline
    kStopPollUs = 20000,
    kDrainTimeoutMs = 300, ///< for requests that are still being read
    kConnectionMemoryBytes = 16384,
    kIdAnswerBytes = 256, ///< of an id, from the dispatcher to its response
    /// Of a body. A job has at most 520 tasks of few values each; an object
    /// costs the decoder about a kilobyte.
    kMaxValues = 8192
};

/// One HTTP request of a caller and its response.
typedef struct {
    front_t *front;
    struct MHD_Connection *connection;
    call_t call;
    body_t body;
    bool is_done; ///< the call is done; the response can be sent
} exchange_t;

/// An entry of the routing table.
typedef struct {
    const char *method;
    const char *path; ///< the whole path, or the part before the job id
    bool has_id;      ///< a job id follows the path
    bool has_body;    ///< the body is kept; otherwise it is discarded
    /// Handles a request that was received completely: sends a response or
    /// starts a call.
    enum MHD_Result (*handle)(exchange_t *exchange);
} route_t;

static enum MHD_Result
respond_with_error(exchange_t *exchange, error_kind_t kind, const char *reason)
{
    call_set_error(&exchange->call, kind);
    if (reason != NULL) {
        exchange->call.answer.reason = reason;
    }
    if (error_answers[kind].run == kRunStatusNotRun) {
        counter_add(kCounterHttpBadRequests, 1);
    }
    return responses_send_answer(exchange->connection, &exchange->call,
                                 atomic_load(&exchange->front->is_draining));
}

/// Resumes the connection of a call that is done. Runs on the relay's thread.
static void
on_call_done(call_t *call)
{
    exchange_t *exchange = call->owner;
    exchange->is_done = true;
    MHD_resume_connection(exchange->connection);
}

/// Refuses a request that gets no memory. It has not run.
static enum MHD_Result
refuse_for_memory(exchange_t *exchange)
{
    return respond_with_error(exchange, kErrorKindOverload,
                              "memory for requests is short");
}

static enum MHD_Result
start_call(exchange_t *exchange, call_type_t type)
{
    front_t *front = exchange->front;
    call_t *call = &exchange->call;
    call->type = type;
    call->on_done = on_call_done;
    call->owner = exchange;
    call->answer_deadline_ns =
        call->deadline_ns != 0
            ? call->deadline_ns + (int64_t)kAnswerGraceMs * kNsPerMs
            : clock_deadline_ns(front->settings->wait_limit_ms);
    uint32_t relay_index =
        atomic_fetch_add(&front->next_relay, 1) % front->relay_count;
    occupant_set_state(intake_find(exchange->connection), kOccupantWaiting);
    MHD_suspend_connection(exchange->connection);
    relay_post(&front->relays[relay_index], call);
    return MHD_YES;
}

static enum MHD_Result
handle_new_job(exchange_t *exchange)
{
    exchange->call.count = 1;
    return start_call(exchange, kCallMint);
}

static enum MHD_Result
handle_ids(exchange_t *exchange)
{
    const char *count_text = MHD_lookup_connection_value(
        exchange->connection, MHD_GET_ARGUMENT_KIND, "count");
    unsigned long count = 1;
    if (count_text != NULL) {
        char *end = NULL;
        count = strtoul(count_text, &end, 10);
        if (*end != '\0' || count < 1 || count > kMaxIdsPerRequest) {
            return respond_with_error(
                exchange, kErrorKindBadRequest,
                "count: allowed is a number from 1 to 1024");
        }
    }
    if (!occupant_charge(intake_find(exchange->connection),
                         (uint64_t)count * kIdAnswerBytes)) {
        return refuse_for_memory(exchange);
    }
    exchange->call.count = (uint32_t)count;
    return start_call(exchange, kCallMint);
}

static enum MHD_Result
handle_submit(exchange_t *exchange)
{
    call_t *call = &exchange->call;
    error_info_t err = {0};
    bytes_t body = {.data = exchange->body.data,
                    .size_bytes = exchange->body.size_bytes};
    if (json_bounds_count_values(body) > kMaxValues) {
        counter_add(kCounterRequestsTooLarge, 1);
        return respond_with_error(exchange, kErrorKindTooLarge, NULL);
    }
    // Decoding copies the body, and so does the message to the dispatcher.
    if (!occupant_charge(intake_find(exchange->connection),
                         2 * (uint64_t)body.size_bytes)) {
        return refuse_for_memory(exchange);
    }
    if (!json_read(body, &job_document_desc, kErrorKindBadRequest, call->arena,
                   &call->document, &err)) {
        const char *reason =
            arena_copy(call->arena, err.text, strlen(err.text));
        return respond_with_error(exchange, err.kind, reason);
    }
    crypto_generichash(call->digest, sizeof call->digest, body.data,
                       body.size_bytes, NULL, 0);
    body_free(&exchange->body, exchange->connection);
    if (call->document.deadline_ms > 0) {
        call->deadline_ns =
            httpd_read_arrival_ns(exchange->connection, clock_now_ns()) +
            (int64_t)call->document.deadline_ms * kNsPerMs;
    }
    return start_call(exchange, kCallSubmit);
}

static enum MHD_Result
handle_read(exchange_t *exchange)
{
    return start_call(exchange, kCallRead);
}

static enum MHD_Result
handle_cancel(exchange_t *exchange)
{
    return start_call(exchange, kCallCancel);
}

/// Reports whether callers should use this front: they should not before a
/// list of VMs is received or while the front is stopping.
static enum MHD_Result
handle_health(exchange_t *exchange)
{
    front_t *front = exchange->front;
    rcu_read_lock();
    bool is_ready = rcu_dereference(front->members)->version > 0;
    rcu_read_unlock();
    return responses_send_health(
        exchange->connection, is_ready && !atomic_load(&front->is_draining));
}

static const route_t routes[] = {
    {.method = "POST", .path = "/v1/jobs", .handle = handle_new_job},
    {.method = "POST", .path = "/v1/job-ids", .handle = handle_ids},
    {.method = "PUT",
     .path = "/v1/jobs/",
     .has_id = true,
     .has_body = true,
     .handle = handle_submit},
    {.method = "POST",
     .path = "/v1/jobs/",
     .has_id = true,
     .has_body = true,
     .handle = handle_submit},
    {.method = "GET",
     .path = "/v1/jobs/",
     .has_id = true,
     .handle = handle_read},
    {.method = "DELETE",
     .path = "/v1/jobs/",
     .has_id = true,
     .handle = handle_cancel},
    {.method = "GET", .path = "/v1/health", .handle = handle_health},
};

enum { kRouteCount = sizeof routes / sizeof routes[0] };

static bool
path_matches(const route_t *route, const char *url)
{
    return route->has_id ? strncmp(url, route->path, strlen(route->path)) == 0
                         : strcmp(url, route->path) == 0;
}

/// Finds the route of a request.
///
/// @param kind  set to the error to answer if there is none
/// @return the route, or NULL
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

/// Sends the response for a call that is done.
static enum MHD_Result
respond_with_result(exchange_t *exchange, const route_t *route)
{
    bool closes_connection = atomic_load(&exchange->front->is_draining);
    if (exchange->call.type != kCallMint || exchange->call.ids == NULL) {
        return responses_send_answer(exchange->connection, &exchange->call,
                                     closes_connection);
    }
    return route->handle == handle_new_job
               ? responses_send_redirect(exchange->connection, &exchange->call,
                                         closes_connection)
               : responses_send_ids(exchange->connection, &exchange->call,
                                    closes_connection);
}

/// Handles a request that was received completely.
static enum MHD_Result
handle_request(exchange_t *exchange, const route_t *route, const char *url)
{
    if (route->has_id &&
        !job_id_parse(url + strlen(route->path), &exchange->call.id)) {
        return respond_with_error(exchange, kErrorKindNotMinted, NULL);
    }
    return route->handle(exchange);
}

/// @return whether the caller waits for 100 Continue before it sends the body
static bool
expects_continue(struct MHD_Connection *connection)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                       MHD_HTTP_HEADER_EXPECT) != NULL;
}

/// Refuses a request before its body is read. It has not run.
static enum MHD_Result
begin_request(exchange_t *exchange, const route_t *route, const char *url)
{
    if (!intake_begin(exchange->connection)) {
        return refuse_for_memory(exchange);
    }
    if (!body_is_length_allowed(exchange->connection,
                                exchange->front->settings->body_limit_bytes)) {
        counter_add(kCounterRequestsTooLarge, 1);
        return respond_with_error(exchange, kErrorKindTooLarge, NULL);
    }
    // Answers a request with an Expect header before the body is sent, if the
    // body is not needed.
    return route == NULL || route->has_body ||
                   !expects_continue(exchange->connection)
               ? MHD_YES
               : handle_request(exchange, route, url);
}

enum MHD_Result
http_handle_request(void *owner, struct MHD_Connection *connection,
                    const char *url, const char *method, const char *version,
                    const char *upload_data, size_t *upload_bytes,
                    void **state)
{
    (void)version;
    front_t *front = owner;
    exchange_t *exchange = *state;
    error_kind_t error = kErrorKindOk;
    const route_t *route = find_route(method, url, &error);
    if (exchange == NULL) {
        *state = create_exchange(front, connection);
        return begin_request(*state, route, url);
    }
    if (exchange->is_done) {
        occupant_set_state(intake_find(connection), kOccupantBusy);
        return respond_with_result(exchange, route);
    }
    if (*upload_bytes > 0) {
        const body_rules_t rules = {
            .limit_bytes = front->settings->body_limit_bytes,
            .is_discarded = route == NULL || !route->has_body,
            .refusal_headers = "Jt-Not-Run: 1\r\n"};
        return body_receive(&exchange->body, connection, &rules, upload_data,
                            upload_bytes);
    }
    if (occupant_is_evicted(intake_find(connection))) {
        return MHD_NO;
    }
    if (route == NULL) {
        return respond_with_error(exchange, error, NULL);
    }
    return handle_request(exchange, route, url);
}

void
http_end_request(void *owner, struct MHD_Connection *connection, void **state,
                 enum MHD_RequestTerminationCode code)
{
    (void)code;
    front_t *front = owner;
    exchange_t *exchange = *state;
    if (exchange == NULL) {
        return;
    }
    arena_destroy(exchange->call.arena);
    body_free(&exchange->body, connection);
    free(exchange);
    *state = NULL;
    occupant_release_all(intake_find(connection));
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
    const uint64_t memory_bytes = memory_limit_request_bytes(
        settings->request_memory_mb, settings->memory_mb);
    const intake_size_t size =
        intake_plan(descriptors_share(kDescriptorPercent, kMaxConnections),
                    kConnectionMemoryBytes, memory_bytes);
    memory_budget_init(&front->budget, size.request_bytes);
    occupancy_t *callers =
        intake_create("callers", size.open_limit, &front->budget);
    front->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        settings->http_port, NULL, NULL, http_handle_request, front,
        MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
        MHD_OPTION_THREAD_POOL_SIZE,
        settings->http_threads > 1 ? settings->http_threads : 0u,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned int)size.connection_limit,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)kIdleTimeoutS,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)kConnectionMemoryBytes,
        MHD_OPTION_NOTIFY_COMPLETED, http_end_request, front,
        MHD_OPTION_NOTIFY_CONNECTION, intake_on_connection, callers,
        MHD_OPTION_END);
    if (front->daemon == NULL) {
        return error_set(err, kErrorKindIo, "cannot listen on %s:%u",
                         settings->here.address, settings->http_port);
    }
    intake_limit_kernel_buffers(front->daemon);
    return true;
}

/// @return whether no request is in progress and none arrived for quiet_ms
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
        apr_sleep(kStopPollUs);
    }
    httpd_stop_accepting(front->daemon, clock_deadline_ns(kDrainTimeoutMs));
    while (atomic_load(&front->active_count) > 0 &&
           clock_now_ns() < limit_ns) {
        apr_sleep(kStopPollUs);
    }
    log_event("drained", "active=%u", atomic_load(&front->active_count));
}
