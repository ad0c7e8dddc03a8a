#include "support/sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    kTripNs = 500000,
    kMsNs = 1000000,
    kLeaseMs = 1000,
    kCores = 32000,
    kTaskCores = 14000
};

typedef enum { kCallStart, kCallStop, kCallList } call_type_t;

/// Something that happens at a time.
struct world_event {
    world_event_t *next;
    int64_t at_ns;
    void (*run)(world_t *world, world_event_t *event);
    void (*call)(world_t *world);
    call_type_t type;
    uint32_t pool;
    uint32_t target;
    uint64_t born_ms;
    start_call_t start;
    stop_call_t stop;
    list_call_t list;
    char payload[64];
    int64_t deadline_ns;
    reply_kind_t kind;
    bool is_answered; ///< the caller has its answer, or none
    bool is_waiting;
    list_reply_t lists;
    listed_run_t *running;
    listed_run_t *ended;
};

static world_event_t *
add_event(world_t *world, int64_t at_ns,
          void (*run)(world_t *world, world_event_t *event))
{
    world_event_t *event = calloc(1, sizeof *event);
    event->at_ns = at_ns;
    event->run = run;
    world_event_t **at = &world->events;
    while (*at != NULL && (*at)->at_ns <= at_ns) {
        at = &(*at)->next;
    }
    event->next = *at;
    *at = event;
    return event;
}

static void
move_event(world_t *world, world_event_t *event, int64_t at_ns,
           void (*run)(world_t *world, world_event_t *event))
{
    event->at_ns = at_ns;
    event->run = run;
    world_event_t **at = &world->events;
    while (*at != NULL && (*at)->at_ns <= at_ns) {
        at = &(*at)->next;
    }
    event->next = *at;
    *at = event;
}

static uint64_t
clock_ms(const world_t *world, const world_target_t *target)
{
    return (uint64_t)((world->now_ns - target->clock_start_ns) / kMsNs);
}

static bool
names_equal(const run_name_t *left, const run_name_t *right)
{
    return left->step == right->step && left->index == right->index &&
           strcmp(left->job, right->job) == 0;
}

/// Ends a run and answers the lists that wait for one.
static void end_run(world_t *world, world_target_t *target, uint32_t at,
                    run_end_t how);

static void answer_list(world_t *world, world_event_t *event);

static void
wake_lists(world_t *world, world_target_t *target)
{
    for (uint32_t i = 0; i < kWorldPools; i++) {
        world_event_t *waiting = target->waiting[i];
        if (waiting != NULL) {
            target->waiting[i] = NULL;
            waiting->is_waiting = false;
            answer_list(world, waiting);
        }
    }
}

static void
end_run(world_t *world, world_target_t *target, uint32_t at, run_end_t how)
{
    listed_run_t end = {.name = target->runs[at].name,
                        .number = ++target->end_number,
                        .how = how};
    target->runs[at] = target->runs[--target->run_count];
    target->ended[target->ended_count++ % 4096] = end;
    wake_lists(world, target);
}

/// Ends what is due on a target at the present time.
static void
settle_target(world_t *world, world_target_t *target)
{
    for (uint32_t i = 0; i < target->run_count;) {
        world_run_t *run = &target->runs[i];
        if (run->end_ns <= world->now_ns && run->end_ns <= target->lease_ns) {
            end_run(world, target, i,
                    run->will_fail ? kRunEndFailed : kRunEndDone);
        }
        else if (target->lease_ns <= world->now_ns) {
            end_run(world, target, i, kRunEndLapsed);
        }
        else {
            i++;
        }
    }
}

static void
extend(world_t *world, world_target_t *target, uint64_t until_ms)
{
    int64_t until_ns = target->clock_start_ns + (int64_t)until_ms * kMsNs;
    int64_t most_ns = world->now_ns + (int64_t)kLeaseMs * kMsNs;
    until_ns = until_ns > most_ns ? most_ns : until_ns;
    target->lease_ns =
        until_ns > target->lease_ns ? until_ns : target->lease_ns;
}

static uint64_t
used_mcores(const world_target_t *target)
{
    return (uint64_t)target->run_count * kTaskCores;
}

/// @return whether a task is at work on another target that is up
static bool
runs_elsewhere(world_t *world, const world_target_t *target,
               const run_name_t *name)
{
    for (uint32_t i = 0; i < world->target_count; i++) {
        world_target_t *other = &world->targets[i];
        for (uint32_t j = 0; other != target && j < other->run_count; j++) {
            if (names_equal(&other->runs[j].name, name) &&
                other->lease_ns > world->now_ns) {
                return true;
            }
        }
    }
    return false;
}

static bool
was_there(const world_target_t *target, const run_name_t *name)
{
    uint32_t count = target->ended_count < 4096 ? target->ended_count : 4096;
    for (uint32_t i = 0; i < count; i++) {
        if (names_equal(&target->ended[i].name, name) &&
            target->ended[i].name.number >= name->number) {
            return true;
        }
    }
    return false;
}

static reply_kind_t
take_start(world_t *world, world_target_t *target, const start_call_t *call)
{
    if (call->lease_until_ms <= clock_ms(world, target)) {
        return kReplyLeaseExpired;
    }
    for (uint32_t i = 0; i < target->run_count; i++) {
        if (names_equal(&target->runs[i].name, &call->name)) {
            return kReplyDone;
        }
    }
    if (target->is_shedding) {
        world->tally.shed++;
        return kReplyUnhealthy;
    }
    if (was_there(target, &call->name)) {
        return kReplyStale;
    }
    extend(world, target, call->lease_until_ms);
    if (used_mcores(target) + kTaskCores > target->info.cpu_mcores) {
        world->tally.overloads++;
        return kReplyNoCapacity;
    }
    world->tally.starts++;
    world->tally.doubles += runs_elsewhere(world, target, &call->name);
    int64_t work_ns =
        world->work_ns(world, &call->name) * 1000 / target->speed_permille;
    work_ns = target->is_failing ? kMsNs : work_ns;
    target->runs[target->run_count++] = (world_run_t){
        .name = call->name,
        .end_ns = target->is_stuck ? INT64_MAX : world->now_ns + work_ns,
        .will_fail = target->is_failing};
    return kReplyDone;
}

static reply_kind_t
take_stop(world_t *world, world_target_t *target, const stop_call_t *call)
{
    for (uint32_t i = 0; i < target->run_count; i++) {
        if (names_equal(&target->runs[i].name, &call->name) &&
            target->runs[i].name.number <= call->name.number) {
            end_run(world, target, i, kRunEndStopped);
            return kReplyDone;
        }
    }
    // A start that comes later is rejected.
    target->ended[target->ended_count++ % 4096] =
        (listed_run_t){.name = call->name,
                       .number = ++target->end_number,
                       .how = kRunEndStopped};
    return kReplyDone;
}

/// Fills in what a list shows.
static void
fill_list(world_t *world, world_event_t *event)
{
    world_target_t *target = &world->targets[event->target];
    event->running = calloc(kWorldRuns, sizeof *event->running);
    event->ended = calloc(4096, sizeof *event->ended);
    for (uint32_t i = 0; i < target->run_count; i++) {
        event->running[i] = (listed_run_t){.name = target->runs[i].name};
    }
    uint32_t count = 0;
    uint32_t kept = target->ended_count < 4096 ? target->ended_count : 4096;
    uint32_t first = target->ended_count - kept;
    for (uint32_t i = 0; i < kept; i++) {
        const listed_run_t *end = &target->ended[(first + i) % 4096];
        if (end->number > target->acked) {
            event->ended[count++] = *end;
        }
    }
    event->lists = (list_reply_t){.kind = event->kind,
                                  .clock_ms = clock_ms(world, target),
                                  .born_ms = target->info.born_ms,
                                  .running = event->running,
                                  .running_count = target->run_count,
                                  .ended = event->ended,
                                  .ended_count = count};
}

/// Hands an answer to the pool.
static void
deliver(world_t *world, world_event_t *event)
{
    pool_t *pool = world->pools[event->pool];
    call_reply_t reply = {.kind = event->kind};
    if (world->owners[event->pool].is_frozen) {
        move_event(world, event, world->now_ns + 100LL * kMsNs, deliver);
        return;
    }
    if (event->type == kCallStart) {
        pool_handle_start_reply(pool, event->start.run, &reply, world->now_ns);
    }
    else if (event->type == kCallStop && event->stop.run != NULL) {
        pool_handle_stop_reply(pool, event->stop.run, &reply, world->now_ns);
    }
    else if (event->type == kCallList) {
        event->lists.kind = event->kind;
        pool_handle_list_reply(pool, event->list.list, &event->lists,
                               world->now_ns);
    }
    free(event->running);
    free(event->ended);
    free(event);
}

static void
answer_list(world_t *world, world_event_t *event)
{
    fill_list(world, event);
    move_event(world, event, world->now_ns + kTripNs + world->list_delay_ns,
               deliver);
}

/// A list has waited long enough.
static void
end_wait(world_t *world, world_event_t *event)
{
    for (uint32_t i = 0; i < world->target_count; i++) {
        for (uint32_t j = 0; j < kWorldPools; j++) {
            world_event_t *waiting = world->targets[i].waiting[j];
            if (waiting != NULL &&
                waiting->list.deadline_ns == event->list.deadline_ns &&
                i == event->target && j == event->pool) {
                world->targets[i].waiting[j] = NULL;
                answer_list(world, waiting);
            }
        }
    }
    free(event);
}

/// A list reaches its target: it is answered now, or waits for an end.
static bool
take_list(world_t *world, world_target_t *target, world_event_t *event)
{
    const list_call_t *call = &event->list;
    if (call->acked > target->acked) {
        target->acked = call->acked;
    }
    if (call->lease_until_ms != 0) {
        extend(world, target, call->lease_until_ms);
    }
    fill_list(world, event);
    bool has_ends = event->lists.ended_count > 0;
    free(event->running);
    free(event->ended);
    event->running = NULL;
    event->ended = NULL;
    if (call->wait_ms == 0 || has_ends) {
        return true;
    }
    target->waiting[event->pool] = event;
    world_event_t *timeout = add_event(
        world, world->now_ns + (int64_t)call->wait_ms * kMsNs, end_wait);
    timeout->target = event->target;
    timeout->pool = event->pool;
    timeout->list = event->list;
    return false;
}

/// Carries a call out at its target.
///
/// @return whether it has its answer
static bool
carry_out(world_t *world, world_event_t *event)
{
    world_target_t *target = &world->targets[event->target];
    uint64_t token = event->type == kCallStart  ? event->start.token
                     : event->type == kCallStop ? event->stop.token
                                                : event->list.token;
    settle_target(world, target);
    if (token < target->token) {
        event->kind = kReplyFenced;
        return true;
    }
    target->token = token;
    event->kind = kReplyDone;
    if (event->type == kCallStart) {
        event->kind = take_start(world, target, &event->start);
    }
    else if (event->type == kCallStop) {
        event->kind = take_stop(world, target, &event->stop);
    }
    else {
        return take_list(world, target, event);
    }
    return true;
}

/// A call that is carried out long after its caller gave up, by the life of
/// the target that took it.
static void
arrive_late(world_t *world, world_event_t *event)
{
    const world_target_t *target = &world->targets[event->target];
    if (event->type != kCallList && !target->is_dark &&
        target->info.born_ms == event->born_ms) {
        carry_out(world, event);
    }
    free(event);
}

static void
give_up(world_t *world, world_event_t *event)
{
    event->kind = kReplyUnanswered;
    deliver(world, event);
}

static void
arrive(world_t *world, world_event_t *event)
{
    world_target_t *target = &world->targets[event->target];
    uint32_t luck = rng_below(&world->rng, 1000);
    if (target->is_dark) {
        move_event(world, event, event->deadline_ns, give_up);
        return;
    }
    if (luck < world->odds.late_permille) {
        world_event_t *late = add_event(
            world,
            world->now_ns + (2000LL + rng_below(&world->rng, 10000)) * kMsNs,
            arrive_late);
        world_event_t *next = late->next;
        int64_t at_ns = late->at_ns;
        *late = *event;
        late->next = next;
        late->at_ns = at_ns;
        late->run = arrive_late;
        late->born_ms = target->info.born_ms;
        move_event(world, event, event->deadline_ns, give_up);
        return;
    }
    bool is_lost =
        luck < world->odds.late_permille + world->odds.lost_permille;
    if (is_lost && event->type == kCallList) {
        move_event(world, event, event->deadline_ns, give_up);
        return;
    }
    if (!carry_out(world, event)) {
        return;
    }
    if (is_lost) {
        move_event(world, event, event->deadline_ns, give_up);
    }
    else if (event->type == kCallList) {
        answer_list(world, event);
    }
    else {
        move_event(world, event, world->now_ns + kTripNs, deliver);
    }
}

static uint32_t
find_target(const world_t *world, const pool_target_info_t *info)
{
    uint32_t at = 0;
    while (strcmp(world->targets[at].info.id, info->id) != 0) {
        at++;
    }
    return at;
}

static world_event_t *
add_call(void *owner, call_type_t type, const pool_target_info_t *target,
         int64_t deadline_ns)
{
    struct world_owner *from = owner;
    world_event_t *event =
        add_event(from->world, from->world->now_ns + kTripNs, arrive);
    event->type = type;
    event->pool = from->number;
    event->target = find_target(from->world, target);
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
    struct world_owner *from = owner;
    from->world->tally.counts[settled->outcome]++;
    if (from->world->on_settled != NULL) {
        from->world->on_settled(from->world, from->number, settled);
    }
}

static void
ignore_fenced(void *owner, const pool_target_info_t *target)
{
    (void)owner;
    (void)target;
}

static void
ignore_note(void *owner, const char *event, const char *job, const char *text)
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
                               .note = ignore_note};

void
world_init(world_t *world, uint32_t target_count, uint64_t seed)
{
    const pool_limits_t limits = {.lease_ms = kLeaseMs,
                                  .remote_permille = 1500};
    *world =
        (world_t){.now_ns = 1000LL * 1000 * kMsNs,
                  .rng = {.state = seed},
                  .target_count = target_count,
                  .targets = calloc(target_count, sizeof(world_target_t))};
    for (uint32_t i = 0; i < kWorldPools; i++) {
        world->owners[i] = (struct world_owner){.world = world, .number = i};
        world->pools[i] = pool_create(&limits, &ops, &world->owners[i]);
    }
    for (uint32_t i = 0; i < target_count; i++) {
        world_target_t *target = &world->targets[i];
        *target = (world_target_t){
            .info = {.service = "s",
                     .dc = "d",
                     .born_ms = 1000 + i,
                     .cpu_mcores = kCores,
                     .memory_mb = 65536},
            .speed_permille = 1000,
            .clock_start_ns = world->now_ns -
                              (int64_t)rng_below(&world->rng, 100000) * kMsNs};
        snprintf(target->info.id, sizeof target->info.id, "t%u", i);
    }
}

void
world_clear(world_t *world)
{
    while (world->events != NULL) {
        world_event_t *event = world->events;
        world->events = event->next;
        free(event->running);
        free(event->ended);
        free(event);
    }
    for (uint32_t i = 0; i < world->target_count; i++) {
        for (uint32_t j = 0; j < kWorldPools; j++) {
            free(world->targets[i].waiting[j]);
        }
    }
    for (uint32_t i = 0; i < kWorldPools; i++) {
        pool_destroy(world->pools[i]);
    }
    free(world->targets);
}

void
world_own(world_t *world, uint32_t pool, uint64_t token)
{
    for (uint32_t i = 0; i < world->target_count; i++) {
        pool_put_target(world->pools[pool], &world->targets[i].info, token,
                        world->now_ns);
    }
}

static void
run_call(world_t *world, world_event_t *event)
{
    event->call(world);
    free(event);
}

void
world_at(world_t *world, int64_t at_ns, void (*call)(world_t *world))
{
    add_event(world, at_ns, run_call)->call = call;
}

/// @return when something is due next, no later than `end_ns`
static int64_t
next_ns(world_t *world, const int64_t *due_ns, int64_t end_ns)
{
    int64_t next = end_ns;
    if (world->events != NULL && world->events->at_ns < next) {
        next = world->events->at_ns;
    }
    for (uint32_t i = 0; i < kWorldPools; i++) {
        if (due_ns[i] < next && !world->owners[i].is_frozen) {
            next = due_ns[i];
        }
    }
    for (uint32_t i = 0; i < world->target_count; i++) {
        const world_target_t *target = &world->targets[i];
        for (uint32_t j = 0; j < target->run_count; j++) {
            int64_t end = target->runs[j].end_ns < target->lease_ns
                              ? target->runs[j].end_ns
                              : target->lease_ns;
            next = end < next ? end : next;
        }
    }
    return next > world->now_ns ? next : world->now_ns;
}

void
world_run_until(world_t *world, int64_t end_ns)
{
    int64_t due_ns[kWorldPools] = {0};
    for (;;) {
        for (uint32_t i = 0; i < kWorldPools; i++) {
            due_ns[i] = world->owners[i].is_frozen
                            ? INT64_MAX
                            : pool_advance(world->pools[i], world->now_ns);
        }
        int64_t next = next_ns(world, due_ns, end_ns);
        world->now_ns = next;
        if (next >= end_ns) {
            return;
        }
        for (uint32_t i = 0; i < world->target_count; i++) {
            settle_target(world, &world->targets[i]);
        }
        while (world->events != NULL &&
               world->events->at_ns <= world->now_ns) {
            world_event_t *event = world->events;
            world->events = event->next;
            event->run(world, event);
        }
    }
}

void
world_hand_in(world_t *world, uint32_t pool, const order_t *order)
{
    pool_submit_order(world->pools[pool], order, 1,
                      strtoull(order->job, NULL, 16), world->now_ns);
}

void
world_order(world_t *world, uint32_t pool, const char *job,
            uint32_t task_count, uint32_t estimate_ms, uint32_t priority)
{
    order_step_t step = {.task_count = task_count,
                         .cpu_mcores = kTaskCores,
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
    world_hand_in(world, pool, &order);
}

void
world_restart(world_t *world, uint32_t target)
{
    world_target_t *again = &world->targets[target];
    again->run_count = 0;
    again->ended_count = 0;
    again->end_number = 0;
    again->acked = 0;
    again->token = 0;
    again->lease_ns = 0;
    again->clock_start_ns = world->now_ns;
    again->info.born_ms += 100000;
    wake_lists(world, again);
}
