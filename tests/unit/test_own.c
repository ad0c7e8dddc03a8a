/// Cells and members: who owns which targets under which token.
#include <apr_general.h>

#include "ownership/members.h"
#include "ownership/partitions.h"
#include "support/suite.h"

enum { kCells = 4 };

static const uint32_t all_cells[kCells] = {0, 1, 2, 3};

static void
test_cell_keeps_its_token(void)
{
    cells_t partitions;
    cells_init(&partitions, kCells);
    CU_ASSERT_TRUE(cells_take(&partitions, 3, all_cells, 2));
    CU_ASSERT_EQUAL(partitions.tokens[0], 3);
    CU_ASSERT_TRUE(cells_take(&partitions, 5, all_cells, 4));
    CU_ASSERT_EQUAL(partitions.tokens[0], 3);
    CU_ASSERT_EQUAL(partitions.tokens[3], 5);
    CU_ASSERT_EQUAL(cells_held(&partitions), 4);
    cells_clear(&partitions);
}

static void
test_moved_cell_is_let_go_first(void)
{
    cells_t partitions;
    cells_init(&partitions, kCells);
    cells_take(&partitions, 3, all_cells, 4);
    cells_take(&partitions, 4, all_cells, 2);
    // The old generation is joined with until both are let go.
    CU_ASSERT_EQUAL(partitions.generation, 3);
    CU_ASSERT_EQUAL(partitions.tokens[2], 3);
    CU_ASSERT_TRUE(partitions.is_leaving[2]);
    cells_release(&partitions, 2);
    CU_ASSERT_EQUAL(partitions.generation, 3);
    cells_release(&partitions, 3);
    CU_ASSERT_EQUAL(partitions.generation, 4);
    CU_ASSERT_EQUAL(partitions.tokens[2], 0);
    cells_clear(&partitions);
}

static void
test_cell_that_comes_back_stays(void)
{
    cells_t partitions;
    cells_init(&partitions, kCells);
    cells_take(&partitions, 3, all_cells, 4);
    cells_take(&partitions, 4, all_cells, 2);
    cells_take(&partitions, 5, all_cells, 4);
    CU_ASSERT_EQUAL(partitions.leaving_count, 0);
    CU_ASSERT_EQUAL(partitions.tokens[3], 3);
    CU_ASSERT_EQUAL(partitions.generation, 5);
    cells_clear(&partitions);
}

static void
test_older_answer_changes_nothing(void)
{
    cells_t partitions;
    cells_init(&partitions, kCells);
    cells_take(&partitions, 5, all_cells, 4);
    CU_ASSERT_FALSE(cells_take(&partitions, 4, all_cells, 0));
    CU_ASSERT_EQUAL(cells_held(&partitions), 4);
    cells_clear(&partitions);
}

static void
test_token_rises_to_the_newest_generation(void)
{
    cells_t partitions;
    cells_init(&partitions, kCells);
    cells_take(&partitions, 3, all_cells, 4);
    CU_ASSERT_FALSE(cells_raise(&partitions, 1));
    cells_take(&partitions, 7, all_cells, 4);
    CU_ASSERT_TRUE(cells_raise(&partitions, 1));
    CU_ASSERT_EQUAL(partitions.tokens[1], 7);
    cells_clear(&partitions);
}

static void
test_similar_names_are_spread(void)
{
    cells_t partitions;
    uint32_t odd_count = 0;
    cells_init(&partitions, 32);
    for (char digit = '0'; digit <= '7'; digit++) {
        const char name[] = {'r', digit, '\0'};
        odd_count += cells_find(&partitions, name) % 2;
    }
    CU_ASSERT(odd_count >= 1);
    CU_ASSERT(odd_count <= 7);
    cells_clear(&partitions);
}

static member_t *
put_member(members_t *members, const char *name, const char *dc,
           uint32_t strength_milli, const char *pool)
{
    const char *pools[1] = {pool};
    node_record_t record = {.name = name,
                            .dc = dc,
                            .address = "127.0.0.1",
                            .strength_milli = strength_milli,
                            .pools = pools,
                            .pools_count = pool == NULL ? 0 : 1};
    return members_put(members, &record);
}

static void
drop_all(members_t *members)
{
    while (members->first != NULL) {
        members_drop(members, members->first->record->name);
    }
}

static void
test_rank_is_by_place_then_strength(void)
{
    members_t members = {0};
    member_t *weak = put_member(&members, "a", "d1", 100, NULL);
    member_t *strong = put_member(&members, "b", "d1", 500, NULL);
    member_t *far = put_member(&members, "c", "d2", 900, NULL);
    CU_ASSERT_EQUAL(members_rank(&members, strong, "d1"), 0);
    CU_ASSERT_EQUAL(members_rank(&members, weak, "d1"), 1);
    CU_ASSERT_EQUAL(members_rank(&members, far, "d1"), 2);
    CU_ASSERT_EQUAL(members_rank(&members, far, "d2"), 0);
    drop_all(&members);
}

static void
test_owners_in_reach_are_counted(void)
{
    members_t members = {0};
    put_member(&members, "a", "d1", 100, "d1")->is_reached = true;
    put_member(&members, "b", "d1", 100, "d1");
    put_member(&members, "c", "d1", 100, NULL)->is_reached = true;
    CU_ASSERT_EQUAL(members_count_owners(&members, "d1"), 1);
    CU_ASSERT_EQUAL(members_count_in(&members, "d1"), 3);
    drop_all(&members);
}

/// Found on trouble-2 of Kuiseb, seed 2: two owners where one was wanted, and
/// a node that goes before both and is none. Both left at the same time.
static void
test_not_all_owners_leave(void)
{
    members_t members = {0};
    put_member(&members, "a", "d1", 100, NULL)->is_reached = true;
    member_t *b = put_member(&members, "b", "d1", 100, "d1");
    member_t *c = put_member(&members, "c", "d1", 100, "d1");
    member_t *far = put_member(&members, "d", "d2", 900, "d1");
    b->is_reached = true;
    c->is_reached = true;
    far->is_reached = true;
    b->is_self = true;
    CU_ASSERT_EQUAL(members_count_owners_before(&members, b, "d1"), 0);
    b->is_self = false;
    c->is_self = true;
    CU_ASSERT_EQUAL(members_count_owners_before(&members, c, "d1"), 1);
    b->is_reached = false;
    CU_ASSERT_EQUAL(members_count_owners_before(&members, c, "d1"), 0);
    b->is_reached = true;
    c->is_self = false;
    far->is_self = true;
    CU_ASSERT_EQUAL(members_count_owners_before(&members, far, "d1"), 2);
    drop_all(&members);
}

static void
test_first_joins_at_once_when_short(void)
{
    candidate_t candidate = {.rank = 0,
                             .wanted_count = 1,
                             .is_own_dc = true,
                             .short_since_ns = 100};
    CU_ASSERT_EQUAL(candidate_join_ns(&candidate, 200), 200);
    candidate.short_since_ns = 0;
    CU_ASSERT_EQUAL(candidate_join_ns(&candidate, 200), INT64_MAX);
}

/// Behind a cut a node could serve nobody; when the cut ends, the owners that
/// stand there come back first.
static void
test_far_owner_waits_for_reach(void)
{
    candidate_t far = {.rank = 3, .wanted_count = 1, .short_since_ns = 100};
    int64_t late_ns = 100 + INT64_C(20000000000);
    CU_ASSERT_EQUAL(candidate_join_ns(&far, late_ns), INT64_MAX);
    far.reached_since_ns = late_ns;
    CU_ASSERT(candidate_join_ns(&far, late_ns) >=
              late_ns + INT64_C(2000000000));
    far.reached_since_ns = 100;
    CU_ASSERT(candidate_join_ns(&far, late_ns) <= late_ns);
}

/// Nodes that start together must know each other before they choose.
static void
test_new_node_gathers_first(void)
{
    candidate_t candidate = {.rank = 0,
                             .wanted_count = 1,
                             .is_own_dc = true,
                             .new_since_ns = 100,
                             .short_since_ns = 100};
    int64_t join_ns = candidate_join_ns(&candidate, 200);
    CU_ASSERT(join_ns >= 100 + INT64_C(300000000));
    CU_ASSERT_EQUAL(candidate_join_ns(&candidate, join_ns + 5), join_ns + 5);
    candidate.new_since_ns = 0;
    CU_ASSERT_EQUAL(candidate_join_ns(&candidate, 200), 200);
}

static void
test_others_join_in_turn(void)
{
    candidate_t second = {.rank = 1,
                          .wanted_count = 1,
                          .is_own_dc = true,
                          .short_since_ns = 100};
    candidate_t third = second;
    candidate_t far = second;
    third.rank = 2;
    far.rank = 3;
    far.is_own_dc = false;
    far.reached_since_ns = 100;
    CU_ASSERT(candidate_join_ns(&second, 200) > 200);
    CU_ASSERT(candidate_join_ns(&third, 200) >
              candidate_join_ns(&second, 200));
    CU_ASSERT(candidate_join_ns(&far, 200) > candidate_join_ns(&third, 200));
}

static void
test_needed_owner_stays(void)
{
    candidate_t candidate = {.rank = 0,
                             .wanted_count = 1,
                             .is_own_dc = true,
                             .is_owner = true,
                             .settled_since_ns = 100};
    CU_ASSERT_EQUAL(candidate_leave_ns(&candidate), INT64_MAX);
    candidate.rank = 1;
    CU_ASSERT(candidate_leave_ns(&candidate) < INT64_MAX);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a far owner waits for reach", test_far_owner_waits_for_reach},
        {"not all owners leave", test_not_all_owners_leave},
        {"a new node gathers first", test_new_node_gathers_first},
        {"a cell keeps its token", test_cell_keeps_its_token},
        {"a moved cell is let go first", test_moved_cell_is_let_go_first},
        {"a cell that comes back stays", test_cell_that_comes_back_stays},
        {"an older answer changes nothing", test_older_answer_changes_nothing},
        {"a token rises to the newest generation",
         test_token_rises_to_the_newest_generation},
        {"similar names are spread", test_similar_names_are_spread},
        {"rank is by place, then strength",
         test_rank_is_by_place_then_strength},
        {"owners in reach are counted", test_owners_in_reach_are_counted},
        {"the first joins at once when owners are short",
         test_first_joins_at_once_when_short},
        {"others join in turn", test_others_join_in_turn},
        {"a needed owner stays", test_needed_owner_stays},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("own", tests);
}
