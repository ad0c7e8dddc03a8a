/// Stand-ins and helpers for the cases of this review: a store, runners, an
/// HTTP client, and the start and end of jt-node processes. They follow the
/// users' pages and use nothing but the C library.
#ifndef JT_REVIEW_KIT_H
#define JT_REVIEW_KIT_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum {
    kKitMaxNodes = 8,
    kKitMaxRunners = 16,
    kKitExitHeld = 0,   ///< the rule held
    kKitExitBroken = 1, ///< the rule was broken
    kKitExitNotRun = 2  ///< the case could not run
};

/// What to start. Each zone has `nodes_per_zone` nodes and
/// `runners_per_zone` runners.
typedef struct {
    uint32_t zones;
    uint32_t nodes_per_zone;
    uint32_t runners_per_zone;
} kit_plan_t;

/// Opens record.txt, starts the store and the runners, writes the settings of
/// the nodes, starts them and waits until all are ready. Exits with
/// kKitExitNotRun on failure. Node i is in zone i % zones.
void kit_start(const kit_plan_t *plan);

/// Kills all processes, removes the temporary folder and exits.
///
/// @param code  one of the exit codes above
void kit_finish(int code);

/// @return whether the case runs with its disruption (TROUBLE is not 0)
bool kit_has_trouble(void);

/// Adds a line to record.txt, with the time since the start.
void kit_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

int64_t kit_now_ms(void); ///< since the start of the case
void kit_sleep_ms(int64_t duration_ms);

/// Starts the program of the deploy file in the root of the repository, as the
/// platform does when a process has ended.
void kit_start_node(uint32_t node);

/// @return whether a node answers the platform's readiness check with 200
bool kit_is_node_ready(uint32_t node);

pid_t kit_node_pid(uint32_t node);
bool kit_is_node_running(uint32_t node);

/// Sends a signal to a node and records it.
void kit_signal_node(uint32_t node, int number);

/// @return the resident memory of a node, 0 if it has ended
uint32_t kit_node_memory_mb(uint32_t node);

/// @return processor time that a node has used
uint32_t kit_node_cpu_ms(uint32_t node);

/// @return the value of a metric of a node, or -1
int64_t kit_read_metric(uint32_t node, const char *name);

/// @return a node of a zone that owns runners (is_owner) or owns none, or -1
int32_t kit_find_node(uint32_t zone, bool is_owner);

/// A connection of a client to the front address of a node.
typedef struct {
    int fd;
    uint32_t node;
} kit_client_t;

/// @return false if the connection fails
bool kit_connect(kit_client_t *client, uint32_t node);

/// Sends a request; `method` is POST, GET or DELETE.
void kit_send(const kit_client_t *client, const char *method, const char *id,
              uint32_t deadline_ms, const char *body);

/// Waits for the response.
///
/// @param body  receives the response body; may be NULL
/// @return its status; -1 without a response in time, -2 if the connection
///         ends without one
int32_t kit_receive(const kit_client_t *client, uint32_t timeout_ms,
                    char *body, uint32_t body_bytes);

void kit_close(kit_client_t *client);

/// Sends one request on a connection of its own and waits for the response.
int32_t kit_call(uint32_t node, const char *method, const char *id,
                 uint32_t deadline_ms, const char *body, uint32_t timeout_ms);

/// A job that need not be kept: steps of equal tasks, each after the one
/// before it.
typedef struct {
    uint32_t steps;
    uint32_t tasks; ///< of each step
    uint32_t task_ms;
    uint32_t task_mcores;
} kit_work_t;

void kit_format_job(char *out, uint32_t out_bytes, const kit_work_t *work);

/// Counters of the runners, by job.
typedef struct {
    uint32_t starts;
    uint32_t done;
    uint32_t doubles; ///< starts while another run of the task was going on
    int64_t last_start_ms;
} kit_job_t;

kit_job_t kit_read_job(const char *id);

/// @return whether a run of a job is going on
bool kit_is_job_running(const char *id);

#endif
