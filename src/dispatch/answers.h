/// Answers to requests about jobs. An answer is built and packed once, however
/// many requests it is sent to.
#ifndef JT_DISPATCH_ANSWERS_H
#define JT_DISPATCH_ANSWERS_H

#include "core/job.h"
#include "dispatch/blob.h"

/// Optional fields of the answer to an ended job.
typedef struct {
    const char *reason;      ///< NULL to use the text of the error kind
    uint32_t retry_after_ms; ///< 0 for unknown
} answer_detail_t;

/// Packs an answer that holds only an error kind.
blob_t *answers_build_error(error_kind_t kind);

/// Packs the answer of a job that has ended. It has the state of every task;
/// the answer of a complete job also has the results.
///
/// @param results  indexed by task
blob_t *answers_build(const job_t *job, const bytes_t *results,
                      const answer_detail_t *detail);

/// Packs the state of a job that has not ended.
blob_t *answers_build_state(job_state_t state);

#endif
