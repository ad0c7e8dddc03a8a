/// Connections that share a budget: who is charged, who is closed, and what is
/// given back.
#include "net/occupancy.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/suite.h"

enum {
    kPairs = 4,
    kBudgetBytes = 100000,
    kSmallBytes = 1000,
    kBodyBytes = 24000,
    kOpenLimit = 3
};

static memory_budget_t budget;
static occupancy_t occupancy;
static occupant_t occupants[kPairs];
static int fds[kPairs][2];

static void
open_pairs(uint32_t open_limit)
{
    memory_budget_init(&budget, kBudgetBytes);
    occupancy_init(&occupancy, "test", &budget, open_limit, kSmallBytes);
    memset(occupants, 0, sizeof occupants);
    for (uint32_t i = 0; i < kPairs; i++) {
        CU_ASSERT_EQUAL_FATAL(
            socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds[i]), 0);
        occupancy_add(&occupancy, &occupants[i], fds[i][0]);
    }
}

static void
close_pairs(void)
{
    for (uint32_t i = 0; i < kPairs; i++) {
        occupancy_remove(&occupants[i]);
        close(fds[i][0]);
        close(fds[i][1]);
    }
    CU_ASSERT_EQUAL(atomic_load(&budget.used_bytes), 0);
    CU_ASSERT_EQUAL(atomic_load(&budget.expected_bytes), 0);
    CU_ASSERT_EQUAL(occupancy.open_count, 0);
}

/// @return whether a connection was shut down
static bool
is_shut_down(uint32_t i)
{
    char byte;
    return recv(fds[i][1], &byte, 1, MSG_DONTWAIT) == 0;
}

static void
test_sum_is_bounded(void)
{
    open_pairs(kPairs);
    for (uint32_t i = 0; i < kPairs; i++) {
        occupant_set_state(&occupants[i], kOccupantWaiting);
    }
    CU_ASSERT_TRUE(occupant_charge(&occupants[0], 40000));
    CU_ASSERT_TRUE(occupant_charge(&occupants[1], 40000));
    // Each is within its limit; their sum is not.
    CU_ASSERT_FALSE(occupant_charge(&occupants[2], 40000));
    CU_ASSERT_TRUE(occupant_charge(&occupants[3], kSmallBytes));
    occupant_release(&occupants[0], 40000);
    CU_ASSERT_TRUE(occupant_charge(&occupants[2], 40000));
    close_pairs();
}

static void
test_stalled_is_closed(void)
{
    open_pairs(kPairs);
    for (uint32_t i = 0; i < kPairs; i++) {
        occupant_set_state(&occupants[i], kOccupantBusy);
        if (i != 1) {
            occupant_note_progress(&occupants[i], kBodyBytes);
        }
        CU_ASSERT_TRUE(occupant_charge(&occupants[i],
                                       i < 2 ? kBodyBytes : kBodyBytes / 2));
    }
    CU_ASSERT_TRUE(occupant_is_evicted(&occupants[1]));
    CU_ASSERT_TRUE(is_shut_down(1));
    CU_ASSERT_FALSE(is_shut_down(3));
    // One that was told to go gets nothing more.
    CU_ASSERT_FALSE(occupant_charge(&occupants[1], 1));
    close_pairs();
}

/// Jobs that run and connections without a request are not closed for memory.
static void
test_others_stay(void)
{
    open_pairs(kPairs);
    occupant_set_state(&occupants[0], kOccupantWaiting);
    occupant_set_state(&occupants[1], kOccupantWaiting);
    CU_ASSERT_TRUE(occupant_charge(&occupants[0], 60000));
    CU_ASSERT_TRUE(occupant_charge(&occupants[1], 20000));
    CU_ASSERT(memory_budget_excess_bytes(&budget) > 0);
    for (uint32_t i = 0; i < kPairs; i++) {
        CU_ASSERT_FALSE(is_shut_down(i));
    }
    close_pairs();
}

static void
test_too_many_connections(void)
{
    open_pairs(kOpenLimit);
    CU_ASSERT_EQUAL(occupancy.open_count, kOpenLimit);
    CU_ASSERT_TRUE(is_shut_down(0));
    CU_ASSERT_FALSE(is_shut_down(kPairs - 1));
    close_pairs();
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"the sum is bounded", test_sum_is_bounded},
        {"a stalled connection is closed", test_stalled_is_closed},
        {"others stay", test_others_stay},
        {"too many connections", test_too_many_connections},
        CU_TEST_INFO_NULL,
    };
    return suite_run("occupancy", tests);
}
