/// Decides where a node gets the targets of its data centre from: from the
/// platform's store, or from a reader, a node of the data centre that reads
/// the store and passes changes on. The load on the store then depends on the
/// number of data centres and not on the number of nodes.
///
/// The first nodes of a data centre by rank are readers, and so is every node
/// that has followers: nodes that disagree about the ranks still get a feed.
/// A node whose feed is not fresh reads the store itself until it is.
#ifndef JT_OWNERSHIP_FEED_H
#define JT_OWNERSHIP_FEED_H

#include <stdbool.h>
#include <stdint.h>

enum {
    kFeedReaders = 2,    ///< nodes of a data centre that are always readers
    kFeedCandidates = 4, ///< nodes that may be followed, by rank
    kFeedNameBytes = 256
};

/// A node that may be followed.
typedef struct {
    const char *name;
    bool is_up; ///< there is a link to it
} feed_candidate_t;

/// What the decision depends on.
typedef struct {
    int64_t now_ns;
    uint32_t rank;      ///< of this node in its data centre
    bool has_followers; ///< other nodes follow this one
    bool needs_all_dcs; ///< it needs the targets of other data centres, too
    const feed_candidate_t *candidates; ///< other nodes, by rank
    uint32_t candidate_count;
} feed_input_t;

typedef struct {
    char source[kFeedNameBytes]; ///< followed node; empty: none
    int64_t start_end_ns;   ///< until when only the first ranks are followed
    int64_t follow_end_ns;  ///< until when the first update must have come
    int64_t fresh_until_ns; ///< by the age of the last update
    int64_t read_until_ns;  ///< until when this node reads the store itself
    int64_t grace_ns;   ///< from the end of freshness to a read of the store;
                        ///< random, so that nodes do not read it at once
    int64_t return_ns;  ///< when to try the first ranks again
    bool has_update;    ///< from the followed node
    uint32_t preferred; ///< of the first ranks; differs between nodes
    uint32_t next_candidate;
} feed_t;

typedef struct {
    bool reads_store;
    const char *source; ///< node to follow; NULL: none
    bool is_new_source; ///< the node must be asked for updates
    int64_t due_ns;     ///< when to decide again, or INT64_MAX
} feed_decision_t;

/// @param seed  a random number that differs between nodes
void feed_init(feed_t *feed, int64_t now_ns, uint64_t seed);

feed_decision_t feed_decide(feed_t *feed, const feed_input_t *input);

/// Records an update from the followed node.
///
/// @param age_ns  time since that node read the store
void feed_record_update(feed_t *feed, int64_t age_ns, int64_t now_ns);

/// @return whether a node is the one that is followed
bool feed_follows(const feed_t *feed, const char *name);

#endif
