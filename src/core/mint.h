/// The ids that one shard of an incarnation minted, and the jobs under them.
///
/// Ids come in blocks. A block's start-by deadline is fixed when the block
/// is opened. One bit an id says whether it was ever submitted; the bits are
/// kept for the life of the incarnation, the jobs only for a while.
#ifndef JT_CORE_MINT_H
#define JT_CORE_MINT_H

#include <stdint.h>

#include "core/job_id.h"

typedef struct mint id_registry_t;

/// What an id that comes with a submission or a read is.
typedef enum {
    kIdStatusFresh, ///< minted, never submitted, before its start-by deadline
    kIdStatusHeld,  ///< submitted; the job is held
    kIdStatusForgotten, ///< submitted; the job is no longer held
    kIdStatusExpired,   ///< never submitted, and too late now
    kIdStatusUnknown    ///< not an id of this shard
} id_status_t;

/// Creates the mint of a shard.
///
/// @param home         the incarnation
/// @param secret       key of the ids' hashes
/// @param shard        number of the shard
/// @param shard_count  shards of the incarnation; sequence numbers are dealt
///                     out in turn
id_registry_t *id_registry_create(const incarnation_t *home,
                                  const uint8_t secret[kJobIdSecretBytes],
                                  uint32_t shard, uint32_t shard_count);

void id_registry_destroy(id_registry_t *mint);

/// Mints ids.
///
/// @param count       how many
/// @param now_ns      the time
/// @param start_by_ns time that a new block's ids have to be submitted
/// @param out         `count` ids
/// @return the start-by deadline of the earliest of them
int64_t id_registry_mint(id_registry_t *mint, uint32_t count, int64_t now_ns,
                         int64_t start_by_ns, job_id_t *out);

/// Judges an id.
///
/// @param job  set to the held job where the verdict is kIdStatusHeld
id_status_t id_registry_lookup(const id_registry_t *mint, const job_id_t *id,
                               int64_t now_ns, void **job);

/// Records the first submission under an id that was judged fresh.
void id_registry_submit(id_registry_t *mint, uint64_t sequence, void *job);

/// Drops a held job. The id stays submitted.
void id_registry_forget(id_registry_t *mint, uint64_t sequence);

/// @return the latest start-by deadline of all ids, or 0 where none is minted
int64_t id_registry_last_start_by_ns(const id_registry_t *mint);

#endif
