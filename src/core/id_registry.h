/// The ids that one shard of an incarnation has minted, and the jobs that were
/// submitted under them.
///
/// Ids are minted in blocks. A block's start-by deadline is fixed when the
/// block is opened. One bit per id records whether the id was ever submitted;
/// these bits are kept for as long as the incarnation runs, the jobs only
/// until id_registry_forget.
#ifndef JT_CORE_ID_REGISTRY_H
#define JT_CORE_ID_REGISTRY_H

#include <stdint.h>

#include "core/job_id.h"

typedef struct id_registry id_registry_t;

/// Status of an id that comes with a request.
typedef enum {
    kIdStatusFresh, ///< minted, never submitted, before its start-by deadline
    kIdStatusHeld,  ///< submitted; the job is held
    kIdStatusForgotten, ///< submitted; the job is no longer held
    kIdStatusExpired,   ///< never submitted, and its start-by deadline passed
    kIdStatusUnknown    ///< not an id of this shard
} id_status_t;

/// Creates the registry of a shard.
///
/// @param home         the incarnation
/// @param secret       key of the ids' hashes
/// @param shard        number of the shard
/// @param shard_count  shards of the incarnation; the sequence numbers of
///                     shard n are n, n + shard_count, n + 2 * shard_count...
id_registry_t *id_registry_create(const incarnation_t *home,
                                  const uint8_t secret[kJobIdSecretBytes],
                                  uint32_t shard, uint32_t shard_count);

void id_registry_destroy(id_registry_t *registry);

/// Mints ids.
///
/// @param count      number of ids
/// @param now_ns     the time
/// @param submit_window_ns  time from opening a block to its start-by deadline
/// @param out        set to `count` ids
/// @return the earliest start-by deadline of these ids
int64_t id_registry_mint(id_registry_t *registry, uint32_t count,
                         int64_t now_ns, int64_t submit_window_ns,
                         job_id_t *out);

/// Verifies an id and looks up its status.
///
/// @param job  set to the held job if the status is kIdStatusHeld, else NULL
id_status_t id_registry_lookup(const id_registry_t *registry,
                               const job_id_t *id, int64_t now_ns, void **job);

/// Records the first submission under an id whose status is kIdStatusFresh.
void id_registry_submit(id_registry_t *registry, uint64_t sequence, void *job);

/// Removes a held job. The id stays marked as submitted.
void id_registry_forget(id_registry_t *registry, uint64_t sequence);

/// @return the latest start-by deadline of all ids, or 0 if none was minted
int64_t id_registry_last_start_by_ns(const id_registry_t *registry);

#endif
