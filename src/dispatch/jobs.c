#include "dispatch/jobs.h"

#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "base/counters.h"
#include "dispatch/answers.h"
#include "dispatch/shard.h"
#include "dispatch/tries.h"
#include "limit/admission.h"
#include "runtime/clock.h"

enum { kEvacuatedRetryMs = 2000 }; ///< Retry-After of an evacuated data centre

static void
add_waiter(job_record_t *record, const reply_to_t *to)
{
    waiter_t *waiter = malloc(sizeof *waiter);
    *waiter = (waiter_t){.next = record->waiters, .reply_to = *to};
    record->waiters = waiter;
}

static void
answer_waiters(job_record_t *record)
{
    while (record->waiters != NULL) {
        waiter_t *waiter = record->waiters;
        record->waiters = waiter->next;
        shard_send_answer(record->shard, &waiter->reply_to, record->answer);
        free(waiter);
    }
}

/// Keeps the record of an ended job for record_hold_ms.
static void
hold_record(job_record_t *record)
{
    shard_t *shard = record->shard;
    record->hold_until_ns =
        clock_deadline_ns(shard->dispatch->settings->record_hold_ms);
    record->next_held = NULL;
    if (shard->held_last == NULL) {
        shard->held_first = record;
        loop_timer_set(shard->loop, &shard->hold_timer, record->hold_until_ns);
    }
    else {
        shard->held_last->next_held = record;
    }
    shard->held_last = record;
    atomic_fetch_add(&shard->held_count, 1);
}

void
jobs_on_hold_timer(loop_timer_t *timer)
{
    shard_t *shard = timer->owner;
    int64_t now_ns = clock_now_ns();
    while (shard->held_first != NULL &&
           shard->held_first->hold_until_ns <= now_ns) {
        job_record_t *record = shard->held_first;
        if (record->backoff_count > 0) { // backoff timers refer to the record
            record->hold_until_ns = now_ns + kNsPerMs;
            break;
        }
        shard->held_first = record->next_held;
        id_registry_forget(shard->id_registry, record->sequence);
        blob_unref(record->answer);
        free(record);
        atomic_fetch_sub(&shard->held_count, 1);
    }
    if (shard->held_first == NULL) {
        shard->held_last = NULL;
        return;
    }
    loop_timer_set(shard->loop, timer, shard->held_first->hold_until_ns);
}

/// Ends a job: builds its answer, which is final, sends it to all waiters and
/// holds it for later requests.
static void
finish_job(job_record_t *record, const answer_detail_t *detail)
{
    shard_t *shard = record->shard;
    record->answer = answers_build(&record->job, record->results, detail);
    loop_timer_clear(shard->loop, &record->deadline);
    arena_destroy(record->arena);
    record->arena = NULL;
    record->job.tasks = NULL;
    record->results = NULL;
    record->tries = NULL;
    record->parts = NULL;
    atomic_fetch_sub(&shard->active_count, 1);
    hold_record(record);
    answer_waiters(record);
}

job_part_t *
jobs_find_part(job_record_t *record, uint32_t task)
{
    const needs_t *needs = &record->document.tasks[task].needs;
    for (job_part_t *part = record->parts; part != NULL;
         part = part->next_in_job) {
        if (memcmp(part->needs, needs, sizeof *needs) == 0) {
            return part;
        }
    }
    return NULL;
}

/// Removes every waiting task of a job from the queue.
static void
drop_waiting_tasks(job_record_t *record)
{
    for (job_part_t *part = record->parts; part != NULL;
         part = part->next_in_job) {
        task_queue_remove(record->shard->task_queue, part);
    }
}

void
jobs_apply(job_record_t *record, const job_event_t *event)
{
    uint32_t actions = job_apply(&record->job, event);
    if (actions & kJobActionDropWaiting) {
        drop_waiting_tasks(record);
    }
    if (actions & kJobActionStopTries) {
        tries_stop(record);
    }
    if (actions & kJobActionRequeue) {
        tries_requeue(record, event->task);
    }
    if (actions & kJobActionFinish) {
        bool is_complete = record->job.state == kJobStateComplete;
        counter_add(is_complete ? kCounterJobsComplete : kCounterJobsFailed,
                    1);
        finish_job(record, &(answer_detail_t){0});
    }
}

static void
on_deadline(loop_timer_t *timer)
{
    jobs_apply(timer->owner, &(job_event_t){.type = kJobEventDeadline});
}

/// Groups the tasks of a job into parts with equal needs.
static void
build_parts(job_record_t *record, int64_t now_ns)
{
    uint32_t task_count = record->document.tasks_count;
    for (uint32_t task = 0; task < task_count; task++) {
        job_part_t *part = jobs_find_part(record, task);
        if (part == NULL) {
            part = apr_palloc(record->arena, sizeof *part);
            uint32_t *tasks =
                apr_palloc(record->arena, task_count * sizeof(uint32_t));
            job_part_init(part, &record->document.tasks[task].needs, record,
                          now_ns, record->priority, tasks, 0);
            part->next_in_job = record->parts;
            record->parts = part;
        }
        part->tasks[part->task_count++] = task;
    }
}

/// @return the earliest time at which a job can end: the end of its longest
/// task if that starts now on the fastest target. Called under RCU.
static int64_t
estimate_earliest_end_ns(const job_record_t *record, const view_t *view,
                         int64_t now_ns)
{
    int64_t longest_ns = 0;
    for (uint32_t i = 0; i < record->document.tasks_count; i++) {
        const task_document_t *task = &record->document.tasks[i];
        int64_t expected_ns = estimate_run_time_ns(
            &record->shard->estimate, task->kind, task->expected_ms);
        longest_ns = expected_ns > longest_ns ? expected_ns : longest_ns;
    }
    return now_ns + target_scale_time_ns(
                        longest_ns,
                        target_table_min_slowness_log2_milli(view->targets));
}

/// @return whether each task fits some target. Called under RCU.
static bool
all_tasks_fit(const view_t *view, const job_document_t *document)
{
    const needs_t *last = NULL;
    for (uint32_t i = 0; i < document->tasks_count; i++) {
        const needs_t *needs = &document->tasks[i].needs;
        if (last != NULL && memcmp(last, needs, sizeof *needs) == 0) {
            continue;
        }
        if (!target_table_fits(view->targets, needs)) {
            return false;
        }
        last = needs;
    }
    return true;
}

/// Decides whether a job is admitted and charges its team. Called under RCU.
static error_kind_t
admit_job(job_record_t *record, const view_t *view, answer_detail_t *detail)
{
    shard_t *shard = record->shard;
    const job_document_t *document = &record->document;
    if (view->config_offset == 0) {
        return kErrorKindNotReady;
    }
    if (view->is_evacuated) {
        detail->retry_after_ms = kEvacuatedRetryMs;
        return kErrorKindEvacuated;
    }
    int64_t now_ns = clock_now_ns();
    team_t *team = view_find_team(view, document->team);
    admission_query_t query = {
        .is_team_known = team != NULL,
        .all_tasks_fit = all_tasks_fit(view, document),
        .task_count = document->tasks_count,
        .waiting_count = task_queue_length(shard->task_queue),
        .waiting_limit = shard->dispatch->settings->queue_limit,
        .slot_count = target_table_count_slots(view->targets) /
                          view->entry_count / shard->dispatch->shard_count +
                      1,
        .service_ns = shard->mean_service_ns,
        .left_ns = record->job.deadline_ns - now_ns};
    error_kind_t kind = admission_decide(&query);
    if (kind != kErrorKindOk) {
        detail->retry_after_ms =
            (uint32_t)(admission_backlog_ns(&query) / kNsPerMs) + 1;
        return kind;
    }
    int64_t retry_at_ns = 0;
    if (!team_charge(team, document->tasks_count, now_ns, &retry_at_ns)) {
        detail->retry_after_ms =
            (uint32_t)((retry_at_ns - now_ns) / kNsPerMs) + 1;
        return kErrorKindQuota;
    }
    record->priority = atomic_load(&team->priority);
    record->earliest_end_ns = estimate_earliest_end_ns(record, view, now_ns);
    return kErrorKindOk;
}

/// Ends a job before any of its tasks starts. The refusal is the final answer
/// of the job: after a caller was told "not run", a repeated submission must
/// not start the job.
static void
refuse_job(job_record_t *record, error_kind_t kind, answer_detail_t *detail)
{
    counter_add(kCounterJobsRefused, 1);
    job_t *job = &record->job;
    job->state = kJobStateFailed;
    job->kind = kind;
    job->waiting_count = 0;
    for (uint32_t i = 0; i < job->task_count; i++) {
        job->tasks[i] = (task_t){.state = kTaskStateNotRun, .kind = kind};
    }
    if (!error_answers[kind].retry) {
        detail->retry_after_ms = 0;
    }
    finish_job(record, detail);
}

static job_record_t *
create_record(shard_t *shard, job_request_t *request)
{
    job_record_t *record = calloc(1, sizeof *record);
    uint32_t task_count = request->document.tasks_count;
    record->shard = shard;
    record->sequence = request->id.sequence;
    record->arena = request->arena;
    request->arena = NULL;
    record->document = request->document;
    memcpy(record->digest, request->digest, kDigestBytes);
    job_id_format(&request->id, record->id_text);
    record->results = apr_pcalloc(record->arena, task_count * sizeof(bytes_t));
    record->tries = apr_pcalloc(record->arena, task_count * sizeof(try_t *));
    job_init(&record->job,
             apr_palloc(record->arena, task_count * sizeof(task_t)),
             task_count, request->deadline_ns);
    loop_timer_init(&record->deadline, on_deadline, record);
    return record;
}

/// Starts or refuses the job of the first submission under an id.
static void
start_job(shard_t *shard, job_request_t *request)
{
    answer_detail_t detail = {0};
    job_record_t *record = create_record(shard, request);
    id_registry_submit(shard->id_registry, record->sequence, record);
    add_waiter(record, &request->reply_to);
    atomic_fetch_add(&shard->active_count, 1);
    counter_add(kCounterJobsReceived, 1);
    rcu_read_lock();
    error_kind_t kind =
        admit_job(record, rcu_dereference(shard->dispatch->view), &detail);
    rcu_read_unlock();
    if (kind != kErrorKindOk) {
        refuse_job(record, kind, &detail);
        return;
    }
    loop_timer_set(shard->loop, &record->deadline, record->job.deadline_ns);
    build_parts(record, clock_now_ns());
    for (job_part_t *part = record->parts; part != NULL;
         part = part->next_in_job) {
        task_queue_add(shard->task_queue, part);
    }
    tries_start_waiting(shard);
}

/// Answers a repeated submission of a job: immediately if the job has ended,
/// else when it ends.
static void
join_job(job_record_t *record, const job_request_t *request)
{
    if (!record->is_unsubmitted &&
        memcmp(record->digest, request->digest, kDigestBytes) != 0) {
        shard_send_error(record->shard, &request->reply_to,
                         kErrorKindConflict);
        return;
    }
    counter_add(kCounterJobsJoined, 1);
    if (record->answer != NULL) {
        shard_send_answer(record->shard, &request->reply_to, record->answer);
    }
    else {
        add_waiter(record, &request->reply_to);
    }
}

/// The errors for ids under which no job is held.
static const error_kind_t id_errors[] = {
    [kIdStatusFresh] = kErrorKindNotSubmitted,
    [kIdStatusForgotten] = kErrorKindForgotten,
    [kIdStatusExpired] = kErrorKindExpired,
    [kIdStatusUnknown] = kErrorKindNotMinted};

void
jobs_submit(shard_t *shard, job_request_t *request)
{
    void *job = NULL;
    id_status_t status = id_registry_lookup(shard->id_registry, &request->id,
                                            clock_now_ns(), &job);
    if (status == kIdStatusFresh) {
        start_job(shard, request);
    }
    else if (status == kIdStatusHeld) {
        join_job(job, request);
    }
    else {
        shard_send_error(shard, &request->reply_to, id_errors[status]);
    }
    arena_destroy(request->arena);
}

/// Finds the job of a request. Sends an error if no job is held under its id.
///
/// @return the job, or NULL
static job_record_t *
find_held(shard_t *shard, const job_request_t *request)
{
    void *job = NULL;
    id_status_t status = id_registry_lookup(shard->id_registry, &request->id,
                                            clock_now_ns(), &job);
    if (status != kIdStatusHeld) {
        shard_send_error(shard, &request->reply_to, id_errors[status]);
        return NULL;
    }
    return job;
}

void
jobs_read(shard_t *shard, job_request_t *request)
{
    job_record_t *record = find_held(shard, request);
    if (record == NULL) {
        return;
    }
    blob_t *answer = record->answer != NULL
                         ? blob_ref(record->answer)
                         : answers_build_state(record->job.state);
    shard_send_answer(shard, &request->reply_to, answer);
    blob_unref(answer);
}

/// Cancels a job before its submission arrives. The submission then starts
/// nothing and gets the same answer as the cancellation.
static void
cancel_unsubmitted(shard_t *shard, job_request_t *request)
{
    request->arena = arena_create();
    job_record_t *record = create_record(shard, request);
    record->is_unsubmitted = true;
    record->job.state = kJobStateFailed;
    record->job.kind = kErrorKindCancelled;
    id_registry_submit(shard->id_registry, record->sequence, record);
    add_waiter(record, &request->reply_to);
    atomic_fetch_add(&shard->active_count, 1);
    finish_job(record, &(answer_detail_t){0});
}

void
jobs_cancel(shard_t *shard, job_request_t *request)
{
    void *job = NULL;
    if (id_registry_lookup(shard->id_registry, &request->id, clock_now_ns(),
                           &job) == kIdStatusFresh) {
        counter_add(kCounterJobsCancelled, 1);
        cancel_unsubmitted(shard, request);
        return;
    }
    job_record_t *record = find_held(shard, request);
    if (record == NULL) {
        return;
    }
    if (record->answer != NULL) {
        shard_send_answer(shard, &request->reply_to, record->answer);
        return;
    }
    counter_add(kCounterJobsCancelled, 1);
    add_waiter(record, &request->reply_to);
    jobs_apply(record, &(job_event_t){.type = kJobEventCancel});
}
