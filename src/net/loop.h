/// An event loop of one thread: sockets, timers and mail from other threads.
/// The thread waits in the kernel when it has nothing to do.
#ifndef JT_NET_LOOP_H
#define JT_NET_LOOP_H

#include <apr_network_io.h>
#include <apr_poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/wfcqueue.h>

#include "base/heap.h"

typedef struct loop loop_t;

/// Readiness, a set of bits.
enum { kReadyRead = 1, kReadyWrite = 2, kReadyError = 4 };

/// A watched socket; part of its owner's struct.
typedef struct watch {
    apr_pollfd_t descriptor;
    uint32_t interest; ///< kReady bits; 0 when not watched
    void (*on_ready)(struct watch *watch, uint32_t ready);
    void *owner;
} watch_t;

/// A timer; part of its owner's struct. Set up with loop_timer_init.
typedef struct loop_timer {
    heap_node_t node;
    void (*on_due)(struct loop_timer *timer);
    void *owner;
} loop_timer_t;

/// A piece of mail: a call that another thread asks the loop to make.
typedef struct callback {
    struct cds_wfcq_node node;
    void (*run)(struct callback *callback);
} loop_callback_t;

/// Work for the end of the current round, such as a flush.
typedef struct round_end {
    struct round_end *next;
    bool is_queued;
    void (*run)(struct round_end *end);
} loop_deferred_t;

/// Creates a loop. Aborts the process when the system refuses one.
loop_t *loop_create(void);

/// Frees a loop that is not running.
void loop_destroy(loop_t *loop);

/// Serves until loop_stop.
void loop_run(loop_t *loop);

/// Makes loop_run return after the current round. Own thread only.
void loop_stop(loop_t *loop);

/// Posts mail; any thread. The mail belongs to the loop until it is run.
void loop_post(loop_t *loop, loop_callback_t *callback);

/// Watches a socket with a set of kReady bits; 0 ends the watch.
void loop_watch(loop_t *loop, watch_t *watch, apr_socket_t *socket,
                uint32_t interest);

/// Prepares a timer that is not set.
void loop_timer_init(loop_timer_t *timer, void (*on_due)(loop_timer_t *timer),
                     void *owner);

/// Sets or moves a timer to a point of the monotonic clock.
void loop_timer_set(loop_t *loop, loop_timer_t *timer, int64_t deadline_ns);

/// Clears a timer.
void loop_timer_clear(loop_t *loop, loop_timer_t *timer);

/// Runs `end` once at the end of the current round.
void loop_defer(loop_t *loop, loop_deferred_t *end);

/// Frees memory at the end of the round, when no event can refer to it.
void loop_free_later(loop_t *loop, void *memory, void (*free_it)(void *));

#endif
