#include "core/id_registry.h"

#include <stdlib.h>
#include <string.h>

enum { kBlockIds = 256, kWordBits = 64, kBlockWords = kBlockIds / kWordBits };

/// A run of ids with one start-by deadline.
typedef struct {
    int64_t start_by_ns;
    int64_t open_until_ns; ///< ids are minted here until then
    uint32_t minted_count;
    uint32_t held_count;
    uint64_t submitted[kBlockWords];
    void **jobs; ///< by place in the block; NULL while none is held
} block_t;

struct mint {
    incarnation_t home;
    uint8_t secret[kJobIdSecretBytes];
    uint32_t shard;
    uint32_t shard_count;
    block_t *blocks;
    uint64_t block_count;
    uint64_t block_capacity;
};

id_registry_t *
id_registry_create(const incarnation_t *home,
                   const uint8_t secret[kJobIdSecretBytes], uint32_t shard,
                   uint32_t shard_count)
{
    id_registry_t *mint = calloc(1, sizeof *mint);
    mint->home = *home;
    memcpy(mint->secret, secret, kJobIdSecretBytes);
    mint->shard = shard;
    mint->shard_count = shard_count;
    return mint;
}

void
id_registry_destroy(id_registry_t *mint)
{
    for (uint64_t i = 0; i < mint->block_count; i++) {
        free(mint->blocks[i].jobs);
    }
    free(mint->blocks);
    free(mint);
}

/// @return the block that ids are minted from now
static block_t *
open_block(id_registry_t *mint, int64_t now_ns, int64_t start_by_ns)
{
    if (mint->block_count > 0) {
        block_t *last = &mint->blocks[mint->block_count - 1];
        if (last->minted_count < kBlockIds && now_ns < last->open_until_ns) {
            return last;
        }
    }
    if (mint->block_count == mint->block_capacity) {
        mint->block_capacity =
            mint->block_capacity == 0 ? 16 : mint->block_capacity * 2;
        mint->blocks =
            realloc(mint->blocks, mint->block_capacity * sizeof(block_t));
        if (mint->blocks == NULL) {
            abort();
        }
    }
    block_t *block = &mint->blocks[mint->block_count++];
    *block = (block_t){.start_by_ns = now_ns + start_by_ns,
                       .open_until_ns = now_ns + start_by_ns / 2};
    return block;
}

int64_t
id_registry_mint(id_registry_t *mint, uint32_t count, int64_t now_ns,
                 int64_t start_by_ns, job_id_t *out)
{
    int64_t earliest_ns = INT64_MAX;
    for (uint32_t i = 0; i < count; i++) {
        block_t *block = open_block(mint, now_ns, start_by_ns);
        uint64_t local =
            (mint->block_count - 1) * kBlockIds + block->minted_count;
        block->minted_count++;
        out[i] =
            (job_id_t){.home = mint->home,
                       .sequence = local * mint->shard_count + mint->shard};
        job_id_sign(&out[i], mint->secret);
        if (block->start_by_ns < earliest_ns) {
            earliest_ns = block->start_by_ns;
        }
    }
    return earliest_ns;
}

/// @return the block of a sequence number and the place in it, or NULL
static block_t *
find_block(const id_registry_t *mint, uint64_t sequence, uint32_t *place)
{
    uint64_t local = sequence / mint->shard_count;
    uint64_t number = local / kBlockIds;
    *place = (uint32_t)(local % kBlockIds);
    if (sequence % mint->shard_count != mint->shard ||
        number >= mint->block_count ||
        *place >= mint->blocks[number].minted_count) {
        return NULL;
    }
    return &mint->blocks[number];
}

static bool
is_submitted(const block_t *block, uint32_t place)
{
    return block->submitted[place / kWordBits] >> (place % kWordBits) & 1;
}

id_status_t
id_registry_lookup(const id_registry_t *mint, const job_id_t *id,
                   int64_t now_ns, void **job)
{
    uint32_t place = 0;
    *job = NULL;
    block_t *block = find_block(mint, id->sequence, &place);
    if (block == NULL || !incarnation_equals(&id->home, &mint->home) ||
        !job_id_verify(id, mint->secret)) {
        return kIdStatusUnknown;
    }
    if (is_submitted(block, place)) {
        *job = block->jobs == NULL ? NULL : block->jobs[place];
        return *job == NULL ? kIdStatusForgotten : kIdStatusHeld;
    }
    return now_ns < block->start_by_ns ? kIdStatusFresh : kIdStatusExpired;
}

void
id_registry_submit(id_registry_t *mint, uint64_t sequence, void *job)
{
    uint32_t place = 0;
    block_t *block = find_block(mint, sequence, &place);
    if (block->jobs == NULL) {
        block->jobs = calloc(kBlockIds, sizeof(void *));
    }
    block->submitted[place / kWordBits] |= UINT64_C(1) << (place % kWordBits);
    block->jobs[place] = job;
    block->held_count++;
}

void
id_registry_forget(id_registry_t *mint, uint64_t sequence)
{
    uint32_t place = 0;
    block_t *block = find_block(mint, sequence, &place);
    if (block == NULL || block->jobs == NULL || block->jobs[place] == NULL) {
        return;
    }
    block->jobs[place] = NULL;
    block->held_count--;
    if (block->held_count == 0) {
        free(block->jobs);
        block->jobs = NULL;
    }
}

int64_t
id_registry_last_start_by_ns(const id_registry_t *mint)
{
    int64_t last_ns = 0;
    if (mint->block_count > 0) {
        last_ns = mint->blocks[mint->block_count - 1].start_by_ns;
    }
    return last_ns;
}
