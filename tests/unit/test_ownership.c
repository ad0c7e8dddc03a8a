/// Partitions with their fencing tokens, and the choice of owners.
#include <apr_general.h>

#include "base/units.h"
#include "ownership/members.h"
#include "ownership/partitions.h"
#include "support/suite.h"

enum { kPartitions = 4 };

static const uint32_t all_partitions[kPartitions] = {0, 1, 2, 3};

static void
test_partition_keeps_its_token(void)
{
    partitions_t partitions;
    partitions_init(&partitions, kPartitions);
    CU_ASSERT_TRUE(partitions_update(&partitions, 3, all_partitions, 2));
    CU_ASSERT_EQUAL(partitions.tokens[0], 3);
    CU_ASSERT_TRUE(partitions_update(&partitions, 5, all_partitions, 4));
    CU_ASSERT_EQUAL(partitions.tokens[0], 3);
    CU_ASSERT_EQUAL(partitions.tokens[3], 5);
    CU_ASSERT_EQUAL(partitions_count_held(&partitions), 4);
    partitions_clear(&partitions);
}

static void
test_moved_partition_is_released_first(void)
{
    partitions_t partitions;
    partitions_init(&partitions, kPartitions);
    partitions_update(&partitions, 3, all_partitions, 4);
    partitions_update(&partitions, 4, all_partitions, 2);
    // Joins send the old generation until both partitions are released.
    CU_ASSERT_EQUAL(partitions.join_generation, 3);
    CU_ASSERT_EQUAL(partitions.tokens[2], 3);
    CU_ASSERT_TRUE(partitions.is_revoked[2]);
    partitions_release(&partitions, 2);
    CU_ASSERT_EQUAL(partitions.join_generation, 3);
    partitions_release(&partitions, 3);
    CU_ASSERT_EQUAL(partitions.join_generation, 4);
    CU_ASSERT_EQUAL(partitions.tokens[2], 0);
    partitions_clear(&partitions);
}

static void
test_reassigned_partition_is_kept(void)
{
    partitions_t partitions;
    partitions_init(&partitions, kPartitions);
    partitions_update(&partitions, 3, all_partitions, 4);
    partitions_update(&partitions, 4, all_partitions, 2);
    partitions_update(&partitions, 5, all_partitions, 4);
    CU_ASSERT_EQUAL(partitions.revoked_count, 0);
    CU_ASSERT_EQUAL(partitions.tokens[3], 3);
    CU_ASSERT_EQUAL(partitions.join_generation, 5);
    partitions_clear(&partitions);
}

static void
test_older_answer_is_ignored(void)
{
    partitions_t partitions;
    partitions_init(&partitions, kPartitions);
    partitions_update(&partitions, 5, all_partitions, 4);
    CU_ASSERT_FALSE(partitions_update(&partitions, 4, all_partitions, 0));
    CU_ASSERT_EQUAL(partitions_count_held(&partitions), 4);
    partitions_clear(&partitions);
}

static void
test_token_is_renewed(void)
{
    partitions_t partitions;
    partitions_init(&partitions, kPartitions);
    partitions_update(&partitions, 3, all_partitions, 4);
    CU_ASSERT_FALSE(partitions_renew_token(&partitions, 1));
    partitions_update(&partitions, 7, all_partitions, 4);
    CU_ASSERT_TRUE(partitions_renew_token(&partitions, 1));
    CU_ASSERT_EQUAL(partitions.tokens[1], 7);
    partitions_clear(&partitions);
}

static void
test_similar_ids_are_spread(void)
{
    partitions_t partitions;
    uint32_t odd_count = 0;
    partitions_init(&partitions, 32);
    for (char digit = '0'; digit <= '7'; digit++) {
        const char id[] = {'r', digit, '\0'};
        odd_count += partitions_find(&partitions, id) % 2;
    }
    CU_ASSERT(odd_count >= 1);
    CU_ASSERT(odd_count <= 7);
    partitions_clear(&partitions);
}

static member_t *
put_member(members_t *members, const char *name, const char *dc,
           uint32_t core_share_milli, const char *pool)
{
    const char *pools[1] = {pool};
    node_record_t record = {.name = name,
                            .dc = dc,
                            .address = "127.0.0.1",
                            .core_share_milli = core_share_milli,
                            .pools = pools,
                            .pools_count = pool == NULL ? 0 : 1};
    return members_put(members, &record);
}

static void
remove_all(members_t *members)
{
    while (members->first != NULL) {
        members_remove(members, members->first->record->name);
    }
}

static void
test_rank_is_by_dc_then_core_share(void)
{
    members_t members = {0};
    member_t *smaller = put_member(&members, "a", "d1", 100, NULL);
    member_t *larger = put_member(&members, "b", "d1", 500, NULL);
    member_t *remote = put_member(&members, "c", "d2", 900, NULL);
    CU_ASSERT_EQUAL(members_find_rank(&members, larger, "d1"), 0);
    CU_ASSERT_EQUAL(members_find_rank(&members, smaller, "d1"), 1);
    CU_ASSERT_EQUAL(members_find_rank(&members, remote, "d1"), 2);
    CU_ASSERT_EQUAL(members_find_rank(&members, remote, "d2"), 0);
    remove_all(&members);
}

static void
test_reachable_owners_are_counted(void)
{
    members_t members = {0};
    put_member(&members, "a", "d1", 100, "d1")->is_reachable = true;
    put_member(&members, "b", "d1", 100, "d1");
    put_member(&members, "c", "d1", 100, NULL)->is_reachable = true;
    CU_ASSERT_EQUAL(members_count_owners(&members, "d1"), 1);
    CU_ASSERT_EQUAL(members_count_in_dc(&members, "d1"), 3);
    remove_all(&members);
}

/// Guards against a data centre without owners: where one owner was wanted,
/// two left at the same time in favour of a preferred node that was not an
/// owner. Seen in scenario trouble-2 of Kuiseb, seed 2.
static void
test_not_all_owners_leave(void)
{
    members_t members = {0};
    put_member(&members, "a", "d1", 100, NULL)->is_reachable = true;
    member_t *b = put_member(&members, "b", "d1", 100, "d1");
    member_t *c = put_member(&members, "c", "d1", 100, "d1");
    member_t *remote = put_member(&members, "d", "d2", 900, "d1");
    b->is_reachable = true;
    c->is_reachable = true;
    remote->is_reachable = true;
    b->is_self = true;
    CU_ASSERT_EQUAL(members_count_preferred_owners(&members, b, "d1"), 0);
    b->is_self = false;
    c->is_self = true;
    CU_ASSERT_EQUAL(members_count_preferred_owners(&members, c, "d1"), 1);
    b->is_reachable = false;
    CU_ASSERT_EQUAL(members_count_preferred_owners(&members, c, "d1"), 0);
    b->is_reachable = true;
    c->is_self = false;
    remote->is_self = true;
    CU_ASSERT_EQUAL(members_count_preferred_owners(&members, remote, "d1"), 2);
    remove_all(&members);
}

static void
test_preferred_node_joins_at_once(void)
{
    candidate_t candidate = {.rank = 0,
                             .wanted_count = 1,
                             .is_local = true,
                             .shortage_since_ns = 100};
    CU_ASSERT_EQUAL(candidate_join_ns(&candidate, 200), 200);
    candidate.shortage_since_ns = 0;
    CU_ASSERT_EQUAL(candidate_join_ns(&candidate, 200), INT64_MAX);
}

/// A node that a network split separates from a data centre cannot serve its
/// targets. When the split ends, the local owners return first.
static void
test_remote_node_waits_for_reachable_targets(void)
{
    candidate_t remote = {
        .rank = 3, .wanted_count = 1, .shortage_since_ns = 100};
    int64_t late_ns = 100 + INT64_C(20000000000);
    CU_ASSERT_EQUAL(candidate_join_ns(&remote, late_ns), INT64_MAX);
    remote.reachable_since_ns = late_ns;
    CU_ASSERT(candidate_join_ns(&remote, late_ns) >=
              late_ns + INT64_C(2000000000));
    remote.reachable_since_ns = 100;
    CU_ASSERT(candidate_join_ns(&remote, late_ns) <= late_ns);
}

/// Nodes that start together must know each other before one of them joins.
static void
test_new_node_waits_for_others(void)
{
    candidate_t candidate = {.rank = 0,
                             .wanted_count = 1,
                             .is_local = true,
                             .listed_ns = 100,
                             .shortage_since_ns = 100};
    int64_t join_ns = candidate_join_ns(&candidate, 200);
    CU_ASSERT(join_ns >= 100 + INT64_C(300000000));
    CU_ASSERT_EQUAL(candidate_join_ns(&candidate, join_ns + 5), join_ns + 5);
    candidate.listed_ns = 0;
    CU_ASSERT_EQUAL(candidate_join_ns(&candidate, 200), 200);
}

static void
test_other_nodes_join_by_rank(void)
{
    candidate_t second = {.rank = 1,
                          .wanted_count = 1,
                          .is_local = true,
                          .shortage_since_ns = 100};
    candidate_t third = second;
    candidate_t remote = second;
    third.rank = 2;
    remote.rank = 3;
    remote.is_local = false;
    remote.reachable_since_ns = 100;
    CU_ASSERT(candidate_join_ns(&second, 200) > 200);
    CU_ASSERT(candidate_join_ns(&third, 200) >
              candidate_join_ns(&second, 200));
    CU_ASSERT(candidate_join_ns(&remote, 200) >
              candidate_join_ns(&third, 200));
}

/// Two strong and four weak nodes: under a surge, a weak node is late with its
/// part of the targets, so the strong ones own them while they can. A third
/// owner, a weak one, would get as many targets as they do.
static void
test_strong_nodes_own(void)
{
    members_t members = {0};
    const char *const names[] = {"a", "b", "c", "d", "e", "f"};
    for (uint32_t i = 0; i < 6; i++) {
        put_member(&members, names[i], "d1", i < 2 ? 500 - 200 * i : 90, NULL);
    }
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 60, 20), 2);
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 80, 20), 2);
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 120, 20), 2);
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 1000, 20), 6);
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 10, 20), 1);
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 0, 20), 1);
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d2", 60, 20), 3);
    remove_all(&members);
}

/// The strong nodes are away: as many weak ones own the targets as it takes
/// for each to have few of them.
static void
test_weak_nodes_share(void)
{
    members_t members = {0};
    const char *const names[] = {"a", "b", "c", "d", "e", "f"};
    for (uint32_t i = 0; i < 6; i++) {
        put_member(&members, names[i], "d1", i < 1 ? 300 : 90, NULL);
    }
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 70, 20), 1);
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 120, 20), 6);
    remove_all(&members);
}

/// An owner whose partitions the store may have passed on is none.
static void
test_lapsed_owner_is_none(void)
{
    members_t members = {0};
    put_member(&members, "a", "d1", 250, "d1")->is_reachable = true;
    put_member(&members, "b", "d1", 250, "d1")->is_reachable = true;
    CU_ASSERT_EQUAL(members_count_owners(&members, "d1"), 2);
    members_find(&members, "a")->is_lapsed = true;
    CU_ASSERT_EQUAL(members_count_owners(&members, "d1"), 1);
    CU_ASSERT_EQUAL(members_count_in_dc(&members, "d1"), 1);
    CU_ASSERT_EQUAL(
        members_find_rank(&members, members_find(&members, "b"), "d1"), 0);
    remove_all(&members);
}

/// One of three strong owners is cut off from the store: the others can serve
/// its targets, and a weak node in its place could not.
static void
test_weak_node_does_not_stand_in(void)
{
    members_t members = {0};
    put_member(&members, "a", "d1", 500, "d1");
    put_member(&members, "b", "d1", 500, "d1");
    put_member(&members, "c", "d1", 300, "d1");
    put_member(&members, "d", "d1", 90, NULL);
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 117, 20), 3);
    members_find(&members, "b")->is_lapsed = true;
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 117, 20), 2);
    remove_all(&members);
}

/// A data centre without any owner is taken over sooner.
static void
test_lone_dc_is_taken_over_soon(void)
{
    candidate_t second = {.rank = 1,
                          .wanted_count = 1,
                          .is_local = true,
                          .owner_count = 1,
                          .shortage_since_ns = 100};
    candidate_t urgent = second;
    urgent.owner_count = 0;
    CU_ASSERT(candidate_join_ns(&urgent, 200) <
              candidate_join_ns(&second, 200));
    CU_ASSERT(candidate_join_ns(&urgent, 200) > 200);
}

/// Equal nodes share the targets as before.
static void
test_equal_nodes_share(void)
{
    members_t members = {0};
    put_member(&members, "a", "d1", 250, NULL);
    put_member(&members, "b", "d1", 250, NULL);
    put_member(&members, "c", "d1", 250, NULL);
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 16, 20), 1);
    CU_ASSERT_EQUAL(members_decide_owner_count(&members, "d1", 60, 20), 3);
    remove_all(&members);
}

/// A node of another data centre prepares to join before it may join, and a
/// long time before nodes of a later rank.
static void
test_remote_node_prepares(void)
{
    candidate_t remote = {
        .rank = 1, .wanted_count = 1, .shortage_since_ns = MS_TO_NS(10000)};
    int64_t first_ns = candidate_prepare_ns(&remote);
    remote.reachable_since_ns = first_ns + MS_TO_NS(600);
    CU_ASSERT(first_ns < MS_TO_NS(11000));
    CU_ASSERT(candidate_join_ns(&remote, first_ns) >=
              first_ns + MS_TO_NS(3000));
    remote.rank = 20;
    CU_ASSERT(candidate_prepare_ns(&remote) > first_ns + MS_TO_NS(8000));
    remote.is_owner = true;
    CU_ASSERT_EQUAL(candidate_prepare_ns(&remote), INT64_MAX);
    remote.is_owner = false;
    remote.is_local = true;
    CU_ASSERT_EQUAL(candidate_prepare_ns(&remote), INT64_MAX);
}

static void
test_needed_owner_stays(void)
{
    candidate_t candidate = {.rank = 0,
                             .wanted_count = 1,
                             .is_local = true,
                             .is_owner = true,
                             .surplus_since_ns = 100};
    CU_ASSERT_EQUAL(candidate_leave_ns(&candidate), INT64_MAX);
    candidate.rank = 1;
    CU_ASSERT(candidate_leave_ns(&candidate) < INT64_MAX);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a remote node waits for reachable targets",
         test_remote_node_waits_for_reachable_targets},
        {"not all owners leave", test_not_all_owners_leave},
        {"a new node waits for others", test_new_node_waits_for_others},
        {"a partition keeps its token", test_partition_keeps_its_token},
        {"a moved partition is released first",
         test_moved_partition_is_released_first},
        {"a reassigned partition is kept", test_reassigned_partition_is_kept},
        {"an older answer is ignored", test_older_answer_is_ignored},
        {"a token is renewed to the newest generation", test_token_is_renewed},
        {"similar target ids are spread over partitions",
         test_similar_ids_are_spread},
        {"rank is by data centre, then core share",
         test_rank_is_by_dc_then_core_share},
        {"reachable owners are counted", test_reachable_owners_are_counted},
        {"a preferred node joins at once when owners are too few",
         test_preferred_node_joins_at_once},
        {"other nodes join in order of rank", test_other_nodes_join_by_rank},
        {"strong nodes own", test_strong_nodes_own},
        {"weak nodes share", test_weak_nodes_share},
        {"a lapsed owner is none", test_lapsed_owner_is_none},
        {"a weak node does not stand in", test_weak_node_does_not_stand_in},
        {"a data centre without owners is taken over soon",
         test_lone_dc_is_taken_over_soon},
        {"equal nodes share", test_equal_nodes_share},
        {"a remote node prepares", test_remote_node_prepares},
        {"a needed owner stays", test_needed_owner_stays},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("ownership", tests);
}
