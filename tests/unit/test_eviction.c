/// Which connection is closed first when memory or connections are short.
#include "limit/eviction.h"

#include "base/units.h"
#include "support/suite.h"

static const int64_t now_ns = MS_TO_NS(100000);

static eviction_candidate_t
make(uint64_t held_bytes, uint64_t received_bytes, int64_t age_ms)
{
    return (eviction_candidate_t){.held_bytes = held_bytes,
                                  .received_bytes = received_bytes,
                                  .since_ns = now_ns - MS_TO_NS(age_ms)};
}

static void
check_order(eviction_candidate_t first, eviction_candidate_t second)
{
    CU_ASSERT_TRUE(eviction_goes_before(&first, &second, now_ns));
    CU_ASSERT_FALSE(eviction_goes_before(&second, &first, now_ns));
}

static void
test_stalled_body_goes_first(void)
{
    check_order(make(262144, 262100, 9000), make(262144, 131072, 1500));
    check_order(make(262144, 262100, 9000), make(12000, 1000, 1200));
}

static void
test_slow_body_goes_first(void)
{
    check_order(make(20000, 100, 5000), make(20000, 10000, 5000));
}

static void
test_empty_request_goes_before_idle(void)
{
    check_order(make(10240, 0, 5000), make(0, 0, 5000));
    check_order(make(0, 0, 30000), make(10240, 0, 5000));
}

/// A caller that has just connected is not closed for one that stalls.
static void
test_new_goes_last(void)
{
    check_order(make(262144, 262100, 1000), make(10000, 0, 999));
    check_order(make(262144, 262100, 1000), make(10000, 0, 0));
}

static void
test_proven_goes_last(void)
{
    eviction_candidate_t proven = make(262144, 1, 60000);
    proven.is_proven = true;
    check_order(make(0, 0, 0), proven);
}

static void
test_older_of_equals(void)
{
    check_order(make(10000, 0, 5000), make(10000, 0, 4000));
    check_order(make(10000, 0, 500), make(10000, 0, 400));
}

/// A clock that is read before another thread has set the time.
static void
test_time_ahead(void)
{
    check_order(make(10000, 0, 5000), make(10000, 0, -5));
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a stalled body goes first", test_stalled_body_goes_first},
        {"a slow body goes first", test_slow_body_goes_first},
        {"a request without bytes goes before an idle connection",
         test_empty_request_goes_before_idle},
        {"a new connection goes last", test_new_goes_last},
        {"a connection with valid messages goes last", test_proven_goes_last},
        {"the older of equals", test_older_of_equals},
        {"a time ahead of the clock", test_time_ahead},
        CU_TEST_INFO_NULL,
    };
    return suite_run("eviction", tests);
}
