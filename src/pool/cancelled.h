/// Jobs that were cancelled a short time ago. A submission may still be on its
/// way when its job is cancelled, through this node or another one: it is
/// refused for as long as it may take to arrive.
#ifndef JT_POOL_CANCELLED_H
#define JT_POOL_CANCELLED_H

#include <stdbool.h>
#include <stdint.h>

typedef struct cancelled cancelled_t;

cancelled_t *cancelled_create(void);

void cancelled_destroy(cancelled_t *cancelled);

/// Records that a job of a queue was cancelled. With too many in a short time,
/// the oldest ones are forgotten.
void cancelled_add(cancelled_t *cancelled, const char *queue, const char *job,
                   int64_t now_ns);

bool cancelled_has(const cancelled_t *cancelled, const char *queue,
                   const char *job, int64_t now_ns);

#endif
