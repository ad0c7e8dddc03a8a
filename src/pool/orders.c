/// Orders: from admission to the single result that is reported to the client.
#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "base/hash.h"
#include "pool/state.h"

#define MAX_WORK UINT64_C(1000000000000000) // of a job

enum {
    kOrderBytes = 10240, ///< of its arena and names
    /// An order of this size may use all of the budget, a larger one a part.
    kSmallOrderBytes = 32768,
    kMemoryLogMs = 1000,    ///< between log lines on memory that is used up
    kPathStepLimit = 64,    ///< steps that critical_path_ms considers
    kMinRetryAfterMs = 500, ///< least retry_after_ms of a refusal
    kRetrySpreadDivisor = 2 ///< up to half of it is added, by the job's name
};

static uint32_t
count_tasks(const order_t *order)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < order->steps_count; i++) {
        count += order->steps[i].task_count;
    }
    return count;
}

/// @return the sum of estimated run times along the longest chain of dependent
///         steps
static uint64_t
critical_path_ms(const order_t *order)
{
    uint64_t longest_ms = 0;
    uint64_t ends_ms[kPathStepLimit] = {0};
    for (uint32_t i = 0; i < order->steps_count && i < kPathStepLimit; i++) {
        const order_step_t *step = &order->steps[i];
        uint64_t start_ms = 0;
        for (uint32_t j = 0; j < step->depends_on_count; j++) {
            uint32_t dependency = step->depends_on[j];
            if (dependency < i && ends_ms[dependency] > start_ms) {
                start_ms = ends_ms[dependency];
            }
        }
        ends_ms[i] = start_ms + step->estimate_ms;
        longest_ms = ends_ms[i] > longest_ms ? ends_ms[i] : longest_ms;
    }
    return longest_ms;
}

/// @return the memory that an order takes until its runs have ended
static uint64_t
estimate_bytes(const order_t *order)
{
    uint64_t bytes = kOrderBytes + strlen(order->payload) +
                     (uint64_t)count_tasks(order) *
                         (sizeof(pool_task_t) + sizeof(pool_run_t));
    for (uint32_t i = 0; i < order->steps_count; i++) {
        bytes += sizeof(order_step_t) +
                 order->steps[i].depends_on_count * sizeof(uint32_t);
    }
    return bytes;
}

/// Copies an order with its strings, which belong to the received message.
static order_t *
copy_order(const order_t *order, arena_t *arena)
{
    order_t *copy = apr_pmemdup(arena, order, sizeof *order);
    copy->job = arena_copy(arena, order->job, strlen(order->job));
    copy->service = arena_copy(arena, order->service, strlen(order->service));
    copy->queue = arena_copy(arena, order->queue, strlen(order->queue));
    copy->payload = arena_copy(arena, order->payload, strlen(order->payload));
    copy->steps = apr_pmemdup(arena, order->steps,
                              order->steps_count * sizeof *order->steps);
    for (uint32_t i = 0; i < order->steps_count; i++) {
        order_step_t *step = &copy->steps[i];
        step->constraint =
            arena_copy(arena, step->constraint, strlen(step->constraint));
        step->data_rack =
            arena_copy(arena, step->data_rack, strlen(step->data_rack));
        step->depends_on =
            apr_pmemdup(arena, step->depends_on,
                        step->depends_on_count * sizeof *step->depends_on);
    }
    return copy;
}

static void
create_tasks(pool_order_t *order)
{
    const order_t *spec = order->spec;
    uint32_t next = 0;
    order->task_count = count_tasks(spec);
    order->waiting_count = order->task_count;
    order->tasks =
        apr_pcalloc(order->arena, order->task_count * sizeof *order->tasks);
    order->step_remaining = apr_pcalloc(
        order->arena, spec->steps_count * sizeof *order->step_remaining);
    for (uint32_t i = 0; i < spec->steps_count; i++) {
        order->step_remaining[i] = spec->steps[i].task_count;
        for (uint32_t j = 0; j < spec->steps[i].task_count; j++) {
            order->tasks[next++] =
                (pool_task_t){.order = order, .step = i, .index = j};
        }
    }
}

/// Inserts an order by rank, then by the time when it was received here.
static void
link_order(pool_t *pool, pool_order_t *order)
{
    pool_order_t *before = pool->last_order;
    while (before != NULL && value_precedes(&order->rank, &before->rank)) {
        before = before->prev;
    }
    order->prev = before;
    order->next = before == NULL ? pool->first_order : before->next;
    *(before == NULL ? &pool->first_order : &before->next) = order;
    *(order->next == NULL ? &pool->last_order : &order->next->prev) = order;
    pool->order_count++;
}

static void
unlink_order(pool_t *pool, pool_order_t *order)
{
    *(order->prev == NULL ? &pool->first_order : &order->prev->next) =
        order->next;
    *(order->next == NULL ? &pool->last_order : &order->next->prev) =
        order->prev;
    pool->order_count--;
}

static void
free_order(pool_t *pool, pool_order_t *order)
{
    memory_budget_release(&pool->order_memory, order->charged_bytes);
    arena_destroy(order->arena);
}

/// Stops the runs of an order and frees it.
///
/// @param given_up_ns  the earliest time when the caller may have given up
static void
end_order(pool_t *pool, pool_order_t *order, int64_t given_up_ns,
          int64_t now_ns)
{
    unlink_order(pool, order);
    for (uint32_t i = 0; i < order->task_count; i++) {
        if (order->tasks[i].run != NULL) {
            run_orphan(pool, order->tasks[i].run, given_up_ns, now_ns);
        }
    }
    free_order(pool, order);
}

static const counter_t outcome_counters[] = {
    [kOrderOutcomeComplete] = kCounterOrdersComplete,
    [kOrderOutcomeFailed] = kCounterOrdersFailed,
    [kOrderOutcomeRefused] = kCounterOrdersRefused,
    [kOrderOutcomeLost] = kCounterOrdersLost,
};

void
order_settle(pool_t *pool, pool_order_t *order, order_outcome_t outcome,
             error_kind_t kind, uint32_t retry_after_ms, int64_t now_ns)
{
    pool_order_result_t result = {.client = order->client,
                                  .request = order->request,
                                  .job = order->spec->job,
                                  .outcome = outcome,
                                  .kind = kind,
                                  .retry_after_ms = retry_after_ms};
    counter_add(outcome_counters[outcome], 1);
    pool->ops->settle(pool->owner, &result);
    end_order(pool, order, min_ns(order->deadline_ns, now_ns), now_ns);
}

void
order_complete_task(pool_t *pool, pool_task_t *task, int64_t now_ns)
{
    pool_order_t *order = task->order;
    task->state = kTaskDone;
    order->step_remaining[task->step]--;
    for (uint32_t i = 0; i < order->spec->steps_count; i++) {
        if (order->step_remaining[i] > 0) {
            return;
        }
    }
    order_settle(pool, order, kOrderOutcomeComplete, kErrorKindOk, 0, now_ns);
}

void
order_requeue_task(pool_task_t *task)
{
    task->state = kTaskWaiting;
    task->order->waiting_count++;
}

void
order_fail_task(pool_t *pool, pool_task_t *task, int64_t now_ns)
{
    task->failed_count++;
    if (task->failed_count >= task->order->spec->attempt_limit) {
        order_settle(pool, task->order, kOrderOutcomeFailed,
                     kErrorKindTargetFailed, 0, now_ns);
        return;
    }
    order_requeue_task(task);
}

/// Spreads the returns of refused callers, so that they are no second surge.
static uint32_t
retry_after_ms(uint32_t backlog_ms, const char *job)
{
    uint32_t least_ms =
        backlog_ms > kMinRetryAfterMs ? backlog_ms : kMinRetryAfterMs;
    return least_ms +
           (uint32_t)(hash_text(job) % (least_ms / kRetrySpreadDivisor));
}

/// Reports the result of a new order, which is not in the pool's list yet, and
/// frees it.
static void
reject_order(pool_t *pool, pool_order_t *order, order_outcome_t outcome,
             error_kind_t kind, uint32_t after_ms)
{
    pool_order_result_t result = {.client = order->client,
                                  .request = order->request,
                                  .job = order->spec->job,
                                  .outcome = outcome,
                                  .kind = kind,
                                  .retry_after_ms = after_ms};
    counter_add(outcome_counters[outcome], 1);
    pool->ops->settle(pool->owner, &result);
    free_order(pool, order);
}

/// Charges the memory of a new order, or refuses the order.
///
/// @return the charged bytes; 0 if it was refused
static uint64_t
charge_order(pool_t *pool, const order_t *order, uint64_t client,
             uint64_t request, int64_t now_ns)
{
    uint64_t bytes = estimate_bytes(order);
    budget_use_t use =
        bytes <= kSmallOrderBytes ? kBudgetUseSmall : kBudgetUseGrowth;
    if (memory_budget_charge(&pool->order_memory, bytes, use)) {
        return bytes;
    }
    if (now_ns - pool->memory_logged_ns >= MS_TO_NS(kMemoryLogMs)) {
        pool->memory_logged_ns = now_ns;
        pool->ops->log(pool->owner, "order_memory_short", order->job,
                       "open orders hold the memory for orders");
    }
    counter_add(kCounterOrdersOverMemory, 1);
    counter_add(outcome_counters[kOrderOutcomeRefused], 1);
    pool_order_result_t result = {
        .client = client,
        .request = request,
        .job = order->job,
        .outcome = kOrderOutcomeRefused,
        .kind = kErrorKindOverload,
        .retry_after_ms =
            retry_after_ms(wait_backlog_ms(pool, NULL), order->job)};
    pool->ops->settle(pool->owner, &result);
    return 0;
}

/// @return whether a task of an order must not be started again. One that is
///         running is left to its end.
static bool
has_given_up_task(const pool_t *pool, const pool_order_t *order,
                  int64_t now_ns)
{
    const char *job = order->spec->job;
    if (!losses_has_job(pool->losses, job, now_ns)) {
        return false;
    }
    for (uint32_t i = 0; i < order->task_count; i++) {
        const pool_task_t *task = &order->tasks[i];
        if (task->state == kTaskWaiting &&
            losses_decide_care(pool->losses, job, task->step, task->index,
                               now_ns) == kCareGivenUp) {
            return true;
        }
    }
    return false;
}

static void
record_given_up(pool_t *pool, const pool_order_t *order)
{
    counter_add(kCounterTasksGivenUp, 1);
    pool->ops->log(pool->owner, "task_given_up", order->spec->job,
                   "its targets crashed");
}

static pool_order_t *
find_order(const pool_t *pool, const char *job)
{
    pool_order_t *order = pool->first_order;
    while (order != NULL && strcmp(order->spec->job, job) != 0) {
        order = order->next;
    }
    return order;
}

static uint64_t
min_work(uint64_t left, uint64_t right)
{
    return left < right ? left : right;
}

/// @return the work of all tasks, in 1/1000 core * 1 ms; at most MAX_WORK, as
///         callers may declare anything
static uint64_t
sum_work(const order_t *order)
{
    uint64_t work = 0;
    for (uint32_t i = 0; i < order->steps_count; i++) {
        const order_step_t *step = &order->steps[i];
        uint64_t task_work =
            min_work((uint64_t)step->cpu_mcores * step->estimate_ms, MAX_WORK);
        work = min_work(work + step->task_count * task_work, MAX_WORK);
    }
    return work;
}

/// Ranks a new order among those of the pool.
static void
rank_order(const pool_t *pool, pool_order_t *order)
{
    value_facts_t facts = {.priority = order->spec->priority,
                           .received_ns = order->received_ns,
                           .objective_ns = order->objective_ns,
                           .work = sum_work(order->spec),
                           .mean_work = forecast_read_mean_work(
                               pool->forecast, order->spec->queue)};
    forecast_record_work(pool->forecast, order->spec->queue, facts.work);
    order->rank = value_find_policy(pool->limits.wait_order)->rank(&facts);
}

/// Copies an order and replaces the declared run times of its steps by
/// forecasts.
static pool_order_t *
create_order(const pool_t *pool, const order_t *order, int64_t now_ns)
{
    arena_t *arena = arena_create();
    order_t *copy = copy_order(order, arena);
    pool_order_t *added = apr_pcalloc(arena, sizeof *added);
    *added = (pool_order_t){
        .arena = arena,
        .spec = copy,
        .declared_ms =
            apr_palloc(arena, copy->steps_count * sizeof *added->declared_ms),
        .received_ns = now_ns - MS_TO_NS(order->waited_ms),
        .deadline_ns = now_ns + MS_TO_NS(order->left_ms)};
    for (uint32_t i = 0; i < copy->steps_count; i++) {
        order_step_t *step = &copy->steps[i];
        added->declared_ms[i] = step->estimate_ms;
        step->estimate_ms = forecast_estimate_ms(pool->forecast, copy->queue,
                                                 step->estimate_ms);
    }
    added->objective_ns = MS_TO_NS(
        critical_path_ms(copy) * copy->stretch_permille / 1000 + copy->slo_ms);
    rank_order(pool, added);
    return added;
}

/// Checks whether a new order is expected to complete within its objective.
///
/// @param wait_ms  receives the expected wait
/// @return kErrorKindOk, or the reason for a refusal
static error_kind_t
check_admission(pool_t *pool, pool_order_t *added, uint32_t *wait_ms,
                int64_t now_ns)
{
    const order_t *order = added->spec;
    int64_t wait_ns = wait_estimate_ns(pool, added, now_ns);
    *wait_ms = (uint32_t)(wait_ns / MS_TO_NS(1) % UINT32_MAX);
    if (pool->is_closed) {
        return kErrorKindDraining;
    }
    error_kind_t fit = place_check_fit(pool, order, now_ns);
    if (fit != kErrorKindOk) {
        return fit;
    }
    int64_t work_ns = MS_TO_NS(critical_path_ms(order));
    int64_t finish_ns = MS_TO_NS(order->waited_ms) + wait_ns + work_ns;
    const value_policy_t *policy = value_find_policy(pool->limits.wait_order);
    return wait_ns == 0 || finish_ns <= added->objective_ns *
                                            policy->admit_percent / 100
               ? kErrorKindOk
               : kErrorKindOverload;
}

void
pool_submit_order(pool_t *pool, const order_t *order, uint64_t client,
                  uint64_t request, int64_t now_ns)
{
    counter_add(kCounterOrdersReceived, 1);
    pool_order_t *existing = find_order(pool, order->job);
    if (existing != NULL) {
        // The caller submitted the job again because its coordinator was lost.
        existing->client = client;
        existing->request = request;
        existing->deadline_ns = now_ns + MS_TO_NS(order->left_ms);
        return;
    }
    uint64_t charged_bytes =
        charge_order(pool, order, client, request, now_ns);
    if (charged_bytes == 0) {
        return;
    }
    pool_order_t *added = create_order(pool, order, now_ns);
    added->charged_bytes = charged_bytes;
    added->client = client;
    added->request = request;
    create_tasks(added);
    if (cancelled_has(pool->cancelled, order->queue, order->job, now_ns)) {
        reject_order(pool, added, kOrderOutcomeFailed, kErrorKindCancelled, 0);
        return;
    }
    if (has_given_up_task(pool, added, now_ns)) {
        record_given_up(pool, added);
        reject_order(pool, added, kOrderOutcomeFailed, kErrorKindTargetCrashed,
                     0);
        return;
    }
    uint32_t wait_ms = 0;
    error_kind_t kind = check_admission(pool, added, &wait_ms, now_ns);
    if (kind != kErrorKindOk) {
        // Without targets, the estimate says nothing: another owner may have
        // them in a second.
        reject_order(
            pool, added, kOrderOutcomeRefused, kind,
            retry_after_ms(kind == kErrorKindNoDispatcher ? 0 : wait_ms,
                           order->job));
        return;
    }
    // Tasks that lost their runs were started for an earlier submission.
    added->is_started = losses_has_job(pool->losses, order->job, now_ns);
    link_order(pool, added);
}

void
pool_withdraw_order(pool_t *pool, uint64_t client, uint64_t request,
                    int64_t given_up_ns, int64_t now_ns)
{
    for (pool_order_t *order = pool->first_order; order != NULL;
         order = order->next) {
        if (order->client == client && order->request == request) {
            counter_add(kCounterOrdersWithdrawn, 1);
            end_order(pool, order, given_up_ns, now_ns);
            return;
        }
    }
}

bool
pool_cancel_job(pool_t *pool, const char *queue, const char *job,
                int64_t now_ns)
{
    pool_order_t *order = find_order(pool, job);
    bool is_found = order != NULL && strcmp(order->spec->queue, queue) == 0;
    cancelled_add(pool->cancelled, queue, job, now_ns);
    if (is_found) {
        order_settle(pool, order, kOrderOutcomeFailed, kErrorKindCancelled, 0,
                     now_ns);
    }
    return is_found;
}

void
pool_drop_client(pool_t *pool, uint64_t client, int64_t heard_ns,
                 int64_t now_ns)
{
    pool_order_t *next;
    for (pool_order_t *order = pool->first_order; order != NULL;
         order = next) {
        next = order->next;
        if (order->client == client) {
            counter_add(kCounterOrdersWithdrawn, 1);
            end_order(pool, order, heard_ns, now_ns);
        }
    }
}

uint32_t
pool_count_client_orders(const pool_t *pool, uint64_t client)
{
    uint32_t count = 0;
    for (const pool_order_t *order = pool->first_order; order != NULL;
         order = order->next) {
        count += order->client == client;
    }
    return count;
}

void
pool_reset(pool_t *pool, int64_t paused_ns, int64_t now_ns)
{
    while (pool->first_order != NULL) {
        pool_order_t *order = pool->first_order;
        order->deadline_ns = min_ns(order->deadline_ns, paused_ns);
        order_settle(pool, order, kOrderOutcomeLost, kErrorKindTargetLost, 0,
                     now_ns);
    }
    // Another owner may have used the targets meanwhile: only their replies
    // show whether they still accept this one's token.
    for (pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        session_restart(target, now_ns);
    }
}

/// Refuses an order that has waited in vain. Its wait counts for the estimates
/// like those that ended with a start: estimates from the others alone are too
/// short in a surge, and orders are accepted only to be refused later.
static void
give_up(pool_t *pool, pool_order_t *order, int64_t now_ns)
{
    wait_record_actual(pool, order, now_ns);
    order_settle(
        pool, order, kOrderOutcomeRefused, kErrorKindOverload,
        retry_after_ms(wait_backlog_ms(pool, order), order->spec->job),
        now_ns);
}

int64_t
order_advance(pool_t *pool, pool_order_t *order, int64_t now_ns)
{
    if (order->deadline_ns <= now_ns) {
        order_settle(pool, order,
                     order->is_started ? kOrderOutcomeLost
                                       : kOrderOutcomeRefused,
                     kErrorKindDeadline, kMinRetryAfterMs, now_ns);
        return INT64_MAX;
    }
    if (has_given_up_task(pool, order, now_ns)) {
        record_given_up(pool, order);
        order_settle(pool, order, kOrderOutcomeFailed, kErrorKindTargetCrashed,
                     0, now_ns);
        return INT64_MAX;
    }
    if (order->is_started) {
        return order->deadline_ns;
    }
    int64_t give_up_ns = urgency_give_up_ns(order, pool->contended_since_ns);
    if (give_up_ns <= now_ns) {
        give_up(pool, order, now_ns);
        return INT64_MAX;
    }
    return min_ns(give_up_ns, order->deadline_ns);
}
