/// Tests of core/job: single events, and random event sequences that check
/// the invariants after each event.
#include <stdlib.h>

#include "base/rng.h"
#include "core/job.h"
#include "support/suite.h"

enum { kMaxTasks = 6, kSequences = 20000, kSteps = 40 };

static task_t tasks[kMaxTasks];
static job_t job;

static uint32_t
apply(job_event_type_t type, uint32_t task, error_kind_t kind, bool may_retry)
{
    return job_apply(&job, &(job_event_t){.type = type,
                                          .task = task,
                                          .kind = kind,
                                          .may_retry = may_retry});
}

static void
test_complete(void)
{
    job_init(&job, tasks, 2, 100);
    CU_ASSERT_EQUAL(apply(kJobEventTaskStart, 0, 0, false), 0);
    CU_ASSERT_EQUAL(apply(kJobEventTaskStart, 1, 0, false), 0);
    CU_ASSERT_EQUAL(apply(kJobEventTryDone, 1, 0, false), 0);
    CU_ASSERT_EQUAL(apply(kJobEventTryDone, 0, 0, false), kJobActionFinish);
    CU_ASSERT_EQUAL(job.state, kJobStateComplete);
    CU_ASSERT_EQUAL(apply(kJobEventCancel, 0, 0, false), kJobActionIgnored);
}

static void
test_retry(void)
{
    job_init(&job, tasks, 1, 100);
    apply(kJobEventTaskStart, 0, 0, false);
    CU_ASSERT_EQUAL(
        apply(kJobEventTryNotRun, 0, kErrorKindTargetRefused, true),
        kJobActionRequeue);
    apply(kJobEventTaskStart, 0, 0, false);
    CU_ASSERT_EQUAL(
        apply(kJobEventTryNotRun, 0, kErrorKindTargetRefused, false),
        kJobActionFinish);
    CU_ASSERT_EQUAL(tasks[0].state, kTaskStateNotRun);
    CU_ASSERT_EQUAL(tasks[0].try_count, 2);
}

/// Started tasks are waited for, so that the answer tells what they did.
static void
test_evacuation_ends_waiting_tasks(void)
{
    job_init(&job, tasks, 2, 100);
    apply(kJobEventTaskStart, 0, 0, false);
    CU_ASSERT_EQUAL(apply(kJobEventEvacuated, 0, 0, false),
                    kJobActionDropWaiting);
    CU_ASSERT_EQUAL(tasks[1].state, kTaskStateNotRun);
    CU_ASSERT_EQUAL(tasks[1].kind, kErrorKindEvacuated);
    CU_ASSERT_EQUAL(apply(kJobEventTaskStart, 1, 0, false), kJobActionIgnored);
    CU_ASSERT_EQUAL(apply(kJobEventTryDone, 0, 0, false), kJobActionFinish);
    CU_ASSERT_EQUAL(job.state, kJobStateFailed);
    CU_ASSERT_EQUAL(job.kind, kErrorKindEvacuated);
    job_init(&job, tasks, 2, 100);
    CU_ASSERT_EQUAL(apply(kJobEventEvacuated, 0, 0, false),
                    kJobActionDropWaiting | kJobActionFinish);
}

static void
test_failure_waits_for_started(void)
{
    job_init(&job, tasks, 3, 100);
    apply(kJobEventTaskStart, 0, 0, false);
    apply(kJobEventTaskStart, 1, 0, false);
    CU_ASSERT_EQUAL(apply(kJobEventTryFailed, 0, kErrorKindTargetLost, false),
                    kJobActionDropWaiting);
    CU_ASSERT_EQUAL(apply(kJobEventTaskStart, 2, 0, false), kJobActionIgnored);
    CU_ASSERT_EQUAL(apply(kJobEventTryDone, 1, 0, false), kJobActionFinish);
    CU_ASSERT_EQUAL(job.state, kJobStateFailed);
    CU_ASSERT_EQUAL(job.kind, kErrorKindTargetLost);
    CU_ASSERT_EQUAL(tasks[1].state, kTaskStateDone);
    CU_ASSERT_EQUAL(tasks[2].state, kTaskStateNotRun);
}

static void
test_deadline(void)
{
    job_init(&job, tasks, 2, 100);
    apply(kJobEventTaskStart, 0, 0, false);
    CU_ASSERT_EQUAL(apply(kJobEventDeadline, 0, 0, false),
                    kJobActionDropWaiting | kJobActionStopTries |
                        kJobActionFinish);
    CU_ASSERT_EQUAL(tasks[0].state, kTaskStateMayHaveRun);
    CU_ASSERT_EQUAL(tasks[1].state, kTaskStateNotRun);
    CU_ASSERT_EQUAL(apply(kJobEventTryDone, 0, 0, false), kJobActionIgnored);
}

/// Checks the invariants of a job.
///
/// @param run_counts  runs of each task so far
static void
check_invariants(const uint32_t *run_counts, uint32_t task_count)
{
    uint32_t waiting = 0;
    uint32_t started = 0;
    for (uint32_t i = 0; i < task_count; i++) {
        waiting += tasks[i].state == kTaskStateWaiting;
        started += tasks[i].state == kTaskStateStarted;
        CU_ASSERT_FATAL(run_counts[i] <= 1);
        CU_ASSERT_FATAL(tasks[i].state != kTaskStateNotRun ||
                        run_counts[i] == 0);
        CU_ASSERT_FATAL(job.state != kJobStateComplete ||
                        tasks[i].state == kTaskStateDone);
    }
    CU_ASSERT_EQUAL_FATAL(waiting, job.waiting_count);
    CU_ASSERT_EQUAL_FATAL(started, job.started_count);
    if (job_has_ended(&job)) {
        CU_ASSERT_EQUAL_FATAL(waiting + started, 0);
    }
}

/// Applies random events: in any order, a task runs at most once, a task
/// reported as "not run" did not run, and the job's counts match its tasks.
static void
apply_random_events(rng_t *rng)
{
    uint32_t run_counts[kMaxTasks] = {0};
    uint32_t task_count = 1 + rng_below(rng, kMaxTasks);
    job_init(&job, tasks, task_count, 100);
    for (uint32_t step = 0; step < kSteps; step++) {
        job_event_type_t type = rng_below(rng, kJobEventCount);
        uint32_t task = rng_below(rng, task_count);
        bool is_in_flight = tasks[task].state == kTaskStateStarted;
        if ((type == kJobEventCancel || type == kJobEventDeadline) &&
            rng_below(rng, 8) != 0) {
            continue;
        }
        // A try in flight that does not end as "not run" has run the task.
        run_counts[task] += is_in_flight && (type == kJobEventTryDone ||
                                             type == kJobEventTryFailed);
        apply(type, task, kErrorKindTargetLost, rng_below(rng, 2) == 0);
        check_invariants(run_counts, task_count);
    }
    apply(kJobEventDeadline, 0, 0, false);
    CU_ASSERT_TRUE(job_has_ended(&job));
}

static void
test_random_events(void)
{
    rng_t rng = {.state = 4711};
    for (uint32_t i = 0; i < kSequences; i++) {
        apply_random_events(&rng);
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"complete", test_complete},
        {"retry", test_retry},
        {"an evacuation ends waiting tasks",
         test_evacuation_ends_waiting_tasks},
        {"failure waits for started tasks", test_failure_waits_for_started},
        {"deadline", test_deadline},
        {"random events", test_random_events},
        CU_TEST_INFO_NULL};
    return suite_run("job", tests);
}
