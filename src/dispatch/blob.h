/// Immutable bytes with a count of holders; any thread may hold them.
#ifndef JT_DISPATCH_BLOB_H
#define JT_DISPATCH_BLOB_H

#include <stdatomic.h>

#include "base/record.h"

typedef struct {
    _Atomic uint32_t holder_count;
    uint32_t size_bytes;
    uint8_t data[];
} blob_t;

/// Copies bytes into a blob with one holder.
blob_t *blob_create(const void *data, uint32_t size_bytes);

/// @return the same blob, held once more
blob_t *blob_hold(blob_t *blob);

/// Lets go; the last holder frees it. NULL is let be.
void blob_drop(blob_t *blob);

/// @return the bytes, valid while the blob is held
bytes_t blob_bytes(const blob_t *blob);

#endif
