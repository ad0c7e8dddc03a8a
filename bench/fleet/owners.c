/// Owners: each drives a pool, and tells coordinators of its results.
#include <stdio.h>

#include "fleet.h"

load_news_t
owner_read_news(const owner_t *owner, int64_t now_ns)
{
    pool_status_t status = pool_read_status(owner->pool, now_ns);
    return (load_news_t){.room = status.room, .backlog_ms = status.backlog_ms};
}

static void
settle_order(void *owner, const pool_order_result_t *result)
{
    owner_t *sender = owner;
    fleet_t *fleet = sender->fleet;
    const job_t *job = &fleet->jobs[result->request];
    uint32_t dc = job->coordinator % kDcCount;
    if (!fleet_is_reachable(fleet, sender->dc, dc)) {
        return;
    }
    order_event_t *event =
        clock_add(&fleet->clock, fleet_latency_ns(sender->dc, dc),
                  coordinator_handle_outcome, sizeof *event);
    event->owner = sender;
    event->job = (uint32_t)result->request;
    event->outcome = result->outcome;
    event->error = result->kind;
    event->news = owner_read_news(sender, fleet->clock.now_ns);
}

static void
ignore_fenced(void *owner, const pool_target_info_t *target)
{
    (void)owner;
    (void)target;
}

static void
ignore_log(void *owner, const char *event, const char *job, const char *text)
{
    (void)owner;
    (void)event;
    (void)job;
    (void)text;
}

const pool_ops_t owner_ops = {.start = target_send_start,
                              .stop = target_send_stop,
                              .list = target_send_list,
                              .settle = settle_order,
                              .fenced = ignore_fenced,
                              .log = ignore_log};

void
owner_handle_order(fleet_t *fleet, event_t *event)
{
    const order_event_t *assigned = (order_event_t *)event;
    owner_t *owner = assigned->owner;
    const job_t *job = &fleet->jobs[assigned->job];
    int64_t now_ns = fleet->clock.now_ns;
    if (owner->is_dead) {
        return;
    }
    char name[kPoolNameBytes];
    snprintf(name, sizeof name, "%x", assigned->job);
    order_step_t step = {.task_count = job->task_count,
                         .cpu_mcores = job->cpu_mcores,
                         .memory_mb = 64,
                         .estimate_ms = job->declared_ms,
                         .constraint = "",
                         .data_rack = ""};
    order_t order = {
        .job = name,
        .service = "s",
        .queue = fleet->workload->kinds[job->kind].queue,
        .payload = "",
        .priority = fleet->workload->kinds[job->kind].priority,
        .attempt_limit = 2,
        .slo_ms = kSloMs,
        .stretch_permille = kStretchPermille,
        .waited_ms = (uint32_t)((now_ns - job->sent_ns) / 1000000),
        .left_ms = (uint32_t)((job->deadline_ns - now_ns) / 1000000),
        .steps = &step,
        .steps_count = 1};
    pool_submit_order(owner->pool, &order, job->coordinator + 1, assigned->job,
                      now_ns);
    owner->is_dirty = true;
}
