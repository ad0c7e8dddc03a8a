/// Stand-ins for the users' platform, all in one process: the metadata store,
/// the runners and the clients, and the nodes as child processes. Written from
/// the users' pages. Single-purpose and small: one connection a thread, one
/// lock over all state.
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum {
    kMaxNodes = 8,
    kMaxRunners = 32,
    kCallersPort = 8161,
    kReadyPort = 8167,
    kPeerPort = 7720,
    kMetricsPort = 9464,
    kStorePort = 8169,
    kRunnerPort = 8080,
    kTextBytes = 4096
};

typedef struct {
    char name[32];
    char zone[32];
    char address[32];
    char settings_path[256];
    pid_t pid;
    /// Of its last call to the store. 0: none yet.
    int64_t last_store_call_ms;
    uint64_t store_calls;
} world_node_t;

typedef struct {
    uint32_t node_count;
    uint32_t zone_count;
    uint32_t runner_count;
    uint32_t network; ///< second octet of all addresses
    char folder[200]; ///< temporary
    world_node_t nodes[kMaxNodes];
    /// Late orders: while now is before this time, each run-start and run-stop
    /// call is left unanswered with this probability, and carried out 2 to
    /// 12 s later.
    int64_t late_until_ms;
    double late_share;
    uint64_t orders_seen; ///< run-start and run-stop calls while orders are
                          ///< late
    uint64_t orders_late; ///< of these, left unanswered
    uint64_t starts;      ///< runs that began
    uint64_t doubles;     ///< of these, while the task ran on another runner
    uint64_t done;
    uint64_t stopped;
    uint64_t lapsed;
    uint64_t wrong_kind; ///< starts that need the label a, on a runner without
    /// Of these, on runners that had told their present life in the answer to
    /// a hold before.
    uint64_t wrong_kind_told;
} world_t;

extern world_t world;

/// Steady clock in milliseconds, from the start of the process.
int64_t now_ms(void);
void sleep_ms(int64_t ms);

/// Adds a line with the time to the record.
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/// Starts the store and the runners. Ends the process with status 2 on
/// failure.
///
/// @param record_path  file for the record
void world_open(const char *record_path, uint32_t nodes, uint32_t zones,
                uint32_t runners);

/// Writes the settings file of a node again.
void world_write_settings(uint32_t node);

/// Starts a node with the command of the deploy file.
void world_start_node(uint32_t node);

/// Waits until all nodes are ready and run a first job. Ends the process with
/// status 2 after half a minute.
void world_wait_ready(void);

/// Crashes a runner: it closes its connections, and answers no more.
void world_stop_runner(uint32_t runner);

/// Starts a runner again under the id that it had, with another label. Its
/// first entry in the store comes after a delay.
void world_restart_runner(uint32_t runner, const char *kind,
                          uint32_t beat_delay_ms);

/// Ends all processes that were started, by their ids.
void world_close(void);

/// A request of a client over its own connection.
typedef struct {
    uint32_t node;
    const char *method;
    const char *path; ///< under the queue's prefix: the id of a job
    const char *body;
    uint32_t deadline_ms; ///< Request-Deadline; the client waits that long
    /// Set while the client waits: its connection is reset. May be NULL.
    const volatile bool *is_reset;
    int32_t status; ///< 0: no response within the deadline; -1: the
                    ///< connection broke
    char reply[512];
    int64_t sent_ms;
    int64_t answered_ms;
} client_call_t;

void client_send(client_call_t *call);

/// Formats a best-effort job of one step, whose tasks run for task_ms.
void format_job(char out[kTextBytes], uint32_t count, uint32_t cpu_mcores,
                uint32_t task_ms);

/// @return the runs of a job that are at work now
uint32_t world_count_running(const char *job);

/// @return when the last run of a job began; 0: never
int64_t world_last_start_ms(const char *job);

/// Reads the environment variable TROUBLE; anything but 0 means true.
bool is_troubled(void);

#endif
