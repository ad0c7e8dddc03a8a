/// The jobs of a shard, from their first submission until their record is
/// dropped.
#ifndef JT_DISPATCH_JOBS_H
#define JT_DISPATCH_JOBS_H

#include "dispatch/dispatch.h"

enum { kDigestBytes = 32 };

typedef struct task_try try_t;

/// A request about a job, on its way to the shard that owns the id.
typedef struct {
    reply_to_t reply_to;
    job_id_t id;
    bool has_digest;
    uint8_t digest[kDigestBytes]; ///< of the caller's body
    int64_t deadline_ns;
    job_document_t document;
    arena_t *arena; ///< of the document; passes to the job or is freed
} job_request_t;

/// Somebody who waits for a job's answer.
typedef struct waiter {
    struct waiter *next;
    reply_to_t to;
} waiter_t;

/// A job: running, or finished and held.
struct job_record {
    shard_t *shard;
    uint64_t sequence;
    uint8_t digest[kDigestBytes];
    waiter_t *waiters;
    bool is_unsubmitted; ///< cancelled before any submission came

    job_t job; ///< its tasks are freed at the end
    char id_text[kJobIdTextBytes];
    arena_t *arena; ///< of all below; freed at the end
    job_document_t document;
    bytes_t *results; ///< by task
    try_t **tries;    ///< by task; NULL where none is out
    job_part_t *parts;
    uint32_t priority;
    int64_t best_end_ns;    ///< when the job can end at the earliest
    uint32_t backoff_count; ///< of its tasks, waiting for their time
    loop_timer_t deadline;

    blob_t *answer; ///< NULL until the end
    int64_t hold_until_ns;
    job_record_t *next_held;
};

/// Serves a submission: starts the job, joins it or answers from its record.
void jobs_submit(shard_t *shard, job_request_t *request);

/// Serves a read: the answer, or the state of a job that has not ended.
void jobs_read(shard_t *shard, job_request_t *request);

/// Serves a cancellation; the answer follows when the job has ended.
void jobs_cancel(shard_t *shard, job_request_t *request);

/// Applies an event and does what it asks for.
void jobs_apply(job_record_t *record, const job_event_t *event);

/// @return the part that a task waits in
job_part_t *jobs_find_part(job_record_t *record, uint32_t task);

/// Drops records whose time is over.
void jobs_end_hold(loop_timer_t *timer);

#endif
