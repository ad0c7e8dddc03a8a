#include "route/target.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counters.h"

// Backoff after the first refusal. Doubles with each further one in a row.
#define INITIAL_REFUSAL_BACKOFF_NS INT64_C(10000000)
// Time for which a load report of a target is valid.
#define LOAD_VALID_NS INT64_C(50000000)
// Time without tries after a target could not be reached.
#define UNREACHABLE_BACKOFF_NS INT64_C(250000000)
// Time for which a target counts as leaving after it reported so itself.
#define LEAVING_NS INT64_C(30000000000)
// Ejection time. Doubles with each failure in a row, up to MAX_EJECTION_NS.
#define BASE_EJECTION_NS INT64_C(1000000000)
#define MAX_EJECTION_NS INT64_C(60000000000)

enum {
    kEjectAfterFailures = 3,          ///< failures in a row, after probation
    kEjectAfterProbationFailures = 1, ///< failures in a row, on probation
    kMeanSamples = 16,                ///< a new sample has a weight of 1/16
    kMaxEjectDoublings = 6,
    kMaxBackoffDoublings = 4,
    kMilli = 1000
};

static target_t *
create_target(const vm_entry_t *vm)
{
    target_t *target = calloc(1, sizeof *target);
    target->vm = vm->vm;
    target->port = vm->port;
    snprintf(target->address, sizeof target->address, "%s", vm->address);
    snprintf(target->base_url, sizeof target->base_url, "http://%s:%u",
             vm->address, vm->port);
    atomic_store(&target->is_on_probation, true);
    return target;
}

static void
set_size(target_t *target, const vm_entry_t *vm)
{
    atomic_store(&target->slots, vm->slots);
    atomic_store(&target->processors, vm->processors);
    atomic_store(&target->memory_mb, vm->memory_mb);
    atomic_store(&target->accelerators, vm->accelerators);
}

/// @return the target of the old table with the same address, or NULL
static target_t *
find_same(const target_table_t *old, const vm_entry_t *vm)
{
    for (uint32_t i = 0; old != NULL && i < old->count; i++) {
        target_t *target = old->targets[i];
        if (target->vm == vm->vm && target->port == vm->port &&
            strcmp(target->address, vm->address) == 0) {
            return target;
        }
    }
    return NULL;
}

static void
drop_reference(target_t *target)
{
    if (atomic_fetch_sub(&target->reference_count, 1) == 1) {
        free(target);
    }
}

/// Counts the live entry VMs of a data centre.
///
/// @param rank  set to the number of them whose VM number is lower than
///              entry_vm
/// @return their number, at least 1
static uint32_t
count_entry_vms(const vm_entry_t *vms, uint32_t vm_count, uint16_t dc,
                uint32_t entry_vm, uint32_t *rank)
{
    uint32_t count = 0;
    *rank = 0;
    for (uint32_t i = 0; i < vm_count; i++) {
        if (vms[i].role != kVmRoleEntry || vms[i].dc != dc ||
            vms[i].state != kVmStateLive) {
            continue;
        }
        count++;
        *rank += vms[i].vm < entry_vm ? 1 : 0;
    }
    return count == 0 ? 1 : count;
}

/// @return this process's share of a target's slots. The remainder of the
/// division goes to different entry VMs for different targets.
static uint32_t
compute_share(const target_t *target, uint32_t entry_vm_count, uint32_t rank)
{
    uint32_t slots = atomic_load(&target->slots);
    uint32_t share = slots / entry_vm_count;
    uint32_t remainder = slots % entry_vm_count;
    return share + ((rank + target->vm) % entry_vm_count < remainder ? 1 : 0);
}

target_table_t *
target_table_build(const target_table_t *old, const vm_entry_t *vms,
                   uint32_t vm_count, uint16_t dc, uint32_t entry_vm,
                   uint32_t max_ejected_percent)
{
    uint32_t rank = 0;
    uint32_t entry_vm_count =
        count_entry_vms(vms, vm_count, dc, entry_vm, &rank);
    target_table_t *table = calloc(1, sizeof *table);
    table->targets = calloc((size_t)vm_count + 1, sizeof(target_t *));
    for (uint32_t i = 0; i < vm_count; i++) {
        if (vms[i].role != kVmRoleTarget || vms[i].dc != dc) {
            continue;
        }
        target_t *target = find_same(old, &vms[i]);
        if (target == NULL) {
            target = create_target(&vms[i]);
        }
        atomic_fetch_add(&target->reference_count, 1);
        set_size(target, &vms[i]);
        atomic_store(&target->is_leaving, vms[i].state == kVmStateLeaving);
        atomic_store(&target->share_slots,
                     compute_share(target, entry_vm_count, rank));
        if (atomic_load(&target->ejected_until_ns) != 0) {
            atomic_fetch_add(&table->ejected_count, 1);
        }
        table->targets[table->count++] = target;
    }
    table->max_ejected = (int32_t)(table->count * max_ejected_percent / 100);
    return table;
}

void
target_table_free(target_table_t *table)
{
    for (uint32_t i = 0; i < table->count; i++) {
        drop_reference(table->targets[i]);
    }
    free(table->targets);
    free(table);
}

bool
target_fits(const target_t *target, const needs_t *needs)
{
    return atomic_load_explicit(&target->processors, memory_order_relaxed) >=
               needs->processors &&
           atomic_load_explicit(&target->memory_mb, memory_order_relaxed) >=
               needs->memory_mb &&
           atomic_load_explicit(&target->accelerators, memory_order_relaxed) >=
               needs->accelerators &&
           atomic_load_explicit(&target->slots, memory_order_relaxed) > 0;
}

bool
target_table_fits(const target_table_t *table, const needs_t *needs)
{
    for (uint32_t i = 0; i < table->count; i++) {
        if (target_fits(table->targets[i], needs)) {
            return true;
        }
    }
    return false;
}

uint64_t
target_table_count_slots(const target_table_t *table)
{
    uint64_t slots = 0;
    for (uint32_t i = 0; i < table->count; i++) {
        if (!atomic_load_explicit(&table->targets[i]->is_leaving,
                                  memory_order_relaxed)) {
            slots += atomic_load_explicit(&table->targets[i]->slots,
                                          memory_order_relaxed);
        }
    }
    return slots;
}

/// @return the number of slots that this process may use with borrowing: its
/// share and half of the other processes' shares, if a valid load report shows
/// that they use none; else 0
static uint32_t
limit_with_borrowing(const target_t *target, int64_t now_ns)
{
    bool are_others_idle =
        now_ns < atomic_load_explicit(&target->others_valid_until_ns,
                                      memory_order_relaxed) &&
        atomic_load_explicit(&target->others_busy_slots,
                             memory_order_relaxed) == 0;
    uint32_t share =
        atomic_load_explicit(&target->share_slots, memory_order_relaxed);
    uint32_t slots =
        atomic_load_explicit(&target->slots, memory_order_relaxed);
    return are_others_idle && slots > share ? slots - (slots - share) / 2 : 0;
}

/// @return the maximum number of tries of this process in flight on the target
static uint32_t
current_limit(const target_t *target, bool may_borrow, int64_t now_ns)
{
    if (atomic_load_explicit(&target->is_on_probation, memory_order_relaxed)) {
        return kProbationOutstanding;
    }
    uint32_t share =
        atomic_load_explicit(&target->share_slots, memory_order_relaxed);
    if (now_ns < atomic_load_explicit(&target->backoff_until_ns,
                                      memory_order_relaxed)) {
        uint32_t backoff_limit =
            atomic_load_explicit(&target->backoff_limit, memory_order_relaxed);
        return backoff_limit < share ? backoff_limit : share;
    }
    uint32_t borrowed = may_borrow ? limit_with_borrowing(target, now_ns) : 0;
    return borrowed > share ? borrowed : share;
}

bool
target_is_available(const target_t *target, bool may_borrow, int64_t now_ns)
{
    if (atomic_load_explicit(&target->is_leaving, memory_order_relaxed) ||
        now_ns < atomic_load_explicit(&target->leaving_until_ns,
                                      memory_order_relaxed) ||
        now_ns < atomic_load_explicit(&target->ejected_until_ns,
                                      memory_order_relaxed) ||
        now_ns < atomic_load_explicit(&target->unreachable_until_ns,
                                      memory_order_relaxed)) {
        return false;
    }
    return atomic_load_explicit(&target->outstanding, memory_order_relaxed) <
           current_limit(target, may_borrow, now_ns);
}

bool
target_reserve(target_t *target, bool may_borrow, int64_t now_ns)
{
    uint32_t limit = current_limit(target, may_borrow, now_ns);
    uint32_t outstanding =
        atomic_load_explicit(&target->outstanding, memory_order_relaxed);
    while (outstanding < limit) {
        if (atomic_compare_exchange_weak(&target->outstanding, &outstanding,
                                         outstanding + 1)) {
            atomic_fetch_add(&target->reference_count, 1);
            return true;
        }
    }
    return false;
}

/// Adds a sample to the moving average, in which the first kMeanSamples
/// samples have equal weights.
static void
update_slowness(target_t *target, int64_t time_ratio_log2_milli)
{
    uint32_t count = atomic_fetch_add_explicit(&target->sample_count, 1,
                                               memory_order_relaxed) +
                     1;
    int64_t weight = count < kMeanSamples ? count : kMeanSamples;
    int64_t old = atomic_load_explicit(&target->slowness_log2_milli,
                                       memory_order_relaxed);
    atomic_store_explicit(&target->slowness_log2_milli,
                          old + (time_ratio_log2_milli - old) / weight,
                          memory_order_relaxed);
}

/// Ends an ejection, so that it no longer counts towards the maximum.
static void
end_ejection(target_t *target, target_table_t *table)
{
    if (atomic_exchange(&target->ejected_until_ns, 0) != 0) {
        atomic_fetch_sub(&table->ejected_count, 1);
    }
}

/// Ejects a target unless the maximum number of targets is already ejected.
static void
eject(target_t *target, target_table_t *table, uint32_t streak, int64_t now_ns)
{
    if (atomic_fetch_add(&table->ejected_count, 1) >= table->max_ejected) {
        atomic_fetch_sub(&table->ejected_count, 1);
        return;
    }
    uint32_t doublings =
        streak < kMaxEjectDoublings ? streak : kMaxEjectDoublings;
    int64_t ejection_ns = BASE_EJECTION_NS << doublings;
    if (ejection_ns > MAX_EJECTION_NS) {
        ejection_ns = MAX_EJECTION_NS;
    }
    atomic_store(&target->is_on_probation, true);
    if (atomic_exchange(&target->ejected_until_ns, now_ns + ejection_ns) !=
        0) {
        atomic_fetch_sub(&table->ejected_count, 1);
    }
    counter_add(kCounterTargetsEjected, 1);
}

static void
record_failure(target_t *target, target_table_t *table, int64_t now_ns)
{
    uint32_t streak = atomic_fetch_add(&target->failure_streak, 1) + 1;
    bool is_on_probation = atomic_load(&target->is_on_probation);
    atomic_fetch_add_explicit(&target->failed_count, 1, memory_order_relaxed);
    if (streak >= (is_on_probation ? (uint32_t)kEjectAfterProbationFailures
                                   : (uint32_t)kEjectAfterFailures)) {
        eject(target, table, streak, now_ns);
    }
}

/// Starts a backoff, which doubles with each refusal in a row.
static void
record_refusal(target_t *target, int64_t now_ns)
{
    uint32_t streak = atomic_fetch_add(&target->refusal_streak, 1);
    uint32_t doublings =
        streak < kMaxBackoffDoublings ? streak : kMaxBackoffDoublings;
    atomic_store(&target->backoff_limit,
                 atomic_load(&target->outstanding) - 1);
    atomic_store(&target->backoff_until_ns,
                 now_ns + (INITIAL_REFUSAL_BACKOFF_NS << doublings));
}

void
target_release(target_t *target, target_table_t *table,
               target_outcome_t outcome, int64_t time_ratio_log2_milli,
               int64_t now_ns)
{
    switch (outcome) {
    case kOutcomeDone:
        update_slowness(target, time_ratio_log2_milli);
        atomic_store_explicit(&target->refusal_streak, 0,
                              memory_order_relaxed);
        atomic_store(&target->failure_streak, 0);
        atomic_store(&target->is_on_probation, false);
        atomic_fetch_add_explicit(&target->done_count, 1,
                                  memory_order_relaxed);
        end_ejection(target, table);
        break;
    case kOutcomeFailed:
        record_failure(target, table, now_ns);
        break;
    case kOutcomeRefused:
        record_refusal(target, now_ns);
        break;
    case kOutcomeUnreachable:
        atomic_store(&target->unreachable_until_ns,
                     now_ns + UNREACHABLE_BACKOFF_NS);
        break;
    case kOutcomeLeaving:
        target_mark_leaving(target, now_ns);
        break;
    case kOutcomeAborted:
        break;
    }
    atomic_fetch_sub(&target->outstanding, 1);
    drop_reference(target);
}

void
target_mark_leaving(target_t *target, int64_t now_ns)
{
    atomic_store(&target->leaving_until_ns, now_ns + LEAVING_NS);
}

void
target_update_load(target_t *target, uint32_t busy_slots, int64_t now_ns)
{
    uint32_t own_slots =
        atomic_load_explicit(&target->outstanding, memory_order_relaxed) - 1;
    atomic_store_explicit(&target->others_busy_slots,
                          busy_slots > own_slots ? busy_slots - own_slots : 0,
                          memory_order_relaxed);
    atomic_store_explicit(&target->others_valid_until_ns,
                          now_ns + LOAD_VALID_NS, memory_order_relaxed);
}

int64_t
target_slowness_log2_milli(const target_t *target)
{
    return atomic_load_explicit(&target->slowness_log2_milli,
                                memory_order_relaxed);
}

int64_t
target_table_min_slowness_log2_milli(const target_table_t *table)
{
    int64_t min_log2_milli = INT64_MAX;
    for (uint32_t i = 0; i < table->count; i++) {
        const target_t *target = table->targets[i];
        if (atomic_load_explicit(&target->sample_count, memory_order_relaxed) >
                0 &&
            target_slowness_log2_milli(target) < min_log2_milli) {
            min_log2_milli = target_slowness_log2_milli(target);
        }
    }
    return min_log2_milli == INT64_MAX ? 0 : min_log2_milli;
}

int64_t
target_scale_time_ns(int64_t time_ns, int64_t ratio_log2_milli)
{
    return (int64_t)((double)time_ns *
                     exp2((double)ratio_log2_milli / kMilli));
}

int64_t
target_time_ratio_log2_milli(int64_t time_ns, int64_t expected_ns)
{
    if (time_ns <= 0 || expected_ns <= 0) {
        return 0;
    }
    return (int64_t)(log2((double)time_ns / (double)expected_ns) * kMilli);
}
