/// A node: the process of an entry VM on the users' platform. It coordinates
/// the jobs that its callers submit, and owns part of the targets, on which it
/// runs tasks for all coordinators. All of this state belongs to one loop
/// thread. The threads that serve callers read the table of queues (RCU) and
/// flags (atomics), and hand jobs over to the loop as callbacks.
#ifndef JT_NODE_NODE_H
#define JT_NODE_NODE_H

#include <apr_hash.h>
#include <json-c/json.h>
#include <stdatomic.h>

#include "generated/settings.h"
#include "net/listener.h"
#include "node/adapter.h"
#include "node/queues.h"
#include "ownership/evacuation.h"
#include "ownership/members.h"
#include "ownership/partitions.h"
#include "pool/pool.h"
#include "runtime/control.h"
#include "runtime/pause.h"

enum {
    kMemberIdBytes = 320,
    /// Of the links between nodes. The largest frames are lists of the targets
    /// of a data centre: 3,000 targets are 1 MB.
    kNodeFrameLimitBytes = 8 * 1024 * 1024
};

typedef struct node node_t;
typedef struct peer peer_t;
typedef struct caller_job caller_job_t;
typedef struct cancellation cancellation_t;
typedef struct client client_t;
typedef struct liveness liveness_t;
typedef struct target_feed target_feed_t;

/// The group of nodes that own the targets of one data centre, as seen by this
/// node.
typedef struct {
    const char *dc;
    partitions_t partitions;
    bool is_joined;       ///< joined, or joining
    bool is_join_pending; ///< a join request is unanswered
    bool is_join_stale;   ///< that request was sent before a pause
    bool is_retiring;     ///< releasing all its partitions, to leave
    int64_t join_due_ns;
    int64_t confirmed_ns;   ///< last reply to a join; 0: none yet
    uint32_t join_failures; ///< in a row
    int64_t shortage_since_ns;
    int64_t surplus_since_ns;
    int64_t revoked_since_ns; ///< since when there have been
                              ///< revoked partitions; 0: none
    int64_t handover_ns;      ///< until when revoked partitions get short runs
    int64_t probe_reply_ns;   ///< last reply of one of its targets
    int64_t reachable_since_ns; ///< start of the current series
                                ///< of answered probes
    int64_t probe_due_ns;       ///< when to send the next probe
    uint32_t probe_count;       ///< probes sent; each goes to the next target
    uint32_t target_count;      ///< listed by the platform
    uint32_t catalog_count;     ///< of these, targets in the catalog
    uint64_t decided_version;   ///< membership_version of the last decision
    int64_t decide_due_ns;      ///< when to decide on the membership again
                                ///< without a change
    bool is_evacuated;          ///< as last applied to the pool
    bool accepts_runs;          ///< as last applied to the pool
    bool needs_targets;         ///< this node may soon join, and needs the
                                ///< targets although they are in another
                                ///< data centre
} dc_group_t;

struct node {
    const node_settings_t *settings;  ///< in force
    node_settings_t changed_settings; ///< storage of changed ones
    arena_t *arena;
    loop_t *loop;
    const adapter_ops_t *adapter_ops;
    adapter_t *adapter;
    control_t control;
    listener_t *listener;
    char member_id[kMemberIdBytes]; ///< unique for each process of
                                    ///< a node; used in groups
    queue_table_t *queues; ///< RCU; NULL before the first configuration
    _Atomic bool is_ready;
    /// Until when is_ready holds: the loop moves it while it makes progress.
    _Atomic int64_t ready_until_ns;
    _Atomic bool is_draining;
    _Atomic bool is_closed;     ///< refuses all jobs; about to end
    _Atomic uint32_t job_count; ///< callers' jobs not settled yet
    _Atomic int64_t last_job_ns;
    pool_t *pool;
    dc_group_t *groups; ///< one for each data centre
    uint32_t group_count;
    evacuation_t evacuation;
    struct catalog_target *catalog; ///< targets that the platform lists
    apr_hash_t *targets_by_id;      ///< the targets of the catalog
    uint64_t catalog_list_number;   ///< of the list that is being received
    uint64_t catalog_offset; ///< in the store's log, up to which the catalog
                             ///< is known
    int64_t missing_due_ns;  ///< when to remove missing targets, or INT64_MAX
    target_feed_t *feed;
    members_t members;
    uint64_t membership_version; ///< increases with each change that
                                 ///< memberships of groups depend on
    int64_t listed_ns;     ///< when all members were first listed; 0: not yet
    int64_t store_read_ns; ///< when the last answered read of the nodes'
                           ///< records was sent
    bool is_restarted;     ///< an earlier process of this node left a record
    member_t *self;
    int64_t republish_due_ns; ///< when to publish the record again because
                              ///< the store has a different one; 0: it has
                              ///< the published one
    uint32_t republish_count; ///< in a row
    int64_t losses_due_ns;    ///< earliest time to publish new losses of runs
    peer_t *peers;
    struct peer_plan *peer_plan; ///< which links are wanted
    client_t *clients;
    uint64_t client_number; ///< of the last connection accepted
    liveness_t *liveness;
    caller_job_t *jobs;
    cancellation_t *cancellations; ///< without a result yet
    uint64_t request_number;       ///< of the last order sent
    loop_timer_t due_timer;        ///< runs the next call of advance
    loop_timer_t tick_timer;       ///< periodic
    loop_deferred_t advance;
    pause_t pause;   ///< beats with each update of the clock by the loop
    int64_t stop_ns; ///< when the stop began; 0: not stopping
    int64_t end_ns;  ///< when the process ends; 0: not known yet
    void (*on_stopped)(void *owner);
    void *stopped_owner;
};

/// Creates a node and its loop; nothing runs yet.
node_t *node_create(const node_settings_t *settings, arena_t *arena);

/// Attaches a node to its platform, listens for other nodes, and publishes the
/// node's record.
///
/// @return false with err set when it cannot listen
bool node_open(node_t *node, const adapter_ops_t *ops, adapter_t *adapter,
               error_info_t *err);

/// Reads the clock and checks whether the process was paused. After a pause
/// the other nodes no longer rely on this one: its jobs and orders are dropped
/// and its links closed before this returns.
///
/// @return the time
int64_t node_update_now_ns(node_t *node);

/// Schedules one pass over all work that is due, at the end of the loop's
/// current iteration.
void node_schedule_advance(node_t *node);

/// Schedules new decisions on the memberships of groups. They take time in
/// proportion to the number of nodes and data centres, so they are made only
/// when something has changed that they depend on.
void node_schedule_membership(node_t *node);

/// Begins a graceful stop; on_stopped is called at its end. Loop thread only.
void node_stop(node_t *node);

/// @return when a stopping node answers the remaining jobs and ends
int64_t node_stop_limit_ns(const node_t *node);

/// @return whether the load balancer may send requests here. Safe from any
///         thread.
bool node_is_ready(const node_t *node);

/// Applies changed settings. They are ignored as a whole when they change the
/// name, the address for nodes or for callers, the peer port or
/// partition_count. Other changes of names and addresses need a restart, too;
/// the rest applies without them. Loop thread only.
void node_apply_settings(node_t *node, const node_settings_t *settings);

/// Replaces the table of queues, unless the given one is not newer; takes it
/// over in both cases. Loop thread only.
void node_publish_queues(node_t *node, queue_table_t *table);

/// A target's record has a new value. Loop thread only, as the functions
/// below.
void node_put_target(node_t *node, const pool_target_info_t *info);

/// A target's record has been read again without a change.
///
/// @return false if the catalog does not have the target
bool node_keep_target(node_t *node, const char *id);

/// A target's record was deleted. The target is removed only if the record is
/// still missing after a delay, as records also expire while the store is
/// away.
void node_remove_target(node_t *node, const char *id);

/// A list of all targets begins, and ends. Targets that were neither put nor
/// kept between the two are missing.
void node_begin_target_list(node_t *node);
void node_end_target_list(node_t *node);

/// The records of targets have been read up to a position in the store's log.
///
/// @param read_ns  when the read was sent
void node_handle_targets_read(node_t *node, uint64_t offset, int64_t read_ns);

/// The records of nodes have been read.
///
/// @param sent_ns  when the read was sent
void node_handle_store_read(node_t *node, int64_t sent_ns);

/// Changes of nodes that the platform reports.
void node_put_member(node_t *node, const node_record_t *record);
void node_remove_member(node_t *node, const char *name);

/// Ends the initial list of the nodes' records. From then on, this node
/// publishes its own record.
void node_end_member_list(node_t *node);

/// Handles this node's record as the other nodes see it. It differs from the
/// published one when another process of the same name wrote it, or an earlier
/// write of this process took effect late.
///
/// @param record  NULL when the record was deleted
void node_handle_own_record(node_t *node, const node_record_t *record);

/// Handles the reply of a target of a data centre to a probe.
void node_handle_probe_reply(node_t *node, const char *dc);

/// The store's reply to a join.
typedef struct {
    bool is_answered; ///< false: no reply came, and the rest is not set
    uint64_t generation;
    const uint32_t *partitions; ///< assigned to this member
    uint32_t partition_count;
} join_reply_t;

void node_handle_join_reply(node_t *node, const char *dc,
                            const join_reply_t *reply);
void node_handle_start_reply(node_t *node, pool_run_t *run,
                             const call_reply_t *reply);
void node_handle_stop_reply(node_t *node, pool_run_t *run,
                            const call_reply_t *reply);
void node_handle_list_reply(node_t *node, pool_target_t *target,
                            const list_reply_t *reply);

/// Adds the state of the node to a dump. Loop thread only.
void node_describe(void *owner, json_object *state);

#endif
