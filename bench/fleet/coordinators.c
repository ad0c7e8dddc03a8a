/// Coordinators: choose a pool for each job from aged news of the pools' room.
#include <string.h>

#include "fleet.h"

enum {
    kNewsTtlMs = 1200, ///< older news are not used
    kBusyPingMs = 150, ///< between news of a pool with orders
    kIdlePingMs = 1000 ///< between news of another one
};

typedef struct {
    event_t head;
    owner_t *owner;
    uint32_t coordinator;
    load_news_t news;
} news_event_t;

typedef struct {
    event_t head;
    uint32_t job;
} deadline_event_t;

static void
settle_job(const fleet_t *fleet, job_t *job, order_outcome_t outcome)
{
    job->is_assigned = false;
    job->is_settled = true;
    job->outcome = outcome;
    job->took_ns = fleet->clock.now_ns - job->sent_ns;
}

static void
update_view(const fleet_t *fleet, view_t *view, const load_news_t *news)
{
    if (fleet->has_no_news) {
        return;
    }
    view->news = *news;
    view->received_ns = fleet->clock.now_ns;
    view->is_known = true;
}

static void
end_outstanding(view_t *view)
{
    // An order that is withdrawn while its result is on the way ends twice.
    view->outstanding -= view->outstanding > 0;
}

// Policies.

/// @return whether a job may be offered to an owner
static bool
is_candidate(fleet_t *fleet, const job_t *job, uint32_t owner)
{
    for (uint32_t i = 0; i < job->tried_count; i++) {
        if (job->tried[i] == owner) {
            return false;
        }
    }
    return fleet_view(fleet, job->coordinator, owner)->is_linked;
}

static job_need_t
read_need(const job_t *job)
{
    return (job_need_t){.cpu_mcores = job->cpu_mcores,
                        .task_count = job->task_count};
}

static pool_offer_t
make_offer(fleet_t *fleet, const job_t *job, uint32_t owner)
{
    const view_t *view = fleet_view(fleet, job->coordinator, owner);
    bool is_fresh = view->is_known &&
                    fleet->clock.now_ns - view->received_ns < MS(kNewsTtlMs);
    return (pool_offer_t){.room = is_fresh ? &view->news.room : NULL,
                          .backlog_ms = view->news.backlog_ms,
                          .is_local = fleet->owners[owner].dc ==
                                      job->coordinator % kDcCount,
                          .pool = &fleet->owners[owner]};
}

/// The product's choice.
static owner_t *
choose_by_wait(fleet_t *fleet, const job_t *job)
{
    pool_choice_t choice = {.rng = &fleet->rng};
    job_need_t need = read_need(job);
    for (uint32_t i = 0; i < fleet->owner_count; i++) {
        if (is_candidate(fleet, job, i)) {
            pool_offer_t offer = make_offer(fleet, job, i);
            choice_add(&choice, &offer, &need);
        }
    }
    return choice.best;
}

/// @return how many of a job's tasks a pool is known to have room for
static uint32_t
count_room(const pool_offer_t *offer, uint32_t cpu_mcores)
{
    return offer->room == NULL ? 0
                               : room_count_fitting(offer->room, cpu_mcores);
}

/// Draws two pools and takes the one with more room.
static owner_t *
choose_of_two(fleet_t *fleet, const job_t *job)
{
    pool_offer_t drawn[2] = {{.pool = NULL}, {.pool = NULL}};
    uint32_t seen = 0;
    for (uint32_t i = 0; i < fleet->owner_count; i++) {
        if (!is_candidate(fleet, job, i)) {
            continue;
        }
        // Reservoir: each pair is drawn with the same probability.
        uint32_t at = seen < 2 ? seen : rng_below(&fleet->rng, seen + 1);
        seen++;
        if (at < 2) {
            drawn[at] = make_offer(fleet, job, i);
        }
    }
    bool is_second =
        drawn[1].pool != NULL && count_room(&drawn[1], job->cpu_mcores) >
                                     count_room(&drawn[0], job->cpu_mcores);
    return drawn[is_second].pool;
}

static const policy_t policies[] = {
    {.name = "product", .choose = choose_by_wait},
    {.name = "two", .choose = choose_of_two},
    {.name = "central", .is_central = true, .choose = choose_by_wait},
};

const policy_t *
policy_find(const char *name)
{
    for (size_t i = 0; i < sizeof policies / sizeof policies[0]; i++) {
        if (strcmp(policies[i].name, name) == 0) {
            return &policies[i];
        }
    }
    return NULL;
}

// Jobs.

static void
assign_job(fleet_t *fleet, uint32_t number)
{
    job_t *job = &fleet->jobs[number];
    uint32_t dc = job->coordinator % kDcCount;
    if (job->tried_count >= kTries) {
        return;
    }
    owner_t *owner = fleet->policy->choose(fleet, job);
    if (owner == NULL) {
        return;
    }
    view_t *view = fleet_view(fleet, job->coordinator, owner->number);
    job->tried[job->tried_count++] = owner->number;
    job->owner = owner->number;
    job->is_assigned = true;
    view->outstanding++;
    room_take(&view->news.room, job->cpu_mcores, job->task_count);
    if (fleet_is_reachable(fleet, dc, owner->dc)) {
        order_event_t *event =
            clock_add(&fleet->clock, fleet_latency_ns(dc, owner->dc),
                      owner_handle_order, sizeof *event);
        event->owner = owner;
        event->job = number;
    }
}

void
coordinator_handle_outcome(fleet_t *fleet, event_t *event)
{
    const order_event_t *result = (order_event_t *)event;
    job_t *job = &fleet->jobs[result->job];
    view_t *view = fleet_view(fleet, job->coordinator, result->owner->number);
    update_view(fleet, view, &result->news);
    end_outstanding(view);
    if (!job->is_assigned || job->owner != result->owner->number ||
        job->is_settled) {
        return;
    }
    job->is_assigned = false;
    if (result->outcome == kOrderOutcomeRefused &&
        result->error != kErrorKindDeadline &&
        job->deadline_ns > fleet->clock.now_ns) {
        assign_job(fleet, result->job);
    }
    if (!job->is_assigned) {
        settle_job(fleet, job, result->outcome);
    }
}

/// Withdraws a job at its deadline.
static void
handle_deadline(fleet_t *fleet, event_t *event)
{
    uint32_t number = ((deadline_event_t *)event)->job;
    job_t *job = &fleet->jobs[number];
    if (job->is_settled) {
        return;
    }
    if (job->is_assigned) {
        owner_t *owner = &fleet->owners[job->owner];
        if (!owner->is_dead &&
            fleet_is_reachable(fleet, job->coordinator % kDcCount,
                               owner->dc)) {
            pool_withdraw_order(owner->pool, job->coordinator + 1, number,
                                fleet->clock.now_ns, fleet->clock.now_ns);
            owner->is_dirty = true;
        }
        end_outstanding(fleet_view(fleet, job->coordinator, job->owner));
    }
    settle_job(fleet, job, kOrderOutcomeLost);
}

void
coordinator_submit_job(fleet_t *fleet, uint32_t number)
{
    job_t *job = &fleet->jobs[number];
    deadline_event_t *deadline =
        clock_add(&fleet->clock, job->deadline_ns - fleet->clock.now_ns,
                  handle_deadline, sizeof *deadline);
    deadline->job = number;
    assign_job(fleet, number);
    if (!job->is_assigned) {
        settle_job(fleet, job, kOrderOutcomeRefused);
    }
}

void
coordinator_lose_jobs(fleet_t *fleet, uint32_t owner, uint32_t dc)
{
    for (uint32_t i = 0; i < fleet->job_count; i++) {
        job_t *job = &fleet->jobs[i];
        if (job->is_assigned && job->owner == owner &&
            (dc == kDcCount || job->coordinator % kDcCount == dc)) {
            end_outstanding(fleet_view(fleet, job->coordinator, owner));
            settle_job(fleet, job, kOrderOutcomeLost);
        }
    }
}

// News.

static void
handle_news(fleet_t *fleet, event_t *event)
{
    const news_event_t *news = (news_event_t *)event;
    update_view(fleet,
                fleet_view(fleet, news->coordinator, news->owner->number),
                &news->news);
}

/// Sends the load of an owner to a coordinator, as replies to pings do.
static void
send_news(fleet_t *fleet, event_t *event)
{
    const news_event_t *timer = (news_event_t *)event;
    owner_t *owner = timer->owner;
    uint32_t dc = timer->coordinator % kDcCount;
    if (owner->is_dead) {
        return;
    }
    if (fleet_is_reachable(fleet, owner->dc, dc)) {
        news_event_t *news =
            clock_add(&fleet->clock, fleet_latency_ns(owner->dc, dc),
                      handle_news, sizeof *news);
        news->owner = owner;
        news->coordinator = timer->coordinator;
        news->news = owner_read_news(owner, fleet->clock.now_ns);
    }
    bool is_busy =
        fleet_view(fleet, timer->coordinator, owner->number)->outstanding > 0;
    news_event_t *next =
        clock_add(&fleet->clock, MS(is_busy ? kBusyPingMs : kIdlePingMs),
                  send_news, sizeof *next);
    next->owner = owner;
    next->coordinator = timer->coordinator;
}

void
coordinator_begin(fleet_t *fleet, uint32_t coordinator)
{
    uint32_t linked[kDcCount] = {0};
    for (uint32_t i = 0; i < fleet->owner_count; i++) {
        owner_t *owner =
            &fleet->owners[(i + coordinator * kDcCount) % fleet->owner_count];
        bool is_local = owner->dc == coordinator % kDcCount;
        if (is_local || linked[owner->dc]++ < kRemoteLinks) {
            fleet_view(fleet, coordinator, owner->number)->is_linked = true;
            news_event_t *first = clock_add(
                &fleet->clock, MS(rng_below(&fleet->rng, kBusyPingMs)),
                send_news, sizeof *first);
            first->owner = owner;
            first->coordinator = coordinator;
        }
    }
}
