#include "net/occupancy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/counters.h"
#include "limit/eviction.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum { kLogIntervalMs = 1000 };

/// Why a connection is closed.
typedef enum { kShortMemory, kShortConnections } shortage_t;

static const char *const shortage_names[] = {
    [kShortMemory] = "memory", [kShortConnections] = "connections"};

static const counter_t shortage_counters[] = {
    [kShortMemory] = kCounterEvictedForMemory,
    [kShortConnections] = kCounterEvictedForConnections};

void
occupancy_init(occupancy_t *occupancy, const char *name,
               memory_budget_t *budget, uint32_t open_limit,
               uint32_t small_bytes)
{
    *occupancy = (occupancy_t){.name = name,
                               .budget = budget,
                               .open_limit = open_limit,
                               .small_bytes = small_bytes};
    pthread_mutex_init(&occupancy->mutex, NULL);
}

/// Logs a connection that is closed, at most one in a while.
static void
log_eviction(occupancy_t *occupancy, const occupant_t *occupant,
             const eviction_candidate_t *candidate, shortage_t shortage,
             int64_t now_ns)
{
    struct sockaddr_in peer = {0};
    socklen_t peer_bytes = sizeof peer;
    char address[INET_ADDRSTRLEN] = "unknown";
    occupancy->unlogged_count++;
    if (now_ns < occupancy->log_due_ns) {
        return;
    }
    if (getpeername(occupant->fd, (struct sockaddr *)&peer, &peer_bytes) ==
        0) {
        inet_ntop(AF_INET, &peer.sin_addr, address, sizeof address);
    }
    log_event("connection_evicted",
              "of=%s address=%s:%u reason=%s held_bytes=%llu "
              "received_bytes=%llu age_ms=%lld open=%u evicted=%u",
              occupancy->name, address, ntohs(peer.sin_port),
              shortage_names[shortage],
              (unsigned long long)candidate->held_bytes,
              (unsigned long long)candidate->received_bytes,
              (long long)((now_ns - candidate->since_ns) / kNsPerMs),
              occupancy->open_count, occupancy->unlogged_count);
    occupancy->unlogged_count = 0;
    occupancy->log_due_ns = clock_deadline_ns(kLogIntervalMs);
}

static eviction_candidate_t
describe(const occupant_t *occupant)
{
    return (eviction_candidate_t){
        .is_proven = atomic_load(&occupant->is_proven),
        .held_bytes = atomic_load(&occupant->charged_bytes),
        .received_bytes = atomic_load(&occupant->received_bytes),
        .since_ns = atomic_load(&occupant->since_ns)};
}

static bool
may_evict(const occupant_t *occupant, shortage_t shortage)
{
    uint32_t state = atomic_load(&occupant->state);
    return !atomic_load(&occupant->is_evicted) && state != kOccupantWaiting &&
           (shortage == kShortConnections || state != kOccupantIdle);
}

/// Closes the connection that goes first. The server's thread sees the end of
/// its stream and frees what it holds.
///
/// @param spared  a connection that stays, or NULL
/// @return whether there was one
static bool
evict_one(occupancy_t *occupancy, shortage_t shortage,
          const occupant_t *spared)
{
    int64_t now_ns = clock_now_ns();
    occupant_t *chosen = NULL;
    eviction_candidate_t chosen_candidate = {0};
    for (occupant_t *occupant = occupancy->first; occupant != NULL;
         occupant = occupant->next) {
        eviction_candidate_t candidate = describe(occupant);
        if (occupant != spared && may_evict(occupant, shortage) &&
            (chosen == NULL ||
             eviction_goes_before(&candidate, &chosen_candidate, now_ns))) {
            chosen = occupant;
            chosen_candidate = candidate;
        }
    }
    if (chosen == NULL) {
        return false;
    }
    uint64_t charged_bytes = atomic_load(&chosen->charged_bytes);
    atomic_store(&chosen->expected_bytes, charged_bytes);
    atomic_fetch_add(&occupancy->budget->expected_bytes, charged_bytes);
    atomic_store(&chosen->is_evicted, true);
    occupancy->open_count--;
    counter_add(shortage_counters[shortage], 1);
    log_eviction(occupancy, chosen, &chosen_candidate, shortage, now_ns);
    shutdown(chosen->fd, SHUT_RDWR);
    return true;
}

static void
relieve_memory(occupancy_t *occupancy, const occupant_t *spared)
{
    if (memory_budget_excess_bytes(occupancy->budget) == 0) {
        return;
    }
    pthread_mutex_lock(&occupancy->mutex);
    uint64_t excess_bytes = memory_budget_excess_bytes(occupancy->budget);
    for (uint64_t left_bytes = excess_bytes;
         left_bytes > 0 && evict_one(occupancy, kShortMemory, spared);
         left_bytes = memory_budget_excess_bytes(occupancy->budget)) {
    }
    pthread_mutex_unlock(&occupancy->mutex);
}

void
occupancy_add(occupancy_t *occupancy, occupant_t *occupant, int32_t fd)
{
    occupant->occupancy = occupancy;
    occupant->fd = fd;
    atomic_store(&occupant->since_ns, clock_now_ns());
    pthread_mutex_lock(&occupancy->mutex);
    occupant->previous = NULL;
    occupant->next = occupancy->first;
    if (occupant->next != NULL) {
        occupant->next->previous = occupant;
    }
    occupancy->first = occupant;
    occupancy->open_count++;
    while (occupancy->open_count > occupancy->open_limit &&
           evict_one(occupancy, kShortConnections, occupant)) {
    }
    pthread_mutex_unlock(&occupancy->mutex);
}

void
occupancy_remove(occupant_t *occupant)
{
    occupancy_t *occupancy = occupant->occupancy;
    pthread_mutex_lock(&occupancy->mutex);
    if (occupant->previous != NULL) {
        occupant->previous->next = occupant->next;
    }
    else {
        occupancy->first = occupant->next;
    }
    if (occupant->next != NULL) {
        occupant->next->previous = occupant->previous;
    }
    if (!atomic_load(&occupant->is_evicted)) {
        occupancy->open_count--;
    }
    pthread_mutex_unlock(&occupancy->mutex);
    occupant_release_all(occupant);
}

bool
occupant_charge(occupant_t *occupant, uint64_t bytes)
{
    occupancy_t *occupancy = occupant->occupancy;
    uint64_t charged_bytes = atomic_load(&occupant->charged_bytes);
    budget_use_t use = charged_bytes + bytes <= occupancy->small_bytes
                           ? kBudgetUseSmall
                           : kBudgetUseGrowth;
    if (atomic_load(&occupant->is_evicted)) {
        return false;
    }
    bool is_charged = memory_budget_charge(occupancy->budget, bytes, use);
    if (is_charged) {
        atomic_store(&occupant->charged_bytes, charged_bytes + bytes);
    }
    else {
        counter_add(kCounterMemoryRefused, 1);
    }
    relieve_memory(occupancy, occupant);
    return is_charged;
}

void
occupant_release(occupant_t *occupant, uint64_t bytes)
{
    atomic_fetch_sub(&occupant->charged_bytes, bytes);
    memory_budget_release(occupant->occupancy->budget, bytes);
}

void
occupant_release_all(occupant_t *occupant)
{
    memory_budget_t *budget = occupant->occupancy->budget;
    memory_budget_release(budget,
                          atomic_exchange(&occupant->charged_bytes, 0));
    atomic_fetch_sub(&budget->expected_bytes,
                     atomic_exchange(&occupant->expected_bytes, 0));
    occupant_set_state(occupant, kOccupantIdle);
}

void
occupant_note_progress(occupant_t *occupant, uint64_t bytes)
{
    atomic_fetch_add(&occupant->received_bytes, bytes);
}

void
occupant_set_state(occupant_t *occupant, occupant_state_t state)
{
    atomic_store(&occupant->received_bytes, 0);
    atomic_store(&occupant->since_ns, clock_now_ns());
    atomic_store(&occupant->state, state);
}

void
occupant_update_state(occupant_t *occupant, occupant_state_t state)
{
    atomic_store(&occupant->state, state);
}

void
occupant_set_proven(occupant_t *occupant)
{
    atomic_store(&occupant->is_proven, true);
}

bool
occupant_is_evicted(const occupant_t *occupant)
{
    return atomic_load(&occupant->is_evicted);
}
