/// A view of the platform's list of VMs, read under RCU.
#ifndef JT_MEMBER_MEMBERS_H
#define JT_MEMBER_MEMBERS_H

#include "base/arena.h"
#include "generated/messages.h"

/// Immutable once published.
typedef struct {
    arena_t *arena;
    uint64_t version; ///< 0 where no list is known
    vm_entry_t *vms;
    uint32_t vm_count;
} members_t;

/// Copies a list.
members_t *members_create(uint64_t version, const vm_entry_t *vms,
                          uint32_t vm_count);

void members_free(members_t *members);

/// @return an entry VM of the list, live or leaving, or NULL
const vm_entry_t *members_find_entry_vm(const members_t *members, uint16_t dc,
                                        uint32_t vm);

/// @return the number of live entry VMs of all data centres, at least 1
uint32_t members_count_entry_vms(const members_t *members);

/// @return whether a list names any entry VM
bool members_has_entry_vm(const vm_entry_t *vms, uint32_t vm_count);

/// @return whether two lists say the same
bool members_equal(const members_t *members, const vm_entry_t *vms,
                   uint32_t vm_count);

#endif
