/// Finished records of dispatchers that stopped and passed them on. They
/// are answered from; nothing of them is ever started. They live in shard 0.
#ifndef JT_DISPATCH_ADOPTED_H
#define JT_DISPATCH_ADOPTED_H

#include "dispatch/jobs.h"

/// Looks a record up and answers, by mail to shard 0; any shard.
void adopted_post_find(shard_t *from, const job_request_t *request);

/// Takes records over, by mail to shard 0, and acknowledges; any shard.
///
/// @param place       session that the message came from
/// @param generation  of that session
/// @param body        a handover message
void adopted_post_handover(shard_t *from, uint32_t place, uint64_t generation,
                           bytes_t body);

/// Records that one incarnation left.
struct adopted {
    adopted_t *next;
    incarnation_t home;
    uint8_t secret[kJobIdSecretBytes];
    int64_t hold_until_ns;
    arena_t *arena;
    apr_hash_t *records; ///< sequence to held_record_t
};

#endif
