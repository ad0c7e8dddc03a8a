#include "node/peers.h"

#include <stdlib.h>
#include <string.h>

#include "codec/pack.h"
#include "node/owner.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kBeatMs = 150,      ///< on a link with orders on their way
    kIdleBeatMs = 1000, ///< on any other link
    kIdleSilenceMs = 2500,
    kConnectMs = 250, ///< to the peer's hello; the first packet of a
                      ///< connection that was lost comes again after a second
    kReconnectMs = 300,
    kReconnectLimitMs = 1000,
    kDoubtMs = 350,          ///< of silence, after which new jobs go elsewhere
    kNewsLifeMs = 1000,      ///< after which news of a pool says nothing
    kFullPenaltyMs = 40,     ///< for a pool without room for the whole job
    kFarPenaltyMs = 8,       ///< for a pool of another data centre
    kLeavingPenaltyMs = 1000 ///< for a pool whose node is stopping: it takes
                             ///< orders only where it is the last
};

struct peer {
    peer_t *next;
    node_t *node;
    char name[256];
    char address[46];
    char dc[64];
    uint16_t port;
    uint64_t nonce; ///< of the process that wrote its record
    conn_t *conn;   ///< NULL while there is none
    bool is_up;
    bool is_owner;
    bool is_leaving;
    bool is_known; ///< has a member's record
    uint32_t order_count;
    uint32_t failures; ///< of the connection, in a row
    int64_t connect_due_ns;
    int64_t beat_due_ns;
    uint64_t ping_number;
    int64_t news_ns;
    int64_t free_mcores; ///< less what was assigned since
    uint32_t backlog_ms;
};

static void
set_reached(peer_t *peer, bool is_reached)
{
    member_t *member = members_find(&peer->node->members, peer->name);
    if (member != NULL) {
        member->is_reached = is_reached;
    }
}

static void
on_open(conn_t *conn)
{
    peer_t *peer = conn->owner;
    conn_send(conn, kMessageHello, &peer->node->control.hello);
    peer->beat_due_ns = 0;
    node_kick(peer->node);
}

static void
take_hello(peer_t *peer, bytes_t body)
{
    (void)body;
    peer->is_up = true;
    peer->failures = 0;
    set_reached(peer, true);
    log_event("peer_up", "peer=%s", peer->name);
    node_kick(peer->node);
}

static void
take_settled(peer_t *peer, bytes_t body)
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
    peer->news_ns = clock_now_ns();
    peer->free_mcores = (int64_t)message.free_mcores;
    peer->backlog_ms = message.backlog_ms;
    pool_order_result_t settled = {.request = message.request,
                                   .outcome = message.outcome,
                                   .kind = message.kind,
                                   .retry_after_ms = message.retry_after_ms};
    home_take_settled(peer->node, &settled, peer);
    arena_destroy(arena);
}

typedef void (*take_t)(peer_t *peer, bytes_t body);

static const take_t take_table[kMessageCount] = {
    [kMessageHello] = take_hello,
    [kMessageSettled] = take_settled,
};

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    peer_t *peer = conn->owner;
    node_now_ns(peer->node);
    if (!conn->is_closed && type < kMessageCount && take_table[type] != NULL) {
        take_table[type](peer, body);
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
    peer->order_count = 0;
    peer->failures++;
    int64_t wait_ms = (int64_t)kReconnectMs * peer->failures;
    peer->connect_due_ns =
        clock_now_ns() +
        (int64_t)kNsPerMs *
            (wait_ms < kReconnectLimitMs ? wait_ms : kReconnectLimitMs);
    set_reached(peer, false);
    home_lose_peer(peer->node, peer);
    node_kick(peer->node);
}

static const conn_ops_t conn_ops = {
    .on_open = on_open, .on_message = on_message, .on_close = on_close};

static peer_t *
find_peer(node_t *node, const char *name)
{
    peer_t *peer = node->peers;
    while (peer != NULL && strcmp(peer->name, name) != 0) {
        peer = peer->next;
    }
    return peer;
}

/// Takes over where a member is and what it owns.
static void
update_peer(node_t *node, member_t *member)
{
    const node_record_t *record = member->record;
    peer_t *peer = find_peer(node, record->name);
    if (peer == NULL) {
        peer = calloc(1, sizeof *peer);
        peer->node = node;
        strncpy(peer->name, record->name, sizeof peer->name - 1);
        peer->next = node->peers;
        node->peers = peer;
    }
    bool has_moved = strcmp(peer->address, record->address) != 0 ||
                     peer->port != record->port;
    bool is_new = has_moved || peer->nonce != record->nonce;
    strncpy(peer->address, record->address, sizeof peer->address - 1);
    strncpy(peer->dc, record->dc, sizeof peer->dc - 1);
    peer->port = record->port;
    peer->nonce = record->nonce;
    peer->is_owner = record->pools_count > 0;
    peer->is_leaving = record->is_leaving;
    peer->is_known = true;
    // A record may be late: a link that is up knows better which process runs.
    bool is_stale = has_moved || (is_new && !peer->is_up);
    if (is_stale && peer->conn != NULL) {
        conn_close(peer->conn);
    }
    if (is_stale) {
        peer->failures = 0;
        peer->connect_due_ns = 0;
    }
    member->is_reached = peer->is_up || peer->failures == 0;
}

/// Closes the links to peers without a record, and frees those that have none
/// and no order.
static void
forget_unknown(node_t *node)
{
    for (peer_t **at = &node->peers; *at != NULL;) {
        peer_t *peer = *at;
        bool is_idle = !peer->is_known && peer->order_count == 0;
        if (is_idle && peer->conn != NULL) {
            conn_close(peer->conn);
        }
        else if (is_idle) {
            *at = peer->next;
            loop_free_later(node->loop, peer, free);
            continue;
        }
        at = &peer->next;
    }
}

void
peers_update(node_t *node)
{
    for (peer_t *peer = node->peers; peer != NULL; peer = peer->next) {
        peer->is_known = false;
    }
    for (member_t *member = node->members.first; member != NULL;
         member = member->next) {
        if (!member->is_self) {
            update_peer(node, member);
        }
    }
    forget_unknown(node);
    node_kick(node);
}

static void
connect_peer(peer_t *peer, int64_t now_ns)
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

/// Beats, or ends a link that is silent.
static int64_t
beat(peer_t *peer, int64_t now_ns)
{
    bool is_busy = peer->order_count > 0;
    int64_t silence_ns = !peer->is_up ? (int64_t)kConnectMs * kNsPerMs
                         : is_busy    ? home_silence_ns(peer->node)
                                      : (int64_t)kIdleSilenceMs * kNsPerMs;
    if (peer->conn->last_received_ns + silence_ns <= now_ns) {
        log_event("peer_silent", "peer=%s orders=%u", peer->name,
                  peer->order_count);
        conn_close(peer->conn);
        return peer->connect_due_ns;
    }
    int64_t period_ns = (int64_t)(is_busy ? kBeatMs : kIdleBeatMs) * kNsPerMs;
    if (peer->is_up && peer->beat_due_ns > now_ns + period_ns) {
        peer->beat_due_ns = now_ns + period_ns;
    }
    if (peer->is_up && peer->beat_due_ns <= now_ns) {
        ping_message_t ping = {.number = ++peer->ping_number};
        conn_send(peer->conn, kMessagePing, &ping);
        peer->beat_due_ns = now_ns + period_ns;
    }
    int64_t silent_ns = peer->conn->last_received_ns + silence_ns;
    return peer->is_up && peer->beat_due_ns < silent_ns ? peer->beat_due_ns
                                                        : silent_ns;
}

int64_t
peers_advance(node_t *node, int64_t now_ns)
{
    int64_t due_ns = INT64_MAX;
    for (peer_t *peer = node->peers; peer != NULL; peer = peer->next) {
        bool is_wanted = peer->is_known && peer->is_owner;
        int64_t peer_due_ns = INT64_MAX;
        if (peer->conn != NULL) {
            peer_due_ns = beat(peer, now_ns);
        }
        else if (is_wanted && peer->connect_due_ns <= now_ns) {
            connect_peer(peer, now_ns);
            peer_due_ns = now_ns + (int64_t)kConnectMs * kNsPerMs;
        }
        else if (is_wanted) {
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
        }
    }
}

static uint64_t
needed_mcores(const caller_job_t *job)
{
    uint64_t needed = 0;
    for (uint32_t i = 0; i < job->order.steps_count; i++) {
        const order_step_t *step = &job->order.steps[i];
        if (step->depends_on_count == 0) {
            needed += (uint64_t)step->cpu_mcores * step->task_count;
        }
    }
    return needed;
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

static int64_t
penalty_ms(int64_t free_mcores, uint32_t backlog_ms, bool is_near,
           int64_t needed)
{
    return backlog_ms + (free_mcores < needed ? kFullPenaltyMs : 0) +
           (is_near ? 0 : kFarPenaltyMs);
}

static bool
is_usable(const peer_t *peer, int64_t now_ns)
{
    return peer->is_up && peer->is_owner &&
           (peer->order_count == 0 || now_ns - peer->conn->last_received_ns <
                                          (int64_t)kDoubtMs * kNsPerMs);
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
    int64_t needed = (int64_t)needed_mcores(job);
    int64_t best_ms = INT64_MAX;
    peer_t *best = NULL;
    *is_self = false;
    if (owner_holds_any(node) && !was_tried(job, node) &&
        !pool_is_closed(node->pool)) {
        pool_status_t news = pool_read_status(node->pool, now_ns);
        best_ms = penalty_ms((int64_t)news.free_mcores, news.backlog_ms, true,
                             needed);
        *is_self = true;
    }
    for (peer_t *peer = node->peers; peer != NULL; peer = peer->next) {
        if (!is_usable(peer, now_ns) || was_tried(job, peer)) {
            continue;
        }
        bool is_fresh =
            now_ns - peer->news_ns < (int64_t)kNewsLifeMs * kNsPerMs;
        int64_t free_mcores = is_fresh ? peer->free_mcores : INT64_MAX;
        int64_t cost_ms =
            penalty_ms(free_mcores, is_fresh ? peer->backlog_ms : 0,
                       strcmp(peer->dc, node->settings->dc) == 0, needed) +
            (peer->is_leaving ? kLeavingPenaltyMs : 0);
        if (cost_ms < best_ms) {
            best_ms = cost_ms;
            best = peer;
            *is_self = false;
        }
    }
    return best;
}

void
peers_assign(peer_t *peer, const caller_job_t *job, int64_t now_ns)
{
    assign_message_t message = {
        .request = job->request, .dc = peer->dc, .order = job->order};
    if (peer->order_count == 0) {
        // The silence of an idle link says nothing of a busy one.
        peer->conn->last_received_ns = now_ns;
    }
    peer->order_count++;
    peer->free_mcores -= (int64_t)needed_mcores(job);
    conn_send(peer->conn, kMessageAssign, &message);
    node_kick(peer->node);
}

void
peers_withdraw(const peer_t *peer, const caller_job_t *job)
{
    if (peer->conn != NULL) {
        withdraw_message_t message = {.request = job->request};
        conn_send(peer->conn, kMessageWithdraw, &message);
    }
}
