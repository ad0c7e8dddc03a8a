/// The whole system on loopback for a test: stand-ins for the platform and the
/// targets, and the processes of entry VMs, each VM with its own address.
/// Waits poll a condition; see process_wait_for.
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

/// Size and settings of a cluster. 0 and NULL select the default.
typedef struct {
    uint32_t dcs;     ///< data centres, 1 by default
    uint32_t vms;     ///< entry VMs in each data centre, 1 by default
    uint32_t targets; ///< targets in each data centre, 2 by default
    uint32_t slots;   ///< slots of a target, 8 by default
    bool has_proxy;   ///< links between VMs, targets and platform go through
                      ///< standin-proxy
    const char *dispatch_settings; ///< JSON members, a comma after each
    const char *front_settings;
    const char *agent_settings;
    const char *teams; ///< names separated by spaces, "counter" by default
} cluster_options_t;

/// An entry VM and its processes.
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
    uint32_t network; ///< second octet of all addresses
    apr_proc_t platform;
    apr_proc_t targets[kClusterMaxDcs];
    apr_proc_t proxy;
    cluster_vm_t vms[kClusterMaxDcs * kClusterMaxVms];
    uint32_t vm_count;
} cluster_t;

/// Starts all processes and waits until each entry VM is ready; see
/// cluster_wait_ready.
void cluster_start(cluster_t *cluster, const cluster_options_t *options);

/// Kills all processes and removes their folder; with JT_KEEP set in the
/// environment, the folder stays.
void cluster_stop(cluster_t *cluster);

/// Starts one process of a VM.
void cluster_start_process(cluster_t *cluster, uint32_t vm,
                           cluster_process_t process);

/// Sends a signal to one process of a VM.
void cluster_signal(cluster_t *cluster, uint32_t vm, cluster_process_t process,
                    int number);

/// Waits for a process of a VM to exit.
///
/// @return its exit code, or -1 when a signal killed it
int cluster_join_process(cluster_t *cluster, uint32_t vm,
                         cluster_process_t process);

/// Waits until the health check of a VM's front succeeds.
void cluster_wait_front(cluster_t *cluster, uint32_t vm);

/// Waits until the front of a VM gets job ids from a dispatcher and the
/// dispatcher of the VM has the teams and the members.
void cluster_wait_ready(cluster_t *cluster, uint32_t vm);

/// Sets the VM list of the platform stand-in.
///
/// @param omitted   entry VM to omit, or UINT32_MAX
/// @param leaving   entry VM that is leaving, or UINT32_MAX
void cluster_publish_vms(cluster_t *cluster, uint32_t omitted,
                         uint32_t leaving);

/// Sets faults of standin-platform, such as "outage=1".
void cluster_set_platform(cluster_t *cluster, const char *query);

/// Sets faults of standin-proxy, such as "forget=1" or "cut=2".
void cluster_set_proxy(cluster_t *cluster, const char *query);

/// Sets faults of the targets in a data centre, such as "runner=0&mode=close".
void cluster_set_targets(cluster_t *cluster, uint32_t dc, const char *query);

/// @return a counter of the target stand-ins, summed over all data centres
uint64_t cluster_read_counter(cluster_t *cluster, const char *key);

/// Runs jtctl.
///
/// @param output  the start of its output, with a NUL at the end
/// @return its exit code
int cluster_run_jtctl(cluster_t *cluster, uint32_t vm, uint16_t port,
                      char *output, uint32_t output_bytes,
                      const char *arguments);

/// Gets a new job id through the front of a VM.
void cluster_create_job_id(cluster_t *cluster, uint32_t vm,
                           char id[kCallerIdBytes]);

/// Fills in a request that submits a job through the front of a VM.
void cluster_fill_submission(cluster_t *cluster, uint32_t vm, const char *id,
                             const char *body, caller_request_t *request);

/// Submits a job under an id and waits for the response.
///
/// @return the status, 0 without a complete response
uint32_t cluster_submit(cluster_t *cluster, uint32_t vm, const char *id,
                        const char *body, caller_request_t *request);

/// Waits until the status of a job is not 404 any more.
void cluster_wait_job(cluster_t *cluster, uint32_t vm, const char *id);

/// Waits until the targets have counted at least so many starts.
void cluster_wait_starts(cluster_t *cluster, uint64_t count);

/// Writes the JSON of a job of equal tasks for team "counter".
void cluster_format_job(char *out, uint32_t out_bytes, uint32_t task_count,
                        uint32_t task_ms, uint32_t deadline_ms);

#endif
