/// State of a pool and functions that its source files share.
#ifndef JT_POOL_STATE_H
#define JT_POOL_STATE_H

#include <apr_hash.h>
#include <apr_strings.h>

#include "base/arena.h"
#include "base/units.h"
#include "limit/memory_budget.h"
#include "pool/cancelled.h"
#include "pool/forecast.h"
#include "pool/losses.h"
#include "pool/pool.h"
#include "pool/value.h"

enum { kWaitPriorities = 8 }; ///< priorities with separate wait statistics

typedef struct pool_order pool_order_t;

typedef enum { kTaskWaiting, kTaskPlaced, kTaskDone } pool_task_state_t;

/// A task of an order.
typedef struct {
    pool_order_t *order;
    uint32_t step;
    uint32_t index; ///< within the step
    pool_task_state_t state;
    uint32_t last_attempt; ///< 0 before the first start
    uint32_t failed_count; ///< runs that ended as failed
    uint32_t stall_count;  ///< runs stopped because they stalled
    uint32_t reject_count; ///< starts that targets rejected
    int64_t not_before_ns; ///< earliest time of the next start
    /// Target of the last run that failed, was stopped or was rejected.
    char avoided_target[kPoolNameBytes];
    pool_run_t *run;
} pool_task_t;

/// An order without a result yet.
struct pool_order {
    pool_order_t *next;
    pool_order_t *prev;
    arena_t *arena;
    const order_t *spec;   ///< a copy, with forecast run times
    uint32_t *declared_ms; ///< run time that the caller declared for each step
    uint64_t client;
    uint64_t request;
    int64_t received_ns;  ///< when the coordinator received the job
    int64_t deadline_ns;  ///< when the caller gives up
    int64_t objective_ns; ///< latency objective, counted from received_ns
    pool_task_t *tasks;
    uint32_t task_count;
    uint32_t waiting_count;
    uint32_t *step_remaining; ///< unfinished tasks of each step
    bool is_started;          ///< at least one task has been started
    value_rank_t rank;        ///< among the orders of the pool
    uint64_t charged_bytes;   ///< of the budget of orders
    int64_t admitted_ns;
    /// Estimate at admission; 0 if no wait was expected, or once the actual
    /// one has been recorded.
    int64_t estimated_wait_ns;
};

typedef enum {
    kRunStarting, ///< no reply to its start call yet
    kRunActive,
    kRunUnconfirmed ///< its start call went unanswered
} pool_run_state_t;

/// A run that holds resources of a target, or may do so.
struct pool_run {
    pool_run_t *next;
    pool_run_t *prev;
    pool_target_t *target;
    pool_task_t *task; ///< NULL if its outcome is no longer needed
    run_name_t name;
    pool_run_state_t state;
    uint32_t cpu_mcores;
    uint32_t memory_mb;
    uint32_t accelerators;
    uint32_t estimate_ms;
    uint64_t lease_until_ms; ///< in its start call, on the target's clock
    uint64_t token;          ///< in its start call
    uint64_t born_ms;        ///< life of the target in which it was started
    bool is_alone;           ///< no other run may join it on its target
    int64_t started_ns;
    /// When the target confirmed the start or the stop. The reply to a list
    /// call sent later reflects it.
    int64_t confirmed_ns;
    int64_t stop_due_ns; ///< when to send the next stop; 0: not stopping
    uint32_t stops_sent;
    uint32_t pending_stops; ///< stop calls without a reply yet
    /// By when it must have ended, as its order has ended and the caller may
    /// submit the job again; INT64_MAX while its order is open.
    int64_t end_by_ns;
    uint32_t starts_sent;    ///< identical start calls sent
    uint32_t pending_starts; ///< start calls without a reply yet
    int64_t resend_due_ns;   ///< when to send the next start call
    bool is_ended; ///< holds no resources; freed once no call is pending
};

typedef enum {
    kSessionNew,   ///< the runs on the target are not known yet
    kSessionReady, ///< all runs on the target are known
    /// Calls went unanswered or another incarnation answered.
    kSessionUnresponsive
} session_state_t;

/// Resources of a target; negative where more are in use than it has.
typedef struct {
    int64_t cpu_mcores;
    int64_t memory_mb;
    int64_t accelerators;
} resources_t;

/// A target of the pool.
struct pool_target {
    pool_target_t *next;
    pool_target_t *prev;
    /// As its record says, but for born_ms, which its replies say.
    pool_target_info_t info;
    uint64_t record_born_ms; ///< incarnation that wrote the record
    uint64_t token;
    session_state_t session;
    bool is_dropped; ///< freed once it has no pending calls and no runs
    /// When it passes to another owner; INT64_MAX for one that stays.
    int64_t handover_ns;
    bool is_fenced; ///< rejects the token; waits for a higher one
    /// Gets no runs in the current placement pass, so that it becomes free for
    /// a task that must run alone.
    bool is_reserved;
    /// In the current placement pass, for tasks that wait until the target has
    /// been verified.
    resources_t awaited;
    uint32_t awaited_count; ///< of these tasks
    pool_run_t *runs;
    // Kept, as there may be thousands of runs.
    resources_t used;  ///< by runs that have not ended
    int64_t end_by_ns; ///< the earliest of these
    uint32_t run_count;
    uint32_t open_count;  ///< runs that have not ended
    uint32_t alone_count; ///< of these, runs that are alone
    /// What the target had room for when it last rejected a start for lack of
    /// resources: its record may lag behind a capacity that has shrunk. 0: no
    /// such limit.
    uint32_t cpu_limit_mcores;
    int64_t cpu_limit_until_ns;
    uint32_t pending_calls;
    bool is_list_pending;
    int64_t listed_ns;     ///< last reply to a list call
    uint32_t list_wait_ms; ///< wait_ms of the pending list call
    int64_t list_sent_ns;
    uint64_t session_number; ///< increases when the session starts again
    uint64_t list_session;   ///< session_number of the pending list call
    int64_t list_due_ns; ///< when to send the next list call; INT64_MAX: never
    uint64_t acked;      ///< highest end_number processed
    uint64_t acked_sent; ///< acked of the last answered list call
    uint64_t clock_ms;   ///< last reading of its clock
    int64_t clock_ns;    ///< when it was read
    int64_t clock_error_ns;    ///< bound of its error: the round trip
    int64_t lease_expiry_ns;   ///< when its last lease has certainly expired
    uint32_t unanswered_count; ///< consecutive unanswered calls
    bool is_broken_off; ///< it closed the connection of one of these calls
    uint32_t slowness_permille; ///< run time relative to the expected one
    uint32_t sample_count;
    /// Runs in a row that failed, stalled or were rejected, one per order.
    uint32_t consecutive_failures;
    char last_failed_job[kPoolNameBytes];
    int64_t eject_until_ns;
    uint32_t eject_count; ///< doublings of the next ejection time
};

struct pool {
    pool_limits_t limits;
    const pool_ops_t *ops;
    void *owner;
    arena_t *arena;
    apr_hash_t *targets;         ///< by id
    pool_target_t *first_target; ///< in the order in which they were added
    pool_target_t *last_target;
    pool_order_t *first_order;
    pool_order_t *last_order;
    uint32_t order_count;
    uint32_t run_count;
    uint32_t pending_calls;       ///< that start or stop runs
    memory_budget_t order_memory; ///< of orders with their tasks and runs
    int64_t memory_logged_ns;     ///< when it was last logged as used up
    forecast_t *forecast;
    losses_t *losses;
    cancelled_t *cancelled;
    /// Mean ratio of actual to estimated waits, by priority.
    uint32_t wait_correction_permille[kWaitPriorities];
    int64_t round_trip_ns;  ///< smoothed time from a start call to its reply
    int64_t lossy_until_ns; ///< calls are assumed to be lost until then
    bool is_closed;
    bool is_evacuating; ///< data centres are evacuated
    /// Since when orders that can meet their objective have waited for
    /// resources without a break; 0 while none does.
    int64_t contended_since_ns;
};

// pool.c

/// Records that a call went unanswered. For a few seconds, calls are then
/// assumed to be lost: list calls have shorter waits and deadlines.
void pool_record_unanswered_call(pool_t *pool, const pool_target_t *target,
                                 int64_t now_ns);
bool pool_is_lossy(const pool_t *pool, int64_t now_ns);

// calls.c

/// @return whether a start may be sent to any target
bool calls_have_room(const pool_t *pool);
bool calls_allow_start(const pool_t *pool, const pool_target_t *target);
bool calls_allow_stop(const pool_t *pool, const pool_target_t *target);
void calls_record_sent(pool_t *pool, pool_target_t *target);
void calls_record_reply(pool_t *pool, pool_target_t *target);

// lease.c

/// Grants a lease now, and records it in lease_expiry_ns.
///
/// @return its end on the target's clock
uint64_t lease_grant(pool_target_t *target, uint32_t lease_ms, int64_t now_ns);
/// A run whose order has ended must not be kept by the leases that other runs
/// of its target need.
///
/// @return the longest lease that may be granted now; 0: none
uint32_t lease_read_limit_ms(const pool_t *pool, const pool_target_t *target,
                             int64_t now_ns);
/// Ends the runs of a target whose last lease has certainly expired.
///
/// @return when to call it next, or INT64_MAX
int64_t lease_advance(pool_t *pool, pool_target_t *target, int64_t now_ns);

// sessions.c

/// Starts the session again: the target gets no starts until it has answered a
/// list call that is sent from now on.
void session_restart(pool_target_t *target, int64_t now_ns);
bool session_accepts_starts(const pool_t *pool, const pool_target_t *target,
                            int64_t now_ns);
/// @return whether a target has listed its runs so lately that it is still in
///         the life that the pool knows. It names its life in lists only, and
///         may start again as another kind.
bool session_is_verified(const pool_t *pool, const pool_target_t *target,
                         int64_t now_ns);
/// Lists the runs of a target as soon as possible.
void session_verify(pool_target_t *target, int64_t now_ns);
/// Frees a dropped target that has no pending calls and no runs.
void session_free_dropped(pool_t *pool, pool_target_t *target);
/// Performs the actions that are due on a target and its runs.
///
/// @return when to call it next, or INT64_MAX
int64_t session_advance(pool_t *pool, pool_target_t *target, int64_t now_ns);
void session_handle_unanswered(pool_t *pool, pool_target_t *target,
                               int64_t now_ns);
void session_mark_unresponsive(pool_t *pool, pool_target_t *target,
                               int64_t now_ns);
/// Updates the speed of a target and the forecast of the queue with a run that
/// completed, and ends the target's series of failures.
void session_record_done(pool_t *pool, pool_target_t *target,
                         const pool_run_t *run, int64_t now_ns);
/// Counts a failure of a target, and ejects the target after too many.
void session_record_failure(pool_target_t *target, const pool_run_t *run,
                            int64_t now_ns);

// runs.c

/// @param care  as decided for the task; at most kCareAlone
pool_run_t *run_start(pool_t *pool, pool_target_t *target, pool_task_t *task,
                      care_t care, int64_t now_ns);
/// Ends a run, and completes, fails or requeues its task.
void run_end(pool_t *pool, pool_run_t *run, run_end_t how, int64_t now_ns);
/// Records that a run is, or may be, lost with its target.
void run_record_loss(pool_t *pool, const pool_run_t *run, int64_t now_ns);
/// Ends a run that was lost with its target, and records the loss.
void run_lose(pool_t *pool, pool_run_t *run, int64_t now_ns);
/// Ends a run that the pool can no longer control: its order ends as lost.
void run_abandon(pool_t *pool, pool_run_t *run, int64_t now_ns);
/// Stops a run, as soon as its start call has been answered.
void run_stop(pool_t *pool, pool_run_t *run, int64_t now_ns);
/// Stops a run whose order has ended. Even if no stop is answered, it ends
/// before the caller submits the job again: no lease of its target outlasts
/// the time that the limits allow.
///
/// @param given_up_ns  the earliest time when the caller may have given up
void run_orphan(pool_t *pool, pool_run_t *run, int64_t given_up_ns,
                int64_t now_ns);
int64_t run_advance(pool_t *pool, pool_run_t *run, int64_t now_ns);
/// Frees an ended run that has no pending calls.
void run_free_ended(pool_t *pool, pool_run_t *run);

// orders.c

/// Reports the result of an order, stops its runs and frees it.
void order_settle(pool_t *pool, pool_order_t *order, order_outcome_t outcome,
                  error_kind_t kind, uint32_t retry_after_ms, int64_t now_ns);
void order_complete_task(pool_t *pool, pool_task_t *task, int64_t now_ns);
/// Requeues a task whose run failed, or ends the order as failed at its
/// attempt limit.
void order_fail_task(pool_t *pool, pool_task_t *task, int64_t now_ns);
void order_requeue_task(pool_task_t *task);
int64_t order_advance(pool_t *pool, pool_order_t *order, int64_t now_ns);

// urgency.c

/// In which order the waiting tasks of orders get free resources.
typedef enum {
    /// Has started tasks, and its answer is still of use. In a surge, such an
    /// order would otherwise wait behind all new ones until its caller leaves,
    /// and the work done for it would be lost.
    kUrgencyBegun,
    kUrgencyInTime, ///< can still meet its objective
    kUrgencyLate,
    kUrgencyCount
} urgency_t;

urgency_t urgency_read(const pool_order_t *order, int64_t now_ns);

/// @param objective_count  in how many times its objective the order should
///                         complete
/// @return the latest time to start its remaining steps for that
int64_t urgency_latest_start_ns(const pool_order_t *order,
                                int64_t objective_count);

/// Updates contended_since_ns.
void urgency_update_contention(pool_t *pool, int64_t now_ns);

/// In a surge, orders that can meet their objective always wait, and one that
/// cannot would be last in line until its caller leaves: the caller is told at
/// once.
///
/// @param contended_since_ns  since when others that can meet their objective
///                            have waited; 0 if none does
/// @return when an order that has not started is refused
int64_t urgency_give_up_ns(const pool_order_t *order,
                           int64_t contended_since_ns);

// place.c

void place_waiting_tasks(pool_t *pool, int64_t now_ns);
/// @return the resources of a target that no run holds
resources_t place_read_free(const pool_target_t *target);
/// @return whether a run that starts now is expected to have ended when its
///         target passes to another owner
bool place_ends_before_handover(const pool_target_t *target,
                                int64_t expected_ns, int64_t now_ns);
/// Checks whether each step of an order fits a ready target without runs, in
/// the time until the target passes to another owner.
///
/// @return kErrorKindOk; kErrorKindNoFit if targets that stay are of the wrong
///         kind; kErrorKindNoDispatcher if there is none now
error_kind_t place_check_fit(const pool_t *pool, const order_t *order,
                             int64_t now_ns);
/// @return the expected run time on a target, whose slowness is included
int64_t place_estimate_run_ns(uint32_t estimate_ms,
                              const pool_target_t *target);

// strand.c

/// Ends the orders whose waiting tasks have no target while data centres are
/// evacuated: refused if none of their tasks was started, so that the
/// coordinator tries another owner, and lost otherwise.
void strand_end_orders(pool_t *pool, int64_t now_ns);

// wait.c

void wait_init(pool_t *pool);
/// @return the expected wait of a new order until its last task starts
int64_t wait_estimate_ns(pool_t *pool, pool_order_t *order, int64_t now_ns);
/// Updates the correction of estimated waits with the actual wait of an order,
/// when its last task starts or the order is given up.
void wait_record_actual(pool_t *pool, pool_order_t *order, int64_t now_ns);
/// @return the time that all targets together need for the waiting tasks of
///         the orders up to this one; of all if it is NULL
uint32_t wait_backlog_ms(const pool_t *pool, const pool_order_t *last);

#endif
