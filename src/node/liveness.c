#include "node/liveness.h"

#include <stdlib.h>
#include <string.h>

#include "net/conn.h"
#include "node/catalog.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kHelloTimeoutMs = 500, ///< the checked node is in the same data centre
    /// A node's record is deleted after this many missed hellos in a row. With
    /// a round between two hellos, six take a minute or more.
    kMaxMissedHellos = 6,
    /// Hellos sent in each liveness_round_ms; checking more nodes than that
    /// takes longer.
    kHellosPerRound = 8
};

/// State of the check; one node is checked at a time.
struct liveness {
    conn_t *conn;        ///< to the node that is checked, or NULL
    char name[256];      ///< of that node; empty once it has answered
    int64_t deadline_ns; ///< when its hello counts as missed
    int64_t due_ns;      ///< when to send the next hello
    uint32_t position;   ///< of the last node checked, in the list of members
};

/// Counts the missed hellos of the checked node, and deletes its record after
/// too many in a row.
static void
record_hello_result(node_t *node, bool is_answered)
{
    member_t *member = members_find(&node->members, node->liveness->name);
    if (member == NULL) {
        return;
    }
    member->missed_hello_count =
        is_answered ? 0 : member->missed_hello_count + 1;
    if (member->missed_hello_count >= kMaxMissedHellos) {
        log_event("record_dropped", "name=%s misses=%u", member->record->name,
                  member->missed_hello_count);
        member->missed_hello_count = 0;
        node->adapter_ops->delete_record(node->adapter, member->record->name);
    }
}

static void
on_open(conn_t *conn)
{
    node_t *node = conn->owner;
    control_send_hello(conn, &node->control.hello);
}

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    (void)body;
    if (type == kMessageHello && !conn->is_closed) {
        record_hello_result(conn->owner, true);
        ((node_t *)conn->owner)->liveness->name[0] = '\0';
        conn_close(conn);
    }
}

static void
on_close(conn_t *conn)
{
    node_t *node = conn->owner;
    if (node->liveness->name[0] != '\0') {
        record_hello_result(node, false);
    }
    node->liveness->conn = NULL;
}

static const conn_ops_t conn_ops = {
    .on_open = on_open, .on_message = on_message, .on_close = on_close};

/// @return whether this node checks the others: only the first owner of a data
///         centre does
static bool
is_responsible(node_t *node)
{
    const dc_group_t *group = catalog_find_group(node, node->settings->dc);
    return group != NULL && group->is_joined && node->self != NULL &&
           members_count_preferred_owners(&node->members, node->self,
                                          group->dc) == 0;
}

/// @return the next other member of this node's data centre, or NULL after the
///         last one
static const member_t *
next_local_member(const node_t *node, uint32_t *position)
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
send_hello(node_t *node, const member_t *member, int64_t now_ns)
{
    liveness_t *liveness = node->liveness;
    error_info_t err = {0};
    strncpy(liveness->name, member->record->name, sizeof liveness->name - 1);
    liveness->deadline_ns = now_ns + (int64_t)kHelloTimeoutMs * kNsPerMs;
    liveness->conn = conn_connect(node->loop, node->settings->address,
                                  member->record->address,
                                  member->record->port, &conn_ops, node, &err);
    if (liveness->conn == NULL) {
        log_event("peer_unreachable", "peer=%s reason=\"%s\"", liveness->name,
                  err.text);
        record_hello_result(node, false);
    }
}

void
liveness_init(node_t *node)
{
    node->liveness = calloc(1, sizeof *node->liveness);
}

int64_t
liveness_advance(node_t *node, int64_t now_ns)
{
    liveness_t *liveness = node->liveness;
    if (liveness->conn != NULL) {
        if (liveness->deadline_ns > now_ns) {
            return liveness->deadline_ns;
        }
        conn_close(liveness->conn);
    }
    if (liveness->due_ns > now_ns) {
        return liveness->due_ns;
    }
    liveness->due_ns = now_ns + (int64_t)(node->settings->liveness_round_ms /
                                          kHellosPerRound) *
                                    kNsPerMs;
    if (is_responsible(node)) {
        const member_t *member = next_local_member(node, &liveness->position);
        if (member != NULL) {
            send_hello(node, member, now_ns);
        }
    }
    return liveness->due_ns;
}
