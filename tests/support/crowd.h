/// Connections of clients that a program does not control: they send large
/// requests, stop before the end and stay open, or read no answers.
#ifndef JT_TESTS_SUPPORT_CROWD_H
#define JT_TESTS_SUPPORT_CROWD_H

#include <apr_thread_proc.h>
#include <stdint.h>

/// The address that a crowd connects to, and what it asks for there.
typedef struct {
    const char *address;
    uint16_t port;
    /// Request line and Host header of a submission; a printf format of the
    /// connection's number.
    const char *submit_format;
    /// A whole request with a large answer.
    const char *read_request;
} crowd_door_t;

/// What each connection of a crowd sends.
typedef enum {
    kCrowdBodyWhole,       ///< a body of the largest legal size
    kCrowdBodyPieces,      ///< the same, in turns of a few KB
    kCrowdChunksLarge,     ///< the same in chunks
    kCrowdChunksSmall,     ///< the same in chunks of a few bytes, in turns
    kCrowdExcessAnnounced, ///< a body whose length is far over the limit
    kCrowdExcessSent,      ///< the same in chunks, without a length
    kCrowdHeaders,         ///< headers that do not end
    kCrowdHeadersHeld,     ///< headers that go on by a byte now and then
    kCrowdIdle,            ///< nothing
    kCrowdAnswers,         ///< requests whose answers are not read
    kCrowdFrames, ///< frames between processes that stop before their end
    kCrowdKindCount
} crowd_kind_t;

typedef struct crowd crowd_t;

/// Opens the connections of a crowd and sends until nothing more is taken.
/// Seven of eight bodies of legal size stop just short of their end.
crowd_t *crowd_open(const crowd_door_t *door, crowd_kind_t kind);

/// @return how many connections are still open at the other end
uint32_t crowd_count_open(const crowd_t *crowd);

/// Closes the connections and frees the crowd.
void crowd_close(crowd_t *crowd);

/// The memory and descriptors of a process.
typedef struct {
    uint64_t resident_kb;
    uint64_t peak_kb; ///< of resident memory since the process started
    uint64_t descriptors;
} crowd_usage_t;

/// Reads what a process holds. All 0 if it has ended.
crowd_usage_t crowd_read_usage(const apr_proc_t *process);

/// Sets how many descriptors processes that are started later may open.
void crowd_limit_descriptors(uint64_t count);

/// Keeps the address sanitizer, where programs are built with it, from holding
/// freed memory back, so that bounds on memory hold for them too.
void crowd_release_freed_memory(void);

#endif
