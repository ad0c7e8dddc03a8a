#include "httpd/body.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/counters.h"
#include "generated/errors.h"

enum { kMinBodyBytes = 1024, kRefusalBytes = 512 };

/// @return the length that a request announces; UINT64_MAX without one
static uint64_t
read_length(struct MHD_Connection *connection)
{
    const char *text = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    return text == NULL ? UINT64_MAX : strtoull(text, NULL, 10);
}

bool
body_is_length_allowed(struct MHD_Connection *connection, uint32_t limit_bytes)
{
    uint64_t length_bytes = read_length(connection);
    return length_bytes == UINT64_MAX || length_bytes <= limit_bytes;
}

/// @return the capacity for a body that has grown to a size: twice as much,
///         but not more than the request announces and than the limit
static uint32_t
next_capacity(struct MHD_Connection *connection, uint64_t size_bytes,
              uint32_t limit_bytes)
{
    uint64_t length_bytes = read_length(connection);
    uint64_t capacity_bytes =
        size_bytes * 2 > kMinBodyBytes ? size_bytes * 2 : kMinBodyBytes;
    uint64_t most_bytes =
        length_bytes < limit_bytes ? length_bytes : limit_bytes;
    capacity_bytes = capacity_bytes < most_bytes ? capacity_bytes : most_bytes;
    return (uint32_t)(capacity_bytes > size_bytes ? capacity_bytes
                                                  : size_bytes);
}

/// Charges the new buffer before the old one is given back, as both exist
/// while the body is copied.
static bool
grow(body_t *body, struct MHD_Connection *connection, uint32_t capacity_bytes)
{
    occupant_t *conn = intake_find(connection);
    if (!occupant_charge(conn, capacity_bytes)) {
        return false;
    }
    uint8_t *grown = realloc(body->data, capacity_bytes);
    if (grown == NULL) {
        occupant_release(conn, capacity_bytes);
        return false;
    }
    occupant_release(conn, body->capacity_bytes);
    body->data = grown;
    body->capacity_bytes = capacity_bytes;
    return true;
}

static bool
append(body_t *body, struct MHD_Connection *connection,
       const body_rules_t *rules, const char *data, size_t size_bytes)
{
    uint64_t new_bytes = (uint64_t)body->size_bytes + size_bytes;
    if (new_bytes > body->capacity_bytes &&
        !grow(body, connection,
              next_capacity(connection, new_bytes, rules->limit_bytes))) {
        return false;
    }
    memcpy(body->data + body->size_bytes, data, size_bytes);
    return true;
}

/// Sends a response on a connection whose request is not read to its end,
/// which the library cannot do.
static void
refuse(body_t *body, struct MHD_Connection *connection,
       const body_rules_t *rules, error_kind_t kind)
{
    char text[kRefusalBytes];
    const error_answer_t *answer = &error_answers[kind];
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    body_free(body, connection);
    if (info == NULL) {
        return;
    }
    apr_snprintf(text, sizeof text,
                 "HTTP/1.1 %u Refused\r\n%s%s"
                 "Content-Type: application/json\r\nContent-Length: %u\r\n"
                 "Connection: close\r\n\r\n{\"error\":\"%s\"}",
                 answer->http_status, rules->refusal_headers,
                 answer->retry ? "Retry-After: 1\r\n" : "",
                 (uint32_t)(strlen(answer->name) + strlen("{\"error\":\"\"}")),
                 answer->name);
    // What a full buffer does not take is lost, as the connection is.
    (void)send(info->connect_fd, text, strlen(text),
               MSG_DONTWAIT | MSG_NOSIGNAL);
}

enum MHD_Result
body_receive(body_t *body, struct MHD_Connection *connection,
             const body_rules_t *rules, const char *data, size_t *size_bytes)
{
    if (occupant_is_evicted(intake_find(connection))) {
        return MHD_NO;
    }
    if (*size_bytes > rules->limit_bytes - body->size_bytes) {
        counter_add(kCounterRequestsTooLarge, 1);
        refuse(body, connection, rules, kErrorKindTooLarge);
        return MHD_NO;
    }
    if (!rules->is_discarded &&
        !append(body, connection, rules, data, *size_bytes)) {
        refuse(body, connection, rules, kErrorKindOverload);
        return MHD_NO;
    }
    body->size_bytes += (uint32_t)*size_bytes;
    occupant_note_progress(intake_find(connection), *size_bytes);
    *size_bytes = 0;
    return MHD_YES;
}

void
body_free(body_t *body, struct MHD_Connection *connection)
{
    free(body->data);
    occupant_release(intake_find(connection), body->capacity_bytes);
    *body = (body_t){0};
}
