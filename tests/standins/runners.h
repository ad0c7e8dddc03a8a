/// Stand-in for the users' runners: each on a port of its own. A ledger over
/// all of them counts what must not happen.
#ifndef JT_TESTS_STANDINS_RUNNERS_H
#define JT_TESTS_STANDINS_RUNNERS_H

#include "standins/store.h"

typedef struct runners runners_t;

/// What was seen on all runners.
typedef struct {
    uint64_t starts;
    uint64_t done;
    uint64_t failed;
    uint64_t stopped;
    uint64_t lapsed;
    uint64_t doubles;     ///< starts of a task that was at work elsewhere
    uint64_t out_of_room; ///< starts rejected for want of room
    uint64_t drained;     ///< starts long after the runner said it drains
    uint64_t running;     ///< at work now
} runners_counters_t;

/// Opens runners on successive ports and says so in the store. The work of a
/// task is the number of milliseconds in its payload.
runners_t *runners_open(loop_t *loop, fake_store_t *store, const char *address,
                        uint16_t port, uint32_t count, uint32_t dcs,
                        error_info_t *err);

/// Changes how a runner behaves: good, dark, stuck, failing, mute (carries
/// orders out and answers none), draining, or again (a new life).
bool runners_set_mode(runners_t *runners, uint32_t number, const char *mode);

/// What was seen of one job.
typedef struct {
    uint64_t starts;
    uint64_t done;
} job_counters_t;

job_counters_t runners_read_job_counters(runners_t *runners, const char *job);

const runners_counters_t *runners_read_counters(runners_t *runners);

#endif
