/// Allocation that ends the program if there is no memory.
#ifndef JT_BENCH_FLEET_MEMORY_H
#define JT_BENCH_FLEET_MEMORY_H

#include <stddef.h>
#include <stdlib.h>

static inline void *
memory_get_zeroed(size_t count, size_t bytes)
{
    void *memory = calloc(count, bytes);
    if (memory == NULL) {
        abort();
    }
    return memory;
}

static inline void *
memory_resize(void *memory, size_t bytes)
{
    void *resized = realloc(memory, bytes);
    if (resized == NULL) {
        abort();
    }
    return resized;
}

#endif
