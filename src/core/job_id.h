/// Job ids. An id names the incarnation that minted it, which is the only one
/// that may start the job's tasks. It also holds a message authentication code
/// (MAC) of its fields, so that nobody can access another caller's job by
/// guessing sequence numbers.
#ifndef JT_CORE_JOB_ID_H
#define JT_CORE_JOB_ID_H

#include <stdbool.h>
#include <stdint.h>

#include "base/record.h"

enum {
    kJobIdMacBytes = 16,
    kJobIdSecretBytes = 16,
    kJobIdPackedBytes = 2 + 4 + 8 + 8 + kJobIdMacBytes,
    kJobIdTextBytes = 2 * kJobIdPackedBytes + 1 ///< including the NUL
};

/// One run of a dispatcher process; a restart is a new incarnation.
typedef struct {
    uint16_t dc;
    uint32_t vm;
    uint64_t nonce; ///< random, chosen at process start
} incarnation_t;

typedef struct {
    incarnation_t origin; ///< the incarnation that minted the id
    uint64_t sequence;
    uint8_t mac[kJobIdMacBytes];
} job_id_t;

/// @return whether both are the same run of the same process
bool incarnation_equals(const incarnation_t *left, const incarnation_t *right);

/// Computes the MAC of an id and stores it in the id.
void job_id_sign(job_id_t *id, const uint8_t secret[kJobIdSecretBytes]);

/// @return whether the MAC of the id was computed with this secret
bool job_id_verify(const job_id_t *id,
                   const uint8_t secret[kJobIdSecretBytes]);

/// Writes the packed binary form: the fields in order, big-endian.
void job_id_pack(const job_id_t *id, uint8_t out[kJobIdPackedBytes]);

/// Reads the packed binary form. Does not verify the MAC.
///
/// @return whether the size is right
bool job_id_unpack(bytes_t packed, job_id_t *out);

/// Writes the text form: the packed form in hexadecimal, NUL-terminated.
void job_id_format(const job_id_t *id, char out[kJobIdTextBytes]);

/// Reads the text form. Does not verify the MAC.
///
/// @return whether the text is well-formed
bool job_id_parse(const char *text, job_id_t *out);

#endif
