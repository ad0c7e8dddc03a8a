/// The settings of a node change several times in quick succession, with a
/// SIGHUP each, while it runs a job.
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
    kNodes = 4,
    kZones = 2,
    kRunners = 9,
    kRounds = 100,
    kRoundsWithoutTrouble = 20,
    kChanges = 10, ///< in a round
    kTaskMs = 800,
    kTaskMcores = 1000,
    kDeadlineMs = 6000,
    kChangeDelayMs = 300, ///< from the request to the first change
    /// A node that owns runners joins its group each 350 ms and reads the
    /// store at least as often.
    kSilenceMs = 3000
};

static void *
run_client(void *argument)
{
    client_send(argument);
    return NULL;
}

static void
change_settings(const world_node_t *node)
{
    for (uint32_t i = 0; i < kChanges; i++) {
        world_write_settings(0);
        kill(node->pid, SIGHUP);
    }
    record("%d changes of the settings of %s, each with a SIGHUP", kChanges,
           node->name);
}

/// @return the processor time of a node so far, in hundredths of a second
static unsigned long
read_ticks(const world_node_t *node)
{
    char path[64];
    unsigned long user = 0;
    unsigned long kernel = 0;
    snprintf(path, sizeof path, "/proc/%d/stat", (int)node->pid);
    FILE *file = fopen(path, "r");
    if (file == NULL) {
        return 0;
    }
    if (fscanf(file,
               "%*d (%*[^)]) %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu "
               "%lu",
               &user, &kernel) != 2) {
        user = 0;
    }
    fclose(file);
    return user + kernel;
}

/// Observes a node that gets no requests and no signals.
///
/// @return whether it calls the store no more
static bool
is_hung(const world_node_t *node)
{
    unsigned long ticks = read_ticks(node);
    int64_t began_ms = now_ms();
    uint64_t calls = node->store_calls;
    sleep_ms(kSilenceMs);
    uint64_t new_calls = node->store_calls - calls;
    record("%s: calls to the store in %lld ms: %llu; processor time in this "
           "time: %lu ms; last call to the store %lld ms ago",
           node->name, (long long)(now_ms() - began_ms),
           (unsigned long long)new_calls, (read_ticks(node) - ticks) * 10,
           (long long)(now_ms() - node->last_store_call_ms));
    return new_calls == 0 && kill(node->pid, 0) == 0;
}

int
main(int argc, char **argv)
{
    char body[kTextBytes];
    bool is_broken = false;
    if (argc != 2) {
        return 2;
    }
    world_open(argv[1], kNodes, kZones, kRunners);
    world_wait_ready();
    format_job(body, 4, kTaskMcores, kTaskMs);
    const world_node_t *node = &world.nodes[0];
    uint32_t rounds = is_troubled() ? kRounds : kRoundsWithoutTrouble;
    uint32_t round = 0;
    for (; round < rounds && !is_broken; round++) {
        char id[24];
        pthread_t thread;
        client_call_t call = {.node = 0,
                              .method = "POST",
                              .path = id,
                              .body = body,
                              .deadline_ms = kDeadlineMs};
        snprintf(id, sizeof id, "c7%014x", round);
        pthread_create(&thread, NULL, run_client, &call);
        sleep_ms(kChangeDelayMs);
        if (is_troubled()) {
            change_settings(node);
        }
        pthread_join(thread, NULL);
        is_broken = call.status == 0 && is_hung(node);
    }
    printf("rounds %u, hung: %s\n", round, is_broken ? "yes" : "no");
    record("rounds %u, hung: %s", round, is_broken ? "yes" : "no");
    world_close();
    return is_broken ? 1 : 0;
}
