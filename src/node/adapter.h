/// What the node needs of the platform that it runs on, as a table of
/// functions. All are called on the node's loop and answer through it.
#ifndef JT_NODE_ADAPTER_H
#define JT_NODE_ADAPTER_H

#include "generated/messages.h"
#include "pool/pool.h"

typedef struct adapter adapter_t;

typedef struct {
    /// Calls to targets; answered by node_handle_start_reply,
    /// node_handle_stop_reply and node_handle_list_reply.
    void (*start)(adapter_t *adapter, const start_call_t *call);
    void (*stop)(adapter_t *adapter, const stop_call_t *call);
    void (*list)(adapter_t *adapter, const list_call_t *call);
    /// Asks a target for any sign of life; answered by node_handle_probe_reply
    /// where there is one.
    void (*probe)(adapter_t *adapter, const pool_target_info_t *target);
    /// Joins the owners of a data centre's targets or stays among them;
    /// answered by node_handle_join_reply.
    void (*join)(adapter_t *adapter, const char *dc, const char *member_id,
                 uint64_t generation);
    /// Leaves them.
    void (*leave)(adapter_t *adapter, const char *dc, const char *member_id);
    /// Follows what targets say of themselves closely, as an owner needs to,
    /// or less so.
    void (*watch)(adapter_t *adapter, bool is_close);
    /// Tells the other nodes of this one.
    void (*publish)(adapter_t *adapter, const node_record_t *record);
    /// Drops the record of a node that is gone.
    void (*retract)(adapter_t *adapter, const char *name);
} adapter_ops_t;

#endif
