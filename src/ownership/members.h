/// Which nodes exist, and which of them should own targets of a data centre.
#ifndef JT_OWNERSHIP_MEMBERS_H
#define JT_OWNERSHIP_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/arena.h"
#include "generated/messages.h"

/// What this node knows of another one, or of itself.
typedef struct member {
    struct member *next;
    arena_t *arena;
    const node_record_t *record;
    bool is_self;
    bool is_reached;     ///< its link is up, or was not tried yet
    uint32_t miss_count; ///< greetings in a row that it did not answer
} member_t;

typedef struct {
    member_t *first;
} members_t;

/// Takes a record of a node.
///
/// @return the member; its record may be of another process than before
member_t *members_put(members_t *members, const node_record_t *record);

/// @return the member of that name, or NULL
member_t *members_find(const members_t *members, const char *name);

/// Forgets a node.
void members_drop(members_t *members, const char *name);

/// @return whether a member's record says the same as another one
bool member_has_record(const member_t *member, const node_record_t *record);

/// @return whether a member owns targets of a data centre
bool member_serves(const member_t *member, const char *dc);

/// @return how many nodes go before this one as owner of a data centre's
///         targets: its own ones first, then the stronger ones
uint32_t members_rank(const members_t *members, const member_t *self,
                      const char *dc);

/// @return how many reached members own targets of a data centre
uint32_t members_count_owners(const members_t *members, const char *dc);

/// @return how many of these go before this node
uint32_t members_count_owners_before(const members_t *members,
                                     const member_t *self, const char *dc);

/// @return how many members stand in a data centre and are not leaving
uint32_t members_count_in(const members_t *members, const char *dc);

/// What the choice to own rests on.
typedef struct {
    uint32_t rank;            ///< of this node
    uint32_t wanted_count;    ///< owners that the targets need
    uint32_t owner_count;     ///< other owners that are reached
    bool is_own_dc;           ///< this node stands there
    bool is_owner;            ///< this node owns some already
    int64_t new_since_ns;     ///< since when a new node knows the others; 0:
                              ///< it has run before
    int64_t reached_since_ns; ///< since when targets elsewhere have answered
                              ///< probes; 0: they do not
    int64_t short_since_ns;   ///< since when owners were too few; 0: they
                              ///< are not
    int64_t settled_since_ns; ///< since when owners that go before this node
                              ///< were enough; 0: they are not
} candidate_t;

/// An owner is never pushed out by a node that goes before it: each hand-over
/// costs room.
///
/// @return when this node should join the owners, or INT64_MAX
int64_t candidate_join_ns(const candidate_t *candidate, int64_t now_ns);

/// Of owners that are too many, the last ones leave: never all of them, and
/// not for a node that is none.
///
/// @return when this node should leave the owners, or INT64_MAX
int64_t candidate_leave_ns(const candidate_t *candidate);

#endif
