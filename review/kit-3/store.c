/// Stand-in for the users' metadata store and their operator: the project's
/// own stand-in of the store, with a configuration of one queue and one
/// service. Runners are processes of their own, see runner.c.
///
///   store --address IP    listens on port 7301 of the address
#include <apr_general.h>
#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>

#include "runtime/log.h"
#include "standins/store.h"

enum { kStorePort = 7301 };

static const char config[] =
    "{\"version\":3,\"routes\":[{\"name\":\"q\",\"hostname\":\"h\","
    "\"path_prefix\":\"/jobs/\",\"kind\":\"non_idempotent\","
    "\"timeout_ms\":1500,\"slo_ms\":60,\"priority\":0,\"service\":\"s\","
    "\"max_attempts\":2,\"stretch\":1.6}],\"services\":[{\"name\":\"s\","
    "\"enforces_capacity\":true}],\"limits\":{}}";

static const struct argp_option option_table[] = {
    {"address", 'a', "IP", 0, "address to listen on", 0}, {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    const char **address = state->input;
    if (key != 'a') {
        return ARGP_ERR_UNKNOWN;
    }
    *address = arg;
    return 0;
}

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = option_table, .parser = parse_option};
    const char *address = "127.0.0.1";
    error_info_t err = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &address);
    apr_initialize();
    signal(SIGPIPE, SIG_IGN);
    log_open("review-store");
    if (sodium_init() < 0) {
        return 1;
    }
    loop_t *loop = loop_create();
    fake_store_t *store = fake_store_open(loop, address, kStorePort, &err);
    if (store == NULL) {
        fprintf(stderr, "review-store: %s\n", err.text);
        return 1;
    }
    fake_store_put(store, "keyed.op", "config", config);
    loop_run(loop);
    return 0;
}
