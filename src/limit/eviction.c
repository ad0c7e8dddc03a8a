#include "limit/eviction.h"

#include "base/units.h"

enum {
    kNewMs = 1000, ///< a connection that is younger goes last
    /// What any request holds, whatever it has received. Without it, a small
    /// request would seem to make less progress than a large one that stalls.
    kBaseBytes = 10240
};

static int64_t
age_ns(const eviction_candidate_t *candidate, int64_t now_ns)
{
    int64_t age = now_ns - candidate->since_ns;
    return age > 0 ? age : 1;
}

/// @return the share of the memory it holds that a connection has filled per
///         nanosecond of its age
static double
progress(const eviction_candidate_t *candidate, int64_t now_ns)
{
    return (double)(candidate->received_bytes + kBaseBytes) /
           ((double)(candidate->held_bytes + kBaseBytes) *
            (double)age_ns(candidate, now_ns));
}

bool
eviction_goes_before(const eviction_candidate_t *left,
                     const eviction_candidate_t *right, int64_t now_ns)
{
    if (left->is_proven != right->is_proven) {
        return right->is_proven;
    }
    bool is_left_new = age_ns(left, now_ns) < MS_TO_NS(kNewMs);
    bool is_right_new = age_ns(right, now_ns) < MS_TO_NS(kNewMs);
    if (is_left_new != is_right_new) {
        return is_right_new;
    }
    double left_progress = progress(left, now_ns);
    double right_progress = progress(right, now_ns);
    return left_progress != right_progress ? left_progress < right_progress
                                           : left->since_ns < right->since_ns;
}
