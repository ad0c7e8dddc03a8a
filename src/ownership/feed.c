#include "ownership/feed.h"

#include <stddef.h>
#include <string.h>

#include "base/units.h"

enum {
    /// How old the state of the store may be. A reader reads each 400 ms, and
    /// one lost read costs it 450 ms. Targets that drain must get no start
    /// after 2 s.
    kFreshMs = 1000,
    kFirstUpdateMs = 300, ///< from the request to the first update
    kReturnMs = 5000,     ///< until a node that follows a later rank tries a
                          ///< node that is always a reader again
    kStartMs = 500,       ///< for a new node to find a reader
    kStartReaderMs = 300, ///< of it, in which only nodes that are always
                          ///< readers are considered
    kMinGraceMs = 100,  ///< from the end of freshness to a read of the store,
                        ///< in which another reader may take over
    kMaxJitterMs = 200, ///< added to it
    kMinReadMs = 3000   ///< a node whose feed failed reads the store for at
                        ///< least this long
};

void
feed_init(feed_t *feed, int64_t now_ns, uint64_t seed)
{
    *feed = (feed_t){
        .fresh_until_ns = now_ns + MS_TO_NS(kStartMs),
        .grace_ns = MS_TO_NS(kMinGraceMs + (int64_t)(seed % kMaxJitterMs)),
        .next_candidate = (uint32_t)(seed % kFeedReaders),
        .preferred = (uint32_t)(seed % kFeedReaders)};
}

void
feed_record_update(feed_t *feed, int64_t age_ns, int64_t now_ns)
{
    int64_t fresh_until_ns = now_ns - age_ns + MS_TO_NS(kFreshMs);
    feed->has_update = true;
    if (fresh_until_ns > feed->fresh_until_ns) {
        feed->fresh_until_ns = fresh_until_ns;
    }
}

bool
feed_follows(const feed_t *feed, const char *name)
{
    return feed->source[0] != '\0' && strcmp(feed->source, name) == 0;
}

/// @return whether the followed node still passes on fresh state, or has just
///         been asked for it
static bool
is_source_working(const feed_t *feed, const feed_input_t *input)
{
    return input->now_ns < feed->follow_end_ns ||
           (feed->has_update && input->now_ns < feed->fresh_until_ns);
}

/// @return whether to leave a node that is a reader only because it is
///         followed
static bool
should_return(const feed_t *feed, const feed_input_t *input, uint32_t index)
{
    bool is_reader_up = false;
    for (uint32_t i = 0; i < kFeedReaders && i < input->candidate_count; i++) {
        is_reader_up |= input->candidates[i].is_up;
    }
    return index >= kFeedReaders && is_reader_up &&
           input->now_ns >= feed->return_ns;
}

/// @return whether to keep following the same node
static bool
keeps_source(feed_t *feed, const feed_input_t *input)
{
    for (uint32_t i = 0; i < input->candidate_count; i++) {
        if (!feed_follows(feed, input->candidates[i].name)) {
            continue;
        }
        if (should_return(feed, input, i)) {
            feed->next_candidate = feed->preferred;
            return false;
        }
        return input->candidates[i].is_up && is_source_working(feed, input);
    }
    return false;
}

/// Chooses the next candidate in turn to which there is a link.
///
/// @return whether there is one
static bool
choose_source(feed_t *feed, const feed_input_t *input)
{
    uint32_t count = input->candidate_count;
    if (input->now_ns < feed->start_end_ns && count > kFeedReaders) {
        count = kFeedReaders;
    }
    feed->source[0] = '\0';
    for (uint32_t i = 0; i < count; i++) {
        uint32_t index = (feed->next_candidate + i) % count;
        const feed_candidate_t *candidate = &input->candidates[index];
        if (candidate->is_up) {
            strncpy(feed->source, candidate->name, sizeof feed->source - 1);
            feed->next_candidate = index + 1;
            feed->has_update = false;
            feed->follow_end_ns = input->now_ns + MS_TO_NS(kFirstUpdateMs);
            feed->return_ns = input->now_ns + MS_TO_NS(kReturnMs);
            return true;
        }
    }
    return false;
}

feed_decision_t
feed_decide(feed_t *feed, const feed_input_t *input)
{
    int64_t now_ns = input->now_ns;
    if (input->rank < kFeedReaders || input->has_followers ||
        input->needs_all_dcs) {
        // What it has read itself stays fresh while it finds a reader.
        feed->source[0] = '\0';
        feed->next_candidate = feed->preferred;
        feed->fresh_until_ns = now_ns + MS_TO_NS(kFreshMs);
        return (feed_decision_t){.reads_store = true, .due_ns = INT64_MAX};
    }
    feed_decision_t decision = {.due_ns = INT64_MAX};
    if (!keeps_source(feed, input)) {
        decision.is_new_source = choose_source(feed, input);
    }
    int64_t stale_ns = feed->fresh_until_ns + feed->grace_ns;
    if (stale_ns <= now_ns) {
        feed->read_until_ns = now_ns + MS_TO_NS(kMinReadMs);
    }
    decision.reads_store = now_ns < feed->read_until_ns;
    decision.source = feed->source[0] == '\0' ? NULL : feed->source;
    if (feed->fresh_until_ns > now_ns) {
        decision.due_ns = feed->fresh_until_ns;
    }
    if (decision.source != NULL && feed->follow_end_ns > now_ns) {
        decision.due_ns = min_ns(decision.due_ns, feed->follow_end_ns);
    }
    if (decision.source != NULL && feed->return_ns > now_ns) {
        decision.due_ns = min_ns(decision.due_ns, feed->return_ns);
    }
    if (decision.source == NULL && feed->start_end_ns > now_ns) {
        decision.due_ns = min_ns(decision.due_ns, feed->start_end_ns);
    }
    if (stale_ns > now_ns) {
        decision.due_ns = min_ns(decision.due_ns, stale_ns);
    }
    if (decision.reads_store) {
        decision.due_ns = min_ns(decision.due_ns, feed->read_until_ns);
    }
    return decision;
}
