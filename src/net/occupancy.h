/// Connections that others have opened to this process, and the memory that
/// they hold. When memory or connections are short, those that have made the
/// least progress for their age are closed. Safe from any thread; a lock is
/// taken only to open, to close and to choose.
#ifndef JT_NET_OCCUPANCY_H
#define JT_NET_OCCUPANCY_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "limit/memory_budget.h"

/// What a connection is doing.
typedef enum {
    kOccupantIdle,    ///< holds no memory
    kOccupantBusy,    ///< receives or sends
    kOccupantWaiting, ///< for this process: not closed
} occupant_state_t;

typedef struct occupant occupant_t;

/// The connections of one server or kind.
typedef struct {
    const char *name; ///< for the log
    memory_budget_t *budget;
    uint32_t open_limit;  ///< beyond which connections are closed
    uint32_t small_bytes; ///< memory of an ordinary connection, which may use
                          ///< the whole budget
    pthread_mutex_t mutex;
    occupant_t *first;
    uint32_t open_count; ///< without those that were told to go
    uint32_t unlogged_count;
    int64_t log_due_ns;
} occupancy_t;

/// A connection; a part of its owner's.
struct occupant {
    occupancy_t *occupancy;
    occupant_t *previous;
    occupant_t *next;
    int32_t fd;
    _Atomic uint32_t state;
    _Atomic uint64_t charged_bytes;
    _Atomic uint64_t received_bytes;
    _Atomic int64_t since_ns;
    _Atomic uint64_t expected_bytes; ///< of the budget, once it was told to go
    _Atomic bool is_evicted;
    _Atomic bool is_proven; ///< has sent valid messages
};

/// @param budget  kept by the caller; occupancies may share it
void occupancy_init(occupancy_t *occupancy, const char *name,
                    memory_budget_t *budget, uint32_t open_limit,
                    uint32_t small_bytes);

/// Adds a connection, and closes others if there are too many.
void occupancy_add(occupancy_t *occupancy, occupant_t *occupant, int32_t fd);

/// Removes a connection and gives back all that it was charged. Call it before
/// the socket is closed, so that no other socket that has taken its number is
/// shut down.
void occupancy_remove(occupant_t *occupant);

/// Charges memory that a connection is about to take.
///
/// @return whether the budget had room and the connection was not told to go
bool occupant_charge(occupant_t *occupant, uint64_t bytes);

/// Gives back a part of what a connection was charged.
void occupant_release(occupant_t *occupant, uint64_t bytes);

/// Gives back all that a connection was charged; it is idle again.
void occupant_release_all(occupant_t *occupant);

/// Notes bytes that were received.
void occupant_note_progress(occupant_t *occupant, uint64_t bytes);

/// Begins a new stage, from which age and progress count.
void occupant_set_state(occupant_t *occupant, occupant_state_t state);

/// Changes the state within a stage.
void occupant_update_state(occupant_t *occupant, occupant_state_t state);

/// Notes that a connection has sent a valid message.
void occupant_set_proven(occupant_t *occupant);

/// @return whether a connection was told to go
bool occupant_is_evicted(const occupant_t *occupant);

#endif
