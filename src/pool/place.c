/// Placement: chooses the target on which each waiting task starts.
#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "pool/state.h"

enum {
    kRunObjectivePercent = 95,   ///< of the remaining objective, for one run
    kAvoidFactorPermille = 3000, ///< on the score of a task's avoided_target
    /// On the score of a target with recent failures, which the orders may
    /// have caused.
    kFailureFactorPermille = 1300,
    /// Of the score, added to it in proportion to the cores left unused.
    kUnusedPenaltyPermille = 50,
    /// Multiple of its expected time in which a run has ended almost always.
    kHandoverMarginFactor = 2
};

static resources_t
read_capacity(const pool_target_t *target)
{
    uint32_t limit_mcores = target->cpu_limit_mcores;
    bool is_limited =
        limit_mcores != 0 && limit_mcores < target->info.cpu_mcores;
    return (resources_t){.cpu_mcores = is_limited ? limit_mcores
                                                  : target->info.cpu_mcores,
                         .memory_mb = target->info.memory_mb,
                         .accelerators = target->info.accelerators};
}

resources_t
place_read_free(const pool_target_t *target)
{
    resources_t available = read_capacity(target);
    available.cpu_mcores -= target->used.cpu_mcores;
    available.memory_mb -= target->used.memory_mb;
    available.accelerators -= target->used.accelerators;
    available.cpu_mcores -= target->awaited.cpu_mcores;
    available.memory_mb -= target->awaited.memory_mb;
    available.accelerators -= target->awaited.accelerators;
    return available;
}

static bool
fits(const resources_t *available, const order_step_t *step)
{
    return available->cpu_mcores >= (int64_t)step->cpu_mcores &&
           available->memory_mb >= (int64_t)step->memory_mb &&
           available->accelerators >= (int64_t)step->accelerators;
}

static bool
has_label(const pool_target_info_t *info, const char *label)
{
    for (uint32_t i = 0; i < info->label_count; i++) {
        if (strcmp(info->labels[i], label) == 0) {
            return true;
        }
    }
    return false;
}

/// @return whether a target has the service of an order and the label that a
///         step requires
static bool
is_allowed(const pool_target_t *target, const order_t *order,
           const order_step_t *step)
{
    return strcmp(target->info.service, order->service) == 0 &&
           (step->constraint[0] == '\0' ||
            has_label(&target->info, step->constraint));
}

/// @return whether a target may run one more task of a step, according to the
///         step's per_target_limit
static bool
is_within_target_limit(const pool_target_t *target, const pool_task_t *task,
                       const order_step_t *step)
{
    if (step->per_target_limit == 0) {
        return true;
    }
    uint32_t count = 0;
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        count += !run->is_ended && run->name.step == task->step &&
                 strcmp(run->name.job, task->order->spec->job) == 0;
    }
    return count < step->per_target_limit;
}

int64_t
place_estimate_run_ns(uint32_t estimate_ms, const pool_target_t *target)
{
    return MS_TO_NS(estimate_ms) / 1000 * target->slowness_permille;
}

/// Computes the score of a placement, lower being better: the expected run
/// time with penalties that affect only the choice.
///
/// @param expected_ns  receives the expected run time without penalties
static int64_t
score_ns(const pool_t *pool, const pool_task_t *task, const order_step_t *step,
         const pool_target_t *target, const resources_t *available,
         int64_t *expected_ns)
{
    int64_t time_ns = place_estimate_run_ns(step->estimate_ms, target);
    if (step->data_rack[0] != '\0' &&
        !has_label(&target->info, step->data_rack)) {
        time_ns = time_ns / 1000 * pool->limits.remote_permille;
    }
    *expected_ns = time_ns;
    int64_t score = time_ns;
    if (strcmp(task->avoided_target, target->info.id) == 0) {
        score = score / 1000 * kAvoidFactorPermille;
    }
    if (target->consecutive_failures > 0) {
        score = score / 1000 * kFailureFactorPermille;
    }
    int64_t unused = available->cpu_mcores - (int64_t)step->cpu_mcores;
    int64_t total = target->info.cpu_mcores > 0 ? target->info.cpu_mcores : 1;
    return score + score / 1000 * kUnusedPenaltyPermille * unused / total;
}

/// @return whether a target may run a task beside its present runs, according
///         to how carefully the task and the runs are treated
static bool
is_within_care(const pool_target_t *target, care_t care)
{
    if (care == kCareAlone) {
        return target->open_count == 0;
    }
    return target->alone_count == 0 && !target->is_reserved;
}

bool
place_ends_before_handover(const pool_target_t *target, int64_t expected_ns,
                           int64_t now_ns)
{
    return target->handover_ns == INT64_MAX ||
           now_ns + kHandoverMarginFactor * expected_ns <= target->handover_ns;
}

/// The best placement found for a task.
typedef struct {
    pool_target_t *target; ///< where the task fits now, or NULL
    int64_t score_ns;
    int64_t expected_ns;
    int64_t fastest_ns; ///< on the fastest target with the time, full or not
    /// A target has the resources, but passes to another owner too soon.
    bool is_short_of_time;
} choice_t;

static choice_t
choose_target(pool_t *pool, const pool_task_t *task, care_t care,
              int64_t now_ns)
{
    const order_t *order = task->order->spec;
    const order_step_t *step = &order->steps[task->step];
    choice_t choice = {.score_ns = INT64_MAX, .fastest_ns = INT64_MAX};
    for (pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (!session_accepts_starts(pool, target, now_ns) ||
            !is_allowed(target, order, step)) {
            continue;
        }
        resources_t available = place_read_free(target);
        int64_t expected_ns = 0;
        int64_t score =
            score_ns(pool, task, step, target, &available, &expected_ns);
        if (!place_ends_before_handover(target, expected_ns, now_ns)) {
            choice.is_short_of_time |= fits(&available, step);
            continue;
        }
        if (expected_ns < choice.fastest_ns) {
            choice.fastest_ns = expected_ns;
        }
        if (score < choice.score_ns && fits(&available, step) &&
            calls_allow_start(pool, target) && is_within_care(target, care) &&
            is_within_target_limit(target, task, step)) {
            choice.target = target;
            choice.score_ns = score;
            choice.expected_ns = expected_ns;
        }
    }
    return choice;
}

/// Decides whether a task waits for a faster target: only if it would miss the
/// objective on the available one and could still meet it on a faster one.
static bool
should_wait_for_faster(const pool_order_t *order, const choice_t *choice,
                       int64_t now_ns)
{
    int64_t remaining_ns =
        (order->received_ns + order->objective_ns - now_ns) / 100 *
        kRunObjectivePercent;
    return choice->expected_ns > remaining_ns &&
           choice->fastest_ns <= remaining_ns;
}

/// Reserves the allowed target with the fewest runs for a task that must run
/// alone and finds none without runs: small tasks would otherwise keep all of
/// them in use.
static void
reserve_target(pool_t *pool, const pool_task_t *task, int64_t now_ns)
{
    const order_t *order = task->order->spec;
    const order_step_t *step = &order->steps[task->step];
    pool_target_t *best = NULL;
    for (pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        resources_t capacity = read_capacity(target);
        int64_t run_ns = place_estimate_run_ns(step->estimate_ms, target);
        if (session_accepts_starts(pool, target, now_ns) &&
            place_ends_before_handover(target, run_ns, now_ns) &&
            !target->is_reserved && is_allowed(target, order, step) &&
            fits(&capacity, step) &&
            (best == NULL || target->run_count < best->run_count)) {
            best = target;
        }
    }
    if (best != NULL) {
        best->is_reserved = true;
    }
}

static bool
is_ready(const pool_task_t *task, int64_t now_ns)
{
    const order_step_t *step = &task->order->spec->steps[task->step];
    for (uint32_t i = 0; i < step->depends_on_count; i++) {
        uint32_t dependency = step->depends_on[i];
        if (dependency < task->order->spec->steps_count &&
            task->order->step_remaining[dependency] > 0) {
            return false;
        }
    }
    return task->state == kTaskWaiting && task->not_before_ns <= now_ns;
}

static care_t
read_care(const pool_t *pool, const pool_task_t *task, int64_t now_ns)
{
    return losses_decide_care(pool->losses, task->order->spec->job, task->step,
                              task->index, now_ns);
}

/// Has a target verified for a task, which is started in a later pass. Until
/// this one ends, the target has no room for others in its place.
static void
await_target(pool_target_t *target, const order_step_t *step, care_t care,
             int64_t now_ns)
{
    session_verify(target, now_ns);
    target->awaited.cpu_mcores += step->cpu_mcores;
    target->awaited.memory_mb += step->memory_mb;
    target->awaited.accelerators += step->accelerators;
    target->awaited_count++;
    target->is_reserved |= care == kCareAlone;
}

/// Starts the tasks of an order that can be started.
///
/// @param blocked_mcores  size of the smallest unconstrained task that no
///                        target had resources for; tasks of this size and
///                        larger are skipped; updated
static void
place_order(pool_t *pool, pool_order_t *order, uint32_t *blocked_mcores,
            int64_t now_ns)
{
    bool has_losses = losses_has_job(pool->losses, order->spec->job, now_ns);
    for (uint32_t i = 0; i < order->task_count; i++) {
        pool_task_t *task = &order->tasks[i];
        const order_step_t *step = &order->spec->steps[task->step];
        if (!is_ready(task, now_ns) || step->cpu_mcores >= *blocked_mcores) {
            continue;
        }
        care_t care = has_losses ? read_care(pool, task, now_ns) : kCareNone;
        if (care > kCareAlone) {
            continue;
        }
        if (!calls_have_room(pool)) {
            counter_add(kCounterStartsDelayed, 1);
            return;
        }
        choice_t choice = choose_target(pool, task, care, now_ns);
        if (choice.target == NULL && care == kCareAlone) {
            reserve_target(pool, task, now_ns);
            continue;
        }
        if (choice.target == NULL) {
            if (step->constraint[0] == '\0' && step->per_target_limit == 0 &&
                !choice.is_short_of_time) {
                *blocked_mcores = step->cpu_mcores;
            }
            return;
        }
        if (should_wait_for_faster(order, &choice, now_ns)) {
            return;
        }
        if (!session_is_verified(pool, choice.target, now_ns)) {
            counter_add(kCounterTargetsVerified, 1);
            await_target(choice.target, step, care, now_ns);
            continue;
        }
        run_start(pool, choice.target, task, care, now_ns);
    }
}

/// Starts tasks of the orders of one urgency.
static void
place_orders(pool_t *pool, urgency_t urgency, uint32_t *blocked_mcores,
             int64_t now_ns)
{
    for (pool_order_t *order = pool->first_order; order != NULL;
         order = order->next) {
        if (order->waiting_count > 0 &&
            urgency_read(order, now_ns) == urgency) {
            place_order(pool, order, blocked_mcores, now_ns);
        }
    }
}

void
place_waiting_tasks(pool_t *pool, int64_t now_ns)
{
    uint32_t blocked_mcores = UINT32_MAX;
    for (pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        target->is_reserved = false;
    }
    for (urgency_t urgency = 0; urgency < kUrgencyCount; urgency++) {
        place_orders(pool, urgency, &blocked_mcores, now_ns);
    }
    for (pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        target->awaited = (resources_t){0};
        target->awaited_count = 0;
    }
}

/// @return whether the pool has a ready target that stays
static bool
has_ready_target(const pool_t *pool)
{
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (target->session == kSessionReady && !target->info.is_draining &&
            target->handover_ns == INT64_MAX) {
            return true;
        }
    }
    return false;
}

/// @return whether a step of an order fits a ready target without runs
static bool
fits_empty_target(const pool_target_t *target, const order_t *order,
                  const order_step_t *step)
{
    resources_t capacity = read_capacity(target);
    return target->session == kSessionReady && !target->is_dropped &&
           !target->info.is_draining && is_allowed(target, order, step) &&
           fits(&capacity, step);
}

static error_kind_t
check_step_fit(const pool_t *pool, const order_t *order,
               const order_step_t *step, int64_t now_ns)
{
    bool is_handed_over = false;
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (!fits_empty_target(target, order, step)) {
            continue;
        }
        int64_t run_ns = place_estimate_run_ns(step->estimate_ms, target);
        if (place_ends_before_handover(target, run_ns, now_ns)) {
            return kErrorKindOk;
        }
        is_handed_over = true;
    }
    return has_ready_target(pool) && !is_handed_over ? kErrorKindNoFit
                                                     : kErrorKindNoDispatcher;
}

error_kind_t
place_check_fit(const pool_t *pool, const order_t *order, int64_t now_ns)
{
    error_kind_t worst = kErrorKindOk;
    for (uint32_t i = 0; i < order->steps_count; i++) {
        error_kind_t kind =
            check_step_fit(pool, order, &order->steps[i], now_ns);
        if (kind == kErrorKindNoFit) {
            return kind;
        }
        worst = kind != kErrorKindOk ? kind : worst;
    }
    return worst;
}
