#include "front/relay.h"

#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "front/dispatcher_link.h"
#include "runtime/clock.h"

/// @return the key of a VM in the table of homes
static uint64_t
home_key(uint16_t dc, uint32_t vm)
{
    return (uint64_t)dc << 32 | vm;
}

/// @return the home of a listed VM, made where there is none
static home_t *
open_home(relay_t *relay, const vm_entry_t *vm)
{
    uint64_t key = home_key(vm->dc, vm->vm);
    home_t *home = apr_hash_get(relay->homes, &key, sizeof key);
    if (home == NULL) {
        home = apr_palloc(relay->arena, sizeof *home);
        home_init(home, relay, vm);
        uint64_t *own_key = apr_palloc(relay->arena, sizeof *own_key);
        *own_key = key;
        apr_hash_set(relay->homes, own_key, sizeof *own_key, home);
    }
    else if (strcmp(home->address, vm->address) != 0 && home->conn == NULL) {
        strncpy(home->address, vm->address, sizeof home->address - 1);
    }
    return home;
}

home_t *
relay_nth_home(relay_t *relay, uint16_t dc, uint32_t turn)
{
    home_t *home = NULL;
    uint32_t own_vm = relay->settings->here.vm;
    rcu_read_lock();
    const members_t *members = rcu_dereference(*relay->members);
    const vm_entry_t *own = members_find_entry_vm(members, dc, own_vm);
    if (own != NULL && own->state != kVmStateLive) {
        own = NULL;
    }
    if (own != NULL && turn == 0) {
        home = open_home(relay, own);
    }
    uint32_t seen = own != NULL ? 1 : 0;
    for (uint32_t i = 0; i < members->vm_count && home == NULL; i++) {
        const vm_entry_t *vm = &members->vms[i];
        if (vm->role != kVmRoleEntry || vm->dc != dc || vm == own ||
            vm->state != kVmStateLive) {
            continue;
        }
        if (seen == turn) {
            home = open_home(relay, vm);
        }
        seen++;
    }
    rcu_read_unlock();
    return home;
}

void
relay_end_call(call_t *call)
{
    loop_timer_clear(call->relay->loop, &call->limit);
    home_forget_call(call);
    call->on_done(call);
}

static void
fail_call(call_t *call, error_kind_t kind)
{
    call_set_kind(call, kind);
    relay_end_call(call);
}

/// @return whether a mint should rather go to another dispatcher
static bool
is_poor_choice(const home_t *home)
{
    return home->is_draining || (!home->is_ready && home->failure_count > 0);
}

/// Sends a mint to the first good dispatcher of the data centre, from the
/// own VM on; to one that is out of reach only where no other is left.
static void
place_mint(call_t *call)
{
    relay_t *relay = call->relay;
    uint16_t dc = relay->settings->here.dc;
    home_t *last_resort = NULL;
    for (;; call->turn++) {
        home_t *home = relay_nth_home(relay, dc, call->turn);
        if (home == NULL) {
            break;
        }
        if (!is_poor_choice(home)) {
            home_take_call(home, call);
            return;
        }
        if (!home->is_draining && last_resort == NULL) {
            last_resort = home;
        }
    }
    if (last_resort == NULL) {
        fail_call(call, kErrorKindNoDispatcher);
        return;
    }
    home_take_call(last_resort, call);
}

/// @return the home that an id names, or NULL where the list lacks it
static home_t *
find_home(relay_t *relay, const job_id_t *id, bool *is_list_known)
{
    home_t *home = NULL;
    rcu_read_lock();
    const members_t *members = rcu_dereference(*relay->members);
    *is_list_known = members->version > 0;
    const vm_entry_t *vm =
        members_find_entry_vm(members, id->home.dc, id->home.vm);
    if (vm != NULL) {
        home = open_home(relay, vm);
    }
    rcu_read_unlock();
    return home;
}

void
relay_place_call(call_t *call)
{
    bool is_list_known = false;
    if (call->type == kCallMint) {
        place_mint(call);
        return;
    }
    home_t *home = find_home(call->relay, &call->id, &is_list_known);
    if (home != NULL) {
        home_take_call(home, call);
    }
    else if (is_list_known) {
        call->state = kCallFinding;
        relay_find_next(call);
    }
    else {
        fail_call(call, kErrorKindHomeUnreachable);
    }
}

void
relay_find_next(call_t *call)
{
    home_t *home = relay_nth_home(call->relay, call->id.home.dc, call->turn);
    call->turn++;
    if (home != NULL) {
        home_take_call(home, call);
        return;
    }
    fail_call(call, call->was_unreachable ? kErrorKindHomeUnreachable
                                          : kErrorKindHomeLost);
}

/// A call waited as long as it may.
static void
on_limit(loop_timer_t *timer)
{
    call_t *call = timer->owner;
    bool is_over = clock_now_ns() >= call->give_up_ns;
    home_forget_call(call);
    if (call->state == kCallFinding && !is_over) {
        call->was_unreachable = true;
        relay_find_next(call);
        return;
    }
    if (call->type == kCallMint && !is_over) {
        call->turn++;
        relay_place_call(call);
        return;
    }
    fail_call(call, call->type == kCallMint ? kErrorKindNoDispatcher
                                            : kErrorKindHomeUnreachable);
}

static void
run_call(loop_callback_t *callback)
{
    call_t *call = caa_container_of(callback, call_t, callback);
    loop_timer_init(&call->limit, on_limit, call);
    relay_place_call(call);
}

void
relay_post(relay_t *relay, call_t *call)
{
    call->relay = relay;
    call->callback.run = run_call;
    loop_post(relay->loop, &call->callback);
}

void
relay_init(relay_t *relay, const front_settings_t *settings,
           members_t *const *members, const hello_message_t *hello)
{
    *relay = (relay_t){.settings = settings,
                       .members = members,
                       .hello = *hello,
                       .loop = loop_create(),
                       .arena = arena_create()};
    relay->homes = apr_hash_make(relay->arena);
    relay->sent = apr_hash_make(relay->arena);
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

/// A call that ends the loop.
typedef struct {
    loop_callback_t callback;
    relay_t *relay;
} stop_mail_t;

static void
run_stop(loop_callback_t *callback)
{
    stop_mail_t *letter = caa_container_of(callback, stop_mail_t, callback);
    relay_t *relay = letter->relay;
    for (apr_hash_index_t *at = apr_hash_first(relay->arena, relay->homes);
         at != NULL; at = apr_hash_next(at)) {
        void *home = NULL;
        apr_hash_this(at, NULL, NULL, &home);
        home_close(home);
    }
    loop_stop(relay->loop);
    free(letter);
}

void
relay_stop(relay_t *relay)
{
    stop_mail_t *letter = malloc(sizeof *letter);
    *letter = (stop_mail_t){.callback = {.run = run_stop}, .relay = relay};
    loop_post(relay->loop, &letter->callback);
}
