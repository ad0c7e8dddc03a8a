#include "runtime/memory_limit.h"

#include <stdbool.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

enum {
    kBytesPerMb = 1024 * 1024,
    kRequestPercent = 40,
    kOrderPercent = 15,
    /// Of the address space, which also holds stacks and what the allocator
    /// reserves for each thread.
    kAddressSpacePercent = 25
};

static uint64_t
read_resource_limit(int resource)
{
    struct rlimit limit;
    return getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY
               ? UINT64_MAX
               : (uint64_t)limit.rlim_cur / 100 * kAddressSpacePercent;
}

/// @return the limit of the control group; UINT64_MAX without one
static uint64_t
read_group_limit(void)
{
    unsigned long long limit_bytes = 0;
    FILE *file = fopen("/sys/fs/cgroup/memory.max", "r");
    bool is_read = file != NULL && fscanf(file, "%llu", &limit_bytes) == 1;
    if (file != NULL) {
        fclose(file);
    }
    return is_read ? (uint64_t)limit_bytes : UINT64_MAX;
}

static uint64_t
least(uint64_t left, uint64_t right)
{
    return left < right ? left : right;
}

uint64_t
memory_limit_bytes(uint32_t memory_mb)
{
    uint64_t machine_bytes =
        (uint64_t)sysconf(_SC_PHYS_PAGES) * (uint64_t)sysconf(_SC_PAGESIZE);
    uint64_t limit_bytes = least(least(machine_bytes, read_group_limit()),
                                 least(read_resource_limit(RLIMIT_AS),
                                       read_resource_limit(RLIMIT_DATA)));
    return memory_mb > 0
               ? least(limit_bytes, (uint64_t)memory_mb * kBytesPerMb)
               : limit_bytes;
}

uint64_t
memory_limit_request_bytes(uint32_t request_mb, uint32_t memory_mb)
{
    return request_mb > 0
               ? (uint64_t)request_mb * kBytesPerMb
               : memory_limit_bytes(memory_mb) / 100 * kRequestPercent;
}

uint64_t
memory_limit_order_bytes(uint32_t order_mb, uint32_t memory_mb)
{
    return order_mb > 0 ? (uint64_t)order_mb * kBytesPerMb
                        : memory_limit_bytes(memory_mb) / 100 * kOrderPercent;
}
