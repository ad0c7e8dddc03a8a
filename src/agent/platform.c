#include "agent/platform.h"

#include <apr_strings.h>
#include <string.h>

#include "agent/edits.h"
#include "agent/peers.h"
#include "base/counters.h"
#include "codec/json.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kMaxUrlBytes = 1200,
    kConnectTimeoutMs = 1000,
    kMaxConnectionIdleMs = 30000
};

void
platform_record_state(agent_t *agent, bool is_up)
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
        peers_ask_next(agent);
    }
}

/// @param condition  a further header, valid until the answer, or NULL
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
        .connect_limit_ms = kConnectTimeoutMs,
        .idle_trust_ms = kMaxConnectionIdleMs,
        .on_done = on_done,
        .owner = owner};
    counter_add(kCounterPlatformRequests, 1);
    http_client_start(agent->http, &spec);
}

/// Decodes an answer of the platform.
///
/// @return whether its status is 200 and its body a valid record
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

/// Applies the next record of the log to the document.
static void
apply_entry(agent_t *agent, const log_entry_t *entry)
{
    static const error_kind_t kinds[] = {
        [kRecordAccepted] = kErrorKindOk,
        [kRecordStaleBase] = kErrorKindConfigBase,
        [kRecordInvalid] = kErrorKindConfigInvalid};
    error_info_t err = {0};
    record_result_t result = config_document_apply(
        agent->document, entry->offset, &entry->record, &err);
    switch (result) {
    case kRecordAccepted:
        counter_add(kCounterConfigAccepted, 1);
        break;
    case kRecordStaleBase:
    case kRecordInvalid:
        counter_add(kCounterConfigRejected, 1);
        break;
    case kRecordSnapshot:
        agent->last_snapshot_offset = entry->offset;
        return;
    default:
        return;
    }
    edits_record_result(agent, entry->record.edit_id, kinds[result],
                        entry->offset, err.text);
}

/// Looks for a snapshot that the records still in the log can continue from.
///
/// @return whether the document was replaced by one
static bool
load_snapshot(agent_t *agent, const log_page_t *page)
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

/// Searches page by page for a snapshot, as the log no longer holds the next
/// records for the document. Asks a peer when the log has none.
static void
handle_log_gap(agent_t *agent, const log_page_t *page)
{
    if (load_snapshot(agent, page)) {
        agent->snapshot_scan_offset = 0;
        return;
    }
    if (page->entries_count == 0) {
        agent->snapshot_scan_offset = 0;
        peers_ask_next(agent);
        return;
    }
    agent->snapshot_scan_offset =
        page->entries[page->entries_count - 1].offset + 1;
}

/// @return how many live entry VMs have a lower number than this VM
static uint32_t
find_own_rank(const agent_t *agent)
{
    uint32_t rank = 0;
    for (uint32_t i = 0; i < agent->members->vm_count; i++) {
        const vm_entry_t *vm = &agent->members->vms[i];
        if (vm->role == kVmRoleEntry && vm->state == kVmStateLive &&
            vm->vm < agent->settings->here.vm) {
            rank++;
        }
    }
    return rank;
}

static void
on_snapshot_appended(agent_t *agent, const char *edit_id, http_outcome_t end)
{
    (void)edit_id;
    (void)end;
    platform_read_log(agent);
}

/// Publishes a snapshot when there are enough records since the last one. The
/// threshold rises with the rank of the VM, so that another entry VM publishes
/// only if those before it do not.
static void
publish_snapshot(agent_t *agent)
{
    uint64_t every = agent->settings->snapshot_every;
    uint64_t threshold = every + find_own_rank(agent) * ((every + 3) / 4);
    uint64_t offset = config_document_offset(agent->document);
    if (offset < agent->last_snapshot_offset + threshold ||
        agent->outstanding_appends > 0) {
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
apply_page(agent_t *agent, const log_page_t *page)
{
    if (agent->snapshot_scan_offset != 0 ||
        config_document_next_offset(agent->document) < page->first) {
        handle_log_gap(agent, page);
    }
    else {
        for (uint32_t i = 0; i < page->entries_count; i++) {
            apply_entry(agent, &page->entries[i]);
        }
    }
    agent_push_config_to_all(agent);
    bool has_more = agent->snapshot_scan_offset != 0 ||
                    config_document_next_offset(agent->document) < page->next;
    if ((has_more && page->entries_count > 0) || agent->must_reread_log) {
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
    agent->is_log_read_outstanding = false;
    bool is_read = read_reply(reply, &log_page_desc, arena, &page);
    platform_record_state(agent, is_read);
    if (is_read) {
        apply_page(agent, &page);
    }
    arena_destroy(arena);
}

void
platform_read_log(agent_t *agent)
{
    char url[kMaxUrlBytes];
    if (agent->is_log_read_outstanding) {
        agent->must_reread_log = true;
        return;
    }
    agent->is_log_read_outstanding = true;
    agent->must_reread_log = false;
    uint64_t from = agent->snapshot_scan_offset != 0
                        ? agent->snapshot_scan_offset
                        : config_document_next_offset(agent->document);
    apr_snprintf(url, sizeof url, "%s/v1/log/config?from=%" APR_UINT64_T_FMT,
                 agent->settings->platform_url, from);
    send_request(agent, "GET", url, NULL, NULL, on_log, agent);
}

/// An outstanding append.
typedef struct {
    agent_t *agent;
    arena_t *arena;
    const char *edit_id;
    platform_append_done_t on_done;
} append_request_t;

static void
on_appended(void *owner, const http_reply_t *reply)
{
    append_request_t *append = owner;
    append->agent->outstanding_appends--;
    append->on_done(append->agent, append->edit_id, reply->end);
    arena_destroy(append->arena);
}

void
platform_append(agent_t *agent, const log_record_t *record,
                platform_append_done_t on_done)
{
    arena_t *arena = arena_create();
    append_request_t *append = apr_palloc(arena, sizeof *append);
    *append =
        (append_request_t){.agent = agent,
                           .arena = arena,
                           .edit_id = apr_pstrdup(arena, record->edit_id),
                           .on_done = on_done};
    const char *body = json_write(&log_record_desc, record, arena);
    const char *url =
        apr_psprintf(arena, "%s/v1/log/config", agent->settings->platform_url);
    agent->outstanding_appends++;
    send_request(agent, "POST", url, body, NULL, on_appended, append);
}

static void
on_list(void *owner, const http_reply_t *reply)
{
    agent_t *agent = owner;
    vm_list_t list;
    arena_t *arena = arena_create();
    agent->is_list_read_outstanding = false;
    // The status is 304 if the list is the one read last.
    if (read_reply(reply, &vm_list_desc, arena, &list)) {
        agent_update_members(agent, list.vms, list.vms_count);
        apr_cpystrn(agent->list_etag, reply->etag, sizeof agent->list_etag);
    }
    arena_destroy(arena);
}

/// Reads the list of VMs, if it differs from the one read last.
static void
read_list(agent_t *agent)
{
    char url[kMaxUrlBytes];
    if (agent->is_list_read_outstanding) {
        return;
    }
    agent->is_list_read_outstanding = true;
    apr_snprintf(url, sizeof url, "%s/v1/vms", agent->settings->platform_url);
    apr_snprintf(agent->list_condition_header,
                 sizeof agent->list_condition_header, "If-None-Match: %s",
                 agent->list_etag);
    send_request(agent, "GET", url, NULL,
                 agent->list_etag[0] == '\0' ? NULL
                                             : agent->list_condition_header,
                 on_list, agent);
}

static void
on_poll(loop_timer_t *timer)
{
    agent_t *agent = timer->owner;
    edits_expire_pending(agent);
    platform_read_log(agent);
    read_list(agent);
    loop_timer_set(agent->loop, &agent->poll_timer,
                   clock_deadline_ns(agent->settings->poll_ms));
}

void
platform_start(agent_t *agent)
{
    agent->is_platform_up = true;
    loop_timer_init(&agent->poll_timer, on_poll, agent);
    on_poll(&agent->poll_timer);
}
