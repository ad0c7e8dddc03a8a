/// The memberships of a node after a pause of its process.
#include "node/owner.h"

#include <apr_general.h>

#include "base/units.h"
#include "node/record.h"
#include "pool/state.h"
#include "runtime/clock.h"
#include "support/adapter_stub.h"
#include "support/suite.h"

enum { kPauseMs = 3000, kPartitionCount = 4 };

static const char *const dcs[] = {"dc1"};

static const node_settings_t settings = {.name = "n",
                                         .dc = "dc1",
                                         .dcs = (const char **)dcs,
                                         .dcs_count = 1,
                                         .address = "127.0.0.1",
                                         .callers = "127.0.0.1:1",
                                         .resubmit_ms = 1300,
                                         .hold_limit_ms = 1000,
                                         .member_ttl_ms = 1000,
                                         .targets_per_owner = 20,
                                         .partition_count = kPartitionCount};

/// Lets a node with an unanswered join find that it was paused.
static void
pause_node(node_t *node)
{
    node->groups[0].is_joined = true;
    node->groups[0].is_join_pending = true;
    atomic_store(&node->pause.last_beat_ns,
                 clock_now_ns() - MS_TO_NS(kPauseMs));
}

static void
answer_join(node_t *node, uint64_t generation)
{
    const uint32_t partitions[kPartitionCount] = {0, 1, 2, 3};
    join_reply_t reply = {.is_answered = true,
                          .generation = generation,
                          .partitions = partitions,
                          .partition_count = kPartitionCount};
    node_handle_join_reply(node, "dc1", &reply);
}

/// A join that was sent before the pause is answered after it: the membership
/// may have expired since.
static void
test_join_reply_from_before_pause(void)
{
    arena_t *arena = arena_create();
    node_t *node = node_create(&settings, arena);
    const dc_group_t *group = &node->groups[0];
    pause_node(node);
    answer_join(node, 5);
    CU_ASSERT_EQUAL(partitions_count_held(&group->partitions), 0);
    CU_ASSERT_FALSE(group->is_join_pending);
    CU_ASSERT(group->join_due_ns <= clock_now_ns());
    answer_join(node, 6);
    CU_ASSERT_EQUAL(partitions_count_held(&group->partitions),
                    kPartitionCount);
}

static void
test_memberships_are_renewed_after_pause(void)
{
    arena_t *arena = arena_create();
    node_t *node = node_create(&settings, arena);
    dc_group_t *group = &node->groups[0];
    pause_node(node);
    group->is_join_pending = false;
    group->join_due_ns = clock_deadline_ns(1000);
    node_update_now_ns(node);
    CU_ASSERT(group->join_due_ns <= clock_now_ns());
}

static void
ignore_list(adapter_t *adapter, const list_call_t *call)
{
    (void)adapter;
    (void)call;
}

static const adapter_ops_t silent_ops = {.list = ignore_list};

/// Lets the pool of a node have one target that accepts starts.
static void
add_ready_target(node_t *node, int64_t now_ns)
{
    pool_target_info_t info = {.id = "t",
                               .service = "s",
                               .dc = "dc1",
                               .cpu_mcores = 16000,
                               .memory_mb = 1024};
    node->adapter_ops = &silent_ops;
    pool_put_target(node->pool, &info, 5, now_ns);
    pool_target_t *target = node->pool->first_target;
    pool_advance(node->pool, now_ns);
    list_reply_t reply = {.kind = kReplyDone, .clock_ms = 1};
    pool_handle_list_reply(node->pool, target, &reply, now_ns);
}

/// An owner that gets no answers to its joins goes on serving its targets as
/// long as they accept its token: nobody has taken them over. It says that it
/// owns none once they reject it.
static void
test_fenced_owner_lapses(void)
{
    arena_t *arena = arena_create();
    node_t *node = node_create(&settings, arena);
    int64_t now_ns = clock_now_ns();
    node->groups[0].confirmed_ns = now_ns;
    CU_ASSERT_FALSE(owner_is_lapsed(node, now_ns + MS_TO_NS(5000)));
    node->groups[0].is_joined = true;
    CU_ASSERT_FALSE(owner_is_lapsed(node, now_ns + MS_TO_NS(1000)));
    CU_ASSERT_TRUE(owner_is_lapsed(node, now_ns + MS_TO_NS(2000)));
    add_ready_target(node, now_ns + MS_TO_NS(2000));
    CU_ASSERT_FALSE(owner_is_lapsed(node, now_ns + MS_TO_NS(2000)));
    node->pool->first_target->is_fenced = true;
    CU_ASSERT_TRUE(owner_is_lapsed(node, now_ns + MS_TO_NS(2000)));
}

/// Nodes join one after the other while the first one's runs hold up the
/// handover: each is published as an owner before it holds a partition, so
/// that no more nodes join.
static void
test_joined_node_is_published(void)
{
    arena_t *arena = arena_create();
    node_t *node = node_create(&settings, arena);
    node->groups[0].is_joined = true;
    record_publish(node);
    CU_ASSERT_TRUE(member_owns_dc(node->self, "dc1"));
    node->groups[0].is_joined = false;
    record_publish(node);
    CU_ASSERT_FALSE(member_owns_dc(node->self, "dc1"));
}

/// @return a node that knows all members, itself only, and one target
static node_t *
create_listed_node(arena_t *arena, int64_t now_ns)
{
    node_t *node = node_create(&settings, arena);
    node->adapter_ops = &adapter_stub_ops;
    record_publish(node);
    node->listed_ns = now_ns - MS_TO_NS(5000);
    node->groups[0].target_count = 1;
    return node;
}

/// A node that joins again, after it had left, is not lapsed by the time of
/// its former membership: others would join as well. It is once its new joins
/// go unanswered, also if none has ever been answered.
static void
test_new_membership_lapses_anew(void)
{
    arena_t *arena = arena_create();
    int64_t now_ns = clock_now_ns();
    node_t *node = create_listed_node(arena, now_ns);
    dc_group_t *group = &node->groups[0];
    group->confirmed_ns = now_ns - MS_TO_NS(60000);
    node_handle_store_read(node, now_ns);
    owner_advance(node, now_ns);
    CU_ASSERT_TRUE(group->is_joined);
    CU_ASSERT_TRUE(member_owns_dc(node->self, "dc1"));
    CU_ASSERT_FALSE(owner_is_lapsed(node, now_ns + MS_TO_NS(1000)));
    CU_ASSERT_TRUE(owner_is_lapsed(node, now_ns + MS_TO_NS(2000)));
}

/// Nothing changes in the records: each read waits for its full time, and the
/// last answered one was sent before the pending one.
static void
test_calm_store_is_reachable(void)
{
    arena_t *arena = arena_create();
    int64_t now_ns = clock_now_ns();
    node_t *node = create_listed_node(arena, now_ns);
    node_handle_store_read(node, now_ns - MS_TO_NS(2950));
    owner_advance(node, now_ns);
    CU_ASSERT_TRUE(node->groups[0].is_joined);
}

/// All owners fail while this node can't reach the store: it replaces them
/// when it can, although nothing else changes.
static void
test_shortage_is_seen_after_outage(void)
{
    arena_t *arena = arena_create();
    int64_t now_ns = clock_now_ns();
    node_t *node = create_listed_node(arena, now_ns);
    node_handle_store_read(node, now_ns - MS_TO_NS(8000));
    owner_advance(node, now_ns);
    CU_ASSERT_FALSE(node->groups[0].is_joined);
    node_handle_store_read(node, now_ns);
    owner_advance(node, now_ns);
    CU_ASSERT_TRUE(node->groups[0].is_joined);
}

/// The store has a new generation for a node that is handing over all its
/// partitions: it takes none, and its joins keep their period.
static void
test_retiring_node_joins_at_leisure(void)
{
    arena_t *arena = arena_create();
    int64_t now_ns = clock_now_ns();
    node_t *node = create_listed_node(arena, now_ns);
    dc_group_t *group = &node->groups[0];
    group->is_joined = true;
    answer_join(node, 5);
    group->is_retiring = true;
    answer_join(node, 6);
    CU_ASSERT(group->join_due_ns > now_ns + MS_TO_NS(300));
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a reply to a join from before a pause says nothing",
         test_join_reply_from_before_pause},
        {"memberships are renewed after a pause",
         test_memberships_are_renewed_after_pause},
        {"a fenced owner lapses", test_fenced_owner_lapses},
        {"a node that has joined is published", test_joined_node_is_published},
        {"a new membership lapses anew", test_new_membership_lapses_anew},
        {"a calm store is reachable", test_calm_store_is_reachable},
        {"a shortage is seen after an outage",
         test_shortage_is_seen_after_outage},
        {"a retiring node joins at leisure",
         test_retiring_node_joins_at_leisure},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("owner", tests);
}
