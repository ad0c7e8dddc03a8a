/// What run time to expect of a task: the declared one, the usual one of its
/// queue, or a blend of both, whichever has come closest for that queue. Times
/// are spread by factors, so that means and errors are of their logarithms, in
/// 1/1000 of a doubling.
#ifndef JT_POOL_FORECAST_H
#define JT_POOL_FORECAST_H

#include <stdint.h>

enum { kForecastQueues = 1024 }; ///< known at once

/// Kept by one thread.
typedef struct forecast forecast_t;

forecast_t *forecast_create(void);

void forecast_destroy(forecast_t *forecast);

/// @return how many queues are known
uint32_t forecast_count(const forecast_t *forecast);

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
