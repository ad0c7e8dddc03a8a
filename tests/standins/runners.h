/// Stand-in for the users' runners, each on its own port. Counters over all of
/// them include events that must not happen.
#ifndef JT_TESTS_STANDINS_RUNNERS_H
#define JT_TESTS_STANDINS_RUNNERS_H

#include "standins/store.h"

typedef struct runners runners_t;

enum { kRunnersMaxDcs = 4 };

/// Counts over all runners.
typedef struct {
    uint64_t dc_starts[kRunnersMaxDcs + 1]; ///< by data centre, from 1 on
    uint64_t starts;
    uint64_t done;
    uint64_t failed;
    uint64_t stopped;
    uint64_t lapsed;      ///< runs that ended because the lease expired
    uint64_t doubles;     ///< starts of a task that ran on another runner too
    uint64_t out_of_room; ///< starts rejected for lack of capacity
    uint64_t drained;     ///< starts long after the runner began to drain
    uint64_t evacuated; ///< starts in a data centre long after its evacuation
    uint64_t crashes;   ///< runners that a task crashed
    uint64_t running;   ///< runs in progress
} runners_counters_t;

/// Opens runners on consecutive ports and publishes them in the store. The
/// task_spec of a task is its run time in milliseconds, or "crash" for a task
/// that crashes its runner: the runner ignores requests for two seconds, and
/// then restarts.
runners_t *runners_open(loop_t *loop, fake_store_t *store, const char *address,
                        uint16_t port, uint32_t count, uint32_t dcs,
                        error_info_t *err);

/// Sets the mode of a runner: good, dark (ignores requests and stops renewing
/// its record), stuck (new runs never finish), failing (runs fail), mute
/// (handles requests without a response), deaf (ignores stops), patchy
/// (ignores stops and every second list call), draining, or again (restarts in
/// mode good).
///
/// @return false if there is no such runner
bool runners_set_mode(runners_t *runners, uint32_t number, const char *mode);

/// Evacuates a data centre or takes that back, with a record in the store.
void runners_set_evacuated(runners_t *runners, uint32_t dc, bool is_evacuated);

/// Counts of one job.
typedef struct {
    uint64_t starts;
    uint64_t done;
} job_counters_t;

job_counters_t runners_read_job_counters(runners_t *runners, const char *job);

const runners_counters_t *runners_read_counters(runners_t *runners);

#endif
