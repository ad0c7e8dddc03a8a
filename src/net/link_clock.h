/// The age of messages on a connection. The sender states by its own clock
/// when it sent a message. The least difference to the receiver's clock that
/// was seen stands for a message without delay; what a later message exceeds
/// it by is the time that it spent in sockets and on the network.
#ifndef JT_NET_LINK_CLOCK_H
#define JT_NET_LINK_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    int64_t least_offset_ns; ///< receiver's minus sender's clock
    int64_t updated_ns;
    bool is_known;
} link_clock_t;

/// Updates the clock with a message.
///
/// @param sent_us  by the sender's clock; 0 if it does not say
/// @return age of the message; 0 for the first one
int64_t link_clock_read_age_ns(link_clock_t *clock, uint64_t sent_us,
                               int64_t now_ns);

/// @return the present time for a message that is sent now
uint64_t link_clock_stamp_us(int64_t now_ns);

#endif
