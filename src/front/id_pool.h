/// Unused job ids of one dispatcher, requested ahead so that a caller need not
/// wait for a mint. Batches grow while they are used up before they expire.
#ifndef JT_FRONT_ID_POOL_H
#define JT_FRONT_ID_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/job_id.h"

enum { kIdPoolCapacity = 4096 };

typedef struct {
    job_id_t *ids;
    uint32_t count;
    int64_t use_by_ns;   ///< ids are not handed out from then on
    int64_t start_by_ns; ///< ids can be submitted until then
    uint32_t batch_size; ///< ids to ask for in a request
} id_pool_t;

/// Discards all ids.
void id_pool_clear(id_pool_t *pool);

/// Replaces the ids of the pool by a new batch.
///
/// @param left_ns  time left to submit the ids; they are handed out during the
///                 first half of it
void id_pool_fill(id_pool_t *pool, const job_id_t *ids, uint32_t count,
                  int64_t now_ns, int64_t left_ns);

/// Takes `count` ids out of the pool.
///
/// @return false if it holds fewer usable ids; none are taken then
bool id_pool_take(id_pool_t *pool, uint32_t count, int64_t now_ns,
                  job_id_t *out);

/// @return whether the pool should be refilled: less than a quarter of a batch
///         is left, or the ids are too old to hand out
bool id_pool_is_low(const id_pool_t *pool, int64_t now_ns);

/// Adapts the size of a batch within its bounds: doubles it if the last one
/// was used up before it expired, halves it otherwise.
///
/// @return how many ids to ask for, at least `min_count`
uint32_t id_pool_next_request_size(id_pool_t *pool, uint32_t min_count,
                                   int64_t now_ns);

#endif
