/// The choice of a pool for a job, under the loads that it is made for.
#include "pool/choice.h"

#include <string.h>

#include "support/suite.h"

enum { kDraws = 3000 };

static const job_need_t pair = {.cpu_mcores = 27000, .task_count = 2};
static const job_need_t wide = {.cpu_mcores = 27000, .task_count = 8};

/// @return the room of a pool whose targets all have the same free part
static room_t
make_room(uint32_t target_count, int64_t free_mcores)
{
    room_t room = {0};
    for (uint32_t i = 0; i < target_count; i++) {
        room_add_target(&room, free_mcores);
    }
    return room;
}

static void
test_room_by_size(void)
{
    room_t room = make_room(3, 32000);
    room_add_target(&room, 5000);
    CU_ASSERT_EQUAL(room_count_fitting(&room, 32000), 3);
    CU_ASSERT_EQUAL(room_count_fitting(&room, 32001), 0);
    CU_ASSERT_EQUAL(room_count_fitting(&room, 16000), 6);
    CU_ASSERT_EQUAL(room_count_fitting(&room, 4000), 25);
    CU_ASSERT_EQUAL(room_count_fitting(&room, 0), 50);
}

static void
test_sent_tasks_take_room(void)
{
    room_t room = make_room(4, 32000);
    room_take(&room, 16000, 2);
    CU_ASSERT_EQUAL(room_count_fitting(&room, 16000), 6);
    CU_ASSERT_EQUAL(room_count_fitting(&room, 32000), 2);
    CU_ASSERT(room_count_fitting(&room, 2000) <= 64 - 16);
    room_take(&room, 32000, 100);
    CU_ASSERT_EQUAL(room_count_fitting(&room, 2000), 0);
}

/// Nearly all targets are busy: a pool with many free cores in small parts is
/// no use to a task that needs more than any of them.
static void
test_fragments_are_no_room(void)
{
    rng_t rng = {.state = 1};
    int first = 0;
    int second = 0;
    room_t fragments = make_room(20, 9000);
    room_t hole = make_room(1, 56000);
    pool_choice_t choice = {.rng = &rng};
    choice_add(
        &choice,
        &(pool_offer_t){.room = &fragments, .is_local = true, .pool = &first},
        &pair);
    choice_add(
        &choice,
        &(pool_offer_t){.room = &hole, .is_local = true, .pool = &second},
        &pair);
    CU_ASSERT_PTR_EQUAL(choice.best, &second);
}

/// All pools are full: the one with the shortest backlog is chosen, however
/// far another one is ahead in the list.
static void
test_shortest_backlog(void)
{
    rng_t rng = {.state = 1};
    int pools[3] = {0};
    const uint32_t backlogs_ms[] = {180, 90, 140};
    room_t room = make_room(20, 9000);
    pool_choice_t choice = {.rng = &rng};
    for (uint32_t i = 0; i < 3; i++) {
        choice_add(&choice,
                   &(pool_offer_t){.room = &room,
                                   .backlog_ms = backlogs_ms[i],
                                   .is_local = true,
                                   .pool = &pools[i]},
                   &pair);
    }
    CU_ASSERT_PTR_EQUAL(choice.best, &pools[1]);
}

/// Coordinators that know the same spread their jobs over the pools in
/// proportion to their room: a surge does not run into the first pool.
static void
test_choice_in_proportion_to_room(void)
{
    rng_t rng = {.state = 1};
    int pools[2] = {0};
    uint32_t counts[2] = {0};
    const room_t rooms[] = {make_room(30, 56000), make_room(10, 56000)};
    for (uint32_t i = 0; i < kDraws; i++) {
        pool_choice_t choice = {.rng = &rng};
        for (uint32_t j = 0; j < 2; j++) {
            choice_add(&choice,
                       &(pool_offer_t){.room = &rooms[j],
                                       .is_local = true,
                                       .pool = &pools[j]},
                       &pair);
        }
        counts[choice.best == &pools[1]]++;
    }
    CU_ASSERT(counts[1] > kDraws / 5 && counts[1] < kDraws * 3 / 10);
}

/// A job stays in its data centre while that has room, and leaves it for room
/// elsewhere rather than wait.
static void
test_local_pool_with_room(void)
{
    rng_t rng = {.state = 1};
    int local = 0;
    int remote = 0;
    const room_t rooms[] = {make_room(4, 56000), make_room(1, 56000),
                            make_room(20, 56000)};
    for (uint32_t i = 0; i < 2; i++) {
        pool_choice_t choice = {.rng = &rng};
        choice_add(&choice,
                   &(pool_offer_t){.room = &rooms[i],
                                   .backlog_ms = 30,
                                   .is_local = true,
                                   .pool = &local},
                   &wide);
        choice_add(&choice,
                   &(pool_offer_t){.room = &rooms[2], .pool = &remote}, &wide);
        CU_ASSERT_PTR_EQUAL(choice.best, i == 0 ? &local : &remote);
    }
}

/// The own pool costs no message, but is not preferred once it gets tight.
static void
test_own_pool_with_spare_room(void)
{
    const room_t spare = make_room(2, 56000);
    const room_t tight = make_room(1, 56000);
    pool_offer_t own = {.room = &spare, .is_self = true, .is_local = true};
    pool_offer_t other = {.room = &spare, .is_local = true};
    CU_ASSERT(choice_estimate_wait_ms(&own, &pair) <
              choice_estimate_wait_ms(&other, &pair));
    own.room = &tight;
    CU_ASSERT_EQUAL(choice_estimate_wait_ms(&own, &pair),
                    choice_estimate_wait_ms(&other, &pair));
}

/// A pool that is stopping is the last resort, and one that has told nothing
/// comes after those with room and before those without.
static void
test_disadvantages(void)
{
    const room_t room = make_room(4, 56000);
    const room_t full = {0};
    pool_offer_t with_room = {.room = &room, .is_local = true};
    pool_offer_t unknown = {.room = NULL, .is_local = true};
    pool_offer_t without = {.room = &full, .is_local = true};
    pool_offer_t stopping = {
        .room = &room, .is_local = true, .is_stopping = true};
    CU_ASSERT(choice_estimate_wait_ms(&with_room, &pair) <
              choice_estimate_wait_ms(&unknown, &pair));
    CU_ASSERT(choice_estimate_wait_ms(&unknown, &pair) <
              choice_estimate_wait_ms(&without, &pair));
    CU_ASSERT(choice_estimate_wait_ms(&without, &pair) <
              choice_estimate_wait_ms(&stopping, &pair));
}

/// An owner that was cut off from the store has lost its targets, and refuses:
/// a full pool, where the job can wait, is better, and so is one that has not
/// told its load.
static void
test_pool_without_targets_is_last(void)
{
    rng_t rng = {.state = 1};
    int lapsed = 0;
    int full = 0;
    room_t none = {0};
    for (uint32_t i = 0; i < 2; i++) {
        pool_choice_t choice = {.rng = &rng};
        choice_add(&choice,
                   &(pool_offer_t){.room = &none,
                                   .is_local = true,
                                   .has_no_targets = true,
                                   .pool = &lapsed},
                   &pair);
        choice_add(&choice,
                   &(pool_offer_t){.room = i == 0 ? &none : NULL,
                                   .backlog_ms = 300,
                                   .pool = &full},
                   &pair);
        CU_ASSERT_PTR_EQUAL(choice.best, &full);
    }
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"room by size", test_room_by_size},
        {"sent tasks take room", test_sent_tasks_take_room},
        {"fragments are no room", test_fragments_are_no_room},
        {"shortest backlog", test_shortest_backlog},
        {"choice in proportion to room", test_choice_in_proportion_to_room},
        {"local pool with room", test_local_pool_with_room},
        {"own pool with spare room", test_own_pool_with_spare_room},
        {"disadvantages", test_disadvantages},
        {"a pool without targets is the last choice",
         test_pool_without_targets_is_last},
        CU_TEST_INFO_NULL,
    };
    return suite_run("choice", tests);
}
