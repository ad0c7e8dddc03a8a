/// Waits: how long a new order is expected to wait for room, and how far such
/// guesses are off.
#include <stdlib.h>

#include "pool/state.h"

enum {
    kMinRemainingMs = 10,     ///< of a run that is over its expected time
    kUnknownWaitMs = 3600000, ///< where nothing says when room will be there
    kLearnWeight = 16,        ///< one part in so many of a new wait counts
    kDecayWeight = 128,       ///< as above, of an order that does not wait
    kCorrectionLimitPermille = 20000,
    kNominalPermille = 1000
};

/// What stands before a new order, for the guess of its wait.
typedef struct {
    uint64_t free_count;  ///< tasks of its size that fit now
    uint64_t ahead_count; ///< waiting tasks that go first
    int64_t *ends_ns;     ///< when runs are expected to end, from now on
    uint32_t end_count;
} queue_state_t;

static int
compare_ns(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return (a > b) - (a < b);
}

/// Notes when the runs of a target are expected to end.
static void
collect_ends(const pool_target_t *target, queue_state_t *state, int64_t now_ns)
{
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        if (run->is_ended) {
            continue;
        }
        int64_t left_ns = run->started_ns +
                          place_expect_ns(run->estimate_ms, target) - now_ns;
        state->ends_ns[state->end_count++] =
            left_ns > MS_TO_NS(kMinRemainingMs) ? left_ns
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
        if (other->order->priority > order->priority) {
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
    // Beyond the runs at work now, the same again in their longest time.
    int64_t rounds = (int64_t)((needed - 1) / state->end_count);
    return state->ends_ns[(needed - 1) % state->end_count] +
           rounds * state->ends_ns[state->end_count - 1];
}

static int64_t
estimate_ns(const pool_t *pool, const order_t *order, int64_t now_ns)
{
    const order_step_t *step = &order->steps[0];
    queue_state_t state = {0};
    state.ends_ns = malloc((pool->run_count + 1) * sizeof *state.ends_ns);
    read_queue_state(pool, order, step, &state, now_ns);
    qsort(state.ends_ns, state.end_count, sizeof *state.ends_ns, compare_ns);
    bool can_begin = state.ahead_count < state.free_count;
    int64_t wait_ns =
        can_begin ? 0 : estimate_start_ns(&state, step->task_count);
    free(state.ends_ns);
    return wait_ns;
}

/// @return how far waits of a priority exceed what was guessed
static uint32_t *
find_correction(pool_t *pool, uint32_t priority)
{
    return &pool->wait_correction_permille[priority < kWaitPriorities
                                               ? priority
                                               : kWaitPriorities - 1];
}

/// @return a mean with a new value
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
    order->estimated_wait_ns = estimate_ns(pool, order->order, now_ns);
    uint32_t *correction = find_correction(pool, order->order->priority);
    if (order->estimated_wait_ns == 0) {
        // Where waits were so long that no order is let wait, none would show
        // that they are no longer so.
        *correction = update_mean(*correction, kNominalPermille, kDecayWeight);
    }
    return order->estimated_wait_ns / kNominalPermille * *correction;
}

void
wait_learn(pool_t *pool, pool_order_t *order, int64_t now_ns)
{
    if (order->estimated_wait_ns < kNominalPermille) {
        return;
    }
    int64_t ratio = (now_ns - order->admitted_ns) /
                    (order->estimated_wait_ns / kNominalPermille);
    ratio =
        ratio < kCorrectionLimitPermille ? ratio : kCorrectionLimitPermille;
    uint32_t *mean = find_correction(pool, order->order->priority);
    *mean = update_mean(*mean, ratio, kLearnWeight);
    order->estimated_wait_ns = 0;
}

uint32_t
wait_backlog_ms(const pool_t *pool, uint32_t priority)
{
    uint64_t work = 0; // in 1/1000 of a core times milliseconds
    for (const pool_order_t *order = pool->first_order; order != NULL;
         order = order->next) {
        if (order->order->priority > priority) {
            break;
        }
        for (uint32_t i = 0; i < order->task_count; i++) {
            const order_step_t *step =
                &order->order->steps[order->tasks[i].step];
            if (order->tasks[i].state == kTaskWaiting) {
                work += (uint64_t)step->cpu_mcores * step->estimate_ms;
            }
        }
    }
    uint64_t room_mcores = 0;
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (target->session == kSessionReady && !target->is_dropped) {
            room_mcores += target->info.cpu_mcores;
        }
    }
    return room_mcores == 0 ? 0 : (uint32_t)(work / room_mcores);
}
