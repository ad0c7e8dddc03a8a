/// Bounds on what many small tasks need: calls to targets that are pending at
/// a time, and the memory of orders.
#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "base/counters.h"
#include "pool/state.h"
#include "support/suite.h"

enum {
    kTargets = 4,
    kTasks = 200,
    kCallLimit = 16,
    kStartLimit = 12,       ///< of kCallLimit
    kTargetStartLimit = 36, ///< of the calls to one target
    kMaxCalls = 4096,
    kOrderMemoryBytes = 400 * 1024,
    kUnknownRuns = 100,
    kSmallOrders = 4,
    kBornMs = 1000
};

static pool_t *pool;
static int64_t now_ns;
static pool_run_t *starts[kMaxCalls]; ///< unanswered
static uint32_t start_count;
static pool_run_t *stops[kMaxCalls]; ///< unanswered; NULL: of unknown runs
static uint32_t stop_count;
static uint32_t all_stops;
static uint32_t log_count;
static uint32_t settled_count;
static pool_order_result_t last_result;

static void
record_start(void *owner, const start_call_t *call)
{
    (void)owner;
    starts[start_count++] = call->run;
}

static void
record_stop(void *owner, const stop_call_t *call)
{
    (void)owner;
    stops[stop_count++] = call->run;
    all_stops++;
}

static pool_target_t *listed[kMaxCalls]; ///< unanswered lists
static uint32_t list_count;

static void
record_list(void *owner, const list_call_t *call)
{
    (void)owner;
    listed[list_count++] = call->pool_target;
}

static void
record_result(void *owner, const pool_order_result_t *result)
{
    (void)owner;
    settled_count++;
    last_result = *result;
}

static void
ignore_fenced(void *owner, const pool_target_info_t *target)
{
    (void)owner;
    (void)target;
}

static void
count_memory_log(void *owner, const char *event, const char *job,
                 const char *text)
{
    (void)owner;
    (void)job;
    (void)text;
    log_count += strcmp(event, "order_memory_short") == 0;
}

static const pool_ops_t ops = {.start = record_start,
                               .stop = record_stop,
                               .list = record_list,
                               .settle = record_result,
                               .fenced = ignore_fenced,
                               .log = count_memory_log};

static void
advance_ms(int64_t ms)
{
    now_ns += MS_TO_NS(ms);
    pool_advance(pool, now_ns);
}

static uint64_t
read_clock_ms(void)
{
    return (uint64_t)(now_ns / MS_TO_NS(1));
}

/// Answers the pending lists: nothing runs but what `running` says.
static void
answer_lists(const listed_run_t *running, uint32_t running_count)
{
    uint32_t count = list_count;
    list_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        list_reply_t reply = {.kind = kReplyDone,
                              .clock_ms = read_clock_ms(),
                              .born_ms = kBornMs,
                              .running = running,
                              .running_count = running_count};
        pool_handle_list_reply(pool, listed[i], &reply, now_ns);
    }
}

/// Answers the pending starts.
static void
answer_starts(reply_kind_t kind)
{
    uint32_t count = start_count;
    start_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        call_reply_t reply = {.kind = kind, .clock_ms = read_clock_ms()};
        pool_handle_start_reply(pool, starts[i], &reply, now_ns);
    }
}

static void
answer_stops(void)
{
    uint32_t count = stop_count;
    stop_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        call_reply_t reply = {.kind = kReplyDone};
        pool_handle_stop_reply(pool, stops[i], &reply, now_ns);
    }
}

static void
create_pool(uint32_t targets, uint32_t call_limit, uint64_t order_bytes)
{
    const pool_limits_t limits = {.lease_ms = 650,
                                  .orphan_ms = 780,
                                  .remote_permille = 1500,
                                  .call_limit = call_limit,
                                  .order_bytes = order_bytes};
    now_ns = MS_TO_NS(1000000);
    start_count = stop_count = list_count = 0;
    all_stops = log_count = settled_count = 0;
    pool = pool_create(&limits, &ops, NULL);
    for (uint32_t i = 0; i < targets; i++) {
        pool_target_info_t info = {.service = "s",
                                   .dc = "d",
                                   .born_ms = kBornMs,
                                   .cpu_mcores = 32000,
                                   .memory_mb = 65536};
        snprintf(info.id, sizeof info.id, "t%u", i);
        pool_put_target(pool, &info, 5, now_ns);
    }
    advance_ms(1);
    answer_lists(NULL, 0);
}

static void
submit(const char *job, uint32_t task_count, uint64_t request)
{
    order_step_t step = {.task_count = task_count,
                         .cpu_mcores = 10,
                         .estimate_ms = 100,
                         .constraint = "",
                         .data_rack = ""};
    order_t order = {.job = job,
                     .service = "s",
                     .queue = "q",
                     .payload = "p",
                     .attempt_limit = 3,
                     .slo_ms = 5000,
                     .stretch_permille = 1600,
                     .left_ms = 10000,
                     .steps = &step,
                     .steps_count = 1};
    pool_submit_order(pool, &order, 1, request, now_ns);
}

/// Submits orders until one is refused.
static void
submit_many(char prefix, uint32_t task_count)
{
    uint32_t refused_count = settled_count;
    for (uint32_t i = 0; settled_count == refused_count; i++) {
        char job[16];
        snprintf(job, sizeof job, "%c%u", prefix, i);
        submit(job, task_count, 100 + i);
    }
}

static uint32_t
count_waiting(void)
{
    return pool->first_order == NULL ? 0 : pool->first_order->waiting_count;
}

/// Checks what a target keeps of its runs against the runs.
static void
check_sums(void)
{
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        resources_t used = {0};
        uint32_t open_count = 0;
        uint32_t alone_count = 0;
        int64_t end_by_ns = INT64_MAX;
        for (const pool_run_t *run = target->runs; run != NULL;
             run = run->next) {
            if (run->is_ended) {
                continue;
            }
            open_count++;
            alone_count += run->is_alone;
            used.cpu_mcores += run->cpu_mcores;
            used.memory_mb += run->memory_mb;
            used.accelerators += run->accelerators;
            end_by_ns = min_ns(end_by_ns, run->end_by_ns);
        }
        CU_ASSERT_EQUAL(target->open_count, open_count);
        CU_ASSERT_EQUAL(target->alone_count, alone_count);
        CU_ASSERT_EQUAL(target->used.cpu_mcores, used.cpu_mcores);
        CU_ASSERT_EQUAL(target->used.memory_mb, used.memory_mb);
        CU_ASSERT_EQUAL(target->used.accelerators, used.accelerators);
        CU_ASSERT_EQUAL(target->end_by_ns, end_by_ns);
    }
}

static void
test_pending_starts_are_bounded(void)
{
    create_pool(kTargets, kCallLimit, 0);
    submit("a1", kTasks, 1);
    advance_ms(1);
    CU_ASSERT_EQUAL(start_count, kStartLimit);
    advance_ms(1);
    CU_ASSERT_EQUAL(start_count, kStartLimit);
    uint32_t rounds = 0;
    while (count_waiting() > 0 && rounds++ < kTasks) {
        answer_starts(kReplyDone);
        advance_ms(1);
        CU_ASSERT(start_count <= kStartLimit);
        check_sums();
    }
    CU_ASSERT_EQUAL(rounds, (kTasks - 1) / kStartLimit);
    pool_destroy(pool);
}

/// One target that answers nothing leaves room for calls to the others.
static void
test_starts_of_one_target_are_bounded(void)
{
    create_pool(1, 0, 0);
    submit("a1", kTasks, 1);
    advance_ms(1);
    CU_ASSERT_EQUAL(start_count, kTargetStartLimit);
    pool_destroy(pool);
}

/// Nor do more tasks wait for it to be verified than could be started then.
static void
test_awaiting_tasks_are_bounded(void)
{
    create_pool(1, 0, 0);
    advance_ms(1000);
    submit("a1", kTasks, 1);
    uint64_t before = counter_read(kCounterTargetsVerified);
    advance_ms(1);
    CU_ASSERT_EQUAL(start_count, 0);
    CU_ASSERT_EQUAL(list_count, 1);
    CU_ASSERT_EQUAL(counter_read(kCounterTargetsVerified) - before,
                    kTargetStartLimit);
    answer_lists(NULL, 0);
    advance_ms(1);
    CU_ASSERT_EQUAL(start_count, kTargetStartLimit);
    pool_destroy(pool);
}

static void
test_pending_stops_are_bounded(void)
{
    create_pool(kTargets, kCallLimit, 0);
    submit("a1", kTasks, 1);
    for (uint32_t i = 0; i <= kTasks / kStartLimit; i++) {
        advance_ms(1);
        answer_starts(kReplyDone);
    }
    CU_ASSERT_EQUAL(count_waiting(), 0);
    pool_withdraw_order(pool, 1, 1, now_ns, now_ns);
    check_sums();
    CU_ASSERT_EQUAL(stop_count, kCallLimit);
    for (uint32_t i = 0; i <= kTasks / kCallLimit; i++) {
        answer_stops();
        advance_ms(1);
        CU_ASSERT(stop_count <= kCallLimit);
    }
    CU_ASSERT(all_stops >= kTasks);
    answer_lists(NULL, 0); // sent before the stops were answered
    advance_ms(1);
    answer_lists(NULL, 0); // the runs are gone
    check_sums();
    CU_ASSERT_EQUAL(pool->first_target->end_by_ns, INT64_MAX);
    pool_destroy(pool);
}

/// Starts leave a part of the calls to stops.
static void
test_stops_need_not_wait_for_starts(void)
{
    create_pool(kTargets, kCallLimit, 0);
    submit("a1", 1, 1);
    advance_ms(1);
    answer_starts(kReplyDone);
    submit("a2", kTasks, 2);
    advance_ms(1);
    CU_ASSERT_EQUAL(start_count, kStartLimit);
    pool_withdraw_order(pool, 1, 1, now_ns, now_ns);
    CU_ASSERT_EQUAL(stop_count, 1);
    pool_destroy(pool);
}

static void
test_stops_of_unknown_runs_are_bounded(void)
{
    static listed_run_t running[kUnknownRuns];
    for (uint32_t i = 0; i < kUnknownRuns; i++) {
        running[i] =
            (listed_run_t){.name = {.job = "a1", .index = i, .attempt = 1}};
    }
    create_pool(1, kCallLimit, 0);
    pool_put_target(pool, &pool->first_target->info, 6, now_ns);
    advance_ms(1);
    for (uint32_t i = 0; i < kUnknownRuns / kCallLimit + 1; i++) {
        uint32_t left = kUnknownRuns - all_stops;
        answer_lists(running, left);
        CU_ASSERT_EQUAL(stop_count, left < kCallLimit ? left : kCallLimit);
        answer_stops();
        advance_ms(100);
    }
    CU_ASSERT_EQUAL(all_stops, kUnknownRuns);
    CU_ASSERT_EQUAL(pool->pending_calls, 0);
    pool_destroy(pool);
}

static void
test_sums_after_rejected_and_lost_runs(void)
{
    create_pool(kTargets, 0, 0);
    submit("a1", 20, 1);
    advance_ms(1);
    answer_starts(kReplyNoCapacity);
    check_sums();
    advance_ms(400);
    answer_starts(kReplyDone);
    check_sums();
    answer_lists(NULL, 0); // sent before the starts were confirmed
    advance_ms(10);
    answer_lists(NULL, 0); // the runs are gone
    check_sums();
    pool_drop_target(pool, "t0", now_ns);
    check_sums();
    pool_destroy(pool);
}

/// An order of many tasks is refused while others hold the memory; a small one
/// is not.
static void
test_memory_of_orders_is_bounded(void)
{
    create_pool(kTargets, kCallLimit, kOrderMemoryBytes);
    submit("a1", 520, 1);
    CU_ASSERT_EQUAL(settled_count, 0);
    submit_many('b', 100);
    submit_many('c', 70);
    uint64_t used_bytes = pool_read_status(pool, now_ns).order_bytes;
    CU_ASSERT(used_bytes > 0 && used_bytes <= kOrderMemoryBytes);
    CU_ASSERT(settled_count > 0);
    CU_ASSERT_EQUAL(last_result.outcome, kOrderOutcomeRefused);
    CU_ASSERT_EQUAL(last_result.kind, kErrorKindOverload);
    CU_ASSERT(last_result.retry_after_ms >= 500);
    CU_ASSERT_EQUAL(log_count, 1);
    uint32_t refused_count = settled_count;
    for (uint32_t i = 0; i < kSmallOrders; i++) {
        char job[8];
        snprintf(job, sizeof job, "d%u", i);
        submit(job, 8, 50 + i);
    }
    CU_ASSERT_EQUAL(settled_count, refused_count);
    pool_destroy(pool);
}

static void
test_memory_is_given_back(void)
{
    create_pool(kTargets, kCallLimit, kOrderMemoryBytes);
    for (uint32_t i = 0; i < 10; i++) {
        submit("a1", 520, 1);
        CU_ASSERT_EQUAL(settled_count, 0);
        pool_withdraw_order(pool, 1, 1, now_ns, now_ns);
        CU_ASSERT_EQUAL(pool_read_status(pool, now_ns).order_bytes, 0);
    }
    // Refused on arrival: no target has the service.
    pool_set_closed(pool, true);
    submit("a2", 520, 2);
    CU_ASSERT_EQUAL(settled_count, 1);
    CU_ASSERT_EQUAL(pool_read_status(pool, now_ns).order_bytes, 0);
    pool_destroy(pool);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"pending starts are bounded", test_pending_starts_are_bounded},
        {"starts of one target are bounded",
         test_starts_of_one_target_are_bounded},
        {"awaiting tasks are bounded", test_awaiting_tasks_are_bounded},
        {"pending stops are bounded", test_pending_stops_are_bounded},
        {"stops need not wait for starts",
         test_stops_need_not_wait_for_starts},
        {"stops of unknown runs are bounded",
         test_stops_of_unknown_runs_are_bounded},
        {"sums after rejected and lost runs",
         test_sums_after_rejected_and_lost_runs},
        {"the memory of orders is bounded", test_memory_of_orders_is_bounded},
        {"memory is given back", test_memory_is_given_back},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("calls", tests);
}
