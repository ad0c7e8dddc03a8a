/// Child processes of a test, each with its own log file.
#ifndef JT_TESTS_SUPPORT_PROCESS_H
#define JT_TESTS_SUPPORT_PROCESS_H

#include <apr_thread_proc.h>
#include <stdbool.h>
#include <stdint.h>

/// @return the folder of the built programs: JT_BUILD of the environment, or
///         the current folder
const char *process_program_folder(void);

/// Reserves a loopback network 127.N.0.0/16 that no other test uses, until
/// this process exits. Aborts when all are in use.
///
/// @return N, the same in all calls of a process
uint32_t process_reserve_network(void);

/// Starts a program and appends its output to FOLDER/NAME.log. Aborts when the
/// program can't be started.
void process_spawn(apr_pool_t *pool, const char *folder, apr_proc_t *process,
                   const char *name, const char *const *arguments);

/// Sends SIGSTOP to a process and waits until all of its threads have stopped.
/// Until then, a process that was sent the signal still answers.
void process_suspend(const apr_proc_t *process);

/// Sends SIGKILL to a process and waits for its exit.
void process_kill(apr_proc_t *process);

/// Waits for a process to exit.
///
/// @return its exit code, or -1 when a signal killed it
int process_join(apr_proc_t *process);

/// Kills all processes that the test started and aborts.
void process_abort(void);

/// Polls a condition until it holds. After 60 s, kills all processes that the
/// test started and aborts.
///
/// @param what  the condition in words, for the error message
void process_wait_for(bool (*holds)(void *state), void *state,
                      const char *what);

#endif
