/// Teams and their quotas, read under RCU, charged with atomics.
///
/// A quota is a rate with a burst, kept as one number: the time at which
/// all that was charged would be paid (the generic cell rate algorithm).
/// Refill takes no timer and no message.
#ifndef JT_LIMIT_TEAM_H
#define JT_LIMIT_TEAM_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "generated/documents.h"

enum { kTeamNameBytes = 65 };

typedef struct {
    char name[kTeamNameBytes];
    _Atomic uint32_t reference_count;
    _Atomic uint32_t priority;
    quota_t quota; ///< as configured; written and read by one thread only
    _Atomic int64_t cost_ns;  ///< of one task; 0 for no limit
    _Atomic int64_t burst_ns; ///< how far payment may lag behind
    _Atomic int64_t theoretical_arrival_ns;
} team_t;

/// Creates a team with one reference.
team_t *team_create(const char *name);

void team_acquire(team_t *team);

/// Drops a reference; the last one frees the team.
void team_release(team_t *team);

/// Sets the limits of a team.
///
/// @param section      the team's section
/// @param share_count  processes that the quota is split over, at least 1
void team_configure(team_t *team, const section_document_t *section,
                    uint32_t share_count);

/// Splits the same quota over another number of processes.
void team_set_share_count(team_t *team, uint32_t share_count);

/// Charges tasks to a team.
///
/// @param retry_at_ns  set to the time when the charge would pass, where it
///                     does not
/// @return whether the team may start them
bool team_charge(team_t *team, uint32_t task_count, int64_t now_ns,
                 int64_t *retry_at_ns);

#endif
