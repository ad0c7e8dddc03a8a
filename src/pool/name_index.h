/// An index of runs by name, so that lists of thousands of runs are compared
/// in linear time. Refers to the names; valid as long as they are.
#ifndef JT_POOL_NAME_INDEX_H
#define JT_POOL_NAME_INDEX_H

#include "pool/pool.h"

typedef struct {
    const run_name_t **slots; ///< NULL: free
    uint32_t slot_count;      ///< a power of two
} name_index_t;

/// @param capacity  how many names will be added at most
void name_index_init(name_index_t *index, uint32_t capacity);

void name_index_clear(name_index_t *index);

/// Adds a name. Of equal ones, the first stays.
void name_index_add(name_index_t *index, const run_name_t *name);

/// @return the name in the index that equals another one, or NULL
const run_name_t *name_index_find(const name_index_t *index,
                                  const run_name_t *name);

#endif
