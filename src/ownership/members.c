#include "ownership/members.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "base/units.h"

enum {
    kPropagationMs = 1200, ///< until all nodes know of a new owner
    kRankDelayMs = 500,    ///< added for each rank beyond wanted_count
    /// The same while the data centre has no owner at all.
    kUrgentPropagationMs = 400,
    kUrgentRankDelayMs = 200,
    kRemoteDelayMs = 3000, ///< added for nodes of other data centres
    /// How long remote targets must have been reachable: after a network split
    /// ends, their local owners take up to 2 s to return.
    kStableReachableMs = 2500,
    kStrongDivisor = 2,   ///< a strong node has this part of the largest core
                          ///< share in its data centre
    kTargetCoreMilli = 4, ///< share of a core that an owner needs for each of
                          ///< its targets under full load, with a reserve
    kPrepareMs = 4200,    ///< before a node of another data centre joins:
                          ///< kStableReachableMs, a list and some probes
    kLeaveDelayMs = 5000, ///< from a surplus of owners until one leaves
    /// How long a new node waits for others that start at the same time; all
    /// machines start within 300 ms.
    kStartupWaitMs = 500
};

static const node_record_t *
copy_record(const node_record_t *record, arena_t *arena)
{
    node_record_t *copy = apr_pmemdup(arena, record, sizeof *record);
    copy->name = apr_pstrdup(arena, record->name);
    copy->dc = apr_pstrdup(arena, record->dc);
    copy->address = apr_pstrdup(arena, record->address);
    copy->losses = NULL; // the pool's loss log has them
    copy->losses_count = 0;
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
members_remove(members_t *members, const char *name)
{
    for (member_t **link = &members->first; *link != NULL;
         link = &(*link)->next) {
        member_t *member = *link;
        if (strcmp(member->record->name, name) == 0) {
            *link = member->next;
            arena_destroy(member->arena);
            free(member);
            return;
        }
    }
}

bool
member_matches_record(const member_t *member, const node_record_t *record)
{
    const node_record_t *known = member->record;
    if (known->nonce != record->nonce ||
        known->is_leaving != record->is_leaving ||
        known->loss_version != record->loss_version ||
        known->pools_count != record->pools_count) {
        return false;
    }
    for (uint32_t i = 0; i < record->pools_count; i++) {
        if (!member_owns_dc(member, record->pools[i])) {
            return false;
        }
    }
    return true;
}

bool
record_has_pool(const node_record_t *record, const char *dc)
{
    for (uint32_t i = 0; i < record->pools_count; i++) {
        if (strcmp(record->pools[i], dc) == 0) {
            return true;
        }
    }
    return false;
}

bool
member_owns_dc(const member_t *member, const char *dc)
{
    return record_has_pool(member->record, dc);
}

bool
members_rank_before(const node_record_t *left, const node_record_t *right,
                    const char *dc)
{
    bool is_left_local = strcmp(left->dc, dc) == 0;
    bool is_right_local = strcmp(right->dc, dc) == 0;
    if (is_left_local != is_right_local) {
        return is_left_local;
    }
    if (left->core_share_milli != right->core_share_milli) {
        return left->core_share_milli > right->core_share_milli;
    }
    return strcmp(left->name, right->name) < 0;
}

uint32_t
members_find_rank(const members_t *members, const member_t *self,
                  const char *dc)
{
    uint32_t rank = 0;
    for (const member_t *member = members->first; member != NULL;
         member = member->next) {
        rank += member != self && !member->record->is_leaving &&
                !member->is_lapsed &&
                members_rank_before(member->record, self->record, dc);
    }
    return rank;
}

/// @return whether a member is a reachable owner other than this node
static bool
is_other_owner(const member_t *member, const char *dc)
{
    return !member->is_self && member->is_reachable && !member->is_lapsed &&
           !member->record->is_leaving && member_owns_dc(member, dc);
}

uint32_t
members_count_owners(const members_t *members, const char *dc)
{
    uint32_t count = 0;
    for (const member_t *member = members->first; member != NULL;
         member = member->next) {
        count += is_other_owner(member, dc);
    }
    return count;
}

uint32_t
members_count_preferred_owners(const members_t *members, const member_t *self,
                               const char *dc)
{
    uint32_t count = 0;
    for (const member_t *member = members->first; member != NULL;
         member = member->next) {
        count += is_other_owner(member, dc) &&
                 members_rank_before(member->record, self->record, dc);
    }
    return count;
}

static bool
is_available_in_dc(const member_t *member, const char *dc)
{
    return !member->record->is_leaving && !member->is_lapsed &&
           strcmp(member->record->dc, dc) == 0;
}

uint32_t
members_count_in_dc(const members_t *members, const char *dc)
{
    uint32_t count = 0;
    for (const member_t *member = members->first; member != NULL;
         member = member->next) {
        count += is_available_in_dc(member, dc);
    }
    return count;
}

static int
compare_descending(const void *left, const void *right)
{
    uint32_t a = *(const uint32_t *)left;
    uint32_t b = *(const uint32_t *)right;
    return (a < b) - (a > b);
}

/// Lists the core shares of the available nodes of a data centre, the largest
/// first, as the nodes rank.
///
/// @param shares_milli  has room for all available nodes
static void
list_shares(const members_t *members, const char *dc, uint32_t *shares_milli)
{
    uint32_t count = 0;
    for (const member_t *member = members->first; member != NULL;
         member = member->next) {
        if (is_available_in_dc(member, dc)) {
            shares_milli[count++] = member->record->core_share_milli;
        }
    }
    qsort(shares_milli, count, sizeof *shares_milli, compare_descending);
}

/// @return how many nodes have at least half of the core share of the
///         strongest one
static uint32_t
count_strong(const uint32_t *shares_milli, uint32_t available)
{
    uint32_t count = 0;
    while (count < available &&
           shares_milli[count] * kStrongDivisor >= shares_milli[0]) {
        count++;
    }
    return count;
}

/// The store gives each owner an equal part of the targets.
///
/// @return the least number of owners, in order of rank, whose weakest has
///         enough of a core for its part; `limit` if no number has
static uint32_t
count_sufficient(const uint32_t *shares_milli, uint32_t limit,
                 uint32_t target_count)
{
    for (uint32_t count = 1; count < limit; count++) {
        if (target_count * kTargetCoreMilli <=
            shares_milli[count - 1] * count) {
            return count;
        }
    }
    return limit;
}

uint32_t
members_decide_owner_count(const members_t *members, const char *dc,
                           uint32_t target_count, uint32_t targets_per_owner)
{
    uint32_t available = members_count_in_dc(members, dc);
    uint32_t most = (target_count + targets_per_owner / 2) / targets_per_owner;
    most = most > 1 ? most : 1;
    if (available == 0) {
        return most;
    }
    most = most < available ? most : available;
    uint32_t *shares_milli = calloc(available, sizeof *shares_milli);
    list_shares(members, dc, shares_milli);
    uint32_t sufficient = count_sufficient(shares_milli, most, target_count);
    uint32_t strong = count_strong(shares_milli, available);
    free(shares_milli);
    uint32_t wanted = sufficient > strong ? sufficient : strong;
    return wanted < most ? wanted : most;
}

/// @return when a new node stops waiting for the others; 0 for a restarted one
static int64_t
startup_wait_end_ns(const candidate_t *candidate)
{
    return candidate->listed_ns == 0
               ? 0
               : candidate->listed_ns + MS_TO_NS(kStartupWaitMs);
}

/// @return how long a shortage lasts before a node that is not a preferred
///         owner of its own data centre joins
static int64_t
join_delay_ns(const candidate_t *candidate)
{
    uint32_t excess_rank = candidate->rank < candidate->wanted_count
                               ? 0
                               : candidate->rank - candidate->wanted_count;
    bool is_urgent = candidate->owner_count == 0 && candidate->is_local;
    int64_t first_ms = is_urgent ? kUrgentPropagationMs : kPropagationMs;
    int64_t step_ms = is_urgent ? kUrgentRankDelayMs : kRankDelayMs;
    return MS_TO_NS(first_ms + step_ms * excess_rank +
                    (candidate->is_local ? 0 : kRemoteDelayMs));
}

int64_t
candidate_prepare_ns(const candidate_t *candidate)
{
    if (candidate->is_local || candidate->is_owner ||
        candidate->shortage_since_ns == 0) {
        return INT64_MAX;
    }
    return candidate->shortage_since_ns + join_delay_ns(candidate) -
           MS_TO_NS(kPrepareMs);
}

int64_t
candidate_join_ns(const candidate_t *candidate, int64_t now_ns)
{
    if (candidate->is_owner || candidate->shortage_since_ns == 0) {
        return INT64_MAX;
    }
    int64_t earliest_ns = startup_wait_end_ns(candidate);
    bool is_preferred = candidate->rank < candidate->wanted_count;
    if (candidate->is_local && is_preferred) {
        return earliest_ns > now_ns ? earliest_ns : now_ns;
    }
    if (!candidate->is_local && candidate->reachable_since_ns == 0) {
        return INT64_MAX;
    }
    if (!candidate->is_local) {
        int64_t stable_ns =
            candidate->reachable_since_ns + MS_TO_NS(kStableReachableMs);
        earliest_ns = stable_ns > earliest_ns ? stable_ns : earliest_ns;
    }
    int64_t since_ns = candidate->shortage_since_ns;
    if (candidate->is_local && earliest_ns > since_ns) {
        since_ns = earliest_ns; // the preferred nodes join then
    }
    int64_t join_ns = since_ns + join_delay_ns(candidate);
    return earliest_ns > join_ns ? earliest_ns : join_ns;
}

int64_t
candidate_leave_ns(const candidate_t *candidate)
{
    bool is_needed =
        candidate->is_local && candidate->rank < candidate->wanted_count;
    if (!candidate->is_owner || is_needed ||
        candidate->surplus_since_ns == 0) {
        return INT64_MAX;
    }
    return candidate->surplus_since_ns + MS_TO_NS(kLeaveDelayMs);
}
