/// Estimates how long a new order will wait for free resources, and corrects
/// the estimates by the waits of earlier orders.
#include <stdlib.h>

#include "pool/state.h"

enum {
    kMinRemainingMs = 10,     ///< for a run that exceeds its expected time
    kUnknownWaitMs = 3600000, ///< if no run ends and no resources are free
    kLearnWeight = 16,        ///< a new ratio has a weight of 1/16
    kDecayWeight = 128, ///< weight of 1/128, for an order that need not wait
    kCorrectionLimitPermille = 20000,
    kNominalPermille = 1000
};

/// The load that a new order has to wait for.
typedef struct {
    uint64_t free_count;  ///< tasks of its size that fit now
    uint64_t ahead_count; ///< waiting tasks of equal or more urgent priority
    int64_t *ends_ns;     ///< expected time until each run ends, ascending
    uint32_t end_count;
} queue_state_t;

static int
compare_ns(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return (a > b) - (a < b);
}

/// Adds the expected ends of a target's runs.
static void
collect_ends(const pool_target_t *target, queue_state_t *state, int64_t now_ns)
{
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        if (run->is_ended) {
            continue;
        }
        int64_t remaining_ns =
            run->started_ns + place_estimate_run_ns(run->estimate_ms, target) -
            now_ns;
        state->ends_ns[state->end_count++] =
            remaining_ns > MS_TO_NS(kMinRemainingMs)
                ? remaining_ns
                : MS_TO_NS(kMinRemainingMs);
    }
}

static void
read_queue_state(const pool_t *pool, const order_t *order,
                 const order_step_t *step, queue_state_t *state,
                 int64_t now_ns)
{
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (!session_accepts_starts(target, now_ns)) {
            continue;
        }
        resources_t available = place_read_free(target);
        if (available.cpu_mcores > 0 && step->cpu_mcores > 0) {
            state->free_count +=
                (uint64_t)available.cpu_mcores / step->cpu_mcores;
        }
        collect_ends(target, state, now_ns);
    }
    for (const pool_order_t *other = pool->first_order; other != NULL;
         other = other->next) {
        if (other->spec->priority > order->priority) {
            break;
        }
        state->ahead_count += other->waiting_count;
    }
}

/// @return the expected wait until the last of `count` tasks starts
static int64_t
estimate_start_ns(const queue_state_t *state, uint64_t count)
{
    uint64_t needed = state->ahead_count + count;
    if (needed <= state->free_count) {
        return 0;
    }
    needed -= state->free_count;
    if (state->end_count == 0) {
        return MS_TO_NS(kUnknownWaitMs);
    }
    // Each run that ends makes space for one task. If more tasks are needed
    // than there are runs, further rounds take as long as the longest run.
    int64_t rounds = (int64_t)((needed - 1) / state->end_count);
    return state->ends_ns[(needed - 1) % state->end_count] +
           rounds * state->ends_ns[state->end_count - 1];
}

static int64_t
estimate_uncorrected_ns(const pool_t *pool, const order_t *order,
                        int64_t now_ns)
{
    const order_step_t *step = &order->steps[0];
    queue_state_t state = {0};
    state.ends_ns = malloc((pool->run_count + 1) * sizeof *state.ends_ns);
    read_queue_state(pool, order, step, &state, now_ns);
    qsort(state.ends_ns, state.end_count, sizeof *state.ends_ns, compare_ns);
    bool can_start = state.ahead_count < state.free_count;
    int64_t wait_ns =
        can_start ? 0 : estimate_start_ns(&state, step->task_count);
    free(state.ends_ns);
    return wait_ns;
}

/// @return the correction of estimated waits for a priority
static uint32_t *
find_correction(pool_t *pool, uint32_t priority)
{
    return &pool->wait_correction_permille[priority < kWaitPriorities
                                               ? priority
                                               : kWaitPriorities - 1];
}

/// @return the exponential moving average with a new value added
static uint32_t
update_mean(uint32_t mean, int64_t value, int64_t weight)
{
    return (uint32_t)(mean + (value - (int64_t)mean) / weight);
}

void
wait_init(pool_t *pool)
{
    for (uint32_t i = 0; i < kWaitPriorities; i++) {
        pool->wait_correction_permille[i] = kNominalPermille;
    }
}

int64_t
wait_estimate_ns(pool_t *pool, pool_order_t *order, int64_t now_ns)
{
    order->admitted_ns = now_ns;
    order->estimated_wait_ns =
        estimate_uncorrected_ns(pool, order->spec, now_ns);
    uint32_t *correction = find_correction(pool, order->spec->priority);
    if (order->estimated_wait_ns == 0) {
        // Decay towards 1. If waits were so long that every order that has to
        // wait is refused, no measured wait would ever lower the correction.
        *correction = update_mean(*correction, kNominalPermille, kDecayWeight);
    }
    return order->estimated_wait_ns / kNominalPermille * *correction;
}

void
wait_record_actual(pool_t *pool, pool_order_t *order, int64_t now_ns)
{
    if (order->estimated_wait_ns < kNominalPermille) {
        return;
    }
    int64_t ratio = (now_ns - order->admitted_ns) /
                    (order->estimated_wait_ns / kNominalPermille);
    ratio =
        ratio < kCorrectionLimitPermille ? ratio : kCorrectionLimitPermille;
    uint32_t *mean = find_correction(pool, order->spec->priority);
    *mean = update_mean(*mean, ratio, kLearnWeight);
    order->estimated_wait_ns = 0;
}

uint32_t
wait_backlog_ms(const pool_t *pool, uint32_t priority)
{
    uint64_t work = 0; // unit: 1/1000 core * 1 ms
    for (const pool_order_t *order = pool->first_order; order != NULL;
         order = order->next) {
        if (order->spec->priority > priority) {
            break;
        }
        for (uint32_t i = 0; i < order->task_count; i++) {
            const order_step_t *step =
                &order->spec->steps[order->tasks[i].step];
            if (order->tasks[i].state == kTaskWaiting) {
                work += (uint64_t)step->cpu_mcores * step->estimate_ms;
            }
        }
    }
    uint64_t capacity_mcores = 0;
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (target->session == kSessionReady && !target->is_dropped) {
            capacity_mcores += target->info.cpu_mcores;
        }
    }
    return capacity_mcores == 0 ? 0 : (uint32_t)(work / capacity_mcores);
}
