#include "node/clients.h"

#include <stdlib.h>

#include "base/counters.h"
#include "base/units.h"
#include "codec/pack.h"
#include "net/link_clock.h"
#include "node/cancel.h"
#include "node/coordinator.h"
#include "node/owner.h"
#include "node/target_feed.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    /// A client without orders that has sent nothing for this long is dropped.
    /// Nodes send a ping each second. Frees the descriptors of connections
    /// that went silent, or that never were a node's.
    kIdleTimeoutMs = 10000
};

struct client {
    client_t *next;
    client_t *prev;
    node_t *node;
    conn_t *conn;
    uint64_t number;      ///< identifies the client to the pool
    follower_t *follower; ///< NULL if it does not follow this node's targets
    link_clock_t clock;   ///< of the coordinator
    /// When the coordinator sent the latest of its messages, as far as the
    /// clock of the link tells.
    int64_t heard_ns;
};

/// @return the number of unsettled orders. The pool is the only one to know:
///         an order may be settled while its withdrawal is in transit, or be
///         taken over by another client.
static uint32_t
count_orders(const client_t *client)
{
    return pool_count_client_orders(client->node->pool, client->number);
}

/// Records that a message of a coordinator has arrived.
///
/// @param sent_us  on the coordinator's clock
/// @return how long ago it was sent
static int64_t
record_message(client_t *client, uint64_t sent_us, int64_t now_ns)
{
    int64_t age_ns = link_clock_read_age_ns(&client->clock, sent_us, now_ns);
    if (now_ns - age_ns > client->heard_ns) {
        client->heard_ns = now_ns - age_ns;
    }
    return age_ns;
}

/// Takes the delay of an order from the time that it has left.
///
/// @return false if its coordinator has given it up by now
static bool
apply_delay(client_t *client, assign_message_t *assign, int64_t now_ns)
{
    int64_t age_ns = record_message(client, assign->sent_us, now_ns);
    if (age_ns >= coordinator_link_timeout_ns(client->node)) {
        log_event("order_late", "job=%s guest=%llu age_ms=%lld",
                  assign->order.job, (unsigned long long)client->number,
                  (long long)(age_ns / kNsPerMs));
        return false;
    }
    uint32_t age_ms = (uint32_t)(age_ns / kNsPerMs);
    assign->order.left_ms -=
        age_ms < assign->order.left_ms ? age_ms : assign->order.left_ms;
    assign->order.waited_ms += age_ms;
    return true;
}

/// Refuses an order before the pool has seen it.
static void
refuse_order(client_t *client, uint64_t request, error_kind_t kind)
{
    pool_order_result_t result = {.client = client->number,
                                  .request = request,
                                  .outcome = kOrderOutcomeRefused,
                                  .kind = kind};
    counter_add(kCounterOrdersRefused, 1);
    clients_send_outcome(client->node, &result);
}

static void
handle_assign(client_t *client, bytes_t body)
{
    node_t *node = client->node;
    assign_message_t assign;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &assign_message_desc, arena, &assign, &err)) {
        int64_t now_ns = node_update_now_ns(node);
        if (apply_delay(client, &assign, now_ns)) {
            pool_submit_order(node->pool, &assign.order, client->number,
                              assign.request, now_ns);
        }
        else {
            refuse_order(client, assign.request, kErrorKindNoDispatcher);
        }
        node_schedule_advance(node);
    }
    else {
        log_event("bad_message", "reason=\"%s\"", err.text);
        conn_close(client->conn);
    }
    arena_destroy(arena);
}

static void
handle_withdraw(client_t *client, bytes_t body)
{
    node_t *node = client->node;
    withdraw_message_t withdraw;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &withdraw_message_desc, arena, &withdraw,
                          &err)) {
        int64_t now_ns = node_update_now_ns(node);
        int64_t age_ns = link_clock_read_age_ns(&client->clock,
                                                withdraw.given_up_us, now_ns);
        pool_withdraw_order(node->pool, client->number, withdraw.request,
                            now_ns - age_ns, now_ns);
        node_schedule_advance(node);
    }
    arena_destroy(arena);
}

static void
handle_follow(client_t *client, bytes_t body)
{
    follow_message_t follow;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &follow_message_desc, arena, &follow, &err)) {
        client->follower = target_feed_handle_follow(
            client->node, client->follower, client->conn, &follow);
    }
    else {
        log_event("bad_message", "reason=\"%s\"", err.text);
        conn_close(client->conn);
    }
    arena_destroy(arena);
}

/// Answers a ping with the load of the pool: a coordinator that sends few
/// orders here would not learn of it otherwise.
static void
handle_ping(client_t *client, bytes_t body)
{
    ping_message_t ping;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &ping_message_desc, arena, &ping, &err)) {
        int64_t now_ns = clock_now_ns();
        record_message(client, ping.sent_us, now_ns);
        pool_status_t status = pool_read_status(client->node->pool, now_ns);
        pong_message_t pong = {.number = ping.number,
                               .backlog_ms = status.backlog_ms,
                               .room = status.room.fitting_counts,
                               .room_count = kRoomClasses,
                               .target_count = status.target_count,
                               .is_lapsed =
                                   owner_is_lapsed(client->node, now_ns)};
        conn_send(client->conn, kMessagePong, &pong);
    }
    arena_destroy(arena);
}

static void
handle_hello(client_t *client, bytes_t body)
{
    hello_message_t hello;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &hello_message_desc, arena, &hello, &err)) {
        record_message(client, hello.sent_us, clock_now_ns());
    }
    arena_destroy(arena);
    control_send_hello(client->conn, &client->node->control.hello);
}

/// Handles a request of another node to cancel a job.
static void
handle_cancel_job(client_t *client, bytes_t body)
{
    cancel_job_message_t message;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &cancel_job_message_desc, arena, &message,
                          &err)) {
        job_cancelled_message_t reply = {
            .is_found = cancel_here(client->node, message.queue, message.job)};
        conn_send(client->conn, kMessageJobCancelled, &reply);
    }
    else {
        log_event("bad_message", "reason=\"%s\"", err.text);
        conn_close(client->conn);
    }
    arena_destroy(arena);
}

typedef void (*handler_t)(client_t *client, bytes_t body);

static const handler_t handlers[kMessageCount] = {
    [kMessageHello] = handle_hello,
    [kMessageAssign] = handle_assign,
    [kMessageWithdraw] = handle_withdraw,
    [kMessageFollow] = handle_follow,
    [kMessagePing] = handle_ping,
    [kMessageCancelJob] = handle_cancel_job,
};

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    client_t *client = conn->owner;
    node_update_now_ns(client->node);
    if (conn->is_closed) {
        return;
    }
    if (type < kMessageCount && handlers[type] != NULL) {
        handlers[type](client, body);
        return;
    }
    control_answer(&client->node->control, conn, type, body);
}

static void
on_close(conn_t *conn)
{
    client_t *client = conn->owner;
    node_t *node = client->node;
    uint32_t order_count = count_orders(client);
    if (order_count > 0) {
        log_event("guest_lost", "guest=%llu orders=%u",
                  (unsigned long long)client->number, order_count);
    }
    if (client->prev != NULL) {
        client->prev->next = client->next;
    }
    else {
        node->clients = client->next;
    }
    if (client->next != NULL) {
        client->next->prev = client->prev;
    }
    target_feed_remove_follower(node, client->follower);
    pool_drop_client(node->pool, client->number, client->heard_ns,
                     clock_now_ns());
    node_schedule_advance(node);
    loop_free_later(node->loop, client, free);
}

static const conn_ops_t conn_ops = {.on_message = on_message,
                                    .on_close = on_close,
                                    .frame_limit_bytes = kNodeFrameLimitBytes};

void
clients_accept(void *owner, apr_socket_t *socket, arena_t *arena)
{
    node_t *node = owner;
    client_t *client = calloc(1, sizeof *client);
    *client = (client_t){.next = node->clients,
                         .node = node,
                         .number = ++node->client_number,
                         .heard_ns = clock_now_ns()};
    if (node->clients != NULL) {
        node->clients->prev = client;
    }
    node->clients = client;
    client->conn =
        conn_wrap_socket(node->loop, socket, arena, &conn_ops, client);
}

void
clients_send_outcome(node_t *node, const pool_order_result_t *settled)
{
    client_t *client = node->clients;
    while (client != NULL && client->number != settled->client) {
        client = client->next;
    }
    if (client == NULL) {
        return;
    }
    pool_status_t status = pool_read_status(node->pool, clock_now_ns());
    settled_message_t message = {.request = settled->request,
                                 .outcome = settled->outcome,
                                 .kind = settled->kind,
                                 .retry_after_ms = settled->retry_after_ms,
                                 .dc = node->settings->dc,
                                 .free_mcores = status.free_mcores,
                                 .backlog_ms = status.backlog_ms,
                                 .room = status.room.fitting_counts,
                                 .room_count = kRoomClasses,
                                 .target_count = status.target_count};
    conn_send(client->conn, kMessageSettled, &message);
}

int64_t
clients_advance(node_t *node, int64_t now_ns)
{
    int64_t timeout_ns = coordinator_link_timeout_ns(node);
    int64_t due_ns = INT64_MAX;
    client_t *next;
    for (client_t *client = node->clients; client != NULL; client = next) {
        next = client->next;
        uint32_t order_count = count_orders(client);
        int64_t deadline_ns =
            client->heard_ns +
            (order_count > 0 ? timeout_ns : MS_TO_NS(kIdleTimeoutMs));
        if (deadline_ns <= now_ns) {
            log_event("guest_silent", "guest=%llu orders=%u",
                      (unsigned long long)client->number, order_count);
            conn_close(client->conn);
        }
        else if (deadline_ns < due_ns) {
            due_ns = deadline_ns;
        }
    }
    return due_ns;
}

void
clients_close_all(node_t *node)
{
    while (node->clients != NULL) {
        conn_close(node->clients->conn);
    }
}
