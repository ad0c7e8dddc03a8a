/// Cells: the targets of a data centre are dealt into cells by a hash of
/// their names. The platform's store gives each cell to one member of a group
/// at a time; the group's generation at which a member got a cell is the
/// token that it shows to the cell's targets.
#ifndef JT_OWN_CELLS_H
#define JT_OWN_CELLS_H

#include <stdbool.h>
#include <stdint.h>

/// The store hands a cell that it moves to its next owner only when the one
/// before joins with the new generation. Until then that one may let its runs
/// end: such a cell is leaving.
typedef struct {
    uint64_t *tokens; ///< by cell; 0 for a cell that is not ours
    bool *is_leaving; ///< by cell: moved away, and not yet let go
    uint32_t count;
    uint32_t leaving_count;
    uint64_t generation; ///< to join with
    uint64_t newest;     ///< of the last answer
} cells_t;

/// Creates a table that holds no cell. End it with cells_clear.
void cells_init(cells_t *partitions, uint32_t count);

void cells_clear(cells_t *partitions);

/// Takes the answer of the store: the cells that this member holds now. A
/// cell that is held on keeps its token; one that is no longer held is
/// leaving from now on.
///
/// @return whether any cell came or went
bool cells_take(cells_t *partitions, uint64_t generation, const uint32_t *held,
                uint32_t held_count);

/// Gives a cell the newest generation as its token, after one of its targets
/// rejected the old one although the store still lists the cell as ours.
///
/// @return whether the token rose
bool cells_raise(cells_t *partitions, uint32_t cell);

/// Lets a leaving cell go. With the last one, the newest generation is the one
/// to join with.
void cells_release(cells_t *partitions, uint32_t cell);

/// Gives all cells up.
void cells_drop(cells_t *partitions);

/// @return the cell of a target
uint32_t cells_find(const cells_t *partitions, const char *target_id);

/// @return how many cells are held, without those that are leaving
uint32_t cells_held(const cells_t *partitions);

#endif
