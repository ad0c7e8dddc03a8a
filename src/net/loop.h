/// An event loop of one thread: sockets, timers and callbacks posted by other
/// threads. The thread blocks in the kernel when it has nothing to do.
#ifndef JT_NET_LOOP_H
#define JT_NET_LOOP_H

#include <apr_network_io.h>
#include <apr_poll.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/wfcqueue.h>

#include "base/heap.h"

typedef struct loop loop_t;

/// Readiness of a socket, as a bit set.
enum { kReadyRead = 1, kReadyWrite = 2, kReadyError = 4 };

/// A watched socket. Embedded in its owner's struct.
typedef struct watch {
    apr_pollfd_t descriptor;
    uint32_t interest; ///< kReady bits; 0 when not watched
    void (*on_ready)(struct watch *watch, uint32_t ready);
    void *owner;
} watch_t;

/// A timer. Embedded in its owner's struct; initialize with loop_timer_init.
typedef struct loop_timer {
    heap_node_t node;
    void (*on_due)(struct loop_timer *timer);
    void *owner;
} loop_timer_t;

/// A callback that another thread posts to run on the loop's thread. Zeroed
/// but for `run` before its first post.
typedef struct loop_callback {
    struct cds_wfcq_node node;
    _Atomic bool is_queued;
    void (*run)(struct loop_callback *callback);
} loop_callback_t;

/// A callback for the end of the current iteration of the loop, such as the
/// flush of a connection. Embedded in its owner's struct.
typedef struct loop_deferred {
    struct loop_deferred *next;
    bool is_queued;
    void (*run)(struct loop_deferred *deferred);
} loop_deferred_t;

/// Creates a loop. Aborts the process when the system cannot provide one.
loop_t *loop_create(void);

/// Frees a loop that is not running.
void loop_destroy(loop_t *loop);

/// Handles events until loop_stop is called.
void loop_run(loop_t *loop);

/// Makes loop_run return after the current iteration. Call it only on the
/// loop's thread.
void loop_stop(loop_t *loop);

/// Queues a callback to run on the loop's thread. Safe from any thread. A
/// callback that is in the queue already is not added again: it runs once for
/// all posts before that run, and sees what their threads did before. The
/// callback belongs to the loop until it runs; `run` may post or free it.
void loop_post(loop_t *loop, loop_callback_t *callback);

/// Watches a socket with a set of kReady bits; 0 ends the watch.
void loop_watch(loop_t *loop, watch_t *watch, apr_socket_t *socket,
                uint32_t interest);

/// Initializes a timer, which is not set afterwards.
void loop_timer_init(loop_timer_t *timer, void (*on_due)(loop_timer_t *timer),
                     void *owner);

/// Sets or moves a timer to a time of the monotonic clock.
void loop_timer_set(loop_t *loop, loop_timer_t *timer, int64_t deadline_ns);

/// Clears a timer.
void loop_timer_clear(loop_t *loop, loop_timer_t *timer);

/// Runs a callback once at the end of the current iteration, however often it
/// is added.
void loop_defer(loop_t *loop, loop_deferred_t *deferred);

/// Frees memory at the end of the iteration, when no event can refer to it.
void loop_free_later(loop_t *loop, void *memory, void (*free_fn)(void *));

#endif
