/// The whole system on loopback for a test: a platform, targets and entry
/// VMs, each VM with an address of its own. Waits are for events, with a
/// limit that only a fault reaches.
#ifndef JT_TESTS_SUPPORT_CLUSTER_H
#define JT_TESTS_SUPPORT_CLUSTER_H

#include <apr_thread_proc.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>

#include "support/caller.h"
#include "support/process.h"

enum { kClusterMaxDcs = 2, kClusterMaxVms = 3, kClusterAddressBytes = 20 };

/// Processes of an entry VM.
typedef enum {
    kClusterProcessAgent,
    kClusterProcessDispatch,
    kClusterProcessFront,
    kClusterProcessCount
} cluster_process_t;

/// What a cluster is made of. 0 gives the default.
typedef struct {
    uint32_t dcs;                  ///< data centres, 1 by default
    uint32_t vms;                  ///< entry VMs of each, 1 by default
    uint32_t targets;              ///< targets of each, 2 by default
    uint32_t slots;                ///< slots of a target, 8 by default
    bool has_proxy;                ///< connections go through standin-middle
    const char *dispatch_settings; ///< further settings, each before a comma
    const char *front_settings;
    const char *agent_settings;
    const char *teams; ///< names separated by spaces, "counter" by default
} cluster_options_t;

/// The parts of one entry VM.
typedef struct {
    uint32_t dc;
    uint32_t number;
    char address[kClusterAddressBytes];
    apr_proc_t processes[kClusterProcessCount];
    bool is_running[kClusterProcessCount];
} cluster_vm_t;

typedef struct {
    cluster_options_t options;
    apr_pool_t *pool;
    char *folder;
    uint32_t network; ///< second number of all addresses
    apr_proc_t platform;
    apr_proc_t targets[kClusterMaxDcs];
    apr_proc_t proxy;
    cluster_vm_t vms[kClusterMaxDcs * kClusterMaxVms];
    uint32_t vm_count;
} cluster_t;

/// Starts everything and waits until the configuration is in force.
void cluster_start(cluster_t *cluster, const cluster_options_t *options);

/// Ends everything at once.
void cluster_stop(cluster_t *cluster);

/// Starts one part of a VM.
void cluster_start_process(cluster_t *cluster, uint32_t vm,
                           cluster_process_t process);

/// Sends a signal to one part of a VM.
void cluster_signal(cluster_t *cluster, uint32_t vm, cluster_process_t process,
                    int number);

/// Waits for the end of a part.
///
/// @return its exit code, or -1 when a signal ended it
int cluster_join_process(cluster_t *cluster, uint32_t vm,
                         cluster_process_t process);

/// Waits until the front of a VM serves.
void cluster_wait_front(cluster_t *cluster, uint32_t vm);

/// Waits until the front of a VM gets fresh ids from a dispatcher and the
/// configuration is in force there.
void cluster_wait_ready(cluster_t *cluster, uint32_t vm);

/// Tells the platform stand-in which VMs there are.
///
/// @param left_out  entry VM to leave out, or UINT32_MAX
/// @param leaving   entry VM that is leaving, or UINT32_MAX
void cluster_publish_vms(cluster_t *cluster, uint32_t left_out,
                         uint32_t leaving);

/// Sets the platform stand-in, such as "outage=1".
void cluster_set_platform(cluster_t *cluster, const char *query);

/// Sets what lies between the processes, such as "forget=1" or "cut=2".
void cluster_set_proxy(cluster_t *cluster, const char *query);

/// Sets the targets of a data centre, such as "runner=0&mode=close".
void cluster_set_targets(cluster_t *cluster, uint32_t dc, const char *query);

/// @return a number of the targets' ledger, over all data centres
uint64_t cluster_read_counter(cluster_t *cluster, const char *key);

/// Runs jtctl.
///
/// @param output  first bytes of what it prints
/// @return its exit code
int cluster_run_jtctl(cluster_t *cluster, uint32_t vm, uint16_t port,
                      char *output, uint32_t output_bytes,
                      const char *arguments);

/// Gets a fresh id through the front of a VM.
void cluster_create_job_id(cluster_t *cluster, uint32_t vm,
                           char id[kCallerIdBytes]);

/// Fills in a submission of a job under an id through the front of a VM.
void cluster_fill_submission(cluster_t *cluster, uint32_t vm, const char *id,
                             const char *body, caller_request_t *request);

/// Submits a job under an id and waits for the answer.
uint32_t cluster_submit(cluster_t *cluster, uint32_t vm, const char *id,
                        const char *body, caller_request_t *request);

/// Waits until a job is known to its home.
void cluster_wait_job(cluster_t *cluster, uint32_t vm, const char *id);

/// Waits until the targets' ledger counts so many starts.
void cluster_wait_starts(cluster_t *cluster, uint64_t count);

/// Writes a job of equal tasks.
void cluster_format_job(char *out, uint32_t out_bytes, uint32_t task_count,
                        uint32_t task_ms, uint32_t deadline_ms);

#endif
