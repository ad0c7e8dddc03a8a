/// State of a dispatcher process, which mints job ids and runs the jobs that
/// are submitted under them. Each shard is a thread that owns jobs,
/// sessions and an event loop. Shards share only the view, which they read
/// under RCU, and atomics.
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
#include "net/link_clock.h"
#include "net/listener.h"
#include "queue/task_queue.h"
#include "route/estimate.h"
#include "runtime/agent_link.h"
#include "runtime/control.h"

typedef struct dispatch dispatch_t;
typedef struct shard shard_t;
typedef struct session session_t;
typedef struct job_record job_record_t;
typedef struct adopted_set adopted_set_t;

/// The session and the request that an answer belongs to.
typedef struct {
    uint32_t shard;
    uint32_t session;    ///< index in the shard's session table
    uint64_t generation; ///< distinguishes sessions that reuse an index
    uint64_t request;    ///< number that the sender gave the request
} reply_to_t;

/// A connection from a front, another dispatcher or jtctl.
struct session {
    shard_t *shard;
    conn_t *conn;
    uint32_t index; ///< in the shard's session table
    uint64_t generation;
    role_t role;
    link_clock_t clock; ///< of the other end
};

struct shard {
    dispatch_t *dispatch;
    uint32_t number;
    apr_thread_t *thread;
    loop_t *loop;
    http_client_t *http;
    id_registry_t *id_registry;
    task_queue_t *task_queue;
    rng_t rng;

    session_t **sessions; ///< NULL where an index is free
    uint32_t session_capacity;
    uint64_t next_generation;

    job_record_t *held_first; ///< ended jobs, oldest first
    job_record_t *held_last;
    loop_timer_t hold_timer;
    loop_timer_t waiting_timer; ///< set while tasks wait for a slot
    /// Posted by a shard that freed a slot.
    loop_callback_t free_slot_callback;
    _Atomic bool is_free_slot_posted;
    uint32_t
        next_offer_shard;    ///< counts up; freed slots rotate over the shards
    uint32_t backoff_count;  ///< tasks in backoff
    int64_t mean_service_ns; ///< mean run time of completed tries
    estimate_t estimate;
    retry_budget_t retry_budget;
    adopted_set_t *adopted; ///< records of stopped dispatchers; shard 0 only

    _Atomic uint32_t active_count; ///< active jobs and id requests
    _Atomic uint32_t held_count;
    _Atomic uint32_t waiting_count;
    _Atomic uint32_t started_count;
    _Atomic int64_t last_start_by_ns; ///< of all minted ids
};

struct dispatch {
    const dispatch_settings_t *settings;
    incarnation_t self;                ///< this run of the process
    uint8_t secret[kJobIdSecretBytes]; ///< key for the MACs of its ids
    control_t control;
    view_t *view; ///< read under RCU
    shard_t *shards;
    uint32_t shard_count;
    _Atomic bool is_draining;
    /// Tries started before this time don't reuse idle connections.
    _Atomic int64_t no_reuse_until_ns;

    loop_t *loop; ///< of the control thread
    listener_t *listener;
    uint32_t next_shard; ///< counts up; sessions rotate over the shards
    agent_link_t agent;
    loop_timer_t drain_timer;
    int64_t drain_limit_ns; ///< latest start of the handover
    struct handover *handover;
};

#endif
