#include "dispatch/blob.h"

#include <stdlib.h>
#include <string.h>

blob_t *
blob_create(const void *data, uint32_t size_bytes)
{
    blob_t *blob = malloc(sizeof *blob + size_bytes);
    if (blob == NULL) {
        abort();
    }
    atomic_init(&blob->reference_count, 1);
    blob->size_bytes = size_bytes;
    if (size_bytes > 0) {
        memcpy(blob->data, data, size_bytes);
    }
    return blob;
}

blob_t *
blob_ref(blob_t *blob)
{
    atomic_fetch_add_explicit(&blob->reference_count, 1, memory_order_relaxed);
    return blob;
}

void
blob_unref(blob_t *blob)
{
    if (blob != NULL && atomic_fetch_sub(&blob->reference_count, 1) == 1) {
        free(blob);
    }
}

bytes_t
blob_bytes(const blob_t *blob)
{
    return (bytes_t){.data = blob->data, .size_bytes = blob->size_bytes};
}
