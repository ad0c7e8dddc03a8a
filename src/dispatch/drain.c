#include "dispatch/drain.h"

#include <stdlib.h>
#include <string.h>

#include "codec/pack.h"
#include "dispatch/adopted.h"
#include "dispatch/jobs.h"
#include "dispatch/shard.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum { kCheckMs = 20, kBatchRecords = 500, kPeerLimitMs = 3000 };

/// A packed handover message that waits to be sent.
typedef struct batch {
    struct batch *next;
    blob_t *body;
} batch_t;

/// A handover in progress, on the control loop.
typedef struct handover {
    dispatch_t *dispatch;
    batch_t *batches;
    uint32_t shards_left; ///< shards that have not collected yet
    uint32_t peer_tries;
    conn_t *peer;
    loop_timer_t limit;
} handover_t;

static void
finish_stop(dispatch_t *dispatch)
{
    log_event("drained", "vm=%u", dispatch->self.vm);
    if (dispatch->listener != NULL) {
        listener_close(dispatch->listener);
        dispatch->listener = NULL;
    }
    agent_link_stop(&dispatch->agent);
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        shard_stop(&dispatch->shards[i]);
    }
    loop_stop(dispatch->loop);
}

/// Fills a handover message with what one incarnation's records have in
/// common.
static handover_message_t
start_batch(const dispatch_t *dispatch, const incarnation_t *home,
            const uint8_t *secret, held_record_t *records)
{
    return (handover_message_t){
        .request = 1,
        .dc = home->dc,
        .vm = home->vm,
        .nonce = home->nonce,
        .secret = {.data = secret, .size_bytes = kJobIdSecretBytes},
        .left_ms = dispatch->settings->record_hold_ms,
        .records = records};
}

static void
add_batch(batch_t **batches, const handover_message_t *message)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    pack_write_message(&buffer, kMessageHandover, &handover_message_desc,
                       message);
    batch_t *batch = malloc(sizeof *batch);
    batch->body = blob_create(buffer.data, (uint32_t)buffer.size);
    batch->next = *batches;
    *batches = batch;
    msgpack_sbuffer_destroy(&buffer);
}

/// Packs the finished records of a shard.
static void
collect_own(shard_t *shard, batch_t **batches)
{
    held_record_t records[kBatchRecords];
    handover_message_t message =
        start_batch(shard->dispatch, &shard->dispatch->self,
                    shard->dispatch->secret, records);
    for (job_record_t *record = shard->held_first; record != NULL;
         record = record->next_held) {
        records[message.records_count++] = (held_record_t){
            .sequence = record->sequence,
            .digest = {.data = record->digest, .size_bytes = kDigestBytes},
            .answer = blob_bytes(record->answer)};
        if (message.records_count == kBatchRecords ||
            record->next_held == NULL) {
            add_batch(batches, &message);
            message.records_count = 0;
        }
    }
}

/// Packs records that the shard took over from others before.
static void
collect_adopted(shard_t *shard, batch_t **batches)
{
    held_record_t records[kBatchRecords];
    for (adopted_t *set = shard->adopted; set != NULL; set = set->next) {
        handover_message_t message =
            start_batch(shard->dispatch, &set->home, set->secret, records);
        message.left_ms = clock_left_ms(set->hold_until_ns);
        for (apr_hash_index_t *at = apr_hash_first(set->arena, set->records);
             at != NULL; at = apr_hash_next(at)) {
            void *record = NULL;
            apr_hash_this(at, NULL, NULL, &record);
            records[message.records_count++] = *(held_record_t *)record;
            if (message.records_count == kBatchRecords) {
                add_batch(batches, &message);
                message.records_count = 0;
            }
        }
        if (message.records_count > 0) {
            add_batch(batches, &message);
        }
    }
}

/// Asks a shard for its records, and brings them back.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    handover_t *handover;
    batch_t *batches;
} collect_mail_t;

static void send_next(handover_t *handover);

static void
run_collected(loop_callback_t *callback)
{
    collect_mail_t *letter =
        caa_container_of(callback, collect_mail_t, callback);
    handover_t *handover = letter->handover;
    while (letter->batches != NULL) {
        batch_t *batch = letter->batches;
        letter->batches = batch->next;
        batch->next = handover->batches;
        handover->batches = batch;
    }
    handover->shards_left--;
    free(letter);
    if (handover->shards_left == 0) {
        send_next(handover);
    }
}

static void
run_collect(loop_callback_t *callback)
{
    collect_mail_t *letter =
        caa_container_of(callback, collect_mail_t, callback);
    collect_own(letter->shard, &letter->batches);
    collect_adopted(letter->shard, &letter->batches);
    letter->callback.run = run_collected;
    loop_post(letter->shard->dispatch->loop, &letter->callback);
}

/// @return the next live peer of the data centre in turn, or NULL
static const vm_entry_t *
choose_peer(const dispatch_t *dispatch, uint32_t turn)
{
    const members_t *members = dispatch->view->members;
    uint32_t seen = 0;
    for (uint32_t i = 0; i < members->vm_count; i++) {
        const vm_entry_t *vm = &members->vms[i];
        if (vm->role != kVmRoleEntry || vm->dc != dispatch->self.dc ||
            vm->vm == dispatch->self.vm || vm->state != kVmStateLive) {
            continue;
        }
        if (seen == turn) {
            return vm;
        }
        seen++;
    }
    return NULL;
}

static void
on_peer_open(conn_t *conn)
{
    handover_t *handover = conn->owner;
    conn_send_packed(conn, blob_bytes(handover->batches->body));
}

static void
on_peer_message(conn_t *conn, uint32_t type, bytes_t body)
{
    (void)body;
    handover_t *handover = conn->owner;
    if (type != kMessageHandoverAck) {
        return;
    }
    batch_t *batch = handover->batches;
    handover->batches = batch->next;
    blob_drop(batch->body);
    free(batch);
    loop_timer_set(conn->loop, &handover->limit,
                   clock_deadline_ns(kPeerLimitMs));
    if (handover->batches != NULL) {
        on_peer_open(conn);
        return;
    }
    conn_close(conn);
}

static void
on_peer_close(conn_t *conn)
{
    handover_t *handover = conn->owner;
    handover->peer = NULL;
    send_next(handover);
}

static const conn_ops_t peer_ops = {.on_open = on_peer_open,
                                    .on_message = on_peer_message,
                                    .on_close = on_peer_close};

/// Sends what is left to a peer; ends the stop when nothing is left, or
/// nobody to send it to.
static void
send_next(handover_t *handover)
{
    dispatch_t *dispatch = handover->dispatch;
    error_info_t err = {0};
    loop_timer_clear(dispatch->loop, &handover->limit);
    while (handover->batches != NULL) {
        const vm_entry_t *vm = choose_peer(dispatch, handover->peer_tries++);
        if (vm == NULL) {
            log_event("handover_failed", "reason=\"no peer\"");
            break;
        }
        handover->peer = conn_connect(
            dispatch->loop, dispatch->settings->here.address, vm->address,
            dispatch->settings->port, &peer_ops, handover, &err);
        if (handover->peer != NULL) {
            loop_timer_set(dispatch->loop, &handover->limit,
                           clock_deadline_ns(kPeerLimitMs));
            return;
        }
    }
    finish_stop(dispatch);
}

static void
on_peer_limit(loop_timer_t *timer)
{
    handover_t *handover = timer->owner;
    if (handover->peer != NULL) {
        conn_close(handover->peer);
    }
}

static void
start_handover(dispatch_t *dispatch)
{
    handover_t *handover = calloc(1, sizeof *handover);
    handover->dispatch = dispatch;
    handover->shards_left = dispatch->shard_count;
    loop_timer_init(&handover->limit, on_peer_limit, handover);
    dispatch->handover = handover;
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        collect_mail_t *letter = calloc(1, sizeof *letter);
        letter->callback.run = run_collect;
        letter->shard = &dispatch->shards[i];
        letter->handover = handover;
        loop_post(letter->shard->loop, &letter->callback);
    }
}

/// @return whether no job runs and no id can be submitted any more
static bool
is_drained(const dispatch_t *dispatch)
{
    int64_t now_ns = clock_now_ns();
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        const shard_t *shard = &dispatch->shards[i];
        if (atomic_load(&shard->active_count) > 0 ||
            atomic_load(&shard->last_start_by_ns) > now_ns) {
            return false;
        }
    }
    return true;
}

static void
on_check(loop_timer_t *timer)
{
    dispatch_t *dispatch = timer->owner;
    if (is_drained(dispatch)) {
        start_handover(dispatch);
        return;
    }
    if (clock_now_ns() >= dispatch->drain_limit_ns) {
        log_event("drain_limit", "vm=%u", dispatch->self.vm);
        start_handover(dispatch);
        return;
    }
    loop_timer_set(dispatch->loop, timer, clock_deadline_ns(kCheckMs));
}

void
drain_start(dispatch_t *dispatch)
{
    if (atomic_exchange(&dispatch->is_draining, true)) {
        return;
    }
    log_event("draining", "vm=%u", dispatch->self.vm);
    dispatch->drain_limit_ns =
        clock_deadline_ns(dispatch->settings->stop_limit_ms);
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        shard_announce_drain(&dispatch->shards[i]);
    }
    loop_timer_init(&dispatch->drain_timer, on_check, dispatch);
    loop_timer_set(dispatch->loop, &dispatch->drain_timer,
                   clock_deadline_ns(kCheckMs));
}
