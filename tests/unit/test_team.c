/// Tests of limit/team, limit/retry_budget and limit/admission.
#include "limit/admission.h"
#include "limit/retry_budget.h"
#include "limit/team.h"
#include "support/suite.h"

#define SECOND INT64_C(1000000000)

static void
test_rate(void)
{
    team_t *team = team_create("counter");
    section_document_t section = {
        .quota = {.tasks_per_s = 100, .burst_tasks = 10}};
    int64_t retry_at_ns = 0;
    uint32_t taken = 0;
    team_configure(team, &section, 1);
    for (int64_t now_ns = 0; now_ns < 10 * SECOND; now_ns += SECOND / 1000) {
        taken += team_charge(team, 1, now_ns, &retry_at_ns) ? 1 : 0;
    }
    CU_ASSERT(taken >= 1000);
    CU_ASSERT(taken <= 1010);
    team_release(team);
}

/// A job larger than the burst is admitted if no earlier charge is
/// outstanding, and delays later jobs by its full cost.
static void
test_large_job(void)
{
    team_t *team = team_create("counter");
    section_document_t section = {
        .quota = {.tasks_per_s = 100, .burst_tasks = 10}};
    int64_t retry_at_ns = 0;
    team_configure(team, &section, 1);
    CU_ASSERT_TRUE(team_charge(team, 500, SECOND, &retry_at_ns));
    CU_ASSERT_FALSE(team_charge(team, 1, SECOND, &retry_at_ns));
    CU_ASSERT_FALSE(team_charge(team, 1, 5 * SECOND, &retry_at_ns));
    CU_ASSERT_TRUE(team_charge(team, 1, retry_at_ns, &retry_at_ns));
    team_release(team);
}

static void
test_shares(void)
{
    team_t *team = team_create("counter");
    section_document_t section = {.quota = {.tasks_per_s = 100}};
    int64_t retry_at_ns = 0;
    uint32_t taken = 0;
    team_configure(team, &section, 4);
    for (int64_t now_ns = SECOND; now_ns < 11 * SECOND;
         now_ns += SECOND / 1000) {
        taken += team_charge(team, 1, now_ns, &retry_at_ns) ? 1 : 0;
    }
    CU_ASSERT(taken >= 250);
    CU_ASSERT(taken <= 275);
    team_release(team);
}

/// Once the initial budget is used up, there is one retry per ten starts.
static void
test_retry_budget(void)
{
    retry_budget_t budget;
    uint32_t taken = 0;
    retry_budget_init(&budget);
    while (retry_budget_withdraw(&budget)) {
        taken++;
    }
    CU_ASSERT_EQUAL(taken, 50);
    for (uint32_t i = 0; i < 1000; i++) {
        retry_budget_deposit(&budget);
        taken += retry_budget_withdraw(&budget) ? 1 : 0;
    }
    CU_ASSERT_EQUAL(taken, 150);
}

static admission_query_t
make_query(void)
{
    return (admission_query_t){.is_team_known = true,
                               .do_tasks_fit = true,
                               .task_count = 10,
                               .waiting_count = 0,
                               .waiting_limit = 100,
                               .slot_count = 10,
                               .service_ns = SECOND,
                               .left_ns = 5 * SECOND};
}

static void
test_admission(void)
{
    admission_query_t query = make_query();
    CU_ASSERT_EQUAL(admission_decide(&query), kErrorKindOk);
    query.is_team_known = false;
    CU_ASSERT_EQUAL(admission_decide(&query), kErrorKindUnknownTeam);
    query = make_query();
    query.do_tasks_fit = false;
    CU_ASSERT_EQUAL(admission_decide(&query), kErrorKindNoFit);
    query = make_query();
    query.waiting_count = 95;
    CU_ASSERT_EQUAL(admission_decide(&query), kErrorKindOverload);
    query = make_query();
    query.waiting_count = 50;
    CU_ASSERT_EQUAL(admission_decide(&query), kErrorKindDeadlineUnmet);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"rate", test_rate},           {"large job", test_large_job},
        {"shares", test_shares},       {"retry budget", test_retry_budget},
        {"admission", test_admission}, CU_TEST_INFO_NULL};
    return suite_run("limits", tests);
}
