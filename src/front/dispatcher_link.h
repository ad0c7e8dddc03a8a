/// Links. A link is the connection to one dispatcher, which is reopened when
/// it is lost, with the calls that wait for it. All functions run on the
/// relay's thread.
#ifndef JT_FRONT_DISPATCHER_LINK_H
#define JT_FRONT_DISPATCHER_LINK_H

#include "front/relay.h"

/// Initializes the link to the dispatcher of a VM, without connecting.
void dispatcher_link_init(dispatcher_link_t *link, relay_t *relay,
                          const vm_entry_t *vm);

/// Sends a call, or queues it until the link is up. A mint is answered from
/// the id pool if that holds enough ids.
void dispatcher_link_send_call(dispatcher_link_t *link, call_t *call);

/// Removes a call from the lists of its link.
void dispatcher_link_remove_call(call_t *call);

/// Attaches an id for the caller's next job to an answered call, if the id
/// pool of `link` has one.
///
/// @param link  may be NULL
void dispatcher_link_attach_next_id(dispatcher_link_t *link, call_t *call);

/// Closes the connection and stops reconnecting.
void dispatcher_link_close(dispatcher_link_t *link);

#endif
