/// State of a pool, shared by its modules.
#ifndef JT_POOL_STATE_H
#define JT_POOL_STATE_H

#include <apr_hash.h>
#include <apr_strings.h>

#include "base/arena.h"
#include "base/units.h"
#include "pool/forecast.h"
#include "pool/pool.h"

enum { kWaitPriorities = 8 }; ///< of which waits are known apart

typedef struct pool_order pool_order_t;

typedef enum { kTaskWaiting, kTaskPlaced, kTaskDone } pool_task_state_t;

/// A task of an order.
typedef struct {
    pool_order_t *order;
    uint32_t step;
    uint32_t index; ///< within the step
    pool_task_state_t state;
    uint32_t last_attempt; ///< of the last start
    uint32_t failed_count; ///< runs that ended failed
    uint32_t move_count;   ///< runs stopped, as they took too long
    uint32_t reject_count; ///< starts that targets rejected
    int64_t not_before_ns; ///< earliest time of the next start
    char avoided_target[kPoolNameBytes]; ///< target of the last run that went
                                         ///< wrong
    pool_run_t *run;
} pool_task_t;

/// An order that is not settled.
struct pool_order {
    pool_order_t *next;
    pool_order_t *prev;
    arena_t *arena;
    const order_t *order;  ///< a copy, with the run times that are expected
    uint32_t *declared_ms; ///< run time that the caller gave each step
    uint64_t client;
    uint64_t request;
    int64_t received_ns; ///< when the home received the job
    int64_t deadline_ns; ///< when the caller gives up
    int64_t objective_ns;
    pool_task_t *tasks;
    uint32_t task_count;
    uint32_t waiting_count;
    uint32_t *step_left; ///< tasks of each step that are not done
    bool is_started;
    int64_t admitted_ns;
    int64_t estimated_wait_ns; ///< at admission; 0: it could start at once
};

typedef enum {
    kRunStarting, ///< the call to start it is open
    kRunActive,
    kRunUnconfirmed ///< the call to start it was not answered
} pool_run_state_t;

/// A run that occupies room on a target, or may do so.
struct pool_run {
    pool_run_t *next;
    pool_run_t *prev;
    pool_target_t *target;
    pool_task_t *task; ///< NULL when nobody wants its outcome
    run_name_t name;
    pool_run_state_t state;
    uint32_t cpu_mcores;
    uint32_t memory_mb;
    uint32_t accelerators;
    uint32_t estimate_ms;
    uint64_t lease_until_ms; ///< of its start, on the target's clock
    uint64_t token;          ///< that its start carried
    int64_t started_ns;
    int64_t confirmed_ns; ///< when the target said that it took the start, or
                          ///< the stop: a list that was sent later shows it
    int64_t stop_due_ns;  ///< when to send the next stop; 0: not stopping
    uint32_t starts_sent; ///< calls sent to start it, all the same
    uint32_t pending_starts; ///< of these, not answered yet
    int64_t resend_due_ns;   ///< when to send the next of them
    bool is_stop_pending;
    bool is_ended; ///< off the target; waits for open calls only
};

typedef enum {
    kSessionNew,         ///< what runs there is not known
    kSessionReady,       ///< all that runs there is known
    kSessionUnresponsive ///< a call was not answered
} session_state_t;

/// A target of the pool.
struct pool_target {
    pool_target_t *next;
    pool_target_t *prev;
    pool_target_info_t info;
    uint64_t token;
    session_state_t session;
    bool is_dropped; ///< freed when its calls are answered
    bool is_fenced;  ///< rejects the token; waits for a higher one
    pool_run_t *runs;
    uint32_t run_count;
    uint32_t pending_calls;
    bool is_list_pending;
    uint32_t list_wait_ms; ///< that the open list waits for an end
    int64_t list_sent_ns;
    uint64_t list_token;     ///< that the open list carries
    int64_t list_due_ns;     ///< when to send the next list; INT64_MAX: never
    uint64_t acked;          ///< number of the last end that was taken note of
    uint64_t acked_sent;     ///< highest number that an answered list carried
    uint64_t clock_ms;       ///< last reading of its clock
    int64_t clock_ns;        ///< when that reading came
    int64_t clock_error_ns;  ///< round trip of that reading
    int64_t lease_expiry_ns; ///< when its last lease is surely over
    uint32_t unanswered_count;  ///< calls in a row without an answer
    uint32_t slowness_permille; ///< run time against the expected one
    uint32_t sample_count;
    uint32_t
        consecutive_failures; ///< failed orders in a row, each counted once
    char last_failed_job[kPoolNameBytes];
    int64_t eject_until_ns;
    uint32_t eject_count;
};

/// Room of a target that no run occupies.
typedef struct {
    int64_t cpu_mcores;
    int64_t memory_mb;
    int64_t accelerators;
} resources_t;

struct pool {
    pool_limits_t limits;
    const pool_ops_t *ops;
    void *owner;
    arena_t *arena;
    apr_hash_t *targets;         ///< by id
    pool_target_t *first_target; ///< in the order in which they came
    pool_target_t *last_target;
    pool_order_t *first;
    pool_order_t *last;
    uint32_t order_count;
    uint32_t run_count;
    forecast_t *forecast;
    uint32_t wait_correction_permille[kWaitPriorities]; ///< mean of waits over
                                                        ///< guessed ones
    int64_t round_trip_ns;  ///< smoothed time from a start to its answer
    int64_t lossy_until_ns; ///< calls go without answers until then
    bool is_closed;
};

/// pool.c
/// Notes that a call has no answer: others are watched closely for a while.
void pool_note_call_loss(pool_t *pool, const pool_target_t *target,
                         int64_t now_ns);
bool pool_is_lossy(const pool_t *pool, int64_t now_ns);

/// sessions.c
uint64_t session_lease_until_ms(const pool_target_t *target,
                                const pool_limits_t *limits, int64_t now_ns);
void session_extend_lease(pool_target_t *target, const pool_limits_t *limits,
                          int64_t now_ns);
bool session_accepts_starts(const pool_target_t *target, int64_t now_ns);
void session_release(pool_t *pool, pool_target_t *target);
int64_t session_advance(pool_t *pool, pool_target_t *target, int64_t now_ns);
void session_handle_unanswered(pool_t *pool, pool_target_t *target,
                               int64_t now_ns);
void session_mark_unresponsive(pool_t *pool, pool_target_t *target,
                               int64_t now_ns);
void session_record_done(pool_t *pool, pool_target_t *target,
                         const pool_run_t *run, int64_t now_ns);
void session_record_failure(pool_target_t *target, const pool_run_t *run,
                            int64_t now_ns);

/// runs.c
pool_run_t *run_create(pool_t *pool, pool_target_t *target, pool_task_t *task,
                       int64_t now_ns);
void run_end(pool_t *pool, pool_run_t *run, run_end_t how, int64_t now_ns);
void run_abandon(pool_t *pool, pool_run_t *run, int64_t now_ns);
void run_stop(pool_t *pool, pool_run_t *run, int64_t now_ns);
int64_t run_advance(pool_t *pool, pool_run_t *run, int64_t now_ns);
void run_free_ended(pool_t *pool, pool_run_t *run);

/// orders.c
void order_settle(pool_t *pool, pool_order_t *order, order_outcome_t outcome,
                  error_kind_t kind, uint32_t retry_after_ms, int64_t now_ns);
void order_task_done(pool_t *pool, pool_task_t *task, int64_t now_ns);
void order_task_failed(pool_t *pool, pool_task_t *task, int64_t now_ns);
void order_task_again(pool_task_t *task);
int64_t order_advance(pool_t *pool, pool_order_t *order, int64_t now_ns);

/// place.c
void place_all(pool_t *pool, int64_t now_ns);
resources_t place_read_free(const pool_target_t *target);
bool place_has_ready_target(const pool_t *pool);
bool place_can_ever_fit(const pool_t *pool, const order_t *order);
int64_t place_expected_ns(uint32_t estimate_ms, const pool_target_t *target);

/// wait.c
void wait_init(pool_t *pool);
/// @return how long a new order is expected to wait until its last task starts
int64_t wait_estimate_ns(pool_t *pool, pool_order_t *order, int64_t now_ns);
/// Learns from an order whose last task starts.
void wait_learn(pool_t *pool, pool_order_t *order, int64_t now_ns);
/// @return the time that all room needs for what waits up to a priority
uint32_t wait_backlog_ms(const pool_t *pool, uint32_t priority);

#endif
