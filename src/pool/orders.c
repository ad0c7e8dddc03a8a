/// Orders: from their admission to the one answer that their client gets.
#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "pool/state.h"

enum {
    kLateFactor = 3,    ///< times the objective after which it is worthless
    kAdmitPercent = 85, ///< of the objective that a new order may take
    kRetryAfterLeastMs = 500 ///< told to callers that are refused
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

/// @return the longest chain of estimated run times
static uint64_t
chain_ms(const order_t *order)
{
    uint64_t longest_ms = 0;
    uint64_t ends_ms[64] = {0};
    for (uint32_t i = 0; i < order->steps_count && i < 64; i++) {
        const order_step_t *step = &order->steps[i];
        uint64_t start_ms = 0;
        for (uint32_t j = 0; j < step->depends_on_count; j++) {
            uint32_t earlier = step->depends_on[j];
            if (earlier < i && ends_ms[earlier] > start_ms) {
                start_ms = ends_ms[earlier];
            }
        }
        ends_ms[i] = start_ms + step->estimate_ms;
        longest_ms = ends_ms[i] > longest_ms ? ends_ms[i] : longest_ms;
    }
    return longest_ms;
}

/// Copies an order, whose strings belong to a message.
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
set_tasks(pool_order_t *order)
{
    const order_t *spec = order->order;
    uint32_t at = 0;
    order->task_count = count_tasks(spec);
    order->waiting_count = order->task_count;
    order->tasks =
        apr_pcalloc(order->arena, order->task_count * sizeof *order->tasks);
    order->step_left = apr_pcalloc(order->arena, spec->steps_count *
                                                     sizeof *order->step_left);
    for (uint32_t i = 0; i < spec->steps_count; i++) {
        order->step_left[i] = spec->steps[i].task_count;
        for (uint32_t j = 0; j < spec->steps[i].task_count; j++) {
            order->tasks[at++] =
                (pool_task_t){.order = order, .step = i, .index = j};
        }
    }
}

/// Puts an order behind those that go before it.
static void
link_order(pool_t *pool, pool_order_t *order)
{
    pool_order_t *before = pool->last;
    while (before != NULL &&
           (before->order->priority > order->order->priority ||
            (before->order->priority == order->order->priority &&
             before->received_ns > order->received_ns))) {
        before = before->prev;
    }
    order->prev = before;
    order->next = before == NULL ? pool->first : before->next;
    *(before == NULL ? &pool->first : &before->next) = order;
    *(order->next == NULL ? &pool->last : &order->next->prev) = order;
    pool->order_count++;
}

static void
unlink_order(pool_t *pool, pool_order_t *order)
{
    *(order->prev == NULL ? &pool->first : &order->prev->next) = order->next;
    *(order->next == NULL ? &pool->last : &order->next->prev) = order->prev;
    pool->order_count--;
}

/// Stops what runs of an order and frees it.
static void
end_order(pool_t *pool, pool_order_t *order, int64_t now_ns)
{
    unlink_order(pool, order);
    for (uint32_t i = 0; i < order->task_count; i++) {
        pool_run_t *run = order->tasks[i].run;
        if (run != NULL) {
            run->task = NULL;
            run_stop(pool, run, now_ns);
        }
    }
    arena_destroy(order->arena);
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
    pool_order_result_t settled = {.client = order->client,
                                   .request = order->request,
                                   .job = order->order->job,
                                   .outcome = outcome,
                                   .kind = kind,
                                   .retry_after_ms = retry_after_ms};
    counter_add(outcome_counters[outcome], 1);
    pool->ops->settle(pool->owner, &settled);
    end_order(pool, order, now_ns);
}

void
order_task_done(pool_t *pool, pool_task_t *task, int64_t now_ns)
{
    pool_order_t *order = task->order;
    task->state = kTaskDone;
    order->step_left[task->step]--;
    for (uint32_t i = 0; i < order->order->steps_count; i++) {
        if (order->step_left[i] > 0) {
            return;
        }
    }
    order_settle(pool, order, kOrderOutcomeComplete, kErrorKindOk, 0, now_ns);
}

void
order_task_again(pool_task_t *task)
{
    task->state = kTaskWaiting;
    task->order->waiting_count++;
}

void
order_task_failed(pool_t *pool, pool_task_t *task, int64_t now_ns)
{
    task->failed_count++;
    if (task->failed_count >= task->order->order->attempt_limit) {
        order_settle(pool, task->order, kOrderOutcomeFailed,
                     kErrorKindTargetFailed, 0, now_ns);
        return;
    }
    order_task_again(task);
}

static uint32_t
retry_after_ms(uint32_t backlog_ms)
{
    return backlog_ms > kRetryAfterLeastMs ? backlog_ms : kRetryAfterLeastMs;
}

/// Refuses an order that was never linked.
static void
refuse_new(pool_t *pool, const pool_order_t *order, error_kind_t kind,
           uint32_t after_ms)
{
    pool_order_result_t settled = {.client = order->client,
                                   .request = order->request,
                                   .job = order->order->job,
                                   .outcome = kOrderOutcomeRefused,
                                   .kind = kind,
                                   .retry_after_ms = after_ms};
    counter_add(kCounterOrdersRefused, 1);
    pool->ops->settle(pool->owner, &settled);
}

static pool_order_t *
find_job(const pool_t *pool, const char *job)
{
    pool_order_t *order = pool->first;
    while (order != NULL && strcmp(order->order->job, job) != 0) {
        order = order->next;
    }
    return order;
}

/// Copies an order, with the run times that are expected of its steps.
static pool_order_t *
create_order(const pool_t *pool, const order_t *order, int64_t now_ns)
{
    arena_t *arena = arena_create();
    order_t *copy = copy_order(order, arena);
    pool_order_t *added = apr_pcalloc(arena, sizeof *added);
    *added = (pool_order_t){
        .arena = arena,
        .order = copy,
        .declared_ms =
            apr_palloc(arena, copy->steps_count * sizeof *added->declared_ms),
        .received_ns = now_ns - MS_TO_NS(order->waited_ms),
        .deadline_ns = now_ns + MS_TO_NS(order->left_ms)};
    for (uint32_t i = 0; i < copy->steps_count; i++) {
        order_step_t *step = &copy->steps[i];
        added->declared_ms[i] = step->estimate_ms;
        step->estimate_ms =
            forecast_expect_ms(pool->forecast, copy->queue, step->estimate_ms);
    }
    added->objective_ns = MS_TO_NS(
        chain_ms(copy) * copy->stretch_permille / 1000 + copy->slo_ms);
    return added;
}

/// Decides whether a new order can still be answered in time.
static error_kind_t
judge_admission(pool_t *pool, pool_order_t *added, uint32_t *wait_ms,
                int64_t now_ns)
{
    const order_t *order = added->order;
    int64_t wait_ns = wait_expect_ns(pool, added, now_ns);
    *wait_ms = (uint32_t)(wait_ns / MS_TO_NS(1) % UINT32_MAX);
    if (pool->is_closed) {
        return kErrorKindDraining;
    }
    if (!place_could_ever(pool, order)) {
        return place_has_ready(pool) ? kErrorKindNoFit
                                     : kErrorKindNoDispatcher;
    }
    int64_t work_ns = MS_TO_NS(chain_ms(order));
    int64_t finish_ns = MS_TO_NS(order->waited_ms) + wait_ns + work_ns;
    return wait_ns == 0 ||
                   finish_ns <= added->objective_ns * kAdmitPercent / 100
               ? kErrorKindOk
               : kErrorKindOverload;
}

void
pool_submit_order(pool_t *pool, const order_t *order, uint64_t client,
                  uint64_t request, int64_t now_ns)
{
    counter_add(kCounterOrdersReceived, 1);
    pool_order_t *same = find_job(pool, order->job);
    if (same != NULL) {
        // The caller submitted again: the earlier home lost it.
        same->client = client;
        same->request = request;
        same->deadline_ns = now_ns + MS_TO_NS(order->left_ms);
        return;
    }
    pool_order_t *added = create_order(pool, order, now_ns);
    added->client = client;
    added->request = request;
    uint32_t wait_ms = 0;
    error_kind_t kind = judge_admission(pool, added, &wait_ms, now_ns);
    if (kind != kErrorKindOk) {
        refuse_new(pool, added, kind, retry_after_ms(wait_ms));
        arena_destroy(added->arena);
        return;
    }
    set_tasks(added);
    link_order(pool, added);
}

void
pool_withdraw_order(pool_t *pool, uint64_t client, uint64_t request,
                    int64_t now_ns)
{
    for (pool_order_t *order = pool->first; order != NULL;
         order = order->next) {
        if (order->client == client && order->request == request) {
            counter_add(kCounterOrdersWithdrawn, 1);
            end_order(pool, order, now_ns);
            return;
        }
    }
}

void
pool_drop_client(pool_t *pool, uint64_t client, int64_t now_ns)
{
    pool_order_t *next;
    for (pool_order_t *order = pool->first; order != NULL; order = next) {
        next = order->next;
        if (order->client == client) {
            counter_add(kCounterOrdersWithdrawn, 1);
            end_order(pool, order, now_ns);
        }
    }
}

void
pool_reset(pool_t *pool, int64_t now_ns)
{
    while (pool->first != NULL) {
        order_settle(pool, pool->first, kOrderOutcomeLost,
                     kErrorKindTargetLost, 0, now_ns);
    }
}

int64_t
order_advance(pool_t *pool, pool_order_t *order, int64_t now_ns)
{
    if (order->deadline_ns <= now_ns) {
        order_settle(pool, order,
                     order->is_started ? kOrderOutcomeLost
                                       : kOrderOutcomeRefused,
                     kErrorKindDeadline, kRetryAfterLeastMs, now_ns);
        return INT64_MAX;
    }
    int64_t hopeless_ns =
        order->received_ns + order->objective_ns * kLateFactor;
    if (order->is_started) {
        return order->deadline_ns;
    }
    if (hopeless_ns <= now_ns) {
        order_settle(
            pool, order, kOrderOutcomeRefused, kErrorKindOverload,
            retry_after_ms(wait_backlog_ms(pool, order->order->priority)),
            now_ns);
        return INT64_MAX;
    }
    return hopeless_ns < order->deadline_ns ? hopeless_ns : order->deadline_ns;
}
