#include "pool/forecast.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <math.h>
#include <stdlib.h>

#include "base/arena.h"

enum {
    kMeanWeight = 32,  ///< one part in so many of a new value counts
    kLeastSamples = 8, ///< before anything but the declared time is used
    kDoubling = 1000,  ///< logarithm of 2
    kBlendParts = 2    ///< of the declared and of the usual time, equal
};

/// The ways to expect a run time.
typedef enum {
    kForecastDeclared,
    kForecastBlend,
    kForecastUsual,
    kForecastWayCount
} forecast_way_t;

/// What is known of the tasks of a queue. Times are on a sound target.
typedef struct {
    uint32_t sample_count;
    int32_t usual_millilog; ///< mean of run times in milliseconds
    int32_t bias_millilog;  ///< mean of run times over declared ones
    int32_t error_millilog[kForecastWayCount]; ///< mean distance of each way
} forecast_kind_t;

struct forecast {
    arena_t *arena;
    apr_hash_t *kinds; ///< forecast_kind_t by name of the queue
};

typedef int32_t (*expect_t)(const forecast_kind_t *kind,
                            int32_t declared_millilog);

static int32_t
expect_declared(const forecast_kind_t *kind, int32_t declared_millilog)
{
    return declared_millilog + kind->bias_millilog;
}

static int32_t
expect_usual(const forecast_kind_t *kind, int32_t declared_millilog)
{
    (void)declared_millilog;
    return kind->usual_millilog;
}

static int32_t
expect_blend(const forecast_kind_t *kind, int32_t declared_millilog)
{
    return (expect_declared(kind, declared_millilog) +
            expect_usual(kind, declared_millilog)) /
           kBlendParts;
}

static const expect_t ways[] = {[kForecastDeclared] = expect_declared,
                                [kForecastBlend] = expect_blend,
                                [kForecastUsual] = expect_usual};

static int32_t
log_of(uint32_t time_ms)
{
    return (int32_t)lround(log2(time_ms > 0 ? time_ms : 1) * kDoubling);
}

static uint32_t
time_of(int32_t millilog)
{
    return (uint32_t)lround(exp2((double)millilog / kDoubling));
}

forecast_t *
forecast_create(void)
{
    forecast_t *forecast = calloc(1, sizeof *forecast);
    forecast->arena = arena_create();
    forecast->kinds = apr_hash_make(forecast->arena);
    return forecast;
}

void
forecast_destroy(forecast_t *forecast)
{
    arena_destroy(forecast->arena);
    free(forecast);
}

uint32_t
forecast_count(const forecast_t *forecast)
{
    return apr_hash_count(forecast->kinds);
}

/// @return what is known of a queue; made where there is nothing. Starts over
///         where too many are known, as queues come and go.
static forecast_kind_t *
find_kind(forecast_t *forecast, const char *queue)
{
    forecast_kind_t *kind =
        apr_hash_get(forecast->kinds, queue, APR_HASH_KEY_STRING);
    if (kind != NULL) {
        return kind;
    }
    if (apr_hash_count(forecast->kinds) >= kForecastQueues) {
        arena_destroy(forecast->arena);
        forecast->arena = arena_create();
        forecast->kinds = apr_hash_make(forecast->arena);
    }
    kind = apr_pcalloc(forecast->arena, sizeof *kind);
    apr_hash_set(forecast->kinds, apr_pstrdup(forecast->arena, queue),
                 APR_HASH_KEY_STRING, kind);
    return kind;
}

uint32_t
forecast_expect_ms(const forecast_t *forecast, const char *queue,
                   uint32_t declared_ms)
{
    const forecast_kind_t *kind =
        apr_hash_get(forecast->kinds, queue, APR_HASH_KEY_STRING);
    if (kind == NULL || kind->sample_count < kLeastSamples) {
        return declared_ms;
    }
    if (declared_ms == 0) {
        return time_of(kind->usual_millilog);
    }
    forecast_way_t best = kForecastDeclared;
    for (uint32_t i = 0; i < kForecastWayCount; i++) {
        if (kind->error_millilog[i] < kind->error_millilog[best]) {
            best = i;
        }
    }
    return time_of(ways[best](kind, log_of(declared_ms)));
}

/// @return a mean with a new value; the first values count more
static int32_t
add_to_mean(int32_t mean, int32_t value, uint32_t sample_count)
{
    int32_t parts =
        (int32_t)(sample_count < kMeanWeight ? sample_count : kMeanWeight);
    return mean + (value - mean) / parts;
}

void
forecast_learn(forecast_t *forecast, const char *queue, uint32_t declared_ms,
               uint32_t took_ms)
{
    forecast_kind_t *kind = find_kind(forecast, queue);
    uint32_t count = ++kind->sample_count;
    int32_t took = log_of(took_ms);
    int32_t declared = declared_ms > 0 ? log_of(declared_ms) : took;
    for (uint32_t i = 0; i < kForecastWayCount && count > 1; i++) {
        kind->error_millilog[i] =
            add_to_mean(kind->error_millilog[i],
                        abs(ways[i](kind, declared) - took), count);
    }
    kind->usual_millilog = add_to_mean(kind->usual_millilog, took, count);
    kind->bias_millilog =
        add_to_mean(kind->bias_millilog, took - declared, count);
}
