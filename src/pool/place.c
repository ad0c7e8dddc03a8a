/// Placement: which waiting task starts on which target.
#include <stdlib.h>
#include <string.h>

#include "pool/state.h"

enum {
    kAcceptPercent =
        95, ///< of the objective that a run may be expected to take
    kAvoidPenaltyPermille = 3000, ///< for the target of the last bad run
    kDoubtPenaltyPermille = 1300, ///< after a failure that may be the order's
    kLeastLeftMs = 10,            ///< of a run that is over its expected time
    kFitWeightPermille = 50       ///< of room left over, against the run time
};

/// Room of a target that no run occupies.
typedef struct {
    int64_t cpu_mcores;
    int64_t memory_mb;
    int64_t accelerators;
} room_t;

static room_t
read_room(const pool_target_t *target)
{
    room_t room = {.cpu_mcores = target->info.cpu_mcores,
                   .memory_mb = target->info.memory_mb,
                   .accelerators = target->info.accelerators};
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        room.cpu_mcores -= run->cpu_mcores;
        room.memory_mb -= run->memory_mb;
        room.accelerators -= run->accelerators;
    }
    return room;
}

static bool
fits(const room_t *room, const order_step_t *step)
{
    return room->cpu_mcores >= (int64_t)step->cpu_mcores &&
           room->memory_mb >= (int64_t)step->memory_mb &&
           room->accelerators >= (int64_t)step->accelerators;
}

static bool
has_label(const pool_target_info_t *info, const char *label)
{
    for (uint32_t i = 0; i < info->label_count; i++) {
        if (strcmp(info->labels[i], label) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_allowed(const pool_target_t *target, const order_t *order,
           const order_step_t *step)
{
    return strcmp(target->info.service, order->service) == 0 &&
           (step->constraint[0] == '\0' ||
            has_label(&target->info, step->constraint));
}

/// @return whether one more task of a step may run on a target
static bool
is_within_limit(const pool_target_t *target, const pool_task_t *task,
                const order_step_t *step)
{
    if (step->per_target_limit == 0) {
        return true;
    }
    uint32_t count = 0;
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        count += !run->is_over && run->name.step == task->step &&
                 strcmp(run->name.job, task->order->order->job) == 0;
    }
    return count < step->per_target_limit;
}

int64_t
place_expected_ns(const pool_t *pool, uint32_t estimate_ms,
                  const pool_target_t *target)
{
    return MS_TO_NS(estimate_ms) / 1000 * pool->bias_permille / 1000 *
           target->slowness_permille;
}

/// What a placement of a task is expected to take, with penalties that only
/// order the choice.
static int64_t
score_ns(const pool_t *pool, const pool_task_t *task, const order_step_t *step,
         const pool_target_t *target, const room_t *room, int64_t *expected_ns)
{
    int64_t time_ns = place_expected_ns(pool, step->estimate_ms, target);
    if (step->data_rack[0] != '\0' &&
        !has_label(&target->info, step->data_rack)) {
        time_ns = time_ns / 1000 * pool->limits.remote_permille;
    }
    *expected_ns = time_ns;
    int64_t score = time_ns;
    if (strcmp(task->avoid, target->info.id) == 0) {
        score = score / 1000 * kAvoidPenaltyPermille;
    }
    if (target->fail_count > 0) {
        score = score / 1000 * kDoubtPenaltyPermille;
    }
    int64_t left = room->cpu_mcores - (int64_t)step->cpu_mcores;
    int64_t whole = target->info.cpu_mcores > 0 ? target->info.cpu_mcores : 1;
    return score + score / 1000 * kFitWeightPermille * left / whole;
}

/// The best placements found for a task.
typedef struct {
    pool_target_t *target; ///< with room now, or NULL
    int64_t score_ns;
    int64_t expected_ns;
    int64_t fastest_ns; ///< expected time on the fastest target, room or not
} choice_t;

static choice_t
choose(pool_t *pool, const pool_task_t *task, int64_t now_ns)
{
    const order_t *order = task->order->order;
    const order_step_t *step = &order->steps[task->step];
    choice_t choice = {.score_ns = INT64_MAX, .fastest_ns = INT64_MAX};
    for (pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (!session_is_open(target, now_ns) ||
            !is_allowed(target, order, step)) {
            continue;
        }
        room_t room = read_room(target);
        int64_t expected_ns = 0;
        int64_t score =
            score_ns(pool, task, step, target, &room, &expected_ns);
        if (expected_ns < choice.fastest_ns) {
            choice.fastest_ns = expected_ns;
        }
        if (score < choice.score_ns && fits(&room, step) &&
            is_within_limit(target, task, step)) {
            choice.target = target;
            choice.score_ns = score;
            choice.expected_ns = expected_ns;
        }
    }
    return choice;
}

/// Decides whether a task waits for a faster target: only where the one with
/// room would miss the objective and a faster one may still meet it.
static bool
should_wait(const pool_order_t *order, const choice_t *choice, int64_t now_ns)
{
    int64_t left_ns = (order->received_ns + order->objective_ns - now_ns) /
                      100 * kAcceptPercent;
    return choice->expected_ns > left_ns && choice->fastest_ns <= left_ns;
}

static bool
is_ready(const pool_task_t *task, int64_t now_ns)
{
    const order_step_t *step = &task->order->order->steps[task->step];
    for (uint32_t i = 0; i < step->depends_on_count; i++) {
        uint32_t earlier = step->depends_on[i];
        if (earlier < task->order->order->steps_count &&
            task->order->step_left[earlier] > 0) {
            return false;
        }
    }
    return task->state == kTaskWaiting && task->due_ns <= now_ns;
}

/// Starts what can be started of an order.
///
/// @param full_mcores  least size of a task that found no room; updated
static void
place_order(pool_t *pool, pool_order_t *order, uint32_t *full_mcores,
            int64_t now_ns)
{
    for (uint32_t i = 0; i < order->task_count; i++) {
        pool_task_t *task = &order->tasks[i];
        const order_step_t *step = &order->order->steps[task->step];
        if (!is_ready(task, now_ns) || step->cpu_mcores >= *full_mcores) {
            continue;
        }
        choice_t choice = choose(pool, task, now_ns);
        if (choice.target == NULL) {
            if (step->constraint[0] == '\0' && step->per_target_limit == 0) {
                *full_mcores = step->cpu_mcores;
            }
            return;
        }
        if (should_wait(order, &choice, now_ns)) {
            return;
        }
        run_create(pool, choice.target, task, now_ns);
    }
}

void
place_all(pool_t *pool, int64_t now_ns)
{
    uint32_t full_mcores = UINT32_MAX;
    pool_order_t *next;
    for (pool_order_t *order = pool->first; order != NULL; order = next) {
        next = order->next;
        if (order->waiting_count > 0) {
            place_order(pool, order, &full_mcores, now_ns);
        }
    }
}

bool
place_has_ready(const pool_t *pool)
{
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (target->session == kSessionReady && !target->info.is_draining) {
            return true;
        }
    }
    return false;
}

bool
place_could_ever(const pool_t *pool, const order_t *order)
{
    for (uint32_t i = 0; i < order->steps_count; i++) {
        bool is_found = false;
        for (const pool_target_t *target = pool->first_target;
             target != NULL && !is_found; target = target->next) {
            room_t room = {.cpu_mcores = target->info.cpu_mcores,
                           .memory_mb = target->info.memory_mb,
                           .accelerators = target->info.accelerators};
            is_found = target->session == kSessionReady &&
                       !target->is_dropped && !target->info.is_draining &&
                       is_allowed(target, order, &order->steps[i]) &&
                       fits(&room, &order->steps[i]);
        }
        if (!is_found) {
            return false;
        }
    }
    return true;
}

/// What stands before a new order, for the guess of its wait.
typedef struct {
    uint64_t free_count;  ///< tasks of its size that fit now
    uint64_t ahead_count; ///< waiting tasks that go first
    int64_t *ends_ns;     ///< when runs are expected to end, from now on
    uint32_t end_count;
} line_t;

static int
compare_ns(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return (a > b) - (a < b);
}

/// Notes when the runs of a target are expected to end.
static void
read_ends(const pool_t *pool, const pool_target_t *target, line_t *line,
          int64_t now_ns)
{
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        if (run->is_over) {
            continue;
        }
        int64_t left_ns = run->started_ns +
                          place_expected_ns(pool, run->estimate_ms, target) -
                          now_ns;
        line->ends_ns[line->end_count++] = left_ns > MS_TO_NS(kLeastLeftMs)
                                               ? left_ns
                                               : MS_TO_NS(kLeastLeftMs);
    }
}

static void
read_line(const pool_t *pool, const order_t *order, const order_step_t *step,
          line_t *line, int64_t now_ns)
{
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (!session_is_open(target, now_ns)) {
            continue;
        }
        room_t room = read_room(target);
        if (room.cpu_mcores > 0 && step->cpu_mcores > 0) {
            line->free_count += (uint64_t)room.cpu_mcores / step->cpu_mcores;
        }
        read_ends(pool, target, line, now_ns);
    }
    for (const pool_order_t *other = pool->first; other != NULL;
         other = other->next) {
        if (other->order->priority > order->priority) {
            break;
        }
        line->ahead_count += other->waiting_count;
    }
}

/// @return the expected wait until the last of `count` tasks starts
static int64_t
guess_wait_ns(const line_t *line, uint64_t count)
{
    uint64_t needed = line->ahead_count + count;
    if (needed <= line->free_count) {
        return 0;
    }
    needed -= line->free_count;
    if (line->end_count == 0) {
        return INT64_MAX / 4;
    }
    // Beyond the runs at work now, the same again in their longest time.
    int64_t rounds = (int64_t)((needed - 1) / line->end_count);
    return line->ends_ns[(needed - 1) % line->end_count] +
           rounds * line->ends_ns[line->end_count - 1];
}

int64_t
place_wait_ns(const pool_t *pool, const order_t *order, int64_t now_ns)
{
    const order_step_t *step = &order->steps[0];
    line_t line = {0};
    line.ends_ns = malloc((pool->run_count + 1) * sizeof *line.ends_ns);
    read_line(pool, order, step, &line, now_ns);
    qsort(line.ends_ns, line.end_count, sizeof *line.ends_ns, compare_ns);
    bool can_begin = line.ahead_count < line.free_count;
    int64_t wait_ns = can_begin ? 0 : guess_wait_ns(&line, step->task_count);
    free(line.ends_ns);
    return wait_ns;
}

uint32_t
place_backlog_ms(const pool_t *pool, uint32_t priority)
{
    uint64_t work = 0; // in 1/1000 of a core times milliseconds
    for (const pool_order_t *order = pool->first; order != NULL;
         order = order->next) {
        if (order->order->priority > priority) {
            break;
        }
        for (uint32_t i = 0; i < order->task_count; i++) {
            const order_step_t *step =
                &order->order->steps[order->tasks[i].step];
            if (order->tasks[i].state == kTaskWaiting) {
                work += (uint64_t)step->cpu_mcores * step->estimate_ms;
            }
        }
    }
    uint64_t room_mcores = 0;
    for (const pool_target_t *target = pool->first_target; target != NULL;
         target = target->next) {
        if (target->session == kSessionReady && !target->is_dropped) {
            room_mcores += target->info.cpu_mcores;
        }
    }
    return room_mcores == 0 ? 0 : (uint32_t)(work / room_mcores);
}
