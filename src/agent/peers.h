/// Agents of other VMs: asked for configuration and members while the
/// platform is out.
#ifndef JT_AGENT_PEERS_H
#define JT_AGENT_PEERS_H

#include "agent/agent.h"

/// Asks the next peer in turn, unless one is being asked.
void peers_ask(agent_t *agent);

#endif
