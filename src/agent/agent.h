/// The agent of a VM: the only process of the VM that talks to the platform.
/// It polls the configuration log and the list of VMs, and passes both on to
/// the processes of its VM and to the agents of other VMs.
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
typedef struct pending_edit pending_edit_t;

/// A connection from a process of this VM, a peer agent or jtctl.
struct session {
    agent_t *agent;
    conn_t *conn;
    session_t *next;
    session_t *prev;
    role_t role;
    bool is_subscribed;
    uint64_t sent_offset;     ///< of the configuration sent last
    uint64_t in_force_offset; ///< as reported by the process
};

/// An edit of the configuration whose result an operator waits for.
struct pending_edit {
    agent_t *agent;
    pending_edit_t *next;
    session_t *session; ///< NULL once the operator has disconnected
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
    pending_edit_t *pending_edits;
    arena_t *arena;

    config_document_t *document;
    members_t *members;
    apr_hash_t *edit_results; ///< config_result_message_t by edit id

    loop_timer_t poll_timer;
    bool is_log_read_outstanding;
    bool is_list_read_outstanding;
    bool must_reread_log; ///< read again after the outstanding read
    uint32_t outstanding_appends;
    bool is_platform_up;
    char list_etag[kEtagBytes]; ///< of the list of VMs read last
    /// If-None-Match header of the outstanding read.
    char list_condition_header[kEtagBytes + 32];
    /// Where the search for a snapshot continues in the log; 0 without a
    /// search.
    uint64_t snapshot_scan_offset;
    uint64_t last_snapshot_offset; ///< of the newest snapshot in the log
    uint32_t next_peer;            ///< counts up; peers are asked in turn
    conn_t *peer;                  ///< connection to the peer being asked
};

/// Starts the agent on its loop.
///
/// @return false if it cannot listen
bool agent_start(agent_t *agent, error_info_t *err);

/// Stops listening and polling, and closes all sessions after what was sent to
/// them is flushed.
void agent_stop(agent_t *agent);

/// Sends the configuration that a subscriber does not have yet.
void agent_push_config(session_t *session);

/// Sends every subscriber the configuration that it does not have yet.
void agent_push_config_to_all(agent_t *agent);

/// Replaces the list of VMs, and sends it to subscribers, if it changed.
/// Ignores a list without an entry VM.
void agent_update_members(agent_t *agent, const vm_entry_t *vms,
                          uint32_t vm_count);

#endif
