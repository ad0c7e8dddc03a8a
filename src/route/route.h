/// Choice of a target for a task: policies in a table.
#ifndef JT_ROUTE_ROUTE_H
#define JT_ROUTE_ROUTE_H

#include "base/rng.h"
#include "generated/settings.h"
#include "route/target.h"

/// What a choice goes by.
typedef struct {
    const needs_t *needs;
    int64_t expected_ns; ///< run time that is expected; 0 where unknown
    int64_t slack_ns;    ///< time until the job can end at the earliest; 0
                         ///< for a task that others wait for
    bool may_borrow;     ///< whether slots beyond the own shares count
    int64_t now_ns;
} route_query_t;

/// A policy. It looks for an open target that fits; it reserves nothing.
typedef struct {
    const char *name;
    target_t *(*choose)(const target_table_t *table,
                        const route_query_t *query, rng_t *rng);
} route_ops_t;

extern const route_ops_t route_table[kRoutingCount];

/// Chooses a target and takes a slot of it: of the own shares where one is
/// free, else a borrowed one.
///
/// @return the target, to be given back with target_release; NULL where no
///         open target fits
target_t *route_reserve(routing_t routing, const target_table_t *table,
                        const route_query_t *query, rng_t *rng);

#endif
