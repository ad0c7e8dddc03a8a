#include "net/loop.h"

#include <apr_portable.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "base/arena.h"
#include "base/counters.h"
#include "runtime/clock.h"

enum { kPollsetCapacity = 4096, kForeverUs = -1 };

/// Memory to free at the end of the iteration.
typedef struct pending_free {
    struct pending_free *next;
    void *memory;
    void (*free_fn)(void *);
} pending_free_t;

struct loop {
    arena_t *arena;
    apr_pollset_t *pollset;
    heap_t timers;
    struct cds_wfcq_head callback_head;
    struct cds_wfcq_tail callback_tail;
    _Atomic bool is_polling;
    bool is_stopping;
    loop_deferred_t *deferred;
    pending_free_t *pending_frees;
};

loop_t *
loop_create(void)
{
    loop_t *loop = calloc(1, sizeof *loop);
    loop->arena = arena_create();
    if (apr_pollset_create(&loop->pollset, kPollsetCapacity, loop->arena,
                           APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) !=
        APR_SUCCESS) {
        abort();
    }
    cds_wfcq_init(&loop->callback_head, &loop->callback_tail);
    return loop;
}

static void
run_pending_frees(loop_t *loop)
{
    while (loop->pending_frees != NULL) {
        pending_free_t *pending = loop->pending_frees;
        loop->pending_frees = pending->next;
        pending->free_fn(pending->memory);
        free(pending);
    }
}

void
loop_destroy(loop_t *loop)
{
    run_pending_frees(loop);
    apr_pollset_destroy(loop->pollset);
    arena_destroy(loop->arena);
    heap_clear(&loop->timers);
    free(loop);
}

/// @return longest time to block, in microseconds, a multiple of 1000;
///         kForeverUs to block until an event comes
static apr_interval_time_t
poll_timeout_us(loop_t *loop)
{
    if (!cds_wfcq_empty(&loop->callback_head, &loop->callback_tail)) {
        return 0;
    }
    heap_node_t *first = heap_first(&loop->timers);
    if (first == NULL) {
        return kForeverUs;
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
    atomic_store(&loop->is_polling, true);
    apr_status_t status = apr_pollset_poll(
        loop->pollset, poll_timeout_us(loop), &count, &descriptors);
    atomic_store(&loop->is_polling, false);
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
run_callbacks(loop_t *loop)
{
    struct cds_wfcq_node *node;
    while ((node = __cds_wfcq_dequeue_blocking(
                &loop->callback_head, &loop->callback_tail)) != NULL) {
        loop_callback_t *callback =
            caa_container_of(node, loop_callback_t, node);
        // Reads the value of the last post, and so sees what came before it.
        atomic_exchange(&callback->is_queued, false);
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
run_deferred(loop_t *loop)
{
    while (loop->deferred != NULL) {
        loop_deferred_t *deferred = loop->deferred;
        loop->deferred = deferred->next;
        deferred->is_queued = false;
        deferred->run(deferred);
    }
}

void
loop_run(loop_t *loop)
{
    loop->is_stopping = false;
    while (!loop->is_stopping) {
        poll_sockets(loop);
        run_callbacks(loop);
        run_timers(loop);
        run_deferred(loop);
        run_pending_frees(loop);
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
    if (atomic_exchange(&callback->is_queued, true)) {
        return;
    }
    cds_wfcq_node_init(&callback->node);
    cds_wfcq_enqueue(&loop->callback_head, &loop->callback_tail,
                     &callback->node);
    if (atomic_load(&loop->is_polling)) {
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
loop_defer(loop_t *loop, loop_deferred_t *deferred)
{
    if (deferred->is_queued) {
        return;
    }
    deferred->is_queued = true;
    deferred->next = loop->deferred;
    loop->deferred = deferred;
}

void
loop_free_later(loop_t *loop, void *memory, void (*free_fn)(void *))
{
    pending_free_t *pending = malloc(sizeof *pending);
    *pending = (pending_free_t){
        .next = loop->pending_frees, .memory = memory, .free_fn = free_fn};
    loop->pending_frees = pending;
}
