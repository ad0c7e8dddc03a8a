#include "member/members.h"

#include <string.h>

members_t *
members_create(uint64_t version, const vm_entry_t *vms, uint32_t vm_count)
{
    arena_t *arena = arena_create();
    members_t *members = apr_pcalloc(arena, sizeof *members);
    members->arena = arena;
    members->version = version;
    members->vm_count = vm_count;
    members->vms = apr_palloc(arena, (vm_count + 1) * sizeof(vm_entry_t));
    for (uint32_t i = 0; i < vm_count; i++) {
        members->vms[i] = vms[i];
        members->vms[i].address =
            arena_copy(arena, vms[i].address, strlen(vms[i].address));
    }
    return members;
}

void
members_free(members_t *members)
{
    if (members != NULL) {
        arena_destroy(members->arena);
    }
}

const vm_entry_t *
members_find_entry_vm(const members_t *members, uint16_t dc, uint32_t vm)
{
    for (uint32_t i = 0; i < members->vm_count; i++) {
        const vm_entry_t *entry = &members->vms[i];
        if (entry->role == kVmRoleEntry && entry->dc == dc &&
            entry->vm == vm) {
            return entry;
        }
    }
    return NULL;
}

uint32_t
members_count_entry_vms(const members_t *members)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->vm_count; i++) {
        if (members->vms[i].role == kVmRoleEntry &&
            members->vms[i].state == kVmStateLive) {
            count++;
        }
    }
    return count == 0 ? 1 : count;
}

bool
members_has_entry_vm(const vm_entry_t *vms, uint32_t vm_count)
{
    for (uint32_t i = 0; i < vm_count; i++) {
        if (vms[i].role == kVmRoleEntry) {
            return true;
        }
    }
    return false;
}

static bool
entries_equal(const vm_entry_t *left, const vm_entry_t *right)
{
    return left->vm == right->vm && left->dc == right->dc &&
           left->role == right->role && left->state == right->state &&
           left->port == right->port && left->slots == right->slots &&
           left->processors == right->processors &&
           left->memory_mb == right->memory_mb &&
           left->accelerators == right->accelerators &&
           strcmp(left->address, right->address) == 0;
}

bool
members_equal(const members_t *members, const vm_entry_t *vms,
              uint32_t vm_count)
{
    if (members->vm_count != vm_count) {
        return false;
    }
    for (uint32_t i = 0; i < vm_count; i++) {
        if (!entries_equal(&members->vms[i], &vms[i])) {
            return false;
        }
    }
    return true;
}
