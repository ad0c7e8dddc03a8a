/// A relay: a thread with links to dispatchers. It finds the home of each
/// call, sends it there, sends it again when a link is lost, and asks peers
/// for the record when the home is over.
#ifndef JT_FRONT_RELAY_H
#define JT_FRONT_RELAY_H

#include <apr_hash.h>
#include <apr_thread_proc.h>

#include "front/call.h"
#include "front/id_pool.h"
#include "generated/settings.h"
#include "member/members.h"
#include "net/conn.h"

typedef struct relay relay_t;

/// A dispatcher's VM, whatever incarnation runs on it.
struct home {
    relay_t *relay;
    uint16_t dc;
    uint32_t vm;
    char address[46];
    conn_t *conn;
    bool is_ready;    ///< its hello came
    bool is_draining; ///< it mints no more
    uint64_t nonce;   ///< of the incarnation at the other end
    uint32_t failure_count;
    call_t *queued;
    call_t *sent;
    loop_timer_t retry;
    loop_timer_t silence;
    id_pool_t pool;
    bool is_minting;
};

struct relay {
    const front_settings_t *settings;
    members_t *const *members; ///< read under RCU
    hello_message_t hello;
    loop_t *loop;
    apr_thread_t *thread;
    arena_t *arena;
    apr_hash_t *homes; ///< by packed dc and vm
    apr_hash_t *sent;  ///< calls by request number
    uint64_t next_request;
};

/// Prepares a relay.
void relay_init(relay_t *relay, const front_settings_t *settings,
                members_t *const *members, const hello_message_t *hello);

/// Starts the relay's thread.
void relay_run(relay_t *relay);

/// Ends the relay's thread; any thread.
void relay_stop(relay_t *relay);

/// Hands a call over; any thread. call->on_done follows.
void relay_post(relay_t *relay, call_t *call);

/// Gives a call its outcome. Relay's thread.
void relay_end_call(call_t *call);

/// Chooses the home of a call anew and sends it, or ends it.
void relay_place_call(call_t *call);

/// Looks for the record of a call whose home is over, from the next peer on.
void relay_find_next(call_t *call);

/// @return the live entry VM of a data centre in a turn that starts at the
///         own VM, or NULL
home_t *relay_nth_home(relay_t *relay, uint16_t dc, uint32_t turn);

#endif
