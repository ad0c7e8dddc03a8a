/// Stand-in for the users' platform: the store, the runners, and the operator
/// who writes the configuration. The control port, one above the store's, has:
///
///   POST /set?K=V&...  down=0|1 lost=PERCENT config=0|1 runner=I&mode=NAME
///                      compact=1 rebalance=1 late_nodes=1 garbage=1
///   GET  /job?ID       counters of one job
///   GET  /ledger       counters over all runners and of the store
#include <apr_general.h>
#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "runtime/log.h"
#include "standins/runners.h"

enum { kTextBytes = 1024, kStorePort = 7301, kRunnerPort = 20000 };

typedef struct {
    server_t control;
    fake_store_t *store;
    runners_t *runners;
    uint64_t config_version;
    bool has_extra_queue;
} users_platform_t;

static void
put_config(users_platform_t *users)
{
    char text[kTextBytes];
    users->config_version += 3;
    snprintf(
        text, sizeof text,
        "{\"version\":%llu,\"routes\":[{\"name\":\"q\",\"hostname\":\"h\","
        "\"path_prefix\":\"/jobs/\",\"kind\":\"non_idempotent\","
        "\"timeout_ms\":1500,\"slo_ms\":2000,\"priority\":0,\"service\":\"s\","
        "\"max_attempts\":3,\"stretch\":10.5}%s],\"services\":[{\"name\":"
        "\"s\","
        "\"enforces_capacity\":true}],\"limits\":{}}",
        (unsigned long long)users->config_version,
        users->has_extra_queue
            ? ",{\"name\":\"x\",\"hostname\":\"h\",\"path_prefix\":\"/extra/"
              "\",\"slo_ms\":1000,\"service\":\"s\"}"
            : "");
    fake_store_put(users->store, "keyed.op", "config", text);
}

/// @param name  with "=" after it
/// @return the number of a query parameter, or a default
static uint32_t
query_number(const char *path, const char *name, uint32_t default_number)
{
    const char *at = strstr(path, name);
    return at == NULL ? default_number
                      : (uint32_t)strtoul(at + strlen(name), NULL, 10);
}

static void
apply_settings(users_platform_t *users, const char *path)
{
    fake_store_faults_t *faults = fake_store_get_faults(users->store);
    faults->is_down = query_number(path, "down=", faults->is_down) != 0;
    faults->lost_percent = query_number(path, "lost=", faults->lost_percent);
    log_event("set", "query=\"%s\"", path);
    if (strstr(path, "compact=1") != NULL) {
        fake_store_compact(users->store);
    }
    if (strstr(path, "late_nodes=1") != NULL) {
        fake_store_append_first_again(users->store, "keyed.nodes");
    }
    if (strstr(path, "rebalance=1") != NULL) {
        fake_store_rebalance(users->store);
    }
    if (strstr(path, "config=") != NULL) {
        users->has_extra_queue = query_number(path, "config=", 0) != 0;
        put_config(users);
    }
    if (strstr(path, "garbage=1") != NULL) {
        fake_store_put(users->store, "keyed.servers", "bad", "{\"service\":7");
        fake_store_put(users->store, "keyed.op", "noise", "[1,2");
    }
    if (strstr(path, "bad_evacuation=1") != NULL) {
        fake_store_put(users->store, "keyed.op", "evacuate/dc1", "[1,2");
        fake_store_put(users->store, "keyed.op", "evacuate/nowhere", "{}");
        fake_store_put(users->store, "keyed.op", "evacuate/", "{}");
    }
    runners_set_evacuated(users->runners, query_number(path, "evacuate=", 0),
                          true);
    runners_set_evacuated(users->runners, query_number(path, "restore=", 0),
                          false);
    const char *mode = strstr(path, "mode=");
    if (mode != NULL) {
        runners_set_mode(users->runners, query_number(path, "runner=", 0),
                         mode + 5);
    }
}

static void
serve(void *owner, server_conn_t *conn, const server_request_t *request)
{
    users_platform_t *users = owner;
    char text[kTextBytes] = "{}";
    if (strncmp(request->path, "/job?", 5) == 0) {
        job_counters_t job =
            runners_read_job_counters(users->runners, request->path + 5);
        snprintf(text, sizeof text, "{\"starts\": %llu, \"done\": %llu}",
                 (unsigned long long)job.starts, (unsigned long long)job.done);
    }
    else if (strncmp(request->path, "/set", 4) == 0) {
        apply_settings(users, request->path);
    }
    else {
        const runners_counters_t *counters =
            runners_read_counters(users->runners);
        snprintf(text, sizeof text,
                 "{\"starts\": %llu, \"done\": %llu, \"failed\": %llu, "
                 "\"stopped\": %llu, \"lapsed\": %llu, \"doubles\": %llu, "
                 "\"out_of_room\": %llu, \"drained\": %llu, "
                 "\"crashes\": %llu, \"evacuated\": %llu, "
                 "\"starts_dc1\": %llu, \"starts_dc2\": %llu, "
                 "\"running\": %llu, \"store_calls\": %llu, "
                 "\"node_records\": %llu, \"node_names\": %llu, "
                 "\"leaves\": %llu}",
                 (unsigned long long)counters->starts,
                 (unsigned long long)counters->done,
                 (unsigned long long)counters->failed,
                 (unsigned long long)counters->stopped,
                 (unsigned long long)counters->lapsed,
                 (unsigned long long)counters->doubles,
                 (unsigned long long)counters->out_of_room,
                 (unsigned long long)counters->drained,
                 (unsigned long long)counters->crashes,
                 (unsigned long long)counters->evacuated,
                 (unsigned long long)counters->dc_starts[1],
                 (unsigned long long)counters->dc_starts[2],
                 (unsigned long long)counters->running,
                 (unsigned long long)fake_store_count_calls(users->store),
                 (unsigned long long)fake_store_end_offset(users->store,
                                                           "keyed.nodes"),
                 (unsigned long long)fake_store_count_keys(users->store,
                                                           "keyed.nodes"),
                 (unsigned long long)fake_store_count_leaves(users->store));
    }
    server_reply(conn, 200, "", text, (uint32_t)strlen(text));
}

static const struct argp_option option_table[] = {
    {"address", 'a', "IP", 0, "address to listen on", 0},
    {"runners", 'r', "COUNT", 0, "number of runners", 0},
    {"dcs", 'd', "COUNT", 0, "number of data centres", 0},
    {0}};

typedef struct {
    const char *address;
    uint32_t runners;
    uint32_t dcs;
} options_t;

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    options_t *options = state->input;
    switch (key) {
    case 'a':
        options->address = arg;
        return 0;
    case 'r':
        options->runners = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    case 'd':
        options->dcs = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = option_table,
                              .parser = parse_option,
                              .doc = "Stand-in for the users' platform."};
    options_t options = {.address = "127.0.0.1", .runners = 4, .dcs = 1};
    error_info_t err = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    apr_initialize();
    signal(SIGPIPE, SIG_IGN);
    log_open("standin-users");
    if (sodium_init() < 0) {
        return 1;
    }
    loop_t *loop = loop_create();
    users_platform_t users = {.control = {.loop = loop, .on_request = serve}};
    users.control.owner = &users;
    users.store = fake_store_open(loop, options.address, kStorePort, &err);
    users.runners =
        users.store == NULL
            ? NULL
            : runners_open(loop, users.store, options.address, kRunnerPort,
                           options.runners, options.dcs, &err);
    if (users.runners == NULL ||
        !server_open(&users.control, options.address, kStorePort + 1, &err)) {
        fprintf(stderr, "standin-users: %s\n", err.text);
        return 1;
    }
    put_config(&users);
    loop_run(loop);
    return 0;
}
