#include "base/arena.h"

#include <stdlib.h>
#include <string.h>

enum {
    kMaxSpareArenas = 64,       ///< per thread
    kMaxSpareBytes = 32 * 1024, ///< free memory that an arena keeps
};

/// Called by APR when it is out of memory.
static int
abort_out_of_memory(int status)
{
    (void)status;
    abort();
}

/// Arenas that this thread destroyed and reuses. Each has its own allocator,
/// so another thread may have created it.
static _Thread_local arena_t *spare_arenas[kMaxSpareArenas];
static _Thread_local uint32_t spare_count;

static arena_t *
create_pool(void)
{
    apr_allocator_t *allocator = NULL;
    apr_pool_t *pool = NULL;
    if (apr_allocator_create(&allocator) != APR_SUCCESS) {
        abort();
    }
    apr_allocator_max_free_set(allocator, kMaxSpareBytes);
    apr_pool_create_unmanaged_ex(&pool, abort_out_of_memory, allocator);
    apr_allocator_owner_set(allocator, pool);
    return pool;
}

arena_t *
arena_create(void)
{
    if (spare_count > 0) {
        return spare_arenas[--spare_count];
    }
    return create_pool();
}

void
arena_destroy(arena_t *arena)
{
    if (arena == NULL) {
        return;
    }
    if (spare_count < kMaxSpareArenas) {
        apr_pool_clear(arena);
        spare_arenas[spare_count++] = arena;
        return;
    }
    apr_pool_destroy(arena);
}

void
arena_release_spares(void)
{
    while (spare_count > 0) {
        apr_pool_destroy(spare_arenas[--spare_count]);
    }
}

char *
arena_copy(arena_t *arena, const void *data, uint64_t size_bytes)
{
    char *copy = apr_palloc(arena, size_bytes + 1);
    if (size_bytes > 0) {
        memcpy(copy, data, size_bytes);
    }
    copy[size_bytes] = '\0';
    return copy;
}
