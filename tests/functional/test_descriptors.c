/// Programs whose ports get more connections than they have file descriptors:
/// they use hardly any processor time, keep descriptors for their own
/// connections, and accept again soon after the connections are closed.
#include <apr_general.h>
#include <apr_time.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/cluster.h"
#include "support/fleet.h"
#include "support/suite.h"

enum {
    kMaxDescriptors = 256, ///< of each program
    kConnectionsPerPort = 300,
    kMaxConnections = 4 * kConnectionsPerPort,
    kBatch = 16, ///< connections, fewer than the queue of a port takes
    kBatchPauseUs = 2000, ///< for the program to accept them
    kSettleUs = 500000,
    kMeasureUs = 3000000,
    kMaxBusyPercent = 2, ///< of a core, while the descriptors are in use
    kRecoveryUs = 1000000,
    kCallerPort = 8161,
    kReadyPort = 8167,
    kPeerPort = 7720,
    kMetricsPort = 7721,
    kFrontHttpPort = 8080,
    kFrontPort = 7400,
    kDispatchPort = 7401,
    kAgentPort = 7402
};

/// Connections that a test holds open.
typedef struct {
    int fds[kMaxConnections];
    uint32_t count;
} flood_t;

static void
set_descriptor_limit(rlim_t count)
{
    struct rlimit limit;
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = count < limit.rlim_max ? count : limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

/// Opens connections and sends nothing. They are not waited for, as those that
/// the program does not accept stay in the kernel's queue.
static void
open_connections(flood_t *flood, const char *address, uint16_t port)
{
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(port)};
    inet_pton(AF_INET, address, &to.sin_addr);
    for (uint32_t i = 0; i < kConnectionsPerPort; i++) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        CU_ASSERT_FATAL(fd >= 0);
        connect(fd, (const struct sockaddr *)&to, sizeof to);
        flood->fds[flood->count++] = fd;
        if (i % kBatch == 0) {
            apr_sleep(kBatchPauseUs);
        }
    }
}

static void
close_connections(flood_t *flood)
{
    while (flood->count > 0) {
        close(flood->fds[--flood->count]);
    }
}

/// @return the processor time that a process has used
static int64_t
read_busy_us(const apr_proc_t *process)
{
    char path[64];
    char text[512] = "";
    unsigned long user = 0;
    unsigned long system = 0;
    snprintf(path, sizeof path, "/proc/%d/stat", (int)process->pid);
    FILE *file = fopen(path, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    size_t size_bytes = fread(text, 1, sizeof text - 1, file);
    fclose(file);
    text[size_bytes] = '\0';
    const char *fields = strrchr(text, ')');
    CU_ASSERT_PTR_NOT_NULL_FATAL(fields);
    CU_ASSERT_EQUAL(sscanf(fields,
                           ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu "
                           "%lu",
                           &user, &system),
                    2);
    return (int64_t)(user + system) * 1000000 / sysconf(_SC_CLK_TCK);
}

/// Checks that processes use hardly any processor time for a while.
static void
check_idle(const apr_proc_t *const *processes, uint32_t count)
{
    int64_t before_us[kClusterProcessCount];
    apr_sleep(kSettleUs);
    for (uint32_t i = 0; i < count; i++) {
        before_us[i] = read_busy_us(processes[i]);
    }
    apr_sleep(kMeasureUs);
    for (uint32_t i = 0; i < count; i++) {
        int64_t busy_us = read_busy_us(processes[i]) - before_us[i];
        CU_ASSERT(busy_us * 100 <= (int64_t)kMeasureUs * kMaxBusyPercent);
    }
}

/// Connections to its other ports leave descriptors for callers.
static void
test_node(void)
{
    enum { kNodes = 2, kRunners = 4 };
    static const uint16_t ports[] = {kPeerPort, kReadyPort, kMetricsPort};
    static fleet_t fleet;
    static flood_t flood;
    set_descriptor_limit(kMaxDescriptors);
    fleet_start(&fleet, 1, kNodes, kRunners);
    set_descriptor_limit(RLIM_INFINITY);
    for (uint32_t i = 0; i < sizeof ports / sizeof *ports; i++) {
        open_connections(&flood, fleet.nodes[0].address, ports[i]);
    }
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, 599, 4, 20), 200);
    open_connections(&flood, fleet.nodes[0].address, kCallerPort);
    const apr_proc_t *processes[] = {&fleet.nodes[0].process};
    check_idle(processes, 1);
    // Jobs of another node still run on the targets of this one.
    for (uint64_t id = 0; id < 20; id++) {
        CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 1, 600 + id, 4, 20), 200);
    }
    close_connections(&flood);
    apr_sleep(kRecoveryUs);
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, 700, 4, 20), 200);
    fleet_stop(&fleet);
}

static void
run_job(cluster_t *cluster, uint32_t id_vm, uint32_t vm)
{
    static char job[4096];
    char id[kCallerIdBytes];
    caller_request_t request;
    cluster_format_job(job, sizeof job, 4, 10, 20000);
    cluster_create_job_id(cluster, id_vm, id);
    CU_ASSERT_EQUAL(cluster_submit(cluster, vm, id, job, &request), 200);
    caller_free_replies(&request, 1);
}

/// The control port is filled first: a server of libmicrohttpd that has no
/// connection yet and gets no descriptor keeps its thread busy.
static void
test_own_interface(void)
{
    static const uint16_t ports[] = {kFrontPort, kFrontHttpPort, kDispatchPort,
                                     kAgentPort};
    static cluster_t cluster;
    static flood_t flood;
    set_descriptor_limit(kMaxDescriptors);
    cluster_start(&cluster, &(cluster_options_t){.vms = 2});
    set_descriptor_limit(RLIM_INFINITY);
    run_job(&cluster, 0, 0);
    for (uint32_t i = 0; i < sizeof ports / sizeof *ports; i++) {
        open_connections(&flood, cluster.vms[0].address, ports[i]);
    }
    const apr_proc_t *processes[kClusterProcessCount];
    for (cluster_process_t part = 0; part < kClusterProcessCount; part++) {
        processes[part] = &cluster.vms[0].processes[part];
    }
    check_idle(processes, kClusterProcessCount);
    run_job(&cluster, 1, 1);
    close_connections(&flood);
    apr_sleep(kRecoveryUs);
    run_job(&cluster, 0, 0);
    cluster_stop(&cluster);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a node without descriptors", test_node},
        {"the own interface without descriptors", test_own_interface},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("descriptors", tests);
}
