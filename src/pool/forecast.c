#include "pool/forecast.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <math.h>
#include <stdlib.h>

#include "base/arena.h"

enum {
    kMeanSampleLimit = 32, ///< a new value has a weight of at least 1/32
    kMinSampleCount = 8,   ///< until then the declared time is used as it is
    kLog2MilliPerDoubling = 1000,
    kWorkSampleLimit = 256, ///< a new job has a weight of at least 1/256
    kBlendCount = 2         ///< values in a blend, of equal weight
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
    int32_t mean_log2_milli; ///< mean run time; 0 is 1 ms
    int32_t bias_log2_milli; ///< mean ratio of run time to declared time
    /// Mean absolute error of each method.
    int32_t error_log2_milli[kForecastMethodCount];
    uint64_t job_count;
    uint64_t mean_work; ///< of a job, in 1/1000 core * 1 ms
} forecast_stats_t;

struct forecast {
    arena_t *arena;
    apr_hash_t *queues; ///< forecast_stats_t by queue name
};

typedef int32_t (*forecast_method_fn_t)(const forecast_stats_t *stats,
                                        int32_t declared_log2_milli);

static int32_t
estimate_from_declared(const forecast_stats_t *stats,
                       int32_t declared_log2_milli)
{
    return declared_log2_milli + stats->bias_log2_milli;
}

static int32_t
estimate_from_mean(const forecast_stats_t *stats, int32_t declared_log2_milli)
{
    (void)declared_log2_milli;
    return stats->mean_log2_milli;
}

static int32_t
estimate_from_blend(const forecast_stats_t *stats, int32_t declared_log2_milli)
{
    return (estimate_from_declared(stats, declared_log2_milli) +
            estimate_from_mean(stats, declared_log2_milli)) /
           kBlendCount;
}

static const forecast_method_fn_t methods[] = {
    [kForecastDeclared] = estimate_from_declared,
    [kForecastBlend] = estimate_from_blend,
    [kForecastMean] = estimate_from_mean};

static int32_t
to_log2_milli(uint32_t time_ms)
{
    return (int32_t)lround(log2(time_ms > 0 ? time_ms : 1) *
                           kLog2MilliPerDoubling);
}

static uint32_t
from_log2_milli(int32_t log2_milli)
{
    return (uint32_t)lround(exp2((double)log2_milli / kLog2MilliPerDoubling));
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
    if (stats == NULL || stats->sample_count < kMinSampleCount) {
        return declared_ms;
    }
    if (declared_ms == 0) {
        return from_log2_milli(stats->mean_log2_milli);
    }
    forecast_method_t best = kForecastDeclared;
    for (uint32_t i = 0; i < kForecastMethodCount; i++) {
        if (stats->error_log2_milli[i] < stats->error_log2_milli[best]) {
            best = i;
        }
    }
    return from_log2_milli(methods[best](stats, to_log2_milli(declared_ms)));
}

/// @return the mean with a new value added, whose weight is 1/sample_count up
///         to kMeanSampleLimit and constant from then on
static int32_t
update_mean(int32_t mean, int32_t value, uint32_t sample_count)
{
    int32_t samples =
        (int32_t)(sample_count < kMeanSampleLimit ? sample_count
                                                  : kMeanSampleLimit);
    return mean + (value - mean) / samples;
}

void
forecast_record_run_time(forecast_t *forecast, const char *queue,
                         uint32_t declared_ms, uint32_t run_time_ms)
{
    forecast_stats_t *stats = find_stats(forecast, queue);
    uint32_t count = ++stats->sample_count;
    int32_t run_log2_milli = to_log2_milli(run_time_ms);
    int32_t declared_log2_milli =
        declared_ms > 0 ? to_log2_milli(declared_ms) : run_log2_milli;
    for (uint32_t i = 0; i < kForecastMethodCount && count > 1; i++) {
        stats->error_log2_milli[i] = update_mean(
            stats->error_log2_milli[i],
            abs(methods[i](stats, declared_log2_milli) - run_log2_milli),
            count);
    }
    stats->mean_log2_milli =
        update_mean(stats->mean_log2_milli, run_log2_milli, count);
    stats->bias_log2_milli = update_mean(
        stats->bias_log2_milli, run_log2_milli - declared_log2_milli, count);
}

void
forecast_record_work(forecast_t *forecast, const char *queue, uint64_t work)
{
    forecast_stats_t *stats = find_stats(forecast, queue);
    stats->job_count++;
    int64_t samples =
        (int64_t)(stats->job_count < kWorkSampleLimit ? stats->job_count
                                                      : kWorkSampleLimit);
    stats->mean_work =
        (uint64_t)((int64_t)stats->mean_work +
                   ((int64_t)work - (int64_t)stats->mean_work) / samples);
}

uint64_t
forecast_read_mean_work(const forecast_t *forecast, const char *queue)
{
    const forecast_stats_t *stats =
        apr_hash_get(forecast->queues, queue, APR_HASH_KEY_STRING);
    return stats == NULL ? 0 : stats->mean_work;
}
