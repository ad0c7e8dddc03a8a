/// The jobs of a shard, from their first submission until their records are
/// dropped.
#ifndef JT_DISPATCH_JOBS_H
#define JT_DISPATCH_JOBS_H

#include "dispatch/dispatch.h"

enum { kDigestBytes = 32 };

typedef struct task_try try_t;

/// A request that names a job. Which fields are set depends on the message.
typedef struct {
    reply_to_t reply_to;
    job_id_t id;
    bool has_digest;
    uint8_t digest[kDigestBytes]; ///< hash of the submitted body
    int64_t deadline_ns;
    job_document_t document;
    arena_t *arena; ///< owns the document; moves to the job or is freed
} job_request_t;

/// A request that waits for the answer of a job.
typedef struct waiter {
    struct waiter *next;
    reply_to_t reply_to;
} waiter_t;

/// A job that has not ended, or one that has and whose answer is held.
struct job_record {
    shard_t *shard;
    uint64_t sequence;
    uint8_t digest[kDigestBytes];
    waiter_t *waiters;
    bool is_unsubmitted; ///< cancelled before its submission arrived

    job_t job; ///< its tasks are freed when the job ends
    char id_text[kJobIdTextBytes];
    arena_t *arena; ///< owns the next four fields; freed when the job ends
    job_document_t document;
    bytes_t *results;  ///< indexed by task
    try_t **tries;     ///< indexed by task; NULL where no try is running
    job_part_t *parts; ///< waiting tasks, grouped by needs
    uint32_t priority;
    int64_t earliest_end_ns; ///< estimate made when the job was admitted
    uint32_t backoff_count;  ///< tasks in backoff
    loop_timer_t deadline;

    blob_t *answer; ///< NULL until the job ends
    int64_t hold_until_ns;
    job_record_t *next_held;
};

/// Serves a submission. The first one under an id starts or refuses the job;
/// repeated ones with the same body get the same answer.
void jobs_submit(shard_t *shard, job_request_t *request);

/// Serves a read with the job's answer, or its state if it has not ended.
void jobs_read(shard_t *shard, job_request_t *request);

/// Serves a cancellation. The job's answer is sent when the job has ended.
void jobs_cancel(shard_t *shard, job_request_t *request);

/// Applies an event to a job and carries out the actions that follow.
void jobs_apply(job_record_t *record, const job_event_t *event);

/// @return the part of a job that a task belongs to, or NULL
job_part_t *jobs_find_part(job_record_t *record, uint32_t task);

/// Frees the held records whose hold time has passed.
void jobs_on_hold_timer(loop_timer_t *timer);

#endif
