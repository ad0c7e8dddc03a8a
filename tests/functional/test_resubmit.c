/// Resubmission and cancellation. Whatever callers send, and in whatever
/// order, a task starts at most once and a job has one answer.
#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/suite.h"

enum {
    kCopies = 50,
    kTasks = 5,
    kJobBytes = 4096,
    kLargeBytes = 5000000,             ///< above body_limit_bytes
    kSequenceEnd = 2 * (2 + 4 + 8 + 8) ///< of the sequence number in an id
};

static cluster_t cluster;

/// 50 copies of a submission, sent at once through all fronts, start each task
/// once and get the same answer.
static void
test_copies_at_once(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t copies[kCopies];
    uint64_t before = cluster_read_counter(&cluster, "starts");
    cluster_format_job(job, sizeof job, kTasks, 100, 20000);
    cluster_create_job_id(&cluster, 0, id);
    for (uint32_t i = 0; i < kCopies; i++) {
        cluster_fill_submission(&cluster, i % cluster.vm_count, id, job,
                                &copies[i]);
    }
    caller_send_all(copies, kCopies);
    for (uint32_t i = 0; i < kCopies; i++) {
        CU_ASSERT_EQUAL(copies[i].status, 200);
        CU_ASSERT_STRING_EQUAL(copies[i].reply, copies[0].reply);
    }
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts") - before, kTasks);
    caller_free_replies(copies, kCopies);
}

/// A resubmission and a read after the job has ended, both through the other
/// data centre, get the same answer.
static void
test_after_the_end(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t first;
    caller_request_t again;
    caller_request_t read;
    cluster_format_job(job, sizeof job, kTasks, 10, 20000);
    cluster_create_job_id(&cluster, 0, id);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &first), 200);
    uint64_t before = cluster_read_counter(&cluster, "starts");
    CU_ASSERT_EQUAL(
        cluster_submit(&cluster, cluster.vm_count - 1, id, job, &again), 200);
    CU_ASSERT_STRING_EQUAL(first.reply, again.reply);
    caller_send(&read, "GET", NULL, "http://%s:8080/v1/jobs/%s",
                cluster.vms[cluster.vm_count - 1].address, id);
    CU_ASSERT_STRING_EQUAL(first.reply, read.reply);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), before);
    caller_free_replies(&first, 1);
    caller_free_replies(&again, 1);
    caller_free_replies(&read, 1);
}

/// Another body under the same id is refused and starts nothing.
static void
test_other_body(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t request;
    cluster_format_job(job, sizeof job, kTasks, 10, 20000);
    cluster_create_job_id(&cluster, 0, id);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &request), 200);
    caller_free_replies(&request, 1);
    uint64_t before = cluster_read_counter(&cluster, "starts");
    cluster_format_job(job, sizeof job, kTasks + 1, 10, 20000);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &request), 409);
    CU_ASSERT(caller_reply_contains(&request, "\"kind\":\"conflict\""));
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), before);
    caller_free_replies(&request, 1);
}

/// An id that was guessed by changing the sequence number is rejected.
static void
test_guessed_id(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t request;
    cluster_format_job(job, sizeof job, 1, 10, 20000);
    cluster_create_job_id(&cluster, 0, id);
    char *last_digit = &id[kSequenceEnd - 1];
    *last_digit = *last_digit == '0' ? '1' : '0';
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &request), 404);
    CU_ASSERT(request.has_not_run_header);
    caller_free_replies(&request, 1);
}

/// The answer to a read before the submission is not "not run", since a copy
/// of the submission may still arrive.
static void
test_read_before(void)
{
    char id[kCallerIdBytes];
    caller_request_t request;
    cluster_create_job_id(&cluster, 0, id);
    CU_ASSERT_EQUAL(caller_send(&request, "GET", NULL,
                                "http://%s:8080/v1/jobs/%s",
                                cluster.vms[0].address, id),
                    404);
    CU_ASSERT_FALSE(request.has_not_run_header);
    caller_free_replies(&request, 1);
}

/// The ids that one front gets are spread over all shards of a dispatcher.
static void
test_ids_over_shards(void)
{
    caller_request_t request;
    uint32_t odd_count = 0;
    uint32_t count = 0;
    caller_send(&request, "POST", "", "http://%s:8080/v1/job-ids?count=8",
                cluster.vms[0].address);
    const char *at = request.reply;
    while (at != NULL && (at = strstr(at, "\"id\":\"")) != NULL) {
        at += strlen("\"id\":\"");
        odd_count += strchr("13579bdf", at[kSequenceEnd - 1]) != NULL;
        count++;
    }
    CU_ASSERT_EQUAL(count, 8);
    CU_ASSERT_EQUAL(odd_count, 4);
    caller_free_replies(&request, 1);
}

/// A cancellation arrives before its submission: no task starts.
static void
test_cancel_before(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t cancel;
    caller_request_t submit;
    uint64_t before = cluster_read_counter(&cluster, "starts");
    cluster_format_job(job, sizeof job, kTasks, 5, 20000);
    cluster_create_job_id(&cluster, 0, id);
    CU_ASSERT_EQUAL(caller_send(&cancel, "DELETE", NULL,
                                "http://%s:8080/v1/jobs/%s",
                                cluster.vms[0].address, id),
                    409);
    CU_ASSERT(cancel.has_not_run_header);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 1, id, job, &submit), 409);
    CU_ASSERT_STRING_EQUAL(submit.reply, cancel.reply);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), before);
    caller_free_replies(&cancel, 1);
    caller_free_replies(&submit, 1);
}

/// The error for a malformed job names the field or the byte, and no task
/// starts.
static void
test_bad_jobs(void)
{
    static const struct {
        const char *body;
        const char *reason;
    } cases[] = {
        {"{\"team\":\"counter\",\"tasks\":[]}", "tasks: found []"},
        {"{\"team\":\"counter\",\"tasks\":[{\"kind\":7}]}",
         "tasks[0].kind: found 7"},
        {"{\"team\":\"counter\",\"tasks\":[{\"kind\":\"a\",\"x\":1}]}",
         "tasks[0].x: unknown key"},
        {"{\"tasks\":[{\"kind\":\"a\"}]}", "team: found nothing"},
        {"{\"team\":\"counter\"", "byte "},
    };
    uint64_t before = cluster_read_counter(&cluster, "starts");
    for (uint32_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        char id[kCallerIdBytes];
        caller_request_t request;
        cluster_create_job_id(&cluster, 0, id);
        CU_ASSERT_EQUAL(
            cluster_submit(&cluster, 0, id, cases[i].body, &request), 400);
        CU_ASSERT(caller_reply_contains(&request, cases[i].reason));
        CU_ASSERT(request.has_not_run_header);
        caller_free_replies(&request, 1);
    }
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), before);
}

/// A body above the size limit is refused, and the answer says "not run".
static void
test_too_large(void)
{
    char id[kCallerIdBytes];
    caller_request_t request;
    char *body = malloc(kLargeBytes + 1);
    memset(body, ' ', kLargeBytes);
    body[kLargeBytes] = '\0';
    cluster_create_job_id(&cluster, 0, id);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, body, &request), 413);
    CU_ASSERT(request.has_not_run_header);
    caller_free_replies(&request, 1);
    free(body);
}

/// The answer of a cancelled job has no results, and the submission and the
/// cancellation get the same one.
static void
test_cancel(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t submit;
    caller_request_t cancel;
    caller_batch_t batch;
    cluster_format_job(job, sizeof job, 40, 5000, 30000);
    cluster_create_job_id(&cluster, 0, id);
    cluster_fill_submission(&cluster, 0, id, job, &submit);
    caller_start_batch(&batch, &submit, 1);
    cluster_wait_job(&cluster, 1, id);
    caller_send(&cancel, "DELETE", NULL, "http://%s:8080/v1/jobs/%s",
                cluster.vms[1].address, id);
    caller_join_batch(&batch);
    CU_ASSERT_EQUAL(submit.status, 409);
    CU_ASSERT_STRING_EQUAL(submit.reply, cancel.reply);
    CU_ASSERT(caller_reply_contains(&submit, "\"kind\":\"cancelled\""));
    CU_ASSERT_FALSE(caller_reply_contains(&submit, "done 00"));
    caller_free_replies(&submit, 1);
    caller_free_replies(&cancel, 1);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"copies at once", test_copies_at_once},
        {"after the end", test_after_the_end},
        {"another body", test_other_body},
        {"guessed id", test_guessed_id},
        {"read before the submission", test_read_before},
        {"ids over shards", test_ids_over_shards},
        {"cancel before the submission", test_cancel_before},
        {"bad jobs", test_bad_jobs},
        {"too large", test_too_large},
        {"cancel", test_cancel},
        CU_TEST_INFO_NULL};
    apr_initialize();
    cluster_start(&cluster, &(cluster_options_t){.dcs = 2, .vms = 2});
    int code = suite_run("resubmit", tests);
    cluster_stop(&cluster);
    return code;
}
