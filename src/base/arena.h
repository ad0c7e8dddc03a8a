/// Arenas: APR pools, each with its own allocator, so that threads share no
/// lock.
#ifndef JT_BASE_ARENA_H
#define JT_BASE_ARENA_H

#include <apr_pools.h>
#include <stdint.h>

typedef apr_pool_t arena_t;

/// Creates an arena. Aborts the process when out of memory.
///
/// @return the arena; free it with arena_destroy
arena_t *arena_create(void);

/// Frees all memory of an arena. Safe from any thread. NULL is ignored.
void arena_destroy(arena_t *arena);

/// Frees the spare arenas that the calling thread keeps for reuse.
void arena_release_spares(void);

/// Copies bytes into an arena and appends a NUL.
///
/// @return the copy
char *arena_copy(arena_t *arena, const void *data, uint64_t size_bytes);

#endif
