#include "runtime/descriptors.h"

#include <sys/resource.h>

uint32_t
descriptors_share(uint32_t percent, uint32_t limit)
{
    struct rlimit descriptors;
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 ||
        descriptors.rlim_cur == RLIM_INFINITY) {
        return limit;
    }
    uint64_t share = (uint64_t)descriptors.rlim_cur * percent / 100;
    share = share > 0 ? share : 1;
    return share < limit ? (uint32_t)share : limit;
}
