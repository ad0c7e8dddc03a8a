/// The choice of a pool for a job by a coordinator, from what the pools have
/// told of their load. The sum of free cores says little: when most targets
/// are busy, the rest is spread over them in parts that are too small for a
/// task. So a pool tells how many tasks of each size it could start now.
#ifndef JT_POOL_CHOICE_H
#define JT_POOL_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

enum {
    kRoomClasses = 32,
    kRoomStepMcores = 2000 ///< sizes are rounded up to multiples of this
};

/// How many tasks of each size a pool could start now. Class i is for tasks of
/// up to (i + 1) * kRoomStepMcores; the last one also for larger ones.
typedef struct {
    uint32_t fitting_counts[kRoomClasses];
} room_t;

/// Adds the free part of a target.
void room_add_target(room_t *room, int64_t free_mcores);

/// @return how many tasks of a size fit
uint32_t room_count_fitting(const room_t *room, uint32_t cpu_mcores);

/// Removes the room that tasks take up that were sent to the pool since it
/// told its room.
void room_take(room_t *room, uint32_t cpu_mcores, uint32_t count);

/// What a job needs at its start.
typedef struct {
    uint32_t cpu_mcores; ///< of its largest task
    uint32_t task_count;
} job_need_t;

/// A pool that may be chosen.
typedef struct {
    const room_t *room;  ///< NULL if it is not known or too old
    uint32_t backlog_ms; ///< expected wait of a new task
    bool is_self;        ///< of the coordinator's own node
    bool is_local;       ///< in the coordinator's data centre
    bool is_stopping;    ///< takes orders only while there is no other owner
    bool has_no_targets; ///< refuses orders at present
    void *pool;          ///< for pool_choice_t.best
} pool_offer_t;

/// The choice among the offers so far.
typedef struct {
    rng_t *rng;
    int64_t wait_ms; ///< expected wait in the best pools
    uint64_t weight; ///< sum of the weights of the pools with this wait
    void *best;      ///< the chosen pool; NULL before the first offer
} pool_choice_t;

/// @return the expected wait of a job in a pool, with a penalty for each of
/// its
///         disadvantages
int64_t choice_estimate_wait_ms(const pool_offer_t *offer,
                                const job_need_t *need);

/// Takes an offer into account. Among pools with the same expected wait, one
/// is drawn with a probability in proportion to its room: coordinators that
/// know the same do not all choose the same pool.
void choice_add(pool_choice_t *choice, const pool_offer_t *offer,
                const job_need_t *need);

#endif
