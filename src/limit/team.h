/// Teams and their quotas. Teams are read under RCU and charged with atomics.
///
/// A quota is a rate with a burst, enforced by the generic cell rate algorithm
/// (GCRA). Its state is one number, the theoretical arrival time: the time at
/// which all charges so far are covered by the rate. Refilling needs
/// no timer and no message.
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
    _Atomic int64_t task_interval_ns; ///< time that the rate allows per task;
                                      ///< 0 for no limit
    _Atomic int64_t burst_tolerance_ns; ///< how far the theoretical arrival
                                        ///< time may be in the future
    _Atomic int64_t theoretical_arrival_ns;
} team_t;

/// Creates a team with one reference.
team_t *team_create(const char *name);

/// Adds a reference.
void team_acquire(team_t *team);

/// Drops a reference; dropping the last one frees the team.
void team_release(team_t *team);

/// Sets the quota and the priority of a team.
///
/// @param section      the team's section of the configuration
/// @param share_count  number of processes that share the quota, at least 1
void team_configure(team_t *team, const section_document_t *section,
                    uint32_t share_count);

/// Sets the number of processes that share the quota.
void team_set_share_count(team_t *team, uint32_t share_count);

/// Charges tasks to the quota of a team, or nothing if they exceed it.
///
/// @param retry_at_ns  if the tasks exceed the quota, set to the earliest time
///                     at which they would be within it
/// @return whether the tasks were charged
bool team_charge(team_t *team, uint32_t task_count, int64_t now_ns,
                 int64_t *retry_at_ns);

#endif
