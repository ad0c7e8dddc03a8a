/// Targets of a data centre: what they are, what is known of them, and the
/// table of them that threads read under RCU.
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
    kProbationOutstanding = 1 ///< tries out at once on a target on probation
};

/// What a try tells of its target.
typedef enum {
    kOutcomeDone,        ///< ran and answered
    kOutcomeFailed,      ///< ran or may have run, and failed
    kOutcomeRefused,     ///< refused before the start: no free slot
    kOutcomeUnreachable, ///< could not be reached
    kOutcomeLeaving,     ///< refused before the start: it is leaving
    kOutcomeAborted      ///< ended by us; says nothing
} target_outcome_t;

/// A target. Fixed fields are set before it is published; the rest are
/// atomics that any thread reads and writes.
typedef struct {
    uint32_t vm;
    uint16_t port;
    char address[kTargetAddressBytes];
    char base_url[kTargetUrlBytes];
    uint32_t slots;
    needs_t capacity;

    _Atomic uint32_t reference_count;
    _Atomic bool is_leaving;          ///< by the platform's list
    _Atomic int64_t leaving_until_ns; ///< by its own word, until then
    _Atomic uint32_t share_slots;     ///< this process's own part of the slots
    _Atomic uint32_t outstanding;     ///< tries of this process that are out
    _Atomic uint32_t
        others_busy_slots; ///< slots that others use, as last reported
    _Atomic int64_t others_valid_until_ns; ///< how long that is believed
    _Atomic uint32_t backoff_limit;        ///< most tries out after a refusal
    _Atomic int64_t backoff_until_ns;      ///< how long that holds
    _Atomic int64_t unreachable_until_ns;
    _Atomic uint32_t refusal_streak;     ///< refusals since the last done try
    _Atomic int64_t slowness_log2_milli; ///< see target_slowness_log2_milli
    _Atomic uint32_t sample_count;       ///< tries that it was learned from
    _Atomic uint32_t failure_streak;
    _Atomic int64_t ejected_until_ns; ///< 0 when not ejected
    _Atomic bool
        is_on_probation; ///< new or back from ejection, not yet proved
    _Atomic uint64_t done_count;
    _Atomic uint64_t failed_count;
} target_t;

/// The targets of one data centre at one time. The list is immutable once
/// published; the count of ejections is not.
typedef struct {
    uint32_t count;
    int32_t max_ejected; ///< most targets ejected at once
    target_t **targets;
    _Atomic int32_t ejected_count;
} target_table_t;

/// Builds the table that follows another one. Targets that stay keep what is
/// known of them.
///
/// @param old          table to follow, or NULL
/// @param vms          the platform's list
/// @param vm_count     entries of the list
/// @param dc           data centre whose targets are taken
/// @param entry_vm     VM of this process, for its share of the slots
/// @param max_ejected_percent  largest share of targets ejected at once
target_table_t *target_table_build(const target_table_t *old,
                                   const vm_entry_t *vms, uint32_t vm_count,
                                   uint16_t dc, uint32_t entry_vm,
                                   uint32_t max_ejected_percent);

/// Frees a table and lets go of its targets.
void target_table_free(target_table_t *table);

/// @return whether any target could ever run a task of these needs
bool target_table_fits(const target_table_t *table, const needs_t *needs);

/// @return slots of all targets that are not leaving
uint64_t target_table_slots(const target_table_t *table);

/// @return whether the target is large enough
bool target_fits(const target_t *target, const needs_t *needs);

/// @param may_borrow  whether slots beyond the own share count
/// @return whether a try may be sent now
bool target_is_open(const target_t *target, bool may_borrow, int64_t now_ns);

/// Takes a slot. The caller holds the target until target_release.
///
/// @return whether there was one
bool target_reserve(target_t *target, bool may_borrow, int64_t now_ns);

/// Gives a slot back, with what was learned.
///
/// @param sign              what the try told
/// @param time_ratio_log2_milli  of a done try: binary logarithm of its time
/// over
///                          the time that was expected, in 1/1000
void target_release(target_t *target, target_table_t *table,
                    target_outcome_t sign, int64_t time_ratio_log2_milli,
                    int64_t now_ns);

/// Notes that the target said it is leaving, whatever the list says.
void target_mark_leaving(target_t *target, int64_t now_ns);

/// Takes in a load that the target reported with the answer to a try that is
/// still counted as out.
void target_update_load(target_t *target, uint32_t busy, int64_t now_ns);

/// @return how slow the target is: the mean of the binary logarithm of run
///         times over expected ones, in 1/1000; 0 for one never tried
int64_t target_slowness_log2_milli(const target_t *target);

/// @return the least slowness of the targets that were tried
int64_t target_table_min_slowness_log2_milli(const target_table_t *table);

/// @return a time stretched by a slowness
int64_t target_scale_time_ns(int64_t time_ns, int64_t millibits);

/// @return the binary logarithm of a time over another, in 1/1000
int64_t target_time_ratio_log2_milli(int64_t time_ns, int64_t expected_ns);

#endif
