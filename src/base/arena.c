#include "base/arena.h"

#include <stdlib.h>
#include <string.h>

enum {
    kSpareArenas = 64,       ///< kept by a thread
    kSpareBytes = 32 * 1024, ///< that a kept arena holds on to
};

/// Ends the process when an arena gets no memory.
static int
abort_on_exhaustion(int status)
{
    (void)status;
    abort();
}

/// Arenas that this thread destroyed, for its next ones. Each has memory and
/// an allocator of its own, so that it may come from any thread.
static _Thread_local arena_t *spare_arenas[kSpareArenas];
static _Thread_local uint32_t spare_count;

static arena_t *
create_fresh(void)
{
    apr_allocator_t *allocator = NULL;
    apr_pool_t *pool = NULL;
    if (apr_allocator_create(&allocator) != APR_SUCCESS) {
        abort();
    }
    apr_allocator_max_free_set(allocator, kSpareBytes);
    apr_pool_create_unmanaged_ex(&pool, abort_on_exhaustion, allocator);
    apr_allocator_owner_set(allocator, pool);
    return pool;
}

arena_t *
arena_create(void)
{
    if (spare_count > 0) {
        return spare_arenas[--spare_count];
    }
    return create_fresh();
}

void
arena_destroy(arena_t *arena)
{
    if (arena == NULL) {
        return;
    }
    if (spare_count < kSpareArenas) {
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
