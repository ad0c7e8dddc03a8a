/// Processes of a test, each with a log of its own.
#ifndef JT_TESTS_SUPPORT_PROCESS_H
#define JT_TESTS_SUPPORT_PROCESS_H

#include <apr_thread_proc.h>
#include <stdbool.h>

/// @return the folder of the built programs
const char *process_folder(void);

/// Starts a program whose output goes to FOLDER/NAME.log.
void process_spawn(apr_pool_t *pool, const char *folder, apr_proc_t *process,
                   const char *name, const char *const *arguments);

/// Ends a process at once.
void process_end(apr_proc_t *process);

/// Waits for the end of a process.
///
/// @return its exit code, or -1 when a signal ended it
int process_join(apr_proc_t *process);

/// Waits until a condition holds; ends the test where it never does.
void process_wait_for(bool (*holds)(void *state), void *state,
                      const char *what);

#endif
