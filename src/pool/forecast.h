/// Forecasts the run time of a task from the time that its caller declared,
/// from the mean run time of its queue, or from the average of both, whichever
/// has had the smallest error for that queue. Run times vary by factors rather
/// than by offsets, so means and errors are computed on binary logarithms of
/// times in milliseconds. They are stored in units of 1/1000 (`log2_milli`):
/// a difference of 1000 is a factor of 2.
#ifndef JT_POOL_FORECAST_H
#define JT_POOL_FORECAST_H

#include <stdint.h>

enum { kForecastQueueLimit = 1024 }; ///< queues with statistics at a time

/// Not thread-safe: used by one thread only.
typedef struct forecast forecast_t;

forecast_t *forecast_create(void);

void forecast_destroy(forecast_t *forecast);

/// @return the number of queues that have statistics
uint32_t forecast_count_queues(const forecast_t *forecast);

/// @return the expected run time of a task on a target of normal speed, in
///         milliseconds
///
/// @param declared_ms  run time that the caller declared; 0 for none
uint32_t forecast_estimate_ms(const forecast_t *forecast, const char *queue,
                              uint32_t declared_ms);

/// Updates the statistics of a queue with the run time of a completed task.
///
/// @param run_time_ms  run time, scaled to a target of normal speed
void forecast_record_run_time(forecast_t *forecast, const char *queue,
                              uint32_t declared_ms, uint32_t run_time_ms);

/// Records the work of a new job of a queue, in 1/1000 core * 1 ms.
void forecast_record_work(forecast_t *forecast, const char *queue,
                          uint64_t work);

/// @return the mean work of the jobs of a queue; 0 if it is not known
uint64_t forecast_read_mean_work(const forecast_t *forecast,
                                 const char *queue);

#endif
