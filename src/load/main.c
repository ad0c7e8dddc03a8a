/// jt-load: submits jobs to fronts and compares their response times with the
/// ideal ones; or simulates a dispatcher on a virtual clock.
#include <apr_general.h>
#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load/open_loop.h"
#include "load/simulation.h"

/// Parsed command line.
typedef struct {
    load_t load;
    simulation_t simulation;
    bool is_simulation;
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
    {"front", 'f', "URL", 0, "base URL of a front; may be repeated", 0},
    {"tasks", kKeyTasks, "MIN:MAX", 0, "number of tasks of a job", 0},
    {"ms", kKeyMs, "MIN:MAX", 0, "run time of a task, in ms", 0},
    {"long", kKeyLong, "PER-MILLE", 0, "tasks that run for 2 to 4 s", 0},
    {"wrong", kKeyWrong, "FACTOR", 0, "largest error of declared run times",
     0},
    {"impossible", kKeyImpossible, "PER-MILLE", 0,
     "jobs that no target can run", 0},
    {"cancel", kKeyCancel, "PER-MILLE", 0, "jobs cancelled while they run", 0},
    {"deadline", kKeyDeadline, "MS", 0, "deadline of a job", 0},
    {"teams", kKeyTeams, "N", 0, "number of teams", 0},
    {"greedy", kKeyGreedy, "PERCENT", 0,
     "jobs of team t0 on top of its even share", 0},
    {"threads", kKeyThreads, "N", 0, "threads that submit jobs", 0},
    {"work", kKeyWork, "MILLI", 0,
     "offered work, in 1/1000 of a slot of the fastest target", 0},
    {"rate", kKeyRate, "MILLI", 0, "jobs in 1000 s, if there is no --work", 0},
    {"capacity", kKeyCapacity, "MILLI", 0,
     "capacity of all targets, in 1/1000 of a slot of the fastest", 0},
    {"duration", kKeyDuration, "MS", 0, "length of the run", 0},
    {"burst", kKeyBurst, "FACTOR", 0,
     "factor on the rate for a tenth of the run, from its middle on", 0},
    {"seed", kKeySeed, "N", 0, "seed of the random numbers", 0},
    {"virtual", kKeyVirtual, NULL, 0,
     "simulate a dispatcher on a virtual clock", 0},
    {"targets", kKeyTargets, "N", 0, "number of simulated targets", 0},
    {"slots", kKeySlots, "N", 0, "slots of each simulated target", 0},
    {"spread", kKeySpread, "N", 0,
     "run time on the slowest simulated target over the fastest", 0},
    {"routing", kKeyRouting, "NAME", 0, "routing policy of the simulation", 0},
    {"ordering", kKeyOrdering, "NAME", 0,
     "order of waiting jobs in the simulation", 0},
    {"stragglers", kKeyStragglers, "PER-MILLE", 0,
     "simulated tasks that take 10 times as long", 0},
    {0}};

/// Parses "MIN:MAX", or one number for both.
static void
parse_range(const char *text, uint32_t *min, uint32_t *max)
{
    char *end = NULL;
    *min = (uint32_t)strtoul(text, &end, 10);
    *max = *end == ':' ? (uint32_t)strtoul(end + 1, NULL, 10) : *min;
}

/// @return the value of an enumeration with a given name
static uint32_t
parse_enum(const enum_desc_t *desc, const char *name,
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

/// Parses an option that describes jobs.
///
/// @return whether the key is one of them
static bool
parse_workload(int key, const char *arg, workload_t *workload)
{
    if (arg == NULL) {
        return false;
    }
    uint32_t number = (uint32_t)strtoul(arg, NULL, 10);
    switch (key) {
    case kKeyTasks:
        parse_range(arg, &workload->min_tasks, &workload->max_tasks);
        return true;
    case kKeyMs:
        parse_range(arg, &workload->min_ms, &workload->max_ms);
        return true;
    case kKeyLong:
        workload->long_per_mille = number;
        return true;
    case kKeyWrong:
        workload->declared_error_factor = number;
        return true;
    case kKeyImpossible:
        workload->unplaceable_per_mille = number;
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

/// Parses an option that describes the load.
///
/// @return whether the key is one of them
static bool
parse_load(int key, char *arg, load_t *load)
{
    uint64_t number = arg == NULL ? 0 : strtoull(arg, NULL, 10);
    switch (key) {
    case 'f':
        if (load->front_count < kLoadMaxFronts) {
            load->fronts[load->front_count++] = arg;
        }
        return true;
    case kKeyTeams:
        load->team_count = (uint32_t)number;
        return true;
    case kKeyGreedy:
        load->first_team_percent = (uint32_t)number;
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

/// Parses an option of the simulation.
///
/// @return whether the key is one of them
static bool
parse_simulation(int key, const char *arg, options_t *options,
                 const struct argp_state *state)
{
    if (key == kKeyVirtual) {
        options->is_simulation = true;
        return true;
    }
    if (arg == NULL) {
        return false;
    }
    uint32_t number = (uint32_t)strtoul(arg, NULL, 10);
    switch (key) {
    case kKeyTargets:
        options->simulation.target_count = number;
        return true;
    case kKeySlots:
        options->simulation.slots = number;
        return true;
    case kKeySpread:
        options->simulation.spread = number;
        return true;
    case kKeyStragglers:
        options->simulation.straggler_per_mille = number;
        return true;
    case kKeyRouting:
        options->simulation.routing = parse_enum(&routing_desc, arg, state);
        return true;
    case kKeyOrdering:
        options->simulation.ordering = parse_enum(&ordering_desc, arg, state);
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
                    parse_simulation(key, arg, options, state);
    return is_known ? 0 : ARGP_ERR_UNKNOWN;
}

/// Prints a CSV header and one line of values.
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
           (unsigned long)result->first_team_jobs,
           (unsigned long)result->first_team_refused,
           (unsigned long)result->cancelled, (unsigned long)result->unanswered,
           (unsigned long)histogram_quantile(&result->slowdown, 500),
           (unsigned long)histogram_quantile(&result->slowdown, 990),
           (unsigned long)histogram_quantile(&result->slowdown, 999),
           (unsigned long)histogram_quantile(&result->response, 500),
           (unsigned long)histogram_quantile(&result->response, 990),
           (unsigned long)histogram_quantile(&result->send_delay, 990));
}

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = option_table,
                              .parser = parse_option,
                              .doc = "Submits jobs to fronts and reports "
                                     "response times over the ideal ones."};
    options_t options = {.load = {.workload = {.min_tasks = 1,
                                               .max_tasks = 20,
                                               .min_ms = 50,
                                               .max_ms = 400,
                                               .deadline_ms = 60000},
                                  .team_count = 1,
                                  .threads = 2,
                                  .rate_milli = 10000,
                                  .capacity_milli = 1000000,
                                  .duration_ms = 5000,
                                  .burst_factor = 1,
                                  .seed = 1},
                         .simulation = {.target_count = 50,
                                        .slots = 8,
                                        .spread = 4,
                                        .routing = kRoutingSlack,
                                        .ordering = kOrderingRoundRobin}};
    static load_result_t result;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    apr_initialize();
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (options.is_simulation) {
        simulation_run(&options.simulation, &options.load, &result);
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
