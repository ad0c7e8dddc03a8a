/// The link to one dispatcher and the calls that wait on it.
#ifndef JT_FRONT_HOME_H
#define JT_FRONT_HOME_H

#include "front/relay.h"

/// Prepares the home of a VM.
void home_init(home_t *home, relay_t *relay, const vm_entry_t *vm);

/// Takes a call: sends it, or queues it until the link is up.
void home_take_call(home_t *home, call_t *call);

/// Takes a call out of the lists of its home.
void home_forget_call(call_t *call);

/// Gives a call that is answered a fresh id for the caller's next job.
void home_attach_next_id(home_t *home, call_t *call);

/// Closes the link for good.
void home_close(home_t *home);

#endif
