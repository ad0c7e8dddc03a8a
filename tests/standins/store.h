/// Stand-in for the users' store: topics of newest records, and groups.
#ifndef JT_TESTS_STANDINS_STORE_H
#define JT_TESTS_STANDINS_STORE_H

#include "support/http_server.h"

typedef struct fake_store fake_store_t;

/// Opens the store on an address.
fake_store_t *fake_store_open(loop_t *loop, const char *address, uint16_t port,
                              error_info_t *err);

/// Writes a record as the platform itself does; value NULL drops the key.
void fake_store_put(fake_store_t *store, const char *topic, const char *key,
                    const char *value);

/// Drops the history of all topics; the newest records stay.
void fake_store_compact(fake_store_t *store);

/// Appends the first record of each key of a topic once more, as writes that
/// are carried out late.
void fake_store_append_first_again(fake_store_t *store, const char *topic);

/// Deals all partitions anew.
void fake_store_rebalance(fake_store_t *store);

/// How the store misbehaves.
typedef struct {
    bool is_down;          ///< answers nothing
    uint32_t lost_percent; ///< of the calls are carried out, not answered
    uint32_t delay_ms;     ///< of each answer
} fake_store_faults_t;

fake_store_faults_t *fake_store_get_faults(fake_store_t *store);

/// Looks at how the store does. Call it often.
///
/// @return since when all calls have been answered; now, where they are not
int64_t fake_store_healthy_since_ns(fake_store_t *store);

/// @return how many records a topic has had
uint64_t fake_store_end_offset(fake_store_t *store, const char *topic);

/// @return how many keys a topic has
uint64_t fake_store_count_keys(fake_store_t *store, const char *topic);

/// @return how often a member left a group that it was in
uint64_t fake_store_count_leaves(const fake_store_t *store);

/// @return calls taken so far
uint64_t fake_store_count_calls(const fake_store_t *store);

#endif
