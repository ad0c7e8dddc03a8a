#include "dispatch/adopted_records.h"

#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "codec/pack.h"
#include "dispatch/shard.h"
#include "runtime/clock.h"
#include "runtime/log.h"

/// Frees sets whose hold time is over.
static void
drop_expired_sets(shard_t *shard)
{
    int64_t now_ns = clock_now_ns();
    adopted_set_t **at = &shard->adopted;
    while (*at != NULL) {
        adopted_set_t *set = *at;
        if (set->hold_until_ns > now_ns) {
            at = &set->next;
            continue;
        }
        *at = set->next;
        arena_destroy(set->arena);
    }
}

static adopted_set_t *
find_set(shard_t *shard, const incarnation_t *origin)
{
    drop_expired_sets(shard);
    adopted_set_t *set = shard->adopted;
    while (set != NULL && !incarnation_equals(&set->origin, origin)) {
        set = set->next;
    }
    return set;
}

static void
serve_find(shard_t *shard, job_request_t *request)
{
    adopted_set_t *set = find_set(shard, &request->id.home);
    if (set == NULL) {
        shard_send_error(shard, &request->reply_to, kErrorKindHomeLost);
        return;
    }
    if (!job_id_verify(&request->id, set->secret)) {
        shard_send_error(shard, &request->reply_to, kErrorKindNotMinted);
        return;
    }
    held_record_t *record =
        apr_hash_get(set->records, &request->id.sequence, sizeof(uint64_t));
    if (record == NULL) {
        shard_send_error(shard, &request->reply_to, kErrorKindForgotten);
        return;
    }
    if (request->has_digest &&
        memcmp(record->digest.data, request->digest, kDigestBytes) != 0) {
        shard_send_error(shard, &request->reply_to, kErrorKindConflict);
        return;
    }
    blob_t *blob = blob_create(record->answer.data, record->answer.size_bytes);
    shard_send_answer(shard, &request->reply_to, blob);
    blob_unref(blob);
}

/// A find request or a handover that is posted to shard 0.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    job_request_t request;
    blob_t *body; ///< handover message; NULL in a find request
} adopted_request_t;

static void
find_record(loop_callback_t *callback)
{
    adopted_request_t *posted =
        caa_container_of(callback, adopted_request_t, callback);
    serve_find(posted->shard, &posted->request);
    free(posted);
}

void
adopted_records_post_find(shard_t *from, const job_request_t *request)
{
    adopted_request_t *posted = calloc(1, sizeof *posted);
    posted->callback.run = find_record;
    posted->shard = &from->dispatch->shards[0];
    posted->request = *request;
    loop_post(posted->shard->loop, &posted->callback);
}

/// @return the set of the incarnation in a handover, created if it is missing
static adopted_set_t *
ensure_set(shard_t *shard, const handover_message_t *message)
{
    incarnation_t origin = {
        .dc = message->dc, .vm = message->vm, .nonce = message->nonce};
    adopted_set_t *set = find_set(shard, &origin);
    if (set == NULL) {
        arena_t *arena = arena_create();
        set = apr_pcalloc(arena, sizeof *set);
        set->arena = arena;
        set->records = apr_hash_make(arena);
        set->origin = origin;
        memcpy(set->secret, message->secret.data, kJobIdSecretBytes);
        set->next = shard->adopted;
        shard->adopted = set;
    }
    set->hold_until_ns = clock_deadline_ns(message->left_ms);
    return set;
}

static void
store_records(shard_t *shard, const handover_message_t *message)
{
    adopted_set_t *set = ensure_set(shard, message);
    for (uint32_t i = 0; i < message->records_count; i++) {
        const held_record_t *received = &message->records[i];
        if (received->digest.size_bytes != kDigestBytes) {
            continue;
        }
        held_record_t *record = apr_palloc(set->arena, sizeof *record);
        *record = *received;
        record->digest.data = (uint8_t *)arena_copy(
            set->arena, received->digest.data, kDigestBytes);
        record->answer.data = (uint8_t *)arena_copy(
            set->arena, received->answer.data, received->answer.size_bytes);
        apr_hash_set(set->records, &record->sequence, sizeof(uint64_t),
                     record);
    }
    counter_add(kCounterRecordsAdopted, message->records_count);
    log_event("records_adopted", "dc=%u vm=%u records=%u", message->dc,
              message->vm, message->records_count);
}

static void
receive_handover(loop_callback_t *callback)
{
    adopted_request_t *posted =
        caa_container_of(callback, adopted_request_t, callback);
    shard_t *shard = posted->shard;
    handover_message_t message;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(blob_bytes(posted->body), &handover_message_desc,
                          arena, &message, &err) &&
        message.secret.size_bytes == kJobIdSecretBytes) {
        store_records(shard, &message);
        posted->request.reply_to.request = message.request;
        shard_ack_handover(shard, &posted->request.reply_to);
    }
    arena_destroy(arena);
    blob_unref(posted->body);
    free(posted);
}

void
adopted_records_post_handover(shard_t *from, uint32_t session,
                              uint64_t generation, bytes_t body)
{
    adopted_request_t *posted = calloc(1, sizeof *posted);
    posted->callback.run = receive_handover;
    posted->shard = &from->dispatch->shards[0];
    posted->request.reply_to = (reply_to_t){
        .shard = from->number, .session = session, .generation = generation};
    posted->body = blob_create(body.data, body.size_bytes);
    loop_post(posted->shard->loop, &posted->callback);
}
