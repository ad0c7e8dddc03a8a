#include "ownership/partitions.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

void
cells_init(cells_t *cells, uint32_t count)
{
    *cells = (cells_t){.tokens = calloc(count, sizeof *cells->tokens),
                       .is_leaving = calloc(count, sizeof *cells->is_leaving),
                       .count = count};
}

void
cells_clear(cells_t *cells)
{
    free(cells->tokens);
    free(cells->is_leaving);
    *cells = (cells_t){0};
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
settle_generation(cells_t *cells)
{
    if (cells->leaving_count == 0) {
        cells->generation = cells->newest;
    }
}

/// Sets whether a cell is leaving.
///
/// @return whether that changed
static bool
set_leaving(cells_t *cells, uint32_t cell, bool is_leaving)
{
    if (cells->is_leaving[cell] == is_leaving) {
        return false;
    }
    cells->is_leaving[cell] = is_leaving;
    cells->leaving_count += is_leaving ? 1 : UINT32_MAX;
    return true;
}

bool
cells_take(cells_t *cells, uint64_t generation, const uint32_t *held,
           uint32_t held_count)
{
    bool has_changed = false;
    if (generation < cells->newest) {
        return false;
    }
    cells->newest = generation;
    for (uint32_t i = 0; i < cells->count; i++) {
        bool is_held = is_among(held, held_count, i);
        if (is_held && cells->tokens[i] == 0) {
            cells->tokens[i] = generation;
            has_changed = true;
        }
        else if (cells->tokens[i] != 0) {
            has_changed |= set_leaving(cells, i, !is_held);
        }
    }
    settle_generation(cells);
    return has_changed;
}

void
cells_release(cells_t *cells, uint32_t cell)
{
    set_leaving(cells, cell, false);
    cells->tokens[cell] = 0;
    settle_generation(cells);
}

bool
cells_raise(cells_t *cells, uint32_t cell)
{
    if (cells->tokens[cell] == 0 || cells->is_leaving[cell] ||
        cells->tokens[cell] >= cells->newest) {
        return false;
    }
    cells->tokens[cell] = cells->newest;
    return true;
}

void
cells_drop(cells_t *cells)
{
    memset(cells->tokens, 0, cells->count * sizeof *cells->tokens);
    memset(cells->is_leaving, 0, cells->count * sizeof *cells->is_leaving);
    cells->leaving_count = 0;
    settle_generation(cells);
}

uint32_t
cells_find(const cells_t *cells, const char *target_id)
{
    return (uint32_t)(hash_text(target_id) % cells->count);
}

uint32_t
cells_held(const cells_t *cells)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < cells->count; i++) {
        count += cells->tokens[i] != 0 && !cells->is_leaving[i];
    }
    return count;
}
