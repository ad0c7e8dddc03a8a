/// Orders ranked by what a free resource is worth to their callers.
#include "pool/state.h"

enum {
    /// Multiple of the objective after which an answer is of little use to the
    /// caller.
    kUsefulFactor = 3,
    /// Contention that lasts longer than this is a surge. Shorter waits are
    /// usual where large tasks wait for matching room.
    kSurgeMs = 100
};

int64_t
urgency_latest_start_ns(const pool_order_t *order, int64_t objective_count)
{
    int64_t work_ns = 0;
    for (uint32_t i = 0; i < order->spec->steps_count; i++) {
        int64_t step_ns = MS_TO_NS(order->spec->steps[i].estimate_ms);
        work_ns = order->step_remaining[i] > 0 && step_ns > work_ns ? step_ns
                                                                    : work_ns;
    }
    return order->received_ns + order->objective_ns * objective_count -
           work_ns;
}

int64_t
urgency_give_up_ns(const pool_order_t *order, int64_t contended_since_ns)
{
    int64_t give_up_ns = urgency_latest_start_ns(order, kUsefulFactor);
    if (contended_since_ns == 0) {
        return give_up_ns;
    }
    int64_t surge_ns = contended_since_ns + MS_TO_NS(kSurgeMs);
    int64_t in_time_ns = urgency_latest_start_ns(order, 1);
    return min_ns(give_up_ns, surge_ns > in_time_ns ? surge_ns : in_time_ns);
}

urgency_t
urgency_read(const pool_order_t *order, int64_t now_ns)
{
    if (order->is_started &&
        now_ns < urgency_latest_start_ns(order, kUsefulFactor)) {
        return kUrgencyBegun;
    }
    return now_ns < urgency_latest_start_ns(order, 1) ? kUrgencyInTime
                                                      : kUrgencyLate;
}

void
urgency_update_contention(pool_t *pool, int64_t now_ns)
{
    for (const pool_order_t *order = pool->first_order; order != NULL;
         order = order->next) {
        if (order->waiting_count > 0 &&
            urgency_read(order, now_ns) == kUrgencyInTime) {
            if (pool->contended_since_ns == 0) {
                pool->contended_since_ns = now_ns;
            }
            return;
        }
    }
    pool->contended_since_ns = 0;
}
