/// A snapshot of teams, targets and members, which shards read on the path of
/// a request. The control thread builds views and publishes them with RCU. A
/// published view is immutable except for its atomic fields.
#ifndef JT_DISPATCH_VIEW_H
#define JT_DISPATCH_VIEW_H

#include <apr_hash.h>

#include "config/evacuated_dcs.h"
#include "generated/messages.h"
#include "generated/settings.h"
#include "limit/team.h"
#include "member/members.h"
#include "route/target.h"

typedef struct {
    arena_t *arena;
    uint64_t config_offset; ///< 0 if no configuration is known
    apr_hash_t *teams;      ///< name to team_t
    evacuated_dcs_t evacuated;
    bool is_evacuated; ///< this data centre: its targets get no new tries
    target_table_t *targets;
    members_t *members;
    uint32_t entry_count; ///< live entry VMs of this data centre, at least 1
} view_t;

/// @return a view without teams, targets and members
view_t *view_create_empty(void);

/// Publishes a view with new sections of the configuration. Control thread
/// only.
void view_apply_config(view_t **view, const dispatch_settings_t *settings,
                       const config_update_message_t *update);

/// Publishes a view with a new list of VMs. Control thread only.
void view_apply_members(view_t **view, const dispatch_settings_t *settings,
                        const members_update_message_t *update);

/// @return a team, or NULL. Called under RCU.
team_t *view_find_team(const view_t *view, const char *name);

#endif
