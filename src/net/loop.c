#include "net/loop.h"

#include <apr_portable.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "base/arena.h"
#include "base/counters.h"
#include "runtime/clock.h"

enum { kPollsetSize = 4096, kForever = -1 };

/// Memory to free at the end of the round.
typedef struct freed {
    struct freed *next;
    void *memory;
    void (*free_it)(void *);
} freed_t;

struct loop {
    arena_t *arena;
    apr_pollset_t *pollset;
    heap_t timers;
    struct cds_wfcq_head mail_head;
    struct cds_wfcq_tail mail_tail;
    _Atomic bool is_sleeping;
    bool is_stopping;
    loop_deferred_t *round_ends;
    freed_t *freed;
};

loop_t *
loop_create(void)
{
    loop_t *loop = calloc(1, sizeof *loop);
    loop->arena = arena_create();
    if (apr_pollset_create(&loop->pollset, kPollsetSize, loop->arena,
                           APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) !=
        APR_SUCCESS) {
        abort();
    }
    cds_wfcq_init(&loop->mail_head, &loop->mail_tail);
    return loop;
}

static void
free_pending(loop_t *loop)
{
    while (loop->freed != NULL) {
        freed_t *freed = loop->freed;
        loop->freed = freed->next;
        freed->free_it(freed->memory);
        free(freed);
    }
}

void
loop_destroy(loop_t *loop)
{
    free_pending(loop);
    apr_pollset_destroy(loop->pollset);
    arena_destroy(loop->arena);
    heap_clear(&loop->timers);
    free(loop);
}

/// @return microseconds to wait, in whole milliseconds; -1 for ever
static apr_interval_time_t
wait_limit_us(loop_t *loop)
{
    if (!cds_wfcq_empty(&loop->mail_head, &loop->mail_tail)) {
        return 0;
    }
    heap_node_t *first = heap_first(&loop->timers);
    if (first == NULL) {
        return kForever;
    }
    return (apr_interval_time_t)clock_left_ms(first->deadline_ns) * 1000;
}

static uint32_t
ready_bits(apr_int16_t events)
{
    uint32_t ready = 0;
    if (events & APR_POLLIN) {
        ready |= kReadyRead;
    }
    if (events & APR_POLLOUT) {
        ready |= kReadyWrite;
    }
    if (events & (APR_POLLERR | APR_POLLHUP | APR_POLLNVAL)) {
        ready |= kReadyError;
    }
    return ready;
}

static void
poll_sockets(loop_t *loop)
{
    const apr_pollfd_t *descriptors = NULL;
    apr_int32_t count = 0;
    atomic_store(&loop->is_sleeping, true);
    apr_status_t status = apr_pollset_poll(loop->pollset, wait_limit_us(loop),
                                           &count, &descriptors);
    atomic_store(&loop->is_sleeping, false);
    counter_add(kCounterWakeups, 1);
    if (status != APR_SUCCESS) {
        return;
    }
    for (apr_int32_t i = 0; i < count; i++) {
        watch_t *watch = descriptors[i].client_data;
        if (watch->interest != 0) {
            watch->on_ready(watch, ready_bits(descriptors[i].rtnevents));
        }
    }
}

static void
run_mail(loop_t *loop)
{
    struct cds_wfcq_node *node;
    while ((node = __cds_wfcq_dequeue_blocking(&loop->mail_head,
                                               &loop->mail_tail)) != NULL) {
        loop_callback_t *callback =
            caa_container_of(node, loop_callback_t, node);
        callback->run(callback);
    }
}

static void
run_timers(loop_t *loop)
{
    int64_t now_ns = clock_now_ns();
    heap_node_t *node;
    while ((node = heap_first(&loop->timers)) != NULL &&
           node->deadline_ns <= now_ns) {
        loop_timer_t *timer = caa_container_of(node, loop_timer_t, node);
        heap_remove(&loop->timers, node);
        timer->on_due(timer);
    }
}

static void
run_round_ends(loop_t *loop)
{
    while (loop->round_ends != NULL) {
        loop_deferred_t *end = loop->round_ends;
        loop->round_ends = end->next;
        end->is_queued = false;
        end->run(end);
    }
}

void
loop_run(loop_t *loop)
{
    loop->is_stopping = false;
    while (!loop->is_stopping) {
        poll_sockets(loop);
        run_mail(loop);
        run_timers(loop);
        run_round_ends(loop);
        free_pending(loop);
    }
}

void
loop_stop(loop_t *loop)
{
    loop->is_stopping = true;
}

void
loop_post(loop_t *loop, loop_callback_t *callback)
{
    cds_wfcq_node_init(&callback->node);
    cds_wfcq_enqueue(&loop->mail_head, &loop->mail_tail, &callback->node);
    if (atomic_load(&loop->is_sleeping)) {
        apr_pollset_wakeup(loop->pollset);
    }
}

void
loop_watch(loop_t *loop, watch_t *watch, apr_socket_t *socket,
           uint32_t interest)
{
    if (interest == watch->interest) {
        return;
    }
    if (watch->interest != 0) {
        apr_pollset_remove(loop->pollset, &watch->descriptor);
    }
    watch->interest = interest;
    if (interest == 0) {
        return;
    }
    watch->descriptor = (apr_pollfd_t){
        .desc_type = APR_POLL_SOCKET,
        .reqevents = (apr_int16_t)((interest & kReadyRead ? APR_POLLIN : 0) |
                                   (interest & kReadyWrite ? APR_POLLOUT : 0)),
        .desc.s = socket,
        .client_data = watch};
    if (apr_pollset_add(loop->pollset, &watch->descriptor) != APR_SUCCESS) {
        abort();
    }
}

void
loop_timer_init(loop_timer_t *timer, void (*on_due)(loop_timer_t *timer),
                void *owner)
{
    *timer = (loop_timer_t){
        .node = {.index = kHeapAbsent}, .on_due = on_due, .owner = owner};
}

void
loop_timer_set(loop_t *loop, loop_timer_t *timer, int64_t deadline_ns)
{
    heap_set(&loop->timers, &timer->node, deadline_ns);
}

void
loop_timer_clear(loop_t *loop, loop_timer_t *timer)
{
    heap_remove(&loop->timers, &timer->node);
}

void
loop_defer(loop_t *loop, loop_deferred_t *end)
{
    if (end->is_queued) {
        return;
    }
    end->is_queued = true;
    end->next = loop->round_ends;
    loop->round_ends = end;
}

void
loop_free_later(loop_t *loop, void *memory, void (*free_it)(void *))
{
    freed_t *freed = malloc(sizeof *freed);
    *freed =
        (freed_t){.next = loop->freed, .memory = memory, .free_it = free_it};
    loop->freed = freed;
}
