/// The agent's client of the platform: reads the configuration log and the
/// list of VMs, and appends to the log. Asks peers while the platform does not
/// answer.
#ifndef JT_AGENT_PLATFORM_H
#define JT_AGENT_PLATFORM_H

#include "agent/agent.h"

/// Starts to poll the platform.
void platform_start(agent_t *agent);

/// Reads the log from the end of the document on. If a read is outstanding,
/// reads again after it.
void platform_read_log(agent_t *agent);

/// Called when an append was answered or failed.
///
/// @param edit_id  of the record; empty for a snapshot
/// @param end      only kHttpOutcomeNotSent proves that nothing was written
typedef void (*platform_append_done_t)(agent_t *agent, const char *edit_id,
                                       http_outcome_t end);

/// Appends a record to the log. The record is copied.
void platform_append(agent_t *agent, const log_record_t *record,
                     platform_append_done_t on_done);

/// Records whether the platform answered. Logs a change, and asks a peer if it
/// did not answer.
void platform_record_state(agent_t *agent, bool is_up);

#endif
