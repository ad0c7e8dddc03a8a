/// Fresh ids of one dispatcher, kept by a relay so that a caller need not
/// wait for a mint. Batches grow while they are used up in time.
#ifndef JT_FRONT_ID_POOL_H
#define JT_FRONT_ID_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/job_id.h"

enum { kPoolCapacity = 4096 };

typedef struct {
    job_id_t *ids;
    uint32_t count;
    int64_t use_by_ns;   ///< ids are not given out after it
    int64_t start_by_ns; ///< ids can be submitted until then
    uint32_t batch;      ///< size of the next request
} id_pool_t;

/// Drops all ids.
void id_pool_clear(id_pool_t *pool);

/// Puts a fresh batch in; what was left is dropped.
///
/// @param left_ns  time left to submit them
void id_pool_fill(id_pool_t *pool, const job_id_t *ids, uint32_t count,
                  int64_t now_ns, int64_t left_ns);

/// Takes ids.
///
/// @return whether there were `count` usable ones
bool id_pool_take(id_pool_t *pool, uint32_t count, int64_t now_ns,
                  job_id_t *out);

/// @return whether a refill should be under way
bool id_pool_is_low(const id_pool_t *pool, int64_t now_ns);

/// @return how many ids to ask for, at least `need`
uint32_t id_pool_next_batch(id_pool_t *pool, uint32_t need, int64_t now_ns);

#endif
