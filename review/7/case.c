/// Stops are left unanswered and carried out late, while jobs pass their
/// clients' deadline and are sent again.
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "world.h"

enum {
    kNodes = 3,
    kZones = 3,
    kRunners = 9,
    kJobs = 10,
    kTasks = 16,
    kTaskMcores = 1000,
    kTaskMs = 3600,     ///< the longest work of a quote in the site file
    kDeadlineMs = 1500, ///< of the same kind of request
    kRetransmitMs = 1300,
    kSends = 3,
    kLateBeginMs = 1200, ///< from the first requests
    kLateMs = 5500,
    kSettleMs = 2000
};

typedef struct {
    uint32_t number;
    pthread_t thread;
} job_t;

/// Sends a job until it is answered with 200, 429 or 503.
static void *
run_client(void *argument)
{
    const job_t *job = argument;
    char id[24];
    char body[kTextBytes];
    snprintf(id, sizeof id, "c7%014x", job->number);
    format_job(body, kTasks, kTaskMcores, kTaskMs);
    for (uint32_t i = 0; i < kSends; i++) {
        client_call_t call = {.node = (job->number + i) % kNodes,
                              .method = "POST",
                              .path = id,
                              .body = body,
                              .deadline_ms = kDeadlineMs};
        client_send(&call);
        if (call.status == 200 || call.status == 429 || call.status == 503) {
            break;
        }
        sleep_ms(kRetransmitMs);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    job_t jobs[kJobs];
    if (argc != 2) {
        return 2;
    }
    world_open(argv[1], kNodes, kZones, kRunners);
    world_wait_ready();
    for (uint32_t i = 0; i < kJobs; i++) {
        jobs[i].number = i;
        pthread_create(&jobs[i].thread, NULL, run_client, &jobs[i]);
    }
    sleep_ms(kLateBeginMs);
    if (is_troubled()) {
        record("orders are late for %d ms", kLateMs);
        world.late_share = 0.5;
        world.late_until_ms = now_ms() + kLateMs;
    }
    for (uint32_t i = 0; i < kJobs; i++) {
        pthread_join(jobs[i].thread, NULL);
    }
    sleep_ms(kSettleMs);
    record("runs: %llu started, %llu done, %llu stopped, %llu lapsed; orders "
           "in the window: %llu, of these late: %llu; tasks started while "
           "they ran on another runner: %llu",
           (unsigned long long)world.starts, (unsigned long long)world.done,
           (unsigned long long)world.stopped, (unsigned long long)world.lapsed,
           (unsigned long long)world.orders_seen,
           (unsigned long long)world.orders_late,
           (unsigned long long)world.doubles);
    printf("runs %llu, twice at the same time %llu\n",
           (unsigned long long)world.starts,
           (unsigned long long)world.doubles);
    world_close();
    return world.doubles > 0 ? 1 : 0;
}
