#include "core/id_registry.h"

#include <stdlib.h>
#include <string.h>

enum {
    kIdsPerBlock = 256,
    kWordBits = 64,
    kWordsPerBlock = kIdsPerBlock / kWordBits
};

/// A range of the shard's ids that share a start-by deadline.
typedef struct {
    int64_t start_by_ns;
    int64_t open_until_ns; ///< new ids come from this block until then
    uint32_t minted_count;
    uint32_t held_count;
    uint64_t submitted[kWordsPerBlock];
    void **jobs; ///< by index in the block; NULL while no job is held
} block_t;

struct id_registry {
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
    id_registry_t *registry = calloc(1, sizeof *registry);
    registry->home = *home;
    memcpy(registry->secret, secret, kJobIdSecretBytes);
    registry->shard = shard;
    registry->shard_count = shard_count;
    return registry;
}

void
id_registry_destroy(id_registry_t *registry)
{
    for (uint64_t i = 0; i < registry->block_count; i++) {
        free(registry->blocks[i].jobs);
    }
    free(registry->blocks);
    free(registry);
}

/// @return the block to mint the next id from: the last one, or a new one when
/// it is full or has been open for half of `submit_window_ns`
static block_t *
get_open_block(id_registry_t *registry, int64_t now_ns,
               int64_t submit_window_ns)
{
    if (registry->block_count > 0) {
        block_t *last = &registry->blocks[registry->block_count - 1];
        if (last->minted_count < kIdsPerBlock &&
            now_ns < last->open_until_ns) {
            return last;
        }
    }
    if (registry->block_count == registry->block_capacity) {
        registry->block_capacity =
            registry->block_capacity == 0 ? 16 : registry->block_capacity * 2;
        registry->blocks = realloc(registry->blocks,
                                   registry->block_capacity * sizeof(block_t));
        if (registry->blocks == NULL) {
            abort();
        }
    }
    block_t *block = &registry->blocks[registry->block_count++];
    *block = (block_t){.start_by_ns = now_ns + submit_window_ns,
                       .open_until_ns = now_ns + submit_window_ns / 2};
    return block;
}

int64_t
id_registry_mint(id_registry_t *registry, uint32_t count, int64_t now_ns,
                 int64_t submit_window_ns, job_id_t *out)
{
    int64_t earliest_ns = INT64_MAX;
    for (uint32_t i = 0; i < count; i++) {
        block_t *block = get_open_block(registry, now_ns, submit_window_ns);
        uint64_t shard_sequence =
            (registry->block_count - 1) * kIdsPerBlock + block->minted_count;
        block->minted_count++;
        out[i] =
            (job_id_t){.home = registry->home,
                       .sequence = shard_sequence * registry->shard_count +
                                   registry->shard};
        job_id_sign(&out[i], registry->secret);
        if (block->start_by_ns < earliest_ns) {
            earliest_ns = block->start_by_ns;
        }
    }
    return earliest_ns;
}

/// Finds the block of a sequence number.
///
/// @param index  set to the id's index in the block
/// @return the block, or NULL if the shard has not minted this number
static block_t *
find_block(const id_registry_t *registry, uint64_t sequence, uint32_t *index)
{
    uint64_t shard_sequence = sequence / registry->shard_count;
    uint64_t block_index = shard_sequence / kIdsPerBlock;
    *index = (uint32_t)(shard_sequence % kIdsPerBlock);
    if (sequence % registry->shard_count != registry->shard ||
        block_index >= registry->block_count ||
        *index >= registry->blocks[block_index].minted_count) {
        return NULL;
    }
    return &registry->blocks[block_index];
}

static bool
is_submitted(const block_t *block, uint32_t index)
{
    return block->submitted[index / kWordBits] >> (index % kWordBits) & 1;
}

id_status_t
id_registry_lookup(const id_registry_t *registry, const job_id_t *id,
                   int64_t now_ns, void **job)
{
    uint32_t index = 0;
    *job = NULL;
    block_t *block = find_block(registry, id->sequence, &index);
    if (block == NULL || !incarnation_equals(&id->home, &registry->home) ||
        !job_id_verify(id, registry->secret)) {
        return kIdStatusUnknown;
    }
    if (is_submitted(block, index)) {
        *job = block->jobs == NULL ? NULL : block->jobs[index];
        return *job == NULL ? kIdStatusForgotten : kIdStatusHeld;
    }
    return now_ns < block->start_by_ns ? kIdStatusFresh : kIdStatusExpired;
}

void
id_registry_submit(id_registry_t *registry, uint64_t sequence, void *job)
{
    uint32_t index = 0;
    block_t *block = find_block(registry, sequence, &index);
    if (block->jobs == NULL) {
        block->jobs = calloc(kIdsPerBlock, sizeof(void *));
    }
    block->submitted[index / kWordBits] |= UINT64_C(1) << (index % kWordBits);
    block->jobs[index] = job;
    block->held_count++;
}

void
id_registry_forget(id_registry_t *registry, uint64_t sequence)
{
    uint32_t index = 0;
    block_t *block = find_block(registry, sequence, &index);
    if (block == NULL || block->jobs == NULL || block->jobs[index] == NULL) {
        return;
    }
    block->jobs[index] = NULL;
    block->held_count--;
    if (block->held_count == 0) {
        free(block->jobs);
        block->jobs = NULL;
    }
}

int64_t
id_registry_last_start_by_ns(const id_registry_t *registry)
{
    int64_t last_ns = 0;
    if (registry->block_count > 0) {
        last_ns = registry->blocks[registry->block_count - 1].start_by_ns;
    }
    return last_ns;
}
