/// Records of ended jobs that were handed over by dispatchers that stopped.
/// They serve to answer requests; no task of theirs is ever started. Shard 0
/// owns them.
#ifndef JT_DISPATCH_ADOPTED_H
#define JT_DISPATCH_ADOPTED_H

#include "dispatch/jobs.h"

/// Posts a request to shard 0, which answers from the record of the job. Any
/// shard may call this.
void adopted_records_post_find(shard_t *from, const job_request_t *request);

/// Posts a handover to shard 0, which stores the records and acknowledges
/// them. Any shard may call this.
///
/// @param session     index of the session that the message came from
/// @param generation  of that session
/// @param body        packed handover message; copied
void adopted_records_post_handover(shard_t *from, uint32_t session,
                                   uint64_t generation, bytes_t body);

/// The adopted records of one incarnation.
struct adopted_set {
    adopted_set_t *next;
    incarnation_t origin; ///< incarnation that minted the ids
    uint8_t secret[kJobIdSecretBytes];
    int64_t hold_until_ns;
    arena_t *arena;
    apr_hash_t *records; ///< sequence to held_record_t
};

#endif
