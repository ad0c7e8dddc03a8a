/// The memory that this process may use.
#ifndef JT_RUNTIME_MEMORY_LIMIT_H
#define JT_RUNTIME_MEMORY_LIMIT_H

#include <stdint.h>

/// @param memory_mb  of the settings, 0 if they do not say
/// @return the least of what the settings say, the machine's memory, that of
///         the control group and what the limits of the process leave
uint64_t memory_limit_bytes(uint32_t memory_mb);

/// @param request_mb  of the settings, 0 if they do not say
/// @param memory_mb   of the settings, 0 if they do not say
/// @return the memory for connections and unfinished requests of callers
uint64_t memory_limit_request_bytes(uint32_t request_mb, uint32_t memory_mb);

/// @param order_mb   of the settings, 0 if they do not say
/// @param memory_mb  of the settings, 0 if they do not say
/// @return the memory for orders that an owner has accepted
uint64_t memory_limit_order_bytes(uint32_t order_mb, uint32_t memory_mb);

#endif
