#include "node/peer_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "codec/pack.h"
#include "node/owner.h"
#include "node/target_feed.h"
#include "runtime/clock.h"
#include "runtime/control.h"
#include "runtime/log.h"

enum {
    kBusyPingMs = 150,     ///< between pings on a link with unsettled orders
    kIdlePingMs = 1000,    ///< between pings on any other link
    kIdleTimeoutMs = 2500, ///< of a link without unsettled orders
    /// From the connection attempt to the peer's hello. Short, as TCP
    /// retransmits a lost SYN only after a second.
    kHelloTimeoutMs = 250,
    kReconnectStepMs = 300, ///< added to the delay by each failure
    kReconnectLimitMs = 1000,
    kMaxSilenceMs = 350, ///< a link with unsettled orders gets no new
                         ///< ones after this time without a message
    kLoadTtlMs = 1200,   ///< a pool's load is valid for this long; a
                         ///< pong brings it each second
};

static void
on_open(conn_t *conn)
{
    peer_t *peer = conn->owner;
    control_send_hello(conn, &peer->node->control.hello);
    peer->ping_due_ns = 0;
    node_schedule_advance(peer->node);
}

static void
handle_hello(peer_t *peer, bytes_t body)
{
    hello_message_t hello;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &hello_message_desc, arena, &hello, &err)) {
        link_clock_read_age_ns(&peer->clock, hello.sent_us, clock_now_ns());
    }
    arena_destroy(arena);
    peer->is_up = true;
    peer->link_failures = 0;
    log_event("peer_up", "peer=%s", peer->name);
    peer_plan_invalidate(peer->node);
}

/// The load of a pool, from its owner.
typedef struct {
    uint32_t backlog_ms;
    const uint32_t *room;
    uint32_t room_count;
    uint32_t target_count;
} pool_load_t;

static void
record_load(peer_t *peer, const pool_load_t *load)
{
    peer->load_received_ns = clock_now_ns();
    peer->backlog_ms = load->backlog_ms;
    peer->has_targets = load->target_count > 0;
    peer->room = (room_t){0};
    for (uint32_t i = 0; i < load->room_count && i < kRoomClasses; i++) {
        peer->room.fitting_counts[i] = load->room[i];
    }
}

/// Updates whether the partitions of an owner may have been passed on. Nodes
/// that may replace it decide on their membership anew.
static void
record_lapse(peer_t *peer, bool is_lapsed)
{
    if (peer->is_lapsed != is_lapsed) {
        peer->is_lapsed = is_lapsed;
        log_event(is_lapsed ? "owner_lapsed" : "owner_confirmed", "peer=%s",
                  peer->name);
        peer_plan_invalidate(peer->node);
    }
}

static void
handle_pong(peer_t *peer, bytes_t body)
{
    pong_message_t pong;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &pong_message_desc, arena, &pong, &err)) {
        pool_load_t load = {.backlog_ms = pong.backlog_ms,
                            .room = pong.room,
                            .room_count = pong.room_count,
                            .target_count = pong.target_count};
        record_load(peer, &load);
        record_lapse(peer, pong.is_lapsed);
    }
    arena_destroy(arena);
}

static void
handle_settled(peer_t *peer, bytes_t body)
{
    settled_message_t message;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (!pack_read_message(body, &settled_message_desc, arena, &message,
                           &err)) {
        log_event("bad_message", "reason=\"%s\"", err.text);
        conn_close(peer->conn);
        arena_destroy(arena);
        return;
    }
    if (peer->order_count > 0) {
        peer->order_count--;
    }
    pool_load_t load = {.backlog_ms = message.backlog_ms,
                        .room = message.room,
                        .room_count = message.room_count,
                        .target_count = message.target_count};
    record_load(peer, &load);
    pool_order_result_t settled = {.request = message.request,
                                   .outcome = message.outcome,
                                   .kind = message.kind,
                                   .retry_after_ms = message.retry_after_ms};
    coordinator_handle_settled(peer->node, &settled, peer);
    arena_destroy(arena);
}

static void
handle_targets_update(peer_t *peer, bytes_t body)
{
    targets_update_message_t update;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &targets_update_message_desc, arena, &update,
                          &err)) {
        int64_t age_ns = link_clock_read_age_ns(&peer->clock, update.sent_us,
                                                clock_now_ns());
        update.age_ms += (uint32_t)(age_ns / kNsPerMs);
        target_feed_handle_update(peer->node, peer->name, &update);
    }
    else {
        log_event("bad_message", "reason=\"%s\"", err.text);
        conn_close(peer->conn);
    }
    arena_destroy(arena);
}

typedef void (*handler_t)(peer_t *peer, bytes_t body);

static const handler_t handlers[kMessageCount] = {
    [kMessageHello] = handle_hello,
    [kMessagePong] = handle_pong,
    [kMessageSettled] = handle_settled,
    [kMessageTargetsUpdate] = handle_targets_update,
};

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    peer_t *peer = conn->owner;
    node_update_now_ns(peer->node);
    if (!conn->is_closed && type < kMessageCount && handlers[type] != NULL) {
        handlers[type](peer, body);
    }
}

static void
on_close(conn_t *conn)
{
    peer_t *peer = conn->owner;
    if (peer->is_up) {
        log_event("peer_down", "peer=%s orders=%u", peer->name,
                  peer->order_count);
    }
    peer->conn = NULL;
    peer->is_up = false;
    peer->is_lapsed = false;
    peer->clock = (link_clock_t){0};
    peer->order_count = 0;
    peer->link_failures++;
    int64_t wait_ms = (int64_t)kReconnectStepMs * peer->link_failures;
    peer->connect_due_ns =
        clock_now_ns() +
        (int64_t)kNsPerMs *
            (wait_ms < kReconnectLimitMs ? wait_ms : kReconnectLimitMs);
    coordinator_mark_peer_jobs_lost(peer->node, peer);
    peer_plan_invalidate(peer->node);
}

static const conn_ops_t conn_ops = {.on_open = on_open,
                                    .on_message = on_message,
                                    .on_close = on_close,
                                    .frame_limit_bytes = kNodeFrameLimitBytes};

static peer_t *
create_peer(node_t *node, const char *name)
{
    char pair[2 * sizeof(((peer_t *)0)->name)];
    peer_t *peer = calloc(1, sizeof *peer);
    peer->node = node;
    strncpy(peer->name, name, sizeof peer->name - 1);
    snprintf(pair, sizeof pair, "%s %s", node->settings->name, peer->name);
    peer->affinity = hash_text(pair);
    peer->next = node->peers;
    node->peers = peer;
    return peer;
}

/// @return whether a node owns targets of a data centre that is not evacuated
static bool
owns_open_dc(const node_t *node, const node_record_t *record)
{
    for (uint32_t i = 0; i < record->pools_count; i++) {
        if (!evacuation_has(&node->evacuation, record->pools[i])) {
            return true;
        }
    }
    return false;
}

void
peers_put(node_t *node, member_t *member)
{
    const node_record_t *record = member->record;
    peer_t *peer = peer_find(node, record->name);
    if (peer == NULL) {
        peer = create_peer(node, record->name);
    }
    bool has_moved = strcmp(peer->address, record->address) != 0 ||
                     peer->port != record->port;
    bool is_new_process = has_moved || peer->nonce != record->nonce;
    strncpy(peer->address, record->address, sizeof peer->address - 1);
    strncpy(peer->dc, record->dc, sizeof peer->dc - 1);
    peer->port = record->port;
    peer->nonce = record->nonce;
    peer->is_owner = record->pools_count > 0;
    peer->is_open = owns_open_dc(node, record);
    peer->is_local = strcmp(record->dc, node->settings->dc) == 0 ||
                     member_owns_dc(member, node->settings->dc);
    peer->is_leaving = record->is_leaving;
    peer->has_record = true;
    // A record may be out of date. While a link is up, the process at its
    // other end is the running one, whatever the record says.
    bool needs_new_link = has_moved || (is_new_process && !peer->is_up);
    if (needs_new_link && peer->conn != NULL) {
        conn_close(peer->conn);
    }
    if (needs_new_link) {
        peer->link_failures = 0;
        peer->connect_due_ns = 0;
    }
    peer_plan_invalidate(node);
}

void
peers_update_open(node_t *node)
{
    for (peer_t *peer = node->peers; peer != NULL; peer = peer->next) {
        const member_t *member = members_find(&node->members, peer->name);
        if (member != NULL) {
            peer->is_open = owns_open_dc(node, member->record);
        }
    }
}

void
peers_remove(node_t *node, const char *name)
{
    peer_t *peer = peer_find(node, name);
    if (peer != NULL) {
        peer->has_record = false;
    }
    peer_plan_invalidate(node);
}

void
peers_update_self(node_t *node)
{
    peer_plan_invalidate(node);
}

void
peers_send_follow(const node_t *node, const char *name,
                  const follow_message_t *follow)
{
    const peer_t *peer = peer_find(node, name);
    if (peer != NULL && peer->is_up) {
        conn_send(peer->conn, kMessageFollow, follow);
    }
}

static void
open_link(peer_t *peer, int64_t now_ns)
{
    error_info_t err = {0};
    peer->conn =
        conn_connect(peer->node->loop, peer->node->settings->address,
                     peer->address, peer->port, &conn_ops, peer, &err);
    if (peer->conn == NULL) {
        log_event("peer_unreachable", "peer=%s reason=\"%s\"", peer->name,
                  err.text);
        peer->connect_due_ns = now_ns + (int64_t)kReconnectLimitMs * kNsPerMs;
    }
}

/// Sends a ping when it is due, and closes a link that has timed out.
///
/// @return when to call it again
static int64_t
check_link(peer_t *peer, int64_t now_ns)
{
    bool is_busy = peer->order_count > 0;
    int64_t timeout_ns = !peer->is_up ? (int64_t)kHelloTimeoutMs * kNsPerMs
                         : is_busy    ? coordinator_link_timeout_ns(peer->node)
                                      : (int64_t)kIdleTimeoutMs * kNsPerMs;
    if (peer->conn->last_received_ns + timeout_ns <= now_ns) {
        log_event("peer_silent", "peer=%s orders=%u", peer->name,
                  peer->order_count);
        conn_close(peer->conn);
        return peer->connect_due_ns;
    }
    int64_t period_ns =
        (int64_t)(is_busy ? kBusyPingMs : kIdlePingMs) * kNsPerMs;
    if (peer->is_up && peer->ping_due_ns > now_ns + period_ns) {
        peer->ping_due_ns = now_ns + period_ns;
    }
    if (peer->is_up && peer->ping_due_ns <= now_ns) {
        ping_message_t ping = {.number = ++peer->ping_number,
                               .sent_us = link_clock_stamp_us(now_ns)};
        conn_send(peer->conn, kMessagePing, &ping);
        peer->ping_due_ns = now_ns + period_ns;
    }
    int64_t deadline_ns = peer->conn->last_received_ns + timeout_ns;
    return peer->is_up && peer->ping_due_ns < deadline_ns ? peer->ping_due_ns
                                                          : deadline_ns;
}

int64_t
peers_advance(node_t *node, int64_t now_ns)
{
    int64_t due_ns = INT64_MAX;
    peer_plan_update(node);
    for (peer_t *peer = node->peers; peer != NULL; peer = peer->next) {
        int64_t peer_due_ns = INT64_MAX;
        if (peer->conn != NULL) {
            peer_due_ns = check_link(peer, now_ns);
        }
        else if (peer->is_wanted && peer->connect_due_ns <= now_ns) {
            open_link(peer, now_ns);
            peer_due_ns = now_ns + (int64_t)kHelloTimeoutMs * kNsPerMs;
        }
        else if (peer->is_wanted) {
            peer_due_ns = peer->connect_due_ns;
        }
        due_ns = peer_due_ns < due_ns ? peer_due_ns : due_ns;
    }
    return due_ns;
}

void
peers_close_all(node_t *node)
{
    for (peer_t *peer = node->peers; peer != NULL; peer = peer->next) {
        if (peer->conn != NULL) {
            conn_close(peer->conn);
            // The link has not failed: it is opened again at once.
            peer->link_failures = 0;
            peer->connect_due_ns = 0;
        }
    }
}

/// @return what the tasks of a job need that can start at once
static job_need_t
read_need(const caller_job_t *job)
{
    job_need_t need = {0};
    for (uint32_t i = 0; i < job->order.steps_count; i++) {
        const order_step_t *step = &job->order.steps[i];
        if (step->depends_on_count == 0) {
            need.task_count += step->task_count;
            need.cpu_mcores = step->cpu_mcores > need.cpu_mcores
                                  ? step->cpu_mcores
                                  : need.cpu_mcores;
        }
    }
    return need;
}

static bool
was_tried(const caller_job_t *job, const void *owner)
{
    for (uint32_t i = 0; i < job->tried_count; i++) {
        if (job->tried[i] == owner) {
            return true;
        }
    }
    return false;
}

/// @return whether a peer may be assigned orders
static bool
is_usable(const peer_t *peer, int64_t now_ns)
{
    return peer->is_up && peer->is_open &&
           (peer->order_count == 0 || now_ns - peer->conn->last_received_ns <
                                          (int64_t)kMaxSilenceMs * kNsPerMs);
}

bool
peers_has_owner(const node_t *node)
{
    int64_t now_ns = clock_now_ns();
    for (const peer_t *peer = node->peers; peer != NULL; peer = peer->next) {
        if (is_usable(peer, now_ns) && !peer->is_leaving) {
            return true;
        }
    }
    return false;
}

peer_t *
peers_choose(node_t *node, const caller_job_t *job, bool *is_self)
{
    int64_t now_ns = clock_now_ns();
    job_need_t need = read_need(job);
    pool_choice_t choice = {.rng = &node->peer_plan->rng};
    if (owner_accepts_runs(node) && !was_tried(job, node) &&
        !pool_is_closed(node->pool)) {
        pool_status_t status = pool_read_status(node->pool, now_ns);
        choice_add(&choice,
                   &(pool_offer_t){.room = &status.room,
                                   .backlog_ms = status.backlog_ms,
                                   .is_self = true,
                                   .is_local = true,
                                   .has_no_targets = status.target_count == 0,
                                   .pool = node},
                   &need);
    }
    for (peer_t *peer = node->peers; peer != NULL; peer = peer->next) {
        if (!is_usable(peer, now_ns) || was_tried(job, peer)) {
            continue;
        }
        bool is_fresh =
            now_ns - peer->load_received_ns < (int64_t)kLoadTtlMs * kNsPerMs;
        choice_add(
            &choice,
            &(pool_offer_t){.room = is_fresh ? &peer->room : NULL,
                            .backlog_ms = peer->backlog_ms,
                            .is_local = peer->is_local,
                            .is_stopping = peer->is_leaving,
                            .has_no_targets = is_fresh && !peer->has_targets,
                            .pool = peer},
            &need);
    }
    *is_self = choice.best == node;
    return *is_self ? NULL : choice.best;
}

void
peers_assign(peer_t *peer, const caller_job_t *job, int64_t now_ns)
{
    assign_message_t message = {.request = job->request,
                                .dc = peer->dc,
                                .order = job->order,
                                .sent_us = link_clock_stamp_us(now_ns)};
    if (peer->order_count == 0) {
        // The timeout of a busy link is shorter: it starts with the first
        // order.
        peer->conn->last_received_ns = now_ns;
    }
    peer->order_count++;
    job_need_t need = read_need(job);
    room_take(&peer->room, need.cpu_mcores, need.task_count);
    conn_send(peer->conn, kMessageAssign, &message);
    node_schedule_advance(peer->node);
}

void
peers_withdraw(const peer_t *peer, const caller_job_t *job,
               int64_t given_up_ns)
{
    if (peer->conn != NULL) {
        withdraw_message_t message = {.request = job->request,
                                      .given_up_us =
                                          link_clock_stamp_us(given_up_ns)};
        conn_send(peer->conn, kMessageWithdraw, &message);
    }
}
