/// Job ids. An id names the incarnation that minted it, the only one that
/// may start a task of it, and carries a keyed hash of its sequence number,
/// so that nobody reaches another's job by counting.
#ifndef JT_CORE_JOB_ID_H
#define JT_CORE_JOB_ID_H

#include <stdbool.h>
#include <stdint.h>

#include "base/record.h"

enum {
    kJobIdMacBytes = 16,
    kJobIdSecretBytes = 16,
    kJobIdPackedBytes = 2 + 4 + 8 + 8 + kJobIdMacBytes,
    kJobIdTextBytes = 2 * kJobIdPackedBytes + 1 ///< with its NUL
};

/// One life of a dispatcher process.
typedef struct {
    uint16_t dc;
    uint32_t vm;
    uint64_t nonce; ///< random, chosen at the start of the process
} incarnation_t;

typedef struct {
    incarnation_t home;
    uint64_t sequence;
    uint8_t mac[kJobIdMacBytes];
} job_id_t;

/// @return whether both name the same life of the same process
bool incarnation_equals(const incarnation_t *left, const incarnation_t *right);

/// Sets the keyed hash of an id.
void job_id_sign(job_id_t *id, const uint8_t secret[kJobIdSecretBytes]);

/// @return whether the keyed hash is that of the secret
bool job_id_verify(const job_id_t *id,
                   const uint8_t secret[kJobIdSecretBytes]);

/// Writes the packed form.
void job_id_pack(const job_id_t *id, uint8_t out[kJobIdPackedBytes]);

/// Reads the packed form.
///
/// @return whether the size is right
bool job_id_unpack(bytes_t packed, job_id_t *out);

/// Writes the text form, in hexadecimal, with its NUL.
void job_id_format(const job_id_t *id, char out[kJobIdTextBytes]);

/// Reads the text form.
///
/// @return whether the text is that of an id
bool job_id_parse(const char *text, job_id_t *out);

#endif
