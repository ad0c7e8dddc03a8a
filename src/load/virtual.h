/// The decisions alone: waiting, routing and targets on a virtual clock, in
/// one thread, with no socket and no wait.
#ifndef JT_LOAD_VIRTUAL_H
#define JT_LOAD_VIRTUAL_H

#include "generated/settings.h"
#include "load/open_loop.h"

typedef struct {
    uint32_t target_count;
    uint32_t slots;
    uint32_t spread; ///< fastest over slowest target
    uint32_t straggler_per_mille;
    routing_t routing;
    ordering_t ordering;
} virtual_t;

/// Runs a load on the decisions. Prints the processor time of a task's
/// decisions to standard error.
///
/// @param load  its workload, work or rate, duration and seed count
void virtual_run(const virtual_t *virtual, const load_t *load,
                 load_result_t *result);

#endif
