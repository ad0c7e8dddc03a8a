#include "pool/name_index.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

enum {
    kMinSlots = 8,
    kSlotsPerName = 2 ///< at least
};

static uint64_t
hash_number(uint64_t hash, uint32_t number)
{
    for (uint32_t shift = 0; shift < 32; shift += 8) {
        hash = hash_add(hash, (uint8_t)(number >> shift));
    }
    return hash;
}

static uint64_t
hash_name(const run_name_t *name)
{
    uint64_t hash = hash_text(name->job);
    hash = hash_number(hash, name->step);
    hash = hash_number(hash, name->index);
    hash = hash_number(hash, name->attempt);
    return hash ^ hash >> 32;
}

static bool
names_equal(const run_name_t *left, const run_name_t *right)
{
    return left->attempt == right->attempt && left->step == right->step &&
           left->index == right->index && strcmp(left->job, right->job) == 0;
}

/// @return the slot of an equal name, or the free one where it belongs
static const run_name_t **
find_slot(const name_index_t *index, const run_name_t *name)
{
    uint32_t mask = index->slot_count - 1;
    uint32_t at = (uint32_t)hash_name(name) & mask;
    while (index->slots[at] != NULL && !names_equal(index->slots[at], name)) {
        at = (at + 1) & mask;
    }
    return &index->slots[at];
}

void
name_index_init(name_index_t *index, uint32_t capacity)
{
    uint32_t count = kMinSlots;
    while (count / kSlotsPerName < capacity) {
        count *= 2;
    }
    *index = (name_index_t){.slots = calloc(count, sizeof *index->slots),
                            .slot_count = count};
}

void
name_index_clear(name_index_t *index)
{
    free((void *)index->slots);
    *index = (name_index_t){0};
}

void
name_index_add(name_index_t *index, const run_name_t *name)
{
    const run_name_t **slot = find_slot(index, name);
    if (*slot == NULL) {
        *slot = name;
    }
}

const run_name_t *
name_index_find(const name_index_t *index, const run_name_t *name)
{
    return *find_slot(index, name);
}
