/// The peers of a node and the plan of its links, shared by the source files
/// that keep them.
#ifndef JT_NODE_PEER_STATE_H
#define JT_NODE_PEER_STATE_H

#include "net/conn.h"
#include "net/link_clock.h"
#include "node/peers.h"

struct peer {
    peer_t *next;
    node_t *node;
    char name[256];
    char address[46];
    char dc[64];
    uint16_t port;
    uint64_t nonce; ///< identifies the process that wrote its record
    conn_t *conn;   ///< NULL while there is none
    bool is_up;     ///< its hello has been received
    bool is_owner;
    bool is_open; ///< owns targets of a data centre that is not evacuated
    bool is_leaving;
    bool has_record;        ///< is in the list of members
    bool is_local;          ///< is in this node's data centre, or owns targets
                            ///< of it
    bool is_wanted;         ///< there should be a link
    uint64_t affinity;      ///< owners of another data centre with the lowest
                            ///< values get links; differs between nodes
    uint32_t order_count;   ///< unsettled orders
    uint32_t link_failures; ///< in a row
    int64_t connect_due_ns;
    int64_t ping_due_ns;
    uint64_t ping_number;
    int64_t load_received_ns; ///< when the pool's load was last received; 0:
                              ///< never
    room_t room;              ///< as received, minus what was assigned since
    bool has_targets;         ///< its pool may start tasks
    bool is_lapsed;           ///< its partitions have been passed on
    uint32_t backlog_ms;
    link_clock_t clock; ///< of the peer, on the current link
};

/// Which links this node wants. Derived from the members and from the state of
/// the links whenever one of them changes.
typedef struct peer_plan {
    bool is_outdated;
    rng_t rng;                           ///< for the choice among pools
    uint32_t rank;                       ///< of this node in its data centre
    peer_t *candidates[kFeedCandidates]; ///< nodes that may be followed
    uint32_t candidate_count;
} peer_plan_t;

/// Schedules an update of the plan.
void peer_plan_invalidate(node_t *node);

/// Updates which links are wanted and which members count as reachable, if a
/// record or a link has changed. Closes links that are not wanted.
void peer_plan_update(node_t *node);

/// @return the peer of that name, or NULL
peer_t *peer_find(const node_t *node, const char *name);

#endif
