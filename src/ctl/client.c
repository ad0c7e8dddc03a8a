#include "ctl/client.h"

#include "codec/pack.h"
#include "net/conn.h"
#include "runtime/clock.h"

/// One question.
typedef struct {
    const client_target_t *target;
    loop_t *loop;
    conn_t *conn;
    loop_timer_t limit;
    uint32_t type;
    const void *message;
    uint32_t reply_type;
    arena_t *arena;
    void *reply;
    error_info_t *err;
    bool is_answered;
    bool is_over; ///< nobody waits any more
} question_t;

static void
on_open(conn_t *conn)
{
    question_t *question = conn->owner;
    hello_message_t hello = {.role = kRoleCtl};
    conn_send(conn, kMessageHello, &hello);
    conn_send(conn, question->type, question->message);
    if (question->reply_type == kMessageNone) {
        conn_flush(conn);
        question->is_answered = true;
        loop_stop(question->loop);
    }
}

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    question_t *question = conn->owner;
    if (type != question->reply_type || question->is_answered) {
        return;
    }
    question->is_answered =
        pack_read_message(body, message_descs[type], question->arena,
                          question->reply, question->err);
    loop_stop(question->loop);
}

static void
on_close(conn_t *conn)
{
    question_t *question = conn->owner;
    if (!question->is_over) {
        error_set(question->err, kErrorKindIo, "%s:%u: the connection ended",
                  question->target->address, question->target->port);
    }
    question->conn = NULL;
    loop_stop(question->loop);
}

static const conn_ops_t question_ops = {
    .on_open = on_open, .on_message = on_message, .on_close = on_close};

static void
on_limit(loop_timer_t *timer)
{
    question_t *question = timer->owner;
    error_set(question->err, kErrorKindTimeout, "%s:%u: no answer in %u ms",
              question->target->address, question->target->port,
              question->target->limit_ms);
    loop_stop(question->loop);
}

bool
client_ask(const client_target_t *target, uint32_t type, const void *message,
           uint32_t reply_type, arena_t *arena, void *reply, error_info_t *err)
{
    question_t question = {.target = target,
                           .loop = loop_create(),
                           .type = type,
                           .message = message,
                           .reply_type = reply_type,
                           .arena = arena,
                           .reply = reply,
                           .err = err};
    loop_timer_init(&question.limit, on_limit, &question);
    question.conn = conn_connect(question.loop, NULL, target->address,
                                 target->port, &question_ops, &question, err);
    if (question.conn != NULL) {
        loop_timer_set(question.loop, &question.limit,
                       clock_deadline_ns(target->limit_ms));
        loop_run(question.loop);
    }
    if (question.conn != NULL) {
        question.is_over = true;
        conn_close(question.conn);
    }
    loop_destroy(question.loop);
    return question.is_answered;
}
