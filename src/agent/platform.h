/// The agent's side of the platform: the log, the list of VMs, and peers
/// that stand in while the platform is out.
#ifndef JT_AGENT_PLATFORM_H
#define JT_AGENT_PLATFORM_H

#include "agent/agent.h"

/// Starts to follow the platform.
void platform_start(agent_t *agent);

/// Reads the log from where the document ends.
void platform_read_log(agent_t *agent);

/// Called when an append was answered, refused or lost.
///
/// @param edit_id  the record's; empty for a snapshot
/// @param end      only kHttpOutcomeNotSent proves that nothing was written
typedef void (*platform_appended_t)(agent_t *agent, const char *edit_id,
                                    http_outcome_t end);

/// Appends a record, which is copied.
void platform_append(agent_t *agent, const log_record_t *record,
                     platform_appended_t on_done);

/// Notes whether the platform answers; a change is logged.
void platform_note(agent_t *agent, bool is_up);

#endif
