#include "front/id_pool.h"

#include <stdlib.h>
#include <string.h>

enum { kInitialBatch = 16, kMaxBatch = 1024 };

void
id_pool_clear(id_pool_t *pool)
{
    pool->count = 0;
}

void
id_pool_fill(id_pool_t *pool, const job_id_t *ids, uint32_t count,
             int64_t now_ns, int64_t left_ns)
{
    if (pool->ids == NULL) {
        pool->ids = calloc(kIdPoolCapacity, sizeof(job_id_t));
    }
    pool->count = count < kIdPoolCapacity ? count : kIdPoolCapacity;
    memcpy(pool->ids, ids, pool->count * sizeof(job_id_t));
    pool->start_by_ns = now_ns + left_ns;
    pool->use_by_ns = now_ns + left_ns / 2;
}

bool
id_pool_take(id_pool_t *pool, uint32_t count, int64_t now_ns, job_id_t *out)
{
    if (pool->count < count || now_ns >= pool->use_by_ns) {
        return false;
    }
    pool->count -= count;
    memcpy(out, pool->ids + pool->count, count * sizeof(job_id_t));
    return true;
}

bool
id_pool_is_low(const id_pool_t *pool, int64_t now_ns)
{
    return pool->count < pool->batch_size / 4 || now_ns >= pool->use_by_ns;
}

uint32_t
id_pool_next_request_size(id_pool_t *pool, uint32_t min_count, int64_t now_ns)
{
    if (pool->batch_size == 0) {
        pool->batch_size = kInitialBatch;
    }
    else if (now_ns < pool->use_by_ns && pool->batch_size < kMaxBatch) {
        pool->batch_size *= 2;
    }
    else if (now_ns >= pool->use_by_ns && pool->batch_size > kInitialBatch) {
        pool->batch_size /= 2;
    }
    return min_count > pool->batch_size ? min_count : pool->batch_size;
}
