/// The node as coordinator of its callers' jobs: it sends each job as an order
/// to an owner of targets, and answers the caller once.
#ifndef JT_NODE_COORDINATOR_H
#define JT_NODE_COORDINATOR_H

#include "node/node.h"
#include "pool/pool.h"

enum { kOwnerTryLimit = 4 }; ///< maximum number of owners tried for a job

/// A caller's job. The thread that serves the caller owns it and shares it
/// with the node's loop until on_settled; it may free the job after that.
struct caller_job {
    node_t *node;
    arena_t *arena; ///< owns the order
    order_t order;
    int64_t received_ns; ///< when the request was read
    int64_t deadline_ns; ///< when the caller gives up
    /// Whether the caller has disconnected. Called on the loop.
    bool (*is_caller_gone)(const caller_job_t *job);
    /// Called on the loop, once.
    void (*on_settled)(caller_job_t *job);
    order_outcome_t outcome;
    error_kind_t kind;
    uint32_t retry_after_ms;
    // Private to the coordinator.
    caller_job_t *next;
    caller_job_t *prev;
    uint64_t request;
    const peer_t *peer; ///< assigned owner; NULL for this node
    const void *tried[kOwnerTryLimit];
    uint32_t tried_count;
    bool is_assigned;
    int64_t retry_ns; ///< when to retry the assignment; 0: not deferred
};

/// Submits a caller's job: assigns it to an owner, defers it while there is
/// none, or refuses it. A job is not assigned once its deadline has passed or
/// its caller has disconnected: the caller may have submitted it to another
/// node by then. Loop thread only.
void coordinator_submit_job(caller_job_t *job);

/// Withdraws and settles as cancelled the jobs of that name.
///
/// @return whether there was one
bool coordinator_cancel_job(node_t *node, const char *queue, const char *job);

/// Withdraws and settles a job whose caller has disconnected. Loop thread
/// only.
void coordinator_abandon_job(caller_job_t *job);

/// Handles the outcome of an order: settles its job, or assigns a refused job
/// to another owner.
///
/// @param peer  owner that sent the outcome; NULL for this node
void coordinator_handle_settled(node_t *node,
                                const pool_order_result_t *settled,
                                const peer_t *peer);

/// Settles as lost all jobs assigned to a peer whose link is closed.
void coordinator_mark_peer_jobs_lost(node_t *node, const peer_t *peer);

/// Settles all jobs as lost, as after a pause of the process.
///
/// @param since_ns  their callers may have given up since then
void coordinator_mark_all_jobs_lost(node_t *node, int64_t since_ns);

/// Settles jobs that are past their deadline, and retries deferred ones.
///
/// @return when to call it again
int64_t coordinator_advance(node_t *node, int64_t now_ns);

/// A link with unsettled orders is closed after this time without a message.
/// Callers resubmit after `resubmit_ms` without an answer, and by then no task
/// of the earlier submission may still run.
///
/// @return the timeout
int64_t coordinator_link_timeout_ns(const node_t *node);

#endif
