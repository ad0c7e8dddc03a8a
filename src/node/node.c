#include "node/node.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "base/counters.h"
#include "base/units.h"
#include "node/cancel.h"
#include "node/catalog.h"
#include "node/clients.h"
#include "node/coordinator.h"
#include "node/liveness.h"
#include "node/owner.h"
#include "node/peers.h"
#include "node/record.h"
#include "node/target_feed.h"
#include "pool/losses.h"
#include "runtime/app.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    /// Minimum time for which a stopping node serves requests: until two
    /// of the load balancer's checks, one a second, have failed.
    kMinStopMs = 2500,
    kStopIdleMs = 300,   ///< without a new job before a stopping node may end
    kKillMarginMs = 600, ///< from the latest end of the process to SIGKILL
    /// A stopping node refuses orders for this long before its latest end.
    /// Most orders take less time.
    kOrderMarginMs = 2000,
    kReplyFlushMs = 100 ///< to send the last answers
};

/// Drops all jobs and orders and closes all links: after a pause, the other
/// nodes no longer rely on this one.
static void
handle_pause(node_t *node, int64_t gap_ns, int64_t now_ns)
{
    log_event("paused", "gap_ms=%lld jobs=%u", (long long)(gap_ns / kNsPerMs),
              atomic_load(&node->job_count));
    coordinator_mark_all_jobs_lost(node, now_ns - gap_ns);
    pool_reset(node->pool, now_ns - gap_ns, now_ns);
    owner_handle_pause(node, now_ns);
    cancel_end_all(node);
    clients_close_all(node);
    peers_close_all(node);
}

int64_t
node_update_now_ns(node_t *node)
{
    int64_t now_ns = clock_now_ns();
    int64_t gap_ns = pause_record_beat(&node->pause, now_ns);
    if (gap_ns > 0) {
        handle_pause(node, gap_ns, now_ns);
    }
    return now_ns;
}

int64_t
node_stop_limit_ns(const node_t *node)
{
    return node->stop_ns +
           (int64_t)(node->settings->stop_limit_ms - kKillMarginMs) * kNsPerMs;
}

/// @return whether a stopping node has served all requests and may end
static bool
may_end(node_t *node, const pool_status_t *status, int64_t now_ns)
{
    bool is_past_idle_time = now_ns - atomic_load(&node->last_job_ns) >
                             (int64_t)kStopIdleMs * kNsPerMs;
    bool is_idle = atomic_load(&node->job_count) == 0 &&
                   status->order_count == 0 && status->run_count == 0;
    return is_idle && is_past_idle_time &&
           now_ns - node->stop_ns > (int64_t)kMinStopMs * kNsPerMs;
}

/// Closes the pool of a stopping node to new orders while another owner is
/// reachable, and from kOrderMarginMs before its latest end on.
///
/// @return whether another owner is reachable
static bool
update_pool_closed(node_t *node, int64_t now_ns)
{
    bool has_other_owner = peers_has_owner(node);
    int64_t last_ns =
        node_stop_limit_ns(node) - (int64_t)kOrderMarginMs * kNsPerMs;
    pool_set_closed(node->pool, has_other_owner || now_ns >= last_ns);
    return has_other_owner;
}

/// Ends a stopping node when it is finished or its time limit is reached. At
/// the limit, the remaining jobs are answered as lost.
static void
advance_stop(node_t *node, int64_t now_ns)
{
    pool_status_t status = pool_read_status(node->pool, now_ns);
    bool has_other_owner = update_pool_closed(node, now_ns);
    if (has_other_owner && status.order_count == 0 && status.run_count == 0) {
        owner_leave_all(node);
    }
    bool is_past_limit = now_ns >= node_stop_limit_ns(node);
    if (node->end_ns == 0 &&
        (is_past_limit || may_end(node, &status, now_ns))) {
        atomic_store(&node->is_closed, true);
        coordinator_mark_all_jobs_lost(node, now_ns);
        cancel_end_all(node);
        owner_leave_all(node);
        node->end_ns = now_ns + (int64_t)kReplyFlushMs * kNsPerMs;
    }
    if (node->end_ns != 0 && node->end_ns <= now_ns &&
        node->on_stopped != NULL) {
        void (*on_stopped)(void *) = node->on_stopped;
        node->on_stopped = NULL;
        on_stopped(node->stopped_owner);
    }
}

/// Does all work that is due, and sets the timer for the next.
static void
advance(node_t *node)
{
    int64_t now_ns = node_update_now_ns(node);
    int64_t due_ns = coordinator_advance(node, now_ns);
    due_ns = min_ns(due_ns, cancel_advance(node, now_ns));
    due_ns = min_ns(due_ns, clients_advance(node, now_ns));
    due_ns = min_ns(due_ns, pool_advance(node->pool, now_ns));
    due_ns = min_ns(due_ns, peers_advance(node, now_ns));
    due_ns = min_ns(due_ns, target_feed_advance(node, now_ns));
    due_ns = min_ns(due_ns, owner_advance(node, now_ns));
    due_ns = min_ns(due_ns, catalog_advance(node, now_ns));
    due_ns = min_ns(due_ns, liveness_advance(node, now_ns));
    if (node->stop_ns != 0) {
        advance_stop(node, now_ns);
    }
    if (due_ns == INT64_MAX) {
        loop_timer_clear(node->loop, &node->due_timer);
    }
    else {
        loop_timer_set(node->loop, &node->due_timer, due_ns);
    }
}

static void
on_advance(loop_deferred_t *end)
{
    advance(caa_container_of(end, node_t, advance));
}

static void
on_due(loop_timer_t *timer)
{
    node_schedule_advance(timer->owner);
}

/// Updates whether the node is ready: it has a configuration, knows a
/// reachable owner, and is not stopping.
static void
update_ready(node_t *node)
{
    bool has_owner = owner_has_partitions(node);
    for (const member_t *member = node->members.first;
         member != NULL && !has_owner; member = member->next) {
        has_owner = member->is_reachable && member->record->pools_count > 0;
    }
    bool is_ready = node->queues != NULL && has_owner && node->stop_ns == 0;
    if (is_ready != atomic_load(&node->is_ready)) {
        log_event("ready", "ready=%d", is_ready);
        atomic_store(&node->is_ready, is_ready);
    }
}

static void
update_gauges(const node_t *node, int64_t now_ns)
{
    pool_status_t status = pool_read_status(node->pool, now_ns);
    gauge_set(kGaugeTargetsOpen, status.target_count);
    gauge_set(kGaugeOrdersOpen, status.order_count);
    gauge_set(kGaugeRunsOpen, status.run_count);
    gauge_set(kGaugeOrderBytes, status.order_bytes);
    gauge_set(kGaugeTargetCalls, status.call_count);
    gauge_set(kGaugeConfigVersion,
              node->queues == NULL ? 0 : node->queues->version);
}

bool
node_is_ready(const node_t *node)
{
    return atomic_load(&node->is_ready) &&
           clock_now_ns() < atomic_load(&node->ready_until_ns);
}

static void
on_tick(loop_timer_t *timer)
{
    node_t *node = timer->owner;
    int64_t now_ns = node_update_now_ns(node);
    update_gauges(node, now_ns);
    update_ready(node);
    atomic_store(&node->ready_until_ns,
                 now_ns + MS_TO_NS(node->settings->ready_stall_ms));
    if (node->stop_ns != 0) {
        node_schedule_advance(node);
    }
    loop_timer_set(node->loop, timer, clock_deadline_ns(kPauseBeatMs));
}

void
node_schedule_advance(node_t *node)
{
    loop_defer(node->loop, &node->advance);
}

void
node_schedule_membership(node_t *node)
{
    node->membership_version++;
    node_schedule_advance(node);
}

node_t *
node_create(const node_settings_t *settings, arena_t *arena)
{
    node_t *node = calloc(1, sizeof *node);
    node->settings = settings;
    node->arena = arena;
    node->loop = loop_create();
    node->control =
        (control_t){.hello = {.role = kRoleNode, .nonce = app_random()},
                    .describe = node_describe,
                    .owner = node};
    node->advance.run = on_advance;
    record_format_member_id(node->member_id, settings->name,
                            node->control.hello.nonce);
    loop_timer_init(&node->due_timer, on_due, node);
    loop_timer_init(&node->tick_timer, on_tick, node);
    node->missing_due_ns = INT64_MAX;
    owner_init(node);
    peers_init(node);
    target_feed_init(node);
    liveness_init(node);
    return node;
}

bool
node_open(node_t *node, const adapter_ops_t *ops, adapter_t *adapter,
          error_info_t *err)
{
    node->adapter_ops = ops;
    node->adapter = adapter;
    node->listener =
        listener_open(node->loop, node->settings->address,
                      node->settings->peer_port, clients_accept, node, err);
    if (node->listener == NULL) {
        return false;
    }
    record_publish(node);
    loop_timer_set(node->loop, &node->tick_timer,
                   clock_deadline_ns(kPauseBeatMs));
    return true;
}

void
node_stop(node_t *node)
{
    log_event("stopping", "jobs=%u", atomic_load(&node->job_count));
    node->stop_ns = node_update_now_ns(node);
    atomic_store(&node->is_draining, true);
    atomic_store(&node->is_ready, false);
    update_pool_closed(node, node->stop_ns);
    record_publish(node);
    node_schedule_membership(node);
}

void
node_apply_settings(node_t *node, const node_settings_t *settings)
{
    const node_settings_t *old = node->settings;
    bool needs_restart = strcmp(old->name, settings->name) != 0 ||
                         strcmp(old->address, settings->address) != 0 ||
                         strcmp(old->callers, settings->callers) != 0 ||
                         old->peer_port != settings->peer_port ||
                         old->partition_count != settings->partition_count;
    if (needs_restart) {
        log_event("settings_kept",
                  "reason=\"a changed name, address, port or cell_count "
                  "needs a restart\"");
        return;
    }
    node_settings_t changed = *settings;
    changed.name = old->name;
    changed.dc = old->dc;
    changed.dcs = old->dcs;
    changed.dcs_count = old->dcs_count;
    changed.address = old->address;
    changed.callers = old->callers;
    changed.ready = old->ready;
    changed.store = old->store;
    node->changed_settings = changed;
    node->settings = &node->changed_settings;
    const pool_limits_t limits = owner_limits(node->settings);
    pool_set_limits(node->pool, &limits);
    log_event("settings_taken", "hold_limit_ms=%u resubmit_ms=%u",
              settings->hold_limit_ms, settings->resubmit_ms);
}

void
node_publish_queues(node_t *node, queue_table_t *table)
{
    queue_table_t *old = node->queues;
    if (old != NULL && table->version <= old->version) {
        queues_free(table);
        return;
    }
    log_event("config_in_force", "version=%llu queues=%u before=%llu",
              (unsigned long long)table->version, table->count,
              old == NULL ? 0 : (unsigned long long)old->version);
    rcu_assign_pointer(node->queues, table);
    synchronize_rcu();
    queues_free(old);
    update_ready(node);
}

void
node_put_member(node_t *node, const node_record_t *record)
{
    if (strcmp(record->name, node->settings->name) == 0) {
        node_handle_own_record(node, record);
        return;
    }
    losses_put_reported(pool_losses(node->pool), record->name, record->losses,
                        record->losses_count, node_update_now_ns(node));
    const member_t *known = members_find(&node->members, record->name);
    for (uint32_t i = 0; known != NULL && i < node->group_count; i++) {
        if (member_owns_dc(known, node->groups[i].dc) &&
            !record_has_pool(record, node->groups[i].dc)) {
            // The store passes the partitions on with the next joins.
            node->groups[i].join_due_ns = 0;
            node_schedule_advance(node);
        }
    }
    peers_put(node, members_put(&node->members, record));
}

void
node_end_member_list(node_t *node)
{
    if (node->listed_ns == 0) {
        node->listed_ns = node_update_now_ns(node);
        record_publish(node);
    }
    node_schedule_membership(node);
}

void
node_remove_member(node_t *node, const char *name)
{
    if (strcmp(name, node->settings->name) == 0) {
        node_handle_own_record(node, NULL);
        return;
    }
    members_remove(&node->members, name);
    peers_remove(node, name);
}

static void
add_target_line(void *owner, const char *line)
{
    json_object_array_add(owner, json_object_new_string(line));
}

void
node_describe(void *owner, json_object *state)
{
    node_t *node = owner;
    int64_t now_ns = clock_now_ns();
    pool_status_t status = pool_read_status(node->pool, now_ns);
    json_object *targets = json_object_new_array();
    json_object_object_add(state, "name",
                           json_object_new_string(node->settings->name));
    json_object_object_add(
        state, "config_version",
        json_object_new_uint64(node->queues == NULL ? 0
                                                    : node->queues->version));
    json_object *evacuated = json_object_new_array();
    for (uint32_t i = 0; i < node->group_count; i++) {
        if (node->groups[i].is_evacuated) {
            json_object_array_add(evacuated,
                                  json_object_new_string(node->groups[i].dc));
        }
    }
    json_object_object_add(state, "evacuated", evacuated);
    json_object_object_add(
        state, "jobs", json_object_new_uint64(atomic_load(&node->job_count)));
    json_object_object_add(state, "orders",
                           json_object_new_uint64(status.order_count));
    json_object_object_add(state, "runs",
                           json_object_new_uint64(status.run_count));
    pool_describe(node->pool, now_ns, add_target_line, targets);
    json_object_object_add(state, "targets", targets);
}
