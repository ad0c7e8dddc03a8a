/// A listening TCP socket that passes accepted sockets to its owner.
#ifndef JT_NET_LISTENER_H
#define JT_NET_LISTENER_H

#include "base/arena.h"
#include "base/error.h"
#include "net/loop.h"

typedef struct listener listener_t;

/// Called with each accepted socket and the arena that it is allocated in. The
/// owner takes both over.
typedef void (*listener_accept_t)(void *owner, apr_socket_t *socket,
                                  arena_t *arena);

/// Listens on an address.
///
/// @return the listener, or NULL with err set
listener_t *listener_open(loop_t *loop, const char *address, uint16_t port,
                          listener_accept_t on_accept, void *owner,
                          error_info_t *err);

/// Stops listening and frees the listener.
void listener_close(listener_t *listener);

#endif
