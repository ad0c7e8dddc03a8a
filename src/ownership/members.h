/// The nodes of the cluster, and the choice of those that own targets of a
/// data centre.
#ifndef JT_OWNERSHIP_MEMBERS_H
#define JT_OWNERSHIP_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/arena.h"
#include "generated/messages.h"

/// A node of the cluster as known to this node, which is a member too.
typedef struct member {
    struct member *next;
    arena_t *arena;
    const node_record_t *record;
    bool is_self;
    bool is_reachable;           ///< its link is up, or has not been tried yet
    bool is_lapsed;              ///< the store has passed its partitions on
    uint32_t missed_hello_count; ///< consecutive hellos without an answer
} member_t;

typedef struct {
    member_t *first;
} members_t;

/// Adds a node or replaces its record. The record is copied, without its
/// losses.
///
/// @return the member. The new record may belong to another process of the
///         node than the old one.
member_t *members_put(members_t *members, const node_record_t *record);

/// @return the member of that name, or NULL
member_t *members_find(const members_t *members, const char *name);

/// Removes a node.
void members_remove(members_t *members, const char *name);

/// @return whether a member's record equals another one in the process nonce,
///         the leaving state, the version of the losses and the owned data
///         centres
bool member_matches_record(const member_t *member,
                           const node_record_t *record);

/// @return whether a record says that its node owns targets of a data centre
bool record_has_pool(const node_record_t *record, const char *dc);

/// @return whether a member owns targets of a data centre
bool member_owns_dc(const member_t *member, const char *dc);

/// @return how many nodes are preferred to `self` as owners of a data centre's
///         targets: nodes of that data centre first, then those with a larger
///         share of a core
uint32_t members_find_rank(const members_t *members, const member_t *self,
                           const char *dc);

/// @return whether `left` is preferred to `right` as an owner of a data
///         centre's targets
bool members_rank_before(const node_record_t *left, const node_record_t *right,
                         const char *dc);

/// @return how many other reachable members own targets of a data centre
uint32_t members_count_owners(const members_t *members, const char *dc);

/// @return how many other reachable owners are preferred to this node
uint32_t members_count_preferred_owners(const members_t *members,
                                        const member_t *self, const char *dc);

/// @return how many members are located in a data centre, not leaving and not
///         cut off from the store
uint32_t members_count_in_dc(const members_t *members, const char *dc);

/// Decides how many owners the targets of a data centre need: at most one for
/// each `targets_per_owner`, but no nodes with a small share of a core as long
/// as the others can serve all targets. A partition is as large for a weak
/// node as for a strong one, and under load the weak one is late. Fewer owners
/// also make better use of the targets: more of them are seen by each.
uint32_t members_decide_owner_count(const members_t *members, const char *dc,
                                    uint32_t target_count,
                                    uint32_t targets_per_owner);

/// What this node considers when it decides whether to own targets of a data
/// centre.
typedef struct {
    uint32_t rank;         ///< of this node, by members_find_rank
    uint32_t wanted_count; ///< owners that the targets need
    uint32_t owner_count;  ///< other reachable owners
    bool is_local;         ///< this node is located in the data centre
    bool is_owner;         ///< this node is an owner already
    /// When this node first received the list of nodes; 0 if it has restarted.
    int64_t listed_ns;
    /// Since when the targets, in another data centre, have answered probes; 0
    /// if they do not.
    int64_t reachable_since_ns;
    /// Since when there have been too few owners; 0 if there are enough.
    int64_t shortage_since_ns;
    /// Since when there have been enough owners that are preferred to this
    /// node; 0 if there are not.
    int64_t surplus_since_ns;
} candidate_t;

/// Decides when to join the owners. A node never displaces an owner, even one
/// that it is preferred to, because each handover costs capacity.
///
/// @return when this node should join, or INT64_MAX
int64_t candidate_join_ns(const candidate_t *candidate, int64_t now_ns);

/// Decides when to prepare to join the owners of another data centre: to read
/// its targets and to check that they are reachable.
///
/// @return when this node should prepare, or INT64_MAX
int64_t candidate_prepare_ns(const candidate_t *candidate);

/// Decides when to leave the owners. When there are too many, the least
/// preferred ones leave: never all of them, and never in favour of a node that
/// is not an owner.
///
/// @return when this node should leave, or INT64_MAX
int64_t candidate_leave_ns(const candidate_t *candidate);

#endif
