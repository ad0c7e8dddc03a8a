/// Calls that start or stop runs. Each takes a connection and memory until its
/// reply, so only some may be pending at a time. The others wait: tasks in
/// their order, and stops with their run, whose lease ends it in any case.
#include "pool/state.h"

enum {
    /// Of the pending calls, so that stops need not wait for starts.
    kStartPercent = 75,
    /// Calls of one target, so that one that does not answer leaves room for
    /// the others, and fewer than the connections that a target serves.
    kTargetCallLimit = 48,
    kTargetStartLimit = kTargetCallLimit * kStartPercent / 100
};

bool
calls_have_room(const pool_t *pool)
{
    uint64_t limit = pool->limits.call_limit;
    return limit == 0 || pool->pending_calls < limit * kStartPercent / 100;
}

bool
calls_allow_start(const pool_t *pool, const pool_target_t *target)
{
    return calls_have_room(pool) &&
           target->pending_calls + target->awaited_count < kTargetStartLimit;
}

bool
calls_allow_stop(const pool_t *pool, const pool_target_t *target)
{
    uint32_t limit = pool->limits.call_limit;
    return (limit == 0 || pool->pending_calls < limit) &&
           target->pending_calls < kTargetCallLimit;
}

void
calls_record_sent(pool_t *pool, pool_target_t *target)
{
    pool->pending_calls++;
    target->pending_calls++;
}

void
calls_record_reply(pool_t *pool, pool_target_t *target)
{
    pool->pending_calls--;
    target->pending_calls--;
}
