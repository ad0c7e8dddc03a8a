#include "support/process.h"

#include <apr_network_io.h>
#include <apr_strings.h>
#include <apr_time.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
    kPollIntervalUs = 10000,
    kWaitTimeoutUs = 60 * 1000 * 1000,
    /// The cases in review/ choose from 20 to 219.
    kFirstNetwork = 220,
    kNetworkCount = 34,
    kMaxProcesses = 512,
    kReservationPort = 7299 ///< bound by the process that uses a network
};

/// Processes to be killed when a wait times out; 0 marks a free place.
static pid_t running_pids[kMaxProcesses];

/// Replaces a pid in the list: (0, pid) adds one, (pid, 0) removes it.
static void
replace_running_pid(pid_t old_pid, pid_t new_pid)
{
    for (uint32_t i = 0; i < kMaxProcesses; i++) {
        if (running_pids[i] == old_pid) {
            running_pids[i] = new_pid;
            return;
        }
    }
}

void
process_abort(void)
{
    for (uint32_t i = 0; i < kMaxProcesses; i++) {
        if (running_pids[i] != 0) {
            kill(running_pids[i], SIGKILL);
        }
    }
    abort();
}

void
process_wait_for(bool (*holds)(void *state), void *state, const char *what)
{
    apr_time_t deadline_us = apr_time_now() + kWaitTimeoutUs;
    while (!holds(state)) {
        if (apr_time_now() > deadline_us) {
            fprintf(stderr, "process: timed out waiting until %s\n", what);
            process_abort();
        }
        apr_sleep(kPollIntervalUs);
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
    for (uint32_t i = 0; i < kNetworkCount; i++) {
        uint32_t network =
            kFirstNetwork + ((uint32_t)getpid() + i) % kNetworkCount;
        apr_sockaddr_t *address = NULL;
        apr_sockaddr_info_get(&address,
                              apr_psprintf(pool, "127.%u.255.1", network),
                              APR_INET, kReservationPort, 0, pool);
        apr_socket_create(&socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool);
        if (apr_socket_bind(socket, address) == APR_SUCCESS) {
            reserved = network;
            return network;
        }
        apr_socket_close(socket);
    }
    fprintf(stderr, "process: all %d loopback networks are in use\n",
            kNetworkCount);
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
        fprintf(stderr, "process: cannot start %s\n", arguments[0]);
        abort();
    }
    replace_running_pid(0, process->pid);
    apr_file_close(log);
}

int
process_join(apr_proc_t *process)
{
    int code = 0;
    apr_exit_why_e why = APR_PROC_EXIT;
    apr_proc_wait(process, &code, &why, APR_WAIT);
    replace_running_pid(process->pid, 0);
    return why == APR_PROC_EXIT ? code : -1;
}

void
process_suspend(const apr_proc_t *process)
{
    int state = 0;
    kill(process->pid, SIGSTOP);
    if (waitpid(process->pid, &state, WUNTRACED) != process->pid ||
        !WIFSTOPPED(state)) {
        fprintf(stderr, "process: %d did not stop\n", (int)process->pid);
        process_abort();
    }
}

void
process_kill(apr_proc_t *process)
{
    apr_proc_kill(process, SIGKILL);
    process_join(process);
}
