#include "support/crowd.h"

#include <apr_time.h>
#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    kBodyConnections = 400,
    kHeaderConnections = 900,
    kFrameConnections = 240,
    kFrameBytes = 4 * 1024 * 1024,
    kFrameSentBytes = 400000,
    kOtherConnections = 2000,
    kLegalBytes = 262144, ///< limit of a body
    kExcessBytes = 2 * 1024 * 1024,
    kAnnouncedBytes = 1000000000,
    kPieceBytes = 4096,
    kLargeChunkBytes = 65536,
    kSmallChunkBytes = 16,
    kHeaderLines = 4096,
    kHeldHeaderLines = 48,
    kAnswersPerConnection = 8,
    kSlowReaderBytes = 4096, ///< receive buffer
    kFinishEvery = 8, ///< one connection of so many sends its whole body
    kEndBytes = 8,    ///< missing at the end of the others
    kHeadBytes = 512,
    kBatch = 16, ///< connections, fewer than the queue of a port takes
    kBatchPauseUs = 2000,
    kIdlePollUs = 10000,
    kSettleUs = 500000, ///< for the program to read what the kernel holds
    kDripUs = 500000,   ///< between two bytes of a connection
    kStallPolls = 100   ///< in a row without progress, after which it is full
};

/// A connection and what it has sent.
typedef struct {
    int fd;
    bool is_ended; ///< the other end takes no more
    uint64_t sent_bytes;
    uint64_t end_bytes; ///< where it stops
    char head[kHeadBytes];
    uint64_t head_bytes;
} crowd_connection_t;

struct crowd {
    crowd_connection_t *connections;
    uint32_t count;
    uint64_t turn_bytes; ///< sent on a connection before the next one's turn
    char *tail;          ///< what follows the heads, the same for all
    uint64_t tail_bytes;
    apr_pool_t *pool;
    apr_thread_t *drip_thread; ///< NULL without one
    _Atomic bool is_closing;
};

/// How a kind of crowd fills in its text.
typedef struct {
    uint32_t connections;
    uint64_t body_bytes;
    uint64_t chunk_bytes;     ///< 0: the length is announced
    uint64_t announced_bytes; ///< 0: as many as are sent
    uint64_t turn_bytes;
    bool stops_short;
    bool drips; ///< goes on with a byte now and then
    void (*build)(crowd_t *crowd, const crowd_door_t *door, crowd_kind_t kind);
} crowd_plan_t;

static const crowd_plan_t plans[kCrowdKindCount];

static void
append(crowd_t *crowd, const void *data, uint64_t size_bytes)
{
    memcpy(crowd->tail + crowd->tail_bytes, data, size_bytes);
    crowd->tail_bytes += size_bytes;
}

/// A job that is legal at any size: spaces follow it.
static char *
create_body(uint64_t size_bytes)
{
    static const char job[] =
        "{\"task_spec\":\"5\",\"steps\":[{\"count\":1,\"cpu\":100,"
        "\"mem_mb\":8,\"estimate_ms\":5}],\"best_effort\":true}";
    char *body = malloc(size_bytes);
    memset(body, ' ', size_bytes);
    memcpy(body, job, sizeof job - 1);
    return body;
}

static void
append_chunks(crowd_t *crowd, const char *body, const crowd_plan_t *plan)
{
    for (uint64_t at = 0; at < plan->body_bytes; at += plan->chunk_bytes) {
        uint64_t left_bytes = plan->body_bytes - at;
        uint64_t size_bytes =
            left_bytes < plan->chunk_bytes ? left_bytes : plan->chunk_bytes;
        char line[32];
        int line_bytes = snprintf(line, sizeof line, "%llx\r\n",
                                  (unsigned long long)size_bytes);
        append(crowd, line, (uint64_t)line_bytes);
        append(crowd, body + at, size_bytes);
        append(crowd, "\r\n", 2);
    }
    append(crowd, "0\r\n\r\n", 5);
}

static void
build_body(crowd_t *crowd, const crowd_door_t *door, crowd_kind_t kind)
{
    const crowd_plan_t *plan = &plans[kind];
    char *body = create_body(plan->body_bytes);
    char length[64] = "Transfer-Encoding: chunked";
    if (plan->chunk_bytes == 0) {
        snprintf(length, sizeof length, "Content-Length: %llu",
                 (unsigned long long)(plan->announced_bytes != 0
                                          ? plan->announced_bytes
                                          : plan->body_bytes));
        crowd->tail = malloc(plan->body_bytes);
        append(crowd, body, plan->body_bytes);
    }
    else {
        uint64_t chunks = plan->body_bytes / plan->chunk_bytes + 1;
        crowd->tail = malloc(plan->body_bytes + chunks * 32 + 8);
        append_chunks(crowd, body, plan);
    }
    free(body);
    for (uint32_t i = 0; i < crowd->count; i++) {
        crowd_connection_t *connection = &crowd->connections[i];
        int size_bytes =
            snprintf(connection->head, kHeadBytes, door->submit_format, i);
        size_bytes +=
            snprintf(connection->head + size_bytes,
                     kHeadBytes - (size_t)size_bytes, "%s\r\n\r\n", length);
        connection->head_bytes = (uint64_t)size_bytes;
    }
}

static void
build_headers(crowd_t *crowd, const crowd_door_t *door, crowd_kind_t kind)
{
    char line[64];
    uint32_t lines = kind == kCrowdHeaders ? kHeaderLines : kHeldHeaderLines;
    crowd->tail = malloc(lines * sizeof line);
    for (uint32_t i = 0; i < lines; i++) {
        int size_bytes = snprintf(line, sizeof line, "X-%u: a\r\n", i);
        append(crowd, line, (uint64_t)size_bytes);
    }
    for (uint32_t i = 0; i < crowd->count; i++) {
        crowd_connection_t *connection = &crowd->connections[i];
        connection->head_bytes = (uint64_t)snprintf(
            connection->head, kHeadBytes, door->submit_format, i);
    }
}

static void
build_nothing(crowd_t *crowd, const crowd_door_t *door, crowd_kind_t kind)
{
    (void)crowd;
    (void)door;
    (void)kind;
}

static void
build_answers(crowd_t *crowd, const crowd_door_t *door, crowd_kind_t kind)
{
    (void)kind;
    uint64_t size_bytes = strlen(door->read_request);
    crowd->tail = malloc(size_bytes * kAnswersPerConnection);
    for (uint32_t i = 0; i < kAnswersPerConnection; i++) {
        append(crowd, door->read_request, size_bytes);
    }
}

static void
build_frame(crowd_t *crowd, const crowd_door_t *door, crowd_kind_t kind)
{
    (void)door;
    (void)kind;
    uint32_t length_bytes = htonl(kFrameBytes);
    crowd->tail = calloc(1, kFrameSentBytes);
    append(crowd, &length_bytes, sizeof length_bytes);
    crowd->tail_bytes = kFrameSentBytes;
}

static const crowd_plan_t plans[kCrowdKindCount] = {
    [kCrowdBodyWhole] = {.connections = kBodyConnections,
                         .body_bytes = kLegalBytes,
                         .turn_bytes = UINT64_MAX,
                         .stops_short = true,
                         .build = build_body},
    [kCrowdBodyPieces] = {.connections = kBodyConnections,
                          .body_bytes = kLegalBytes,
                          .turn_bytes = kPieceBytes,
                          .stops_short = true,
                          .build = build_body},
    [kCrowdChunksLarge] = {.connections = kBodyConnections,
                           .body_bytes = kLegalBytes,
                           .chunk_bytes = kLargeChunkBytes,
                           .turn_bytes = UINT64_MAX,
                           .stops_short = true,
                           .build = build_body},
    [kCrowdChunksSmall] = {.connections = kBodyConnections,
                           .body_bytes = kLegalBytes,
                           .chunk_bytes = kSmallChunkBytes,
                           .turn_bytes = kPieceBytes,
                           .stops_short = true,
                           .build = build_body},
    [kCrowdExcessAnnounced] = {.connections = kBodyConnections,
                               .body_bytes = kExcessBytes,
                               .announced_bytes = kAnnouncedBytes,
                               .turn_bytes = UINT64_MAX,
                               .build = build_body},
    [kCrowdExcessSent] = {.connections = kBodyConnections,
                          .body_bytes = kExcessBytes,
                          .chunk_bytes = kLargeChunkBytes,
                          .turn_bytes = UINT64_MAX,
                          .stops_short = true,
                          .build = build_body},
    [kCrowdHeaders] = {.connections = kHeaderConnections,
                       .turn_bytes = kHeadBytes,
                       .build = build_headers},
    [kCrowdHeadersHeld] = {.connections = kHeaderConnections,
                           .turn_bytes = UINT64_MAX,
                           .drips = true,
                           .build = build_headers},
    [kCrowdIdle] = {.connections = kOtherConnections, .build = build_nothing},
    [kCrowdAnswers] = {.connections = kOtherConnections,
                       .turn_bytes = UINT64_MAX,
                       .build = build_answers},
    [kCrowdFrames] = {.connections = kFrameConnections,
                      .turn_bytes = kPieceBytes,
                      .build = build_frame},
};

/// Starts to connect. A connection that is not accepted stays in the kernel's
/// queue.
static int
open_connection(const crowd_door_t *door, crowd_kind_t kind)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(door->port)};
    inet_pton(AF_INET, door->address, &to.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        fprintf(stderr, "crowd: no descriptor\n");
        abort();
    }
    if (kind == kCrowdAnswers) {
        int size_bytes = kSlowReaderBytes;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size_bytes, sizeof size_bytes);
    }
    connect(fd, (const struct sockaddr *)&to, sizeof to);
    return fd;
}

/// Sends on a connection until its turn is over.
///
/// @return whether anything was taken
static bool
send_turn(const crowd_t *crowd, crowd_connection_t *connection)
{
    uint64_t turn_bytes = crowd->turn_bytes;
    bool is_taken = false;
    while (!connection->is_ended && turn_bytes > 0 &&
           connection->sent_bytes < connection->end_bytes) {
        bool is_head = connection->sent_bytes < connection->head_bytes;
        const char *data = is_head ? connection->head + connection->sent_bytes
                                   : crowd->tail + connection->sent_bytes -
                                         connection->head_bytes;
        uint64_t left_bytes =
            (is_head ? connection->head_bytes : connection->end_bytes) -
            connection->sent_bytes;
        left_bytes = left_bytes < turn_bytes ? left_bytes : turn_bytes;
        ssize_t size_bytes =
            send(connection->fd, data, left_bytes, MSG_NOSIGNAL);
        if (size_bytes < 0) {
            connection->is_ended = errno != EAGAIN && errno != ENOTCONN;
            return is_taken;
        }
        connection->sent_bytes += (uint64_t)size_bytes;
        turn_bytes -= (uint64_t)size_bytes;
        is_taken = true;
    }
    return is_taken;
}

/// Sends on all connections in turn, until all have ended or none is taken
/// from for a while.
static void
send_all(crowd_t *crowd)
{
    for (uint32_t polls = 0; polls < kStallPolls;) {
        bool is_taken = false;
        bool is_complete = true;
        for (uint32_t i = 0; i < crowd->count; i++) {
            crowd_connection_t *connection = &crowd->connections[i];
            is_taken = send_turn(crowd, connection) || is_taken;
            is_complete = is_complete &&
                          (connection->is_ended ||
                           connection->sent_bytes == connection->end_bytes);
        }
        if (is_complete) {
            return;
        }
        polls = is_taken ? 0 : polls + 1;
        if (!is_taken) {
            apr_sleep(kIdlePollUs);
        }
    }
}

/// Sends a further byte on each connection again and again.
static void *APR_THREAD_FUNC
drip(apr_thread_t *thread, void *owner)
{
    (void)thread;
    crowd_t *crowd = owner;
    while (!atomic_load(&crowd->is_closing)) {
        for (uint32_t i = 0; i < crowd->count; i++) {
            send(crowd->connections[i].fd, "X", 1, MSG_NOSIGNAL);
        }
        apr_sleep(kDripUs);
    }
    return NULL;
}

crowd_t *
crowd_open(const crowd_door_t *door, crowd_kind_t kind)
{
    const crowd_plan_t *plan = &plans[kind];
    crowd_t *crowd = calloc(1, sizeof *crowd);
    *crowd = (crowd_t){
        .connections = calloc(plan->connections, sizeof *crowd->connections),
        .count = plan->connections,
        .turn_bytes = plan->turn_bytes};
    plan->build(crowd, door, kind);
    for (uint32_t i = 0; i < crowd->count; i++) {
        crowd_connection_t *connection = &crowd->connections[i];
        bool stops_short = plan->stops_short && i % kFinishEvery != 0;
        connection->end_bytes = connection->head_bytes + crowd->tail_bytes -
                                (stops_short ? kEndBytes : 0);
        connection->fd = open_connection(door, kind);
        if (i % kBatch == 0) {
            apr_sleep(kBatchPauseUs);
        }
    }
    send_all(crowd);
    if (plan->drips) {
        apr_pool_create(&crowd->pool, NULL);
        apr_thread_create(&crowd->drip_thread, NULL, drip, crowd, crowd->pool);
    }
    apr_sleep(kSettleUs);
    return crowd;
}

uint32_t
crowd_count_open(const crowd_t *crowd)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < crowd->count; i++) {
        char byte;
        count += recv(crowd->connections[i].fd, &byte, 1, MSG_PEEK) < 0 &&
                 errno == EAGAIN;
    }
    return count;
}

void
crowd_close(crowd_t *crowd)
{
    if (crowd->drip_thread != NULL) {
        apr_status_t status = APR_SUCCESS;
        atomic_store(&crowd->is_closing, true);
        apr_thread_join(&status, crowd->drip_thread);
        apr_pool_destroy(crowd->pool);
    }
    for (uint32_t i = 0; i < crowd->count; i++) {
        close(crowd->connections[i].fd);
    }
    free(crowd->connections);
    free(crowd->tail);
    free(crowd);
}

static uint64_t
count_descriptors(const apr_proc_t *process)
{
    char path[64];
    uint64_t count = 0;
    snprintf(path, sizeof path, "/proc/%d/fd", (int)process->pid);
    DIR *folder = opendir(path);
    for (struct dirent *entry = NULL;
         folder != NULL && (entry = readdir(folder)) != NULL;) {
        count += entry->d_name[0] != '.';
    }
    if (folder != NULL) {
        closedir(folder);
    }
    return count;
}

crowd_usage_t
crowd_read_usage(const apr_proc_t *process)
{
    char path[64];
    char line[256];
    crowd_usage_t usage = {.descriptors = count_descriptors(process)};
    snprintf(path, sizeof path, "/proc/%d/status", (int)process->pid);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof line, file) != NULL) {
        if (strncmp(line, "VmHWM:", 6) == 0) {
            usage.peak_kb = strtoull(line + 6, NULL, 10);
        }
        else if (strncmp(line, "VmRSS:", 6) == 0) {
            usage.resident_kb = strtoull(line + 6, NULL, 10);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return usage;
}

void
crowd_limit_descriptors(uint64_t count)
{
    struct rlimit limit;
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = count < limit.rlim_max ? count : limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void
crowd_release_freed_memory(void)
{
    char options[512];
    const char *present = getenv("ASAN_OPTIONS");
    snprintf(options, sizeof options,
             "%s%squarantine_size_mb=0:thread_local_quarantine_size_kb=0:"
             "allocator_release_to_os_interval_ms=0:max_redzone=16",
             present == NULL ? "" : present, present == NULL ? "" : ":");
    setenv("ASAN_OPTIONS", options, 1);
}
