#include "pool/forecast.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <math.h>
#include <stdlib.h>

#include "base/arena.h"

enum {
    kMeanSamples = 32, ///< a new value has a weight of at least 1/32
    kMinSamples = 8,   ///< until then the declared time is used as it is
    kMillilogPerDoubling = 1000,
    kBlendCount = 2 ///< values in a blend, of equal weight
};

/// How a run time is forecast.
typedef enum {
    kForecastDeclared,
    kForecastBlend,
    kForecastMean,
    kForecastMethodCount
} forecast_method_t;

/// Statistics of the tasks of one queue, scaled to targets of normal speed.
typedef struct {
    uint32_t sample_count;
    int32_t mean_millilog; ///< mean run time; 0 is 1 ms
    int32_t bias_millilog; ///< mean ratio of run time to declared time
    /// Mean absolute error of each method.
    int32_t error_millilog[kForecastMethodCount];
} forecast_stats_t;

struct forecast {
    arena_t *arena;
    apr_hash_t *queues; ///< forecast_stats_t by queue name
};

typedef int32_t (*forecast_method_fn_t)(const forecast_stats_t *stats,
                                        int32_t declared_millilog);

static int32_t
expect_declared(const forecast_stats_t *stats, int32_t declared_millilog)
{
    return declared_millilog + stats->bias_millilog;
}

static int32_t
expect_mean(const forecast_stats_t *stats, int32_t declared_millilog)
{
    (void)declared_millilog;
    return stats->mean_millilog;
}

static int32_t
expect_blend(const forecast_stats_t *stats, int32_t declared_millilog)
{
    return (expect_declared(stats, declared_millilog) +
            expect_mean(stats, declared_millilog)) /
           kBlendCount;
}

static const forecast_method_fn_t methods[] = {[kForecastDeclared] =
                                                   expect_declared,
                                               [kForecastBlend] = expect_blend,
                                               [kForecastMean] = expect_mean};

static int32_t
to_millilog(uint32_t time_ms)
{
    return (int32_t)lround(log2(time_ms > 0 ? time_ms : 1) *
                           kMillilogPerDoubling);
}

static uint32_t
from_millilog(int32_t millilog)
{
    return (uint32_t)lround(exp2((double)millilog / kMillilogPerDoubling));
}

forecast_t *
forecast_create(void)
{
    forecast_t *forecast = calloc(1, sizeof *forecast);
    forecast->arena = arena_create();
    forecast->queues = apr_hash_make(forecast->arena);
    return forecast;
}

void
forecast_destroy(forecast_t *forecast)
{
    arena_destroy(forecast->arena);
    free(forecast);
}

uint32_t
forecast_count_queues(const forecast_t *forecast)
{
    return apr_hash_count(forecast->queues);
}

/// Finds the statistics of a queue, or creates them. Callers may use any
/// number of queues over time, so all statistics are discarded when the limit
/// is reached.
static forecast_stats_t *
find_stats(forecast_t *forecast, const char *queue)
{
    forecast_stats_t *stats =
        apr_hash_get(forecast->queues, queue, APR_HASH_KEY_STRING);
    if (stats != NULL) {
        return stats;
    }
    if (apr_hash_count(forecast->queues) >= kForecastQueueLimit) {
        arena_destroy(forecast->arena);
        forecast->arena = arena_create();
        forecast->queues = apr_hash_make(forecast->arena);
    }
    stats = apr_pcalloc(forecast->arena, sizeof *stats);
    apr_hash_set(forecast->queues, apr_pstrdup(forecast->arena, queue),
                 APR_HASH_KEY_STRING, stats);
    return stats;
}

uint32_t
forecast_estimate_ms(const forecast_t *forecast, const char *queue,
                     uint32_t declared_ms)
{
    const forecast_stats_t *stats =
        apr_hash_get(forecast->queues, queue, APR_HASH_KEY_STRING);
    if (stats == NULL || stats->sample_count < kMinSamples) {
        return declared_ms;
    }
    if (declared_ms == 0) {
        return from_millilog(stats->mean_millilog);
    }
    forecast_method_t best = kForecastDeclared;
    for (uint32_t i = 0; i < kForecastMethodCount; i++) {
        if (stats->error_millilog[i] < stats->error_millilog[best]) {
            best = i;
        }
    }
    return from_millilog(methods[best](stats, to_millilog(declared_ms)));
}

/// @return the mean with a new value added, whose weight is 1/sample_count up
///         to kMeanSamples and constant from then on
static int32_t
average_in(int32_t mean, int32_t value, uint32_t sample_count)
{
    int32_t samples =
        (int32_t)(sample_count < kMeanSamples ? sample_count : kMeanSamples);
    return mean + (value - mean) / samples;
}

void
forecast_record_run_time(forecast_t *forecast, const char *queue,
                         uint32_t declared_ms, uint32_t took_ms)
{
    forecast_stats_t *stats = find_stats(forecast, queue);
    uint32_t count = ++stats->sample_count;
    int32_t took = to_millilog(took_ms);
    int32_t declared = declared_ms > 0 ? to_millilog(declared_ms) : took;
    for (uint32_t i = 0; i < kForecastMethodCount && count > 1; i++) {
        stats->error_millilog[i] =
            average_in(stats->error_millilog[i],
                       abs(methods[i](stats, declared) - took), count);
    }
    stats->mean_millilog = average_in(stats->mean_millilog, took, count);
    stats->bias_millilog =
        average_in(stats->bias_millilog, took - declared, count);
}
