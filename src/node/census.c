#include "node/liveness.h"

#include <stdlib.h>
#include <string.h>

#include "net/conn.h"
#include "node/catalog.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kAnswerMs = 500,  ///< for the hello of a node in the same data centre
    kMissLimit = 6,   ///< in a row; the rounds between them take a minute or
                      ///< more
    kNodesOfRound = 8 ///< at least that the time of a round is made for
};

/// The greeting that is under way.
struct census {
    conn_t *conn; ///< NULL: none is
    char name[256];
    int64_t limit_ns;  ///< when it counts as missed
    int64_t due_ns;    ///< when to greet the next node
    uint32_t position; ///< of the last one greeted, in the list of members
};

static void
note_answer(node_t *node, bool is_answered)
{
    member_t *member = members_find(&node->members, node->census->name);
    if (member == NULL) {
        return;
    }
    member->miss_count = is_answered ? 0 : member->miss_count + 1;
    if (member->miss_count >= kMissLimit) {
        log_event("record_dropped", "name=%s misses=%u", member->record->name,
                  member->miss_count);
        member->miss_count = 0;
        node->adapter_ops->retract(node->adapter, member->record->name);
    }
}

static void
on_open(conn_t *conn)
{
    node_t *node = conn->owner;
    conn_send(conn, kMessageHello, &node->control.hello);
}

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    (void)body;
    if (type == kMessageHello && !conn->is_closed) {
        note_answer(conn->owner, true);
        ((node_t *)conn->owner)->census->name[0] = '\0';
        conn_close(conn);
    }
}

static void
on_close(conn_t *conn)
{
    node_t *node = conn->owner;
    if (node->census->name[0] != '\0') {
        note_answer(node, false);
    }
    node->census->conn = NULL;
}

static const conn_ops_t conn_ops = {
    .on_open = on_open, .on_message = on_message, .on_close = on_close};

/// @return whether this node takes the census: one does in a data centre
static bool
takes_census(node_t *node)
{
    const dc_pool_t *pool = known_find_dc(node, node->settings->dc);
    return pool != NULL && pool->is_member && node->self != NULL &&
           members_count_owners_before(&node->members, node->self, pool->dc) ==
               0;
}

/// @return the next member of the own data centre, or NULL
static const member_t *
next_member(const node_t *node, uint32_t *position)
{
    const member_t *found = NULL;
    uint32_t count = 0;
    uint32_t found_at = 0;
    for (const member_t *member = node->members.first; member != NULL;
         member = member->next) {
        if (member->is_self ||
            strcmp(member->record->dc, node->settings->dc) != 0) {
            continue;
        }
        count++;
        if (count > *position && found == NULL) {
            found = member;
            found_at = count;
        }
    }
    *position = found_at;
    return found;
}

static void
greet(node_t *node, const member_t *member, int64_t now_ns)
{
    census_t *census = node->census;
    error_info_t err = {0};
    strncpy(census->name, member->record->name, sizeof census->name - 1);
    census->limit_ns = now_ns + (int64_t)kAnswerMs * kNsPerMs;
    census->conn = conn_connect(node->loop, node->settings->address,
                                member->record->address, member->record->port,
                                &conn_ops, node, &err);
    if (census->conn == NULL) {
        log_event("peer_unreachable", "peer=%s reason=\"%s\"", census->name,
                  err.text);
        note_answer(node, false);
    }
}

void
census_init(node_t *node)
{
    node->census = calloc(1, sizeof *node->census);
}

int64_t
census_advance(node_t *node, int64_t now_ns)
{
    census_t *census = node->census;
    if (census->conn != NULL) {
        if (census->limit_ns > now_ns) {
            return census->limit_ns;
        }
        conn_close(census->conn);
    }
    if (census->due_ns > now_ns) {
        return census->due_ns;
    }
    census->due_ns =
        now_ns +
        (int64_t)(node->settings->census_ms / kNodesOfRound) * kNsPerMs;
    if (takes_census(node)) {
        const member_t *member = next_member(node, &census->position);
        if (member != NULL) {
            greet(node, member, now_ns);
        }
    }
    return census->due_ns;
}
