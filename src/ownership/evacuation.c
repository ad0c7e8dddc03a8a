#include "ownership/evacuation.h"

#include <stdlib.h>
#include <string.h>

void
evacuation_init(evacuation_t *evacuation, const char *const *names,
                uint32_t count)
{
    *evacuation = (evacuation_t){.dc_count = count};
    evacuation->dcs = calloc(count + 1, sizeof *evacuation->dcs);
    for (uint32_t i = 0; i < count; i++) {
        evacuation->dcs[i].name = names[i];
    }
}

void
evacuation_clear(evacuation_t *evacuation)
{
    free(evacuation->dcs);
    *evacuation = (evacuation_t){0};
}

static evacuation_dc_t *
find_dc(const evacuation_t *evacuation, const char *name)
{
    for (uint32_t i = 0; i < evacuation->dc_count; i++) {
        if (strcmp(evacuation->dcs[i].name, name) == 0) {
            return &evacuation->dcs[i];
        }
    }
    return NULL;
}

bool
evacuation_put(evacuation_t *evacuation, const char *dc)
{
    evacuation_dc_t *found = find_dc(evacuation, dc);
    if (found == NULL) {
        return false;
    }
    found->is_evacuated = true;
    found->list_number = evacuation->list_number;
    return true;
}

void
evacuation_keep(evacuation_t *evacuation, const char *dc)
{
    evacuation_dc_t *found = find_dc(evacuation, dc);
    if (found != NULL) {
        found->list_number = evacuation->list_number;
    }
}

void
evacuation_remove(evacuation_t *evacuation, const char *dc)
{
    evacuation_dc_t *found = find_dc(evacuation, dc);
    if (found != NULL) {
        found->is_evacuated = false;
    }
}

void
evacuation_begin_list(evacuation_t *evacuation)
{
    evacuation->list_number++;
}

void
evacuation_end_list(evacuation_t *evacuation)
{
    evacuation->is_listed = true;
    for (uint32_t i = 0; i < evacuation->dc_count; i++) {
        evacuation_dc_t *dc = &evacuation->dcs[i];
        dc->is_evacuated &= dc->list_number == evacuation->list_number;
    }
}

bool
evacuation_has(const evacuation_t *evacuation, const char *dc)
{
    const evacuation_dc_t *found = find_dc(evacuation, dc);
    return found != NULL && found->is_evacuated;
}

bool
evacuation_accepts_runs(const evacuation_t *evacuation, const char *dc)
{
    return evacuation->is_listed && !evacuation_has(evacuation, dc);
}

uint32_t
evacuation_count(const evacuation_t *evacuation)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < evacuation->dc_count; i++) {
        count += evacuation->dcs[i].is_evacuated;
    }
    return count;
}

bool
evacuation_is_total(const evacuation_t *evacuation)
{
    return evacuation->dc_count > 0 &&
           evacuation_count(evacuation) == evacuation->dc_count;
}
