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

/// A simulated job.
typedef struct {
    workload_job_t workload_job;
    job_t job;
    task_t tasks[kWorkloadMaxTasks];
    uint32_t task_indices[kWorkloadMaxTasks];
    job_part_t part;
    int64_t arrival_ns;
    int64_t earliest_end_ns;
} simulated_job_t;

/// A running task; the deadline of its heap node is its end.
typedef struct {
    heap_node_t node;
    simulated_job_t *job;
    uint32_t task;
    target_t *target;
    int64_t started_ns;
    int64_t expected_ns;
} attempt_t;

/// State of a simulation.
typedef struct {
    const simulation_t *options;
    const load_t *load;
    load_result_t *result;
    target_table_t *table;
    /// Factor on run times by VM number; 100 for the fastest target.
    uint32_t *run_time_percent;
    task_queue_t *queue;
    heap_t running;
    rng_t rng;
    int64_t now_ns;
    uint64_t start_count;
    estimate_t estimate;
} simulation_state_t;

static const char task_kind[] = "task";
static const needs_t task_needs = {.processors = 1};

static void
build_targets(simulation_state_t *run)
{
    uint32_t count = run->options->target_count;
    vm_entry_t *vms = calloc(count, sizeof *vms);
    run->run_time_percent = calloc(count + 1, sizeof(uint32_t));
    for (uint32_t i = 0; i < count; i++) {
        vms[i] = (vm_entry_t){.vm = i + 1,
                              .dc = 1,
                              .role = kVmRoleTarget,
                              .address = "127.0.0.1",
                              .port = (uint16_t)(i + 1),
                              .slots = run->options->slots,
                              .processors = 32,
                              .memory_mb = 65536};
        uint32_t slowdown_percent =
            count > 1 ? i * kPercent * (run->options->spread - 1) / (count - 1)
                      : 0;
        run->run_time_percent[i + 1] = kPercent + slowdown_percent;
    }
    run->table = target_table_build(NULL, vms, count, 1, 1, 30);
    free(vms);
}

/// @return the run time of a task on a target; draws whether it straggles
static int64_t
run_time_ns(simulation_state_t *run, const simulated_job_t *job, uint32_t task,
            const target_t *target)
{
    int64_t time_ns = (int64_t)job->workload_job.task_ms[task] * kNsPerMs *
                      run->run_time_percent[target->vm] / kPercent;
    bool is_straggler =
        rng_below(&run->rng, 1000) < run->options->straggler_per_mille;
    return is_straggler ? time_ns * kStragglerFactor : time_ns;
}

static void
start_task(simulation_state_t *run, simulated_job_t *job, uint32_t task,
           target_t *target, int64_t expected_ns)
{
    attempt_t *attempt = malloc(sizeof *attempt);
    *attempt = (attempt_t){.node = {.index = kHeapAbsent},
                           .job = job,
                           .task = task,
                           .target = target,
                           .started_ns = run->now_ns,
                           .expected_ns = expected_ns};
    job_apply(&job->job,
              &(job_event_t){.type = kJobEventTaskStart, .task = task});
    heap_set(&run->running, &attempt->node,
             run->now_ns + run_time_ns(run, job, task, target));
    run->start_count++;
}

static int64_t
expected_run_time_ns(const simulation_state_t *run, const simulated_job_t *job,
                     uint32_t task)
{
    return estimate_run_time_ns(&run->estimate, task_kind,
                                job->workload_job.declared_ms[task]);
}

/// @return the earliest time at which a job can end
static int64_t
earliest_end_ns(const simulation_state_t *run, const simulated_job_t *job)
{
    int64_t longest_ns = 0;
    for (uint32_t i = 0; i < job->workload_job.task_count; i++) {
        int64_t time_ns = expected_run_time_ns(run, job, i);
        longest_ns = time_ns > longest_ns ? time_ns : longest_ns;
    }
    return run->now_ns +
           target_scale_time_ns(
               longest_ns, target_table_min_slowness_log2_milli(run->table));
}

/// Starts waiting tasks while targets have free slots.
static void
start_waiting_tasks(simulation_state_t *run)
{
    task_class_t *class = task_queue_first_class(run->queue);
    job_part_t *part;
    while (class != NULL && (part = task_class_first_part(class)) != NULL) {
        simulated_job_t *job = part->job;
        uint32_t task = part->tasks[part->first];
        bool is_slack_used = estimate_is_trusted(&run->estimate);
        route_query_t query = {
            .needs = &task_needs,
            .expected_ns = expected_run_time_ns(run, job, task),
            .slack_ns = is_slack_used ? job->earliest_end_ns - run->now_ns : 0,
            .now_ns = run->now_ns};
        target_t *target = route_reserve(run->options->routing, run->table,
                                         &query, &run->rng);
        if (target == NULL) {
            return;
        }
        task_queue_take(run->queue, part);
        start_task(run, job, task, target, query.expected_ns);
    }
    task_queue_free_empty_classes(run->queue);
}

static void
submit_job(simulation_state_t *run)
{
    simulated_job_t *job = malloc(sizeof *job);
    workload_draw_job(&run->load->workload, &run->rng, &job->workload_job);
    job_init(&job->job, job->tasks, job->workload_job.task_count, INT64_MAX);
    job->arrival_ns = run->now_ns;
    job->earliest_end_ns = earliest_end_ns(run, job);
    for (uint32_t i = 0; i < job->workload_job.task_count; i++) {
        job->task_indices[i] = i;
    }
    job_part_init(&job->part, &task_needs, job, run->now_ns, 1,
                  job->task_indices, job->workload_job.task_count);
    task_queue_add(run->queue, &job->part);
    run->result->jobs++;
    run->result->tasks += job->workload_job.task_count;
    start_waiting_tasks(run);
}

static void
finish_job(simulation_state_t *run, simulated_job_t *job)
{
    int64_t ideal_ns =
        workload_ideal_ns(&job->workload_job, run->load->capacity_milli);
    uint64_t response_ns = (uint64_t)(run->now_ns - job->arrival_ns);
    run->result->complete++;
    run->result->complete_tasks += job->workload_job.task_count;
    histogram_add(&run->result->slowdown,
                  response_ns * 1000 / (uint64_t)ideal_ns);
    histogram_add(&run->result->response, response_ns / 1000);
    free(job);
}

static void
end_task(simulation_state_t *run, attempt_t *attempt)
{
    heap_remove(&run->running, &attempt->node);
    int64_t time_ns = run->now_ns - attempt->started_ns;
    int64_t time_ratio_log2_milli =
        target_time_ratio_log2_milli(time_ns, attempt->expected_ns);
    estimate_update(&run->estimate, task_kind, time_ns, time_ratio_log2_milli,
                    target_slowness_log2_milli(attempt->target));
    target_release(attempt->target, run->table, kOutcomeDone,
                   time_ratio_log2_milli, run->now_ns);
    uint32_t actions =
        job_apply(&attempt->job->job, &(job_event_t){.type = kJobEventTryDone,
                                                     .task = attempt->task});
    if (actions & kJobActionFinish) {
        finish_job(run, attempt->job);
    }
    free(attempt);
    start_waiting_tasks(run);
}

/// Processes arrivals of jobs and ends of tasks in the order of time.
static void
run_events(simulation_state_t *run, double mean_interarrival_ns)
{
    int64_t end_ns = (int64_t)run->load->duration_ms * kNsPerMs;
    int64_t arrival_ns =
        workload_draw_interarrival_ns(&run->rng, mean_interarrival_ns);
    for (;;) {
        heap_node_t *first = heap_first(&run->running);
        bool is_arrival = arrival_ns < end_ns &&
                          (first == NULL || arrival_ns < first->deadline_ns);
        if (is_arrival) {
            run->now_ns = arrival_ns;
            submit_job(run);
            arrival_ns +=
                workload_draw_interarrival_ns(&run->rng, mean_interarrival_ns);
        }
        else if (first != NULL) {
            run->now_ns = first->deadline_ns;
            end_task(run, (attempt_t *)first);
        }
        else {
            return;
        }
    }
}

void
simulation_run(const simulation_t *simulation, const load_t *load,
               load_result_t *result)
{
    simulation_state_t run = {.options = simulation,
                              .load = load,
                              .result = result,
                              .queue = task_queue_create(simulation->ordering),
                              .rng = {.state = load->seed}};
    double rate = (double)load->rate_milli / 1000;
    if (load->work_milli > 0) {
        rate = (double)load->work_milli * 1000 /
               (double)workload_mean_work_us(&load->workload);
    }
    build_targets(&run);
    int64_t start_ns = clock_now_ns();
    run_events(&run, (double)NS_PER_S / rate);
    int64_t spent_ns = clock_now_ns() - start_ns;
    fprintf(
        stderr, "%lu starts, %ld ns each\n", (unsigned long)run.start_count,
        run.start_count == 0 ? 0
                             : (long)(spent_ns / (int64_t)run.start_count));
    heap_clear(&run.running);
    task_queue_destroy(run.queue);
    target_table_free(run.table);
    free(run.run_time_percent);
}
