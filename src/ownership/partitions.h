/// The partitions of a data centre's targets that this node holds. A target
/// belongs to the partition given by the hash of its id; the platform's store
/// assigns each partition to one member of a group at a time. The group's
/// generation at which a member received a partition is the fencing token that
/// the member presents to the partition's targets.
#ifndef JT_OWNERSHIP_PARTITIONS_H
#define JT_OWNERSHIP_PARTITIONS_H

#include <stdbool.h>
#include <stdint.h>

/// The partitions held, and their tokens.
///
/// A partition that the store moves to another member is revoked first: its
/// new owner receives it only when the old one joins with the new generation.
/// Until then the old owner still holds it, and may wait for the runs on its
/// targets to end.
typedef struct {
    uint64_t *tokens; ///< by partition; 0 for one that is not held
    bool *is_revoked; ///< by partition: still held, but to be released
    uint32_t count;
    uint32_t revoked_count;
    uint64_t join_generation;   ///< to send with the next join
    uint64_t newest_generation; ///< in the store's last answer
} partitions_t;

/// Creates a table that holds no partition. Free it with partitions_clear.
void partitions_init(partitions_t *partitions, uint32_t count);

void partitions_clear(partitions_t *partitions);

/// Applies the store's answer to a join. A partition that stays assigned keeps
/// its token; one that is no longer assigned is revoked. An answer older than
/// the last one is ignored.
///
/// @param assigned  the partitions assigned to this member
/// @return whether any partition was gained, revoked or restored
bool partitions_update(partitions_t *partitions, uint64_t generation,
                       const uint32_t *assigned, uint32_t assigned_count);

/// Replaces a partition's token by the newest generation. Used when a target
/// rejects the token although the store still assigns the partition to this
/// node.
///
/// @return whether the token increased
bool partitions_renew_token(partitions_t *partitions, uint32_t partition);

/// Releases a revoked partition. Once the last one is released, the next join
/// uses the newest generation.
void partitions_release(partitions_t *partitions, uint32_t partition);

/// Releases all partitions.
void partitions_drop_all(partitions_t *partitions);

/// @return the partition of a target
uint32_t partitions_find(const partitions_t *partitions,
                         const char *target_id);

/// @return how many partitions are held and not revoked
uint32_t partitions_count_held(const partitions_t *partitions);

#endif
