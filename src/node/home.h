/// The node as home: jobs of its callers, each of which it hands as an order
/// to an owner of targets, and answers once.
#ifndef JT_NODE_HOME_H
#define JT_NODE_HOME_H

#include "node/node.h"
#include "pool/pool.h"

enum { kHomeTryLimit = 4 };

/// A job between the thread that serves its caller and the node's loop. The
/// caller's side owns it, and may free it after on_settled.
struct caller_job {
    node_t *node;
    arena_t *arena; ///< owns the order
    order_t order;
    int64_t received_ns;
    int64_t deadline_ns; ///< when the caller gives up
    /// Called on the loop, once.
    void (*on_settled)(caller_job_t *job);
    order_outcome_t outcome;
    error_kind_t kind;
    uint32_t retry_after_ms;
    // The home's own part.
    caller_job_t *next;
    caller_job_t *prev;
    uint64_t request;
    const peer_t *peer; ///< that runs it; NULL for this node
    const void *tried[kHomeTryLimit];
    uint32_t tried_count;
    bool is_assigned;
    int64_t retry_ns; ///< when to look for an owner again; 0: not waiting
};

/// News of a pool that came with an answer.
typedef struct {
    uint64_t free_mcores;
    uint32_t backlog_ms;
} home_news_t;

/// Takes a job from a caller. Own thread only.
void coordinator_submit_job(caller_job_t *job);

/// The caller is gone: stops the job. Own thread only. Settles it.
void coordinator_abandon_job(caller_job_t *job);

/// Takes what became of an order.
///
/// @param peer  that ran it; NULL for this node
void home_take_settled(node_t *node, const pool_order_result_t *settled,
                       const peer_t *peer);

/// Settles as lost all jobs that a peer had, as its link is over.
void home_lose_peer(node_t *node, const peer_t *peer);

/// Settles as lost all jobs, as after a pause.
void home_lose_all(node_t *node);

/// Settles jobs whose caller has given up.
///
/// @return when to call it again
int64_t home_advance(node_t *node, int64_t now_ns);

/// @return the longest silence on a link with orders on their way. Callers
///         submit again when `resubmit_ms` have passed without an answer, and
///         by then nothing of the earlier submission may run.
int64_t home_silence_ns(const node_t *node);

#endif
