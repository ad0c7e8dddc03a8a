/// A crowd whose frames stop before their end, at each port of the own
/// interface that other processes and operators connect to: the memory of the
/// process stays bounded, and a job is answered while the crowd is there.
#include <apr_general.h>
#include <stdio.h>

#include "support/cluster.h"
#include "support/crowd.h"
#include "support/suite.h"

enum {
    kFrontPort = 7400,
    kDispatchPort = 7401,
    kAgentPort = 7402,
    kMaxDescriptors = 1024, ///< of a process
    kReserved = 128,
    kGrowthLimitKb = 32 * 1024,
    kOutputBytes = 4096
};

static const char settings[] = "\"memory_mb\": 32, ";

/// Opens a crowd at a port and checks what must hold while it is there.
static void
check_port(cluster_process_t process, uint16_t port)
{
    static cluster_t cluster;
    static char job[4096];
    char id[kCallerIdBytes];
    char output[kOutputBytes];
    caller_request_t request;
    crowd_limit_descriptors(kMaxDescriptors);
    cluster_start(&cluster, &(cluster_options_t){.front_settings = settings,
                                                 .dispatch_settings = settings,
                                                 .agent_settings = settings});
    crowd_limit_descriptors(UINT64_MAX);
    const crowd_door_t door = {.address = cluster.vms[0].address,
                               .port = port};
    const apr_proc_t *target = &cluster.vms[0].processes[process];
    crowd_usage_t before = crowd_read_usage(target);
    crowd_t *crowd = crowd_open(&door, kCrowdFrames);
    cluster_create_job_id(&cluster, 0, id);
    cluster_format_job(job, sizeof job, 1, 10, 20000);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &request), 200);
    caller_free_replies(&request, 1);
    CU_ASSERT_EQUAL(
        cluster_run_jtctl(&cluster, 0, port, output, sizeof output, "dump"),
        0);
    crowd_usage_t after = crowd_read_usage(target);
    printf("open=%u peak_kb=%llu growth_kb=%lld descriptors=%llu ",
           crowd_count_open(crowd), (unsigned long long)after.peak_kb,
           (long long)(after.peak_kb - before.resident_kb),
           (unsigned long long)after.descriptors);
    CU_ASSERT(after.peak_kb > 0);
    CU_ASSERT(after.peak_kb < before.resident_kb + kGrowthLimitKb);
    CU_ASSERT(after.descriptors <= kMaxDescriptors - kReserved);
    crowd_close(crowd);
    cluster_stop(&cluster);
}

static void
test_front(void)
{
    check_port(kClusterProcessFront, kFrontPort);
}

static void
test_dispatch(void)
{
    check_port(kClusterProcessDispatch, kDispatchPort);
}

static void
test_agent(void)
{
    check_port(kClusterProcessAgent, kAgentPort);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"the control port of a front", test_front},
        {"the port of a dispatcher", test_dispatch},
        {"the port of an agent", test_agent},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    crowd_release_freed_memory();
    return suite_run("crowd_ports", tests);
}
