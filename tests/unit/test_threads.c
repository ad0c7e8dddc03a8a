/// What threads share on the path of a request: counters, quotas, slots.
#include <pthread.h>

#include "base/counters.h"
#include "limit/team.h"
#include "route/target.h"
#include "support/suite.h"

enum { kThreads = 4, kRounds = 50000, kSlots = 8 };

static team_t *team;
static target_table_t *table;
static _Atomic uint64_t charged;
static _Atomic uint32_t most_out;

static void *
run_counters(void *owner)
{
    (void)owner;
    for (uint32_t i = 0; i < kRounds; i++) {
        counter_add(kCounterWakeups, 1);
    }
    return NULL;
}

static void *
run_charges(void *owner)
{
    (void)owner;
    int64_t retry_at_ns = 0;
    for (uint32_t i = 0; i < kRounds; i++) {
        if (team_charge(team, 1, 1000, &retry_at_ns)) {
            atomic_fetch_add(&charged, 1);
        }
    }
    return NULL;
}

static void *
run_slots(void *owner)
{
    (void)owner;
    target_t *target = table->targets[0];
    for (uint32_t i = 0; i < kRounds; i++) {
        if (!target_reserve(target, false, 1000)) {
            continue;
        }
        uint32_t out = atomic_load(&target->outstanding);
        uint32_t seen = atomic_load(&most_out);
        while (out > seen &&
               !atomic_compare_exchange_weak(&most_out, &seen, out)) {
        }
        target_update_load(target, 1, 1000);
        target_release(target, table, kOutcomeDone, 10, 1000);
    }
    return NULL;
}

static void
run_threads(void *(*run)(void *))
{
    pthread_t threads[kThreads];
    for (uint32_t i = 0; i < kThreads; i++) {
        pthread_create(&threads[i], NULL, run, NULL);
    }
    for (uint32_t i = 0; i < kThreads; i++) {
        pthread_join(threads[i], NULL);
    }
}

static void
test_counters(void)
{
    uint64_t before = counter_read(kCounterWakeups);
    run_threads(run_counters);
    CU_ASSERT_EQUAL(counter_read(kCounterWakeups) - before,
                    kThreads * kRounds);
}

/// However many threads charge, the burst is not overspent.
static void
test_quota(void)
{
    section_document_t section = {
        .quota = {.tasks_per_s = 1000, .burst_tasks = 500}};
    team = team_create("counter");
    team_configure(team, &section, 1);
    run_threads(run_charges);
    CU_ASSERT_EQUAL(atomic_load(&charged), 500);
    team_release(team);
}

/// However many threads reserve, a target's limit is kept.
static void
test_slots(void)
{
    vm_entry_t vm = {.vm = 1,
                     .dc = 1,
                     .role = kVmRoleTarget,
                     .address = "127.0.0.1",
                     .slots = kSlots,
                     .processors = 1,
                     .memory_mb = 1};
    table = target_table_build(NULL, &vm, 1, 1, 1, 0);
    run_threads(run_slots);
    CU_ASSERT(atomic_load(&most_out) <= kSlots);
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
