/// Answers of jobs, built once and packed for the wire.
#ifndef JT_DISPATCH_ANSWERS_H
#define JT_DISPATCH_ANSWERS_H

#include "core/job.h"
#include "dispatch/blob.h"

/// What a job's answer says besides its tasks.
typedef struct {
    const char *reason;
    uint32_t retry_after_ms;
} answer_detail_t;

/// Packs an answer that says only an error kind.
blob_t *answers_build_kind(error_kind_t kind);

/// Packs the answer of a job that has ended. A complete job's answer has
/// every result; a failed one's has a state for each task and no result.
///
/// @param results  by task
blob_t *answers_build(const job_t *job, const bytes_t *results,
                      const answer_detail_t *detail);

/// Packs the state of a job that has not ended.
blob_t *answers_build_state(job_state_t state);

#endif
