#include "dispatch/adopted.h"

#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "codec/pack.h"
#include "dispatch/shard.h"
#include "runtime/clock.h"
#include "runtime/log.h"

/// Frees sets whose time is over.
static void
drop_old(shard_t *shard)
{
    int64_t now_ns = clock_now_ns();
    adopted_t **at = &shard->adopted;
    while (*at != NULL) {
        adopted_t *set = *at;
        if (set->hold_until_ns > now_ns) {
            at = &set->next;
            continue;
        }
        *at = set->next;
        arena_destroy(set->arena);
    }
}

static adopted_t *
find_set(shard_t *shard, const incarnation_t *home)
{
    drop_old(shard);
    adopted_t *set = shard->adopted;
    while (set != NULL && !incarnation_equals(&set->home, home)) {
        set = set->next;
    }
    return set;
}

static void
serve_find(shard_t *shard, job_request_t *request)
{
    adopted_t *set = find_set(shard, &request->id.home);
    if (set == NULL) {
        shard_answer_kind(shard, &request->reply_to, kErrorKindHomeLost);
        return;
    }
    if (!job_id_verify(&request->id, set->secret)) {
        shard_answer_kind(shard, &request->reply_to, kErrorKindNotMinted);
        return;
    }
    held_record_t *record =
        apr_hash_get(set->records, &request->id.sequence, sizeof(uint64_t));
    if (record == NULL) {
        shard_answer_kind(shard, &request->reply_to, kErrorKindForgotten);
        return;
    }
    if (request->has_digest &&
        memcmp(record->digest.data, request->digest, kDigestBytes) != 0) {
        shard_answer_kind(shard, &request->reply_to, kErrorKindConflict);
        return;
    }
    blob_t *blob = blob_create(record->answer.data, record->answer.size_bytes);
    shard_answer(shard, &request->reply_to, blob);
    blob_drop(blob);
}

/// A call about adopted records, on its way to shard 0.
typedef struct {
    loop_callback_t callback;
    shard_t *shard;
    job_request_t request;
    blob_t *body; ///< of a handover
} adopted_mail_t;

static void
run_find(loop_callback_t *callback)
{
    adopted_mail_t *letter =
        caa_container_of(callback, adopted_mail_t, callback);
    serve_find(letter->shard, &letter->request);
    free(letter);
}

void
adopted_post_find(shard_t *from, const job_request_t *request)
{
    adopted_mail_t *letter = calloc(1, sizeof *letter);
    letter->callback.run = run_find;
    letter->shard = &from->dispatch->shards[0];
    letter->request = *request;
    loop_post(letter->shard->loop, &letter->callback);
}

/// @return the set of an incarnation, made where there is none
static adopted_t *
open_set(shard_t *shard, const handover_message_t *message)
{
    incarnation_t home = {
        .dc = message->dc, .vm = message->vm, .nonce = message->nonce};
    adopted_t *set = find_set(shard, &home);
    if (set == NULL) {
        arena_t *arena = arena_create();
        set = apr_pcalloc(arena, sizeof *set);
        set->arena = arena;
        set->records = apr_hash_make(arena);
        set->home = home;
        memcpy(set->secret, message->secret.data, kJobIdSecretBytes);
        set->next = shard->adopted;
        shard->adopted = set;
    }
    set->hold_until_ns = clock_deadline_ns(message->left_ms);
    return set;
}

static void
keep_records(shard_t *shard, const handover_message_t *message)
{
    adopted_t *set = open_set(shard, message);
    for (uint32_t i = 0; i < message->records_count; i++) {
        const held_record_t *from = &message->records[i];
        if (from->digest.size_bytes != kDigestBytes) {
            continue;
        }
        held_record_t *record = apr_palloc(set->arena, sizeof *record);
        *record = *from;
        record->digest.data =
            (uint8_t *)arena_copy(set->arena, from->digest.data, kDigestBytes);
        record->answer.data = (uint8_t *)arena_copy(
            set->arena, from->answer.data, from->answer.size_bytes);
        apr_hash_set(set->records, &record->sequence, sizeof(uint64_t),
                     record);
    }
    counter_add(kCounterRecordsAdopted, message->records_count);
    log_event("records_adopted", "dc=%u vm=%u records=%u", message->dc,
              message->vm, message->records_count);
}

static void
run_handover(loop_callback_t *callback)
{
    adopted_mail_t *letter =
        caa_container_of(callback, adopted_mail_t, callback);
    shard_t *shard = letter->shard;
    handover_message_t message;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(blob_bytes(letter->body), &handover_message_desc,
                          arena, &message, &err) &&
        message.secret.size_bytes == kJobIdSecretBytes) {
        keep_records(shard, &message);
        letter->request.reply_to.request = message.request;
        shard_ack_handover(shard, &letter->request.reply_to);
    }
    arena_destroy(arena);
    blob_drop(letter->body);
    free(letter);
}

void
adopted_post_handover(shard_t *from, uint32_t place, uint64_t generation,
                      bytes_t body)
{
    adopted_mail_t *letter = calloc(1, sizeof *letter);
    letter->callback.run = run_handover;
    letter->shard = &from->dispatch->shards[0];
    letter->request.reply_to = (reply_to_t){
        .shard = from->number, .session = place, .generation = generation};
    letter->body = blob_create(body.data, body.size_bytes);
    loop_post(letter->shard->loop, &letter->callback);
}
