/// Orders whose waiting tasks no target of the pool may run, because the data
/// centres of all targets that could are evacuated.
#include "base/counters.h"
#include "pool/state.h"

enum { kStrandedRetryMs = 500 }; ///< Retry-After if no other owner is left

/// @return whether any target may get runs of a service, now or when its
///         session is ready
static bool
has_open_target(const pool_t *pool, const char *service)
{
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (!target->is_dropped && !target->info.is_draining &&
            strcmp(target->info.service, service) == 0) {
            return true;
        }
    }
    return false;
}

void
strand_end_orders(pool_t *pool, int64_t now_ns)
{
    if (!pool->is_evacuating) {
        return;
    }
    pool_order_t *next;
    for (pool_order_t *order = pool->first_order; order != NULL;
         order = next) {
        next = order->next;
        if (order->waiting_count == 0 ||
            has_open_target(pool, order->spec->service)) {
            continue;
        }
        counter_add(kCounterOrdersStranded, 1);
        order_settle(
            pool, order,
            order->is_started ? kOrderOutcomeLost : kOrderOutcomeRefused,
            order->is_started ? kErrorKindTargetLost : kErrorKindNoDispatcher,
            kStrandedRetryMs, now_ns);
    }
}
