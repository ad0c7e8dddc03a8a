/// Callbacks that several threads post to a loop.
#include "net/loop.h"

#include <apr_general.h>
#include <apr_thread_proc.h>
#include <stdatomic.h>

#include "base/arena.h"
#include "base/units.h"
#include "runtime/clock.h"
#include "support/suite.h"

enum { kPostCount = 200000, kReposts = 5, kRunLimitMs = 20 };

typedef struct {
    loop_t *loop;
    loop_callback_t callback;
    loop_callback_t end;
    uint32_t run_count;
    uint32_t run_limit; ///< a loop that runs the callback more often hangs
    uint32_t reposts_left;
    _Atomic uint32_t posted_count;
    uint32_t seen_count; ///< posted_count at the last run
    loop_timer_t timer;
} fixture_t;

static fixture_t fixture;

static void
count_run(loop_callback_t *callback)
{
    (void)callback;
    fixture.run_count++;
    fixture.seen_count = atomic_load(&fixture.posted_count);
    CU_ASSERT_FATAL(fixture.run_count <= fixture.run_limit);
    if (fixture.reposts_left > 0) {
        fixture.reposts_left--;
        loop_post(fixture.loop, &fixture.callback);
    }
}

static void
end_loop(loop_callback_t *callback)
{
    (void)callback;
    loop_stop(fixture.loop);
}

static void
on_time_limit(loop_timer_t *timer)
{
    (void)timer;
    loop_stop(fixture.loop);
}

static void
open_fixture(uint32_t run_limit)
{
    fixture = (fixture_t){.loop = loop_create(),
                          .callback = {.run = count_run},
                          .end = {.run = end_loop},
                          .run_limit = run_limit};
}

/// Runs the loop until it has handled what was posted before.
static void
run_loop(void)
{
    loop_timer_init(&fixture.timer, on_time_limit, NULL);
    loop_timer_set(fixture.loop, &fixture.timer,
                   clock_deadline_ns(kRunLimitMs));
    loop_run(fixture.loop);
}

/// A second post of a callback in the queue used to make it its own successor:
/// the loop ran it for ever (review case 2).
static void
test_second_post(void)
{
    open_fixture(2);
    loop_post(fixture.loop, &fixture.callback);
    loop_post(fixture.loop, &fixture.callback);
    run_loop();
    CU_ASSERT_EQUAL(fixture.run_count, 1);
    loop_post(fixture.loop, &fixture.callback);
    run_loop();
    CU_ASSERT_EQUAL(fixture.run_count, 2);
    loop_destroy(fixture.loop);
}

static void
test_post_while_it_runs(void)
{
    open_fixture(kReposts + 1);
    fixture.reposts_left = kReposts;
    loop_post(fixture.loop, &fixture.callback);
    run_loop();
    CU_ASSERT_EQUAL(fixture.run_count, kReposts + 1);
    loop_destroy(fixture.loop);
}

static void *APR_THREAD_FUNC
post_often(apr_thread_t *thread, void *owner)
{
    (void)thread;
    (void)owner;
    for (uint32_t i = 0; i < kPostCount; i++) {
        atomic_fetch_add(&fixture.posted_count, 1);
        loop_post(fixture.loop, &fixture.callback);
    }
    loop_post(fixture.loop, &fixture.end);
    return NULL;
}

/// What was done before a post is seen by a run after it.
static void
test_posts_of_another_thread(void)
{
    arena_t *arena = arena_create();
    apr_thread_t *thread = NULL;
    apr_status_t status = APR_SUCCESS;
    open_fixture(kPostCount);
    apr_thread_create(&thread, NULL, post_often, NULL, arena);
    loop_run(fixture.loop);
    apr_thread_join(&status, thread);
    CU_ASSERT(fixture.run_count > 0);
    CU_ASSERT_EQUAL(fixture.seen_count, kPostCount);
    loop_destroy(fixture.loop);
    arena_destroy(arena);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a callback that is posted twice runs once", test_second_post},
        {"a callback that is posted while it runs", test_post_while_it_runs},
        {"posts of another thread", test_posts_of_another_thread},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("loop", tests);
}
