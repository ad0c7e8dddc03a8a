/// A node: the process of an entry VM on the users' platform. It is the home
/// of the jobs that its callers hand in, and the owner of a part of the
/// targets, on which it runs tasks for all homes. One loop thread holds all
/// of this state; the threads that serve callers share with it the table of
/// queues (RCU), flags (atomics) and jobs that are passed over by mail.
#ifndef JT_NODE_NODE_H
#define JT_NODE_NODE_H

#include <apr_hash.h>
#include <json-c/json.h>
#include <stdatomic.h>

#include "generated/settings.h"
#include "net/listener.h"
#include "node/adapter.h"
#include "node/queues.h"
#include "ownership/members.h"
#include "ownership/partitions.h"
#include "pool/pool.h"
#include "runtime/control.h"

enum { kMemberBytes = 320 };

typedef struct node node_t;
typedef struct peer peer_t;
typedef struct caller_job caller_job_t;
typedef struct guest guest_t;
typedef struct census census_t;

/// The pool of one data centre, as this node takes part in it.
typedef struct {
    const char *dc;
    cells_t partitions;
    bool is_member;    ///< joined, or joining
    bool is_join_open; ///< a call is on its way
    bool is_retiring;  ///< letting all its cells go, to leave
    int64_t join_due_ns;
    uint32_t join_failures; ///< in a row
    int64_t short_since_ns;
    int64_t settled_since_ns;
    int64_t leaving_since_ns; ///< since when cells are leaving
    int64_t reached_ns;       ///< when a target there last answered a probe
    int64_t reached_since_ns; ///< since when probes have been answered
    int64_t probe_due_ns;     ///< when to send the next probe
    uint32_t probe_count;     ///< probes sent; each goes to the next target
    uint32_t target_count;    ///< known in the data centre
} dc_pool_t;

struct node {
    const node_settings_t *settings;
    arena_t *arena;
    loop_t *loop;
    const adapter_ops_t *adapter_ops;
    adapter_t *adapter;
    control_t control;
    listener_t *listener;
    char member_id[kMemberBytes]; ///< name in groups, new in each process
    queue_table_t *queues;        ///< RCU; NULL before the first configuration
    _Atomic bool is_ready;        ///< for the balancer
    _Atomic bool is_draining;
    _Atomic bool is_closed;     ///< takes no job any more, as it ends
    _Atomic uint32_t job_count; ///< of callers, not settled
    _Atomic int64_t last_job_ns;
    pool_t *pool;
    dc_pool_t *dcs;
    uint32_t dc_count;
    struct known_target *known; ///< targets that the platform lists
    apr_hash_t *targets;        ///< the same by id
    members_t members;
    int64_t listed_ns; ///< when they were first listed; 0: not yet
    bool is_watching;  ///< follows targets closely
    bool is_restarted; ///< an earlier process of this node left a record
    member_t *self;
    int64_t repair_due_ns; ///< when to publish again, as the store shows
                           ///< something else; 0: it does not
    uint32_t repair_count; ///< in a row
    peer_t *peers;
    guest_t *guests;
    uint64_t guest_number; ///< of the last connection accepted
    census_t *census;
    caller_job_t *jobs;
    uint64_t request_number; ///< of the last order sent
    loop_timer_t timer;
    loop_timer_t beat;
    loop_deferred_t advance;
    int64_t seen_ns; ///< last time that the loop is known to have run
    int64_t stop_ns; ///< when the stop began; 0: not stopping
    int64_t end_ns;  ///< when a stopped node ends; 0: not yet known
    void (*on_stopped)(void *owner);
    void *stopped_owner;
};

/// Creates a node and its loop; nothing runs yet.
node_t *node_create(const node_settings_t *settings, arena_t *arena);

/// Connects a node to its platform and starts to listen for other nodes.
bool node_open(node_t *node, const adapter_ops_t *ops, adapter_t *adapter,
               error_info_t *err);

/// @return the time, after a check that the process was not paused. After a
///         pause, what others rely on has run out, and is given up first.
int64_t node_now_ns(node_t *node);

/// Lets the node do what is due at the end of the loop's round.
void node_kick(node_t *node);

/// Begins a graceful stop. Own thread only; on_stopped is called at its end.
void node_stop(node_t *node);

/// @return when a stopping node answers what is left and ends
int64_t node_stop_limit_ns(const node_t *node);

/// Takes changed settings over. The name, the data centre and the addresses
/// of a process stay as they were. Own thread only.
///
/// @param settings  must last as long as the node
void node_apply_settings(node_t *node, const node_settings_t *settings);

/// News from the platform. Own thread only.
void node_publish_queues(node_t *node, queue_table_t *table);
void node_put_target(node_t *node, const pool_target_info_t *info);
void node_remove_target(node_t *node, const char *id);
void node_put_member(node_t *node, const node_record_t *record);
void node_remove_member(node_t *node, const char *name);

/// All records of nodes that were there at the start are known.
void node_end_member_list(node_t *node);

/// The record that the other nodes see of this one: another process of the
/// same name left it, or an earlier write of this one was carried out late.
/// NULL where it was dropped.
void node_take_own_record(node_t *node, const node_record_t *record);

/// A target of a data centre answered a probe.
void node_handle_probe_reply(node_t *node, const char *dc);

/// How a join ended.
typedef struct {
    bool is_answered;
    uint64_t generation;
    const uint32_t *partitions;
    uint32_t partition_count;
} join_reply_t;

void node_handle_join_reply(node_t *node, const char *dc,
                            const join_reply_t *joined);
void node_handle_start_reply(node_t *node, pool_run_t *run,
                             const call_reply_t *reply);
void node_handle_stop_reply(node_t *node, pool_run_t *run,
                            const call_reply_t *reply);
void node_handle_list_reply(node_t *node, pool_target_t *target,
                            const list_reply_t *reply);

/// Describes the node for a dump. Own thread only.
void node_describe(void *owner, json_object *state);

#endif
