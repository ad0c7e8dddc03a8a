#include "pool/pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool/state.h"

enum {
    kLineBytes = 320,
    kNominalPermille = 1000,
    kLossyMs = 3000 ///< since the last unanswered call
};

const char *const reply_kind_names[] = {
    [kReplyDone] = "done",
    [kReplyNotSent] = "not_sent",
    [kReplyUnanswered] = "unanswered",
    [kReplyFenced] = "fenced",
    [kReplyNoCapacity] = "no_capacity",
    [kReplyStale] = "stale",
    [kReplyLeaseExpired] = "late",
    [kReplyOtherIncarnation] = "other_incarnation",
    [kReplyUnhealthy] = "unhealthy",
    [kReplyInvalid] = "invalid",
};

static uint64_t
read_order_bytes(const pool_limits_t *limits)
{
    return limits->order_bytes == 0 ? UINT64_MAX : limits->order_bytes;
}

pool_t *
pool_create(const pool_limits_t *limits, const pool_ops_t *ops, void *owner)
{
    pool_t *pool = calloc(1, sizeof *pool);
    arena_t *arena = arena_create();
    *pool = (pool_t){.limits = *limits,
                     .ops = ops,
                     .owner = owner,
                     .arena = arena,
                     .targets = apr_hash_make(arena),
                     .forecast = forecast_create(),
                     .losses = losses_create(),
                     .cancelled = cancelled_create()};
    wait_init(pool);
    memory_budget_init(&pool->order_memory, read_order_bytes(limits));
    return pool;
}

void
pool_set_limits(pool_t *pool, const pool_limits_t *limits)
{
    pool->limits = *limits;
    pool->order_memory.limit_bytes = read_order_bytes(limits);
}

void
pool_destroy(pool_t *pool)
{
    while (pool->first_target != NULL) {
        pool_target_t *target = pool->first_target;
        pool->first_target = target->next;
        while (target->runs != NULL) {
            pool_run_t *run = target->runs;
            target->runs = run->next;
            free(run);
        }
        free(target);
    }
    while (pool->first_order != NULL) {
        pool_order_t *order = pool->first_order;
        pool->first_order = order->next;
        arena_destroy(order->arena);
    }
    forecast_destroy(pool->forecast);
    losses_destroy(pool->losses);
    cancelled_destroy(pool->cancelled);
    arena_destroy(pool->arena);
    free(pool);
}

losses_t *
pool_losses(pool_t *pool)
{
    return pool->losses;
}

static pool_target_t *
find_target(const pool_t *pool, const char *id)
{
    return apr_hash_get(pool->targets, id, APR_HASH_KEY_STRING);
}

uint64_t
pool_read_target_token(const pool_t *pool, const char *id)
{
    const pool_target_t *target = find_target(pool, id);
    return target == NULL ? 0 : target->token;
}

uint32_t
pool_count_target_runs(const pool_t *pool, const char *id)
{
    const pool_target_t *target = find_target(pool, id);
    return target == NULL ? 0 : target->run_count;
}

bool
pool_has_runs_since_before(const pool_t *pool, const char *id, int64_t time_ns)
{
    const pool_target_t *target = find_target(pool, id);
    if (target == NULL) {
        return false;
    }
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        if (run->started_ns <= time_ns) {
            return true;
        }
    }
    return false;
}

void
pool_set_target_handover(pool_t *pool, const char *id, int64_t handover_ns)
{
    pool_target_t *target = find_target(pool, id);
    if (target != NULL) {
        target->handover_ns = handover_ns;
    }
}

static void
add_target(pool_t *pool, const pool_target_info_t *info, uint64_t token,
           int64_t now_ns)
{
    pool_target_t *target = calloc(1, sizeof *target);
    *target = (pool_target_t){.info = *info,
                              .record_born_ms = info->born_ms,
                              .token = token,
                              .clock_ns = now_ns,
                              .list_due_ns = now_ns,
                              .handover_ns = INT64_MAX,
                              .end_by_ns = INT64_MAX,
                              .slowness_permille = kNominalPermille};
    apr_hash_set(pool->targets, target->info.id, APR_HASH_KEY_STRING, target);
    target->prev = pool->last_target;
    *(target->prev == NULL ? &pool->first_target : &target->prev->next) =
        target;
    pool->last_target = target;
}

/// Removes a target from the pool. It is freed by session_free_dropped when
/// its last pending call is answered.
static void
remove_target(pool_t *pool, pool_target_t *target)
{
    apr_hash_set(pool->targets, target->info.id, APR_HASH_KEY_STRING, NULL);
    *(target->prev == NULL ? &pool->first_target : &target->prev->next) =
        target->next;
    *(target->next == NULL ? &pool->last_target : &target->next->prev) =
        target->prev;
    target->is_dropped = true;
}

void
pool_put_target(pool_t *pool, const pool_target_info_t *info, uint64_t token,
                int64_t now_ns)
{
    pool_target_t *target = find_target(pool, info->id);
    if (target == NULL) {
        add_target(pool, info, token, now_ns);
        return;
    }
    uint64_t born_ms = target->info.born_ms;
    if (info->cpu_mcores != target->info.cpu_mcores) {
        target->cpu_limit_mcores = 0;
    }
    bool has_restarted = info->born_ms > born_ms && born_ms != 0;
    target->info = *info;
    target->record_born_ms = info->born_ms;
    // Replies to list calls are the authority on the incarnation.
    target->info.born_ms = born_ms;
    if (token > target->token) {
        target->token = token;
        target->is_fenced = false;
        target->session = kSessionNew;
        session_restart(target, now_ns);
    }
    else if (has_restarted && !target->is_list_pending) {
        target->list_due_ns = now_ns;
    }
}

void
pool_drop_target(pool_t *pool, const char *id, int64_t now_ns)
{
    pool_target_t *target = find_target(pool, id);
    if (target == NULL) {
        return;
    }
    remove_target(pool, target);
    target->pending_calls++; // keeps the target from being freed in the loop
    pool_run_t *next;
    for (pool_run_t *run = target->runs; run != NULL; run = next) {
        next = run->next;
        run_abandon(pool, run, now_ns);
        run->is_ended = true;
        run_free_ended(pool, run);
    }
    target->pending_calls--;
    session_free_dropped(pool, target);
}

void
pool_set_closed(pool_t *pool, bool is_closed)
{
    pool->is_closed = is_closed;
}

bool
pool_is_closed(const pool_t *pool)
{
    return pool->is_closed;
}

void
pool_set_evacuating(pool_t *pool, bool is_evacuating)
{
    pool->is_evacuating = is_evacuating;
}

bool
pool_is_lossy(const pool_t *pool, int64_t now_ns)
{
    return pool->lossy_until_ns > now_ns;
}

void
pool_record_unanswered_call(pool_t *pool, const pool_target_t *target,
                            int64_t now_ns)
{
    if (!pool_is_lossy(pool, now_ns)) {
        pool->ops->log(pool->owner, "call_unanswered", "", target->info.id);
    }
    pool->lossy_until_ns = now_ns + MS_TO_NS(kLossyMs);
}

static int64_t
advance_orders(pool_t *pool, int64_t now_ns)
{
    int64_t due_ns = INT64_MAX;
    pool_order_t *next;
    for (pool_order_t *order = pool->first_order; order != NULL;
         order = next) {
        next = order->next;
        due_ns = min_ns(due_ns, order_advance(pool, order, now_ns));
    }
    return due_ns;
}

static int64_t
advance_targets(pool_t *pool, int64_t now_ns)
{
    int64_t due_ns = INT64_MAX;
    pool_target_t *next;
    for (pool_target_t *target = pool->first_target; target != NULL;
         target = next) {
        next = target->next;
        due_ns = min_ns(due_ns, session_advance(pool, target, now_ns));
    }
    return due_ns;
}

/// @return when to try to place waiting tasks again, or INT64_MAX
static int64_t
next_placement_ns(const pool_t *pool, int64_t now_ns)
{
    enum { kPlacementRetryMs = 20 };
    for (const pool_order_t *order = pool->first_order; order != NULL;
         order = order->next) {
        if (order->waiting_count > 0) {
            return now_ns + MS_TO_NS(kPlacementRetryMs);
        }
    }
    return INT64_MAX;
}

int64_t
pool_advance(pool_t *pool, int64_t now_ns)
{
    strand_end_orders(pool, now_ns);
    urgency_update_contention(pool, now_ns);
    int64_t due_ns = advance_orders(pool, now_ns);
    advance_targets(pool, now_ns);
    place_waiting_tasks(pool, now_ns);
    urgency_update_contention(pool, now_ns);
    due_ns = min_ns(due_ns, advance_targets(pool, now_ns));
    return min_ns(due_ns, next_placement_ns(pool, now_ns));
}

pool_status_t
pool_read_status(const pool_t *pool, int64_t now_ns)
{
    pool_status_t status = {.order_count = pool->order_count,
                            .run_count = pool->run_count,
                            .call_count = pool->pending_calls,
                            .order_bytes =
                                atomic_load(&pool->order_memory.used_bytes),
                            .backlog_ms = wait_backlog_ms(pool, NULL)};
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (!session_accepts_starts(pool, target, now_ns) ||
            target->handover_ns <= now_ns) {
            continue;
        }
        status.target_count++;
        resources_t available = place_read_free(target);
        if (available.cpu_mcores > 0) {
            status.free_mcores += (uint64_t)available.cpu_mcores;
            room_add_target(&status.room, available.cpu_mcores);
        }
    }
    return status;
}

static const char *const session_names[] = {[kSessionNew] = "new",
                                            [kSessionReady] = "ready",
                                            [kSessionUnresponsive] = "mute"};

void
pool_describe(const pool_t *pool, int64_t now_ns,
              void (*visit)(void *owner, const char *line), void *owner)
{
    char line[kLineBytes];
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        snprintf(line, sizeof line,
                 "id=%s address=%s session=%s token=%llu runs=%u "
                 "slowness_permille=%u ejected=%d draining=%d fenced=%d",
                 target->info.id, target->info.address,
                 session_names[target->session],
                 (unsigned long long)target->token, target->run_count,
                 target->slowness_permille, target->eject_until_ns > now_ns,
                 target->info.is_draining, target->is_fenced);
        visit(owner, line);
    }
}
