/// Discrete-event simulation of targets on a virtual clock, for tests of
/// pools. Calls have a latency, lose their replies or are carried out late;
/// targets fail, hang, become unreachable and restart. Counts tasks that have
/// two runs at the same time and starts beyond the capacity of a target.
#ifndef JT_TESTS_SUPPORT_SIM_H
#define JT_TESTS_SUPPORT_SIM_H

#include "base/rng.h"
#include "pool/pool.h"

enum { kSimTargetLimit = 64, kSimPoolCount = 2, kSimRunLimit = 16 };

typedef struct sim sim_t;
typedef struct sim_event sim_event_t;

/// A run on a simulated target.
typedef struct {
    run_name_t name;
    int64_t end_ns; ///< INT64_MAX: never
    bool will_fail;
} sim_run_t;

/// A simulated target.
typedef struct {
    pool_target_info_t info;
    uint32_t speed_permille;
    bool is_unreachable; ///< no calls reach it
    bool is_hung;        ///< runs started now never end
    bool is_failing;     ///< runs started now fail after 1 ms
    bool rejects_starts;
    uint64_t token;
    int64_t lease_ns;      ///< when the lease expires
    int64_t clock_zero_ns; ///< when the target's clock read 0
    sim_run_t runs[kSimRunLimit];
    uint32_t run_count;
    listed_run_t ended[4096];
    uint32_t ended_count;
    uint64_t end_number;
    uint64_t acked;
    sim_event_t *waiting[kSimPoolCount]; ///< list calls, by pool
} sim_target_t;

/// Results of orders and starts.
typedef struct {
    uint32_t outcomes[kOrderOutcomeCount];
    uint32_t in_time; ///< complete within 1.6 times the longest task and 60 ms
    uint32_t starts;
    uint32_t lapsed; ///< runs that ended with the lease of their target
    uint32_t duplicate_runs;  ///< starts of a task that ran on another target
    uint32_t over_capacity;   ///< starts rejected for lack of resources
    uint32_t rejected_starts; ///< starts rejected due to rejects_starts
    uint32_t unwanted;        ///< ends of tasks whose order had its result
    uint32_t crashes;         ///< targets that a task crashed
    uint32_t killed;          ///< runs of other tasks on these targets
} sim_counts_t;

/// Shares of calls with a fault, in 1/1000.
typedef struct {
    uint32_t lost_permille; ///< the reply is lost; lists are not carried out
    uint32_t late_permille; ///< carried out 2 to 12 s later, without a reply
    /// Of the stop calls only: carried out 2 to 12 s later, without a reply.
    uint32_t late_stop_permille;
    /// Of the list calls only: neither carried out nor answered.
    uint32_t lost_list_permille;
} sim_fault_rates_t;

struct sim {
    int64_t now_ns;
    rng_t rng;
    sim_fault_rates_t fault_rates;
    int64_t list_reply_delay_ns; ///< added after a list reply is built
    pool_t *pools[kSimPoolCount];
    struct sim_owner {
        sim_t *sim;
        uint32_t number;
        bool is_frozen; ///< the pool does not run and gets no replies
    } owners[kSimPoolCount];
    sim_target_t *targets;
    uint32_t target_count;
    sim_event_t *events;
    sim_counts_t counts;
    void (*on_settled)(sim_t *sim, uint32_t pool,
                       const pool_order_result_t *result);
    /// Actual run time of a task on a target of normal speed.
    int64_t (*work_ns)(sim_t *sim, const run_name_t *name);
    /// Whether a task crashes each target that starts it; NULL: none does. The
    /// target restarts after crash_down_ns.
    bool (*is_deadly)(const run_name_t *name);
    int64_t crash_down_ns;
    /// From the restart of a target until the pools read its new record.
    int64_t record_delay_ns;
    void *state;
};

/// Creates a simulation of targets with 32 cores, and its pools.
void sim_init(sim_t *sim, uint32_t target_count, uint64_t seed);

void sim_clear(sim_t *sim);

/// Adds all targets to a pool under a token.
void sim_assign_targets(sim_t *sim, uint32_t pool, uint64_t token);

/// Calls a function at a time of the virtual clock.
void sim_schedule(sim_t *sim, int64_t at_ns, void (*call)(sim_t *sim));

/// Advances the virtual clock to `end_ns` and runs all events on the way.
void sim_run_until(sim_t *sim, int64_t end_ns);

/// Submits an order. Its request number is the job's name, read as
/// hexadecimal.
void sim_submit(sim_t *sim, uint32_t pool, const order_t *order);

/// Submits an order of one step.
void sim_submit_equal(sim_t *sim, uint32_t pool, const char *job,
                      uint32_t task_count, uint32_t estimate_ms,
                      uint32_t priority);

/// Restarts a target: a new incarnation without the state of the previous one,
/// whose record the pools read after record_delay_ns.
void sim_restart_target(sim_t *sim, uint32_t target);

#endif
