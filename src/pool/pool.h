/// A pool: the targets that this node owns, and the orders that run on them.
/// Decides where each task starts, when a run is stopped or retried, and how
/// an order ends. Uses no sockets, message encoding or clock: the time is an
/// argument, and calls to targets go through a table of functions.
#ifndef JT_POOL_POOL_H
#define JT_POOL_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "generated/messages.h"
#include "generated/settings.h"
#include "pool/choice.h"

enum {
    kPoolNameBytes = 64,    ///< target, service or job name with its NUL
    kPoolLabelLimit = 8,    ///< labels stored for a target
    kPoolAddressBytes = 64, ///< address with its port
};

typedef struct losses losses_t;
typedef struct pool pool_t;
typedef struct pool_target pool_target_t;
typedef struct pool_run pool_run_t;

/// Description of a target, from the platform.
typedef struct {
    char id[kPoolNameBytes];
    char address[kPoolAddressBytes];
    char service[kPoolNameBytes];
    char dc[kPoolNameBytes];
    char labels[kPoolLabelLimit][kPoolNameBytes];
    uint32_t label_count;
    uint64_t born_ms; ///< start of its current incarnation, 0 if unknown
    uint32_t cpu_mcores;
    uint32_t memory_mb;
    uint32_t accelerators;
    bool is_draining;
} pool_target_info_t;

/// Identifies a run.
typedef struct {
    char job[kPoolNameBytes];
    uint32_t step;
    uint32_t index;
    uint32_t attempt; ///< 1 for the first run of the task
} run_name_t;

/// Outcome of a call to a target.
typedef enum {
    kReplyDone,             ///< carried out
    kReplyNotSent,          ///< certainly not received: no byte was sent
    kReplyUnanswered,       ///< may have been carried out, or may still be
    kReplyFenced,           ///< the target has seen a higher token
    kReplyNoCapacity,       ///< the task does not fit
    kReplyStale,            ///< the target has had this attempt or a later one
    kReplyLeaseExpired,     ///< the lease in the call has expired
    kReplyOtherIncarnation, ///< another incarnation answered
    kReplyUnhealthy,        ///< the target accepts no work at present
    kReplyInvalid           ///< the target could not parse the call
} reply_kind_t;

extern const char *const reply_kind_names[];

/// Reply to a start or stop call.
typedef struct {
    reply_kind_t kind;
    bool is_broken_off; ///< unanswered, as the target closed the connection
    uint64_t clock_ms;  ///< clock of the target; 0 if the reply has none
} call_reply_t;

/// A run in a target's reply to a list call.
typedef struct {
    run_name_t name;
    uint64_t end_number; ///< sequence number of the end; 0 for an active run
    run_end_t how;       ///< how it ended; unused for an active run
} listed_run_t;

/// Reply to a list call.
typedef struct {
    reply_kind_t kind;
    bool is_broken_off; ///< unanswered, as the target closed the connection
    uint64_t clock_ms;
    uint64_t born_ms;
    const listed_run_t *running;
    uint32_t running_count;
    const listed_run_t *ended;
    uint32_t ended_count;
} list_reply_t;

/// Call that starts a run.
typedef struct {
    const pool_target_info_t *target;
    run_name_t name;
    const char *payload;
    uint64_t lease_until_ms; ///< on the target's clock
    uint64_t token;
    int64_t deadline_ns; ///< when the pool stops waiting for the reply
    pool_run_t *run;     ///< for pool_handle_start_reply
} start_call_t;

/// Call that stops a run.
typedef struct {
    const pool_target_info_t *target;
    run_name_t name;
    uint64_t token;
    int64_t deadline_ns;
    pool_run_t *run; ///< for pool_handle_stop_reply; NULL: unknown to the pool
} stop_call_t;

/// Call that lists the active and ended runs of a target and may renew its
/// lease.
typedef struct {
    const pool_target_info_t *target;
    uint64_t lease_until_ms; ///< on the target's clock; 0 to leave the lease
    uint64_t token;
    uint64_t acked;   ///< highest end_number that the pool has processed
    uint32_t wait_ms; ///< how long the target may wait for a run to end
                      ///< before it replies
    bool requires_new_connection;
    int64_t deadline_ns;
    pool_target_t *pool_target; ///< for pool_handle_list_reply
} list_call_t;

/// Result of an order.
typedef struct {
    uint64_t client; ///< as passed to pool_submit_order
    uint64_t request;
    const char *job;
    order_outcome_t outcome;
    error_kind_t kind;
    uint32_t retry_after_ms;
} pool_order_result_t;

/// Functions that the pool calls. Each start, stop or list call is answered
/// exactly once through the matching pool_handle_*_reply function, after the
/// call has returned.
typedef struct {
    void (*start)(void *owner, const start_call_t *call);
    void (*stop)(void *owner, const stop_call_t *call);
    void (*list)(void *owner, const list_call_t *call);
    /// Reports the result of an order.
    void (*settle)(void *owner, const pool_order_result_t *result);
    /// Reports that a target rejects the pool's current token.
    void (*fenced)(void *owner, const pool_target_info_t *target);
    /// Logs a decision.
    void (*log)(void *owner, const char *event, const char *job,
                const char *text);
} pool_ops_t;

/// Limits from the deployment's settings.
typedef struct {
    uint32_t lease_ms; ///< longest lease that is granted to targets
    /// Time from the end of an order until its runs have ended, even if the
    /// targets answer no stop. Longer than lease_ms, and shorter than the time
    /// after which callers submit a job again.
    uint32_t orphan_ms;
    /// Run time of a task outside the rack of its data, relative to its run
    /// time inside it.
    uint32_t remote_permille;
    wait_order_t wait_order; ///< how waiting orders compete for resources
    /// Calls that start or stop runs and are pending at a time; 0: no limit.
    uint32_t call_limit;
    /// Memory for orders with their tasks and runs; 0: no limit.
    uint64_t order_bytes;
} pool_limits_t;

pool_t *pool_create(const pool_limits_t *limits, const pool_ops_t *ops,
                    void *owner);

/// Sets the limits for all later calls.
void pool_set_limits(pool_t *pool, const pool_limits_t *limits);

/// Frees a pool whose calls have all been answered.
void pool_destroy(pool_t *pool);

/// Adds a target or updates its description. A higher token than before
/// restarts the session: the pool then lists the target's runs before it
/// starts any.
void pool_put_target(pool_t *pool, const pool_target_info_t *info,
                     uint64_t token, int64_t now_ns);

/// Removes a target that is gone or no longer owned. The pool can no longer
/// control its runs, so their orders end as lost.
void pool_drop_target(pool_t *pool, const char *id, int64_t now_ns);

/// @return the fencing token that the pool uses for a target; 0 for an unknown
///         target
uint64_t pool_read_target_token(const pool_t *pool, const char *id);

/// @return the number of runs that hold resources of a target
uint32_t pool_count_target_runs(const pool_t *pool, const char *id);

/// @return whether a target has runs that were started before a time
bool pool_has_runs_since_before(const pool_t *pool, const char *id,
                                int64_t time_ns);

/// Sets when a target passes to another owner: until then it gets only tasks
/// that are expected to have ended by that time. So its capacity is used while
/// its long runs end.
///
/// @param handover_ns  INT64_MAX for a target that stays
void pool_set_target_handover(pool_t *pool, const char *id,
                              int64_t handover_ns);

/// Accepts an order, or refuses it at once through settle. If the job already
/// has an order here, that order continues with the new deadline and its
/// result goes to the new client.
///
/// @param client   client that sent the order, for pool_drop_client
/// @param request  number that the client gave the order
void pool_submit_order(pool_t *pool, const order_t *order, uint64_t client,
                       uint64_t request, int64_t now_ns);

/// Stops an order that its client has withdrawn. Reports no result.
///
/// @param given_up_ns  the earliest time when the caller may have given up
void pool_withdraw_order(pool_t *pool, uint64_t client, uint64_t request,
                         int64_t given_up_ns, int64_t now_ns);

/// Cancels a job: its order fails, and later ones of it are refused for some
/// time.
///
/// @return whether it had an order here
bool pool_cancel_job(pool_t *pool, const char *queue, const char *job,
                     int64_t now_ns);

/// Stops all orders of a client that is unreachable. Reports no results.
///
/// @param heard_ns  when the client was last known to be reachable
void pool_drop_client(pool_t *pool, uint64_t client, int64_t heard_ns,
                      int64_t now_ns);

/// @return the number of orders whose result goes to a client
uint32_t pool_count_client_orders(const pool_t *pool, uint64_t client);

/// Sets whether new orders are refused because the node is stopping.
void pool_set_closed(pool_t *pool, bool is_closed);

bool pool_is_closed(const pool_t *pool);

/// Sets whether data centres are evacuated: orders that have no target left
/// are then ended at once. Their targets are put as draining.
void pool_set_evacuating(pool_t *pool, bool is_evacuating);

/// These handle the reply to a call.
void pool_handle_start_reply(pool_t *pool, pool_run_t *run,
                             const call_reply_t *reply, int64_t now_ns);
void pool_handle_stop_reply(pool_t *pool, pool_run_t *run,
                            const call_reply_t *reply, int64_t now_ns);
void pool_handle_list_reply(pool_t *pool, pool_target_t *target,
                            const list_reply_t *reply, int64_t now_ns);

/// Performs all actions that are due and starts the tasks that can start. To
/// be called after each batch of events.
///
/// @return when to call it next, or INT64_MAX
int64_t pool_advance(pool_t *pool, int64_t now_ns);

/// Ends all orders as lost and stops their runs, and starts nothing on a
/// target before it has answered a list call. Used after a pause of the
/// process during which other nodes may have taken over.
///
/// @param paused_ns  when the process was last known to run before the pause
void pool_reset(pool_t *pool, int64_t paused_ns, int64_t now_ns);

/// @return the runs that were lost with their targets; valid as long as the
///         pool
losses_t *pool_losses(pool_t *pool);

/// Current state of a pool.
typedef struct {
    uint32_t target_count; ///< targets on which the pool may start tasks
    uint32_t call_count;   ///< pending calls that start or stop runs
    uint64_t order_bytes;  ///< memory that is charged for orders
    uint32_t order_count;
    uint32_t run_count;
    uint64_t free_mcores;
    uint32_t backlog_ms; ///< expected wait of a new task
    room_t room;
} pool_status_t;

pool_status_t pool_read_status(const pool_t *pool, int64_t now_ns);

/// Calls `visit` with one line of state for each target, for a dump.
void pool_describe(const pool_t *pool, int64_t now_ns,
                   void (*visit)(void *owner, const char *line), void *owner);

#endif
