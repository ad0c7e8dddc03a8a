/// Edits of the configuration that operators publish through this agent.
#ifndef JT_AGENT_EDITS_H
#define JT_AGENT_EDITS_H

#include "agent/agent.h"

/// Handles a config_put message: appends the edit to the log. If the result of
/// its edit id is already known, sends that instead, so that a repeated edit
/// is applied once.
void edits_handle_put(session_t *session, bytes_t body, arena_t *arena);

/// Records the result of an edit that was read back from the log, and sends it
/// to the operator who waits for it.
void edits_record_result(agent_t *agent, const char *edit_id,
                         error_kind_t kind, uint64_t offset,
                         const char *reason);

/// Answers pending edits past their deadline: the result is not known.
void edits_expire_pending(agent_t *agent);

/// Detaches pending edits from a session that is being closed.
void edits_detach_session(agent_t *agent, const session_t *session);

#endif
