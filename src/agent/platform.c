#include "agent/platform.h"

#include <apr_strings.h>
#include <string.h>

#include "agent/edits.h"
#include "agent/peers.h"
#include "base/counters.h"
#include "codec/json.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum { kUrlBytes = 1200, kConnectLimitMs = 1000, kIdleTrustMs = 30000 };

void
platform_note(agent_t *agent, bool is_up)
{
    if (!is_up) {
        counter_add(kCounterPlatformFailures, 1);
    }
    if (is_up != agent->is_platform_up) {
        agent->is_platform_up = is_up;
        log_event(is_up ? "platform_up" : "platform_down", "url=%s",
                  agent->settings->platform_url);
    }
    if (!is_up) {
        peers_ask(agent);
    }
}

/// @param condition  a further header that lasts until the answer, or NULL
static void
send_request(agent_t *agent, const char *method, const char *url,
             const char *body, const char *condition, http_done_t on_done,
             void *owner)
{
    const char *const headers[] = {"Content-Type: application/json",
                                   "Expect:", condition, NULL};
    http_spec_t spec = {
        .method = method,
        .url = url,
        .headers = headers,
        .body = {.data = (const uint8_t *)body,
                 .size_bytes = body == NULL ? 0 : (uint32_t)strlen(body)},
        .deadline_ns = clock_deadline_ns(agent->settings->request_limit_ms),
        .connect_limit_ms = kConnectLimitMs,
        .idle_trust_ms = kIdleTrustMs,
        .on_done = on_done,
        .owner = owner};
    counter_add(kCounterPlatformRequests, 1);
    http_client_start(agent->http, &spec);
}

/// Reads an answer of the platform.
///
/// @return whether it is a valid record
static bool
read_reply(const http_reply_t *reply, const record_desc_t *desc,
           arena_t *arena, void *out)
{
    error_info_t err = {0};
    if (reply->end != kHttpOutcomeAnswered || reply->status != 200) {
        return false;
    }
    if (!json_read(reply->body, desc, kErrorKindProtocol, arena, out, &err)) {
        log_event("bad_platform_answer", "reason=\"%s\"", err.text);
        return false;
    }
    return true;
}

/// Judges one record of the log in its turn.
static void
judge_entry(agent_t *agent, const log_entry_t *entry)
{
    static const error_kind_t kinds[] = {
        [kRecordAccepted] = kErrorKindOk,
        [kRecordStaleBase] = kErrorKindConfigBase,
        [kRecordInvalid] = kErrorKindConfigInvalid};
    error_info_t err = {0};
    record_result_t verdict = config_document_apply(
        agent->document, entry->offset, &entry->record, &err);
    switch (verdict) {
    case kRecordAccepted:
        counter_add(kCounterConfigAccepted, 1);
        break;
    case kRecordStaleBase:
    case kRecordInvalid:
        counter_add(kCounterConfigRejected, 1);
        break;
    case kRecordSnapshot:
        agent->snapshot_seen = entry->offset;
        return;
    default:
        return;
    }
    edits_note_verdict(agent, entry->record.edit_id, kinds[verdict],
                       entry->offset, err.text);
}

/// Looks for a snapshot that reaches into what the log still keeps.
///
/// @return whether the document was taken from one
static bool
adopt_snapshot(agent_t *agent, const log_page_t *page)
{
    for (uint32_t i = 0; i < page->entries_count; i++) {
        const log_record_t *record = &page->entries[i].record;
        if (record->section[0] == '\0' && record->upto + 1 >= page->first &&
            config_document_replace(agent->document, record->upto,
                                    record->sections,
                                    record->sections_count)) {
            log_event("snapshot_taken", "offset=%lu",
                      (unsigned long)record->upto);
            return true;
        }
    }
    return false;
}

/// Deals with records that the log no longer keeps.
static void
cross_gap(agent_t *agent, const log_page_t *page)
{
    if (adopt_snapshot(agent, page)) {
        agent->scan_from = 0;
        return;
    }
    if (page->entries_count == 0) {
        agent->scan_from = 0;
        peers_ask(agent);
        return;
    }
    agent->scan_from = page->entries[page->entries_count - 1].offset + 1;
}

/// @return the place of this VM among the live entry VMs
static uint32_t
own_place(const agent_t *agent)
{
    uint32_t place = 0;
    for (uint32_t i = 0; i < agent->members->vm_count; i++) {
        const vm_entry_t *vm = &agent->members->vms[i];
        if (vm->role == kVmRoleEntry && vm->state == kVmStateLive &&
            vm->vm < agent->settings->here.vm) {
            place++;
        }
    }
    return place;
}

static void
on_snapshot_appended(agent_t *agent, const char *edit_id, http_outcome_t end)
{
    (void)edit_id;
    (void)end;
    platform_read_log(agent);
}

/// Publishes a snapshot when enough records came since the last one. The
/// first entry VM does so first; the others only where it does not.
static void
publish_snapshot(agent_t *agent)
{
    uint64_t every = agent->settings->snapshot_every;
    uint64_t patience = every + own_place(agent) * ((every + 3) / 4);
    uint64_t offset = config_document_offset(agent->document);
    if (offset < agent->snapshot_seen + patience || agent->append_count > 0) {
        return;
    }
    arena_t *arena = arena_create();
    log_record_t record = {
        .section = "", .edit_id = "", .text = "", .upto = offset};
    record.sections = config_document_list_sections(agent->document, 0, arena,
                                                    &record.sections_count);
    counter_add(kCounterConfigSnapshots, 1);
    platform_append(agent, &record, on_snapshot_appended);
    arena_destroy(arena);
}

static void
take_page(agent_t *agent, const log_page_t *page)
{
    if (agent->scan_from != 0 ||
        config_document_next_offset(agent->document) < page->first) {
        cross_gap(agent, page);
    }
    else {
        for (uint32_t i = 0; i < page->entries_count; i++) {
            judge_entry(agent, &page->entries[i]);
        }
    }
    agent_push_all(agent);
    bool has_more = agent->scan_from != 0 ||
                    config_document_next_offset(agent->document) < page->next;
    if ((has_more && page->entries_count > 0) || agent->is_log_stale) {
        platform_read_log(agent);
    }
    else {
        publish_snapshot(agent);
    }
}

static void
on_log(void *owner, const http_reply_t *reply)
{
    agent_t *agent = owner;
    log_page_t page;
    arena_t *arena = arena_create();
    agent->is_log_busy = false;
    bool is_read = read_reply(reply, &log_page_desc, arena, &page);
    platform_note(agent, is_read);
    if (is_read) {
        take_page(agent, &page);
    }
    arena_destroy(arena);
}

void
platform_read_log(agent_t *agent)
{
    char url[kUrlBytes];
    if (agent->is_log_busy) {
        agent->is_log_stale = true;
        return;
    }
    agent->is_log_busy = true;
    agent->is_log_stale = false;
    uint64_t from = agent->scan_from != 0
                        ? agent->scan_from
                        : config_document_next_offset(agent->document);
    apr_snprintf(url, sizeof url, "%s/v1/log/config?from=%" APR_UINT64_T_FMT,
                 agent->settings->platform_url, from);
    send_request(agent, "GET", url, NULL, NULL, on_log, agent);
}

/// An append that is out.
typedef struct {
    agent_t *agent;
    arena_t *arena;
    const char *edit_id;
    platform_appended_t on_done;
} append_t;

static void
on_appended(void *owner, const http_reply_t *reply)
{
    append_t *append = owner;
    append->agent->append_count--;
    append->on_done(append->agent, append->edit_id, reply->end);
    arena_destroy(append->arena);
}

void
platform_append(agent_t *agent, const log_record_t *record,
                platform_appended_t on_done)
{
    arena_t *arena = arena_create();
    append_t *append = apr_palloc(arena, sizeof *append);
    *append = (append_t){.agent = agent,
                         .arena = arena,
                         .edit_id = apr_pstrdup(arena, record->edit_id),
                         .on_done = on_done};
    const char *body = json_write(&log_record_desc, record, arena);
    const char *url =
        apr_psprintf(arena, "%s/v1/log/config", agent->settings->platform_url);
    agent->append_count++;
    send_request(agent, "POST", url, body, NULL, on_appended, append);
}

static void
on_list(void *owner, const http_reply_t *reply)
{
    agent_t *agent = owner;
    vm_list_t list;
    arena_t *arena = arena_create();
    agent->is_list_busy = false;
    // 304 says that the list is the one that was read last.
    if (read_reply(reply, &vm_list_desc, arena, &list)) {
        agent_take_members(agent, list.vms, list.vms_count);
        apr_cpystrn(agent->list_etag, reply->etag, sizeof agent->list_etag);
    }
    arena_destroy(arena);
}

/// Reads the list of VMs, where it is another than the one read last.
static void
read_list(agent_t *agent)
{
    char url[kUrlBytes];
    if (agent->is_list_busy) {
        return;
    }
    agent->is_list_busy = true;
    apr_snprintf(url, sizeof url, "%s/v1/vms", agent->settings->platform_url);
    apr_snprintf(agent->list_condition, sizeof agent->list_condition,
                 "If-None-Match: %s", agent->list_etag);
    send_request(agent, "GET", url, NULL,
                 agent->list_etag[0] == '\0' ? NULL : agent->list_condition,
                 on_list, agent);
}

static void
on_poll(loop_timer_t *timer)
{
    agent_t *agent = timer->owner;
    edits_expire(agent);
    platform_read_log(agent);
    read_list(agent);
    loop_timer_set(agent->loop, &agent->poll,
                   clock_deadline_ns(agent->settings->poll_ms));
}

void
platform_start(agent_t *agent)
{
    agent->is_platform_up = true;
    loop_timer_init(&agent->poll, on_poll, agent);
    on_poll(&agent->poll);
}
