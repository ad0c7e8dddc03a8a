/// Detection of pauses of the process: the time in which it was stopped,
/// suspended with its machine, or got no processor. One thread records beats
/// at least every kPauseBeatMs; any thread may ask what a pause means for data
/// that it has just read.
#ifndef JT_RUNTIME_PAUSE_H
#define JT_RUNTIME_PAUSE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    kPauseBeatMs = 100,
    kPauseThresholdMs = 450, ///< a longer gap between beats is a pause
    /// For this long after a pause, data that is read may have waited in the
    /// socket since before the pause.
    kPauseBacklogMs = 200
};

typedef struct {
    _Atomic int64_t last_beat_ns; ///< 0: none yet
    _Atomic int64_t begin_ns;     ///< last beat before the latest pause
    _Atomic int64_t end_ns;       ///< first beat after it; 0: no pause yet
} pause_t;

/// Records that the process runs. Called by one thread.
///
/// @return length of the pause that this beat ends, or 0
int64_t pause_record_beat(pause_t *pause, int64_t now_ns);

/// @return since when data that is read now may have waited because of a
///         pause; `now_ns` without a pause
int64_t pause_earliest_arrival_ns(const pause_t *pause, int64_t now_ns);

#endif
