/// jt-load: loads fronts with jobs and reports response against the ideal;
/// or drives the decisions alone on a virtual clock.
#include <apr_general.h>
#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load/open_loop.h"
#include "load/simulation.h"

/// What the command line says.
typedef struct {
    load_t load;
    virtual_t virtual;
    bool is_virtual;
} options_t;

enum {
    kKeyTasks = 0x300,
    kKeyMs,
    kKeyLong,
    kKeyWrong,
    kKeyImpossible,
    kKeyCancel,
    kKeyDeadline,
    kKeyTeams,
    kKeyGreedy,
    kKeyThreads,
    kKeyWork,
    kKeyRate,
    kKeyCapacity,
    kKeyDuration,
    kKeyBurst,
    kKeySeed,
    kKeyVirtual,
    kKeyTargets,
    kKeySlots,
    kKeySpread,
    kKeyRouting,
    kKeyOrdering,
    kKeyStragglers
};

static const struct argp_option option_table[] = {
    {"front", 'f', "URL", 0, "front to load; may be repeated", 0},
    {"tasks", kKeyTasks, "LEAST:MOST", 0, "tasks of a job", 0},
    {"ms", kKeyMs, "LEAST:MOST", 0, "time of a task", 0},
    {"long", kKeyLong, "PER-MILLE", 0, "tasks of 2 to 4 s", 0},
    {"wrong", kKeyWrong, "FACTOR", 0, "declared times are off by this", 0},
    {"impossible", kKeyImpossible, "PER-MILLE", 0, "jobs that fit no target",
     0},
    {"cancel", kKeyCancel, "PER-MILLE", 0, "jobs cancelled in flight", 0},
    {"deadline", kKeyDeadline, "MS", 0, "deadline of a job", 0},
    {"teams", kKeyTeams, "N", 0, "number of teams", 0},
    {"greedy", kKeyGreedy, "PERCENT", 0, "jobs that team t0 submits", 0},
    {"threads", kKeyThreads, "N", 0, "threads of the tool", 0},
    {"work", kKeyWork, "MILLI", 0, "work offered, in 1/1000 fast slot", 0},
    {"rate", kKeyRate, "MILLI", 0, "jobs in 1000 s", 0},
    {"capacity", kKeyCapacity, "MILLI", 0, "capacity, in 1/1000 fast slot", 0},
    {"duration", kKeyDuration, "MS", 0, "length of the run", 0},
    {"burst", kKeyBurst, "FACTOR", 0, "load in the middle tenth", 0},
    {"seed", kKeySeed, "N", 0, "seed of the generator", 0},
    {"virtual", kKeyVirtual, NULL, 0, "decisions alone, on a virtual clock",
     0},
    {"targets", kKeyTargets, "N", 0, "targets of a virtual run", 0},
    {"slots", kKeySlots, "N", 0, "slots of a target of a virtual run", 0},
    {"spread", kKeySpread, "N", 0, "fastest over slowest target", 0},
    {"routing", kKeyRouting, "NAME", 0, "policy of a virtual run", 0},
    {"ordering", kKeyOrdering, "NAME", 0, "policy of a virtual run", 0},
    {"stragglers", kKeyStragglers, "PER-MILLE", 0,
     "tasks that take 10 times as long, in a virtual run", 0},
    {0}};

/// Reads "LEAST:MOST".
static void
read_range(const char *text, uint32_t *least, uint32_t *most)
{
    char *end = NULL;
    *least = (uint32_t)strtoul(text, &end, 10);
    *most = *end == ':' ? (uint32_t)strtoul(end + 1, NULL, 10) : *least;
}

/// @return the place of a name in an enumeration
static uint32_t
read_name(const enum_desc_t *desc, const char *name,
          const struct argp_state *state)
{
    for (uint32_t i = 0; i < desc->count; i++) {
        if (strcmp(desc->values[i], name) == 0) {
            return i;
        }
    }
    argp_error(state, "unknown %s: %s", desc->name, name);
    return 0;
}

/// Options that describe jobs.
static bool
parse_workload(int key, const char *arg, workload_t *workload)
{
    if (arg == NULL) {
        return false;
    }
    uint32_t number = (uint32_t)strtoul(arg, NULL, 10);
    switch (key) {
    case kKeyTasks:
        read_range(arg, &workload->least_tasks, &workload->most_tasks);
        return true;
    case kKeyMs:
        read_range(arg, &workload->least_ms, &workload->most_ms);
        return true;
    case kKeyLong:
        workload->long_per_mille = number;
        return true;
    case kKeyWrong:
        workload->wrong_factor = number;
        return true;
    case kKeyImpossible:
        workload->impossible_per_mille = number;
        return true;
    case kKeyCancel:
        workload->cancel_per_mille = number;
        return true;
    case kKeyDeadline:
        workload->deadline_ms = number;
        return true;
    default:
        return false;
    }
}

/// Options of the load on fronts.
static bool
parse_load(int key, char *arg, load_t *load)
{
    uint64_t number = arg == NULL ? 0 : strtoull(arg, NULL, 10);
    switch (key) {
    case 'f':
        if (load->front_count < kLoadFronts) {
            load->fronts[load->front_count++] = arg;
        }
        return true;
    case kKeyTeams:
        load->team_count = (uint32_t)number;
        return true;
    case kKeyGreedy:
        load->greedy_percent = (uint32_t)number;
        return true;
    case kKeyThreads:
        load->threads = (uint32_t)number;
        return true;
    case kKeyWork:
        load->work_milli = number;
        return true;
    case kKeyRate:
        load->rate_milli = number;
        return true;
    case kKeyCapacity:
        load->capacity_milli = number;
        return true;
    case kKeyDuration:
        load->duration_ms = (uint32_t)number;
        return true;
    case kKeyBurst:
        load->burst_factor = (uint32_t)number;
        return true;
    case kKeySeed:
        load->seed = number;
        return true;
    default:
        return false;
    }
}

/// Options of a virtual run.
static bool
parse_virtual(int key, const char *arg, options_t *options,
              const struct argp_state *state)
{
    if (key == kKeyVirtual) {
        options->is_virtual = true;
        return true;
    }
    if (arg == NULL) {
        return false;
    }
    uint32_t number = (uint32_t)strtoul(arg, NULL, 10);
    switch (key) {
    case kKeyTargets:
        options->virtual.target_count = number;
        return true;
    case kKeySlots:
        options->virtual.slots = number;
        return true;
    case kKeySpread:
        options->virtual.spread = number;
        return true;
    case kKeyStragglers:
        options->virtual.straggler_per_mille = number;
        return true;
    case kKeyRouting:
        options->virtual.routing = read_name(&routing_desc, arg, state);
        return true;
    case kKeyOrdering:
        options->virtual.ordering = read_name(&ordering_desc, arg, state);
        return true;
    default:
        return false;
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    options_t *options = state->input;
    bool is_known = parse_workload(key, arg, &options->load.workload) ||
                    parse_load(key, arg, &options->load) ||
                    parse_virtual(key, arg, options, state);
    return is_known ? 0 : ARGP_ERR_UNKNOWN;
}

/// Prints one line of CSV, after its header.
static void
print_result(const load_result_t *result)
{
    printf("jobs,tasks,complete,complete_tasks,failed,refused,jobs_first,"
           "refused_first,"
           "cancelled,broken,slow_p50,slow_p99,slow_p999,resp_p50_us,"
           "resp_p99_us,late_p99_us\n");
    printf("%lu,%lu,%lu,%lu,%lu,%lu,%lu,%lu,%lu,%lu,%lu,%lu,%lu,%lu,%lu,"
           "%lu\n",
           (unsigned long)result->jobs, (unsigned long)result->tasks,
           (unsigned long)result->complete,
           (unsigned long)result->complete_tasks,
           (unsigned long)result->failed, (unsigned long)result->refused,
           (unsigned long)result->jobs_first,
           (unsigned long)result->refused_first,
           (unsigned long)result->cancelled, (unsigned long)result->broken,
           (unsigned long)histogram_quantile(&result->slowdown, 500),
           (unsigned long)histogram_quantile(&result->slowdown, 990),
           (unsigned long)histogram_quantile(&result->slowdown, 999),
           (unsigned long)histogram_quantile(&result->response, 500),
           (unsigned long)histogram_quantile(&result->response, 990),
           (unsigned long)histogram_quantile(&result->late_send, 990));
}

int
main(int argc, char **argv)
{
    const struct argp argp = {
        .options = option_table,
        .parser = parse_option,
        .doc = "Loads fronts with jobs and reports response over the ideal."};
    options_t options = {.load = {.workload = {.least_tasks = 1,
                                               .most_tasks = 20,
                                               .least_ms = 50,
                                               .most_ms = 400,
                                               .deadline_ms = 60000},
                                  .team_count = 1,
                                  .threads = 2,
                                  .rate_milli = 10000,
                                  .capacity_milli = 1000000,
                                  .duration_ms = 5000,
                                  .burst_factor = 1,
                                  .seed = 1},
                         .virtual = {.target_count = 50,
                                     .slots = 8,
                                     .spread = 4,
                                     .routing = kRoutingSlack,
                                     .ordering = kOrderingRoundRobin}};
    static load_result_t result;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    apr_initialize();
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (options.is_virtual) {
        virtual_run(&options.virtual, &options.load, &result);
    }
    else if (options.load.front_count == 0) {
        fprintf(stderr, "jt-load: --front is missing\n");
        return 2;
    }
    else {
        open_loop_run(&options.load, &result);
    }
    print_result(&result);
    return 0;
}
