/// Cancels jobs wherever they are. The node that gets the request need not
/// know of the job: it asks all nodes. Only the owners of targets must answer,
/// as nothing starts without them: an owner that was asked refuses the job's
/// order from then on.
#ifndef JT_NODE_CANCEL_H
#define JT_NODE_CANCEL_H

#include "node/node.h"

/// A request to cancel a job. Its owner keeps it until on_done.
struct cancellation {
    node_t *node;
    const char *queue;
    const char *job;
    /// Called on the loop, once; not before cancel_begin returns.
    void (*on_done)(cancellation_t *cancellation);
    bool is_found;    ///< a node had the job
    bool is_complete; ///< no node can start the job any more
    // Private.
    cancellation_t *next;
    struct question *questions; ///< to the other nodes, without an answer
    int64_t deadline_ns;
};

/// Begins to cancel a job. Loop thread only.
void cancel_begin(cancellation_t *cancellation);

/// Cancels a job at this node only, on request of another one.
///
/// @return whether this node had it
bool cancel_here(node_t *node, const char *queue, const char *job);

/// Ends requests that have been answered or have timed out.
///
/// @return when to call it again
int64_t cancel_advance(node_t *node, int64_t now_ns);

/// Ends all requests as incomplete, as after a pause of the process.
void cancel_end_all(node_t *node);

#endif
