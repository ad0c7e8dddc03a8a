#include "net/listener.h"

#include <stdlib.h>

#include "base/counters.h"
#include "net/conn.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kListenBacklog = 1024,
    kAcceptPauseMs = 50 ///< after a failed accept
};

struct listener {
    loop_t *loop;
    arena_t *arena;
    apr_socket_t *socket;
    watch_t watch;
    loop_timer_t resume_timer;
    bool is_failing; ///< the last accept failed
    listener_accept_t on_accept;
    void *owner;
};

/// Stops accepting connections for a while. A listening socket with waiting
/// connections stays readable when accept fails, as it does without free file
/// descriptors, so watching it would keep the loop busy.
static void
pause_accepting(listener_t *listener, apr_status_t status)
{
    if (!listener->is_failing) {
        char text[kErrorTextBytes];
        apr_strerror(status, text, sizeof text);
        log_event("accept_failed", "reason=\"%s\"", text);
        listener->is_failing = true;
    }
    counter_add(kCounterAcceptsFailed, 1);
    loop_watch(listener->loop, &listener->watch, listener->socket, 0);
    loop_timer_set(listener->loop, &listener->resume_timer,
                   clock_deadline_ns(kAcceptPauseMs));
}

static void
resume_accepting(loop_timer_t *timer)
{
    listener_t *listener = timer->owner;
    loop_watch(listener->loop, &listener->watch, listener->socket, kReadyRead);
}

static void
on_ready(watch_t *watch, uint32_t ready)
{
    (void)ready;
    listener_t *listener = watch->owner;
    for (;;) {
        arena_t *arena = arena_create();
        apr_socket_t *socket = NULL;
        apr_status_t status =
            apr_socket_accept(&socket, listener->socket, arena);
        if (status != APR_SUCCESS) {
            arena_destroy(arena);
            if (!APR_STATUS_IS_EAGAIN(status)) {
                pause_accepting(listener, status);
            }
            return;
        }
        if (listener->is_failing) {
            log_event("accept_resumed", "pause_ms=%d", kAcceptPauseMs);
            listener->is_failing = false;
        }
        if (!conn_may_accept()) {
            counter_add(kCounterLinksRefused, 1);
            apr_socket_close(socket);
            arena_destroy(arena);
            continue;
        }
        listener->on_accept(listener->owner, socket, arena);
    }
}

static apr_status_t
open_socket(listener_t *listener, const char *address, uint16_t port)
{
    apr_sockaddr_t *local = NULL;
    apr_status_t status = apr_sockaddr_info_get(&local, address, APR_INET,
                                                port, 0, listener->arena);
    if (status == APR_SUCCESS) {
        status = apr_socket_create(&listener->socket, APR_INET, SOCK_STREAM,
                                   APR_PROTO_TCP, listener->arena);
    }
    if (status != APR_SUCCESS) {
        return status;
    }
    apr_socket_opt_set(listener->socket, APR_SO_REUSEADDR, 1);
    apr_socket_timeout_set(listener->socket, 0);
    status = apr_socket_bind(listener->socket, local);
    if (status == APR_SUCCESS) {
        status = apr_socket_listen(listener->socket, kListenBacklog);
    }
    return status;
}

listener_t *
listener_open(loop_t *loop, const char *address, uint16_t port,
              listener_accept_t on_accept, void *owner, error_info_t *err)
{
    listener_t *listener = calloc(1, sizeof *listener);
    *listener =
        (listener_t){.loop = loop,
                     .arena = arena_create(),
                     .watch = {.on_ready = on_ready, .owner = listener},
                     .on_accept = on_accept,
                     .owner = owner};
    apr_status_t status = open_socket(listener, address, port);
    if (status != APR_SUCCESS) {
        char text[kErrorTextBytes];
        apr_strerror(status, text, sizeof text);
        error_set(err, kErrorKindIo, "cannot listen on %s:%u: %s", address,
                  port, text);
        arena_destroy(listener->arena);
        free(listener);
        return NULL;
    }
    loop_timer_init(&listener->resume_timer, resume_accepting, listener);
    loop_watch(loop, &listener->watch, listener->socket, kReadyRead);
    return listener;
}

void
listener_close(listener_t *listener)
{
    loop_watch(listener->loop, &listener->watch, listener->socket, 0);
    loop_timer_clear(listener->loop, &listener->resume_timer);
    apr_socket_close(listener->socket);
    arena_destroy(listener->arena);
    loop_free_later(listener->loop, listener, free);
}
