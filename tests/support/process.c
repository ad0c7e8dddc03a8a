#include "support/process.h"

#include <apr_network_io.h>
#include <apr_strings.h>
#include <apr_time.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum {
    kWaitStepUs = 10000,
    kWaitLimitUs = 60 * 1000 * 1000,
    kFirstNet = 100,
    kNetCount = 128,
    kProcessLimit = 512,
    kNetPort = 7299 ///< bound by the process that has the network
};

/// Processes that run, for kill_all.
static pid_t running[kProcessLimit];

/// Puts a process into the list or, with `now` 0, takes it out.
static void
replace_running(pid_t before, pid_t now)
{
    for (uint32_t i = 0; i < kProcessLimit; i++) {
        if (running[i] == before) {
            running[i] = now;
            return;
        }
    }
}

static void
kill_all(void)
{
    for (uint32_t i = 0; i < kProcessLimit; i++) {
        if (running[i] != 0) {
            kill(running[i], SIGKILL);
        }
    }
}

void
process_wait_for(bool (*holds)(void *state), void *state, const char *what)
{
    apr_time_t limit_us = apr_time_now() + kWaitLimitUs;
    while (!holds(state)) {
        if (apr_time_now() > limit_us) {
            fprintf(stderr, "cluster: waited in vain: %s\n", what);
            kill_all();
            abort();
        }
        apr_sleep(kWaitStepUs);
    }
}

uint32_t
process_reserve_network(void)
{
    static uint32_t reserved;
    static apr_pool_t *pool;
    apr_socket_t *socket = NULL;
    if (reserved != 0) {
        return reserved;
    }
    apr_pool_create(&pool, NULL);
    for (uint32_t i = 0; i < kNetCount; i++) {
        uint32_t net = kFirstNet + ((uint32_t)getpid() + i) % kNetCount;
        apr_sockaddr_t *address = NULL;
        apr_sockaddr_info_get(&address,
                              apr_psprintf(pool, "127.%u.255.1", net),
                              APR_INET, kNetPort, 0, pool);
        apr_socket_create(&socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool);
        if (apr_socket_bind(socket, address) == APR_SUCCESS) {
            reserved = net;
            return net;
        }
        apr_socket_close(socket);
    }
    fprintf(stderr, "cluster: all networks are taken\n");
    abort();
}

const char *
process_program_folder(void)
{
    const char *folder = getenv("JT_BUILD");
    return folder == NULL ? "." : folder;
}

void
process_spawn(apr_pool_t *pool, const char *folder, apr_proc_t *process,
              const char *name, const char *const *arguments)
{
    apr_procattr_t *attributes = NULL;
    apr_file_t *log = NULL;
    const char *path = apr_psprintf(pool, "%s/%s.log", folder, name);
    apr_procattr_create(&attributes, pool);
    apr_procattr_cmdtype_set(attributes, APR_PROGRAM_ENV);
    apr_file_open(&log, path,
                  APR_FOPEN_WRITE | APR_FOPEN_CREATE | APR_FOPEN_APPEND,
                  APR_FPROT_OS_DEFAULT, pool);
    apr_procattr_child_out_set(attributes, log, NULL);
    apr_procattr_child_err_set(attributes, log, NULL);
    if (apr_proc_create(process, arguments[0], arguments, NULL, attributes,
                        pool) != APR_SUCCESS) {
        fprintf(stderr, "cluster: cannot start %s\n", arguments[0]);
        abort();
    }
    replace_running(0, process->pid);
    apr_file_close(log);
}

int
process_join(apr_proc_t *process)
{
    int code = 0;
    apr_exit_why_e why = APR_PROC_EXIT;
    apr_proc_wait(process, &code, &why, APR_WAIT);
    replace_running(process->pid, 0);
    return why == APR_PROC_EXIT ? code : -1;
}

void
process_kill(apr_proc_t *process)
{
    apr_proc_kill(process, SIGKILL);
    process_join(process);
}
