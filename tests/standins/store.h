/// Stand-in for the users' store: topics with a newest record for each key,
/// and groups whose members share partitions.
#ifndef JT_TESTS_STANDINS_STORE_H
#define JT_TESTS_STANDINS_STORE_H

#include "support/http_server.h"

typedef struct fake_store fake_store_t;

/// Opens the store.
fake_store_t *fake_store_open(loop_t *loop, const char *address, uint16_t port,
                              error_info_t *err);

/// Appends a record without a request. Value NULL deletes the key.
void fake_store_put(fake_store_t *store, const char *topic, const char *key,
                    const char *value);

/// Makes all past offsets of all topics unreadable: a read of them gets status
/// 410. The newest record of each key can still be listed.
void fake_store_compact(fake_store_t *store);

/// Appends the first record of each key of a topic once more, like a delayed
/// duplicate of the write.
void fake_store_append_first_again(fake_store_t *store, const char *topic);

/// Reassigns all partitions at once, without waiting for their owners to
/// release them.
void fake_store_rebalance(fake_store_t *store);

/// Faults of the store.
typedef struct {
    bool is_down;          ///< requests are ignored
    uint32_t lost_percent; ///< of requests are handled without a response
    uint32_t delay_ms;     ///< of each response
} fake_store_faults_t;

fake_store_faults_t *fake_store_get_faults(fake_store_t *store);

/// Checks the faults that are set. Has to be called regularly, as faults are
/// only noticed by a call.
///
/// @return time since which no fault was seen that leaves a request without a
///         response; now, if there is one
int64_t fake_store_healthy_since_ns(fake_store_t *store);

/// @return the offset after the last record of a topic
uint64_t fake_store_end_offset(fake_store_t *store, const char *topic);

/// @return number of keys in a topic, without deleted ones
uint64_t fake_store_count_keys(fake_store_t *store, const char *topic);

/// @return number of leave requests from members of a group
uint64_t fake_store_count_leaves(const fake_store_t *store);

/// @return number of requests so far
uint64_t fake_store_count_calls(const fake_store_t *store);

#endif
