#include "support/cluster.h"

#include "support/process.h"

#include <apr_general.h>
#include <apr_strings.h>
#include <apr_time.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum { kTextBytes = 16384 };

static const char *const process_names[kClusterProcessCount] = {
    "agent", "dispatch", "front"};

/// @return the address of an entry VM in the VM list: the proxy's where it is
///         used
static const char *
published_address(cluster_t *cluster, const cluster_vm_t *vm)
{
    return cluster->options.has_proxy
               ? apr_psprintf(cluster->pool, "127.%u.%u.%u", cluster->network,
                              50 + vm->dc, vm->number % 10)
               : vm->address;
}

static void
write_settings(cluster_t *cluster, const cluster_vm_t *vm,
               cluster_process_t process)
{
    const char *further_settings[kClusterProcessCount] = {
        cluster->options.agent_settings, cluster->options.dispatch_settings,
        cluster->options.front_settings};
    const char *path =
        apr_psprintf(cluster->pool, "%s/%u-%s.json", cluster->folder,
                     vm->number, process_names[process]);
    FILE *file = fopen(path, "w");
    fprintf(file, "{%s",
            further_settings[process] == NULL ? ""
                                              : further_settings[process]);
    if (process == kClusterProcessAgent) {
        fprintf(file, "\"platform_url\": \"http://127.%u.0.%u:7300\",",
                cluster->network,
                cluster->options.has_proxy ? 10 + vm->dc : 1);
        fprintf(file, "\"poll_ms\": 50, \"peers\": [");
        bool is_first = true;
        for (uint32_t i = 0; i < cluster->vm_count; i++) {
            if (cluster->vms[i].number != vm->number) {
                fprintf(file, "%s{\"address\": \"%s\"}", is_first ? "" : ",",
                        published_address(cluster, &cluster->vms[i]));
                is_first = false;
            }
        }
        fprintf(file, "],");
    }
    fprintf(file, "\"here\": {\"dc\": %u, \"vm\": %u, \"address\": \"%s\"}}",
            vm->dc, vm->number, vm->address);
    fclose(file);
}

void
cluster_start_process(cluster_t *cluster, uint32_t vm,
                      cluster_process_t process)
{
    cluster_vm_t *entry_vm = &cluster->vms[vm];
    const char *arguments[] = {
        apr_psprintf(cluster->pool, "%s/jt-%s", process_program_folder(),
                     process_names[process]),
        "--settings",
        apr_psprintf(cluster->pool, "%s/%u-%s.json", cluster->folder,
                     entry_vm->number, process_names[process]),
        NULL};
    process_spawn(cluster->pool, cluster->folder,
                  &entry_vm->processes[process],
                  apr_psprintf(cluster->pool, "%u-%s", entry_vm->number,
                               process_names[process]),
                  arguments);
    entry_vm->is_running[process] = true;
}

void
cluster_signal(cluster_t *cluster, uint32_t vm, cluster_process_t process,
               int number)
{
    if (number == SIGSTOP) {
        process_suspend(&cluster->vms[vm].processes[process]);
        return;
    }
    apr_proc_kill(&cluster->vms[vm].processes[process], number);
}

int
cluster_join_process(cluster_t *cluster, uint32_t vm,
                     cluster_process_t process)
{
    int code = 0;
    apr_exit_why_e why = APR_PROC_EXIT;
    apr_proc_wait(&cluster->vms[vm].processes[process], &code, &why, APR_WAIT);
    cluster->vms[vm].is_running[process] = false;
    return why == APR_PROC_EXIT ? code : -1;
}

static void
send_vm_list(cluster_t *cluster, const char *body)
{
    caller_request_t request;
    caller_send(&request, "PUT", body, "http://127.%u.0.1:7300/standin/vms",
                cluster->network);
    caller_free_replies(&request, 1);
}

void
cluster_publish_vms(cluster_t *cluster, uint32_t omitted, uint32_t leaving)
{
    char body[kTextBytes];
    int at = snprintf(body, sizeof body, "{\"vms\":[");
    for (uint32_t i = 0; i < cluster->vm_count; i++) {
        const cluster_vm_t *vm = &cluster->vms[i];
        if (i == omitted) {
            continue;
        }
        at += snprintf(body + at, sizeof body - (size_t)at,
                       "{\"vm\":%u,\"dc\":%u,\"role\":\"entry\","
                       "\"state\":\"%s\",\"address\":\"%s\"},",
                       vm->number, vm->dc, i == leaving ? "leaving" : "live",
                       published_address(cluster, vm));
    }
    for (uint32_t dc = 1; dc <= cluster->options.dcs; dc++) {
        for (uint32_t i = 0; i < cluster->options.targets; i++) {
            at += snprintf(body + at, sizeof body - (size_t)at,
                           "{\"vm\":%u,\"dc\":%u,\"role\":\"target\","
                           "\"address\":\"127.%u.%u.%u\",\"port\":9000,"
                           "\"slots\":%u},",
                           dc * 1000 + i, dc, cluster->network,
                           (cluster->options.has_proxy ? 150 : 100) + dc,
                           i + 1, cluster->options.slots);
        }
    }
    body[at - 1] = ']';
    snprintf(body + at, sizeof body - (size_t)at, "}");
    send_vm_list(cluster, body);
}

void
cluster_set_platform(cluster_t *cluster, const char *query)
{
    caller_request_t request;
    caller_send(&request, "POST", "", "http://127.%u.0.1:7300/standin/set?%s",
                cluster->network, query);
    caller_free_replies(&request, 1);
}

void
cluster_set_proxy(cluster_t *cluster, const char *query)
{
    caller_request_t request;
    caller_send(&request, "POST", "", "http://127.%u.0.2:7301/standin/set?%s",
                cluster->network, query);
    caller_free_replies(&request, 1);
}

void
cluster_set_targets(cluster_t *cluster, uint32_t dc, const char *query)
{
    caller_request_t request;
    caller_send(&request, "POST", "", "http://127.%u.%u.1:9001/standin/set?%s",
                cluster->network, 100 + dc, query);
    caller_free_replies(&request, 1);
}

uint64_t
cluster_read_counter(cluster_t *cluster, const char *key)
{
    uint64_t sum = 0;
    for (uint32_t dc = 1; dc <= cluster->options.dcs; dc++) {
        caller_request_t request;
        caller_send(&request, "GET", NULL,
                    "http://127.%u.%u.1:9001/standin/ledger", cluster->network,
                    100 + dc);
        sum += caller_reply_number(&request, key);
        caller_free_replies(&request, 1);
    }
    return sum;
}

int
cluster_run_jtctl(cluster_t *cluster, uint32_t vm, uint16_t port, char *output,
                  uint32_t output_bytes, const char *arguments)
{
    char command[kTextBytes];
    snprintf(command, sizeof command, "%s/jtctl -a %s -p %u %s 2>&1",
             process_program_folder(), cluster->vms[vm].address, port,
             arguments);
    FILE *pipe = popen(command, "r");
    size_t size_bytes = fread(output, 1, output_bytes - 1, pipe);
    output[size_bytes] = '\0';
    while (fgetc(pipe) != EOF) {
    }
    int status = pclose(pipe);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/// The VM that a wait is for.
typedef struct {
    cluster_t *cluster;
    uint32_t vm;
} vm_wait_t;

static bool
is_front_healthy(void *state)
{
    vm_wait_t *wait = state;
    caller_request_t request;
    uint32_t status =
        caller_send(&request, "GET", NULL, "http://%s:8080/v1/health",
                    wait->cluster->vms[wait->vm].address);
    caller_free_replies(&request, 1);
    return status == 200;
}

void
cluster_wait_front(cluster_t *cluster, uint32_t vm)
{
    vm_wait_t wait = {.cluster = cluster, .vm = vm};
    process_wait_for(is_front_healthy, &wait, "a front is healthy");
}

static bool
is_ready(void *state)
{
    vm_wait_t *wait = state;
    char output[kTextBytes];
    caller_request_t request;
    uint32_t status =
        caller_send(&request, "POST", "", "http://%s:8080/v1/job-ids",
                    wait->cluster->vms[wait->vm].address);
    caller_free_replies(&request, 1);
    return status == 200 &&
           cluster_run_jtctl(wait->cluster, wait->vm, 7401, output,
                             sizeof output, "dump") == 0 &&
           strstr(output, "\"config_offset\":0") == NULL &&
           strstr(output, "\"teams\":0") == NULL &&
           strstr(output, "\"members\":0") == NULL;
}

void
cluster_wait_ready(cluster_t *cluster, uint32_t vm)
{
    vm_wait_t wait = {.cluster = cluster, .vm = vm};
    process_wait_for(is_ready, &wait, "a VM is ready");
}

static bool
is_platform_up(void *state)
{
    caller_request_t request;
    uint32_t status = caller_send(&request, "GET", NULL,
                                  "http://127.%u.0.1:7300/standin/log",
                                  ((cluster_t *)state)->network);
    caller_free_replies(&request, 1);
    return status == 200;
}

/// Appends a section for each team to the platform's log before the agents
/// start.
static void
publish_teams(cluster_t *cluster)
{
    char *names = apr_pstrdup(cluster->pool, cluster->options.teams);
    char *rest = NULL;
    uint32_t number = 0;
    for (char *name = strtok_r(names, " ", &rest); name != NULL;
         name = strtok_r(NULL, " ", &rest)) {
        caller_request_t request;
        const char *body =
            apr_psprintf(cluster->pool,
                         "{\"section\":\"%s\",\"base\":0,\"edit_id\":\"t%u\","
                         "\"text\":\"{}\"}",
                         name, number++);
        caller_send(&request, "POST", body,
                    "http://127.%u.0.1:7300/v1/log/config", cluster->network);
        caller_free_replies(&request, 1);
    }
}

static void
start_standins(cluster_t *cluster)
{
    const char *folder = process_program_folder();
    const char *platform[] = {
        apr_pstrcat(cluster->pool, folder, "/standin-platform", NULL),
        "--address",
        apr_psprintf(cluster->pool, "127.%u.0.1", cluster->network),
        "--port",
        "7300",
        NULL};
    process_spawn(cluster->pool, cluster->folder, &cluster->platform,
                  "platform", platform);
    for (uint32_t dc = 1; dc <= cluster->options.dcs; dc++) {
        const char *targets[] = {
            apr_pstrcat(cluster->pool, folder, "/standin-targets", NULL),
            "--address",
            apr_psprintf(cluster->pool, "127.%u.%u.1", cluster->network,
                         100 + dc),
            "--count",
            apr_psprintf(cluster->pool, "%u", cluster->options.targets),
            "--slots",
            apr_psprintf(cluster->pool, "%u", cluster->options.slots),
            NULL};
        process_spawn(cluster->pool, cluster->folder,
                      &cluster->targets[dc - 1],
                      apr_psprintf(cluster->pool, "targets%u", dc), targets);
    }
    process_wait_for(is_platform_up, cluster, "the platform is up");
}

/// Starts standin-proxy, with routes to ports 7401 and 7402 of each entry VM,
/// to each target, and from each data centre to the platform.
static void
start_proxy(cluster_t *cluster)
{
    const char *arguments[64];
    uint32_t count = 0;
    uint32_t network = cluster->network;
    apr_pool_t *pool = cluster->pool;
    arguments[count++] =
        apr_pstrcat(pool, process_program_folder(), "/standin-proxy", NULL);
    arguments[count++] = "--control";
    arguments[count++] = apr_psprintf(pool, "127.%u.0.2:7301", network);
    for (uint32_t i = 0; i < cluster->vm_count; i++) {
        const cluster_vm_t *vm = &cluster->vms[i];
        for (uint32_t port = 7401; port <= 7402; port++) {
            arguments[count++] = apr_psprintf(pool, "%s:%u=%s:%u@%u",
                                              published_address(cluster, vm),
                                              port, vm->address, port, vm->dc);
        }
    }
    for (uint32_t dc = 1; dc <= cluster->options.dcs; dc++) {
        arguments[count++] =
            apr_psprintf(pool, "127.%u.0.%u:7300=127.%u.0.1:7300@%u", network,
                         10 + dc, network, dc);
        for (uint32_t i = 1; i <= cluster->options.targets; i++) {
            arguments[count++] =
                apr_psprintf(pool, "127.%u.%u.%u:9000=127.%u.%u.%u:9000@%u",
                             network, 150 + dc, i, network, 100 + dc, i, dc);
        }
    }
    arguments[count] = NULL;
    process_spawn(cluster->pool, cluster->folder, &cluster->proxy, "proxy",
                  arguments);
}

static void
set_defaults(cluster_options_t *options)
{
    options->dcs = options->dcs == 0 ? 1 : options->dcs;
    options->vms = options->vms == 0 ? 1 : options->vms;
    options->targets = options->targets == 0 ? 2 : options->targets;
    options->slots = options->slots == 0 ? 8 : options->slots;
    if (options->teams == NULL) {
        options->teams = "counter";
    }
}

static void
assign_addresses(cluster_t *cluster)
{
    for (uint32_t dc = 1; dc <= cluster->options.dcs; dc++) {
        for (uint32_t i = 1; i <= cluster->options.vms; i++) {
            cluster_vm_t *vm = &cluster->vms[cluster->vm_count++];
            vm->dc = dc;
            vm->number = dc * 10 + i;
            snprintf(vm->address, sizeof vm->address, "127.%u.%u.%u",
                     cluster->network, dc, i);
        }
    }
}

void
cluster_start(cluster_t *cluster, const cluster_options_t *options)
{
    char folder[] = "/tmp/jt-test-XXXXXX";
    *cluster = (cluster_t){.options = *options};
    set_defaults(&cluster->options);
    apr_pool_create(&cluster->pool, NULL);
    cluster->folder = apr_pstrdup(cluster->pool, mkdtemp(folder));
    cluster->network = process_reserve_network();
    start_standins(cluster);
    assign_addresses(cluster);
    if (cluster->options.has_proxy) {
        start_proxy(cluster);
    }
    cluster_publish_vms(cluster, UINT32_MAX, UINT32_MAX);
    publish_teams(cluster);
    for (uint32_t i = 0; i < cluster->vm_count; i++) {
        for (cluster_process_t process = 0; process < kClusterProcessCount;
             process++) {
            write_settings(cluster, &cluster->vms[i], process);
            cluster_start_process(cluster, i, process);
        }
    }
    for (uint32_t i = 0; i < cluster->vm_count; i++) {
        cluster_wait_ready(cluster, i);
    }
}

void
cluster_stop(cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->vm_count; i++) {
        for (cluster_process_t process = 0; process < kClusterProcessCount;
             process++) {
            if (cluster->vms[i].is_running[process]) {
                process_kill(&cluster->vms[i].processes[process]);
            }
        }
    }
    process_kill(&cluster->platform);
    if (cluster->options.has_proxy) {
        process_kill(&cluster->proxy);
    }
    for (uint32_t dc = 0; dc < cluster->options.dcs; dc++) {
        process_kill(&cluster->targets[dc]);
    }
    if (getenv("JT_KEEP") == NULL) {
        const char *command =
            apr_psprintf(cluster->pool, "rm -r '%s'", cluster->folder);
        if (system(command) != 0) {
            fprintf(stderr, "cluster: cannot remove %s\n", cluster->folder);
        }
    }
    else {
        fprintf(stderr, "cluster: logs are in %s\n", cluster->folder);
    }
    apr_pool_destroy(cluster->pool);
}

void
cluster_create_job_id(cluster_t *cluster, uint32_t vm, char id[kCallerIdBytes])
{
    caller_request_t request;
    caller_send(&request, "POST", "", "http://%s:8080/v1/jobs",
                cluster->vms[vm].address);
    const char *slash = strrchr(request.location, '/');
    if (slash == NULL) {
        fprintf(stderr, "cluster: no job id: status %u %.300s\n",
                request.status, request.reply == NULL ? "" : request.reply);
        process_abort();
    }
    snprintf(id, kCallerIdBytes, "%s", slash + 1);
    caller_free_replies(&request, 1);
}

void
cluster_fill_submission(cluster_t *cluster, uint32_t vm, const char *id,
                        const char *body, caller_request_t *request)
{
    *request = (caller_request_t){.method = "PUT", .body = body};
    snprintf(request->url, sizeof request->url, "http://%s:8080/v1/jobs/%s",
             cluster->vms[vm].address, id);
}

uint32_t
cluster_submit(cluster_t *cluster, uint32_t vm, const char *id,
               const char *body, caller_request_t *request)
{
    cluster_fill_submission(cluster, vm, id, body, request);
    caller_send_all(request, 1);
    return request->status;
}

/// The job that a wait is for.
typedef struct {
    const char *address;
    const char *id;
} job_wait_t;

static bool
is_job_known(void *state)
{
    job_wait_t *wait = state;
    caller_request_t request;
    uint32_t status =
        caller_send(&request, "GET", NULL, "http://%s:8080/v1/jobs/%s",
                    wait->address, wait->id);
    caller_free_replies(&request, 1);
    return status != 404;
}

void
cluster_wait_job(cluster_t *cluster, uint32_t vm, const char *id)
{
    job_wait_t wait = {.address = cluster->vms[vm].address, .id = id};
    process_wait_for(is_job_known, &wait, "a job is known");
}

/// The number of starts that a wait is for.
typedef struct {
    cluster_t *cluster;
    uint64_t count;
} start_count_wait_t;

static bool
has_start_count(void *state)
{
    start_count_wait_t *wait = state;
    return cluster_read_counter(wait->cluster, "starts") >= wait->count;
}

void
cluster_wait_starts(cluster_t *cluster, uint64_t count)
{
    start_count_wait_t wait = {.cluster = cluster, .count = count};
    process_wait_for(has_start_count, &wait, "tasks start");
}

void
cluster_format_job(char *out, uint32_t out_bytes, uint32_t task_count,
                   uint32_t task_ms, uint32_t deadline_ms)
{
    int at = snprintf(out, out_bytes,
                      "{\"team\":\"counter\",\"deadline_ms\":%u,\"tasks\":[",
                      deadline_ms);
    for (uint32_t i = 0; i < task_count; i++) {
        at += snprintf(out + at, out_bytes - (uint32_t)at,
                       "%s{\"kind\":\"quote\",\"payload\":\"ms=%u n=%u\"}",
                       i > 0 ? "," : "", task_ms, i);
    }
    snprintf(out + at, out_bytes - (uint32_t)at, "]}");
}
