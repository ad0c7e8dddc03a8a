/// Agents of other VMs: asked for the configuration and the list of VMs while
/// the platform does not answer.
#ifndef JT_AGENT_PEERS_H
#define JT_AGENT_PEERS_H

#include "agent/agent.h"

/// Asks the next peer in turn. Closes the connection to one that has not
/// answered yet.
void peers_ask_next(agent_t *agent);

#endif
