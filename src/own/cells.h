/// Cells: the targets of a data centre are dealt into cells by a hash of
/// their names. The platform's store gives each cell to one member of a group
/// at a time; the group's generation at which a member got a cell is the
/// token that it shows to the cell's targets.
#ifndef JT_OWN_CELLS_H
#define JT_OWN_CELLS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t *tokens; ///< by cell; 0 for a cell that is not ours
    uint32_t count;
    uint64_t generation; ///< of the last answer
} cells_t;

/// Creates a table that holds no cell. End it with cells_clear.
void cells_init(cells_t *cells, uint32_t count);

void cells_clear(cells_t *cells);

/// Takes the answer of the store: the cells that this member holds now. A
/// cell that is held on keeps its token.
///
/// @return whether any cell came or went
bool cells_take(cells_t *cells, uint64_t generation, const uint32_t *held,
                uint32_t held_count);

/// Gives a cell the newest generation as its token, after one of its targets
/// rejected the old one although the store still lists the cell as ours.
///
/// @return whether the token rose
bool cells_raise(cells_t *cells, uint32_t cell);

/// Gives all cells up.
void cells_drop(cells_t *cells);

/// @return the cell of a target
uint32_t cells_find(const cells_t *cells, const char *target_id);

/// @return how many cells are held
uint32_t cells_held(const cells_t *cells);

#endif
