/// Arenas: APR pools, each with an allocator of its own, so that threads
/// share no lock.
#ifndef JT_BASE_ARENA_H
#define JT_BASE_ARENA_H

#include <apr_pools.h>
#include <stdint.h>

typedef apr_pool_t arena_t;

/// Creates an arena. Aborts the process when memory is out.
///
/// @return the arena; end it with arena_destroy
arena_t *arena_create(void);

/// Frees all memory of an arena; any thread. NULL is let be.
void arena_destroy(arena_t *arena);

/// Frees the arenas that the calling thread keeps for its next ones.
void arena_release_spares(void);

/// Copies bytes into an arena and adds a NUL after them.
///
/// @return the copy
char *arena_copy(arena_t *arena, const void *data, uint64_t size_bytes);

#endif
