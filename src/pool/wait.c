/// Estimates how long a new order will wait for free resources, and corrects
/// the estimates by the waits of earlier orders.
#include <stdlib.h>

#include "pool/state.h"

enum {
    kMinRemainingMs = 10,     ///< for a run that exceeds its expected time
    kUnknownWaitMs = 3600000, ///< if no run ends and no resources are free
    kRatioDivisor = 16,       ///< a new ratio has a weight of 1/16
    kDecayDivisor = 128,      ///< 1/128: weight of an order that need not wait
    kCorrectionLimitPermille = 20000,
    kNominalPermille = 1000
};

/// What the wait of a new order depends on.
typedef struct {
    uint64_t free_count;    ///< tasks of its size that fit now
    uint64_t ahead_count;   ///< waiting tasks of orders of an earlier rank
    uint64_t smaller_count; ///< of these, tasks that need no more CPU
    /// Expected remaining time of each run, ascending.
    int64_t *run_remaining_ns;
    uint32_t run_count;
} load_t;

static int
compare_ns(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return (a > b) - (a < b);
}

/// Adds the expected remaining times of a target's runs.
static void
collect_remaining_times(const pool_target_t *target, load_t *load,
                        int64_t now_ns)
{
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        if (run->is_ended) {
            continue;
        }
        int64_t remaining_ns =
            run->started_ns + place_estimate_run_ns(run->estimate_ms, target) -
            now_ns;
        load->run_remaining_ns[load->run_count++] =
            remaining_ns > MS_TO_NS(kMinRemainingMs)
                ? remaining_ns
                : MS_TO_NS(kMinRemainingMs);
    }
}

/// @return how many tasks of an order wait that need no more CPU than a size
static uint64_t
count_smaller_tasks(const pool_order_t *order, uint32_t cpu_mcores)
{
    uint64_t count = 0;
    if (order->waiting_count == 0) {
        return 0;
    }
    for (uint32_t i = 0; i < order->task_count; i++) {
        count +=
            order->tasks[i].state == kTaskWaiting &&
            order->spec->steps[order->tasks[i].step].cpu_mcores <= cpu_mcores;
    }
    return count;
}

static void
read_load(const pool_t *pool, const pool_order_t *order,
          const order_step_t *step, load_t *load, int64_t now_ns)
{
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (!session_accepts_starts(pool, target, now_ns)) {
            continue;
        }
        resources_t available = place_read_free(target);
        if (available.cpu_mcores > 0 && step->cpu_mcores > 0) {
            load->free_count +=
                (uint64_t)available.cpu_mcores / step->cpu_mcores;
        }
        collect_remaining_times(target, load, now_ns);
    }
    for (const pool_order_t *other = pool->first_order; other != NULL;
         other = other->next) {
        if (value_precedes(&order->rank, &other->rank)) {
            break;
        }
        load->ahead_count += other->waiting_count;
        load->smaller_count += count_smaller_tasks(other, step->cpu_mcores);
    }
}

/// @return the expected wait until the last of `count` tasks starts
static int64_t
estimate_start_ns(const load_t *load, uint64_t count)
{
    uint64_t start_count = load->ahead_count + count;
    if (start_count <= load->free_count) {
        return 0;
    }
    start_count -= load->free_count;
    if (load->run_count == 0) {
        return MS_TO_NS(kUnknownWaitMs);
    }
    // Each run that ends frees the resources for one task. If more tasks have
    // to start than there are runs, each further round takes as long as the
    // longest run.
    int64_t rounds = (int64_t)((start_count - 1) / load->run_count);
    return load->run_remaining_ns[(start_count - 1) % load->run_count] +
           rounds * load->run_remaining_ns[load->run_count - 1];
}

static int64_t
estimate_uncorrected_ns(const pool_t *pool, const pool_order_t *order,
                        int64_t now_ns)
{
    const order_step_t *step = &order->spec->steps[0];
    load_t load = {0};
    load.run_remaining_ns =
        malloc((pool->run_count + 1) * sizeof *load.run_remaining_ns);
    read_load(pool, order, step, &load, now_ns);
    qsort(load.run_remaining_ns, load.run_count, sizeof *load.run_remaining_ns,
          compare_ns);
    bool can_start = load.smaller_count < load.free_count;
    int64_t wait_ns =
        can_start ? 0 : estimate_start_ns(&load, step->task_count);
    free(load.run_remaining_ns);
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

/// @return the exponential moving average with a new value added, whose weight
///         is 1/divisor
static uint32_t
update_mean(uint32_t mean, int64_t value, int64_t divisor)
{
    return (uint32_t)(mean + (value - (int64_t)mean) / divisor);
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
    order->estimated_wait_ns = estimate_uncorrected_ns(pool, order, now_ns);
    uint32_t *correction = find_correction(pool, order->spec->priority);
    if (order->estimated_wait_ns == 0) {
        // Decay towards 1. If waits were so long that every order that has to
        // wait is refused, no measured wait would ever lower the correction.
        *correction =
            update_mean(*correction, kNominalPermille, kDecayDivisor);
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
    *mean = update_mean(*mean, ratio, kRatioDivisor);
    order->estimated_wait_ns = 0;
}

uint32_t
wait_backlog_ms(const pool_t *pool, const pool_order_t *last)
{
    uint64_t work = 0; // unit: 1/1000 core * 1 ms
    for (const pool_order_t *order = pool->first_order; order != NULL;
         order = order->next) {
        if (last != NULL && value_precedes(&last->rank, &order->rank)) {
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
        if (target->session == kSessionReady && !target->is_dropped &&
            !target->info.is_draining) {
            capacity_mcores += target->info.cpu_mcores;
        }
    }
    return capacity_mcores == 0 ? 0 : (uint32_t)(work / capacity_mcores);
}
