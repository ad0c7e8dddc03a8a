/// Shards. A shard is a thread with an event loop that owns sessions and jobs.
#ifndef JT_DISPATCH_SHARD_H
#define JT_DISPATCH_SHARD_H

#include "dispatch/dispatch.h"

/// Initializes a shard. Its thread is started by shard_start.
void shard_init(shard_t *shard, dispatch_t *dispatch, uint32_t number);

/// Starts the shard's thread.
void shard_start(shard_t *shard);

/// Opens a session of the shard on an accepted socket. Callable from any
/// thread.
void shard_add_socket(shard_t *shard, apr_socket_t *socket, arena_t *arena);

/// Sends an answer through the shard of the session that sent the request.
/// Drops it if that session is closed.
///
/// @param from    the calling shard
/// @param answer  the caller keeps its reference
void shard_send_answer(shard_t *from, const reply_to_t *to, blob_t *answer);

/// Sends an answer that holds only an error kind.
void shard_send_error(shard_t *from, const reply_to_t *to, error_kind_t kind);

/// Acknowledges a handover through the shard of the session that sent it.
/// Drops the acknowledgement if that session is closed.
void shard_ack_handover(shard_t *from, const reply_to_t *to);

/// Sends a drain message to all sessions. Callable from any thread.
void shard_announce_drain(shard_t *shard);

/// Closes all sessions and stops the shard's loop. Callable from any thread.
void shard_stop(shard_t *shard);

#endif
