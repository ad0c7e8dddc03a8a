/// What run time to expect of a task: the declared one, the usual one of its
/// queue, or a blend of both, whichever has come closest for that queue. Times
/// are spread by factors, so that means and errors are of their logarithms, in
/// 1/1000 of a doubling.
#ifndef JT_POOL_FORECAST_H
#define JT_POOL_FORECAST_H

#include <stdint.h>

enum { kForecastKinds = 64 };

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

typedef struct {
    forecast_kind_t kinds[kForecastKinds]; ///< by a hash of the queue's name
} forecast_t;

/// @return the run time to expect of a task on a sound target, in milliseconds
///
/// @param declared_ms  what its caller expects; 0: nothing
uint32_t forecast_expect_ms(const forecast_t *forecast, const char *queue,
                            uint32_t declared_ms);

/// Learns from a task that is done.
///
/// @param took_ms  its run time on a sound target
void forecast_learn(forecast_t *forecast, const char *queue,
                    uint32_t declared_ms, uint32_t took_ms);

#endif
