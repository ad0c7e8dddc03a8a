#include "dispatch/tries.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "base/counters.h"
#include "route/route.h"
#include "runtime/clock.h"

enum {
    kUrlBytes = kTargetUrlBytes + kJobIdTextBytes + 32,
    kHeaderBytes = 48,
    kTryHeaderBytes = kJobIdTextBytes + 48,
    kStartRetryMs = 5, ///< interval of attempts to start waiting tasks
    kInitialBackoffMs = 2,
    kMaxBackoffMs = 200,
    kDoublingBackoffs = 7,   ///< later ones take kMaxBackoffMs
    kMeanServiceSamples = 16 ///< a new run time has a weight of 1/16
};

/// One request that asks a target to run a task.
struct task_try {
    job_record_t *record;
    uint32_t task;
    target_t *target;
    int64_t expected_ns; ///< expected run time; 0 for unknown
    int64_t started_ns;
    http_request_t *request;
    char url[kUrlBytes];
    char lease_header[kHeaderBytes];
    char try_header[kTryHeaderBytes]; ///< the target echoes it in its answer
    char job_header[kJobIdTextBytes + 16];
};

/// The outcome of a try, for the job and for the target.
typedef struct {
    job_event_type_t event;
    error_kind_t kind;
    target_outcome_t target_outcome;
} try_outcome_t;

/// Classifies a reply. A task counts as not run only with proof: no byte of
/// the request was sent, or the target answered that it refused the task
/// before its start.
static try_outcome_t
classify_reply(const http_reply_t *reply)
{
    if (reply->outcome == kHttpOutcomeNotSent) {
        return (try_outcome_t){kJobEventTryNotRun, kErrorKindTargetRefused,
                               kOutcomeUnreachable};
    }
    if (reply->outcome == kHttpOutcomeUnknown) {
        return (try_outcome_t){kJobEventTryFailed, kErrorKindTargetLost,
                               kOutcomeFailed};
    }
    if (reply->status == 200) {
        return (try_outcome_t){kJobEventTryDone, kErrorKindOk, kOutcomeDone};
    }
    if (reply->status == 503 && reply->has_not_run_header) {
        return (try_outcome_t){kJobEventTryNotRun, kErrorKindTargetRefused,
                               reply->has_leaving_header ? kOutcomeLeaving
                                                         : kOutcomeRefused};
    }
    return (try_outcome_t){kJobEventTryFailed, kErrorKindTargetFailed,
                           kOutcomeFailed};
}

static void
count_outcome(job_event_type_t event)
{
    static const counter_t counters[kJobEventCount] = {
        [kJobEventTryDone] = kCounterTriesDone,
        [kJobEventTryNotRun] = kCounterTriesNotRun,
        [kJobEventTryFailed] = kCounterTriesUnknown};
    counter_add(counters[event], 1);
}

/// Releases the slot of a try and records the outcome in its target.
static void
release_target(const try_t *attempt, target_outcome_t outcome, int64_t now_ns)
{
    shard_t *shard = attempt->record->shard;
    rcu_read_lock();
    const view_t *view = rcu_dereference(shard->dispatch->view);
    target_release(attempt->target, view->targets, outcome,
                   target_time_ratio_log2_milli(now_ns - attempt->started_ns,
                                                attempt->expected_ns),
                   now_ns);
    rcu_read_unlock();
    atomic_fetch_sub_explicit(&shard->started_count, 1, memory_order_relaxed);
}

/// Updates the run time estimates with the run time of a completed try.
static void
update_estimates(shard_t *shard, const try_t *attempt, int64_t service_ns)
{
    const char *kind = attempt->record->document.tasks[attempt->task].kind;
    estimate_update(
        &shard->estimate, kind, service_ns,
        target_time_ratio_log2_milli(service_ns, attempt->expected_ns),
        target_slowness_log2_milli(attempt->target));
    shard->mean_service_ns =
        shard->mean_service_ns == 0
            ? service_ns
            : shard->mean_service_ns +
                  (service_ns - shard->mean_service_ns) / kMeanServiceSamples;
}

/// @return whether a task that did not run may be tried again. A target that
/// refuses because it is full or leaving has not failed, so the task is
/// retried until the job's deadline. retry_limit applies only to targets that
/// could not be reached.
static bool
may_retry(const job_record_t *record, uint32_t task,
          const try_outcome_t *outcome)
{
    return outcome->target_outcome == kOutcomeRefused ||
           outcome->target_outcome == kOutcomeLeaving ||
           record->job.tasks[task].try_count <=
               record->shard->dispatch->settings->retry_limit;
}

/// Stops the reuse of idle connections for idle_trust_ms. Called after a
/// response timeout: a device on the path that dropped the connection's state,
/// such as a NAT gateway, may have dropped that of other idle connections too.
/// After idle_trust_ms, connections that are idle now are too old to be
/// reused.
static void
stop_idle_reuse(shard_t *shard, int64_t now_ns)
{
    int64_t trust_ns =
        (int64_t)shard->dispatch->settings->idle_trust_ms * kNsPerMs;
    atomic_store(&shard->dispatch->no_reuse_until_ns, now_ns + trust_ns);
}

/// Offers a freed slot to the shards that have waiting tasks, in round-robin
/// order. Without this, the jobs of one shard could keep every slot that they
/// obtained once.
static void
offer_freed_slot(shard_t *shard)
{
    dispatch_t *dispatch = shard->dispatch;
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        shard_t *other =
            &dispatch
                 ->shards[shard->next_offer_shard++ % dispatch->shard_count];
        if (other == shard) {
            break;
        }
        if (atomic_load(&other->waiting_count) > 0) {
            if (!atomic_exchange(&other->is_free_slot_posted, true)) {
                loop_post(other->loop, &other->free_slot_callback);
            }
            return;
        }
    }
    tries_start_waiting(shard);
}

static void
on_reply(void *owner, const http_reply_t *reply)
{
    try_t *attempt = owner;
    job_record_t *record = attempt->record;
    shard_t *shard = record->shard;
    int64_t now_ns = clock_now_ns();
    try_outcome_t outcome = classify_reply(reply);
    count_outcome(outcome.event);
    if (reply->is_response_timeout) {
        stop_idle_reuse(shard, now_ns);
    }
    if (reply->has_leaving_header) {
        target_mark_leaving(attempt->target, now_ns);
    }
    if (reply->has_load) {
        target_update_load(attempt->target, reply->load_busy, now_ns);
    }
    if (outcome.event == kJobEventTryDone) {
        update_estimates(shard, attempt, now_ns - attempt->started_ns);
        bytes_t *result = &record->results[attempt->task];
        result->size_bytes = reply->body.size_bytes;
        result->data = (uint8_t *)arena_copy(record->arena, reply->body.data,
                                             reply->body.size_bytes);
    }
    release_target(attempt, outcome.target_outcome, now_ns);
    record->tries[attempt->task] = NULL;
    job_event_t event = {.type = outcome.event,
                         .task = attempt->task,
                         .kind = outcome.kind,
                         .may_retry =
                             may_retry(record, attempt->task, &outcome)};
    free(attempt);
    jobs_apply(record, &event);
    offer_freed_slot(shard);
}

/// Formats the URL and the headers of a try.
static void
format_request(try_t *attempt, int64_t lease_ns)
{
    job_record_t *record = attempt->record;
    apr_snprintf(attempt->url, sizeof attempt->url, "%s/v1/tasks/%s.%u",
                 attempt->target->base_url, record->id_text, attempt->task);
    apr_snprintf(attempt->lease_header, sizeof attempt->lease_header,
                 "Jt-Lease-Ms: %u", clock_left_ms(lease_ns));
    apr_snprintf(attempt->try_header, sizeof attempt->try_header,
                 "Jt-Try: %s.%u.%u", record->id_text, attempt->task,
                 record->job.tasks[attempt->task].try_count);
    apr_snprintf(attempt->job_header, sizeof attempt->job_header, "Jt-Job: %s",
                 record->id_text);
}

/// Starts a task on a target where a slot is reserved for it.
static void
start_try(job_record_t *record, uint32_t task, target_t *target,
          int64_t expected_ns)
{
    shard_t *shard = record->shard;
    const dispatch_settings_t *settings = shard->dispatch->settings;
    const task_document_t *document = &record->document.tasks[task];
    jobs_apply(record,
               &(job_event_t){.type = kJobEventTaskStart, .task = task});
    int64_t lease_ns = clock_deadline_ns(settings->lease_limit_ms);
    if (record->job.deadline_ns < lease_ns) {
        lease_ns = record->job.deadline_ns;
    }
    try_t *attempt = malloc(sizeof *attempt);
    *attempt = (try_t){.record = record,
                       .task = task,
                       .target = target,
                       .expected_ns = expected_ns,
                       .started_ns = clock_now_ns()};
    format_request(attempt, lease_ns);
    const char *headers[] = {attempt->lease_header,
                             attempt->try_header,
                             attempt->job_header,
                             "Content-Type: application/octet-stream",
                             "Expect:",
                             "Accept:",
                             NULL};
    http_spec_t spec = {.method = "POST",
                        .url = attempt->url,
                        .headers = headers,
                        .body = document->payload,
                        .required_header = attempt->try_header,
                        .deadline_ns = lease_ns,
                        .connect_limit_ms = settings->connect_limit_ms,
                        .idle_trust_ms = settings->idle_trust_ms,
                        .needs_new_connection =
                            attempt->started_ns <
                            atomic_load(&shard->dispatch->no_reuse_until_ns),
                        .on_done = on_reply,
                        .owner = attempt};
    counter_add(kCounterTriesStarted, 1);
    if (record->job.tasks[task].try_count == 1) {
        retry_budget_deposit(&shard->retry_budget);
    }
    atomic_fetch_add_explicit(&shard->started_count, 1, memory_order_relaxed);
    record->tries[task] = attempt;
    attempt->request = http_client_start(shard->http, &spec);
}

/// Starts tasks of one class while targets have free slots for them. Called
/// under RCU.
static void
start_class(shard_t *shard, task_class_t *task_class, const view_t *view,
            int64_t now_ns)
{
    job_part_t *part;
    while ((part = task_class_first_part(task_class)) != NULL) {
        job_record_t *record = part->job;
        uint32_t task = part->tasks[part->first];
        const task_document_t *document = &record->document.tasks[task];
        bool is_estimate_trusted = estimate_is_trusted(&shard->estimate);
        route_query_t query = {
            .needs = part->needs,
            .expected_ns = estimate_run_time_ns(
                &shard->estimate, document->kind, document->expected_ms),
            .slack_ns =
                is_estimate_trusted ? record->earliest_end_ns - now_ns : 0,
            .now_ns = now_ns};
        target_t *target = route_reserve(shard->dispatch->settings->routing,
                                         view->targets, &query, &shard->rng);
        if (target == NULL) {
            return;
        }
        task_queue_take(shard->task_queue, part);
        start_try(record, task, target, query.expected_ns);
    }
}

/// Ends the jobs with waiting tasks: the own data centre is evacuated, and no
/// dispatcher of another one may start a task of this one's ids.
static void
end_waiting_jobs(shard_t *shard)
{
    for (task_class_t *task_class = task_queue_first_class(shard->task_queue);
         task_class != NULL; task_class = task_class_next(task_class)) {
        job_part_t *part;
        while ((part = task_class_first_part(task_class)) != NULL) {
            jobs_apply(part->job, &(job_event_t){.type = kJobEventEvacuated});
        }
    }
}

void
tries_start_waiting(shard_t *shard)
{
    if (task_queue_length(shard->task_queue) == 0) {
        return;
    }
    int64_t now_ns = clock_now_ns();
    rcu_read_lock();
    const view_t *view = rcu_dereference(shard->dispatch->view);
    bool is_evacuated = view->is_evacuated;
    for (task_class_t *task_class = task_queue_first_class(shard->task_queue);
         task_class != NULL && !is_evacuated;
         task_class = task_class_next(task_class)) {
        start_class(shard, task_class, view, now_ns);
    }
    rcu_read_unlock();
    if (is_evacuated) {
        end_waiting_jobs(shard);
    }
    task_queue_free_empty_classes(shard->task_queue);
    uint32_t waiting_count = task_queue_length(shard->task_queue);
    atomic_store(&shard->waiting_count, waiting_count);
    if (waiting_count > 0) {
        loop_timer_set(shard->loop, &shard->waiting_timer,
                       now_ns + (int64_t)kStartRetryMs * kNsPerMs);
    }
    else {
        loop_timer_clear(shard->loop, &shard->waiting_timer);
    }
}

void
tries_on_waiting_timer(loop_timer_t *timer)
{
    tries_start_waiting(timer->owner);
}

void
tries_on_free_slot(loop_callback_t *callback)
{
    shard_t *shard = caa_container_of(callback, shard_t, free_slot_callback);
    atomic_store(&shard->is_free_slot_posted, false);
    tries_start_waiting(shard);
}

void
tries_stop(job_record_t *record)
{
    shard_t *shard = record->shard;
    int64_t now_ns = clock_now_ns();
    for (uint32_t i = 0; i < record->job.task_count; i++) {
        try_t *attempt = record->tries[i];
        if (attempt == NULL) {
            continue;
        }
        http_client_abort(shard->http, attempt->request);
        release_target(attempt, kOutcomeAborted, now_ns);
        record->tries[i] = NULL;
        free(attempt);
    }
}

/// A task in backoff: it is queued again when the timer expires.
typedef struct {
    loop_timer_t timer;
    job_record_t *record;
    uint32_t task;
} backoff_t;

static void
end_backoff(loop_timer_t *timer)
{
    backoff_t *backoff = timer->owner;
    job_record_t *record = backoff->record;
    record->backoff_count--;
    if (!job_has_ended(&record->job) &&
        record->job.tasks[backoff->task].state == kTaskStateWaiting) {
        task_queue_requeue_task(record->shard->task_queue,
                                jobs_find_part(record, backoff->task),
                                backoff->task);
        tries_start_waiting(record->shard);
    }
    free(backoff);
}

/// Withdraws one retry from the budget and chooses the backoff before it.
///
/// @return 0 for the first retry; for further ones a time that doubles with
///         each, with jitter; the longest time if the budget is empty
static int64_t
choose_backoff_ns(shard_t *shard, uint32_t try_count)
{
    bool has_budget = retry_budget_withdraw(&shard->retry_budget);
    if (has_budget && try_count <= 1) {
        return 0;
    }
    uint32_t base_ms = kMaxBackoffMs;
    if (!has_budget) {
        counter_add(kCounterRetryBudgetEmpty, 1);
    }
    else if (try_count - 2 < kDoublingBackoffs) {
        base_ms = (uint32_t)kInitialBackoffMs << (try_count - 2);
    }
    return (int64_t)(base_ms / 2 + rng_below(&shard->rng, base_ms)) * kNsPerMs;
}

void
tries_requeue(job_record_t *record, uint32_t task)
{
    shard_t *shard = record->shard;
    int64_t backoff_ns =
        choose_backoff_ns(shard, record->job.tasks[task].try_count);
    if (backoff_ns == 0) {
        task_queue_requeue_task(shard->task_queue,
                                jobs_find_part(record, task), task);
        return;
    }
    backoff_t *backoff = malloc(sizeof *backoff);
    *backoff = (backoff_t){.record = record, .task = task};
    loop_timer_init(&backoff->timer, end_backoff, backoff);
    record->backoff_count++;
    loop_timer_set(shard->loop, &backoff->timer, clock_now_ns() + backoff_ns);
}
