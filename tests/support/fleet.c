#include "support/fleet.h"

#include <apr_general.h>
#include <apr_strings.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    kDeadlyEstimateMs = 60,
    kJobsPort = 8161,
    kReadyPort = 8167,
    kPeerPort = 7720,
    kMetricsPort = 7721,
    kStorePort = 7301,
    kProxyControlPort = 7390,
    kRequestTimeoutMs = 2000,
    kResponseTimeoutMs = 10000,
    kBodyBytes = 512,
    kRequestBytes = 1024
};

static const char *
platform_address(const fleet_t *fleet)
{
    return apr_psprintf(fleet->pool, "127.%u.0.1", fleet->network);
}

static void
write_settings(fleet_t *fleet, uint32_t node)
{
    const fleet_node_t *own_node = &fleet->nodes[node];
    FILE *file = fopen(
        apr_psprintf(fleet->pool, "%s/node%u.json", fleet->folder, node), "w");
    fprintf(file, "{\"name\": \"n%u\", \"dc\": \"dc%u\", \"dcs\": [", node,
            own_node->dc);
    for (uint32_t i = 1; i <= fleet->dcs; i++) {
        fprintf(file, "%s\"dc%u\"", i > 1 ? ", " : "", i);
    }
    fprintf(file,
            "], \"address\": \"%s\", \"callers\": \"%s:%d\", "
            "\"ready\": \"%s:%d\", \"peer_port\": %d, "
            "\"metrics_port\": %d, \"store\": \"127.%u.40.%u:%d\", "
            "\"core_share\": 0.5, \"hold_limit_ms\": 1000, "
            "\"stop_grace_ms\": 50, \"resubmit_ms\": 1300, "
            "\"stop_limit_s\": 6.0, \"member_ttl_ms\": 1000, "
            "%s\"remote_factor\": 1.5, \"census_ms\": 400}",
            own_node->address, own_node->address, kJobsPort, own_node->address,
            kReadyPort, kPeerPort, kMetricsPort, fleet->network, node + 1,
            kStorePort, fleet->node_settings);
    fclose(file);
}

void
fleet_start_node(fleet_t *fleet, uint32_t node)
{
    fleet_node_t *own_node = &fleet->nodes[node];
    const char *arguments[] = {
        apr_pstrcat(fleet->pool, process_program_folder(), "/jt-node", NULL),
        "--settings",
        apr_psprintf(fleet->pool, "%s/node%u.json", fleet->folder, node),
        NULL};
    process_spawn(fleet->pool, fleet->folder, &own_node->process,
                  apr_psprintf(fleet->pool, "node%u", node), arguments);
    own_node->is_running = true;
    own_node->is_suspended = false;
}

void
fleet_signal(fleet_t *fleet, uint32_t node, int number)
{
    apr_proc_kill(&fleet->nodes[node].process, number);
}

bool
fleet_is_ready(fleet_t *fleet, uint32_t node)
{
    caller_request_t request = {.timeout_ms = kRequestTimeoutMs};
    uint32_t status = caller_send(&request, "GET", NULL, "http://%s:%d/ready",
                                  fleet->nodes[node].address, kReadyPort);
    caller_free_replies(&request, 1);
    return status == 200;
}

/// The node or the number of runners that a wait is for.
typedef struct {
    fleet_t *fleet;
    uint32_t node;
    uint32_t runner_count;
} node_wait_t;

static bool
is_node_ready(void *state)
{
    node_wait_t *wait = state;
    return fleet_is_ready(wait->fleet, wait->node);
}

void
fleet_wait_ready(fleet_t *fleet, uint32_t node)
{
    node_wait_t wait = {.fleet = fleet, .node = node};
    process_wait_for(is_node_ready, &wait, "a node is ready");
}

uint64_t
fleet_read_metric(const fleet_t *fleet, uint32_t node, const char *name)
{
    caller_request_t request = {.timeout_ms = kRequestTimeoutMs};
    const char *line = apr_psprintf(fleet->pool, "\n%s ", name);
    uint64_t value = 0;
    if (caller_send(&request, "GET", NULL, "http://%s:%d/metrics",
                    fleet->nodes[node].address, kMetricsPort) == 200) {
        const char *at = strstr(request.reply, line);
        value = at == NULL ? 0 : strtoull(at + strlen(line), NULL, 10);
    }
    caller_free_replies(&request, 1);
    return value;
}

uint64_t
fleet_count_owned_runners(const fleet_t *fleet, uint32_t node)
{
    return fleet_read_metric(fleet, node, "jaytrestle_targets_open");
}

static bool
are_runners_owned(void *state)
{
    node_wait_t *wait = state;
    uint64_t owned = 0;
    for (uint32_t i = 0; i < wait->fleet->node_count; i++) {
        const fleet_node_t *node = &wait->fleet->nodes[i];
        if (node->is_running && !node->is_suspended) {
            owned += fleet_count_owned_runners(wait->fleet, i);
        }
    }
    return owned == wait->runner_count;
}

void
fleet_wait_all_owned(fleet_t *fleet, uint32_t runner_count)
{
    node_wait_t wait = {.fleet = fleet, .runner_count = runner_count};
    process_wait_for(are_runners_owned, &wait, "all runners have an owner");
}

static bool
is_platform_up(void *state)
{
    fleet_t *fleet = state;
    caller_request_t request = {.timeout_ms = kRequestTimeoutMs};
    uint32_t status = caller_send(&request, "GET", NULL, "http://%s:%d/ledger",
                                  platform_address(fleet), kStorePort + 1);
    caller_free_replies(&request, 1);
    return status == 200;
}

static bool
is_proxy_up(void *state)
{
    fleet_t *fleet = state;
    caller_request_t request = {.timeout_ms = kRequestTimeoutMs};
    uint32_t status =
        caller_send(&request, "POST", "", "http://%s:%d/standin/set?forget=0",
                    platform_address(fleet), kProxyControlPort);
    caller_free_replies(&request, 1);
    return status == 200;
}

static void
start_standins(fleet_t *fleet)
{
    const char *platform[] = {
        apr_pstrcat(fleet->pool, process_program_folder(), "/standin-users",
                    NULL),
        "--address",
        platform_address(fleet),
        "--runners",
        apr_psprintf(fleet->pool, "%u", fleet->runner_count),
        "--dcs",
        apr_psprintf(fleet->pool, "%u", fleet->dcs),
        NULL};
    process_spawn(fleet->pool, fleet->folder, &fleet->platform, "users",
                  platform);
    process_wait_for(is_platform_up, fleet, "standin-users is up");
    const char *proxy[kFleetMaxNodes + 4] = {
        apr_pstrcat(fleet->pool, process_program_folder(), "/standin-proxy",
                    NULL),
        "--control",
        apr_psprintf(fleet->pool, "%s:%d", platform_address(fleet),
                     kProxyControlPort)};
    for (uint32_t i = 0; i < fleet->node_count; i++) {
        proxy[3 + i] = apr_psprintf(
            fleet->pool, "127.%u.40.%u:%d=%s:%d@%u", fleet->network, i + 1,
            kStorePort, platform_address(fleet), kStorePort, i + 1);
    }
    process_spawn(fleet->pool, fleet->folder, &fleet->proxy, "proxy", proxy);
    process_wait_for(is_proxy_up, fleet, "standin-proxy is up");
}

void
fleet_start(fleet_t *fleet, uint32_t dcs, uint32_t nodes_per_dc,
            uint32_t runner_count)
{
    fleet_start_with(fleet, dcs, nodes_per_dc, runner_count, "");
}

void
fleet_start_with(fleet_t *fleet, uint32_t dcs, uint32_t nodes_per_dc,
                 uint32_t runner_count, const char *node_settings)
{
    char folder[] = "/tmp/jt-fleet-XXXXXX";
    *fleet = (fleet_t){.dcs = dcs,
                       .runner_count = runner_count,
                       .node_settings = node_settings,
                       .node_count = dcs * nodes_per_dc};
    apr_pool_create(&fleet->pool, NULL);
    fleet->folder = apr_pstrdup(fleet->pool, mkdtemp(folder));
    fleet->network = process_reserve_network();
    for (uint32_t i = 0; i < fleet->node_count; i++) {
        fleet_node_t *node = &fleet->nodes[i];
        node->dc = 1 + i % dcs;
        snprintf(node->address, sizeof node->address, "127.%u.%u.%u",
                 fleet->network, node->dc, 1 + i);
        write_settings(fleet, i);
    }
    start_standins(fleet);
    for (uint32_t i = 0; i < fleet->node_count; i++) {
        fleet_start_node(fleet, i);
    }
    for (uint32_t i = 0; i < fleet->node_count; i++) {
        fleet_wait_ready(fleet, i);
    }
    fleet_wait_all_owned(fleet, runner_count);
}

void
fleet_stop(fleet_t *fleet)
{
    for (uint32_t i = 0; i < fleet->node_count; i++) {
        if (fleet->nodes[i].is_running) {
            process_kill(&fleet->nodes[i].process);
        }
    }
    process_kill(&fleet->proxy);
    process_kill(&fleet->platform);
    if (getenv("JT_KEEP") != NULL) {
        fprintf(stderr, "fleet: logs are in %s\n", fleet->folder);
    }
    else if (system(apr_psprintf(fleet->pool, "rm -r '%s'", fleet->folder)) !=
             0) {
        fprintf(stderr, "fleet: cannot remove %s\n", fleet->folder);
    }
    apr_pool_destroy(fleet->pool);
}

static void
send_control(const char *standin, const char *address, uint16_t port,
             const char *path)
{
    caller_request_t request = {.timeout_ms = kRequestTimeoutMs};
    uint32_t status = caller_send(&request, "POST", "", "http://%s:%u%s",
                                  address, port, path);
    if (status != 200) {
        fprintf(stderr, "fleet: %s rejected %s with status %u\n", standin,
                path, status);
        abort();
    }
    caller_free_replies(&request, 1);
}

void
fleet_set_platform(fleet_t *fleet, const char *query)
{
    send_control("standin-users", platform_address(fleet), kStorePort + 1,
                 apr_pstrcat(fleet->pool, "/set?", query, NULL));
}

void
fleet_set_proxy(fleet_t *fleet, const char *query)
{
    send_control("standin-proxy", platform_address(fleet), kProxyControlPort,
                 apr_pstrcat(fleet->pool, "/standin/set?", query, NULL));
}

/// Reads a counter of standin-users.
static uint64_t
read_number(fleet_t *fleet, const char *path, const char *key)
{
    caller_request_t request = {.timeout_ms = kRequestTimeoutMs};
    caller_send(&request, "GET", NULL, "http://%s:%d%s",
                platform_address(fleet), kStorePort + 1, path);
    uint64_t number = caller_reply_number(&request, key);
    caller_free_replies(&request, 1);
    return number;
}

uint64_t
fleet_read_counter(fleet_t *fleet, const char *key)
{
    return read_number(fleet, "/ledger", key);
}

uint64_t
fleet_read_job_counter(fleet_t *fleet, uint64_t id, const char *key)
{
    char path[64];
    snprintf(path, sizeof path, "/job?%016llx", (unsigned long long)id);
    return read_number(fleet, path, key);
}

void
fleet_fill_job(fleet_t *fleet, uint32_t node, uint64_t id, uint32_t task_count,
               uint32_t task_ms, caller_request_t *request)
{
    char *body = malloc(kBodyBytes);
    char spec[16] = "crash";
    if (task_ms == FLEET_DEADLY_MS) {
        task_ms = kDeadlyEstimateMs;
    }
    else {
        snprintf(spec, sizeof spec, "%u", task_ms);
    }
    snprintf(body, kBodyBytes,
             "{\"task_spec\":\"%s\",\"steps\":[{\"count\":%u,"
             "\"cpu\":14000,\"mem_mb\":64,\"estimate_ms\":%u}],"
             "\"best_effort\":true}",
             spec, task_count, task_ms);
    *request = (caller_request_t){.method = "POST",
                                  .body = body,
                                  .host_header = "Host: h",
                                  .timeout_ms = 20000};
    snprintf(request->url, sizeof request->url, "http://%s:%d/jobs/%016llx",
             fleet->nodes[node].address, kJobsPort, (unsigned long long)id);
}

void
fleet_pipeline_job(fleet_t *fleet, int fd, uint64_t id, uint32_t task_count,
                   uint32_t task_ms, uint32_t limit_ms)
{
    char text[kRequestBytes];
    caller_request_t request;
    fleet_fill_job(fleet, 0, id, task_count, task_ms, &request);
    int size_bytes = snprintf(
        text, sizeof text,
        "POST /jobs/%016llx HTTP/1.1\r\nHost: h\r\n"
        "Request-Deadline: %u\r\nContent-Length: %zu\r\n\r\n%s",
        (unsigned long long)id, limit_ms, strlen(request.body), request.body);
    free((char *)request.body);
    if (send(fd, text, (size_t)size_bytes, MSG_NOSIGNAL) != size_bytes) {
        fprintf(stderr, "a connection takes no request\n");
        process_abort();
    }
}

int
fleet_send_job(fleet_t *fleet, uint32_t node, uint64_t id, uint32_t task_count,
               uint32_t task_ms, uint32_t limit_ms)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(kJobsPort)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    inet_pton(AF_INET, fleet->nodes[node].address, &to.sin_addr);
    if (connect(fd, (struct sockaddr *)&to, sizeof to) != 0) {
        fprintf(stderr, "node %u takes no connection\n", node);
        process_abort();
    }
    fleet_pipeline_job(fleet, fd, id, task_count, task_ms, limit_ms);
    return fd;
}

uint32_t
fleet_receive_status(int fd, char *out, size_t out_bytes)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
    ssize_t size_bytes = poll(&poll_fd, 1, kResponseTimeoutMs) == 1
                             ? recv(fd, out, out_bytes - 1, 0)
                             : 0;
    out[size_bytes > 0 ? size_bytes : 0] = '\0';
    const char *space = strchr(out, ' ');
    return space == NULL ? 0 : (uint32_t)strtoul(space, NULL, 10);
}

uint32_t
fleet_submit_job(fleet_t *fleet, uint32_t node, uint64_t id,
                 uint32_t task_count, uint32_t task_ms)
{
    caller_request_t request;
    fleet_fill_job(fleet, node, id, task_count, task_ms, &request);
    caller_send_all(&request, 1);
    uint32_t status = request.status;
    free((char *)request.body);
    caller_free_replies(&request, 1);
    return status;
}
