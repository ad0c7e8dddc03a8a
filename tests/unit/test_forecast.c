/// Run times that are expected of tasks.
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
open_forecast(void)
{
    forecast = forecast_create();
}

/// @return whether a time is within some percent of another
static bool
is_near(uint32_t time_ms, uint32_t other_ms, uint32_t percent)
{
    return time_ms * kPercent >= other_ms * (kPercent - percent) &&
           time_ms * kPercent <= other_ms * (kPercent + percent);
}

static void
test_nothing_known_is_as_declared(void)
{
    open_forecast();
    CU_ASSERT_EQUAL(forecast_expect_ms(forecast, "q", 70), 70);
    CU_ASSERT_EQUAL(forecast_expect_ms(forecast, "q", 0), 0);
    forecast_destroy(forecast);
}

static void
test_exact_declarations_are_followed(void)
{
    rng_t rng = {.state = 1};
    open_forecast();
    for (uint32_t i = 0; i < kSamples; i++) {
        uint32_t time_ms = 50 + rng_below(&rng, 400);
        forecast_learn(forecast, "q", time_ms, time_ms);
    }
    CU_ASSERT(is_near(forecast_expect_ms(forecast, "q", 40), 40, 3));
    CU_ASSERT(is_near(forecast_expect_ms(forecast, "q", 900), 900, 3));
    forecast_destroy(forecast);
}

static void
test_constant_factor_is_learned(void)
{
    rng_t rng = {.state = 2};
    open_forecast();
    for (uint32_t i = 0; i < kSamples; i++) {
        uint32_t time_ms = 50 + rng_below(&rng, 400);
        forecast_learn(forecast, "q", time_ms, 3 * time_ms);
    }
    CU_ASSERT(is_near(forecast_expect_ms(forecast, "q", 100), 300, 5));
    forecast_destroy(forecast);
}

static void
test_random_declarations_are_passed_over(void)
{
    rng_t rng = {.state = 3};
    open_forecast();
    for (uint32_t i = 0; i < kSamples; i++) {
        forecast_learn(forecast, "q", 1 + rng_below(&rng, 2000), 100);
    }
    CU_ASSERT(is_near(forecast_expect_ms(forecast, "q", 2000), 100, 5));
    CU_ASSERT(is_near(forecast_expect_ms(forecast, "q", 0), 100, 5));
    forecast_destroy(forecast);
}

static void
test_half_right_declarations_are_blended(void)
{
    rng_t rng = {.state = 4};
    open_forecast();
    for (uint32_t i = 0; i < kSamples; i++) {
        // Times are off from a middle, and declared ones from times, by
        // independent factors of up to 2.
        double time_ms = 100 * exp2(rng_below(&rng, 2001) / 1000.0 - 1);
        double factor = exp2(rng_below(&rng, 2001) / 1000.0 - 1);
        forecast_learn(forecast, "q", (uint32_t)(time_ms * factor),
                       (uint32_t)time_ms);
    }
    uint32_t expected_ms = forecast_expect_ms(forecast, "q", 400);
    CU_ASSERT(expected_ms > 160 && expected_ms < 320);
    forecast_destroy(forecast);
}

static void
test_queues_are_apart(void)
{
    char name[16];
    open_forecast();
    for (uint32_t i = 0; i < kSamples; i++) {
        for (uint32_t j = 1; j <= kQueues; j++) {
            snprintf(name, sizeof name, "queue-%u", j);
            forecast_learn(forecast, name, 100, 10 * j);
        }
    }
    for (uint32_t j = 1; j <= kQueues; j++) {
        snprintf(name, sizeof name, "queue-%u", j);
        CU_ASSERT(is_near(forecast_expect_ms(forecast, name, 100), 10 * j, 5));
    }
    CU_ASSERT_EQUAL(forecast_expect_ms(forecast, "another", 100), 100);
    forecast_destroy(forecast);
}

/// Queues come and go; those known at once are bounded.
static void
test_queues_are_bounded(void)
{
    char name[16];
    open_forecast();
    for (uint32_t i = 0; i < 3 * kForecastQueues; i++) {
        snprintf(name, sizeof name, "queue-%u", i);
        forecast_learn(forecast, name, 100, 100);
        CU_ASSERT(forecast_count(forecast) <= kForecastQueues);
    }
    CU_ASSERT(forecast_count(forecast) > 0);
    forecast_destroy(forecast);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"where nothing is known, times are as declared",
         test_nothing_known_is_as_declared},
        {"exact declarations are followed",
         test_exact_declarations_are_followed},
        {"a constant factor is learned", test_constant_factor_is_learned},
        {"random declarations are passed over",
         test_random_declarations_are_passed_over},
        {"declarations that are half right are blended",
         test_half_right_declarations_are_blended},
        {"queues are apart", test_queues_are_apart},
        {"queues are bounded", test_queues_are_bounded},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("forecast", tests);
}
