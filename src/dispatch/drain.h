/// Drain: the graceful shutdown of a dispatcher. The dispatcher stops minting
/// ids, finishes its jobs, waits until the start-by deadlines of all its ids
/// have passed, and hands over the records of ended jobs to another dispatcher
/// of its data centre. The handover starts after stop_limit_ms even if jobs
/// are still active.
#ifndef JT_DISPATCH_DRAIN_H
#define JT_DISPATCH_DRAIN_H

#include "dispatch/dispatch.h"

/// Starts a drain, which stops the control loop at its end. Called on the
/// control loop. Repeated calls are ignored.
void drain_start(dispatch_t *dispatch);

#endif
