/// Targets of a data centre: their fixed properties, their observed state and
/// the table of targets, which threads read under RCU.
///
/// Time ratios have the suffix `_log2_milli`: the binary logarithm in 1/1000.
/// 1000 is twice the expected time, -1000 half of it.
#ifndef JT_ROUTE_TARGET_H
#define JT_ROUTE_TARGET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "generated/documents.h"
#include "generated/messages.h"

enum {
    kTargetUrlBytes = 80,
    kTargetAddressBytes = 46,
    kProbationOutstanding = 1 ///< maximum number of tries in flight
};

/// What the outcome of a try says about the target.
typedef enum {
    kOutcomeDone,        ///< the task ran and the target answered
    kOutcomeFailed,      ///< the task ran or may have run, and failed
    kOutcomeRefused,     ///< refused before the start: no free slot
    kOutcomeUnreachable, ///< the target could not be reached
    kOutcomeLeaving,     ///< refused before the start: the target is leaving
    kOutcomeAborted      ///< ended by this process: no information
} target_outcome_t;

/// A target: a VM at an address. The fields that are not atomic are set before
/// the target is published and do not change; any thread reads and writes the
/// atomic ones.
typedef struct {
    uint32_t vm;
    uint16_t port;
    char address[kTargetAddressBytes];
    char base_url[kTargetUrlBytes];
    /// Its size according to the platform's list. It may change while tries
    /// are in flight.
    _Atomic uint32_t slots;
    _Atomic uint32_t processors;
    _Atomic uint32_t memory_mb;
    _Atomic uint32_t accelerators;

    _Atomic uint32_t reference_count;
    _Atomic bool is_leaving;          ///< according to the platform's list
    _Atomic int64_t leaving_until_ns; ///< according to the target itself
    _Atomic uint32_t share_slots;     ///< this process's share of the slots
    _Atomic uint32_t outstanding;     ///< tries of this process in flight
    /// Slots that other processes use, as last reported.
    _Atomic uint32_t others_busy_slots;
    _Atomic int64_t others_valid_until_ns; ///< validity of that report
    /// Limit of tries in flight after a refusal.
    _Atomic uint32_t backoff_limit;
    _Atomic int64_t backoff_until_ns; ///< end of that limit
    _Atomic int64_t unreachable_until_ns;
    _Atomic uint32_t refusal_streak;     ///< refusals since the last done try
    _Atomic int64_t slowness_log2_milli; ///< see target_slowness_log2_milli
    _Atomic uint32_t sample_count;       ///< samples of the slowness
    _Atomic uint32_t failure_streak;     ///< failures since the last done try
    _Atomic int64_t ejected_until_ns;    ///< 0 if not ejected
    /// No try was done yet, or none since an ejection.
    _Atomic bool is_on_probation;
    _Atomic uint64_t done_count;
    _Atomic uint64_t failed_count;
} target_t;

/// The targets of one data centre at one point in time. Immutable once
/// published, except for the number of ejected targets.
typedef struct {
    uint32_t count;
    int32_t max_ejected; ///< maximum number of ejected targets
    target_t **targets;
    _Atomic int32_t ejected_count;
} target_table_t;

/// Builds the table that replaces another one. Targets that are in both keep
/// their observed state.
///
/// @param old       table to replace, or NULL
/// @param vms       the platform's list of VMs
/// @param vm_count  entries of the list
/// @param dc        data centre whose targets the table has
/// @param entry_vm  VM of this process, for its share of the slots
/// @param max_ejected_percent  maximum percentage of ejected targets
target_table_t *target_table_build(const target_table_t *old,
                                   const vm_entry_t *vms, uint32_t vm_count,
                                   uint16_t dc, uint32_t entry_vm,
                                   uint32_t max_ejected_percent);

/// Frees a table and drops its references to its targets.
void target_table_free(target_table_t *table);

/// @return whether any target has enough capacity for these needs
bool target_table_fits(const target_table_t *table, const needs_t *needs);

/// @return the number of slots of all targets that are not leaving
uint64_t target_table_count_slots(const target_table_t *table);

/// @return whether the target has slots and enough capacity for these needs
bool target_fits(const target_t *target, const needs_t *needs);

/// @param may_borrow  whether slots beyond this process's share may be used
/// @return whether a try may be sent now
bool target_is_available(const target_t *target, bool may_borrow,
                         int64_t now_ns);

/// Reserves a slot and takes a reference to the target. target_release
/// releases both.
///
/// @return whether a slot was available
bool target_reserve(target_t *target, bool may_borrow, int64_t now_ns);

/// Releases the slot and the reference of a try, and updates the target's
/// state with its outcome.
///
/// @param outcome                outcome of the try
/// @param time_ratio_log2_milli  run time over expected run time; used for
///                               kOutcomeDone only
void target_release(target_t *target, target_table_t *table,
                    target_outcome_t outcome, int64_t time_ratio_log2_milli,
                    int64_t now_ns);

/// Records that the target itself reported that it is leaving, which holds
/// whatever the platform's list says.
void target_mark_leaving(target_t *target, int64_t now_ns);

/// Records the load that the target reported with its answer to a try. Must be
/// called before the try is released.
///
/// @param busy_slots  slots in use at the target, not counting this try
void target_update_load(target_t *target, uint32_t busy_slots, int64_t now_ns);

/// @return the slowness of the target: the mean log ratio of run times to
///         expected run times; 0 if it has run no task yet
int64_t target_slowness_log2_milli(const target_t *target);

/// @return the lowest slowness of the targets that have run a task, or 0
int64_t target_table_min_slowness_log2_milli(const target_table_t *table);

/// @return a time multiplied by a ratio
int64_t target_scale_time_ns(int64_t time_ns, int64_t ratio_log2_milli);

/// @return the ratio of a time to the expected time; 0 if one of them is not
///         positive
int64_t target_time_ratio_log2_milli(int64_t time_ns, int64_t expected_ns);

#endif
