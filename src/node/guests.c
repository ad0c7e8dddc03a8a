#include "node/clients.h"

#include <stdlib.h>

#include "codec/pack.h"
#include "node/coordinator.h"
#include "runtime/clock.h"
#include "runtime/log.h"

struct guest {
    guest_t *next;
    guest_t *prev;
    node_t *node;
    conn_t *conn;
    uint64_t number; ///< the pool's name of this client
    uint32_t order_count;
};

static void
take_assign(guest_t *guest, bytes_t body)
{
    node_t *node = guest->node;
    assign_message_t assign;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &assign_message_desc, arena, &assign, &err)) {
        guest->order_count++;
        pool_submit_order(node->pool, &assign.order, guest->number,
                          assign.request, node_now_ns(node));
        node_kick(node);
    }
    else {
        log_event("bad_message", "reason=\"%s\"", err.text);
        conn_close(guest->conn);
    }
    arena_destroy(arena);
}

static void
take_withdraw(guest_t *guest, bytes_t body)
{
    node_t *node = guest->node;
    withdraw_message_t withdraw;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &withdraw_message_desc, arena, &withdraw,
                          &err)) {
        if (guest->order_count > 0) {
            guest->order_count--;
        }
        pool_withdraw_order(node->pool, guest->number, withdraw.request,
                            node_now_ns(node));
        node_kick(node);
    }
    arena_destroy(arena);
}

typedef void (*take_t)(guest_t *guest, bytes_t body);

static const take_t take_table[kMessageCount] = {
    [kMessageAssign] = take_assign,
    [kMessageWithdraw] = take_withdraw,
};

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    guest_t *guest = conn->owner;
    node_now_ns(guest->node);
    if (conn->is_closed ||
        control_answer(&guest->node->control, conn, type, body)) {
        return;
    }
    if (type < kMessageCount && take_table[type] != NULL) {
        take_table[type](guest, body);
    }
}

static void
on_close(conn_t *conn)
{
    guest_t *guest = conn->owner;
    node_t *node = guest->node;
    if (guest->order_count > 0) {
        log_event("guest_lost", "guest=%llu orders=%u",
                  (unsigned long long)guest->number, guest->order_count);
    }
    if (guest->prev != NULL) {
        guest->prev->next = guest->next;
    }
    else {
        node->guests = guest->next;
    }
    if (guest->next != NULL) {
        guest->next->prev = guest->prev;
    }
    pool_drop_client(node->pool, guest->number, clock_now_ns());
    node_kick(node);
    loop_free_later(node->loop, guest, free);
}

static const conn_ops_t conn_ops = {.on_message = on_message,
                                    .on_close = on_close};

void
guests_accept(void *owner, apr_socket_t *socket, arena_t *arena)
{
    node_t *node = owner;
    guest_t *guest = calloc(1, sizeof *guest);
    *guest = (guest_t){
        .next = node->guests, .node = node, .number = ++node->guest_number};
    if (node->guests != NULL) {
        node->guests->prev = guest;
    }
    node->guests = guest;
    guest->conn =
        conn_wrap_socket(node->loop, socket, arena, &conn_ops, guest);
}

void
guests_settle(node_t *node, const pool_order_result_t *settled)
{
    guest_t *guest = node->guests;
    while (guest != NULL && guest->number != settled->client) {
        guest = guest->next;
    }
    if (guest == NULL) {
        return;
    }
    if (guest->order_count > 0) {
        guest->order_count--;
    }
    pool_status_t news = pool_read_status(node->pool, clock_now_ns());
    settled_message_t message = {.request = settled->request,
                                 .outcome = settled->outcome,
                                 .kind = settled->kind,
                                 .retry_after_ms = settled->retry_after_ms,
                                 .dc = node->settings->dc,
                                 .free_mcores = news.free_mcores,
                                 .backlog_ms = news.backlog_ms};
    conn_send(guest->conn, kMessageSettled, &message);
}

int64_t
guests_advance(node_t *node, int64_t now_ns)
{
    int64_t limit_ns = home_silence_ns(node);
    int64_t due_ns = INT64_MAX;
    guest_t *next;
    for (guest_t *guest = node->guests; guest != NULL; guest = next) {
        next = guest->next;
        if (guest->order_count == 0) {
            continue;
        }
        int64_t silent_ns = guest->conn->last_received_ns + limit_ns;
        if (silent_ns <= now_ns) {
            log_event("guest_silent", "guest=%llu orders=%u",
                      (unsigned long long)guest->number, guest->order_count);
            conn_close(guest->conn);
        }
        else if (silent_ns < due_ns) {
            due_ns = silent_ns;
        }
    }
    return due_ns;
}

void
guests_close_all(node_t *node)
{
    while (node->guests != NULL) {
        conn_close(node->guests->conn);
    }
}
