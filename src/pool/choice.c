#include "pool/choice.h"

#include <stddef.h>

enum {
    kFullPoolPenaltyMs = 40,   ///< for a pool without room for any task of the
                               ///< job; in proportion for part of them
    kRemotePenaltyMs = 8,      ///< for a pool of another data centre
    kUnknownRoomPenaltyMs = 4, ///< for a pool that has not told its load
    kStoppingPenaltyMs = 1000,
    kNoTargetsPenaltyMs = 2000, ///< it refuses what a stopping one may accept
    /// The own pool costs no messages: it is preferred if it has room for this
    /// many times the job.
    kOwnRoomFactor = 2,
    kOwnPoolBonusMs = 1
};

/// @return the class of a task's size
static uint32_t
find_class(uint32_t cpu_mcores)
{
    uint32_t class = cpu_mcores == 0 ? 0 : (cpu_mcores - 1) / kRoomStepMcores;
    return class < kRoomClasses ? class : kRoomClasses - 1;
}

void
room_add_target(room_t *room, int64_t free_mcores)
{
    for (uint32_t i = 0;
         i < kRoomClasses && free_mcores >= (int64_t)(i + 1) * kRoomStepMcores;
         i++) {
        room->fitting_counts[i] +=
            (uint32_t)(free_mcores / ((int64_t)(i + 1) * kRoomStepMcores));
    }
}

uint32_t
room_count_fitting(const room_t *room, uint32_t cpu_mcores)
{
    return room->fitting_counts[find_class(cpu_mcores)];
}

void
room_take(room_t *room, uint32_t cpu_mcores, uint32_t count)
{
    uint32_t class = find_class(cpu_mcores);
    for (uint32_t i = 0; i < kRoomClasses; i++) {
        // A task takes the room of several smaller ones, or of one larger one.
        uint64_t taken = i < class ? (uint64_t)count * (class + 1) / (i + 1)
                                   : (uint64_t)count;
        room->fitting_counts[i] -= taken < room->fitting_counts[i]
                                       ? (uint32_t)taken
                                       : room->fitting_counts[i];
    }
}

int64_t
choice_estimate_wait_ms(const pool_offer_t *offer, const job_need_t *need)
{
    int64_t wait_ms = (offer->is_local ? 0 : kRemotePenaltyMs) +
                      (offer->is_stopping ? kStoppingPenaltyMs : 0) +
                      (offer->has_no_targets ? kNoTargetsPenaltyMs : 0);
    if (offer->room == NULL) {
        return wait_ms + kUnknownRoomPenaltyMs;
    }
    uint32_t count = need->task_count > 0 ? need->task_count : 1;
    uint32_t fitting = room_count_fitting(offer->room, need->cpu_mcores);
    if (fitting < count) {
        wait_ms += offer->backlog_ms +
                   (int64_t)kFullPoolPenaltyMs * (count - fitting) / count;
    }
    else if (offer->is_self && fitting >= kOwnRoomFactor * count) {
        wait_ms -= kOwnPoolBonusMs;
    }
    return wait_ms;
}

void
choice_add(pool_choice_t *choice, const pool_offer_t *offer,
           const job_need_t *need)
{
    int64_t wait_ms = choice_estimate_wait_ms(offer, need);
    uint64_t weight =
        1 + (offer->room == NULL
                 ? 0
                 : room_count_fitting(offer->room, need->cpu_mcores));
    if (choice->best == NULL || wait_ms < choice->wait_ms) {
        choice->wait_ms = wait_ms;
        choice->weight = 0;
    }
    else if (wait_ms > choice->wait_ms) {
        return;
    }
    choice->weight += weight;
    if (rng_next(choice->rng) % choice->weight < weight) {
        choice->best = offer->pool;
    }
}
