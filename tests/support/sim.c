#include "support/sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    kLatencyNs = 500000,
    kNsPerMs = 1000000,
    kLeaseMs = 1000,
    kOrphanMs = 1200,
    kCrashDelayMs = 5, ///< from the start of a deadly task to the crash
    kTargetMcores = 32000,
    kTaskMcores = 14000
};

typedef enum { kCallStart, kCallStop, kCallList } call_kind_t;

/// An event at a time of the virtual clock.
struct sim_event {
    sim_event_t *next;
    int64_t at_ns;
    void (*run)(sim_t *sim, sim_event_t *event);
    void (*call)(sim_t *sim);
    call_kind_t type;
    uint32_t pool;
    uint32_t target;
    uint64_t born_ms;
    start_call_t start;
    stop_call_t stop;
    list_call_t list;
    char payload[64];
    int64_t deadline_ns;
    reply_kind_t kind;
    bool is_answered;
    bool is_waiting;
    bool is_broken_off;
    list_reply_t list_reply;
    listed_run_t *running;
    listed_run_t *ended;
};

static sim_event_t *
add_event(sim_t *sim, int64_t at_ns,
          void (*run)(sim_t *sim, sim_event_t *event))
{
    sim_event_t *event = calloc(1, sizeof *event);
    event->at_ns = at_ns;
    event->run = run;
    sim_event_t **at = &sim->events;
    while (*at != NULL && (*at)->at_ns <= at_ns) {
        at = &(*at)->next;
    }
    event->next = *at;
    *at = event;
    return event;
}

static void
reschedule_event(sim_t *sim, sim_event_t *event, int64_t at_ns,
                 void (*run)(sim_t *sim, sim_event_t *event))
{
    event->at_ns = at_ns;
    event->run = run;
    sim_event_t **at = &sim->events;
    while (*at != NULL && (*at)->at_ns <= at_ns) {
        at = &(*at)->next;
    }
    event->next = *at;
    *at = event;
}

static uint64_t
clock_ms(const sim_t *sim, const sim_target_t *target)
{
    return (uint64_t)((sim->now_ns - target->clock_zero_ns) / kNsPerMs);
}

static bool
same_task(const run_name_t *left, const run_name_t *right)
{
    return left->step == right->step && left->index == right->index &&
           strcmp(left->job, right->job) == 0;
}

static void time_out(sim_t *sim, sim_event_t *event);

/// Ends a run and answers the list calls that wait for an end.
static void end_run(sim_t *sim, sim_target_t *target, uint32_t at,
                    run_end_t how);

static void send_list_reply(sim_t *sim, sim_event_t *event);

static void
answer_waiting_lists(sim_t *sim, sim_target_t *target)
{
    for (uint32_t i = 0; i < kSimPoolCount; i++) {
        sim_event_t *waiting = target->waiting[i];
        if (waiting != NULL) {
            target->waiting[i] = NULL;
            waiting->is_waiting = false;
            send_list_reply(sim, waiting);
        }
    }
}

static void
end_run(sim_t *sim, sim_target_t *target, uint32_t at, run_end_t how)
{
    sim->counts.lapsed += how == kRunEndLapsed;
    listed_run_t end = {.name = target->runs[at].name,
                        .end_number = ++target->end_number,
                        .how = how};
    target->runs[at] = target->runs[--target->run_count];
    target->ended[target->ended_count++ % 4096] = end;
    answer_waiting_lists(sim, target);
}

/// Ends the runs of a target that are due at the current time.
static void
end_due_runs(sim_t *sim, sim_target_t *target)
{
    for (uint32_t i = 0; i < target->run_count;) {
        sim_run_t *run = &target->runs[i];
        if (run->end_ns <= sim->now_ns && run->end_ns <= target->lease_ns) {
            end_run(sim, target, i,
                    run->will_fail ? kRunEndFailed : kRunEndDone);
        }
        else if (target->lease_ns <= sim->now_ns) {
            end_run(sim, target, i, kRunEndLapsed);
        }
        else {
            i++;
        }
    }
}

static void
extend_lease(sim_t *sim, sim_target_t *target, uint64_t until_ms)
{
    int64_t until_ns = target->clock_zero_ns + (int64_t)until_ms * kNsPerMs;
    int64_t limit_ns = sim->now_ns + (int64_t)kLeaseMs * kNsPerMs;
    until_ns = until_ns > limit_ns ? limit_ns : until_ns;
    target->lease_ns =
        until_ns > target->lease_ns ? until_ns : target->lease_ns;
}

static uint64_t
used_mcores(const sim_target_t *target)
{
    return (uint64_t)target->run_count * kTaskMcores;
}

/// @return whether a task runs on another target whose lease is valid
static bool
runs_elsewhere(sim_t *sim, const sim_target_t *target, const run_name_t *name)
{
    for (uint32_t i = 0; i < sim->target_count; i++) {
        sim_target_t *other = &sim->targets[i];
        for (uint32_t j = 0; other != target && j < other->run_count; j++) {
            if (same_task(&other->runs[j].name, name) &&
                other->lease_ns > sim->now_ns) {
                return true;
            }
        }
    }
    return false;
}

static bool
had_attempt(const sim_target_t *target, const run_name_t *name)
{
    uint32_t count = target->ended_count < 4096 ? target->ended_count : 4096;
    for (uint32_t i = 0; i < count; i++) {
        if (same_task(&target->ended[i].name, name) &&
            target->ended[i].name.attempt >= name->attempt) {
            return true;
        }
    }
    return false;
}

static void
end_crash(sim_t *sim, sim_event_t *event)
{
    sim->targets[event->target].is_unreachable = false;
    sim_restart_target(sim, event->target);
    free(event);
}

/// Crashes a target: its runs are gone, and calls get no reply until it has
/// restarted.
static void
begin_crash(sim_t *sim, sim_event_t *event)
{
    sim_target_t *target = &sim->targets[event->target];
    uint32_t number = event->target;
    free(event);
    if (target->is_unreachable) {
        return;
    }
    sim->counts.crashes++;
    for (uint32_t i = 0; i < target->run_count; i++) {
        sim->counts.killed += !sim->is_deadly(&target->runs[i].name);
    }
    target->is_unreachable = true;
    target->run_count = 0;
    for (uint32_t i = 0; i < kSimPoolCount; i++) {
        if (target->waiting[i] != NULL) {
            target->waiting[i]->is_broken_off = true;
            reschedule_event(sim, target->waiting[i], sim->now_ns, time_out);
            target->waiting[i] = NULL;
        }
    }
    add_event(sim, sim->now_ns + sim->crash_down_ns, end_crash)->target =
        number;
}

static reply_kind_t
handle_start(sim_t *sim, sim_target_t *target, const start_call_t *call)
{
    if (call->lease_until_ms <= clock_ms(sim, target)) {
        return kReplyLeaseExpired;
    }
    for (uint32_t i = 0; i < target->run_count; i++) {
        if (same_task(&target->runs[i].name, &call->name)) {
            return kReplyDone;
        }
    }
    if (target->rejects_starts) {
        sim->counts.rejected_starts++;
        return kReplyUnhealthy;
    }
    if (had_attempt(target, &call->name)) {
        return kReplyStale;
    }
    extend_lease(sim, target, call->lease_until_ms);
    if (used_mcores(target) + kTaskMcores > target->info.cpu_mcores) {
        sim->counts.over_capacity++;
        return kReplyNoCapacity;
    }
    if (sim->is_deadly != NULL && sim->is_deadly(&call->name)) {
        add_event(sim, sim->now_ns + (int64_t)kCrashDelayMs * kNsPerMs,
                  begin_crash)
            ->target = (uint32_t)(target - sim->targets);
    }
    sim->counts.starts++;
    sim->counts.duplicate_runs += runs_elsewhere(sim, target, &call->name);
    int64_t work_ns =
        sim->work_ns(sim, &call->name) * 1000 / target->speed_permille;
    work_ns = target->is_failing ? kNsPerMs : work_ns;
    target->runs[target->run_count++] = (sim_run_t){
        .name = call->name,
        .end_ns = target->is_hung ? INT64_MAX : sim->now_ns + work_ns,
        .will_fail = target->is_failing};
    return kReplyDone;
}

static reply_kind_t
handle_stop(sim_t *sim, sim_target_t *target, const stop_call_t *call)
{
    for (uint32_t i = 0; i < target->run_count; i++) {
        if (same_task(&target->runs[i].name, &call->name) &&
            target->runs[i].name.attempt <= call->name.attempt) {
            end_run(sim, target, i, kRunEndStopped);
            return kReplyDone;
        }
    }
    // Recorded as ended, so that a start that arrives later is rejected.
    target->ended[target->ended_count++ % 4096] =
        (listed_run_t){.name = call->name,
                       .end_number = ++target->end_number,
                       .how = kRunEndStopped};
    return kReplyDone;
}

/// Builds the reply to a list call.
static void
fill_list_reply(sim_t *sim, sim_event_t *event)
{
    sim_target_t *target = &sim->targets[event->target];
    event->running = calloc(kSimRunLimit, sizeof *event->running);
    event->ended = calloc(4096, sizeof *event->ended);
    for (uint32_t i = 0; i < target->run_count; i++) {
        event->running[i] = (listed_run_t){.name = target->runs[i].name};
    }
    uint32_t count = 0;
    uint32_t kept = target->ended_count < 4096 ? target->ended_count : 4096;
    uint32_t first = target->ended_count - kept;
    for (uint32_t i = 0; i < kept; i++) {
        const listed_run_t *end = &target->ended[(first + i) % 4096];
        if (end->end_number > target->acked) {
            event->ended[count++] = *end;
        }
    }
    event->list_reply = (list_reply_t){.kind = event->kind,
                                       .clock_ms = clock_ms(sim, target),
                                       .born_ms = target->info.born_ms,
                                       .running = event->running,
                                       .running_count = target->run_count,
                                       .ended = event->ended,
                                       .ended_count = count};
}

/// Passes a reply to the pool, or retries later while its owner is frozen.
static void
deliver_reply(sim_t *sim, sim_event_t *event)
{
    pool_t *pool = sim->pools[event->pool];
    call_reply_t reply = {.kind = event->kind,
                          .is_broken_off = event->is_broken_off};
    if (sim->owners[event->pool].is_frozen) {
        reschedule_event(sim, event, sim->now_ns + 100LL * kNsPerMs,
                         deliver_reply);
        return;
    }
    if (event->type == kCallStart) {
        pool_handle_start_reply(pool, event->start.run, &reply, sim->now_ns);
    }
    else if (event->type == kCallStop) {
        pool_handle_stop_reply(pool, event->stop.run, &reply, sim->now_ns);
    }
    else if (event->type == kCallList) {
        event->list_reply.kind = event->kind;
        event->list_reply.is_broken_off = event->is_broken_off;
        pool_handle_list_reply(pool, event->list.pool_target,
                               &event->list_reply, sim->now_ns);
    }
    free(event->running);
    free(event->ended);
    free(event);
}

static void
send_list_reply(sim_t *sim, sim_event_t *event)
{
    fill_list_reply(sim, event);
    reschedule_event(sim, event,
                     sim->now_ns + kLatencyNs + sim->list_reply_delay_ns,
                     deliver_reply);
}

/// Answers a list call whose wait is over.
static void
end_list_wait(sim_t *sim, sim_event_t *event)
{
    for (uint32_t i = 0; i < sim->target_count; i++) {
        for (uint32_t j = 0; j < kSimPoolCount; j++) {
            sim_event_t *waiting = sim->targets[i].waiting[j];
            if (waiting != NULL &&
                waiting->list.deadline_ns == event->list.deadline_ns &&
                i == event->target && j == event->pool) {
                sim->targets[i].waiting[j] = NULL;
                send_list_reply(sim, waiting);
            }
        }
    }
    free(event);
}

/// Handles a list call at its target.
///
/// @return whether it can be answered now; it waits for an end otherwise
static bool
handle_list(sim_t *sim, sim_target_t *target, sim_event_t *event)
{
    const list_call_t *call = &event->list;
    if (call->acked > target->acked) {
        target->acked = call->acked;
    }
    if (call->lease_until_ms != 0) {
        extend_lease(sim, target, call->lease_until_ms);
    }
    fill_list_reply(sim, event);
    bool has_ends = event->list_reply.ended_count > 0;
    free(event->running);
    free(event->ended);
    event->running = NULL;
    event->ended = NULL;
    if (call->wait_ms == 0 || has_ends) {
        return true;
    }
    target->waiting[event->pool] = event;
    sim_event_t *timeout = add_event(
        sim, sim->now_ns + (int64_t)call->wait_ms * kNsPerMs, end_list_wait);
    timeout->target = event->target;
    timeout->pool = event->pool;
    timeout->list = event->list;
    return false;
}

/// Executes a call at its target.
///
/// @return whether it can be answered now
static bool
execute_call(sim_t *sim, sim_event_t *event)
{
    sim_target_t *target = &sim->targets[event->target];
    uint64_t token = event->type == kCallStart  ? event->start.token
                     : event->type == kCallStop ? event->stop.token
                                                : event->list.token;
    end_due_runs(sim, target);
    if (token < target->token) {
        event->kind = kReplyFenced;
        return true;
    }
    target->token = token;
    event->kind = kReplyDone;
    if (event->type == kCallStart) {
        event->kind = handle_start(sim, target, &event->start);
    }
    else if (event->type == kCallStop) {
        event->kind = handle_stop(sim, target, &event->stop);
    }
    else {
        return handle_list(sim, target, event);
    }
    return true;
}

/// Executes a call long after its deadline, if the incarnation of the target
/// that received it still exists.
static void
execute_late(sim_t *sim, sim_event_t *event)
{
    const sim_target_t *target = &sim->targets[event->target];
    if (event->type != kCallList && !target->is_unreachable &&
        target->info.born_ms == event->born_ms) {
        execute_call(sim, event);
    }
    free(event);
}

static void
time_out(sim_t *sim, sim_event_t *event)
{
    event->kind = kReplyUnanswered;
    deliver_reply(sim, event);
}

/// @return the share of calls like this one that are carried out late
static uint32_t
late_permille(const sim_t *sim, const sim_event_t *event)
{
    return sim->fault_rates.late_permille +
           (event->type == kCallStop ? sim->fault_rates.late_stop_permille
                                     : 0);
}

/// @return the share of calls like this one whose reply is lost
static uint32_t
lost_permille(const sim_t *sim, const sim_event_t *event)
{
    return sim->fault_rates.lost_permille +
           (event->type == kCallList ? sim->fault_rates.lost_list_permille
                                     : 0);
}

static void
deliver_call(sim_t *sim, sim_event_t *event)
{
    sim_target_t *target = &sim->targets[event->target];
    uint32_t draw = rng_below(&sim->rng, 1000);
    if (target->is_unreachable) {
        reschedule_event(sim, event, event->deadline_ns, time_out);
        return;
    }
    if (draw < late_permille(sim, event)) {
        sim_event_t *late = add_event(
            sim,
            sim->now_ns + (2000LL + rng_below(&sim->rng, 10000)) * kNsPerMs,
            execute_late);
        sim_event_t *next = late->next;
        int64_t at_ns = late->at_ns;
        *late = *event;
        late->next = next;
        late->at_ns = at_ns;
        late->run = execute_late;
        late->born_ms = target->info.born_ms;
        reschedule_event(sim, event, event->deadline_ns, time_out);
        return;
    }
    bool is_lost =
        draw < late_permille(sim, event) + lost_permille(sim, event);
    if (is_lost && event->type == kCallList) {
        reschedule_event(sim, event, event->deadline_ns, time_out);
        return;
    }
    if (!execute_call(sim, event)) {
        return;
    }
    if (is_lost) {
        reschedule_event(sim, event, event->deadline_ns, time_out);
    }
    else if (event->type == kCallList) {
        send_list_reply(sim, event);
    }
    else {
        reschedule_event(sim, event, sim->now_ns + kLatencyNs, deliver_reply);
    }
}

static uint32_t
find_target(const sim_t *sim, const pool_target_info_t *info)
{
    uint32_t at = 0;
    while (strcmp(sim->targets[at].info.id, info->id) != 0) {
        at++;
    }
    return at;
}

static sim_event_t *
add_call(void *owner, call_kind_t type, const pool_target_info_t *target,
         int64_t deadline_ns)
{
    struct sim_owner *sender = owner;
    sim_event_t *event =
        add_event(sender->sim, sender->sim->now_ns + kLatencyNs, deliver_call);
    event->type = type;
    event->pool = sender->number;
    event->target = find_target(sender->sim, target);
    event->deadline_ns = deadline_ns;
    return event;
}

static void
send_start(void *owner, const start_call_t *call)
{
    add_call(owner, kCallStart, call->target, call->deadline_ns)->start =
        *call;
}

static void
send_stop(void *owner, const stop_call_t *call)
{
    add_call(owner, kCallStop, call->target, call->deadline_ns)->stop = *call;
}

static void
send_list(void *owner, const list_call_t *call)
{
    add_call(owner, kCallList, call->target, call->deadline_ns)->list = *call;
}

static void
settle(void *owner, const pool_order_result_t *settled)
{
    struct sim_owner *sender = owner;
    sender->sim->counts.outcomes[settled->outcome]++;
    if (sender->sim->on_settled != NULL) {
        sender->sim->on_settled(sender->sim, sender->number, settled);
    }
}

static void
ignore_fenced(void *owner, const pool_target_info_t *target)
{
    (void)owner;
    (void)target;
}

static void
ignore_log(void *owner, const char *event, const char *job, const char *text)
{
    (void)owner;
    (void)event;
    (void)job;
    (void)text;
}

static const pool_ops_t ops = {.start = send_start,
                               .stop = send_stop,
                               .list = send_list,
                               .settle = settle,
                               .fenced = ignore_fenced,
                               .log = ignore_log};

void
sim_init(sim_t *sim, uint32_t target_count, uint64_t seed)
{
    const pool_limits_t limits = {
        .lease_ms = kLeaseMs, .orphan_ms = kOrphanMs, .remote_permille = 1500};
    *sim = (sim_t){.now_ns = 1000LL * 1000 * kNsPerMs,
                   .rng = {.state = seed},
                   .target_count = target_count,
                   .targets = calloc(target_count, sizeof(sim_target_t))};
    for (uint32_t i = 0; i < kSimPoolCount; i++) {
        sim->owners[i] = (struct sim_owner){.sim = sim, .number = i};
        sim->pools[i] = pool_create(&limits, &ops, &sim->owners[i]);
    }
    for (uint32_t i = 0; i < target_count; i++) {
        sim_target_t *target = &sim->targets[i];
        *target = (sim_target_t){
            .info = {.service = "s",
                     .dc = "d",
                     .born_ms = 1000 + i,
                     .cpu_mcores = kTargetMcores,
                     .memory_mb = 65536},
            .speed_permille = 1000,
            .clock_zero_ns = sim->now_ns -
                             (int64_t)rng_below(&sim->rng, 100000) * kNsPerMs};
        snprintf(target->info.id, sizeof target->info.id, "t%u", i);
    }
}

void
sim_clear(sim_t *sim)
{
    while (sim->events != NULL) {
        sim_event_t *event = sim->events;
        sim->events = event->next;
        free(event->running);
        free(event->ended);
        free(event);
    }
    for (uint32_t i = 0; i < sim->target_count; i++) {
        for (uint32_t j = 0; j < kSimPoolCount; j++) {
            free(sim->targets[i].waiting[j]);
        }
    }
    for (uint32_t i = 0; i < kSimPoolCount; i++) {
        pool_destroy(sim->pools[i]);
    }
    free(sim->targets);
}

void
sim_assign_targets(sim_t *sim, uint32_t pool, uint64_t token)
{
    for (uint32_t i = 0; i < sim->target_count; i++) {
        pool_put_target(sim->pools[pool], &sim->targets[i].info, token,
                        sim->now_ns);
    }
}

static void
run_scheduled(sim_t *sim, sim_event_t *event)
{
    event->call(sim);
    free(event);
}

void
sim_schedule(sim_t *sim, int64_t at_ns, void (*call)(sim_t *sim))
{
    add_event(sim, at_ns, run_scheduled)->call = call;
}

/// @return the time of the next event, at most `end_ns`
static int64_t
next_ns(sim_t *sim, const int64_t *due_ns, int64_t end_ns)
{
    int64_t next = end_ns;
    if (sim->events != NULL && sim->events->at_ns < next) {
        next = sim->events->at_ns;
    }
    for (uint32_t i = 0; i < kSimPoolCount; i++) {
        if (due_ns[i] < next && !sim->owners[i].is_frozen) {
            next = due_ns[i];
        }
    }
    for (uint32_t i = 0; i < sim->target_count; i++) {
        const sim_target_t *target = &sim->targets[i];
        for (uint32_t j = 0; j < target->run_count; j++) {
            int64_t end = target->runs[j].end_ns < target->lease_ns
                              ? target->runs[j].end_ns
                              : target->lease_ns;
            next = end < next ? end : next;
        }
    }
    return next > sim->now_ns ? next : sim->now_ns;
}

void
sim_run_until(sim_t *sim, int64_t end_ns)
{
    int64_t due_ns[kSimPoolCount] = {0};
    for (;;) {
        for (uint32_t i = 0; i < kSimPoolCount; i++) {
            due_ns[i] = sim->owners[i].is_frozen
                            ? INT64_MAX
                            : pool_advance(sim->pools[i], sim->now_ns);
        }
        int64_t next = next_ns(sim, due_ns, end_ns);
        sim->now_ns = next;
        if (next >= end_ns) {
            return;
        }
        for (uint32_t i = 0; i < sim->target_count; i++) {
            end_due_runs(sim, &sim->targets[i]);
        }
        while (sim->events != NULL && sim->events->at_ns <= sim->now_ns) {
            sim_event_t *event = sim->events;
            sim->events = event->next;
            event->run(sim, event);
        }
    }
}

void
sim_submit(sim_t *sim, uint32_t pool, const order_t *order)
{
    pool_submit_order(sim->pools[pool], order, 1,
                      strtoull(order->job, NULL, 16), sim->now_ns);
}

void
sim_submit_equal(sim_t *sim, uint32_t pool, const char *job,
                 uint32_t task_count, uint32_t estimate_ms, uint32_t priority)
{
    order_step_t step = {.task_count = task_count,
                         .cpu_mcores = kTaskMcores,
                         .memory_mb = 64,
                         .estimate_ms = estimate_ms,
                         .constraint = "",
                         .data_rack = ""};
    order_t order = {.job = job,
                     .service = "s",
                     .queue = "q",
                     .payload = "p",
                     .priority = priority,
                     .attempt_limit = 3,
                     .slo_ms = 60,
                     .stretch_permille = 1600,
                     .left_ms = 3000,
                     .steps = &step,
                     .steps_count = 1};
    sim_submit(sim, pool, &order);
}

/// Lets the pools that have a target read its record.
static void
publish_record(sim_t *sim, sim_event_t *event)
{
    const pool_target_info_t *info = &sim->targets[event->target].info;
    for (uint32_t i = 0; i < kSimPoolCount; i++) {
        uint64_t token = pool_read_target_token(sim->pools[i], info->id);
        if (token != 0) {
            pool_put_target(sim->pools[i], info, token, sim->now_ns);
        }
    }
    free(event);
}

void
sim_restart_target(sim_t *sim, uint32_t target)
{
    sim_target_t *restarted = &sim->targets[target];
    restarted->run_count = 0;
    restarted->ended_count = 0;
    restarted->end_number = 0;
    restarted->acked = 0;
    restarted->token = 0;
    restarted->lease_ns = 0;
    restarted->clock_zero_ns = sim->now_ns;
    restarted->info.born_ms += 100000;
    add_event(sim, sim->now_ns + sim->record_delay_ns, publish_record)
        ->target = target;
    answer_waiting_lists(sim, restarted);
}
