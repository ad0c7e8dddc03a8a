/// The age of messages on a link between two clocks that differ.
#include "net/link_clock.h"

#include "base/units.h"
#include "support/suite.h"

static const int64_t start_ns = MS_TO_NS(5000000);
/// The sender's clock is ahead.
static const int64_t sender_ahead_ns = MS_TO_NS(7000000);

static uint64_t
stamp_us(int64_t sent_ns)
{
    return link_clock_stamp_us(sent_ns + sender_ahead_ns);
}

static void
test_delay_is_age(void)
{
    link_clock_t clock = {0};
    CU_ASSERT_EQUAL(
        link_clock_read_age_ns(&clock, stamp_us(start_ns), start_ns), 0);
    int64_t sent_ns = start_ns + MS_TO_NS(100);
    CU_ASSERT_EQUAL(link_clock_read_age_ns(&clock, stamp_us(sent_ns), sent_ns),
                    0);
    int64_t late_ns = sent_ns + MS_TO_NS(3000);
    int64_t age_ns =
        link_clock_read_age_ns(&clock, stamp_us(sent_ns), late_ns);
    CU_ASSERT(age_ns > MS_TO_NS(2990) && age_ns <= MS_TO_NS(3000));
}

/// The first message was delayed: a faster one corrects the estimate.
static void
test_faster_message_corrects(void)
{
    link_clock_t clock = {0};
    link_clock_read_age_ns(&clock, stamp_us(start_ns),
                           start_ns + MS_TO_NS(200));
    int64_t sent_ns = start_ns + MS_TO_NS(300);
    CU_ASSERT_EQUAL(link_clock_read_age_ns(&clock, stamp_us(sent_ns), sent_ns),
                    0);
    int64_t age_ns = link_clock_read_age_ns(&clock, stamp_us(sent_ns),
                                            sent_ns + MS_TO_NS(200));
    CU_ASSERT(age_ns > MS_TO_NS(199));
}

/// Clocks that drift apart by 200 ppm for an hour make no message old.
static void
test_drift_is_no_age(void)
{
    link_clock_t clock = {0};
    int64_t age_ns = 0;
    for (int64_t s = 0; s < 3600; s++) {
        int64_t sent_ns = start_ns + s * MS_TO_NS(1000);
        age_ns = link_clock_read_age_ns(&clock, stamp_us(sent_ns),
                                        sent_ns + s * 200 * 1000);
    }
    CU_ASSERT(age_ns < MS_TO_NS(1));
}

static void
test_sender_without_clock(void)
{
    link_clock_t clock = {0};
    CU_ASSERT_EQUAL(link_clock_read_age_ns(&clock, 0, start_ns), 0);
    CU_ASSERT_EQUAL(link_clock_read_age_ns(&clock, UINT64_MAX, start_ns), 0);
    CU_ASSERT_FALSE(clock.is_known);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a delay is the age of a message", test_delay_is_age},
        {"a faster message corrects the estimate",
         test_faster_message_corrects},
        {"drift is no age", test_drift_is_no_age},
        {"a sender that does not state the time", test_sender_without_clock},
        CU_TEST_INFO_NULL,
    };
    return suite_run("link_clock", tests);
}
