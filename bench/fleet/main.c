/// Benchmark of a whole fleet on a virtual clock: coordinators with aged news
/// choose among the pools of several data centres, whose targets differ in
/// size and speed, while demand swings and surges. Drives the product's own
/// decisions (pool/) and prints, for each kind of job, who is served.
#include <apr_general.h>
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet.h"
#include "results.h"

enum {
    kWarmUpMs = 1000, ///< until the pools know their targets
    kDrainMs = 6000,  ///< after the last job
    kOwnerLimit = 32, ///< of a data centre
    kTargetLimit = 1000
};

typedef struct {
    const workload_t *workload;
    const policy_t *policy;
    const fault_t *fault;
    uint64_t seed;
    uint32_t load_percent;
    uint32_t owners;  ///< of each data centre
    uint32_t targets; ///< of each data centre; 0: the workload's
    uint32_t least_percent;
    bool is_csv;
} options_t;

enum { kOptionCsv = 256, kOptionLeast };

static const struct argp_option option_table[] = {
    {"seed", 's', "N", 0, "random seed", 0},
    {"load", 'l', "PERCENT", 0, "offered work, of what all cores can do", 0},
    {"workload", 'w', "NAME", 0, "swing or uneven", 0},
    {"owners", 'o', "N", 0, "owners in each data centre", 0},
    {"targets", 't', "N", 0, "targets in each data centre", 0},
    {"policy", 'p', "NAME", 0,
     "product, two (random of two) or central (one pool, true run times)", 0},
    {"fault", 'f', "NAME", 0,
     "owner (one dies), news (of room stop), cut (a data centre) or none, "
     "for comparison",
     0},
    {"csv", kOptionCsv, NULL, 0, "one line for each kind, with the bound", 0},
    {"least", kOptionLeast, "PERCENT", 0,
     "fail if less of any kind is in time", 0},
    {0}};

static uint32_t
parse_number(const char *arg, uint32_t least, uint32_t most,
             struct argp_state *state)
{
    char *end = NULL;
    unsigned long number = strtoul(arg, &end, 10);
    if (*arg == '\0' || *end != '\0' || number < least || number > most) {
        argp_error(state, "%s is not from %u to %u", arg, least, most);
    }
    return (uint32_t)number;
}

static const void *
check_found(const void *found, const char *arg, struct argp_state *state)
{
    if (found == NULL) {
        argp_error(state, "unknown name: %s", arg);
    }
    return found;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    options_t *options = state->input;
    switch (key) {
    case 's':
        options->seed = parse_number(arg, 0, UINT32_MAX, state);
        return 0;
    case 'l':
        options->load_percent = parse_number(arg, 1, 1000, state);
        return 0;
    case 'w':
        options->workload = check_found(workload_find(arg), arg, state);
        return 0;
    case 'o':
        options->owners = parse_number(arg, 1, kOwnerLimit, state);
        return 0;
    case 't':
        options->targets = parse_number(arg, 1, kTargetLimit, state);
        return 0;
    case 'p':
        options->policy = check_found(policy_find(arg), arg, state);
        return 0;
    case 'f':
        options->fault = check_found(fault_find(arg), arg, state);
        return 0;
    case kOptionCsv:
        options->is_csv = true;
        return 0;
    case kOptionLeast:
        options->least_percent = parse_number(arg, 0, 100, state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
run_fleet(fleet_t *fleet, const options_t *options)
{
    fleet_create(fleet, options->seed, options->owners,
                 options->targets > 0 ? options->targets
                                      : options->workload->targets);
    fleet_run_until(fleet, fleet->clock.now_ns + MS(kWarmUpMs));
    fleet->start_ns = fleet->clock.now_ns;
    target_begin_samples(fleet);
    workload_begin(fleet);
    fault_begin(fleet);
    fleet_run_until(fleet,
                    fleet->start_ns + MS(1000) * kRunSeconds + MS(kDrainMs));
}

static void
print_results(const fleet_t *fleet, const options_t *options)
{
    if (options->is_csv) {
        results_print_csv(fleet);
        return;
    }
    results_print(fleet);
    if (options->fault != NULL) {
        results_print_fault(fleet);
    }
}

int
main(int argc, char **argv)
{
    const struct argp argp = {
        .options = option_table,
        .parser = parse_option,
        .doc = "Benchmark of a whole fleet on a virtual clock."};
    options_t options = {.workload = workload_find("swing"),
                         .policy = policy_find("product"),
                         .seed = 1,
                         .load_percent = 80,
                         .owners = 6};
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    if (options.fault != NULL &&
        (options.policy->is_central || options.owners < 2)) {
        fprintf(stderr, "fleet-bench: faults need several owners\n");
        return EXIT_FAILURE;
    }
    apr_initialize();
    fleet_t fleet = {.workload = options.workload,
                     .policy = options.policy,
                     .fault = options.fault,
                     .load = options.load_percent / 100.0};
    run_fleet(&fleet, &options);
    print_results(&fleet, &options);
    double least = results_least_in_time(&fleet);
    fleet_destroy(&fleet);
    return least * 100 < options.least_percent ? EXIT_FAILURE : EXIT_SUCCESS;
}
