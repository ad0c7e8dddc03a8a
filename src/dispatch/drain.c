#include "dispatch/drain.h"

#include <stdlib.h>
#include <string.h>

#include "codec/pack.h"
#include "dispatch/adopted_records.h"
#include "dispatch/jobs.h"
#include "dispatch/shard.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kDrainCheckMs = 20,
    kRecordsPerBatch = 500,
    kPeerTimeoutMs = 3000 ///< until the first or next acknowledgement
};

/// A packed handover message that waits to be sent.
typedef struct batch {
    struct batch *next;
    blob_t *body;
} batch_t;

/// A handover in progress. Used only on the control loop.
typedef struct handover {
    dispatch_t *dispatch;
    batch_t *batches;
    uint32_t shards_left; ///< shards whose records are not collected yet
    uint32_t next_peer;   ///< index of the peer to try next
    conn_t *peer;         ///< NULL when not connected
    loop_timer_t peer_timer;
} handover_t;

static void
finish_drain(dispatch_t *dispatch)
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

/// @return a handover message for records of one incarnation, without any yet
static handover_message_t
make_message(const dispatch_t *dispatch, const incarnation_t *origin,
             const uint8_t *secret, held_record_t *records)
{
    return (handover_message_t){
        .request = 1,
        .dc = origin->dc,
        .vm = origin->vm,
        .nonce = origin->nonce,
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

/// Packs the held records of a shard.
static void
pack_own_records(shard_t *shard, batch_t **batches)
{
    held_record_t records[kRecordsPerBatch];
    handover_message_t message =
        make_message(shard->dispatch, &shard->dispatch->self,
                     shard->dispatch->secret, records);
    for (job_record_t *record = shard->held_first; record != NULL;
         record = record->next_held) {
        records[message.records_count++] = (held_record_t){
            .sequence = record->sequence,
            .digest = {.data = record->digest, .size_bytes = kDigestBytes},
            .answer = blob_bytes(record->answer)};
        if (message.records_count == kRecordsPerBatch ||
            record->next_held == NULL) {
            add_batch(batches, &message);
            message.records_count = 0;
        }
    }
}

/// Packs the records that a shard adopted from other dispatchers.
static void
pack_adopted_records(shard_t *shard, batch_t **batches)
{
    held_record_t records[kRecordsPerBatch];
    for (adopted_set_t *set = shard->adopted; set != NULL; set = set->next) {
        handover_message_t message =
            make_message(shard->dispatch, &set->origin, set->secret, records);
        message.left_ms = clock_left_ms(set->hold_until_ns);
        for (apr_hash_index_t *at = apr_hash_first(set->arena, set->records);
             at != NULL; at = apr_hash_next(at)) {
            void *record = NULL;
            apr_hash_this(at, NULL, NULL, &record);
            records[message.records_count++] = *(held_record_t *)record;
            if (message.records_count == kRecordsPerBatch) {
                add_batch(batches, &message);
                message.records_count = 0;
            }
        }
        if (message.records_count > 0) {
            add_batch(batches, &message);
        }
    }
}

/// Posted to a shard to collect its records, then back to the control loop.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    handover_t *handover;
    batch_t *batches;
} collect_request_t;

static void connect_next_peer(handover_t *handover);

static void
add_collected(loop_callback_t *callback)
{
    collect_request_t *posted =
        caa_container_of(callback, collect_request_t, callback);
    handover_t *handover = posted->handover;
    while (posted->batches != NULL) {
        batch_t *batch = posted->batches;
        posted->batches = batch->next;
        batch->next = handover->batches;
        handover->batches = batch;
    }
    handover->shards_left--;
    free(posted);
    if (handover->shards_left == 0) {
        connect_next_peer(handover);
    }
}

static void
collect_records(loop_callback_t *callback)
{
    collect_request_t *posted =
        caa_container_of(callback, collect_request_t, callback);
    pack_own_records(posted->shard, &posted->batches);
    pack_adopted_records(posted->shard, &posted->batches);
    posted->callback.run = add_collected;
    loop_post(posted->shard->dispatch->loop, &posted->callback);
}

/// @return the live peer with this index among those of the data centre, or
///         NULL
static const vm_entry_t *
find_peer(const dispatch_t *dispatch, uint32_t index)
{
    const members_t *members = dispatch->view->members;
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->vm_count; i++) {
        const vm_entry_t *vm = &members->vms[i];
        if (vm->role != kVmRoleEntry || vm->dc != dispatch->self.dc ||
            vm->vm == dispatch->self.vm || vm->state != kVmStateLive) {
            continue;
        }
        if (count == index) {
            return vm;
        }
        count++;
    }
    return NULL;
}

/// Sends the first of the remaining batches.
static void
send_batch(conn_t *conn)
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
    blob_unref(batch->body);
    free(batch);
    loop_timer_set(conn->loop, &handover->peer_timer,
                   clock_deadline_ns(kPeerTimeoutMs));
    if (handover->batches != NULL) {
        send_batch(conn);
        return;
    }
    conn_close(conn);
}

static void
on_peer_close(conn_t *conn)
{
    handover_t *handover = conn->owner;
    handover->peer = NULL;
    connect_next_peer(handover);
}

static const conn_ops_t peer_ops = {.on_open = send_batch,
                                    .on_message = on_peer_message,
                                    .on_close = on_peer_close};

/// Connects to the next peer to send it the remaining batches. Finishes the
/// drain when no batch or no peer is left.
static void
connect_next_peer(handover_t *handover)
{
    dispatch_t *dispatch = handover->dispatch;
    error_info_t err = {0};
    loop_timer_clear(dispatch->loop, &handover->peer_timer);
    while (handover->batches != NULL) {
        const vm_entry_t *vm = find_peer(dispatch, handover->next_peer++);
        if (vm == NULL) {
            log_event("handover_failed", "reason=\"no peer left\"");
            break;
        }
        handover->peer = conn_connect(
            dispatch->loop, dispatch->settings->here.address, vm->address,
            dispatch->settings->port, &peer_ops, handover, &err);
        if (handover->peer != NULL) {
            loop_timer_set(dispatch->loop, &handover->peer_timer,
                           clock_deadline_ns(kPeerTimeoutMs));
            return;
        }
    }
    finish_drain(dispatch);
}

static void
on_peer_timeout(loop_timer_t *timer)
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
    loop_timer_init(&handover->peer_timer, on_peer_timeout, handover);
    dispatch->handover = handover;
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        collect_request_t *posted = calloc(1, sizeof *posted);
        posted->callback.run = collect_records;
        posted->shard = &dispatch->shards[i];
        posted->handover = handover;
        loop_post(posted->shard->loop, &posted->callback);
    }
}

/// @return whether no job is active and no id can be submitted any more
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
on_drain_check(loop_timer_t *timer)
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
    loop_timer_set(dispatch->loop, timer, clock_deadline_ns(kDrainCheckMs));
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
    loop_timer_init(&dispatch->drain_timer, on_drain_check, dispatch);
    loop_timer_set(dispatch->loop, &dispatch->drain_timer,
                   clock_deadline_ns(kDrainCheckMs));
}
