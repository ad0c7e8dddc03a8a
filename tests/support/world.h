/// A world of fake targets on a virtual clock, for pools: calls take time, are
/// lost, or are carried out late; targets fail, stand still, go dark, and
/// start again. It checks while it runs that no task has two runs at once and
/// that no target is given more than it has room for.
#ifndef JT_TESTS_SUPPORT_WORLD_H
#define JT_TESTS_SUPPORT_WORLD_H

#include "base/rng.h"
#include "pool/pool.h"

enum { kWorldTargets = 64, kWorldPools = 2, kWorldRuns = 16 };

typedef struct world world_t;
typedef struct world_event world_event_t;

/// A run on a fake target.
typedef struct {
    run_name_t name;
    int64_t end_ns; ///< INT64_MAX: never
    bool will_fail;
} world_run_t;

/// A fake target.
typedef struct {
    pool_target_info_t info;
    uint32_t speed_permille;
    bool is_dark;     ///< nothing reaches it
    bool is_stuck;    ///< its runs never end
    bool is_failing;  ///< its runs end failed at once
    bool is_shedding; ///< it rejects all starts
    uint64_t token;
    int64_t lease_ns;
    int64_t clock_start_ns;
    world_run_t runs[kWorldRuns];
    uint32_t run_count;
    listed_run_t ended[4096];
    uint32_t ended_count;
    uint64_t end_number;
    uint64_t acked;
    world_event_t *waiting[kWorldPools]; ///< a list that waits for an end
} world_target_t;

/// What became of the orders.
typedef struct {
    uint32_t counts[kOrderOutcomeCount];
    uint32_t in_time; ///< complete within 1.6 times the longest task and 60 ms
    uint32_t starts;
    uint32_t doubles;   ///< starts of a task that was at work elsewhere
    uint32_t overloads; ///< starts beyond the room, rejected
    uint32_t shed;      ///< starts rejected by targets that shed
    uint32_t unwanted;  ///< ends of tasks whose order was settled before
} world_tally_t;

/// Odds of faults, in 1/1000 of the calls.
typedef struct {
    uint32_t lost_permille; ///< carried out, not answered
    uint32_t late_permille; ///< carried out 2 to 12 s later, not answered
} world_odds_t;

struct world {
    int64_t now_ns;
    rng_t rng;
    world_odds_t odds;
    int64_t list_delay_ns; ///< of answers to lists, after they were made up
    pool_t *pools[kWorldPools];
    struct world_owner {
        world_t *world;
        uint32_t number;
        bool is_frozen; ///< hears and sends nothing
    } owners[kWorldPools];
    world_target_t *targets;
    uint32_t target_count;
    world_event_t *events;
    world_tally_t tally;
    void (*on_settled)(world_t *world, uint32_t pool,
                       const pool_order_result_t *settled);
    /// Real run time of a task, before the target's speed.
    int64_t (*work_ns)(world_t *world, const run_name_t *name);
    void *state;
};

/// Creates a world of targets with 32 cores and one pool.
void world_init(world_t *world, uint32_t target_count, uint64_t seed);

void world_clear(world_t *world);

/// Gives all targets to a pool under a token.
void world_own(world_t *world, uint32_t pool, uint64_t token);

/// Calls a function at a time of the world.
void world_at(world_t *world, int64_t at_ns, void (*call)(world_t *world));

/// Lets time pass.
void world_run_until(world_t *world, int64_t end_ns);

/// Hands an order in; its number is the job's name, read as hexadecimal.
void world_hand_in(world_t *world, uint32_t pool, const order_t *order);

/// Hands in an order of equal tasks.
void world_order(world_t *world, uint32_t pool, const char *job,
                 uint32_t task_count, uint32_t estimate_ms, uint32_t priority);

/// Starts a target again: it knows nothing of before.
void world_restart(world_t *world, uint32_t target);

#endif
