#include "dispatch/answers.h"

#include <stdlib.h>

#include "codec/pack.h"

static blob_t *
pack_answer(const job_answer_t *answer)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    pack_write(&buffer, &job_answer_desc, answer);
    blob_t *blob = blob_create(buffer.data, (uint32_t)buffer.size);
    msgpack_sbuffer_destroy(&buffer);
    return blob;
}

blob_t *
answers_build_error(error_kind_t kind)
{
    job_answer_t answer = {.state = kJobStateNone,
                           .kind = kind,
                           .reason = error_answers[kind].text,
                           .not_run =
                               error_answers[kind].run == kRunStatusNotRun};
    return pack_answer(&answer);
}

blob_t *
answers_build_state(job_state_t state)
{
    job_answer_t answer = {.state = state, .reason = ""};
    return pack_answer(&answer);
}

/// @return whether it is proven that no task of an ended job started
static bool
all_tasks_not_run(const job_t *job)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].state != kTaskStateNotRun) {
            return false;
        }
    }
    return true;
}

blob_t *
answers_build(const job_t *job, const bytes_t *results,
              const answer_detail_t *detail)
{
    bool is_complete = job->state == kJobStateComplete;
    job_answer_t answer = {
        .state = job->state,
        .kind = job->kind,
        .reason = detail->reason != NULL ? detail->reason
                                         : error_answers[job->kind].text,
        .retry_after_ms = detail->retry_after_ms,
        .not_run = all_tasks_not_run(job),
        .tasks = calloc(job->task_count, sizeof(task_answer_t)),
        .tasks_count = job->task_count};
    for (uint32_t i = 0; i < job->task_count; i++) {
        answer.tasks[i] =
            (task_answer_t){.state = job->tasks[i].state,
                            .kind = job->tasks[i].kind,
                            .result = is_complete ? results[i] : (bytes_t){0}};
    }
    blob_t *blob = pack_answer(&answer);
    free(answer.tasks);
    return blob;
}
