#include "pool/cancelled.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/units.h"

enum {
    /// Longer than a request waits in sockets while a process is frozen.
    kKeepMs = 15000,
    kEntryLimit = 4096
};

typedef struct {
    uint64_t
        name_hash; ///< of queue and job; equal ones are taken for the same
    int64_t until_ns;
} entry_t;

/// A ring, so that the entries are in the order of their times.
struct cancelled {
    entry_t entries[kEntryLimit];
    uint32_t first;
    uint32_t count;
};

cancelled_t *
cancelled_create(void)
{
    return calloc(1, sizeof(cancelled_t));
}

void
cancelled_destroy(cancelled_t *cancelled)
{
    free(cancelled);
}

static uint64_t
hash_name(const char *queue, const char *job)
{
    return hash_text(queue) * 31 + hash_text(job);
}

void
cancelled_add(cancelled_t *cancelled, const char *queue, const char *job,
              int64_t now_ns)
{
    while (cancelled->count > 0 &&
           (cancelled->count == kEntryLimit ||
            cancelled->entries[cancelled->first].until_ns <= now_ns)) {
        cancelled->first = (cancelled->first + 1) % kEntryLimit;
        cancelled->count--;
    }
    uint32_t at = (cancelled->first + cancelled->count++) % kEntryLimit;
    cancelled->entries[at] = (entry_t){.name_hash = hash_name(queue, job),
                                       .until_ns = now_ns + MS_TO_NS(kKeepMs)};
}

bool
cancelled_has(const cancelled_t *cancelled, const char *queue, const char *job,
              int64_t now_ns)
{
    if (cancelled->count == 0) {
        return false;
    }
    uint64_t name_hash = hash_name(queue, job);
    for (uint32_t i = 0; i < cancelled->count; i++) {
        const entry_t *entry =
            &cancelled->entries[(cancelled->first + i) % kEntryLimit];
        if (entry->name_hash == name_hash && entry->until_ns > now_ns) {
            return true;
        }
    }
    return false;
}
