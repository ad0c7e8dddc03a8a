#include "load/simulation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/heap.h"
#include "core/job.h"
#include "queue/task_queue.h"
#include "route/estimate.h"
#include "route/route.h"
#include "runtime/clock.h"

enum { kStragglerFactor = 10, kPercent = 100 };

/// A job of the run.
typedef struct {
    workload_job_t drawn;
    job_t job;
    task_t tasks[kWorkloadTasks];
    uint32_t places[kWorkloadTasks];
    job_part_t part;
    int64_t came_ns;
    int64_t best_end_ns;
} virtual_job_t;

/// A task that runs until its node's time.
typedef struct {
    heap_node_t node;
    virtual_job_t *job;
    uint32_t task;
    target_t *target;
    int64_t started_ns;
    int64_t expected_ns;
} virtual_try_t;

/// A run.
typedef struct {
    const virtual_t *options;
    const load_t *load;
    load_result_t *result;
    target_table_t *table;
    uint32_t *speed_percent; ///< by target's VM number
    task_queue_t *waiting;
    heap_t running;
    rng_t rng;
    int64_t now_ns;
    uint64_t decision_count;
    estimate_t estimate;
} run_t;

static const char kind_name[] = "task";
static const needs_t any_needs = {.processors = 1};

static void
build_targets(run_t *run)
{
    uint32_t count = run->options->target_count;
    vm_entry_t *vms = calloc(count, sizeof *vms);
    run->speed_percent = calloc(count + 1, sizeof(uint32_t));
    for (uint32_t i = 0; i < count; i++) {
        vms[i] = (vm_entry_t){.vm = i + 1,
                              .dc = 1,
                              .role = kVmRoleTarget,
                              .address = "127.0.0.1",
                              .port = (uint16_t)(i + 1),
                              .slots = run->options->slots,
                              .processors = 32,
                              .memory_mb = 65536};
        uint32_t step =
            count > 1 ? i * kPercent * (run->options->spread - 1) / (count - 1)
                      : 0;
        run->speed_percent[i + 1] = kPercent + step;
    }
    run->table = target_table_build(NULL, vms, count, 1, 1, 30);
    free(vms);
}

/// @return the time that a task takes on a target
static int64_t
run_time_ns(run_t *run, const virtual_job_t *job, uint32_t task,
            const target_t *target)
{
    int64_t time_ns = (int64_t)job->drawn.task_ms[task] * kNsPerMs *
                      run->speed_percent[target->vm] / kPercent;
    bool is_straggler =
        rng_below(&run->rng, 1000) < run->options->straggler_per_mille;
    return is_straggler ? time_ns * kStragglerFactor : time_ns;
}

static void
start_task(run_t *run, virtual_job_t *job, uint32_t task, target_t *target,
           int64_t expected_ns)
{
    virtual_try_t *attempt = malloc(sizeof *attempt);
    *attempt = (virtual_try_t){.node = {.index = kHeapAbsent},
                               .job = job,
                               .task = task,
                               .target = target,
                               .started_ns = run->now_ns,
                               .expected_ns = expected_ns};
    job_apply(&job->job,
              &(job_event_t){.type = kJobEventTaskStart, .task = task});
    heap_set(&run->running, &attempt->node,
             run->now_ns + run_time_ns(run, job, task, target));
    run->decision_count++;
}

static int64_t
expect_ns(const run_t *run, const virtual_job_t *job, uint32_t task)
{
    return estimate_run_time_ns(&run->estimate, kind_name,
                                job->drawn.declared_ms[task]);
}

/// @return when a job can end at the earliest
static int64_t
best_end_ns(const run_t *run, const virtual_job_t *job)
{
    int64_t longest_ns = 0;
    for (uint32_t i = 0; i < job->drawn.task_count; i++) {
        int64_t time_ns = expect_ns(run, job, i);
        longest_ns = time_ns > longest_ns ? time_ns : longest_ns;
    }
    return run->now_ns +
           target_scale_time_ns(
               longest_ns, target_table_min_slowness_log2_milli(run->table));
}

/// Starts waiting tasks as long as targets are open.
static void
pump(run_t *run)
{
    task_class_t *group = task_queue_first_class(run->waiting);
    job_part_t *part;
    while (group != NULL && (part = task_class_first_part(group)) != NULL) {
        virtual_job_t *job = part->job;
        uint32_t task = part->tasks[part->first];
        bool is_planned = estimate_is_trusted(&run->estimate);
        route_query_t query = {
            .needs = &any_needs,
            .expected_ns = expect_ns(run, job, task),
            .slack_ns = is_planned ? job->best_end_ns - run->now_ns : 0,
            .now_ns = run->now_ns};
        target_t *target = route_reserve(run->options->routing, run->table,
                                         &query, &run->rng);
        if (target == NULL) {
            return;
        }
        task_queue_take(run->waiting, part);
        start_task(run, job, task, target, query.expected_ns);
    }
    task_queue_free_empty_classes(run->waiting);
}

static void
take_job(run_t *run)
{
    virtual_job_t *job = malloc(sizeof *job);
    workload_draw(&run->load->workload, &run->rng, &job->drawn);
    job_init(&job->job, job->tasks, job->drawn.task_count, INT64_MAX);
    job->came_ns = run->now_ns;
    job->best_end_ns = best_end_ns(run, job);
    for (uint32_t i = 0; i < job->drawn.task_count; i++) {
        job->places[i] = i;
    }
    job_part_init(&job->part, &any_needs, job, run->now_ns, 1, job->places,
                  job->drawn.task_count);
    task_queue_add(run->waiting, &job->part);
    run->result->jobs++;
    run->result->tasks += job->drawn.task_count;
    pump(run);
}

static void
finish_job(run_t *run, virtual_job_t *job)
{
    int64_t ideal_ns =
        workload_ideal_ns(&job->drawn, run->load->capacity_milli);
    uint64_t response_ns = (uint64_t)(run->now_ns - job->came_ns);
    run->result->complete++;
    run->result->complete_tasks += job->drawn.task_count;
    histogram_add(&run->result->slowdown,
                  response_ns * 1000 / (uint64_t)ideal_ns);
    histogram_add(&run->result->response, response_ns / 1000);
    free(job);
}

static void
end_task(run_t *run, virtual_try_t *attempt)
{
    heap_remove(&run->running, &attempt->node);
    int64_t time_ns = run->now_ns - attempt->started_ns;
    int64_t excess =
        target_time_ratio_log2_milli(time_ns, attempt->expected_ns);
    estimate_update(&run->estimate, kind_name, time_ns, excess,
                    target_slowness_log2_milli(attempt->target));
    target_release(attempt->target, run->table, kOutcomeDone, excess,
                   run->now_ns);
    uint32_t acts =
        job_apply(&attempt->job->job, &(job_event_t){.type = kJobEventTryDone,
                                                     .task = attempt->task});
    if (acts & kJobActionFinish) {
        finish_job(run, attempt->job);
    }
    free(attempt);
    pump(run);
}

/// Serves arrivals and ends of tasks in the order of their times.
static void
run_events(run_t *run, double gap_ns)
{
    int64_t end_ns = (int64_t)run->load->duration_ms * kNsPerMs;
    int64_t arrival_ns = workload_gap_ns(&run->rng, gap_ns);
    for (;;) {
        heap_node_t *first = heap_first(&run->running);
        bool is_arrival = arrival_ns < end_ns &&
                          (first == NULL || arrival_ns < first->deadline_ns);
        if (is_arrival) {
            run->now_ns = arrival_ns;
            take_job(run);
            arrival_ns += workload_gap_ns(&run->rng, gap_ns);
        }
        else if (first != NULL) {
            run->now_ns = first->deadline_ns;
            end_task(run, (virtual_try_t *)first);
        }
        else {
            return;
        }
    }
}

void
virtual_run(const virtual_t *virtual, const load_t *load,
            load_result_t *result)
{
    run_t run = {.options = virtual,
                 .load = load,
                 .result = result,
                 .waiting = task_queue_create(virtual->ordering),
                 .rng = {.state = load->seed}};
    double rate = (double)load->rate_milli / 1000;
    if (load->work_milli > 0) {
        rate = (double)load->work_milli * 1000 /
               (double)workload_mean_us(&load->workload);
    }
    build_targets(&run);
    int64_t start_ns = clock_now_ns();
    run_events(&run, (double)NS_PER_S / rate);
    int64_t spent_ns = clock_now_ns() - start_ns;
    fprintf(stderr, "%lu starts, %ld ns each\n",
            (unsigned long)run.decision_count,
            run.decision_count == 0
                ? 0
                : (long)(spent_ns / (int64_t)run.decision_count));
    heap_clear(&run.running);
    task_queue_destroy(run.waiting);
    target_table_free(run.table);
    free(run.speed_percent);
}
