/// Demand on the fleet, and the sizes and speeds of its targets.
#ifndef JT_BENCH_FLEET_WORKLOAD_H
#define JT_BENCH_FLEET_WORKLOAD_H

#include "clock.h"

enum {
    kDcCount = 3,
    kKinds = 3,
    kTaskLimit = 32, ///< tasks of a job
    kSizes = 3,
    kSpeeds = 4
};

/// Jobs of one queue.
typedef struct {
    const char *queue;
    double tasks_mean;
    uint32_t tasks_max;
    double work_ms; ///< mean run time of a task on a target of speed 1
    double work_max_ms;
    double per_s; ///< rate, relative to the other kinds
    double worth; ///< mean value of a job that is answered in time
    uint32_t priority;
} job_kind_t;

typedef struct {
    const char *name;
    job_kind_t kinds[kKinds];
    double cpu_mean_mcores;
    double cpu_max_mcores;
    uint32_t sizes_mcores[kSizes];
    double speeds[kSpeeds];
    uint32_t targets; ///< of each data centre
    double swing;     ///< how far the rates move to each side of their means
    double period_s;
    double phases[kDcCount]; ///< in periods
    uint32_t burst_kind;
    double burst; ///< factor on this kind's rate in the burst; 1: none
} workload_t;

/// @return NULL if there is none of this name
const workload_t *workload_find(const char *name);

/// @return the rate of a kind's jobs in a data centre, relative to the mean of
///         all kinds at load 1
double workload_rate(const workload_t *workload, uint32_t kind, uint32_t dc,
                     double at_s);

/// @return the mean work of a job of any kind
double workload_mean_core_s(const workload_t *workload);

/// Sends the first job of each data centre; each sends the next one.
void workload_begin(fleet_t *fleet);

#endif
