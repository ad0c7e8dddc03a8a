/// Nodes and the stand-in for the users' platform on loopback for a test, each
/// node with its own address. Nodes reach the store through standin-proxy.
#ifndef JT_TESTS_SUPPORT_FLEET_H
#define JT_TESTS_SUPPORT_FLEET_H

#include "support/caller.h"
#include "support/process.h"

enum { kFleetMaxNodes = 64, kFleetAddressBytes = 20 };

/// Run time of a task that crashes its runner.
#define FLEET_DEADLY_MS UINT32_MAX

typedef struct {
    uint32_t dc;
    char address[kFleetAddressBytes];
    apr_proc_t process;
    bool is_running;
    bool is_suspended; ///< by SIGSTOP; set by the test
} fleet_node_t;

typedef struct {
    apr_pool_t *pool;
    char *folder;
    uint32_t network; ///< second octet of all addresses
    uint32_t dcs;
    uint32_t runner_count;
    const char *node_settings; ///< JSON members, a comma after each
    apr_proc_t platform;
    apr_proc_t proxy;
    fleet_node_t nodes[kFleetMaxNodes];
    uint32_t node_count;
} fleet_t;

/// Starts all processes and waits until all nodes are ready and all runners
/// have an owner.
///
/// @param runner_count  of all data centres together
void fleet_start(fleet_t *fleet, uint32_t dcs, uint32_t nodes_per_dc,
                 uint32_t runner_count);

/// The same with further settings of each node.
///
/// @param node_settings  JSON members, a comma after each
void fleet_start_with(fleet_t *fleet, uint32_t dcs, uint32_t nodes_per_dc,
                      uint32_t runner_count, const char *node_settings);

/// Kills all processes and removes their folder; with JT_KEEP set in the
/// environment, the folder with the logs stays.
void fleet_stop(fleet_t *fleet);

void fleet_start_node(fleet_t *fleet, uint32_t node);
void fleet_signal(fleet_t *fleet, uint32_t node, int number);

/// Waits until a node reports that it is ready.
void fleet_wait_ready(fleet_t *fleet, uint32_t node);

/// @return how many runners a node owns that accept starts; 0 without a
///         response
uint64_t fleet_count_owned_runners(const fleet_t *fleet, uint32_t node);

/// @return a number in the metrics of a node, such as
///         "jaytrestle_store_calls"; 0 without a response
uint64_t fleet_read_metric(const fleet_t *fleet, uint32_t node,
                           const char *name);

/// Waits until the running nodes together own all runners that accept starts.
///
/// @param runner_count  number of runners that accept starts
void fleet_wait_all_owned(fleet_t *fleet, uint32_t runner_count);

/// @return whether a node reports that it is ready
bool fleet_is_ready(fleet_t *fleet, uint32_t node);

/// Sets faults of standin-users, such as "down=1".
void fleet_set_platform(fleet_t *fleet, const char *query);

/// Sets faults of standin-proxy, such as "forget=1".
void fleet_set_proxy(fleet_t *fleet, const char *query);

/// @return a counter of standin-users
uint64_t fleet_read_counter(fleet_t *fleet, const char *key);

/// @return a counter that standin-users keeps for one job
uint64_t fleet_read_job_counter(fleet_t *fleet, uint64_t id, const char *key);

/// Fills in a request that submits a job of equal tasks to a node. The caller
/// frees the body of the request.
///
/// @param task_ms  run time of each task, or FLEET_DEADLY_MS
void fleet_fill_job(fleet_t *fleet, uint32_t node, uint64_t id,
                    uint32_t task_count, uint32_t task_ms,
                    caller_request_t *request);

/// Sends a job of equal tasks over a new connection, without waiting for the
/// response.
///
/// @param limit_ms  Request-Deadline
/// @return the connection
int fleet_send_job(fleet_t *fleet, uint32_t node, uint64_t id,
                   uint32_t task_count, uint32_t task_ms, uint32_t limit_ms);

/// Sends one more job on a connection, without waiting for the response to the
/// one before.
void fleet_pipeline_job(fleet_t *fleet, int fd, uint64_t id,
                        uint32_t task_count, uint32_t task_ms,
                        uint32_t limit_ms);

/// Waits for the response on a connection.
///
/// @param out  receives what has arrived of it
/// @return its status, 0 without one
uint32_t fleet_receive_status(int fd, char *out, size_t out_bytes);

/// Submits a job of equal tasks to a node and waits for the response.
///
/// @return the status, 0 without a complete response
uint32_t fleet_submit_job(fleet_t *fleet, uint32_t node, uint64_t id,
                          uint32_t task_count, uint32_t task_ms);

#endif
