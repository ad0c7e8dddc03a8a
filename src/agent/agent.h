/// The agent of a VM: the only process that talks to the platform. It
/// follows the configuration's stream and the list of VMs, and hands both to
/// the processes of its VM and to peers.
#ifndef JT_AGENT_AGENT_H
#define JT_AGENT_AGENT_H

#include <apr_hash.h>

#include "config/config_document.h"
#include "generated/settings.h"
#include "member/members.h"
#include "net/conn.h"
#include "net/http_client.h"
#include "net/listener.h"
#include "runtime/control.h"

typedef struct agent agent_t;
typedef struct session session_t;
typedef struct put put_t;

/// A connection from a process, a peer or an operator.
struct session {
    agent_t *agent;
    conn_t *conn;
    session_t *next;
    session_t *prev;
    role_t role;
    bool is_subscribed;
    uint64_t sent_offset; ///< of the last configuration sent
    uint64_t in_force;    ///< as the process reports
};

/// An edit whose outcome an operator waits for.
struct put {
    agent_t *agent;
    put_t *next;
    session_t *session; ///< NULL once the operator is gone
    arena_t *arena;
    uint64_t request;
    const char *edit_id;
    int64_t deadline_ns;
};

struct agent {
    const agent_settings_t *settings;
    loop_t *loop;
    http_client_t *http;
    listener_t *listener;
    control_t control;
    session_t *sessions;
    put_t *puts;
    arena_t *arena;

    config_document_t *document;
    members_t *members;
    apr_hash_t *verdicts; ///< edit id to config_result_message_t

    loop_timer_t poll;
    bool is_log_busy;
    bool is_list_busy;
    bool is_log_stale;     ///< read again after the read that is out
    uint32_t append_count; ///< appends that are out
    bool is_platform_up;
    char list_etag[kEtagBytes];           ///< of the list that was read last
    char list_condition[kEtagBytes + 32]; ///< header of the read that is out
    uint64_t scan_from;     ///< next offset to search for a snapshot; 0 none
    uint64_t snapshot_seen; ///< offset of the newest snapshot in the log
    uint32_t next_peer;
    conn_t *peer;
};

/// Starts the agent on its loop.
///
/// @return whether it listens
bool agent_start(agent_t *agent, error_info_t *err);

/// Ends what the agent runs.
void agent_stop(agent_t *agent);

/// Sends configuration that a subscriber does not have yet.
void agent_push_config(session_t *session);

/// Sends news to every subscriber.
void agent_push_all(agent_t *agent);

/// Takes a list of VMs; tells subscribers where it differs.
void agent_take_members(agent_t *agent, const vm_entry_t *vms,
                        uint32_t vm_count);

#endif
