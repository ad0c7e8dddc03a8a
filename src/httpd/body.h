/// The body of a request while it is received. Its memory is charged to the
/// connection before it is taken.
#ifndef JT_HTTPD_BODY_H
#define JT_HTTPD_BODY_H

#include "httpd/intake.h"

typedef struct {
    uint8_t *data;
    uint32_t size_bytes; ///< also of discarded bytes
    uint32_t capacity_bytes;
} body_t;

/// How a body is received.
typedef struct {
    uint32_t limit_bytes;
    bool is_discarded; ///< its bytes are counted only
    /// Header lines of a refusal, each with CRLF, or "".
    const char *refusal_headers;
} body_rules_t;

/// @return whether the length that a request announces is within the limit; so
///         is one without a length
bool body_is_length_allowed(struct MHD_Connection *connection,
                            uint32_t limit_bytes);

/// Receives a part of a body. A request whose body gets too large, or gets no
/// memory, is refused and its connection is to be closed at once: it has not
/// run.
///
/// @param size_bytes  set to 0, as all is taken
/// @return MHD_NO if the connection is to be closed
enum MHD_Result body_receive(body_t *body, struct MHD_Connection *connection,
                             const body_rules_t *rules, const char *data,
                             size_t *size_bytes);

/// Frees the memory of a body and gives back what it was charged.
void body_free(body_t *body, struct MHD_Connection *connection);

#endif
