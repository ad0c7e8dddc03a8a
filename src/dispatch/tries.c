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
    kPumpAgainMs = 5,
    kBackoffFirstMs = 2,
    kBackoffMaxMs = 200,
    kBackoffDoublings = 7, ///< then the pause is the longest
    kMeanWeight = 16
};

/// One request to a target.
struct task_try {
    job_record_t *record;
    uint32_t task;
    target_t *target;
    int64_t expected_ns; ///< run time that was expected; 0 for unknown
    int64_t started_ns;
    http_request_t *request;
    char url[kUrlBytes];
    char lease_header[kHeaderBytes];
    char try_header[kTryHeaderBytes]; ///< comes back with the answer
    char job_header[kJobIdTextBytes + 16];
};

/// What a reply means for the job and for the target.
typedef struct {
    job_event_type_t event;
    error_kind_t kind;
    target_outcome_t sign;
} judgement_t;

/// Judges a reply. "Not run" needs proof: nothing sent, or the target's own
/// refusal before the start.
static judgement_t
judge(const http_reply_t *reply)
{
    if (reply->end == kHttpOutcomeNotSent) {
        return (judgement_t){kJobEventTryNotRun, kErrorKindTargetRefused,
                             kOutcomeUnreachable};
    }
    if (reply->end == kHttpOutcomeUnknown) {
        return (judgement_t){kJobEventTryFailed, kErrorKindTargetLost,
                             kOutcomeFailed};
    }
    if (reply->status == 200) {
        return (judgement_t){kJobEventTryDone, kErrorKindOk, kOutcomeDone};
    }
    if (reply->status == 503 && reply->has_not_run_header) {
        return (judgement_t){kJobEventTryNotRun, kErrorKindTargetRefused,
                             reply->has_leaving_header ? kOutcomeLeaving
                                                       : kOutcomeRefused};
    }
    return (judgement_t){kJobEventTryFailed, kErrorKindTargetFailed,
                         kOutcomeFailed};
}

static void
count_judgement(job_event_type_t event)
{
    static const counter_t counters[kJobEventCount] = {
        [kJobEventTryDone] = kCounterTriesDone,
        [kJobEventTryNotRun] = kCounterTriesNotRun,
        [kJobEventTryFailed] = kCounterTriesUnknown};
    counter_add(counters[event], 1);
}

/// Gives the target back, with what was learned.
static void
release_target(const try_t *attempt, target_outcome_t sign, int64_t now_ns)
{
    shard_t *shard = attempt->record->shard;
    rcu_read_lock();
    const view_t *view = rcu_dereference(shard->dispatch->view);
    target_release(attempt->target, view->targets, sign,
                   target_time_ratio_log2_milli(now_ns - attempt->started_ns,
                                                attempt->expected_ns),
                   now_ns);
    rcu_read_unlock();
    atomic_fetch_sub_explicit(&shard->started_count, 1, memory_order_relaxed);
}

/// Learns from a try that was done.
static void
learn_service(shard_t *shard, const try_t *attempt, int64_t service_ns)
{
    const char *kind = attempt->record->document.tasks[attempt->task].kind;
    estimate_update(
        &shard->estimate, kind, service_ns,
        target_time_ratio_log2_milli(service_ns, attempt->expected_ns),
        target_slowness_log2_milli(attempt->target));
    shard->service_ns =
        shard->service_ns == 0
            ? service_ns
            : shard->service_ns +
                  (service_ns - shard->service_ns) / kMeanWeight;
}

/// @return whether a task that did not run may be tried again. A target that
/// is full or leaving is no failure: the task waits on, to its deadline.
static bool
may_retry(const job_record_t *record, uint32_t task,
          const judgement_t *judgement)
{
    return judgement->sign == kOutcomeRefused ||
           judgement->sign == kOutcomeLeaving ||
           record->job.tasks[task].try_count <=
               record->shard->dispatch->settings->retry_limit;
}

/// A connection went silent. What lost track of it may have lost the other
/// idle ones too: none of them is used until it has idled too long anyway.
static void
distrust_idle(shard_t *shard, int64_t now_ns)
{
    int64_t trust_ns =
        (int64_t)shard->dispatch->settings->idle_trust_ms * kNsPerMs;
    atomic_store(&shard->dispatch->fresh_until_ns, now_ns + trust_ns);
}

/// Lets the shards whose tasks wait take turns at freed slots, so that the
/// jobs of one shard do not keep all slots once they have them.
static void
offer_slot(shard_t *shard)
{
    dispatch_t *dispatch = shard->dispatch;
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        shard_t *other =
            &dispatch->shards[shard->next_pump++ % dispatch->shard_count];
        if (other == shard) {
            break;
        }
        if (atomic_load(&other->waiting_count) > 0) {
            if (!atomic_exchange(&other->is_pump_posted, true)) {
                loop_post(other->loop, &other->pump_mail);
            }
            return;
        }
    }
    tries_pump(shard);
}

static void
on_reply(void *owner, const http_reply_t *reply)
{
    try_t *attempt = owner;
    job_record_t *record = attempt->record;
    shard_t *shard = record->shard;
    int64_t now_ns = clock_now_ns();
    judgement_t judgement = judge(reply);
    count_judgement(judgement.event);
    if (reply->is_response_timeout) {
        distrust_idle(shard, now_ns);
    }
    if (reply->has_leaving_header) {
        target_mark_leaving(attempt->target, now_ns);
    }
    if (reply->has_load) {
        target_update_load(attempt->target, reply->load_busy, now_ns);
    }
    if (judgement.event == kJobEventTryDone) {
        learn_service(shard, attempt, now_ns - attempt->started_ns);
        bytes_t *result = &record->results[attempt->task];
        result->size_bytes = reply->body.size_bytes;
        result->data = (uint8_t *)arena_copy(record->arena, reply->body.data,
                                             reply->body.size_bytes);
    }
    release_target(attempt, judgement.sign, now_ns);
    record->tries[attempt->task] = NULL;
    job_event_t event = {.type = judgement.event,
                         .task = attempt->task,
                         .kind = judgement.kind,
                         .may_retry =
                             may_retry(record, attempt->task, &judgement)};
    free(attempt);
    jobs_apply(record, &event);
    offer_slot(shard);
}

/// Fills in the request of a try.
static void
write_request(try_t *attempt, int64_t lease_ns)
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

/// Sends a waiting task to a target whose slot was taken.
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
    write_request(attempt, lease_ns);
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
                            atomic_load(&shard->dispatch->fresh_until_ns),
                        .on_done = on_reply,
                        .owner = attempt};
    counter_add(kCounterTriesStarted, 1);
    if (record->job.tasks[task].try_count == 1) {
        retry_budget_earn(&shard->retries);
    }
    atomic_fetch_add_explicit(&shard->started_count, 1, memory_order_relaxed);
    record->tries[task] = attempt;
    attempt->request = http_client_start(shard->http, &spec);
}

/// Starts tasks of one class as long as a slot is free. Under RCU.
static void
pump_class(shard_t *shard, task_class_t *group, const view_t *view,
           int64_t now_ns)
{
    job_part_t *part;
    while ((part = task_class_first_part(group)) != NULL) {
        job_record_t *record = part->job;
        uint32_t task = part->tasks[part->first];
        const task_document_t *document = &record->document.tasks[task];
        bool is_planned = estimate_is_trusted(&shard->estimate);
        route_query_t query = {
            .needs = part->needs,
            .expected_ns = estimate_run_time_ns(
                &shard->estimate, document->kind, document->expected_ms),
            .slack_ns = is_planned ? record->best_end_ns - now_ns : 0,
            .now_ns = now_ns};
        target_t *target = route_reserve(shard->dispatch->settings->routing,
                                         view->targets, &query, &shard->rng);
        if (target == NULL) {
            return;
        }
        task_queue_take(shard->waiting, part);
        start_try(record, task, target, query.expected_ns);
    }
}

void
tries_pump(shard_t *shard)
{
    if (task_queue_length(shard->waiting) == 0) {
        return;
    }
    int64_t now_ns = clock_now_ns();
    rcu_read_lock();
    const view_t *view = rcu_dereference(shard->dispatch->view);
    for (task_class_t *group = task_queue_first_class(shard->waiting);
         group != NULL; group = task_class_next(group)) {
        pump_class(shard, group, view, now_ns);
    }
    rcu_read_unlock();
    task_queue_free_empty_classes(shard->waiting);
    uint32_t left_count = task_queue_length(shard->waiting);
    atomic_store(&shard->waiting_count, left_count);
    if (left_count > 0) {
        loop_timer_set(shard->loop, &shard->pump_timer,
                       now_ns + (int64_t)kPumpAgainMs * kNsPerMs);
    }
    else {
        loop_timer_clear(shard->loop, &shard->pump_timer);
    }
}

void
tries_pump_again(loop_timer_t *timer)
{
    tries_pump(timer->owner);
}

void
tries_pump_by_mail(loop_callback_t *callback)
{
    shard_t *shard = caa_container_of(callback, shard_t, pump_mail);
    atomic_store(&shard->is_pump_posted, false);
    tries_pump(shard);
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

/// A task that waits for the time of its next try.
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
        task_queue_requeue_task(record->shard->waiting,
                                jobs_find_part(record, backoff->task),
                                backoff->task);
        tries_pump(record->shard);
    }
    free(backoff);
}

/// @return pause before the next try: none before the second, then doubled
/// each time, with jitter; the longest where the retry budget is empty
static int64_t
pause_ns(shard_t *shard, uint32_t try_count)
{
    bool is_affordable = retry_budget_take(&shard->retries);
    if (is_affordable && try_count <= 1) {
        return 0;
    }
    uint32_t top_ms = kBackoffMaxMs;
    if (!is_affordable) {
        counter_add(kCounterRetryBudgetEmpty, 1);
    }
    else if (try_count - 2 < kBackoffDoublings) {
        top_ms = (uint32_t)kBackoffFirstMs << (try_count - 2);
    }
    return (int64_t)(top_ms / 2 + rng_below(&shard->rng, top_ms)) * kNsPerMs;
}

void
tries_requeue(job_record_t *record, uint32_t task)
{
    shard_t *shard = record->shard;
    int64_t wait_ns = pause_ns(shard, record->job.tasks[task].try_count);
    if (wait_ns == 0) {
        task_queue_requeue_task(shard->waiting, jobs_find_part(record, task),
                                task);
        return;
    }
    backoff_t *backoff = malloc(sizeof *backoff);
    *backoff = (backoff_t){.record = record, .task = task};
    loop_timer_init(&backoff->timer, end_backoff, backoff);
    record->backoff_count++;
    loop_timer_set(shard->loop, &backoff->timer, clock_now_ns() + wait_ns);
}
