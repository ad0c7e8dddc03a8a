#include "front/dispatcher_link.h"

#include <apr_strings.h>
#include <string.h>

#include "base/counters.h"
#include "codec/pack.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum { kRetryFirstMs = 20, kRetryBusyMaxMs = 200, kRetryIdleMaxMs = 5000 };

static void connect_home(home_t *home);

static void
push_call(call_t **list, call_t *call)
{
    call->prev = NULL;
    call->next = *list;
    if (call->next != NULL) {
        call->next->prev = call;
    }
    *list = call;
}

void
home_forget_call(call_t *call)
{
    home_t *home = call->home;
    if (home == NULL) {
        return;
    }
    if (call->prev != NULL) {
        call->prev->next = call->next;
    }
    else if (home->queued == call) {
        home->queued = call->next;
    }
    else if (home->sent == call) {
        home->sent = call->next;
    }
    if (call->next != NULL) {
        call->next->prev = call->prev;
    }
    if (call->request != 0) {
        apr_hash_set(home->relay->sent, &call->request, sizeof call->request,
                     NULL);
        call->request = 0;
    }
    call->home = NULL;
    call->next = NULL;
    call->prev = NULL;
}

static void
send_mint(home_t *home, call_t *call)
{
    mint_message_t mint = {
        .request = call->request,
        .count = id_pool_next_batch(&home->pool, call->count, clock_now_ns())};
    conn_send(home->conn, kMessageMint, &mint);
}

/// Packs the id of a call.
///
/// @param out  room for it, valid as long as the result is used
static bytes_t
pack_id(const call_t *call, uint8_t out[kJobIdPackedBytes])
{
    job_id_pack(&call->id, out);
    return (bytes_t){.data = out, .size_bytes = kJobIdPackedBytes};
}

static void
send_submit(home_t *home, call_t *call)
{
    uint8_t packed[kJobIdPackedBytes];
    uint32_t left_ms =
        call->deadline_ns == 0 ? 0 : clock_left_ms(call->deadline_ns);
    submit_message_t submit = {
        .request = call->request,
        .id = pack_id(call, packed),
        .digest = {.data = call->digest, .size_bytes = kCallDigestBytes},
        .left_ms = call->deadline_ns != 0 && left_ms == 0 ? 1 : left_ms,
        .job = call->document};
    conn_send(home->conn, kMessageSubmit, &submit);
}

static void
send_read(home_t *home, call_t *call)
{
    uint8_t packed[kJobIdPackedBytes];
    read_message_t read = {.request = call->request,
                           .id = pack_id(call, packed)};
    conn_send(home->conn, kMessageRead, &read);
}

static void
send_cancel(home_t *home, call_t *call)
{
    uint8_t packed[kJobIdPackedBytes];
    cancel_message_t cancel = {.request = call->request,
                               .id = pack_id(call, packed)};
    conn_send(home->conn, kMessageCancel, &cancel);
}

static void
send_find(home_t *home, call_t *call)
{
    uint8_t packed[kJobIdPackedBytes];
    find_message_t find = {.request = call->request,
                           .id = pack_id(call, packed)};
    if (call->type == kCallSubmit) {
        find.digest =
            (bytes_t){.data = call->digest, .size_bytes = kCallDigestBytes};
    }
    conn_send(home->conn, kMessageFind, &find);
}

typedef void (*send_t)(home_t *home, call_t *call);

static const send_t send_table[kCallTypeCount] = {[kCallMint] = send_mint,
                                                  [kCallSubmit] = send_submit,
                                                  [kCallRead] = send_read,
                                                  [kCallCancel] = send_cancel};

/// @return whether the other end is another incarnation than the id's
static bool
is_over(const home_t *home, const call_t *call)
{
    return call->type != kCallMint && call->state != kCallFinding &&
           home->nonce != call->id.home.nonce;
}

/// Sends a call over a link that is up.
static void
send_call(home_t *home, call_t *call)
{
    if (is_over(home, call)) {
        call->state = kCallFinding;
        relay_find_next(call);
        return;
    }
    relay_t *relay = home->relay;
    call->home = home;
    call->request = ++relay->next_request;
    apr_hash_set(relay->sent, &call->request, sizeof call->request, call);
    push_call(&home->sent, call);
    if (call->state == kCallFinding) {
        send_find(home, call);
    }
    else {
        call->state = kCallSent;
        send_table[call->type](home, call);
    }
    loop_timer_set(relay->loop, &call->limit, call->give_up_ns);
    if (home->silence.node.index == kHeapAbsent) {
        loop_timer_set(relay->loop, &home->silence,
                       clock_deadline_ns(relay->settings->silence_limit_ms));
    }
}

/// Serves a mint from the pool where it can.
static bool
serve_from_pool(home_t *home, call_t *call)
{
    int64_t now_ns = clock_now_ns();
    if (call->type != kCallMint || home->is_draining) {
        return false;
    }
    job_id_t *ids = apr_palloc(call->arena, call->count * sizeof(job_id_t));
    if (!id_pool_take(&home->pool, call->count, now_ns, ids)) {
        return false;
    }
    call->ids = ids;
    call->left_ms = clock_left_ms(home->pool.start_by_ns);
    call->answer = (job_answer_t){.reason = ""};
    relay_end_call(call);
    return true;
}

void
home_take_call(home_t *home, call_t *call)
{
    if (serve_from_pool(home, call)) {
        return;
    }
    if (home->is_ready) {
        send_call(home, call);
        return;
    }
    if (call->state != kCallFinding) {
        call->state = kCallQueued;
    }
    call->home = home;
    push_call(&home->queued, call);
    int64_t reach_ns =
        clock_deadline_ns(home->relay->settings->reach_limit_ms);
    loop_timer_set(home->relay->loop, &call->limit,
                   reach_ns < call->give_up_ns ? reach_ns : call->give_up_ns);
    if (home->conn == NULL && home->retry.node.index == kHeapAbsent) {
        connect_home(home);
    }
}

/// Asks for a batch of ids ahead of need.
static void
refill_pool(home_t *home)
{
    int64_t now_ns = clock_now_ns();
    if (home->is_minting || home->is_draining || !home->is_ready ||
        !id_pool_is_low(&home->pool, now_ns)) {
        return;
    }
    home->is_minting = true;
    mint_message_t mint = {
        .request = 0, .count = id_pool_next_batch(&home->pool, 1, now_ns)};
    conn_send(home->conn, kMessageMint, &mint);
}

void
home_attach_next_id(home_t *home, call_t *call)
{
    if (home == NULL || home->is_draining) {
        return;
    }
    call->has_next_id =
        id_pool_take(&home->pool, 1, clock_now_ns(), &call->next_id);
    refill_pool(home);
}

static call_t *
find_sent(home_t *home, uint64_t request)
{
    call_t *call = apr_hash_get(home->relay->sent, &request, sizeof request);
    return call != NULL && call->home == home ? call : NULL;
}

/// Unpacks a batch of ids into the pool.
static void
fill_pool(home_t *home, const minted_message_t *minted, arena_t *arena)
{
    uint32_t count = minted->ids.size_bytes / kJobIdPackedBytes;
    job_id_t *ids = apr_palloc(arena, (count + 1) * sizeof(job_id_t));
    for (uint32_t i = 0; i < count; i++) {
        bytes_t packed = {.data =
                              minted->ids.data + (size_t)i * kJobIdPackedBytes,
                          .size_bytes = kJobIdPackedBytes};
        job_id_unpack(packed, &ids[i]);
    }
    id_pool_fill(&home->pool, ids, count, clock_now_ns(),
                 (int64_t)minted->left_ms * kNsPerMs);
}

static void
take_minted(home_t *home, bytes_t body, arena_t *arena)
{
    minted_message_t minted;
    error_info_t err = {0};
    if (!pack_read_message(body, &minted_message_desc, arena, &minted, &err)) {
        conn_close(home->conn);
        return;
    }
    if (minted.request == 0) {
        home->is_minting = false;
    }
    if (minted.kind == kErrorKindOk) {
        fill_pool(home, &minted, arena);
    }
    else {
        home->is_draining = true;
    }
    call_t *call = find_sent(home, minted.request);
    if (call == NULL) {
        return;
    }
    home_forget_call(call);
    if (!serve_from_pool(home, call)) {
        relay_place_call(call);
    }
}

static void
take_answer(home_t *home, bytes_t body, arena_t *arena)
{
    answer_message_t answer;
    error_info_t err = {0};
    if (!pack_read_message(body, &answer_message_desc, arena, &answer, &err)) {
        conn_close(home->conn);
        return;
    }
    call_t *call = find_sent(home, answer.request);
    if (call == NULL) {
        return;
    }
    if (!pack_read(answer.body, &job_answer_desc, call->arena, &call->answer,
                   &err)) {
        conn_close(home->conn);
        return;
    }
    home_forget_call(call);
    if (call->state == kCallFinding &&
        call->answer.kind == kErrorKindHomeLost) {
        relay_find_next(call);
        return;
    }
    home_attach_next_id(
        relay_nth_home(home->relay, home->relay->settings->here.dc, 0), call);
    relay_end_call(call);
}

/// Sends all calls that waited for the link.
static void
send_queued(home_t *home)
{
    while (home->is_ready && home->queued != NULL) {
        call_t *call = home->queued;
        home_forget_call(call);
        send_call(home, call);
    }
}

static void
take_hello(home_t *home, bytes_t body, arena_t *arena)
{
    hello_message_t hello;
    error_info_t err = {0};
    if (!pack_read_message(body, &hello_message_desc, arena, &hello, &err) ||
        hello.role != kRoleDispatch || hello.dc != home->dc ||
        hello.vm != home->vm) {
        conn_close(home->conn);
        return;
    }
    if (hello.nonce != home->nonce) {
        id_pool_clear(&home->pool);
        log_event("home_up", "dc=%u vm=%u nonce=%016lx", home->dc, home->vm,
                  (unsigned long)hello.nonce);
    }
    home->nonce = hello.nonce;
    home->is_draining = hello.draining;
    home->is_ready = true;
    home->failure_count = 0;
    send_queued(home);
}

static void
take_drain(home_t *home, bytes_t body, arena_t *arena)
{
    (void)body;
    (void)arena;
    home->is_draining = true;
    id_pool_clear(&home->pool);
}

typedef void (*take_t)(home_t *home, bytes_t body, arena_t *arena);

static const take_t take_table[kMessageCount] = {
    [kMessageHello] = take_hello,
    [kMessageMinted] = take_minted,
    [kMessageAnswer] = take_answer,
    [kMessageDrain] = take_drain,
};

static void
on_open(conn_t *conn)
{
    home_t *home = conn->owner;
    conn_send(conn, kMessageHello, &home->relay->hello);
}

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    if (type < kMessageCount && take_table[type] != NULL) {
        arena_t *arena = arena_create();
        take_table[type](conn->owner, body, arena);
        arena_destroy(arena);
    }
}

/// Moves calls that were sent back into the queue: under its id, a call may
/// be sent any number of times.
static void
requeue_sent(home_t *home)
{
    while (home->sent != NULL) {
        call_t *call = home->sent;
        home_forget_call(call);
        if (call->type == kCallMint) {
            call->turn++;
            relay_place_call(call);
        }
        else {
            home_take_call(home, call);
        }
    }
}

/// Gives up mints that wait here; another dispatcher can serve them.
static void
move_queued_mints(home_t *home)
{
    call_t *call = home->queued;
    while (call != NULL) {
        call_t *next = call->next;
        if (call->type == kCallMint) {
            home_forget_call(call);
            call->turn++;
            relay_place_call(call);
            call = home->queued;
            continue;
        }
        call = next;
    }
}

static void
on_close(conn_t *conn)
{
    home_t *home = conn->owner;
    relay_t *relay = home->relay;
    if (home->is_ready) {
        counter_add(kCounterLinksLost, 1);
        log_event("home_down", "dc=%u vm=%u", home->dc, home->vm);
    }
    home->conn = NULL;
    home->is_ready = false;
    home->is_minting = false;
    loop_timer_clear(relay->loop, &home->silence);
    uint32_t doublings = home->failure_count < 8 ? home->failure_count : 8;
    home->failure_count++;
    uint32_t limit_ms = home->queued != NULL || home->sent != NULL
                            ? kRetryBusyMaxMs
                            : kRetryIdleMaxMs;
    uint32_t wait_ms = (uint32_t)kRetryFirstMs << doublings;
    loop_timer_set(relay->loop, &home->retry,
                   clock_deadline_ns(wait_ms < limit_ms ? wait_ms : limit_ms));
    requeue_sent(home);
    move_queued_mints(home);
}

static const conn_ops_t home_ops = {
    .on_open = on_open, .on_message = on_message, .on_close = on_close};

static void
connect_home(home_t *home)
{
    const front_settings_t *settings = home->relay->settings;
    error_info_t err = {0};
    home->conn =
        conn_connect(home->relay->loop, settings->here.address, home->address,
                     settings->dispatch_port, &home_ops, home, &err);
    if (home->conn == NULL) {
        loop_timer_set(home->relay->loop, &home->retry,
                       clock_deadline_ns(kRetryIdleMaxMs));
        return;
    }
    loop_timer_set(home->relay->loop, &home->silence,
                   clock_deadline_ns(settings->silence_limit_ms));
}

static void
on_retry(loop_timer_t *timer)
{
    home_t *home = timer->owner;
    if (home->conn == NULL) {
        connect_home(home);
    }
}

/// Probes a link with calls outstanding that has been silent; ends it after
/// twice the limit, so that the calls go out over a new one. The same holds
/// for a link whose hello does not come.
static void
on_silence(loop_timer_t *timer)
{
    home_t *home = timer->owner;
    if (home->conn == NULL || (home->is_ready && home->sent == NULL)) {
        return;
    }
    int64_t limit_ns =
        (int64_t)home->relay->settings->silence_limit_ms * kNsPerMs;
    int64_t now_ns = clock_now_ns();
    if (now_ns - home->conn->last_received_ns >= 2 * limit_ns) {
        log_event("home_silent", "dc=%u vm=%u", home->dc, home->vm);
        conn_close(home->conn);
        return;
    }
    if (home->is_ready && now_ns - home->conn->last_received_ns >= limit_ns) {
        ping_message_t ping = {.number = 1};
        conn_send(home->conn, kMessagePing, &ping);
    }
    loop_timer_set(home->relay->loop, timer, now_ns + limit_ns);
}

void
home_init(home_t *home, relay_t *relay, const vm_entry_t *vm)
{
    *home = (home_t){.relay = relay, .dc = vm->dc, .vm = vm->vm};
    apr_cpystrn(home->address, vm->address, sizeof home->address);
    loop_timer_init(&home->retry, on_retry, home);
    loop_timer_init(&home->silence, on_silence, home);
}

void
home_close(home_t *home)
{
    if (home->conn != NULL) {
        conn_close(home->conn);
    }
    loop_timer_clear(home->relay->loop, &home->retry);
}
