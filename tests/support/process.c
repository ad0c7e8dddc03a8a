#include "support/process.h"

#include <apr_strings.h>
#include <apr_time.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum { kWaitStepUs = 10000, kWaitLimitUs = 60 * 1000 * 1000 };

void
process_wait_for(bool (*holds)(void *state), void *state, const char *what)
{
    apr_time_t limit_us = apr_time_now() + kWaitLimitUs;
    while (!holds(state)) {
        if (apr_time_now() > limit_us) {
            fprintf(stderr, "cluster: waited in vain: %s\n", what);
            abort();
        }
        apr_sleep(kWaitStepUs);
    }
}

const char *
process_folder(void)
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
    apr_file_close(log);
}

int
process_join(apr_proc_t *process)
{
    int code = 0;
    apr_exit_why_e why = APR_PROC_EXIT;
    apr_proc_wait(process, &code, &why, APR_WAIT);
    return why == APR_PROC_EXIT ? code : -1;
}

void
process_end(apr_proc_t *process)
{
    apr_proc_kill(process, SIGKILL);
    process_join(process);
}
