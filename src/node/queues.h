/// The queues of the operator's configuration, as one immutable table that is
/// published by RCU: the threads that serve callers read it without a lock.
#ifndef JT_NODE_QUEUES_H
#define JT_NODE_QUEUES_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/arena.h"

/// A queue: which requests it takes, and how it runs their jobs.
typedef struct {
    const char *name;
    const char *host;
    const char *prefix; ///< of the path
    uint32_t prefix_bytes;
    const char *service; ///< service of the targets that run its tasks
    uint32_t priority;   ///< 0 goes first
    uint32_t attempt_limit;
    uint32_t slo_ms;
    uint32_t stretch_permille;
} queue_t;

typedef struct {
    arena_t *arena; ///< owns all of the table
    uint64_t version;
    queue_t *queues;
    uint32_t count;
} queue_table_t;

/// Finds the queue of a request: the one with the longest matching path prefix
/// among the queues of its host.
///
/// @return NULL if none matches
const queue_t *queues_find(const queue_table_t *table, const char *host,
                           const char *path);

/// Frees a table that no reader can see.
void queues_free(queue_table_t *table);

#endif
