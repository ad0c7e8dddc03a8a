#include "ownership/partitions.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

void
cells_init(cells_t *partitions, uint32_t count)
{
    *partitions =
        (cells_t){.tokens = calloc(count, sizeof *partitions->tokens),
                  .is_leaving = calloc(count, sizeof *partitions->is_leaving),
                  .count = count};
}

void
cells_clear(cells_t *partitions)
{
    free(partitions->tokens);
    free(partitions->is_leaving);
    *partitions = (cells_t){0};
}

static bool
is_among(const uint32_t *held, uint32_t held_count, uint32_t cell)
{
    for (uint32_t i = 0; i < held_count; i++) {
        if (held[i] == cell) {
            return true;
        }
    }
    return false;
}

/// Once nothing is leaving, the newest generation may be joined with.
static void
settle_generation(cells_t *partitions)
{
    if (partitions->leaving_count == 0) {
        partitions->generation = partitions->newest;
    }
}

/// Sets whether a cell is leaving.
///
/// @return whether that changed
static bool
set_leaving(cells_t *partitions, uint32_t cell, bool is_leaving)
{
    if (partitions->is_leaving[cell] == is_leaving) {
        return false;
    }
    partitions->is_leaving[cell] = is_leaving;
    partitions->leaving_count += is_leaving ? 1 : UINT32_MAX;
    return true;
}

bool
cells_take(cells_t *partitions, uint64_t generation, const uint32_t *held,
           uint32_t held_count)
{
    bool has_changed = false;
    if (generation < partitions->newest) {
        return false;
    }
    partitions->newest = generation;
    for (uint32_t i = 0; i < partitions->count; i++) {
        bool is_held = is_among(held, held_count, i);
        if (is_held && partitions->tokens[i] == 0) {
            partitions->tokens[i] = generation;
            has_changed = true;
        }
        else if (partitions->tokens[i] != 0) {
            has_changed |= set_leaving(partitions, i, !is_held);
        }
    }
    settle_generation(partitions);
    return has_changed;
}

void
cells_release(cells_t *partitions, uint32_t cell)
{
    set_leaving(partitions, cell, false);
    partitions->tokens[cell] = 0;
    settle_generation(partitions);
}

bool
cells_raise(cells_t *partitions, uint32_t cell)
{
    if (partitions->tokens[cell] == 0 || partitions->is_leaving[cell] ||
        partitions->tokens[cell] >= partitions->newest) {
        return false;
    }
    partitions->tokens[cell] = partitions->newest;
    return true;
}

void
cells_drop(cells_t *partitions)
{
    memset(partitions->tokens, 0,
           partitions->count * sizeof *partitions->tokens);
    memset(partitions->is_leaving, 0,
           partitions->count * sizeof *partitions->is_leaving);
    partitions->leaving_count = 0;
    settle_generation(partitions);
}

uint32_t
cells_find(const cells_t *partitions, const char *target_id)
{
    return (uint32_t)(hash_text(target_id) % partitions->count);
}

uint32_t
cells_held(const cells_t *partitions)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < partitions->count; i++) {
        count += partitions->tokens[i] != 0 && !partitions->is_leaving[i];
    }
    return count;
}
