#include "runtime/pause.h"

#include "base/units.h"

int64_t
pause_record_beat(pause_t *pause, int64_t now_ns)
{
    int64_t last_ns = atomic_load(&pause->last_beat_ns);
    int64_t gap_ns = last_ns == 0 ? 0 : now_ns - last_ns;
    bool is_pause = gap_ns > MS_TO_NS(kPauseThresholdMs);
    if (is_pause) {
        atomic_store(&pause->begin_ns, last_ns);
        atomic_store(&pause->end_ns, now_ns);
    }
    // Last: a reader that sees this beat also sees the pause that it ends.
    atomic_store(&pause->last_beat_ns, now_ns);
    return is_pause ? gap_ns : 0;
}

int64_t
pause_earliest_arrival_ns(const pause_t *pause, int64_t now_ns)
{
    int64_t last_ns = atomic_load(&pause->last_beat_ns);
    if (last_ns != 0 && now_ns - last_ns > MS_TO_NS(kPauseThresholdMs)) {
        return last_ns; // the pause has not been recorded yet
    }
    int64_t end_ns = atomic_load(&pause->end_ns);
    return end_ns != 0 && now_ns - end_ns < MS_TO_NS(kPauseBacklogMs)
               ? atomic_load(&pause->begin_ns)
               : now_ns;
}
