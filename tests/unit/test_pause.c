/// Detection of pauses, on a virtual clock.
#include "runtime/pause.h"

#include "base/units.h"
#include "support/suite.h"

static const int64_t start_ns = MS_TO_NS(1000000);

static void
test_short_gap_is_no_pause(void)
{
    pause_t pause = {0};
    CU_ASSERT_EQUAL(pause_record_beat(&pause, start_ns), 0);
    int64_t now_ns = start_ns + MS_TO_NS(kPauseThresholdMs);
    CU_ASSERT_EQUAL(pause_earliest_arrival_ns(&pause, now_ns), now_ns);
    CU_ASSERT_EQUAL(pause_record_beat(&pause, now_ns), 0);
    CU_ASSERT_EQUAL(pause_earliest_arrival_ns(&pause, now_ns), now_ns);
}

/// A thread reads data before the beat that ends the pause.
static void
test_unrecorded_pause_counts(void)
{
    pause_t pause = {0};
    pause_record_beat(&pause, start_ns);
    int64_t now_ns = start_ns + MS_TO_NS(3000);
    CU_ASSERT_EQUAL(pause_earliest_arrival_ns(&pause, now_ns), start_ns);
}

/// A thread reads data after that beat, but the data came during the pause.
static void
test_recorded_pause_counts_for_backlog(void)
{
    pause_t pause = {0};
    pause_record_beat(&pause, start_ns);
    int64_t end_ns = start_ns + MS_TO_NS(3000);
    CU_ASSERT_EQUAL(pause_record_beat(&pause, end_ns), MS_TO_NS(3000));
    CU_ASSERT_EQUAL(pause_earliest_arrival_ns(&pause, end_ns), start_ns);
    int64_t next_ns = end_ns + MS_TO_NS(kPauseBeatMs);
    pause_record_beat(&pause, next_ns);
    CU_ASSERT_EQUAL(pause_earliest_arrival_ns(&pause, next_ns), start_ns);
    int64_t later_ns = end_ns + MS_TO_NS(kPauseBacklogMs);
    CU_ASSERT_EQUAL(pause_earliest_arrival_ns(&pause, later_ns), later_ns);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a short gap is no pause", test_short_gap_is_no_pause},
        {"a pause counts before its end is recorded",
         test_unrecorded_pause_counts},
        {"a pause counts for what waited in sockets",
         test_recorded_pause_counts_for_backlog},
        CU_TEST_INFO_NULL,
    };
    return suite_run("pause", tests);
}
