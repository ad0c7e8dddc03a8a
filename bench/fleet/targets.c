/// Targets: run tasks for their time, and report ends through list calls.
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "memory.h"

enum {
    kSampleMs = 50, ///< between samples of the cores in use
    kSamplesPerSecond = 1000 / kSampleMs,
    kCallUs = 500 ///< time of a call or its reply
};

typedef struct {
    event_t head;
    owner_t *owner;
    target_t *target;
    start_call_t call;
    reply_kind_t kind;
} start_event_t;

typedef struct {
    event_t head;
    owner_t *owner;
    target_t *target;
    stop_call_t call;
} stop_event_t;

typedef struct {
    event_t head;
    owner_t *owner;
    target_t *target;
    list_call_t call;
} list_event_t;

typedef struct {
    event_t head;
    target_t *target;
    run_name_t name;
} end_event_t;

/// @return the index of an active run, or active_count
static uint32_t
find_run(const target_t *target, const run_name_t *name)
{
    uint32_t i = 0;
    for (; i < target->active_count; i++) {
        const run_name_t *other = &target->active[i].name;
        if (other->step == name->step && other->index == name->index &&
            other->attempt == name->attempt &&
            strcmp(other->job, name->job) == 0) {
            break;
        }
    }
    return i;
}

static void
deliver_list(fleet_t *fleet, event_t *event)
{
    list_event_t *reply = (list_event_t *)event;
    const target_t *target = reply->target;
    if (reply->owner->is_dead) {
        return;
    }
    listed_run_t running[kRunLimit];
    for (uint32_t i = 0; i < target->active_count; i++) {
        running[i] = (listed_run_t){.name = target->active[i].name};
    }
    // The pool may call the target while it reads the reply.
    listed_run_t *ended =
        memory_get_zeroed(target->ended_count + 1, sizeof *ended);
    for (uint32_t i = 0; i < target->ended_count; i++) {
        ended[i] = target->ended[i];
    }
    list_reply_t list = {
        .kind = kReplyDone,
        .clock_ms =
            (uint64_t)((fleet->clock.now_ns - target->zero_ns) / 1000000),
        .born_ms = target->info.born_ms,
        .running = running,
        .running_count = target->active_count,
        .ended = ended,
        .ended_count = target->ended_count};
    pool_handle_list_reply(reply->owner->pool, reply->call.pool_target, &list,
                           fleet->clock.now_ns);
    reply->owner->is_dirty = true;
    free(ended);
}

static void
answer_list(fleet_t *fleet, target_t *target)
{
    const list_event_t *call = (list_event_t *)target->waiting;
    target->waiting = NULL;
    list_event_t *reply =
        clock_add(&fleet->clock, US(kCallUs), deliver_list, sizeof *reply);
    reply->owner = call->owner;
    reply->target = target;
    reply->call = call->call;
}

static void
end_list_wait(fleet_t *fleet, event_t *event)
{
    target_t *target = ((list_event_t *)event)->target;
    if (target->waiting == event) {
        answer_list(fleet, target);
    }
}

static void
end_run(fleet_t *fleet, target_t *target, uint32_t at, run_end_t how)
{
    const target_run_t *run = &target->active[at];
    double core_s = run->cpu_mcores / 1000.0 *
                    (double)(fleet->clock.now_ns - run->started_ns) / 1e9;
    *(how == kRunEndDone ? &fleet->use.useful_core_s
                         : &fleet->use.wasted_core_s) += core_s;
    target->ended = memory_resize(target->ended, (target->ended_count + 1) *
                                                     sizeof(listed_run_t));
    target->ended[target->ended_count++] = (listed_run_t){
        .name = run->name, .end_number = ++target->end_number, .how = how};
    target->active[at] = target->active[--target->active_count];
    if (target->waiting != NULL) {
        answer_list(fleet, target);
    }
}

void
target_stop_all(fleet_t *fleet, target_t *target)
{
    while (target->active_count > 0) {
        end_run(fleet, target, 0, kRunEndStopped);
    }
}

static void
finish_run(fleet_t *fleet, event_t *event)
{
    end_event_t *end = (end_event_t *)event;
    uint32_t at = find_run(end->target, &end->name);
    if (at < end->target->active_count) {
        end_run(fleet, end->target, at, kRunEndDone);
    }
}

static void
deliver_start_reply(fleet_t *fleet, event_t *event)
{
    start_event_t *start = (start_event_t *)event;
    if (!start->owner->is_dead) {
        call_reply_t reply = {.kind = start->kind};
        pool_handle_start_reply(start->owner->pool, start->call.run, &reply,
                                fleet->clock.now_ns);
        start->owner->is_dirty = true;
    }
}

static uint32_t
sum_used_mcores(const target_t *target)
{
    uint32_t used = 0;
    for (uint32_t i = 0; i < target->active_count; i++) {
        used += target->active[i].cpu_mcores;
    }
    return used;
}

static void
handle_start(fleet_t *fleet, event_t *event)
{
    start_event_t *start = (start_event_t *)event;
    target_t *target = start->target;
    const run_name_t *name = &start->call.name;
    const job_t *job = &fleet->jobs[strtoul(name->job, NULL, 16)];
    start_event_t *reply = clock_add(&fleet->clock, US(kCallUs),
                                     deliver_start_reply, sizeof *reply);
    reply->owner = start->owner;
    reply->call = start->call;
    reply->kind = kReplyDone;
    if (target->active_count == kRunLimit ||
        sum_used_mcores(target) + job->cpu_mcores > target->info.cpu_mcores) {
        reply->kind = kReplyNoCapacity;
        return;
    }
    target->active[target->active_count++] =
        (target_run_t){.name = *name,
                       .cpu_mcores = job->cpu_mcores,
                       .started_ns = fleet->clock.now_ns};
    int64_t took_ns =
        (int64_t)((double)job->work_ns[name->index] / target->speed);
    end_event_t *end =
        clock_add(&fleet->clock, took_ns, finish_run, sizeof *end);
    end->target = target;
    end->name = *name;
}

static void
deliver_stop_reply(fleet_t *fleet, event_t *event)
{
    stop_event_t *stop = (stop_event_t *)event;
    if (!stop->owner->is_dead) {
        call_reply_t reply = {.kind = kReplyDone};
        pool_handle_stop_reply(stop->owner->pool, stop->call.run, &reply,
                               fleet->clock.now_ns);
        stop->owner->is_dirty = true;
    }
}

static void
handle_stop(fleet_t *fleet, event_t *event)
{
    stop_event_t *stop = (stop_event_t *)event;
    uint32_t at = find_run(stop->target, &stop->call.name);
    if (at < stop->target->active_count) {
        end_run(fleet, stop->target, at, kRunEndStopped);
    }
    if (stop->call.run != NULL) {
        stop_event_t *reply = clock_add(&fleet->clock, US(kCallUs),
                                        deliver_stop_reply, sizeof *reply);
        reply->owner = stop->owner;
        reply->call = stop->call;
    }
}

static void
handle_list(fleet_t *fleet, event_t *event)
{
    list_event_t *list = (list_event_t *)event;
    target_t *target = list->target;
    uint32_t kept = 0;
    for (uint32_t i = 0; i < target->ended_count; i++) {
        if (target->ended[i].end_number > list->call.acked) {
            target->ended[kept++] = target->ended[i];
        }
    }
    target->ended_count = kept;
    list_event_t *wait = clock_add(&fleet->clock, MS(list->call.wait_ms),
                                   end_list_wait, sizeof *wait);
    wait->owner = list->owner;
    wait->target = target;
    wait->call = list->call;
    target->waiting = &wait->head;
    if (kept > 0 || list->call.wait_ms == 0) {
        answer_list(fleet, target);
    }
}

static target_t *
find_target(const fleet_t *fleet, const pool_target_info_t *info)
{
    return &fleet->targets[strtoul(info->id + 1, NULL, 10)];
}

void
target_send_start(void *owner, const start_call_t *call)
{
    owner_t *sender = owner;
    start_event_t *event = clock_add(&sender->fleet->clock, US(kCallUs),
                                     handle_start, sizeof *event);
    event->owner = sender;
    event->target = find_target(sender->fleet, call->target);
    event->call = *call;
}

void
target_send_stop(void *owner, const stop_call_t *call)
{
    owner_t *sender = owner;
    stop_event_t *event = clock_add(&sender->fleet->clock, US(kCallUs),
                                    handle_stop, sizeof *event);
    event->owner = sender;
    event->target = find_target(sender->fleet, call->target);
    event->call = *call;
}

void
target_send_list(void *owner, const list_call_t *call)
{
    owner_t *sender = owner;
    list_event_t *event = clock_add(&sender->fleet->clock, US(kCallUs),
                                    handle_list, sizeof *event);
    event->owner = sender;
    event->target = find_target(sender->fleet, call->target);
    event->call = *call;
}

static void
sample_use(fleet_t *fleet, event_t *event)
{
    (void)event;
    use_t *use = &fleet->use;
    uint64_t used_mcores = 0;
    for (uint32_t i = 0; i < fleet->target_count; i++) {
        used_mcores += sum_used_mcores(&fleet->targets[i]);
    }
    double share = (double)used_mcores / 1000.0 / fleet->cores;
    use->second += share;
    use->total += share;
    use->mean = use->total / ++use->samples;
    if (use->samples % kSamplesPerSecond == 0) {
        double mean = use->second / kSamplesPerSecond;
        use->peak = mean > use->peak ? mean : use->peak;
        use->second = 0;
    }
    if (fleet->clock.now_ns < fleet->start_ns + MS(1000) * kRunSeconds) {
        clock_add(&fleet->clock, MS(kSampleMs), sample_use, sizeof(event_t));
    }
}

void
target_begin_samples(fleet_t *fleet)
{
    clock_add(&fleet->clock, 0, sample_use, sizeof(event_t));
}
