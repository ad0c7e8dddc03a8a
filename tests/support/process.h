/// Processes of a test, each with a log of its own.
#ifndef JT_TESTS_SUPPORT_PROCESS_H
#define JT_TESTS_SUPPORT_PROCESS_H

#include <apr_thread_proc.h>
#include <stdbool.h>
#include <stdint.h>

/// @return the folder of the built programs
const char *process_program_folder(void);

/// Takes a loopback network 127.N.0.0/16 that no other test has.
///
/// @return N, the same in all calls of a process
uint32_t process_reserve_network(void);

/// Starts a program whose output goes to FOLDER/NAME.log.
void process_spawn(apr_pool_t *pool, const char *folder, apr_proc_t *process,
                   const char *name, const char *const *arguments);

/// Ends a process at once.
void process_kill(apr_proc_t *process);

/// Waits for the end of a process.
///
/// @return its exit code, or -1 when a signal ended it
int process_join(apr_proc_t *process);

/// Waits until a condition holds; where it never does, ends the test and all
/// processes that it started.
void process_wait_for(bool (*holds)(void *state), void *state,
                      const char *what);

#endif
