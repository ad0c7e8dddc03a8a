/// Edits of the configuration that operators ask this agent to publish.
#ifndef JT_AGENT_EDITS_H
#define JT_AGENT_EDITS_H

#include "agent/agent.h"

/// Takes a config_put message.
void edits_take_put(session_t *session, bytes_t body, arena_t *arena);

/// Records what became of an edit that was read back from the log, and
/// tells the operator who waits for it.
void edits_note_verdict(agent_t *agent, const char *edit_id, error_kind_t kind,
                        uint64_t offset, const char *reason);

/// Tells operators whose wait is over that the outcome is not known.
void edits_expire(agent_t *agent);

/// Drops the waits of an operator who is gone.
void edits_forget_session(agent_t *agent, const session_t *session);

#endif
