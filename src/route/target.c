#include "route/target.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counters.h"

#define REFUSAL_BACKOFF_NS INT64_C(10000000) // no more tries after a refusal
#define LOAD_VALID_NS INT64_C(50000000) // a reported load is believed so long
#define UNREACHABLE_NS INT64_C(250000000) // no new connection after a failure
#define LEAVING_NS INT64_C(30000000000)   // a target's own word holds so long
#define EJECT_NS INT64_C(1000000000)      // first ejection; doubles each time
#define EJECT_MAX_NS INT64_C(60000000000)
enum {
    kEjectStreak = 3,      ///< failures in a row that eject a proved target
    kEjectTrialStreak = 1, ///< the same for one on trial
    kMeanWeight = 16,      ///< samples that a mean goes back
    kMaxDoublings = 6,
    kMaxRefuseDoublings = 4,
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
    target->slots = vm->slots;
    target->capacity = (needs_t){.processors = vm->processors,
                                 .memory_mb = vm->memory_mb,
                                 .accelerators = vm->accelerators};
    atomic_store(&target->is_on_probation, true);
    return target;
}

/// @return the old table's target where it is the same machine, or NULL
static target_t *
find_same(const target_table_t *old, const vm_entry_t *vm)
{
    for (uint32_t i = 0; old != NULL && i < old->count; i++) {
        target_t *target = old->targets[i];
        if (target->vm == vm->vm && target->port == vm->port &&
            target->slots == vm->slots &&
            target->capacity.accelerators == vm->accelerators &&
            target->capacity.memory_mb == vm->memory_mb &&
            target->capacity.processors == vm->processors &&
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

/// Counts the live entry VMs of a data centre and the place of one of them.
static uint32_t
count_entries(const vm_entry_t *vms, uint32_t vm_count, uint16_t dc,
              uint32_t entry_vm, uint32_t *place)
{
    uint32_t count = 0;
    *place = 0;
    for (uint32_t i = 0; i < vm_count; i++) {
        if (vms[i].role != kVmRoleEntry || vms[i].dc != dc ||
            vms[i].state != kVmStateLive) {
            continue;
        }
        count++;
        *place += vms[i].vm < entry_vm ? 1 : 0;
    }
    return count == 0 ? 1 : count;
}

/// @return this process's own part of a target's slots; what does not divide
/// goes round the entry VMs from target to target
static uint32_t
share_of(const target_t *target, uint32_t entry_count, uint32_t place)
{
    uint32_t share = target->slots / entry_count;
    uint32_t rest = target->slots % entry_count;
    return share + ((place + target->vm) % entry_count < rest ? 1 : 0);
}

target_table_t *
target_table_build(const target_table_t *old, const vm_entry_t *vms,
                   uint32_t vm_count, uint16_t dc, uint32_t entry_vm,
                   uint32_t max_ejected_percent)
{
    uint32_t place = 0;
    uint32_t entry_count = count_entries(vms, vm_count, dc, entry_vm, &place);
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
        atomic_store(&target->is_leaving, vms[i].state == kVmStateLeaving);
        atomic_store(&target->share_slots,
                     share_of(target, entry_count, place));
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
    return target->capacity.processors >= needs->processors &&
           target->capacity.memory_mb >= needs->memory_mb &&
           target->capacity.accelerators >= needs->accelerators &&
           target->slots > 0;
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
target_table_slots(const target_table_t *table)
{
    uint64_t slots = 0;
    for (uint32_t i = 0; i < table->count; i++) {
        if (!atomic_load_explicit(&table->targets[i]->is_leaving,
                                  memory_order_relaxed)) {
            slots += table->targets[i]->slots;
        }
    }
    return slots;
}

/// @return slots that this process may use with borrowed ones: half of the
/// others' shares, where the last report shows that nobody else uses any
static uint32_t
borrowed_limit(const target_t *target, int64_t now_ns)
{
    bool is_alone =
        now_ns < atomic_load_explicit(&target->others_valid_until_ns,
                                      memory_order_relaxed) &&
        atomic_load_explicit(&target->others_busy_slots,
                             memory_order_relaxed) == 0;
    uint32_t share =
        atomic_load_explicit(&target->share_slots, memory_order_relaxed);
    return is_alone ? target->slots - (target->slots - share) / 2 : 0;
}

/// @return most tries of this process that may be out on the target
static uint32_t
limit_now(const target_t *target, bool may_borrow, int64_t now_ns)
{
    if (atomic_load_explicit(&target->is_on_probation, memory_order_relaxed)) {
        return kProbationOutstanding;
    }
    uint32_t share =
        atomic_load_explicit(&target->share_slots, memory_order_relaxed);
    if (now_ns < atomic_load_explicit(&target->backoff_until_ns,
                                      memory_order_relaxed)) {
        uint32_t full =
            atomic_load_explicit(&target->backoff_limit, memory_order_relaxed);
        return full < share ? full : share;
    }
    uint32_t borrowed = may_borrow ? borrowed_limit(target, now_ns) : 0;
    return borrowed > share ? borrowed : share;
}

bool
target_is_open(const target_t *target, bool may_borrow, int64_t now_ns)
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
           limit_now(target, may_borrow, now_ns);
}

bool
target_reserve(target_t *target, bool may_borrow, int64_t now_ns)
{
    uint32_t limit = limit_now(target, may_borrow, now_ns);
    uint32_t held =
        atomic_load_explicit(&target->outstanding, memory_order_relaxed);
    while (held < limit) {
        if (atomic_compare_exchange_weak(&target->outstanding, &held,
                                         held + 1)) {
            atomic_fetch_add(&target->reference_count, 1);
            return true;
        }
    }
    return false;
}

/// Moves the mean towards a sample; the first ones count for more.
static void
learn_slowness(target_t *target, int64_t time_ratio_log2_milli)
{
    uint32_t count = atomic_fetch_add_explicit(&target->sample_count, 1,
                                               memory_order_relaxed) +
                     1;
    int64_t weight = count < kMeanWeight ? count : kMeanWeight;
    int64_t old = atomic_load_explicit(&target->slowness_log2_milli,
                                       memory_order_relaxed);
    atomic_store_explicit(&target->slowness_log2_milli,
                          old + (time_ratio_log2_milli - old) / weight,
                          memory_order_relaxed);
}

/// Ends an ejection whose time is over, so that the cap counts it no more.
static void
end_ejection(target_t *target, target_table_t *table)
{
    if (atomic_exchange(&target->ejected_until_ns, 0) != 0) {
        atomic_fetch_sub(&table->ejected_count, 1);
    }
}

/// Ejects a target unless too many are out already.
static void
eject(target_t *target, target_table_t *table, uint32_t streak, int64_t now_ns)
{
    if (atomic_fetch_add(&table->ejected_count, 1) >= table->max_ejected) {
        atomic_fetch_sub(&table->ejected_count, 1);
        return;
    }
    uint32_t doublings = streak < kMaxDoublings ? streak : kMaxDoublings;
    int64_t length_ns = EJECT_NS << doublings;
    if (length_ns > EJECT_MAX_NS) {
        length_ns = EJECT_MAX_NS;
    }
    atomic_store(&target->is_on_probation, true);
    if (atomic_exchange(&target->ejected_until_ns, now_ns + length_ns) != 0) {
        atomic_fetch_sub(&table->ejected_count, 1);
    }
    counter_add(kCounterTargetsEjected, 1);
}

static void
learn_failure(target_t *target, target_table_t *table, int64_t now_ns)
{
    uint32_t streak = atomic_fetch_add(&target->failure_streak, 1) + 1;
    bool is_on_probation = atomic_load(&target->is_on_probation);
    atomic_fetch_add_explicit(&target->failed_count, 1, memory_order_relaxed);
    if (streak >= (is_on_probation ? (uint32_t)kEjectTrialStreak
                                   : (uint32_t)kEjectStreak)) {
        eject(target, table, streak, now_ns);
    }
}

/// Holds further tries back, longer after each refusal in a row.
static void
learn_refusal(target_t *target, int64_t now_ns)
{
    uint32_t streak = atomic_fetch_add(&target->refusal_streak, 1);
    uint32_t doublings =
        streak < kMaxRefuseDoublings ? streak : kMaxRefuseDoublings;
    atomic_store(&target->backoff_limit,
                 atomic_load(&target->outstanding) - 1);
    atomic_store(&target->backoff_until_ns,
                 now_ns + (REFUSAL_BACKOFF_NS << doublings));
}

void
target_release(target_t *target, target_table_t *table, target_outcome_t sign,
               int64_t time_ratio_log2_milli, int64_t now_ns)
{
    switch (sign) {
    case kOutcomeDone:
        learn_slowness(target, time_ratio_log2_milli);
        atomic_store_explicit(&target->refusal_streak, 0,
                              memory_order_relaxed);
        atomic_store(&target->failure_streak, 0);
        atomic_store(&target->is_on_probation, false);
        atomic_fetch_add_explicit(&target->done_count, 1,
                                  memory_order_relaxed);
        end_ejection(target, table);
        break;
    case kOutcomeFailed:
        learn_failure(target, table, now_ns);
        break;
    case kOutcomeRefused:
        learn_refusal(target, now_ns);
        break;
    case kOutcomeUnreachable:
        atomic_store(&target->unreachable_until_ns, now_ns + UNREACHABLE_NS);
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
target_update_load(target_t *target, uint32_t busy, int64_t now_ns)
{
    uint32_t own =
        atomic_load_explicit(&target->outstanding, memory_order_relaxed) - 1;
    atomic_store_explicit(&target->others_busy_slots,
                          busy > own ? busy - own : 0, memory_order_relaxed);
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
    int64_t least = INT64_MAX;
    for (uint32_t i = 0; i < table->count; i++) {
        const target_t *target = table->targets[i];
        if (atomic_load_explicit(&target->sample_count, memory_order_relaxed) >
                0 &&
            target_slowness_log2_milli(target) < least) {
            least = target_slowness_log2_milli(target);
        }
    }
    return least == INT64_MAX ? 0 : least;
}

int64_t
target_scale_time_ns(int64_t time_ns, int64_t millibits)
{
    return (int64_t)((double)time_ns * exp2((double)millibits / kMilli));
}

int64_t
target_time_ratio_log2_milli(int64_t time_ns, int64_t expected_ns)
{
    if (time_ns <= 0 || expected_ns <= 0) {
        return 0;
    }
    return (int64_t)(log2((double)time_ns / (double)expected_ns) * kMilli);
}
