/// Randomized soak of nodes as processes: faults come in series and overlap,
/// from outside the processes, while callers hand jobs in. What callers and
/// runners see is held against the promises.
///
///   soak --seed N [--seconds S] [--dcs N] [--nodes N] [--runners N]
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <apr_time.h>
#include <argp.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/rng.h"
#include "support/fleet.h"

enum {
    kLoads = 8,
    kJobLimit = 20000,
    kResubmitUs = 1300 * 1000, ///< after which callers hand a job in again
    kTryLimit = 4,
    kStepUs = 120 * 1000,
    kFaultLimit = 24, ///< at once
    kSettleUs = 8 * 1000 * 1000,
    kSlackUs = 300 * 1000
};

typedef struct {
    const char *label;
    uint64_t seed;
    uint32_t seconds;
    uint32_t dcs;
    uint32_t nodes;
    uint32_t runners;
} options_t;

/// A job of a caller.
typedef struct {
    uint64_t id;
    uint32_t task_count;
    uint32_t status; ///< of its last answer
    bool was_cut;    ///< a sound node left it without an answer
    bool was_open;   ///< an answer was lost, or said more than "not run"
} job_t;

typedef struct {
    rng_t rng;
    uint64_t first_id;
    job_t *jobs;
    uint32_t count;
    apr_thread_t *thread;
} load_t;

static fleet_t fleet;
static options_t options = {
    .seed = 1, .seconds = 10, .dcs = 2, .nodes = 2, .runners = 12};
static load_t loads[kLoads];
static _Atomic bool is_over;
/// When a node was last hurt (killed or stopped), or got well again.
static _Atomic int64_t hurt_us[kFleetMaxNodes];
static _Atomic int64_t well_us[kFleetMaxNodes];

/// @return whether a node was killed, stopped or not yet up after a time
static bool
was_hurt(uint32_t node, apr_time_t since_us)
{
    int64_t hurt = atomic_load(&hurt_us[node]);
    int64_t well = atomic_load(&well_us[node]);
    return hurt > well || well + kSlackUs >= since_us || hurt >= since_us;
}

static uint32_t
send_once(const job_t *job, uint32_t node, uint32_t task_ms, bool *was_cut)
{
    caller_request_t request;
    apr_time_t sent_us = apr_time_now();
    fleet_fill_job(&fleet, node, job->id, job->task_count, task_ms, &request);
    caller_send_all(&request, 1);
    uint32_t status = request.status;
    *was_cut =
        status == 0 && !request.is_unreachable && !was_hurt(node, sent_us);
    free((char *)request.body);
    caller_free_replies(&request, 1);
    return status;
}

/// @return whether callers hand the job in again after this
static bool
is_retried(uint32_t status)
{
    return status == 0 || status == 502 || status == 504;
}

static void
run_job(load_t *load, job_t *job)
{
    uint32_t task_ms = 20 + rng_below(&load->rng, 300);
    for (uint32_t i = 0; i < kTryLimit; i++) {
        bool was_cut = false;
        uint32_t node = rng_below(&load->rng, fleet.node_count);
        job->status = send_once(job, node, task_ms, &was_cut);
        job->was_cut |= was_cut;
        job->was_open |= job->status != 503 && job->status != 429;
        if (!is_retried(job->status)) {
            return;
        }
        apr_sleep(kResubmitUs);
    }
}

static void *APR_THREAD_FUNC
run_load(apr_thread_t *thread, void *owner)
{
    (void)thread;
    load_t *load = owner;
    while (!atomic_load(&is_over) && load->count < kJobLimit) {
        job_t *job = &load->jobs[load->count];
        *job = (job_t){.id = load->first_id + load->count,
                       .task_count = 1 + rng_below(&load->rng, 3)};
        run_job(load, job);
        load->count++;
        apr_sleep(rng_below(&load->rng, 40) * 1000);
    }
    return NULL;
}

/// A fault under way, and how it ends.
typedef struct {
    apr_time_t end_us;
    void (*end)(uint32_t where);
    uint32_t where;
} fault_t;

static fault_t faults[kFaultLimit];

static void
start_again(uint32_t node)
{
    process_join(&fleet.nodes[node].process);
    fleet_start_node(&fleet, node);
    atomic_store(&well_us[node], apr_time_now());
}

static void
wake(uint32_t node)
{
    fleet_signal(&fleet, node, SIGCONT);
    fleet.nodes[node].is_suspended = false;
    atomic_store(&well_us[node], apr_time_now());
}

static void
heal_store(uint32_t where)
{
    (void)where;
    fleet_set_platform(&fleet, "down=0&lost=0");
}

static void
heal_cut(uint32_t where)
{
    (void)where;
    fleet_set_proxy(&fleet, "cut=0");
}

static void
heal_runner(uint32_t runner)
{
    char query[64];
    snprintf(query, sizeof query, "runner=%u&mode=good", runner);
    fleet_set_platform(&fleet, query);
}

static uint32_t
kill_node(rng_t *rng)
{
    uint32_t node = rng_below(rng, fleet.node_count);
    atomic_store(&hurt_us[node], apr_time_now());
    fleet_signal(&fleet, node, SIGKILL);
    return node;
}

static uint32_t
stop_node(rng_t *rng)
{
    uint32_t node = rng_below(rng, fleet.node_count);
    atomic_store(&hurt_us[node], apr_time_now());
    fleet_signal(&fleet, node, SIGSTOP);
    fleet.nodes[node].is_suspended = true;
    return node;
}

static uint32_t
terminate_node(rng_t *rng)
{
    uint32_t node = rng_below(rng, fleet.node_count);
    fleet_signal(&fleet, node, SIGTERM);
    return node;
}

/// Waits for the planned end; only the time without a process counts as hurt.
static void
end_terminated(uint32_t node)
{
    process_join(&fleet.nodes[node].process);
    atomic_store(&hurt_us[node], apr_time_now());
    fleet_start_node(&fleet, node);
    atomic_store(&well_us[node], apr_time_now());
}

static uint32_t
hang_up(rng_t *rng)
{
    uint32_t node = rng_below(rng, fleet.node_count);
    // Before main() has run, SIGHUP ends any process (seed 52).
    if (fleet_is_ready(&fleet, node)) {
        fleet_signal(&fleet, node, SIGHUP);
    }
    return node;
}

static uint32_t
break_store(rng_t *rng)
{
    static const char *const queries[] = {
        "down=1",   "lost=40",  "compact=1", "rebalance=1",
        "config=1", "config=0", "garbage=1"};
    fleet_set_platform(&fleet, queries[rng_below(rng, 7)]);
    return 0;
}

static uint32_t
silence_connections(rng_t *rng)
{
    (void)rng;
    fleet_set_proxy(&fleet, "forget=1");
    return 0;
}

static uint32_t
cut_store(rng_t *rng)
{
    char query[32];
    uint32_t node = rng_below(rng, fleet.node_count);
    snprintf(query, sizeof query, "cut=%u", node + 1);
    fleet_set_proxy(&fleet, query);
    return node;
}

static uint32_t
break_runner(rng_t *rng)
{
    static const char *const modes[] = {"dark", "stuck",    "failing",
                                        "mute", "draining", "again"};
    char query[64];
    uint32_t runner = rng_below(rng, options.runners);
    snprintf(query, sizeof query, "runner=%u&mode=%s", runner,
             modes[rng_below(rng, 6)]);
    fleet_set_platform(&fleet, query);
    return runner;
}

/// Does nothing at the end of a fault.
static void
leave_be(uint32_t where)
{
    (void)where;
}

typedef struct {
    const char *name;
    uint32_t weight;
    bool is_of_node; ///< one at a time on a node
    uint32_t (*begin)(rng_t *rng);
    void (*end)(uint32_t where);
} fault_kind_t;

static const fault_kind_t fault_kinds[] = {
    {"kill", 3, true, kill_node, start_again},
    {"stop", 3, true, stop_node, wake},
    {"terminate", 3, true, terminate_node, end_terminated},
    {"hang up", 1, true, hang_up, leave_be},
    {"store", 4, false, break_store, heal_store},
    {"silence", 2, false, silence_connections, leave_be},
    {"cut", 2, false, cut_store, heal_cut},
    {"runner", 8, false, break_runner, heal_runner},
};

enum { kKindCount = sizeof fault_kinds / sizeof fault_kinds[0] };

static const fault_kind_t *
draw_kind(rng_t *rng)
{
    uint32_t total = 0;
    for (uint32_t i = 0; i < kKindCount; i++) {
        total += fault_kinds[i].weight;
    }
    uint32_t luck = rng_below(rng, total);
    uint32_t at = 0;
    while (luck >= fault_kinds[at].weight) {
        luck -= fault_kinds[at++].weight;
    }
    return &fault_kinds[at];
}

/// @return whether a fault of a node is under way
static bool
has_node_fault(void)
{
    for (uint32_t i = 0; i < kFaultLimit; i++) {
        if (faults[i].end == start_again || faults[i].end == wake ||
            faults[i].end == end_terminated) {
            return true;
        }
    }
    return false;
}

static void
end_faults(apr_time_t now_us)
{
    for (uint32_t i = 0; i < kFaultLimit; i++) {
        if (faults[i].end != NULL && faults[i].end_us <= now_us) {
            void (*end)(uint32_t) = faults[i].end;
            faults[i].end = NULL;
            end(faults[i].where);
        }
    }
}

static void
begin_fault(rng_t *rng)
{
    const fault_kind_t *kind = draw_kind(rng);
    uint32_t lasts_us = 200000 + rng_below(rng, 3000000);
    if (kind->is_of_node && has_node_fault()) {
        return;
    }
    for (uint32_t i = 0; i < kFaultLimit; i++) {
        if (faults[i].end == NULL) {
            uint32_t where = kind->begin(rng);
            faults[i] = (fault_t){.end_us = apr_time_now() + lasts_us,
                                  .end = kind->end,
                                  .where = where};
            printf("%s %u for %u ms\n", kind->name, where, lasts_us / 1000);
            return;
        }
    }
}

static void
heal_all(void)
{
    end_faults(INT64_MAX);
    heal_store(0);
    heal_cut(0);
    for (uint32_t i = 0; i < options.runners; i++) {
        heal_runner(i);
    }
}

/// Holds what callers were told against what the runners did.
static uint32_t
check_job(const job_t *job)
{
    uint64_t starts = fleet_read_job_counter(&fleet, job->id, "starts");
    uint64_t done = fleet_read_job_counter(&fleet, job->id, "done");
    bool is_false_refusal = !job->was_open && starts > 0;
    bool is_partial = job->status == 200 && done < job->task_count &&
                      starts < job->task_count;
    if (job->was_cut || is_false_refusal || is_partial) {
        printf("job %016llx: status=%u tasks=%u starts=%llu done=%llu "
               "cut=%d\n",
               (unsigned long long)job->id, job->status, job->task_count,
               (unsigned long long)starts, (unsigned long long)done,
               job->was_cut);
        return 1;
    }
    return 0;
}

static uint32_t
check_all(void)
{
    uint32_t problems = 0;
    uint32_t served = 0;
    uint32_t count = 0;
    for (uint32_t i = 0; i < kLoads; i++) {
        for (uint32_t j = 0; j < loads[i].count; j++) {
            problems += check_job(&loads[i].jobs[j]);
            served += loads[i].jobs[j].status == 200;
            count++;
        }
    }
    uint64_t doubles = fleet_read_counter(&fleet, "doubles");
    uint64_t drained = fleet_read_counter(&fleet, "drained");
    uint64_t running = fleet_read_counter(&fleet, "running");
    printf("seed %llu: jobs=%u served=%u starts=%llu doubles=%llu "
           "drained=%llu running=%llu problems=%u\n",
           (unsigned long long)options.seed, count, served,
           (unsigned long long)fleet_read_counter(&fleet, "starts"),
           (unsigned long long)doubles, (unsigned long long)drained,
           (unsigned long long)running, problems);
    return problems + (uint32_t)doubles + (uint32_t)drained +
           (uint32_t)running + (served * 4 < count ? 1 : 0);
}

static void
play(rng_t *rng)
{
    apr_time_t end_us =
        apr_time_now() + (apr_time_t)options.seconds * 1000 * 1000;
    while (apr_time_now() < end_us) {
        begin_fault(rng);
        apr_sleep(rng_below(rng, 2 * kStepUs));
        end_faults(apr_time_now());
    }
    heal_all();
    for (uint32_t i = 0; i < fleet.node_count; i++) {
        fleet_wait_ready(&fleet, i);
    }
}

static void
start_loads(void)
{
    for (uint32_t i = 0; i < kLoads; i++) {
        loads[i] = (load_t){.rng = {.state = options.seed * 1000 + i},
                            .first_id = ((uint64_t)i + 1) << 32,
                            .jobs = calloc(kJobLimit, sizeof(job_t))};
        apr_thread_create(&loads[i].thread, NULL, run_load, &loads[i],
                          fleet.pool);
    }
}

static const struct argp_option option_table[] = {
    {"seed", 's', "N", 0, "seed of the faults and jobs", 0},
    {"seconds", 't', "N", 0, "how long faults come", 0},
    {"dcs", 'd', "N", 0, "data centres", 0},
    {"nodes", 'n', "N", 0, "nodes of each data centre", 0},
    {"runners", 'r', "N", 0, "runners over all", 0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    (void)state;
    uint64_t number = arg == NULL ? 0 : strtoull(arg, NULL, 10);
    switch (key) {
    case 's':
        options.seed = number;
        return 0;
    case 't':
        options.seconds = (uint32_t)number;
        return 0;
    case 'd':
        options.dcs = (uint32_t)number;
        return 0;
    case 'n':
        options.nodes = (uint32_t)number;
        return 0;
    case 'r':
        options.runners = (uint32_t)number;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = option_table,
                              .parser = parse_option,
                              .doc = "Randomized soak of nodes."};
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    apr_initialize();
    setvbuf(stdout, NULL, _IOLBF, 0);
    rng_t rng = {.state = options.seed};
    fleet_start(&fleet, options.dcs, options.nodes, options.runners);
    start_loads();
    play(&rng);
    apr_sleep(kSettleUs / 4);
    atomic_store(&is_over, true);
    for (uint32_t i = 0; i < kLoads; i++) {
        apr_status_t status = APR_SUCCESS;
        apr_thread_join(&status, loads[i].thread);
    }
    apr_sleep(kSettleUs / 4);
    uint32_t problems = check_all();
    fleet_stop(&fleet);
    return problems == 0 ? 0 : 1;
}
