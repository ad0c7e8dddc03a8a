#include "config/evacuated_dcs.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char section_prefix[] = "evacuate/";

bool
evacuated_dcs_parse(const char *text, uint16_t *dc)
{
    char *end = NULL;
    unsigned long number = strtoul(text, &end, 10);
    *dc = (uint16_t)number;
    return isdigit((unsigned char)text[0]) && *end == '\0' && number > 0 &&
           number <= UINT16_MAX;
}

bool
evacuated_dcs_read_section(const char *section, uint16_t *dc)
{
    size_t prefix_bytes = strlen(section_prefix);
    return strncmp(section, section_prefix, prefix_bytes) == 0 &&
           evacuated_dcs_parse(section + prefix_bytes, dc);
}

void
evacuated_dcs_format_section(char out[kEvacuationSectionBytes], uint16_t dc)
{
    snprintf(out, kEvacuationSectionBytes, "%s%u", section_prefix, dc);
}

/// @return the index of a data centre, or the count
static uint32_t
find_dc(const evacuated_dcs_t *evacuated, uint16_t dc)
{
    uint32_t i = 0;
    while (i < evacuated->count && evacuated->dcs[i] != dc) {
        i++;
    }
    return i;
}

static void
set_member(evacuated_dcs_t *set, uint16_t dc, bool is_member)
{
    uint32_t at = find_dc(set, dc);
    if (!is_member && at < set->count) {
        set->dcs[at] = set->dcs[--set->count];
    }
    else if (is_member && at == set->count && at < kEvacuatedDcsLimit) {
        set->dcs[set->count++] = dc;
    }
}

void
evacuated_dcs_apply(evacuated_dcs_t *evacuated,
                    const config_update_message_t *update)
{
    if (update->full) {
        evacuated->count = 0;
    }
    for (uint32_t i = 0; i < update->sections_count; i++) {
        uint16_t dc = 0;
        if (evacuated_dcs_read_section(update->sections[i].name, &dc)) {
            set_member(evacuated, dc, update->sections[i].text[0] != '\0');
        }
    }
}

bool
evacuated_dcs_has(const evacuated_dcs_t *evacuated, uint16_t dc)
{
    return find_dc(evacuated, dc) < evacuated->count;
}

uint16_t
evacuated_dcs_choose(const evacuated_dcs_t *evacuated,
                     const members_t *members, uint16_t dc, uint32_t vm)
{
    evacuated_dcs_t open = {0};
    if (!evacuated_dcs_has(evacuated, dc)) {
        return dc;
    }
    for (uint32_t i = 0; i < members->vm_count; i++) {
        const vm_entry_t *entry = &members->vms[i];
        if (entry->role == kVmRoleEntry && entry->state == kVmStateLive &&
            !evacuated_dcs_has(evacuated, entry->dc)) {
            set_member(&open, entry->dc, true);
        }
    }
    return open.count == 0 ? dc : open.dcs[vm % open.count];
}
