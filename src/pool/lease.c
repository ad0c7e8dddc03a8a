/// The lease of a target. It covers all runs there, and a target ends what
/// runs when it expires: this ends runs that no call reaches any more.
#include "pool/state.h"

enum {
    kClockDriftPercent = 3,  ///< clocks of targets may drift by 2%
    kLeaseExpirySlackMs = 20 ///< for a start accepted just before expiry
};

/// @return by how much a lease that is granted now may last longer than asked
///         for, apart from the drift of the target's clock in that time
static int64_t
read_error_ns(const pool_target_t *target, int64_t now_ns)
{
    return target->clock_error_ns + MS_TO_NS(kLeaseExpirySlackMs) +
           (now_ns - target->clock_ns) * kClockDriftPercent / 100;
}

uint64_t
lease_grant(pool_target_t *target, uint32_t lease_ms, int64_t now_ns)
{
    int64_t since_ns = now_ns - target->clock_ns;
    int64_t lease_expiry_ns =
        now_ns + read_error_ns(target, now_ns) +
        MS_TO_NS(lease_ms) * (100 + kClockDriftPercent) / 100;
    if (lease_expiry_ns > target->lease_expiry_ns) {
        target->lease_expiry_ns = lease_expiry_ns;
    }
    return target->clock_ms + (uint64_t)(since_ns / MS_TO_NS(1)) + lease_ms;
}

uint32_t
lease_read_limit_ms(const pool_t *pool, const pool_target_t *target,
                    int64_t now_ns)
{
    if (target->end_by_ns == INT64_MAX) {
        return pool->limits.lease_ms;
    }
    int64_t left_ns =
        target->end_by_ns - now_ns - read_error_ns(target, now_ns);
    int64_t lease_ms = left_ns / MS_TO_NS(100 + kClockDriftPercent) * 100;
    if (lease_ms <= 0) {
        return 0;
    }
    return lease_ms < pool->limits.lease_ms ? (uint32_t)lease_ms
                                            : pool->limits.lease_ms;
}

/// Ends the runs of a target whose last lease has certainly expired. While the
/// target answers, the list shows how a run ended that its order still needs.
static void
end_expired_runs(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    bool is_listed =
        target->session != kSessionUnresponsive && !target->is_fenced;
    pool_run_t *next;
    for (pool_run_t *run = target->runs; run != NULL; run = next) {
        next = run->next;
        if (run->pending_starts > 0 ||
            (is_listed && run->task != NULL && run->state == kRunActive)) {
            continue;
        }
        if (target->session == kSessionUnresponsive) {
            run_lose(pool, run, now_ns);
        }
        else {
            run_end(pool, run, kRunEndLapsed, now_ns);
        }
        run_free_ended(pool, run);
    }
}

int64_t
lease_advance(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    if (target->run_count == 0) {
        return INT64_MAX;
    }
    if (target->lease_expiry_ns <= now_ns) {
        end_expired_runs(pool, target, now_ns);
        return INT64_MAX;
    }
    return target->lease_expiry_ns;
}
