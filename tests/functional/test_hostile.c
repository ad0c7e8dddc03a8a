/// Malformed input at the ports of running programs: frames of every message
/// type with random contents, lengths that lie, connections that end in the
/// middle of a frame, and HTTP that is none. The programs keep running and
/// serve, and their memory stays bounded.
#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/rng.h"
#include "generated/messages.h"
#include "support/cluster.h"
#include "support/fleet.h"
#include "support/suite.h"

enum {
    kFramesPerType = 6,
    kMaxFrameBytes = 2048,
    kHeaderBytes = 4,
    kMaxDepth = 4,
    kMaxItems = 14,
    kPeerPort = 7720, ///< of jt-node
    kFrontPort = 7400,
    kDispatchPort = 7401,
    kAgentPort = 7402,
    kCallerPort = 8161,
    kHttpRequests = 200,
    kReceiveTimeoutUs = 2000,
    kMaxMemoryKb = 120 * 1024 ///< of the smallest VMs
};

/// A frame under construction.
typedef struct {
    uint8_t data[kMaxFrameBytes];
    uint32_t size_bytes;
    rng_t rng;
} frame_t;

static void
put_byte(frame_t *frame, uint32_t byte)
{
    if (frame->size_bytes < kMaxFrameBytes) {
        frame->data[frame->size_bytes++] = (uint8_t)byte;
    }
}

/// Appends a random value in msgpack: of any type, with a length that may
/// exceed what follows.
static void
put_value(frame_t *frame, uint32_t depth)
{
    enum { kInteger, kText, kArray, kLargeInteger, kHugeArray, kAnyByte };
    uint32_t count = rng_below(&frame->rng, kMaxItems);
    switch (rng_below(&frame->rng, kAnyByte + 1)) {
    case kInteger:
        put_byte(frame, rng_below(&frame->rng, 128));
        break;
    case kText:
        put_byte(frame, 0xa0 | count);
        for (uint32_t i = 0; i < count; i++) {
            put_byte(frame, rng_below(&frame->rng, 256));
        }
        break;
    case kArray:
        put_byte(frame, 0x90 | count);
        for (uint32_t i = 0; i < count && depth < kMaxDepth; i++) {
            put_value(frame, depth + 1);
        }
        break;
    case kLargeInteger:
        put_byte(frame, 0xcf);
        for (uint32_t i = 0; i < 8; i++) {
            put_byte(frame, rng_below(&frame->rng, 256));
        }
        break;
    case kHugeArray:
        put_byte(frame, 0xdd);
        for (uint32_t i = 0; i < 4; i++) {
            put_byte(frame, rng_below(&frame->rng, 256));
        }
        break;
    default:
        put_byte(frame, rng_below(&frame->rng, 256));
    }
}

/// Builds a frame: a length, and a message of a type with random fields.
static void
build_frame(frame_t *frame, uint32_t type)
{
    frame->size_bytes = kHeaderBytes;
    put_byte(frame, 0x90 | (1 + rng_below(&frame->rng, kMaxItems)));
    put_byte(frame, type);
    for (uint32_t i = 0; i < kMaxItems; i++) {
        put_value(frame, 0);
    }
    uint32_t body_bytes = frame->size_bytes - kHeaderBytes;
    if (rng_below(&frame->rng, 8) == 0) {
        body_bytes += (uint32_t)rng_next(&frame->rng); // the length is wrong
    }
    uint32_t length = htonl(body_bytes);
    memcpy(frame->data, &length, kHeaderBytes);
    if (rng_below(&frame->rng, 4) == 0) {
        frame->size_bytes = 1 + rng_below(&frame->rng, frame->size_bytes);
    }
}

static int
open_connection(const char *address, uint16_t port)
{
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(port)};
    struct timeval timeout = {.tv_usec = kReceiveTimeoutUs};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    inet_pton(AF_INET, address, &to.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    if (connect(fd, (struct sockaddr *)&to, sizeof to) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// Sends frames of every message type, but for the request to stop, each over
/// its own connection or over one that is kept while it lasts.
static void
send_frames(const char *address, uint16_t port, uint64_t seed)
{
    static frame_t frame;
    frame.rng.state = seed;
    for (uint32_t type = 0; type < 128; type++) {
        int fd = -1;
        for (uint32_t i = 0; i < kFramesPerType && type != kMessageStop; i++) {
            if (fd < 0) {
                fd = open_connection(address, port);
                CU_ASSERT_FATAL(fd >= 0);
            }
            build_frame(&frame, type);
            char reply[256];
            bool is_sent = send(fd, frame.data, frame.size_bytes,
                                MSG_NOSIGNAL) == (ssize_t)frame.size_bytes;
            if (!is_sent || recv(fd, reply, sizeof reply, 0) == 0 ||
                rng_below(&frame.rng, 3) == 0) {
                close(fd);
                fd = -1;
            }
        }
        if (fd >= 0) {
            close(fd);
        }
    }
}

/// Sends random bytes and broken requests to a port for HTTP.
static void
send_http(const char *address, uint16_t port, uint64_t seed)
{
    static const char *const starts[] = {
        "POST /jobs/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n"
        "\r\n{",
        "POST /jobs/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n[[[[",
        "POST /jobs/3 HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        "POST /jobs/4 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "\r\nffffffffffffffff\r\n",
        "GET /%00%ff/../.. HTTP/1.1\r\nHost: \r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "\x16\x03\x01\x02"};
    rng_t rng = {.state = seed};
    for (uint32_t i = 0; i < kHttpRequests; i++) {
        char bytes[512];
        uint32_t size_bytes =
            (uint32_t)snprintf(bytes, sizeof bytes, "%s",
                               starts[i % (sizeof starts / sizeof *starts)]);
        for (; size_bytes < sizeof bytes && rng_below(&rng, 64) != 0;
             size_bytes++) {
            bytes[size_bytes] = (char)rng_below(&rng, 256);
        }
        int fd = open_connection(address, port);
        CU_ASSERT_FATAL(fd >= 0);
        send(fd, bytes, size_bytes, MSG_NOSIGNAL);
        recv(fd, bytes, sizeof bytes, 0);
        close(fd);
    }
}

/// @return the resident memory of a process
static uint64_t
read_memory_kb(const apr_proc_t *process)
{
    char path[64];
    char line[256];
    uint64_t memory_kb = 0;
    snprintf(path, sizeof path, "/proc/%d/status", (int)process->pid);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof line, file) != NULL) {
        if (strncmp(line, "VmHWM:", 6) == 0) {
            memory_kb = strtoull(line + 6, NULL, 10);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return memory_kb;
}

static void
check_memory(const apr_proc_t *process)
{
    uint64_t memory_kb = read_memory_kb(process);
    CU_ASSERT(memory_kb > 0 && memory_kb < kMaxMemoryKb);
}

static void
test_node_survives(void)
{
    enum { kNodes = 2, kRunners = 4 };
    static fleet_t fleet;
    fleet_start(&fleet, 1, kNodes, kRunners);
    send_frames(fleet.nodes[0].address, kPeerPort, 11);
    send_http(fleet.nodes[0].address, kCallerPort, 12);
    for (uint32_t i = 0; i < kNodes; i++) {
        CU_ASSERT_EQUAL(fleet_submit_job(&fleet, i, 500 + i, 2, 20), 200);
        check_memory(&fleet.nodes[i].process);
    }
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    fleet_stop(&fleet);
}

static void
test_own_interface_survives(void)
{
    static cluster_t cluster;
    static char job[4096];
    static const uint16_t ports[] = {kFrontPort, kDispatchPort, kAgentPort};
    cluster_start(&cluster, &(cluster_options_t){.vms = 2});
    for (uint32_t i = 0; i < sizeof ports / sizeof *ports; i++) {
        send_frames(cluster.vms[0].address, ports[i], 21 + i);
    }
    send_http(cluster.vms[0].address, 8080, 24);
    cluster_format_job(job, sizeof job, 4, 10, 20000);
    for (uint32_t vm = 0; vm < cluster.vm_count; vm++) {
        char id[kCallerIdBytes];
        caller_request_t request;
        cluster_create_job_id(&cluster, vm, id);
        CU_ASSERT_EQUAL(cluster_submit(&cluster, vm, id, job, &request), 200);
        caller_free_replies(&request, 1);
    }
    for (cluster_process_t part = 0; part < kClusterProcessCount; part++) {
        check_memory(&cluster.vms[0].processes[part]);
    }
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "doubled"), 0);
    cluster_stop(&cluster);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a node survives malformed input", test_node_survives},
        {"the own interface survives malformed input",
         test_own_interface_survives},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("hostile", tests);
}
