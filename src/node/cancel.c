#include "node/cancel.h"

#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "base/units.h"
#include "codec/pack.h"
#include "net/conn.h"
#include "node/coordinator.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kTimeoutMs = 1000, ///< for the answers of the other nodes
    kActiveLimit = 32  ///< each holds a connection to each node
};

/// A question to another node, over a connection of its own: links exist only
/// between coordinators and owners.
typedef struct question {
    struct question *next;
    cancellation_t *cancellation;
    conn_t *conn; ///< NULL once it is closed
    bool is_required;
    bool is_answered;
} question_t;

static void
on_open(conn_t *conn)
{
    question_t *question = conn->owner;
    const cancel_job_message_t message = {.queue =
                                              question->cancellation->queue,
                                          .job = question->cancellation->job};
    conn_send(conn, kMessageCancelJob, &message);
}

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    question_t *question = conn->owner;
    job_cancelled_message_t reply;
    error_info_t err = {0};
    if (type != kMessageJobCancelled) {
        return;
    }
    arena_t *arena = arena_create();
    if (pack_read_message(body, &job_cancelled_message_desc, arena, &reply,
                          &err)) {
        question->is_answered = true;
        question->cancellation->is_found |= reply.is_found;
    }
    else {
        log_event("bad_message", "reason=\"%s\"", err.text);
    }
    conn_close(conn);
    arena_destroy(arena);
}

static void
on_close(conn_t *conn)
{
    question_t *question = conn->owner;
    question->conn = NULL;
    node_schedule_advance(question->cancellation->node);
}

static const conn_ops_t conn_ops = {.on_open = on_open,
                                    .on_message = on_message,
                                    .on_close = on_close,
                                    .frame_limit_bytes = kNodeFrameLimitBytes};

static void
ask(cancellation_t *cancellation, const member_t *member)
{
    node_t *node = cancellation->node;
    error_info_t err = {0};
    question_t *question = calloc(1, sizeof *question);
    *question = (question_t){.next = cancellation->questions,
                             .cancellation = cancellation,
                             .is_required = member->record->pools_count > 0};
    cancellation->questions = question;
    question->conn = conn_connect(
        node->loop, node->settings->address, member->record->address,
        member->record->port, &conn_ops, question, &err);
    if (question->conn == NULL) {
        log_event("peer_unreachable", "peer=%s reason=\"%s\"",
                  member->record->name, err.text);
    }
}

static uint32_t
count_active(const node_t *node)
{
    uint32_t count = 0;
    for (const cancellation_t *at = node->cancellations; at != NULL;
         at = at->next) {
        count++;
    }
    return count;
}

bool
cancel_here(node_t *node, const char *queue, const char *job)
{
    // The coordinator's first: its withdrawal ends the order of a job that is
    // both coordinated and run here.
    bool is_coordinated = coordinator_cancel_job(node, queue, job);
    bool is_run =
        pool_cancel_job(node->pool, queue, job, node_update_now_ns(node));
    node_schedule_advance(node);
    return is_coordinated || is_run;
}

void
cancel_begin(cancellation_t *cancellation)
{
    node_t *node = cancellation->node;
    int64_t now_ns = node_update_now_ns(node);
    bool has_room = count_active(node) < kActiveLimit;
    atomic_fetch_add(&node->job_count, 1);
    counter_add(kCounterCancellations, 1);
    cancellation->is_found =
        cancel_here(node, cancellation->queue, cancellation->job);
    cancellation->is_complete = has_room && node->listed_ns != 0;
    cancellation->questions = NULL;
    cancellation->deadline_ns =
        has_room ? now_ns + MS_TO_NS(kTimeoutMs) : now_ns;
    cancellation->next = node->cancellations;
    node->cancellations = cancellation;
    for (const member_t *member = node->members.first;
         member != NULL && has_room; member = member->next) {
        if (!member->is_self) {
            ask(cancellation, member);
        }
    }
    node_schedule_advance(node);
}

/// @return whether all questions are answered, or cannot be any more
static bool
is_over(const cancellation_t *cancellation)
{
    const question_t *question = cancellation->questions;
    while (question != NULL && question->conn == NULL) {
        question = question->next;
    }
    return question == NULL;
}

/// Closes what is open, and reports the result.
static void
end_cancellation(cancellation_t *cancellation)
{
    node_t *node = cancellation->node;
    while (cancellation->questions != NULL) {
        question_t *question = cancellation->questions;
        cancellation->questions = question->next;
        if (question->conn != NULL) {
            conn_close(question->conn);
        }
        if (question->is_required && !question->is_answered) {
            cancellation->is_complete = false;
        }
        loop_free_later(node->loop, question, free);
    }
    atomic_fetch_sub(&node->job_count, 1);
    log_event("job_cancelled", "job=%s found=%d complete=%d",
              cancellation->job, cancellation->is_found,
              cancellation->is_complete);
    cancellation->on_done(cancellation);
}

int64_t
cancel_advance(node_t *node, int64_t now_ns)
{
    int64_t due_ns = INT64_MAX;
    cancellation_t **at = &node->cancellations;
    while (*at != NULL) {
        cancellation_t *cancellation = *at;
        if (is_over(cancellation) || cancellation->deadline_ns <= now_ns) {
            *at = cancellation->next;
            end_cancellation(cancellation);
        }
        else {
            due_ns = min_ns(due_ns, cancellation->deadline_ns);
            at = &cancellation->next;
        }
    }
    return due_ns;
}

void
cancel_end_all(node_t *node)
{
    while (node->cancellations != NULL) {
        cancellation_t *cancellation = node->cancellations;
        node->cancellations = cancellation->next;
        cancellation->is_complete = false;
        end_cancellation(cancellation);
    }
}
