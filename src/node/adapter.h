/// What the node needs of the platform that it runs on, as a table of
/// functions. All are called on the node's loop and answer through it.
#ifndef JT_NODE_ADAPTER_H
#define JT_NODE_ADAPTER_H

#include "generated/messages.h"
#include "pool/pool.h"

typedef struct adapter adapter_t;

typedef struct {
    /// Calls to targets; answered by node_take_start, node_take_stop and
    /// node_take_list.
    void (*start)(adapter_t *adapter, const start_call_t *call);
    void (*stop)(adapter_t *adapter, const stop_call_t *call);
    void (*list)(adapter_t *adapter, const list_call_t *call);
    /// Asks a target for any sign of life; answered by node_take_probe where
    /// there is one.
    void (*probe)(adapter_t *adapter, const pool_target_info_t *target);
    /// Joins the owners of a data centre's targets or stays among them;
    /// answered by node_take_joined.
    void (*join)(adapter_t *adapter, const char *dc, const char *member,
                 uint64_t generation);
    /// Leaves them.
    void (*leave)(adapter_t *adapter, const char *dc, const char *member);
    /// Follows what targets say of themselves closely, as an owner needs to,
    /// or less so.
    void (*watch)(adapter_t *adapter, bool is_close);
    /// Tells the other nodes of this one.
    void (*publish)(adapter_t *adapter, const node_record_t *record);
    /// Drops the record of a node that is gone.
    void (*retract)(adapter_t *adapter, const char *name);
} adapter_ops_t;

#endif
