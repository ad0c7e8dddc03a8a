/// Tests of the state that threads share on the path of a request: counters,
/// quotas of teams and slots of targets.
#include <pthread.h>

#include "base/counters.h"
#include "limit/team.h"
#include "route/target.h"
#include "support/suite.h"

enum { kThreadCount = 4, kIterationCount = 50000, kSlotCount = 8 };

static team_t *team;
static target_table_t *table;
static _Atomic uint64_t charged_count;
static _Atomic uint32_t max_outstanding;

static void *
add_to_counter(void *owner)
{
    (void)owner;
    for (uint32_t i = 0; i < kIterationCount; i++) {
        counter_add(kCounterWakeups, 1);
    }
    return NULL;
}

static void *
charge_team(void *owner)
{
    (void)owner;
    int64_t retry_at_ns = 0;
    for (uint32_t i = 0; i < kIterationCount; i++) {
        if (team_charge(team, 1, 1000, &retry_at_ns)) {
            atomic_fetch_add(&charged_count, 1);
        }
    }
    return NULL;
}

static void *
reserve_slots(void *owner)
{
    (void)owner;
    target_t *target = table->targets[0];
    for (uint32_t i = 0; i < kIterationCount; i++) {
        if (!target_reserve(target, false, 1000)) {
            continue;
        }
        uint32_t outstanding = atomic_load(&target->outstanding);
        uint32_t old_max = atomic_load(&max_outstanding);
        while (outstanding > old_max &&
               !atomic_compare_exchange_weak(&max_outstanding, &old_max,
                                             outstanding)) {
        }
        target_update_load(target, 1, 1000);
        target_release(target, table, kOutcomeDone, 10, 1000);
    }
    return NULL;
}

static void
run_threads(void *(*run)(void *))
{
    pthread_t threads[kThreadCount];
    for (uint32_t i = 0; i < kThreadCount; i++) {
        pthread_create(&threads[i], NULL, run, NULL);
    }
    for (uint32_t i = 0; i < kThreadCount; i++) {
        pthread_join(threads[i], NULL);
    }
}

static void
test_counters(void)
{
    uint64_t before = counter_read(kCounterWakeups);
    run_threads(add_to_counter);
    CU_ASSERT_EQUAL(counter_read(kCounterWakeups) - before,
                    kThreadCount * kIterationCount);
}

/// However many threads charge a team at once, its burst is not exceeded.
static void
test_quota(void)
{
    section_document_t section = {
        .quota = {.tasks_per_s = 1000, .burst_tasks = 500}};
    team = team_create("counter");
    team_configure(team, &section, 1);
    run_threads(charge_team);
    CU_ASSERT_EQUAL(atomic_load(&charged_count), 500);
    team_release(team);
}

/// However many threads reserve slots of a target at once, no more than it has
/// are reserved.
static void
test_slots(void)
{
    vm_entry_t vm = {.vm = 1,
                     .dc = 1,
                     .role = kVmRoleTarget,
                     .address = "127.0.0.1",
                     .slots = kSlotCount,
                     .processors = 1,
                     .memory_mb = 1};
    table = target_table_build(NULL, &vm, 1, 1, 1, 0);
    run_threads(reserve_slots);
    CU_ASSERT(atomic_load(&max_outstanding) <= kSlotCount);
    CU_ASSERT_EQUAL(atomic_load(&table->targets[0]->outstanding), 0);
    target_table_free(table);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {{"counters", test_counters},
                                        {"quota", test_quota},
                                        {"slots", test_slots},
                                        CU_TEST_INFO_NULL};
    return suite_run("threads", tests);
}
