#include "dispatch/view.h"

#include <string.h>
#include <urcu-bp.h>

#include "base/counters.h"
#include "codec/json.h"
#include "runtime/log.h"

view_t *
view_create_empty(void)
{
    arena_t *arena = arena_create();
    view_t *view = apr_pcalloc(arena, sizeof *view);
    view->arena = arena;
    view->teams = apr_hash_make(arena);
    view->members = members_create(0, NULL, 0);
    view->targets = target_table_build(NULL, NULL, 0, 0, 0, 0);
    view->entry_count = 1;
    return view;
}

team_t *
view_find_team(const view_t *view, const char *name)
{
    return apr_hash_get(view->teams, name, APR_HASH_KEY_STRING);
}

static void
add_team(view_t *view, team_t *team)
{
    apr_hash_set(view->teams, team->name, APR_HASH_KEY_STRING, team);
}

/// Adds the teams of a view to its successor, with a reference to each.
static void
copy_teams(view_t *next, const view_t *old)
{
    for (apr_hash_index_t *at = apr_hash_first(next->arena, old->teams);
         at != NULL; at = apr_hash_next(at)) {
        void *team = NULL;
        apr_hash_this(at, NULL, NULL, &team);
        team_acquire(team);
        add_team(next, team);
    }
}

/// Creates the successor of a view with the same teams and configuration.
/// Targets and members are left to the caller.
static view_t *
create_next(const view_t *old)
{
    arena_t *arena = arena_create();
    view_t *next = apr_pcalloc(arena, sizeof *next);
    next->arena = arena;
    next->teams = apr_hash_make(arena);
    next->config_offset = old->config_offset;
    next->entry_count = old->entry_count;
    next->evacuated = old->evacuated;
    next->is_evacuated = old->is_evacuated;
    copy_teams(next, old);
    return next;
}

/// Frees a view and drops its references to teams. Its targets or members are
/// NULL if its successor uses them.
static void
free_view(view_t *view)
{
    for (apr_hash_index_t *at = apr_hash_first(view->arena, view->teams);
         at != NULL; at = apr_hash_next(at)) {
        void *team = NULL;
        apr_hash_this(at, NULL, NULL, &team);
        team_release(team);
    }
    members_free(view->members);
    if (view->targets != NULL) {
        target_table_free(view->targets);
    }
    arena_destroy(view->arena);
}

/// Publishes a view and frees the old one once no reader uses it.
static void
publish(view_t **view, view_t *next)
{
    view_t *old = rcu_xchg_pointer(view, next);
    synchronize_rcu();
    if (old->targets == next->targets) {
        old->targets = NULL;
    }
    if (old->members == next->members) {
        old->members = NULL;
    }
    free_view(old);
}

/// Updates which data centres are evacuated. Logs a change of the own one.
static void
apply_evacuations(view_t *next, uint16_t dc,
                  const config_update_message_t *update)
{
    bool was_evacuated = next->is_evacuated;
    evacuated_dcs_apply(&next->evacuated, update);
    next->is_evacuated = evacuated_dcs_has(&next->evacuated, dc);
    gauge_set(kGaugeDcsEvacuated, next->evacuated.count);
    if (next->is_evacuated != was_evacuated) {
        counter_add(next->is_evacuated ? kCounterEvacuationsBegun
                                       : kCounterEvacuationsEnded,
                    1);
        log_event(next->is_evacuated ? "evacuation_begun" : "evacuation_ended",
                  "dc=%u offset=%lu", dc, (unsigned long)update->offset);
    }
}

/// Applies a section to its team. An empty section removes the team.
static void
apply_section(view_t *next, const section_entry_t *entry)
{
    team_t *team = view_find_team(next, entry->name);
    section_document_t section;
    error_info_t err = {0};
    uint16_t dc = 0;
    if (evacuated_dcs_read_section(entry->name, &dc)) {
        return;
    }
    if (entry->text[0] == '\0') {
        if (team != NULL) {
            apr_hash_set(next->teams, team->name, APR_HASH_KEY_STRING, NULL);
            team_release(team);
        }
        return;
    }
    bytes_t text = {.data = (const uint8_t *)entry->text,
                    .size_bytes = (uint32_t)strlen(entry->text)};
    if (!json_read(text, &section_document_desc, kErrorKindConfigInvalid,
                   next->arena, &section, &err)) {
        log_event("bad_section", "section=%s reason=\"%s\"", entry->name,
                  err.text);
        return;
    }
    if (team == NULL) {
        team = team_create(entry->name);
        add_team(next, team);
    }
    team_configure(team, &section, members_count_entry_vms(next->members));
}

/// Removes all teams, before a full update, which holds every section.
static void
clear_teams(view_t *next)
{
    for (apr_hash_index_t *at = apr_hash_first(next->arena, next->teams);
         at != NULL; at = apr_hash_next(at)) {
        void *team = NULL;
        apr_hash_this(at, NULL, NULL, &team);
        team_release(team);
    }
    apr_hash_clear(next->teams);
}

void
view_apply_config(view_t **view, const dispatch_settings_t *settings,
                  const config_update_message_t *update)
{
    view_t *old = *view;
    view_t *next = create_next(old);
    next->targets = old->targets;
    next->members = old->members;
    next->config_offset = update->offset;
    if (update->full) {
        clear_teams(next);
    }
    apply_evacuations(next, settings->here.dc, update);
    for (uint32_t i = 0; i < update->sections_count; i++) {
        apply_section(next, &update->sections[i]);
    }
    publish(view, next);
    log_event("config_in_force", "offset=%lu teams=%u",
              (unsigned long)update->offset, apr_hash_count(next->teams));
}

/// @return live entry VMs of one data centre, at least 1
static uint32_t
count_dc_entries(const members_t *members, uint16_t dc)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->vm_count; i++) {
        const vm_entry_t *vm = &members->vms[i];
        if (vm->role == kVmRoleEntry && vm->dc == dc &&
            vm->state == kVmStateLive) {
            count++;
        }
    }
    return count == 0 ? 1 : count;
}

/// Recomputes this process's share of the quotas if the number of entry VMs
/// has changed.
static void
rescale_teams(view_t *next, uint32_t old_count, uint32_t new_count)
{
    if (old_count == new_count) {
        return;
    }
    for (apr_hash_index_t *at = apr_hash_first(next->arena, next->teams);
         at != NULL; at = apr_hash_next(at)) {
        void *team = NULL;
        apr_hash_this(at, NULL, NULL, &team);
        team_set_share_count(team, new_count);
    }
}

void
view_apply_members(view_t **view, const dispatch_settings_t *settings,
                   const members_update_message_t *update)
{
    view_t *old = *view;
    view_t *next = create_next(old);
    next->members =
        members_create(update->version, update->vms, update->vms_count);
    next->targets = target_table_build(
        old->targets, update->vms, update->vms_count, settings->here.dc,
        settings->here.vm, settings->eject_cap_percent);
    next->entry_count = count_dc_entries(next->members, settings->here.dc);
    rescale_teams(next, members_count_entry_vms(old->members),
                  members_count_entry_vms(next->members));
    publish(view, next);
    log_event("members_in_force", "vms=%u targets=%u entries=%u",
              next->members->vm_count, next->targets->count,
              next->entry_count);
}
