/// Immutable, reference-counted bytes. Any thread may hold a reference.
#ifndef JT_DISPATCH_BLOB_H
#define JT_DISPATCH_BLOB_H

#include <stdatomic.h>

#include "base/record.h"

typedef struct {
    _Atomic uint32_t reference_count;
    uint32_t size_bytes;
    uint8_t data[];
} blob_t;

/// Copies bytes into a new blob with one reference.
blob_t *blob_create(const void *data, uint32_t size_bytes);

/// Takes another reference.
///
/// @return the same blob
blob_t *blob_ref(blob_t *blob);

/// Drops a reference; the last one frees the blob. NULL is ignored.
void blob_unref(blob_t *blob);

/// @return the bytes, valid as long as the caller holds a reference
bytes_t blob_bytes(const blob_t *blob);

#endif
