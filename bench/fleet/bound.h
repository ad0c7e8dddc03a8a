/// What a fleet could earn at most if its cores were one fluid: in each second
/// the jobs sent in it with most value for their work are served, as far as
/// all cores reach, without waits, rounding to targets or late answers. Work
/// that could be carried into a later second within its objective is left out,
/// so a run with long jobs may come out slightly above it.
#ifndef JT_BENCH_FLEET_BOUND_H
#define JT_BENCH_FLEET_BOUND_H

#include "fleet.h"

typedef struct {
    double earned[kKinds];
} bound_t;

bound_t bound_compute(const fleet_t *fleet);

#endif
