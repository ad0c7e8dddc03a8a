#include "clock.h"

#include <stdlib.h>

#include "memory.h"

enum { kFirstCapacity = 1024 };

static bool
is_before(const event_t *left, const event_t *right)
{
    return left->at_ns != right->at_ns ? left->at_ns < right->at_ns
                                       : left->number < right->number;
}

void *
clock_add(virtual_clock_t *clock, int64_t delay_ns, event_run_t run,
          size_t bytes)
{
    event_t *event = memory_get_zeroed(1, bytes);
    *event = (event_t){.at_ns = clock->now_ns + delay_ns,
                       .number = clock->next_number++,
                       .run = run};
    if (clock->count == clock->capacity) {
        clock->capacity = clock->capacity * 2 + kFirstCapacity;
        clock->events =
            memory_resize(clock->events, clock->capacity * sizeof(event_t *));
    }
    uint32_t at = clock->count++;
    while (at > 0 && is_before(event, clock->events[(at - 1) / 2])) {
        clock->events[at] = clock->events[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    clock->events[at] = event;
    return event;
}

static event_t *
pop_event(virtual_clock_t *clock)
{
    event_t *first = clock->events[0];
    event_t *last = clock->events[--clock->count];
    uint32_t at = 0;
    for (;;) {
        uint32_t child = 2 * at + 1;
        if (child >= clock->count) {
            break;
        }
        if (child + 1 < clock->count &&
            is_before(clock->events[child + 1], clock->events[child])) {
            child++;
        }
        if (!is_before(clock->events[child], last)) {
            break;
        }
        clock->events[at] = clock->events[child];
        at = child;
    }
    clock->events[at] = last;
    return first;
}

bool
clock_has_event(const virtual_clock_t *clock, int64_t until_ns)
{
    return clock->count > 0 && clock->events[0]->at_ns <= until_ns;
}

void
clock_run_next(virtual_clock_t *clock, fleet_t *fleet)
{
    int64_t at_ns = clock->events[0]->at_ns;
    clock->now_ns = at_ns;
    while (clock_has_event(clock, at_ns)) {
        event_t *event = pop_event(clock);
        event->run(fleet, event);
        free(event);
    }
}
