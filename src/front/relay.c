#include "front/relay.h"

#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "front/dispatcher_link.h"
#include "runtime/clock.h"

/// @return the key of a VM in relay->links
static uint64_t
link_key(uint16_t dc, uint32_t vm)
{
    return (uint64_t)dc << 32 | vm;
}

/// @return the link to the dispatcher of a listed VM, created on first use
static dispatcher_link_t *
find_or_create_link(relay_t *relay, const vm_entry_t *vm)
{
    uint64_t key = link_key(vm->dc, vm->vm);
    dispatcher_link_t *link = apr_hash_get(relay->links, &key, sizeof key);
    if (link == NULL) {
        link = apr_palloc(relay->arena, sizeof *link);
        dispatcher_link_init(link, relay, vm);
        uint64_t *own_key = apr_palloc(relay->arena, sizeof *own_key);
        *own_key = key;
        apr_hash_set(relay->links, own_key, sizeof *own_key, link);
    }
    else if (strcmp(link->address, vm->address) != 0 && link->conn == NULL) {
        strncpy(link->address, vm->address, sizeof link->address - 1);
    }
    return link;
}

dispatcher_link_t *
relay_find_nth_link(relay_t *relay, uint16_t dc, uint32_t index)
{
    dispatcher_link_t *link = NULL;
    uint32_t own_vm = relay->settings->here.vm;
    rcu_read_lock();
    const members_t *members = rcu_dereference(*relay->members);
    const vm_entry_t *own = members_find_entry_vm(members, dc, own_vm);
    if (own != NULL && own->state != kVmStateLive) {
        own = NULL;
    }
    if (own != NULL && index == 0) {
        link = find_or_create_link(relay, own);
    }
    uint32_t seen = own != NULL ? 1 : 0;
    for (uint32_t i = 0; i < members->vm_count && link == NULL; i++) {
        const vm_entry_t *vm = &members->vms[i];
        if (vm->role != kVmRoleEntry || vm->dc != dc || vm == own ||
            vm->state != kVmStateLive) {
            continue;
        }
        if (seen == index) {
            link = find_or_create_link(relay, vm);
        }
        seen++;
    }
    rcu_read_unlock();
    return link;
}

void
relay_complete_call(call_t *call)
{
    loop_timer_clear(call->relay->loop, &call->timeout);
    dispatcher_link_remove_call(call);
    call->on_done(call);
}

static void
fail_call(call_t *call, error_kind_t kind)
{
    call_set_error(call, kind);
    relay_complete_call(call);
}

/// @return whether a mint should be sent to another dispatcher if possible:
///         this one is draining or cannot be connected to
static bool
is_unsuitable_for_mint(const dispatcher_link_t *link)
{
    return link->is_draining || (!link->is_ready && link->failure_count > 0);
}

/// Sends a mint to the first suitable dispatcher of the data centre for mints,
/// starting with the front's own VM, or the one of the same number. A
/// dispatcher that cannot be connected to is used only if there is no other.
static void
route_mint(call_t *call)
{
    relay_t *relay = call->relay;
    uint16_t dc = atomic_load(relay->mint_dc);
    dispatcher_link_t *fallback = NULL;
    for (;; call->peer_index++) {
        dispatcher_link_t *link =
            relay_find_nth_link(relay, dc, call->peer_index);
        if (link == NULL) {
            break;
        }
        if (!is_unsuitable_for_mint(link)) {
            dispatcher_link_send_call(link, call);
            return;
        }
        if (!link->is_draining && fallback == NULL) {
            fallback = link;
        }
    }
    if (fallback == NULL) {
        fail_call(call, kErrorKindNoDispatcher);
        return;
    }
    dispatcher_link_send_call(fallback, call);
}

/// @param is_list_known  set to whether a list of VMs was received
/// @return the link to the VM that an id names, or NULL if it is not listed
static dispatcher_link_t *
find_link(relay_t *relay, const job_id_t *id, bool *is_list_known)
{
    dispatcher_link_t *link = NULL;
    rcu_read_lock();
    const members_t *members = rcu_dereference(*relay->members);
    *is_list_known = members->version > 0;
    const vm_entry_t *vm =
        members_find_entry_vm(members, id->origin.dc, id->origin.vm);
    if (vm != NULL) {
        link = find_or_create_link(relay, vm);
    }
    rcu_read_unlock();
    return link;
}

void
relay_route_call(call_t *call)
{
    bool is_list_known = false;
    if (call->type == kCallMint) {
        route_mint(call);
        return;
    }
    dispatcher_link_t *link =
        find_link(call->relay, &call->id, &is_list_known);
    if (link != NULL) {
        dispatcher_link_send_call(link, call);
    }
    else if (is_list_known) {
        call->state = kCallFinding;
        relay_ask_next_peer(call);
    }
    else {
        fail_call(call, kErrorKindHomeUnreachable);
    }
}

void
relay_ask_next_peer(call_t *call)
{
    dispatcher_link_t *link =
        relay_find_nth_link(call->relay, call->id.origin.dc, call->peer_index);
    call->peer_index++;
    if (link != NULL) {
        dispatcher_link_send_call(link, call);
        return;
    }
    fail_call(call, call->was_unreachable ? kErrorKindHomeUnreachable
                                          : kErrorKindHomeLost);
}

/// Handles a call that was not answered in time. Sends a mint or a search for
/// a record to the next dispatcher unless the answer deadline has passed.
/// Fails any other call.
static void
on_timeout(loop_timer_t *timer)
{
    call_t *call = timer->owner;
    bool is_past_deadline = clock_now_ns() >= call->answer_deadline_ns;
    dispatcher_link_remove_call(call);
    if (call->state == kCallFinding && !is_past_deadline) {
        call->was_unreachable = true;
        relay_ask_next_peer(call);
        return;
    }
    if (call->type == kCallMint && !is_past_deadline) {
        call->peer_index++;
        relay_route_call(call);
        return;
    }
    fail_call(call, call->type == kCallMint ? kErrorKindNoDispatcher
                                            : kErrorKindHomeUnreachable);
}

static void
start_call(loop_callback_t *callback)
{
    call_t *call = caa_container_of(callback, call_t, callback);
    loop_timer_init(&call->timeout, on_timeout, call);
    relay_route_call(call);
}

void
relay_post(relay_t *relay, call_t *call)
{
    call->relay = relay;
    call->callback.run = start_call;
    loop_post(relay->loop, &call->callback);
}

void
relay_init(relay_t *relay, const front_settings_t *settings,
           members_t *const *members, const _Atomic uint16_t *mint_dc,
           const hello_message_t *hello)
{
    *relay = (relay_t){.settings = settings,
                       .members = members,
                       .mint_dc = mint_dc,
                       .hello = *hello,
                       .loop = loop_create(),
                       .arena = arena_create()};
    relay->links = apr_hash_make(relay->arena);
    relay->calls_by_request = apr_hash_make(relay->arena);
}

static void *APR_THREAD_FUNC
run_loop(apr_thread_t *thread, void *owner)
{
    (void)thread;
    loop_run(((relay_t *)owner)->loop);
    return NULL;
}

void
relay_run(relay_t *relay)
{
    if (apr_thread_create(&relay->thread, NULL, run_loop, relay,
                          relay->arena) != APR_SUCCESS) {
        abort();
    }
}

/// Posted to the relay's loop by relay_stop.
typedef struct {
    loop_callback_t callback;
    relay_t *relay;
} stop_request_t;

static void
handle_stop_request(loop_callback_t *callback)
{
    stop_request_t *stop =
        caa_container_of(callback, stop_request_t, callback);
    relay_t *relay = stop->relay;
    for (apr_hash_index_t *at = apr_hash_first(relay->arena, relay->links);
         at != NULL; at = apr_hash_next(at)) {
        void *link = NULL;
        apr_hash_this(at, NULL, NULL, &link);
        dispatcher_link_close(link);
    }
    loop_stop(relay->loop);
    free(stop);
}

void
relay_stop(relay_t *relay)
{
    stop_request_t *stop = malloc(sizeof *stop);
    *stop = (stop_request_t){.callback = {.run = handle_stop_request},
                             .relay = relay};
    loop_post(relay->loop, &stop->callback);
}
