#include "runtime/control.h"

#include "base/counters.h"
#include "codec/pack.h"
#include "net/link_clock.h"
#include "runtime/app.h"
#include "runtime/clock.h"

static json_object *
describe_counters(void)
{
    json_object *counters = json_object_new_object();
    for (uint32_t i = 0; i < kCounterCount; i++) {
        json_object_object_add(counters, counter_names[i],
                               json_object_new_uint64(counter_read(i)));
    }
    return counters;
}

void
control_send_hello(conn_t *conn, const hello_message_t *hello)
{
    hello_message_t message = *hello;
    message.sent_us = link_clock_stamp_us(clock_now_ns());
    conn_send(conn, kMessageHello, &message);
}

static void
answer_hello(const control_t *control, conn_t *conn, bytes_t body)
{
    (void)body;
    control_send_hello(conn, &control->hello);
}

static void
answer_ping(const control_t *control, conn_t *conn, bytes_t body)
{
    (void)control;
    ping_message_t ping;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &ping_message_desc, arena, &ping, &err)) {
        pong_message_t pong = {.number = ping.number};
        conn_send(conn, kMessagePong, &pong);
    }
    arena_destroy(arena);
}

static void
answer_dump(const control_t *control, conn_t *conn, bytes_t body)
{
    dump_message_t dump;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (pack_read_message(body, &dump_message_desc, arena, &dump, &err)) {
        json_object *state = json_object_new_object();
        json_object_object_add(
            state, "role",
            json_object_new_string(role_desc.values[control->hello.role]));
        json_object_object_add(state, "dc",
                               json_object_new_uint64(control->hello.dc));
        json_object_object_add(state, "vm",
                               json_object_new_uint64(control->hello.vm));
        control->describe(control->owner, state);
        json_object_object_add(state, "counters", describe_counters());
        dump_reply_message_t reply = {.request = dump.request,
                                      .text = json_object_to_json_string_ext(
                                          state, JSON_C_TO_STRING_PRETTY)};
        conn_send(conn, kMessageDumpReply, &reply);
        json_object_put(state);
    }
    arena_destroy(arena);
}

static void
answer_stop(const control_t *control, conn_t *conn, bytes_t body)
{
    (void)control;
    (void)conn;
    (void)body;
    app_request_stop();
}

typedef void (*answer_t)(const control_t *control, conn_t *conn, bytes_t body);

static const answer_t answer_table[kMessageCount] = {
    [kMessageHello] = answer_hello,
    [kMessagePing] = answer_ping,
    [kMessageDump] = answer_dump,
    [kMessageStop] = answer_stop,
};

bool
control_answer(const control_t *control, conn_t *conn, uint32_t type,
               bytes_t body)
{
    if (type >= kMessageCount || answer_table[type] == NULL) {
        return false;
    }
    answer_table[type](control, conn, body);
    return true;
}
