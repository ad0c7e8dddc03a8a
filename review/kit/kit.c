#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    kFrontPort = 8161,
    kReadyPort = 8167,
    kPeerPort = 7720,
    kMetricsPort = 9464,
    kStorePort = 8169,
    kRunnerPort = 20000,
    kPartitions = 32,
    kMaxRecords = 65536,
    kMaxMembers = 64,
    kMaxRuns = 64,
    kMaxEnds = 4096,
    kMaxSeen = 2048,
    kMaxJobs = 4096,
    kRequestBytes = 512 * 1024,
    kCapacityMcores = 32000,
    kCapacityMb = 65536,
    // Bounds of the site.
    kHoldMaxMs = 1000,
    kStopGraceMs = 50,
    kRetransmitMs = 1300,
    kTtlMinMs = 1000,
    kGraceS = 6,
    kHeartbeatMs = 1500,
    kReadyWaitMs = 20000
};

static int64_t start_ms;
static pid_t own_pid;
static FILE *record_file;
static char folder[64];
static uint32_t network; ///< second byte of all loopback addresses
static kit_plan_t plan;
/// Guards the store, the runners and the record.
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed; ///< a record was stored or a run has ended

static int64_t
clock_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
kit_now_ms(void)
{
    return clock_ms() - start_ms;
}

void
kit_sleep_ms(int64_t duration_ms)
{
    struct timespec left = {.tv_sec = duration_ms / 1000,
                            .tv_nsec = duration_ms % 1000 * 1000000};
    while (nanosleep(&left, &left) != 0 && errno == EINTR) {
    }
}

bool
kit_has_trouble(void)
{
    const char *text = getenv("TROUBLE");
    return text == NULL || strcmp(text, "0") != 0;
}

void
kit_record(const char *format, ...)
{
    char text[1024];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    fprintf(record_file, "%7lld ms  %s\n", (long long)kit_now_ms(), text);
    fflush(record_file);
}

static void
format_address(char out[32], uint32_t zone, uint32_t host)
{
    snprintf(out, 32, "127.%u.%u.%u", network, zone, host);
}

// ---------------------------------------------------------------- HTTP

typedef struct {
    char method[16];
    char path[1024];
    char instance[128]; ///< header Expected-Instance
    char *body;
    uint32_t body_bytes;
} request_t;

typedef struct {
    int fd;
    void *owner;
    void (*serve)(void *owner, int fd, const request_t *request);
} connection_t;

static bool
write_all(int fd, const void *data, size_t size)
{
    const char *at = data;
    while (size > 0) {
        ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        at += sent;
        size -= (size_t)sent;
    }
    return true;
}

static void
respond(int fd, uint32_t status, const void *body, size_t body_bytes)
{
    char head[160];
    int length = snprintf(head, sizeof head,
                          "HTTP/1.1 %u X\r\nContent-Type: application/json\r\n"
                          "Content-Length: %zu\r\n\r\n",
                          status, body_bytes);
    if (write_all(fd, head, (size_t)length)) {
        write_all(fd, body, body_bytes);
    }
}

static void
respond_text(int fd, uint32_t status, const char *text)
{
    respond(fd, status, text, strlen(text));
}

/// Reads the header of a message up to the empty line.
///
/// @return the number of bytes in the buffer, with what follows the header; 0
///         at the end of the connection
static uint32_t
read_head(int fd, char *buffer, uint32_t have, char **end)
{
    for (;;) {
        buffer[have] = '\0';
        *end = strstr(buffer, "\r\n\r\n");
        if (*end != NULL) {
            return have;
        }
        ssize_t got = recv(fd, buffer + have, kRequestBytes - 1 - have, 0);
        if (got <= 0) {
            return 0;
        }
        have += (uint32_t)got;
    }
}

static uint32_t
read_length(const char *head)
{
    const char *at = strcasestr(head, "\r\nContent-Length:");
    return at == NULL ? 0 : (uint32_t)strtoul(at + 17, NULL, 10);
}

static void *
serve_connection(void *argument)
{
    connection_t *connection = argument;
    char *buffer = malloc(kRequestBytes);
    uint32_t have = 0;
    char *end = NULL;
    while ((have = read_head(connection->fd, buffer, have, &end)) > 0) {
        request_t request = {0};
        *end = '\0';
        sscanf(buffer, "%15s %1023s", request.method, request.path);
        const char *instance = strcasestr(buffer, "\r\nExpected-Instance:");
        if (instance != NULL) {
            sscanf(instance + 20, " %127[^\r\n]", request.instance);
        }
        request.body_bytes = read_length(buffer);
        uint32_t head_bytes = (uint32_t)(end - buffer) + 4;
        bool is_cut = false;
        while (have < head_bytes + request.body_bytes && !is_cut) {
            ssize_t got = recv(connection->fd, buffer + have,
                               kRequestBytes - 1 - have, 0);
            is_cut = got <= 0;
            have += got > 0 ? (uint32_t)got : 0;
        }
        if (is_cut) {
            break;
        }
        request.body = malloc(request.body_bytes + 1);
        memcpy(request.body, buffer + head_bytes, request.body_bytes);
        request.body[request.body_bytes] = '\0';
        connection->serve(connection->owner, connection->fd, &request);
        free(request.body);
        have -= head_bytes + request.body_bytes;
        memmove(buffer, buffer + head_bytes + request.body_bytes, have);
    }
    close(connection->fd);
    free(buffer);
    free(connection);
    return NULL;
}

static void
start_thread(void *(*run)(void *), void *argument)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    if (pthread_create(&thread, &attributes, run, argument) != 0) {
        kit_finish(kKitExitNotRun);
    }
    pthread_attr_destroy(&attributes);
}

static void *
accept_connections(void *argument)
{
    connection_t *listener = argument;
    for (;;) {
        int fd = accept(listener->fd, NULL, NULL);
        if (fd < 0) {
            continue;
        }
        int enabled = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        fcntl(fd, F_SETFD, FD_CLOEXEC);
        connection_t *connection = malloc(sizeof *connection);
        *connection = *listener;
        connection->fd = fd;
        start_thread(serve_connection, connection);
    }
    return NULL;
}

static struct sockaddr_in
make_address(const char *address, uint16_t port)
{
    struct sockaddr_in out = {.sin_family = AF_INET, .sin_port = htons(port)};
    inet_pton(AF_INET, address, &out.sin_addr);
    return out;
}

static bool
listen_on(const char *address, uint16_t port, void *owner,
          void (*serve)(void *, int, const request_t *))
{
    struct sockaddr_in local = make_address(address, port);
    int enabled = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(fd, (struct sockaddr *)&local, sizeof local) != 0 ||
        listen(fd, 256) != 0) {
        close(fd);
        return false;
    }
    connection_t *listener = malloc(sizeof *listener);
    *listener = (connection_t){.fd = fd, .owner = owner, .serve = serve};
    start_thread(accept_connections, listener);
    return true;
}

// ---------------------------------------------------------------- JSON

/// @return the position behind `"key":` in a flat JSON object, or NULL
static const char *
find_value(const char *text, const char *key)
{
    char pattern[64];
    snprintf(pattern, sizeof pattern, "\"%s\":", key);
    const char *at = strstr(text, pattern);
    if (at == NULL) {
        return NULL;
    }
    at += strlen(pattern);
    return at + strspn(at, " ");
}

static uint64_t
read_number(const char *text, const char *key)
{
    const char *at = find_value(text, key);
    return at == NULL ? 0 : strtoull(at, NULL, 10);
}

static void
read_text(const char *text, const char *key, char *out, size_t out_bytes)
{
    const char *at = find_value(text, key);
    size_t length = 0;
    if (at != NULL && *at == '"') {
        for (at++; *at != '"' && *at != '\0' && length + 1 < out_bytes; at++) {
            out[length++] = *at;
        }
    }
    out[length] = '\0';
}

// --------------------------------------------------------------- store

typedef struct {
    char key[256];
    uint8_t *value;
    uint32_t value_bytes;
} log_record_t;

typedef struct {
    char name[64];
    log_record_t *records;
    uint64_t end;
} topic_t;

typedef struct {
    char name[400];
    uint64_t generation; ///< in its last join
    int64_t expires_ms;  ///< 0: not a member
} member_t;

typedef struct {
    char name[64];
    uint64_t generation;
    member_t members[kMaxMembers];
    uint32_t member_count;
    int32_t owners[kPartitions];
    int32_t next_owners[kPartitions];
} group_t;

static topic_t topics[16];
static uint32_t topic_count;
static group_t groups[8];
static uint32_t group_count;

static topic_t *
find_topic(const char *name)
{
    for (uint32_t i = 0; i < topic_count; i++) {
        if (strcmp(topics[i].name, name) == 0) {
            return &topics[i];
        }
    }
    topic_t *topic = &topics[topic_count++];
    snprintf(topic->name, sizeof topic->name, "%s", name);
    topic->records = calloc(kMaxRecords, sizeof *topic->records);
    return topic;
}

static void
append_record(topic_t *topic, const char *key, const void *value,
              uint32_t value_bytes)
{
    if (topic->end == kMaxRecords) {
        kit_finish(kKitExitNotRun);
    }
    log_record_t *record = &topic->records[topic->end++];
    snprintf(record->key, sizeof record->key, "%s", key);
    record->value = malloc(value_bytes + 1);
    memcpy(record->value, value, value_bytes);
    record->value_bytes = value_bytes;
    pthread_cond_broadcast(&changed);
}

static void
put_number(uint8_t *out, uint64_t number, uint32_t bytes)
{
    for (uint32_t i = 0; i < bytes; i++) {
        out[i] = (uint8_t)(number >> (8 * (bytes - 1 - i)));
    }
}

/// Waits for a change of the store or of a runner.
static void
wait_for_change(int64_t until_ms)
{
    struct timespec until = {.tv_sec = until_ms / 1000,
                             .tv_nsec = until_ms % 1000 * 1000000};
    pthread_cond_timedwait(&changed, &mutex, &until);
}

static uint64_t
query_number(const char *path, const char *name)
{
    char pattern[32];
    snprintf(pattern, sizeof pattern, "%s=", name);
    const char *at = strstr(path, pattern);
    return at == NULL ? 0 : strtoull(at + strlen(pattern), NULL, 10);
}

static void
serve_read(int fd, const char *path, topic_t *topic)
{
    uint64_t from = query_number(path, "from");
    int64_t until_ms = clock_ms() + (int64_t)query_number(path, "wait_ms");
    while (topic->end <= from && clock_ms() < until_ms) {
        wait_for_change(until_ms);
    }
    size_t size = 16;
    for (uint64_t i = from; i < topic->end; i++) {
        size +=
            5 + strlen(topic->records[i].key) + topic->records[i].value_bytes;
    }
    uint8_t *body = malloc(size);
    size_t at = 16;
    put_number(body, topic->end, 8);
    put_number(body + 8, 0, 8);
    for (uint64_t i = from; i < topic->end; i++) {
        const log_record_t *record = &topic->records[i];
        uint32_t key_bytes = (uint32_t)strlen(record->key);
        put_number(body + at, 1 + key_bytes + record->value_bytes, 4);
        body[at + 4] = (uint8_t)key_bytes;
        memcpy(body + at + 5, record->key, key_bytes);
        memcpy(body + at + 5 + key_bytes, record->value, record->value_bytes);
        at += 5 + key_bytes + record->value_bytes;
    }
    pthread_mutex_unlock(&mutex);
    respond(fd, 200, body, size);
    pthread_mutex_lock(&mutex);
    free(body);
}

static void
encode_base64(const uint8_t *data, uint32_t size, char *out)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789+/";
    for (uint32_t i = 0; i < size; i += 3) {
        uint32_t left = size - i;
        uint32_t bits = (uint32_t)data[i] << 16 |
                        (left > 1 ? (uint32_t)data[i + 1] << 8 : 0) |
                        (left > 2 ? data[i + 2] : 0);
        *out++ = digits[bits >> 18];
        *out++ = digits[bits >> 12 & 63];
        *out++ = left > 1 ? digits[bits >> 6 & 63] : '=';
        *out++ = left > 2 ? digits[bits & 63] : '=';
    }
    *out = '\0';
}

static bool
is_newest(const topic_t *topic, uint64_t at)
{
    for (uint64_t i = at + 1; i < topic->end; i++) {
        if (strcmp(topic->records[i].key, topic->records[at].key) == 0) {
            return false;
        }
    }
    return topic->records[at].value_bytes > 0;
}

static void
serve_newest(int fd, const topic_t *topic)
{
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    bool is_first = true;
    fprintf(out, "{\"items\":[");
    for (uint64_t i = 0; i < topic->end; i++) {
        const log_record_t *record = &topic->records[i];
        if (!is_newest(topic, i)) {
            continue;
        }
        char *value = malloc(record->value_bytes * 2 + 8);
        encode_base64(record->value, record->value_bytes, value);
        fprintf(out, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%llu}",
                is_first ? "" : ",", record->key, value,
                (unsigned long long)i);
        is_first = false;
        free(value);
    }
    fprintf(out, "],\"truncated\":false,\"end\":%llu}",
            (unsigned long long)topic->end);
    fclose(out);
    respond(fd, 200, text, size);
    free(text);
}

static void
serve_append(int fd, const request_t *request, topic_t *topic)
{
    const uint8_t *body = (const uint8_t *)request->body;
    uint64_t first = topic->end;
    char text[96];
    for (uint32_t at = 0; at + 5 <= request->body_bytes;) {
        char key[256];
        uint32_t length = (uint32_t)body[at] << 24 |
                          (uint32_t)body[at + 1] << 16 |
                          (uint32_t)body[at + 2] << 8 | body[at + 3];
        uint32_t key_bytes = body[at + 4];
        memcpy(key, body + at + 5, key_bytes);
        key[key_bytes] = '\0';
        append_record(topic, key, body + at + 5 + key_bytes,
                      length - 1 - key_bytes);
        at += 4 + length;
    }
    snprintf(text, sizeof text, "{\"offset\":%llu,\"end\":%llu}",
             (unsigned long long)first, (unsigned long long)topic->end);
    respond_text(fd, 200, text);
}

static group_t *
find_group(const char *name)
{
    for (uint32_t i = 0; i < group_count; i++) {
        if (strcmp(groups[i].name, name) == 0) {
            return &groups[i];
        }
    }
    group_t *group = &groups[group_count++];
    snprintf(group->name, sizeof group->name, "%s", name);
    memset(group->owners, 0xFF, sizeof group->owners);
    memset(group->next_owners, 0xFF, sizeof group->next_owners);
    return group;
}

static bool
is_member(const group_t *group, int32_t member)
{
    return member >= 0 && group->members[member].expires_ms != 0;
}

/// Deals the partitions out anew. One that moves stays with its owner until
/// that member joins with the new generation, leaves or expires.
static void
deal_partitions(group_t *group)
{
    int32_t members[kMaxMembers];
    uint32_t count = 0;
    for (uint32_t i = 0; i < group->member_count; i++) {
        if (is_member(group, (int32_t)i)) {
            members[count++] = (int32_t)i;
        }
    }
    group->generation++;
    for (uint32_t i = 0; i < kPartitions; i++) {
        group->next_owners[i] = count == 0 ? -1 : members[i % count];
    }
}

static void
move_partitions(group_t *group)
{
    for (uint32_t i = 0; i < kPartitions; i++) {
        int32_t owner = group->owners[i];
        if (owner != group->next_owners[i] &&
            (!is_member(group, owner) ||
             group->members[owner].generation >= group->generation)) {
            group->owners[i] = group->next_owners[i];
        }
    }
}

static void
expire_members(void)
{
    for (uint32_t i = 0; i < group_count; i++) {
        bool has_expired = false;
        for (uint32_t j = 0; j < groups[i].member_count; j++) {
            member_t *member = &groups[i].members[j];
            if (member->expires_ms != 0 && member->expires_ms < clock_ms()) {
                member->expires_ms = 0;
                has_expired = true;
                kit_record("store: member %s of group %s has expired",
                           member->name, groups[i].name);
            }
        }
        if (has_expired) {
            deal_partitions(&groups[i]);
            move_partitions(&groups[i]);
        }
    }
}

static int32_t
find_member(group_t *group, const char *name, bool creates)
{
    for (uint32_t i = 0; i < group->member_count; i++) {
        if (strcmp(group->members[i].name, name) == 0) {
            return (int32_t)i;
        }
    }
    if (!creates || group->member_count == kMaxMembers) {
        return -1;
    }
    member_t *member = &group->members[group->member_count];
    snprintf(member->name, sizeof member->name, "%s", name);
    return (int32_t)group->member_count++;
}

static void
serve_join(int fd, const char *body)
{
    char name[400];
    char text[2048];
    expire_members();
    read_text(body, "group", name, sizeof name);
    group_t *group = find_group(name);
    read_text(body, "member", name, sizeof name);
    int32_t at = find_member(group, name, true);
    if (at < 0) {
        respond_text(fd, 503, "{}");
        return;
    }
    member_t *member = &group->members[at];
    bool was_member = member->expires_ms != 0;
    member->expires_ms = clock_ms() + (int64_t)read_number(body, "ttl_ms");
    member->generation = read_number(body, "generation");
    if (!was_member) {
        kit_record("store: member %s joins group %s", member->name,
                   group->name);
        deal_partitions(group);
    }
    move_partitions(group);
    int length =
        snprintf(text, sizeof text, "{\"generation\":%llu,\"parts\":[",
                 (unsigned long long)group->generation);
    bool is_first = true;
    for (uint32_t i = 0; i < kPartitions; i++) {
        if (group->owners[i] == at && group->next_owners[i] == at) {
            length += snprintf(text + length, sizeof text - (size_t)length,
                               "%s[\"cells\",%u,0]", is_first ? "" : ",", i);
            is_first = false;
        }
    }
    snprintf(text + length, sizeof text - (size_t)length, "]}");
    respond_text(fd, 200, text);
}

static void
serve_leave(int fd, const char *body)
{
    char name[400];
    read_text(body, "group", name, sizeof name);
    group_t *group = find_group(name);
    read_text(body, "member", name, sizeof name);
    int32_t at = find_member(group, name, false);
    if (is_member(group, at)) {
        group->members[at].expires_ms = 0;
        deal_partitions(group);
        move_partitions(group);
        kit_record("store: member %s leaves group %s", name, group->name);
    }
    respond_text(fd, 200, "{}");
}

static void
serve_store(void *owner, int fd, const request_t *request)
{
    (void)owner;
    char name[64] = "";
    const char *at = strstr(request->path, "topic=");
    if (at != NULL) {
        sscanf(at + 6, "%63[^&]", name);
    }
    pthread_mutex_lock(&mutex);
    if (strncmp(request->path, "/log-read", 9) == 0) {
        serve_read(fd, request->path, find_topic(name));
    }
    else if (strncmp(request->path, "/log-newest", 11) == 0) {
        serve_newest(fd, find_topic(name));
    }
    else if (strncmp(request->path, "/log-append", 11) == 0) {
        serve_append(fd, request, find_topic(name));
    }
    else if (strcmp(request->path, "/log-join") == 0) {
        serve_join(fd, request->body);
    }
    else if (strcmp(request->path, "/log-leave") == 0) {
        serve_leave(fd, request->body);
    }
    else {
        respond_text(fd, 404, "{}");
    }
    pthread_mutex_unlock(&mutex);
}

// ------------------------------------------------------------- runners

typedef struct {
    char task[96];
    uint32_t run;
    uint32_t cpu_mcores;
    int64_t done_ms; ///< when its work is done
    int64_t stop_ms; ///< when a stop has taken effect; 0: none
} run_t;

typedef struct {
    char task[96];
    uint32_t run;
    uint64_t number;
    const char *how;
} end_t;

/// The highest run of a task that was stopped or has ended.
typedef struct {
    char task[96];
    uint32_t run;
} seen_t;

typedef struct {
    char id[32];
    char address[32];
    uint16_t port;
    uint32_t zone;
    uint64_t token;
    uint64_t acked;
    uint64_t end_number;
    uint64_t born_ms;
    uint64_t seq;
    int64_t clock_base_ms;
    int64_t lease_end_ms;
    run_t runs[kMaxRuns];
    uint32_t run_count;
    end_t ends[kMaxEnds]; ///< those that are not acknowledged
    uint32_t end_count;
    seen_t seen[kMaxSeen];
    uint32_t seen_count; ///< ever added
} runner_t;

typedef struct {
    char id[64];
    kit_job_t counts;
} job_entry_t;

static runner_t runners[kKitMaxRunners];
static uint32_t runner_count;
static job_entry_t jobs[kMaxJobs];
static uint32_t job_count;

static kit_job_t *
find_job(const char *task)
{
    size_t length = strcspn(task, ".");
    for (uint32_t i = 0; i < job_count; i++) {
        if (strlen(jobs[i].id) == length &&
            strncmp(jobs[i].id, task, length) == 0) {
            return &jobs[i].counts;
        }
    }
    if (job_count == kMaxJobs || length >= sizeof jobs[0].id) {
        kit_finish(kKitExitNotRun);
    }
    memcpy(jobs[job_count].id, task, length);
    return &jobs[job_count++].counts;
}

/// A runner remembers the latest kMaxSeen tasks; the oldest gives way.
static seen_t *
find_seen(runner_t *runner, const char *task, bool creates)
{
    for (uint32_t i = 0; i < kMaxSeen && i < runner->seen_count; i++) {
        if (strcmp(runner->seen[i].task, task) == 0) {
            return &runner->seen[i];
        }
    }
    if (!creates) {
        return NULL;
    }
    seen_t *seen = &runner->seen[runner->seen_count++ % kMaxSeen];
    snprintf(seen->task, sizeof seen->task, "%s", task);
    seen->run = 0;
    return seen;
}

static void
mark_seen(runner_t *runner, const char *task, uint32_t run)
{
    seen_t *seen = find_seen(runner, task, true);
    seen->run = run > seen->run ? run : seen->run;
}

static void
end_run(runner_t *runner, uint32_t at, const char *how)
{
    run_t *run = &runner->runs[at];
    if (runner->end_count == kMaxEnds) {
        kit_finish(kKitExitNotRun);
    }
    end_t *end = &runner->ends[runner->end_count++];
    memcpy(end->task, run->task, sizeof end->task);
    end->run = run->run;
    end->number = ++runner->end_number;
    end->how = how;
    mark_seen(runner, run->task, run->run);
    find_job(run->task)->done += strcmp(how, "done") == 0;
    kit_record("%s: end %s run %u %s", runner->id, run->task, run->run, how);
    *run = runner->runs[--runner->run_count];
    pthread_cond_broadcast(&changed);
}

static void
end_due_runs(runner_t *runner)
{
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < runner->run_count;) {
        const run_t *run = &runner->runs[i];
        if (run->stop_ms != 0 && run->stop_ms <= now_ms) {
            end_run(runner, i, "stopped");
        }
        else if (run->done_ms <= now_ms &&
                 run->done_ms <= runner->lease_end_ms) {
            end_run(runner, i, "done");
        }
        else if (runner->lease_end_ms <= now_ms) {
            end_run(runner, i, "lapsed");
        }
        else {
            i++;
        }
    }
}

static int64_t
runner_clock_ms(const runner_t *runner)
{
    return clock_ms() - runner->clock_base_ms;
}

static void
extend_lease(runner_t *runner, const char *body)
{
    const char *at = find_value(body, "deadline_ms");
    if (at == NULL) {
        return;
    }
    int64_t end_ms = runner->clock_base_ms + strtoll(at, NULL, 10);
    int64_t limit_ms = clock_ms() + kHoldMaxMs;
    end_ms = end_ms < limit_ms ? end_ms : limit_ms;
    if (end_ms > runner->lease_end_ms) {
        runner->lease_end_ms = end_ms;
    }
}

static void
respond_clock(int fd, const runner_t *runner, uint32_t status,
              const char *reason)
{
    char text[96];
    snprintf(text, sizeof text, "{\"clock_ms\":%lld%s%s%s}",
             (long long)runner_clock_ms(runner),
             reason == NULL ? "" : ",\"reason\":\"",
             reason == NULL ? "" : reason, reason == NULL ? "" : "\"");
    respond_text(fd, status, text);
}

/// @return the runner that has a run of a task, or NULL
static const runner_t *
find_other_runner(const runner_t *self, const char *task)
{
    for (uint32_t i = 0; i < runner_count; i++) {
        if (&runners[i] == self) {
            continue;
        }
        end_due_runs(&runners[i]);
        for (uint32_t j = 0; j < runners[i].run_count; j++) {
            if (strcmp(runners[i].runs[j].task, task) == 0) {
                return &runners[i];
            }
        }
    }
    return NULL;
}

/// @return why a start is rejected, or NULL
static const char *
check_start(runner_t *runner, const char *body, const char *task, uint32_t run,
            uint32_t cpu_mcores)
{
    const seen_t *seen = find_seen(runner, task, false);
    uint32_t used_mcores = cpu_mcores;
    if ((int64_t)read_number(body, "deadline_ms") <= runner_clock_ms(runner)) {
        return "late";
    }
    if (seen != NULL && seen->run >= run) {
        return "old";
    }
    for (uint32_t i = 0; i < runner->run_count; i++) {
        used_mcores += runner->runs[i].cpu_mcores;
    }
    return used_mcores > kCapacityMcores || runner->run_count == kMaxRuns
               ? "room"
               : NULL;
}

static void
serve_start(runner_t *runner, int fd, const char *body)
{
    char task[96];
    char spec[128];
    read_text(body, "task", task, sizeof task);
    read_text(body, "task_spec", spec, sizeof spec);
    uint32_t number = (uint32_t)read_number(body, "run_id");
    for (uint32_t i = 0; i < runner->run_count; i++) {
        if (strcmp(runner->runs[i].task, task) == 0 &&
            runner->runs[i].run == number) {
            extend_lease(runner, body);
            respond_clock(fd, runner, 200, NULL);
            return;
        }
    }
    // The task_spec of a job is the run time of each task and its cores.
    unsigned long work_ms = 0;
    unsigned long cpu_mcores = 0;
    sscanf(spec, "%lu %lu", &work_ms, &cpu_mcores);
    const char *reason =
        check_start(runner, body, task, number, (uint32_t)cpu_mcores);
    if (reason != NULL) {
        if (strcmp(reason, "late") != 0) {
            extend_lease(runner, body);
        }
        kit_record("%s: start %s run %u rejected: %s", runner->id, task,
                   number, reason);
        respond_clock(fd, runner, 409, reason);
        return;
    }
    extend_lease(runner, body);
    const runner_t *other = find_other_runner(runner, task);
    kit_job_t *job = find_job(task);
    job->starts++;
    job->last_start_ms = kit_now_ms();
    kit_record("%s: start %s run %u token %llu", runner->id, task, number,
               (unsigned long long)read_number(body, "fence_token"));
    if (other != NULL) {
        job->doubles++;
        kit_record("%s: TWICE: %s has a run of %s too", runner->id, other->id,
                   task);
    }
    run_t *run = &runner->runs[runner->run_count++];
    *run = (run_t){.run = number,
                   .cpu_mcores = (uint32_t)cpu_mcores,
                   .done_ms = clock_ms() + (int64_t)work_ms};
    snprintf(run->task, sizeof run->task, "%s", task);
    respond_clock(fd, runner, 200, NULL);
}

static void
serve_stop(runner_t *runner, int fd, const char *body)
{
    char task[96];
    read_text(body, "task", task, sizeof task);
    uint32_t number = (uint32_t)read_number(body, "run_id");
    kit_record("%s: stop %s run %u", runner->id, task, number);
    bool is_here = false;
    for (uint32_t i = 0; i < runner->run_count; i++) {
        run_t *run = &runner->runs[i];
        if (strcmp(run->task, task) == 0 && run->run == number) {
            is_here = true;
            run->stop_ms = run->stop_ms != 0 ? run->stop_ms
                                             : clock_ms() + kStopGraceMs / 2;
        }
    }
    if (!is_here) {
        mark_seen(runner, task, number);
    }
    respond_clock(fd, runner, 200, NULL);
}

static void
drop_acknowledged(runner_t *runner)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < runner->end_count; i++) {
        if (runner->ends[i].number > runner->acked) {
            runner->ends[kept++] = runner->ends[i];
        }
    }
    runner->end_count = kept;
}

static void
serve_hold(runner_t *runner, int fd, const char *body)
{
    uint64_t acked = read_number(body, "ack_cursor");
    int64_t until_ms = clock_ms() + (int64_t)read_number(body, "wait_ms");
    runner->acked = acked > runner->acked ? acked : runner->acked;
    drop_acknowledged(runner);
    extend_lease(runner, body);
    while (runner->end_count == 0 && clock_ms() < until_ms) {
        wait_for_change(until_ms);
    }
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    fprintf(out, "{\"clock_ms\":%lld,\"born\":%llu,\"running\":[",
            (long long)runner_clock_ms(runner),
            (unsigned long long)runner->born_ms);
    for (uint32_t i = 0; i < runner->run_count; i++) {
        fprintf(out, "%s[\"%s\",%u,\"\",100,0]", i == 0 ? "" : ",",
                runner->runs[i].task, runner->runs[i].run);
    }
    fprintf(out, "],\"ended_runs\":[");
    for (uint32_t i = 0; i < runner->end_count && i < 500; i++) {
        fprintf(out, "%s[%llu,\"%s\",%u,\"%s\",\"\"]", i == 0 ? "" : ",",
                (unsigned long long)runner->ends[i].number,
                runner->ends[i].task, runner->ends[i].run,
                runner->ends[i].how);
    }
    fprintf(out, "]}");
    fclose(out);
    respond(fd, 200, text, size);
    free(text);
}

static void
serve_runner(void *owner, int fd, const request_t *request)
{
    runner_t *runner = owner;
    uint64_t token = read_number(request->body, "fence_token");
    pthread_mutex_lock(&mutex);
    end_due_runs(runner);
    if (strcmp(request->instance, runner->id) != 0) {
        respond_text(fd, 421, "{}");
    }
    else if (token < runner->token) {
        kit_record("%s: %s with token %llu rejected: fence", runner->id,
                   request->path, (unsigned long long)token);
        respond_clock(fd, runner, 409, "fence");
    }
    else {
        runner->token = token;
        if (strcmp(request->path, "/run-start") == 0) {
            serve_start(runner, fd, request->body);
        }
        else if (strcmp(request->path, "/run-stop") == 0) {
            serve_stop(runner, fd, request->body);
        }
        else {
            serve_hold(runner, fd, request->body);
        }
    }
    pthread_mutex_unlock(&mutex);
}

static void
publish_runner(runner_t *runner)
{
    char text[512];
    int length = snprintf(
        text, sizeof text,
        "{\"service\":\"s\",\"address\":\"%s:%u\",\"zone\":\"zone-%u\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
        "\"cold_left_ms\":0,\"seq\":%llu,\"capacity\":{\"cpu\":%d,"
        "\"mem_mb\":%d},\"labels\":[\"a\",\"r%u-1\"],\"clock_ms\":%lld,"
        "\"born\":%llu}",
        runner->address, runner->port, runner->zone,
        (unsigned long long)++runner->seq, kCapacityMcores, kCapacityMb,
        runner->zone, (long long)runner_clock_ms(runner),
        (unsigned long long)runner->born_ms);
    append_record(find_topic("keyed.servers"), runner->id, text,
                  (uint32_t)length);
}

/// Ends runs that are due, and publishes the runners.
static void *
run_platform(void *argument)
{
    (void)argument;
    int64_t publish_ms = 0;
    for (;;) {
        pthread_mutex_lock(&mutex);
        expire_members();
        for (uint32_t i = 0; i < runner_count; i++) {
            end_due_runs(&runners[i]);
        }
        if (publish_ms <= clock_ms()) {
            publish_ms = clock_ms() + kHeartbeatMs;
            for (uint32_t i = 0; i < runner_count; i++) {
                publish_runner(&runners[i]);
            }
        }
        pthread_mutex_unlock(&mutex);
        kit_sleep_ms(1);
    }
    return NULL;
}

kit_job_t
kit_read_job(const char *id)
{
    pthread_mutex_lock(&mutex);
    kit_job_t counts = *find_job(id);
    pthread_mutex_unlock(&mutex);
    return counts;
}

bool
kit_is_job_running(const char *id)
{
    bool is_running = false;
    size_t length = strlen(id);
    pthread_mutex_lock(&mutex);
    for (uint32_t i = 0; i < runner_count; i++) {
        for (uint32_t j = 0; j < runners[i].run_count; j++) {
            is_running |= strncmp(runners[i].runs[j].task, id, length) == 0 &&
                          runners[i].runs[j].task[length] == '.';
        }
    }
    pthread_mutex_unlock(&mutex);
    return is_running;
}

static bool
start_runners(void)
{
    runner_count = plan.zones * plan.runners_per_zone;
    for (uint32_t i = 0; i < runner_count; i++) {
        runner_t *runner = &runners[i];
        runner->zone = 1 + i % plan.zones;
        runner->port = (uint16_t)(kRunnerPort + i);
        runner->born_ms = 1700000000000 + i;
        // A clock of its own, away from that of the nodes.
        runner->clock_base_ms = clock_ms() - 100000 - 7000 * (int64_t)i;
        snprintf(runner->id, sizeof runner->id, "runner-%u", i);
        format_address(runner->address, 200, 1);
        if (!listen_on(runner->address, runner->port, runner, serve_runner)) {
            return false;
        }
    }
    return true;
}

static void
put_config(void)
{
    static const char text[] =
        "{\"version\":3,\"routes\":[{\"name\":\"q\",\"hostname\":\"h\","
        "\"path_prefix\":\"/jobs/\",\"kind\":\"non_idempotent\","
        "\"timeout_ms\":30000,\"slo_ms\":10000,\"priority\":0,"
        "\"service\":\"s\",\"max_attempts\":3,\"stretch\":1.6}],"
        "\"services\":[{\"name\":\"s\",\"enforces_capacity\":true}],"
        "\"limits\":{}}";
    append_record(find_topic("keyed.op"), "config", text, sizeof text - 1);
}

// --------------------------------------------------------------- nodes

typedef struct {
    char address[32];
    uint32_t zone;
    pid_t pid;
} node_t;

static node_t nodes[kKitMaxNodes];
static uint32_t node_count;

pid_t
kit_node_pid(uint32_t node)
{
    return nodes[node].pid;
}

bool
kit_is_node_running(uint32_t node)
{
    int state = 0;
    if (nodes[node].pid != 0 &&
        waitpid(nodes[node].pid, &state, WNOHANG) == nodes[node].pid) {
        if (WIFSIGNALED(state)) {
            kit_record("node %u: ended by signal %d", node, WTERMSIG(state));
        }
        else {
            kit_record("node %u: ended with code %d", node,
                       WEXITSTATUS(state));
        }
        nodes[node].pid = 0;
    }
    return nodes[node].pid != 0;
}

void
kit_signal_node(uint32_t node, int number)
{
    kill(nodes[node].pid, number);
    kit_record("node %u: %s", node, strsignal(number));
}

/// Reads numbers of a process from a file under /proc.
static uint32_t
read_proc(uint32_t node, const char *name, char *text, uint32_t text_bytes)
{
    char path[64];
    snprintf(path, sizeof path, "/proc/%d/%s", (int)nodes[node].pid, name);
    FILE *file = nodes[node].pid == 0 ? NULL : fopen(path, "r");
    if (file == NULL) {
        return 0;
    }
    size_t length = fread(text, 1, text_bytes - 1, file);
    text[length] = '\0';
    fclose(file);
    return (uint32_t)length;
}

uint32_t
kit_node_memory_mb(uint32_t node)
{
    char text[256];
    unsigned long total = 0;
    unsigned long resident = 0;
    if (read_proc(node, "statm", text, sizeof text) > 0) {
        sscanf(text, "%lu %lu", &total, &resident);
    }
    return (uint32_t)(resident * (unsigned long)sysconf(_SC_PAGESIZE) >> 20);
}

uint32_t
kit_node_cpu_ms(uint32_t node)
{
    char text[1024];
    unsigned long user = 0;
    unsigned long system = 0;
    if (read_proc(node, "stat", text, sizeof text) > 0) {
        const char *at = strrchr(text, ')');
        sscanf(at == NULL ? "" : at + 2,
               "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
               &system);
    }
    return (uint32_t)((user + system) * 1000 /
                      (unsigned long)sysconf(_SC_CLK_TCK));
}

static bool
write_settings(uint32_t node)
{
    char path[128];
    snprintf(path, sizeof path, "%s/node-%u.json", folder, node);
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        return false;
    }
    const char *address = nodes[node].address;
    fprintf(file,
            "{\n  \"name\": \"edge-%u\",\n  \"dc\": \"zone-%u\",\n"
            "  \"dcs\": [",
            node, nodes[node].zone);
    for (uint32_t i = 1; i <= plan.zones; i++) {
        fprintf(file, "%s\"zone-%u\"", i == 1 ? "" : ",", i);
    }
    fprintf(file,
            "],\n  \"address\": \"%s\",\n  \"callers\": \"%s:%d\",\n"
            "  \"ready\": \"%s:%d\",\n  \"peer_port\": %d,\n"
            "  \"metrics_port\": %d,\n  \"store\": \"127.%u.200.1:%d\",\n"
            "  \"core_share\": 0.25,\n  \"hold_limit_ms\": %d,\n"
            "  \"stop_grace_ms\": %d,\n  \"resubmit_ms\": %d,\n"
            "  \"stop_limit_s\": %d,\n  \"member_ttl_ms\": %d,\n"
            "  \"remote_factor\": 1.5,\n  \"cell_count\": %d\n}\n",
            address, address, kFrontPort, address, kReadyPort, kPeerPort,
            kMetricsPort, network, kStorePort, kHoldMaxMs, kStopGraceMs,
            kRetransmitMs, kGraceS, kTtlMinMs, kPartitions);
    return fclose(file) == 0;
}

void
kit_start_node(uint32_t node)
{
    char settings[160];
    char log[160];
    char *environment[] = {"PATH=/usr/bin:/bin", "LANG=C", settings, NULL};
    char *arguments[] = {"target/jt-node", NULL};
    snprintf(settings, sizeof settings, "JAYTRESTLE_SETTINGS=%s/node-%u.json",
             folder, node);
    snprintf(log, sizeof log, "%s/node-%u.log", folder, node);
    pid_t pid = fork();
    if (pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, 1);
        dup2(fd, 2);
        execve(arguments[0], arguments, environment);
        _exit(127);
    }
    nodes[node].pid = pid;
}

/// Sends a GET to a port of a node.
static int32_t
get_page(uint32_t node, uint16_t port, const char *path, char *body,
         uint32_t body_bytes)
{
    struct sockaddr_in remote = make_address(nodes[node].address, port);
    kit_client_t client = {
        .fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), .node = node};
    char text[256];
    int32_t status = -2;
    if (connect(client.fd, (struct sockaddr *)&remote, sizeof remote) == 0) {
        int length = snprintf(text, sizeof text,
                              "GET %s HTTP/1.1\r\nHost: h\r\n"
                              "Connection: close\r\n\r\n",
                              path);
        write_all(client.fd, text, (size_t)length);
        status = kit_receive(&client, 2000, body, body_bytes);
    }
    close(client.fd);
    return status;
}

int64_t
kit_read_metric(uint32_t node, const char *name)
{
    static char body[64 * 1024];
    char pattern[128];
    snprintf(pattern, sizeof pattern, "\n%s ", name);
    if (get_page(node, kMetricsPort, "/metrics", body, sizeof body) != 200) {
        return -1;
    }
    const char *at = strstr(body, pattern);
    return at == NULL ? -1 : strtoll(at + strlen(pattern), NULL, 10);
}

int32_t
kit_find_node(uint32_t zone, bool is_owner)
{
    for (uint32_t i = 0; i < node_count; i++) {
        bool owns = kit_read_metric(i, "jaytrestle_targets_open") > 0;
        if (nodes[i].zone == zone && owns == is_owner) {
            return (int32_t)i;
        }
    }
    return -1;
}

bool
kit_is_node_ready(uint32_t node)
{
    return get_page(node, kReadyPort, "/ready", NULL, 0) == 200;
}

/// @return whether all nodes are ready and all runners have an owner
static bool
is_all_ready(void)
{
    int64_t owned = 0;
    for (uint32_t i = 0; i < node_count; i++) {
        int64_t count = kit_read_metric(i, "jaytrestle_targets_open");
        owned += count > 0 ? count : 0;
        if (!kit_is_node_ready(i)) {
            return false;
        }
    }
    return owned == (int64_t)runner_count;
}

/// Chooses a loopback network that no other case uses.
static bool
reserve_network(void)
{
    for (uint32_t i = 0; i < 100; i++) {
        network = 20 + ((uint32_t)getpid() + i) % 100;
        char address[32];
        format_address(address, 200, 1);
        if (listen_on(address, kStorePort, NULL, serve_store)) {
            return true;
        }
    }
    return false;
}

static void
on_interrupt(int number)
{
    (void)number;
    if (getpid() != own_pid) {
        _exit(kKitExitNotRun); // a node that has not been started yet
    }
    for (uint32_t i = 0; i < kKitMaxNodes; i++) {
        if (nodes[i].pid != 0) {
            kill(nodes[i].pid, SIGKILL);
        }
    }
    _exit(kKitExitNotRun);
}

void
kit_start(const kit_plan_t *wanted)
{
    pthread_condattr_t attributes;
    plan = *wanted;
    start_ms = clock_ms();
    own_pid = getpid();
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_interrupt);
    signal(SIGINT, on_interrupt);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&changed, &attributes);
    record_file = fopen(getenv("RECORD"), "w");
    snprintf(folder, sizeof folder, "/tmp/jt-review-XXXXXX");
    if (record_file == NULL || mkdtemp(folder) == NULL) {
        _exit(kKitExitNotRun);
    }
    kit_record("case: trouble %s", kit_has_trouble() ? "on" : "off");
    put_config();
    node_count = plan.zones * plan.nodes_per_zone;
    if (!reserve_network() || !start_runners()) {
        kit_finish(kKitExitNotRun);
    }
    start_thread(run_platform, NULL);
    for (uint32_t i = 0; i < node_count; i++) {
        nodes[i].zone = 1 + i % plan.zones;
        format_address(nodes[i].address, nodes[i].zone, 1 + i);
        if (!write_settings(i)) {
            kit_finish(kKitExitNotRun);
        }
        kit_start_node(i);
    }
    while (!is_all_ready()) {
        if (kit_now_ms() > kReadyWaitMs) {
            kit_record("case: the nodes are not ready");
            kit_finish(kKitExitNotRun);
        }
        kit_sleep_ms(50);
    }
    // Until the nodes have connected to each other.
    kit_sleep_ms(1500);
    kit_record("case: %u nodes and %u runners are ready", node_count,
               runner_count);
}

void
kit_finish(int code)
{
    char path[128];
    for (uint32_t i = 0; i < node_count; i++) {
        if (kit_is_node_running(i)) {
            kill(nodes[i].pid, SIGKILL);
            waitpid(nodes[i].pid, NULL, 0);
            nodes[i].pid = 0;
        }
        if (getenv("KEEP") == NULL) {
            snprintf(path, sizeof path, "%s/node-%u.json", folder, i);
            unlink(path);
            snprintf(path, sizeof path, "%s/node-%u.log", folder, i);
            unlink(path);
        }
    }
    rmdir(folder);
    kit_record("case: %s", code == kKitExitHeld     ? "the rule held"
                           : code == kKitExitBroken ? "the rule was broken"
                                                    : "the case did not run");
    _exit(code);
}

// -------------------------------------------------------------- client

bool
kit_connect(kit_client_t *client, uint32_t node)
{
    struct sockaddr_in remote = make_address(nodes[node].address, kFrontPort);
    int enabled = 1;
    *client = (kit_client_t){
        .fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), .node = node};
    setsockopt(client->fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (connect(client->fd, (struct sockaddr *)&remote, sizeof remote) != 0) {
        close(client->fd);
        client->fd = -1;
        return false;
    }
    return true;
}

void
kit_send(const kit_client_t *client, const char *method, const char *id,
         uint32_t deadline_ms, const char *body)
{
    char text[8192];
    int length =
        snprintf(text, sizeof text,
                 "%s /jobs/%s HTTP/1.1\r\nHost: h\r\n"
                 "Content-Type: application/json\r\nRequest-Deadline: %u\r\n"
                 "Content-Length: %zu\r\n\r\n%s",
                 method, id, deadline_ms, body == NULL ? 0 : strlen(body),
                 body == NULL ? "" : body);
    kit_record("client: %s %s to node %u", method, id, client->node);
    write_all(client->fd, text, (size_t)length);
}

int32_t
kit_receive(const kit_client_t *client, uint32_t timeout_ms, char *body,
            uint32_t body_bytes)
{
    char buffer[64 * 1024];
    uint32_t have = 0;
    int64_t until_ms = clock_ms() + timeout_ms;
    for (;;) {
        struct pollfd ready = {.fd = client->fd, .events = POLLIN};
        int64_t left_ms = until_ms - clock_ms();
        if (left_ms <= 0 || poll(&ready, 1, (int)left_ms) == 0) {
            return -1;
        }
        ssize_t got =
            recv(client->fd, buffer + have, sizeof buffer - 1 - have, 0);
        if (got <= 0) {
            return -2;
        }
        have += (uint32_t)got;
        buffer[have] = '\0';
        const char *end = strstr(buffer, "\r\n\r\n");
        if (end == NULL) {
            continue;
        }
        uint32_t size = read_length(buffer);
        if (have < (uint32_t)(end + 4 - buffer) + size) {
            continue;
        }
        if (body != NULL) {
            snprintf(body, body_bytes, "%.*s", (int)size, end + 4);
        }
        return (int32_t)strtol(buffer + strlen("HTTP/1.1 "), NULL, 10);
    }
}

void
kit_close(kit_client_t *client)
{
    if (client->fd >= 0) {
        close(client->fd);
    }
    client->fd = -1;
}

int32_t
kit_call(uint32_t node, const char *method, const char *id,
         uint32_t deadline_ms, const char *body, uint32_t timeout_ms)
{
    kit_client_t client;
    char response[256] = "";
    if (!kit_connect(&client, node)) {
        kit_record("client: %s %s: no connection to node %u", method, id,
                   node);
        return -2;
    }
    kit_send(&client, method, id, deadline_ms, body);
    int32_t status =
        kit_receive(&client, timeout_ms, response, sizeof response);
    kit_record("client: %s %s answered %d %s", method, id, status, response);
    kit_close(&client);
    return status;
}

void
kit_format_job(char *out, uint32_t out_bytes, const kit_work_t *work)
{
    int length =
        snprintf(out, out_bytes, "{\"task_spec\":\"%u %u\",\"steps\":[",
                 work->task_ms, work->task_mcores);
    for (uint32_t i = 0; i < work->steps; i++) {
        length += snprintf(out + length, out_bytes - (uint32_t)length,
                           "%s{\"count\":%u,\"cpu\":%u,\"mem_mb\":64,"
                           "\"estimate_ms\":%u",
                           i == 0 ? "" : ",", work->tasks, work->task_mcores,
                           work->task_ms);
        if (i > 0) {
            length += snprintf(out + length, out_bytes - (uint32_t)length,
                               ",\"depends_on\":[%u]", i - 1);
        }
        length += snprintf(out + length, out_bytes - (uint32_t)length, "}");
    }
    snprintf(out + length, out_bytes - (uint32_t)length,
             "],\"best_effort\":true}");
}
