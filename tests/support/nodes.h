/// Nodes and the users' platform on loopback for a test, each node with an
/// address of its own. The store and the runners lie behind standin-middle.
#ifndef JT_TESTS_SUPPORT_NODES_H
#define JT_TESTS_SUPPORT_NODES_H

#include "support/caller.h"
#include "support/process.h"

enum { kFleetMaxNodes = 64, kFleetAddressBytes = 20 };

typedef struct {
    uint32_t dc;
    char address[kFleetAddressBytes];
    apr_proc_t process;
    bool is_running;
    bool is_suspended; ///< by SIGSTOP
} fleet_node_t;

typedef struct {
    apr_pool_t *pool;
    char *folder;
    uint32_t net;
    uint32_t dcs;
    uint32_t runner_count;
    apr_proc_t users;
    apr_proc_t middle;
    fleet_node_t nodes[kFleetMaxNodes];
    uint32_t node_count;
} fleet_t;

/// Starts everything and waits until all nodes are ready and all runners have
/// an owner.
void fleet_start(fleet_t *fleet, uint32_t dcs, uint32_t nodes_of_dc,
                 uint32_t runners);

/// Ends everything at once. Logs stay where JT_KEEP is set.
void fleet_stop(fleet_t *fleet);

void fleet_start_node(fleet_t *fleet, uint32_t node);
void fleet_signal(fleet_t *fleet, uint32_t node, int number);

/// Waits until a node says that it is ready.
void fleet_wait_ready(fleet_t *fleet, uint32_t node);

/// @return how many runners a node owns that take starts
uint64_t fleet_count_owned_runners(const fleet_t *fleet, uint32_t node);

/// Waits until the running nodes own all runners that take starts.
///
/// @param runners  how many do
void fleet_wait_all_owned(fleet_t *fleet, uint32_t runners);

/// @return whether a node says that it is ready
bool fleet_is_ready(fleet_t *fleet, uint32_t node);

/// Sets the users' platform, such as "down=1".
void fleet_set_platform(fleet_t *fleet, const char *query);

/// Sets what lies between, such as "forget=1".
void fleet_set_proxy(fleet_t *fleet, const char *query);

/// @return a number of the runners' ledger
uint64_t fleet_read_counter(fleet_t *fleet, const char *key);

/// @return a number that the runners' ledger has of one job
uint64_t fleet_read_job_counter(fleet_t *fleet, uint64_t id, const char *key);

/// Fills in a job of equal tasks for a node.
void fleet_fill_job(fleet_t *fleet, uint32_t node, uint64_t id,
                    uint32_t task_count, uint32_t task_ms,
                    caller_request_t *request);

/// Hands a job in and waits for the answer.
///
/// @return its status
uint32_t fleet_submit_job(fleet_t *fleet, uint32_t node, uint64_t id,
                          uint32_t task_count, uint32_t task_ms);

#endif
