/// Relays. A relay is a thread with links to dispatchers. It sends each call
/// to the dispatcher that minted its id, resends it when the link is lost, and
/// asks other dispatchers for the record of the job when the incarnation that
/// minted the id has ended.
#ifndef JT_FRONT_RELAY_H
#define JT_FRONT_RELAY_H

#include <apr_hash.h>
#include <apr_thread_proc.h>
#include <stdatomic.h>

#include "front/call.h"
#include "front/id_pool.h"
#include "generated/settings.h"
#include "member/members.h"
#include "net/conn.h"

typedef struct relay relay_t;

/// The link to the dispatcher of a VM. It persists when the dispatcher
/// restarts; `nonce` distinguishes the incarnations.
struct dispatcher_link {
    relay_t *relay;
    uint16_t dc;
    uint32_t vm;
    char address[46];
    conn_t *conn;
    bool is_ready;          ///< the dispatcher's hello was received
    bool is_draining;       ///< the dispatcher mints no more ids
    uint64_t nonce;         ///< nonce of the connected incarnation
    uint32_t failure_count; ///< connections closed since the last hello
    call_t *queued_calls;   ///< calls that wait for the connection
    call_t *sent_calls;     ///< calls that wait for an answer
    int64_t busy_since_ns;  ///< when sent_calls last became non-empty
    loop_timer_t retry_timer;
    loop_timer_t silence_timer;
    id_pool_t id_pool;
    bool is_refill_outstanding; ///< a mint for the id pool is unanswered
};

struct relay {
    const front_settings_t *settings;
    members_t *const *members; ///< read under RCU
    const _Atomic uint16_t *mint_dc;
    hello_message_t hello;
    loop_t *loop;
    apr_thread_t *thread;
    arena_t *arena;
    apr_hash_t *links;            ///< dispatcher_link_t by link_key()
    apr_hash_t *calls_by_request; ///< sent calls by request number
    uint64_t next_request;
};

/// Initializes a relay, without starting its thread.
///
/// @param mint_dc  the data centre whose dispatchers mint ids
void relay_init(relay_t *relay, const front_settings_t *settings,
                members_t *const *members, const _Atomic uint16_t *mint_dc,
                const hello_message_t *hello);

/// Starts the relay's thread.
void relay_run(relay_t *relay);

/// Tells the relay's thread to close its links and to exit. Does not wait for
/// it. May be called from any thread.
void relay_stop(relay_t *relay);

/// Starts a call; call->on_done is called when it is done. May be called from
/// any thread.
void relay_post(relay_t *relay, call_t *call);

/// Ends a call whose outcome is set. Relay's thread only.
void relay_complete_call(call_t *call);

/// Chooses the link for a call and sends it there, or fails the call if there
/// is none.
void relay_route_call(call_t *call);

/// Asks the next dispatcher for the record of a call's job, because the
/// incarnation that minted the id has ended. Fails the call when all have been
/// asked.
void relay_ask_next_peer(call_t *call);

/// @param index  position among the live entry VMs of the data centre: the
///               front's own VM first, then the others in the order of the
///               list
/// @return the link to the dispatcher of that VM, or NULL past the last one
dispatcher_link_t *relay_find_nth_link(relay_t *relay, uint16_t dc,
                                       uint32_t index);

#endif
