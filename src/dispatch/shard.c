#include "dispatch/shard.h"

#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "codec/pack.h"
#include "dispatch/adopted_records.h"
#include "dispatch/answers.h"
#include "dispatch/jobs.h"
#include "dispatch/tries.h"
#include "runtime/app.h"
#include "runtime/clock.h"

enum { kInitialSessionCapacity = 16 };

static void
send_answer(session_t *session, uint64_t request, const blob_t *blob)
{
    answer_message_t answer = {.request = request, .body = blob_bytes(blob)};
    conn_send(session->conn, kMessageAnswer, &answer);
}

/// @return the session that an answer belongs to, or NULL if it is closed
static session_t *
find_session(const shard_t *shard, const reply_to_t *to)
{
    if (to->session >= shard->session_capacity) {
        return NULL;
    }
    session_t *session = shard->sessions[to->session];
    return session != NULL && session->generation == to->generation ? session
                                                                    : NULL;
}

/// An answer or acknowledgement that is posted to the shard of its session.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    reply_to_t reply_to;
    blob_t *answer; ///< NULL for an acknowledgement
} posted_answer_t;

static void
deliver_answer(loop_callback_t *callback)
{
    posted_answer_t *posted =
        caa_container_of(callback, posted_answer_t, callback);
    session_t *session = find_session(posted->shard, &posted->reply_to);
    if (session != NULL) {
        send_answer(session, posted->reply_to.request, posted->answer);
    }
    blob_unref(posted->answer);
    free(posted);
}

void
shard_send_answer(shard_t *from, const reply_to_t *to, blob_t *answer)
{
    shard_t *shard = &from->dispatch->shards[to->shard];
    if (shard == from) {
        session_t *session = find_session(shard, to);
        if (session != NULL) {
            send_answer(session, to->request, answer);
        }
        return;
    }
    posted_answer_t *posted = malloc(sizeof *posted);
    *posted = (posted_answer_t){.callback = {.run = deliver_answer},
                                .shard = shard,
                                .reply_to = *to,
                                .answer = blob_ref(answer)};
    loop_post(shard->loop, &posted->callback);
}

void
shard_send_error(shard_t *from, const reply_to_t *to, error_kind_t kind)
{
    blob_t *blob = answers_build_error(kind);
    shard_send_answer(from, to, blob);
    blob_unref(blob);
}

static void
deliver_ack(loop_callback_t *callback)
{
    posted_answer_t *posted =
        caa_container_of(callback, posted_answer_t, callback);
    session_t *session = find_session(posted->shard, &posted->reply_to);
    if (session != NULL) {
        handover_ack_message_t ack = {.request = posted->reply_to.request};
        conn_send(session->conn, kMessageHandoverAck, &ack);
    }
    free(posted);
}

void
shard_ack_handover(shard_t *from, const reply_to_t *to)
{
    posted_answer_t *posted = malloc(sizeof *posted);
    *posted = (posted_answer_t){.callback = {.run = deliver_ack},
                                .shard = &from->dispatch->shards[to->shard],
                                .reply_to = *to};
    loop_post(posted->shard->loop, &posted->callback);
}

static reply_to_t
make_reply_to(const session_t *session, uint64_t request)
{
    return (reply_to_t){.shard = session->shard->number,
                        .session = session->index,
                        .generation = session->generation,
                        .request = request};
}

static void
handle_hello(session_t *session, bytes_t body, arena_t *arena)
{
    hello_message_t hello;
    error_info_t err = {0};
    if (pack_read_message(body, &hello_message_desc, arena, &hello, &err)) {
        session->role = hello.role;
        link_clock_read_age_ns(&session->clock, hello.sent_us, clock_now_ns());
    }
    hello_message_t reply = session->shard->dispatch->control.hello;
    reply.draining = atomic_load(&session->shard->dispatch->is_draining);
    control_send_hello(session->conn, &reply);
}

/// A request for ids that is passed from shard to shard. Each of N shards
/// mints every N-th id, which spreads the jobs of one front over all shards.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    reply_to_t reply_to;
    uint32_t count;       ///< ids requested
    uint32_t shards_done; ///< number of shards that have minted their part
    int64_t start_by_ns;  ///< earliest start-by deadline of the ids so far
    uint8_t *packed_ids;
} posted_mint_t;

/// Sends the ids to the session that requested them.
static void
deliver_ids(loop_callback_t *callback)
{
    posted_mint_t *posted =
        caa_container_of(callback, posted_mint_t, callback);
    session_t *session = find_session(posted->shard, &posted->reply_to);
    if (session != NULL) {
        minted_message_t minted = {
            .request = posted->reply_to.request,
            .left_ms = clock_left_ms(posted->start_by_ns),
            .ids = {.data = posted->packed_ids,
                    .size_bytes = posted->count * kJobIdPackedBytes}};
        conn_send(session->conn, kMessageMinted, &minted);
    }
    counter_add(kCounterJobsMinted, posted->count);
    atomic_fetch_sub(&posted->shard->active_count, 1);
    free(posted->packed_ids);
    free(posted);
}

/// Mints the shard's part of the ids, then posts the request to the next
/// shard, or back to the shard of the session when all ids are minted.
static void
mint_part(loop_callback_t *callback)
{
    posted_mint_t *posted =
        caa_container_of(callback, posted_mint_t, callback);
    shard_t *shard = posted->shard;
    dispatch_t *dispatch = shard->dispatch;
    int64_t submit_window_ns =
        (int64_t)dispatch->settings->start_by_ms * kNsPerMs;
    for (uint32_t index = posted->shards_done; index < posted->count;
         index += dispatch->shard_count) {
        job_id_t id;
        int64_t start_by_ns = id_registry_mint(
            shard->id_registry, 1, clock_now_ns(), submit_window_ns, &id);
        if (start_by_ns < posted->start_by_ns) {
            posted->start_by_ns = start_by_ns;
        }
        job_id_pack(&id,
                    posted->packed_ids + (size_t)index * kJobIdPackedBytes);
    }
    atomic_store(&shard->last_start_by_ns,
                 id_registry_last_start_by_ns(shard->id_registry));
    posted->shards_done++;
    bool is_done = posted->shards_done >= dispatch->shard_count ||
                   posted->shards_done >= posted->count;
    uint32_t next = is_done ? posted->reply_to.shard
                            : (shard->number + 1) % dispatch->shard_count;
    posted->callback.run = is_done ? deliver_ids : mint_part;
    posted->shard = &dispatch->shards[next];
    loop_post(posted->shard->loop, &posted->callback);
}

static void
handle_mint(session_t *session, bytes_t body, arena_t *arena)
{
    mint_message_t message;
    error_info_t err = {0};
    if (!pack_read_message(body, &mint_message_desc, arena, &message, &err)) {
        conn_close(session->conn);
        return;
    }
    if (atomic_load(&session->shard->dispatch->is_draining)) {
        minted_message_t minted = {.request = message.request,
                                   .kind = kErrorKindDraining};
        conn_send(session->conn, kMessageMinted, &minted);
        return;
    }
    // Counted as active, so that a drain waits until the ids are sent.
    atomic_fetch_add(&session->shard->active_count, 1);
    posted_mint_t *posted = calloc(1, sizeof *posted);
    posted->shard = session->shard;
    posted->reply_to = make_reply_to(session, message.request);
    posted->count = message.count;
    posted->start_by_ns = INT64_MAX;
    posted->packed_ids = malloc((size_t)message.count * kJobIdPackedBytes);
    mint_part(&posted->callback);
}

/// A request that is posted to the shard that owns its job.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    void (*serve)(shard_t *shard, job_request_t *request);
    job_request_t request;
} posted_request_t;

static void
serve_request(loop_callback_t *callback)
{
    posted_request_t *posted =
        caa_container_of(callback, posted_request_t, callback);
    posted->serve(posted->shard, &posted->request);
    free(posted);
}

/// Serves a request on the shard that owns its id: directly when that is the
/// session's shard, else by posting it there.
static void
forward_to_owner(session_t *session, const job_request_t *request,
                 void (*serve)(shard_t *shard, job_request_t *request))
{
    dispatch_t *dispatch = session->shard->dispatch;
    shard_t *owner =
        &dispatch->shards[request->id.sequence % dispatch->shard_count];
    if (owner == session->shard) {
        job_request_t copy = *request;
        serve(owner, &copy);
        return;
    }
    posted_request_t *posted = malloc(sizeof *posted);
    *posted = (posted_request_t){.callback = {.run = serve_request},
                                 .shard = owner,
                                 .serve = serve,
                                 .request = *request};
    loop_post(owner->loop, &posted->callback);
}

static void
handle_submit(session_t *session, bytes_t body, arena_t *arena)
{
    (void)arena;
    submit_message_t message;
    error_info_t err = {0};
    arena_t *job_arena = arena_create();
    job_request_t request = {.arena = job_arena};
    if (!pack_read_message(body, &submit_message_desc, job_arena, &message,
                           &err) ||
        !job_id_unpack(message.id, &request.id) ||
        message.digest.size_bytes != kDigestBytes) {
        arena_destroy(job_arena);
        conn_close(session->conn);
        return;
    }
    const dispatch_settings_t *settings = session->shard->dispatch->settings;
    int64_t now_ns = clock_now_ns();
    int64_t sent_ns = now_ns - link_clock_read_age_ns(&session->clock,
                                                      message.sent_us, now_ns);
    uint32_t left_ms =
        message.left_ms == 0 || message.left_ms > settings->job_limit_ms
            ? settings->job_limit_ms
            : message.left_ms;
    request.reply_to = make_reply_to(session, message.request);
    memcpy(request.digest, message.digest.data, kDigestBytes);
    request.deadline_ns =
        message.is_overdue ? sent_ns : sent_ns + (int64_t)left_ms * kNsPerMs;
    request.document = message.job;
    forward_to_owner(session, &request, jobs_submit);
}

/// Forwards a request that consists of a job id to the shard that owns it.
static void
forward_by_id(session_t *session, uint64_t number, bytes_t id,
              void (*serve)(shard_t *shard, job_request_t *request))
{
    job_request_t request = {.reply_to = make_reply_to(session, number)};
    if (!job_id_unpack(id, &request.id)) {
        conn_close(session->conn);
        return;
    }
    forward_to_owner(session, &request, serve);
}

static void
handle_read(session_t *session, bytes_t body, arena_t *arena)
{
    read_message_t message;
    error_info_t err = {0};
    if (!pack_read_message(body, &read_message_desc, arena, &message, &err)) {
        conn_close(session->conn);
        return;
    }
    forward_by_id(session, message.request, message.id, jobs_read);
}

static void
handle_cancel(session_t *session, bytes_t body, arena_t *arena)
{
    cancel_message_t message;
    error_info_t err = {0};
    if (!pack_read_message(body, &cancel_message_desc, arena, &message,
                           &err)) {
        conn_close(session->conn);
        return;
    }
    forward_by_id(session, message.request, message.id, jobs_cancel);
}

static void
handle_find(session_t *session, bytes_t body, arena_t *arena)
{
    find_message_t message;
    error_info_t err = {0};
    job_request_t request = {0};
    if (!pack_read_message(body, &find_message_desc, arena, &message, &err) ||
        !job_id_unpack(message.id, &request.id)) {
        conn_close(session->conn);
        return;
    }
    if (message.digest.size_bytes == kDigestBytes) {
        request.has_digest = true;
        memcpy(request.digest, message.digest.data, kDigestBytes);
    }
    request.reply_to = make_reply_to(session, message.request);
    adopted_records_post_find(session->shard, &request);
}

static void
handle_handover(session_t *session, bytes_t body, arena_t *arena)
{
    (void)arena;
    adopted_records_post_handover(session->shard, session->index,
                                  session->generation, body);
}

typedef void (*message_handler_t)(session_t *session, bytes_t body,
                                  arena_t *arena);

static const message_handler_t message_handlers[kMessageCount] = {
    [kMessageHello] = handle_hello,       [kMessageMint] = handle_mint,
    [kMessageSubmit] = handle_submit,     [kMessageRead] = handle_read,
    [kMessageCancel] = handle_cancel,     [kMessageFind] = handle_find,
    [kMessageHandover] = handle_handover,
};

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    session_t *session = conn->owner;
    if (type < kMessageCount && message_handlers[type] != NULL) {
        arena_t *arena = arena_create();
        message_handlers[type](session, body, arena);
        arena_destroy(arena);
        return;
    }
    control_answer(&session->shard->dispatch->control, conn, type, body);
}

static void
on_close(conn_t *conn)
{
    session_t *session = conn->owner;
    session->shard->sessions[session->index] = NULL;
    loop_free_later(conn->loop, session, free);
}

static const conn_ops_t session_ops = {.on_message = on_message,
                                       .on_close = on_close};

/// @return a free index of the session table, which grows when it is full
static uint32_t
find_free_index(shard_t *shard)
{
    for (uint32_t i = 0; i < shard->session_capacity; i++) {
        if (shard->sessions[i] == NULL) {
            return i;
        }
    }
    uint32_t index = shard->session_capacity;
    shard->session_capacity = index == 0 ? kInitialSessionCapacity : index * 2;
    shard->sessions = realloc(shard->sessions,
                              shard->session_capacity * sizeof(session_t *));
    if (shard->sessions == NULL) {
        abort();
    }
    for (uint32_t i = index; i < shard->session_capacity; i++) {
        shard->sessions[i] = NULL;
    }
    return index;
}

/// An accepted socket that is posted to a shard.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    apr_socket_t *socket;
    arena_t *arena;
} posted_socket_t;

static void
open_session(loop_callback_t *callback)
{
    posted_socket_t *posted =
        caa_container_of(callback, posted_socket_t, callback);
    shard_t *shard = posted->shard;
    session_t *session = calloc(1, sizeof *session);
    session->shard = shard;
    session->index = find_free_index(shard);
    session->generation = ++shard->next_generation;
    shard->sessions[session->index] = session;
    session->conn = conn_wrap_socket(shard->loop, posted->socket,
                                     posted->arena, &session_ops, session);
    free(posted);
}

void
shard_add_socket(shard_t *shard, apr_socket_t *socket, arena_t *arena)
{
    posted_socket_t *posted = malloc(sizeof *posted);
    *posted = (posted_socket_t){.callback = {.run = open_session},
                                .shard = shard,
                                .socket = socket,
                                .arena = arena};
    loop_post(shard->loop, &posted->callback);
}

void
shard_init(shard_t *shard, dispatch_t *dispatch, uint32_t number)
{
    shard->dispatch = dispatch;
    shard->number = number;
    shard->loop = loop_create();
    shard->http = http_client_create(shard->loop);
    shard->id_registry = id_registry_create(&dispatch->self, dispatch->secret,
                                            number, dispatch->shard_count);
    shard->task_queue = task_queue_create(dispatch->settings->ordering);
    shard->rng.state = app_random();
    retry_budget_init(&shard->retry_budget);
    loop_timer_init(&shard->hold_timer, jobs_on_hold_timer, shard);
    loop_timer_init(&shard->waiting_timer, tries_on_waiting_timer, shard);
    shard->free_slot_callback.run = tries_on_free_slot;
}

static void *APR_THREAD_FUNC
run_loop(apr_thread_t *thread, void *owner)
{
    (void)thread;
    loop_run(((shard_t *)owner)->loop);
    return NULL;
}

void
shard_start(shard_t *shard)
{
    arena_t *arena = arena_create();
    if (apr_thread_create(&shard->thread, NULL, run_loop, shard, arena) !=
        APR_SUCCESS) {
        abort();
    }
}

/// A call without arguments that is posted to a shard.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
} posted_call_t;

static void
post_to_shard(shard_t *shard, void (*run)(loop_callback_t *callback))
{
    posted_call_t *posted = malloc(sizeof *posted);
    *posted = (posted_call_t){.callback = {.run = run}, .shard = shard};
    loop_post(shard->loop, &posted->callback);
}

static void
send_drain(loop_callback_t *callback)
{
    posted_call_t *posted =
        caa_container_of(callback, posted_call_t, callback);
    shard_t *shard = posted->shard;
    drain_message_t drain = {.nonce = shard->dispatch->self.nonce};
    for (uint32_t i = 0; i < shard->session_capacity; i++) {
        if (shard->sessions[i] != NULL) {
            conn_send(shard->sessions[i]->conn, kMessageDrain, &drain);
        }
    }
    free(posted);
}

void
shard_announce_drain(shard_t *shard)
{
    post_to_shard(shard, send_drain);
}

static void
close_sessions_and_stop(loop_callback_t *callback)
{
    posted_call_t *posted =
        caa_container_of(callback, posted_call_t, callback);
    shard_t *shard = posted->shard;
    for (uint32_t i = 0; i < shard->session_capacity; i++) {
        if (shard->sessions[i] != NULL) {
            conn_flush(shard->sessions[i]->conn);
        }
        if (shard->sessions[i] != NULL) {
            conn_close(shard->sessions[i]->conn);
        }
    }
    loop_stop(shard->loop);
    free(posted);
}

void
shard_stop(shard_t *shard)
{
    post_to_shard(shard, close_sessions_and_stop);
}
