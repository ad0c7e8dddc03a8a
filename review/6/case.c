/// A coordinator freezes and a connection to it is reset, after other jobs of
/// the same coordinator have reached their clients' deadline.
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "world.h"

enum {
    kNodes = 4,
    kZones = 2,
    kRunners = 8,
    /// Zone 1 has nodes 0 and 2, zone 2 has nodes 1 and 3. The first of each
    /// owns the runners of its zone.
    kCoordinator = 2,
    kOtherNode = 3,
    kShortJobs = 100,
    kShortTasks = 1,
    kShortTaskMs = 3600,
    kShortDeadlineMs = 1500,
    kSpreadMs = 10, ///< between two of these jobs
    kTasks = 2,
    kTaskMs = 8000,
    kDeadlineMs = 20000,
    kTaskMcores = 1000,
    kRetransmitMs = 1300,
    kFreezeMs = 4000,
    kResetDelayMs = 100, ///< from the freeze to the reset
    kSettleMs = 500
};

static volatile bool is_reset;

static void *
run_short_client(void *argument)
{
    uint32_t number = *(const uint32_t *)argument;
    char id[24];
    char body[kTextBytes];
    snprintf(id, sizeof id, "c6%014x", 0x1000 + number);
    format_job(body, kShortTasks, kTaskMcores, kShortTaskMs);
    client_call_t call = {.node = kCoordinator,
                          .method = "POST",
                          .path = id,
                          .body = body,
                          .deadline_ms = kShortDeadlineMs};
    client_send(&call);
    return NULL;
}

/// Sends a long job, and sends it again after its connection has broken.
static void *
run_long_client(void *argument)
{
    static const char id[] = "c600000000000001";
    char body[kTextBytes];
    (void)argument;
    format_job(body, kTasks, kTaskMcores, kTaskMs);
    client_call_t call = {.node = kCoordinator,
                          .method = "POST",
                          .path = id,
                          .body = body,
                          .deadline_ms = kDeadlineMs,
                          .is_reset = &is_reset};
    client_send(&call);
    if (call.status == 200) {
        return NULL;
    }
    sleep_ms(kRetransmitMs);
    client_call_t again = {.node = kOtherNode,
                           .method = "POST",
                           .path = id,
                           .body = body,
                           .deadline_ms = kDeadlineMs};
    client_send(&again);
    return NULL;
}

int
main(int argc, char **argv)
{
    pthread_t threads[kShortJobs];
    uint32_t numbers[kShortJobs];
    pthread_t long_thread;
    if (argc != 2) {
        return 2;
    }
    world_open(argv[1], kNodes, kZones, kRunners);
    world_wait_ready();
    pthread_create(&long_thread, NULL, run_long_client, NULL);
    for (uint32_t i = 0; i < kShortJobs; i++) {
        numbers[i] = i;
        pthread_create(&threads[i], NULL, run_short_client, &numbers[i]);
        sleep_ms(kSpreadMs);
    }
    for (uint32_t i = 0; i < kShortJobs; i++) {
        pthread_join(threads[i], NULL);
    }
    sleep_ms(kSettleMs);
    pid_t pid = world.nodes[kCoordinator].pid;
    if (is_troubled()) {
        record("%s freezes", world.nodes[kCoordinator].name);
        kill(pid, SIGSTOP);
        sleep_ms(kResetDelayMs);
        record("the connection of the long job is reset");
        is_reset = true;
        sleep_ms(kFreezeMs - kResetDelayMs);
        kill(pid, SIGCONT);
        record("%s wakes", world.nodes[kCoordinator].name);
    }
    pthread_join(long_thread, NULL);
    sleep_ms(kSettleMs);
    record("tasks started while they ran on another runner: %llu",
           (unsigned long long)world.doubles);
    printf("twice at the same time: %llu\n",
           (unsigned long long)world.doubles);
    world_close();
    return world.doubles > 0 ? 1 : 0;
}
