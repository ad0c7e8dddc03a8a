#include "node/queues.h"

#include <stdbool.h>
#include <string.h>
#include <strings.h>

/// @return whether a Host header, with a port or without, names the host
static bool
is_host(const char *header, const char *host)
{
    size_t length = strlen(host);
    return strncasecmp(header, host, length) == 0 &&
           (header[length] == '\0' || header[length] == ':');
}

const queue_t *
queues_find(const queue_table_t *table, const char *host, const char *path)
{
    const queue_t *found = NULL;
    for (uint32_t i = 0; i < table->count; i++) {
        const queue_t *queue = &table->queues[i];
        if ((found == NULL || queue->prefix_bytes > found->prefix_bytes) &&
            strncmp(path, queue->prefix, queue->prefix_bytes) == 0 &&
            is_host(host, queue->host)) {
            found = queue;
        }
    }
    return found;
}

void
queues_free(queue_table_t *table)
{
    if (table != NULL) {
        arena_destroy(table->arena);
    }
}
