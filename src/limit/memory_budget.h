/// A budget of bytes that the threads of a process share. Memory is charged
/// before it is taken. What is small may use the whole budget and what grows
/// only a part of it, so that large requests leave room for ordinary ones.
#ifndef JT_LIMIT_MEMORY_BUDGET_H
#define JT_LIMIT_MEMORY_BUDGET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t limit_bytes;
    _Atomic uint64_t used_bytes;
    _Atomic uint64_t expected_bytes; ///< to be given back by holders that were
                                     ///< told to go
} memory_budget_t;

/// What memory is charged for.
typedef enum { kBudgetUseSmall, kBudgetUseGrowth } budget_use_t;

void memory_budget_init(memory_budget_t *budget, uint64_t limit_bytes);

/// Charges bytes. Safe from any thread.
///
/// @return whether the budget had room for them
bool memory_budget_charge(memory_budget_t *budget, uint64_t bytes,
                          budget_use_t use);

/// Gives bytes back that were charged. Safe from any thread.
void memory_budget_release(memory_budget_t *budget, uint64_t bytes);

/// @return how many bytes holders should be made to give back, beyond those
///         that are expected already; 0 while the budget is not short
uint64_t memory_budget_excess_bytes(const memory_budget_t *budget);

#endif
