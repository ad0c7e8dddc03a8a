/// The file descriptors of this process, divided between the uses that others
/// can exhaust and the rest.
#ifndef JT_RUNTIME_DESCRIPTORS_H
#define JT_RUNTIME_DESCRIPTORS_H

#include <stdint.h>

/// @param percent  of the descriptors that the process may open
/// @param limit    upper limit of the result
/// @return how many descriptors one use may hold, at least 1
uint32_t descriptors_share(uint32_t percent, uint32_t limit);

#endif
