/// The functions of the platform that a node calls, as a table of function
/// pointers. They are called on the node's loop thread, and their replies come
/// on it.
#ifndef JT_NODE_ADAPTER_H
#define JT_NODE_ADAPTER_H

#include "generated/messages.h"
#include "pool/pool.h"

typedef struct adapter adapter_t;

/// Whether and how often the node reads the records of targets.
typedef enum {
    kTargetReadsNone, ///< it gets them from another node
    kTargetReadsSlow, ///< it starts no tasks
    kTargetReadsFast  ///< it starts tasks, or other nodes get them from it
} target_reads_t;

typedef struct {
    /// Start or stop a run on a target, or list the runs of a target; answered
    /// by node_handle_start_reply, node_handle_stop_reply and
    /// node_handle_list_reply.
    void (*start)(adapter_t *adapter, const start_call_t *call);
    void (*stop)(adapter_t *adapter, const stop_call_t *call);
    void (*list)(adapter_t *adapter, const list_call_t *call);
    /// Checks whether a target replies to a request; node_handle_probe_reply
    /// is called only if it does.
    void (*probe)(adapter_t *adapter, const pool_target_info_t *target);
    /// Joins the group of owners of a data centre's targets, or renews the
    /// membership; answered by node_handle_join_reply.
    void (*join)(adapter_t *adapter, const char *dc, const char *member_id,
                 uint64_t generation);
    /// Leaves the group.
    void (*leave)(adapter_t *adapter, const char *dc, const char *member_id);
    /// Sets how often to read the records of targets. Reads that begin again
    /// start with a list of all.
    void (*set_target_reads)(adapter_t *adapter, target_reads_t reads);
    /// Publishes this node's record to the other nodes.
    void (*publish_record)(adapter_t *adapter, const node_record_t *record);
    /// Deletes the record of a node that no longer runs.
    void (*delete_record)(adapter_t *adapter, const char *name);
} adapter_ops_t;

#endif
