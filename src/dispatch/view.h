/// What shards read on the path of a request: teams, targets and members at
/// one time. Built by the control thread, published under RCU, immutable
/// but for its atomics.
#ifndef JT_DISPATCH_VIEW_H
#define JT_DISPATCH_VIEW_H

#include <apr_hash.h>

#include "generated/messages.h"
#include "generated/settings.h"
#include "limit/team.h"
#include "member/members.h"
#include "route/target.h"

typedef struct {
    arena_t *arena;
    uint64_t config_offset; ///< 0 where no configuration is known
    apr_hash_t *teams;      ///< name to team_t
    target_table_t *targets;
    members_t *members;
    uint32_t entry_count; ///< live entry VMs of the own data centre
} view_t;

/// @return a view of nothing
view_t *view_create_empty(void);

/// Publishes the view that follows from new sections.
void view_apply_config(view_t **view, const dispatch_settings_t *settings,
                       const config_update_message_t *update);

/// Publishes the view that follows from a new list of VMs.
void view_apply_members(view_t **view, const dispatch_settings_t *settings,
                        const members_update_message_t *update);

/// @return a team, or NULL. Under RCU.
team_t *view_find_team(const view_t *view, const char *name);

#endif
