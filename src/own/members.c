#include "ownership/members.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "base/units.h"

enum {
    kNewsMs = 1200, ///< until news of an owner has reached all nodes
    kRankStepMs = 500,
    kForeignMs = 3000, ///< that owners from elsewhere hold back for
    kReachMs = 2500, ///< that targets elsewhere must have been in reach: when
                     ///< a cut ends, their own owners take up to 2 s to
                     ///< come back
    kSettledMs = 5000, ///< before an owner that is not needed leaves
    kGatherMs = 500    ///< that a new node waits for others that start with
                       ///< it; all machines start within 300 ms
};

static const node_record_t *
copy_record(const node_record_t *record, arena_t *arena)
{
    node_record_t *copy = apr_pmemdup(arena, record, sizeof *record);
    copy->name = apr_pstrdup(arena, record->name);
    copy->dc = apr_pstrdup(arena, record->dc);
    copy->address = apr_pstrdup(arena, record->address);
    copy->pools = apr_pmemdup(arena, record->pools,
                              record->pools_count * sizeof *record->pools);
    for (uint32_t i = 0; i < record->pools_count; i++) {
        copy->pools[i] = apr_pstrdup(arena, record->pools[i]);
    }
    return copy;
}

member_t *
members_find(const members_t *members, const char *name)
{
    member_t *member = members->first;
    while (member != NULL && strcmp(member->record->name, name) != 0) {
        member = member->next;
    }
    return member;
}

member_t *
members_put(members_t *members, const node_record_t *record)
{
    member_t *member = members_find(members, record->name);
    arena_t *arena = arena_create();
    const node_record_t *copy = copy_record(record, arena);
    if (member == NULL) {
        member = calloc(1, sizeof *member);
        member->next = members->first;
        members->first = member;
    }
    arena_destroy(member->arena);
    member->arena = arena;
    member->record = copy;
    return member;
}

void
members_drop(members_t *members, const char *name)
{
    for (member_t **at = &members->first; *at != NULL; at = &(*at)->next) {
        member_t *member = *at;
        if (strcmp(member->record->name, name) == 0) {
            *at = member->next;
            arena_destroy(member->arena);
            free(member);
            return;
        }
    }
}

bool
member_has_record(const member_t *member, const node_record_t *record)
{
    const node_record_t *own = member->record;
    if (own->nonce != record->nonce || own->is_leaving != record->is_leaving ||
        own->pools_count != record->pools_count) {
        return false;
    }
    for (uint32_t i = 0; i < record->pools_count; i++) {
        if (!member_serves(member, record->pools[i])) {
            return false;
        }
    }
    return true;
}

bool
member_serves(const member_t *member, const char *dc)
{
    for (uint32_t i = 0; i < member->record->pools_count; i++) {
        if (strcmp(member->record->pools[i], dc) == 0) {
            return true;
        }
    }
    return false;
}

/// @return whether `left` goes before `right` as an owner
static bool
goes_before(const node_record_t *left, const node_record_t *right,
            const char *dc)
{
    bool is_left_own = strcmp(left->dc, dc) == 0;
    bool is_right_own = strcmp(right->dc, dc) == 0;
    if (is_left_own != is_right_own) {
        return is_left_own;
    }
    if (left->strength_milli != right->strength_milli) {
        return left->strength_milli > right->strength_milli;
    }
    return strcmp(left->name, right->name) < 0;
}

uint32_t
members_rank(const members_t *members, const member_t *self, const char *dc)
{
    uint32_t rank = 0;
    for (const member_t *member = members->first; member != NULL;
         member = member->next) {
        rank += member != self && !member->record->is_leaving &&
                goes_before(member->record, self->record, dc);
    }
    return rank;
}

/// @return whether another member is reached and owns targets
static bool
is_owner_elsewhere(const member_t *member, const char *dc)
{
    return !member->is_self && member->is_reached &&
           !member->record->is_leaving && member_serves(member, dc);
}

uint32_t
members_count_owners(const members_t *members, const char *dc)
{
    uint32_t count = 0;
    for (const member_t *member = members->first; member != NULL;
         member = member->next) {
        count += is_owner_elsewhere(member, dc);
    }
    return count;
}

uint32_t
members_count_owners_before(const members_t *members, const member_t *self,
                            const char *dc)
{
    uint32_t count = 0;
    for (const member_t *member = members->first; member != NULL;
         member = member->next) {
        count += is_owner_elsewhere(member, dc) &&
                 goes_before(member->record, self->record, dc);
    }
    return count;
}

uint32_t
members_count_in(const members_t *members, const char *dc)
{
    uint32_t count = 0;
    for (const member_t *member = members->first; member != NULL;
         member = member->next) {
        count +=
            !member->record->is_leaving && strcmp(member->record->dc, dc) == 0;
    }
    return count;
}

/// @return from when a node may join at all
static int64_t
gathered_ns(const candidate_t *candidate)
{
    return candidate->new_since_ns == 0
               ? 0
               : candidate->new_since_ns + MS_TO_NS(kGatherMs);
}

int64_t
candidate_join_ns(const candidate_t *candidate, int64_t now_ns)
{
    if (candidate->is_owner || candidate->short_since_ns == 0) {
        return INT64_MAX;
    }
    int64_t least_ns = gathered_ns(candidate);
    bool is_first = candidate->rank < candidate->wanted_count;
    if (candidate->is_own_dc && is_first) {
        return least_ns > now_ns ? least_ns : now_ns;
    }
    int64_t wait_ms =
        kNewsMs +
        (int64_t)kRankStepMs *
            (is_first ? 0 : candidate->rank - candidate->wanted_count);
    if (!candidate->is_own_dc && candidate->reached_since_ns == 0) {
        return INT64_MAX;
    }
    if (!candidate->is_own_dc) {
        int64_t reached_ns = candidate->reached_since_ns + MS_TO_NS(kReachMs);
        least_ns = reached_ns > least_ns ? reached_ns : least_ns;
        wait_ms += kForeignMs;
    }
    int64_t join_ns = candidate->short_since_ns + MS_TO_NS(wait_ms);
    return least_ns > join_ns ? least_ns : join_ns;
}

int64_t
candidate_leave_ns(const candidate_t *candidate)
{
    bool is_needed =
        candidate->is_own_dc && candidate->rank < candidate->wanted_count;
    if (!candidate->is_owner || is_needed ||
        candidate->settled_since_ns == 0) {
        return INT64_MAX;
    }
    return candidate->settled_since_ns + MS_TO_NS(kSettledMs);
}
