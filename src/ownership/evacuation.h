/// Which data centres are evacuated: their targets must get no new runs. The
/// operator's records say so; what they said last stays in force while they
/// cannot be read.
#ifndef JT_OWNERSHIP_EVACUATION_H
#define JT_OWNERSHIP_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>

/// A data centre.
typedef struct {
    const char *name;
    bool is_evacuated;
    uint64_t list_number; ///< of the last list that had it as evacuated
} evacuation_dc_t;

typedef struct {
    evacuation_dc_t *dcs;
    uint32_t dc_count;
    bool is_listed;       ///< all evacuations have been read once
    uint64_t list_number; ///< of the list that is being read, or the last one
} evacuation_t;

/// Creates the state in which no evacuation has been read. Free it with
/// evacuation_clear.
///
/// @param names  of all data centres; have to stay valid
void evacuation_init(evacuation_t *evacuation, const char *const *names,
                     uint32_t count);

void evacuation_clear(evacuation_t *evacuation);

/// A data centre is evacuated.
///
/// @return false if there is no such data centre
bool evacuation_put(evacuation_t *evacuation, const char *dc);

/// The record of a data centre cannot be read: the state stays as it is, even
/// if the current list has nothing else on the data centre.
void evacuation_keep(evacuation_t *evacuation, const char *dc);

/// The evacuation of a data centre is taken back.
void evacuation_remove(evacuation_t *evacuation, const char *dc);

/// A list of all evacuations begins, and ends. What was in force before and is
/// neither put nor kept between the two has been taken back.
void evacuation_begin_list(evacuation_t *evacuation);
void evacuation_end_list(evacuation_t *evacuation);

/// @return whether the targets of a data centre may get new runs; false before
///         the first list, so that a process that has just started does not
///         use targets of which it does not know enough
bool evacuation_accepts_runs(const evacuation_t *evacuation, const char *dc);

/// @return whether a data centre is known to be evacuated
bool evacuation_has(const evacuation_t *evacuation, const char *dc);

/// @return how many data centres are known to be evacuated
uint32_t evacuation_count(const evacuation_t *evacuation);

/// @return whether all data centres are known to be evacuated
bool evacuation_is_total(const evacuation_t *evacuation);

#endif
