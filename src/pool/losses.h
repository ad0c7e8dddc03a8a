/// Runs that were lost with their targets. A task may crash each target that
/// starts it; the log tells such tasks from those that were on a target that
/// failed by itself. It outlives the orders: a job is submitted again under
/// the same name, perhaps to another node, so nodes also exchange the entries.
#ifndef JT_POOL_LOSSES_H
#define JT_POOL_LOSSES_H

#include <stdbool.h>
#include <stdint.h>

#include "generated/messages.h"

enum {
    /// Losses that a node reports to the others: the latest ones. Bounds the
    /// size of its record.
    kLossReportLimit = 64
};

typedef struct losses losses_t;

/// How a task is started, given the runs that it has lost. Ordered: each is
/// more careful than the one before.
typedef enum {
    kCareNone, ///< it has lost no run
    /// On a target without other runs, and no other run joins it: if that
    /// target crashes too, the others are spared, and the task is the cause.
    kCareAlone,
    /// Not for some time after its last loss, unless it turns out that one of
    /// its targets did not crash. After several losses, not at all.
    kCareHeld,
    kCareGivenUp ///< not again: it has crashed too many targets
} care_t;

losses_t *losses_create(void);

void losses_destroy(losses_t *losses);

/// Records a run that was lost with its target, or may be. A loss that is both
/// sudden and over is a crash. Ignores age_ms.
void losses_add(losses_t *losses, const run_loss_t *loss, int64_t now_ns);

/// Handles the life of a target, by the time of its start: the earlier ones
/// are over.
///
/// @param is_answer  the target itself has answered just now: if it is in the
///                   same life, it was only silent, and its losses are dropped
void losses_resolve_target(losses_t *losses, const char *target,
                           uint64_t born_ms, bool is_answer, int64_t now_ns);

/// Handles that the life of a target in which runs were lost is over: another
/// one answers at its address.
void losses_end_target(losses_t *losses, const char *target, int64_t now_ns);

/// Removes a loss: the run has ended, and its target has not crashed.
void losses_remove(losses_t *losses, const run_loss_t *loss);

bool losses_is_empty(const losses_t *losses);

/// @return whether any task of a job has lost a run
bool losses_has_job(const losses_t *losses, const char *job, int64_t now_ns);

/// @param index  of the task within its step
care_t losses_decide_care(const losses_t *losses, const char *job,
                          uint32_t step, uint32_t index, int64_t now_ns);

/// Lists the losses that this node has recorded or found to be crashes, those
/// that changed last first. Their strings are valid until the next change.
///
/// @return their number, at most kLossReportLimit
uint32_t losses_report(const losses_t *losses,
                       run_loss_t out[kLossReportLimit], int64_t now_ns);

/// Replaces what another node has reported. A reported loss in a life that is
/// over stays until it expires; others that are no longer listed are dropped,
/// unless the list is as long as it may be.
void losses_put_reported(losses_t *losses, const char *node,
                         const run_loss_t *list, uint32_t count,
                         int64_t now_ns);

/// @return a number that increases with each change of what losses_report
///         lists, except for expiry
uint64_t losses_report_version(const losses_t *losses);

#endif
