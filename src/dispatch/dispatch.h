/// The dispatcher: home of the jobs whose ids it minted. Its shards are
/// threads that each own jobs, connections and an event loop; they share
/// only the view, which they read under RCU, and atomics.
#ifndef JT_DISPATCH_DISPATCH_H
#define JT_DISPATCH_DISPATCH_H

#include <apr_thread_proc.h>
#include <stdatomic.h>

#include "base/rng.h"
#include "core/id_registry.h"
#include "core/job.h"
#include "dispatch/blob.h"
#include "dispatch/view.h"
#include "generated/settings.h"
#include "limit/retry_budget.h"
#include "net/conn.h"
#include "net/http_client.h"
#include "net/listener.h"
#include "queue/task_queue.h"
#include "route/estimate.h"
#include "runtime/agent_link.h"
#include "runtime/control.h"

typedef struct dispatch dispatch_t;
typedef struct shard shard_t;
typedef struct session session_t;
typedef struct job_record job_record_t;
typedef struct adopted adopted_t;

/// Where an answer goes: a session of a shard, and the request's number.
typedef struct {
    uint32_t shard;
    uint32_t session;
    uint64_t generation; ///< tells a session from an earlier one in its place
    uint64_t request;
} reply_to_t;

/// A connection from a front, a peer or an operator.
struct session {
    shard_t *shard;
    conn_t *conn;
    uint32_t place;
    uint64_t generation;
    role_t role;
};

struct shard {
    dispatch_t *dispatch;
    uint32_t number;
    apr_thread_t *thread;
    loop_t *loop;
    http_client_t *http;
    id_registry_t *mint;
    task_queue_t *waiting;
    rng_t rng;

    session_t **sessions;
    uint32_t session_capacity;
    uint64_t next_generation;

    job_record_t *held_first; ///< finished jobs, oldest first
    job_record_t *held_last;
    loop_timer_t hold_timer;
    loop_timer_t pump_timer;
    loop_callback_t pump_mail; ///< from another shard that frees a slot
    _Atomic bool is_pump_posted;
    uint32_t next_pump;     ///< shard whose turn it is at a freed slot
    uint32_t backoff_count; ///< tasks that wait for their next try's time
    int64_t service_ns;     ///< mean time of done tries
    estimate_t estimate;
    retry_budget_t retries;
    adopted_t *adopted; ///< records of stopped peers; shard 0 only

    _Atomic uint32_t active_count; ///< jobs that have not ended
    _Atomic uint32_t held_count;
    _Atomic uint32_t waiting_count;
    _Atomic uint32_t started_count;
    _Atomic int64_t last_start_by_ns;
};

struct dispatch {
    const dispatch_settings_t *settings;
    incarnation_t self;
    uint8_t secret[kJobIdSecretBytes];
    control_t control;
    view_t *view; ///< read under RCU
    shard_t *shards;
    uint32_t shard_count;
    _Atomic bool is_draining;
    _Atomic int64_t
        fresh_until_ns; ///< idle connections are not used until then

    loop_t *loop; ///< of the control thread
    listener_t *listener;
    uint32_t next_shard;
    agent_link_t agent;
    loop_timer_t drain_timer;
    int64_t drain_limit_ns;
    struct handover *handover;
};

#endif
