/// Forecasts of task run times.
#include "pool/forecast.h"

#include <apr_general.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/rng.h"
#include "support/suite.h"

enum { kSamples = 200, kPercent = 100, kQueues = 100 };

static forecast_t *forecast;

static void
create_forecast(void)
{
    forecast = forecast_create();
}

/// @return whether two times differ by at most some percent of the second
static bool
is_near(uint32_t time_ms, uint32_t other_ms, uint32_t percent)
{
    return time_ms * kPercent >= other_ms * (kPercent - percent) &&
           time_ms * kPercent <= other_ms * (kPercent + percent);
}

static void
test_unknown_queue_uses_declared_time(void)
{
    create_forecast();
    CU_ASSERT_EQUAL(forecast_estimate_ms(forecast, "q", 70), 70);
    CU_ASSERT_EQUAL(forecast_estimate_ms(forecast, "q", 0), 0);
    forecast_destroy(forecast);
}

static void
test_exact_declared_times_are_used(void)
{
    rng_t rng = {.state = 1};
    create_forecast();
    for (uint32_t i = 0; i < kSamples; i++) {
        uint32_t time_ms = 50 + rng_below(&rng, 400);
        forecast_record_run_time(forecast, "q", time_ms, time_ms);
    }
    CU_ASSERT(is_near(forecast_estimate_ms(forecast, "q", 40), 40, 3));
    CU_ASSERT(is_near(forecast_estimate_ms(forecast, "q", 900), 900, 3));
    forecast_destroy(forecast);
}

static void
test_constant_factor_is_learned(void)
{
    rng_t rng = {.state = 2};
    create_forecast();
    for (uint32_t i = 0; i < kSamples; i++) {
        uint32_t time_ms = 50 + rng_below(&rng, 400);
        forecast_record_run_time(forecast, "q", time_ms, 3 * time_ms);
    }
    CU_ASSERT(is_near(forecast_estimate_ms(forecast, "q", 100), 300, 5));
    forecast_destroy(forecast);
}

static void
test_random_declared_times_are_ignored(void)
{
    rng_t rng = {.state = 3};
    create_forecast();
    for (uint32_t i = 0; i < kSamples; i++) {
        forecast_record_run_time(forecast, "q", 1 + rng_below(&rng, 2000),
                                 100);
    }
    CU_ASSERT(is_near(forecast_estimate_ms(forecast, "q", 2000), 100, 5));
    CU_ASSERT(is_near(forecast_estimate_ms(forecast, "q", 0), 100, 5));
    forecast_destroy(forecast);
}

static void
test_inexact_declared_times_are_averaged(void)
{
    rng_t rng = {.state = 4};
    create_forecast();
    for (uint32_t i = 0; i < kSamples; i++) {
        // Run times vary around 100 ms by a factor of up to 2, and declared
        // times vary around run times by another, independent one.
        double time_ms = 100 * exp2(rng_below(&rng, 2001) / 1000.0 - 1);
        double factor = exp2(rng_below(&rng, 2001) / 1000.0 - 1);
        forecast_record_run_time(forecast, "q", (uint32_t)(time_ms * factor),
                                 (uint32_t)time_ms);
    }
    uint32_t expected_ms = forecast_estimate_ms(forecast, "q", 400);
    CU_ASSERT(expected_ms > 160 && expected_ms < 320);
    forecast_destroy(forecast);
}

static void
test_queues_are_separate(void)
{
    char name[16];
    create_forecast();
    for (uint32_t i = 0; i < kSamples; i++) {
        for (uint32_t j = 1; j <= kQueues; j++) {
            snprintf(name, sizeof name, "queue-%u", j);
            forecast_record_run_time(forecast, name, 100, 10 * j);
        }
    }
    for (uint32_t j = 1; j <= kQueues; j++) {
        snprintf(name, sizeof name, "queue-%u", j);
        CU_ASSERT(
            is_near(forecast_estimate_ms(forecast, name, 100), 10 * j, 5));
    }
    CU_ASSERT_EQUAL(forecast_estimate_ms(forecast, "another", 100), 100);
    forecast_destroy(forecast);
}

/// Callers may use any number of queues over time; memory must stay bounded.
static void
test_queue_count_is_bounded(void)
{
    char name[16];
    create_forecast();
    for (uint32_t i = 0; i < 3 * kForecastQueueLimit; i++) {
        snprintf(name, sizeof name, "queue-%u", i);
        forecast_record_run_time(forecast, name, 100, 100);
        CU_ASSERT(forecast_count_queues(forecast) <= kForecastQueueLimit);
    }
    CU_ASSERT(forecast_count_queues(forecast) > 0);
    forecast_destroy(forecast);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a queue without statistics uses declared times",
         test_unknown_queue_uses_declared_time},
        {"exact declared times are used", test_exact_declared_times_are_used},
        {"a constant factor is learned", test_constant_factor_is_learned},
        {"random declared times are ignored",
         test_random_declared_times_are_ignored},
        {"inexact declared times are averaged with the mean",
         test_inexact_declared_times_are_averaged},
        {"queues have separate statistics", test_queues_are_separate},
        {"the number of queues is bounded", test_queue_count_is_bounded},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("forecast", tests);
}
