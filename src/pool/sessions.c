/// The session with one target: its clock, its lease, the lists of its runs,
/// and how far it is trusted.
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "pool/state.h"

enum {
    kWaitSharePercent =
        30,               ///< of the lease that a list waits for an end; the
                          ///< news of an end is that late when a list is lost
    kListSlackMs = 150,   ///< for the answer, beyond the wait
    kDoubtWaitMs = 50,    ///< as above, while answers are lost
    kDoubtSlackMs = 20,   ///< as above, while answers are lost
    kDoubtTrips = 4,      ///< usual times to an answer in that slack
    kNewSlackMs = 350,    ///< for the answer of a target that is not known
    kMuteCalls = 2,       ///< calls in a row without an answer
    kStrangerLookMs = 25, ///< between two lists while runs of others stop
    kLastAckMs = 60,      ///< from the last end to the list that notes it
    kMuteRepeatMs = 300,  ///< between two looks at a mute target
    kMuteRepeatLimitMs = 2000,
    kClockDriftPercent = 3, ///< clocks of targets may be 2% off
    kLapseSlackMs = 20,     ///< for the start of what came just in time
    kLearnWeight = 8,       ///< one part in so many of a new slowness counts
    kLeastSlownessPermille = 50,
    kStallFactor = 3, ///< times the expected run time that a run may take
    kStallSlackMs = 150,
    kMoveLimit = 4,     ///< moves of one task
    kEjectFailures = 2, ///< failed orders in a row
    kEjectMs = 1500,
    kEjectLimitMs = 12000,
};

uint64_t
session_lease_until_ms(const pool_target_t *target,
                       const pool_limits_t *limits, int64_t now_ns)
{
    int64_t since_ns = now_ns - target->clock_ns;
    return target->clock_ms + (uint64_t)(since_ns / MS_TO_NS(1)) +
           limits->lease_ms;
}

void
session_note_lease(pool_target_t *target, const pool_limits_t *limits,
                   int64_t now_ns)
{
    int64_t error_ns = target->clock_error_ns + MS_TO_NS(kLapseSlackMs) +
                       (now_ns - target->clock_ns) * kClockDriftPercent / 100;
    int64_t lapse_ns =
        now_ns + error_ns +
        MS_TO_NS(limits->lease_ms) * (100 + kClockDriftPercent) / 100;
    if (lapse_ns > target->lapse_ns) {
        target->lapse_ns = lapse_ns;
    }
}

bool
session_is_open(const pool_target_t *target, int64_t now_ns)
{
    return target->session == kSessionReady && !target->is_dropped &&
           !target->is_fenced && !target->info.is_draining &&
           target->eject_until_ns <= now_ns;
}

void
session_release(pool_t *pool, pool_target_t *target)
{
    (void)pool;
    if (target->is_dropped && target->open_calls == 0 &&
        target->run_count == 0) {
        free(target);
    }
}

/// Takes the reading of a target's clock from an answer.
static void
take_clock(pool_target_t *target, uint64_t clock_ms, int64_t sent_ns,
           int64_t wait_ns, int64_t now_ns)
{
    int64_t trip_ns = now_ns - sent_ns - wait_ns;
    target->clock_ms = clock_ms;
    target->clock_ns = now_ns;
    target->clock_error_ns = trip_ns > 0 ? trip_ns : 0;
}

void
session_note_silence(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    if (target->session == kSessionReady) {
        pool_doubt(pool, target, now_ns);
    }
    target->mute_count++;
    if (target->mute_count >= kMuteCalls || target->session != kSessionReady) {
        session_go_mute(pool, target, now_ns);
    }
    else if (!target->is_list_open) {
        target->list_due_ns = now_ns;
    }
}

void
session_go_mute(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    if (target->session != kSessionMute) {
        counter_add(kCounterTargetsSuspected, 1);
        pool->ops->note(pool->owner, "target_mute", "", target->info.id);
    }
    target->session = kSessionMute;
    if (!target->is_list_open) {
        target->list_due_ns = now_ns;
    }
}

/// Learns how long tasks of a queue take.
static void
learn_time(pool_t *pool, const pool_target_t *target, const pool_run_t *run,
           int64_t took_us)
{
    if (run->task == NULL) {
        return;
    }
    const pool_order_t *order = run->task->order;
    int64_t usual_ms = took_us / target->slowness_permille;
    forecast_learn(pool->forecast, order->order->queue,
                   order->declared_ms[run->task->step],
                   usual_ms > 0 ? (uint32_t)usual_ms : 1);
}

/// Moves the slowness of a target by a part of the factor between it and a new
/// value: times are spread by factors. The first values count more.
static void
note_slowness(pool_target_t *target, uint32_t slowness_permille)
{
    uint32_t parts = ++target->sample_count + 1;
    parts = parts < kLearnWeight ? parts : kLearnWeight;
    double value = slowness_permille > kLeastSlownessPermille
                       ? slowness_permille
                       : kLeastSlownessPermille;
    double factor = pow(value / target->slowness_permille, 1.0 / parts);
    target->slowness_permille = (uint32_t)(target->slowness_permille * factor);
}

void
session_learn(pool_t *pool, pool_target_t *target, const pool_run_t *run,
              int64_t now_ns)
{
    target->fail_count = 0;
    target->eject_count = 0;
    if (run->estimate_ms == 0 || run->state != kRunActive) {
        return;
    }
    int64_t took_us = (now_ns - run->started_ns) / 1000;
    learn_time(pool, target, run, took_us);
    note_slowness(target, (uint32_t)(took_us / run->estimate_ms));
}

void
session_note_failure(pool_target_t *target, const pool_run_t *run,
                     int64_t now_ns)
{
    if (strcmp(target->fail_job, run->name.job) == 0) {
        return;
    }
    memcpy(target->fail_job, run->name.job, sizeof target->fail_job);
    target->fail_count++;
    if (target->fail_count < kEjectFailures) {
        return;
    }
    int64_t eject_ms = (int64_t)kEjectMs << target->eject_count;
    if (eject_ms > kEjectLimitMs) {
        eject_ms = kEjectLimitMs;
    }
    else {
        target->eject_count++;
    }
    counter_add(kCounterTargetsEjected, 1);
    target->eject_until_ns = now_ns + MS_TO_NS(eject_ms);
    // One more failure after the pause ejects it again.
    target->fail_count = kEjectFailures - 1;
}

/// @return how long a list waits for an end
static uint32_t
list_wait_ms(const pool_t *pool, int64_t now_ns)
{
    uint32_t wait_ms = pool->limits.lease_ms * kWaitSharePercent / 100;
    return pool_is_in_doubt(pool, now_ns) && wait_ms > kDoubtWaitMs
               ? (uint32_t)kDoubtWaitMs
               : wait_ms;
}

/// @return how long the answer to a list may take beyond its wait
static int64_t
list_slack_ns(const pool_t *pool, int64_t now_ns)
{
    int64_t slack_ns = MS_TO_NS(kDoubtSlackMs) + kDoubtTrips * pool->trip_ns;
    return pool_is_in_doubt(pool, now_ns) && slack_ns < MS_TO_NS(kListSlackMs)
               ? slack_ns
               : MS_TO_NS(kListSlackMs);
}

static void
send_list(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    bool renews = target->run_count > 0 && target->session == kSessionReady;
    uint32_t wait_ms = renews ? list_wait_ms(pool, now_ns) : 0;
    list_call_t call = {
        .target = &target->info,
        .token = target->token,
        .acked = target->acked,
        .wait_ms = wait_ms,
        .needs_fresh = target->session == kSessionMute,
        .deadline_ns =
            now_ns + (renews ? MS_TO_NS(wait_ms) + list_slack_ns(pool, now_ns)
                             : MS_TO_NS(kNewSlackMs)),
        .list = target};
    if (renews) {
        call.lease_until_ms =
            session_lease_until_ms(target, &pool->limits, now_ns);
        session_note_lease(target, &pool->limits, now_ns);
    }
    target->is_list_open = true;
    target->list_wait_ms = wait_ms;
    target->list_sent_ns = now_ns;
    target->list_token = target->token;
    target->list_due_ns = INT64_MAX;
    target->open_calls++;
    counter_add(kCounterHoldsSent, 1);
    pool->ops->list(pool->owner, &call);
}

static bool
names_equal(const run_name_t *left, const run_name_t *right)
{
    return left->number == right->number && left->step == right->step &&
           left->index == right->index && strcmp(left->job, right->job) == 0;
}

static pool_run_t *
find_run(const pool_target_t *target, const run_name_t *name)
{
    pool_run_t *run = target->runs;
    while (run != NULL && !names_equal(&run->name, name)) {
        run = run->next;
    }
    return run;
}

static bool
is_listed(const list_reply_t *reply, const run_name_t *name)
{
    for (uint32_t i = 0; i < reply->running_count; i++) {
        if (names_equal(&reply->running[i].name, name)) {
            return true;
        }
    }
    return false;
}

/// Takes the ends of a list, oldest first.
static void
take_ends(pool_t *pool, pool_target_t *target, const list_reply_t *reply,
          int64_t now_ns)
{
    for (uint32_t i = 0; i < reply->ended_count; i++) {
        const listed_run_t *end = &reply->ended[i];
        if (end->number > target->acked) {
            target->acked = end->number;
        }
        pool_run_t *run = find_run(target, &end->name);
        if (run != NULL && !run->is_over) {
            run_end(pool, run, end->how, now_ns);
        }
    }
}

/// Stops what runs there and belongs to no run of ours: it was started by an
/// earlier owner, or by a call that was carried out late.
static void
stop_strangers(pool_t *pool, pool_target_t *target, const list_reply_t *reply,
               int64_t now_ns)
{
    for (uint32_t i = 0; i < reply->running_count; i++) {
        pool_run_t *known = find_run(target, &reply->running[i].name);
        if (known != NULL && !known->is_over) {
            continue;
        }
        stop_call_t call = {.target = &target->info,
                            .name = reply->running[i].name,
                            .token = target->token,
                            .deadline_ns = now_ns + MS_TO_NS(kListSlackMs)};
        pool->ops->note(pool->owner, "stranger_stopped", call.name.job,
                        target->info.id);
        pool->ops->stop(pool->owner, &call);
    }
}

/// Ends runs that a list no longer shows which was sent after the target took
/// their start, or a stop that a late start cannot pass.
static void
end_vanished(pool_t *pool, pool_target_t *target, const list_reply_t *reply,
             int64_t now_ns)
{
    pool_run_t *next;
    for (pool_run_t *run = target->runs; run != NULL; run = next) {
        next = run->next;
        bool was_there = run->state == kRunActive &&
                         run->certain_ns <= target->list_sent_ns;
        if (!run->is_over && was_there && !is_listed(reply, &run->name)) {
            run_end(pool, run, kRunEndLapsed, now_ns);
            run_free_over(pool, run);
        }
    }
}

/// Frees runs that ended in this list.
static void
sweep_over(pool_t *pool, pool_target_t *target)
{
    pool_run_t *next;
    for (pool_run_t *run = target->runs; run != NULL; run = next) {
        next = run->next;
        run_free_over(pool, run);
    }
}

/// Another life of the target answers, whose ends are numbered anew. What ran
/// in the one before is no longer listed; a run that the new one took before
/// it was known is.
static void
take_new_life(pool_t *pool, pool_target_t *target, uint64_t born_ms)
{
    if (target->info.born_ms != 0) {
        target->acked = 0;
        target->acked_sent = 0;
        pool->ops->note(pool->owner, "target_new_life", "", target->info.id);
    }
    target->info.born_ms = born_ms;
}

/// Sets when the next list goes out, after an answered one.
static void
plan_list(pool_target_t *target, bool has_strangers, int64_t now_ns)
{
    if (has_strangers) {
        target->list_due_ns = now_ns + MS_TO_NS(kStrangerLookMs);
    }
    else if (target->run_count > 0) {
        target->list_due_ns = now_ns;
    }
    else if (target->acked > target->acked_sent) {
        target->list_due_ns = now_ns + MS_TO_NS(kLastAckMs);
    }
    else {
        target->list_due_ns = INT64_MAX;
    }
}

static void
take_answered(pool_t *pool, pool_target_t *target, const list_reply_t *reply,
              uint64_t acked_sent, int64_t now_ns)
{
    target->mute_count = 0;
    if (reply->born_ms != 0 && reply->born_ms != target->info.born_ms) {
        take_new_life(pool, target, reply->born_ms);
        acked_sent = 0;
    }
    take_clock(target, reply->clock_ms, target->list_sent_ns,
               MS_TO_NS(target->list_wait_ms), now_ns);
    target->acked_sent = acked_sent;
    bool was_new = target->session != kSessionReady;
    take_ends(pool, target, reply, now_ns);
    end_vanished(pool, target, reply, now_ns);
    stop_strangers(pool, target, reply, now_ns);
    sweep_over(pool, target);
    bool has_strangers = reply->running_count > target->run_count;
    if (was_new && !has_strangers) {
        target->session = kSessionReady;
        pool->ops->note(pool->owner, "target_ready", "", target->info.id);
    }
    plan_list(target, has_strangers, now_ns);
}

/// @return when to look at a mute target again
static int64_t
mute_repeat_ns(const pool_target_t *target, int64_t now_ns)
{
    int64_t repeat_ms = (int64_t)kMuteRepeatMs * target->mute_count;
    return now_ns + MS_TO_NS(repeat_ms < kMuteRepeatLimitMs
                                 ? repeat_ms
                                 : kMuteRepeatLimitMs);
}

void
pool_handle_list_reply(pool_t *pool, pool_target_t *target,
                       const list_reply_t *reply, int64_t now_ns)
{
    target->is_list_open = false;
    target->open_calls--;
    uint64_t acked_sent = target->acked;
    if (target->is_dropped) {
        session_release(pool, target);
        return;
    }
    if (target->list_token != target->token) {
        // The session was renewed meanwhile: this answer says nothing of it.
        target->list_due_ns = now_ns;
        return;
    }
    if (reply->kind == kReplyDone) {
        take_answered(pool, target, reply, acked_sent, now_ns);
        return;
    }
    if (reply->kind == kReplyFenced) {
        counter_add(kCounterTokensFenced, 1);
        target->is_fenced = true;
        pool->ops->fenced(pool->owner, &target->info);
        return;
    }
    session_note_silence(pool, target, now_ns);
    if (target->session == kSessionMute) {
        target->list_due_ns = mute_repeat_ns(target, now_ns);
    }
}

/// Stops a run that takes far longer than expected, as its target may stand
/// still or be slow, so that its task is tried elsewhere. Each move doubles
/// the time that the next run gets.
static int64_t
move_stalled(pool_t *pool, pool_target_t *target, pool_run_t *run,
             int64_t now_ns)
{
    if (run->is_over || run->task == NULL || run->state != kRunActive ||
        run->task->move_count >= kMoveLimit || run->stop_due_ns != 0) {
        return INT64_MAX;
    }
    int64_t expected_ns = place_expected_ns(run->estimate_ms, target);
    int64_t due_ns = run->started_ns +
                     (expected_ns * kStallFactor + MS_TO_NS(kStallSlackMs)) *
                         (1 << run->task->move_count);
    if (due_ns > now_ns) {
        return due_ns;
    }
    if (target->clock_ns < due_ns) {
        return INT64_MAX; // no list since then: it may have ended
    }
    pool->ops->note(pool->owner, "run_stalled", run->name.job,
                    target->info.id);
    run->task->move_count++;
    session_note_failure(target, run, now_ns);
    run_stop(pool, run, now_ns);
    return INT64_MAX;
}

/// Ends the runs of a mute target whose last lease is surely over.
static void
end_lapsed(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    pool_run_t *next;
    for (pool_run_t *run = target->runs; run != NULL; run = next) {
        next = run->next;
        if (run->open_starts == 0) {
            run_end(pool, run, kRunEndLapsed, now_ns);
            run_free_over(pool, run);
        }
    }
}

int64_t
session_advance(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    int64_t due_ns = INT64_MAX;
    bool is_silent = target->session == kSessionMute || target->is_fenced;
    if (is_silent && target->run_count > 0) {
        if (target->lapse_ns <= now_ns) {
            end_lapsed(pool, target, now_ns);
        }
        else {
            due_ns = target->lapse_ns;
        }
    }
    for (pool_run_t *run = target->runs; run != NULL; run = run->next) {
        int64_t run_due_ns = run_advance(pool, run, now_ns);
        int64_t move_due_ns = move_stalled(pool, target, run, now_ns);
        run_due_ns = move_due_ns < run_due_ns ? move_due_ns : run_due_ns;
        due_ns = run_due_ns < due_ns ? run_due_ns : due_ns;
    }
    if (target->is_list_open || target->is_fenced) {
        return due_ns;
    }
    if (target->list_due_ns <= now_ns) {
        send_list(pool, target, now_ns);
        return due_ns;
    }
    return target->list_due_ns < due_ns ? target->list_due_ns : due_ns;
}
