/// The planned stop of a dispatcher: it mints no more, finishes its jobs,
/// waits until no id of its own can be submitted any more, and passes its
/// finished records to a peer of its data centre.
#ifndef JT_DISPATCH_DRAIN_H
#define JT_DISPATCH_DRAIN_H

#include "dispatch/dispatch.h"

/// Starts the stop. On the control loop, which ends when it is over.
void drain_start(dispatch_t *dispatch);

#endif
