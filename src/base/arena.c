#include "base/arena.h"

#include <stdlib.h>
#include <string.h>

/// Ends the process when an arena gets no memory.
static int
abort_on_exhaustion(int status)
{
    (void)status;
    abort();
}

arena_t *
arena_create(void)
{
    apr_pool_t *pool = NULL;
    apr_pool_create_unmanaged_ex(&pool, abort_on_exhaustion, NULL);
    return pool;
}

void
arena_destroy(arena_t *arena)
{
    if (arena != NULL) {
        apr_pool_destroy(arena);
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
