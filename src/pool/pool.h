/// A pool: the targets that this node owns, and the orders that run on them.
/// Decides what starts where, when a run is stopped or tried again, and how an
/// order ends. Knows no socket, encoding or clock: time comes in as an
/// argument, and calls go out through a table.
#ifndef JT_POOL_POOL_H
#define JT_POOL_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "generated/messages.h"

enum {
    kPoolNameBytes = 64,    ///< of a target, a service or a job, with its NUL
    kPoolLabelLimit = 8,    ///< labels of a target that are kept
    kPoolAddressBytes = 64, ///< of an address with its port
};

typedef struct pool pool_t;
typedef struct pool_target pool_target_t;
typedef struct pool_run pool_run_t;

/// A target as the platform describes it.
typedef struct {
    char id[kPoolNameBytes];
    char address[kPoolAddressBytes];
    char service[kPoolNameBytes];
    char dc[kPoolNameBytes];
    char labels[kPoolLabelLimit][kPoolNameBytes];
    uint32_t label_count;
    uint64_t born_ms; ///< start of its present life, 0 where unknown
    uint32_t cpu_mcores;
    uint32_t memory_mb;
    uint32_t accelerators;
    bool is_draining;
} pool_target_info_t;

/// Names a run.
typedef struct {
    char job[kPoolNameBytes];
    uint32_t step;
    uint32_t index;
    uint32_t number; ///< of the task's starts, from 1 on
} run_name_t;

/// How a call to a target ended.
typedef enum {
    kReplyDone,         ///< carried out
    kReplyNotSent,      ///< proved: not a byte was written
    kReplyUnanswered,   ///< it may be carried out, now or later
    kReplyFenced,       ///< a higher token was seen there
    kReplyNoCapacity,   ///< the task does not fit
    kReplyStale,        ///< a run with this number or a higher one was there
    kReplyLeaseExpired, ///< the lease in the call is over
    kReplyOtherIncarnation, ///< another life of the target answered
    kReplyUnhealthy,        ///< the target does nothing now
    kReplyInvalid           ///< the target does not understand the call
} reply_kind_t;

extern const char *const reply_kind_names[];

/// What a target answered to a start or a stop.
typedef struct {
    reply_kind_t kind;
    uint64_t clock_ms; ///< of the target, 0 where it said nothing
} call_reply_t;

/// A run that a target listed.
typedef struct {
    run_name_t name;
    uint64_t number; ///< of the end; 0 for a run at work
    run_end_t how;   ///< of an end
} listed_run_t;

/// What a target answered to a hold or a look.
typedef struct {
    reply_kind_t kind;
    uint64_t clock_ms;
    uint64_t born_ms;
    const listed_run_t *running;
    uint32_t running_count;
    const listed_run_t *ended;
    uint32_t ended_count;
} list_reply_t;

/// A call to start a run.
typedef struct {
    const pool_target_info_t *target;
    run_name_t name;
    const char *payload;
    uint64_t lease_until_ms; ///< on the target's clock
    uint64_t token;
    int64_t deadline_ns; ///< when the caller stops waiting for the answer
    pool_run_t *run;     ///< for pool_handle_start_reply
} start_call_t;

/// A call to stop a run.
typedef struct {
    const pool_target_info_t *target;
    run_name_t name;
    uint64_t token;
    int64_t deadline_ns;
    pool_run_t *run; ///< for pool_handle_stop_reply; NULL: nobody waits for it
} stop_call_t;

/// A call to list the runs of a target, and to renew its lease.
typedef struct {
    const pool_target_info_t *target;
    uint64_t lease_until_ms; ///< 0: without a new lease
    uint64_t token;
    uint64_t acked;   ///< number of the last end that was taken note of
    uint32_t wait_ms; ///< longest wait for an end; 0 for none
    bool needs_fresh; ///< a connection of its own
    int64_t deadline_ns;
    pool_target_t *list; ///< for pool_handle_list_reply
} list_call_t;

/// What became of an order.
typedef struct {
    uint64_t client; ///< as given with the order
    uint64_t request;
    const char *job;
    order_outcome_t outcome;
    error_kind_t kind;
    uint32_t retry_after_ms;
} pool_order_result_t;

/// What the pool asks of its surroundings. Answers come later, through the
/// pool_take functions, once for each call.
typedef struct {
    void (*start)(void *owner, const start_call_t *call);
    void (*stop)(void *owner, const stop_call_t *call);
    void (*list)(void *owner, const list_call_t *call);
    void (*settle)(void *owner, const pool_order_result_t *settled);
    /// Tells that a target rejects the pool's token.
    void (*fenced)(void *owner, const pool_target_info_t *target);
    /// Notes a decision for the log.
    void (*note)(void *owner, const char *event, const char *job,
                 const char *text);
} pool_ops_t;

/// Limits that the deployment gives.
typedef struct {
    uint32_t lease_ms;        ///< longest lease that targets grant
    uint32_t remote_permille; ///< run time of a task away from its data
} pool_limits_t;

pool_t *pool_create(const pool_limits_t *limits, const pool_ops_t *ops,
                    void *owner);

/// Changes the limits for all later calls.
void pool_set_limits(pool_t *pool, const pool_limits_t *limits);

/// Frees a pool whose calls have all been answered.
void pool_destroy(pool_t *pool);

/// Adds a target, or takes over what changed of it. A higher token than the
/// one before starts over with a list of what runs there.
void pool_put_target(pool_t *pool, const pool_target_info_t *info,
                     uint64_t token, int64_t now_ns);

/// Gives a target up, as its ownership ended or it is gone. Its runs are out
/// of control: their orders end as lost.
void pool_drop_target(pool_t *pool, const char *id, int64_t now_ns);

/// @return the token that the pool uses for a target; 0 where it has none
uint64_t pool_target_token(const pool_t *pool, const char *id);

/// @return how many runs occupy room on a target
uint32_t pool_target_runs(const pool_t *pool, const char *id);

/// Takes an order, or refuses it at once through settle. An order for a job
/// that runs here already takes the place of the earlier one.
///
/// @param client   whose order it is, for pool_drop_client
/// @param request  number that the client gave it
void pool_submit_order(pool_t *pool, const order_t *order, uint64_t client,
                       uint64_t request, int64_t now_ns);

/// Stops an order that its client no longer wants. Settles nothing.
void pool_withdraw_order(pool_t *pool, uint64_t client, uint64_t request,
                         int64_t now_ns);

/// Stops all orders of a client that is out of reach.
void pool_drop_client(pool_t *pool, uint64_t client, int64_t now_ns);

/// Sets whether new orders are refused, as the node is stopping.
void pool_set_closed(pool_t *pool, bool is_closed);

bool pool_is_closed(const pool_t *pool);

/// Answers to calls.
void pool_handle_start_reply(pool_t *pool, pool_run_t *run,
                             const call_reply_t *reply, int64_t now_ns);
void pool_handle_stop_reply(pool_t *pool, pool_run_t *run,
                            const call_reply_t *reply, int64_t now_ns);
void pool_handle_list_reply(pool_t *pool, pool_target_t *target,
                            const list_reply_t *reply, int64_t now_ns);

/// Does what is due, and starts what can be started. Call it after the events
/// of a round.
///
/// @return when to call it again, or INT64_MAX
int64_t pool_advance(pool_t *pool, int64_t now_ns);

/// Forgets all orders, as after a pause in which others took over. Their runs
/// are stopped.
void pool_reset(pool_t *pool, int64_t now_ns);

/// How a pool stands.
typedef struct {
    uint32_t target_count; ///< that may take a start
    uint32_t order_count;
    uint32_t run_count;
    uint64_t free_mcores;
    uint32_t backlog_ms; ///< time that a new task would wait
} pool_status_t;

pool_status_t pool_read_status(const pool_t *pool, int64_t now_ns);

/// Calls `visit` with a line on each target, for a dump.
void pool_describe(const pool_t *pool, int64_t now_ns,
                   void (*visit)(void *owner, const char *line), void *owner);

#endif
