/// A call: the operation on dispatchers that one HTTP request of a caller
/// asks for. An HTTP thread creates it; a relay carries it out on its own
/// thread.
#ifndef JT_FRONT_CALL_H
#define JT_FRONT_CALL_H

#include "base/arena.h"
#include "core/job_id.h"
#include "generated/messages.h"
#include "net/loop.h"

enum { kCallDigestBytes = 32 };

typedef struct call call_t;
typedef struct dispatcher_link dispatcher_link_t;

typedef enum {
    kCallMint,
    kCallSubmit,
    kCallRead,
    kCallCancel,
    kCallTypeCount
} call_type_t;

/// The progress of a call.
typedef enum {
    kCallQueued, ///< waits for the link to its dispatcher
    kCallSent,   ///< waits for the dispatcher's answer
    /// The incarnation that minted the id is gone, or its VM is no longer
    /// listed: other dispatchers are asked for the record of the job.
    kCallFinding
} call_state_t;

struct call {
    loop_callback_t callback;
    call_type_t type;
    arena_t *arena; ///< holds everything that the call points to
    job_id_t id;
    uint8_t digest[kCallDigestBytes];
    job_document_t document;    ///< of a submit
    uint32_t count;             ///< number of ids that a mint asks for
    int64_t deadline_ns;        ///< of the job; 0 if it has none
    int64_t answer_deadline_ns; ///< the call fails if it is not done by then

    job_answer_t answer; ///< the outcome; an error if its kind is not ok
    job_id_t *ids;       ///< result of a mint; NULL if it failed
    uint32_t left_ms;    ///< time left to submit the ids
    job_id_t next_id;    ///< a new id for the caller's next job
    bool has_next_id;

    /// Called on the relay's thread when the call is done.
    void (*on_done)(call_t *call);
    void *owner;

    // Used only by the relay.
    struct relay *relay;
    call_state_t state;
    dispatcher_link_t *link;
    uint64_t request;
    call_t *next; ///< in the list of its link
    call_t *prev;
    loop_timer_t timeout;
    uint32_t candidate;   ///< index to try next, for relay_find_nth_link
    bool was_unreachable; ///< a dispatcher asked for the record did not answer
};

/// Sets the outcome of a call to an error.
void call_set_error(call_t *call, error_kind_t kind);

#endif
