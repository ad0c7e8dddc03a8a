#include "core/job_id.h"

#include <sodium.h>
#include <string.h>

enum { kAuthenticatedBytes = kJobIdPackedBytes - kJobIdMacBytes };

_Static_assert((int)kJobIdMacBytes == (int)crypto_shorthash_siphashx24_BYTES,
               "MAC size");
_Static_assert((int)kJobIdSecretBytes ==
                   (int)crypto_shorthash_siphashx24_KEYBYTES,
               "key size");

/// Writes an unsigned integer in big-endian order.
///
/// @return the position after it
static uint8_t *
write_uint(uint8_t *out, uint64_t number, uint32_t size_bytes)
{
    for (uint32_t i = 0; i < size_bytes; i++) {
        out[i] = (uint8_t)(number >> (8 * (size_bytes - 1 - i)));
    }
    return out + size_bytes;
}

/// Reads an unsigned integer in big-endian order.
///
/// @return the position after it
static const uint8_t *
read_uint(const uint8_t *in, uint64_t *number, uint32_t size_bytes)
{
    *number = 0;
    for (uint32_t i = 0; i < size_bytes; i++) {
        *number = *number << 8 | in[i];
    }
    return in + size_bytes;
}

bool
incarnation_equals(const incarnation_t *left, const incarnation_t *right)
{
    return left->dc == right->dc && left->vm == right->vm &&
           left->nonce == right->nonce;
}

static void
compute_mac(const job_id_t *id, const uint8_t secret[kJobIdSecretBytes],
            uint8_t mac[kJobIdMacBytes])
{
    uint8_t packed[kJobIdPackedBytes];
    job_id_pack(id, packed);
    crypto_shorthash_siphashx24(mac, packed, kAuthenticatedBytes, secret);
}

void
job_id_sign(job_id_t *id, const uint8_t secret[kJobIdSecretBytes])
{
    compute_mac(id, secret, id->mac);
}

bool
job_id_verify(const job_id_t *id, const uint8_t secret[kJobIdSecretBytes])
{
    uint8_t mac[kJobIdMacBytes];
    compute_mac(id, secret, mac);
    return sodium_memcmp(mac, id->mac, sizeof mac) == 0;
}

void
job_id_pack(const job_id_t *id, uint8_t out[kJobIdPackedBytes])
{
    out = write_uint(out, id->origin.dc, 2);
    out = write_uint(out, id->origin.vm, 4);
    out = write_uint(out, id->origin.nonce, 8);
    out = write_uint(out, id->sequence, 8);
    memcpy(out, id->mac, kJobIdMacBytes);
}

bool
job_id_unpack(bytes_t packed, job_id_t *out)
{
    if (packed.size_bytes != kJobIdPackedBytes) {
        return false;
    }
    uint64_t dc = 0;
    uint64_t vm = 0;
    const uint8_t *in = packed.data;
    in = read_uint(in, &dc, 2);
    in = read_uint(in, &vm, 4);
    in = read_uint(in, &out->origin.nonce, 8);
    in = read_uint(in, &out->sequence, 8);
    out->origin.dc = (uint16_t)dc;
    out->origin.vm = (uint32_t)vm;
    memcpy(out->mac, in, kJobIdMacBytes);
    return true;
}

void
job_id_format(const job_id_t *id, char out[kJobIdTextBytes])
{
    uint8_t packed[kJobIdPackedBytes];
    job_id_pack(id, packed);
    sodium_bin2hex(out, kJobIdTextBytes, packed, sizeof packed);
}

bool
job_id_parse(const char *text, job_id_t *out)
{
    uint8_t packed[kJobIdPackedBytes];
    size_t size_bytes = 0;
    size_t length = strlen(text);
    if (length != kJobIdTextBytes - 1 ||
        sodium_hex2bin(packed, sizeof packed, text, length, NULL, &size_bytes,
                       NULL) != 0 ||
        size_bytes != sizeof packed) {
        return false;
    }
    return job_id_unpack(
        (bytes_t){.data = packed, .size_bytes = sizeof packed}, out);
}
