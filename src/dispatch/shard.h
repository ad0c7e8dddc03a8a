/// A shard: a thread that owns sessions and jobs.
#ifndef JT_DISPATCH_SHARD_H
#define JT_DISPATCH_SHARD_H

#include "dispatch/dispatch.h"

/// Prepares a shard; its thread is started by shard_start.
void shard_init(shard_t *shard, dispatch_t *dispatch, uint32_t number);

/// Starts the shard's thread.
void shard_start(shard_t *shard);

/// Hands an accepted socket to the shard; any thread.
void shard_add_socket(shard_t *shard, apr_socket_t *socket, arena_t *arena);

/// Sends an answer to whoever asked, through the shard of the session.
///
/// @param from   the calling shard
/// @param answer held by the caller; the shard holds it anew if it must
void shard_send_answer(shard_t *from, const reply_to_t *to, blob_t *answer);

/// Sends an answer that says only an error kind.
void shard_send_error(shard_t *from, const reply_to_t *to, error_kind_t kind);

/// Acknowledges a handover, through the shard of the session.
void shard_ack_handover(shard_t *from, const reply_to_t *to);

/// Tells all sessions that the process is stopping; any thread.
void shard_announce_drain(shard_t *shard);

/// Closes all sessions and ends the shard's loop; any thread.
void shard_stop(shard_t *shard);

#endif
