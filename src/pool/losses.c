#include "pool/losses.h"

#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "base/hash.h"
#include "base/units.h"
#include "pool/pool.h"

enum {
    kEntryLimit = 512,
    /// Crashed targets after which a task is given up. One is not enough: a
    /// target may fail by itself, and then all of its tasks are suspected.
    kCrashLimit = 2,
    /// Lost runs after which a task is held for a while.
    kLossLimit = 2,
    /// Since the last loss. Longer than a caller waits for an answer; a sound
    /// task that is submitted again may then run.
    kHoldMs = 15000,
    /// Lost runs after which a task is held for as long as they are known.
    kLossMaximum = 5,
    kTtlMs = 180000 ///< longer than callers submit a job again
};

/// A lost run.
typedef struct {
    uint64_t job_hash; ///< of the job's name, compared first
    uint64_t reporter; ///< hash of the node that reported it; 0: this node
    run_name_t run;    ///< without the attempt
    char target[kPoolNameBytes];
    uint64_t born_ms; ///< the life of the target that started the run
    bool is_sudden;   ///< the target closed its connection under the run
    bool is_over;     ///< that life of the target is over
    int64_t lost_ns;
    int64_t changed_ns; ///< when it was recorded or found to be a crash
    int64_t expiry_ns;
} entry_t;

struct losses {
    entry_t entries[kEntryLimit];
    uint32_t count;
    uint64_t report_version;
};

losses_t *
losses_create(void)
{
    return calloc(1, sizeof(losses_t));
}

void
losses_destroy(losses_t *losses)
{
    free(losses);
}

/// Updates what is known of a loss; what was known before stays.
static void
update_entry(entry_t *entry, bool is_sudden, bool is_over, int64_t now_ns)
{
    if ((entry->is_sudden || !is_sudden) && (entry->is_over || !is_over)) {
        return;
    }
    entry->is_sudden |= is_sudden;
    entry->is_over |= is_over;
    entry->changed_ns = now_ns;
}

static void
remove_entry(losses_t *losses, uint32_t at)
{
    losses->entries[at] = losses->entries[--losses->count];
}

static void
remove_expired(losses_t *losses, int64_t now_ns)
{
    for (uint32_t i = losses->count; i-- > 0;) {
        if (losses->entries[i].expiry_ns <= now_ns) {
            remove_entry(losses, i);
        }
    }
}

/// Makes room for an entry: if there is none, the one that expires first goes.
static entry_t *
allocate_entry(losses_t *losses)
{
    if (losses->count < kEntryLimit) {
        return &losses->entries[losses->count++];
    }
    entry_t *first = &losses->entries[0];
    for (uint32_t i = 1; i < losses->count; i++) {
        if (losses->entries[i].expiry_ns < first->expiry_ns) {
            first = &losses->entries[i];
        }
    }
    return first;
}

static bool
is_task(const entry_t *entry, uint64_t job_hash, const char *job,
        uint32_t step, uint32_t index)
{
    return entry->job_hash == job_hash && entry->run.step == step &&
           entry->run.index == index && strcmp(entry->run.job, job) == 0;
}

/// @return the entry of the same task in the same life of the same target, or
///         NULL. Several nodes may know of one loss; it counts once.
static entry_t *
find_entry(losses_t *losses, const run_loss_t *loss)
{
    uint64_t job_hash = hash_text(loss->job);
    for (uint32_t i = 0; i < losses->count; i++) {
        entry_t *entry = &losses->entries[i];
        if (is_task(entry, job_hash, loss->job, loss->step, loss->index) &&
            entry->born_ms == loss->born_ms &&
            strcmp(entry->target, loss->target) == 0) {
            return entry;
        }
    }
    return NULL;
}

static void
put_entry(losses_t *losses, const run_loss_t *loss, uint64_t reporter,
          int64_t lost_ns, int64_t now_ns)
{
    entry_t *entry = find_entry(losses, loss);
    if (entry == NULL) {
        entry = allocate_entry(losses);
        *entry = (entry_t){.job_hash = hash_text(loss->job),
                           .reporter = reporter,
                           .run = {.step = loss->step, .index = loss->index},
                           .born_ms = loss->born_ms,
                           .lost_ns = lost_ns,
                           .changed_ns = now_ns};
        strncpy(entry->run.job, loss->job, sizeof entry->run.job - 1);
        strncpy(entry->target, loss->target, sizeof entry->target - 1);
        entry->expiry_ns = lost_ns + MS_TO_NS(kTtlMs);
    }
    if (reporter == 0) {
        entry->reporter = 0;
    }
    update_entry(entry, loss->is_sudden, loss->is_over, now_ns);
}

void
losses_add(losses_t *losses, const run_loss_t *loss, int64_t now_ns)
{
    remove_expired(losses, now_ns);
    put_entry(losses, loss, 0, now_ns, now_ns);
    losses->report_version++;
}

void
losses_resolve_target(losses_t *losses, const char *target, uint64_t born_ms,
                      bool is_answer, int64_t now_ns)
{
    for (uint32_t i = losses->count; i-- > 0;) {
        entry_t *entry = &losses->entries[i];
        if (entry->is_over || strcmp(entry->target, target) != 0) {
            continue;
        }
        if (entry->born_ms < born_ms) {
            // Reported by this node from now on: the one that lost the run may
            // be gone.
            entry->reporter = 0;
            update_entry(entry, false, true, now_ns);
            losses->report_version++;
        }
        else if (is_answer && entry->born_ms == born_ms) {
            losses->report_version += entry->reporter == 0;
            remove_entry(losses, i);
        }
    }
}

void
losses_end_target(losses_t *losses, const char *target, int64_t now_ns)
{
    losses_resolve_target(losses, target, UINT64_MAX, false, now_ns);
}

void
losses_remove(losses_t *losses, const run_loss_t *loss)
{
    const entry_t *entry = find_entry(losses, loss);
    if (entry != NULL) {
        losses->report_version += entry->reporter == 0;
        remove_entry(losses, (uint32_t)(entry - losses->entries));
    }
}

bool
losses_is_empty(const losses_t *losses)
{
    return losses->count == 0;
}

bool
losses_has_job(const losses_t *losses, const char *job, int64_t now_ns)
{
    if (losses->count == 0) {
        return false;
    }
    uint64_t job_hash = hash_text(job);
    for (uint32_t i = 0; i < losses->count; i++) {
        const entry_t *entry = &losses->entries[i];
        if (entry->job_hash == job_hash && entry->expiry_ns > now_ns &&
            strcmp(entry->run.job, job) == 0) {
            return true;
        }
    }
    return false;
}

care_t
losses_decide_care(const losses_t *losses, const char *job, uint32_t step,
                   uint32_t index, int64_t now_ns)
{
    uint64_t job_hash = hash_text(job);
    uint32_t loss_count = 0;
    uint32_t crash_count = 0;
    int64_t last_lost_ns = 0;
    for (uint32_t i = 0; i < losses->count; i++) {
        const entry_t *entry = &losses->entries[i];
        if (entry->expiry_ns > now_ns &&
            is_task(entry, job_hash, job, step, index)) {
            loss_count++;
            crash_count += entry->is_sudden && entry->is_over;
            last_lost_ns =
                entry->lost_ns > last_lost_ns ? entry->lost_ns : last_lost_ns;
        }
    }
    if (crash_count >= kCrashLimit) {
        return kCareGivenUp;
    }
    bool is_recent = now_ns < last_lost_ns + MS_TO_NS(kHoldMs);
    if (loss_count >= kLossMaximum ||
        (loss_count >= kLossLimit && is_recent)) {
        return kCareHeld;
    }
    return loss_count > 0 ? kCareAlone : kCareNone;
}

static int
compare_latest_first(const void *left, const void *right)
{
    int64_t left_ns = (*(const entry_t *const *)left)->changed_ns;
    int64_t right_ns = (*(const entry_t *const *)right)->changed_ns;
    return (left_ns < right_ns) - (left_ns > right_ns);
}

uint32_t
losses_report(const losses_t *losses, run_loss_t out[kLossReportLimit],
              int64_t now_ns)
{
    const entry_t *own[kEntryLimit];
    uint32_t count = 0;
    for (uint32_t i = 0; i < losses->count; i++) {
        const entry_t *entry = &losses->entries[i];
        if (entry->reporter == 0 && entry->expiry_ns > now_ns) {
            own[count++] = entry;
        }
    }
    qsort(own, count, sizeof(const entry_t *), compare_latest_first);
    count = count < kLossReportLimit ? count : kLossReportLimit;
    for (uint32_t i = 0; i < count; i++) {
        out[i] = (run_loss_t){
            .job = own[i]->run.job,
            .step = own[i]->run.step,
            .index = own[i]->run.index,
            .target = own[i]->target,
            .born_ms = own[i]->born_ms,
            .is_sudden = own[i]->is_sudden,
            .is_over = own[i]->is_over,
            .age_ms = (uint32_t)((now_ns - own[i]->lost_ns) / MS_TO_NS(1))};
    }
    return count;
}

static bool
is_listed(const entry_t *entry, const run_loss_t *list, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (entry->born_ms == list[i].born_ms &&
            entry->run.step == list[i].step &&
            entry->run.index == list[i].index &&
            strcmp(entry->target, list[i].target) == 0 &&
            strcmp(entry->run.job, list[i].job) == 0) {
            return true;
        }
    }
    return false;
}

void
losses_put_reported(losses_t *losses, const char *node, const run_loss_t *list,
                    uint32_t count, int64_t now_ns)
{
    uint64_t reporter = hash_text(node);
    bool is_complete = count < kLossReportLimit;
    remove_expired(losses, now_ns);
    for (uint32_t i = losses->count; i-- > 0;) {
        const entry_t *entry = &losses->entries[i];
        if (is_complete && entry->reporter == reporter && !entry->is_over &&
            !is_listed(entry, list, count)) {
            remove_entry(losses, i);
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        int64_t lost_ns = now_ns - MS_TO_NS(list[i].age_ms);
        if (lost_ns + MS_TO_NS(kTtlMs) > now_ns) {
            put_entry(losses, &list[i], reporter, lost_ns, now_ns);
        }
    }
}

uint64_t
losses_report_version(const losses_t *losses)
{
    return losses->report_version;
}
