/// Routing: the choice of a target for a task, by one of several policies.
#ifndef JT_ROUTE_ROUTE_H
#define JT_ROUTE_ROUTE_H

#include "base/rng.h"
#include "generated/settings.h"
#include "route/target.h"

/// The task to route and the conditions of the choice.
typedef struct {
    const needs_t *needs;
    int64_t expected_ns; ///< expected run time; 0 if unknown
    /// Time until the estimated earliest end of the job. 0 or less if that has
    /// passed or the estimates are not trusted; the task then gets the fastest
    /// target.
    int64_t slack_ns;
    bool may_borrow; ///< whether borrowed slots may be used
    int64_t now_ns;
} route_query_t;

/// A routing policy. `choose` returns an available target that fits, or NULL,
/// and reserves nothing.
typedef struct {
    const char *name;
    target_t *(*choose)(const target_table_t *table,
                        const route_query_t *query, rng_t *rng);
} route_ops_t;

extern const route_ops_t route_table[kRoutingCount];

/// Chooses a target and reserves a slot on it: one of this process's share if
/// possible, else a borrowed one.
///
/// @return the target, to be released with target_release; NULL if no
///         available target fits
target_t *route_reserve(routing_t routing, const target_table_t *table,
                        const route_query_t *query, rng_t *rng);

#endif
