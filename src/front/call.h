/// A call: what one request of a caller asks of dispatchers. It is made on
/// a thread that serves HTTP and worked on by a relay, on its own thread.
#ifndef JT_FRONT_CALL_H
#define JT_FRONT_CALL_H

#include "base/arena.h"
#include "core/job_id.h"
#include "generated/messages.h"
#include "net/loop.h"

enum { kCallDigestBytes = 32 };

typedef struct call call_t;
typedef struct home home_t;

typedef enum {
    kCallMint,
    kCallSubmit,
    kCallRead,
    kCallCancel,
    kCallTypeCount
} call_type_t;

/// Where a call stands.
typedef enum {
    kCallQueued, ///< waits for the link to its home
    kCallSent,   ///< waits for the home's answer
    kCallFinding ///< its home is over; peers are asked for the record
} call_state_t;

struct call {
    loop_callback_t callback;
    call_type_t type;
    arena_t *arena; ///< owner of all that the call points to
    job_id_t id;
    uint8_t digest[kCallDigestBytes];
    job_document_t document; ///< of a submit
    uint32_t count;          ///< ids that a mint asks for
    int64_t deadline_ns;     ///< of the job; 0 where it names none
    int64_t give_up_ns;      ///< longest wait for any answer

    job_answer_t answer; ///< the outcome, unless kind says otherwise
    job_id_t *ids;       ///< of a mint
    uint32_t left_ms;    ///< to submit the ids
    job_id_t next_id;    ///< a fresh id that comes with the answer
    bool has_next_id;

    /// Called on the relay's thread when the call has its outcome.
    void (*on_done)(call_t *call);
    void *owner;

    // The relay's own.
    struct relay *relay;
    call_state_t state;
    home_t *home;
    uint64_t request;
    call_t *next; ///< in the list of its home
    call_t *prev;
    loop_timer_t limit;
    uint32_t turn;        ///< dispatchers asked in turn, by a mint or a find
    bool was_unreachable; ///< some of them did not answer
};

/// Sets the outcome of a call to an error kind.
void call_set_kind(call_t *call, error_kind_t kind);

#endif
