#include "dispatch/shard.h"

#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "codec/pack.h"
#include "dispatch/adopted.h"
#include "dispatch/answers.h"
#include "dispatch/jobs.h"
#include "dispatch/tries.h"
#include "runtime/app.h"
#include "runtime/clock.h"

enum { kMintLimit = 4096 };

static void
send_answer(session_t *session, uint64_t request, const blob_t *blob)
{
    answer_message_t answer = {.request = request, .body = blob_bytes(blob)};
    conn_send(session->conn, kMessageAnswer, &answer);
}

/// @return the session that an answer goes to, or NULL when it is gone
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

/// An answer on its way to another shard.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    reply_to_t to;
    blob_t *answer;
} answer_mail_t;

static void
run_answer(loop_callback_t *callback)
{
    answer_mail_t *letter =
        caa_container_of(callback, answer_mail_t, callback);
    session_t *session = find_session(letter->shard, &letter->to);
    if (session != NULL) {
        send_answer(session, letter->to.request, letter->answer);
    }
    blob_drop(letter->answer);
    free(letter);
}

void
shard_answer(shard_t *from, const reply_to_t *to, blob_t *answer)
{
    shard_t *shard = &from->dispatch->shards[to->shard];
    if (shard == from) {
        session_t *session = find_session(shard, to);
        if (session != NULL) {
            send_answer(session, to->request, answer);
        }
        return;
    }
    answer_mail_t *letter = malloc(sizeof *letter);
    *letter = (answer_mail_t){.callback = {.run = run_answer},
                              .shard = shard,
                              .to = *to,
                              .answer = blob_hold(answer)};
    loop_post(shard->loop, &letter->callback);
}

void
shard_answer_kind(shard_t *from, const reply_to_t *to, error_kind_t kind)
{
    blob_t *blob = answers_build_kind(kind);
    shard_answer(from, to, blob);
    blob_drop(blob);
}

static void
run_ack(loop_callback_t *callback)
{
    answer_mail_t *letter =
        caa_container_of(callback, answer_mail_t, callback);
    session_t *session = find_session(letter->shard, &letter->to);
    if (session != NULL) {
        handover_ack_message_t ack = {.request = letter->to.request};
        conn_send(session->conn, kMessageHandoverAck, &ack);
    }
    free(letter);
}

void
shard_ack_handover(shard_t *from, const reply_to_t *to)
{
    answer_mail_t *letter = malloc(sizeof *letter);
    *letter = (answer_mail_t){.callback = {.run = run_ack},
                              .shard = &from->dispatch->shards[to->shard],
                              .to = *to};
    loop_post(letter->shard->loop, &letter->callback);
}

static reply_to_t
reply_address(const session_t *session, uint64_t request)
{
    return (reply_to_t){.shard = session->shard->number,
                        .session = session->place,
                        .generation = session->generation,
                        .request = request};
}

static void
take_hello(session_t *session, bytes_t body, arena_t *arena)
{
    hello_message_t hello;
    error_info_t err = {0};
    if (pack_read_message(body, &hello_message_desc, arena, &hello, &err)) {
        session->role = hello.role;
    }
    hello_message_t own = session->shard->dispatch->control.hello;
    own.draining = atomic_load(&session->shard->dispatch->is_draining);
    conn_send(session->conn, kMessageHello, &own);
}

/// A mint on its way through the shards. Each mints every so manieth id, so
/// that the jobs of one front are spread over all of them.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    reply_to_t to;
    uint32_t count;
    uint32_t visited_count; ///< shards that have minted their part
    int64_t start_by_ns;    ///< the earliest deadline so far
    uint8_t *packed;
} mint_mail_t;

/// Sends the ids to whoever asked.
static void
run_minted(loop_callback_t *callback)
{
    mint_mail_t *letter = caa_container_of(callback, mint_mail_t, callback);
    session_t *session = find_session(letter->shard, &letter->to);
    if (session != NULL) {
        minted_message_t minted = {
            .request = letter->to.request,
            .left_ms = clock_left_ms(letter->start_by_ns),
            .ids = {.data = letter->packed,
                    .size_bytes = letter->count * kJobIdPackedBytes}};
        conn_send(session->conn, kMessageMinted, &minted);
    }
    counter_add(kCounterJobsMinted, letter->count);
    atomic_fetch_sub(&letter->shard->active_count, 1);
    free(letter->packed);
    free(letter);
}

/// Mints one shard's part and passes the rest on.
static void
run_mint(loop_callback_t *callback)
{
    mint_mail_t *letter = caa_container_of(callback, mint_mail_t, callback);
    shard_t *shard = letter->shard;
    dispatch_t *dispatch = shard->dispatch;
    int64_t length_ns = (int64_t)dispatch->settings->start_by_ms * kNsPerMs;
    for (uint32_t place = letter->visited_count; place < letter->count;
         place += dispatch->shard_count) {
        job_id_t id;
        int64_t start_by_ns =
            id_registry_mint(shard->mint, 1, clock_now_ns(), length_ns, &id);
        if (start_by_ns < letter->start_by_ns) {
            letter->start_by_ns = start_by_ns;
        }
        job_id_pack(&id, letter->packed + (size_t)place * kJobIdPackedBytes);
    }
    atomic_store(&shard->last_start_by_ns,
                 id_registry_last_start_by_ns(shard->mint));
    letter->visited_count++;
    bool is_done = letter->visited_count >= dispatch->shard_count ||
                   letter->visited_count >= letter->count;
    uint32_t next = is_done ? letter->to.shard
                            : (shard->number + 1) % dispatch->shard_count;
    letter->callback.run = is_done ? run_minted : run_mint;
    letter->shard = &dispatch->shards[next];
    loop_post(letter->shard->loop, &letter->callback);
}

static void
take_mint(session_t *session, bytes_t body, arena_t *arena)
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
    // Counts as work in progress, which a planned stop waits for.
    atomic_fetch_add(&session->shard->active_count, 1);
    mint_mail_t *letter = calloc(1, sizeof *letter);
    letter->shard = session->shard;
    letter->to = reply_address(session, message.request);
    letter->count = message.count;
    letter->start_by_ns = INT64_MAX;
    letter->packed = malloc((size_t)message.count * kJobIdPackedBytes);
    run_mint(&letter->callback);
}

/// A request on its way to the shard that owns its job.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    void (*serve)(shard_t *shard, job_request_t *request);
    job_request_t request;
} request_mail_t;

static void
run_request(loop_callback_t *callback)
{
    request_mail_t *letter =
        caa_container_of(callback, request_mail_t, callback);
    letter->serve(letter->shard, &letter->request);
    free(letter);
}

/// Hands a request to the shard that owns its id.
static void
forward(session_t *session, const job_request_t *request,
        void (*serve)(shard_t *shard, job_request_t *request))
{
    dispatch_t *dispatch = session->shard->dispatch;
    shard_t *owner =
        &dispatch->shards[request->id.sequence % dispatch->shard_count];
    if (owner == session->shard) {
        job_request_t own = *request;
        serve(owner, &own);
        return;
    }
    request_mail_t *letter = malloc(sizeof *letter);
    *letter = (request_mail_t){.callback = {.run = run_request},
                               .shard = owner,
                               .serve = serve,
                               .request = *request};
    loop_post(owner->loop, &letter->callback);
}

static void
take_submit(session_t *session, bytes_t body, arena_t *arena)
{
    (void)arena;
    submit_message_t message;
    error_info_t err = {0};
    arena_t *own = arena_create();
    job_request_t request = {.arena = own};
    if (!pack_read_message(body, &submit_message_desc, own, &message, &err) ||
        !job_id_unpack(message.id, &request.id) ||
        message.digest.size_bytes != kDigestBytes) {
        arena_destroy(own);
        conn_close(session->conn);
        return;
    }
    const dispatch_settings_t *settings = session->shard->dispatch->settings;
    uint32_t left_ms =
        message.left_ms == 0 || message.left_ms > settings->job_limit_ms
            ? settings->job_limit_ms
            : message.left_ms;
    request.reply_to = reply_address(session, message.request);
    memcpy(request.digest, message.digest.data, kDigestBytes);
    request.deadline_ns = clock_deadline_ns(left_ms);
    request.document = message.job;
    forward(session, &request, jobs_submit);
}

/// Hands a request that only names a job to the shard that owns it.
static void
forward_by_id(session_t *session, uint64_t number, bytes_t id,
              void (*serve)(shard_t *shard, job_request_t *request))
{
    job_request_t request = {.reply_to = reply_address(session, number)};
    if (!job_id_unpack(id, &request.id)) {
        conn_close(session->conn);
        return;
    }
    forward(session, &request, serve);
}

static void
take_read(session_t *session, bytes_t body, arena_t *arena)
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
take_cancel(session_t *session, bytes_t body, arena_t *arena)
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
take_find(session_t *session, bytes_t body, arena_t *arena)
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
    request.reply_to = reply_address(session, message.request);
    adopted_post_find(session->shard, &request);
}

static void
take_handover(session_t *session, bytes_t body, arena_t *arena)
{
    (void)arena;
    adopted_post_handover(session->shard, session->place, session->generation,
                          body);
}

typedef void (*take_t)(session_t *session, bytes_t body, arena_t *arena);

static const take_t take_table[kMessageCount] = {
    [kMessageHello] = take_hello,       [kMessageMint] = take_mint,
    [kMessageSubmit] = take_submit,     [kMessageRead] = take_read,
    [kMessageCancel] = take_cancel,     [kMessageFind] = take_find,
    [kMessageHandover] = take_handover,
};

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    session_t *session = conn->owner;
    if (type < kMessageCount && take_table[type] != NULL) {
        arena_t *arena = arena_create();
        take_table[type](session, body, arena);
        arena_destroy(arena);
        return;
    }
    control_answer(&session->shard->dispatch->control, conn, type, body);
}

static void
on_close(conn_t *conn)
{
    session_t *session = conn->owner;
    session->shard->sessions[session->place] = NULL;
    loop_free_later(conn->loop, session, free);
}

static const conn_ops_t session_ops = {.on_message = on_message,
                                       .on_close = on_close};

/// @return a free place in the table of sessions
static uint32_t
take_place(shard_t *shard)
{
    for (uint32_t i = 0; i < shard->session_capacity; i++) {
        if (shard->sessions[i] == NULL) {
            return i;
        }
    }
    uint32_t place = shard->session_capacity;
    shard->session_capacity = place == 0 ? 16 : place * 2;
    shard->sessions = realloc(shard->sessions,
                              shard->session_capacity * sizeof(session_t *));
    if (shard->sessions == NULL) {
        abort();
    }
    for (uint32_t i = place; i < shard->session_capacity; i++) {
        shard->sessions[i] = NULL;
    }
    return place;
}

/// A socket on its way to a shard.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    apr_socket_t *socket;
    arena_t *arena;
} socket_mail_t;

static void
run_socket(loop_callback_t *callback)
{
    socket_mail_t *letter =
        caa_container_of(callback, socket_mail_t, callback);
    shard_t *shard = letter->shard;
    session_t *session = calloc(1, sizeof *session);
    session->shard = shard;
    session->place = take_place(shard);
    session->generation = ++shard->next_generation;
    shard->sessions[session->place] = session;
    session->conn = conn_wrap_socket(shard->loop, letter->socket,
                                     letter->arena, &session_ops, session);
    free(letter);
}

void
shard_adopt_socket(shard_t *shard, apr_socket_t *socket, arena_t *arena)
{
    socket_mail_t *letter = malloc(sizeof *letter);
    *letter = (socket_mail_t){.callback = {.run = run_socket},
                              .shard = shard,
                              .socket = socket,
                              .arena = arena};
    loop_post(shard->loop, &letter->callback);
}

void
shard_init(shard_t *shard, dispatch_t *dispatch, uint32_t number)
{
    shard->dispatch = dispatch;
    shard->number = number;
    shard->loop = loop_create();
    shard->http = http_client_create(shard->loop);
    shard->mint = id_registry_create(&dispatch->self, dispatch->secret, number,
                                     dispatch->shard_count);
    shard->waiting = task_queue_create(dispatch->settings->ordering);
    shard->rng.state = app_random();
    retry_budget_init(&shard->retries);
    loop_timer_init(&shard->hold_timer, jobs_end_hold, shard);
    loop_timer_init(&shard->pump_timer, tries_pump_again, shard);
    shard->pump_mail.run = tries_pump_by_mail;
}

static void *APR_THREAD_FUNC
run_loop(apr_thread_t *thread, void *owner)
{
    (void)thread;
    loop_run(((shard_t *)owner)->loop);
    return NULL;
}

void
shard_run(shard_t *shard)
{
    arena_t *arena = arena_create();
    if (apr_thread_create(&shard->thread, NULL, run_loop, shard, arena) !=
        APR_SUCCESS) {
        abort();
    }
}

/// A call to a whole shard.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
} shard_mail_t;

static void
post_to_shard(shard_t *shard, void (*run)(loop_callback_t *callback))
{
    shard_mail_t *letter = malloc(sizeof *letter);
    *letter = (shard_mail_t){.callback = {.run = run}, .shard = shard};
    loop_post(shard->loop, &letter->callback);
}

static void
run_announce(loop_callback_t *callback)
{
    shard_mail_t *letter = caa_container_of(callback, shard_mail_t, callback);
    shard_t *shard = letter->shard;
    drain_message_t drain = {.nonce = shard->dispatch->self.nonce};
    for (uint32_t i = 0; i < shard->session_capacity; i++) {
        if (shard->sessions[i] != NULL) {
            conn_send(shard->sessions[i]->conn, kMessageDrain, &drain);
        }
    }
    free(letter);
}

void
shard_announce_drain(shard_t *shard)
{
    post_to_shard(shard, run_announce);
}

static void
run_stop(loop_callback_t *callback)
{
    shard_mail_t *letter = caa_container_of(callback, shard_mail_t, callback);
    shard_t *shard = letter->shard;
    for (uint32_t i = 0; i < shard->session_capacity; i++) {
        if (shard->sessions[i] != NULL) {
            conn_flush(shard->sessions[i]->conn);
        }
        if (shard->sessions[i] != NULL) {
            conn_close(shard->sessions[i]->conn);
        }
    }
    loop_stop(shard->loop);
    free(letter);
}

void
shard_stop(shard_t *shard)
{
    post_to_shard(shard, run_stop);
}
