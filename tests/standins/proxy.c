/// A TCP proxy that stands in for the network between processes. It can drop
/// the state of all open connections, as a firewall that restarts: they pass
/// no more bytes and aren't closed, while new ones work. It can partition a
/// data centre: nothing passes between it and the others, on old and new
/// connections.
///
///   standin-proxy --control IP:PORT ROUTE...
///   ROUTE: LISTEN-IP:PORT=TARGET-IP:PORT@DC
///   POST /standin/set?forget=1     drop the state of all open connections
///   POST /standin/set?cut=DC       partition a data centre; 0 ends it
///   POST /standin/set?away=IP      close the route that listens there; 0 ends
///   it POST /standin/set?delay_us=N   delay bytes by N us in each direction
#include <apr_general.h>
#include <apr_strings.h>
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "runtime/clock.h"
#include "support/http_server.h"

enum {
    kMaxRoutes = 64,
    kAddressBytes = 32,
    kBufferBytes = 65536,
    kPlatformPort = 7300
};

typedef struct {
    char listen_address[kAddressBytes];
    char target_address[kAddressBytes];
    uint16_t listen_port;
    uint16_t target_port;
    uint32_t dc;
    listener_t *listener;
} route_t;

typedef struct forwarded_conn forwarded_conn_t;

/// Received bytes that are not forwarded yet.
typedef struct chunk {
    struct chunk *next;
    int64_t due_ns;
    uint32_t size_bytes;
    uint32_t sent_bytes;
    char data[];
} chunk_t;

/// One side of a forwarded connection.
typedef struct {
    forwarded_conn_t *conn;
    apr_socket_t *socket;
    watch_t watch;
    loop_timer_t write_timer;
    chunk_t *first; ///< to be written to the socket
    chunk_t *last;
} endpoint_t;

struct forwarded_conn {
    forwarded_conn_t *next;
    forwarded_conn_t *prev;
    arena_t *arena;
    endpoint_t endpoints[2]; ///< accepted side, connected side
    uint32_t source_dc;
    uint32_t dc;
    const route_t *route;
    bool has_lost_state;
    bool is_closed;
};

static struct {
    loop_t *loop;
    route_t routes[kMaxRoutes];
    uint32_t route_count;
    forwarded_conn_t *conns;
    server_t control;
    uint32_t cut_dc;
    char away_address[kAddressBytes];
    uint32_t delay_us;
} proxy;

static void
free_conn(void *memory)
{
    forwarded_conn_t *conn = memory;
    for (uint32_t i = 0; i < 2; i++) {
        while (conn->endpoints[i].first != NULL) {
            chunk_t *chunk = conn->endpoints[i].first;
            conn->endpoints[i].first = chunk->next;
            free(chunk);
        }
    }
    arena_destroy(conn->arena);
    free(conn);
}

static void
close_conn(forwarded_conn_t *conn)
{
    if (conn->is_closed) {
        return;
    }
    conn->is_closed = true;
    for (uint32_t i = 0; i < 2; i++) {
        loop_watch(proxy.loop, &conn->endpoints[i].watch,
                   conn->endpoints[i].socket, 0);
        loop_timer_clear(proxy.loop, &conn->endpoints[i].write_timer);
        apr_socket_close(conn->endpoints[i].socket);
    }
    if (conn->prev != NULL) {
        conn->prev->next = conn->next;
    }
    else {
        proxy.conns = conn->next;
    }
    if (conn->next != NULL) {
        conn->next->prev = conn->prev;
    }
    loop_free_later(proxy.loop, conn, free_conn);
}

/// @return whether bytes and closes are not forwarded
static bool
is_blocked(const forwarded_conn_t *conn)
{
    bool is_cut =
        proxy.cut_dc != 0 && conn->source_dc != conn->dc &&
        (conn->source_dc == proxy.cut_dc || conn->dc == proxy.cut_dc);
    bool is_away =
        strcmp(conn->route->listen_address, proxy.away_address) == 0;
    return conn->has_lost_state || is_cut || is_away;
}

/// Writes the chunks whose delay has passed.
static void
write_due_chunks(endpoint_t *endpoint)
{
    int64_t now_ns = clock_now_ns();
    while (endpoint->first != NULL && endpoint->first->due_ns <= now_ns) {
        chunk_t *chunk = endpoint->first;
        apr_size_t size_bytes = chunk->size_bytes - chunk->sent_bytes;
        apr_status_t status = apr_socket_send(
            endpoint->socket, chunk->data + chunk->sent_bytes, &size_bytes);
        chunk->sent_bytes += (uint32_t)size_bytes;
        if (chunk->sent_bytes < chunk->size_bytes) {
            if (!APR_STATUS_IS_EAGAIN(status) && status != APR_SUCCESS) {
                close_conn(endpoint->conn);
                return;
            }
            loop_watch(proxy.loop, &endpoint->watch, endpoint->socket,
                       kReadyRead | kReadyWrite);
            return;
        }
        endpoint->first = chunk->next;
        free(chunk);
    }
    loop_watch(proxy.loop, &endpoint->watch, endpoint->socket, kReadyRead);
    if (endpoint->first != NULL) {
        loop_timer_set(proxy.loop, &endpoint->write_timer,
                       endpoint->first->due_ns);
    }
    else {
        endpoint->last = NULL;
    }
}

static void
on_write_timer(loop_timer_t *timer)
{
    write_due_chunks(timer->owner);
}

static void
forward(endpoint_t *to, const char *data, uint32_t size_bytes)
{
    chunk_t *chunk = malloc(sizeof *chunk + size_bytes);
    chunk->next = NULL;
    chunk->due_ns = clock_now_ns() + (int64_t)proxy.delay_us * kNsPerUs;
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
    write_due_chunks(to);
}

static void
on_ready(watch_t *watch, uint32_t ready)
{
    static char buffer[kBufferBytes];
    endpoint_t *endpoint = watch->owner;
    forwarded_conn_t *conn = endpoint->conn;
    if (ready & kReadyWrite) {
        write_due_chunks(endpoint);
    }
    if (conn->is_closed || !(ready & (kReadyRead | kReadyError))) {
        return;
    }
    apr_size_t size_bytes = sizeof buffer;
    apr_status_t status =
        apr_socket_recv(endpoint->socket, buffer, &size_bytes);
    if (APR_STATUS_IS_EAGAIN(status)) {
        return;
    }
    if (is_blocked(conn)) {
        // The other side learns nothing, not even that this side has closed.
        if (status != APR_SUCCESS || size_bytes == 0) {
            loop_watch(proxy.loop, &endpoint->watch, endpoint->socket, 0);
        }
        return;
    }
    if (status != APR_SUCCESS || size_bytes == 0) {
        close_conn(conn);
        return;
    }
    endpoint_t *other = endpoint == &conn->endpoints[0] ? &conn->endpoints[1]
                                                        : &conn->endpoints[0];
    forward(other, buffer, (uint32_t)size_bytes);
}

/// @return DC for an entry VM's address 127.N.DC.I, 0 for any other address
static uint32_t
parse_dc(const char *address)
{
    uint32_t numbers[4] = {0};
    sscanf(address, "%u.%u.%u.%u", &numbers[0], &numbers[1], &numbers[2],
           &numbers[3]);
    return numbers[2] >= 1 && numbers[2] <= 9 ? numbers[2] : 0;
}

static void
init_endpoint(forwarded_conn_t *conn, uint32_t number, apr_socket_t *socket)
{
    endpoint_t *endpoint = &conn->endpoints[number];
    endpoint->conn = conn;
    endpoint->socket = socket;
    endpoint->watch = (watch_t){.on_ready = on_ready, .owner = endpoint};
    loop_timer_init(&endpoint->write_timer, on_write_timer, endpoint);
    apr_socket_timeout_set(socket, 0);
    apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    loop_watch(proxy.loop, &endpoint->watch, socket, kReadyRead);
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
    // On loopback, connect succeeds or fails at once.
    if (apr_socket_connect(out, target) != APR_SUCCESS) {
        apr_socket_close(out);
        apr_socket_close(socket);
        arena_destroy(arena);
        return;
    }
    forwarded_conn_t *conn = calloc(1, sizeof *conn);
    conn->arena = arena;
    conn->dc = route->dc;
    conn->source_dc = parse_dc(source_address);
    conn->route = route;
    // A source that is no entry VM counts as in the data centre of the route,
    // except on the way to the platform, which is in none.
    if (conn->source_dc == 0 && route->target_port != kPlatformPort) {
        conn->source_dc = route->dc;
    }
    conn->next = proxy.conns;
    if (conn->next != NULL) {
        conn->next->prev = conn;
    }
    proxy.conns = conn;
    init_endpoint(conn, 0, socket);
    init_endpoint(conn, 1, out);
}

static void
serve_control(void *owner, server_conn_t *conn,
              const server_request_t *request)
{
    (void)owner;
    const char *at;
    if (strstr(request->path, "forget=1") != NULL) {
        for (forwarded_conn_t *forwarded = proxy.conns; forwarded != NULL;
             forwarded = forwarded->next) {
            forwarded->has_lost_state = true;
        }
    }
    if ((at = strstr(request->path, "cut=")) != NULL) {
        proxy.cut_dc = (uint32_t)strtoul(at + 4, NULL, 10);
    }
    if ((at = strstr(request->path, "away=")) != NULL) {
        apr_cpystrn(proxy.away_address, at + strlen("away="),
                    sizeof proxy.away_address);
    }
    if ((at = strstr(request->path, "delay_us=")) != NULL) {
        proxy.delay_us = (uint32_t)strtoul(at + 9, NULL, 10);
    }
    server_reply(conn, 200, "", "{}", 2);
}

static bool
open_route(const char *text)
{
    error_info_t err = {0};
    route_t *route = &proxy.routes[proxy.route_count++];
    if (sscanf(text, "%31[^:]:%hu=%31[^:]:%hu@%u", route->listen_address,
               &route->listen_port, route->target_address, &route->target_port,
               &route->dc) != 5) {
        fprintf(stderr, "standin-proxy: invalid route %s\n", text);
        return false;
    }
    route->listener =
        listener_open(proxy.loop, route->listen_address, route->listen_port,
                      on_accept, route, &err);
    if (route->listener == NULL) {
        fprintf(stderr, "standin-proxy: %s\n", err.text);
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
        proxy.control.loop = proxy.loop;
        proxy.control.on_request = serve_control;
        return sscanf(arg, "%31[^:]:%hu", address, &port) == 2 &&
                       server_open(&proxy.control, address, port, &err)
                   ? 0
                   : EINVAL;
    case ARGP_KEY_ARG:
        return proxy.route_count < kMaxRoutes && open_route(arg) ? 0 : EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"control", 'c', "IP:PORT", 0, "control address", 0}, {0}};
    const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = "ROUTE...",
        .doc = "TCP proxy that drops or delays what it forwards."};
    apr_initialize();
    signal(SIGPIPE, SIG_IGN);
    proxy.loop = loop_create();
    if (argp_parse(&argp, argc, argv, 0, NULL, NULL) != 0) {
        return 1;
    }
    loop_run(proxy.loop);
    return 0;
}
