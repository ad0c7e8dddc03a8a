/// A virtual clock: events run in the order of their times, and those of one
/// time in the order in which they were added.
#ifndef JT_BENCH_FLEET_CLOCK_H
#define JT_BENCH_FLEET_CLOCK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define US(us) ((int64_t)(us)*1000)
#define MS(ms) ((int64_t)((ms)*1e6))

typedef struct fleet fleet_t;
typedef struct event event_t;
typedef void (*event_run_t)(fleet_t *fleet, event_t *event);

/// Head of all events.
struct event {
    int64_t at_ns;
    uint64_t number;
    event_run_t run;
};

typedef struct {
    int64_t now_ns;
    uint64_t next_number;
    event_t **events; ///< heap
    uint32_t count;
    uint32_t capacity;
} virtual_clock_t;

/// @param bytes  size of the event with its head
/// @return the event with all but its head zero; freed after it has run
void *clock_add(virtual_clock_t *clock, int64_t delay_ns, event_run_t run,
                size_t bytes);

/// @return whether there is an event up to a time
bool clock_has_event(const virtual_clock_t *clock, int64_t until_ns);

/// Goes on to the next event and runs all of its time.
void clock_run_next(virtual_clock_t *clock, fleet_t *fleet);

#endif
