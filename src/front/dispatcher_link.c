#include "front/dispatcher_link.h"

#include <apr_strings.h>
#include <string.h>

#include "base/counters.h"
#include "codec/pack.h"
#include "net/link_clock.h"
#include "runtime/clock.h"
#include "runtime/control.h"
#include "runtime/log.h"

enum {
    kInitialRetryDelayMs = 20,
    kMaxBusyRetryDelayMs = 200,  ///< while calls wait for the link
    kMaxIdleRetryDelayMs = 5000, ///< otherwise
    kMaxRetryDoublings = 8
};

static void open_connection(dispatcher_link_t *link);

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
dispatcher_link_remove_call(call_t *call)
{
    dispatcher_link_t *link = call->link;
    if (link == NULL) {
        return;
    }
    if (call->prev != NULL) {
        call->prev->next = call->next;
    }
    else if (link->queued_calls == call) {
        link->queued_calls = call->next;
    }
    else if (link->sent_calls == call) {
        link->sent_calls = call->next;
    }
    if (call->next != NULL) {
        call->next->prev = call->prev;
    }
    if (call->request != 0) {
        apr_hash_set(link->relay->calls_by_request, &call->request,
                     sizeof call->request, NULL);
        call->request = 0;
    }
    call->link = NULL;
    call->next = NULL;
    call->prev = NULL;
}

static void
send_mint(dispatcher_link_t *link, call_t *call)
{
    mint_message_t mint = {.request = call->request,
                           .count = id_pool_next_request_size(
                               &link->id_pool, call->count, clock_now_ns())};
    conn_send(link->conn, kMessageMint, &mint);
}

/// Packs the id of a call.
///
/// @param out  buffer for the packed id; the result refers to it
static bytes_t
pack_id(const call_t *call, uint8_t out[kJobIdPackedBytes])
{
    job_id_pack(&call->id, out);
    return (bytes_t){.data = out, .size_bytes = kJobIdPackedBytes};
}

static void
send_submit(dispatcher_link_t *link, call_t *call)
{
    uint8_t packed[kJobIdPackedBytes];
    int64_t now_ns = clock_now_ns();
    uint32_t left_ms =
        call->deadline_ns == 0 ? 0 : clock_left_ms(call->deadline_ns);
    bool is_overdue = call->deadline_ns != 0 && left_ms == 0;
    submit_message_t submit = {
        .request = call->request,
        .id = pack_id(call, packed),
        .digest = {.data = call->digest, .size_bytes = kCallDigestBytes},
        .left_ms = is_overdue ? 1 : left_ms, // 0 stands for the default
        .job = call->document,
        .is_overdue = is_overdue,
        .sent_us = link_clock_stamp_us(now_ns)};
    conn_send(link->conn, kMessageSubmit, &submit);
}

static void
send_read(dispatcher_link_t *link, call_t *call)
{
    uint8_t packed[kJobIdPackedBytes];
    read_message_t read = {.request = call->request,
                           .id = pack_id(call, packed)};
    conn_send(link->conn, kMessageRead, &read);
}

static void
send_cancel(dispatcher_link_t *link, call_t *call)
{
    uint8_t packed[kJobIdPackedBytes];
    cancel_message_t cancel = {.request = call->request,
                               .id = pack_id(call, packed)};
    conn_send(link->conn, kMessageCancel, &cancel);
}

static void
send_find(dispatcher_link_t *link, call_t *call)
{
    uint8_t packed[kJobIdPackedBytes];
    find_message_t find = {.request = call->request,
                           .id = pack_id(call, packed)};
    if (call->type == kCallSubmit) {
        find.digest =
            (bytes_t){.data = call->digest, .size_bytes = kCallDigestBytes};
    }
    conn_send(link->conn, kMessageFind, &find);
}

typedef void (*call_sender_t)(dispatcher_link_t *link, call_t *call);

static const call_sender_t call_senders[kCallTypeCount] = {
    [kCallMint] = send_mint,
    [kCallSubmit] = send_submit,
    [kCallRead] = send_read,
    [kCallCancel] = send_cancel};

/// @return whether the link is connected to another incarnation than the one
///         that minted the id
static bool
is_other_incarnation(const dispatcher_link_t *link, const call_t *call)
{
    return call->type != kCallMint && call->state != kCallFinding &&
           link->nonce != call->id.origin.nonce;
}

/// Sends a call over a link that is ready.
static void
send_call(dispatcher_link_t *link, call_t *call)
{
    if (is_other_incarnation(link, call)) {
        call->state = kCallFinding;
        relay_ask_next_peer(call);
        return;
    }
    relay_t *relay = link->relay;
    if (link->sent_calls == NULL) {
        link->busy_since_ns = clock_now_ns();
    }
    call->link = link;
    call->request = ++relay->next_request;
    apr_hash_set(relay->calls_by_request, &call->request, sizeof call->request,
                 call);
    push_call(&link->sent_calls, call);
    if (call->state == kCallFinding) {
        send_find(link, call);
    }
    else {
        call->state = kCallSent;
        call_senders[call->type](link, call);
    }
    loop_timer_set(relay->loop, &call->timeout, call->answer_deadline_ns);
    if (link->silence_timer.node.index == kHeapAbsent) {
        loop_timer_set(relay->loop, &link->silence_timer,
                       clock_deadline_ns(relay->settings->silence_limit_ms));
    }
}

/// Completes a mint with ids from the pool if there are enough.
///
/// @return whether the call is done
static bool
complete_from_pool(dispatcher_link_t *link, call_t *call)
{
    int64_t now_ns = clock_now_ns();
    if (call->type != kCallMint || link->is_draining) {
        return false;
    }
    job_id_t *ids = apr_palloc(call->arena, call->count * sizeof(job_id_t));
    if (!id_pool_take(&link->id_pool, call->count, now_ns, ids)) {
        return false;
    }
    call->ids = ids;
    call->left_ms = clock_left_ms(link->id_pool.start_by_ns);
    call->answer = (job_answer_t){.reason = ""};
    relay_complete_call(call);
    return true;
}

void
dispatcher_link_send_call(dispatcher_link_t *link, call_t *call)
{
    if (complete_from_pool(link, call)) {
        return;
    }
    if (link->is_ready) {
        send_call(link, call);
        return;
    }
    if (call->state != kCallFinding) {
        call->state = kCallQueued;
    }
    call->link = link;
    push_call(&link->queued_calls, call);
    int64_t reach_deadline_ns =
        clock_deadline_ns(link->relay->settings->reach_limit_ms);
    loop_timer_set(link->relay->loop, &call->timeout,
                   reach_deadline_ns < call->answer_deadline_ns
                       ? reach_deadline_ns
                       : call->answer_deadline_ns);
    if (link->conn == NULL && link->retry_timer.node.index == kHeapAbsent) {
        open_connection(link);
    }
}

/// Requests a batch of ids before the pool runs out.
static void
refill_pool(dispatcher_link_t *link)
{
    int64_t now_ns = clock_now_ns();
    if (link->is_refill_outstanding || link->is_draining || !link->is_ready ||
        !id_pool_is_low(&link->id_pool, now_ns)) {
        return;
    }
    link->is_refill_outstanding = true;
    mint_message_t mint = {
        .request = 0,
        .count = id_pool_next_request_size(&link->id_pool, 1, now_ns)};
    conn_send(link->conn, kMessageMint, &mint);
}

void
dispatcher_link_attach_next_id(dispatcher_link_t *link, call_t *call)
{
    if (link == NULL || link->is_draining ||
        link->dc != atomic_load(link->relay->mint_dc)) {
        return;
    }
    call->has_next_id =
        id_pool_take(&link->id_pool, 1, clock_now_ns(), &call->next_id);
    refill_pool(link);
}

static call_t *
find_sent_call(dispatcher_link_t *link, uint64_t request)
{
    call_t *call =
        apr_hash_get(link->relay->calls_by_request, &request, sizeof request);
    return call != NULL && call->link == link ? call : NULL;
}

/// Unpacks a batch of ids into the pool.
static void
fill_pool(dispatcher_link_t *link, const minted_message_t *minted,
          arena_t *arena)
{
    uint32_t count = minted->ids.size_bytes / kJobIdPackedBytes;
    job_id_t *ids = apr_palloc(arena, (count + 1) * sizeof(job_id_t));
    for (uint32_t i = 0; i < count; i++) {
        bytes_t packed = {.data =
                              minted->ids.data + (size_t)i * kJobIdPackedBytes,
                          .size_bytes = kJobIdPackedBytes};
        job_id_unpack(packed, &ids[i]);
    }
    id_pool_fill(&link->id_pool, ids, count, clock_now_ns(),
                 (int64_t)minted->left_ms * kNsPerMs);
}

static void
handle_minted(dispatcher_link_t *link, bytes_t body, arena_t *arena)
{
    minted_message_t minted;
    error_info_t err = {0};
    if (!pack_read_message(body, &minted_message_desc, arena, &minted, &err)) {
        conn_close(link->conn);
        return;
    }
    if (minted.request == 0) {
        link->is_refill_outstanding = false;
    }
    if (minted.kind == kErrorKindOk) {
        fill_pool(link, &minted, arena);
    }
    else {
        link->is_draining = true;
    }
    call_t *call = find_sent_call(link, minted.request);
    if (call == NULL) {
        return;
    }
    dispatcher_link_remove_call(call);
    if (!complete_from_pool(link, call)) {
        relay_route_call(call);
    }
}

static void
handle_answer(dispatcher_link_t *link, bytes_t body, arena_t *arena)
{
    answer_message_t answer;
    error_info_t err = {0};
    if (!pack_read_message(body, &answer_message_desc, arena, &answer, &err)) {
        conn_close(link->conn);
        return;
    }
    call_t *call = find_sent_call(link, answer.request);
    if (call == NULL) {
        return;
    }
    if (!pack_read(answer.body, &job_answer_desc, call->arena, &call->answer,
                   &err)) {
        conn_close(link->conn);
        return;
    }
    dispatcher_link_remove_call(call);
    if (call->state == kCallFinding &&
        call->answer.kind == kErrorKindHomeLost) {
        relay_ask_next_peer(call);
        return;
    }
    dispatcher_link_attach_next_id(
        relay_find_nth_link(link->relay, link->relay->settings->here.dc, 0),
        call);
    relay_complete_call(call);
}

/// Sends all calls that wait for the link.
static void
send_queued_calls(dispatcher_link_t *link)
{
    while (link->is_ready && link->queued_calls != NULL) {
        call_t *call = link->queued_calls;
        dispatcher_link_remove_call(call);
        send_call(link, call);
    }
}

static void
handle_hello(dispatcher_link_t *link, bytes_t body, arena_t *arena)
{
    hello_message_t hello;
    error_info_t err = {0};
    if (!pack_read_message(body, &hello_message_desc, arena, &hello, &err) ||
        hello.role != kRoleDispatch || hello.dc != link->dc ||
        hello.vm != link->vm) {
        conn_close(link->conn);
        return;
    }
    if (hello.nonce != link->nonce) {
        id_pool_clear(&link->id_pool);
        log_event("home_up", "dc=%u vm=%u nonce=%016lx", link->dc, link->vm,
                  (unsigned long)hello.nonce);
    }
    link->nonce = hello.nonce;
    link->is_draining = hello.draining;
    link->is_ready = true;
    link->failure_count = 0;
    send_queued_calls(link);
}

static void
handle_drain(dispatcher_link_t *link, bytes_t body, arena_t *arena)
{
    (void)body;
    (void)arena;
    link->is_draining = true;
    id_pool_clear(&link->id_pool);
}

typedef void (*message_handler_t)(dispatcher_link_t *link, bytes_t body,
                                  arena_t *arena);

static const message_handler_t message_handlers[kMessageCount] = {
    [kMessageHello] = handle_hello,
    [kMessageMinted] = handle_minted,
    [kMessageAnswer] = handle_answer,
    [kMessageDrain] = handle_drain,
};

static void
on_open(conn_t *conn)
{
    dispatcher_link_t *link = conn->owner;
    control_send_hello(conn, &link->relay->hello);
}

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    if (type < kMessageCount && message_handlers[type] != NULL) {
        arena_t *arena = arena_create();
        message_handlers[type](conn->owner, body, arena);
        arena_destroy(arena);
    }
}

/// Queues sent calls again: a call may be repeated any number of times under
/// the same job id. Mints have no id and go to the next dispatcher.
static void
requeue_sent_calls(dispatcher_link_t *link)
{
    while (link->sent_calls != NULL) {
        call_t *call = link->sent_calls;
        dispatcher_link_remove_call(call);
        if (call->type == kCallMint) {
            call->peer_index++;
            relay_route_call(call);
        }
        else {
            dispatcher_link_send_call(link, call);
        }
    }
}

/// Routes queued mints to the next dispatcher, as any of them can mint.
static void
reroute_queued_mints(dispatcher_link_t *link)
{
    call_t *call = link->queued_calls;
    while (call != NULL) {
        call_t *next = call->next;
        if (call->type == kCallMint) {
            dispatcher_link_remove_call(call);
            call->peer_index++;
            relay_route_call(call);
            call = link->queued_calls;
            continue;
        }
        call = next;
    }
}

static void
on_close(conn_t *conn)
{
    dispatcher_link_t *link = conn->owner;
    relay_t *relay = link->relay;
    if (link->is_ready) {
        counter_add(kCounterLinksLost, 1);
        log_event("home_down", "dc=%u vm=%u", link->dc, link->vm);
    }
    link->conn = NULL;
    link->is_ready = false;
    link->is_refill_outstanding = false;
    loop_timer_clear(relay->loop, &link->silence_timer);
    uint32_t doublings = link->failure_count < kMaxRetryDoublings
                             ? link->failure_count
                             : kMaxRetryDoublings;
    link->failure_count++;
    uint32_t max_delay_ms =
        link->queued_calls != NULL || link->sent_calls != NULL
            ? kMaxBusyRetryDelayMs
            : kMaxIdleRetryDelayMs;
    uint32_t delay_ms = (uint32_t)kInitialRetryDelayMs << doublings;
    loop_timer_set(
        relay->loop, &link->retry_timer,
        clock_deadline_ns(delay_ms < max_delay_ms ? delay_ms : max_delay_ms));
    requeue_sent_calls(link);
    reroute_queued_mints(link);
}

static const conn_ops_t link_ops = {
    .on_open = on_open, .on_message = on_message, .on_close = on_close};

static void
open_connection(dispatcher_link_t *link)
{
    const front_settings_t *settings = link->relay->settings;
    error_info_t err = {0};
    link->conn =
        conn_connect(link->relay->loop, settings->here.address, link->address,
                     settings->dispatch_port, &link_ops, link, &err);
    if (link->conn == NULL) {
        loop_timer_set(link->relay->loop, &link->retry_timer,
                       clock_deadline_ns(kMaxIdleRetryDelayMs));
        return;
    }
    loop_timer_set(link->relay->loop, &link->silence_timer,
                   clock_deadline_ns(settings->silence_limit_ms));
}

static void
on_retry(loop_timer_t *timer)
{
    dispatcher_link_t *link = timer->owner;
    if (link->conn == NULL) {
        open_connection(link);
    }
}

/// @return since when a connection has been silent although data was expected.
///         Time in which no call was outstanding does not count.
static int64_t
silent_since_ns(const dispatcher_link_t *link)
{
    return link->busy_since_ns > link->conn->last_received_ns
               ? link->busy_since_ns
               : link->conn->last_received_ns;
}

/// Sends a ping over a connection that has outstanding calls and received
/// nothing for silence_limit_ms. After twice that time, closes it, so that the
/// calls are sent again over a new one. A connection on which no hello arrives
/// is closed in the same way.
static void
on_silence_timer(loop_timer_t *timer)
{
    dispatcher_link_t *link = timer->owner;
    if (link->conn == NULL || (link->is_ready && link->sent_calls == NULL)) {
        return;
    }
    int64_t limit_ns =
        (int64_t)link->relay->settings->silence_limit_ms * kNsPerMs;
    int64_t now_ns = clock_now_ns();
    int64_t silence_ns = now_ns - silent_since_ns(link);
    if (silence_ns >= 2 * limit_ns) {
        log_event("home_silent", "dc=%u vm=%u", link->dc, link->vm);
        conn_close(link->conn);
        return;
    }
    if (link->is_ready && silence_ns >= limit_ns) {
        ping_message_t ping = {.number = 1,
                               .sent_us = link_clock_stamp_us(now_ns)};
        conn_send(link->conn, kMessagePing, &ping);
    }
    loop_timer_set(link->relay->loop, timer, now_ns + limit_ns);
}

void
dispatcher_link_init(dispatcher_link_t *link, relay_t *relay,
                     const vm_entry_t *vm)
{
    *link = (dispatcher_link_t){.relay = relay, .dc = vm->dc, .vm = vm->vm};
    apr_cpystrn(link->address, vm->address, sizeof link->address);
    loop_timer_init(&link->retry_timer, on_retry, link);
    loop_timer_init(&link->silence_timer, on_silence_timer, link);
}

void
dispatcher_link_close(dispatcher_link_t *link)
{
    if (link->conn != NULL) {
        conn_close(link->conn);
    }
    loop_timer_clear(link->relay->loop, &link->retry_timer);
}
