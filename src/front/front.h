/// The front: the HTTP server for callers. It keeps no job state.
#ifndef JT_FRONT_FRONT_H
#define JT_FRONT_FRONT_H

#include <microhttpd.h>
#include <stdatomic.h>

#include "config/evacuated_dcs.h"
#include "front/relay.h"
#include "limit/memory_budget.h"
#include "net/listener.h"
#include "runtime/agent_link.h"
#include "runtime/control.h"

typedef struct {
    const front_settings_t *settings;
    control_t control;
    members_t *members; ///< read under RCU
    evacuated_dcs_t evacuated;
    _Atomic uint16_t mint_dc; ///< where relays get ids; see relay_init
    relay_t *relays;
    uint32_t relay_count;
    _Atomic uint32_t next_relay; ///< counts up; calls rotate over the relays
    struct MHD_Daemon *daemon;
    memory_budget_t budget; ///< of the requests of callers

    _Atomic bool is_draining;
    _Atomic uint32_t active_count; ///< requests in progress
    _Atomic int64_t last_request_ns;

    loop_t *loop; ///< of the control thread
    listener_t *listener;
    agent_link_t agent;
} front_t;

#endif
