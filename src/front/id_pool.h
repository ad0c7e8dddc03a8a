/// Unused job ids of one dispatcher, requested in advance so that a caller
/// need not wait for a mint. The batch size grows while batches are used up
/// before they expire.
#ifndef JT_FRONT_ID_POOL_H
#define JT_FRONT_ID_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/job_id.h"

enum { kIdPoolCapacity = 4096 };

typedef struct {
    job_id_t *ids;
    uint32_t count;
    int64_t use_by_ns;   ///< ids are not handed out after this time
    int64_t start_by_ns; ///< ids can be submitted until this time
    uint32_t batch_size; ///< number of ids to request
} id_pool_t;

/// Discards all ids.
void id_pool_clear(id_pool_t *pool);

/// Replaces the ids of the pool with a new batch.
///
/// @param left_ns  time left to submit the ids; they are handed out during the
///                 first half of it
void id_pool_fill(id_pool_t *pool, const job_id_t *ids, uint32_t count,
                  int64_t now_ns, int64_t left_ns);

/// Takes `count` ids out of the pool.
///
/// @return whether the pool held that many usable ids; if not, none are taken
bool id_pool_take(id_pool_t *pool, uint32_t count, int64_t now_ns,
                  job_id_t *out);

/// @return whether the pool should be refilled: less than a quarter of a batch
///         is left, or the ids are too old to hand out
bool id_pool_is_low(const id_pool_t *pool, int64_t now_ns);

/// Adapts the batch size within its bounds: doubles it if the last batch was
/// used up before it expired, else halves it.
///
/// @return the number of ids to request, at least `min_count`
uint32_t id_pool_next_request_size(id_pool_t *pool, uint32_t min_count,
                                   int64_t now_ns);

#endif
