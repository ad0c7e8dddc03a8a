/// Decides which connection of a caller is closed when memory or connections
/// are short: the one that has made the least progress for its age, so that
/// connections that stall cannot keep ordinary callers out.
#ifndef JT_LIMIT_EVICTION_H
#define JT_LIMIT_EVICTION_H

#include <stdbool.h>
#include <stdint.h>

/// What is known of a connection.
typedef struct {
    bool is_proven;          ///< has sent valid messages; goes after others
    uint64_t held_bytes;     ///< memory of its request, 0 without one
    uint64_t received_bytes; ///< of the request that it is sending
    int64_t since_ns; ///< when the request began, or else the connection, or
                      ///< the wait for its answer to be read
} eviction_candidate_t;

/// @return whether a connection is to be closed before another one
bool eviction_goes_before(const eviction_candidate_t *left,
                          const eviction_candidate_t *right, int64_t now_ns);

#endif
