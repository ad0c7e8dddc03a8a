/// The state of a fleet: targets, owners with a pool each, coordinators with
/// aged news of the pools' room, and the jobs of a run.
#ifndef JT_BENCH_FLEET_FLEET_H
#define JT_BENCH_FLEET_FLEET_H

#include "base/rng.h"
#include "clock.h"
#include "pool/choice.h"
#include "pool/pool.h"
#include "workload.h"

enum {
    kCoordinators = 45,
    kRunLimit = 64, ///< active runs of a target
    kJobLimit = 200000,
    kTries = 4,       ///< pools that a job is offered to
    kRemoteLinks = 4, ///< owners of each other data centre that a coordinator
                      ///< knows
    kRunSeconds = 30, ///< in which jobs are sent
    kFaultFromMs = 14000, ///< in which a fault lasts, at the peak of demand
    kFaultToMs = 19000,
    kLeaseMs = 650,
    kOrphanMs = 780,
    kSloMs = 60,            ///< objective of a job, and
    kStretchPermille = 1600 ///< times its longest task
};

/// A job and its result.
typedef struct {
    uint32_t kind;
    uint32_t coordinator;
    int64_t sent_ns;
    int64_t deadline_ns;
    int64_t longest_ns; ///< run time of its longest task
    double value;
    double core_ms;
    uint32_t task_count;
    uint32_t cpu_mcores; ///< of each task
    uint32_t declared_ms;
    int64_t work_ns[kTaskLimit];
    uint32_t tried[kTries]; ///< owners
    uint32_t tried_count;
    uint32_t owner; ///< to which it is assigned
    bool is_assigned;
    bool is_settled;
    order_outcome_t outcome;
    int64_t took_ns;
} job_t;

typedef struct {
    run_name_t name;
    uint32_t cpu_mcores;
    int64_t started_ns;
} target_run_t;

typedef struct {
    pool_target_info_t info;
    double speed; ///< run times are divided by it
    uint32_t owner;
    int64_t zero_ns; ///< zero of its own clock
    target_run_t active[kRunLimit];
    uint32_t active_count;
    listed_run_t *ended; ///< not acknowledged yet
    uint32_t ended_count;
    uint64_t end_number;
    event_t *waiting; ///< list call that waits for the end of a run
} target_t;

/// What a pool tells of its load.
typedef struct {
    room_t room;
    uint32_t backlog_ms;
} load_news_t;

/// What a coordinator knows of a pool.
typedef struct {
    bool is_linked;
    bool has_lost_link; ///< until the cut is mended
    bool is_known;
    load_news_t news;
    int64_t received_ns;
    uint32_t outstanding; ///< orders
} view_t;

typedef struct {
    fleet_t *fleet;
    pool_t *pool;
    uint32_t number;
    uint32_t dc;
    uint64_t due_tag; ///< of the last timer; earlier ones are void
    bool is_dirty;    ///< its pool has something to do
    bool is_dead;
} owner_t;

/// How a coordinator chooses a pool for a job.
typedef struct {
    const char *name;
    /// One pool has all targets, and declared run times are true.
    bool is_central;
    /// @return NULL if no pool is left that the job may be offered to
    owner_t *(*choose)(fleet_t *fleet, const job_t *job);
} policy_t;

/// A disturbance from kFaultFromMs to kFaultToMs.
typedef struct {
    const char *name;
    void (*begin)(fleet_t *fleet);
    /// The others notice and act; NULL: nothing to do.
    void (*notice)(fleet_t *fleet);
    void (*end)(fleet_t *fleet); ///< NULL: nothing to do
} fault_t;

/// Use of the fleet's cores.
typedef struct {
    double wasted_core_s; ///< of runs that were stopped
    double useful_core_s;
    double mean;
    double peak;   ///< largest mean of a second
    double second; ///< sum of the samples of this second
    double total;  ///< sum of all samples
    uint32_t samples;
} use_t;

struct fleet {
    const workload_t *workload;
    const policy_t *policy;
    const fault_t *fault; ///< NULL: none
    virtual_clock_t clock;
    int64_t start_ns;
    rng_t rng;
    owner_t *owners;
    uint32_t owner_count;
    target_t *targets;
    uint32_t target_count;
    view_t *views; ///< of each coordinator on each owner
    job_t *jobs;
    uint32_t job_count;
    double load;
    double jobs_per_s; ///< of each data centre at load 1
    double cores;
    double work_cores; ///< times their speeds
    use_t use;
    bool has_no_news; ///< of the pools' room
    bool is_cut;      ///< data centre 0 from the others
};

/// Creates a fleet whose workload, policy and load are set.
///
/// @param owners   of each data centre
/// @param targets  of each data centre
void fleet_create(fleet_t *fleet, uint64_t seed, uint32_t owners,
                  uint32_t targets);

void fleet_run_until(fleet_t *fleet, int64_t end_ns);

/// Frees all but the pools, which may have unanswered calls.
void fleet_destroy(fleet_t *fleet);

/// @return the time that a message takes from one data centre to another
int64_t fleet_latency_ns(uint32_t from_dc, uint32_t to_dc);

/// @return whether messages between data centres arrive
bool fleet_is_reachable(const fleet_t *fleet, uint32_t from_dc,
                        uint32_t to_dc);

view_t *fleet_view(fleet_t *fleet, uint32_t coordinator, uint32_t owner);

/// Functions through which a pool calls targets.
void target_send_start(void *owner, const start_call_t *call);
void target_send_stop(void *owner, const stop_call_t *call);
void target_send_list(void *owner, const list_call_t *call);

/// Ends all runs of a target, as it does when its lease has expired.
void target_stop_all(fleet_t *fleet, target_t *target);

/// Samples the share of cores in use until the end of the run.
void target_begin_samples(fleet_t *fleet);

extern const pool_ops_t owner_ops;

/// Hands an order for a job to the pool of its owner.
void owner_handle_order(fleet_t *fleet, event_t *event);

/// Order for a job, and its result.
typedef struct {
    event_t head;
    owner_t *owner;
    uint32_t job;
    order_outcome_t outcome;
    error_kind_t error;
    load_news_t news;
} order_event_t;

load_news_t owner_read_news(const owner_t *owner, int64_t now_ns);

/// Takes the result of an order.
void coordinator_handle_outcome(fleet_t *fleet, event_t *event);

/// Sends a job to the pool of the policy's choice.
void coordinator_submit_job(fleet_t *fleet, uint32_t number);

/// Ends the jobs that are assigned to an owner as lost, as nothing is known
/// of them.
///
/// @param dc  of the coordinators; kDcCount: all
void coordinator_lose_jobs(fleet_t *fleet, uint32_t owner, uint32_t dc);

/// Sets the links between a coordinator and the owners, and begins the news.
void coordinator_begin(fleet_t *fleet, uint32_t coordinator);

/// @return NULL if there is none of this name
const policy_t *policy_find(const char *name);
const fault_t *fault_find(const char *name);

/// Adds the events of the fault.
void fault_begin(fleet_t *fleet);

#endif
