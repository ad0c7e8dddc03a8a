/// A stand-in for what lies between two ends of a connection. It forwards
/// bytes, can lose track of connections (they go silent for good, new ones
/// work), and can cut a data centre off (nothing passes, old or new).
///
///   middle --control IP:PORT ROUTE...
///   ROUTE: LISTEN-IP:PORT=TARGET-IP:PORT@DC
///   POST /standin/set?forget=1     forget the connections there are
///   POST /standin/set?cut=DC       cut a data centre off; 0 ends the cut
///   POST /standin/set?delay_us=N   delay bytes one way
#include <apr_general.h>
#include <apr_strings.h>
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "runtime/clock.h"
#include "support/http_server.h"

enum { kRouteLimit = 64, kAddressBytes = 32, kBufferBytes = 65536 };

typedef struct {
    char listen_address[kAddressBytes];
    char target_address[kAddressBytes];
    uint16_t listen_port;
    uint16_t target_port;
    uint32_t dc;
    listener_t *listener;
} route_t;

typedef struct pair pair_t;

/// Bytes on their way, for one direction.
typedef struct chunk {
    struct chunk *next;
    int64_t due_ns;
    uint32_t size_bytes;
    uint32_t sent_bytes;
    char data[];
} chunk_t;

/// One end of a forwarded connection.
typedef struct {
    pair_t *pair;
    apr_socket_t *socket;
    watch_t watch;
    loop_timer_t due;
    chunk_t *first; ///< to be written here
    chunk_t *last;
} end_t;

struct pair {
    pair_t *next;
    pair_t *prev;
    arena_t *arena;
    end_t ends[2]; ///< the one that connected, the one it reached
    uint32_t source_dc;
    uint32_t dc;
    bool is_forgotten;
    bool is_closed;
};

static struct {
    loop_t *loop;
    route_t routes[kRouteLimit];
    uint32_t route_count;
    pair_t *pairs;
    server_t control;
    uint32_t cut_dc;
    uint32_t delay_us;
} middle;

static void
free_pair(void *memory)
{
    pair_t *pair = memory;
    for (uint32_t i = 0; i < 2; i++) {
        while (pair->ends[i].first != NULL) {
            chunk_t *chunk = pair->ends[i].first;
            pair->ends[i].first = chunk->next;
            free(chunk);
        }
    }
    arena_destroy(pair->arena);
    free(pair);
}

static void
close_pair(pair_t *pair)
{
    if (pair->is_closed) {
        return;
    }
    pair->is_closed = true;
    for (uint32_t i = 0; i < 2; i++) {
        loop_watch(middle.loop, &pair->ends[i].watch, pair->ends[i].socket, 0);
        loop_timer_clear(middle.loop, &pair->ends[i].due);
        apr_socket_close(pair->ends[i].socket);
    }
    if (pair->prev != NULL) {
        pair->prev->next = pair->next;
    }
    else {
        middle.pairs = pair->next;
    }
    if (pair->next != NULL) {
        pair->next->prev = pair->prev;
    }
    loop_free_later(middle.loop, pair, free_pair);
}

/// @return whether nothing passes between the ends
static bool
is_silent(const pair_t *pair)
{
    bool is_cut =
        middle.cut_dc != 0 && pair->source_dc != pair->dc &&
        (pair->source_dc == middle.cut_dc || pair->dc == middle.cut_dc);
    return pair->is_forgotten || is_cut;
}

/// Writes the chunks that are due.
static void
write_due(end_t *end)
{
    int64_t now_ns = clock_now_ns();
    while (end->first != NULL && end->first->due_ns <= now_ns) {
        chunk_t *chunk = end->first;
        apr_size_t size_bytes = chunk->size_bytes - chunk->sent_bytes;
        apr_status_t status = apr_socket_send(
            end->socket, chunk->data + chunk->sent_bytes, &size_bytes);
        chunk->sent_bytes += (uint32_t)size_bytes;
        if (chunk->sent_bytes < chunk->size_bytes) {
            if (!APR_STATUS_IS_EAGAIN(status) && status != APR_SUCCESS) {
                close_pair(end->pair);
                return;
            }
            loop_watch(middle.loop, &end->watch, end->socket,
                       kReadyRead | kReadyWrite);
            return;
        }
        end->first = chunk->next;
        free(chunk);
    }
    loop_watch(middle.loop, &end->watch, end->socket, kReadyRead);
    if (end->first != NULL) {
        loop_timer_set(middle.loop, &end->due, end->first->due_ns);
    }
    else {
        end->last = NULL;
    }
}

static void
on_due(loop_timer_t *timer)
{
    write_due(timer->owner);
}

static void
forward(end_t *to, const char *data, uint32_t size_bytes)
{
    chunk_t *chunk = malloc(sizeof *chunk + size_bytes);
    chunk->next = NULL;
    chunk->due_ns = clock_now_ns() + (int64_t)middle.delay_us * kNsPerUs;
    chunk->size_bytes = size_bytes;
    chunk->sent_bytes = 0;
    memcpy(chunk->data, data, size_bytes);
    if (to->last != NULL) {
        to->last->next = chunk;
    }
    else {
        to->first = chunk;
    }
    to->last = chunk;
    write_due(to);
}

static void
on_ready(watch_t *watch, uint32_t ready)
{
    static char buffer[kBufferBytes];
    end_t *end = watch->owner;
    pair_t *pair = end->pair;
    if (ready & kReadyWrite) {
        write_due(end);
    }
    if (pair->is_closed || !(ready & (kReadyRead | kReadyError))) {
        return;
    }
    apr_size_t size_bytes = sizeof buffer;
    apr_status_t status = apr_socket_recv(end->socket, buffer, &size_bytes);
    if (APR_STATUS_IS_EAGAIN(status)) {
        return;
    }
    if (is_silent(pair)) {
        // The other end hears of nothing, not even of the end.
        if (status != APR_SUCCESS || size_bytes == 0) {
            loop_watch(middle.loop, &end->watch, end->socket, 0);
        }
        return;
    }
    if (status != APR_SUCCESS || size_bytes == 0) {
        close_pair(pair);
        return;
    }
    end_t *other = end == &pair->ends[0] ? &pair->ends[1] : &pair->ends[0];
    forward(other, buffer, (uint32_t)size_bytes);
}

/// @return the data centre of an entry VM's address, 0 for another address
static uint32_t
dc_of(const char *address)
{
    uint32_t numbers[4] = {0};
    sscanf(address, "%u.%u.%u.%u", &numbers[0], &numbers[1], &numbers[2],
           &numbers[3]);
    return numbers[2] >= 1 && numbers[2] <= 9 ? numbers[2] : 0;
}

static void
init_end(pair_t *pair, uint32_t number, apr_socket_t *socket)
{
    end_t *end = &pair->ends[number];
    end->pair = pair;
    end->socket = socket;
    end->watch = (watch_t){.on_ready = on_ready, .owner = end};
    loop_timer_init(&end->due, on_due, end);
    apr_socket_timeout_set(socket, 0);
    apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    loop_watch(middle.loop, &end->watch, socket, kReadyRead);
}

static void
on_accept(void *owner, apr_socket_t *socket, arena_t *arena)
{
    route_t *route = owner;
    apr_sockaddr_t *target = NULL;
    apr_sockaddr_t *source = NULL;
    apr_socket_t *out = NULL;
    char *source_address = NULL;
    apr_socket_addr_get(&source, APR_REMOTE, socket);
    apr_sockaddr_ip_get(&source_address, source);
    apr_sockaddr_info_get(&target, route->target_address, APR_INET,
                          route->target_port, 0, arena);
    apr_socket_create(&out, APR_INET, SOCK_STREAM, APR_PROTO_TCP, arena);
    // A connect on loopback ends at once, either way.
    if (apr_socket_connect(out, target) != APR_SUCCESS) {
        apr_socket_close(out);
        apr_socket_close(socket);
        arena_destroy(arena);
        return;
    }
    pair_t *pair = calloc(1, sizeof *pair);
    pair->arena = arena;
    pair->dc = route->dc;
    pair->source_dc = dc_of(source_address);
    if (pair->source_dc == 0 && route->target_port != 7300) {
        pair->source_dc = route->dc;
    }
    pair->next = middle.pairs;
    if (pair->next != NULL) {
        pair->next->prev = pair;
    }
    middle.pairs = pair;
    init_end(pair, 0, socket);
    init_end(pair, 1, out);
}

static void
serve_control(void *owner, server_conn_t *conn,
              const server_request_t *request)
{
    (void)owner;
    const char *at;
    if (strstr(request->path, "forget=1") != NULL) {
        for (pair_t *pair = middle.pairs; pair != NULL; pair = pair->next) {
            pair->is_forgotten = true;
        }
    }
    if ((at = strstr(request->path, "cut=")) != NULL) {
        middle.cut_dc = (uint32_t)strtoul(at + 4, NULL, 10);
    }
    if ((at = strstr(request->path, "delay_us=")) != NULL) {
        middle.delay_us = (uint32_t)strtoul(at + 9, NULL, 10);
    }
    server_reply(conn, 200, "", "{}", 2);
}

static bool
open_route(const char *text)
{
    error_info_t err = {0};
    route_t *route = &middle.routes[middle.route_count++];
    if (sscanf(text, "%31[^:]:%hu=%31[^:]:%hu@%u", route->listen_address,
               &route->listen_port, route->target_address, &route->target_port,
               &route->dc) != 5) {
        fprintf(stderr, "middle: bad route %s\n", text);
        return false;
    }
    route->listener =
        listener_open(middle.loop, route->listen_address, route->listen_port,
                      on_accept, route, &err);
    if (route->listener == NULL) {
        fprintf(stderr, "middle: %s\n", err.text);
    }
    return route->listener != NULL;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    (void)state;
    error_info_t err = {0};
    char address[kAddressBytes];
    uint16_t port = 0;
    switch (key) {
    case 'c':
        middle.control.loop = middle.loop;
        middle.control.serve = serve_control;
        return sscanf(arg, "%31[^:]:%hu", address, &port) == 2 &&
                       server_open(&middle.control, address, port, &err)
                   ? 0
                   : EINVAL;
    case ARGP_KEY_ARG:
        return middle.route_count < kRouteLimit && open_route(arg) ? 0
                                                                   : EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"control", 'c', "IP:PORT", 0, "control address", 0}, {0}};
    const struct argp argp = {.options = options,
                              .parser = parse_option,
                              .args_doc = "ROUTE...",
                              .doc = "Stand-in for the way between two ends."};
    apr_initialize();
    signal(SIGPIPE, SIG_IGN);
    middle.loop = loop_create();
    if (argp_parse(&argp, argc, argv, 0, NULL, NULL) != 0) {
        return 1;
    }
    loop_run(middle.loop);
    return 0;
}
