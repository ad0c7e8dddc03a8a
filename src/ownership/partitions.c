#include "ownership/partitions.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

void
partitions_init(partitions_t *partitions, uint32_t count)
{
    *partitions = (partitions_t){
        .tokens = calloc(count, sizeof *partitions->tokens),
        .is_revoked = calloc(count, sizeof *partitions->is_revoked),
        .count = count};
}

void
partitions_clear(partitions_t *partitions)
{
    free(partitions->tokens);
    free(partitions->is_revoked);
    *partitions = (partitions_t){0};
}

static bool
contains(const uint32_t *assigned, uint32_t assigned_count, uint32_t partition)
{
    for (uint32_t i = 0; i < assigned_count; i++) {
        if (assigned[i] == partition) {
            return true;
        }
    }
    return false;
}

/// Uses the newest generation for the next join, unless there are still
/// revoked partitions to release.
static void
update_join_generation(partitions_t *partitions)
{
    if (partitions->revoked_count == 0) {
        partitions->join_generation = partitions->newest_generation;
    }
}

/// Marks a partition as revoked or not.
///
/// @return whether the mark changed
static bool
set_revoked(partitions_t *partitions, uint32_t partition, bool is_revoked)
{
    if (partitions->is_revoked[partition] == is_revoked) {
        return false;
    }
    partitions->is_revoked[partition] = is_revoked;
    partitions->revoked_count += is_revoked ? 1 : UINT32_MAX;
    return true;
}

bool
partitions_update(partitions_t *partitions, uint64_t generation,
                  const uint32_t *assigned, uint32_t assigned_count)
{
    bool is_changed = false;
    if (generation < partitions->newest_generation) {
        return false;
    }
    partitions->newest_generation = generation;
    for (uint32_t i = 0; i < partitions->count; i++) {
        bool is_assigned = contains(assigned, assigned_count, i);
        if (is_assigned && partitions->tokens[i] == 0) {
            partitions->tokens[i] = generation;
            is_changed = true;
        }
        else if (partitions->tokens[i] != 0) {
            is_changed |= set_revoked(partitions, i, !is_assigned);
        }
    }
    update_join_generation(partitions);
    return is_changed;
}

void
partitions_release(partitions_t *partitions, uint32_t partition)
{
    set_revoked(partitions, partition, false);
    partitions->tokens[partition] = 0;
    update_join_generation(partitions);
}

bool
partitions_renew_token(partitions_t *partitions, uint32_t partition)
{
    if (partitions->tokens[partition] == 0 ||
        partitions->is_revoked[partition] ||
        partitions->tokens[partition] >= partitions->newest_generation) {
        return false;
    }
    partitions->tokens[partition] = partitions->newest_generation;
    return true;
}

void
partitions_drop_all(partitions_t *partitions)
{
    memset(partitions->tokens, 0,
           partitions->count * sizeof *partitions->tokens);
    memset(partitions->is_revoked, 0,
           partitions->count * sizeof *partitions->is_revoked);
    partitions->revoked_count = 0;
    update_join_generation(partitions);
}

uint32_t
partitions_find(const partitions_t *partitions, const char *target_id)
{
    return (uint32_t)(hash_text(target_id) % partitions->count);
}

uint32_t
partitions_count_held(const partitions_t *partitions)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < partitions->count; i++) {
        count += partitions->tokens[i] != 0 && !partitions->is_revoked[i];
    }
    return count;
}
