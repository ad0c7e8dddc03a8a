/// The nodes of the cluster, and the choice of those that own targets of a
/// data centre.
#ifndef JT_OWNERSHIP_MEMBERS_H
#define JT_OWNERSHIP_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/arena.h"
#include "generated/messages.h"

/// A node as this one knows it; one member is this node itself.
typedef struct member {
    struct member *next;
    arena_t *arena;
    const node_record_t *record;
    bool is_self;
    bool is_reachable;           ///< its link is up, or has not been tried yet
    uint32_t missed_hello_count; ///< hellos in a row without an answer
} member_t;

typedef struct {
    member_t *first;
} members_t;

/// Adds a node or replaces its record. The record is copied.
///
/// @return the member; the new record may be from another process of the node
member_t *members_put(members_t *members, const node_record_t *record);

/// @return the member of that name, or NULL
member_t *members_find(const members_t *members, const char *name);

/// Removes a node.
void members_remove(members_t *members, const char *name);

/// @return whether a member's record has the same process, leaving state and
///         data centres as another one
bool member_matches_record(const member_t *member,
                           const node_record_t *record);

/// @return whether a member owns targets of a data centre
bool member_owns_dc(const member_t *member, const char *dc);

/// @return how many nodes are preferred to this one as owners of a data
///         centre's targets: nodes of that data centre first, then those with
///         a larger share of a core
uint32_t members_find_rank(const members_t *members, const member_t *self,
                           const char *dc);

/// @return how many other reachable members own targets of a data centre
uint32_t members_count_owners(const members_t *members, const char *dc);

/// @return how many of these are preferred to this node
uint32_t members_count_preferred_owners(const members_t *members,
                                        const member_t *self, const char *dc);

/// @return how many members are located in a data centre and not leaving
uint32_t members_count_in_dc(const members_t *members, const char *dc);

/// What this node bases its choice on to own targets of a data centre or not.
typedef struct {
    uint32_t rank;         ///< of this node
    uint32_t wanted_count; ///< owners that the targets need
    uint32_t owner_count;  ///< other reachable owners
    bool is_local;         ///< this node is located in the data centre
    bool is_owner;         ///< this node is an owner already
    int64_t listed_ns;     ///< when this new node first had the list of nodes;
                           ///< 0 for a restarted one
    int64_t reachable_since_ns; ///< since when the targets of another data
                                ///< centre have answered probes; 0: they do
                                ///< not
    int64_t shortage_since_ns;  ///< since when owners have been too few; 0:
                                ///< they are not
    int64_t surplus_since_ns;   ///< since when there have been enough owners
                                ///< preferred to this node; 0: there are not
} candidate_t;

/// A node never displaces an owner, even one that it is preferred to: each
/// handover costs capacity.
///
/// @return when this node should join the owners, or INT64_MAX
int64_t candidate_join_ns(const candidate_t *candidate, int64_t now_ns);

/// When there are too many owners, the least preferred ones leave: never all
/// of them, and never in favour of a node that is not an owner.
///
/// @return when this node should leave the owners, or INT64_MAX
int64_t candidate_leave_ns(const candidate_t *candidate);

#endif
