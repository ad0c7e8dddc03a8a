#!/bin/sh
# Mutation tests: removes one safety check at a time in a copy of the tree and
# runs a test, which must then fail.
# Usage: mutants.sh [NAME]
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

# mutant NAME TEST FILE SED-SCRIPT: applies SED-SCRIPT to FILE and runs TEST
mutant() {
    [ -n "${only:-}" ] && [ "$only" != "$1" ] && return
    rm -rf "$work/tree"
    mkdir "$work/tree"
    (cd "$top" && cp -r CMakeLists.txt src platform tests bench "$work/tree")
    sed -i "$4" "$work/tree/$3"
    if cmp -s "$work/tree/$3" "$top/$3"; then
        echo "$1: the change does not apply"
        failures=$((failures + 1))
        return
    fi
    (cd "$work/tree" && cmake -S . -B build >/dev/null &&
        cmake --build build -j "$(nproc)" >"$work/build.log" 2>&1) || {
        echo "$1: does not build"
        tail -5 "$work/build.log"
        failures=$((failures + 1))
        return
    }
    if JT_BUILD="$work/tree/build" timeout 120 "$work/tree/build/$2" >"$work/log" 2>&1; then
        echo "$1: NOT CAUGHT by $2"
        failures=$((failures + 1))
    else
        echo "$1: caught by $2"
    fi
}

only=${1:-}
mutant second-pass functional_test_faults src/net/http_client.c \
    's/if (request->send_count > 1) {/if (request->send_count > 99) {/'
mutant try-mark functional_test_faults src/net/http_client.c \
    's/if (request->required_header != NULL \&\& !request->has_required_header \&\&/if (false \&\&/'
mutant unknown-is-not-run functional_test_faults src/dispatch/tries.c \
    's/(try_outcome_t){kJobEventTryFailed, kErrorKindTargetLost,/(try_outcome_t){kJobEventTryNotRun, kErrorKindTargetLost,/'
mutant value-of-work test_value src/pool/value.c \
    's/kDelayPermille \/$/kDelayPermille * 0 \//'
mutant value-of-priority test_value src/pool/value.c \
    's/kPriorityFactorPermille;/kPermille;/'
mutant value-cost test_value src/pool/value.c \
    's/return (int64_t)(share \* kPermille \/ value);/return kPermille;/'
mutant submitted-bit test_id_registry src/core/id_registry.c \
    's/block->submitted\[index \/ kWordBits\] |=.*/(void)0;/'
mutant start-by-deadline test_id_registry src/core/id_registry.c \
    's/return now_ns < block->start_by_ns ? kIdStatusFresh : kIdStatusExpired;/return kIdStatusFresh;/'
mutant incarnation-in-front functional_test_kill src/front/dispatcher_link.c \
    's/link->nonce != call->id.origin.nonce/false/'
mutant id-hash functional_test_resubmit src/core/id_registry.c \
    's/!job_id_verify(id, registry->secret)/false/'
mutant body-digest functional_test_resubmit src/dispatch/jobs.c \
    's/if (!record->is_unsubmitted \&\&/if (false \&\&/'
mutant handover functional_test_stop src/dispatch/drain.c \
    's/if (handover->shards_left == 0) {/if (handover->shards_left == 0 \&\& (handover->batches = NULL, true)) {/'
mutant drain-waits functional_test_stop src/dispatch/drain.c \
    's/if (is_drained(dispatch)) {/if (true) {/'
mutant leaving functional_test_stop src/route/target.c \
    's/atomic_store(&target->leaving_until_ns, now_ns + LEAVING_NS);/(void)now_ns;/'
mutant silence-since-call functional_test_silence src/front/dispatcher_link.c \
    's/return link->busy_since_ns > link->conn->last_received_ns/return false/'
mutant accept-pause test_listener src/net/listener.c \
    's/^                pause_accepting(listener, status);/                (void)status;/'
mutant accepted-share functional_test_descriptors src/net/listener.c \
    's/if (!conn_may_accept()) {/if (false) {/'
mutant unread-limit test_conn src/net/conn.c \
    's/if (unread_bytes > frame_limit_bytes(conn)/if (false \&\& unread_bytes > frame_limit_bytes(conn)/'
mutant read-turns test_conn src/net/conn.c \
    's/kReadsPerWakeup = 2,/kReadsPerWakeup = 2000000,/'
mutant feed-age test_feed src/ownership/feed.c \
    's/int64_t fresh_until_ns = now_ns - age_ns + /int64_t fresh_until_ns = now_ns + 0 * age_ns + /'
mutant feed-reads test_feed src/ownership/feed.c \
    's/decision.reads_store = now_ns < feed->read_until_ns;/decision.reads_store = false;/'
mutant feed-removal functional_test_feed src/node/target_feed_send.c \
    's/choose_update(node, follower) != kind/choose_update(node, follower) == kUpdateChanges || choose_update(node, follower) != kind/'
mutant gaps test_wait src/pool/wait.c \
    's/load.smaller_count < load.free_count/load.ahead_count < load.free_count/'
mutant begun-first test_urgency src/pool/urgency.c \
    's/return kUrgencyBegun;/return kUrgencyLate;/'
mutant wait-in-vain test_wait src/pool/orders.c \
    's/^    wait_record_actual(pool, order, now_ns);//'
mutant surge-refusal test_urgency src/pool/urgency.c \
    's/if (contended_since_ns == 0) {/if (true) {/'
mutant room-by-size test_choice src/pool/choice.c \
    's/(uint32_t)(free_mcores \/ ((int64_t)(i + 1) \* kRoomStepMcores))/(uint32_t)(free_mcores \/ kRoomStepMcores)/'
mutant spread-by-room test_choice src/pool/choice.c \
    's/% choice->weight < weight/% choice->weight < 0 * weight + (choice->best == NULL)/'
mutant strong-nodes test_ownership src/ownership/members.c \
    's/uint32_t wanted = sufficient > strong ? sufficient : strong;/uint32_t wanted = most + 0 * (sufficient + strong);/'
mutant hello-silence functional_test_silence src/front/dispatcher_link.c \
    's/(link->is_ready \&\& link->sent_calls == NULL)/(link->sent_calls == NULL)/'
mutant base-offset test_config_document src/config/config_document.c \
    's/if (record->base != current_offset) {/if (false) {/'
mutant forward-only test_config_document src/config/config_document.c \
    's/if (offset < document->next_offset) {/if (offset + 100 < document->next_offset) {/'
mutant not-run-is-kept test_job src/core/job.c \
    's/set_task_states(job, kTaskStateWaiting, kTaskStateNotRun, kind);/set_task_states(job, kTaskStateWaiting, kTaskStateDone, kind);/'
mutant read-proves-nothing functional_test_resubmit src/generated/errors.c \
    '/"not_submitted"/,/retry/ s/kRunStatusMayHaveRun/kRunStatusNotRun/'
mutant early-cancel functional_test_resubmit src/dispatch/jobs.c \
    's/^        cancel_unsubmitted(shard, request);/        shard_send_error(shard, \&request->reply_to, kErrorKindNotSubmitted);/'
mutant ids-over-shards functional_test_resubmit src/dispatch/shard.c \
    's/index += dispatch->shard_count/index += 1/;s/bool is_done = /bool is_done = true || /'
mutant empty-list functional_test_platform src/agent/agent.c \
    's/if (!members_has_entry_vm(vms, vm_count)) {/if (false) {/'
mutant list-is-confirmed test_pool src/pool/sessions.c \
    's/run->confirmed_ns <= target->list_sent_ns/run->started_ns < target->list_sent_ns/'
mutant starts-repeated test_pool src/pool/runs.c \
    's/kStartSendLimit = 3,/kStartSendLimit = 1,/'
mutant far-owner-waits test_ownership src/ownership/members.c \
    's/earliest_ns = stable_ns > earliest_ns ? stable_ns : earliest_ns;/earliest_ns += stable_ns * 0;/'
mutant one-leaves test_ownership src/ownership/members.c \
    's/^                 members_rank_before(member->record, self->record, dc);/                 self != NULL;/'
mutant pending-connections test_http_servers src/httpd/stop.c \
    's/^        serve_pending(daemon, listen_fd);//'
mutant earlier-process functional_test_node src/node/record.c \
    's/^        leave_earlier_groups(node, record);//'
mutant record-repair functional_test_node src/node/record.c \
    's/if (node->republish_due_ns <= now_ns) {/if (false) {/'
mutant missed-objective-goes-last test_pool src/pool/urgency.c \
    's/: kUrgencyLate;/: kUrgencyInTime;/'
mutant best-method test_forecast src/pool/forecast.c \
    's/return from_log2_milli(methods\[best\](/return from_log2_milli(methods[kForecastDeclared](/'
mutant queues-apart test_forecast src/pool/forecast.c \
    's/queue, APR_HASH_KEY_STRING/queue, 7/;s/^                 APR_HASH_KEY_STRING, stats/                 7, stats/'
mutant longer-waits test_wait src/pool/wait.c \
    's/kNominalPermille \* \*correction;/kNominalPermille * kNominalPermille;/'
mutant unchanged-record test_adapter platform/target_records.c \
    's/while (key_bytes > 0 \&\& at < text.size_bytes/while (false \&\& at < text.size_bytes/'
mutant first-timeout test_adapter platform/store.c \
    's/kMinTimeoutMs = 300,/kMinTimeoutMs = 900,/'
mutant crash-limit test_losses src/pool/losses.c \
    's/kCrashLimit = 2,/kCrashLimit = 99,/'
mutant losses-are-held test_losses src/pool/losses.c \
    's/kLossLimit = 2,/kLossLimit = 99,/'
mutant silence-is-no-crash test_losses src/pool/losses.c \
    's/else if (is_answer \&\& entry->born_ms == born_ms) {/else if (false) {/'
mutant suspect-alone test_losses src/pool/place.c \
    's/return target->open_count == 0;/return true;/;s/target->alone_count == 0 \&\& !/!/'
mutant losses-published functional_test_deadly src/node/record.c \
    's/^                                losses_report(losses, lost, now_ns)};/                                0};/'
mutant losses-adopted functional_test_deadly src/node/record.c \
    's/^        adopt_losses(node, record);//'
mutant silence-then-restart test_losses src/pool/losses.c \
    's/crash_count += entry->is_sudden \&\& entry->is_over;/crash_count += entry->is_over;/'
mutant loss-maximum test_losses src/pool/losses.c \
    's/kLossMaximum = 5,/kLossMaximum = 99,/'
mutant rejected-start test_losses src/pool/runs.c \
    's/^    clear_loss(pool, run);//'
mutant size-of-target test_target src/route/target.c \
    's/^            strcmp(target->address, vm->address) == 0) {/            target->slots == vm->slots) {/'
mutant request-age functional_test_late_request src/httpd/arrival.c \
    's/return MS_TO_NS(tcp.tcpi_last_data_recv);/return 0;/'
mutant pause-age test_pause src/runtime/pause.c \
    's/return last_ns; .*/return now_ns;/'
mutant pause-backlog test_pause src/runtime/pause.c \
    's/? atomic_load(&pause->begin_ns)/? now_ns/'
mutant overdue-request functional_test_late_request src/node/coordinator.c \
    's/if (job->deadline_ns <= clock_now_ns()) {/if (false) {/'
mutant caller-left functional_test_late_request src/node/coordinator.c \
    's/if (job->is_caller_gone(job)) {/if (false) {/'
mutant sessions-after-pause test_pool src/pool/orders.c \
    's/^        session_restart(target, now_ns);//'
mutant reply-before-pause test_pool src/pool/sessions.c \
    's/if (target->list_session != target->session_number) {/if (false) {/'
mutant join-before-pause test_owner src/node/owner.c \
    's/group->is_join_stale = group->is_join_pending;/group->is_join_stale = false;/'
mutant join-after-pause test_owner src/node/owner.c \
    's/^        group->join_due_ns = now_ns;//'
mutant order-age functional_test_late_request src/node/clients.c \
    's/if (age_ns >= coordinator_link_timeout_ns(client->node)) {/if (false) {/'
mutant order-left functional_test_late_request src/node/clients.c \
    's/age_ms < assign->order.left_ms ? age_ms : assign->order.left_ms;/0;/'
mutant clock-drift test_link_clock src/net/link_clock.c \
    's/kDriftPermille = 1,/kDriftPermille = 0,/'
mutant front-age functional_test_pause src/front/http.c \
    's/httpd_read_arrival_ns(exchange->connection, clock_now_ns())/clock_now_ns()/'
mutant overdue-submission functional_test_pause src/dispatch/shard.c \
    's/message.is_overdue ? sent_ns : sent_ns/sent_ns/'
mutant submission-age functional_test_pause src/dispatch/shard.c \
    's/int64_t sent_ns = now_ns - link_clock/int64_t sent_ns = now_ns - 0 * link_clock/'
mutant silent-client test_clients src/node/clients.c \
    's/(order_count > 0 ? timeout_ns : MS_TO_NS(kIdleTimeoutMs))/MS_TO_NS(kIdleTimeoutMs)/'
mutant idle-client test_clients src/node/clients.c \
    's/(order_count > 0 ? timeout_ns : MS_TO_NS(kIdleTimeoutMs))/timeout_ns/'
mutant lease-of-neighbours test_lease src/pool/lease.c \
    's/if (target->end_by_ns == INT64_MAX) {/if (true) {/'
mutant lease-of-starts test_lease src/pool/sessions.c \
    's/lease_read_limit_ms(pool, target, now_ns) == pool->limits.lease_ms;/(void *)pool != NULL;/'
mutant lease-from-now test_lease src/pool/orders.c \
    's/end_order(pool, order, heard_ns, now_ns);/end_order(pool, order, now_ns + 0 * heard_ns, now_ns);/'
mutant lease-from-pause test_lease src/pool/orders.c \
    's/^        order->deadline_ns = min_ns(order->deadline_ns, paused_ns);/        (void)paused_ns;/'
mutant expired-orphan test_lease src/pool/lease.c \
    's/(is_listed \&\& run->task != NULL \&\& run->state == kRunActive)/is_listed/'
mutant stops-repeated test_lease src/pool/runs.c \
    's/: resend_interval_ns(pool) << doublings/: MS_TO_NS(kStopSlowResendMs) + 0 * doublings/'
mutant unknown-runs test_lease src/pool/sessions.c \
    's/^        has_unknown_runs = true;/        has_unknown_runs = reply->running_count > target->run_count;/'
mutant unknown-run-ready test_lease src/pool/sessions.c \
    's/if (has_unknown_runs \&\& target->session == kSessionReady) {/if (false) {/'
mutant last-message-age test_clients src/node/clients.c \
    's/client->heard_ns = now_ns - age_ns;/client->heard_ns = now_ns;/'
mutant withdrawal-age test_clients src/node/clients.c \
    's/now_ns - age_ns, now_ns);/now_ns + 0 * age_ns, now_ns);/'
mutant unanswered-stop functional_test_unanswered_stop src/pool/runs.c \
    's/given_up_ns + MS_TO_NS(pool->limits.orphan_ms)/INT64_MAX + 0 * given_up_ns/'
mutant second-post test_loop src/net/loop.c \
    's/if (atomic_exchange(&callback->is_queued, true)) {/if (false) {/'
mutant settings-copied test_node src/node/node.c \
    's/^    changed.name = old->name;//'
mutant stalled-loop test_node src/node/node.c \
    's/clock_now_ns() < atomic_load(&node->ready_until_ns);/true;/'
mutant pipelined-check functional_test_pipelined platform/http_exchange.c \
    's/^        loop_timer_set(loop, &watch->check_timer,/        (void)(loop,/'
mutant close-behind-data functional_test_pipelined src/httpd/arrival.c \
    's/tcp.tcpi_state != TCP_ESTABLISHED/tcp.tcpi_state == TCP_CLOSE/'
mutant cancel-asks-nodes functional_test_cancel src/node/cancel.c \
    's/if (!member->is_self) {/if (member->is_self \&\& !has_room) {/'
mutant cancel-needs-owners functional_test_cancel src/node/cancel.c \
    's/if (question->is_required \&\& !question->is_answered) {/if (false) {/'
mutant cancelled-before functional_test_cancel src/pool/orders.c \
    's/^    cancelled_add(pool->cancelled, queue, job, now_ns);//'
mutant cancelled-queue test_cancelled src/pool/orders.c \
    's/order != NULL \&\& strcmp(order->spec->queue, queue) == 0;/order != NULL;/'
mutant record-of-earlier-life test_restart src/pool/sessions.c \
    's/\&\& is_record_current(target) \&\&/\&\& (is_record_current(target) || true) \&\&/'
mutant idle-target-is-verified test_restart src/pool/place.c \
    's/if (!session_is_verified(pool, choice.target, now_ns)) {/if (false) {/'
mutant awaited-room test_restart src/pool/place.c \
    's/^    target->awaited.cpu_mcores += step->cpu_mcores;//'
mutant budget-given-back test_occupancy src/net/occupancy.c \
    's/memory_budget_release(budget,/(void)(budget,/'
mutant budget-of-all test_memory_budget src/limit/memory_budget.c \
    's/bytes > ceiling_bytes - used_bytes/bytes > ceiling_bytes/'
mutant charged-late functional_test_crowd_node src/httpd/body.c \
    's/occupant_charge(conn, capacity_bytes)/occupant_charge(conn, body->capacity_bytes)/'
mutant growth-leaves-room test_memory_budget src/limit/memory_budget.c \
    's/kGrowthPercent = 85,/kGrowthPercent = 100,/'
mutant least-progress-first test_eviction src/limit/eviction.c \
    's/? left_progress < right_progress/? left_progress > right_progress/'
mutant new-connection-last test_eviction src/limit/eviction.c \
    's/if (is_left_new != is_right_new) {/if (false) {/'
mutant stalled-are-closed functional_test_crowd_node src/net/occupancy.c \
    's/^    shutdown(chosen->fd, SHUT_RDWR);//'
mutant running-job-stays test_occupancy src/net/occupancy.c \
    's/state != kOccupantWaiting \&\&/true \&\&/'
mutant announced-excess test_http_servers src/httpd/body.c \
    's/length_bytes == UINT64_MAX || length_bytes <= limit_bytes;/length_bytes + limit_bytes > 0;/'
mutant sent-excess test_http_servers src/httpd/body.c \
    's/^        refuse(body, connection, rules, kErrorKindTooLarge);//'
mutant unfinished-frames functional_test_crowd_links src/net/conn.c \
    's/if (conn->is_accepted \&\& !occupant_charge(/if (false \&\& !occupant_charge(/'
mutant memory-of-dispatch functional_test_crowd_ports src/dispatch/main.c \
    's/^    conn_limit_accepted(memory_limit_bytes(settings.memory_mb));//'
mutant values-of-json test_json_bounds src/codec/json_bounds.c \
    "s/count += c == '\[' || c == '{' || c == ',';/count += c == ',';/"
mutant calls-of-all test_calls src/pool/calls.c \
    's/limit == 0 || pool->pending_calls < limit \* kStartPercent/true || pool->pending_calls < limit * kStartPercent/'
mutant calls-of-one-target test_calls src/pool/calls.c \
    's/target->awaited_count < kTargetStartLimit;/target->awaited_count < UINT32_MAX;/'
mutant awaiting-tasks test_calls src/pool/place.c \
    's/^    target->awaited_count++;//'
mutant calls-for-stops test_calls src/pool/calls.c \
    's/kStartPercent = 75,/kStartPercent = 100,/'
mutant stops-are-bounded test_calls src/pool/runs.c \
    's/if (!calls_allow_stop(pool, run->target)) {/if (false) {/'
mutant unknown-stops-are-bounded test_calls src/pool/sessions.c \
    's/if (!calls_allow_stop(pool, target)) {/if (false) {/'
mutant orders-are-charged test_calls src/pool/orders.c \
    's/if (memory_budget_charge(&pool->order_memory, bytes, use)) {/if (true) {/'
mutant orders-are-given-back test_calls src/pool/orders.c \
    's/^    memory_budget_release(&pool->order_memory, order->charged_bytes);//'
mutant small-orders-have-room test_calls src/pool/orders.c \
    's/kSmallOrderBytes = 32768,/kSmallOrderBytes = 0,/'
mutant ended-runs-leave-sums test_calls src/pool/runs.c \
    's/^    target->used.cpu_mcores -= run->cpu_mcores;//'
mutant end-by-of-open-runs test_calls src/pool/runs.c \
    's/if (run->end_by_ns != INT64_MAX \&\& run->end_by_ns == target->end_by_ns) {/if (false) {/'
mutant calls-of-a-process functional_test_wide_jobs src/node/owner.c \
    's/.call_limit = read_call_limit(settings),/.call_limit = 0 * read_call_limit(settings),/'
mutant evacuated-targets functional_test_evacuation src/node/catalog.c \
    's/info.is_draining |= !target->group->accepts_runs;/info.is_draining |= false;/'
mutant list-before-runs test_evacuation src/ownership/evacuation.c \
    's/return evacuation->is_listed \&\& !evacuation_has/return !evacuation_has/'
mutant stranded-orders test_evacuation src/pool/strand.c \
    's/if (!pool->is_evacuating) {/if (true) {/'
mutant owners-left test_evacuation src/node/peers.c \
    's/return peer->is_up \&\& peer->is_open \&\&/return peer->is_up \&\& peer->is_owner \&\&/'
mutant evacuated-tries functional_test_evacuate_command src/dispatch/tries.c \
    's/bool is_evacuated = view->is_evacuated;/bool is_evacuated = false;/'
mutant handover-time test_pool src/pool/place.c \
    's/now_ns + kHandoverMarginFactor \* expected_ns <=/now_ns + 0 * kHandoverMarginFactor * expected_ns <=/'
mutant handover-blocks-none test_place src/pool/place.c \
    's/^                !choice.is_short_of_time) {/                true) {/'
mutant handover-misfit test_place src/pool/place.c \
    's/^        is_handed_over = true;//'
mutant handover-wait test_wait src/pool/wait.c \
    's/!place_ends_before_handover(target, run_ns, now_ns)) {/run_ns < 0) {/'
mutant handover-strands test_place src/pool/strand.c \
    's/target->handover_ns > now_ns \&\&/now_ns > 0 \&\&/'
mutant pool-without-targets test_choice src/pool/choice.c \
    's/(offer->has_no_targets ? kNoTargetsPenaltyMs : 0)/0 * kNoTargetsPenaltyMs/'
mutant joined-is-owner test_owner src/node/record.c \
    's/if (node->groups\[i\].is_joined) {/if (partitions_count_held(\&node->groups[i].partitions) > 0) {/'
mutant published-at-join test_owner src/node/owner.c \
    's/^        record_publish(node);//'
mutant lapsed-owner test_ownership src/ownership/members.c \
    's/member->is_reachable \&\& !member->is_lapsed \&\&/member->is_reachable \&\&/'
mutant lapse-anew test_owner src/node/owner.c \
    's/^        group->confirmed_ns = now_ns;//'
mutant shortage-needs-store test_owner src/node/owner.c \
    's/^                    is_store_reachable(node, now_ns),/                    true,/'
mutant outage-ends test_owner src/node/owner.c \
    's/if (!was_reachable) {/if (was_reachable \&\& false) {/'
mutant weakest-part test_ownership src/ownership/members.c \
    's/shares_milli\[count - 1\] \* count/shares_milli[0] * count/'
[ "$failures" = 0 ] || exit 1
echo "mutants: all caught"
